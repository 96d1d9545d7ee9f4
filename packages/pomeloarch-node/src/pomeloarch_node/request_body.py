"""Reads request bodies within bounds of size and memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import ServiceName
from pomeloarch_core.routing import RefusalReason, SharedBudget

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]


class CallerLeft(msgspec.Struct, frozen=True):
    """The caller closed its connection before its body was complete."""


class BodyReader:
    """Reads one body and holds its share of the memory.

    Args:
      service: the service that the body is for.
      largest: the most bytes that it may have.
      memory: where the bytes are accounted.
    """

    def __init__(
        self, service: ServiceName, largest: int, memory: SharedBudget
    ) -> None:
        """Starts with nothing read."""
        self._service = service
        self._largest = largest
        self._memory = memory
        self._held = 0

    async def read(
        self, receive: Receive
    ) -> Result[bytes, RefusalReason | CallerLeft]:
        """Reads the whole body.

        Args:
          receive: the ASGI receive function of the request.
        """
        chunks: list[bytes] = []
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return Err(CallerLeft())
            chunk = message.get("body", b"")
            if self._held + len(chunk) > self._largest:
                return Err(RefusalReason.BODY_TOO_LARGE)
            if chunk and not self.hold(len(chunk)):
                return Err(RefusalReason.MEMORY)
            chunks.append(chunk)
            more = message.get("more_body", False)
        return Ok(chunks[0] if len(chunks) == 1 else b"".join(chunks))

    def hold(self, amount: int) -> bool:
        """Accounts more bytes, if there is memory for them."""
        if not self._memory.try_take(self._service, amount):
            return False
        self._held += amount
        return True

    def release(self) -> None:
        """Gives the memory back."""
        self._memory.give_back(self._service, self._held)
        self._held = 0
