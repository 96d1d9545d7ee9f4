"""Learns which workers take longer than others for the same work.

The members of a gang have the same work, so the progress of each shows the
speed of its worker. Single tasks of a step have nearly the same work, and their
run times show the same more slowly. Declared durations are too inaccurate for
either.
"""

from __future__ import annotations

import statistics

from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.messages import Decision, LogEntry, StepId
from pomeloarch_core.ids import WorkerId

# Number of ended runs of a step before another run is compared with them.
MIN_STEP_RUNS = 3
# Weight of the newest run in a worker's slowness. Tasks of a step differ by 10
# to 20 %, of which a third remains in the mean.
LEARNING_RATE = 0.2
# The same for the progress of a gang, which is exact except for rounding.
GANG_LEARNING_RATE = 0.7
# Minimum progress of a gang's members, in percent, for a comparison; progress
# is reported in whole percents.
MIN_COMPARED_PERCENT = 20
# Members whose speed is within this factor of the fastest one differ only by
# rounding.
EQUAL_SPEED_RATIO = 1.08
# Number of single runs that have to be known before a worker is marked as slow.
MIN_SAMPLES = 3
# A worker becomes slow above the first ratio to the median worker's time, and
# is no longer slow below the second one.
SLOW_ABOVE = 1.15
NOT_SLOW_BELOW = 1.08
# Limit on the ratio of a single run's time to that of the others.
MAX_RATIO = 2.5
# Number of runs that a step's mean run time counts at most, so that the newest
# run has a weight of at least a tenth.
MAX_MEAN_RUNS = 10
# Time for which the median worker's slowness is cached, in seconds; it changes
# as slowly as the fleet.
MEDIAN_CACHE_S = 1.0
# Limit on the steps whose mean run times are kept; a few hundred run at a time.
MAX_STEPS = 1000


class SpeedTracker:
    """Marks workers as slow.

    Args:
      fleet: the workers.
      out: list to which log entries about changes are added.
    """

    def __init__(self, fleet: Fleet, out: list[Decision]) -> None:
        """Creates a tracker that has seen no runs."""
        self._fleet = fleet
        self._out = out
        # By step: the number of ended runs and their mean run time on a usual
        # worker, in seconds.
        self._usual: dict[StepId, tuple[int, float]] = {}
        self._cached_median = 1.0
        self._median_cache_until = 0.0

    def learn(
        self, group: Group, worker: Worker, ran_s: float, now: float
    ) -> None:
        """Records how long a task ran, in seconds."""
        if len(group.indices) > 1 or ran_s <= 0:
            return
        if group.step.data_rack not in ("", worker.info.rack):
            return
        runs, usual_s = self._usual.pop(group.step_id, (0, ran_s))
        if runs >= MIN_STEP_RUNS:
            ratio = min(ran_s / usual_s, MAX_RATIO)
            worker.slowness += LEARNING_RATE * (ratio - worker.slowness)
            worker.speed_samples += 1
            self._mark(worker, now)
        runs = min(runs + 1, MAX_MEAN_RUNS)
        own_s = min(ran_s / worker.slowness, usual_s * MAX_RATIO)
        usual_s += (own_s - usual_s) / runs
        self._usual[group.step_id] = runs, usual_s
        if len(self._usual) > MAX_STEPS:
            del self._usual[next(iter(self._usual))]

    def compare(self, group: Group, now: float) -> None:
        """Compares the progress of a gang's members, once per run."""
        if group.compared or group.resumed or len(group.indices) < 2:
            return
        per_s = _progress_per_s(group)
        if per_s is None:
            return
        group.compared = True
        if len(per_s) < 2:
            return
        fastest = max(per_s.values())
        compared = [self._fleet.get(each) for each in per_s]
        workers = [each for each in compared if each is not None]
        # All members may be on slow workers.
        usual = min(
            (
                each.slowness
                for each in workers
                if per_s[each.worker_id] * EQUAL_SPEED_RATIO >= fastest
            ),
            default=1.0,
        )
        for worker in workers:
            ratio = min(usual * fastest / per_s[worker.worker_id], MAX_RATIO)
            worker.slowness += GANG_LEARNING_RATE * (ratio - worker.slowness)
            worker.speed_samples += MIN_SAMPLES
        for worker in workers:
            self._mark(worker, now)

    def _mark(self, worker: Worker, now: float) -> None:
        """Marks a worker as slow, or as no longer slow, and logs a change."""
        if worker.speed_samples < MIN_SAMPLES:
            return
        ratio = worker.slowness / self._median(now)
        slow = ratio > (NOT_SLOW_BELOW if worker.slow else SLOW_ABOVE)
        if slow == worker.slow:
            return
        worker.slow = slow
        self._out.append(
            LogEntry(
                "worker slow" if slow else "worker no longer slow",
                {
                    "worker": worker.worker_id,
                    "ratio": round(ratio, 3),
                    "samples": worker.speed_samples,
                },
            )
        )

    def _median(self, now: float) -> float:
        """Returns the slowness of the median worker."""
        if now >= self._median_cache_until:
            self._median_cache_until = now + MEDIAN_CACHE_S
            self._cached_median = statistics.median(
                each.slowness for each in self._fleet
            )
        return self._cached_median


def _progress_per_s(group: Group) -> dict[WorkerId, float] | None:
    """Returns the progress per second on each member's worker, in percent.

    None before all members have made enough progress to be compared.
    """
    members = group.members.values()
    if not group.is_running or any(
        m.percent < MIN_COMPARED_PERCENT for m in members
    ):
        return None
    began = max(each.started_at or 0.0 for each in members)
    if any(each.reported_at <= began for each in members):
        return None
    return {
        each.worker_id: each.percent / (each.reported_at - began)
        for each in members
    }
