"""How long a job may take, and how a job stands against that.

The objective of a job is a multiple of its longest chain of work and some
time besides. A job that has missed it is worth less, and one that has missed
it several times over is worth nothing to its caller. Under more load than
there is room for, jobs that can still be on time go before those that can't:
first come, first served would make all of them late.
"""

from __future__ import annotations

import enum
import math

from pomeloarch_core.batch.groups import Group, JobEntry
from pomeloarch_core.batch.model import QueueName

# Multiples of the objective after which a job is of no use to its caller.
USELESS_FACTOR = 3.0
# Weight of the newest run time in a queue's mean.
LEARNING_RATE = 0.1


class Standing(enum.IntEnum):
    """How a job stands against its objective, the best first."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


class RunTimes:
    """Learns by which factor a queue's declared durations are off."""

    def __init__(self) -> None:
        """Starts with the declared durations."""
        self._mean_s: dict[QueueName, float] = {}

    def learn(self, group: Group, ran_s: float) -> None:
        """Takes in how long a task of a queue really ran, in seconds."""
        queue = group.job.queue.name
        mean_s = self._mean_s.get(queue, ran_s)
        self._mean_s[queue] = mean_s + LEARNING_RATE * (ran_s - mean_s)

    def estimate_s(self, declared_s: float, queue: QueueName) -> float:
        """Returns a task's likely duration from the declared one.

        Declared durations are far off for single tasks, and a queue's mean
        ignores what sets a task apart: the geometric mean of both is used.
        """
        mean_s = self._mean_s.get(queue)
        if mean_s is None or declared_s <= 0:
            return mean_s or declared_s
        return math.sqrt(mean_s * declared_s)

    def run_s(self, group: Group) -> float:
        """Returns how long a run of a group will likely take, in seconds."""
        return self.estimate_s(group.step.estimate_s, group.job.queue.name)


def objective_s(entry: JobEntry, times: RunTimes) -> float:
    """Returns how long a job may take, in seconds."""
    queue = entry.queue
    return queue.stretch * critical_path_s(entry, times) + queue.target_latency_s


def critical_path_s(entry: JobEntry, times: RunTimes, done: bool = False) -> float:
    """Returns the longest chain of work, in seconds.

    Args:
      entry: the job.
      times: estimates.
      done: whether steps that are over count as nothing.
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
    """Returns how a job stands if it were started now.

    Args:
      entry: the job.
      times: estimates.
      wall: the wall clock, in seconds.
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
