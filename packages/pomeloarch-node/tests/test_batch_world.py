"""Tests of the batch scheduler's guarantees on whole nodes, in virtual time."""

import asyncio
import random

import msgspec
import pytest
from result import Err, Ok

from pomeloarch_core.batch.messages import StartOutcome
from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.ids import JobId, ServiceName
from pomeloarch_node.batch.intake import Outcome
from pomeloarch_node.batch.ports import OrderFailure, StartAnswer
from pomeloarch_node.batch.records import (
    ROSTER_TABLE,
    TERMS_TABLE,
    term_key,
)
from pomeloarch_node.batch.term_row import FENCES_PER_TERM
from pomeloarch_standins.batch_rules import (
    find_early_starts,
    find_excess_attempts,
)
from pomeloarch_standins.batch_workers import (
    CALL_LATENCY_S,
    LATE_RANGE_S,
    TIMEOUT_S,
    ModelLink,
)
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    URGENT,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

# The slack of an urgent job of 2.5 s, in seconds: 0.3 s and half its duration.
URGENT_SLACK_S = 1.55
SMALL = Resources(8_000, 8_000, 1)
BIG = Resources(16_000, 32_000, 4)


def make_job(number, queue=BATCH, steps=None):
    return BatchJob(
        job_id=JobId(f"{number:016x}"),
        queue=queue,
        organisation=ORGANISATION,
        accepted_under=CATALOGUE.queues[queue],
        payload="work",
        steps=steps or (Step(count=3, need=SMALL, estimate_s=2.0),),
    )


def gang(count, seconds=2.0, need=BIG, after=()):
    return Step(
        count=count, need=need, estimate_s=seconds, gang=True, after=after
    )


def find_violations(world):
    entries, jobs = world.ledger.entries, world.submitted
    return [
        *world.ledger.find_violations(jobs),
        *find_early_starts(entries, jobs),
        *find_excess_attempts(entries, jobs),
    ]


def run_in_world(scenario, seed=1, **size):
    """Runs a scenario in a started world; returns the scenario's result."""

    async def run():
        world = BatchWorld(seed, **size)
        world.start()
        await asyncio.sleep(3.0)
        try:
            return await scenario(world)
        finally:
            await world.stop()
            assert find_violations(world) == []

    return run_virtual(run())


JOBS = {
    "single tasks": (Step(count=5, need=SMALL, estimate_s=1.0),),
    "a gang": (gang(3),),
    "steps in order": (
        Step(count=2, need=SMALL, estimate_s=1.0),
        Step(count=3, need=SMALL, estimate_s=1.0, after=(0,)),
    ),
    "a gang after tasks": (
        Step(count=2, need=SMALL, estimate_s=1.0),
        gang(2, after=(0,)),
    ),
}


@pytest.mark.parametrize("steps", JOBS.values(), ids=JOBS.keys())
def test_job_completes_and_every_node_reports_it(steps):
    async def scenario(world):
        job = make_job(1, steps=steps)
        assert await world.submit(job, world.nodes[0]) is Outcome.DONE
        assert await world.wait_for_jobs(20.0) == []
        await asyncio.sleep(1.0)
        return [await world.status(job.job_id, n) for n in world.nodes]

    assert run_in_world(scenario) == [JobStatus.COMPLETED] * 3


def test_step_starts_only_after_the_steps_before_it():
    async def scenario(world):
        await world.submit(
            make_job(1, steps=JOBS["steps in order"]), world.nodes[0]
        )
        await world.wait_for_jobs(20.0)
        return world.ledger.entries

    entries = run_in_world(scenario)
    first_step_ended = max(
        each.ended_at for each in entries if each.task.step == 0
    )
    assert all(
        e.started_at >= first_step_ended for e in entries if e.task.step == 1
    )


FAULTS = {
    "the leader is killed": ("kill", 0.0),
    "the leader loses the store": ("cut", 0.0),
    "the store loses answers": ("lose", 0.0),
    "lost writes take effect late": ("lose", 1.0),
    "the store discards its history": ("compact", 0.0),
    "a worker crashes": ("crash", 0.0),
    "a worker is cut off": ("cut worker", 0.0),
    "orders are left unanswered": ("orders", 0.0),
    "orders are carried out late": ("orders", 1.0),
    "entries lapse while the leader changes": ("lapse", 0.0),
}


