"""Deadlines of jobs, the next one first."""

from __future__ import annotations

import heapq
from collections.abc import Iterator

from pomeloarch_core.ids import JobId


class Timers:
    """A heap of times at which a job has to be looked at again."""

    def __init__(self) -> None:
        """Makes an empty heap."""
        self._heap: list[tuple[float, int, JobId]] = []
        self._sequence = 0

    def add(self, at: float, job_id: JobId) -> None:
        """Has a job looked at, at a time in seconds."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, job_id))

    def due(self, now: float) -> Iterator[JobId]:
        """Yields and forgets the jobs whose time has come."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def next_at(self) -> float | None:
        """Returns the next time, in seconds, if there is any."""
        return self._heap[0][0] if self._heap else None
