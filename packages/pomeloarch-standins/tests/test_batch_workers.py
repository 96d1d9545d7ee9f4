"""Tests of the models of workers, of their links and of the nodes' gates."""

import asyncio

import pytest
from result import Err, Ok

from pomeloarch_core.batch.messages import (
    RunEnd,
    RunNumber,
    StartOutcome,
    StartTask,
    TaskId,
)
from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.ids import Epoch, JobId, NodeId, WorkerId
from pomeloarch_node.batch.ports import OrderFailure
from pomeloarch_node.platform import Write
from pomeloarch_standins.batch_workers import TIMEOUT_S
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    WORKERS_TABLE,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

W0, W1 = WorkerId("w0"), WorkerId("w1")
NODE = NodeId("node-0")
FENCE = Epoch(7)
DURATION_S = 1.0
SMALL = Resources(1_000, 1_000, 1)
# A task that takes a worker's whole capacity, which is 8 accelerators.
WHOLE = Resources(64_000, 128_000, 8)


def job_id(number):
    return JobId(f"{number:016x}")


def task(number=1):
    return TaskId(job_id(number), 0, 0, 0)


def order(worker_id=W0, run=1, number=1):
    return StartTask(worker_id, task(number), RunNumber(run), "work", "")


def run_with_workers(scenario, need=SMALL):
    """Runs a scenario in a world whose workers run and whose nodes don't.

    Jobs 1 to 3 have one task each, which needs `need`.
    """

    async def run():
        world = BatchWorld(1, nodes=2, workers=2)
        for number in (1, 2, 3):
            world.submitted[job_id(number)] = BatchJob(
                job_id=job_id(number),
                queue=BATCH,
                organisation=ORGANISATION,
                accepted_under=CATALOGUE.queues[BATCH],
                payload="work",
                steps=(Step(count=1, need=need, estimate_s=DURATION_S),),
            )
        advancing = asyncio.create_task(world._advance_workers())
        try:
            return await scenario(world)
        finally:
            advancing.cancel()

    return run_virtual(run())


def link_of(world, worker_id=W0, node=0):
    worker = world.workers[worker_id]
    return world.open_from(world.nodes[node].name, worker.info)


async def start(world, deadline_ms=5000, worker_id=W0, run=1, number=1):
    return await link_of(world, worker_id).start(
        order(worker_id, run, number), FENCE, deadline_ms
    )


@pytest.mark.parametrize("rate", [1.0, 0.98])
def test_lease_ends_by_the_clock_of_the_worker(rate):
    async def scenario(world):
        worker = world.workers[W0]
        worker.clock_rate = rate
        await asyncio.sleep(10.0)
        clock_ms = worker.clock_ms()
        steps = (Step(count=1, need=WHOLE, estimate_s=9.0),)
        world.submitted[job_id(1)] = BatchJob(
            job_id(1), BATCH, ORGANISATION, CATALOGUE.queues[BATCH], "", steps
        )
        await start(world, clock_ms + 3000)
        await asyncio.sleep(5.0)
        (entry,) = world.ledger.entries
        return clock_ms, entry.outcome, entry.ended_at

    clock_ms, outcome, ended_at = run_with_workers(scenario)
    assert clock_ms == pytest.approx(10_000 * rate, abs=1)
    assert outcome is RunEnd.LAPSED
    assert ended_at == pytest.approx(10.0 + 3.0 / rate, abs=0.03)


def test_change_of_rate_does_not_set_the_clock():
    async def scenario(world):
        worker = world.workers[W0]
        await asyncio.sleep(10.0)
        worker.clock_rate = 0.5
        first = worker.clock_ms()
        await asyncio.sleep(10.0)
        return first, worker.clock_ms()

    first, second = run_with_workers(scenario)
    assert first == pytest.approx(10_000, abs=1)
    assert second == pytest.approx(15_000, abs=1)


