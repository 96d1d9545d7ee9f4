"""Tries of a request in progress, and how all of them ended."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from pomeloarch_core.routing import AttemptResult, ExecutorState, ServiceRouter
from pomeloarch_node.upstream_client import UpstreamAnswer
from pomeloarch_node.upstream_connector import ConnectionUse


class ExchangeEnd(msgspec.Struct, frozen=True):
    """How all tries of a request ended.

    Attributes:
      answer: the answer to pass on, None if there is none.
      results: how each try ended.
      detail: what went wrong last, for people.
    """

    answer: UpstreamAnswer | None
    results: tuple[AttemptResult, ...]
    detail: str = ""


class OpenTry:
    """A try in progress.

    Attributes:
      state: the executor that it went to.
      use: what it does with connections.
      born: when it began, in seconds of the clock.
    """

    __slots__ = ("born", "state", "use")

    def __init__(
        self, state: ExecutorState, use: ConnectionUse, born: float
    ) -> None:
        """Keeps where the try went and when."""
        self.state = state
        self.use = use
        self.born = born


Suspect = Callable[[ServiceRouter, ExecutorState, ConnectionUse], None]
