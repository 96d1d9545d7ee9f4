"""What each part of a node gives to the process that runs it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from starlette.routing import BaseRoute


class Component(Protocol):
    """A part of the node with its own task, sockets and state."""

    def routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes that the part answers."""

    async def run(self) -> None:
        """Does the part's work until it is cancelled."""

    async def drain(self) -> None:
        """Ends the part in a planned way; no request in progress is cut."""

    def status(self) -> dict[str, Any]:
        """Returns the part's share of `GET /v1/status`."""


class BackgroundPart:
    """A part that answers no caller, run and ended by its own functions.

    Args:
      run: does the part's work until it is cancelled.
      drain: ends the part in a planned way, nothing to do by default.
      status: returns the part's share of the status.
    """

    def __init__(
        self,
        run: Callable[[], Awaitable[None]],
        drain: Callable[[], Awaitable[None]] | None = None,
        status: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        """Keeps the functions."""
        self._run = run
        self._drain = drain
        self._status = status

    def routes(self) -> list[BaseRoute]:
        """Returns no route."""
        return []

    async def run(self) -> None:
        """Does the part's work until it is cancelled."""
        await self._run()

    async def drain(self) -> None:
        """Ends the part in a planned way."""
        if self._drain is not None:
            await self._drain()

    def status(self) -> dict[str, Any]:
        """Returns the part's share of the status."""
        return self._status()
