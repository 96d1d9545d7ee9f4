"""A local copy of one table of the store, updated from the store's feed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err

from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore, HistoryGone, TableChanges
from pomeloarch_node.platform import Row

# Pause after a failed call, in seconds. Several such pauses fit into the time
# within which a configuration has to be in force.
RETRY_PAUSE_S = 0.2

ChangeListener = Callable[[TableChanges, bool], None]


class TableMirror:
    """Keeps the rows of one table up to date.

    A row is only ever replaced by a newer version of it. What has been read
    stays while `run` is interrupted, and is brought up to date by the next one.

    Attributes:
      rows: the values by key.
      versions: the rows' versions by key.
      confirmed_at: the time, by the clock, at which the rows were last known to
        be complete; None before the first answer.
      connected: whether the last call to the store succeeded.
      loaded: set once the table has been read for the first time.

    Args:
      store: the store.
      table: the table's name.
      clock: returns monotonic time, in seconds.
      log: receives an event when the store is lost or back.
      wait_s: how long a call waits for a change, in seconds.
      min_interval_s: minimum time between two calls, in seconds.
    """

    def __init__(
        self,
        store: FeedStore,
        table: str,
        clock: Callable[[], float],
        log: DecisionLog,
        wait_s: float,
        min_interval_s: float,
    ) -> None:
        """Starts without any rows."""
        self.rows: dict[str, Any] = {}
        self.versions: dict[str, int] = {}
        self.confirmed_at: float | None = None
        self.connected = False
        self._store = store
        self._table = table
        self._clock = clock
        self._log = log
        self._wait_s = wait_s
        self._min_interval_s = min_interval_s
        self._version: int | None = None
        self._listeners: list[ChangeListener] = []
        self.loaded = asyncio.Event()

    def subscribe(self, listener: ChangeListener) -> None:
        """Registers a function to be called with changes.

        Args:
          listener: called as `listener(changes, is_snapshot)`, where
            `is_snapshot` tells whether the changes are a snapshot of the whole
            table.
        """
        self._listeners.append(listener)

    def unsubscribe(self, listener: ChangeListener) -> None:
        """Ends a subscription."""
        self._listeners.remove(listener)

    @property
    def version(self) -> int:
        """The version of the table that the rows are of, 0 before any."""
        return self._version or 0

    def age(self, now: float) -> float:
        """Returns how outdated the rows may be, in seconds."""
        if self.confirmed_at is None:
            return float("inf")
        return max(0.0, now - self.confirmed_at)

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            began = self._clock()
            ok = await (
                self._load() if self._version is None else self._follow()
            )
            if not ok:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            pause_s = self._min_interval_s - (self._clock() - began)
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    async def refresh(self) -> bool:
        """Brings the rows up to date at once, also while `run` is running.

        Returns:
          Whether the rows contain all changes that were made before the call.
        """
        if self._version is not None and not await self._read_changes(0.0):
            return False
        return self._version is not None or await self._load()

    async def _load(self) -> bool:
        sent_at = self._clock()
        answer = await self._store.snapshot(self._table)
        if isinstance(answer, Err):
            return self._report_failure(answer.err_value.message)
        self._set_connected(True, "")
        if answer.ok_value.version < self.version:
            # Another call has read the table meanwhile.
            return True
        self.rows.clear()
        self.versions.clear()
        self._apply(answer.ok_value, is_snapshot=True)
        self.confirmed_at = sent_at
        self.loaded.set()
        return True

    async def _follow(self) -> bool:
        return await self._read_changes(self._wait_s)

    async def _read_changes(self, wait_s: float) -> bool:
        """Reads the changes; returns whether the store has answered."""
        sent_at = self._clock()
        assert self._version is not None
        answer = await self._store.changes(self._table, self._version, wait_s)
        if isinstance(answer, Err):
            error = answer.err_value
            if isinstance(error, HistoryGone):
                self._log.write("history of table gone", table=self._table)
                self._version = None
                return True
            return self._report_failure(error.message)
        self._set_connected(True, "")
        if self._version is None:
            # Another call has found the history gone; the table is read anew.
            return True
        changes = answer.ok_value
        confirmed_at = sent_at
        if changes.rows:
            # Another answer may have brought these changes and later ones.
            if changes.version > self._version:
                self._apply(changes, is_snapshot=False)
        else:
            # An answer without changes is sent at the end of the wait.
            confirmed_at += min(wait_s, self._clock() - sent_at)
            self._version = max(self._version, changes.version)
        self.confirmed_at = max(self.confirmed_at or 0.0, confirmed_at)
        return True

    def _apply(self, changes: TableChanges, is_snapshot: bool) -> None:
        for row in changes.rows:
            self._apply_row(row)
        self._version = changes.version
        for listener in self._listeners:
            listener(changes, is_snapshot)

    def _apply_row(self, row: Row) -> None:
        if row.value is None:
            self.rows.pop(row.key, None)
            self.versions.pop(row.key, None)
        else:
            self.rows[row.key] = row.value
            self.versions[row.key] = row.version

    def _report_failure(self, reason: str) -> bool:
        self._set_connected(False, reason)
        return False

    def _set_connected(self, connected: bool, reason: str) -> None:
        if connected != self.connected:
            self.connected = connected
            event = "table followed" if connected else "table lost"
            self._log.write(event, table=self._table, reason=reason)
