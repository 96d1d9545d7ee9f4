"""Tests of floors, fair shares, quarantine, overuse and large gangs."""

import random
from collections import Counter

import pytest

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import (
    JobSpec,
    JobState,
    OrderKind,
    WorkerOrder,
)
from pomeloarch_core.objects.model import (
    Adjacency,
    AvailabilityZone,
    JobClass,
    ObjectSet,
    Organisation,
    OveruseAction,
    Protection,
    Snapshot,
    Urgency,
    WorkerPool,
)
from pomeloarch_standins.gang_world import GangWorld, worker_infos

_CLASSES = (
    JobClass(name="urgent", urgency=Urgency.URGENT, grace_s=0.5),
    JobClass(name="bid", urgency=Urgency.URGENT, preemptible=False),
    JobClass(
        name="standard",
        urgency=Urgency.STANDARD,
        floor_share=0.25,
        grace_s=0.5,
        protection=Protection(
            throttle_above=1.5,
            act_above=3.0,
            patience_s=4.0,
            then=OveruseAction.CHECKPOINT,
        ),
    ),
    JobClass(
        name="batch",
        urgency=Urgency.BATCH,
        floor_share=0.25,
        max_gang=8,
        grace_s=1.0,
        protection=Protection(patience_s=4.0, then=OveruseAction.STOP),
    ),
)


def _world(racks=1, hosts=4, protections=True, organisations=3):
    pool = WorkerPool(
        name="gpu",
        availability_zone="zone",
        racks=racks,
        hosts_per_rack=hosts,
        accelerators_per_host=4,
        cores_per_host=64,
        memory_gb_per_host=64,
        protections=protections,
    )
    objects = ObjectSet(
        availability_zone=(AvailabilityZone(name="zone", region="r"),),
        worker_pool=(pool,),
        organisation=tuple(
            Organisation(name=f"o{i}") for i in range(organisations)
        ),
        job_class=_CLASSES,
    )
    snapshot = Snapshot(generation=1, publication="p", objects=objects)
    rng = random.Random(5)
    scheduler = ZoneScheduler.from_config(snapshot, "zone", 1, 0.0, rng)
    world = GangWorld(scheduler, 1, rng)
    world.set_fleet(worker_infos(pool))
    world.advance(1.0)
    return world


def _submit(world, job_id, job_class="batch", run_s=10.0, **fields):
    fails = fields.pop("fails", False)
    fields = {
        "organisation": "o0",
        "members": 1,
        "accelerators": 1,
        **fields,
    }
    spec = JobSpec(job_id=job_id, job_class=job_class, **fields)
    world.submit(spec, run_s, fails=fails)


def _accelerators_in_use(world):
    """Returns the accelerators in use by class."""
    used = Counter()
    for worker in world.workers.values():
        for task in worker.tasks.values():
            if task.state.value in ("running", "checkpointed"):
                spec = world.table[task.order.job_id].spec
                used[spec.job_class] += len(task.order.accelerators)
    return used


@pytest.mark.parametrize("flood", ["urgent", "bid"])
def test_every_class_keeps_its_floor_under_a_flood_of_urgent_jobs(flood):
    world = _world()
    for number in range(20):
        _submit(world, f"s{number}", "standard", 60.0)
        _submit(world, f"b{number}", "batch", 60.0)
    world.advance(2.0)
    for number in range(60):
        _submit(world, f"u{number}", flood, 60.0, organisation="o1")
    world.advance(10.0)
    used = _accelerators_in_use(world)
    assert used["standard"] >= 4
    assert used["batch"] >= 4
    assert used[flood] >= 4


def test_class_below_its_floor_evicts_preemptible_jobs():
    world = _world()
    for number in range(16):
        _submit(world, f"u{number}", "urgent", 300.0)
    world.advance(2.0)
    for number in range(8):
        _submit(world, f"s{number}", "standard", 60.0, organisation="o1")
    world.advance(20.0)
    assert _accelerators_in_use(world)["standard"] == 4


def test_organisations_and_callers_share_fairly_under_load():
    world = _world()
    for number in range(100):
        _submit(world, f"a{number}", "batch", 3.0, caller="large")
    world.advance(1.0)
    for number in range(3):
        _submit(world, f"w{number}", "batch", 3.0, caller="small")
        _submit(world, f"o{number}", "batch", 3.0, organisation="o1")
    world.advance(6.0)
    small = [r for j, r in world.table.items() if j[0] in "wo"]
    assert {r.state for r in small} <= {JobState.RUNNING, JobState.SUCCEEDED}
    large = [world.table[f"a{n}"].state for n in range(100)]
    assert large.count(JobState.QUEUED) > 40


def test_large_gang_is_not_starved_by_small_jobs():
    world = _world()
    rng = random.Random(2)
    for number in range(30):
        _submit(world, f"x{number}", "batch", rng.uniform(2.0, 6.0))
    world.advance(3.0)
    _submit(world, "gang", "batch", 5.0, members=4, accelerators=4)
    for number in range(200):
        owner = f"o{number % 3}"
        _submit(world, f"y{number}", "batch", 4.0, organisation=owner)
        world.advance(0.25)
    assert world.starts["gang"] == 1
    assert world.first_started_at["gang"] < 35.0


