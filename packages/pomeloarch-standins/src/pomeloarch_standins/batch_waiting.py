"""Finds jobs that stand still beside free workers while no fault holds."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from pomeloarch_core.batch.messages import RunEnd, TaskId
from pomeloarch_core.batch.model import (
    NO_RESOURCES,
    BatchJob,
    Resources,
    Step,
)
from pomeloarch_core.ids import JobId
from pomeloarch_standins.batch_ledger import LedgerEntry, step_key

# Longest time for which a job may stand still, in seconds (RULES, LOST).
MAX_STANDSTILL_S = 3.0
# How many times over a group has to fit into the free capacity, and the share
# of the capacity that may be in use, for its job not to stand still.
ROOM_FACTOR = 2
MAX_SHARE_IN_USE = 0.5
# Time after an order to start without an answer for which its task may wait,
# in seconds: it may still be carried out.
OPEN_ORDER_S = 14.0


class StillJob(msgspec.Struct, frozen=True):
    """A job that stood still for too long.

    Attributes:
      job_id: the job.
      since: when it began to stand still, in seconds.
      group: the first group that might have started.
    """

    job_id: JobId
    since: float
    group: TaskId

    def __str__(self) -> str:
        """Returns a sentence."""
        return (
            f"{self.job_id}: {self.group} could start since "
            f"{self.since:.1f} s, and nothing of the job ran"
        )


class WaitingWatch:
    """Watches whether jobs stand still; it is to look several times a second.

    Attributes:
      found: the jobs that stood still for too long.
    """

    def __init__(self) -> None:
        """Creates a watch that has seen nothing."""
        self.found: dict[JobId, StillJob] = {}
        self._still: dict[JobId, StillJob] = {}

    def look(
        self,
        jobs: Mapping[JobId, BatchJob],
        wanted: Iterable[JobId],
        entries: Sequence[LedgerEntry],
        capacities: Mapping[str, Resources],
        unanswered: Mapping[TaskId, float],
        now: float,
    ) -> None:
        """Takes in the present state.

        Args:
          jobs: all jobs by id.
          wanted: the accepted jobs that have to end.
          entries: the record of all runs.
          capacities: the capacity of each worker that may be given tasks, by
            the worker's id.
          unanswered: when an order to start a task was last sent without an
            answer.
          now: the present time, in seconds.
        """
        state = _State(jobs, entries, capacities, unanswered, now)
        still: dict[JobId, StillJob] = {}
        if state.share_in_use() < MAX_SHARE_IN_USE:
            for job_id in wanted:
                group = state.find_waiting_group(jobs[job_id])
                if group is not None:
                    seen = StillJob(job_id, now, group)
                    still[job_id] = self._still.get(job_id, seen)
        self._still = still
        for job_id, each in still.items():
            if now - each.since > MAX_STANDSTILL_S:
                self.found.setdefault(job_id, each)


class _State:
    """The runs and the free capacity at one moment."""

    def __init__(
        self,
        jobs: Mapping[JobId, BatchJob],
        entries: Sequence[LedgerEntry],
        capacities: Mapping[str, Resources],
        unanswered: Mapping[TaskId, float],
        now: float,
    ) -> None:
        self._now = now
        self._unanswered = unanswered
        self._active: set[JobId] = set()
        self._done: dict[tuple[JobId, int, int], set[int]] = defaultdict(set)
        self._total = sum(capacities.values(), NO_RESOURCES)
        self._free = dict(capacities)
        for each in entries:
            if each.outcome is RunEnd.DONE:
                self._done[step_key(each.task)].add(each.task.index)
            if each.ended_at is not None:
                continue
            self._active.add(each.task.job_id)
            if each.worker in self._free:
                step = jobs[each.task.job_id].steps[each.task.step]
                self._free[each.worker] -= step.allocation

    def share_in_use(self) -> float:
        """Returns the share in use of the resource that is used most."""
        taken = self._total - sum(self._free.values(), NO_RESOURCES)
        return max(
            each / max(1, of)
            for each, of in zip(
                msgspec.structs.astuple(taken),
                msgspec.structs.astuple(self._total),
                strict=True,
            )
        )

    def find_waiting_group(self, job: BatchJob) -> TaskId | None:
        """Returns the first task of a group that could start.

        None if anything of the job runs or nothing of it could start.
        """
        if job.job_id in self._active:
            return None
        for occurrence in range(job.occurrence_count):
            if job.due_at(occurrence) > self._now:
                continue
            for number, step in enumerate(job.steps):
                if not self._is_due(job, occurrence, step):
                    continue
                group = self._first_waiting(job, occurrence, number)
                if group is not None:
                    return group
        return None

    def _is_due(self, job: BatchJob, occurrence: int, step: Step) -> bool:
        return all(
            self._is_done(job, occurrence, number) for number in step.after
        )

    def _is_done(self, job: BatchJob, occurrence: int, number: int) -> bool:
        step = job.steps[number]
        done = len(self._done.get((job.job_id, occurrence, number), ()))
        return done > 0 if step.gang else done >= step.count

    def _first_waiting(
        self, job: BatchJob, occurrence: int, number: int
    ) -> TaskId | None:
        step = job.steps[number]
        if self._is_done(job, occurrence, number):
            return None
        done = self._done.get((job.job_id, occurrence, number), set())
        tasks = [
            TaskId(job.job_id, occurrence, number, index)
            for index in range(step.count)
            if index not in done
        ]
        size = step.count if step.gang else 1
        room = sum(
            step.allocation.count_fitting_in(free)
            for free in self._free.values()
        )
        if room < ROOM_FACTOR * size:
            return None
        is_open = [
            self._now < self._unanswered.get(task, -OPEN_ORDER_S) + OPEN_ORDER_S
            for task in tasks
        ]
        if step.gang:
            return None if any(is_open) else tasks[0]
        return next(
            (t for t, o in zip(tasks, is_open, strict=True) if not o), None
        )
