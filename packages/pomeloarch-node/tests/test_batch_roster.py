"""Tests of the roster's rows when answers of the store are lost."""

import asyncio

import pytest
from result import Err

from pomeloarch_core.batch.messages import RosterEntry, RosterWritten
from pomeloarch_core.ids import WorkerId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.records import (
    ROSTER_TABLE,
    SHARDS,
    TERMS_TABLE,
    term_key,
)
from pomeloarch_node.batch.roster import Roster
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Check, PlatformError, PlatformFailure
from pomeloarch_standins.batch_world import BatchWorld
from pomeloarch_standins.virtual_time import run_virtual

WORKER = WorkerId("w")
ANY_TASK = RosterEntry("a:1")
NAMED_TASK = RosterEntry("a:1", ("1.0.0.0",))


class LosingStore:
    """Carries writes out, but loses the answers of chosen ones."""

    def __init__(self, link, lost):
        self._link = link
        self._lost = set(lost)
        self.writes = 0

    async def transact(self, checks, writes):
        answer = await self._link.transact(checks, writes)
        self.writes += 1
        if self.writes in self._lost:
            return Err(PlatformError(PlatformFailure.UNKNOWN, "lost"))
        return answer


async def write_roster(wanted, lost):
    """Writes entries in turn; returns the events and what the store holds."""
    world = BatchWorld(1)
    for shard in range(SHARDS):
        world.tables.put(TERMS_TABLE, term_key(shard), 1)
    checks = {
        shard: Check(
            TERMS_TABLE,
            term_key(shard),
            world.tables.read(TERMS_TABLE, term_key(shard)).version,
        )
        for shard in range(SHARDS)
    }
    link = world.nodes[0].link
    enrolled = []
    log = DecisionLog("n", Metrics(), world.log_fd, world.clock)
    roster = Roster(LosingStore(link, lost), checks, enrolled.append, log)
    running = asyncio.create_task(roster.run())
    for entry in wanted:
        roster.set_entries({WORKER: entry})
        await asyncio.sleep(0.1)
    await asyncio.sleep(2.0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    reader = Roster(link, checks, enrolled.append, log)
    held = await reader.load()
    return enrolled, held


@pytest.mark.parametrize("lost", [(), (1,), (2,), (3,), (1, 2, 3)])
@pytest.mark.parametrize(
    ("wanted", "held", "enrolled"),
    [
        ([ANY_TASK], ANY_TASK, True),
        ([ANY_TASK, NAMED_TASK], NAMED_TASK, False),
        ([ANY_TASK, NAMED_TASK, ANY_TASK], ANY_TASK, True),
    ],
)
def test_worker_counts_as_enrolled_only_where_the_row_says_so(
    wanted, held, enrolled, lost
):
    events, rows = run_virtual(write_roster(wanted, lost))
    assert rows == {WORKER: held}
    assert events[-1] == RosterWritten(frozenset({WORKER} if enrolled else ()))


async def load_roster(value):
    world = BatchWorld(1)
    world.tables.put(ROSTER_TABLE, "3", value)
    log = DecisionLog("n", Metrics(), world.log_fd, world.clock)
    roster = Roster(world.nodes[0].link, {}, lambda event: None, log)
    return await roster.load()


@pytest.mark.parametrize(
    ("case", "value", "entry"),
    [
        ("any task", {"w": {"address": "a:1"}}, ANY_TASK),
        (
            "named",
            {"w": {"address": "a:1", "may_run": ["1.0.0.0"]}},
            NAMED_TASK,
        ),
        ("written by an earlier version", {"w": "a:1"}, ANY_TASK),
    ],
)
def test_stored_rows_are_decoded(case, value, entry):
    assert run_virtual(load_roster(value)) == {WORKER: entry}


async def is_enrolled_after_failure(failure):
    world = BatchWorld(1)
    world.tables.put(TERMS_TABLE, term_key(0), 1)
    version = world.tables.read(TERMS_TABLE, term_key(0)).version
    checks = {
        n: Check(TERMS_TABLE, term_key(0), version) for n in range(SHARDS)
    }
    enrolled = []
    store = RefusingStore(world.nodes[0].link, failure)
    log = DecisionLog("n", Metrics(), world.log_fd, world.clock)
    roster = Roster(store, checks, enrolled.append, log)
    running = asyncio.create_task(roster.run())
    roster.set_entries({WORKER: ANY_TASK})
    await asyncio.sleep(0.1)
    store.refusing = True
    others = {WorkerId(str(n)): ANY_TASK for n in range(100)}
    roster.set_entries({WORKER: ANY_TASK, **others})
    await asyncio.sleep(5.0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return WORKER in enrolled[-1].worker_ids


class RefusingStore:
    """Fails all writes once `refusing` is set."""

    def __init__(self, link, failure):
        self._link = link
        self._failure = failure
        self.refusing = False

    async def transact(self, checks, writes):
        if self.refusing:
            return Err(PlatformError(self._failure, "no"))
        return await self._link.transact(checks, writes)


@pytest.mark.parametrize(
    ("failure", "enrolled"),
    [(PlatformFailure.NOT_DONE, True), (PlatformFailure.UNKNOWN, False)],
)
def test_row_is_unknown_only_after_a_write_of_unknown_outcome(
    failure, enrolled
):
    assert run_virtual(is_enrolled_after_failure(failure)) == enrolled
