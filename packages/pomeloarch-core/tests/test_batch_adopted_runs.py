"""What a successor expects of runs that it took over, as they get on."""

import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.messages import (
    Incarnation,
    JobAccepted,
    RosterWritten,
    RowWritten,
    RunningTask,
    RunNumber,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopTask,
    TaskId,
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
from pomeloarch_core.batch.preempting import (
    CORES_PER_ACCELERATOR,
    lost_work,
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
OWNER = OrganisationName("o")
URGENT = Queue(QueueName("urgent"), SERVICE, 0, 3, 1.5, 0.3)
NORMAL = Queue(QueueName("normal"), SERVICE, 1, 2, 3.0, 1.0)
CATALOGUE = Catalogue(
    Generation(1), {each.name: each for each in (URGENT, NORMAL)}, (), {}
)
WORKER = WorkerId("w")
WHOLE = Resources(8_000, 8_000, 8)
RUNNING = JobId("1" * 16)
WAITING = JobId("2" * 16)
# What its caller said, and what its progress shows: 10% each second.
SAID_S = 4.0
PERCENT_A_SECOND = 10.0
WAYS = ("own", "adopted", "resumed")


class Leader:
    """A scheduler of one worker, which runs one whole task.

    The leader saw all that is done of it, or adopted the run then, or started
    it from a checkpoint.
    """

    def __init__(self, way, done=50.0, percent_a_second=PERCENT_A_SECOND):
        adopts = way == "adopted"
        self.percent_a_second = percent_a_second
        self.now = 100.0
        self.decisions = []
        self.scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
        job = self.job(RUNNING, NORMAL, SAID_S, way == "resumed")
        row = JobRow.from_job(job)
        if way == "resumed":
            row.step(0, 0).checkpoints["0"] = "half"
        if adopts:
            row.add_places([WORKER])
        self.emit(JobAccepted(job, row, older=adopts))
        self.run = RunNumber(4097) if adopts else None
        info = WorkerInfo(WORKER, SERVICE, "w:1", ZoneName("z"), WHOLE)
        self.emit(WorkersListed((info,)))
        self.emit(RosterWritten(frozenset({WORKER})))
        done_s = done / percent_a_second
        self.began = self.now - (0.0 if way == "own" else done_s)
        self.report()
        if not adopts:
            self.rows_written()
            (order,) = self.of(StartTask)
            self.run = order.run
            self.emit(
                StartAnswered(
                    WORKER, order.task, order.run, StartOutcome.STARTED, True
                )
            )
        if way == "resumed":
            self.report()
        if way == "own":
            self.get_on(done_s)

    def get_on(self, seconds):
        """Lets the task work, with a report each second."""
        for _ in range(round(seconds)):
            self.now += 1.0
            self.report()

    def job(self, job_id, queue, seconds, checkpointing=False):
        return BatchJob(
            job_id,
            queue.name,
            OWNER,
            queue,
            "work",
            (Step(1, WHOLE, seconds, checkpointing=checkpointing),),
            accepted_at=self.now,
        )

    def emit(self, event):
        self.decisions += self.scheduler.handle(event, self.now)
        self.decisions += self.scheduler.place(self.now)

    def report(self):
        task = TaskId(RUNNING, 0, 0, 0)
        percent = (self.now - self.began) * self.percent_a_second
        running = ()
        if self.run is not None:
            running = (RunningTask(task, self.run, percent=percent),)
        self.emit(WorkerReported(WORKER, Incarnation(1), self.now, running, ()))

    def rows_written(self):
        for each in self.of(WriteRow):
            self.emit(RowWritten(each.job_id, each.change))

    def of(self, kind):
        return [each for each in self.decisions if isinstance(each, kind)]


@pytest.mark.parametrize("way", WAYS)
def test_progress_tells_how_long_a_run_takes_whoever_started_it(way):
    """Guards against runs that a successor takes to end in a moment."""
    leader = Leader(way)
    leader.get_on(2.0)
    # Seven tenths are done after seven seconds.
    left_s = leader.scheduler.busy_s(WORKER, leader.now)
    assert left_s == pytest.approx(3.0, rel=0.3)


@pytest.mark.parametrize("way", WAYS)
def test_urgent_work_does_not_wait_for_an_end_that_progress_rules_out(way):
    """Guards against urgent jobs late after a change of leader.

    The run beside them was over any moment by what its caller had said.
    """
    leader = Leader(way)
    leader.get_on(2.0)
    urgent = leader.job(WAITING, URGENT, 10.0)
    leader.emit(JobAccepted(urgent, JobRow.from_job(urgent)))
    plan = leader.scheduler._jobs.get(WAITING).all_groups()[0].kept_until
    stops = [each.task.job_id for each in leader.of(StopTask)]
    assert stops == [RUNNING] or plan - leader.now > 2.0


@pytest.mark.parametrize(
    ("way", "done", "percent_a_second", "seconds", "left_s"),
    [
        ("adopted", 50.0, PERCENT_A_SECOND, 0, 0.5 * SAID_S),
        ("resumed", 50.0, PERCENT_A_SECOND, 0, 0.5 * SAID_S),
        ("adopted", 50.0, 1.0, 4, 0.46 * SAID_S),
        ("resumed", 50.0, 1.0, 4, 0.46 * SAID_S),
        ("own", 0.0, 1.0, 4, 0.96 * SAID_S),
    ],
)
def test_run_that_has_hardly_got_on_yet_has_its_usual_time_for_what_is_left(
    way, done, percent_a_second, seconds, left_s
):
    """Guards against runs past their estimate that count as about to end."""
    leader = Leader(way, done, percent_a_second)
    leader.get_on(seconds)
    expected_s = leader.scheduler.busy_s(WORKER, leader.now)
    assert expected_s == pytest.approx(left_s)


@pytest.mark.parametrize("way", ["own", "adopted"])
def test_work_that_a_run_would_lose_is_what_its_progress_shows(way):
    """Guards against adopted runs that give way because they count as young.

    Their beginning was worked out from what their caller had said.
    """
    leader = Leader(way)
    leader.get_on(2.0)
    group = leader.scheduler._jobs.get(RUNNING).all_groups()[0]
    cores = 8 + 8 * CORES_PER_ACCELERATOR
    assert lost_work(group, leader.now) == pytest.approx(7.0 * cores)
