"""The jobs that a scheduler knows, until their ends are durable."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from pomeloarch_core.batch.advice import AdviceBook
from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry
from pomeloarch_core.batch.messages import (
    Decision,
    Incarnation,
    LogEntry,
    TaskId,
)
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import Runs
from pomeloarch_core.ids import JobId


class _ToldBy(NamedTuple):
    """An end that a worker keeps until a change of its job's row is durable."""

    worker: Worker
    incarnation: Incarnation
    number: int
    change: int


class Jobs:
    """Jobs by id, and the ends that wait for their rows.

    Attributes:
      wall_offset: wall clock less the clock of `now`, in seconds.

    Args:
      runs: starts and stops groups.
      advice: what is known of steps.
      out: where decisions are put.
      wall_offset: wall clock less the clock of `now`, in seconds.
    """

    def __init__(
        self,
        runs: Runs,
        advice: AdviceBook,
        out: list[Decision],
        wall_offset: float,
    ) -> None:
        """Starts without jobs."""
        self.wall_offset = wall_offset
        self._runs = runs
        self._advice = advice
        self._out = out
        self._entries: dict[JobId, JobEntry] = {}
        self._told: dict[JobId, list[_ToldBy]] = {}

    def __iter__(self) -> Iterator[JobEntry]:
        """Iterates over the jobs in the order in which they came."""
        return iter(self._entries.values())

    def __len__(self) -> int:
        """Returns how many jobs are known."""
        return len(self._entries)

    def get(self, job_id: JobId) -> JobEntry | None:
        """Returns a job, None when it isn't known."""
        return self._entries.get(job_id)

    def add(self, entry: JobEntry) -> None:
        """Takes a job that was not known."""
        self._entries[entry.job.job_id] = entry

    def group_of(self, task: TaskId | None) -> Group | None:
        """Returns the group of a task, None when nothing is known of it."""
        entry = None if task is None else self.get(task.job_id)
        if entry is None or task is None:
            return None
        return entry.group_of(task)

    def finish(
        self, entry: JobEntry, status: JobStatus, reason: str, now: float
    ) -> None:
        """Ends a job for good and takes down what it still runs."""
        entry.row.status = status
        entry.row.finished_at = now + self.wall_offset
        if status is JobStatus.COMPLETED:
            entry.row.started = True
        for group in entry.all_groups():
            if group.members and group.state is not GroupState.OVER:
                self._runs.take_down(group, f"its job is {status.value}", now)
            group.state = GroupState.OVER
        self._runs.changed(entry, urgent=True)
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

    def end_waits_for_row(
        self, entry: JobEntry, worker: Worker, number: int
    ) -> None:
        """Has a worker keep an end until all that it told is durable.

        What another member of its gang told first counts too.
        """
        if entry.written < entry.change:
            worker.pending_ends.add(number)
            told = self._told.setdefault(entry.job.job_id, [])
            told.append(
                _ToldBy(worker, worker.incarnation, number, entry.change)
            )

    def row_written(self, job_id: JobId, change: int) -> JobEntry | None:
        """A job's row is durable up to a change; returns the job if known."""
        told = self._told.pop(job_id, [])
        for each in told:
            # Another life counts its ends anew.
            same = each.worker.incarnation == each.incarnation
            if each.change <= change and same:
                each.worker.pending_ends.discard(each.number)
        left = [each for each in told if each.change > change]
        if left:
            self._told[job_id] = left
        entry = self.get(job_id)
        if entry is not None:
            entry.written = change
        return entry

    def drop_if_over(self, entry: JobEntry) -> None:
        """Forgets a job that has ended and has nothing left on a worker."""
        if (
            entry.row.status.is_final
            and entry.written >= entry.change
            and not any(group.members for group in entry.all_groups())
            and entry.job.job_id not in self._told
        ):
            del self._entries[entry.job.job_id]
            self._advice.forget([group.step_id for group in entry.all_groups()])