def test_restarted_worker_keeps_its_id_and_nothing_else():
    async def scenario(world):
        await asyncio.sleep(1.0)
        await start(world)
        world.restart_worker(W0)
        worker = world.workers[W0]
        entry = world.tables.read(WORKERS_TABLE, W0).value
        # An earlier fence is accepted, and the number of the run is free.
        again = await link_of(world).start(order(), Epoch(1), 2000)
        return (
            worker.clock_ms(),
            entry["incarnation"],
            again.ok_value.outcome,
            [each.outcome for each in world.ledger.entries],
        )

    clock_ms, incarnation, outcome, outcomes = run_with_workers(scenario)
    assert clock_ms < 100
    assert incarnation == 2
    assert outcome is StartOutcome.STARTED
    assert outcomes == [None, None]


def test_restart_does_not_list_a_worker_that_is_not_listed():
    async def scenario(world):
        world.unlist(W0)
        world.restart_worker(W0)
        return world.tables.read(WORKERS_TABLE, W0).version

    assert run_with_workers(scenario) == 0


def test_replaced_worker_refuses_orders_to_its_former_id():
    async def scenario(world):
        former = link_of(world)
        new_id = world.replace_worker(W0)
        unlisted = world.tables.read(WORKERS_TABLE, W0).version == 0
        world.relist(new_id)
        answers = [
            await former.start(order(), FENCE, 5000),
            await former.stop(str(task()), RunNumber(1), FENCE),
            await former.renew(FENCE, 0, 5000, 0.5),
            await former.pace(str(task()), RunNumber(1), 50, FENCE),
        ]
        accepted = await start(world, worker_id=new_id)
        listed = world.tables.read(WORKERS_TABLE, new_id).value["worker_id"]
        return (
            unlisted,
            answers,
            accepted.ok_value.outcome,
            listed == new_id,
            [each.worker for each in world.ledger.entries] == [new_id],
            set(world.workers) == {new_id, W1},
        )

    assert run_with_workers(scenario) == (
        True,
        [Err(OrderFailure.OTHER_WORKER)] * 4,
        StartOutcome.STARTED,
        True,
        True,
        True,
    )


COMEBACKS = {
    "under its id": (BatchWorld.restart_worker, 1),
    "under a new id": (BatchWorld.replace_worker, 0),
}


@pytest.mark.parametrize(
    ("come_back", "runs"), COMEBACKS.values(), ids=COMEBACKS.keys()
)
def test_late_start_after_a_restart(come_back, runs):
    async def scenario(world):
        worker = world.workers[W0]
        worker.lose_share = worker.late_share = 1.0
        answer = await start(world, deadline_ms=20_000)
        come_back(world, W0)
        await asyncio.sleep(13.0)
        return answer, [each.late for each in world.ledger.entries]

    answer, late = run_with_workers(scenario)
    assert answer == Err(OrderFailure.NO_ANSWER)
    assert late == [True] * runs


def test_late_renewal_acknowledges_ends_of_a_later_incarnation():
    async def scenario(world):
        worker = world.workers[W0]
        worker.lose_share = worker.late_share = 1.0
        await link_of(world).renew(FENCE, 1, None, 0.0)
        worker.lose_share = 0.0
        world.restart_worker(W0)
        await start(world)
        for _ in range(13):
            await asyncio.sleep(1.0)
            state = await link_of(world).renew(
                FENCE, 0, worker.clock_ms() + 5000, 0.0
            )
        (entry,) = world.ledger.entries
        return entry.acknowledged, state.ok_value.ended

    assert run_with_workers(scenario) == (True, ())


PATHS = {
    "open": ("", Ok, 1),
    "cut": ("cut_paths", Err, 0),
    "deaf": ("deaf_paths", Err, 1),
}


