"""Tests of what is concluded about workers before they have reported."""

import msgspec
import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.messages import (
    AdviceGiven,
    Incarnation,
    JobAccepted,
    RequestAdvice,
    RosterWritten,
    RowWritten,
    RunningTask,
    RunNumber,
    StartTask,
    TaskId,
    Tick,
    UpkeepOrdered,
    UpkeepRefused,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
    WorkersListed,
    WorkerTakenDown,
    WriteRow,
)
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.ids import (
    Epoch,
    Generation,
    JobId,
    OrganisationName,
    ServiceName,
    WorkerId,
    ZoneName,
)

NOW = 100.0
QUEUE = Queue(QueueName("q"), ServiceName("s"), advised=True)
CATALOGUE = Catalogue(Generation(1), {QUEUE.name: QUEUE}, (), {})
INFO = WorkerInfo(
    WorkerId("w"),
    ServiceName("s"),
    "",
    ZoneName("z"),
    Resources(64_000, 64_000, 8),
)
JOB = BatchJob(
    JobId("0" * 16),
    QUEUE.name,
    OrganisationName("o"),
    QUEUE,
    "work",
    (Step(count=1, need=Resources(8_000, 8_000, 1), estimate_s=4.0),),
    accepted_at=NOW,
)


OTHER = msgspec.structs.replace(INFO, worker_id=WorkerId("v"))
SERVING = [
    RunningTask(TaskId(JOB.job_id, 0, 0, index), RunNumber(1), percent=100)
    for index in range(3)
]


def make_serving_scheduler(count, may_miss):
    """Returns one that is about to adopt tasks of a long-running step."""
    scheduler = make_scheduler(INFO, OTHER)
    step = msgspec.structs.replace(
        JOB.steps[0], count=count, long_running=True, may_miss=may_miss
    )
    job = msgspec.structs.replace(JOB, steps=(step,))
    row = JobRow.from_job(job)
    row.add_places([INFO.worker_id, OTHER.worker_id])
    scheduler.handle(JobAccepted(job, row, inherited=True), NOW)
    return scheduler


def make_scheduler(*workers):
    workers = workers or (INFO,)
    scheduler = BatchScheduler(Epoch(256), CATALOGUE, 0.0)
    scheduler.handle(WorkersListed(workers), NOW)
    names = frozenset(each.worker_id for each in workers)
    scheduler.handle(RosterWritten(names), NOW)
    return scheduler


def of_kind(decisions, kind):
    return [each for each in decisions if isinstance(each, kind)]


def report(
    scheduler,
    incarnation,
    now,
    complete=True,
    running=(),
    worker_id=INFO.worker_id,
):
    event = WorkerReported(
        worker_id,
        Incarnation(incarnation),
        now,
        tuple(running),
        (),
        complete,
    )
    return scheduler.handle(event, now)


@pytest.mark.parametrize("reports", [None, False, True])
def test_worker_may_be_taken_down_only_once_its_runs_are_known(reports):
    """Guards against an upkeep that ends runs that a successor hasn't seen.

    Nothing is known of a worker that has not reported, or not everything.
    """
    scheduler = make_scheduler()
    if reports is not None:
        report(scheduler, 1, NOW, complete=reports)
    assert scheduler.can_end_tasks(INFO.worker_id, NOW) == bool(reports)


@pytest.mark.parametrize(
    ("silent_for_s", "allowed"), [(0.0, False), (1.9, False), (2.0, True)]
)
def test_silent_worker_may_be_taken_down_once_its_leases_have_ended(
    silent_for_s, allowed
):
    """Guards against an upkeep that waits for good, or ends unknown runs.

    Nothing runs any longer on a worker whose leases have ended, until it
    answers again.
    """
    scheduler = make_scheduler()
    scheduler.handle(WorkerSilent(INFO.worker_id, NOW + 2.0), NOW)
    now = NOW + silent_for_s
    assert scheduler.can_end_tasks(INFO.worker_id, now) == allowed
    report(scheduler, 1, now, complete=False)
    assert not scheduler.can_end_tasks(INFO.worker_id, now)


@pytest.mark.parametrize(
    ("here", "elsewhere", "may_miss", "allowed"),
    [
        (1, 2, 1, True),
        (1, 1, 1, False),
        (2, 1, 1, False),
        (2, 1, 2, True),
        (2, 0, 2, False),
        (3, 0, 3, True),
        (3, 0, 0, True),
    ],
)
def test_worker_may_be_taken_down_only_if_its_step_can_miss_all_its_tasks(
    here, elsewhere, may_miss, allowed
):
    """Guards against an upkeep that ends several tasks of a step at once.

    Each of them could have been stopped alone. Of the step's three tasks, those
    that run nowhere are away.
    """
    scheduler = make_serving_scheduler(3, may_miss)
    report(scheduler, 1, NOW, running=SERVING[:here])
    report(
        scheduler,
        1,
        NOW,
        running=SERVING[here : here + elsewhere],
        worker_id=OTHER.worker_id,
    )
    assert scheduler.can_end_tasks(INFO.worker_id, NOW) == allowed


