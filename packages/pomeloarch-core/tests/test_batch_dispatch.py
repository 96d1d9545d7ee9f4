"""Placement of groups under load, and what a successor does with their runs."""

import msgspec
import pytest

from pomeloarch_core.batch.catalogue import Catalogue, Tenant
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.messages import (
    CancelRequested,
    EndedTask,
    Incarnation,
    JobAccepted,
    LogEntry,
    RosterEntry,
    RosterLoaded,
    RosterWritten,
    RowWritten,
    RunEnd,
    RunningTask,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopAnswered,
    StopTask,
    TaskId,
    Tick,
    WorkerInfo,
    WorkerLate,
    WorkerReported,
    WorkerSilent,
    WorkersListed,
    WorkersShuttingDown,
    WriteRow,
)
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.rows import MAX_NAMED_WORKERS, JobRow, JobStatus
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
OTHER = OrganisationName("shrestha")
URGENT = Queue(QueueName("urgent"), SERVICE, 0, 3, 1.5, 0.25)
NORMAL = Queue(QueueName("normal"), SERVICE, 1, 2, 3.0, 1.0)
BATCH = Queue(QueueName("batch"), SERVICE, 2, 2, 3.0, 3.0)
CATALOGUE = Catalogue(
    Generation(1),
    {each.name: each for each in (URGENT, NORMAL, BATCH)},
    (),
    {OWNER: Tenant(OWNER, frozenset(), 16), OTHER: Tenant(OTHER)},
)
ONE = Resources(8_000, 8_000, 1)
WHOLE = Resources(16_000, 32_000, 8)


def step(count, need=ONE, seconds=4.0, **more):
    return Step(count=count, need=need, estimate_s=seconds, **more)


class Fleet:
    """A scheduler and workers that start every task as ordered."""

    answers_starts = True

    def __init__(self, racks=2, per_rack=4, term=1):
        self.now = 100.0
        self.scheduler = BatchScheduler(
            Epoch(term), CATALOGUE, 0.0, DispatchTimes(0.9, 3.4)
        )
        self.workers = [
            WorkerInfo(
                WorkerId(f"w{rack}-{number}"),
                SERVICE,
                "",
                ZoneName("z"),
                Resources(64_000, 128_000, 8),
                frozenset({"a", f"r{rack}"}),
                f"r{rack}",
            )
            for rack in range(racks)
            for number in range(per_rack)
        ]
        self.running = {}
        self.ends = {each.worker_id: [] for each in self.workers}
        self.starts, self.stops, self.log_entries, self.rows = [], [], [], {}
        self.store_answers = True
        self.placing = True
        self.places_written = {}
        self.jobs = {}
        self.emit(WorkersListed(tuple(self.workers)))
        self.emit(RosterWritten(frozenset(self.ends)))
        for each in self.workers:
            self.report(each.worker_id)

    def emit(self, event):
        self._execute(self.scheduler.handle(event, self.now))
        if self.placing:
            self._execute(self.scheduler.place(self.now))

    def _execute(self, decisions):
        newest = {}
        for each in decisions:
            if isinstance(each, StartTask):
                self.starts.append(each)
                if not self.answers_starts:
                    continue
                self.running[each.task, each.run] = each.worker_id
                self._execute(
                    self.scheduler.handle(
                        StartAnswered(
                            each.worker_id,
                            each.task,
                            each.run,
                            StartOutcome.STARTED,
                            settled=True,
                        ),
                        self.now,
                    )
                )
            elif isinstance(each, StopTask):
                self.stops.append(each)
            elif isinstance(each, WriteRow):
                newest[each.job_id] = each
            elif isinstance(each, LogEntry):
                self.log_entries.append(each)
        for order in newest.values():
            self._write(order)

    def _write(self, order):
        """Stores a row; one that names places is durable at once."""
        row = order.row
        places = row.unplaced, tuple(row.placed_on)
        known = self.places_written.get(order.job_id)
        self.rows[order.job_id] = order
        if places != known and self.store_answers:
            self.places_written[order.job_id] = places
            written = RowWritten(order.job_id, order.change)
            self._execute(self.scheduler.handle(written, self.now))

    def succeeded_by(self, term, placing=True):
        """Returns the fleet under a new scheduler that has read all rows."""
        successor = Fleet.__new__(Fleet)
        successor.__dict__.update(self.__dict__)
        successor.placing = placing
        successor.scheduler = BatchScheduler(
            Epoch(term), CATALOGUE, 0.0, DispatchTimes(0.9, 3.4)
        )
        successor.starts, successor.stops, successor.log_entries = [], [], []
        for job_id, job in self.jobs.items():
            row = self.rows[job_id].row if job_id in self.rows else None
            row = row or JobRow.from_job(job)
            successor.emit(JobAccepted(job, row, inherited=True))
        successor.emit(WorkersListed(tuple(self.workers)))
        successor.emit(RosterWritten(frozenset(self.ends)))
        return successor

    def submit(self, number, queue, *steps, organisation=OWNER, **more):
        job = BatchJob(
            JobId(f"{number:016x}"),
            queue.name,
            organisation,
            queue,
            "work",
            steps,
            accepted_at=self.now,
            **more,
        )
        self.jobs[job.job_id] = job
        self.emit(JobAccepted(job, JobRow.from_job(job)))
        return job.job_id

    def report(self, worker_id, percent=0.0):
        running = tuple(
            RunningTask(task, run, percent=percent)
            for (task, run), where in self.running.items()
            if where == worker_id
        )
        self.emit(
            WorkerReported(
                worker_id,
                Incarnation(1),
                self.now,
                running,
                tuple(self.ends[worker_id]),
            )
        )

    def end(self, task, run, how=RunEnd.DONE):
        worker_id = self.running.pop((task, run))
        ends = self.ends[worker_id]
        ends.append(EndedTask(len(ends) + 1, task, run, how))
        self.report(worker_id)

    def end_all(self, job_id, how=RunEnd.DONE):
        for task, run in list(self.running):
            if task.job_id == job_id and (task, run) in self.running:
                self.end(task, run, how)

    def wait(self, seconds):
        self.now += seconds
        self.emit(Tick(self.now))

    def logged(self, event):
        """Returns the fields of an event's log entries."""
        return [each.fields for each in self.log_entries if each.event == event]

    def places(self, job_id):
        return [
            where
            for (task, _), where in self.running.items()
            if task.job_id == job_id
        ]

    def carry_out_stops(self):
        for order in list(self.stops):
            if (order.task, order.run) in self.running:
                self.end(order.task, order.run, RunEnd.STOPPED)
        self.stops.clear()


def rack_of(worker_id):
    return worker_id[1]


def test_small_tasks_are_packed_to_leave_whole_workers():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(8))
    assert len(set(fleet.places(job))) == 1


def test_gang_starts_whole_or_not_at_all():
    fleet = Fleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(3, WHOLE, gang=True))
    assert fleet.starts == []
    small = fleet.submit(2, BATCH, step(2, WHOLE, gang=True))
    assert len(fleet.places(small)) == 2


def test_members_of_a_gang_share_a_run():
    fleet = Fleet()
    fleet.submit(1, BATCH, step(3, WHOLE, gang=True))
    assert len({each.run for each in fleet.starts}) == 1


NEAR = {
    "the data's rack": (step(2, data_rack="r1"), {"1"}),
    "one rack for a gang": (step(4, WHOLE, gang=True, same_rack=True), None),
}


@pytest.mark.parametrize(("wanted", "racks"), NEAR.values(), ids=NEAR.keys())
def test_tasks_run_near_their_data(wanted, racks):
    fleet = Fleet()
    job = fleet.submit(1, BATCH, wanted)
    found = {rack_of(each) for each in fleet.places(job)}
    assert len(found) == 1
    assert racks is None or found == racks


def test_task_runs_off_its_data_rack_only_on_an_idle_fleet():
    fleet = Fleet()
    fleet.submit(1, BATCH, step(4, WHOLE, data_rack="r1"))
    job = fleet.submit(2, BATCH, step(1, data_rack="r1"))
    fleet.wait(1.0)
    assert fleet.places(job) == []
    idle = Fleet(racks=3)
    idle.submit(1, BATCH, step(4, WHOLE, data_rack="r1"))
    job = idle.submit(2, BATCH, step(1, data_rack="r1"))
    idle.wait(1.0)
    assert len(idle.places(job)) == 1


@pytest.mark.parametrize(
    ("queue", "waited_s", "racks"),
    [(NORMAL, 1.0, 2), (URGENT, 1.0, 0), (URGENT, 9.0, 2)],
)
def test_urgent_gang_waits_for_one_rack_while_it_would_end_sooner_there(
    queue, waited_s, racks
):
    """Guards against urgent gangs on several racks, where they run much longer.

    They take three times as long there. More than half of the fleet is idle,
    but no rack has room for all members. The tasks in the way have the same
    priority and can't be preempted.
    """
    fleet = Fleet(racks=2, per_rack=5)
    for number, rack in enumerate(("r0", "r0", "r1", "r1"), start=1):
        long = step(1, WHOLE, 30.0, data_rack=rack)
        fleet.submit(number, URGENT, long, organisation=OTHER)
    gang = fleet.submit(
        9,
        queue,
        step(4, WHOLE, 4.0, gang=True, same_rack=True),
        organisation=OTHER,
    )
    fleet.wait(waited_s)
    fleet.wait(0.3)
    assert len({rack_of(each) for each in fleet.places(gang)}) == racks


