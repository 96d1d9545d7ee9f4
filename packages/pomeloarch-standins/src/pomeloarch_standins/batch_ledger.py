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
    START_AFTER_DONE: a start after an acknowledged end that was DONE.
    START_BEFORE_STEP: a start before the steps that it comes after were done.
    EXCESS_ATTEMPT: a start after as many failed runs as the queue allows.
    OVERFULL_WORKER: a start on a worker without enough room.
    START_AFTER_JOB: a start after the end of the job was acknowledged.
    LONELY_MEMBER: a member of a gang that waited in vain for the others.
    """

    OVERLAP = "two runs at once"
    START_AFTER_DONE = "started after it was done"
    START_BEFORE_STEP = "started before an earlier step was done"
    EXCESS_ATTEMPT = "started after its last attempt"
    OVERFULL_WORKER = "started without room"
    START_AFTER_JOB = "started after its job had ended"
    LONELY_MEMBER = "waited in vain for its gang"


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
        worker's lease ran out before it was acknowledged.

        Args:
          jobs: jobs by id; the tasks of their speculative steps are left out.
        """
        return [
            violation
            for task, runs in by_task(self.entries).items()
            if not is_speculative(task, jobs or {})
            for violation in _find_repeated_runs(runs)
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


def _find_repeated_runs(runs: Sequence[LedgerEntry]) -> Iterable[Violation]:
    for first, second in itertools.combinations(runs, 2):
        if not first.has_ended_by(second.started_at):
            yield Violation(ViolationKind.OVERLAP, second, first)
        elif first.is_done_for_good:
            yield Violation(ViolationKind.START_AFTER_DONE, second, first)
