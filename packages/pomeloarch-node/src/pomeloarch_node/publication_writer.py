"""Publishes: one conditional transaction on the row of the head.

The id row is written in the same transaction, so reading it back settles
an answer that was lost; the condition on its absence keeps any retry, from
whichever node, from publishing a second time.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from pomeloarch_core.ids import Generation, NodeId
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_node.platform import (
    PlatformClient,
    PlatformError,
    PlatformFailure,
)
from pomeloarch_node.publication_attempt import (
    Offload,
    Outcome,
    PublicationAttempts,
    TryAgain,
)
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publications import (
    PublicationRecord,
    PublicationRequest,
    PublishFailure,
)

PATIENCE_S = 15.0
_FIRST_DELAY_S = 0.05
_LONGEST_DELAY_S = 1.0


class PublicationWriter:
    """Publishes generations into the platform's tables.

    Args:
      platform: the platform.
      store: reads what was published before.
      node_id: the name of this node, for the audit trail.
      rng: spreads the retries of racing publishers.
      wall_clock: returns the present time in seconds of the wall clock.
      clock: returns the present time in seconds of a monotonic clock.
      sleep: waits for a number of seconds.
      offload: runs the check of a whole set beside the event loop.
      patience_s: for how long a publication is retried, in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        store: PublicationStore,
        node_id: NodeId,
        rng: random.Random,
        *,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        offload: Offload = asyncio.to_thread,
        patience_s: float = PATIENCE_S,
    ) -> None:
        """Keeps where to write."""
        self._platform = platform
        self._store = store
        self._node_id = node_id
        self._rng = rng
        self._wall_clock = wall_clock
        self._clock = clock
        self._sleep = sleep
        self._offload = offload
        self._patience_s = patience_s

    async def publish(
        self, request: PublicationRequest
    ) -> Result[Outcome, PublishFailure]:
        """Publishes, and retries until it is settled or patience ends.

        A failure other than `PlatformFailure.UNKNOWN` means for certain
        that nothing was published.
        """
        give_up_at = self._clock() + self._patience_s
        delay_s = _FIRST_DELAY_S
        attempts = PublicationAttempts(
            self._platform, self._store, request, self._offload
        )
        while True:
            record = self._record_of(request)
            attempt = await attempts.attempt(record)
            if isinstance(attempt, Ok):
                return attempt
            failure = attempt.err_value
            if not isinstance(failure, TryAgain):
                return Err(failure)
            if self._clock() + delay_s > give_up_at:
                return Err(_gave_up(failure.cause, attempts.in_doubt))
            await self._sleep(delay_s * self._rng.uniform(0.5, 1.0))
            if failure.cause is not None:
                delay_s = min(delay_s * 2, _LONGEST_DELAY_S)

    def _record_of(self, request: PublicationRequest) -> PublicationRecord:
        """Returns the record of a request that has changed nothing yet."""
        return PublicationRecord(
            generation=Generation(0),
            publication=request.publication,
            at=self._wall_clock(),
            who=request.who,
            why=request.why,
            origin=request.origin,
            node=self._node_id,
            before=ObjectSet(),
            after=ObjectSet(),
            rolled_back_to=request.rolled_back_to,
        )


def _gave_up(cause: PlatformError | None, in_doubt: bool) -> PlatformError:
    if in_doubt:
        return PlatformError(
            PlatformFailure.UNKNOWN,
            "the platform's answer was lost and could not be read back",
        )
    message = "lost every race against other publications"
    if cause is not None:
        message = cause.message
    return PlatformError(PlatformFailure.NOT_DONE, message)