def test_limit_of_tasks_per_worker_is_kept():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(6, max_per_worker=2))
    places = fleet.places(job)
    assert len(places) == 6
    assert max(places.count(each) for each in places) == 2


def test_label_is_required():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1, label="b"))
    assert fleet.places(job) == []


def test_job_that_can_be_on_time_goes_before_a_late_one():
    """Load pattern: more jobs arrive than there is room for."""
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE, 6.0))
    late = fleet.submit(2, BATCH, step(1, WHOLE, 1.0))
    fleet.wait(20.0)
    fresh = fleet.submit(3, BATCH, step(1, WHOLE, 1.0))
    fleet.end_all(JobId(f"{1:016x}"))
    assert fleet.places(fresh)
    assert not fleet.places(late)


def test_guaranteed_gang_preempts_within_the_time_limit():
    """Load pattern: an organisation reclaims its guarantee from borrowers."""
    fleet = Fleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(16, seconds=30.0), organisation=OTHER)
    job = fleet.submit(2, URGENT, step(2, WHOLE, 2.0, gang=True))
    waited = 0.0
    while not fleet.stops and waited < 3.4:
        fleet.wait(0.1)
        waited += 0.1
    assert waited <= 3.4 - 0.9
    fleet.carry_out_stops()
    assert len(fleet.places(job)) == 2


def test_urgent_group_waits_for_room_that_is_about_to_be_free():
    """Load pattern: preemption would lose work that is nearly done."""
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, BATCH, step(1, WHOLE, 10.0), organisation=OTHER)
    fleet.now += 9.9
    for each in fleet.workers:
        fleet.report(each.worker_id, percent=99.0)
    urgent = fleet.submit(2, URGENT, step(1, WHOLE, 4.0))
    assert fleet.stops == []
    fleet.end_all(job)
    assert len(fleet.places(urgent)) == 1


def test_urgent_group_beyond_its_guarantee_preempts_no_costly_work():
    """Load pattern: many urgent jobs beyond what is guaranteed."""
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.now += 30.0
    for each in fleet.workers:
        fleet.report(each.worker_id, percent=50.0)
    fleet.submit(2, URGENT, step(1, WHOLE, 1.0), organisation=OTHER)
    fleet.wait(5.0)
    assert fleet.stops == []


@pytest.mark.parametrize(
    ("percent", "elapsed_s", "organisation", "reason"),
    [
        (99.0, 59.0, OTHER, "room"),
        (50.0, 30.0, OTHER, "cost"),
    ],
)
def test_log_says_why_an_urgent_group_waits(
    percent, elapsed_s, organisation, reason
):
    """One entry per reason, with the time since the job was accepted."""
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.now += elapsed_s
    for each in fleet.workers:
        fleet.report(each.worker_id, percent=percent)
    job = fleet.submit(
        2, URGENT, step(1, WHOLE, 4.0), organisation=organisation
    )
    fleet.wait(0.3)
    (line,) = (n.fields for n in fleet.log_entries if n.event == "group waits")
    assert line["task"] == f"{job}.0.0.0"
    assert line["waits_for"] == reason
    assert line["age_s"] == 0.0


def test_log_says_how_long_a_group_waited_since_its_job_was_accepted():
    fleet = Fleet(racks=1, per_rack=1)
    first = fleet.submit(1, NORMAL, step(1, WHOLE))
    fleet.submit(2, NORMAL, step(1, WHOLE))
    fleet.wait(3.0)
    fleet.end_all(first)
    ages = [
        n.fields["age_s"]
        for n in fleet.log_entries
        if n.event == "group started"
    ]
    assert ages == [0.0, 3.0]


def with_slow_worker(percent_longer, per_rack=3):
    """Returns a fleet whose first worker is slower, as its past runs show."""
    fleet = Fleet(racks=1, per_rack=per_rack)
    slow = fleet.workers[0].worker_id
    sample = fleet.submit(1, BATCH, step(8 * per_rack, seconds=4.0))
    began = fleet.now
    usual = [key for key, where in fleet.running.items() if where != slow]
    for number, (task, run) in enumerate(usual):
        fleet.now = began + 3.8 + number % 5 / 10
        fleet.end(task, run)
    fleet.now = began + 4.0 * (1 + percent_longer / 100)
    fleet.end_all(sample)
    return fleet, slow


@pytest.mark.parametrize(
    ("percent_longer", "queue", "takes_slow_worker"),
    [
        (30, URGENT, False),
        (30, BATCH, True),
        (4, URGENT, True),
    ],
)
def test_urgent_groups_avoid_slow_workers(
    percent_longer, queue, takes_slow_worker
):
    """Guards against urgent jobs that are late though they started at once.

    A third of the workers is slower than the others.
    """
    fleet, slow = with_slow_worker(percent_longer)
    job = fleet.submit(2, queue, step(1, WHOLE, 2.0))
    assert (fleet.places(job) == [slow]) == takes_slow_worker


@pytest.mark.parametrize(
    ("percents", "slow"),
    [
        ((40.0, 40.0, 31.0), [2]),
        ((40.0, 39.0, 41.0), []),
        ((8.0, 8.0, 6.0), []),
        ((31.0, 100.0, 31.0), [0, 2]),
    ],
)
def test_progress_of_a_gang_shows_slow_workers(percents, slow):
    """The first gang with a member on a slow worker shows that it is slow."""
    fleet = Fleet(racks=1, per_rack=5)
    job = fleet.submit(1, NORMAL, step(3, WHOLE, 8.0, gang=True))
    fleet.now += 1.0
    workers = fleet.places(job)
    for each, percent in zip(workers, percents, strict=True):
        fleet.report(each, percent)
    found = fleet.scheduler.roster()
    assert [n for n in range(3) if found[workers[n]].slow] == slow


def test_gang_on_slow_workers_alone_leaves_them_marked_as_slow():
    """All members of the second gang run on slow workers."""
    fleet = Fleet(racks=1, per_rack=5)
    first = fleet.submit(1, NORMAL, step(3, WHOLE, 8.0, gang=True))
    fleet.now += 1.0
    workers = fleet.places(first)
    for each, percent in zip(workers, (31.0, 31.0, 40.0), strict=True):
        fleet.report(each, percent)
    fleet.end_all(first)
    second = fleet.submit(2, NORMAL, step(2, WHOLE, 8.0, gang=True))
    assert set(fleet.places(second)) == set(workers[:2])
    fleet.now += 1.0
    for each in workers[:2]:
        fleet.report(each, 40.0)
    found = fleet.scheduler.roster()
    assert all(found[each].slow for each in workers[:2])


def test_urgent_group_takes_a_slow_worker_rather_than_wait():
    fleet, slow = with_slow_worker(30)
    fleet.submit(2, URGENT, step(2, WHOLE, 2.0), organisation=OTHER)
    job = fleet.submit(3, URGENT, step(1, WHOLE, 2.0), organisation=OTHER)
    assert fleet.places(job) == [slow]


def test_successor_knows_slow_workers():
    fleet, slow = with_slow_worker(30)
    remembered = fleet.scheduler.roster()
    assert [each for each in remembered if remembered[each].slow] == [slow]
    fleet.scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
    fleet.emit(RosterLoaded(remembered))
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    fleet.emit(RosterWritten(frozenset(fleet.ends)))
    for each in fleet.workers:
        fleet.report(each.worker_id)
    job = fleet.submit(2, URGENT, step(1, WHOLE, 2.0))
    assert fleet.places(job) != [slow]


@pytest.mark.parametrize(
    ("case", "ran_s", "victim_estimate_s", "preempted"),
    [
        ("it can be done again in time", 6.5, 4.0, True),
        ("too much work would be lost", 12.0, 40.0, False),
        ("it would miss its objective", 7.5, 4.0, False),
    ],
)
def test_urgent_group_preempts_work_that_can_be_done_again_in_time(
    case, ran_s, victim_estimate_s, preempted
):
    """Guards against late urgent gangs on a fleet that is full of other work.

    Gangs beyond the guarantee used to wait for room whenever slightly more work
    would have been lost than they do themselves.
    """
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(
        1, BATCH, step(1, WHOLE, victim_estimate_s), organisation=OTHER
    )
    fleet.now += ran_s
    for each in fleet.workers:
        fleet.report(each.worker_id, percent=60.0)
    fleet.submit(2, URGENT, step(1, WHOLE, 6.0), organisation=OTHER)
    fleet.wait(0.1)
    assert bool(fleet.stops) == preempted


