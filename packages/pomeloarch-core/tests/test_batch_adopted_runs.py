"""Estimates of a successor for runs that it took over, as they progress."""

import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.messages import (
    Incarnation,
    JobAccepted,
    PaceTask,
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
# The duration that the caller declared, and the real progress: 10% per second.
DECLARED_S = 4.0
PERCENT_PER_SECOND = 10.0
ORIGINS = ("own", "adopted", "resumed")


class Leader:
    """A scheduler with one worker that runs one task, which fills it.

    The leader has seen all progress of the run (own), has adopted the run, or
    has started it from a checkpoint (resumed).
    """

    def __init__(
        self, origin, done=50.0, percent_per_second=PERCENT_PER_SECOND
    ):
        adopts = origin == "adopted"
        self.percent_per_second = percent_per_second
        self.now = 100.0
        self.decisions = []
        self.scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
        job = self.job(RUNNING, NORMAL, DECLARED_S, origin == "resumed")
        row = JobRow.from_job(job)
        if origin == "resumed":
            row.step(0, 0).checkpoints["0"] = "half"
        if adopts:
            row.add_places([WORKER])
        self.emit(JobAccepted(job, row, inherited=adopts))
        self.run = RunNumber(4097) if adopts else None
        info = WorkerInfo(WORKER, SERVICE, "w:1", ZoneName("z"), WHOLE)
        self.emit(WorkersListed((info,)))
        self.emit(RosterWritten(frozenset({WORKER})))
        done_s = done / percent_per_second
        self.began = self.now - (0.0 if origin == "own" else done_s)
        self.report()
        if not adopts:
            self.rows_written()
            (order,) = self.decisions_of(StartTask)
            self.run = order.run
            self.emit(
                StartAnswered(
                    WORKER, order.task, order.run, StartOutcome.STARTED, True
                )
            )
        if origin == "resumed":
            self.report()
        if origin == "own":
            self.advance(done_s)

    def advance(self, seconds):
        """Lets the task run, with a report each second."""
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
        percent = (self.now - self.began) * self.percent_per_second
        running = ()
        if self.run is not None:
            running = (RunningTask(task, self.run, percent=percent),)
        self.emit(WorkerReported(WORKER, Incarnation(1), self.now, running, ()))

    def rows_written(self):
        for each in self.decisions_of(WriteRow):
            self.emit(RowWritten(each.job_id, each.change))

    def decisions_of(self, kind):
        return [each for each in self.decisions if isinstance(each, kind)]


@pytest.mark.parametrize("origin", ORIGINS)
def test_remaining_time_follows_progress_whoever_started_the_run(origin):
    """Guards against adopted runs that are estimated to end in a moment."""
    leader = Leader(origin)
    leader.advance(2.0)
    # 70 % are done after seven seconds.
    left_s = leader.scheduler.busy_s(WORKER, leader.now)
    assert left_s == pytest.approx(3.0, rel=0.3)


@pytest.mark.parametrize("origin", ORIGINS)
def test_urgent_group_does_not_wait_for_an_end_that_progress_rules_out(origin):
    """Guards against urgent jobs that are late after a change of leader.

    By its declared duration, the run on their worker was always about to end.
    """
    leader = Leader(origin)
    leader.advance(2.0)
    urgent = leader.job(WAITING, URGENT, 10.0)
    leader.emit(JobAccepted(urgent, JobRow.from_job(urgent)))
    plan = leader.scheduler._jobs.get(WAITING).all_groups()[0].reserved_until
    stops = [each.task.job_id for each in leader.decisions_of(StopTask)]
    assert stops == [RUNNING] or plan - leader.now > 2.0


@pytest.mark.parametrize(
    ("origin", "done", "percent_per_second", "seconds", "left_s"),
    [
        ("adopted", 50.0, PERCENT_PER_SECOND, 0, 0.5 * DECLARED_S),
        ("resumed", 50.0, PERCENT_PER_SECOND, 0, 0.5 * DECLARED_S),
        ("adopted", 50.0, 1.0, 4, 0.46 * DECLARED_S),
        ("resumed", 50.0, 1.0, 4, 0.46 * DECLARED_S),
        ("own", 0.0, 1.0, 4, 0.96 * DECLARED_S),
    ],
)
def test_run_without_known_speed_takes_its_usual_time_for_the_rest(
    origin, done, percent_per_second, seconds, left_s
):
    """Guards against runs past their estimate that count as about to end."""
    leader = Leader(origin, done, percent_per_second)
    leader.advance(seconds)
    expected_s = leader.scheduler.busy_s(WORKER, leader.now)
    assert expected_s == pytest.approx(left_s)


@pytest.mark.parametrize(
    ("tail_ms", "load", "pace"),
    [
        (150.0, 4_000.0, 30),
        (150.0, 400.0, 0),
        (150.0, 0.0, 0),
        (60.0, 4_000.0, 100),
        (60.0, 4_400.0, 100),
        (60.0, 2_000.0, 65),
        (60.0, 0.0, 15),
        (80.0, 0.0, None),
        (None, 0.0, 15),
        (None, 4_000.0, 100),
    ],
)
def test_pace_of_an_adopted_run_is_not_taken_for_the_full_one(
    tail_ms, load, pace
):
    """Guards against a task that stays slow since nobody knows that it is.

    The former leader may have slowed it down. What it uses shows by how much;
    the first order settles its pace.
    """
    scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
    need = Resources(4_000, 1_000, 0)
    filling = Step(1, need, 4.0, scavenging=True)
    serving = Step(1, need, 4.0, long_running=True, latency_target_ms=100)
    running = []
    for job_id, step, figure in (
        (RUNNING, filling, load),
        (WAITING, serving, tail_ms),
    ):
        job = BatchJob(job_id, NORMAL.name, OWNER, NORMAL, "work", (step,))
        row = JobRow.from_job(job)
        row.add_places([WORKER])
        scheduler.handle(JobAccepted(job, row, inherited=True), 100.0)
        if figure is not None:
            task = TaskId(job_id, 0, 0, 0)
            running.append(RunningTask(task, RunNumber(4097), load=figure))
    info = WorkerInfo(WORKER, SERVICE, "w:1", ZoneName("z"), WHOLE)
    scheduler.handle(WorkersListed((info,)), 100.0)
    report = WorkerReported(WORKER, Incarnation(1), 100.0, tuple(running), ())
    decisions = scheduler.handle(report, 100.0)
    orders = [each for each in decisions if isinstance(each, PaceTask)]
    assert [(each.task.job_id, each.percent) for each in orders] == (
        [] if pace is None else [(RUNNING, pace)]
    )


@pytest.mark.parametrize("origin", ["own", "adopted"])
def test_lost_work_of_a_run_follows_its_progress(origin):
    """Guards against adopted runs that are preempted because they count as new.

    Their start used to be estimated from their declared duration.
    """
    leader = Leader(origin)
    leader.advance(2.0)
    group = leader.scheduler._jobs.get(RUNNING).all_groups()[0]
    cores = 8 + 8 * CORES_PER_ACCELERATOR
    assert lost_work(group, leader.now) == pytest.approx(7.0 * cores)
