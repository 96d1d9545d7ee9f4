"""Keeps the runs on a worker at the pace that was ordered last.

An order without an answer may be carried out seconds later, after a newer one
for the same run. As long as that can happen, the newest order is repeated.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from result import Ok, Result

from pomeloarch_core.batch.messages import PaceTask, RunNumber, TaskId
from pomeloarch_node.batch.ports import OrderFailure

# Pause before an order without an answer is sent again, in seconds; each
# further pause is twice as long.
RETRY_PAUSE_S = 0.2
# Time between two repetitions of an order, in seconds: for this long, a run may
# work at an earlier pace. It has to be well below the time for which a serving
# task may be disturbed.
REPEAT_INTERVAL_S = 1.0


class _RunPace:
    """What is known of the pace of one run.

    Attributes:
      order: the newest order.
      changed: set when there is a newer order than the one being sent.
      is_kept: whether the newest order is being sent or repeated.
      unanswered: each pace that an order without an answer may still set, and
        until when it may.
    """

    def __init__(self, order: PaceTask) -> None:
        self.order = order
        self.changed = asyncio.Event()
        self.is_kept = False
        self.unanswered: dict[int, float] = {}

    def undone_until(self, percent: int) -> float:
        """Returns until when an order may set another pace."""
        return max(
            (until for p, until in self.unanswered.items() if p != percent),
            default=0.0,
        )


class PaceOrders:
    """Sends the orders of pace to a worker, one at a time for each run.

    Args:
      send: sends an order once.
      is_wanted: returns whether the run of an order is still to be paced.
      clock: returns monotonic time, in seconds.
      max_delay_s: longest time after which an order without an answer may still
        be carried out, in seconds.
    """

    def __init__(
        self,
        send: Callable[[PaceTask], Awaitable[Result[None, OrderFailure]]],
        is_wanted: Callable[[PaceTask], bool],
        clock: Callable[[], float],
        max_delay_s: float,
    ) -> None:
        """Starts without any orders."""
        self._send = send
        self._is_wanted = is_wanted
        self._clock = clock
        self._max_delay_s = max_delay_s
        self._runs: dict[tuple[TaskId, RunNumber], _RunPace] = {}

    async def carry_out(self, order: PaceTask) -> None:
        """Sends an order until no earlier one for its run can undo it.

        Returns at once if an earlier order is still being sent: its call then
        goes on with this one.
        """
        self._forget_settled()
        pace = self._runs.setdefault((order.task, order.run), _RunPace(order))
        pace.order = order
        pace.changed.set()
        if pace.is_kept:
            return
        pace.is_kept = True
        try:
            await self._keep(pace)
        finally:
            pace.is_kept = False

    def _forget_settled(self) -> None:
        now = self._clock()
        for key, pace in list(self._runs.items()):
            if not pace.is_kept and all(
                until <= now for until in pace.unanswered.values()
            ):
                del self._runs[key]

    async def _keep(self, pace: _RunPace) -> None:
        pause_s = RETRY_PAUSE_S
        while self._is_wanted(pace.order):
            if pace.changed.is_set():
                pace.changed.clear()
                pause_s = RETRY_PAUSE_S
            order, sent_at = pace.order, self._clock()
            answer = await self._send(order)
            if isinstance(answer, Ok):
                pause_s = REPEAT_INTERVAL_S
                if (
                    not pace.changed.is_set()
                    and pace.undone_until(order.percent) <= sent_at
                ):
                    return
            elif answer.err_value is OrderFailure.OTHER_WORKER:
                return
            elif answer.err_value is OrderFailure.NO_ANSWER:
                pace.unanswered[order.percent] = sent_at + self._max_delay_s
            await _wait(pace.changed, pause_s)
            pause_s = min(2 * pause_s, REPEAT_INTERVAL_S)


async def _wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event for a limited time."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
