"""Watches whether a caller is still there while its work is done."""

from __future__ import annotations

import asyncio

from pomeloarch_node.request_body import Receive

_WATCH_AFTER_S = 0.05


class CallerWatch:
    """Cancels the work of a caller that has left, while that is safe.

    It starts to watch after a moment, since most answers come before.

    Args:
      receive: the ASGI receive function of the request, its body read.

    Attributes:
      safe_to_leave: whether the work may be cancelled.
      cancelled: whether the work was cancelled, as the caller has left.
    """

    def __init__(self, receive: Receive) -> None:
        """Watches for the task that makes it."""
        self.safe_to_leave = True
        self.cancelled = False
        self._receive = receive
        self._worker = asyncio.current_task()
        self._task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_WATCH_AFTER_S, self._start)

    def stop(self) -> None:
        """Ends the watch."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        message = await self._receive()
        if message["type"] != "http.disconnect":
            return
        if self.safe_to_leave and self._worker is not None:
            self.cancelled = True
            self._worker.cancel()
