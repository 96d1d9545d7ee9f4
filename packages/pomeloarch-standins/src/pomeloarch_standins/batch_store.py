"""The platform's store in memory, with a feed and the faults it is known for.

Time is that of the running loop.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_node.batch.ports import (
    HistoryGone,
    ReadStrategy,
    TableChanges,
    read_once,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)

CALL_S = 0.004
TIMEOUT_S = 1.2
# How long a caller waits for a whole table, and for a feed beyond its wait.
TABLE_TIMEOUT_S = 4.0
FEED_SLACK_S = 1.0
LATEST_S = 6.0

_LOST = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")
_AWAY = PlatformError(PlatformFailure.NOT_DONE, "the store is away")


class FeedTables:
    """Rows whose versions come from one counter, and what changed when."""

    def __init__(self) -> None:
        """Starts without rows."""
        self.version = 0
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[int, str, str]] = []
        self._forgotten = 0
        self.changed = asyncio.Event()

    def read(self, table: str, key: str) -> Row:
        """Returns a row, with version 0 when it is absent."""
        found = self._rows.get((table, key))
        if found is None:
            return Row(table, key, 0)
        return Row(table, key, found[1], msgspec.json.decode(found[0]))

    def rows(self, table: str) -> tuple[Row, ...]:
        """Returns the rows of a table in the order of their keys."""
        keys = sorted(key for found, key in self._rows if found == table)
        return tuple(self.read(table, key) for key in keys)

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict]:
        """Writes all rows if every check holds."""
        found = tuple(self.read(each.table, each.key) for each in checks)
        if any(
            row.version != check.version
            for row, check in zip(found, checks, strict=True)
        ):
            return Err(Conflict(found))
        self.version += 1
        for each in writes:
            place = each.table, each.key
            if each.value is None:
                self._rows.pop(place, None)
            else:
                self._rows[place] = (
                    msgspec.json.encode(each.value),
                    self.version,
                )
            self._changes.append((self.version, *place))
        self.changed.set()
        self.changed = asyncio.Event()
        return Ok((self.version,) * len(writes))

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row whatever its version."""
        self.transact([], [Write(table, key, value)])

    def since(self, table: str, after: int) -> tuple[Row, ...] | None:
        """Returns changed rows, None when the history was dropped."""
        if after < self._forgotten:
            return None
        keys = {
            key: version
            for version, found, key in self._changes
            if found == table and version > after
        }
        return tuple(self.read(table, key) for key in keys)

    async def wait_since(
        self, table: str, after: int, until: float
    ) -> tuple[Row, ...] | None:
        """Waits for a first change; returns what `since` does.

        Args:
          table: the table.
          after: the version after which changes count.
          until: when the wait ends without one, by the loop's time.
        """
        loop = asyncio.get_running_loop()
        while True:
            rows = self.since(table, after)
            left_s = until - loop.time()
            if rows is None or rows or left_s <= 0:
                return rows
            changed = self.changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def compact(self) -> None:
        """Drops the history."""
        self._forgotten = self.version
        self._changes.clear()


class StoreLink:
    """One node's way to the store: a `FeedStore`.

    Attributes:
      reachable: whether calls arrive.
      refusing: whether the store turns this node away.
      slow: by how much calls take longer.
      lose_share: share of writes whose answer is lost.
      late_share: share of the lost ones that take effect seconds later.
      lose_reads_share: share of reads, whole tables and feeds whose answer
        is lost.
    """

    def __init__(self, tables: FeedTables, rng: random.Random) -> None:
        """Starts as a sound link."""
        self._tables = tables
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()
        self.reachable = True
        self.refusing = False
        self.slow = 1.0
        self.lose_share = 0.0
        self.late_share = 0.0
        self.lose_reads_share = 0.0

    async def reset(self) -> None:
        """Has no connections."""

    async def _arrive(
        self, timeout_s: float = TIMEOUT_S
    ) -> PlatformError | None:
        if not self.reachable:
            await asyncio.sleep(timeout_s)
            return _LOST
        await asyncio.sleep(CALL_S * self.slow)
        return _AWAY if self.refusing else None

    async def _arrive_to_read(
        self, timeout_s: float = TIMEOUT_S
    ) -> PlatformError | None:
        share = self.lose_reads_share
        if share and self._rng.random() < share:
            await asyncio.sleep(timeout_s)
            return _LOST
        return await self._arrive(timeout_s)

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        failure = await self._arrive()
        if failure is not None:
            return Err(failure)
        if self._rng.random() < self.lose_share:
            late = self._rng.random() < self.late_share
            wait_s = self._rng.uniform(1.0, LATEST_S) if late else 0.0
            task = asyncio.create_task(self._later(wait_s, checks, writes))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        answer = self._tables.transact(checks, writes)
        await asyncio.sleep(CALL_S * self.slow)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        return answer

    async def _later(
        self, wait_s: float, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        await asyncio.sleep(wait_s)
        self._tables.transact(checks, writes)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        failure = await self._arrive_to_read()
        if failure is not None:
            return Err(failure)
        return Ok(tuple(self._tables.read(*each) for each in keys))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        failure = await self._arrive_to_read()
        if failure is not None:
            return Err(failure)
        rows = [
            each
            for each in self._tables.rows(table)
            if each.key.startswith(prefix) and each.key > after
        ]
        return Ok(tuple(rows[:limit]))

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Returns no hosts."""
        return Ok(())

    async def snapshot(
        self, table: str, ask: ReadStrategy = read_once
    ) -> Result[TableChanges, PlatformError]:
        """Reads a whole table, in one page."""
        return await ask(lambda: self._whole(table))

    async def _whole(self, table: str) -> Result[TableChanges, PlatformError]:
        failure = await self._arrive_to_read(TABLE_TIMEOUT_S)
        if failure is not None:
            return Err(failure)
        return Ok(TableChanges(self._tables.rows(table), self._tables.version))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, PlatformError | HistoryGone]:
        """Reads what changed after a version, waiting for a first change."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        failure = await self._arrive(wait_s + FEED_SLACK_S)
        if failure is not None:
            return Err(failure)
        rows = await self._tables.wait_since(table, after, began + wait_s)
        if not self.reachable:
            # A cut takes answers under way with it.
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        if rows is None:
            return Err(HistoryGone())
        share = self.lose_reads_share
        if share and self._rng.random() < share:
            await asyncio.sleep(began + wait_s + FEED_SLACK_S - loop.time())
            return Err(_LOST)
        return Ok(TableChanges(rows, self._tables.version))
