"""Finds jobs that stand still beside free workers while no fault holds."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

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
# Time after its last run for which a long-running task may be away beside that,
# in seconds (RULES, LOST).
MAX_AWAY_S = 6.0
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
      is_lasting: whether that group is long-running; others of the job may run.
    """

    job_id: JobId
    since: float
    group: TaskId
    is_lasting: bool = False

    def __str__(self) -> str:
        """Returns a sentence."""
        what = "" if self.is_lasting else ", and nothing of the job ran"
        return (
            f"{self.job_id}: {self.group} could start since "
            f"{self.since:.1f} s{what}"
        )


class WaitingWatch:
    """Watches whether jobs stand still; it is to look several times a second.

    Attributes:
      found: the jobs that stood still for too long.
    """

    def __init__(self) -> None:
        """Creates a watch that has seen nothing."""
        self.found: dict[JobId, StillJob] = {}
        self._still: dict[JobId | TaskId, StillJob] = {}

    def look(
        self,
        jobs: Mapping[JobId, BatchJob],
        wanted: Iterable[JobId],
        entries: Sequence[LedgerEntry],
        capacities: Mapping[str, Resources],
        unanswered: Mapping[TaskId, float],
        now: float,
        may_run: Callable[[BatchJob, str], bool] = lambda job, worker: True,
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
          may_run: returns whether a job's policy lets a worker run it.
        """
        state = _State(jobs, entries, capacities, unanswered, now, may_run)
        still: dict[JobId | TaskId, StillJob] = {}
        is_half_used = state.share_in_use() >= MAX_SHARE_IN_USE
        for job_id in wanted:
            for task in state.find_waiting_lasting_tasks(jobs[job_id]):
                seen = StillJob(job_id, now, task, is_lasting=True)
                still[task] = self._still.get(task, seen)
            if is_half_used:
                continue
            group = state.find_waiting_group(jobs[job_id])
            if group is not None:
                seen = StillJob(job_id, now, group)
                still[job_id] = self._still.get(job_id, seen)
        self._still = still
        for each in still.values():
            if now - each.since > MAX_STANDSTILL_S:
                self.found.setdefault(each.job_id, each)


class _State:
    """The runs and the free capacity at one moment."""

    def __init__(
        self,
        jobs: Mapping[JobId, BatchJob],
        entries: Sequence[LedgerEntry],
        capacities: Mapping[str, Resources],
        unanswered: Mapping[TaskId, float],
        now: float,
        may_run: Callable[[BatchJob, str], bool],
    ) -> None:
        self._now = now
        self._may_run = may_run
        self._running: set[TaskId] = set()
        self._last_ends: dict[TaskId, float] = {}
        self._unanswered = unanswered
        self._active: set[JobId] = set()
        self._done: dict[tuple[JobId, int, int], set[int]] = defaultdict(set)
        self._total = sum(capacities.values(), NO_RESOURCES)
        self._free = dict(capacities)
        for each in entries:
            if each.outcome is RunEnd.DONE:
                self._done[step_key(each.task)].add(each.task.index)
            if each.ended_at is not None:
                last = self._last_ends.get(each.task, 0.0)
                self._last_ends[each.task] = max(last, each.ended_at)
                continue
            self._running.add(each.task)
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

    def find_waiting_lasting_tasks(self, job: BatchJob) -> Iterator[TaskId]:
        """Yields the long-running single tasks that have been away too long."""
        for number, step in enumerate(job.steps):
            if not step.long_running or step.gang:
                continue
            for index in range(step.count):
                task = TaskId(job.job_id, 0, number, index)
                since = self._last_ends.get(task, job.accepted_at)
                if (
                    task not in self._running
                    and self._now >= since + MAX_AWAY_S
                    and self._is_due(job, 0, step)
                    and not self._is_open(task)
                    and self._has_room(job, step, 1)
                ):
                    yield task

    def _is_open(self, task: TaskId) -> bool:
        sent_at = self._unanswered.get(task)
        return sent_at is not None and self._now < sent_at + OPEN_ORDER_S

    def _has_room(self, job: BatchJob, step: Step, size: int) -> bool:
        """Returns whether there is room for a group, several times over."""
        room = sum(
            step.allocation.count_fitting_in(free)
            for worker, free in self._free.items()
            if self._may_run(job, worker)
        )
        return room >= ROOM_FACTOR * size

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
        if not self._has_room(job, step, step.count if step.gang else 1):
            return None
        is_open = [self._is_open(task) for task in tasks]
        if step.gang:
            return None if any(is_open) else tasks[0]
        return next(
            (t for t, o in zip(tasks, is_open, strict=True) if not o), None
        )
