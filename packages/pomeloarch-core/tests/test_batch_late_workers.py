"""Workers whose answers are late: which groups still start there."""

import msgspec
import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.messages import (
    CancelRequested,
    Incarnation,
    JobAccepted,
    RosterWritten,
    RowWritten,
    StartTask,
    Tick,
    WorkerInfo,
    WorkerLate,
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
URGENT = Queue(QueueName("urgent"), SERVICE, 0, 3, 1.5, 0.25)
CATALOGUE = Catalogue(Generation(1), {URGENT.name: URGENT}, (), {})
JOB = JobId("1" * 16)


class Fleet:
    """Two idle workers in each zone, and a job that has claimed its places.

    The row that names the places isn't durable yet.
    """

    def __init__(self, zones, tasks):
        self.now = 100.0
        self.scheduler = BatchScheduler(Epoch(1), CATALOGUE, 0.0)
        self.decisions = []
        self.zone_of = {
            WorkerId(f"w{zone}-{number}"): f"z{zone}"
            for zone in range(zones)
            for number in range(2)
        }
        self.emit(
            WorkersListed(
                tuple(
                    WorkerInfo(
                        worker_id,
                        SERVICE,
                        f"{worker_id}:1",
                        ZoneName(zone),
                        Resources(8_000, 8_000, 8),
                        rack=zone,
                    )
                    for worker_id, zone in self.zone_of.items()
                )
            )
        )
        self.emit(RosterWritten(frozenset(self.zone_of)))
        for each in self.zone_of:
            self.report(each)
        gang = Step(tasks, Resources(8_000, 8_000, 8), 2.0, gang=tasks > 1)
        job = BatchJob(
            JOB,
            URGENT.name,
            OrganisationName("o"),
            URGENT,
            "work",
            (gang,),
            accepted_at=self.now,
        )
        self.emit(JobAccepted(job, JobRow.from_job(job)))
        group = self.scheduler._jobs.get(JOB).all_groups()[0]
        self.claimed = [each.worker_id for each in group.members.values()]
        assert len(self.claimed) == tasks
        assert self.starts() == []

    def emit(self, event):
        self.decisions += self.scheduler.handle(event, self.now)
        self.decisions += self.scheduler.place(self.now)

    def report(self, worker_id):
        self.emit(WorkerReported(worker_id, Incarnation(1), self.now, (), ()))

    def rows_written(self):
        change = max(
            e.change for e in self.decisions if isinstance(e, WriteRow)
        )
        self.emit(RowWritten(JOB, change))

    def starts(self):
        return [e for e in self.decisions if isinstance(e, StartTask)]


@pytest.mark.parametrize("late", [0, 1], ids=["itself", "its neighbour"])
def test_claimed_group_is_not_started_on_a_worker_that_has_become_late(late):
    """Guards against gangs that start behind a network cut though it is known.

    Their row was not written yet, so no order was given. Started behind the
    cut, they would wait there for their leases to run out.
    """
    fleet = Fleet(zones=2, tasks=1)
    (place,) = fleet.claimed
    zone = fleet.zone_of[place]
    behind = sorted(
        (each for each in fleet.zone_of if fleet.zone_of[each] == zone),
        key=lambda each: each != place,
    )
    fleet.now += 0.2
    fleet.emit(WorkerLate(behind[late]))
    fleet.rows_written()
    assert [e for e in fleet.starts() if e.worker_id in behind] == []


@pytest.mark.parametrize("late", [0, 1], ids=["itself", "its neighbour"])
def test_claim_on_a_worker_that_has_become_late_moves_to_another_one(late):
    """Guards against urgent groups that keep a claim behind a network cut.

    They used to wait there for other groups to leave until the worker counted
    as silent, 2.2 s after its last answer, although there was room elsewhere.
    """
    fleet = Fleet(zones=2, tasks=1)
    (place,) = fleet.claimed
    zone = fleet.zone_of[place]
    behind = sorted(
        (each for each in fleet.zone_of if fleet.zone_of[each] == zone),
        key=lambda each: each != place,
    )
    fleet.now += 0.2
    fleet.emit(WorkerLate(behind[late]))
    fleet.now += 0.1
    fleet.emit(Tick(fleet.now))
    group = fleet.scheduler._jobs.get(JOB).all_groups()[0]
    places = {each.worker_id for each in group.members.values()}
    assert places
    assert places.isdisjoint(behind)


def test_gang_across_a_network_cut_releases_all_its_claims_until_it_ends():
    """Guards against gangs that hold room on both sides of a network cut."""
    fleet = Fleet(zones=2, tasks=3)
    late = fleet.claimed[0]
    zone = [e for e in fleet.zone_of if fleet.zone_of[e] == fleet.zone_of[late]]
    fleet.now += 0.2
    fleet.emit(WorkerLate(late))
    fleet.rows_written()
    assert fleet.starts() == []
    free = [e.free for e in fleet.scheduler._fleet]
    assert free == [Resources(8_000, 8_000, 8)] * 4
    fleet.now += 0.1
    for each in zone:
        fleet.report(each)
    fleet.rows_written()
    assert len({e.worker_id for e in fleet.starts()}) == 3


def test_claim_is_kept_while_an_answer_is_late_in_another_zone():
    """Guards against claims that are released wherever an answer is late."""
    fleet = Fleet(zones=2, tasks=1)
    (place,) = fleet.claimed
    elsewhere = next(
        e for e in fleet.zone_of if fleet.zone_of[e] != fleet.zone_of[place]
    )
    fleet.now += 0.2
    fleet.emit(WorkerLate(elsewhere))
    fleet.rows_written()
    assert [e.worker_id for e in fleet.starts()] == [place]


def test_idle_worker_that_was_late_is_polled_until_it_answers():
    """Guards against a worker that stays unused for the rest of a term.

    Its zone is heard from through another worker, and it has no tasks left, so
    nobody polls it and nothing clears its late mark.
    """
    fleet = Fleet(zones=1, tasks=1)
    (late,) = fleet.claimed
    fleet.now += 0.2
    fleet.emit(WorkerLate(late))
    fleet.emit(CancelRequested(JOB))
    fleet.rows_written()
    fleet.now += 0.1
    for each in fleet.zone_of:
        if each != late:
            fleet.report(each)
    worker = fleet.scheduler._fleet.get(late)
    assert worker.is_usable(fleet.now) or fleet.scheduler.needs_polling(late)
    fleet.report(late)
    assert worker.is_usable(fleet.now)
    assert not fleet.scheduler.needs_polling(late)


@pytest.mark.parametrize("moved", [True, False])
def test_claimed_group_is_started_only_where_the_roster_has_the_worker(moved):
    """Guards against runs that a successor takes for gone.

    A worker restarts at another address. A successor asks at the address that
    the roster has, where another worker may answer by now.
    """
    fleet = Fleet(zones=1, tasks=1)
    (place,) = fleet.claimed
    listed = [each.info for each in fleet.scheduler._fleet]
    if moved:
        listed = [
            msgspec.structs.replace(each, address="elsewhere:1")
            if each.worker_id == place
            else each
            for each in listed
        ]
    fleet.now += 0.1
    fleet.emit(WorkersListed(tuple(listed)))
    enrolled = set(fleet.zone_of) - ({place} if moved else set())
    fleet.emit(RosterWritten(frozenset(enrolled)))
    fleet.rows_written()
    assert (place in [e.worker_id for e in fleet.starts()]) != moved
