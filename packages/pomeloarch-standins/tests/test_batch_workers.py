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


@pytest.mark.parametrize(
    ("silently", "ends_at"), [(True, TIMEOUT_S + 0.5), (False, 0.1)]
)
def test_worker_that_crashes_while_it_holds_back_an_answer_gives_none(
    silently, ends_at
):
    async def scenario(world):
        world.workers[W0].crashes_silently = silently
        renewal = asyncio.create_task(
            link_of(world).renew(FENCE, 0, None, wait_s=0.5)
        )
        await asyncio.sleep(0.1)
        world.restart_worker(W0)
        return await renewal, world.clock()

    answer, ended_at = run_with_workers(scenario)
    assert answer == Err(OrderFailure.NO_ANSWER)
    assert ended_at == pytest.approx(ends_at, abs=0.03)


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


def set_steps(world, number, **settings):
    """Gives a job one step with these settings."""
    step = Step(**{"count": 1, "estimate_s": DURATION_S, **settings})
    world.submitted[job_id(number)] = BatchJob(
        job_id(number),
        BATCH,
        ORGANISATION,
        CATALOGUE.queues[BATCH],
        "work",
        (step,),
    )


# A second order, given 0.5 s after a start with a deadline at 2,000 ms: its
# kind, the run's number, its task, its deadline, the outcome, and when the
# first run ends.
SECOND_ORDERS = {
    "none": ("", 0, 0, 0, None, 2.0),
    "renewal": ("renew", 0, 0, 3500, None, 3.5),
    "renewal with a shorter lease": ("renew", 0, 0, 1000, None, 2.0),
    "renewal with an expired lease": ("renew", 0, 0, 100, None, 2.0),
    "renewal without a lease": ("renew", 0, 0, None, None, 2.0),
    "renewal with too long a lease": ("renew", 0, 0, 30_000, None, 6.5),
    "repeated start": ("start", 2, 1, 3500, StartOutcome.STARTED, 3.5),
    "start of an older run": ("start", 1, 1, 3500, StartOutcome.OLD_RUN, 3.5),
    "start without room": ("start", 1, 2, 3500, StartOutcome.NO_ROOM, 3.5),
    "start with an expired lease": (
        "start",
        1,
        2,
        100,
        StartOutcome.TOO_LATE,
        2.0,
    ),
    "start with an earlier lease": (
        "start",
        1,
        2,
        1000,
        StartOutcome.NO_ROOM,
        2.0,
    ),
}


@pytest.mark.parametrize(
    ("kind", "run", "number", "deadline_ms", "outcome", "ends_at"),
    SECOND_ORDERS.values(),
    ids=SECOND_ORDERS,
)
def test_lease_after_a_second_order(
    kind, run, number, deadline_ms, outcome, ends_at
):
    async def scenario(world):
        set_steps(world, 1, estimate_s=9.0, need=WHOLE)
        await start(world, 2000, run=2)
        await asyncio.sleep(0.5 - world.clock())
        answered = None
        if kind == "renew":
            await link_of(world).renew(FENCE, 0, deadline_ms, 0.0)
        elif kind == "start":
            answer = await start(world, deadline_ms, run=run, number=number)
            answered = answer.ok_value.outcome
        await asyncio.sleep(8.0)
        return answered, world.ledger.entries

    answered, (entry,) = run_with_workers(scenario)
    assert answered is outcome
    assert entry.outcome is RunEnd.LAPSED
    assert entry.ended_at == pytest.approx(ends_at, abs=0.04)


@pytest.mark.parametrize(
    ("deadline_ms", "outcome"),
    [(1150, StartOutcome.TOO_LATE), (1250, StartOutcome.STARTED)],
)
def test_deadline_is_a_time_of_the_clock_of_the_worker(deadline_ms, outcome):
    """The worker's clock is at 1200 ms when the order arrives."""

    async def scenario(world):
        await asyncio.sleep(1.0)
        world.restart_worker(W0)
        await asyncio.sleep(1.2)
        return (await start(world, deadline_ms)).ok_value.outcome

    assert run_with_workers(scenario) is outcome


STOPS = {
    "a lower run is stopped": (2, 1, StartOutcome.OLD_RUN, 0),
    "the same run is stopped": (2, 2, StartOutcome.OLD_RUN, 0),
    "a higher run is stopped": (2, 3, StartOutcome.STARTED, 1),
}


