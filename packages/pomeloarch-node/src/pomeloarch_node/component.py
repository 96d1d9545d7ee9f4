"""The interface between a node and its components."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from starlette.routing import BaseRoute


class Component(Protocol):
    """A component of the node with its own task, sockets and state."""

    def routes(self) -> list[BaseRoute]:
        """Returns the component's HTTP routes."""

    async def run(self) -> None:
        """Runs the component until it is cancelled."""

    async def drain(self) -> None:
        """Finishes the component's work; aborts no request in progress."""

    def status(self) -> dict[str, Any]:
        """Returns the component's section of `GET /v1/status`."""


class BackgroundComponent:
    """A component without HTTP routes, made of functions.

    Args:
      run: runs the component until it is cancelled.
      drain: finishes the component's work; None if there is nothing to do.
      status: returns the component's section of the status.
    """

    def __init__(
        self,
        run: Callable[[], Awaitable[None]],
        drain: Callable[[], Awaitable[None]] | None = None,
        status: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        """Creates a component from its functions."""
        self._run = run
        self._drain = drain
        self._status = status

    def routes(self) -> list[BaseRoute]:
        """Returns an empty list."""
        return []

    async def run(self) -> None:
        """Runs the component until it is cancelled."""
        await self._run()

    async def drain(self) -> None:
        """Finishes the component's work."""
        if self._drain is not None:
            await self._drain()

    def status(self) -> dict[str, Any]:
        """Returns the component's section of the status."""
        return self._status()
