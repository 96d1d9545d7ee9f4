"""Reads request bodies within bounds of size, time and memory."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import ServiceName
from pomeloarch_core.routing import RefusalReason, SharedBudget

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]

LONGEST_BODY_S = 10.0


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
        self, receive: Receive, timeout_s: float
    ) -> Result[bytes, RefusalReason | CallerLeft]:
        """Reads the whole body.

        Args:
          receive: the ASGI receive function of the request.
          timeout_s: how long it may take, in seconds.
        """
        first = await self._next(receive, timeout_s)
        if isinstance(first, Err):
            return first
        chunk, more = first.ok_value
        if not more:
            return Ok(chunk)
        chunks = [chunk]
        try:
            async with asyncio.timeout(min(timeout_s, LONGEST_BODY_S)):
                while more:
                    following = await self._take(receive)
                    if isinstance(following, Err):
                        return following
                    chunk, more = following.ok_value
                    chunks.append(chunk)
        except TimeoutError:
            return Err(RefusalReason.BODY_TOO_SLOW)
        return Ok(b"".join(chunks))

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

    async def _next(
        self, receive: Receive, timeout_s: float
    ) -> Result[tuple[bytes, bool], RefusalReason | CallerLeft]:
        try:
            async with asyncio.timeout(min(timeout_s, LONGEST_BODY_S)):
                return await self._take(receive)
        except TimeoutError:
            return Err(RefusalReason.BODY_TOO_SLOW)

    async def _take(
        self, receive: Receive
    ) -> Result[tuple[bytes, bool], RefusalReason | CallerLeft]:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Err(CallerLeft())
        chunk = message.get("body", b"")
        if self._held + len(chunk) > self._largest:
            return Err(RefusalReason.BODY_TOO_LARGE)
        if chunk and not self.hold(len(chunk)):
            return Err(RefusalReason.MEMORY)
        return Ok((chunk, message.get("more_body", False)))
