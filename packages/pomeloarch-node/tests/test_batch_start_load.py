"""Tests of the load of starting many tasks at once."""

import asyncio

from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.ids import JobId
from pomeloarch_standins.batch_workers import ModelLink
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

# Number of connections that a node has to a worker.
CONNECTIONS = 16


def test_starts_under_way_to_a_worker_fit_its_connections(monkeypatch):
    """Guards against a livelock of thousands of small tasks.

    An order that waits for a connection times out there and is sent again, so
    that the load of starting tasks costs the leader its role.
    """
    under_way = most = 0
    start = ModelLink.start

    async def count(self, order, fence, deadline_ms):
        nonlocal under_way, most
        under_way += 1
        most = max(most, under_way)
        try:
            return await start(self, order, fence, deadline_ms)
        finally:
            under_way -= 1

    monkeypatch.setattr(ModelLink, "start", count)
    step = Step(count=200, need=Resources(110, 16, 0), estimate_s=1.5)
    job = BatchJob(
        job_id=JobId("5c0e7a21d94b36f8"),
        queue=BATCH,
        organisation=ORGANISATION,
        accepted_under=CATALOGUE.queues[BATCH],
        payload="work",
        steps=(step,),
    )

    async def scenario():
        world = BatchWorld(1, workers=1)
        world.start()
        await asyncio.sleep(3.0)
        await world.submit(job, world.nodes[0])
        left = await world.wait_for_jobs(20.0)
        await world.stop()
        return left

    assert run_virtual(scenario()) == []
    assert most <= CONNECTIONS
