"""How long runs and jobs will likely take, and what stopping them costs."""

from __future__ import annotations

import msgspec

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import (
    LEAST_GAIN_PERCENT,
    Group,
    GroupState,
    JobEntry,
)
from pomeloarch_core.batch.objectives import RunTimes, chain_s, objective_s
from pomeloarch_core.batch.preempting import lost_work

# Lost work of a job that would miss its objective by giving way counts this
# many times.
MISSED_HARM = 3.0
# That of a job which misses it anyway still has to be done again.
LATE_HARM = 0.6
# A run of which no end was reported lasts this much longer at least, in
# seconds: about as long as an end takes to be heard of.
LEAST_LEFT_S = 0.2


class DispatchTimes(msgspec.Struct, frozen=True):
    """Times of the deployment, in seconds.

    Attributes:
      stop_s: how long stopping a task may take.
      reclaim_s: within this time a guarantee is made good.
      drain_s: a worker that leaves as planned stays longer than this.
      far_factor: how many times as long a task takes away from its data, or a
        same-rack gang on several racks; not a time.
    """

    stop_s: float = 0.2
    reclaim_s: float = 2.7
    drain_s: float = 2.0
    far_factor: float = 3.0


class Expectations:
    """Works out times from estimates and progress.

    Attributes:
      times: estimates of run times.

    Args:
      times: estimates of run times.
      cfg: times of the deployment.
    """

    def __init__(self, times: RunTimes, cfg: DispatchTimes) -> None:
        """Goes by the estimates as they are learnt."""
        self.times = times
        self._cfg = cfg

    def remaining_s(self, group: Group, now: float) -> float:
        """Returns how much longer a group's run will likely take, in s.

        It goes by how fast the run gets on, as far as that was seen. Before,
        the share of work that was last reported as left takes its part of the
        usual time: a run that has outlasted its estimate isn't about to end.
        """
        if group.step.long_running:
            return float("inf")
        if group.state is GroupState.STOPPING:
            return self._cfg.stop_s
        percent = group.percent
        if percent >= LEAST_GAIN_PERCENT and not group.resumed:
            return (now - group.started_at) * (100 - percent) / percent
        last = group.last_member
        known_at = group.started_at
        if last is not None:
            known_at = max(known_at, last.reported_at)
        speed = last.speed if last is not None else None
        if speed is None:
            left_s = self.times.run_s(group) * (100 - percent) / 100
        else:
            left_s = (100 - percent) / speed
        return max(LEAST_LEFT_S, left_s - (now - known_at))

    def ends_with(self, worker: Worker, group: Group, now: float) -> bool:
        """Whether a run would end when its worker leaves."""
        if group.step.long_running:
            return True
        left_s = worker.info.remaining_s
        if left_s is None or left_s > self._cfg.drain_s:
            return False
        return self.remaining_s(group, now) > left_s

    def busy_s(self, worker: Worker, now: float) -> float:
        """Returns how long what runs on a worker will likely take, in s."""
        return max(
            (
                self.remaining_s(group, now)
                for group in worker.groups
                if not group.step.long_running
            ),
            default=0.0,
        )

    def slack_s(self, entry: JobEntry, wall: float) -> float:
        """Returns how much later a job could start and be on time, in s."""
        chain = chain_s(entry, self.times, done=True)
        return self._ends_by(entry) - wall - chain

    def harm(self, group: Group, now: float, wall: float) -> float:
        """Returns what stopping a group costs, in core-seconds.

        It is the work that is lost, and more where its job could not be on
        time any more.
        """
        lost = lost_work(group, now)
        entry = group.job
        if entry.job.scheduled:
            return lost
        if wall + self.remaining_s(group, now) > self._ends_by(entry):
            return lost * LATE_HARM
        # Room is free again about when runs like this one end.
        in_time = self.slack_s(entry, wall) >= self.times.run_s(group)
        return lost if in_time else lost * MISSED_HARM

    def _ends_by(self, entry: JobEntry) -> float:
        """Returns when a job is late, in wall clock seconds."""
        return entry.job.accepted_at + objective_s(entry, self.times)
