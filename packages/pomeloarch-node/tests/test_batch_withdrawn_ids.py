"""Tests of cancels, submissions and refusals whose writes take effect late."""

import asyncio
import contextlib

import pytest

from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.batch.withdrawals import (
    FLEET_BURST,
    FLEET_RATE_PER_S,
    Withdrawal,
)
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.intake import Outcome
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SHARDS,
    WITHDRAWN_TABLE,
    cancel_key,
    encode,
    shard_of_row,
    term_key,
)
from pomeloarch_node.batch.retention import LATE_SUBMISSIONS_S, Retention
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Check
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    RIVAL,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

JOB = JobId(f"{1:016x}")
NOBODY = OrganisationName("")
# The longest time after which the store performs a write without an answer, in
# seconds.
LATE_S = 6.0
CALL_TIMEOUT_S = 2.0
# How long the store leaves the first writes without an answer, in seconds.
LOSS_S = 2.5
ALL_SHARDS = frozenset(range(SHARDS))
ONCE = {"steps": (Step(count=1, estimate_s=0.9),)}
SHAPES = {
    "task": ONCE,
    "lasting": {"steps": (Step(count=1, long_running=True, estimate_s=1e6),)},
    "timed": {**ONCE, "occurrences": 6, "first_due_at": 5.0, "interval_s": 1.0},
}


def make_job(organisation=ORGANISATION, job_id=JOB, **fields):
    return BatchJob(
        job_id,
        BATCH,
        organisation,
        CATALOGUE.queues[BATCH],
        "work",
        **{**ONCE, **fields},
    )


def run_with_world(scenario, nodes=2):
    """Runs a scenario on nodes that have a leader."""

    async def run():
        world = BatchWorld(1, nodes)
        world.start()
        await asyncio.sleep(3.0)
        try:
            return await scenario(world)
        finally:
            await world.stop()

    return run_virtual(run())


def delay_writes(world, shards=ALL_SHARDS):
    """Has the store perform the writes of all nodes late, unanswered."""
    for node in world.nodes:
        node.link.late_shards, node.link.late_by_s = shards, LATE_S


async def submit_in_vain(world, job):
    """Submits a job whose write takes effect after the caller gave up."""
    delay_writes(world)
    outcome = await world.submit(job, world.nodes[0])
    assert outcome is Outcome.UNKNOWN


async def cancel_until_answered(world, organisation=ORGANISATION, node=1):
    while True:
        outcome = await world.cancel(JOB, world.nodes[node], organisation)
        if outcome in (Outcome.DONE, Outcome.NO_JOB):
            return outcome
        await asyncio.sleep(0.5)


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES.keys())
@pytest.mark.parametrize("node", [0, 1], ids=["same-node", "other-node"])
@pytest.mark.parametrize("loses_cancel", [False, True])
@pytest.mark.parametrize("kills_leader", [False, True])
def test_job_whose_cancel_found_none_never_runs(
    shape, node, loses_cancel, kills_leader
):
    """Guards against a late submission that runs after its cancel (review/13).

    The cancel was answered with 410, and the job ran seconds later.
    """

    async def scenario(world):
        await submit_in_vain(world, make_job(**shape))
        if not loses_cancel:
            delay_writes(world, frozenset())
        else:
            asyncio.get_running_loop().call_later(
                LOSS_S, delay_writes, world, frozenset()
            )
        await cancel_until_answered(world, node=node)
        if kills_leader:
            await next(n for n in world.nodes if n.is_leader).kill()
        answered_at = world.clock()
        await asyncio.sleep(2 * LATE_S)
        return [
            each.started_at - answered_at
            for each in world.ledger.entries
            if each.started_at > answered_at
        ]

    assert run_with_world(scenario, nodes=3) == []


@pytest.mark.parametrize(
    ("canceller", "submitter", "accepted"),
    [
        (ORGANISATION, ORGANISATION, Outcome.WITHDRAWN),
        (RIVAL, ORGANISATION, Outcome.DONE),
        (NOBODY, ORGANISATION, Outcome.WITHDRAWN),
        (ORGANISATION, NOBODY, Outcome.WITHDRAWN),
    ],
)
@pytest.mark.parametrize("cancels", [1, 2])
def test_submission_after_the_cancel_of_its_id_runs_or_is_refused(
    canceller, submitter, accepted, cancels
):
    """Guards against one organisation's cancel that stops another's job."""

    async def scenario(world):
        for _ in range(cancels):
            outcome = await world.cancel(JOB, world.nodes[0], canceller)
            assert outcome is Outcome.NO_JOB
        outcome = await world.submit(make_job(submitter), world.nodes[1])
        await asyncio.sleep(5.0)
        return outcome, len(world.ledger.entries)

    runs = 1 if accepted is Outcome.DONE else 0
    assert run_with_world(scenario) == (accepted, runs)


