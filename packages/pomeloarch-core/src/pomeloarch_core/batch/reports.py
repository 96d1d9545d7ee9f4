"""Compares the reports of workers with the orders that they were given."""

from __future__ import annotations

from pomeloarch_core.batch import health
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.jobs import JobRegistry
from pomeloarch_core.batch.messages import (
    Decision,
    EndedTask,
    Evidence,
    Incarnation,
    LogEntry,
    RunningTask,
    RunNumber,
    StopTask,
    TaskId,
    WorkerReported,
)
from pomeloarch_core.batch.model import NO_RESOURCES, Resources
from pomeloarch_core.batch.open_starts import OpenStarts
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import RunController

# The members of a gang are done at the same moment. Within this time, in
# seconds, their workers report it.
GANG_END_SPREAD_S = 0.5


class ReportProcessor:
    """Processes the reports of workers.

    Args:
      fleet: the workers.
      jobs: the jobs.
      runs: starts and stops groups.
      open_starts: the orders to start without an answer.
      out: list to which decisions are added.
    """

    def __init__(
        self,
        fleet: Fleet,
        jobs: JobRegistry,
        runs: RunController,
        open_starts: OpenStarts,
        out: list[Decision],
    ) -> None:
        """Creates a processor that has seen no report."""
        self._fleet = fleet
        self._jobs = jobs
        self._runs = runs
        self._open_starts = open_starts
        self._out = out

    def process(
        self, worker: Worker, event: WorkerReported, now: float
    ) -> None:
        """Processes a worker's running and ended runs."""
        previous = worker.incarnation
        worker.incarnation = event.incarnation
        worker.asked_at = event.asked_at
        has_restarted = previous not in (0, event.incarnation)
        self._open_starts.note_report(worker.worker_id, has_restarted)
        if has_restarted:
            # A new incarnation knows no ends of the previous one. The runs that
            # it has were started since, and those that it doesn't have are
            # found missing below.
            self._log_restart(worker, previous, now)
            worker.last_end = 0
            worker.pending_ends.clear()
            self._runs.drop_unaccounted_runs(worker, Evidence.RESTARTED, now)
        worker.mark_answered(event.complete)
        running = {
            (reported.task, reported.run): reported
            for reported in event.running
        }
        self._process_ends(worker, event.ended, now)
        self._process_running(worker, running, now)
        if event.complete:
            self._remove_missing(worker, running, event.asked_at, now)
        self._fleet.mark_heard(worker, now)

    def _log_restart(
        self, worker: Worker, previous: Incarnation, now: float
    ) -> None:
        """Logs how much a worker had that its new incarnation doesn't know."""
        assert worker.asked_at is not None
        self._out.append(
            LogEntry(
                "worker restarted",
                {
                    "worker": worker.worker_id,
                    "old_incarnation": previous,
                    "incarnation": worker.incarnation,
                    "asked_s_ago": round(now - worker.asked_at, 3),
                    "tasks_lost": sum(worker.groups.values()),
                    "unaccounted_runs_lost": len(worker.unaccounted_runs),
                    "ends_not_durable": len(worker.pending_ends),
                },
            )
        )

    def _process_ends(
        self, worker: Worker, ended: tuple[EndedTask, ...], now: float
    ) -> None:
        for end in ended:
            if end.number <= worker.last_end:
                continue
            worker.last_end = end.number
            group = self._jobs.group_of(end.task)
            if end.task is not None:
                self._open_starts.note_end(end.task, worker.worker_id, end.run)
                self._runs.drop_unaccounted_run(
                    worker, end.task, end.run, Evidence.END_REPORTED, now
                )
            if group is None or end.task is None:
                if end.task is not None:
                    self._runs.log_former_end(end.task, worker, end)
                    self._jobs.hold_end(None, worker, end, now)
                continue
            self._runs.handle_end(group, worker, end, now)
            entry = group.job
            self._jobs.hold_end(entry, worker, end, now)
            if not entry.row.status.is_final and entry.is_done:
                self._jobs.finish(
                    entry, JobStatus.COMPLETED, "all tasks done", now
                )

    def _process_running(
        self,
        worker: Worker,
        running: dict[tuple[TaskId, RunNumber], RunningTask],
        now: float,
    ) -> None:
        for (task, run), reported in running.items():
            group = self._jobs.group_of(task)
            if group is None or group.state is GroupState.ENDED:
                if group is None or not _is_ending(group, worker, reported):
                    self._stop_unaccounted_run(worker, reported, now)
                continue
            member = group.members.get(task.index)
            if member is None or member.run != run:
                self._process_unknown(group, worker, reported, now)
                continue
            if member.worker_id != worker.worker_id:
                self._stop_unaccounted_run(worker, reported, now)
                continue
            self._update_progress(group, worker, reported, now)

    def _update_progress(
        self, group: Group, worker: Worker, reported: RunningTask, now: float
    ) -> None:
        member = group.members[reported.task.index]
        member.load = reported.load
        advanced = reported.percent != member.percent
        member.record_progress(reported.percent, now)
        if (
            member.maybe_ended_at is not None
            and worker.asked_at is not None
            and member.maybe_ended_at < worker.asked_at
        ):
            member.maybe_ended_at = None
        if group.state is GroupState.STARTED:
            self._runs.confirm_member(group, reported.task.index, now)
        if reported.checkpoint:
            group.checkpoint = reported.checkpoint
        if advanced or member.advanced_at is None:
            member.advanced_at = now
            self._runs.speeds.compare(group, now)
        elif self._suspend_if_stalled(
            group, reported.task.index, worker, now - member.advanced_at, now
        ):
            self._out.append(
                LogEntry(
                    "worker stands still",
                    {
                        "worker": worker.worker_id,
                        "task": str(reported.task),
                        "percent": reported.percent,
                        "load": reported.load,
                        "ran_s": round(now - group.started_at, 2),
                    },
                )
            )

    def _suspend_if_stalled(
        self,
        group: Group,
        index: int,
        worker: Worker,
        stalled_s: float,
        now: float,
    ) -> bool:
        """Suspends a worker on which a run has stalled.

        Returns:
          Whether the worker was not suspended before.
        """
        done = group.members[index].percent >= 100
        if group.step.long_running or not group.is_running or done:
            # A member of a gang that has done its work waits for the others.
            return False
        return health.suspend_stalled(worker, stalled_s, now)

    def _process_unknown(
        self, group: Group, worker: Worker, reported: RunningTask, now: float
    ) -> None:
        """Adopts a run that its group doesn't know, or stops it."""
        adoptable = group.recovery_pending and (
            group.state in (GroupState.WAITING, GroupState.READY)
            or (group.state is GroupState.STARTED and group.run == reported.run)
        )
        if adoptable and reported.run >= group.run:
            self._runs.adopt(group, reported.task.index, worker, reported, now)
            self._update_progress(group, worker, reported, now)
        else:
            self._stop_unaccounted_run(worker, reported, now)

    def _stop_unaccounted_run(
        self, worker: Worker, reported: RunningTask, now: float
    ) -> None:
        key = reported.task, reported.run
        if key not in worker.unaccounted_runs:
            need = self._unaccounted_need(worker, reported)
            worker.add_unaccounted_run(reported.task, reported.run, need, now)
            self._out.append(
                LogEntry(
                    "unaccounted run stopped",
                    {
                        "task": str(reported.task),
                        "run": reported.run,
                        "worker": worker.worker_id,
                        "incarnation": worker.incarnation,
                    },
                )
            )
            self._out.append(
                StopTask(worker.worker_id, reported.task, reported.run)
            )

    def _unaccounted_need(
        self, worker: Worker, reported: RunningTask
    ) -> Resources | None:
        """Returns the resources that an unaccounted run takes from its worker.

        A member of a group that has ended still holds its own resources. Those
        of a run of an unknown job aren't known. The worker's capacity may not
        be known yet either.
        """
        group = self._jobs.group_of(reported.task)
        if group is None:
            return None
        member = group.members.get(reported.task.index)
        held = (
            member is not None
            and member.worker_id == worker.worker_id
            and member.run == reported.run
        )
        return NO_RESOURCES if held else group.step.allocation

    def _remove_missing(
        self,
        worker: Worker,
        running: dict[tuple[TaskId, RunNumber], RunningTask],
        asked_at: float,
        now: float,
    ) -> None:
        """Frees the resources of runs that a worker no longer has."""
        for key in [k for k in worker.unaccounted_runs if k not in running]:
            if worker.unaccounted_runs[key] < asked_at:
                self._runs.drop_unaccounted_run(
                    worker, *key, Evidence.NOT_REPORTED, now
                )
        for group in list(worker.groups):
            if group.state is GroupState.CLAIMED:
                continue
            for index, member in list(group.members.items()):
                if member.worker_id != worker.worker_id:
                    continue
                if (group.task(index), member.run) in running:
                    continue
                confirmed_at = (
                    member.stopped_at
                    if member.started_at is None
                    else member.started_at
                )
                if confirmed_at is not None and confirmed_at < asked_at:
                    restarted = member.incarnation != worker.incarnation
                    self._runs.remove_member(
                        group,
                        index,
                        Evidence.RESTARTED
                        if restarted
                        else Evidence.NOT_REPORTED,
                        "its worker no longer has it",
                        now,
                    )


def _is_ending(group: Group, worker: Worker, reported: RunningTask) -> bool:
    """Returns whether a reported run is about to end with its gang.

    A worker reports as soon as one member has ended, and may then still list
    others as running. A run that goes on is shown by a report that was asked
    for later. One of a new incarnation was started by a late order.
    """
    member = group.members.get(reported.task.index)
    status = group.job.row.status
    return (
        member is not None
        and member.worker_id == worker.worker_id
        and member.run == reported.run
        and member.incarnation == worker.incarnation
        and group.done_at is not None
        and worker.asked_at is not None
        and worker.asked_at < group.done_at + GANG_END_SPREAD_S
        and status not in (JobStatus.CANCELLED, JobStatus.FAILED)
    )
