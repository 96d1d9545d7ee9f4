"""A timer queue of jobs, the earliest deadline first."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from pomeloarch_core.ids import JobId


class Timers:
    """A heap of the times at which jobs have to be handled again."""

    def __init__(self) -> None:
        """Creates an empty heap."""
        self._heap: list[tuple[float, int, JobId]] = []
        self._sequence = 0

    def add(self, at: float, job_id: JobId) -> None:
        """Adds a timer for a job at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, job_id))

    def pop_due(self, now: float) -> Iterator[JobId]:
        """Removes and yields the jobs whose timers are due."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def next_at(self) -> float | None:
        """Returns the time of the next timer, in seconds, if there is one."""
        return self._heap[0][0] if self._heap else None