def test_id_that_several_organisations_cancelled_stays_withdrawn_for_each():
    async def scenario(world):
        for each in (RIVAL, ORGANISATION, RIVAL):
            await world.cancel(JOB, world.nodes[0], each)
        return [
            await world.submit(make_job(each), world.nodes[1])
            for each in (ORGANISATION, RIVAL, OrganisationName("third"))
        ]

    assert run_with_world(scenario) == [
        Outcome.WITHDRAWN,
        Outcome.WITHDRAWN,
        Outcome.DONE,
    ]


@pytest.mark.parametrize(
    ("second", "outcome"),
    [(ORGANISATION, Outcome.DONE), (RIVAL, Outcome.ID_TAKEN)],
)
@pytest.mark.parametrize("has_started", [False, True])
def test_submission_under_a_taken_id_is_accepted_only_as_a_repetition(
    second, outcome, has_started
):
    """Guards against 200 for a job that never runs."""

    async def scenario(world):
        await world.submit(make_job(), world.nodes[0])
        await asyncio.sleep(0.5 if has_started else 0.0)
        return await world.submit(make_job(second), world.nodes[1])

    assert run_with_world(scenario) is outcome


@pytest.mark.parametrize(
    ("caller", "outcome", "runs"),
    [(ORGANISATION, Outcome.DONE, 0), (RIVAL, Outcome.NO_JOB, 1)],
)
def test_job_accepted_between_look_up_and_withdrawal_is_cancelled_as_known(
    caller, outcome, runs
):
    """Guards against withdrawing the id of a job that was just accepted."""

    async def scenario(world):
        intake = world.nodes[0].intake
        look_up = intake.look_up

        async def look_up_before_acceptance(job_id):
            found = await look_up(job_id)
            job = make_job(steps=(Step(count=1, estimate_s=2.0),))
            assert await world.submit(job, world.nodes[1]) is Outcome.DONE
            return found

        intake.look_up = look_up_before_acceptance
        found = await world.cancel(JOB, world.nodes[0], caller)
        await asyncio.sleep(5.0)
        done = [e for e in world.ledger.entries if e.acknowledged]
        withdrawn = world.tables.read(WITHDRAWN_TABLE, JOB).value
        return found, len(done), withdrawn

    found, done, withdrawn = run_with_world(scenario)
    assert (found, withdrawn) == (outcome, None)
    assert done >= runs


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        ({"refusing": True}, Outcome.NOT_DONE),
        ({"late_shards": ALL_SHARDS, "late_by_s": 6.0}, Outcome.UNKNOWN),
    ],
)
def test_cancel_of_an_unknown_job_is_certain_or_says_that_it_is_not(
    fault, outcome
):
    async def scenario(world):
        for name, value in fault.items():
            setattr(world.nodes[0].link, name, value)
        return await world.cancel(JOB, world.nodes[0], ORGANISATION)

    assert run_with_world(scenario) is outcome


def test_flood_of_cancels_leaves_the_store_to_submissions():
    """Guards against callers who fill the store by cancelling random ids."""
    flood_s, per_s = 20.0, 200

    async def scenario(world):
        writes = []
        world.tables.on_write = writes.append
        began = world.clock()

        async def cancel(number):
            await asyncio.sleep(number / per_s)
            node = world.nodes[number % 2]
            job_id = JobId(f"{number + 1000:016x}")
            return await world.cancel(job_id, node, RIVAL)

        async def submit(number):
            await asyncio.sleep(number)
            job = make_job(job_id=JobId(f"{number + 1:016x}"))
            sent_at = world.clock()
            outcome = await world.submit(job, world.nodes[number % 2])
            return outcome, world.clock() - sent_at

        answers, accepted = await asyncio.gather(
            asyncio.gather(*map(cancel, range(int(flood_s * per_s)))),
            asyncio.gather(*map(submit, range(int(flood_s)))),
        )
        assert world.clock() - began < flood_s + 2.0
        withdrawals = [w for w in writes if w.table == WITHDRAWN_TABLE]
        return answers, accepted, len(withdrawals)

    answers, accepted, withdrawals = run_with_world(scenario)
    # The nodes of the model don't know of each other.
    assert withdrawals <= 2 * (FLEET_BURST + FLEET_RATE_PER_S * flood_s) / 2
    assert set(answers) == {Outcome.NO_JOB, Outcome.TOO_MANY}
    assert answers.count(Outcome.NO_JOB) == withdrawals
    assert {outcome for outcome, _ in accepted} == {Outcome.DONE}
    assert max(took_s for _, took_s in accepted) < 0.05


