"""Estimates how long runs and jobs take and what stopping them costs."""

from __future__ import annotations

import msgspec

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import (
    MIN_PROGRESS_PERCENT,
    Group,
    GroupState,
    JobEntry,
)
from pomeloarch_core.batch.objectives import (
    RunTimes,
    critical_path_s,
    objective_s,
)
from pomeloarch_core.batch.preempting import lost_work

# Factor on the lost work of a job that would miss its objective if it was
# preempted.
MISSED_COST_FACTOR = 3.0
# The same for a job that misses its objective in any case; its lost work still
# has to be done again.
LATE_COST_FACTOR = 0.6
# Minimum estimate for a run whose end was not reported, in seconds: about the
# time until an end is reported.
MIN_REMAINING_S = 0.2


class DispatchTimes(msgspec.Struct, frozen=True):
    """Time limits of the deployment, in seconds.

    Attributes:
      stop_s: how long stopping a task may take.
      reclaim_s: time within which a guarantee has to be met.
      drain_s: a worker whose leave is planned stays longer than this; one with
        less time left leaves at short notice.
      far_factor: how many times as long a task takes off its data's rack, or a
        same-rack gang on several racks; not a time.
    """

    stop_s: float = 0.2
    reclaim_s: float = 2.7
    drain_s: float = 2.0
    far_factor: float = 3.0


class RunEstimator:
    """Estimates times from run time estimates and reported progress.

    Attributes:
      times: estimates of run times.

    Args:
      times: estimates of run times.
      cfg: time limits of the deployment.
    """

    def __init__(self, times: RunTimes, cfg: DispatchTimes) -> None:
        """Creates an estimator; it follows `times` as they are learnt."""
        self.times = times
        self._cfg = cfg

    def remaining_s(self, group: Group, now: float) -> float:
        """Returns how much longer a group's run will likely take, in seconds.

        The estimate follows the speed of the run as far as that was seen.
        Before, the work that was last reported as left counts as that share of
        the usual run time: a run that exceeds its estimate isn't about to end.
        """
        if group.step.long_running:
            return float("inf")
        if group.state is GroupState.STOPPING:
            return self._cfg.stop_s
        percent = group.percent
        if percent >= MIN_PROGRESS_PERCENT and not group.resumed:
            return (now - group.started_at) * (100 - percent) / percent
        slowest = group.slowest_member
        known_at = group.started_at
        if slowest is not None:
            known_at = max(known_at, slowest.reported_at)
        speed = slowest.speed if slowest is not None else None
        if speed is None:
            left_s = self.times.run_s(group) * (100 - percent) / 100
        else:
            left_s = (100 - percent) / speed
        return max(MIN_REMAINING_S, left_s - (now - known_at))

    def would_end_with(self, worker: Worker, group: Group, now: float) -> bool:
        """Returns whether a run would be ended by its worker's departure."""
        if group.step.long_running:
            return True
        left_s = worker.info.remaining_s
        if left_s is None or left_s > self._cfg.drain_s:
            return False
        return self.remaining_s(group, now) > left_s

    def busy_s(self, worker: Worker, now: float) -> float:
        """Returns how long a worker's runs will likely take, in seconds."""
        return max(
            (
                self.remaining_s(group, now)
                for group in worker.groups
                if not group.step.long_running
            ),
            default=0.0,
        )

    def slack_s(self, entry: JobEntry, wall: float) -> float:
        """Returns how long a job can still wait and be on time, in seconds."""
        path_s = critical_path_s(entry, self.times, done=True)
        return self._latest_end(entry) - wall - path_s

    def stop_cost(self, group: Group, now: float, wall: float) -> float:
        """Returns what stopping a group costs, in core-seconds.

        The cost is the work that is lost. It is higher where the job could then
        no longer be on time, and lower where the job is late in any case.
        """
        lost = lost_work(group, now)
        entry = group.job
        if entry.job.scheduled:
            return lost
        if wall + self.remaining_s(group, now) > self._latest_end(entry):
            return lost * LATE_COST_FACTOR
        # Room is free again at about the time when runs like this one end.
        in_time = self.slack_s(entry, wall) >= self.times.run_s(group)
        return lost if in_time else lost * MISSED_COST_FACTOR

    def _latest_end(self, entry: JobEntry) -> float:
        """Returns when a job becomes late, in wall clock seconds."""
        return entry.job.accepted_at + objective_s(entry, self.times)
