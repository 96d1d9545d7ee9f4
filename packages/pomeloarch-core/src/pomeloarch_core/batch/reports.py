"""What workers report, compared with what was ordered."""

from __future__ import annotations

from pomeloarch_core.batch import health
from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.jobs import Jobs
from pomeloarch_core.batch.messages import (
    Decision,
    EndedTask,
    LogEntry,
    RunningTask,
    RunNumber,
    StopTask,
    TaskId,
    WorkerReported,
)
from pomeloarch_core.batch.model import NO_RESOURCES, Resources
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import Runs


class Reports:
    """Takes reports in.

    Args:
      jobs: the jobs.
      runs: starts and stops groups.
      out: where decisions are put.
    """

    def __init__(self, jobs: Jobs, runs: Runs, out: list[Decision]) -> None:
        """Has taken no report in."""
        self._jobs = jobs
        self._runs = runs
        self._out = out

    def take(self, worker: Worker, event: WorkerReported, now: float) -> None:
        """Takes in what a worker runs and what has ended there."""
        if worker.incarnation not in (0, event.incarnation):
            # A new life knows no end of the former one. What it runs was
            # started since; what it doesn't run is found missing below.
            worker.last_end = 0
            worker.pending_ends.clear()
            worker.drop_strangers()
        worker.incarnation = event.incarnation
        worker.answered()
        running = {(each.task, each.run): each for each in event.running}
        self._take_ends(worker, event.ended, now)
        self._take_running(worker, running, now)
        self._find_missing(worker, running, event.asked_at, now)
        worker.heard_at = now

    def _take_ends(
        self, worker: Worker, ended: tuple[EndedTask, ...], now: float
    ) -> None:
        for end in ended:
            if end.number <= worker.last_end:
                continue
            worker.last_end = end.number
            group = self._jobs.group_of(end.task)
            if end.task is not None:
                worker.drop_stranger(end.task, end.run)
            if group is None or end.task is None:
                continue
            self._runs.ended(group, worker, end, now)
            entry = group.job
            self._jobs.end_waits_for_row(entry, worker, end.number)
            if not entry.row.status.is_final and entry.over:
                self._jobs.finish(
                    entry, JobStatus.COMPLETED, "all tasks done", now
                )

    def _take_running(
        self,
        worker: Worker,
        running: dict[tuple[TaskId, RunNumber], RunningTask],
        now: float,
    ) -> None:
        for (task, run), each in running.items():
            group = self._jobs.group_of(task)
            if group is None or group.state is GroupState.OVER:
                self._stop_stranger(worker, each, now)
                continue
            member = group.members.get(task.index)
            if member is None or group.run != run:
                self._take_unknown(group, worker, each, now)
                continue
            if member.worker_id != worker.worker_id:
                self._stop_stranger(worker, each, now)
                continue
            self._progress(group, worker, each, now)

    def _progress(
        self, group: Group, worker: Worker, each: RunningTask, now: float
    ) -> None:
        member = group.members[each.task.index]
        member.load = each.load
        advanced = each.percent != member.percent
        member.reported(each.percent, now)
        if group.state is GroupState.STARTED:
            self._runs.confirmed(group, each.task.index, now)
        if each.checkpoint:
            group.checkpoint = each.checkpoint
        if advanced or member.advanced_at is None:
            member.advanced_at = now
            self._runs.speeds.compare(group, now)
        elif self._stands_still(
            group, each.task.index, worker, now - member.advanced_at, now
        ):
            self._out.append(
                LogEntry(
                    "worker stands still",
                    {
                        "worker": worker.worker_id,
                        "task": str(each.task),
                        "percent": each.percent,
                        "load": each.load,
                        "ran_s": round(now - group.started_at, 2),
                    },
                )
            )

    def _stands_still(
        self,
        group: Group,
        index: int,
        worker: Worker,
        still_s: float,
        now: float,
    ) -> bool:
        done = group.members[index].percent >= 100
        if group.step.long_running or not group.running or done:
            # A member of a gang that has done its work waits for the others.
            return False
        return health.suspend_stalled(worker, still_s, now)

    def _take_unknown(
        self, group: Group, worker: Worker, each: RunningTask, now: float
    ) -> None:
        adoptable = group.uncertain and (
            group.state in (GroupState.WAITING, GroupState.READY)
            or (group.state is GroupState.STARTED and group.run == each.run)
        )
        if adoptable and each.run >= group.run:
            self._runs.adopt(group, each.task.index, worker, each, now)
            self._progress(group, worker, each, now)
        else:
            self._stop_stranger(worker, each, now)

    def _stop_stranger(
        self, worker: Worker, each: RunningTask, now: float
    ) -> None:
        key = each.task, each.run
        if key not in worker.strangers:
            need = self._room_of(worker, each)
            worker.take_stranger(each.task, each.run, need, now)
            self._out.append(
                LogEntry(
                    "unaccounted run stopped",
                    {
                        "task": str(each.task),
                        "run": each.run,
                        "worker": worker.worker_id,
                    },
                )
            )
            self._out.append(StopTask(worker.worker_id, each.task, each.run))

    def _room_of(self, worker: Worker, each: RunningTask) -> Resources:
        """Returns what an unaccounted run has of its worker's room.

        A member of a group that is over still holds its own; of a job that
        isn't known, anything may be in use.
        """
        group = self._jobs.group_of(each.task)
        if group is None:
            return worker.info.capacity
        member = group.members.get(each.task.index)
        held = (
            member is not None
            and member.worker_id == worker.worker_id
            and group.run == each.run
        )
        return NO_RESOURCES if held else group.step.reserved

    def _find_missing(
        self,
        worker: Worker,
        running: dict[tuple[TaskId, RunNumber], RunningTask],
        asked_at: float,
        now: float,
    ) -> None:
        """Frees the room of tasks that a worker no longer has."""
        for key in [k for k in worker.strangers if k not in running]:
            if worker.strangers[key] < asked_at:
                worker.drop_stranger(*key)
        for group in list(worker.groups):
            if group.state is GroupState.CLAIMED:
                continue
            for index, member in list(group.members.items()):
                if member.worker_id != worker.worker_id:
                    continue
                if (group.task(index), group.run) in running:
                    continue
                settled = (
                    member.stopped_at
                    if member.started_at is None
                    else member.started_at
                )
                if settled is not None and settled < asked_at:
                    self._runs.member_gone(
                        group, index, "its worker no longer has it", now
                    )
