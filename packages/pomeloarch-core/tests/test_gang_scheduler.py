"""Tests of a zone's scheduler with fakes of its table and workers."""

import random

import msgspec
import pytest

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import JobSpec, JobState
from pomeloarch_core.objects.model import (
    Adjacency,
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Team,
    Urgency,
    WorkerPool,
)
from pomeloarch_standins.gang_world import GangWorld, worker_infos

_POOL = WorkerPool(
    name="gpu",
    availability_zone="patan",
    racks=2,
    hosts_per_rack=2,
    accelerators_per_host=4,
    cores_per_host=64,
    memory_gb_per_host=128,
)
_CLASSES = (
    JobClass(name="counter", urgency=Urgency.URGENT, preemptible=False),
    JobClass(
        name="urgent-pair",
        urgency=Urgency.URGENT,
        preemptible=False,
        max_gang=2,
    ),
    JobClass(
        name="standard", urgency=Urgency.STANDARD, max_gang=4, grace_s=2.0
    ),
    JobClass(name="certificate", urgency=Urgency.STANDARD, preemptible=False),
    JobClass(
        name="batch",
        urgency=Urgency.BATCH,
        floor_share=0.25,
        max_gang=8,
        grace_s=3.0,
    ),
    JobClass(
        name="wide",
        urgency=Urgency.BATCH,
        max_gang=16,
        adjacency=Adjacency.ANY,
    ),
)
_ORGANISATIONS = (
    Organisation(
        name="shrestha",
        teams=(Team(name="desk", quota_accelerators=4),),
    ),
    Organisation(name="auction", quota_accelerators=12),
)
_SHAPE = GuaranteedShape(
    name="desk-pair",
    organisation="shrestha",
    worker_pool="gpu",
    hosts=2,
    accelerators_per_host=4,
)


def _snapshot(*shapes):
    objects = ObjectSet(
        availability_zone=(AvailabilityZone(name="patan", region="ktm"),),
        worker_pool=(_POOL,),
        organisation=_ORGANISATIONS,
        guaranteed_shape=shapes,
        job_class=_CLASSES,
    )
    return Snapshot(generation=1, publication="p", objects=objects)


def _scheduler(*shapes, epoch=1, now=0.0):
    rng = random.Random(7)
    return ZoneScheduler.from_config(
        _snapshot(*shapes), "patan", epoch, now, rng
    )


@pytest.fixture
def world():
    return _world()


def _world(*shapes):
    world = GangWorld(_scheduler(*shapes), 1, random.Random(3))
    world.set_fleet(worker_infos(_POOL))
    world.advance(1.0)
    return world


def _spec(job_id, job_class="batch", members=1, accelerators=1, **fields):
    fields.setdefault("organisation", "auction")
    return JobSpec(
        job_id=job_id,
        job_class=job_class,
        members=members,
        accelerators=accelerators,
        **fields,
    )


def _state(world, job_id):
    return world.table[job_id].state


@pytest.mark.parametrize(
    ("job_class", "members", "accelerators"),
    [
        ("batch", 1, 1),
        ("batch", 2, 4),
        ("batch", 8, 1),
        ("wide", 12, 1),
        ("counter", 1, 4),
    ],
)
def test_gang_is_placed_as_a_whole_and_succeeds(
    world, job_class, members, accelerators
):
    world.submit(_spec("a", job_class, members, accelerators), run_s=2.0)
    world.advance(1.0)
    assert _state(world, "a") is JobState.RUNNING
    assert sum(world.started_members.values()) == members
    world.advance(3.0)
    assert _state(world, "a") is JobState.SUCCEEDED
    assert world.scheduler.status().held == 0


@pytest.mark.parametrize(
    ("spec", "reason"),
    [
        (_spec("a", "nothing"), "no job class nothing"),
        (_spec("a", organisation="nobody"), "no organisation nobody"),
        (_spec("a", accelerators=5), "no pool of patan can hold"),
        (_spec("a", members=9), "allows gangs of 8, not 9"),
        (_spec("a", memory_gb=129.0), "the largest has 128"),
        (_spec("a", "wide", 13), "above the quota of auction, 12"),
        (
            _spec("a", "batch", 5, organisation="shrestha", team="desk"),
            "above the quota of team desk, 4",
        ),
        (
            _spec("a", organisation="shrestha", team="yard"),
            "has no team yard",
        ),
    ],
)
def test_job_that_can_never_run_is_refused_with_reason(world, spec, reason):
    world.submit(spec)
    world.advance(0.1)
    record = world.table["a"]
    assert record.state is JobState.REFUSED
    assert reason in record.reason
    assert reason in world.scheduler.explain("a")


def test_gang_that_does_not_fit_beside_guarantees_is_refused():
    """8 accelerators are left, but no rack has 3 on each of two hosts."""
    pair = msgspec.structs.replace(_SHAPE, accelerators_per_host=2)
    whole = msgspec.structs.replace(_SHAPE, name="whole", hosts=1)
    world = _world(pair, whole)
    world.submit(_spec("a", "urgent-pair", 2, 3, organisation="auction"))
    world.submit(_spec("b", "urgent-pair", 2, 2, organisation="auction"))
    world.advance(0.5)
    assert "guarantees of others" in world.table["a"].reason
    assert _state(world, "b") is JobState.RUNNING


