"""Ends that a worker lists only after its task was promised another place."""

import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.groups import GroupState
from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    JobAccepted,
    RosterWritten,
    RowWritten,
    RunEnd,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopAnswered,
    Tick,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
    WorkersListed,
    WriteRow,
)
from pomeloarch_core.batch.model import (
    NO_RESOURCES,
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.rows import JobRow, JobStatus
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
URGENT = Queue(QueueName("urgent"), SERVICE, 0, 2, 1.5, 0.3)
CATALOGUE = Catalogue(
    Generation(1), {each.name: each for each in (NORMAL, URGENT)}, (), {}
)
WHOLE = Resources(8_000, 8_000, 8)
JOB = JobId("1" * 16)
OTHER_JOB = JobId("2" * 16)
WORKERS = (WorkerId("w0"), WorkerId("w1"))


class Scene:
    """Two workers; the rows of jobs are written when it is said."""

    def __init__(self):
        self.now = 100.0
        self.decisions = []
        self.placing = True
        self.scheduler = BatchScheduler(Epoch(1), CATALOGUE, 0.0)
        listed = tuple(
            WorkerInfo(each, SERVICE, f"{each}:1", ZoneName(each), WHOLE)
            for each in WORKERS
        )
        self.emit(WorkersListed(listed))
        self.emit(RosterWritten(frozenset(WORKERS)))
        for each in WORKERS:
            self.report(each)

    def submit(self, job_id, queue, *steps):
        job = BatchJob(
            job_id,
            queue.name,
            OrganisationName("o"),
            queue,
            "work",
            steps,
            accepted_at=self.now,
        )
        self.emit(JobAccepted(job, JobRow.from_job(job)))

    def started(self, order):
        self.emit(
            StartAnswered(
                order.worker_id,
                order.task,
                order.run,
                StartOutcome.STARTED,
                True,
            )
        )

    def lose(self, worker_id):
        """Has a worker's lease run out behind a cut."""
        self.now += 2.5
        self.emit(WorkerSilent(worker_id, self.now + 3.0))
        self.now += 3.1
        self.emit(Tick(self.now))

    def stopped(self, order):
        """Has a worker list that a run was stopped."""
        self.emit(StopAnswered(order.worker_id, order.task, order.run))
        self.now += 0.1
        end = EndedTask(1, order.task, order.run, RunEnd.STOPPED)
        self.report(order.worker_id, end)

    def group(self):
        return self.scheduler._jobs.get(JOB).all_groups()[0]

    def emit(self, event):
        self.decisions += self.scheduler.handle(event, self.now)
        if self.placing:
            self.decisions += self.scheduler.place(self.now)

    def report(self, worker_id, *ends):
        self.emit(WorkerReported(worker_id, Incarnation(1), self.now, (), ends))

    def rows_written(self):
        for each in [e for e in self.decisions if isinstance(e, WriteRow)]:
            self.emit(RowWritten(each.job_id, each.change))

    def starts(self):
        return [e for e in self.decisions if isinstance(e, StartTask)]


@pytest.mark.parametrize("how", [RunEnd.DONE, RunEnd.FAILED])
def test_place_is_given_back_when_the_run_before_it_turns_out_to_have_ended(
    how,
):
    """Guards against room that stays empty, and a job kept, for a whole term.

    A worker behind a cut is heard again just when its task, whose lease has run
    out, was promised a place elsewhere: it had ended there before.
    """
    scene = Scene()
    scene.submit(JOB, NORMAL, Step(1, WHOLE, 4.0))
    scene.rows_written()
    (order,) = scene.starts()
    first = order.worker_id
    scene.started(order)
    scene.lose(first)
    # It has its place on the other worker; its row doesn't say so yet.
    assert [each.worker_id for each in scene.starts()] == [first]
    scene.now += 0.01
    scene.report(first, EndedTask(1, order.task, order.run, how))
    scene.now += 0.01
    scene.rows_written()
    if how is RunEnd.FAILED:
        again = scene.starts()[-1]
        assert again.run > order.run
        scene.started(again)
        scene.now += 1.0
        done = EndedTask(1, again.task, again.run, RunEnd.DONE)
        scene.report(again.worker_id, done)
        scene.rows_written()
    for _ in range(20):
        scene.now += 0.5
        for each in WORKERS:
            scene.report(each)
        scene.emit(Tick(scene.now))
        scene.rows_written()
    fleet = scene.scheduler._fleet
    assert [fleet.get(each).free for each in WORKERS] == [WHOLE, WHOLE]
    assert scene.scheduler._jobs.get(JOB) is None


@pytest.mark.parametrize(
    ("how", "state"),
    [
        (RunEnd.DONE, GroupState.OVER),
        (RunEnd.FAILED, GroupState.READY),
        (RunEnd.LAPSED, GroupState.CLAIMED),
    ],
)
def test_end_of_a_run_before_is_not_taken_for_one_of_what_only_has_its_places(
    how, state
):
    """Guards against room given back as used that was only promised.

    A gang has a place on the worker of its last run again, and waits for other
    work to leave, when the worker lists how that run had ended. A group that
    has its places goes by the number of the last run until it is started.
    """
    scene = Scene()
    scene.submit(JOB, URGENT, Step(2, WHOLE, 4.0, gang=True))
    scene.rows_written()
    orders = {each.worker_id: each for each in scene.starts()}
    for each in orders.values():
        scene.started(each)
    first, second = WORKERS
    scene.lose(first)
    scene.stopped(orders[second])
    scene.submit(OTHER_JOB, NORMAL, Step(1, WHOLE, 60.0))
    scene.rows_written()
    other = scene.starts()[-1]
    assert (other.worker_id, other.task.job_id) == (second, OTHER_JOB)
    scene.started(other)
    scene.report(first)
    scene.emit(RosterWritten(frozenset(WORKERS)))
    scene.now += 0.3
    scene.emit(Tick(scene.now))
    assert scene.group().state is GroupState.CLAIMED
    began = orders[first]
    scene.placing = False
    scene.report(first, EndedTask(1, began.task, began.run, how))
    group, fleet = scene.group(), scene.scheduler._fleet
    assert group.state is state
    promised = state is GroupState.CLAIMED
    assert len(group.members) == (2 if promised else 0)
    free = (
        [NO_RESOURCES, NO_RESOURCES - WHOLE]
        if promised
        else [WHOLE, NO_RESOURCES]
    )
    assert [fleet.get(each).free for each in WORKERS] == free
    assert [fleet.get(each).unused for each in WORKERS] == [WHOLE, NO_RESOURCES]


def test_group_with_a_place_is_not_started_once_its_attempts_turn_out_used_up():
    """Guards against a run more than a queue allows.

    Only groups without a place were looked at for attempts that are used up.
    """
    scene = Scene()
    scene.submit(JOB, NORMAL, Step(1, WHOLE, 4.0))
    scene.rows_written()
    (order,) = scene.starts()
    scene.started(order)
    scene.group().failed_runs.add(1)
    scene.lose(order.worker_id)
    assert scene.group().state is GroupState.CLAIMED
    end = EndedTask(1, order.task, order.run, RunEnd.FAILED)
    scene.report(order.worker_id, end)
    scene.now += 0.1
    scene.rows_written()
    scene.emit(Tick(scene.now))
    assert scene.starts() == [order]
    rows = [e.row for e in scene.decisions if isinstance(e, WriteRow)]
    assert rows[-1].status is JobStatus.FAILED
