"""Tests of attempts of which it is unknown whether their tasks ran.

Idempotent jobs are started again, others must not be.
"""

import random

import pytest

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import (
    JobSpec,
    JobState,
    OrderKind,
    Tick,
    WorkerUnreachable,
)
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Urgency,
    WorkerPool,
)
from pomeloarch_standins.gang_world import GangWorld, worker_infos

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
    world.set_fleet(worker_infos(_POOL))
    world.advance(1.0)
    return world


def _host_of_job(world):
    return world.table["a"].placement[0].worker_id


def _inject_fault(world, kind, fault):
    """Lets the first two orders of a kind fail with a fault."""
    faults = {kind: [fault] * 2}
    world.order_fault = lambda order: (
        faults.get(order.kind, []).pop() if faults.get(order.kind) else None
    )


def _restart_host(world):
    world.advance(1.0)
    world.kill(_host_of_job(world))
    world.revive(_host_of_job(world))


def _kill_host(world):
    world.advance(1.0)
    world.kill(_host_of_job(world))


def _cut_off_host(world):
    world.advance(1.0)
    world.workers[_host_of_job(world)].reachable = False


def _lose_start(world):
    """Loses every START until the scheduler gives the attempt up."""
    world.order_fault = lambda order: (
        "lost" if order.kind is OrderKind.START and world.now < 8.0 else None
    )


def _lose_start_answer(world):
    _inject_fault(world, OrderKind.START, "answer_lost")


def _lose_reserve(world):
    _inject_fault(world, OrderKind.RESERVE, "lost")


def _lose_reserve_answer(world):
    _inject_fault(world, OrderKind.RESERVE, "answer_lost")


def _take_over(world):
    world.take_over(_scheduler(world.epoch + 1, world.now))
    world.set_fleet(worker_infos(_POOL))


def _take_over_running(world):
    world.advance(1.0)
    _take_over(world)


def _take_over_after_restart(world):
    _restart_host(world)
    _take_over(world)


def _take_over_after_loss(world):
    """The worker is lost as the role changes hands."""
    _kill_host(world)
    _take_over(world)


def _take_over_after_removal(world):
    """The worker is lost and off the list before the successor reads it."""
    _kill_host(world)
    host = _host_of_job(world)
    del world.workers[host], world._last_heard[host]
    world.take_over(_scheduler(world.epoch + 1, world.now))
    world.set_fleet(
        info for info in worker_infos(_POOL) if info.worker_id != host
    )


# The final states of an idempotent and of a non-idempotent job.
_ALWAYS_SUCCEEDS = (JobState.SUCCEEDED, JobState.SUCCEEDED)
_UNKNOWN_UNLESS_IDEMPOTENT = (JobState.SUCCEEDED, JobState.UNKNOWN)


@pytest.mark.parametrize("members", [1, 2])
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("fault", "expected_states"),
    [
        (_lose_reserve, _ALWAYS_SUCCEEDS),
        (_lose_reserve_answer, _ALWAYS_SUCCEEDS),
        (_lose_start_answer, _ALWAYS_SUCCEEDS),
        (_lose_start, _UNKNOWN_UNLESS_IDEMPOTENT),
        (_restart_host, _UNKNOWN_UNLESS_IDEMPOTENT),
        (_kill_host, _UNKNOWN_UNLESS_IDEMPOTENT),
        (_cut_off_host, _UNKNOWN_UNLESS_IDEMPOTENT),
        (_take_over, _ALWAYS_SUCCEEDS),
        (_take_over_running, _ALWAYS_SUCCEEDS),
        (_take_over_after_restart, _UNKNOWN_UNLESS_IDEMPOTENT),
        (_take_over_after_loss, _UNKNOWN_UNLESS_IDEMPOTENT),
        (_take_over_after_removal, _UNKNOWN_UNLESS_IDEMPOTENT),
    ],
)
def test_doubtful_start_is_repeated_only_for_idempotent_jobs(
    fault, expected_states, idempotent, members
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
    fault(world)
    world.advance(40.0)
    assert world.table["a"].state is expected_states[not idempotent]
    if not idempotent:
        assert max(world.started_members.values(), default=0) <= 1
    assert not any(w.live() for w in world.workers.values())


@pytest.mark.parametrize(
    "takeover_after_s", [0.001, 0.011, 0.013, 0.014, 0.016, 0.02]
)
def test_former_holder_can_neither_write_nor_order_after_takeover(
    takeover_after_s,
):
    world = _world()
    spec = JobSpec("a", "o", "bid", 2, 2, idempotent=False)
    world.submit(spec, 3.0)
    world.advance(takeover_after_s)
    former = world.scheduler
    _take_over(world)
    world.advance(2.0)
    for order in former.handle(Tick(), world.now):
        if hasattr(order, "kind"):
            world._deliver_order(order)
    world.advance(20.0)
    assert world.table["a"].state in (JobState.SUCCEEDED, JobState.UNKNOWN)
    assert max(world.started_members.values(), default=0) <= 1


def test_accelerators_pass_on_only_after_their_tasks_are_stopped():
    """STOP orders are lost for a while and repeated until confirmed."""
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


@pytest.mark.parametrize("idempotent", [True, False])
def test_gang_of_a_worker_lost_after_its_report_is_not_resumed(idempotent):
    """Guards against a gang that goes on in part after a takeover.

    One worker reports to the successor and is lost; only then does the other
    one report.
    """
    world = _world()
    spec = JobSpec("a", "o", "bid", 2, 2, idempotent=idempotent)
    world.submit(spec, 60.0)
    world.advance(1.0)
    first, second = (m.worker_id for m in world.table["a"].placement)
    world.workers[second].reachable = False
    _take_over(world)
    world.advance(0.5)
    world.kill(first)
    world._reported_unreachable.add(first)
    world.send_event(WorkerUnreachable(first))
    world.workers[second].reachable = True
    world.advance(20.0)
    found = world.table["a"]
    if idempotent:
        assert (found.state, found.attempts) == (JobState.RUNNING, 2)
        assert first not in {m.worker_id for m in found.placement}
    else:
        assert found.state is JobState.UNKNOWN
