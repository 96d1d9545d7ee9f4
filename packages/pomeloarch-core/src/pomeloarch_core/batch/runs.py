"""Runs of groups: starting them, taking them down, and how they end."""

from __future__ import annotations

from pomeloarch_core.batch import health
from pomeloarch_core.batch.advice import AdviceBook
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry, Member
from pomeloarch_core.batch.messages import (
    Decision,
    EndedTask,
    LogEntry,
    RunEnd,
    RunningTask,
    RunNumber,
    StartTask,
    StopTask,
    WriteRow,
)
from pomeloarch_core.batch.objectives import RunTimes
from pomeloarch_core.batch.placing import Places
from pomeloarch_core.batch.ready import ready_since
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.speeds import Speeds
from pomeloarch_core.ids import Epoch

# Runs of a group within one term; a run's number is above those of all
# earlier terms without anything being written before a start.
RUNS_PER_TERM = 4096
# Pause after a start that a worker refused, in seconds; its next report,
# which shows why, is there by then.
REFUSED_PAUSE_S = 0.25
# Pause before the run after a failed one, in seconds.
FAILED_PAUSE_S = 0.05


class Runs:
    """Carries groups from one state to the next.

    Attributes:
      speeds: learns how fast workers are.

    Args:
      term: the number of this scheduler's term.
      fleet: the workers.
      times: learns from runs that end well.
      advice: tickets for steps that need them.
      out: where decisions are put.
    """

    def __init__(
        self,
        term: Epoch,
        fleet: Fleet,
        times: RunTimes,
        advice: AdviceBook,
        out: list[Decision],
    ) -> None:
        """Starts without any run."""
        self._advice = advice
        self._times = times
        self.speeds = Speeds(fleet, out)
        self._term = term
        self._fleet = fleet
        self._out = out

    # ---- starting

    def claim(self, group: Group, places: Places, now: float) -> None:
        """Promises a group its places.

        The job's row names them first. A successor takes it for granted that
        nothing of the job was started on a worker that the row doesn't name.
        """
        entry = group.job
        if entry.row.add_places(each.worker_id for each in places.values()):
            self.changed(entry, urgent=True)
            entry.placed_by = entry.change
        group.placed_by = entry.placed_by
        group.state = GroupState.CLAIMED
        group.waits_for = None
        group.kept = ()
        group.started_at = now
        for index, worker in places.items():
            group.members[index] = Member(worker.worker_id)
            worker.hold(group, group.step.reserved, claimed=True)

    def may_start(self, group: Group) -> bool:
        """Whether a group may take the places that it was promised.

        A run of its tasks that no group accounts for may have come to light
        since: it ends first.
        """
        durable = group.job.written >= group.placed_by
        return (
            durable
            and self._room_is_free(group)
            and self._fleet.unaccounted().isdisjoint(group.tasks())
        )

    def _room_is_free(self, group: Group) -> bool:
        for worker_id in {m.worker_id for m in group.members.values()}:
            worker = self._fleet.get(worker_id)
            if worker is None:
                return False
            wanted = group.step.reserved * worker.groups[group]
            if not wanted.fits(worker.unused):
                return False
        return True

    def start(self, group: Group, now: float) -> None:
        """Orders the tasks of a group to start where they were promised."""
        first = RunNumber(self._term * RUNS_PER_TERM + 1)
        group.run = max(RunNumber(group.run + 1), first)
        group.state = GroupState.STARTED
        group.started_at = now
        group.resumed = bool(group.checkpoint)
        group.compared = False
        racks: set[str] = set()
        for index, member in group.members.items():
            worker = self._fleet.get(member.worker_id)
            assert worker is not None
            worker.confirm(group.step.reserved)
            racks.add(worker.info.rack)
            self._out.append(
                StartTask(
                    member.worker_id,
                    group.task(index),
                    group.run,
                    group.job.job.payload,
                    group.checkpoint,
                    self._advice.ticket(group, worker),
                )
            )
        self.note(
            "group started",
            group,
            run=group.run,
            workers=sorted({m.worker_id for m in group.members.values()}),
            waited_s=round(now - group.ready_at, 3),
            age_s=round(now - group.job.accepted_at, 3),
            racks=sorted(racks),
            data_rack=group.step.data_rack,
            same_rack=group.step.same_rack,
            resumed=bool(group.checkpoint),
        )

    def adopt(
        self,
        group: Group,
        index: int,
        worker: Worker,
        each: RunningTask,
        now: float,
    ) -> None:
        """Takes in a run that an earlier scheduler started.

        When it was started is worked out from how far it is.
        """
        group.run = each.run
        if group.state is not GroupState.STARTED:
            if group.state is GroupState.WAITING:
                group.ready_at = ready_since(group, now)
            group.state = GroupState.STARTED
            ran_s = self._times.run_s(group) * each.percent / 100
            group.started_at = now - ran_s
            group.resumed = True
        member = group.members[index] = Member(worker.worker_id)
        member.started_at = now
        worker.hold(group, group.step.reserved, claimed=False)
        self._mark_started(group)

    def confirmed(self, group: Group, index: int, now: float) -> None:
        """A worker has the task."""
        member = group.members[index]
        if member.started_at is None:
            member.started_at = now
            self._mark_started(group)

    def _mark_started(self, group: Group) -> None:
        row = group.job.row
        if row.status is JobStatus.QUEUED:
            row.status = JobStatus.RUNNING
        if not row.started:
            row.started = True
            self.changed(group.job, urgent=False)

    # ---- taking down

    def take_down(self, group: Group, reason: str, now: float) -> None:
        """Stops what a group runs; it is over when it was over before."""
        if group.state is GroupState.CLAIMED:
            self._unclaim(group)
            return
        over = group.state is GroupState.OVER
        if not over:
            group.state = GroupState.STOPPING
            self.note("group stopped", group, run=group.run, reason=reason)
        for index, member in group.members.items():
            self._out.append(
                StopTask(member.worker_id, group.task(index), group.run)
            )
        self._settle(group, now)

    def _unclaim(self, group: Group) -> None:
        for member in group.members.values():
            worker = self._fleet.get(member.worker_id)
            if worker is not None:
                worker.release(group, group.step.reserved, claimed=True)
        group.members.clear()
        group.state = GroupState.READY

    def member_gone(
        self, group: Group, index: int, reason: str, now: float
    ) -> None:
        """A task of the current run is certainly not on its worker."""
        if group.state is GroupState.CLAIMED:
            self._unclaim(group)
            return
        member = group.members.pop(index)
        worker = self._fleet.get(member.worker_id)
        if worker is not None:
            worker.release(group, group.step.reserved, claimed=False)
        if group.state is GroupState.STARTED:
            where = f"task {index} on worker {member.worker_id}"
            self.take_down(group, f"{where}: {reason}", now)
        else:
            self._settle(group, now)

    def _settle(self, group: Group, now: float) -> None:
        if group.state is GroupState.STOPPING and not group.members:
            group.state = GroupState.READY
            group.not_before = max(group.not_before, now)

    # ---- ends

    def ended(
        self, group: Group, worker: Worker, end: EndedTask, now: float
    ) -> None:
        """Takes in how a run of a group's task ended.

        It may be a run of an earlier scheduler whose end nobody saw. What is
        done or has failed counts, whichever run it was. A group that only has
        its places still goes by the number of the run before.
        """
        assert end.task is not None
        member = group.members.get(end.task.index)
        current = (
            member is not None
            and group.state is not GroupState.CLAIMED
            and member.worker_id == worker.worker_id
            and group.run == end.run
        )
        if not group.members:
            group.run = max(group.run, end.run)
        if end.checkpoint and group.run == end.run:
            self._save_checkpoint(group, end.checkpoint)
        if end.how is RunEnd.DONE:
            # How long a run took is known only if its start was seen.
            seen = current and not group.resumed
            ran_s = now - group.started_at if seen else None
            self._done(group, worker, end, ran_s, now)
        elif end.how is RunEnd.FAILED:
            self._failed(group, worker, end, now)
        if current and end.task.index in group.members:
            reason = f"its run ended as {end.how.value}"
            self.member_gone(group, end.task.index, reason, now)

    def _save_checkpoint(self, group: Group, checkpoint: str) -> None:
        if group.state is GroupState.OVER:
            return
        group.checkpoint = checkpoint
        step_row = group.job.row.step(group.occurrence, group.number)
        step_row.checkpoints[str(group.indices[0])] = group.checkpoint

    def _done(
        self,
        group: Group,
        worker: Worker,
        end: EndedTask,
        ran_s: float | None,
        now: float,
    ) -> None:
        health.run_succeeded(worker)
        if group.state is GroupState.OVER or group.step.long_running:
            return
        if ran_s is not None:
            self._times.learn(group, ran_s)
            self.speeds.learn(group, worker, ran_s, now)
        if group.state is GroupState.CLAIMED:
            self._unclaim(group)
        group.state = GroupState.OVER
        step_row = group.job.row.step(group.occurrence, group.number)
        step_row.mark_done(list(group.indices))
        step_row.checkpoints.pop(str(group.indices[0]), None)
        self.changed(group.job, urgent=group.job.over)
        self.note(
            "group done",
            group,
            run=end.run,
            worker=worker.worker_id,
            ran_s=None if ran_s is None else round(ran_s, 3),
            unheard_s=_since(worker.heard_at, now),
        )
        if group.members and group.run != end.run:
            self.take_down(group, "an earlier run had ended well", now)

    def _failed(
        self, group: Group, worker: Worker, end: EndedTask, now: float
    ) -> None:
        if group.state is GroupState.OVER or end.run in group.failed_runs:
            return
        suspended = health.run_failed(worker, now)
        group.failed_on.add(worker.worker_id)
        group.not_before = now + FAILED_PAUSE_S
        if not group.step.long_running:
            group.failed_runs.add(end.run)
            step_row = group.job.row.step(group.occurrence, group.number)
            first = str(group.indices[0])
            step_row.failures[first] = sorted(group.failed_runs)
        self.changed(group.job, urgent=False)
        self.note(
            "run failed",
            group,
            run=end.run,
            worker=worker.worker_id,
            failures=group.failures,
            suspended=suspended,
        )
        if group.state is GroupState.CLAIMED:
            places = {each.worker_id for each in group.members.values()}
            used_up = group.failures >= group.job.queue.max_attempts
            if used_up or worker.worker_id in places:
                self._unclaim(group)

    # ---- rows and log

    def changed(self, entry: JobEntry, urgent: bool) -> None:
        """Has a job's row written."""
        entry.change += 1
        self._out.append(
            WriteRow(entry.job.job_id, entry.row, entry.change, urgent)
        )

    def note(self, event: str, group: Group, **fields: object) -> None:
        """Writes a decision about a group to the log."""
        self._out.append(LogEntry(event, {"task": group.name, **fields}))


def _since(moment: float | None, now: float) -> float | None:
    """Returns how long ago something was, in seconds, for the log."""
    return None if moment is None else round(now - moment, 3)
