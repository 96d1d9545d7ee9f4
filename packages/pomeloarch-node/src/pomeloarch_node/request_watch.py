"""Cancels the requests of slow callers and of callers that disconnect.

One periodic sweep checks all requests, because a separate timer for each
request would cost more than all other decisions about it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pomeloarch_node.request_body import Receive

# Time after which a request starts to watch for its caller's disconnection.
_WATCH_DELAY_S = 0.05
_NEVER = float("inf")


class CallerWatch:
    """Cancels one request when its caller is too slow or disconnects.

    Args:
      receive: the ASGI receive function of the request.

    Attributes:
      is_cancellable: whether the request may be cancelled when its caller
        disconnects.
      has_caller_left: whether the request was cancelled because its caller
        disconnected.
      is_timed_out: whether the request was cancelled because its caller was
        too slow.
    """

    __slots__ = (
        "_handler_task",
        "_receive",
        "_transfer_deadline",
        "_watch_at",
        "_watch_task",
        "has_caller_left",
        "is_cancellable",
        "is_timed_out",
    )

    def __init__(self, receive: Receive) -> None:
        """Creates a watch over the current task."""
        self.is_cancellable = True
        self.has_caller_left = False
        self.is_timed_out = False
        self._receive = receive
        self._handler_task = asyncio.current_task()
        self._transfer_deadline = _NEVER
        self._watch_at = _NEVER
        self._watch_task: asyncio.Task[None] | None = None

    def set_transfer_deadline(self, until: float) -> None:
        """Sets the time by which the caller has to send or receive bytes."""
        self._transfer_deadline = until

    def watch_for_disconnect(self, now: float) -> None:
        """Watches for the caller's disconnection, once its body is read."""
        self._transfer_deadline = _NEVER
        self._watch_at = now + _WATCH_DELAY_S

    def stop_watching(self) -> None:
        """Stops watching for the caller's disconnection."""
        self._watch_at = _NEVER
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def undo_cancellation(self) -> None:
        """Undoes the cancellation of the request's task, which continues."""
        self.is_timed_out = False
        if self._handler_task is not None:
            self._handler_task.uncancel()

    def sweep(self, now: float) -> None:
        """Applies the time limit and starts to watch the caller when due."""
        if now >= self._transfer_deadline and self._handler_task is not None:
            self._transfer_deadline = _NEVER
            self.is_timed_out = True
            self._handler_task.cancel()
        if now >= self._watch_at:
            self._watch_at = _NEVER
            self._watch_task = asyncio.create_task(self._wait_for_disconnect())

    async def _wait_for_disconnect(self) -> None:
        message = await self._receive()
        if message["type"] != "http.disconnect":
            return
        if self.is_cancellable and self._handler_task is not None:
            self.has_caller_left = True
            self._handler_task.cancel()


class Watchdog:
    """The watches over all requests of a node.

    Args:
      clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates a watchdog without watches."""
        self._clock = clock
        self._watches: set[CallerWatch] = set()

    def open(self, receive: Receive) -> CallerWatch:
        """Starts a watch over the request of the current task."""
        watch = CallerWatch(receive)
        self._watches.add(watch)
        return watch

    def close(self, watch: CallerWatch) -> None:
        """Ends a watch."""
        self._watches.discard(watch)
        watch.set_transfer_deadline(_NEVER)
        watch.stop_watching()

    def sweep(self) -> None:
        """Sweeps all watches."""
        now = self._clock()
        for watch in list(self._watches):
            watch.sweep(now)
