"""Publishes objects in one transaction, conditional on the head's row.

The same transaction writes the row of the publication's id, so reading this row
back tells whether a transaction without an answer took effect. The condition
that this row is absent prevents a retry from any node from publishing a second
time.
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
    PublicationAttempts,
    PublicationOutcome,
    RetryableFailure,
)
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publications import (
    PublicationRecord,
    PublicationRequest,
    PublishFailure,
)

# Time for which a publication is retried, in seconds.
RETRY_TIMEOUT_S = 15.0
# Delay before the first retry, and the limit up to which failures double it, in
# seconds.
_INITIAL_DELAY_S = 0.05
_MAX_DELAY_S = 1.0


class PublicationWriter:
    """Writes publications to the platform's tables.

    Args:
      platform: the client of the platform.
      store: reads earlier publications.
      node_id: the name of this node, for the audit trail.
      rng: randomises the delays of concurrent publishers.
      wall_clock: returns the current time of the wall clock, in seconds.
      clock: returns the current time of a monotonic clock, in seconds.
      sleep: waits for a number of seconds.
      offload: runs the check of a whole set outside the event loop.
      retry_timeout_s: time for which a publication is retried, in seconds.
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
        retry_timeout_s: float = RETRY_TIMEOUT_S,
    ) -> None:
        """Creates a writer for a node."""
        self._platform = platform
        self._store = store
        self._node_id = node_id
        self._rng = rng
        self._wall_clock = wall_clock
        self._clock = clock
        self._sleep = sleep
        self._offload = offload
        self._retry_timeout_s = retry_timeout_s

    async def publish(
        self, request: PublicationRequest
    ) -> Result[PublicationOutcome, PublishFailure]:
        """Publishes, with retries until the outcome is known or time is up.

        A failure other than `PlatformFailure.UNKNOWN` means that certainly
        nothing was published.
        """
        give_up_at = self._clock() + self._retry_timeout_s
        delay_s = _INITIAL_DELAY_S
        attempts = PublicationAttempts(
            self._platform, self._store, request, self._offload
        )
        while True:
            record = self._make_record(request)
            attempt = await attempts.attempt(record)
            if isinstance(attempt, Ok):
                return attempt
            failure = attempt.err_value
            if not isinstance(failure, RetryableFailure):
                return Err(failure)
            if self._clock() + delay_s > give_up_at:
                return Err(
                    _make_timeout_error(
                        failure.cause, attempts.is_outcome_unknown
                    )
                )
            await self._sleep(delay_s * self._rng.uniform(0.5, 1.0))
            if failure.cause is not None:
                delay_s = min(delay_s * 2, _MAX_DELAY_S)

    def _make_record(self, request: PublicationRequest) -> PublicationRecord:
        """Returns the record of a request, without generation and objects."""
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


def _make_timeout_error(
    cause: PlatformError | None, is_outcome_unknown: bool
) -> PlatformError:
    if is_outcome_unknown:
        return PlatformError(
            PlatformFailure.UNKNOWN,
            "the platform's answer was lost and could not be read back",
        )
    message = "lost every race against other publications"
    if cause is not None:
        message = cause.message
    return PlatformError(PlatformFailure.NOT_DONE, message)
