"""What keeps a group off workers with room ends, if nothing else happens."""

import itertools

import pytest

from pomeloarch_core.batch.catalogue import Catalogue, Tenant
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.holds import (
    MAX_LASTING_WAIT_S,
    MAX_SIGHT_WAIT_S,
    MAX_WAIT_S,
    Hold,
    are_preferences_lifted,
)
from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    JobAccepted,
    LogEntry,
    RosterWritten,
    RowWritten,
    RunEnd,
    RunningTask,
    RunNumber,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopTask,
    TaskId,
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
OWNER = OrganisationName("qasr")
URGENT = Queue(QueueName("urgent"), SERVICE, 0, 3, 1.5, 0.25)
BATCH = Queue(QueueName("batch"), SERVICE, 2, 4, 3.0, 3.0)
CATALOGUE = Catalogue(
    Generation(1),
    {each.name: each for each in (URGENT, BATCH)},
    (),
    {OWNER: Tenant(OWNER, frozenset(), 64)},
)
ONE = Resources(2_000, 1_000, 1)
ALL = Resources(2_000, 1_000, 8)
CAPACITY = Resources(64_000, 64_000, 8)
# How often workers report, in seconds.
REPORT_S = 0.5
# What the length of a round and a refused place may add, in seconds.
SLACK_S = 0.4


class Fleet:
    """A scheduler and workers that carry out every order at once.

    Args:
      racks: the number of workers of each rack.
    """

    def __init__(self, *racks):
        self.now = 100.0
        self.scheduler = BatchScheduler(
            Epoch(1), CATALOGUE, 0.0, DispatchTimes(0.9, 3.4)
        )
        self.running, self.ends, self.logged, self.starts = {}, {}, [], []
        # Percent that a run reports, by its job.
        self.percent = {}
        # When each run began, and the jobs that end by themselves.
        self.began, self.length_s = {}, {}
        self._numbers = itertools.count(1)
        workers = tuple(
            WorkerInfo(
                WorkerId(f"w{rack}{number}"),
                SERVICE,
                "",
                ZoneName("z"),
                CAPACITY,
                frozenset({f"r{rack}"}),
                f"r{rack}",
            )
            for rack, count in enumerate(racks)
            for number in range(count)
        )
        self.workers = [each.worker_id for each in workers]
        self.ends = {each: [] for each in self.workers}
        self.emit(WorkersListed(workers))
        self.emit(RosterWritten(frozenset(self.workers)))
        for each in self.workers:
            self.report(each)

    def emit(self, event):
        self._execute(self.scheduler.handle(event, self.now))
        self._execute(self.scheduler.place(self.now))

    def _execute(self, decisions):
        for each in decisions:
            if isinstance(each, StartTask):
                self.starts.append((self.now, each))
                self.running[each.task, each.run] = each.worker_id
                self.began[each.task, each.run] = self.now
                self.emit(
                    StartAnswered(
                        each.worker_id,
                        each.task,
                        each.run,
                        StartOutcome.STARTED,
                        settled=True,
                    )
                )
            elif isinstance(each, StopTask):
                if (each.task, each.run) in self.running:
                    self.end(each.task, each.run, RunEnd.STOPPED)
            elif isinstance(each, WriteRow):
                self.emit(RowWritten(each.job_id, each.change))
            elif isinstance(each, LogEntry):
                self.logged.append(each)

    def report(self, worker_id):
        running = tuple(
            RunningTask(task, run, percent=self.percent.get(task.job_id, 100.0))
            for (task, run), where in self.running.items()
            if where == worker_id
        )
        ended = tuple(self.ends[worker_id])
        self.emit(
            WorkerReported(worker_id, Incarnation(1), self.now, running, ended)
        )

    def end(self, task, run, how):
        worker_id = self.running.pop((task, run))
        ends = self.ends[worker_id]
        ends.append(EndedTask(len(ends) + 1, task, run, how))
        self.report(worker_id)

    def submit(self, queue, step, length_s=None):
        job_id = JobId(f"{next(self._numbers):016x}")
        job = BatchJob(
            job_id, queue.name, OWNER, queue, "", (step,), accepted_at=self.now
        )
        if length_s is not None:
            self.length_s[job_id] = length_s
        self.emit(JobAccepted(job, JobRow.from_job(job)))
        return job_id

    def fail(self, job_id):
        for task, run in [k for k in self.running if k[0].job_id == job_id]:
            self.end(task, run, RunEnd.FAILED)

    def runs(self, job_id):
        return [task for task, _ in self.running if task.job_id == job_id]

    def place(self, job_id):
        (found,) = [w for k, w in self.running.items() if k[0].job_id == job_id]
        return found

    def play(self, seconds, until=lambda: False):
        """Lets time pass; returns how much passed until a condition held."""
        began = self.now
        while self.now < began + seconds and not until():
            self.now += 0.1
            for key in [k for k in self.running if self._is_over(k)]:
                self.end(*key, RunEnd.DONE)
            if round(self.now * 10) % round(REPORT_S * 10) == 0:
                for each in self.workers:
                    self.report(each)
            self.emit(Tick(self.now, self.now))
        return self.now - began

    def _is_over(self, key):
        length_s = self.length_s.get(key[0].job_id)
        return length_s is not None and self.now >= self.began[key] + length_s

    def fill(self, worker_ids, per_worker=8):
        """Fills workers with long-running tasks and leaves the others free."""
        for each in worker_ids:
            rack = f"r{each[1]}"
            self.submit(
                BATCH,
                Step(per_worker, ONE, 4.0, long_running=True, label=rack),
            )


