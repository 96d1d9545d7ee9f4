"""Determines whether this node reaches the store, from a feed and by reads."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from pomeloarch_core.batch.store_reachability import StoreReachability
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.platform import PlatformClient

# A feed that has been silent for this long, in seconds, may have lost its watch
# while the store serves other calls; a row is read to find out. Feeds of a
# quick store answer every half second.
FEED_SILENCE_S = 0.6
# How long after that read the peers are checked as well, in seconds; the store
# usually answers within a tenth of this time.
CHECK_PEERS_AFTER_S = 0.15
# Timeout of the read, in seconds. A later answer would come too late for the
# limit on the store's silence.
READ_TIMEOUT_S = 0.6
# How often the age of the feed is checked, in seconds.
CHECK_INTERVAL_S = 0.1


class StoreMonitor:
    """Tells whether the store can be reached from this node.

    Args:
      store: the store.
      feed: the mirror of a table that is followed all the time.
      row: the table and key of the row that is read as a check.
      are_peers_reachable: returns whether any peer of another zone can be
        reached.
      clock: returns monotonic time, in seconds.
      log: receives an event when this node is cut off.
    """

    def __init__(
        self,
        store: PlatformClient,
        feed: TableMirror,
        row: tuple[str, str],
        are_peers_reachable: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Starts without any answer of the store."""
        self._store = store
        self._feed = feed
        self._row = row
        self._are_peers_reachable = are_peers_reachable
        self._clock = clock
        self._log = log
        self._reachability = StoreReachability()
        self._check_requested = asyncio.Event()

    def is_reachable(self, now: float) -> bool:
        """Returns whether the store has answered recently."""
        self._record_feed_answer()
        return self._reachability.is_reachable(now)

    def request_check(self) -> None:
        """Requests a check at once; to be called when an answer is late."""
        self._check_requested.set()

    def _record_feed_answer(self) -> None:
        if self._feed.confirmed_at is not None:
            self._reachability.record_answer(self._feed.confirmed_at)

    async def run(self) -> None:
        """Checks the store whenever the feed is silent, until cancelled."""
        while True:
            await self._pause()
            self._record_feed_answer()
            now = self._clock()
            if (
                self._check_requested.is_set()
                or self._reachability.age(now) >= FEED_SILENCE_S
            ):
                await self._check_store()
                self._check_requested.clear()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._check_requested.wait()
        except TimeoutError:
            return

    async def _check_store(self) -> None:
        """Reads a row; checks the peers as well when the answer is late."""
        asked_at = self._clock()
        asking = asyncio.create_task(self._store.read([self._row]))
        try:
            await asyncio.wait({asking}, timeout=CHECK_PEERS_AFTER_S)
            if not asking.done():
                await self._check_peers(asked_at)
            left_s = asked_at + READ_TIMEOUT_S - self._clock()
            await asyncio.wait({asking}, timeout=max(0.0, left_s))
            if asking.done() and isinstance(asking.result(), Ok):
                self._reachability.record_answer(asked_at)
        finally:
            asking.cancel()

    async def _check_peers(self, asked_at: float) -> None:
        """Records that this node is cut off if no peer can be reached."""
        if await self._are_peers_reachable():
            return
        now = self._clock()
        if self.is_reachable(now):
            self._log.write(
                "node cut off",
                store_age_s=round(self._reachability.age(now), 3),
            )
        self._reachability.record_cut_off(asked_at)