def test_small_jobs_are_moved_if_a_gang_starts_earlier():
    world = _world(hosts=2)
    for number in range(8):
        _submit(world, f"x{number}", "batch", (0.5, 500.0)[number % 2])
    world.advance(15.0)
    _submit(world, "gang", "batch", 5.0, accelerators=4)
    world.advance(20.0)
    assert world.starts["gang"] == 1
    states = {world.table[f"x{n}"].state for n in range(1, 8, 2)}
    assert states == {JobState.RUNNING}


def test_worker_that_fails_all_jobs_is_quarantined_and_returned():
    world = _world()
    for number in range(20):
        _submit(world, f"good{number}", "standard", 1.0)
    world.advance(3.0)
    bad = world.workers["gpu-0-2"]
    bad.fails_all = True
    for number in range(90):
        _submit(world, f"j{number}", "standard", 1.0, organisation="o1")
        world.advance(0.07)
    world.advance(10.0)
    assert ("worker_quarantined", bad.info.worker_id) in world.alerts
    assert len(world.alerts) == 1
    bad.fails_all = False
    for number in range(200):
        _submit(world, f"k{number}", "standard", 1.0, organisation="o1")
        world.advance(0.4)
    assert not world.alerts
    ends = Counter(record.state for record in world.table.values())
    assert set(ends) <= {JobState.SUCCEEDED, JobState.RUNNING}


@pytest.mark.parametrize("others", [12, 0])
def test_jobs_that_fail_everywhere_fail_without_quarantine(others):
    world = _world()
    for number in range(12):
        _submit(world, f"j{number}", "standard", 1.0, fails=True)
        if number < others:
            _submit(world, f"g{number}", "batch", 1.0, organisation="o1")
        world.advance(0.5)
        assert not world.alerts
    world.advance(60.0)
    assert not world.alerts
    for number in range(12):
        assert world.table[f"j{number}"].state is JobState.FAILED
        assert world.starts[f"j{number}"] == 3
    for number in range(others):
        assert world.table[f"g{number}"].state is JobState.SUCCEEDED


def _count_orders(world):
    kinds = Counter()
    carry_out = world._carry_out

    def counted(decision):
        if isinstance(decision, WorkerOrder):
            kinds[decision.kind] += 1
        carry_out(decision)

    world._carry_out = counted
    return kinds


@pytest.mark.parametrize(
    ("job_class", "protections", "usage", "kind", "state"),
    [
        ("standard", True, 2.0, OrderKind.THROTTLE, JobState.RUNNING),
        ("standard", True, 5.0, OrderKind.CHECKPOINT, JobState.RUNNING),
        ("batch", True, 5.0, OrderKind.STOP, JobState.FAILED),
        ("batch", False, 5.0, None, JobState.RUNNING),
        ("standard", True, 1.2, None, JobState.RUNNING),
    ],
)
def test_overuse_is_acted_on_once_it_lasts(
    job_class, protections, usage, kind, state
):
    world = _world(protections=protections)
    _submit(world, "a", job_class, 60.0)
    world.advance(1.0)
    kinds = _count_orders(world)
    for worker in world.workers.values():
        for task in worker.tasks.values():
            task.usage = usage
    world.advance(3.0)
    assert not kinds
    world.advance(4.0)
    assert world.table["a"].state is state
    assert (kinds[kind] > 0) if kind else not kinds


def test_many_cancellations_free_capacity_for_new_jobs():
    world = _world()
    for number in range(2_000):
        _submit(world, f"j{number}", "batch", 50.0)
    world.advance(1.0)
    for number in range(2_000):
        world.cancel(f"j{number}")
    _submit(world, "new", "standard", 1.0, organisation="o1")
    world.advance(3.0)
    assert world.table["new"].state is JobState.SUCCEEDED
    old = [world.table[f"j{n}"].state for n in range(2_000)]
    assert set(old) == {JobState.CANCELLED}
    assert world.scheduler.status().held == 0


def test_gang_of_128_members_is_placed_across_racks():
    """128 members are the largest gang that a job class may allow."""
    pool = WorkerPool(
        name="gpu",
        availability_zone="zone",
        racks=5,
        hosts_per_rack=8,
        accelerators_per_host=4,
        cores_per_host=64,
        memory_gb_per_host=64,
    )
    wide = JobClass(
        name="wide",
        urgency=Urgency.BATCH,
        max_gang=128,
        adjacency=Adjacency.ANY,
    )
    objects = ObjectSet(
        availability_zone=(AvailabilityZone(name="zone", region="r"),),
        worker_pool=(pool,),
        organisation=(Organisation(name="o0"),),
        job_class=(wide,),
    )
    snapshot = Snapshot(generation=1, publication="p", objects=objects)
    rng = random.Random(5)
    scheduler = ZoneScheduler.from_config(snapshot, "zone", 1, 0.0, rng)
    world = GangWorld(scheduler, 1, rng)
    world.set_fleet(worker_infos(pool))
    world.advance(1.0)
    _submit(world, "gang", "wide", 2.0, members=128)
    world.advance(4.0)
    assert world.table["gang"].state is JobState.SUCCEEDED
    assert len(world.started_members) == 128
