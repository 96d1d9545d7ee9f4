"""An entry host with naive routing, for comparison with the product."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from pomeloarch_core.ids import ExecutorId, ZoneName
from pomeloarch_core.routing import AttemptResult, RunStatus
from pomeloarch_standins.executor_nodes import Completion, OnComplete, Work
from pomeloarch_standins.executor_timeline import (
    AttemptEnd,
    FakeExecutor,
    Links,
    Timeline,
)


class NaiveNode:
    """An entry host with round robin and a FIFO queue.

    It limits its requests in progress to an equal share of all slots.
    """

    def __init__(
        self,
        timeline: Timeline,
        zone: ZoneName,
        executors: Mapping[ExecutorId, FakeExecutor],
        links: Links,
        limit: int,
        on_complete: OnComplete,
    ) -> None:
        """Creates a host with an empty queue."""
        self.zone = zone
        self._timeline = timeline
        self._executors = list(executors.values())
        self._links = links
        self._limit = limit
        self._on_complete = on_complete
        self._queue: deque[Work] = deque()
        self._in_progress = 0
        self._next = 0

    def arrive(self, work: Work) -> None:
        """Accepts a request that arrives now."""
        self._queue.append(work)
        self._send_waiting()

    def _send_waiting(self) -> None:
        while self._queue and self._in_progress < self._limit:
            work = self._queue.popleft()
            if work.deadline <= self._timeline.now:
                self._end(work, False)
                continue
            self._in_progress += 1
            self._next = (self._next + 1) % len(self._executors)
            self._send(work, self._executors[self._next])

    def _send(self, work: Work, executor: FakeExecutor) -> None:
        is_open = [True]

        def _on_end(end: AttemptEnd) -> None:
            if is_open[0]:
                is_open[0] = False
                self._in_progress -= 1
                self._end(work, end.result is AttemptResult.ANSWERED)
                self._send_waiting()

        self._links.send(self.zone, executor, work.number, work.work_s, _on_end)
        self._timeline.at(
            work.deadline, lambda: _on_end(AttemptEnd(AttemptResult.ABANDONED))
        )

    def _end(self, work: Work, answered: bool) -> None:
        now = self._timeline.now
        in_time = answered and now <= work.deadline
        ran = None if in_time else RunStatus.UNKNOWN
        self._on_complete(Completion(work, now, in_time, ran))
