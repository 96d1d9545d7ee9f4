"""Watches over slow callers and callers that leave.

One sweep looks after all requests every moment, as a timer of its own for
each request would cost more than the rest of its policy.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pomeloarch_node.request_body import Receive

_LISTEN_AFTER_S = 0.05
_NEVER = float("inf")


class CallerWatch:
    """What one request waits for, and until when.

    Args:
      receive: the ASGI receive function of the request.

    Attributes:
      safe_to_leave: whether the work may be cancelled if the caller leaves.
      left: whether the work was cancelled, as the caller has left.
      expired: whether the work was cancelled, as the caller was too slow.
    """

    __slots__ = (
        "_limit_at",
        "_listen_at",
        "_listener",
        "_receive",
        "_worker",
        "expired",
        "left",
        "safe_to_leave",
    )

    def __init__(self, receive: Receive) -> None:
        """Watches for the task that makes it."""
        self.safe_to_leave = True
        self.left = False
        self.expired = False
        self._receive = receive
        self._worker = asyncio.current_task()
        self._limit_at = _NEVER
        self._listen_at = _NEVER
        self._listener: asyncio.Task[None] | None = None

    def limit(self, until: float) -> None:
        """Gives the caller until a time to send or take bytes."""
        self._limit_at = until

    def listen(self, now: float) -> None:
        """Notices from now on when the caller leaves; its body is read."""
        self._limit_at = _NEVER
        self._listen_at = now + _LISTEN_AFTER_S

    def stop_listening(self) -> None:
        """Doesn't care any more whether the caller leaves."""
        self._listen_at = _NEVER
        if self._listener is not None:
            self._listener.cancel()
            self._listener = None

    def take_back(self) -> None:
        """Undoes the cancellation of the worker, which goes on."""
        self.expired = False
        if self._worker is not None:
            self._worker.uncancel()

    def sweep(self, now: float) -> None:
        """Does what is due."""
        if now >= self._limit_at and self._worker is not None:
            self._limit_at = _NEVER
            self.expired = True
            self._worker.cancel()
        if now >= self._listen_at:
            self._listen_at = _NEVER
            self._listener = asyncio.create_task(self._listen())

    async def _listen(self) -> None:
        message = await self._receive()
        if message["type"] != "http.disconnect":
            return
        if self.safe_to_leave and self._worker is not None:
            self.left = True
            self._worker.cancel()


class Watchdog:
    """All watches of a node.

    Args:
      clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without watches."""
        self._clock = clock
        self._watches: set[CallerWatch] = set()

    def open(self, receive: Receive) -> CallerWatch:
        """Returns a watch over the request of the present task."""
        watch = CallerWatch(receive)
        self._watches.add(watch)
        return watch

    def close(self, watch: CallerWatch) -> None:
        """Ends a watch."""
        self._watches.discard(watch)
        watch.limit(_NEVER)
        watch.stop_listening()

    def sweep(self) -> None:
        """Does what is due at all watches."""
        now = self._clock()
        for watch in list(self._watches):
            watch.sweep(now)