async def kill_leader(world, _late):
    leader = leader_of(world)
    await leader.kill()
    await asyncio.sleep(0.5)
    leader.start()


async def disconnect_leader(world, _late):
    leader = leader_of(world)
    leader.link.reachable = False
    await asyncio.sleep(5.0)
    leader.link.reachable = True


async def lose_answers(world, late):
    for node in world.nodes:
        node.link.lose_share, node.link.late_share = 0.3, late
        node.link.lose_reads_share = 0.3
    await asyncio.sleep(4.0)
    for node in world.nodes:
        node.link.lose_share = node.link.lose_reads_share = 0.0


async def discard_history(world, _late):
    world.tables.compact()


async def crash_worker(world, _late):
    world.rng.choice(list(world.workers.values())).crash()


async def disconnect_worker(world, _late):
    worker = world.rng.choice(list(world.workers.values()))
    worker.is_cut_off = True
    await asyncio.sleep(5.0)
    worker.is_cut_off = False


async def lose_orders(world, late):
    for each in world.workers.values():
        each.lose_share, each.late_share = 0.15, late
    await asyncio.sleep(4.0)
    for each in world.workers.values():
        each.lose_share = 0.0


async def lapse_entries(world, _late):
    """Removes all workers from the list while the leader changes.

    This happens when the store is unavailable: the entries come back after it.
    """
    leader = leader_of(world)
    for worker_id in world.workers:
        world.unlist(worker_id)
    await leader.kill()
    await asyncio.sleep(4.5)
    leader.start()
    for worker_id in world.workers:
        world.relist(worker_id)


def leader_of(world):
    return next((n for n in world.nodes if n.is_leader), world.nodes[0])


INJECT = {
    "kill": kill_leader,
    "cut": disconnect_leader,
    "lose": lose_answers,
    "compact": discard_history,
    "crash": crash_worker,
    "cut worker": disconnect_worker,
    "orders": lose_orders,
    "lapse": lapse_entries,
}


async def inject(world, kind, late):
    await INJECT[kind](world, late)


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_complete_once_under_each_fault(fault, seed):
    async def scenario(world):
        for number, steps in enumerate(JOBS.values()):
            job = make_job(number, steps=steps)
            await world.submit(job, world.nodes[number % 3])
            await asyncio.sleep(0.3)
        await inject(world, *fault)
        await world.submit(make_job(99, URGENT), world.nodes[1])
        return await world.wait_for_jobs(60.0)

    assert run_in_world(scenario, seed) == []


@pytest.mark.parametrize("seed", range(12))
def test_jobs_complete_once_under_series_of_faults(seed):
    async def scenario(world):
        rng = random.Random(seed)
        kinds = list(FAULTS.values())
        for number in range(12):
            steps = rng.choice(list(JOBS.values()))
            queue = rng.choice([BATCH, URGENT])
            node = rng.choice(world.nodes)
            await world.submit(make_job(number, queue, steps), node)
            await inject(world, *rng.choice(kinds))
            await asyncio.sleep(rng.uniform(0.0, 2.0))
        return await world.wait_for_jobs(120.0)

    assert run_in_world(scenario, seed) == []


def test_successor_keeps_tasks_of_unlisted_workers_running():
    async def scenario(world):
        steps = (
            Step(count=16, need=Resources(8_000, 8_000, 2), estimate_s=9.0),
        )
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        await asyncio.sleep(1.0)
        unlisted = list(world.workers)[:2]
        for worker_id in unlisted:
            world.unlist(worker_id)
        leader = leader_of(world)
        await leader.kill()
        await asyncio.sleep(4.5)
        for worker_id in unlisted:
            world.relist(worker_id)
        unfinished = await world.wait_for_jobs(30.0)
        return unfinished, len(world.ledger.entries)

    assert run_in_world(scenario) == ([], 16)