def test_preempted_group_is_the_one_that_loses_least_work():
    fleet = Fleet(racks=1, per_rack=2)
    old = fleet.submit(1, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.now += 20.0
    young = fleet.submit(2, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.submit(3, URGENT, step(1, WHOLE, 2.0))
    fleet.wait(1.5)
    assert {each.task.job_id for each in fleet.stops} == {young} != {old}


def test_urgent_group_avoids_workers_that_a_gang_waits_for():
    """Guards against wide gangs that lose awaited workers one by one.

    Urgent groups used to take the fullest worker with room, even if it was the
    last one that a gang waited for and another worker was free.
    """
    fleet = Fleet(racks=2, per_rack=2)
    first = fleet.submit(1, NORMAL, step(1, WHOLE, 3.0, label="r0"))
    second = fleet.submit(2, NORMAL, step(1, WHOLE, 4.0, label="r0"))
    third = fleet.submit(3, NORMAL, step(2, WHOLE, 30.0, label="r1"))
    gang = fleet.submit(4, NORMAL, step(2, WHOLE, 3.0, gang=True, label="r0"))
    fleet.wait(1.5)
    fleet.end_all(first)
    fleet.wait(0.1)
    fleet.end_all(third)
    urgent = fleet.submit(5, URGENT, step(1, ONE, 2.0))
    assert {rack_of(each) for each in fleet.places(urgent)} == {"1"}
    fleet.end_all(second)
    assert len(fleet.places(gang)) == 2


def test_wide_gang_is_not_starved_by_small_tasks():
    """Load pattern: small tasks take every place that becomes free."""
    fleet = Fleet(racks=1, per_rack=2)
    fleet.submit(1, NORMAL, step(16, seconds=3.0))
    gang = fleet.submit(2, NORMAL, step(2, WHOLE, 3.0, gang=True))
    fleet.wait(1.5)
    fleet.submit(3, BATCH, step(40, seconds=30.0))
    fleet.end_all(JobId(f"{1:016x}"))
    assert len(fleet.places(gang)) == 2


@pytest.mark.parametrize("standing", ["on time", "late"])
def test_wide_gang_is_not_starved_by_small_tasks_that_keep_coming(standing):
    """Guards against wide gangs that never start once they are late.

    Tasks of lower priority that can be on time arrive every second, and each
    takes a place that has just become free.
    """
    fleet = Fleet(racks=1, per_rack=2)
    begun = []
    for number in range(1, 5):
        fleet.submit(number, BATCH, step(4, seconds=4.0))
        begun.append((fleet.now, JobId(f"{number:016x}")))
        fleet.now += 1.0
    seconds = 1.0 if standing == "late" else 6.0
    gang = fleet.submit(99, NORMAL, step(2, WHOLE, seconds, gang=True))
    for number in range(5, 19):
        fleet.wait(1.0)
        while begun and begun[0][0] + 4.0 <= fleet.now:
            fleet.end_all(begun.pop(0)[1])
        job = fleet.submit(number, BATCH, step(4, seconds=4.0))
        begun.append((fleet.now, job))
        if fleet.places(gang):
            return
    pytest.fail("the gang was never started")


def test_round_checks_each_worker_once_per_task_size(monkeypatch):
    """A hundred different wide jobs wait for room on a full fleet."""
    fleet = Fleet(racks=4, per_rack=11)
    workers = len(fleet.workers)
    fleet.submit(1, URGENT, step(workers, WHOLE, 30.0))
    needs = (ONE, WHOLE)
    for number in range(100):
        need = needs[number % len(needs)]
        queue = (NORMAL, BATCH)[number % 3 == 0]
        fleet.submit(2 + number, queue, step(2 + number % 40, need, gang=True))
    checks = 0
    count_fitting_in = Resources.count_fitting_in

    def counted(self, room):
        nonlocal checks
        checks += 1
        return count_fitting_in(self, room)

    fleet.now += 0.05
    monkeypatch.setattr(Resources, "count_fitting_in", counted)
    fleet.emit(Tick(fleet.now))
    assert checks <= workers * len(needs)


def test_other_groups_leave_headroom_for_recent_urgent_use():
    """Load pattern: urgent gangs arrive repeatedly, each for whole workers."""
    fleet = Fleet(racks=1, per_rack=8)
    for number in range(40):
        job = fleet.submit(number, URGENT, step(3, WHOLE, 1.0, gang=True))
        fleet.wait(1.0)
        fleet.end_all(job)
    fleet.stops.clear()
    fleet.submit(99, BATCH, step(64, seconds=30.0), organisation=OTHER)
    urgent = fleet.submit(100, URGENT, step(2, WHOLE, 1.0, gang=True))
    assert len(fleet.places(urgent)) == 2
    assert fleet.stops == []


def test_wide_gang_is_not_starved_by_headroom_for_urgent_groups():
    """Guards against gangs that wait for small tasks next to idle workers.

    Small tasks occupy all workers that are not set aside for urgent groups, and
    the gang waited until a dozen of them in a row had ended.
    """
    fleet = Fleet(racks=1, per_rack=4)
    urgent = fleet.submit(1, URGENT, step(2, WHOLE, 8.0))
    for _ in range(40):
        fleet.wait(0.5)
    fleet.end_all(urgent)
    fleet.submit(2, BATCH, step(40, seconds=30.0))
    gang = fleet.submit(3, NORMAL, step(2, WHOLE, 8.0, gang=True))
    assert fleet.places(gang) == []
    for _ in range(6):
        fleet.wait(0.5)
    assert len(fleet.places(gang)) == 2


def test_tasks_that_need_a_label_do_not_wait_beside_idle_workers():
    """All free workers with the label are set aside for urgent groups."""
    fleet = Fleet(racks=2, per_rack=4)
    urgent = fleet.submit(1, URGENT, step(4, WHOLE, 8.0))
    for _ in range(40):
        fleet.wait(0.5)
    fleet.end_all(urgent)
    fleet.submit(2, BATCH, step(16, seconds=30.0, label="r1"))
    waiting = fleet.submit(3, BATCH, step(8, seconds=30.0, label="r1"))
    assert fleet.places(waiting) == []
    for _ in range(3):
        fleet.wait(0.4)
    assert len(fleet.places(waiting)) == 8


def test_retry_avoids_the_worker_that_failed():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1))
    (first,) = fleet.places(job)
    fleet.end_all(job, RunEnd.FAILED)
    fleet.wait(0.1)
    (second,) = fleet.places(job)
    assert second != first


def test_worker_is_suspended_after_two_failures():
    fleet = Fleet(racks=1, per_rack=1)
    for number in (1, 2):
        job = fleet.submit(number, BATCH, step(1))
        fleet.end_all(job, RunEnd.FAILED)
    waiting = fleet.submit(3, BATCH, step(1))
    assert fleet.places(waiting) == []
    fleet.wait(2.5)
    assert fleet.places(waiting)


def test_group_that_failed_on_every_worker_is_still_retried():
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, URGENT, step(1))
    fleet.end_all(job, RunEnd.FAILED)
    fleet.wait(0.3)
    assert len(fleet.places(job)) == 1


@pytest.mark.parametrize("failed_runs", [1, 2])
def test_gang_that_failed_on_all_but_too_few_workers_is_still_retried(
    failed_runs,
):
    """Guards against gangs that wait forever on an idle fleet."""
    fleet = Fleet(racks=1, per_rack=3)
    job = fleet.submit(1, URGENT, step(2, WHOLE, gang=True))
    for _ in range(failed_runs):
        fleet.end_all(job, RunEnd.FAILED)
        fleet.wait(0.3)
    assert len(fleet.places(job)) == 2


def test_done_gang_is_not_stopped():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(3, WHOLE, gang=True))
    fleet.end_all(job)
    assert fleet.stops == []


@pytest.mark.parametrize("done", [True, False])
def test_done_gang_is_not_stopped_where_a_report_lists_its_first_end(done):
    """Guards against members that end as stopped after their job is done.

    A worker answers at the first end that it waits for, and the ends of the
    other members follow at once.
    """
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, BATCH, step(3, gang=True))
    first = fleet.starts[0]
    fleet.wait(1.0)
    if done:
        fleet.end(first.task, first.run)
    else:
        fleet.emit(CancelRequested(job))
        fleet.report(first.worker_id)
    stopped = {each.task for each in fleet.stops}
    assert stopped == (set() if done else {e.task for e in fleet.starts})


def gang_with_its_first_end(*steps, racks=1, per_rack=1):
    """Returns a fleet, a job and the member of its gang whose end is seen."""
    fleet = Fleet(racks=racks, per_rack=per_rack)
    job = fleet.submit(1, BATCH, *steps)
    first = fleet.starts[0]
    fleet.wait(1.0)
    fleet.end(first.task, first.run)
    return fleet, job, first


@pytest.mark.parametrize(
    ("asked_s", "incarnation", "stops"),
    [
        (-0.7, 1, False),
        (0.0, 1, False),
        (0.3, 1, False),
        (0.6, 1, True),
        (-0.7, 2, True),
        (0.3, 2, True),
    ],
)
def test_member_that_runs_on_after_its_gang_is_done_is_stopped(
    asked_s, incarnation, stops
):
    """Guards against a run that goes on after its job is done.

    A report that was asked for before the other member's end was seen doesn't
    show that, whenever it arrives. A run of a new incarnation doesn't end.
    """
    fleet, job, _ = gang_with_its_first_end(
        step(2, WHOLE, gang=True), per_rack=2
    )
    (((task, run), worker),) = fleet.running.items()
    done_at = fleet.now
    fleet.wait(1.0)
    fleet.emit(
        WorkerReported(
            worker,
            Incarnation(incarnation),
            done_at + asked_s,
            (RunningTask(task, run),),
            (),
        )
    )
    assert fleet.rows[job].row.status is JobStatus.COMPLETED
    expected = [StopTask(worker, task, run)] if stops else []
    assert fleet.stops == expected


