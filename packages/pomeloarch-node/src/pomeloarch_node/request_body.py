"""Reads request bodies within limits on size and memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import ServiceName
from pomeloarch_core.routing import RefusalReason, SharedBudget

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


class CallerDisconnected(msgspec.Struct, frozen=True):
    """The caller disconnected before its body was complete."""


class BodyReader:
    """Reads one body and reserves memory for it.

    Args:
      service: the requested service.
      max_bytes: the maximum size of the body.
      memory: the budget from which memory is reserved.
    """

    def __init__(
        self, service: ServiceName, max_bytes: int, memory: SharedBudget
    ) -> None:
        """Creates a reader that has read nothing."""
        self._service = service
        self._max_bytes = max_bytes
        self._memory = memory
        self._reserved = 0

    async def read(
        self, receive: Receive
    ) -> Result[bytes, RefusalReason | CallerDisconnected]:
        """Reads the complete body.

        Args:
          receive: the ASGI receive function of the request.
        """
        chunks: list[bytes] = []
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Err(CallerDisconnected())
            chunk = message.get("body", b"")
            if self._reserved + len(chunk) > self._max_bytes:
                return Err(RefusalReason.BODY_TOO_LARGE)
            if chunk and not self.reserve(len(chunk)):
                return Err(RefusalReason.MEMORY)
            chunks.append(chunk)
            more = message.get("more_body", False)
        return Ok(chunks[0] if len(chunks) == 1 else b"".join(chunks))

    def reserve(self, amount: int) -> bool:
        """Reserves memory for more bytes; returns whether there was enough."""
        if not self._memory.try_take(self._service, amount):
            return False
        self._reserved += amount
        return True

    def release(self) -> None:
        """Releases the reserved memory."""
        self._memory.give_back(self._service, self._reserved)
        self._reserved = 0
