"""An in-memory double of the platform's store, with a change feed and faults.

Its time is the time of the running event loop, which may be virtual.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_node.batch.ports import (
    HistoryGone,
    ReadStrategy,
    TableChanges,
    read_once,
)
from pomeloarch_node.batch.records import shard_of_row
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    StoreLimits,
    Write,
)

# Delay of a call while the link is not slow, in seconds; a write has it twice.
CALL_LATENCY_S = 0.004
# Time after which a caller gives up a call, in seconds.
TIMEOUT_S = 1.2
# Time that a caller allows for reading a whole table, and for the answer of a
# feed beyond the wait that it asked for, in seconds.
TABLE_TIMEOUT_S = 4.0
FEED_SLACK_S = 1.0
# Upper limit of the delay after which a lost write still takes effect, in
# seconds.
MAX_LATE_S = 6.0

# Maximum number of rows in a page of a table.
PAGE_ROWS = 500
# Bytes that an entry of a transaction takes besides its value, about.
_ENTRY_BYTES = 120

_LOST = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")
_UNAVAILABLE = PlatformError(
    PlatformFailure.NOT_DONE, "the store is unavailable"
)


def _refused(message: str) -> Err[PlatformError]:
    return Err(
        PlatformError(
            PlatformFailure.NOT_DONE, message, reached=True, permanent=True
        )
    )


class FeedTables:
    """Rows versioned by one counter, with the history of their changes.

    Attributes:
      limits: what one transaction may hold.
      refusals: the messages of the transactions that exceeded a limit.
      version: the version of the latest transaction.
      changed: set at the next change, and then replaced by a new event.
      on_write: called with each write that takes effect.
    """

    def __init__(self, limits: StoreLimits | None = None) -> None:
        """Creates tables without rows."""
        self.limits = limits or StoreLimits()
        self.refusals: list[str] = []
        self.version = 0
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[int, str, str]] = []
        self._history_start = 0
        self.changed = asyncio.Event()
        self.on_write: Callable[[Write], None] | None = None

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

    def page(self, table: str, after: str) -> tuple[tuple[Row, ...], bool]:
        """Returns the first rows above a key that fit in a page.

        Returns:
          The rows in the order of their keys, and whether there are more.
        """
        keys = sorted(
            key for found, key in self._rows if found == table and key > after
        )
        size = count = 0
        for key in keys[:PAGE_ROWS]:
            size += len(self._rows[table, key][0]) * 4 // 3
            if count and size > self.limits.transaction_bytes:
                break
            count += 1
        rows = tuple(self.read(table, key) for key in keys[:count])
        return rows, count < len(keys)

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if every check holds and no limit is exceeded."""
        excess = self._find_excess(checks, writes)
        if excess is not None:
            self.refusals.append(excess)
            return _refused(excess)
        found = tuple(self.read(each.table, each.key) for each in checks)
        if any(
            row.version != check.version
            for row, check in zip(found, checks, strict=True)
        ):
            return Err(Conflict(found))
        self.version += 1
        for each in writes:
            row_key = each.table, each.key
            if each.value is None:
                self._rows.pop(row_key, None)
            else:
                self._rows[row_key] = (
                    msgspec.json.encode(each.value),
                    self.version,
                )
            self._changes.append((self.version, *row_key))
            if self.on_write is not None:
                self.on_write(each)
        self.changed.set()
        self.changed = asyncio.Event()
        return Ok((self.version,) * len(writes))

    def _find_excess(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> str | None:
        """Returns which limit a transaction exceeds, None for none."""
        entries = len(checks) + len(writes)
        if entries > self.limits.transaction_entries:
            return f"a transaction of {entries} entries"
        total = entries * _ENTRY_BYTES
        for each in writes:
            if each.value is None:
                continue
            size = len(msgspec.json.encode(each.value))
            if size > self.limits.row_bytes:
                return f"{each.table}/{each.key} has {size} bytes"
            total += size * 4 // 3
        if total > self.limits.transaction_bytes:
            return f"a transaction of {total} bytes"
        return None

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row without checking its version."""
        self.transact([], [Write(table, key, value)])

    def changed_since(self, table: str, after: int) -> tuple[Row, ...] | None:
        """Returns the rows of a table that changed after a version.

        Returns:
          The rows, or None when the history back to then was dropped.
        """
        if after < self._history_start:
            return None
        keys = {
            key: version
            for version, found, key in self._changes
            if found == table and version > after
        }
        return tuple(self.read(table, key) for key in keys)

    async def wait_for_changes(
        self, table: str, after: int, until: float
    ) -> tuple[Row, ...] | None:
        """Waits for a change, and returns the same as `changed_since`.

        Args:
          table: the table.
          after: the version after which changes count.
          until: the loop's time at which the wait ends without a change.
        """
        loop = asyncio.get_running_loop()
        while True:
            rows = self.changed_since(table, after)
            remaining_s = until - loop.time()
            if rows is None or rows or remaining_s <= 0:
                return rows
            changed = self.changed
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def compact(self) -> None:
        """Drops the history of changes up to the current version."""
        self._history_start = self.version
        self._changes.clear()


class StoreLink:
    """One node's connection to the store, a `FeedStore`.

    Attributes:
      reachable: whether calls reach the store.
      refusing: whether the store refuses this node's calls.
      slow_factor: how many times as long calls take; a write that takes longer
        than its caller waits still takes effect.
      lose_share: the share of writes whose answer is lost.
      late_share: the share of those writes that take effect only seconds later.
      late_shards: shards whose writes get no answer and take effect late.
      late_by_s: after how many seconds they do.
      lose_reads_share: the share of reads, table reads and feeds whose answer
        is lost.
      refused_tables: tables whose writes the store refuses.
    """

    def __init__(self, tables: FeedTables, rng: random.Random) -> None:
        """Creates a link without faults."""
        self._tables = tables
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()
        self.reachable = True
        self.refusing = False
        self.slow_factor = 1.0
        self.lose_share = 0.0
        self.late_share = 0.0
        self.late_shards: frozenset[int] = frozenset()
        self.late_by_s = 0.0
        self.lose_reads_share = 0.0
        self.refused_tables: frozenset[str] = frozenset()

    async def reset(self) -> None:
        """Does nothing, because there are no connections."""

    async def _deliver(
        self, timeout_s: float = TIMEOUT_S
    ) -> PlatformError | None:
        if not self.reachable:
            await asyncio.sleep(timeout_s)
            return _LOST
        latency_s = CALL_LATENCY_S * self.slow_factor
        await asyncio.sleep(min(latency_s, timeout_s))
        if latency_s > timeout_s:
            return _LOST
        return _UNAVAILABLE if self.refusing else None

    async def _deliver_read(
        self, timeout_s: float = TIMEOUT_S
    ) -> PlatformError | None:
        share = self.lose_reads_share
        if share and self._rng.random() < share:
            await asyncio.sleep(timeout_s)
            return _LOST
        return await self._deliver(timeout_s)

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        latency_s = CALL_LATENCY_S * self.slow_factor
        if self.reachable and not self.refusing and 2 * latency_s > TIMEOUT_S:
            self._write_after(latency_s, checks, writes)
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        failure = await self._deliver()
        if failure is not None:
            return Err(failure)
        if any(each.table in self.refused_tables for each in writes):
            return Err(_UNAVAILABLE)
        if any(
            shard_of_row(each.table, each.key) in self.late_shards
            for each in writes
        ):
            self._write_after(self.late_by_s, checks, writes)
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        if self._rng.random() < self.lose_share:
            late = self._rng.random() < self.late_share
            wait_s = self._rng.uniform(1.0, MAX_LATE_S) if late else 0.0
            self._write_after(wait_s, checks, writes)
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        answer = self._tables.transact(checks, writes)
        await asyncio.sleep(CALL_LATENCY_S * self.slow_factor)
        if isinstance(answer, Err):
            return Err(answer.err_value)
        return answer

    def _write_after(
        self, wait_s: float, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        task = asyncio.create_task(self._write_later(wait_s, checks, writes))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _write_later(
        self, wait_s: float, checks: Sequence[Check], writes: Sequence[Write]
    ) -> None:
        await asyncio.sleep(wait_s)
        self._tables.transact(checks, writes)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        failure = await self._deliver_read()
        if failure is not None:
            return Err(failure)
        return Ok(tuple(self._tables.read(*each) for each in keys))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        failure = await self._deliver_read()
        if failure is not None:
            return Err(failure)
        rows = [
            each
            for each in self._tables.rows(table)
            if each.key.startswith(prefix) and each.key > after
        ]
        return Ok(tuple(rows[:limit]))

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Returns an empty list of hosts."""
        return Ok(())

    async def snapshot(
        self, table: str, ask: ReadStrategy = read_once
    ) -> Result[TableChanges, PlatformError]:
        """Reads a whole table page by page, as of its first page."""
        found: list[Row] = []
        version: int | None = None
        while True:
            after = found[-1].key if found else ""
            answer = await ask(functools.partial(self._read_page, table, after))
            if isinstance(answer, Err):
                return answer
            rows, at, has_more = answer.ok_value
            found += rows
            version = at if version is None else version
            if not has_more:
                return Ok(TableChanges(tuple(found), version))

    async def _read_page(
        self, table: str, after: str
    ) -> Result[tuple[tuple[Row, ...], int, bool], PlatformError]:
        failure = await self._deliver_read(TABLE_TIMEOUT_S)
        if failure is not None:
            return Err(failure)
        rows, has_more = self._tables.page(table, after)
        return Ok((rows, self._tables.version, has_more))

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, PlatformError | HistoryGone]:
        """Reads the changes after a version, waiting for the first one."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        failure = await self._deliver(wait_s + FEED_SLACK_S)
        if failure is not None:
            return Err(failure)
        rows = await self._tables.wait_for_changes(
            table, after, started_at + wait_s
        )
        if not self.reachable:
            # A network partition also loses the answers in transit.
            await asyncio.sleep(TIMEOUT_S)
            return Err(_LOST)
        if rows is None:
            return Err(HistoryGone())
        share = self.lose_reads_share
        if share and self._rng.random() < share:
            await asyncio.sleep(
                started_at + wait_s + FEED_SLACK_S - loop.time()
            )
            return Err(_LOST)
        return Ok(TableChanges(rows, self._tables.version))