def test_member_that_is_about_to_end_keeps_its_room():
    """Guards against a worker that is given more than it has room for."""
    half = Resources(16_000, 32_000, 4)
    fleet, _, first = gang_with_its_first_end(step(2, half, gang=True))
    other = fleet.submit(2, URGENT, step(1, WHOLE))
    assert fleet.places(other) == []
    fleet.end(fleet.starts[1].task, first.run)
    assert len(fleet.places(other)) == 1


def test_cancelled_job_stops_the_members_of_a_gang_that_is_done():
    """Guards against runs that outlast a cancelled job."""
    fleet, job, first = gang_with_its_first_end(
        step(2, gang=True), step(1, after=(0,))
    )
    fleet.stops.clear()
    fleet.emit(CancelRequested(job))
    stopped = {(each.task, each.run) for each in fleet.stops}
    assert stopped == set(fleet.running)
    fleet.stops.clear()
    fleet.report(first.worker_id)
    assert {(each.task, each.run) for each in fleet.stops} == stopped


def test_job_fails_once_its_attempts_are_used_up():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1))
    for _ in range(2):
        fleet.end_all(job, RunEnd.FAILED)
        fleet.wait(0.3)
    assert fleet.rows[job].row.status is JobStatus.FAILED
    assert fleet.places(job) == []


ENDS_NOT_COUNTED_AS_ATTEMPTS = [
    RunEnd.STOPPED,
    RunEnd.LAPSED,
    RunEnd.BROKEN,
    RunEnd.ALONE,
]


@pytest.mark.parametrize("how", ENDS_NOT_COUNTED_AS_ATTEMPTS)
def test_only_failures_count_as_attempts(how):
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1))
    for _ in range(4):
        fleet.end_all(job, how)
        fleet.wait(0.3)
    assert fleet.rows[job].row.status is JobStatus.RUNNING
    assert fleet.places(job)


def test_end_is_acknowledged_only_once_all_its_effects_are_durable():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(2, WHOLE, gang=True))
    for task, run in list(fleet.running):
        fleet.end(task, run)
    workers = [each for each in fleet.ends if fleet.ends[each]]
    assert [fleet.scheduler.acknowledged_up_to(each) for each in workers] == [
        0,
        0,
    ]
    fleet.emit(RowWritten(job, fleet.rows[job].change))
    assert [fleet.scheduler.acknowledged_up_to(each) for each in workers] == [
        1,
        1,
    ]


def test_end_of_a_new_incarnation_is_not_acknowledged_for_a_previous_one():
    """Two incarnations of a worker use the same numbers for their ends."""
    fleet = Fleet(racks=1, per_rack=1)
    (worker,) = fleet.ends
    first = fleet.submit(1, BATCH, step(1))
    fleet.end_all(first)
    second = fleet.submit(2, BATCH, step(1))
    ((task, run),) = fleet.running
    fleet.emit(
        WorkerReported(
            worker,
            Incarnation(2),
            fleet.now,
            (),
            (EndedTask(1, task, run, RunEnd.DONE),),
        )
    )
    fleet.emit(RowWritten(first, fleet.rows[first].change))
    assert fleet.scheduler.acknowledged_up_to(worker) == 0
    fleet.emit(RowWritten(second, fleet.rows[second].change))
    assert fleet.scheduler.acknowledged_up_to(worker) == 1


@pytest.mark.parametrize(
    ("how", "starts"), [(RunEnd.DONE, 1), (RunEnd.STOPPED, 2), (None, 2)]
)
def test_start_refused_as_old_run_waits_for_the_next_report(how, starts):
    """The order to start a short task is carried out; its answer is lost."""
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, BATCH, step(1))
    (order,) = fleet.starts
    group = fleet.scheduler._jobs.group_of(order.task)
    group.members[0].started_at = None
    fleet.emit(
        StartAnswered(
            order.worker_id,
            order.task,
            order.run,
            StartOutcome.OLD_RUN,
            settled=True,
        )
    )
    fleet.wait(0.4)
    assert len(fleet.starts) == 1
    if how is None:
        del fleet.running[order.task, order.run]
        fleet.report(order.worker_id)
    else:
        fleet.end(order.task, order.run, how)
    fleet.wait(0.4)
    assert len(fleet.starts) == starts
    completed = fleet.rows[job].row.status is JobStatus.COMPLETED
    assert completed == (how is RunEnd.DONE)


class UnansweredFleet(Fleet):
    """A fleet whose workers receive orders and don't answer them yet."""

    answers_starts = False

    def refuse(self, order, outcome, settled):
        self.emit(
            StartAnswered(
                order.worker_id, order.task, order.run, outcome, settled
            )
        )


REFUSALS = [
    StartOutcome.NO_ROOM,
    StartOutcome.TOO_LATE,
    StartOutcome.UNHEALTHY,
    StartOutcome.BAD_TICKET,
    StartOutcome.REFUSED,
    StartOutcome.NO_ANSWER,
]


EVIDENCE_OF_END = {
    "a stop's answer and a later report": ["stop answered", "report"],
    "its end": ["begins", "ends"],
    "a lapsed lease": ["silent", "lapses"],
    "another worker in its place": ["gone"],
}


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize(
    "steps", EVIDENCE_OF_END.values(), ids=EVIDENCE_OF_END.keys()
)
def test_unsettled_refused_start_keeps_its_place_until_it_is_certainly_gone(
    refusal, steps
):
    """Guards against two runs of a task: a late copy of a refused order."""
    fleet = UnansweredFleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    where, key = order.worker_id, (order.task, order.run)
    worker = fleet.scheduler._fleet.get(where)
    fleet.refuse(order, refusal, settled=False)
    assert [(each.task, each.run) for each in fleet.stops] == [key]
    actions = {
        "stop answered": lambda: fleet.emit(StopAnswered(where, *key)),
        "report": lambda: fleet.report(where),
        "begins": lambda: fleet.running.update({key: where}),
        "ends": lambda: fleet.end(*key, RunEnd.STOPPED),
        "silent": lambda: fleet.emit(WorkerSilent(where, fleet.now + 1.0)),
        "lapses": lambda: fleet.wait(1.0),
        "gone": lambda: fleet.emit(WorkerSilent(where, fleet.now, gone=True)),
    }
    fleet.wait(0.4)
    fleet.report(where)
    for each in steps:
        assert len(fleet.starts) == 1
        assert not WHOLE.fits_in(worker.free)
        fleet.wait(0.1)
        actions[each]()
    fleet.wait(0.3)
    assert len(fleet.starts) == 2


@pytest.mark.parametrize("seen", [True, False])
def test_run_that_was_reported_needs_no_answer_to_its_start(seen):
    """Guards against stops of runs of which only the answers were lost."""
    fleet = UnansweredFleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    if seen:
        fleet.running[order.task, order.run] = order.worker_id
    fleet.wait(0.5)
    fleet.report(order.worker_id)
    fleet.wait(1.0)
    fleet.refuse(order, StartOutcome.NO_ANSWER, settled=False)
    assert bool(fleet.stops) != seen


@pytest.mark.parametrize("refusal", REFUSALS[:-1])
def test_settled_refused_start_is_repeated_at_once(refusal):
    fleet = UnansweredFleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    fleet.refuse(order, refusal, settled=True)
    fleet.wait(0.3)
    assert (len(fleet.starts), fleet.stops) == (2, [])


# How a task becomes free to be started again: what happens, each 0.1 s after
# the other, whether the start was answered before, and the evidence in the log.
RELEASES = {
    "a stop": (["ends"], True, "end_reported", 1, 0.0),
    "a report that doesn't list it": (
        ["lost", "report"],
        True,
        "not_reported",
        1,
        0.0,
    ),
    "a report that was asked for before": (
        ["lost", "older report"],
        True,
        "not_reported",
        1,
        0.05,
    ),
    "a report of a new incarnation": (
        ["restarts"],
        True,
        "restarted",
        2,
        0.0,
    ),
    "its lease": (["silent", "lapses"], True, "lease_lapsed", 1, 0.25),
    "another worker in its place": (["gone"], True, "worker_gone", 1, 0.0),
    "a refusal": (["refused"], False, "start_refused", 1, 0.1),
    "a refused copy and a stop": (
        ["refused once of twice", "stop answered", "report"],
        False,
        "not_reported",
        1,
        0.0,
    ),
}


