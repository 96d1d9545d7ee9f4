"""Whether this node reaches the store: from a feed, and by asking."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Ok

from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.platform import PlatformClient

# The store is in reach while it has answered this recently, in seconds. One
# that is sixty times slower than usual takes 0.25 s for an answer, and two of
# them and the wait of a feed pass between its answers.
IN_REACH_WITHIN_S = 1.4
# A feed that has said nothing for this long, in seconds, may have lost its
# watch while the store serves other calls: it is asked for a row.
ASK_AFTER_S = 0.8
# The answer counts until it would be too late for the bound above.
ASK_TIMEOUT_S = 0.6
# How often the feed's age is looked at, in seconds.
LOOK_EACH_S = 0.2


class StoreContact:
    """Knows when the store last answered.

    Args:
      store: the store.
      feed: a table that is followed all the time.
      row: the table and key of the row that is asked for.
      clock: monotonic time, in seconds.
    """

    def __init__(
        self,
        store: PlatformClient,
        feed: TableMirror,
        row: tuple[str, str],
        clock: Callable[[], float],
    ) -> None:
        """Starts without any answer."""
        self._store = store
        self._feed = feed
        self._row = row
        self._clock = clock
        self._answered_at = float("-inf")

    def in_reach(self, now: float) -> bool:
        """Whether the store has answered of late."""
        return self._age(now) < IN_REACH_WITHIN_S

    def _age(self, now: float) -> float:
        return min(self._feed.age(now), now - self._answered_at)

    async def run(self) -> None:
        """Asks whenever the feed has been silent, until it is cancelled."""
        while True:
            await asyncio.sleep(LOOK_EACH_S)
            if self._age(self._clock()) >= ASK_AFTER_S:
                await self._ask()

    async def _ask(self) -> None:
        asked_at = self._clock()
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                answer = await self._store.read([self._row])
        except TimeoutError:
            return
        if isinstance(answer, Ok):
            self._answered_at = asked_at
