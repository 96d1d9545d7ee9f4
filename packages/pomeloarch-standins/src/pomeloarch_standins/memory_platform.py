"""The platform's tables in memory, with faults that a test chooses.

It stands in for `PlatformClient` where no sockets are wanted.
"""

from __future__ import annotations

import asyncio
import bisect
import enum
from collections import deque
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)


class Fault(enum.Enum):
    """What happens to a call.

    Attributes:
      NONE: it is carried out and answered.
      DOWN: it is not carried out, and the caller knows.
      LOST_REQUEST: it is not carried out, and the caller can't know.
      LOST_ANSWER: it is carried out, and the caller can't know.
      LATE: a transaction is carried out after the next read, and its
        caller can't know.
    """

    NONE = "none"
    DOWN = "down"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE = "late"


class MemoryPlatform:
    """Tables in memory.

    Attributes:
      read_faults: what happens to the next reads, in their order.
      txn_faults: what happens to the next transactions, in their order.
      rows_written: how many rows were written.
      transactions: how many transactions took effect.
    """

    def __init__(self) -> None:
        """Starts with empty tables."""
        self.read_faults: deque[Fault] = deque()
        self.txn_faults: deque[Fault] = deque()
        self.rows_written = 0
        self.transactions = 0
        self._rows: dict[tuple[str, str], Row] = {}
        self._versions: dict[tuple[str, str], int] = {}
        self._late: deque[tuple[Sequence[Check], Sequence[Write]]] = deque()

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold."""
        await asyncio.sleep(0)
        fault = self.txn_faults.popleft() if self.txn_faults else Fault.NONE
        if fault in (Fault.DOWN, Fault.LOST_REQUEST):
            return Err(_error(fault))
        if fault is Fault.LATE:
            self._late.append((checks, writes))
            return Err(_error(fault))
        answer = self._transact(checks, writes)
        return Err(_error(fault)) if fault is Fault.LOST_ANSWER else answer

    def _transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        found = [self._row(check.table, check.key) for check in checks]
        wrong = [
            row
            for row, check in zip(found, checks, strict=True)
            if row.version != check.version
        ]
        if wrong:
            return Err(Conflict(tuple(wrong)))
        self.transactions += 1
        return Ok(tuple(self._put(write) for write in writes))

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of keys."""
        await asyncio.sleep(0)
        fault = self.read_faults.popleft() if self.read_faults else Fault.NONE
        if fault is not Fault.NONE:
            return Err(_error(fault))
        rows = tuple(self._row(table, key) for table, key in keys)
        while self._late:
            self._transact(*self._late.popleft())
        return Ok(rows)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows above `after` in the order of keys."""
        await asyncio.sleep(0)
        keys = sorted(key for name, key in self._rows if name == table)
        start = bisect.bisect_right(keys, after)
        kept = [key for key in keys[start:] if key.startswith(prefix)]
        return Ok(tuple(self._row(table, key) for key in kept[:limit]))

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts, which is empty."""
        return Ok(())

    def _row(self, table: str, key: str) -> Row:
        return self._rows.get((table, key), Row(table, key, 0))

    def _put(self, write: Write) -> int:
        place = write.table, write.key
        self.rows_written += 1
        if write.value is None:
            self._rows.pop(place, None)
            return 0
        version = self._versions.get(place, 0) + 1
        self._versions[place] = version
        self._rows[place] = Row(*place, version, _copy(write.value))
        return version


def _copy(value: Any) -> Any:
    return msgspec.json.decode(msgspec.json.encode(value))


def _error(fault: Fault) -> PlatformError:
    if fault is Fault.DOWN:
        return PlatformError(PlatformFailure.NOT_DONE, "the platform is down")
    return PlatformError(PlatformFailure.UNKNOWN, "no answer in time")