def test_configuration_that_changes_while_rows_are_read_is_applied():
    elsewhere = msgspec.structs.replace(
        CATALOGUE.queues[BATCH], service=ServiceName("elsewhere")
    )
    changed = msgspec.structs.replace(CATALOGUE, queues={BATCH: elsewhere})

    def change_during_load(world, node):
        read = node.link.snapshot

        async def snapshot(table, ask):
            if table == ROSTER_TABLE:
                world.catalogue = changed
                node.leader.catalogue_changed(changed)
            return await read(table, ask)

        node.link.snapshot = snapshot

    async def scenario(world):
        leader = leader_of(world)
        await leader.kill()
        for node in world.nodes:
            change_during_load(world, node)
        await asyncio.sleep(5.0)
        successor = next(n for n in world.nodes if n.is_leader)
        await world.submit(make_job(1), successor)
        await asyncio.sleep(3.0)
        return world.catalogue is changed, len(world.ledger.entries)

    assert run_in_world(scenario) == (True, 0)


def test_cancelled_job_is_stopped_everywhere():
    async def scenario(world):
        job = make_job(1, steps=(gang(4, seconds=30.0),))
        await world.submit(job, world.nodes[0])
        await asyncio.sleep(1.0)
        outcome = await world.nodes[1].intake.cancel(
            job.job_id, world.clock() + 2.0
        )
        await asyncio.sleep(1.5)
        running = [e for e in world.ledger.entries if e.ended_at is None]
        return outcome, running, await world.status(job.job_id, world.nodes[2])

    assert run_in_world(scenario) == (Outcome.DONE, [], JobStatus.CANCELLED)


def test_job_that_always_fails_is_reported_failed_after_its_attempts():
    async def scenario(world):
        for worker in world.workers.values():
            worker.fails_all = True
        job = make_job(1, steps=(Step(count=1, need=SMALL, estimate_s=0.5),))
        await world.submit(job, world.nodes[0])
        await world.wait_for_jobs(60.0)
        status = await world.status(job.job_id, world.nodes[0])
        return status, len(world.ledger.entries)

    assert run_in_world(scenario) == (JobStatus.FAILED, 2)


def test_urgent_gang_preempts_batch_work():
    async def scenario(world):
        filling = (
            Step(count=32, need=Resources(1_000, 1_000, 1), estimate_s=30.0),
        )
        await world.submit(make_job(1, steps=filling), world.nodes[0])
        await asyncio.sleep(1.0)
        asked_at = world.clock()
        await world.submit(
            make_job(2, URGENT, (gang(2, seconds=1.0),)), world.nodes[0]
        )
        await asyncio.sleep(4.0)
        urgent = [e for e in world.ledger.entries if e.task.job_id[-1] == "2"]
        return max(each.started_at for each in urgent) - asked_at

    assert run_in_world(scenario) < 2.7


@pytest.mark.parametrize("seed", range(4))
def test_urgent_work_starts_within_its_slack_while_reads_lose_answers(seed):
    """Guards against new jobs that one lost answer hides for seconds."""

    async def scenario(world):
        for node in world.nodes:
            node.link.lose_reads_share = 0.2
        steps = (Step(count=1, need=SMALL, estimate_s=0.5),)
        for number in range(40):
            node = world.nodes[number % 3]
            await world.submit(make_job(number, URGENT, steps), node)
            await asyncio.sleep(0.5)
        return sorted(
            each.started_at - world.accepted[each.task.job_id]
            for each in world.ledger.entries
        )

    late_s = run_in_world(scenario, seed)
    assert len(late_s) >= 40
    assert late_s[-1] < URGENT_SLACK_S


def test_repeated_submission_is_one_job():
    async def scenario(world):
        job = make_job(1)
        outcomes = [await world.submit(job, node) for node in world.nodes]
        await world.wait_for_jobs(20.0)
        return outcomes, len(world.ledger.entries)

    assert run_in_world(scenario) == ([Outcome.DONE] * 3, 3)


