"""Tests of the limit on the open starts that a job's row names."""

import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.messages import (
    Incarnation,
    JobAccepted,
    RosterWritten,
    RowWritten,
    StartAnswered,
    StartOutcome,
    StartTask,
    Tick,
    WorkerInfo,
    WorkerReported,
    WorkersListed,
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

SERVICE = ServiceName("scorer")
NORMAL = Queue(QueueName("normal"), SERVICE, 1, 2, 3.0, 1.0)
CATALOGUE = Catalogue(Generation(1), {NORMAL.name: NORMAL}, (), {})
WORKERS = (WorkerId("w0"), WorkerId("w1"))
CAPACITY = Resources(100_000, 100_000, 0)
SMALL = Resources(1_000, 1_000, 0)
MOST = 8


class Harness:
    """A scheduler with two large workers, and rows of few names."""

    def __init__(self):
        self.now = 100.0
        self.decisions = []
        self.scheduler = BatchScheduler(
            Epoch(1), CATALOGUE, 0.0, max_open_names=MOST
        )
        infos = tuple(
            WorkerInfo(each, SERVICE, f"{each}:1", ZoneName("z"), CAPACITY)
            for each in WORKERS
        )
        self.emit(WorkersListed(infos))
        self.emit(RosterWritten(frozenset(WORKERS)))
        for each in WORKERS:
            self.emit(WorkerReported(each, Incarnation(1), self.now, (), ()))

    def emit(self, event):
        self.decisions += self.scheduler.handle(event, self.now)
        self.decisions += self.scheduler.place(self.now)

    def submit(self, number, step):
        job_id = JobId(f"{number:016x}")
        job = BatchJob(
            job_id, NORMAL.name, OrganisationName("o"), NORMAL, "", (step,)
        )
        self.row = JobRow.from_job(job)
        self.emit(JobAccepted(job, self.row))
        self.write_rows()
        return job_id

    def write_rows(self):
        while orders := [e for e in self.decisions if isinstance(e, WriteRow)]:
            self.decisions = [
                e for e in self.decisions if not isinstance(e, WriteRow)
            ]
            for each in orders:
                self.emit(RowWritten(each.job_id, each.change))

    def starts(self, job_id):
        return [
            e
            for e in self.decisions
            if isinstance(e, StartTask) and e.task.job_id == job_id
        ]

    def answer(self, orders):
        for each in orders:
            self.emit(
                StartAnswered(
                    each.worker_id,
                    each.task,
                    each.run,
                    StartOutcome.STARTED,
                    True,
                )
            )
        self.now += 0.1
        self.emit(Tick(self.now))
        self.write_rows()


@pytest.mark.parametrize(
    ("step", "first"),
    [
        pytest.param(Step(20, SMALL), MOST, id="tasks"),
        pytest.param(Step(MOST - 1, SMALL), MOST - 1, id="few-tasks"),
        pytest.param(Step(20, SMALL, gang=True), 20, id="gang"),
        pytest.param(Step(20, SMALL, long_running=True), MOST, id="lasting"),
    ],
)
def test_row_names_no_more_open_starts_than_fit(step, first):
    """Guards against the row of a wide job that outgrows the store."""
    harness = Harness()
    job = harness.submit(1, step)
    other = harness.submit(2, Step(2, SMALL))
    assert len(harness.starts(job)) == first
    assert len(harness.starts(other)) == 2


def test_wide_job_goes_on_as_its_starts_are_answered():
    """Guards against a wide job that stands still at the limit."""
    harness = Harness()
    job = harness.submit(1, Step(30, SMALL))
    answered = 0
    for _ in range(8):
        orders = harness.starts(job)
        assert len(orders) - answered <= MOST
        assert len(harness.row.open_starts) <= MOST
        harness.answer(orders[answered:])
        answered = len(orders)
    assert answered == 30
    assert harness.row.open_starts == {}
