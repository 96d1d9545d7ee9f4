"""What each part of a node gives to the process that runs it."""

from __future__ import annotations

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