async def follow_rows(world, for_s, wall=None):
    """Runs the deletion of expired rows by itself for some time."""
    log = DecisionLog("n", Metrics(), world.log_fd)
    link = world.nodes[0].link
    mirror = TableMirror(link, JOBS_TABLE, world.clock, log, 0.5, 0.1)
    checks = {shard: Check("x", term_key(shard), 0) for shard in range(SHARDS)}
    retention = Retention(
        link, mirror, dict, checks, 120.0, wall or world.clock, world.clock, log
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(for_s), asyncio.TaskGroup() as tasks:
            tasks.create_task(mirror.run())
            tasks.create_task(retention.run())


def run_with_rows(scenario):
    """Runs a scenario on a store without any leader."""

    async def run():
        return await scenario(BatchWorld(1, nodes=1))

    return run_virtual(run())


@pytest.mark.parametrize(
    ("after_s", "is_kept"),
    [(LATE_SUBMISSIONS_S - 5.0, True), (LATE_SUBMISSIONS_S + 25.0, False)],
)
@pytest.mark.parametrize("count", [1, 300])
def test_withdrawals_are_kept_for_as_long_as_late_writes(
    after_s, is_kept, count
):
    """Guards against withdrawals that fill the table for ever."""

    async def scenario(world):
        for number in range(count):
            world.tables.put(
                WITHDRAWN_TABLE, f"{number:016x}", encode(Withdrawal())
            )
        await follow_rows(world, after_s)
        return len(world.tables.rows(WITHDRAWN_TABLE))

    assert run_with_rows(scenario) == (count if is_kept else 0)


def test_withdrawal_that_is_renewed_is_kept_longer():
    async def scenario(world):
        intake = world.nodes[0].intake
        await intake.cancel(JOB, world.clock() + 2.0, ORGANISATION)
        following = asyncio.create_task(follow_rows(world, 100.0))
        await asyncio.sleep(50.0)
        await intake.cancel(JOB, world.clock() + 2.0, ORGANISATION)
        await following
        return await intake.accept(make_job(), world.clock() + 2.0)

    assert run_with_rows(scenario) is Outcome.WITHDRAWN


def test_marker_without_a_job_is_deleted_and_refuses_the_id_until_then():
    """Guards against a cancel that takes effect after its job was deleted.

    It cancelled any later job of that id, which had been accepted.
    """

    async def scenario(world):
        intake = world.nodes[0].intake
        world.tables.put(JOBS_TABLE, cancel_key(JOB), {"at": 1.0})
        before = await intake.accept(make_job(), world.clock() + 2.0)
        await follow_rows(world, LATE_SUBMISSIONS_S + 25.0)
        after = await intake.accept(make_job(), world.clock() + 2.0)
        return before, after

    found = run_with_rows(scenario)
    assert found == (Outcome.WITHDRAWN, Outcome.DONE)


@pytest.mark.parametrize("step_s", [0.0, 3600.0])
def test_ended_job_outlasts_late_copies_of_its_submission(step_s):
    """Guards against a clock that is set and deletes a job at once.

    A copy of its submission that takes effect later would run it again.
    """

    async def scenario(world):
        ended = JobRow(
            BATCH, ORGANISATION, 0.0, JobStatus.COMPLETED, finished_at=1.0
        )
        world.tables.put(JOBS_TABLE, JOB, encode(ended))
        wall = (lambda: world.clock() + step_s) if step_s else None
        await follow_rows(world, LATE_SUBMISSIONS_S - 5.0, wall)
        return world.tables.read(JOBS_TABLE, JOB).value is not None

    assert run_with_rows(scenario)


def test_ended_job_is_deleted_with_its_marker_in_the_end():
    async def scenario(world):
        ended = JobRow(
            BATCH, ORGANISATION, 0.0, JobStatus.CANCELLED, finished_at=1.0
        )
        world.tables.put(JOBS_TABLE, JOB, encode(ended))
        world.tables.put(JOBS_TABLE, cancel_key(JOB), {"at": 1.0})
        await follow_rows(world, 150.0 + LATE_SUBMISSIONS_S + 25.0)
        return world.tables.rows(JOBS_TABLE)

    assert run_with_rows(scenario) == ()


@pytest.mark.parametrize("loses_history", [False, True])
def test_leader_forgets_a_cancel_whose_marker_was_deleted(loses_history):
    """Guards against a leader that cancels a later job of the same id."""

    async def scenario(world):
        world.tables.put(JOBS_TABLE, cancel_key(JOB), {"at": 1.0})
        await asyncio.sleep(3.0)
        if loses_history:
            for node in world.nodes:
                node.link.reachable = False
            await asyncio.sleep(0.3)
        world.tables.put(JOBS_TABLE, cancel_key(JOB), None)
        if loses_history:
            world.tables.compact()
            for node in world.nodes:
                node.link.reachable = True
        await asyncio.sleep(3.0)
        outcome = await world.submit(make_job(), world.nodes[0])
        await asyncio.sleep(5.0)
        status = await world.status(JOB, world.nodes[0])
        return outcome, status

    found = run_with_world(scenario)
    assert found == (Outcome.DONE, JobStatus.COMPLETED)


def test_rows_about_an_id_are_in_one_shard():
    """Guards against conditions that a transaction of one shard can't have."""
    rows = [
        (JOBS_TABLE, JOB),
        (JOBS_TABLE, cancel_key(JOB)),
        (WITHDRAWN_TABLE, JOB),
    ]
    assert len({shard_of_row(*each) for each in rows}) == 1
