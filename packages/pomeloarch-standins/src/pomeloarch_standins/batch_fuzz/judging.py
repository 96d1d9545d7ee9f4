"""Judges a play by the record of its runs."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

import msgspec

from pomeloarch_core.batch.model import BatchJob
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.batch.intake import Outcome
from pomeloarch_standins.batch_ledger import LedgerEntry, Violation
from pomeloarch_standins.batch_rules import (
    find_early_starts,
    find_excess_attempts,
    find_overfull_workers,
    find_starts_after_completion,
    find_starts_after_job,
    find_starts_of_rejected_jobs,
    find_tasks_not_done,
    has_cause_to_fail,
)
from pomeloarch_standins.batch_world import BatchWorld, CallerAnswer

# Time after the cancellation of a job in which its tasks may start while no
# fault holds, in seconds.
_CANCEL_DELAY_S = 6.0
# Time after which no task of a job that was shown as completed may start, in
# seconds.
_COMPLETED_DELAY_S = 1.0
# Answers that say nothing about other copies of a call.
_INDEFINITE = frozenset({Outcome.NOT_DONE, Outcome.UNKNOWN, Outcome.TOO_MANY})
# How much too early an occurrence may start, in seconds.
_EARLY_S = 0.05


class Finding(msgspec.Struct, frozen=True):
    """Something wrong in a play.

    Attributes:
      kind: the rule that was broken, and whether by a late order.
      text: what was seen.
    """

    kind: str
    text: str

    @classmethod
    def from_violation(cls, violation: Violation) -> Finding:
        """Returns the finding of a rule on the runs of tasks."""
        late = " (late order)" if violation.involves_late_order else ""
        return cls(violation.kind.value + late, str(violation))


def find_violations(
    world: BatchWorld,
    calm_at: float,
    unfinished: Sequence[JobId],
    idle: Sequence[JobId],
) -> list[Finding]:
    """Returns all that is wrong in a play.

    Args:
      world: the simulation, after its end.
      calm_at: the time at which the last fault had ended, in seconds.
      unfinished: accepted jobs that haven't ended in time.
      idle: endless jobs of which a task wasn't running in time.
    """
    entries, jobs = world.ledger.entries, world.submitted
    capacities = {
        str(each): info.capacity for each, info in world.worker_infos().items()
    }
    completed = {
        job_id: at
        for job_id, (status, at) in world.finished.items()
        if status is JobStatus.COMPLETED
    }
    ended = {
        job_id: max(at, calm_at)
        for job_id, at in world.cancel_acknowledged.items()
    }
    violations = [
        *world.ledger.find_violations(jobs),
        *find_early_starts(entries, jobs),
        *find_excess_attempts(entries, jobs),
        *find_overfull_workers(entries, jobs, capacities),
        *find_starts_after_job(entries, ended, _CANCEL_DELAY_S),
        *find_starts_after_completion(entries, completed, _COMPLETED_DELAY_S),
        *find_starts_of_rejected_jobs(entries, world.rejected),
    ]
    return [
        *map(Finding.from_violation, violations),
        *_find_early_occurrences(entries, jobs),
        *_find_left_runs(entries),
        *_find_wrong_statuses(world),
        *_find_untrue_answers(world),
        *(Finding("unfinished", f"{each} hasn't ended") for each in unfinished),
        *(Finding("idle", f"{each} isn't running") for each in idle),
    ]


def _find_early_occurrences(
    entries: Sequence[LedgerEntry], jobs: Mapping[JobId, BatchJob]
) -> Iterator[Finding]:
    for each in entries:
        due_at = jobs[each.task.job_id].due_at(each.task.occurrence)
        if each.started_at < due_at - _EARLY_S:
            yield Finding(
                "started before it was due",
                f"{each.task}: {each}; due at {due_at:.3f} s",
            )


def _find_wrong_statuses(world: BatchWorld) -> Iterator[Finding]:
    """Yields the jobs that were shown as completed or failed without cause."""
    entries = world.ledger.entries
    for job_id, (status, at) in world.finished.items():
        job = world.submitted[job_id]
        if status is JobStatus.COMPLETED:
            for task in find_tasks_not_done(entries, job, at):
                yield Finding(
                    "completed before its tasks", f"{task} at {at:.3f} s"
                )
        elif status is JobStatus.FAILED and not has_cause_to_fail(entries, job):
            yield Finding("failed without cause", f"{job_id} at {at:.3f} s")


def _find_left_runs(entries: Sequence[LedgerEntry]) -> Iterator[Finding]:
    """Yields the runs that go on although all jobs have ended."""
    for each in entries:
        if each.ended_at is None:
            yield Finding("runs on after its job", f"{each.task}: {each}")


def _find_untrue_answers(world: BatchWorld) -> Iterator[Finding]:
    """Yields the answers to callers that were or became untrue."""
    started = {each.task.job_id for each in world.ledger.entries}
    for answer in world.answers:
        job_id, outcome = answer.job_id, answer.outcome
        owner, stored_at = world.owners.get(
            job_id, (answer.organisation, float("inf"))
        )
        is_own = owner == answer.organisation
        is_visible = is_own or not owner or not answer.organisation
        if answer.is_cancel and outcome is Outcome.NO_JOB and is_visible:
            if stored_at <= answer.asked_at:
                yield Finding("denied a job that exists", str(answer))
            elif job_id in started and not _is_asked_again(
                world.answers, answer, owner
            ):
                yield Finding("ran after its cancel found no job", str(answer))
        elif answer.is_cancel and outcome is Outcome.DONE and not is_visible:
            yield Finding("cancelled for another organisation", str(answer))
        elif not answer.is_cancel and outcome is Outcome.DONE:
            if not is_own or stored_at > answer.told_at:
                yield Finding("accepted and not stored", str(answer))
        elif (
            not answer.is_cancel
            and outcome not in _INDEFINITE
            and is_own
            and job_id in started
            and not _is_asked_again(world.answers, answer, owner)
        ):
            yield Finding("ran after it was refused", str(answer))


def _is_asked_again(
    answers: Sequence[CallerAnswer],
    before: CallerAnswer,
    owner: OrganisationName,
) -> bool:
    """Returns whether a job was submitted and accepted after an answer.

    A submission that was refused for good has to have been accepted at any
    time, since each of its copies may be the one that was stored.
    """
    since = before.told_at if before.is_cancel else float("-inf")
    return any(
        not each.is_cancel
        and each.job_id == before.job_id
        and each.organisation == owner
        and each.outcome is Outcome.DONE
        and each.asked_at >= since
        for each in answers
    )
