"""Doubts about a start: what may be started again, and what never."""

import random

import pytest

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import JobSpec, JobState, OrderKind, Tick
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Urgency,
    WorkerPool,
)
from pomeloarch_standins.gang_world import GangWorld, infos_of

_POOL = WorkerPool(
    name="gpu",
    availability_zone="zone",
    racks=1,
    hosts_per_rack=3,
    accelerators_per_host=2,
    cores_per_host=64,
    memory_gb_per_host=64,
)
_OBJECTS = ObjectSet(
    availability_zone=(AvailabilityZone(name="zone", region="r"),),
    worker_pool=(_POOL,),
    organisation=(Organisation(name="o"),),
    job_class=(JobClass(name="bid", urgency=Urgency.STANDARD, max_gang=2),),
)


def _scheduler(epoch, now=0.0):
    snapshot = Snapshot(generation=1, publication="p", objects=_OBJECTS)
    rng = random.Random(epoch)
    return ZoneScheduler.from_config(snapshot, "zone", epoch, now, rng)


def _world():
    world = GangWorld(_scheduler(1), 1, random.Random(1))
    world.set_fleet(infos_of(_POOL))
    world.advance(1.0)
    return world


def _host(world):
    return world.table["a"].placement[0].worker_id


def _lose(world, kind, fault):
    faults = {kind: [fault] * 2}
    world.order_fault = lambda order: (
        faults.get(order.kind, []).pop() if faults.get(order.kind) else None
    )


def _restart(world):
    world.advance(1.0)
    world.kill(_host(world))
    world.revive(_host(world))


def _die(world):
    world.advance(1.0)
    world.kill(_host(world))


def _cut(world):
    world.advance(1.0)
    world.workers[_host(world)].reachable = False


def _lose_start(world):
    """The order reaches nobody, again and again, until it is given up."""
    world.order_fault = lambda order: (
        "lost" if order.kind is OrderKind.START and world.now < 8.0 else None
    )


def _lose_start_answer(world):
    _lose(world, OrderKind.START, "answer_lost")


def _lose_reserve(world):
    _lose(world, OrderKind.RESERVE, "lost")


def _lose_reserve_answer(world):
    _lose(world, OrderKind.RESERVE, "answer_lost")


def _take_over(world):
    world.take_over(_scheduler(world.epoch + 1, world.now))
    world.set_fleet(infos_of(_POOL))


def _take_over_running(world):
    world.advance(1.0)
    _take_over(world)


def _take_over_after_a_restart(world):
    _restart(world)
    _take_over(world)


_SUCCEEDS = (JobState.SUCCEEDED, JobState.SUCCEEDED)
_DOUBT = (JobState.SUCCEEDED, JobState.UNKNOWN)


@pytest.mark.parametrize("members", [1, 2])
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("trouble", "ends"),
    [
        (_lose_reserve, _SUCCEEDS),
        (_lose_reserve_answer, _SUCCEEDS),
        (_lose_start_answer, _SUCCEEDS),
        (_lose_start, _DOUBT),
        (_restart, _DOUBT),
        (_die, _DOUBT),
        (_cut, _DOUBT),
        (_take_over, _SUCCEEDS),
        (_take_over_running, _SUCCEEDS),
        (_take_over_after_a_restart, _DOUBT),
    ],
)
def test_a_doubt_ends_non_idempotent_work_and_repeats_other(
    trouble, ends, idempotent, members
):
    world = _world()
    spec = JobSpec(
        job_id="a",
        organisation="o",
        job_class="bid",
        members=members,
        accelerators=2,
        idempotent=idempotent,
    )
    world.submit(spec, 3.0)
    trouble(world)
    world.advance(40.0)
    assert world.table["a"].state is ends[not idempotent]
    if not idempotent:
        assert max(world.started_members.values(), default=0) <= 1
    assert not any(w.live() for w in world.workers.values())


@pytest.mark.parametrize("at_s", [0.001, 0.011, 0.013, 0.014, 0.016, 0.02])
def test_an_older_holder_can_neither_write_nor_order_any_more(at_s):
    world = _world()
    spec = JobSpec("a", "o", "bid", 2, 2, idempotent=False)
    world.submit(spec, 3.0)
    world.advance(at_s)
    old = world.scheduler
    _take_over(world)
    world.advance(2.0)
    for order in old.handle(Tick(), world.now):
        if hasattr(order, "kind"):
            world._order(order)
    world.advance(20.0)
    assert world.table["a"].state in (JobState.SUCCEEDED, JobState.UNKNOWN)
    assert max(world.started_members.values(), default=0) <= 1


def test_accelerators_are_given_on_only_when_their_tasks_are_quiet():
    """Stops are lost for a while: they are repeated until confirmed."""
    world = _world()
    for number in range(3):
        world.submit(JobSpec(f"a{number}", "o", "bid", 1, 2), 60.0)
    world.advance(1.0)
    world.submit(JobSpec("b", "o", "bid", 1, 2), 1.0)
    world.order_fault = lambda order: (
        "lost" if order.kind is OrderKind.STOP and world.now < 6.0 else None
    )
    world.cancel("a0")
    world.advance(4.0)
    assert world.table["a0"].state is JobState.RUNNING
    assert world.table["b"].state is JobState.QUEUED
    world.advance(5.0)
    assert world.table["a0"].state is JobState.CANCELLED
    assert world.table["b"].state is JobState.SUCCEEDED
    assert world.collisions == 0
