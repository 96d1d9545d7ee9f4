"""A record of all runs that any worker started, for the checks of tests."""

from __future__ import annotations

import enum
import itertools
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from pomeloarch_core.batch.messages import RunEnd, TaskId
from pomeloarch_core.batch.model import BatchJob
from pomeloarch_core.ids import JobId


class LedgerEntry(msgspec.Struct):
    """One run of a task, from its start to its end.

    Attributes:
      task: the task.
      run: the number of the run.
      worker: the id of the worker.
      started_at: the loop's time of its start, in seconds.
      ended_at: the loop's time of its end, in seconds, None while it runs.
      outcome: how it ended, None when its worker crashed.
      acknowledged: whether its end was acknowledged.
      late: whether the order to start it was carried out late.
      expired: whether the worker's lease ran out before the end was
        acknowledged.
    """

    task: TaskId
    run: int
    worker: str
    started_at: float
    ended_at: float | None = None
    outcome: RunEnd | None = None
    acknowledged: bool = False
    late: bool = False
    expired: bool = False

    def __str__(self) -> str:
        """Describes the run, without its task."""
        end = "now" if self.ended_at is None else f"{self.ended_at:.3f} s"
        how = "" if self.outcome is None else f", {self.outcome.value}"
        late = ", started late" if self.late else ""
        return (
            f"run {self.run} on {self.worker} "
            f"({self.started_at:.3f} s to {end}{how}{late})"
        )

    def is_running_at(self, at: float) -> bool:
        """Returns whether the run has started and not ended at a time."""
        return self.started_at <= at and not self.has_ended_by(at)

    def has_ended_by(self, at: float) -> bool:
        """Returns whether the run has ended at a time."""
        return self.ended_at is not None and self.ended_at <= at

    @property
    def is_done_for_good(self) -> bool:
        """Whether it ended DONE and that end was acknowledged in time."""
        return self.outcome is RunEnd.DONE and self.acknowledged


class ViolationKind(enum.Enum):
    """A rule on the runs of tasks that was broken.

    OVERLAP: two runs of a task at the same time.
    START_AFTER_DONE: a start after an acknowledged end that was DONE; one such
      end of a gang's member stands for all members.
    START_BEFORE_STEP: a start before the steps that it comes after were done.
    EXCESS_ATTEMPT: a start after as many failed runs as the queue allows.
    OVERFULL_WORKER: a start on a worker without enough room.
    START_AFTER_JOB: a start after the end of the job was acknowledged.
    LONELY_MEMBER: a member of a gang that waited in vain for the others.
    START_AFTER_COMPLETION: a start after its job was shown as completed.
    START_OF_REJECTED_JOB: a start of a job that no caller may have handed in.
    """

    OVERLAP = "two runs at once"
    START_AFTER_DONE = "started after it was done"
    START_BEFORE_STEP = "started before an earlier step was done"
    EXCESS_ATTEMPT = "started after its last attempt"
    OVERFULL_WORKER = "started without room"
    START_AFTER_JOB = "started after its job had ended"
    LONELY_MEMBER = "waited in vain for its gang"
    START_AFTER_COMPLETION = "started after its job was completed"
    START_OF_REJECTED_JOB = "started though its job was rejected"


class Violation(msgspec.Struct, frozen=True):
    """A run that broke a rule.

    Attributes:
      kind: the rule.
      run: the run that broke it.
      earlier: the run that forbade it, if it was one.
    """

    kind: ViolationKind
    run: LedgerEntry
    earlier: LedgerEntry | None = None

    @property
    def task(self) -> TaskId:
        """The task of the run."""
        return self.run.task

    @property
    def involves_late_order(self) -> bool:
        """Whether a delayed order started one of the runs."""
        return self.run.late or bool(self.earlier and self.earlier.late)

    def __str__(self) -> str:
        """Returns a sentence."""
        sentence = f"{self.task}: {self.kind.value}: {self.run}"
        if self.earlier is None:
            return sentence
        other = "" if self.earlier.task == self.task else self.earlier.task
        return (
            f"{sentence}; before: {other}{' ' if other else ''}{self.earlier}"
        )


class Ledger:
    """The record of all runs that any worker started."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self.entries: list[LedgerEntry] = []

    def find_violations(
        self, jobs: Mapping[JobId, BatchJob] | None = None
    ) -> list[Violation]:
        """Returns all pairs of runs of one task of which the second is wrong.

        Runs of one task must not overlap, and a task must not start again after
        an end as DONE that was acknowledged, whenever that was. This holds for
        runs that a delayed order started, too. An end does not count if the
        worker's lease ran out before it was acknowledged, or if the worker lost
        it before. The end of one member of a gang stands for all members.

        Args:
          jobs: jobs by id; the tasks of their speculative steps are left out,
            and their steps tell which tasks are members of a gang.
        """
        runs_by_task = by_task(self.entries)
        gangs_done = _first_gangs_done(self.entries, jobs or {})
        return [
            violation
            for task, runs in runs_by_task.items()
            if not is_speculative(task, jobs or {})
            for violation in (
                *_find_repeated_runs(runs),
                *_find_repeated_members(runs, gangs_done.get(step_key(task))),
            )
        ]


def by_task(
    entries: Iterable[LedgerEntry],
) -> dict[TaskId, list[LedgerEntry]]:
    """Returns the runs of each task in the order of their starts."""
    found: dict[TaskId, list[LedgerEntry]] = defaultdict(list)
    for each in sorted(entries, key=lambda entry: entry.started_at):
        found[each.task].append(each)
    return found


def is_speculative(task: TaskId, jobs: Mapping[JobId, BatchJob]) -> bool:
    """Returns whether several copies of a task may run in parallel."""
    job = jobs.get(task.job_id)
    return job is not None and job.steps[task.step].speculative


def step_key(task: TaskId) -> tuple[JobId, int, int]:
    """Returns the job, the occurrence and the step of a task."""
    return task.job_id, task.occurrence, task.step


def _first_gangs_done(
    entries: Iterable[LedgerEntry], jobs: Mapping[JobId, BatchJob]
) -> dict[tuple[JobId, int, int], LedgerEntry]:
    """Returns the earliest run of each gang that is done for good."""
    found: dict[tuple[JobId, int, int], LedgerEntry] = {}
    for each in entries:
        job = jobs.get(each.task.job_id)
        if job is None or not job.steps[each.task.step].gang:
            continue
        if each.ended_at is None or not each.is_done_for_good:
            continue
        known = found.get(step_key(each.task))
        if known is None or each.ended_at < (known.ended_at or 0.0):
            found[step_key(each.task)] = each
    return found


def _find_repeated_members(
    runs: Sequence[LedgerEntry], done: LedgerEntry | None
) -> Iterable[Violation]:
    """Yields the starts of a member after another member's acknowledged end."""
    if done is None:
        return
    for number, run in enumerate(runs):
        own = any(
            each.is_done_for_good and each.has_ended_by(run.started_at)
            for each in runs[:number]
        )
        if run is not done and not own and done.has_ended_by(run.started_at):
            yield Violation(ViolationKind.START_AFTER_DONE, run, done)


def _find_repeated_runs(runs: Sequence[LedgerEntry]) -> Iterable[Violation]:
    for first, second in itertools.combinations(runs, 2):
        if not first.has_ended_by(second.started_at):
            yield Violation(ViolationKind.OVERLAP, second, first)
        elif first.is_done_for_good:
            yield Violation(ViolationKind.START_AFTER_DONE, second, first)
