"""What a term's beginning reads, and that later changes are not lost by it."""

import asyncio
import os
import random

import pytest
from result import Err, Ok

from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.leader_load import REPORT_INTERVAL_S, LeaderLoad
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import HistoryGone, TableChanges
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    ROSTER_TABLE,
    SPECS_TABLE,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Row
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

TABLE = "t"


def make_job(number, seconds=0.5):
    queue = CATALOGUE.queues[BATCH]
    return BatchJob(
        JobId(f"{number:016x}"),
        BATCH,
        ORGANISATION,
        queue,
        "payload",
        (Step(count=1, estimate_s=seconds),),
    )


def make_log():
    return DecisionLog("n", Metrics(), os.open(os.devnull, os.O_WRONLY))


class ScriptedStore:
    """Answers each read with the next of the given answers, in any order."""

    def __init__(self):
        self.pending = []

    async def snapshot(self, table):
        return await self._ask("snapshot")

    async def changes(self, table, after, wait_s):
        return await self._ask(after)

    async def _ask(self, what):
        answer = asyncio.get_running_loop().create_future()
        self.pending.append((what, answer))
        return await answer

    async def answer(self, which, version, *rows):
        """Answers a pending call with rows, given as key and version."""
        _, answer = self.pending.pop(which)
        found = tuple(Row(TABLE, key, at, f"{key}{at}") for key, at in rows)
        answer.set_result(Ok(TableChanges(found, version)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)


def make_mirror(store):
    loop = asyncio.get_running_loop()
    return TableMirror(store, TABLE, loop.time, make_log(), 0.5, 0.1)


async def loaded_mirror(store):
    mirror = make_mirror(store)
    loading = asyncio.create_task(mirror.refresh())
    await asyncio.sleep(0)
    await store.answer(0, 5, ("a", 3))
    assert await loading
    return mirror


@pytest.mark.parametrize("newer_first", [False, True])
def test_answers_that_overtake_each_other_leave_the_newest_rows(newer_first):
    async def scenario():
        store = ScriptedStore()
        mirror = await loaded_mirror(store)
        calls = [asyncio.create_task(mirror.refresh()) for _ in range(2)]
        await asyncio.sleep(0)
        assert [what for what, _ in store.pending] == [5, 5]
        if newer_first:
            await store.answer(1, 9, ("a", 9), ("b", 7))
            await store.answer(0, 7, ("a", 6), ("b", 7))
        else:
            await store.answer(0, 7, ("a", 6), ("b", 7))
            await store.answer(0, 9, ("a", 9), ("b", 7))
        assert await asyncio.gather(*calls) == [True, True]
        return mirror.rows, mirror.version

    assert run_virtual(scenario()) == ({"a": "a9", "b": "b7"}, 9)


def test_older_snapshot_does_not_replace_a_newer_one():
    async def scenario():
        store = ScriptedStore()
        mirror = make_mirror(store)
        calls = [asyncio.create_task(mirror.refresh()) for _ in range(2)]
        await asyncio.sleep(0)
        await store.answer(1, 8, ("a", 8))
        await store.answer(0, 5, ("a", 3))
        await asyncio.gather(*calls)
        return mirror.rows, mirror.version

    assert run_virtual(scenario()) == ({"a": "a8"}, 8)


def test_table_whose_history_is_gone_is_read_anew():
    async def scenario():
        store = ScriptedStore()
        mirror = await loaded_mirror(store)
        refreshing = asyncio.create_task(mirror.refresh())
        await asyncio.sleep(0)
        (what, answer) = store.pending.pop()
        assert what == 5
        answer.set_result(Err(HistoryGone()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert store.pending[0][0] == "snapshot"
        await store.answer(0, 99, ("c", 98))
        assert await refreshing
        return mirror.rows, mirror.version

    assert run_virtual(scenario()) == ({"c": "c98"}, 99)


def test_mirror_that_was_interrupted_goes_on_where_it_was():
    async def scenario():
        tables = FeedTables()
        link = StoreLink(tables, random.Random(1))
        tables.put(TABLE, "a", 1)
        mirror = make_mirror(link)
        seen = []
        mirror.subscribe(lambda changes, whole: seen.append(whole))
        for number in range(3):
            following = asyncio.create_task(mirror.run())
            await asyncio.sleep(1.0)
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
            tables.put(TABLE, "a", number + 2)
        assert await mirror.refresh()
        return mirror.rows, seen.count(True)

    assert run_virtual(scenario()) == ({"a": 4}, 1)


class CountingLink:
    """Counts the tables that a node reads as a whole."""

    def __init__(self, node):
        self.tables = []
        snapshot = node.link.snapshot

        async def count(table, *args):
            self.tables.append(table)
            return await snapshot(table, *args)

        node.link.snapshot = count


def run_world(scenario, **more):
    async def play():
        world = BatchWorld(7, **more)
        world.start()
        try:
            return await scenario(world)
        finally:
            await world.stop()

    return run_virtual(play())


async def submit(world, *numbers, seconds=0.5):
    for number in numbers:
        await world.submit(make_job(number, seconds), world.nodes[0])


def test_submission_is_deleted_when_its_job_has_ended():
    async def scenario(world):
        await asyncio.sleep(3.0)
        await submit(world, 1, 2)
        await submit(world, 3, seconds=60.0)
        await asyncio.sleep(8.0)
        rows = world.tables.rows(SPECS_TABLE)
        states = [
            await world.status(each, world.nodes[0]) for each in world.accepted
        ]
        return [row.key for row in rows], states

    keys, states = run_world(scenario)
    assert keys == [f"{3:016x}"]
    assert states == [
        JobStatus.COMPLETED,
        JobStatus.COMPLETED,
        JobStatus.RUNNING,
    ]


def test_submission_that_comes_again_after_the_end_starts_nothing():
    async def scenario(world):
        await asyncio.sleep(3.0)
        await submit(world, 1)
        await asyncio.sleep(4.0)
        runs = len(world.ledger.entries)
        await submit(world, 1)
        await asyncio.sleep(2.0)
        return runs, len(world.ledger.entries)

    before, after = run_world(scenario)
    assert before == after == 1


def leader_of(world):
    return next(each for each in world.nodes if each.is_leader)


def test_leader_that_regains_its_role_reads_only_what_has_changed():
    """Guards against terms that end by the load of their own beginning."""

    async def scenario(world):
        await asyncio.sleep(3.0)
        await submit(world, *range(1, 9), seconds=30.0)
        await asyncio.sleep(2.0)
        node = leader_of(world)
        counting = CountingLink(node)
        node.role.abandon(node.role.epoch())
        await asyncio.sleep(0.1)
        await submit(world, 9, seconds=0.5)
        await asyncio.sleep(6.0)
        started = {run.task.job_id for run in world.ledger.entries}
        return counting.tables, len(started), leader_of(world) is node

    tables, started, still_leads = run_world(scenario, nodes=1, workers=16)
    assert still_leads
    assert tables
    assert set(tables) <= {ROSTER_TABLE, "model_workers"}
    assert started == 9


def test_successor_reads_the_jobs_from_the_table_that_it_follows():
    async def scenario(world):
        await asyncio.sleep(3.0)
        await submit(world, *range(1, 5), seconds=20.0)
        await asyncio.sleep(2.0)
        former = leader_of(world)
        others = [each for each in world.nodes if each is not former]
        counts = [CountingLink(each) for each in others]
        await former.kill()
        await world.submit(make_job(9), others[0])
        left = await world.wait_for_jobs(60.0)
        read = {table for each in counts for table in each.tables}
        return left, read

    left, read = run_world(scenario, workers=8)
    assert left == []
    assert JOBS_TABLE not in read
    assert SPECS_TABLE in read


class LoadLog:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def test_load_of_a_leader_is_logged_every_few_seconds():
    async def scenario():
        loop = asyncio.get_running_loop()
        log = LoadLog()
        load = LeaderLoad(loop.time, log, Metrics(), lambda: loop.time() * 0.25)
        task = asyncio.create_task(load.run())
        load.record_round(0.4, 0.2)
        load.record_round(0.1, 0.1)
        load.record_event()
        load.record_orders(3)
        load.record_renewal(0.0)
        load.record_renewal(2.0)
        load.record_lag(0.6)
        await asyncio.sleep(2.5 * REPORT_INTERVAL_S)
        task.cancel()
        return log.lines

    (event, first), (_, second) = run_virtual(scenario())
    assert event == "leader load"
    assert first["cpu_share"] == 0.25
    assert first["lag_worst_s"] == 0.6
    assert (first["rounds"], first["round_worst_s"]) == (2, 0.2)
    assert first["event_waited_worst_s"] == 0.4
    assert (first["renewals"], first["renewals_late"]) == (2, 1)
    assert (first["events"], first["orders"]) == (1, 3)
    assert second["rounds"] == second["lag_worst_s"] == 0