def test_job_that_does_not_fit_waits(world):
    world.submit(_spec("a", "batch", 2, 4), run_s=5.0)
    world.submit(_spec("b", "batch", 2, 4, organisation="shrestha"), 5.0)
    world.submit(_spec("c", "batch", 2, 4, organisation="shrestha"), 5.0)
    world.advance(2.0)
    assert _state(world, "c") is JobState.QUEUED
    assert "waits for" in world.scheduler.explain("c")
    world.advance(5.0)
    assert _state(world, "c") is JobState.RUNNING


@pytest.mark.parametrize("cancel_after_s", [0.0, 0.003, 0.012, 0.015, 0.1, 1.0])
def test_cancelled_job_releases_its_accelerators(world, cancel_after_s):
    world.submit(_spec("a", "batch", 2, 4), run_s=60.0)
    world.advance(cancel_after_s)
    world.cancel("a")
    world.advance(3.0)
    assert _state(world, "a") is JobState.CANCELLED
    assert world.scheduler.status().held == 0
    assert not any(worker.used for worker in world.workers.values())


def test_owner_reclaims_its_shape_from_borrowers():
    """The borrowers never finish their checkpoints within their grace."""
    world = _world(_SHAPE)
    world.checkpoint_s = 60.0
    for number in range(4):
        world.submit(
            _spec(f"b{number}", "batch", 1, 3, organisation="auction"), 90.0
        )
    world.advance(5.0)
    world.submit(
        _spec("own", "certificate", 1, 4, organisation="shrestha"), 5.0
    )
    world.submit(
        _spec("own2", "certificate", 1, 4, organisation="shrestha"), 5.0
    )
    world.advance(3.0 + 1.9)
    assert world.starts["own"] == 1
    assert world.starts["own2"] == 1
    assert not world.alerts


def test_non_preemptible_jobs_never_take_the_last_place_of_a_guarantee():
    world = _world(_SHAPE)
    for number in range(3):
        world.submit(_spec(f"c{number}", "certificate", 1, 4), 50.0)
        world.advance(2.0)
    states = [_state(world, f"c{number}") for number in range(3)]
    assert states.count(JobState.RUNNING) == 2
    assert not world.alerts


def test_alert_is_raised_when_a_guarantee_loses_its_last_place():
    world = _world(_SHAPE)
    world.submit(_spec("c0", "certificate", 1, 4), 50.0)
    world.advance(2.0)
    worker_id = world.table["c0"].placement[0].worker_id
    other = next(
        info.worker_id
        for info in worker_infos(_POOL)
        if info.rack != world.workers[worker_id].info.rack
    )
    world.set_fleet([i for i in worker_infos(_POOL) if i.worker_id != other])
    reason = world.alerts["guarantee_short", "desk-pair/0"]
    assert "needs 2 workers of one rack" in reason
    world.set_fleet(worker_infos(_POOL))
    world.advance(1.0)
    assert not world.alerts


def test_urgent_job_starts_in_time_by_preempting(world):
    """The victims never finish their checkpoints within their grace."""
    world.checkpoint_s = 60.0
    for number in range(4):
        organisation = ("auction", "shrestha")[number % 2]
        world.submit(
            _spec(f"s{number}", "standard", 1, 4, organisation=organisation),
            90.0,
        )
    world.advance(3.0)
    world.submit(_spec("now", "counter", organisation="shrestha"), 1.0)
    world.advance(1.9)
    assert world.starts["now"] == 1


def test_successor_adopts_running_jobs():
    world = _world(_SHAPE)
    world.submit(_spec("a", "batch", 2, 2), 10.0)
    world.submit(
        _spec("b", "certificate", organisation="shrestha", idempotent=False),
        10.0,
    )
    world.submit(_spec("c", "certificate", 1, 4, idempotent=False), 10.0)
    world.advance(3.0)
    world.take_over(_scheduler(_SHAPE, epoch=2, now=world.now))
    world.set_fleet(worker_infos(_POOL))
    world.advance(12.0)
    assert {r.state for r in world.table.values()} == {JobState.SUCCEEDED}
    assert set(world.starts.values()) == {1}


def test_successor_knows_which_jobs_are_covered_by_a_guarantee():
    """Otherwise the owner's own jobs would leave no place for its shape."""
    world = _world(_SHAPE)
    for number in range(2):
        spec = _spec(f"o{number}", "certificate", 1, 4)
        spec = msgspec.structs.replace(spec, organisation="shrestha")
        world.submit(spec, 60.0)
    world.submit(_spec("c", "certificate", 1, 4), 60.0)
    world.advance(2.0)
    assert not world.alerts
    world.take_over(_scheduler(_SHAPE, epoch=2, now=world.now))
    world.set_fleet(worker_infos(_POOL))
    world.advance(2.0)
    assert not world.alerts
    assert set(world.starts.values()) == {1}
