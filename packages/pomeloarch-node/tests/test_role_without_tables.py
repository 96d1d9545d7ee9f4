"""Tests of a node that gains the scheduler's role before it has its tables."""

import asyncio

import pytest
from result import Err

from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.records import JOBS_TABLE
from pomeloarch_node.platform import PlatformError, PlatformFailure
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

# How long the client of the platform's store waits for a page of a table, in
# seconds.
PAGE_S = 4.0
LOST = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")


def make_job(number):
    return BatchJob(
        job_id=JobId(f"{number:016x}"),
        queue=BATCH,
        organisation=ORGANISATION,
        accepted_under=CATALOGUE.queues[BATCH],
        payload="work",
        steps=(Step(count=1, need=Resources(8_000, 8_000, 1), estimate_s=1.0),),
    )


def lose_first_page(link):
    """Makes a node's next read of the table of jobs fail after a timeout."""
    snapshot = link.snapshot

    async def lossy(table, strategy):
        if table != JOBS_TABLE:
            return await snapshot(table, strategy)
        link.snapshot = snapshot
        await asyncio.sleep(PAGE_S)
        return Err(LOST)

    link.snapshot = lossy


@pytest.mark.parametrize("lost", [False, True], ids=["intact", "a page lost"])
def test_restarted_leader_without_its_tables_leaves_the_role_to_others(lost):
    """Guards against a scheduler that does nothing for 4 s.

    A restarted node regained the role of its former process at once and kept it
    while it waited for tables without which it couldn't act.
    """

    async def scenario():
        world = BatchWorld(1)
        world.start()
        await asyncio.sleep(3.0)
        (leader,) = [each for each in world.nodes if each.is_leader]
        (other, _) = [each for each in world.nodes if each is not leader]
        await leader.kill()
        if lost:
            lose_first_page(leader.link)
        leader.start()
        await asyncio.sleep(0.3)
        began = world.clock()
        await world.submit(make_job(1), other)
        while not world.ledger.entries:
            await asyncio.sleep(0.05)
        took_s = world.clock() - began
        await world.stop()
        return took_s

    # The longest change of holder under the lease of `BatchWorld`, in seconds.
    assert run_virtual(scenario()) < 3.0
