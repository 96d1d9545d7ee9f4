"""Attempts of a request in progress and the outcome of all attempts."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pomeloarch_core.routing import AttemptResult, ExecutorState, ServiceRouter
from pomeloarch_node.upstream_client import UpstreamAnswer
from pomeloarch_node.upstream_connector import ConnectionUse


class ExchangeOutcome(msgspec.Struct, frozen=True):
    """The outcome of all attempts of a request.

    Attributes:
      answer: the answer to pass on, None if there is none.
      results: the result of each attempt.
      detail: a description of the last failure.
    """

    answer: UpstreamAnswer | None
    results: tuple[AttemptResult, ...]
    detail: str = ""


class OpenAttempt:
    """An attempt in progress.

    Attributes:
      state: the executor to which the request is sent.
      use: the attempt's use of a connection.
      started_at: when the attempt started, in seconds of the clock.
    """

    __slots__ = ("started_at", "state", "use")

    def __init__(
        self, state: ExecutorState, use: ConnectionUse, started_at: float
    ) -> None:
        """Creates the attempt."""
        self.state = state
        self.use = use
        self.started_at = started_at


# Called for an attempt that has had no answer for too long, with the router of
# the service, the executor and the attempt's use of a connection.
SilenceHandler = Callable[[ServiceRouter, ExecutorState, ConnectionUse], None]
