"""Tests of the watch for jobs that stand still beside free workers."""

import pytest

from pomeloarch_core.batch.messages import RunEnd, TaskId
from pomeloarch_core.batch.model import BatchJob, Queue, Resources, Step
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_standins.batch_ledger import LedgerEntry
from pomeloarch_standins.batch_waiting import OPEN_ORDER_S, WaitingWatch

JOB = JobId("1")
OTHER = JobId("2")
CAPACITIES = {
    "w0": Resources(8_000, 8_000, 8),
    "w1": Resources(8_000, 8_000, 8),
}
SMALL = Step(count=2, need=Resources(1_000, 1_000, 1))
GANG = Step(count=4, need=Resources(1_000, 1_000, 2), gang=True)
LARGE_GANG = Step(count=5, need=Resources(1_000, 1_000, 2), gang=True)
AFTER_SMALL = Step(count=1, need=Resources(1_000, 1_000, 1), after=(0,))


def make_job(job_id, *steps, **fields):
    queue = Queue("batch", "scorer")
    return BatchJob(
        job_id, queue.name, OrganisationName("a"), queue, "", steps, **fields
    )


def run(job_id, step, index, ended_at=None, outcome=None, at=0.0):
    task = TaskId(job_id, 0, step, index)
    return LedgerEntry(task, 1, "w0", at, ended_at, outcome)


def watch_for(seconds, job, entries=(), unanswered=None, busy=None):
    """Watches from 20 s on; returns the group that each job could start."""
    jobs = {JOB: job, OTHER: busy or make_job(OTHER, SMALL)}
    watch = WaitingWatch()
    for tenth in range(int(seconds * 10) + 1):
        watch.look(
            jobs, [JOB], entries, CAPACITIES, unanswered or {}, 20 + tenth / 10
        )
    return [str(each.group) for each in watch.found.values()]


DONE = [run(JOB, 0, i, 5.0, RunEnd.DONE) for i in range(2)]
BUSY = make_job(OTHER, Step(count=1, need=Resources(8_100, 0, 0)))


@pytest.mark.parametrize(
    ("job", "entries", "found"),
    [
        pytest.param(make_job(JOB, SMALL), [], ["1.0.0.0"], id="tasks"),
        pytest.param(make_job(JOB, GANG), [], ["1.0.0.0"], id="gang"),
        pytest.param(
            make_job(JOB, LARGE_GANG), [], [], id="room-for-one-gang-only"
        ),
        pytest.param(
            make_job(JOB, SMALL), [run(JOB, 0, 1)], [], id="another-task-runs"
        ),
        pytest.param(
            make_job(JOB, SMALL),
            [run(JOB, 0, 0, 5.0, RunEnd.DONE)],
            ["1.0.0.1"],
            id="one-task-is-done",
        ),
        pytest.param(
            make_job(JOB, SMALL, AFTER_SMALL),
            DONE,
            ["1.0.1.0"],
            id="earlier-step-is-done",
        ),
        pytest.param(
            make_job(JOB, SMALL, occurrences=1, first_due_at=90.0),
            [],
            [],
            id="not-due",
        ),
        pytest.param(
            make_job(JOB, SMALL), [run(OTHER, 0, 0)], [], id="half-in-use"
        ),
    ],
)
def test_job_that_could_start_stands_still(job, entries, found):
    """Guards the rule that a job doesn't wait for 3 s beside free workers."""
    assert watch_for(3.1, job, entries, busy=BUSY) == found


@pytest.mark.parametrize(("seconds", "found"), [(3.0, []), (3.2, ["1.0.0.0"])])
def test_job_stands_still_only_after_three_seconds(seconds, found):
    assert watch_for(seconds, make_job(JOB, GANG)) == found


@pytest.mark.parametrize(
    ("sent_at", "found"), [(19.0, []), (20.0 - OPEN_ORDER_S, ["1.0.0.0"])]
)
def test_group_may_wait_for_an_order_without_an_answer(sent_at, found):
    unanswered = {TaskId(JOB, 0, 0, 3): sent_at}
    job = make_job(JOB, GANG)
    assert watch_for(3.2, job, unanswered=unanswered) == found