@pytest.mark.parametrize(
    ("stopped", "started", "outcome", "runs"), STOPS.values(), ids=STOPS
)
def test_stop_of_a_run_that_is_not_there(stopped, started, outcome, runs):
    async def scenario(world):
        await link_of(world).stop(str(task()), RunNumber(stopped), FENCE)
        answer = await start(world, run=started)
        return answer.ok_value.outcome, len(world.ledger.entries)

    assert run_with_workers(scenario) == (outcome, runs)


def test_run_that_ended_is_not_started_again_but_a_higher_one_is():
    async def scenario(world):
        await start(world, run=2)
        await asyncio.sleep(DURATION_S + 0.1)
        answers = [await start(world, run=number) for number in (1, 2, 3)]
        return [each.ok_value.outcome for each in answers]

    assert run_with_workers(scenario) == [
        StartOutcome.OLD_RUN,
        StartOutcome.OLD_RUN,
        StartOutcome.STARTED,
    ]


LOWER_FENCE = Epoch(6)
ORDERS = {
    "start": lambda link: link.start(order(), LOWER_FENCE, 5000),
    "stop": lambda link: link.stop(str(task()), RunNumber(1), LOWER_FENCE),
    "renewal": lambda link: link.renew(LOWER_FENCE, 1, 9000, 0.0),
    "pace": lambda link: link.pace(str(task()), RunNumber(1), 50, LOWER_FENCE),
}
FENCING = {
    "start": lambda link: link.start(order(run=9, number=2), FENCE, 0),
    "stop": lambda link: link.stop(str(task(3)), RunNumber(1), FENCE),
    "renewal": lambda link: link.renew(FENCE, 0, None, 0.0),
    "pace": lambda link: link.pace(str(task(3)), RunNumber(1), 50, FENCE),
}


@pytest.mark.parametrize("fencing", FENCING.values(), ids=FENCING)
@pytest.mark.parametrize("refused", ORDERS.values(), ids=ORDERS)
def test_order_with_a_lower_fence_has_no_effect(fencing, refused):
    async def scenario(world):
        await fencing(link_of(world))
        answer = await refused(link_of(world))
        return answer, len(world.ledger.entries)

    assert run_with_workers(scenario) == (Err(OrderFailure.SUPERSEDED), 0)


def test_ends_are_numbered_per_incarnation_and_kept_until_acknowledged():
    async def report(world, acknowledged):
        answer = await link_of(world).renew(FENCE, acknowledged, 9000, 0.0)
        return [each.number for each in answer.ok_value.ended]

    async def scenario(world):
        for number in (1, 2):
            await start(world, number=number)
        await asyncio.sleep(DURATION_S + 0.1)
        found = [await report(world, each) for each in (0, 1, 1)]
        world.restart_worker(W0)
        await start(world, number=3)
        await asyncio.sleep(DURATION_S + 0.1)
        found.append(await report(world, 0))
        return found, [each.acknowledged for each in world.ledger.entries]

    found, acknowledged = run_with_workers(scenario)
    assert found == [[1, 2], [2], [2], [1]]
    assert acknowledged == [True, False, False]


def test_end_whose_lease_ran_out_before_its_acknowledgement_does_not_count():
    async def scenario(world):
        await start(world, 2000)
        await asyncio.sleep(3.0)
        await link_of(world).renew(FENCE, 1, None, 0.0)
        (entry,) = world.ledger.entries
        return entry.outcome, entry.acknowledged

    assert run_with_workers(scenario) == (RunEnd.DONE, False)


def test_end_that_is_lost_with_its_worker_never_counts():
    """The number of the end is acknowledged to the next incarnation."""

    async def scenario(world):
        await start(world)
        await asyncio.sleep(DURATION_S + 0.1)
        world.restart_worker(W0)
        await link_of(world).renew(FENCE, 1, 9000, 0.0)
        (entry,) = world.ledger.entries
        return entry.outcome, entry.acknowledged

    assert run_with_workers(scenario) == (RunEnd.DONE, False)


def test_end_whose_lease_runs_out_after_its_acknowledgement_counts():
    async def scenario(world):
        await start(world, 2000)
        await asyncio.sleep(DURATION_S + 0.1)
        await link_of(world).renew(FENCE, 1, None, 0.0)
        await asyncio.sleep(5.0)
        world.restart_worker(W0)
        (entry,) = world.ledger.entries
        return entry.outcome, entry.acknowledged

    assert run_with_workers(scenario) == (RunEnd.DONE, True)


