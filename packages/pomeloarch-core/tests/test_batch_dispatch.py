"""Where groups go under load: one table of loads for each pattern."""

import msgspec
import pytest

from pomeloarch_core.batch.catalogue import Catalogue, Tenant
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.messages import (
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
    WriteRow,
)
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.rows import MOST_PLACES, JobRow, JobStatus
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
    """A scheduler with workers that start what they are told."""

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
        self.starts, self.stops, self.notes, self.rows = [], [], [], {}
        self.store_answers = True
        self.placing = True
        self.places_written = {}
        self.jobs = {}
        self.emit(WorkersListed(tuple(self.workers)))
        self.emit(RosterWritten(frozenset(self.ends)))
        for each in self.workers:
            self.report(each.worker_id)

    def emit(self, event):
        self._take(self.scheduler.handle(event, self.now))
        if self.placing:
            self._take(self.scheduler.place(self.now))

    def _take(self, decisions):
        newest = {}
        for each in decisions:
            if isinstance(each, StartTask):
                self.starts.append(each)
                if not self.answers_starts:
                    continue
                self.running[each.task, each.run] = each.worker_id
                self._take(
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
                self.notes.append(each)
        for order in newest.values():
            self._write(order)

    def _write(self, order):
        """Keeps a row; the store takes one that names places at once."""
        row = order.row
        places = row.unplaced, tuple(row.placed_on)
        known = self.places_written.get(order.job_id)
        self.rows[order.job_id] = order
        if places != known and self.store_answers:
            self.places_written[order.job_id] = places
            written = RowWritten(order.job_id, order.change)
            self._take(self.scheduler.handle(written, self.now))

    def succeeded_by(self, term, placing=True):
        """Returns the fleet under a new scheduler that has read all rows."""
        successor = Fleet.__new__(Fleet)
        successor.__dict__.update(self.__dict__)
        successor.placing = placing
        successor.scheduler = BatchScheduler(
            Epoch(term), CATALOGUE, 0.0, DispatchTimes(0.9, 3.4)
        )
        successor.starts, successor.stops, successor.notes = [], [], []
        for job_id, job in self.jobs.items():
            row = self.rows[job_id].row if job_id in self.rows else None
            row = row or JobRow.from_job(job)
            successor.emit(JobAccepted(job, row, older=True))
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

    def places(self, job_id):
        return [
            where
            for (task, _), where in self.running.items()
            if task.job_id == job_id
        ]

    def obey_stops(self):
        for order in list(self.stops):
            if (order.task, order.run) in self.running:
                self.end(order.task, order.run, RunEnd.STOPPED)
        self.stops.clear()


def rack_of(worker_id):
    return worker_id[1]


# ---- single placements


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


def test_far_only_when_the_fleet_is_idle():
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
def test_urgent_gang_waits_for_its_rack_while_that_is_the_sooner_end(
    queue, waited_s, racks
):
    """Guards against urgent gangs that take three times as long, far.

    More than half of the fleet is idle, but no rack has room for all members;
    what is in the way has the same priority.
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


def test_bound_on_one_worker_is_kept():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(6, max_per_worker=2))
    places = fleet.places(job)
    assert len(places) == 6
    assert max(places.count(each) for each in places) == 2


def test_label_is_required():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1, label="b"))
    assert fleet.places(job) == []


# ---- loads


def test_urgent_flood_leaves_on_time_work_before_late_work():
    """Pattern: more arrives than there is room for."""
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE, 6.0))
    late = fleet.submit(2, BATCH, step(1, WHOLE, 1.0))
    fleet.wait(20.0)
    fresh = fleet.submit(3, BATCH, step(1, WHOLE, 1.0))
    fleet.end_all(JobId(f"{1:016x}"))
    assert fleet.places(fresh)
    assert not fleet.places(late)


def test_guaranteed_gang_takes_room_within_the_bound():
    """Pattern: an organisation reclaims its guarantee from borrowers."""
    fleet = Fleet(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(16, seconds=30.0), organisation=OTHER)
    job = fleet.submit(2, URGENT, step(2, WHOLE, 2.0, gang=True))
    waited = 0.0
    while not fleet.stops and waited < 3.4:
        fleet.wait(0.1)
        waited += 0.1
    assert waited <= 3.4 - 0.9
    fleet.obey_stops()
    assert len(fleet.places(job)) == 2


def test_room_that_is_about_to_be_free_is_waited_for():
    """Pattern: preemption would throw away work that is nearly done."""
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, BATCH, step(1, WHOLE, 10.0), organisation=OTHER)
    fleet.now += 9.9
    for each in fleet.workers:
        fleet.report(each.worker_id, percent=99.0)
    urgent = fleet.submit(2, URGENT, step(1, WHOLE, 4.0))
    assert fleet.stops == []
    fleet.end_all(job)
    assert len(fleet.places(urgent)) == 1


def test_beyond_its_guarantee_little_work_is_thrown_away():
    """Pattern: an urgent flood beyond what is guaranteed."""
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
    """A line a reason, with the time since the job was accepted."""
    fleet = Fleet(racks=1, per_rack=1)
    fleet.submit(1, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.now += elapsed_s
    for each in fleet.workers:
        fleet.report(each.worker_id, percent=percent)
    job = fleet.submit(
        2, URGENT, step(1, WHOLE, 4.0), organisation=organisation
    )
    fleet.wait(0.3)
    (line,) = (n.fields for n in fleet.notes if n.event == "group waits")
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
        n.fields["age_s"] for n in fleet.notes if n.event == "group started"
    ]
    assert ages == [0.0, 3.0]


def with_slow_worker(percent_longer, per_rack=3):
    """Returns a fleet whose first worker takes longer, by what it has run."""
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
    ("percent_longer", "queue", "takes_it"),
    [
        (30, URGENT, False),
        (30, BATCH, True),
        (4, URGENT, True),
    ],
)
def test_slow_workers_are_left_to_work_that_has_time(
    percent_longer, queue, takes_it
):
    """A third of the machines is slower than the others.

    Urgent jobs that ran there were late though they were started at once.
    """
    fleet, slow = with_slow_worker(percent_longer)
    job = fleet.submit(2, queue, step(1, WHOLE, 2.0))
    assert (fleet.places(job) == [slow]) == takes_it


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
    """The first gang that runs beside a slow worker tells."""
    fleet = Fleet(racks=1, per_rack=5)
    job = fleet.submit(1, NORMAL, step(3, WHOLE, 8.0, gang=True))
    fleet.now += 1.0
    workers = fleet.places(job)
    for each, percent in zip(workers, percents, strict=True):
        fleet.report(each, percent)
    found = fleet.scheduler.roster()
    assert [n for n in range(3) if found[workers[n]].slow] == slow


def test_slow_workers_stay_known_as_such_among_themselves():
    """A gang whose members are all on slow workers."""
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


def test_urgent_work_takes_a_slow_worker_rather_than_wait():
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
    ("case", "ran_s", "victim_estimate_s", "gives_way"),
    [
        ("it can be done again in time", 6.5, 4.0, True),
        ("too much work would be lost", 12.0, 40.0, False),
        ("it would miss its objective", 7.5, 4.0, False),
    ],
)
def test_urgent_work_outweighs_work_that_can_be_done_again(
    case, ran_s, victim_estimate_s, gives_way
):
    """Urgent gangs beyond what is guaranteed, on a fleet full of other work.

    They waited for room whenever a little more work would have been lost
    than they do themselves, and were late.
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
    assert bool(fleet.stops) == gives_way


def test_victim_is_the_one_that_loses_least():
    fleet = Fleet(racks=1, per_rack=2)
    old = fleet.submit(1, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.now += 20.0
    young = fleet.submit(2, BATCH, step(1, WHOLE, 60.0), organisation=OTHER)
    fleet.submit(3, URGENT, step(1, WHOLE, 2.0))
    fleet.wait(1.5)
    assert {each.task.job_id for each in fleet.stops} == {young} != {old}


def test_urgent_work_takes_workers_that_a_gang_waits_for_last():
    """Guards against wide gangs whose workers go one by one while they wait.

    Urgent work took the fullest worker with room, though it was the last that
    a gang waited for, and another was free.
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
    """Pattern: small tasks take each place that is left."""
    fleet = Fleet(racks=1, per_rack=2)
    fleet.submit(1, NORMAL, step(16, seconds=3.0))
    gang = fleet.submit(2, NORMAL, step(2, WHOLE, 3.0, gang=True))
    fleet.wait(1.5)
    fleet.submit(3, BATCH, step(40, seconds=30.0))
    fleet.end_all(JobId(f"{1:016x}"))
    assert len(fleet.places(gang)) == 2


@pytest.mark.parametrize("standing", ["on time", "late"])
def test_wide_gang_is_not_starved_by_small_tasks_that_keep_coming(standing):
    """Guards against wide gangs that are never served once they are late.

    Tasks of lower priority that can be on time come each second, and each takes
    a place that has just become free.
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


def test_waiting_jobs_cost_a_round_one_look_at_each_worker(monkeypatch):
    """A queue of a hundred wide jobs that differ, on a fleet that is full."""
    fleet = Fleet(racks=4, per_rack=11)
    workers = len(fleet.workers)
    fleet.submit(1, URGENT, step(workers, WHOLE, 30.0))
    needs = (ONE, WHOLE)
    for number in range(100):
        need = needs[number % len(needs)]
        queue = (NORMAL, BATCH)[number % 3 == 0]
        fleet.submit(2 + number, queue, step(2 + number % 40, need, gang=True))
    looks = 0
    times_in = Resources.times_in

    def counted(self, room):
        nonlocal looks
        looks += 1
        return times_in(self, room)

    fleet.now += 0.05
    monkeypatch.setattr(Resources, "times_in", counted)
    fleet.emit(Tick(fleet.now))
    assert looks <= workers * len(needs)


def test_urgent_use_of_late_is_spared_by_other_work():
    """Pattern: urgent gangs come again and again, each for whole workers."""
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


# ---- failures


def test_wide_gang_is_not_starved_by_what_is_spared_for_urgent_work():
    """Small tasks stand on all workers that are not spared.

    Gangs waited for them to end, a dozen tasks long, beside idle workers.
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
    """What is spared is all that has the label and is free."""
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


def test_attempts_are_not_spent_on_one_bad_worker():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1))
    (first,) = fleet.places(job)
    fleet.end_all(job, RunEnd.FAILED)
    fleet.wait(0.1)
    (second,) = fleet.places(job)
    assert second != first


def test_worker_that_fails_twice_gets_nothing_for_a_while():
    fleet = Fleet(racks=1, per_rack=1)
    for number in (1, 2):
        job = fleet.submit(number, BATCH, step(1))
        fleet.end_all(job, RunEnd.FAILED)
    waiting = fleet.submit(3, BATCH, step(1))
    assert fleet.places(waiting) == []
    fleet.wait(2.5)
    assert fleet.places(waiting)


def test_group_that_failed_everywhere_is_still_tried():
    fleet = Fleet(racks=1, per_rack=1)
    job = fleet.submit(1, URGENT, step(1))
    fleet.end_all(job, RunEnd.FAILED)
    fleet.wait(0.3)
    assert len(fleet.places(job)) == 1


@pytest.mark.parametrize("failed_runs", [1, 2])
def test_gang_that_failed_on_all_but_too_few_workers_is_still_tried(
    failed_runs,
):
    """Guards against gangs that wait for ever beside an idle fleet."""
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


def test_job_fails_once_its_attempts_are_used_up():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1))
    for _ in range(2):
        fleet.end_all(job, RunEnd.FAILED)
        fleet.wait(0.3)
    assert fleet.rows[job].row.status is JobStatus.FAILED
    assert fleet.places(job) == []


ENDS_THAT_ARE_NO_ATTEMPT = [
    RunEnd.STOPPED,
    RunEnd.LAPSED,
    RunEnd.BROKEN,
    RunEnd.ALONE,
]


@pytest.mark.parametrize("how", ENDS_THAT_ARE_NO_ATTEMPT)
def test_only_failures_count_as_attempts(how):
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(1))
    for _ in range(4):
        fleet.end_all(job, how)
        fleet.wait(0.3)
    assert fleet.rows[job].row.status is JobStatus.RUNNING
    assert fleet.places(job)


def test_end_is_forgotten_only_when_all_that_it_told_is_durable():
    fleet = Fleet()
    job = fleet.submit(1, BATCH, step(2, WHOLE, gang=True))
    for task, run in list(fleet.running):
        fleet.end(task, run)
    workers = [each for each in fleet.ends if fleet.ends[each]]
    assert [fleet.scheduler.acknowledged(each) for each in workers] == [0, 0]
    fleet.emit(RowWritten(job, fleet.rows[job].change))
    assert [fleet.scheduler.acknowledged(each) for each in workers] == [1, 1]


def test_end_of_a_new_life_is_not_forgotten_for_one_of_the_former():
    """Two lives of a worker, whose ends have the same numbers."""
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
    assert fleet.scheduler.acknowledged(worker) == 0
    fleet.emit(RowWritten(second, fleet.rows[second].change))
    assert fleet.scheduler.acknowledged(worker) == 1


@pytest.mark.parametrize(
    ("how", "starts"), [(RunEnd.DONE, 1), (RunEnd.STOPPED, 2), (None, 2)]
)
def test_old_run_is_an_end_that_the_next_report_tells(how, starts):
    """Short tasks whose orders are carried out and not answered."""
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


class Unanswered(Fleet):
    """A fleet whose workers get their orders and haven't answered them."""

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


GONE_BY = {
    "a stop's answer and a later report": ["stop answered", "report"],
    "its end": ["begins", "ends"],
    "a lapsed lease": ["silent", "lapses"],
    "another worker in its place": ["gone"],
}


@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("steps", GONE_BY.values(), ids=GONE_BY.keys())
def test_refused_start_that_may_begin_yet_is_gone_only_by_evidence(
    refusal, steps
):
    """Guards against two runs of a task: a late copy of a refused order."""
    fleet = Unanswered(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    where, key = order.worker_id, (order.task, order.run)
    worker = fleet.scheduler._fleet.get(where)
    fleet.refuse(order, refusal, settled=False)
    assert [(each.task, each.run) for each in fleet.stops] == [key]
    happens = {
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
        assert not WHOLE.fits(worker.free)
        fleet.wait(0.1)
        happens[each]()
    fleet.wait(0.3)
    assert len(fleet.starts) == 2


@pytest.mark.parametrize("refusal", REFUSALS[:-1])
def test_start_that_was_refused_for_good_is_made_up_for_at_once(refusal):
    fleet = Unanswered(racks=1, per_rack=2)
    fleet.submit(1, BATCH, step(1, WHOLE))
    (order,) = fleet.starts
    fleet.refuse(order, refusal, settled=True)
    fleet.wait(0.3)
    assert (len(fleet.starts), fleet.stops) == (2, [])


def test_promised_place_is_not_taken_while_an_unaccounted_run_is_stopped():
    """Guards against two runs of a task: one shows while its place is free."""
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
    fleet.obey_stops()
    fleet.wait(0.1)
    assert len(fleet.starts) == starts + 1


def test_nothing_is_started_in_a_zone_that_has_just_been_cut_off():
    """Guards against urgent gangs started on workers behind a cut.

    They are started elsewhere only when the leases there have run out. A worker
    without tasks is not asked for reports, so that nothing tells of it.
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
    assert fleet.scheduler.occupied(idle)
    fleet.now += 0.1
    fleet.report(idle)
    assert fleet.places(more) == [idle]


@pytest.mark.parametrize(
    ("case", "queue", "percents", "others", "moved"),
    [
        ("one stands still", URGENT, ((30, 30, 30), (8, 8, 8)), 3, True),
        ("all stand still at once", URGENT, ((0, 0, 0), (0, 0, 0)), 3, True),
        ("one crawls", URGENT, ((30, 60, 90), (5, 10, 15)), 3, True),
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
def test_urgent_run_is_moved_off_workers_that_hold_it_up(
    case, queue, percents, others, moved
):
    """Guards against urgent gangs that wait for a worker that stands still."""
    fleet = Fleet(racks=1, per_rack=2 + others)
    job = fleet.submit(1, queue, step(2, WHOLE, 2.0, gang=True))
    held_up = fleet.places(job)
    for moment in range(3):
        fleet.now += 0.5
        for worker_id, told in zip(held_up, percents, strict=True):
            fleet.report(worker_id, float(told[moment]))
    assert len(fleet.stops) == (2 if moved else 0)
    if moved:
        fleet.obey_stops()
        fleet.wait(0.1)
        assert held_up[1] not in fleet.places(job)
        assert len(fleet.places(job)) == 2


@pytest.mark.parametrize(("step_percent", "moved"), [(25, False), (75, True)])
def test_urgent_run_is_not_moved_where_more_would_be_lost(step_percent, moved):
    """Guards against seconds of work thrown away for a short standstill."""
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


def test_successor_adopts_what_runs_and_starts_nothing_in_doubt():
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
    successor.emit(JobAccepted(job, first.rows[job_id].row, older=True))
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
def test_nothing_is_started_before_its_row_says_where(queue):
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
    """Many small tasks, one after another, on few workers."""
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
    few = [WorkerId(f"w{number:02}") for number in range(MOST_PLACES)]
    assert row.add_places(few)
    assert row.placed_on == few
    assert not row.add_places(few[:1])
    assert row.add_places([WorkerId("another")])
    assert (row.unplaced, row.placed_on) == (False, [])
    assert not row.add_places([WorkerId("yet another")])


def successor_of_two_workers(queue, unplaced, placed_on):
    """Returns a fleet whose new scheduler has heard of one of two workers."""
    fleet = Fleet(racks=1, per_rack=2, term=2)
    first, unseen = (each.worker_id for each in fleet.workers)
    fleet.scheduler = BatchScheduler(Epoch(3), CATALOGUE, 0.0)
    job = BatchJob(
        JobId("1" * 16), queue.name, OWNER, queue, "work", (step(1, WHOLE),)
    )
    row = JobRow.from_job(job)
    row.unplaced = unplaced
    row.placed_on = [WorkerId(each) for each in placed_on]
    fleet.emit(JobAccepted(job, row, older=True))
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
def test_successor_starts_late_only_what_an_unheard_worker_may_run(
    queue, case, placed_on, starts_at_once
):
    """A leader is lost while workers that left as planned hold leases.

    Urgent jobs that waited for room had to wait for those leases as well.
    """
    fleet = successor_of_two_workers(queue, False, placed_on)
    assert bool(fleet.starts) == starts_at_once
    fleet.wait(6.2)
    assert len(fleet.starts) == 1


@pytest.mark.parametrize("queue", [URGENT, BATCH])
@pytest.mark.parametrize(
    ("placed", "starts_at_once"), [(False, True), (True, False)]
)
def test_successor_starts_at_once_what_nobody_can_have_started(
    placed, starts_at_once, queue
):
    """A change of leader with workers out of reach and a queue that waits."""
    fleet = successor_of_two_workers(queue, not placed, ())
    assert bool(fleet.starts) == starts_at_once


@pytest.mark.parametrize(
    ("case", "reported_first"),
    [("it had ended before", False), ("it ran on for a while", True)],
)
def test_end_of_an_earlier_leaders_run_teaches_no_run_time(
    case, reported_first
):
    """Urgent jobs were thought to have hours after a change of leader.

    They waited for room, and nothing gave way to them.
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
    successor.obey_stops()
    assert len(successor.places(urgent)) == 1


def test_successor_knows_how_much_work_a_run_would_lose():
    """An urgent gang needs room soon after a change of leader.

    All runs counted as begun when the successor heard of them, so that the
    longest ones were stopped as often as the newest.
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


def test_guarantee_is_made_good_in_time_over_a_change_of_leader():
    """An organisation reclaims its guarantee, and the leader is lost.

    The bound counted anew from when the successor learnt of the job.
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
    successor.obey_stops()
    assert len(successor.places(job)) == 2


def test_run_that_a_successor_adopted_has_not_waited_before_its_job_came():
    """Guards against urgent gangs spread over racks after a change of leader.

    A group whose run was adopted and then failed had been waiting since the
    clock's beginning, and so counted as starving at once.
    """
    fleet = Fleet(racks=1, per_rack=2)
    job = fleet.submit(1, NORMAL, step(1, WHOLE, 30.0))
    fleet.now += 5.0
    successor = fleet.succeeded_by(2, placing=False)
    for each in successor.workers:
        successor.report(each.worker_id, 20.0)
    successor.placing = True
    successor.end_all(job, RunEnd.FAILED)
    successor.notes.clear()
    successor.wait(0.2)
    (line,) = (n.fields for n in successor.notes if n.event == "group started")
    assert 0.0 < line["waited_s"] <= line["age_s"]


def test_gang_is_not_started_while_a_member_of_its_last_run_is_being_stopped():
    """Guards against tasks that run twice after a change of leader.

    The run had to end before all its members were heard of. One that was heard
    later was stopped as unaccounted for, and started elsewhere meanwhile.
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
    fleet.notes.clear()
    job = BatchJob(
        JobId("1" * 16), BATCH.name, OWNER, BATCH, "work", (step(1, WHOLE),)
    )
    row = JobRow.from_job(job)
    row.unplaced = False
    fleet.emit(JobAccepted(job, row, older=True))
    fleet.emit(WorkersListed(tuple(fleet.workers)))
    fleet.report(first)
    fleet.emit(WorkerSilent(unseen, fleet.now + 6.0))
    fleet.wait(6.5)
    (line,) = (n.fields for n in fleet.notes if n.event == "doubts cleared")
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
    """A change of leader while workers that left earlier still hold leases."""
    fleet = Fleet(racks=1, per_rack=1, term=2)
    (here,) = (each.worker_id for each in fleet.workers)
    away = WorkerId("away")
    fleet.scheduler = BatchScheduler(Epoch(3), CATALOGUE, 0.0)
    job = BatchJob(
        JobId("1" * 16), BATCH.name, OWNER, BATCH, "work", (step(1, WHOLE),)
    )
    row = JobRow.from_job(job)
    row.unplaced = False
    fleet.emit(JobAccepted(job, row, older=True))
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


@pytest.mark.parametrize(
    ("case", "left_s", "step_", "moved"),
    [
        ("it ends before", 1.7, step(1, seconds=1.0), False),
        ("a planned leave", 4.0, step(1, seconds=14.0), False),
        ("it doesn't end before", 1.7, step(1, seconds=4.0), True),
        ("a gang moves whole", 1.7, step(3, WHOLE, 4.0, gang=True), True),
        ("a lasting task never ends", 8.0, step(1, long_running=True), True),
        ("the worker says nothing", None, step(1, seconds=4.0), False),
    ],
)
def test_worker_about_to_leave_is_cleared_of_what_would_end_with_it(
    case, left_s, step_, moved
):
    """Workers that are taken away at short notice."""
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
