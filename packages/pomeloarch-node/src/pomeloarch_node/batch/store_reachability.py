"""Whether this node reaches the store: from a feed, and by asking."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok

from pomeloarch_core.batch.store_reachability import StoreReachability
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.platform import PlatformClient

# A feed that has said nothing for this long, in seconds, may have lost its
# watch while the store serves other calls: it is asked for a row. Feeds of a
# quick store say something each half second.
ASK_AFTER_S = 0.6
# When the peers are asked as well, in seconds after the store: it usually
# answers within a tenth of that.
ASK_PEERS_AFTER_S = 0.15
# The answer counts until it would be too late for the bound on the store's
# silence.
ASK_TIMEOUT_S = 0.6
# How often the feed's age is looked at, in seconds.
LOOK_EACH_S = 0.1


class StoreContact:
    """Knows whether the store can be reached from here.

    Args:
      store: the store.
      feed: a table that is followed all the time.
      row: the table and key of the row that is asked for.
      peers_in_reach: whether peers of other zones can be reached.
      clock: monotonic time, in seconds.
      log: where it is written that this node is cut off.
    """

    def __init__(
        self,
        store: PlatformClient,
        feed: TableMirror,
        row: tuple[str, str],
        peers_in_reach: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Starts without any answer."""
        self._store = store
        self._feed = feed
        self._row = row
        self._peers_in_reach = peers_in_reach
        self._clock = clock
        self._log = log
        self._reach = StoreReachability()
        self._suspected = asyncio.Event()

    def in_reach(self, now: float) -> bool:
        """Whether the store has answered of late."""
        self._take_feed()
        return self._reach.in_reach(now)

    def suspect(self) -> None:
        """Has the store asked now: an answer that needs it is late."""
        self._suspected.set()

    def _take_feed(self) -> None:
        if self._feed.confirmed_at is not None:
            self._reach.record_answer(self._feed.confirmed_at)

    async def run(self) -> None:
        """Asks whenever the feed has been silent, until it is cancelled."""
        while True:
            await self._pause()
            self._take_feed()
            now = self._clock()
            if self._suspected.is_set() or self._reach.age(now) >= ASK_AFTER_S:
                await self._ask()
                self._suspected.clear()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(LOOK_EACH_S):
                await self._suspected.wait()
        except TimeoutError:
            return

    async def _ask(self) -> None:
        asked_at = self._clock()
        asking = asyncio.create_task(self._store.read([self._row]))
        try:
            await asyncio.wait({asking}, timeout=ASK_PEERS_AFTER_S)
            if not asking.done():
                await self._ask_peers(asked_at)
            left_s = asked_at + ASK_TIMEOUT_S - self._clock()
            await asyncio.wait({asking}, timeout=max(0.0, left_s))
            if asking.done() and isinstance(asking.result(), Ok):
                self._reach.record_answer(asked_at)
        finally:
            asking.cancel()

    async def _ask_peers(self, asked_at: float) -> None:
        if await self._peers_in_reach():
            return
        now = self._clock()
        if self.in_reach(now):
            self._log.write(
                "node cut off", store_age_s=round(self._reach.age(now), 3)
            )
        self._reach.record_cut_off(asked_at)
