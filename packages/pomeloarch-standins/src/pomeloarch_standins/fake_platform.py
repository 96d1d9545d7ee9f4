"""An in-memory double of the platform with injectable faults."""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

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

# Time after which a caller gives up a call, in seconds.
TIMEOUT_S = 2.0


class Fault(enum.Enum):
    """The fault of one call.

    Attributes:
      LOSE_ANSWER: the call takes effect, but its answer is lost.
      LOSE_REQUEST: the call never arrives. The caller can't tell this from a
        lost answer.
      LATE: the call takes effect some time after the caller gave up.
      REFUSE: the platform answers that it did nothing.
    """

    LOSE_ANSWER = "lose_answer"
    LOSE_REQUEST = "lose_request"
    LATE = "late"
    REFUSE = "refuse"


_LOST = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")
_REFUSED = PlatformError(
    PlatformFailure.NOT_DONE, "the platform is unavailable"
)
_OVER_BUDGET = PlatformError(
    PlatformFailure.NOT_DONE, "the platform answered 429"
)


class FakePlatform:
    """An in-memory `PlatformClient` that uses the time of the running loop.

    Attributes:
      hosts: the membership list.
      down: whether every call is refused.
      silent: whether no call arrives, so that none is answered.
      delay_s: the duration of each call, in seconds.
      late_s: the delay after which a `LATE` call takes effect, in seconds.
      writes_per_s: the limit on rows written a second, None for no limit.
      written: the number of rows written so far.
      reads: the number of calls of read and scan so far.
      peak_writes_per_s: the largest number of rows written in one second.
      on_transact: called with each transaction before it is carried out; it
        may return a fault for it.
    """

    def __init__(self, writes_per_s: int | None = None) -> None:
        """Creates a platform with empty tables."""
        self.hosts: tuple[Host, ...] = ()
        self.down = False
        self.silent = False
        self.delay_s = 0.0
        self.late_s = 5.0
        self.writes_per_s = writes_per_s
        self.written = 0
        self.reads = 0
        self.peak_writes_per_s = 0
        self.on_transact: (
            Callable[[Sequence[Check], Sequence[Write]], Fault | None] | None
        ) = None
        self._faults: deque[Fault] = deque()
        self._store = TableStore()
        self._second = (0, 0)

    def inject(self, *faults: Fault) -> None:
        """Queues faults for the next transactions, one fault for each."""
        self._faults.extend(faults)

    def table(self, name: str) -> dict[str, Any]:
        """Returns the values of a table's rows by their keys."""
        return self._store.values(name)

    def value(self, table: str, key: str) -> Any:
        """Returns the value of one row, None for an absent one."""
        return self._store.read(table, key).value

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row without faults and without counting it."""
        self._store.write(Write(table, key, value))

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        fault = self._next_fault(checks, writes)
        if not await self._deliver() or fault is Fault.REFUSE:
            return Err(_LOST if self.silent else _REFUSED)
        if fault is Fault.LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._apply, checks, writes)
        if fault in (Fault.LATE, Fault.LOSE_REQUEST):
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        answer = self._apply(checks, writes)
        if fault is Fault.LOSE_ANSWER:
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        return answer

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        self.reads += 1
        if not await self._deliver():
            return Err(_LOST if self.silent else _REFUSED)
        return Ok(tuple(self._store.read(*key) for key in keys))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        self.reads += 1
        if not await self._deliver():
            return Err(_LOST if self.silent else _REFUSED)
        return Ok(self._store.scan(table, prefix, after, limit))

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the lagging list of hosts."""
        if not await self._deliver():
            return Err(_LOST if self.silent else _REFUSED)
        return Ok(self.hosts)

    def _next_fault(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Fault | None:
        if self.on_transact is not None:
            fault = self.on_transact(checks, writes)
            if fault is not None:
                return fault
        return self._faults.popleft() if self._faults else None

    async def _deliver(self) -> bool:
        if self.silent:
            await asyncio.sleep(TIMEOUT_S)
        elif self.delay_s:
            await asyncio.sleep(self.delay_s)
        return not self.silent and not self.down

    def _apply(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        conflicts = self._store.transact(checks, ())
        if conflicts.is_err():
            return conflicts
        if not self._try_spend(len(writes)):
            return Err(_OVER_BUDGET)
        return self._store.transact((), writes)

    def _try_spend(self, rows: int) -> bool:
        second = int(asyncio.get_running_loop().time())
        used = self._second[1] if self._second[0] == second else 0
        if self.writes_per_s is not None and used + rows > self.writes_per_s:
            return False
        self._second = (second, used + rows)
        self.peak_writes_per_s = max(self.peak_writes_per_s, used + rows)
        self.written += rows
        return True