@pytest.mark.parametrize(
    ("steps", "started", "evidence", "incarnation", "age_s"),
    RELEASES.values(),
    ids=RELEASES.keys(),
)
def test_log_says_on_which_evidence_a_task_is_free_again(
    steps, started, evidence, incarnation, age_s
):
    fleet = Fleet(racks=1, per_rack=2)
    fleet.answers_starts = started
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    where, task, run = order.worker_id, order.task, order.run
    refused = StartOutcome.NO_ROOM

    def answer(settled, unanswered):
        fleet.emit(
            StartAnswered(where, task, run, refused, settled, unanswered)
        )

    def report(asked_s_ago=0.0, incarnation=1):
        asked_at = fleet.now - asked_s_ago
        fleet.emit(
            WorkerReported(where, Incarnation(incarnation), asked_at, (), ())
        )

    actions = {
        "ends": lambda: fleet.end(task, run, RunEnd.STOPPED),
        "lost": lambda: fleet.running.clear(),
        "report": report,
        "older report": lambda: report(asked_s_ago=0.05),
        "restarts": lambda: report(incarnation=2),
        "silent": lambda: fleet.emit(WorkerSilent(where, fleet.now + 1.0)),
        "lapses": lambda: fleet.wait(1.15),
        "gone": lambda: fleet.emit(WorkerSilent(where, fleet.now, gone=True)),
        "refused": lambda: answer(settled=True, unanswered=0),
        "refused once of twice": lambda: answer(settled=False, unanswered=1),
        "stop answered": lambda: fleet.emit(StopAnswered(where, task, run)),
    }
    for each in steps:
        assert fleet.logged("task released") == []
        fleet.wait(0.1)
        actions[each]()
    (fields,) = fleet.logged("task released")
    assert fields.pop("evidence_age_s") == pytest.approx(age_s)
    assert fields == {
        "task": str(task),
        "run": run,
        "worker": where,
        "incarnation": 1,
        "evidence": evidence,
        "evidence_incarnation": incarnation,
        "start_answered": started,
        "unanswered": steps.count("refused once of twice"),
        "tasks_left": 0,
    }


UNACCOUNTED_RELEASES = {
    "its end": ("ends", "end_reported", 0.0),
    "a report that doesn't list it": ("lost", "not_reported", 0.0),
    "a new incarnation": ("restarts", "restarted", 0.0),
    "its lease": ("lapses", "lease_lapsed", 0.1),
    "another worker in its place": ("gone", "worker_gone", 0.0),
}


@pytest.mark.parametrize(
    ("what", "evidence", "age_s"),
    UNACCOUNTED_RELEASES.values(),
    ids=UNACCOUNTED_RELEASES.keys(),
)
def test_log_says_on_which_evidence_an_unaccounted_run_is_gone(
    what, evidence, age_s
):
    fleet = Fleet(racks=1, per_rack=1)
    where = fleet.workers[0].worker_id
    key = TaskId(JobId("e" * 16), 0, 0, 0), 3
    fleet.running[key] = where
    fleet.report(where)
    assert fleet.logged("unaccounted run stopped") == [
        {"task": str(key[0]), "run": 3, "worker": where, "incarnation": 1}
    ]
    fleet.now += 0.1
    if what == "ends":
        fleet.end(*key, RunEnd.STOPPED)
    elif what == "lost":
        fleet.running.clear()
        fleet.report(where)
    elif what == "restarts":
        fleet.emit(WorkerReported(where, Incarnation(2), fleet.now, (), ()))
    else:
        gone = what == "gone"
        fleet.emit(WorkerSilent(where, fleet.now, gone))
        if not gone:
            fleet.wait(0.1)
    (fields,) = fleet.logged("unaccounted run released")
    assert fields.pop("evidence_age_s") == pytest.approx(age_s)
    assert fields == {
        "task": str(key[0]),
        "run": 3,
        "worker": where,
        "evidence": evidence,
        "evidence_incarnation": 2 if what == "restarts" else 1,
    }


@pytest.mark.parametrize("how", list(RunEnd))
def test_log_says_that_a_run_ended_after_it_was_taken_for_gone(how):
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    where = order.worker_id
    fleet.emit(WorkerSilent(where, fleet.now))
    fleet.wait(0.1)
    assert fleet.logged("former run ended") == []
    fleet.end(order.task, order.run, how)
    assert fleet.logged("former run ended") == [
        {
            "task": str(order.task),
            "run": order.run,
            "worker": where,
            "incarnation": 1,
            "how": how.value,
        }
    ]


def test_log_says_that_a_run_of_an_unknown_job_ended():
    fleet = Fleet(racks=1, per_rack=1)
    where = fleet.workers[0].worker_id
    task = TaskId(JobId("e" * 16), 0, 0, 0)
    fleet.running[task, 3] = where
    fleet.end(task, 3)
    fleet.report(where)
    (fields,) = fleet.logged("former run ended")
    assert (fields["task"], fields["run"]) == (str(task), 3)
    assert (fields["worker"], fields["how"]) == (where, "done")


def test_log_says_what_a_restarted_worker_has_lost():
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(2, ONE))
    where = fleet.workers[0].worker_id
    unknown = TaskId(JobId("e" * 16), 0, 0, 0), 3
    fleet.running[unknown] = where
    fleet.end(*next(iter(fleet.running)))
    fleet.now += 0.1
    fleet.emit(WorkerReported(where, Incarnation(2), fleet.now - 0.05, (), ()))
    (fields,) = fleet.logged("worker restarted")
    assert fields == {
        "worker": where,
        "old_incarnation": 1,
        "incarnation": 2,
        "asked_s_ago": 0.05,
        "tasks_lost": 1,
        "unaccounted_runs_lost": 1,
        "ends_not_durable": 1,
    }


def test_log_says_what_a_gang_was_started_on_and_when_it_ran():
    fleet = UnansweredFleet(racks=1, per_rack=2, term=5)
    fleet.submit(1, BATCH, step(2, WHOLE, gang=True))
    (started,) = fleet.logged("group started")
    assert started["term"] == 5
    assert started["tasks"] == 2
    assert started["workers"] == ["w0-0", "w0-1"]
    assert started["incarnations"] == [1, 1]
    for order, unanswered in zip(fleet.starts, (0, 2), strict=True):
        assert fleet.logged("group running") == []
        fleet.now += 0.2
        fleet.emit(
            StartAnswered(
                order.worker_id,
                order.task,
                order.run,
                StartOutcome.STARTED,
                True,
                unanswered,
            )
        )
    assert fleet.logged("group running") == [
        {
            "task": started["task"],
            "run": fleet.starts[0].run,
            "took_s": 0.4,
            "unanswered": 2,
        }
    ]
    for order in fleet.starts:
        fleet.running[order.task, order.run] = order.worker_id
    fleet.end(fleet.starts[0].task, fleet.starts[0].run)
    (done,) = fleet.logged("group done")
    assert (done["incarnation"], done["unanswered"]) == (1, 2)
    assert fleet.logged("task released") == []


def test_log_says_which_runs_a_successor_adopts():
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE))
    ((task, run),) = fleet.running
    successor = fleet.succeeded_by(2)
    successor.report(fleet.workers[0].worker_id, percent=40.0)
    assert successor.logged("run adopted") == [
        {
            "task": str(task),
            "run": run,
            "term": 2,
            "worker": fleet.workers[0].worker_id,
            "incarnation": 1,
            "percent": 40.0,
        }
    ]


@pytest.mark.parametrize("lapses", [True, False])
def test_log_says_on_which_evidence_doubts_are_cleared(lapses):
    fleet = UnansweredFleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE))
    where = fleet.workers[0].worker_id
    successor = fleet.succeeded_by(2)
    successor.now += 0.5
    if lapses:
        successor.emit(WorkerSilent(where, successor.now))
    else:
        successor.report(where)
    (fields,) = successor.logged("doubts cleared")
    assert fields["awaited_last"] == [where]
    assert fields["lapsed"] == ([where] if lapses else [])
    assert fields["groups"] == [str(fleet.starts[0].task)]
    assert fields["groups_released"] == 1


def test_claimed_place_is_not_used_while_an_unaccounted_run_is_stopped():
    """Guards against two runs of a task.

    A run that no group accounts for is reported while the task's claimed place
    is free.
    """
    fleet = Fleet(racks=1, per_rack=2)
    fleet.store_answers = False
    job = fleet.submit(1, BATCH, step(1))
    task = TaskId(job, 0, 0, 0)
    assert fleet.starts == []
    other = fleet.workers[1].worker_id
    fleet.running[task, 7] = other
    fleet.report(other)
    assert [each.run for each in fleet.stops] == [7]
    fleet.store_answers = True
    fleet.emit(RowWritten(job, fleet.rows[job].change))
    fleet.wait(0.3)
    assert fleet.starts == []
    fleet.end(task, 7, RunEnd.STOPPED)
    fleet.wait(0.1)
    assert len(fleet.starts) == 1


@pytest.mark.parametrize("listed_first", [True, False])
def test_room_of_an_unknown_run_on_a_worker_that_is_not_listed_yet(
    listed_first,
):
    """Guards against a worker that is given more than it has room for.

    A successor knows only the address of a worker until it has the list, and
    may have its report before.
    """
    fleet = Fleet(racks=1, per_rack=1)
    (info,) = fleet.workers
    where = info.worker_id
    fleet.running[TaskId(JobId("e" * 16), 0, 0, 0), 7] = where
    fleet.scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
    events = [
        RosterLoaded({where: RosterEntry(info.address)}),
        WorkersListed((info,)),
    ]
    if not listed_first:
        fleet.emit(events.pop(0))
        fleet.report(where)
    for each in events:
        fleet.emit(each)
    fleet.emit(RosterWritten(frozenset({where})))
    fleet.report(where)
    fleet.submit(1, BATCH, step(1))
    fleet.wait(0.1)
    assert fleet.starts == []


