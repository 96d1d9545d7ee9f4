"""The jobs that a scheduler knows until their ends are durable."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from pomeloarch_core.batch.advice import AdviceCache
from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry
from pomeloarch_core.batch.messages import (
    Decision,
    EndedTask,
    Incarnation,
    LogEntry,
    RunEnd,
    TaskId,
)
from pomeloarch_core.batch.open_starts import OpenStarts
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import RunController
from pomeloarch_core.ids import JobId

# Ends that forbid further starts of their task once they are acknowledged.
_COUNTED_ENDS = frozenset({RunEnd.DONE, RunEnd.FAILED})


class _HeldEnd(NamedTuple):
    """An end that a worker keeps until it may be acknowledged.

    Attributes:
      worker: the worker.
      incarnation: the incarnation that listed it.
      number: its number there.
      change: the change of the job's row that has to be durable first.
      awaited: the tasks whose open starts have to be settled first.
    """

    worker: Worker
    incarnation: Incarnation
    number: int
    change: int
    awaited: frozenset[TaskId]

    def release(self) -> None:
        """Lets the worker forget the end; another incarnation has no such."""
        if self.worker.incarnation == self.incarnation:
            self.worker.pending_ends.pop(self.number, None)


class JobRegistry:
    """Jobs by id, and the ends that wait until their rows are durable.

    Attributes:
      wall_offset: time of the wall clock minus time of the scheduler's clock,
        in seconds.

    Args:
      runs: starts and stops groups.
      advice: advice about the steps of jobs.
      open_starts: the orders to start without an answer.
      out: list to which decisions are added.
      wall_offset: time of the wall clock minus time of the scheduler's clock,
        in seconds.
    """

    def __init__(
        self,
        runs: RunController,
        advice: AdviceCache,
        open_starts: OpenStarts,
        out: list[Decision],
        wall_offset: float,
    ) -> None:
        """Creates a registry without jobs."""
        self._open_starts = open_starts
        self.wall_offset = wall_offset
        self._runs = runs
        self._advice = advice
        self._out = out
        self._entries: dict[JobId, JobEntry] = {}
        self._held_ends: dict[JobId, list[_HeldEnd]] = {}
        # Ends whose rows are durable, while a start of their task is open.
        self._guarded_ends: list[_HeldEnd] = []

    def __iter__(self) -> Iterator[JobEntry]:
        """Iterates over the jobs in the order in which they were added."""
        return iter(self._entries.values())

    def __len__(self) -> int:
        """Returns the number of jobs."""
        return len(self._entries)

    def get(self, job_id: JobId) -> JobEntry | None:
        """Returns a job, None when it isn't known."""
        return self._entries.get(job_id)

    def add(self, entry: JobEntry) -> None:
        """Adds a job that was not known."""
        self._entries[entry.job.job_id] = entry

    def group_of(self, task: TaskId | None) -> Group | None:
        """Returns the group of a task, None when it isn't known."""
        entry = None if task is None else self.get(task.job_id)
        if entry is None or task is None:
            return None
        return entry.group_of(task)

    def finish(
        self, entry: JobEntry, status: JobStatus, reason: str, now: float
    ) -> None:
        """Ends a job for good and stops the runs that it still has."""
        entry.row.status = status
        entry.row.finished_at = now + self.wall_offset
        if status is JobStatus.COMPLETED:
            entry.row.started = True
        entry.is_over = True
        for group in entry.all_groups():
            is_ending = (
                group.state is GroupState.ENDED
                and status is JobStatus.COMPLETED
            )
            if group.members and not is_ending:
                self._runs.stop_run(group, f"its job is {status.value}", now)
            group.state = GroupState.ENDED
        self._runs.request_write(entry, urgent=True)
        self._out.append(
            LogEntry(
                "job finished",
                {
                    "job": entry.job.job_id,
                    "status": status.value,
                    "reason": reason,
                    "age_s": round(
                        now + self.wall_offset - entry.job.accepted_at, 3
                    ),
                },
            )
        )

    def hold_end(
        self,
        entry: JobEntry | None,
        worker: Worker,
        end: EndedTask,
        now: float,
    ) -> None:
        """Has a worker keep an end until it may be acknowledged.

        All that it reports has to be durable, which includes what another
        member of the gang reported first. No start of its group may be open:
        carried out after the acknowledgement, it would be a second run.
        """
        assert end.task is not None
        awaited: frozenset[TaskId] = frozenset()
        if end.how in _COUNTED_ENDS:
            group = self.group_of(end.task)
            awaited = frozenset([end.task] if group is None else group.tasks())
        change = 0 if entry is None else entry.change
        held = _HeldEnd(worker, worker.incarnation, end.number, change, awaited)
        is_open = self._is_start_open(held, now)
        if entry is not None and entry.written < change:
            self._held_ends.setdefault(entry.job.job_id, []).append(held)
        elif is_open:
            self._guarded_ends.append(held)
        else:
            return
        worker.pending_ends[end.number] = end.task
        if is_open:
            self._log_kept(end, worker)

    def _log_kept(self, end: EndedTask, worker: Worker) -> None:
        self._out.append(
            LogEntry(
                "end kept while a start is open",
                {
                    "task": str(end.task),
                    "run": end.run,
                    "how": end.how.value,
                    "worker": worker.worker_id,
                    "incarnation": worker.incarnation,
                    "end": end.number,
                },
            )
        )

    def _is_start_open(self, held: _HeldEnd, now: float) -> bool:
        return any(
            self._open_starts.may_act(task, now) for task in held.awaited
        )

    def record_written(
        self, job_id: JobId, change: int, now: float
    ) -> JobEntry | None:
        """Records that a row is durable up to a change; returns the job."""
        held_ends = self._held_ends.pop(job_id, [])
        for each in held_ends:
            if each.change <= change:
                self._release_unless_open(each, now)
        left = [each for each in held_ends if each.change > change]
        if left:
            self._held_ends[job_id] = left
        entry = self.get(job_id)
        if entry is not None:
            entry.written = change
        return entry

    def release_ends(self, now: float) -> None:
        """Lets workers forget the durable ends whose starts are settled."""
        guarded, self._guarded_ends = self._guarded_ends, []
        for each in guarded:
            self._release_unless_open(each, now)

    def _release_unless_open(self, held: _HeldEnd, now: float) -> None:
        if self._is_start_open(held, now):
            self._guarded_ends.append(held)
        else:
            held.release()

    def forget_if_finished(self, entry: JobEntry) -> None:
        """Forgets a job that has ended and has nothing left on a worker."""
        if (
            entry.row.status.is_final
            and entry.written >= entry.change
            and not any(group.members for group in entry.all_groups())
            and entry.job.job_id not in self._held_ends
        ):
            del self._entries[entry.job.job_id]
            self._advice.forget(entry.job.job_id)
