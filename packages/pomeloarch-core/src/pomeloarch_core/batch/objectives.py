"""How long a job may take and its standing against that objective.

The objective of a job is a multiple of its critical path plus a constant time.
A job that has missed it is worth less, and one that exceeds it several times
over is worth nothing to its caller. Under overload, jobs that can still be on
time go before those that can't: in order of arrival, all of them would be late.
"""

from __future__ import annotations

import enum
import math

from pomeloarch_core.batch.groups import Group, JobEntry
from pomeloarch_core.batch.model import QueueName

# Multiple of the objective after which a job is of no use to its caller.
USELESS_FACTOR = 3.0
# Weight of the newest run time in a queue's mean.
LEARNING_RATE = 0.1


class Standing(enum.IntEnum):
    """The standing of a job against its objective, best first."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


class RunTimes:
    """Learns the real run times of a queue to correct declared durations."""

    def __init__(self) -> None:
        """Starts from the declared durations alone."""
        self._mean_s: dict[QueueName, float] = {}

    def learn(self, group: Group, ran_s: float) -> None:
        """Records how long a task of a queue ran, in seconds."""
        queue = group.job.queue.name
        mean_s = self._mean_s.get(queue, ran_s)
        self._mean_s[queue] = mean_s + LEARNING_RATE * (ran_s - mean_s)

    def estimate_s(self, declared_s: float, queue: QueueName) -> float:
        """Returns a task's likely duration from the declared one, in seconds.

        Declared durations of single tasks are inaccurate, and a queue's mean
        ignores the differences between tasks. The estimate is the geometric
        mean of both.
        """
        mean_s = self._mean_s.get(queue)
        if mean_s is None or declared_s <= 0:
            return mean_s or declared_s
        return math.sqrt(mean_s * declared_s)

    def run_s(self, group: Group) -> float:
        """Returns how long a run of a group will likely take, in seconds."""
        return self.estimate_s(group.step.estimate_s, group.job.queue.name)


def objective_s(entry: JobEntry, times: RunTimes) -> float:
    """Returns a job's objective: how long it may take, in seconds."""
    queue = entry.queue
    return (
        queue.stretch * critical_path_s(entry, times) + queue.target_latency_s
    )


def critical_path_s(
    entry: JobEntry, times: RunTimes, done: bool = False
) -> float:
    """Returns the length of a job's critical path, in seconds.

    Args:
      entry: the job.
      times: estimates of run times.
      done: whether steps that have ended count as no time.
    """
    ends: list[float] = []
    for number, step in enumerate(entry.job.steps):
        before = max((ends[each] for each in step.after), default=0.0)
        own = times.estimate_s(step.estimate_s, entry.queue.name)
        if done and entry.is_step_done(0, number):
            own = 0.0
        ends.append(before + own)
    return max(ends, default=0.0)


def assess_standing(entry: JobEntry, times: RunTimes, wall: float) -> Standing:
    """Returns a job's standing if it was started now.

    Args:
      entry: the job.
      times: estimates of run times.
      wall: the time of the wall clock, in seconds.
    """
    if entry.job.scheduled:
        return Standing.ON_TIME
    allowed_s = objective_s(entry, times)
    ends_at = wall + critical_path_s(entry, times, done=True)
    takes_s = ends_at - entry.job.accepted_at
    if takes_s <= allowed_s:
        return Standing.ON_TIME
    if takes_s <= allowed_s * USELESS_FACTOR:
        return Standing.LATE
    return Standing.USELESS
