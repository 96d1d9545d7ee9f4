"""Tests of workers that are lost for good as they get an order to start."""

import asyncio

import msgspec
import pytest

from pomeloarch_core.batch.fleet import GONE_AFTER_S
from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_node.batch.records import JOBS_TABLE
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

WHOLE = Resources(64_000, 128_000, 8)
# Time after which the entry of a silent worker lapses, in seconds.
LAPSE_S = 4.5
# How long after the end of the traffic jobs are asked for, in seconds (RULES,
# LOST).
FINISH_S = 14.0
STEPS = {
    "task": Step(1, WHOLE, 1.0),
    "gang": Step(3, WHOLE, 1.0, gang=True),
}


async def first_named_worker(world, job):
    """Waits until a job's row names the worker of its first task."""
    while True:
        row = world.tables.read(JOBS_TABLE, job.job_id)
        if row.value and row.value.get("open_starts"):
            return WorkerId(row.value["open_starts"]["0.0.0"][0])
        await asyncio.sleep(0.0005)


async def lose_at_start(world, job):
    """Submits a job; loses the worker of its first task with the order."""
    await world.submit(job, world.nodes[0])
    worker_id = await first_named_worker(world, job)
    world.crash_worker(worker_id)
    world.workers[worker_id].is_cut_off = True
    return worker_id


def make_job(step):
    return BatchJob(
        job_id=JobId("5c0e7a21d94b36f8"),
        queue=BATCH,
        organisation=ORGANISATION,
        accepted_under=CATALOGUE.queues[BATCH],
        payload="work",
        steps=(step,),
    )


def run_in_world(scenario, seed=1):
    async def run():
        world = BatchWorld(seed, workers=6)
        world.start()
        # The workers' clocks are ahead of those of later incarnations.
        await asyncio.sleep(20.0)
        try:
            return await scenario(world)
        finally:
            await world.stop()
            assert world.ledger.find_violations(world.submitted) == []

    return run_virtual(run())


@pytest.mark.parametrize("step", STEPS.values(), ids=STEPS)
@pytest.mark.parametrize("kills_leader", [False, True])
def test_job_goes_on_once_its_lost_worker_is_gone(step, kills_leader):
    """Guards against a job that stands still after a zone is lost (review/12).

    The order to start it may have been carried out until 13 s after that.
    """
    job = make_job(step)

    async def scenario(world):
        worker_id = await lose_at_start(world, job)
        lost_at = world.clock()
        if kills_leader:
            await next(n for n in world.nodes if n.is_leader).kill()
        await asyncio.sleep(LAPSE_S)
        world.unlist(worker_id)
        assert await world.wait_for_jobs(40.0) == []
        return max(e.started_at for e in world.ledger.entries) - lost_at

    began_s = run_in_world(scenario)
    assert LAPSE_S + GONE_AFTER_S < began_s < FINISH_S


@pytest.mark.parametrize("seed", range(1, 6))
def test_job_does_not_run_beside_a_late_start_on_a_worker_that_is_listed(seed):
    """Guards against two runs where a worker that isn't heard from is alive.

    It starts again behind a network cut, carries the order out late and is on
    the list all the time.
    """
    job = make_job(msgspec.structs.replace(STEPS["task"], estimate_s=6.0))

    async def scenario(world):
        for worker in world.workers.values():
            worker.lose_share = worker.late_share = 1.0
        await world.submit(job, world.nodes[0])
        worker_id = await first_named_worker(world, job)
        await asyncio.sleep(0.1)
        for worker in world.workers.values():
            worker.lose_share = worker.late_share = 0.0
        world.restart_worker(worker_id)
        world.workers[worker_id].is_cut_off = True
        assert await world.wait_for_jobs(40.0) == []
        return any(e.late for e in world.ledger.entries)

    assert run_in_world(scenario, seed)