@pytest.mark.parametrize("seed", range(6))
def test_leaders_stopped_in_turn_hand_over_once_each(seed):
    """Guards against a former leader that ends its successor's term.

    A former leader acts until its lease ends, and could begin another term
    then.
    """

    async def scenario(world):
        number = 0
        for _ in range(4):
            leader = next(each for each in world.nodes if each.is_leader)
            stopping = asyncio.create_task(leader.stop())
            for _ in range(15):
                number += 1
                alive = [n for n in world.nodes if n is not leader]
                await world.submit(
                    make_job(number, (BATCH, URGENT)[number % 2]),
                    alive[number % len(alive)],
                )
                await asyncio.sleep(0.2)
            await stopping
            leader.start()
            await asyncio.sleep(0.5)
        unfinished = await world.wait_for_jobs(within_s=30.0)
        terms = world.tables.read(TERMS_TABLE, term_key(0)).value["number"]
        return unfinished, terms

    unfinished, terms = run_in_world(scenario, seed, nodes=3)
    assert unfinished == []
    # The first term, and one for each leader that was stopped.
    assert terms // FENCES_PER_TERM == 5


def refuse_second_copy(monkeypatch, late_s):
    """Delays the first order to start a task and refuses its second copy.

    The refusal is that of an unhealthy worker, which gets no tasks for a while,
    so that the task goes to another worker.
    """
    original_start = ModelLink.start
    copies = []

    async def start(link, order, fence, deadline_ms):
        worker = link._worker
        key = order.task, order.run
        if copies and copies[0] != key:
            return await original_start(link, order, fence, deadline_ms)
        copies.append(key)
        if len(copies) > 1:
            await asyncio.sleep(CALL_LATENCY_S)
            return Ok(StartAnswer(StartOutcome.UNHEALTHY, worker.clock_ms()))
        worker.run_later(
            late_s,
            lambda: worker.start(order, fence, deadline_ms, late=False),
        )
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    monkeypatch.setattr(ModelLink, "start", start)
    return copies


@pytest.mark.parametrize("late_s", [0.15, 0.4, 1.0, 2.5])
@pytest.mark.parametrize("steps", [JOBS["single tasks"], (gang(3),)])
def test_late_first_copy_of_a_refused_start_makes_no_second_run(
    monkeypatch, late_s, steps
):
    """Guards against two runs of a task that one leader started."""
    copies = refuse_second_copy(monkeypatch, late_s)

    async def scenario(world):
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        unfinished = await world.wait_for_jobs(20.0)
        await asyncio.sleep(late_s)
        return unfinished, len(copies)

    assert run_in_world(scenario) == ([], 2)


def move_entries(world, names):
    """Changes the address in workers' list entries; the workers stay."""
    for worker in [world.workers[each] for each in names]:
        worker.info = msgspec.structs.replace(
            worker.info, address=f"{worker.info.address}0"
        )
        world.relist(worker.info.worker_id)


def test_order_in_progress_when_an_address_changes_is_not_lost(monkeypatch):
    """Guards against a task that waits forever for the answer to its start."""

    async def start(link, order, fence, deadline_ms):
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    async def scenario(world):
        with monkeypatch.context() as patch:
            patch.setattr(ModelLink, "start", start)
            await world.submit(make_job(1), world.nodes[0])
            await asyncio.sleep(0.3)
            move_entries(world, world.workers)
            await asyncio.sleep(0.6)
        return await world.wait_for_jobs(15.0)

    assert run_in_world(scenario) == []


