"""A table of the store as this node knows it, kept up by the store's feed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from result import Err

from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore, HistoryGone, TableChanges
from pomeloarch_node.platform import Row

# Pause after a failed call, in seconds; several fit into the time in which a
# configuration has to be in force.
RETRY_PAUSE_S = 0.2

OnChanges = Callable[[TableChanges, bool], None]


class TableMirror:
    """Follows one table; rows are replaced, never moved back.

    Attributes:
      rows: the values by key.
      versions: the rows' versions by key.
      confirmed_at: as of when this is known to be complete, by the clock.

    Args:
      store: the store.
      table: the table's name.
      clock: monotonic time, in seconds.
      log: where the loss and return of the store is written.
      wait_s: how long a call waits for a change, in seconds.
      pace_s: least time between two calls, in seconds.
    """

    def __init__(
        self,
        store: FeedStore,
        table: str,
        clock: Callable[[], float],
        log: DecisionLog,
        wait_s: float,
        pace_s: float,
    ) -> None:
        """Starts empty."""
        self.rows: dict[str, Any] = {}
        self.versions: dict[str, int] = {}
        self.confirmed_at: float | None = None
        self.connected = False
        self._store = store
        self._table = table
        self._clock = clock
        self._log = log
        self._wait_s = wait_s
        self._pace_s = pace_s
        self._version: int | None = None
        self._listeners: list[OnChanges] = []
        self.loaded = asyncio.Event()

    def subscribe(self, listener: OnChanges) -> None:
        """Calls `listener(changes, whole)` for changes, or the whole table."""
        self._listeners.append(listener)

    def age(self, now: float) -> float:
        """Returns how old this may be, in seconds."""
        if self.confirmed_at is None:
            return float("inf")
        return max(0.0, now - self.confirmed_at)

    async def run(self) -> None:
        """Follows the table until it is cancelled."""
        while True:
            began = self._clock()
            ok = await (
                self._load() if self._version is None else self._follow()
            )
            if not ok:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            rest_s = self._pace_s - (self._clock() - began)
            if rest_s > 0:
                await asyncio.sleep(rest_s)

    async def _load(self) -> bool:
        sent_at = self._clock()
        answer = await self._store.snapshot(self._table)
        if isinstance(answer, Err):
            return self._failed(answer.err_value.message)
        self._note_connection(True, "")
        self.rows.clear()
        self.versions.clear()
        self._take(answer.ok_value, whole=True)
        self.confirmed_at = sent_at
        self.loaded.set()
        return True

    async def _follow(self) -> bool:
        sent_at = self._clock()
        assert self._version is not None
        answer = await self._store.changes(
            self._table, self._version, self._wait_s
        )
        if isinstance(answer, Err):
            error = answer.err_value
            if isinstance(error, HistoryGone):
                self._log.write("history of table gone", table=self._table)
                self._version = None
                return True
            return self._failed(error.message)
        self._note_connection(True, "")
        if answer.ok_value.rows:
            self._take(answer.ok_value, whole=False)
            self.confirmed_at = sent_at
        else:
            # Without a change, the answer is given after the whole wait.
            waited_s = min(self._wait_s, self._clock() - sent_at)
            self.confirmed_at = sent_at + waited_s
            self._version = max(self._version, answer.ok_value.version)
        return True

    def _take(self, changes: TableChanges, whole: bool) -> None:
        for row in changes.rows:
            self._apply(row)
        self._version = changes.version
        for listener in self._listeners:
            listener(changes, whole)

    def _apply(self, row: Row) -> None:
        if row.value is None:
            self.rows.pop(row.key, None)
            self.versions.pop(row.key, None)
        else:
            self.rows[row.key] = row.value
            self.versions[row.key] = row.version

    def _failed(self, reason: str) -> bool:
        self._note_connection(False, reason)
        return False

    def _note_connection(self, connected: bool, reason: str) -> None:
        if connected != self.connected:
            self.connected = connected
            event = "table followed" if connected else "table lost"
            self._log.write(event, table=self._table, reason=reason)
