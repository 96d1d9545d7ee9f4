"""The platform's tables in memory, with faults that a test selects.

It replaces `PlatformClient` in tests that don't use sockets.
"""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Sequence

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
from pomeloarch_standins.table_store import TableStore


class Fault(enum.Enum):
    """The fault of one call.

    Attributes:
      NONE: the call is carried out and answered.
      DOWN: the call is not carried out, and the caller is told.
      LOST_REQUEST: the call is not carried out, and the caller is not told.
      LOST_ANSWER: the call is carried out, and the caller is not told.
      LATE: the transaction is carried out after the next read, and the
        caller is not told.
    """

    NONE = "none"
    DOWN = "down"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE = "late"


class MemoryPlatform:
    """An in-memory `PlatformClient`.

    Attributes:
      read_faults: the faults of the next reads, in order.
      txn_faults: the faults of the next transactions, in order.
      rows_written: the number of rows written.
      transactions: the number of transactions that took effect.
    """

    def __init__(self) -> None:
        """Creates empty tables without faults."""
        self.read_faults: deque[Fault] = deque()
        self.txn_faults: deque[Fault] = deque()
        self.rows_written = 0
        self.transactions = 0
        self._store = TableStore()
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
        answer = self._store.transact(checks, writes)
        if answer.is_ok():
            self.transactions += 1
            self.rows_written += len(writes)
        return answer

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of the given keys."""
        await asyncio.sleep(0)
        fault = self.read_faults.popleft() if self.read_faults else Fault.NONE
        if fault is not Fault.NONE:
            return Err(_error(fault))
        rows = tuple(self._store.read(*key) for key in keys)
        while self._late:
            self._transact(*self._late.popleft())
        return Ok(rows)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows above `after` in the order of keys."""
        await asyncio.sleep(0)
        return Ok(self._store.scan(table, prefix, after, limit))

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts, which is empty."""
        return Ok(())


def _error(fault: Fault) -> PlatformError:
    if fault is Fault.DOWN:
        return PlatformError(PlatformFailure.NOT_DONE, "the platform is down")
    return PlatformError(PlatformFailure.UNKNOWN, "no answer in time")