def test_lease_remains_valid_after_a_change_of_address():
    """Guards against two runs of a task: the former lease still counts."""

    async def scenario(world):
        await asyncio.sleep(5.0)
        steps = (Step(count=2, need=SMALL, estimate_s=12.0),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        await asyncio.sleep(1.0)
        (name,) = {each.worker for each in world.ledger.entries}
        world.workers[name].is_cut_off = True
        move_entries(world, [name])
        for _ in range(100):
            # A worker model that receives no calls checks its leases only here.
            world.workers[name].advance()
            await asyncio.sleep(0.1)
        return await world.wait_for_jobs(40.0), len(world.ledger.entries)

    assert run_in_world(scenario) == ([], 4)


@pytest.mark.parametrize("superseded", [True, False])
def test_holder_whose_predecessor_began_a_term_late_leads_again(superseded):
    """Guards against a role that is renewed while its holder may not act.

    A former holder acts until its lease ends, also after others have claimed
    the role. If it begins a term in that time, its term is the newest.
    """

    async def scenario(world):
        await world.submit(make_job(1), world.nodes[0])
        await asyncio.sleep(1.0)
        shards = [row.key for row in world.tables.rows(TERMS_TABLE)]
        if superseded:
            for key in shards:
                value = world.tables.read(TERMS_TABLE, key).value
                world.tables.put(
                    TERMS_TABLE,
                    key,
                    value | {"number": value["number"] + 1, "nonce": "late"},
                )
        for number in range(2, 5):
            await world.submit(make_job(number), world.nodes[0])
        return await world.wait_for_jobs(within_s=40.0)

    assert run_in_world(scenario) == []


def lose_first_start(monkeypatch):
    """Leaves all copies of the first order to start a task unanswered.

    Returns:
      The worker that the order is for and what carries out its first copy, and
      nothing as long as there is no order.
    """
    original_start = ModelLink.start
    copies, delayed = [], []

    async def start(link, order, fence, deadline_ms):
        key = order.task, order.run
        if copies and copies[0] != key:
            return await original_start(link, order, fence, deadline_ms)
        if not copies:
            worker = link._worker
            delayed.append(worker.info.worker_id)
            delayed.append(
                lambda: worker.start(order, fence, deadline_ms, late=True)
            )
        copies.append(key)
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    monkeypatch.setattr(ModelLink, "start", start)
    return delayed


# The task runs elsewhere, or is done, when the order arrives, and the leader
# knows of the restart or can't know of it.
@pytest.mark.parametrize("duration_s", [6.0, 0.5])
@pytest.mark.parametrize("since_restart_s", [3.0, 0.01])
def test_late_start_that_reaches_a_restarted_worker_makes_no_second_run(
    monkeypatch, duration_s, since_restart_s
):
    """Guards against orders that outlast the restart of their worker.

    The stop that follows an unanswered order to start keeps that order from
    being carried out, but a restarted worker doesn't know it any more.
    """
    delayed = lose_first_start(monkeypatch)

    async def scenario(world):
        steps = (Step(count=1, need=SMALL, estimate_s=duration_s),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        await asyncio.sleep(2.5)
        worker_id, carry_out = delayed
        world.restart_worker(worker_id)
        await asyncio.sleep(since_restart_s)
        carry_out()
        unfinished = await world.wait_for_jobs(20.0)
        # Ends are acknowledged once the rows of their jobs are durable.
        await asyncio.sleep(2.0)
        return unfinished

    assert run_in_world(scenario, workers=2) == []


@pytest.mark.parametrize(
    "step",
    [Step(count=1, need=SMALL, estimate_s=30.0), gang(2, 30.0, SMALL)],
    ids=["task", "gang"],
)
@pytest.mark.parametrize("late_s", [2.0, 8.0, 11.9])
def test_late_start_on_a_silent_worker_that_restarted_makes_no_second_run(
    monkeypatch, late_s, step
):
    """Guards against a task that runs elsewhere before a late run was killed.

    The worker restarts behind a cut and carries out the order. By its clock,
    which began anew, the deadline is far ahead: the run gets the longest lease.
    """
    delayed = lose_first_start(monkeypatch)

    async def scenario(world):
        await asyncio.sleep(20.0)
        await world.submit(make_job(1, steps=(step,)), world.nodes[0])
        while not delayed:
            await asyncio.sleep(0.01)
        worker_id, carry_out = delayed
        worker = world.workers[worker_id]
        worker.is_cut_off = True
        await asyncio.sleep(1.0)
        worker.crash()
        await asyncio.sleep(late_s - 1.0)
        assert carry_out() is StartOutcome.STARTED
        await asyncio.sleep(25.0)
        return {each.worker for each in world.ledger.entries}

    assert len(run_in_world(scenario, workers=3)) == 2


@pytest.mark.parametrize("cut_after_s", [6.0, 10.0])
def test_late_renewal_of_a_late_run_makes_no_second_run(
    monkeypatch, cut_after_s
):
    """Guards against a task that runs elsewhere before a late run was killed.

    A copy of a start has no answer. Later, the worker restarts behind a cut,
    carries out that copy, and then a renewal that was sent since.
    """
    original_renew = ModelLink.renew
    delayed = lose_first_start(monkeypatch)
    renewals = []

    async def renew(link, fence, acknowledged, deadline_ms, wait_s):
        worker = link._worker
        if worker.is_cut_off and deadline_ms is not None:
            renewals.append(lambda: worker.renew(fence, 0, deadline_ms))
        return await original_renew(
            link, fence, acknowledged, deadline_ms, wait_s
        )

    monkeypatch.setattr(ModelLink, "renew", renew)

    async def scenario(world):
        await asyncio.sleep(20.0)
        step = Step(count=1, need=SMALL, estimate_s=60.0)
        await world.submit(make_job(1, steps=(step,)), world.nodes[0])
        while not delayed:
            await asyncio.sleep(0.01)
        worker_id, carry_out = delayed
        await asyncio.sleep(cut_after_s)
        worker = world.workers[worker_id]
        worker.is_cut_off = True
        worker.crash()
        await asyncio.sleep(11.9 - cut_after_s)
        assert carry_out() is StartOutcome.STARTED
        await asyncio.sleep(5.6)
        assert renewals[-1]()
        await asyncio.sleep(25.0)
        return {each.worker for each in world.ledger.entries}

    assert len(run_in_world(scenario, workers=3)) == 2


def test_late_renewal_that_reaches_a_restarted_worker_forgets_no_end(
    monkeypatch,
):
    """Guards against acknowledgements of another incarnation's ends.

    A restarted worker numbers its ends anew. An acknowledgement for the former
    incarnation that comes late must not make it forget an unread end.
    """
    original_renew = ModelLink.renew
    delayed = []

    async def renew(link, fence, acknowledged, deadline_ms, wait_s):
        if delayed or not acknowledged:
            return await original_renew(
                link, fence, acknowledged, deadline_ms, wait_s
            )
        worker = link._worker
        delayed.append(lambda: worker.renew(fence, acknowledged, deadline_ms))
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    monkeypatch.setattr(ModelLink, "renew", renew)

    async def scenario(world):
        (worker,) = world.workers.values()
        steps = (Step(count=1, need=SMALL, estimate_s=1.0),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        await asyncio.sleep(3.0)
        world.restart_worker(worker.info.worker_id)
        await asyncio.sleep(1.5)
        await world.submit(make_job(2, steps=steps), world.nodes[0])
        while len(world.ledger.entries) < 2:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        worker.is_cut_off = True
        while world.ledger.entries[1].ended_at is None:
            await asyncio.sleep(0.05)
        delayed[0]()
        worker.is_cut_off = False
        return await world.wait_for_jobs(20.0), len(world.ledger.entries)

    assert run_in_world(scenario, workers=1) == ([], 2)


@pytest.mark.parametrize("restarted", [True, False])
def test_role_is_kept_when_a_worker_that_restarted_is_listed_again(restarted):
    """Guards against a refusal that is taken for one by a newer scheduler.

    The session of an idle worker is closed when it leaves the list. The worker
    has seen a higher fence than the one with which a new session begins.
    """

    async def scenario(world):
        worker_id, worker = next(iter(world.workers.items()))
        await world.submit(make_job(1, steps=JOBS["a gang"]), world.nodes[0])
        await world.wait_for_jobs(within_s=20.0)
        if restarted:
            worker.crash()
            worker.info = msgspec.structs.replace(
                worker.info, incarnation=worker.incarnation
            )
            world.relist(worker_id)
        await asyncio.sleep(3.0)
        world.unlist(worker_id)
        await asyncio.sleep(3.0)
        world.relist(worker_id)
        await asyncio.sleep(3.0)
        for number in range(2, 5):
            await world.submit(make_job(number), world.nodes[0])
        left = await world.wait_for_jobs(within_s=40.0)
        terms = world.tables.read(TERMS_TABLE, term_key(0)).value["number"]
        return left, terms

    left, terms = run_in_world(scenario)
    assert (left, terms // FENCES_PER_TERM) == ([], 1)


def test_worker_that_restarts_off_the_list_refuses_earlier_orders():
    """Guards against orders that act on a worker that nobody asked meanwhile.

    The session of an idle worker is closed when it leaves the list. Copies of
    its orders may still be under way when the worker is listed again.
    """

    async def scenario(world):
        worker_id, worker = next(iter(world.workers.items()))
        await world.submit(make_job(1, steps=JOBS["a gang"]), world.nodes[0])
        await world.wait_for_jobs(within_s=20.0)
        await asyncio.sleep(3.0)
        fence = worker._fence
        world.unlist(worker_id)
        await asyncio.sleep(3.0)
        worker.crash()
        worker.info = msgspec.structs.replace(
            worker.info, incarnation=worker.incarnation
        )
        world.relist(worker_id)
        await asyncio.sleep(3.0)
        return worker.renew(fence, 0, None)

    assert run_in_world(scenario) is False


def test_late_acknowledgement_to_a_restarted_worker_forgets_no_end(monkeypatch):
    """Guards against starts after an end that nobody has read.

    A restarted worker that nobody has contacted carries out a late order to
    start, and then a late acknowledgement of an end of its earlier incarnation,
    which has the number of the end of this run.
    """
    original_renew = ModelLink.renew
    acknowledgements = []

    async def renew(link, fence, acknowledged, deadline_ms, wait_s):
        if acknowledgements or not acknowledged:
            return await original_renew(
                link, fence, acknowledged, deadline_ms, wait_s
            )
        worker = link._worker
        acknowledgements.append(
            lambda: worker.renew(fence, acknowledged, deadline_ms)
        )
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    monkeypatch.setattr(ModelLink, "renew", renew)

    async def scenario(world):
        steps = (Step(count=1, need=SMALL, estimate_s=0.5),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        while not acknowledgements:
            await asyncio.sleep(0.05)
        (first,) = world.ledger.entries
        delayed = lose_first_start(monkeypatch)
        for each in world.workers.values():
            each.is_cut_off = str(each.info.worker_id) != first.worker
        await world.submit(make_job(2, steps=steps), world.nodes[0])
        while not delayed:
            await asyncio.sleep(0.05)
        worker_id, carry_out = delayed
        worker = world.workers[worker_id]
        for each in world.workers.values():
            each.is_cut_off = each is worker
        await asyncio.sleep(1.0)
        world.restart_worker(worker_id)
        carry_out()
        await asyncio.sleep(1.0)
        acknowledgements[0]()
        await asyncio.sleep(3.0)
        worker.is_cut_off = False
        unfinished = await world.wait_for_jobs(30.0)
        await asyncio.sleep(2.0)
        return unfinished

    assert run_in_world(scenario, workers=2) == []


def test_late_renewal_does_not_outlast_the_settlement_of_a_late_start(
    monkeypatch,
):
    """Guards against second runs while a late renewal extends a late run.

    A worker that nobody reaches any more has restarted. It carries out a copy
    of an order to start, and then renewals, which were all sent before.
    """
    original_start, original_renew = ModelLink.start, ModelLink.renew
    starts, renewals = [], []

    async def lose():
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    async def start(link, order, fence, deadline_ms):
        if starts:
            return await original_start(link, order, fence, deadline_ms)
        worker = link._worker
        starts.append(
            lambda: worker.start(order, fence, deadline_ms, late=True)
        )
        return await lose()

    async def renew(link, fence, acknowledged, deadline_ms, wait_s):
        worker = link._worker
        if worker.is_cut_off and deadline_ms:
            sent_at = asyncio.get_running_loop().time()
            renewals.append(
                (sent_at, lambda: worker.renew(fence, 0, deadline_ms))
            )
        return await original_renew(
            link, fence, acknowledged, deadline_ms, wait_s
        )

    monkeypatch.setattr(ModelLink, "start", start)
    monkeypatch.setattr(ModelLink, "renew", renew)

    async def scenario(world):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(20.0)
        steps = (Step(count=1, need=SMALL, estimate_s=30.0),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        while not starts:
            await asyncio.sleep(0.01)
        sent_at = loop.time()
        await asyncio.sleep(5.0)
        (entry,) = world.ledger.entries
        worker = world.workers[entry.worker]
        worker.is_cut_off = True
        await asyncio.sleep(2.5)
        world.restart_worker(entry.worker)
        late = LATE_RANGE_S[1]
        await asyncio.sleep(sent_at + late - loop.time())
        starts[0]()
        for renewed_at, carry_out in renewals:
            await asyncio.sleep(max(0.0, renewed_at + late - loop.time()))
            carry_out()
        await asyncio.sleep(10.0)
        worker.is_cut_off = False
        return await world.wait_for_jobs(60.0)

    assert run_in_world(scenario, workers=2) == []


def test_late_start_of_a_member_does_not_follow_the_end_of_its_gang(
    monkeypatch,
):
    """Guards against starts after the acknowledged end of another member.

    The worker of one member restarts before its own end was acknowledged, and
    carries out a late copy of the start. The ends of the others are
    acknowledged once no such copy can be carried out any more.
    """
    original_start = ModelLink.start
    delayed = []

    async def start(link, order, fence, deadline_ms):
        if delayed:
            return await original_start(link, order, fence, deadline_ms)
        worker = link._worker
        delayed.append(worker.info.worker_id)
        delayed.append(
            lambda: worker.start(order, fence, deadline_ms, late=True)
        )
        await asyncio.sleep(TIMEOUT_S)
        return Err(OrderFailure.NO_ANSWER)

    monkeypatch.setattr(ModelLink, "start", start)

    async def scenario(world):
        whole = next(iter(world.workers.values())).info.capacity
        steps = (Step(count=2, need=whole, estimate_s=1.0, gang=True),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        unfinished = await world.wait_for_jobs(5.0)
        worker_id, carry_out = delayed
        world.restart_worker(worker_id)
        await asyncio.sleep(0.01)
        carry_out()
        await asyncio.sleep(20.0)
        return unfinished, len(world.ledger.entries)

    assert run_in_world(scenario, workers=2) == ([], 3)


def test_planned_takeovers_delay_at_most_a_fifth_of_the_acknowledgements():
    """Guards against ends that workers keep though nothing is disturbed.

    No worker restarts, no order gets lost, and the load lasts for 55 s.
    """
    load_s, total_s, bound_s = 55.0, 75.0, 4.0
    first = Step(count=1, need=SMALL, estimate_s=2.0)
    chain = tuple(
        msgspec.structs.replace(first, after=(number - 1,) if number else ())
        for number in range(4)
    )

    async def scenario(world):
        began, submitted, acknowledged_at = world.clock(), 0, {}
        takeovers = [20.0, 40.0]
        while (elapsed_s := world.clock() - began) < total_s:
            if submitted < elapsed_s < load_s:
                submitted += 1
                job = make_job(submitted, steps=chain)
                await world.submit(job, world.nodes[2])
            if takeovers and elapsed_s > takeovers[0]:
                del takeovers[0]
                (leader,) = (each for each in world.nodes if each.leader._term)
                await leader.stop()
                leader.start()
            await asyncio.sleep(0.1)
            for position, entry in enumerate(world.ledger.entries):
                if entry.acknowledged:
                    acknowledged_at.setdefault(position, world.clock())
        late = sum(
            acknowledged_at.get(position, total_s) - entry.ended_at > bound_s
            for position, entry in enumerate(world.ledger.entries)
        )
        return late, len(world.ledger.entries)

    late, ends = run_in_world(scenario, workers=6)
    assert late * 5 <= ends


def test_late_start_of_a_long_running_task_makes_no_second_run(monkeypatch):
    """Guards against two runs of a task that may not be away for long."""
    delayed = lose_first_start(monkeypatch)

    async def scenario(world):
        steps = (Step(1, SMALL, long_running=True),)
        await world.submit(make_job(1, steps=steps), world.nodes[0])
        await asyncio.sleep(2.5)
        worker_id, carry_out = delayed
        world.restart_worker(worker_id)
        await asyncio.sleep(0.01)
        carry_out()
        await asyncio.sleep(5.0)

    run_in_world(scenario, workers=2)