@pytest.mark.parametrize(
    "known", [True, False], ids=["of a known job", "of an unknown job"]
)
def test_room_of_an_unaccounted_run_is_not_given_away(known):
    """Guards against starts beyond a worker's room while a run is stopped."""
    fleet = Fleet(racks=1, per_rack=1)
    (worker,) = fleet.workers
    job = fleet.submit(1, NORMAL, step(1, ONE))
    fleet.end_all(job)
    where = job if known else JobId("e" * 16)
    fleet.running[TaskId(where, 0, 0, 0), 3] = worker.worker_id
    fleet.report(worker.worker_id)
    starts = len(fleet.starts)
    fleet.submit(2, URGENT, step(1, WHOLE, gang=True))
    fleet.wait(0.3)
    assert len(fleet.starts) == starts
    fleet.carry_out_stops()
    fleet.wait(0.1)
    assert len(fleet.starts) == starts + 1


def test_nothing_is_started_in_a_zone_that_has_just_been_cut_off():
    """Guards against urgent gangs that are started behind a network cut.

    They start elsewhere only when their leases there have run out. Workers
    without tasks are not polled, so nothing else shows that they are cut off.
    """
    fleet = Fleet(racks=2, per_rack=2)
    fleet.workers = [
        msgspec.structs.replace(each, availability_zone=ZoneName(each.rack))
        for each in fleet.workers
    ]
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    running = fleet.submit(1, NORMAL, step(1, WHOLE, 30.0))
    (cut_off,) = fleet.places(running)
    fleet.now += 1.0
    for each in fleet.workers:
        if each.rack != f"r{rack_of(cut_off)}":
            fleet.report(each.worker_id)
    fleet.emit(WorkerLate(cut_off))
    gang = fleet.submit(2, URGENT, step(2, WHOLE, 2.0, gang=True))
    assert {rack_of(each) for each in fleet.places(gang)}.isdisjoint(
        {rack_of(cut_off)}
    )
    more = fleet.submit(3, URGENT, step(1, WHOLE, 2.0))
    assert fleet.places(more) == []
    (idle,) = (
        each.worker_id
        for each in fleet.workers
        if rack_of(each.worker_id) == rack_of(cut_off)
        and each.worker_id != cut_off
    )
    assert fleet.scheduler.needs_polling(idle)
    fleet.now += 0.1
    fleet.report(idle)
    assert fleet.places(more) == [idle]


@pytest.mark.parametrize(
    ("case", "queue", "percents", "others", "moved"),
    [
        ("one stalls", URGENT, ((30, 30, 30), (8, 8, 8)), 3, True),
        ("all stall at once", URGENT, ((0, 0, 0), (0, 0, 0)), 3, True),
        (
            "one is several times slower",
            URGENT,
            ((30, 60, 90), (5, 10, 15)),
            3,
            True,
        ),
        (
            "one is a slow worker",
            URGENT,
            ((30, 60, 90), (23, 46, 69)),
            3,
            False,
        ),
        ("no room elsewhere", URGENT, ((30, 30, 30), (8, 8, 8)), 0, False),
        ("it has time", NORMAL, ((30, 30, 30), (8, 8, 8)), 3, False),
    ],
)
def test_urgent_run_is_moved_off_stragglers(
    case, queue, percents, others, moved
):
    """Guards against urgent gangs that wait for a stalled worker."""
    fleet = Fleet(racks=1, per_rack=2 + others)
    job = fleet.submit(1, queue, step(2, WHOLE, 2.0, gang=True))
    first_places = fleet.places(job)
    for moment in range(3):
        fleet.now += 0.5
        for worker_id, reported in zip(first_places, percents, strict=True):
            fleet.report(worker_id, float(reported[moment]))
    assert len(fleet.stops) == (2 if moved else 0)
    if moved:
        fleet.carry_out_stops()
        fleet.wait(0.1)
        assert first_places[1] not in fleet.places(job)
        assert len(fleet.places(job)) == 2


@pytest.mark.parametrize(("step_percent", "moved"), [(25, False), (75, True)])
def test_urgent_run_is_not_moved_where_more_would_be_lost(step_percent, moved):
    """Guards against losing seconds of work because of a short stall."""
    fleet = Fleet(racks=1, per_rack=2)
    job = fleet.submit(1, URGENT, step(1, WHOLE, 4.0))
    (where,) = fleet.places(job)
    percent = 0.0
    while percent < 75:
        percent += step_percent
        fleet.now += 1.0
        fleet.report(where, percent)
    for _ in range(3):
        fleet.now += 0.5
        fleet.report(where, percent)
    assert bool(fleet.stops) == moved


def test_silent_workers_tasks_start_elsewhere_only_after_their_lease():
    fleet = Fleet(racks=1, per_rack=2)
    job = fleet.submit(1, BATCH, step(1, WHOLE, 30.0))
    (where,) = fleet.places(job)
    fleet.emit(WorkerSilent(where, fleet.now + 6.0))
    fleet.wait(5.9)
    assert len(fleet.starts) == 1
    fleet.wait(0.2)
    assert len(fleet.starts) == 2
    assert fleet.starts[0].worker_id != fleet.starts[1].worker_id


def test_successor_adopts_known_runs_and_starts_no_task_that_may_still_run():
    first = Fleet(racks=1, per_rack=3)
    steps = (step(2, WHOLE, 30.0),)
    job_id = first.submit(1, BATCH, *steps)
    run = first.starts[0].run
    held = set(first.places(job_id))
    (free,) = {each.worker_id for each in first.workers} - held
    seen, unseen = sorted(held)
    job = BatchJob(job_id, BATCH.name, OWNER, BATCH, "work", steps)
    successor = Fleet.__new__(Fleet)
    successor.__dict__.update(first.__dict__)
    successor.scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
    successor.starts, successor.stops = [], []
    successor.emit(JobAccepted(job, first.rows[job_id].row, inherited=True))
    successor.emit(WorkersListed(tuple(first.workers)))
    successor.emit(RosterWritten(frozenset(first.ends)))
    successor.report(free)
    successor.report(seen)
    successor.emit(WorkerSilent(unseen, successor.now + 6.0))
    successor.wait(5.0)
    assert successor.starts == []
    successor.wait(1.5)
    (again,) = successor.starts
    assert again.worker_id == free
    assert again.run > run
    assert successor.stops == []


@pytest.mark.parametrize("queue", [URGENT, NORMAL, BATCH])
def test_task_is_started_only_once_its_row_names_the_worker(queue):
    fleet = Fleet()
    fleet.store_answers = False
    job = fleet.submit(1, queue, step(2))
    assert fleet.starts == []
    assert not fleet.rows[job].row.unplaced
    assert fleet.rows[job].urgent
    fleet.emit(RowWritten(job, fleet.rows[job].change))
    assert len(fleet.starts) == 2
    assert fleet.rows[job].row.placed_on == sorted(set(fleet.places(job)))


def test_no_write_is_needed_where_the_row_names_the_worker():
    """Many small tasks run one after another on few workers."""
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, BATCH, step(16, seconds=1.0))
    first = fleet.rows[job].change
    fleet.store_answers = False
    task, run = next(iter(fleet.running))
    fleet.end(task, run, RunEnd.FAILED)
    fleet.wait(1.0)
    assert len(fleet.starts) == 9
    assert fleet.rows[job].change > first


def test_row_of_a_job_on_many_workers_names_none():
    row = JobRow.from_job(
        BatchJob(JobId("1" * 16), BATCH.name, OWNER, BATCH, "", (step(1),))
    )
    few = [WorkerId(f"w{number:02}") for number in range(MAX_NAMED_WORKERS)]
    assert row.add_places(few)
    assert row.placed_on == few
    assert not row.add_places(few[:1])
    assert row.add_places([WorkerId("another")])
    assert (row.unplaced, row.placed_on) == (False, [])
    assert not row.add_places([WorkerId("yet another")])


def successor_of_two_workers(queue, unplaced, placed_on):
    """Returns a fleet whose new scheduler has heard from one of two workers."""
    fleet = Fleet(racks=1, per_rack=2, term=2)
    first, unseen = (each.worker_id for each in fleet.workers)
    fleet.scheduler = BatchScheduler(Epoch(3), CATALOGUE, 0.0)
    job = BatchJob(
        JobId("1" * 16), queue.name, OWNER, queue, "work", (step(1, WHOLE),)
    )
    row = JobRow.from_job(job)
    row.unplaced = unplaced
    row.placed_on = [WorkerId(each) for each in placed_on]
    fleet.emit(JobAccepted(job, row, inherited=True))
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    fleet.emit(RosterWritten(frozenset(fleet.ends)))
    fleet.report(first)
    fleet.emit(WorkerSilent(unseen, fleet.now + 6.0))
    return fleet


