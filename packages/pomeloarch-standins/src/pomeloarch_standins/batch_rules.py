"""Rules on the runs of tasks, checked on the ledger of a simulation.

Runs that a delayed order started are left out only of rules with a time limit.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container, Iterable, Mapping, Sequence

import msgspec

from pomeloarch_core.batch.messages import RunEnd, TaskId
from pomeloarch_core.batch.model import (
    NO_RESOURCES,
    BatchJob,
    Resources,
    Step,
)
from pomeloarch_core.ids import JobId
from pomeloarch_standins.batch_ledger import (
    LedgerEntry,
    Violation,
    ViolationKind,
    by_task,
    is_speculative,
    step_key,
)


class Disturbance(msgspec.Struct, frozen=True):
    """A time during which faults excuse some effects.

    Attributes:
      started_at: the loop's time of its beginning, in seconds.
      ended_at: the loop's time at which its effects end, in seconds.
    """

    started_at: float
    ended_at: float


def find_early_starts(
    entries: Sequence[LedgerEntry], jobs: Mapping[JobId, BatchJob]
) -> list[Violation]:
    """Returns the starts before all tasks of an earlier step were done.

    One member of a gang that is done stands for all of them.
    """
    done_at = _first_done_at(entries)

    def is_done_by(task: TaskId, gang: bool, at: float) -> bool:
        if not gang:
            return done_at.get(task, float("inf")) <= at
        return any(
            ended_at <= at
            for other, ended_at in done_at.items()
            if step_key(other) == step_key(task)
        )

    def is_early(entry: LedgerEntry) -> bool:
        steps = jobs[entry.task.job_id].steps
        return not all(
            is_done_by(
                msgspec.structs.replace(entry.task, step=number, index=index),
                steps[number].gang,
                entry.started_at,
            )
            for number in steps[entry.task.step].after
            for index in range(steps[number].count)
        )

    return [
        Violation(ViolationKind.START_BEFORE_STEP, each)
        for each in entries
        if is_early(each)
    ]


def _first_done_at(entries: Iterable[LedgerEntry]) -> dict[TaskId, float]:
    found: dict[TaskId, float] = {}
    for each in entries:
        if each.outcome is RunEnd.DONE and each.ended_at is not None:
            earliest = found.get(each.task, each.ended_at)
            found[each.task] = min(earliest, each.ended_at)
    return found


def _step_of(entry: LedgerEntry, jobs: Mapping[JobId, BatchJob]) -> Step:
    return jobs[entry.task.job_id].steps[entry.task.step]


def find_excess_attempts(
    entries: Sequence[LedgerEntry], jobs: Mapping[JobId, BatchJob]
) -> list[Violation]:
    """Returns the starts after as many failed runs as the queue allows.

    Failed runs count whose end was acknowledged, whenever that was. The tasks
    of long-running steps have no limit; those of speculative ones are left out.
    """
    found = []
    for task, runs in by_task(entries).items():
        job = jobs[task.job_id]
        if job.steps[task.step].long_running or is_speculative(task, jobs):
            continue
        for number, run in enumerate(runs):
            failed = [
                each
                for each in runs[:number]
                if each.outcome is RunEnd.FAILED
                and each.acknowledged
                and each.has_ended_by(run.started_at)
            ]
            if len(failed) >= job.accepted_under.max_attempts:
                found.append(
                    Violation(ViolationKind.EXCESS_ATTEMPT, run, failed[-1])
                )
    return found


def find_overfull_workers(
    entries: Sequence[LedgerEntry],
    jobs: Mapping[JobId, BatchJob],
    capacities: Mapping[str, Resources],
) -> list[Violation]:
    """Returns the starts that brought a worker over its capacity.

    A run that is being stopped counts until it has ended.

    Args:
      entries: the runs.
      jobs: jobs by id.
      capacities: the capacity of each worker to check, by the worker's id.
    """
    by_worker: dict[str, list[LedgerEntry]] = defaultdict(list)
    for each in sorted(entries, key=lambda entry: entry.started_at):
        by_worker[each.worker].append(each)
    found = []
    for worker, runs in by_worker.items():
        if worker not in capacities:
            continue
        for number, run in enumerate(runs):
            used = NO_RESOURCES
            for each in runs[: number + 1]:
                if each is run or each.is_running_at(run.started_at):
                    used += _step_of(each, jobs).allocation
            if not used.fits_in(capacities[worker]):
                found.append(Violation(ViolationKind.OVERFULL_WORKER, run))
    return found


def find_starts_after_job(
    entries: Iterable[LedgerEntry],
    ended: Mapping[JobId, float],
    tolerance_s: float,
) -> list[Violation]:
    """Returns the starts after the end of the job was acknowledged.

    Args:
      entries: the runs; those that a delayed order started are left out.
      ended: when a caller was told that the job was cancelled or has completed.
      tolerance_s: time after that in which a start is allowed, in seconds.
    """
    return _find_starts_after(
        entries, ended, tolerance_s, ViolationKind.START_AFTER_JOB
    )


def find_starts_after_completion(
    entries: Iterable[LedgerEntry],
    completed: Mapping[JobId, float],
    tolerance_s: float,
) -> list[Violation]:
    """Returns the starts after the job was shown as completed.

    Args:
      entries: the runs; those that a delayed order started are left out.
      completed: when a job may have been shown as completed first.
      tolerance_s: time after that in which a start is allowed, in seconds.
    """
    return _find_starts_after(
        entries, completed, tolerance_s, ViolationKind.START_AFTER_COMPLETION
    )


def _find_starts_after(
    entries: Iterable[LedgerEntry],
    moments: Mapping[JobId, float],
    tolerance_s: float,
    kind: ViolationKind,
) -> list[Violation]:
    """Returns the starts on time that came too long after a job's moment."""
    return [
        Violation(kind, each)
        for each in entries
        if not each.late
        and each.started_at
        > moments.get(each.task.job_id, float("inf")) + tolerance_s
    ]