def failed_elsewhere_full(lasting):
    """All other workers are full of long-running tasks (review/6)."""
    fleet = Fleet(1, 2)
    fleet.fill(["w10", "w11"])
    job = fleet.submit(BATCH, Step(1, ONE, 8.0, long_running=lasting))
    fleet.play(1.0)
    assert fleet.place(job) == "w00"
    fleet.fail(job)
    return fleet, job


def failed_on_an_idle_fleet(lasting):
    """The other worker can't take the task, and most of the fleet is idle."""
    fleet = Fleet(1, 1)
    fleet.submit(BATCH, Step(1, ALL, 4.0, long_running=True, label="r1"))
    job = fleet.submit(BATCH, Step(1, ONE, 8.0, long_running=lasting))
    fleet.play(1.0)
    fleet.fail(job)
    return fleet, job


def far_from_lasting_work(lasting):
    """The rack of the data is full of long-running tasks."""
    fleet = Fleet(2, 2)
    fleet.fill(["w00", "w01"])
    step = Step(1, ONE, 8.0, long_running=lasting, data_rack="r0")
    return fleet, fleet.submit(BATCH, step)


def gang_of_several_racks(lasting):
    """A same-rack gang would fit on no rack beside long-running tasks."""
    fleet = Fleet(2, 2)
    for rack in ("r0", "r1"):
        fleet.submit(BATCH, Step(9, ONE, 4.0, long_running=True, label=rack))
    step = Step(10, ONE, 8.0, gang=True, same_rack=True, long_running=lasting)
    return fleet, fleet.submit(BATCH, step)


def set_aside_for_urgent(lasting):
    """The only workers with room are set aside for urgent groups."""
    fleet = Fleet(4)
    for _ in range(10):
        fleet.submit(URGENT, Step(12, ONE, 2.0), length_s=1.8)
        fleet.play(2.0)
    fleet.submit(BATCH, Step(24, ONE, 4.0, long_running=True))
    fleet.play(0.5)
    job = fleet.submit(BATCH, Step(1, ONE, 8.0, long_running=lasting))
    return fleet, job


def reserved_for_a_gang(lasting):
    """A gang waits for a run that goes on for much longer than estimated."""
    fleet = Fleet(3)
    long_job = fleet.submit(BATCH, Step(1, ONE, 0.5))
    fleet.percent[long_job] = 100.0
    fleet.submit(BATCH, Step(3, ALL, 4.0, gang=True))
    fleet.play(3.0)
    job = fleet.submit(BATCH, Step(1, ONE, 30.0, long_running=lasting))
    return fleet, job


def suspended_for_runs_that_stall(lasting):
    """Each worker has a run that takes an hour (review/1)."""
    fleet = Fleet(3)
    step = Step(3, ONE, 8.0, max_per_worker=1)
    long_job = fleet.submit(BATCH, step)
    fleet.percent[long_job] = 0.0
    fleet.play(4.0)
    job = fleet.submit(BATCH, Step(1, ONE, 8.0, long_running=lasting))
    return fleet, job