@pytest.mark.parametrize(
    ("event", "asked_after_s", "allowed"),
    [
        (None, None, True),
        (WorkerTakenDown(OTHER.worker_id), None, False),
        (WorkerTakenDown(OTHER.worker_id), -0.1, False),
        (WorkerTakenDown(OTHER.worker_id), 0.1, True),
        (UpkeepOrdered(OTHER.worker_id), None, False),
        (UpkeepOrdered(OTHER.worker_id), 0.1, False),
        (WorkerSilent(OTHER.worker_id, NOW + 6.0), None, False),
        (WorkerSilent(OTHER.worker_id, NOW + 6.0), 0.1, True),
    ],
)
def test_task_that_may_have_ended_counts_as_away(event, asked_after_s, allowed):
    """Guards against an upkeep that trusts tasks of a machine taken before.

    A worker that has ended is noticed only some seconds later, and its tasks
    are released once their leases have ended.
    """
    scheduler = make_serving_scheduler(2, may_miss=1)
    report(scheduler, 1, NOW - 1.0, running=SERVING[:1])
    others = {"running": SERVING[1:2], "worker_id": OTHER.worker_id}
    report(scheduler, 1, NOW - 1.0, **others)
    if event is not None:
        scheduler.handle(event, NOW)
    if asked_after_s is not None:
        report(scheduler, 1, NOW + asked_after_s, **others)
    assert scheduler.can_end_tasks(INFO.worker_id, NOW + 0.2) == allowed


@pytest.mark.parametrize("between", [None, WorkerSilent])
@pytest.mark.parametrize("answer", [UpkeepRefused, WorkerTakenDown])
def test_task_counts_as_away_until_its_upkeep_order_is_answered(
    answer, between
):
    """Guards against tasks that are preempted beside an upkeep (review/15).

    The order may be carried out at any time, also after a report that still
    shows the task at work.
    """
    scheduler = make_serving_scheduler(2, may_miss=1)
    others = {"running": SERVING[1:2], "worker_id": OTHER.worker_id}
    report(scheduler, 1, NOW - 1.0, running=SERVING[:1])
    report(scheduler, 1, NOW - 1.0, **others)
    scheduler.handle(UpkeepOrdered(OTHER.worker_id), NOW)
    if between is not None:
        scheduler.handle(WorkerSilent(OTHER.worker_id, NOW + 6.0), NOW + 0.1)
    found = []
    for at in (NOW + 0.5, NOW + 1.0):
        report(scheduler, 1, at, **others)
        found.append(scheduler.can_end_tasks(INFO.worker_id, at))
    scheduler.handle(answer(OTHER.worker_id), NOW + 1.25)
    found.append(scheduler.can_end_tasks(INFO.worker_id, NOW + 1.3))
    report(scheduler, 1, NOW + 1.5, **others)
    found.append(scheduler.can_end_tasks(INFO.worker_id, NOW + 1.5))
    assert found == [False, False, False, True]


@pytest.mark.parametrize("restarts", [False, True])
def test_ticket_is_for_the_incarnation_that_was_asked_about(restarts):
    """Guards against a ticket that a restarted worker refuses."""
    scheduler = make_scheduler()
    report(scheduler, 1, NOW)
    scheduler.handle(JobAccepted(JOB, JobRow.from_job(JOB)), NOW)
    asked = of_kind(scheduler.place(NOW), RequestAdvice)
    assert [each.worker_ids for each in asked] == [(INFO.worker_id,)]
    if restarts:
        report(scheduler, 2, NOW + 0.1)
    answer = AdviceGiven(asked[0], {INFO.worker_id: "t"}, NOW + 9.0)
    scheduler.handle(answer, NOW + 0.2)
    placed = scheduler.place(NOW + 0.2)
    for each in of_kind(placed, WriteRow):
        placed += scheduler.handle(
            RowWritten(each.job_id, each.change), NOW + 0.3
        )
    assert bool(of_kind(placed, StartTask)) != restarts


@pytest.mark.parametrize(
    ("incarnation", "written_after_s", "starts"),
    [(1, 0.1, True), (1, 1.9, False), (2, 0.1, False)],
)
def test_claimed_place_is_given_back_if_its_ticket_is_no_longer_valid(
    incarnation, written_after_s, starts
):
    """Guards against starts that are refused for their ticket.

    The place was claimed while the ticket was valid, and the job's row was
    written late, or the worker has restarted in between.
    """
    scheduler = make_scheduler()
    report(scheduler, 1, NOW)
    scheduler.handle(JobAccepted(JOB, JobRow.from_job(JOB)), NOW)
    (question,) = of_kind(scheduler.place(NOW), RequestAdvice)
    answer = AdviceGiven(question, {INFO.worker_id: "t"}, NOW + 1.8)
    scheduler.handle(answer, NOW)
    (write,) = of_kind(scheduler.place(NOW), WriteRow)
    report(scheduler, incarnation, NOW + 0.05)
    now = NOW + written_after_s
    found = scheduler.handle(RowWritten(write.job_id, write.change), now)
    assert len(of_kind(found, StartTask)) == starts
    scheduler.handle(Tick(now), now)
    asked = of_kind(scheduler.place(now), RequestAdvice)
    assert [each.incarnations for each in asked] == (
        [] if starts else [{INFO.worker_id: incarnation}]
    )