@pytest.mark.parametrize(
    ("case", "placed_on", "starts_at_once"),
    [
        ("it was placed elsewhere", ("w0-0",), True),
        ("it may be there", ("w0-0", "w0-1"), False),
        ("the row doesn't say where", (), False),
    ],
)
@pytest.mark.parametrize("queue", [URGENT, BATCH])
def test_successor_delays_only_what_an_unheard_worker_may_run(
    queue, case, placed_on, starts_at_once
):
    """Guards against urgent jobs that wait for leases which don't concern them.

    The leader changes while workers that left as planned still hold leases.
    Urgent jobs that had not started used to wait for these leases as well.
    """
    fleet = successor_of_two_workers(queue, False, placed_on)
    assert bool(fleet.starts) == starts_at_once
    fleet.wait(6.2)
    assert len(fleet.starts) == 1


@pytest.mark.parametrize("queue", [URGENT, BATCH])
@pytest.mark.parametrize(
    ("placed", "starts_at_once"), [(False, True), (True, False)]
)
def test_successor_starts_unplaced_jobs_at_once(placed, starts_at_once, queue):
    """The leader changes while workers can't be reached and jobs are queued."""
    fleet = successor_of_two_workers(queue, not placed, ())
    assert bool(fleet.starts) == starts_at_once


@pytest.mark.parametrize(
    ("case", "reported_first"),
    [("it had ended before", False), ("it ran on for a while", True)],
)
def test_run_time_is_not_learnt_from_a_run_whose_start_was_not_seen(
    case, reported_first
):
    """Guards against urgent jobs that wait although they should preempt others.

    After a change of leader, urgent jobs were estimated to have hours until the
    end of their objective.
    """
    fleet = Fleet(racks=1, per_rack=2, term=1)
    fleet.now = 68_000.0
    old = fleet.submit(1, URGENT, step(1, WHOLE, 2.0))
    (worker,) = fleet.places(old)
    successor = fleet.succeeded_by(2)
    if reported_first:
        successor.report(worker)
        successor.wait(1.0)
    successor.end_all(old)
    for each in successor.workers:
        successor.report(each.worker_id)
    successor.submit(2, BATCH, step(16, seconds=8.0), organisation=OTHER)
    successor.wait(1.0)
    urgent = successor.submit(
        3, URGENT, step(1, WHOLE, 2.0), organisation=OTHER
    )
    successor.wait(0.1)
    successor.carry_out_stops()
    assert len(successor.places(urgent)) == 1


def test_successor_knows_how_much_work_a_run_would_lose():
    """Guards against long runs that are preempted as often as new ones.

    All runs used to count as begun when the successor heard of them. An urgent
    gang needs room soon after a change of leader.
    """
    fleet = Fleet(racks=1, per_rack=2)
    old = fleet.submit(1, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.now += 30.0
    young = fleet.submit(2, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    percent = {fleet.places(old)[0]: 50.0, fleet.places(young)[0]: 1.0}
    successor = fleet.succeeded_by(2)
    for each in successor.workers:
        successor.report(each.worker_id, percent[each.worker_id])
    successor.submit(3, URGENT, step(1, WHOLE, 2.0))
    successor.wait(2.5)
    assert {each.task.job_id for each in successor.stops} == {young}


def test_guarantee_is_met_in_time_across_a_change_of_leader():
    """Guards against a time limit that starts anew with a successor.

    An organisation reclaims its guarantee when the leader is lost. The limit
    used to count from the time when the successor learnt of the job.
    """
    fleet = Fleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(16, seconds=1.7), organisation=OTHER)
    job = fleet.submit(2, URGENT, step(2, WHOLE, 30.0, gang=True))
    assert fleet.stops == []
    fleet.wait(1.5)
    successor = fleet.succeeded_by(2)
    for each in successor.workers:
        successor.report(each.worker_id, 20.0)
    successor.wait(0.3)
    successor.carry_out_stops()
    assert len(successor.places(job)) == 2


def test_waiting_time_of_an_adopted_run_starts_with_its_job():
    """Guards against urgent gangs spread over racks after a change of leader.

    A group whose run was adopted and then failed used to count as waiting since
    the start of the clock, and therefore as starving at once.
    """
    fleet = Fleet(racks=1, per_rack=2)
    job = fleet.submit(1, NORMAL, step(1, WHOLE, 30.0))
    fleet.now += 5.0
    successor = fleet.succeeded_by(2, placing=False)
    for each in successor.workers:
        successor.report(each.worker_id, 20.0)
    successor.placing = True
    successor.end_all(job, RunEnd.FAILED)
    successor.log_entries.clear()
    successor.wait(0.2)
    (line,) = (
        n.fields for n in successor.log_entries if n.event == "group started"
    )
    assert 0.0 < line["waited_s"] <= line["age_s"]


def test_gang_is_not_started_while_a_member_of_its_last_run_is_being_stopped():
    """Guards against tasks that run twice after a change of leader.

    The run had to be stopped before all its members were reported. A member
    that was reported later was stopped as unaccounted for, and was started
    elsewhere in the meantime.
    """
    fleet = Fleet(racks=1, per_rack=4)
    fleet.submit(1, NORMAL, step(2, WHOLE, 30.0, gang=True))
    (first, run), (second, _) = fleet.running
    where = {task: fleet.running[task, run] for task in (first, second)}
    successor = fleet.succeeded_by(2, placing=False)
    successor.report(where[first], 20.0)
    leaving = [
        msgspec.structs.replace(each, draining=True, remaining_s=0.5)
        if each.worker_id == where[first]
        else each
        for each in successor.workers
    ]
    successor.emit(WorkersListed(tuple(leaving)))
    successor.report(where[second], 20.0)
    assert [each.task for each in successor.stops] == [first, second]
    successor.end(first, run, RunEnd.STOPPED)
    successor.placing = True
    for each in successor.workers:
        successor.report(each.worker_id, 20.0)
    assert successor.starts == []
    successor.now += 0.2
    successor.end(second, run, RunEnd.STOPPED)
    successor.wait(0.1)
    assert {each.task for each in successor.starts} == {first, second}


def test_log_says_which_workers_a_successor_waited_for():
    fleet = Fleet(racks=1, per_rack=2, term=2)
    first, unseen = (each.worker_id for each in fleet.workers)
    fleet.scheduler = BatchScheduler(Epoch(3), CATALOGUE, 0.0)
    fleet.log_entries.clear()
    job = BatchJob(
        JobId("1" * 16), BATCH.name, OWNER, BATCH, "work", (step(1, WHOLE),)
    )
    row = JobRow.from_job(job)
    row.unplaced = False
    fleet.emit(JobAccepted(job, row, inherited=True))
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    fleet.report(first)
    fleet.emit(WorkerSilent(unseen, fleet.now + 6.0))
    fleet.wait(6.5)
    (line,) = (
        n.fields for n in fleet.log_entries if n.event == "doubts cleared"
    )
    assert line["jobs"] == [job.job_id]
    assert line["awaited_last"] == [unseen]
    assert line["took_s"] == 6.5


@pytest.mark.parametrize(
    ("case", "may_run", "starts_at_once"),
    [
        ("any task may be there", None, False),
        ("the task itself may be there", ("1" * 16 + ".0.0.0",), False),
        ("only another task may be there", ("2" * 16 + ".0.0.0",), True),
        ("nothing can be there", (), True),
    ],
)
def test_successor_waits_for_silent_workers_only_where_they_may_run_it(
    case, may_run, starts_at_once
):
    """The leader changes while workers that left earlier still hold leases."""
    fleet = Fleet(racks=1, per_rack=1, term=2)
    (here,) = (each.worker_id for each in fleet.workers)
    away = WorkerId("away")
    fleet.scheduler = BatchScheduler(Epoch(3), CATALOGUE, 0.0)
    job = BatchJob(
        JobId("1" * 16), BATCH.name, OWNER, BATCH, "work", (step(1, WHOLE),)
    )
    row = JobRow.from_job(job)
    row.unplaced = False
    fleet.emit(JobAccepted(job, row, inherited=True))
    fleet.emit(RosterLoaded({away: RosterEntry("", may_run)}))
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    fleet.emit(RosterWritten(frozenset(fleet.ends)))
    fleet.report(here)
    fleet.emit(WorkerSilent(away, fleet.now + 6.0))
    assert bool(fleet.starts) == starts_at_once
    fleet.wait(6.2)
    assert len(fleet.starts) == 1


def test_roster_names_what_a_silent_worker_may_run():
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, BATCH, step(1))
    (worker,) = fleet.places(job)
    assert fleet.scheduler.roster()[worker].may_run is None
    fleet.emit(WorkerSilent(worker, fleet.now + 6.0))
    assert fleet.scheduler.roster()[worker].may_run == (f"{job}.0.0.0",)
    fleet.report(worker)
    assert fleet.scheduler.roster()[worker].may_run is None
    later = fleet.submit(2, BATCH, step(1))
    assert fleet.places(later) == []
    fleet.emit(RosterWritten(frozenset({worker})))
    assert fleet.places(later) == [worker]