@pytest.mark.parametrize(("state", "answer", "runs"), PATHS.values(), ids=PATHS)
def test_path_of_one_node_to_one_worker(state, answer, runs):
    async def scenario(world):
        links = [link_of(world), link_of(world, W1)]
        other = link_of(world, node=1)
        if state:
            getattr(world, state).add((NODE, W0))
        first = await links[0].start(order(), FENCE, 5000)
        started = len(world.ledger.entries)
        second = await links[1].start(order(W1, number=2), FENCE, 5000)
        third = await other.renew(FENCE, 0, None, 0.0)
        if state:
            getattr(world, state).clear()
        last = await links[0].renew(FENCE, 0, None, 0.0)
        return type(first), started, [type(e) for e in (second, third, last)]

    assert run_with_workers(scenario) == (answer, runs, [Ok, Ok, Ok])


def test_answer_on_its_way_is_lost_when_the_path_is_cut():
    async def scenario(world):
        renewal = asyncio.create_task(
            link_of(world).renew(FENCE, 0, None, wait_s=0.5)
        )
        await asyncio.sleep(0.1)
        world.cut_paths.add((NODE, W0))
        answer = await renewal
        return answer, asyncio.get_running_loop().time()

    answer, ended_at = run_with_workers(scenario)
    assert answer == Err(OrderFailure.NO_ANSWER)
    assert ended_at == pytest.approx(TIMEOUT_S + 0.5)


def test_worker_that_crashes_while_it_holds_back_an_answer_gives_none():
    async def scenario(world):
        renewal = asyncio.create_task(
            link_of(world).renew(FENCE, 0, None, wait_s=0.5)
        )
        await asyncio.sleep(0.1)
        world.restart_worker(W0)
        return await renewal

    assert run_with_workers(scenario) == Err(OrderFailure.NO_ANSWER)


def test_order_of_a_caller_that_gave_up_is_carried_out():
    async def scenario(world):
        call = asyncio.create_task(start(world))
        await asyncio.sleep(0.001)
        call.cancel()
        await asyncio.sleep(0.1)
        return len(world.ledger.entries)

    assert run_with_workers(scenario) == 1


AFTER_FREEZE = {
    "the node goes on": (False, False, 1),
    "the caller gives up": (True, False, 1),
    "the node is killed": (False, True, 0),
}


@pytest.mark.parametrize(
    ("gives_up", "killed", "runs"), AFTER_FREEZE.values(), ids=AFTER_FREEZE
)
def test_order_of_a_frozen_node_leaves_when_it_thaws(gives_up, killed, runs):
    async def scenario(world):
        node = world.nodes[0]
        node.freeze()
        call = asyncio.create_task(start(world, deadline_ms=9000))
        await asyncio.sleep(4.0)
        while_frozen = len(world.ledger.entries)
        if gives_up:
            call.cancel()
        if killed:
            await node.kill()
        node.thaw()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.1)
        return while_frozen, len(world.ledger.entries)

    assert run_with_workers(scenario) == (0, runs)


FREEZES = {
    "shorter than the time-out": (0.5, Ok),
    "longer than the time-out": (2.0, Err),
}


@pytest.mark.parametrize(
    ("frozen_s", "answer_type"), FREEZES.values(), ids=FREEZES
)
def test_answer_to_a_frozen_node(frozen_s, answer_type):
    async def scenario(world):
        node = world.nodes[0]
        call = asyncio.create_task(start(world))
        await asyncio.sleep(0.001)
        node.freeze()
        await asyncio.sleep(frozen_s)
        held_up = not call.done() and len(world.ledger.entries) == 1
        node.thaw()
        return held_up, type(await call)

    assert run_with_workers(scenario) == (True, answer_type)


def test_frozen_node_writes_to_the_store_when_it_thaws():
    async def scenario(world):
        node = world.nodes[0]
        node.freeze()
        write = asyncio.create_task(
            node.role._platform.transact([], [Write("table", "key", 1)])
        )
        await asyncio.sleep(3.0)
        while_frozen = world.tables.read("table", "key").version
        node.thaw()
        answer = await write
        return while_frozen, type(answer), world.tables.read("table", "key")

    while_frozen, answer_type, row = run_with_workers(scenario)
    assert while_frozen == 0
    assert answer_type is Err
    assert row.value == 1