@pytest.mark.parametrize(
    ("at_once", "acknowledged", "waited_s"),
    [(False, 0, 0.5), (True, 0, 0.0), (True, 1, 0.5)],
)
def test_renewal_may_wait_beside_a_listed_end(at_once, acknowledged, waited_s):
    """The platform doesn't say whether a listed end cuts the wait short."""

    async def scenario(world):
        world.workers[W0].answers_listed_ends = at_once
        await start(world)
        await asyncio.sleep(DURATION_S + 0.1)
        asked_at = world.clock()
        answer = await link_of(world).renew(FENCE, acknowledged, 5000, 0.5)
        assert len(answer.ok_value.ended) == 1 - acknowledged
        return world.clock() - asked_at

    assert run_with_workers(scenario) == pytest.approx(waited_s, abs=0.05)


def test_report_has_at_most_500_ends():
    async def scenario(world):
        set_steps(world, 1, estimate_s=0.0)
        for number in range(600):
            world.workers[W0].start(order(run=number + 1), FENCE, 5000, False)
            world.workers[W0].advance()
        answers = [
            await link_of(world).renew(FENCE, acknowledged, 5000, 0.0)
            for acknowledged in (0, 500)
        ]
        return [len(each.ok_value.ended) for each in answers]

    assert run_with_workers(scenario) == [500, 100]


def test_unhealthy_worker_refuses_a_start_without_any_effect():
    async def scenario(world):
        world.workers[W0].refuse_share = 1.0
        refused = await start(world)
        world.workers[W0].refuse_share = 0.0
        # The refused order has set no fence.
        accepted = await link_of(world).start(order(), Epoch(1), 5000)
        return [each.ok_value.outcome for each in (refused, accepted)]

    assert run_with_workers(scenario) == [
        StartOutcome.UNHEALTHY,
        StartOutcome.STARTED,
    ]


@pytest.mark.parametrize(
    ("checks_room", "outcome", "runs"),
    [(True, StartOutcome.NO_ROOM, 1), (False, StartOutcome.STARTED, 2)],
)
def test_worker_may_not_guard_its_room(checks_room, outcome, runs):
    async def scenario(world):
        world.workers[W0].checks_room = checks_room
        await start(world)
        answer = await start(world, number=2)
        return answer.ok_value.outcome, len(world.ledger.entries)

    assert run_with_workers(scenario, WHOLE) == (outcome, runs)


def test_answers_may_overtake_each_other():
    async def scenario(world):
        world.workers[W0].max_answer_delay_s = 0.5
        answered = []

        async def ask(number):
            await link_of(world).renew(FENCE, 0, None, 0.0)
            answered.append(number)

        async with asyncio.TaskGroup() as tasks:
            for number in range(10):
                tasks.create_task(ask(number))
        return answered

    answered = run_with_workers(scenario)
    assert sorted(answered) == list(range(10)) != answered


def test_worker_that_is_down_has_no_listener_and_loses_late_orders():
    async def scenario(world):
        worker = world.workers[W0]
        worker.lose_share = worker.late_share = 1.0
        await start(world, 30_000)
        worker.lose_share = 0.0
        world.crash_worker(W0)
        answer = await start(world)
        await asyncio.sleep(13.0)
        world.restart_worker(W0)
        accepted = await start(world)
        return answer, accepted.ok_value.outcome, len(world.ledger.entries)

    assert run_with_workers(scenario) == (
        Err(OrderFailure.NO_LISTENER),
        StartOutcome.STARTED,
        1,
    )


def test_long_running_task_serves_until_it_is_stopped():
    async def scenario(world):
        set_steps(world, 1, long_running=True)
        await start(world)
        percents = []
        for _ in range(4):
            await asyncio.sleep(1.0)
            clock_ms = world.workers[W0].clock_ms()
            report = await link_of(world).renew(FENCE, 0, clock_ms + 3000, 0.0)
            percents += [each.percent for each in report.ok_value.running]
        await link_of(world).stop(str(task()), RunNumber(1), FENCE)
        await asyncio.sleep(0.5)
        return percents, [each.outcome for each in world.ledger.entries]

    assert run_with_workers(scenario) == ([100.0] * 4, [RunEnd.STOPPED])


def test_write_that_takes_longer_than_its_caller_waits_takes_effect():
    async def scenario(world):
        world.nodes[0].link.slow_factor = 500.0
        answer = await world.nodes[0].link.transact([], [Write("t", "k", 1)])
        before = world.tables.read("t", "k").version
        await asyncio.sleep(1.0)
        return type(answer), before, world.tables.read("t", "k").value

    assert run_with_workers(scenario) == (Err, 0, 1)
