"""Tests of gangs whose leader is killed as it is about to start them."""

import asyncio

import pytest

from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.records import JOBS_TABLE
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    URGENT,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

WHOLE = Resources(64_000, 128_000, 8)
# Time after a kill by which another node leads and has heard the workers, and
# the longest time for which a job may then stand still, in seconds.
TAKEOVER_S = 4.0
MAX_STANDSTILL_S = 3.0


def make_job(queue, step):
    return BatchJob(
        job_id=JobId("5c0e7a21d94b36f8"),
        queue=queue,
        organisation=ORGANISATION,
        accepted_under=CATALOGUE.queues[queue],
        payload="work",
        steps=(step,),
    )


async def wait_for(condition):
    while not condition():
        await asyncio.sleep(0.0005)


def names_open_start(world, job):
    row = world.tables.read(JOBS_TABLE, job.job_id)
    return bool(row.value and row.value.get("open_starts"))


async def kill_leader(world, delay_s):
    await asyncio.sleep(delay_s)
    leader = next(each for each in world.nodes if each.is_leader)
    await leader.kill()
    await asyncio.sleep(0.5)
    leader.start()


def run_with_kills(job, kills, delay_s):
    """Has leaders killed; returns when the job began after the last kill."""

    async def scenario():
        world = BatchWorld(1)
        world.start()
        await asyncio.sleep(3.0)
        await world.submit(job, world.nodes[0])
        await wait_for(lambda: names_open_start(world, job))
        await kill_leader(world, delay_s)
        for _ in range(kills - 1):
            await wait_for(lambda: any(e.is_leader for e in world.nodes))
            await kill_leader(world, 0.05)
        killed_at = world.clock()
        left = await world.wait_for_jobs(TAKEOVER_S + 20.0)
        ended = world.clock()
        await world.stop()
        assert left == []
        assert world.ledger.find_violations(world.submitted) == []
        status, _ = world.finished[job.job_id]
        assert status is JobStatus.COMPLETED
        return ended - killed_at

    return run_virtual(scenario())


# The start isn't sent, is under way, is answered, and has been written off.
@pytest.mark.parametrize("delay_s", [0.0, 0.005, 0.01, 0.03, 0.3])
@pytest.mark.parametrize("kills", [1, 2, 3])
@pytest.mark.parametrize(
    ("queue", "step"),
    [
        pytest.param(
            URGENT, Step(4, WHOLE, 1.0, gang=True), id="whole-workers"
        ),
        pytest.param(
            BATCH,
            Step(6, Resources(8_000, 8_000, 4), 1.0, gang=True),
            id="half",
        ),
        pytest.param(
            BATCH, Step(6, Resources(8_000, 8_000, 4), 1.0), id="tasks"
        ),
    ],
)
def test_job_goes_on_soon_after_its_leaders_were_killed(
    queue, step, kills, delay_s
):
    """Guards against a gang that stands still for 15 s on empty workers."""
    took_s = run_with_kills(make_job(queue, step), kills, delay_s)
    assert took_s < TAKEOVER_S + MAX_STANDSTILL_S + step.estimate_s
