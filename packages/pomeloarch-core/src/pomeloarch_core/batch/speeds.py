"""Learns which workers take longer than others for the same work.

Members of a gang have the same work, so that how far each has got tells about
its worker. Single tasks of a step are nearly alike, and their times tell the
same more slowly. Declared durations are too far off for either.
"""

from __future__ import annotations

import statistics

from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.messages import Decision, LogEntry, StepId
from pomeloarch_core.ids import WorkerId

# Runs of a step that have to have ended before another is compared to them.
FEWEST_RUNS = 3
# Weight of the newest run in what is known of a worker: tasks of a step
# differ by a tenth or two, of which a third is left in the mean.
LEARNING_RATE = 0.2
# That of a gang's progress, which is exact but for rounding.
GANG_RATE = 0.7
# Least progress of a gang's members, in percent, that is compared: whole
# percents are reported.
COMPARED_FROM = 20
# Members this close to the fastest one are as fast, but for rounding.
ALIKE_WITHIN = 1.08
# Single runs of a worker that have to be known before it is called slow.
FEWEST_SAMPLES = 3
# A worker is slow that takes this much longer than the median worker, and no
# longer slow below the second figure.
SLOW_FROM = 1.15
SLOW_TO = 1.08
# A single run counts as no more than this against the others.
MOST_RATIO = 2.5
# Weight of a step's newest run in its usual time is at least a tenth.
LONGEST_MEAN = 10
# How long the median worker's slowness is taken for known, in seconds: it
# changes as slowly as the fleet.
MEDIAN_KNOWN_S = 1.0
# Steps whose usual times are kept; a few hundred run at a time.
MOST_STEPS = 1000


class Speeds:
    """Marks workers as slow.

    Args:
      fleet: the workers.
      out: where changes are noted.
    """

    def __init__(self, fleet: Fleet, out: list[Decision]) -> None:
        """Knows nothing of any worker."""
        self._fleet = fleet
        self._out = out
        # Ended runs of a step and their usual time on a usual worker, in s.
        self._usual: dict[StepId, tuple[int, float]] = {}
        self._known_median = 1.0
        self._median_until = 0.0

    def learn(
        self, group: Group, worker: Worker, ran_s: float, now: float
    ) -> None:
        """Takes in how long a task ran, in seconds."""
        if len(group.indices) > 1 or ran_s <= 0:
            return
        if group.step.data_rack not in ("", worker.info.rack):
            return
        runs, usual_s = self._usual.pop(group.step_id, (0, ran_s))
        if runs >= FEWEST_RUNS:
            ratio = min(ran_s / usual_s, MOST_RATIO)
            worker.slowness += LEARNING_RATE * (ratio - worker.slowness)
            worker.speed_samples += 1
            self._mark(worker, now)
        runs = min(runs + 1, LONGEST_MEAN)
        own_s = min(ran_s / worker.slowness, usual_s * MOST_RATIO)
        usual_s += (own_s - usual_s) / runs
        self._usual[group.step_id] = runs, usual_s
        if len(self._usual) > MOST_STEPS:
            del self._usual[next(iter(self._usual))]

    def compare(self, group: Group, now: float) -> None:
        """Compares how far the members of a gang have got, once a run."""
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
                if per_s[each.worker_id] * ALIKE_WITHIN >= fastest
            ),
            default=1.0,
        )
        for worker in workers:
            ratio = min(usual * fastest / per_s[worker.worker_id], MOST_RATIO)
            worker.slowness += GANG_RATE * (ratio - worker.slowness)
            worker.speed_samples += FEWEST_SAMPLES
        for worker in workers:
            self._mark(worker, now)

    def _mark(self, worker: Worker, now: float) -> None:
        if worker.speed_samples < FEWEST_SAMPLES:
            return
        ratio = worker.slowness / self._median(now)
        slow = ratio > (SLOW_TO if worker.slow else SLOW_FROM)
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
        if now >= self._median_until:
            self._median_until = now + MEDIAN_KNOWN_S
            self._known_median = statistics.median(
                each.slowness for each in self._fleet
            )
        return self._known_median


def _progress_per_s(group: Group) -> dict[WorkerId, float] | None:
    """Returns how fast a gang's tasks get on, in percent a second, by worker.

    None before all of them have got far enough to be compared.
    """
    members = group.members.values()
    if not group.running or any(m.percent < COMPARED_FROM for m in members):
        return None
    began = max(each.started_at or 0.0 for each in members)
    if any(each.reported_at <= began for each in members):
        return None
    return {
        each.worker_id: each.percent / (each.reported_at - began)
        for each in members
    }