@pytest.mark.parametrize("durable", [True, False])
def test_successor_waits_for_a_silent_worker_that_keeps_an_end_of_the_task(
    durable,
):
    """Guards against a start of a task that is done.

    A worker reports that a task is done and falls silent. If the leader changes
    before the task's row is durable, only the worker still knows of the end.
    """
    fleet = Fleet(racks=1, per_rack=2)
    job_id = fleet.submit(1, BATCH, step(1))
    (order,) = fleet.starts
    where = order.worker_id
    (other,) = fleet.ends.keys() - {where}
    earlier_row = msgspec.to_builtins(fleet.rows[job_id].row)
    fleet.end(order.task, order.run)
    if durable:
        fleet.emit(RowWritten(job_id, fleet.rows[job_id].change))
    fleet.emit(WorkerSilent(where, fleet.now + 6.0))
    entries = fleet.scheduler.roster()
    fleet.scheduler = BatchScheduler(Epoch(2), CATALOGUE, 0.0)
    fleet.starts.clear()
    # The row is as it was before the end, so that the roster alone decides.
    row = msgspec.convert(earlier_row, JobRow)
    fleet.emit(JobAccepted(fleet.jobs[job_id], row, inherited=True))
    fleet.emit(RosterLoaded(entries))
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    fleet.emit(RosterWritten(frozenset(fleet.ends)))
    fleet.report(other)
    assert bool(fleet.starts) == durable
    fleet.report(where)
    assert fleet.rows[job_id].row.status is JobStatus.COMPLETED


def test_worker_off_the_list_is_kept_until_its_ends_are_durable():
    """Guards against ends that no successor asks for.

    Entries of the list lapse while the store is away, which is also when rows
    are written late.
    """
    fleet = Fleet(racks=1, per_rack=2)
    job_id = fleet.submit(1, BATCH, step(1))
    (order,) = fleet.starts
    where = order.worker_id
    fleet.end(order.task, order.run)
    listed = tuple(e for e in fleet.workers if e.worker_id != where)
    fleet.emit(WorkersListed(listed))
    fleet.wait(0.1)
    assert where in fleet.scheduler.roster()
    fleet.emit(RowWritten(job_id, fleet.rows[job_id].change))
    fleet.emit(WorkersListed(listed))
    assert where not in fleet.scheduler.roster()


# A worker lists its ends in parts of this many.
MAX_REPORTED_ENDS = 500


@pytest.mark.parametrize("inherited", [True, False])
def test_run_is_not_taken_for_lost_while_a_worker_has_more_ends_to_report(
    inherited,
):
    """Guards against a start of a task that is done.

    The end of the task is in the next part, which is reported once the worker
    may forget the ends of this one.
    """
    fleet = Fleet(racks=1, per_rack=1)
    (where,) = fleet.ends
    fleet.submit(1, BATCH, step(1))
    (order,) = fleet.starts
    if inherited:
        fleet = fleet.succeeded_by(2)
        fleet.starts.clear()
    fleet.wait(1.0)
    other = JobId("f" * 16)
    part = [
        EndedTask(number, TaskId(other, 0, 0, number), 1, RunEnd.DONE)
        for number in range(1, MAX_REPORTED_ENDS + 1)
    ]
    done = EndedTask(MAX_REPORTED_ENDS + 1, order.task, order.run, RunEnd.DONE)
    for ends, complete in ((part, False), ([done], True)):
        fleet.emit(
            WorkerReported(
                where, Incarnation(1), fleet.now, (), tuple(ends), complete
            )
        )
        fleet.wait(0.4)
    runs = {each.run for each in fleet.starts}
    assert runs <= {order.run}


@pytest.mark.parametrize(
    ("case", "left_s", "step_", "moved"),
    [
        ("it ends before", 1.7, step(1, seconds=1.0), False),
        ("a planned leave", 4.0, step(1, seconds=14.0), False),
        ("it doesn't end before", 1.7, step(1, seconds=4.0), True),
        ("a gang moves whole", 1.7, step(3, WHOLE, 4.0, gang=True), True),
        (
            "a long-running task never ends",
            8.0,
            step(1, long_running=True),
            True,
        ),
        ("the worker gives no time", None, step(1, seconds=4.0), False),
    ],
)
def test_runs_that_would_end_with_a_leaving_worker_are_moved(
    case, left_s, step_, moved
):
    """Workers are taken away at short notice."""
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step_)
    held = set(fleet.places(job))
    leaving = min(held)
    listed = tuple(
        msgspec.structs.replace(each, draining=True, remaining_s=left_s)
        if each.worker_id == leaving
        else each
        for each in fleet.workers
    )
    fleet.emit(WorkersListed(listed))
    assert bool(fleet.stops) == moved
    if moved:
        fleet.end_all(job, RunEnd.STOPPED)
        fleet.wait(0.3)
        assert leaving not in set(fleet.places(job)[-step_.count :])
    fleet.emit(WorkersListed(listed))
    assert len(fleet.stops) == (step_.count if moved else 0)


@pytest.mark.parametrize(
    ("left_s", "step_", "moved"),
    [
        (1.7, step(1, seconds=4.0), True),
        (1.7, step(1, seconds=1.0), False),
        (8.0, step(1, long_running=True), True),
    ],
)
def test_successor_moves_runs_off_a_worker_that_leaves_when_it_takes_over(
    left_s, step_, moved
):
    """Guards against runs that end with a worker since they were not known.

    The worker is on the successor's first list and reports only later.
    """
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step_)
    (leaving,) = fleet.places(job)
    fleet.workers = [
        msgspec.structs.replace(each, draining=True, remaining_s=left_s)
        if each.worker_id == leaving
        else each
        for each in fleet.workers
    ]
    successor = fleet.succeeded_by(2)
    assert successor.stops == []
    for _ in range(2):
        successor.report(leaving)
    assert len(successor.stops) == moved


@pytest.mark.parametrize(
    ("may_miss", "others", "lasting_stops", "other_stops"),
    [(1, 0, 0, 0), (2, 0, 2, 0), (0, 0, 2, 0), (1, 1, 1, 1), (1, 2, 1, 1)],
)
def test_preemption_stops_no_more_of_a_step_than_may_be_away(
    may_miss, others, lasting_stops, other_stops
):
    """Guards against an eviction that ends several tasks of a step at once.

    Each of them could have been stopped alone. Two tasks of a long-running step
    are on one worker; others may be there, too.
    """
    fleet = Fleet(racks=1, per_rack=1)
    parts = 2 + others
    part = Resources(64_000 // parts, 128_000 // parts, 8 // parts)
    lasting = step(2, part, may_miss=may_miss, long_running=True)
    serving = fleet.submit(1, BATCH, lasting)
    other = fleet.submit(2, BATCH, step(others or 1, part, 90.0))
    running = tuple(
        RunningTask(task, run, percent=100 if task.job_id == serving else 1)
        for task, run in fleet.running
    )
    worker_id = fleet.workers[0].worker_id
    fleet.emit(
        WorkerReported(worker_id, Incarnation(1), fleet.now, running, ())
    )
    fleet.submit(3, URGENT, step(1, part * 2, 1.0))
    stopped = [each.task.job_id for each in fleet.stops]
    assert stopped.count(serving) == lasting_stops
    assert stopped.count(other) == other_stops


@pytest.mark.parametrize(
    ("count", "may_miss", "moved"),
    [(1, 1, 0), (2, 1, 1), (3, 1, 2), (3, 2, 1), (2, 0, 0)],
)
def test_worker_with_more_tasks_than_may_be_away_can_still_be_taken_down(
    count, may_miss, moved
):
    """Guards against a machine that can never have its upkeep.

    All tasks of a step are on it, and they may not all be ended together. They
    are moved one after another, and each has to be at work first.
    """
    fleet = Fleet(racks=1, per_rack=2)
    here, there = (each.worker_id for each in fleet.workers)
    fleet.emit(WorkersShuttingDown(frozenset({there})))
    small = Resources(1_000, 1_000, 0)
    fleet.submit(
        1, BATCH, step(count, small, may_miss=may_miss, long_running=True)
    )
    fleet.emit(WorkersShuttingDown(frozenset()))
    assert set(fleet.running.values()) == {here}
    fleet.report(here, 100.0)
    least_at_work = count
    for _ in range(8):
        fleet.emit(WorkersShuttingDown(frozenset({here})))
        stops, fleet.stops = fleet.stops, []
        least_at_work = min(least_at_work, count - len(stops))
        for each in stops:
            fleet.wait(0.1)
            fleet.end(each.task, each.run, RunEnd.STOPPED)
            fleet.wait(0.3)
        fleet.report(there, 100.0)
        fleet.report(here, 100.0)
    assert list(fleet.running.values()).count(there) == moved
    assert least_at_work >= count - (may_miss or count)
    assert fleet.scheduler.can_end_tasks(here, fleet.now)


def test_long_running_task_is_started_again_however_it_ends():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1, long_running=True))
    for how in RunEnd:
        fleet.end_all(job, how)
        fleet.wait(0.3)
        assert len(fleet.places(job)) == 1
    assert fleet.rows[job].row.status is JobStatus.RUNNING


def test_occurrence_starts_when_it_is_due():
    fleet = Fleet()
    job = fleet.submit(
        1, BATCH, step(1), occurrences=2, first_due_at=102.0, interval_s=5.0
    )
    fleet.wait(1.9)
    assert fleet.places(job) == []
    fleet.wait(0.2)
    assert [each.task.occurrence for each in fleet.starts] == [0]
    fleet.wait(5.0)
    assert [each.task.occurrence for each in fleet.starts] == [0, 1]
