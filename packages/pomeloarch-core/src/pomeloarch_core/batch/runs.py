"""Starts, adopts and stops runs of groups and records how they end."""

from __future__ import annotations

from pomeloarch_core.batch import health
from pomeloarch_core.batch.advice import AdviceCache
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry, Member
from pomeloarch_core.batch.messages import (
    Decision,
    EndedTask,
    Evidence,
    Incarnation,
    LogEntry,
    RunEnd,
    RunningTask,
    RunNumber,
    StartTask,
    StopTask,
    TaskId,
    WriteRow,
)
from pomeloarch_core.batch.objectives import RunTimes
from pomeloarch_core.batch.placing import Placement
from pomeloarch_core.batch.ready import ready_since
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.speeds import SpeedTracker
from pomeloarch_core.ids import Epoch, WorkerId

# Limit on a group's runs within one term. The numbers of runs in a term start
# at a multiple of it, so they exceed those of all earlier terms and nothing has
# to be written before a start.
RUNS_PER_TERM = 4096
# Pause after a start that a worker refused, in seconds. By then the worker's
# next report, which shows the reason, has arrived.
REFUSED_PAUSE_S = 0.25
# Pause between a failed run and the next one, in seconds.
FAILED_PAUSE_S = 0.05


class RunController:
    """Moves groups from one state to the next.

    Attributes:
      speeds: learns how fast workers are.

    Args:
      term: number of this scheduler's term.
      fleet: the workers.
      times: learns from runs that end well.
      advice: tickets for steps that need them.
      out: list to which decisions are added.
    """

    def __init__(
        self,
        term: Epoch,
        fleet: Fleet,
        times: RunTimes,
        advice: AdviceCache,
        out: list[Decision],
    ) -> None:
        """Creates a controller without runs."""
        self._advice = advice
        self._times = times
        self.speeds = SpeedTracker(fleet, out)
        self._term = term
        self._fleet = fleet
        self._out = out

    def claim(self, group: Group, places: Placement, now: float) -> None:
        """Claims the places of a group.

        The job's row has to name the places before the group is started: a
        successor assumes that nothing of the job was started on workers that
        the row doesn't name. That the start may be open is written with it, or
        soon after where the row names the places already, so that a task that
        starts there needs no store.
        """
        entry = group.job
        workers = [places[index].worker_id for index in group.indices]
        opens = not group.may_overlap and entry.row.add_open_starts(
            group.key, workers
        )
        if entry.row.add_places(workers):
            self.request_write(entry, urgent=True)
            entry.placement_change = entry.change
        elif opens:
            is_awaited = entry.written < entry.placement_change
            self.request_write(entry, urgent=is_awaited)
        group.placement_change = entry.placement_change
        group.state = GroupState.CLAIMED
        group.wait_reason = None
        group.reserved_workers = ()
        group.started_at = now
        for index, worker in places.items():
            group.members[index] = Member(worker.worker_id)
            worker.allocate(group, group.step.allocation, claimed=True)

    def remove_open_starts(
        self, entry: JobEntry, open_tasks: set[TaskId]
    ) -> None:
        """Removes the groups from a job's row whose starts are all settled."""
        if not entry.row.open_starts:
            return
        for key in list(entry.row.open_starts):
            group = entry.group_at(key)
            if not _is_start_due(group) and open_tasks.isdisjoint(
                group.tasks()
            ):
                del entry.row.open_starts[key]
                # A successor has workers keep ends until the entry is removed.
                self.request_write(entry, urgent=True)

    def can_start(self, group: Group) -> bool:
        """Returns whether a group may start on the places that it has claimed.

        A run of one of its tasks that no group accounts for may have been
        reported since; the group waits for its end. A worker may have moved to
        another address, which the roster has to name first.
        """
        durable = group.job.written >= group.placement_change
        return (
            durable
            and self._has_room(group)
            and self._fleet.unaccounted_tasks().isdisjoint(group.tasks())
        )

    def _has_room(self, group: Group) -> bool:
        for worker_id in {m.worker_id for m in group.members.values()}:
            worker = self._fleet.get(worker_id)
            if worker is None or not worker.enrolled:
                return False
            wanted = group.step.allocation * worker.groups[group]
            if not wanted.fits_in(worker.unused):
                return False
        return True

    def start(self, group: Group, now: float) -> None:
        """Orders the tasks of a group to start on their claimed places."""
        first = RunNumber(self._term * RUNS_PER_TERM + 1)
        group.run = max(RunNumber(group.run + 1), first)
        group.state = GroupState.STARTED
        group.started_at = now
        group.resumed = bool(group.checkpoint)
        group.compared = False
        racks: set[str] = set()
        incarnations: dict[WorkerId, Incarnation] = {}
        for index, member in group.members.items():
            worker = self._fleet.get(member.worker_id)
            assert worker is not None
            worker.commit_claim(group.step.allocation)
            member.run = group.run
            racks.add(worker.info.rack)
            member.incarnation = worker.incarnation
            incarnations[worker.worker_id] = worker.incarnation
            self._out.append(
                StartTask(
                    member.worker_id,
                    group.task(index),
                    group.run,
                    group.job.job.payload,
                    group.checkpoint,
                    self._advice.ticket_for(group, worker),
                )
            )
        self.log(
            "group started",
            group,
            run=group.run,
            term=self._term,
            tasks=len(group.members),
            workers=sorted(incarnations),
            incarnations=[incarnations[each] for each in sorted(incarnations)],
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
        reported: RunningTask,
        now: float,
    ) -> None:
        """Takes over a run that an earlier scheduler started.

        The time of its start is estimated from its progress.
        """
        group.run = reported.run
        if group.state is not GroupState.STARTED:
            if group.state is GroupState.WAITING:
                group.ready_at = ready_since(group, now)
            group.state = GroupState.STARTED
            ran_s = self._times.run_s(group) * reported.percent / 100
            group.started_at = now - ran_s
            group.resumed = True
        member = group.members[index] = Member(worker.worker_id)
        member.run = reported.run
        member.started_at = now
        member.incarnation = worker.incarnation
        member.pace_percent = None
        worker.allocate(group, group.step.allocation, claimed=False)
        self._mark_started(group)
        self.log(
            "run adopted",
            group,
            index,
            run=group.run,
            term=self._term,
            worker=worker.worker_id,
            incarnation=worker.incarnation,
            percent=reported.percent,
        )

    def confirm_member(self, group: Group, index: int, now: float) -> None:
        """Records that a worker has started a task."""
        member = group.members[index]
        if member.started_at is None:
            member.started_at = now
            self._mark_started(group)
            if group.is_running:
                self._log_running(group, now)

    def _log_running(self, group: Group, now: float) -> None:
        self.log(
            "group running",
            group,
            run=group.run,
            took_s=round(now - group.started_at, 3),
            unanswered=sum(m.unanswered for m in group.members.values()),
        )

    def _mark_started(self, group: Group) -> None:
        row = group.job.row
        if row.status is JobStatus.QUEUED:
            row.status = JobStatus.RUNNING
        if not row.started:
            row.started = True
            self.request_write(group.job, urgent=False)

    def stop_run(self, group: Group, reason: str, now: float) -> None:
        """Stops the run of a group; a group that has ended stays ended."""
        if group.state is GroupState.CLAIMED:
            self._release_claim(group)
            return
        has_ended = group.state is GroupState.ENDED
        if group.members and group.is_running:
            group.away_since = now
        if not has_ended:
            group.state = GroupState.STOPPING
            self.log("group stopped", group, run=group.run, reason=reason)
        for index, member in group.members.items():
            self._out.append(
                StopTask(member.worker_id, group.task(index), group.run)
            )
        self._complete_stop(group, now)

    def _release_claim(self, group: Group) -> None:
        """Frees the claimed places of a group, which is then ready again."""
        for member in group.members.values():
            worker = self._fleet.get(member.worker_id)
            if worker is not None:
                worker.release(group, group.step.allocation, claimed=True)
        group.members.clear()
        group.state = GroupState.READY

    def remove_member(
        self,
        group: Group,
        index: int,
        evidence: Evidence,
        reason: str,
        now: float,
    ) -> None:
        """Removes a task of the current run that is certainly not running."""
        if group.state is GroupState.CLAIMED:
            self._release_claim(group)
            return
        if group.is_running:
            group.away_since = now
        member = group.members.pop(index)
        worker = self._fleet.get(member.worker_id)
        if worker is not None:
            worker.release(group, group.step.allocation, claimed=False)
            if group.state is not GroupState.ENDED:
                self._log_released(group, index, member, worker, evidence, now)
        group.job.discard_if_over(group)
        if group.state is GroupState.STARTED:
            where = f"task {index} on worker {member.worker_id}"
            self.stop_run(group, f"{where}: {reason}", now)
        else:
            self._complete_stop(group, now)

    def _log_released(
        self,
        group: Group,
        index: int,
        member: Member,
        worker: Worker,
        evidence: Evidence,
        now: float,
    ) -> None:
        since = (
            group.started_at
            if evidence is Evidence.START_REFUSED
            else _obtained_at(worker, evidence)
        )
        self.log(
            "task released",
            group,
            index,
            run=group.run,
            worker=worker.worker_id,
            incarnation=member.incarnation,
            evidence=evidence.value,
            evidence_incarnation=worker.incarnation,
            evidence_age_s=_elapsed_s(since, now),
            start_answered=member.started_at is not None,
            unanswered=member.unanswered,
            tasks_left=len(group.members),
        )

    def drop_unaccounted_runs(
        self, worker: Worker, evidence: Evidence, now: float
    ) -> None:
        """Removes all runs of a worker that no group accounts for."""
        for task, run in list(worker.unaccounted_runs):
            self.drop_unaccounted_run(worker, task, run, evidence, now)

    def drop_unaccounted_run(
        self,
        worker: Worker,
        task: TaskId,
        run: RunNumber,
        evidence: Evidence,
        now: float,
    ) -> None:
        """Removes a run that no group accounts for, if there is one."""
        if (task, run) not in worker.unaccounted_runs:
            return
        worker.drop_unaccounted_run(task, run)
        self._out.append(
            LogEntry(
                "unaccounted run released",
                {
                    "task": str(task),
                    "run": run,
                    "worker": worker.worker_id,
                    "evidence": evidence.value,
                    "evidence_incarnation": worker.incarnation,
                    "evidence_age_s": _elapsed_s(
                        _obtained_at(worker, evidence), now
                    ),
                },
            )
        )

    def _complete_stop(self, group: Group, now: float) -> None:
        """Makes a stopped group ready again once all its tasks have ended."""
        if group.state is GroupState.STOPPING and not group.members:
            group.state = GroupState.READY
            group.not_before = max(group.not_before, now)

    def handle_end(
        self, group: Group, worker: Worker, end: EndedTask, now: float
    ) -> None:
        """Records how a run of a group's task ended.

        The run may be one of an earlier scheduler whose end was not seen.
        Success and failure count for any run.
        """
        assert end.task is not None
        member = group.members.get(end.task.index)
        current = (
            member is not None
            and member.worker_id == worker.worker_id
            and member.run == end.run
        )
        if not current:
            self.log_former_end(end.task, worker, end)
        if not group.members:
            group.run = max(group.run, end.run)
        if end.checkpoint and group.run == end.run:
            self._save_checkpoint(group, end.checkpoint)
        if end.how is RunEnd.DONE:
            # The duration of a run is known only if its start was seen.
            start_seen = current and not group.resumed
            ran_s = now - group.started_at if start_seen else None
            self._handle_success(group, worker, end, ran_s, now)
        elif end.how is RunEnd.FAILED:
            self._handle_failure(group, worker, end, now)
        if current and end.task.index in group.members:
            reason = f"its run ended as {end.how.value}"
            self.remove_member(
                group, end.task.index, Evidence.END_REPORTED, reason, now
            )

    def log_former_end(
        self, task: TaskId, worker: Worker, end: EndedTask
    ) -> None:
        """Logs the end of a run that no group has at present."""
        fields = {
            "task": str(task),
            "run": end.run,
            "worker": worker.worker_id,
            "incarnation": worker.incarnation,
            "how": end.how.value,
        }
        self._out.append(LogEntry("former run ended", fields))

    def _save_checkpoint(self, group: Group, checkpoint: str) -> None:
        if group.state is GroupState.ENDED:
            return
        group.checkpoint = checkpoint
        step_row = group.job.row.step(group.occurrence, group.number)
        step_row.checkpoints[str(group.indices[0])] = group.checkpoint

    def _handle_success(
        self,
        group: Group,
        worker: Worker,
        end: EndedTask,
        ran_s: float | None,
        now: float,
    ) -> None:
        health.record_success(worker)
        if group.state is GroupState.ENDED or group.step.long_running:
            return
        if ran_s is not None:
            self._times.learn(group, ran_s)
            self.speeds.learn(group, worker, ran_s, now)
        if group.state is GroupState.CLAIMED:
            self._release_claim(group)
        group.state = GroupState.ENDED
        if group.run == end.run:
            group.done_at = now
            for member in group.members.values():
                # A gang is done only once all of its members have started.
                member.started_at = member.started_at or now
        step_row = group.job.row.step(group.occurrence, group.number)
        step_row.mark_done(list(group.indices))
        step_row.checkpoints.pop(str(group.indices[0]), None)
        step_row.failures.pop(str(group.indices[0]), None)
        self.request_write(group.job, urgent=group.job.is_done)
        self.log(
            "group done",
            group,
            run=end.run,
            worker=worker.worker_id,
            incarnation=worker.incarnation,
            unanswered=sum(m.unanswered for m in group.members.values()),
            ran_s=None if ran_s is None else round(ran_s, 3),
            unheard_s=_elapsed_s(worker.heard_at, now),
        )
        if group.members and group.run != end.run:
            self.stop_run(group, "an earlier run has succeeded", now)

    def _handle_failure(
        self, group: Group, worker: Worker, end: EndedTask, now: float
    ) -> None:
        if group.state is GroupState.ENDED or end.run in group.failed_runs:
            return
        suspended = health.record_failure(worker, now)
        group.failed_on |= {worker.worker_id}
        group.not_before = now + FAILED_PAUSE_S
        if not group.step.long_running:
            group.failed_runs |= {end.run}
            step_row = group.job.row.step(group.occurrence, group.number)
            first = str(group.indices[0])
            step_row.failures[first] = sorted(group.failed_runs)
        self.request_write(group.job, urgent=False)
        self.log(
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
                self._release_claim(group)

    def request_write(self, entry: JobEntry, urgent: bool) -> None:
        """Has a job's row written."""
        entry.change += 1
        self._out.append(
            WriteRow(entry.job.job_id, entry.row, entry.change, urgent)
        )

    def log(
        self,
        event: str,
        group: Group,
        index: int | None = None,
        **fields: object,
    ) -> None:
        """Logs a decision about a group, or about one of its tasks."""
        task = group.name if index is None else str(group.task(index))
        self._out.append(LogEntry(event, {"task": task, **fields}))


def _is_start_due(group: Group) -> bool:
    """Returns whether a start of a group may not have been sent yet."""
    return group.state is GroupState.CLAIMED or (
        group.state is GroupState.STARTED and not group.is_running
    )


def _obtained_at(worker: Worker, evidence: Evidence) -> float | None:
    """Returns the earliest time at which a worker's evidence can be from."""
    if evidence in (Evidence.LEASE_LAPSED, Evidence.WORKER_GONE):
        return worker.lapses_at
    return worker.asked_at


def _elapsed_s(moment: float | None, now: float) -> float | None:
    """Returns the time since a moment for the log, in seconds."""
    return None if moment is None else round(now - moment, 3)