SCENARIOS = {
    failed_elsewhere_full: Hold.FAILED,
    failed_on_an_idle_fleet: Hold.FAILED,
    far_from_lasting_work: Hold.FAR,
    gang_of_several_racks: Hold.FAR,
    set_aside_for_urgent: Hold.SET_ASIDE,
    reserved_for_a_gang: Hold.RESERVED,
    suspended_for_runs_that_stall: Hold.SUSPENDED,
}


@pytest.mark.parametrize("lasting", [False, True], ids=["finite", "lasting"])
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda each: each.__name__)
def test_group_starts_though_nothing_else_ends_a_hold(scenario, lasting):
    """Guards against groups that wait for ever beside free workers."""
    fleet, job = scenario(lasting)
    bound_s = MAX_LASTING_WAIT_S if lasting else MAX_WAIT_S
    assert fleet.play(12.0, lambda: fleet.runs(job)) <= bound_s + SLACK_S


def test_each_preference_has_a_scenario():
    """Guards against a hold that nothing ends and no test plays."""
    assert set(SCENARIOS.values()) == {h for h in Hold if h.is_preference}


@pytest.mark.parametrize(
    ("scenario", "hold"),
    SCENARIOS.items(),
    ids=lambda each: getattr(each, "__name__", ""),
)
def test_log_names_the_hold_that_was_lifted(scenario, hold):
    fleet, job = scenario(lasting=False)
    fleet.play(12.0, lambda: fleet.runs(job))
    lifted = [
        each.fields
        for each in fleet.logged
        if each.event == "holds lifted" and each.fields["task"].startswith(job)
    ]
    assert hold.value in lifted[-1]["holds"]


def test_task_does_not_wait_for_a_sibling_that_is_bound_to_a_full_worker():
    """Guards against tasks that are skipped since another one has no room.

    An order to start the first one may still be carried out on its worker.
    """
    fleet = Fleet(1, 1)
    fleet.fill(["w00"])
    filler = fleet.submit(BATCH, Step(8, ONE, 4.0, label="r1"), length_s=3.0)
    job = fleet.submit(BATCH, Step(2, ONE, 4.0))
    first = TaskId(job, 0, 0, 0)
    fleet.scheduler.open_starts.add(
        first, WorkerId("w00"), RunNumber(1), fleet.now
    )
    fleet.play(3.0)
    assert fleet.runs(filler) == []
    fleet.play(SLACK_S)
    assert fleet.runs(job) == [TaskId(job, 0, 0, 1)]


class _Group:
    """What the decision reads of a group."""

    def __init__(self, lasting):
        self.ready_at, self.not_before = 90.0, 100.0
        self.away_since = 100.0
        self.step = Step(1, long_running=lasting)


def test_long_running_task_is_overdue_though_a_run_was_stopped_at_once():
    """Guards against a task whose starts are preempted again and again."""
    group = _Group(lasting=True)
    group.not_before = group.away_since + MAX_LASTING_WAIT_S - 0.1
    now = group.away_since + MAX_LASTING_WAIT_S
    assert are_preferences_lifted(group, None, lambda: True, now)


@pytest.mark.parametrize(
    ("lasting", "waited_s", "idle_s", "in_sight", "lifted"),
    [
        (False, MAX_WAIT_S - 0.1, 60.0, False, False),
        (False, MAX_WAIT_S, MAX_WAIT_S, True, True),
        (False, MAX_WAIT_S, MAX_WAIT_S - 0.1, True, False),
        (False, MAX_WAIT_S, None, False, True),
        (False, MAX_SIGHT_WAIT_S - 0.1, None, True, False),
        (False, MAX_SIGHT_WAIT_S, None, True, True),
        (True, MAX_WAIT_S, None, False, True),
        (True, MAX_LASTING_WAIT_S - 0.1, None, True, False),
        (True, MAX_LASTING_WAIT_S, None, True, True),
    ],
)
def test_preferences_are_lifted_at_a_known_time(
    lasting, waited_s, idle_s, in_sight, lifted
):
    now = 100.0 + waited_s
    idle_since = None if idle_s is None else now - idle_s
    group = _Group(lasting)
    assert (
        are_preferences_lifted(group, idle_since, lambda: in_sight, now)
        == lifted
    )