def find_starts_of_rejected_jobs(
    entries: Iterable[LedgerEntry], rejected: Container[JobId]
) -> list[Violation]:
    """Returns the starts of jobs that every attempt to hand in was denied."""
    return [
        Violation(ViolationKind.START_OF_REJECTED_JOB, each)
        for each in entries
        if each.task.job_id in rejected
    ]


def find_tasks_not_done(
    entries: Sequence[LedgerEntry], job: BatchJob, at: float
) -> list[TaskId]:
    """Returns the tasks of a job that had not ended as DONE at a time.

    One member of a gang that is done stands for all of them.

    Args:
      entries: the runs.
      job: the job.
      at: the loop's time, in seconds.
    """
    done = {
        each.task
        for each in entries
        if each.task.job_id == job.job_id
        and each.outcome is RunEnd.DONE
        and each.has_ended_by(at)
    }
    gangs_done = {step_key(each) for each in done}
    found = []
    for occurrence in range(max(1, job.occurrences)):
        for number, step in enumerate(job.steps):
            for index in range(step.count):
                task = TaskId(job.job_id, occurrence, number, index)
                if step.gang and step_key(task) in gangs_done:
                    continue
                if task not in done:
                    found.append(task)
    return found


def has_cause_to_fail(entries: Sequence[LedgerEntry], job: BatchJob) -> bool:
    """Returns whether a task or a gang failed as often as the queue allows.

    Runs that ended otherwise than FAILED are no attempts.
    """
    failed: dict[object, set[tuple[str, int, float]]] = defaultdict(set)
    for each in entries:
        if each.task.job_id != job.job_id or each.outcome is not RunEnd.FAILED:
            continue
        if _step_of(each, {job.job_id: job}).gang:
            failed[step_key(each.task)].add(("", each.run, 0.0))
        else:
            failed[each.task].add((each.worker, each.run, each.started_at))
    allowed = job.accepted_under.max_attempts
    return any(len(runs) >= allowed for runs in failed.values())


def find_lonely_members(
    entries: Iterable[LedgerEntry],
    cancelled: Mapping[JobId, float],
    disturbances: Sequence[Disturbance],
) -> list[Violation]:
    """Returns the runs that ended ALONE for no other reason than an order.

    Args:
      entries: the runs.
      cancelled: when the request to cancel a job was sent.
      disturbances: times of faults; a run that overlaps one is excused.
    """
    return [
        Violation(ViolationKind.LONELY_MEMBER, each)
        for each in entries
        if each.outcome is RunEnd.ALONE
        and each.ended_at is not None
        and each.ended_at < cancelled.get(each.task.job_id, float("inf"))
        and not any(
            fault.started_at <= each.ended_at
            and each.started_at <= fault.ended_at
            for fault in disturbances
        )
    ]
