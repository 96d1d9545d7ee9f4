"""The jobs that a scheduler knows until their ends are durable."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from pomeloarch_core.batch.advice import AdviceCache
from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry
from pomeloarch_core.batch.messages import (
    Decision,
    Incarnation,
    LogEntry,
    TaskId,
)
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import RunController
from pomeloarch_core.ids import JobId


class _HeldEnd(NamedTuple):
    """An end that a worker keeps until a change of its job's row is durable."""

    worker: Worker
    incarnation: Incarnation
    number: int
    change: int


class JobRegistry:
    """Jobs by id, and the ends that wait until their rows are durable.

    Attributes:
      wall_offset: time of the wall clock minus time of the scheduler's clock,
        in seconds.

    Args:
      runs: starts and stops groups.
      advice: advice about the steps of jobs.
      out: list to which decisions are added.
      wall_offset: time of the wall clock minus time of the scheduler's clock,
        in seconds.
    """

    def __init__(
        self,
        runs: RunController,
        advice: AdviceCache,
        out: list[Decision],
        wall_offset: float,
    ) -> None:
        """Creates a registry without jobs."""
        self.wall_offset = wall_offset
        self._runs = runs
        self._advice = advice
        self._out = out
        self._entries: dict[JobId, JobEntry] = {}
        self._held_ends: dict[JobId, list[_HeldEnd]] = {}

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

    def hold_end_until_written(
        self, entry: JobEntry, worker: Worker, number: int, task: TaskId
    ) -> None:
        """Has a worker keep an end until all that it reports is durable.

        This includes what another member of the gang reported first.
        """
        if entry.written < entry.change:
            worker.pending_ends[number] = task
            held_ends = self._held_ends.setdefault(entry.job.job_id, [])
            held_ends.append(
                _HeldEnd(worker, worker.incarnation, number, entry.change)
            )

    def record_written(self, job_id: JobId, change: int) -> JobEntry | None:
        """Records that a row is durable up to a change; returns the job."""
        held_ends = self._held_ends.pop(job_id, [])
        for each in held_ends:
            # Another incarnation numbers its ends anew.
            same_incarnation = each.worker.incarnation == each.incarnation
            if each.change <= change and same_incarnation:
                each.worker.pending_ends.pop(each.number, None)
        left = [each for each in held_ends if each.change > change]
        if left:
            self._held_ends[job_id] = left
        entry = self.get(job_id)
        if entry is not None:
            entry.written = change
        return entry

    def forget_if_finished(self, entry: JobEntry) -> None:
        """Forgets a job that has ended and has nothing left on a worker."""
        if (
            entry.row.status.is_final
            and entry.written >= entry.change
            and not any(group.members for group in entry.all_groups())
            and entry.job.job_id not in self._held_ends
        ):
            del self._entries[entry.job.job_id]
            self._advice.forget([group.step_id for group in entry.all_groups()])
