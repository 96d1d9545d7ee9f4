"""The log, retention and the intake, each by itself."""

import asyncio
import json
import os

import pytest

from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.batch.decision_log import BURST_LINES, DecisionLog
from pomeloarch_node.batch.intake import WATCH_S, Intake, Outcome
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.peer_forwarding import CONNECT_TIMEOUT_S
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    cancel_key,
    encode,
    shard_of,
)
from pomeloarch_node.batch.retention import MARGIN_S, expired
from pomeloarch_node.batch.store_reachability import (
    ASK_PEERS_AFTER_S,
    StoreContact,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Write
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

JOB = JobId("5c0e7a21d94b36f8")


# ---- log


def read_lines(fd):
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            chunk = os.read(fd, 65536)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        if not chunk:
            return [json.loads(line) for line in data.splitlines()]
        data += chunk


def test_flood_of_one_kind_is_cut_and_counted():
    reader, writer = os.pipe()
    now = [1000.0]
    metrics = Metrics()
    log = DecisionLog("n", metrics, writer, lambda: now[0])
    for number in range(500):
        log.write("placed", number=number)
    log.write("lost")
    now[0] += 1.0
    log.write("placed", number=500)
    lines = read_lines(reader)
    placed = [each for each in lines if each["event"] == "placed"]
    assert len(placed) == BURST_LINES + 1
    assert placed[-1]["left_out"] == 500 - BURST_LINES
    assert lines[-2]["event"] == "lost"
    assert 'events_total{event="placed"} 501' in metrics.render()


def test_full_pipe_drops_lines_and_never_blocks():
    reader, writer = os.pipe()
    now = [0.0]
    log = DecisionLog("n", Metrics(), writer, lambda: now[0])
    for _ in range(3000):
        now[0] += 1.0
        log.write("placed", text="x" * 200)
    assert read_lines(reader)
    now[0] += 1.0
    log.write("placed")
    assert read_lines(reader)[0]["left_out"] > 0


# ---- retention

NOW = 10_000.0
KEEP_S = 120.0


@pytest.mark.parametrize(
    ("status", "age_s", "goes"),
    [
        (JobStatus.COMPLETED, KEEP_S + MARGIN_S + 1, True),
        (JobStatus.COMPLETED, KEEP_S, False),
        (JobStatus.FAILED, KEEP_S + MARGIN_S + 1, True),
        (JobStatus.RUNNING, 10 * KEEP_S, False),
    ],
)
def test_only_long_ended_jobs_are_deleted(status, age_s, goes):
    row = JobRow(
        BATCH,
        OrganisationName("o"),
        0.0,
        status,
        finished_at=NOW - age_s,
    )
    rows = {JOB: encode(row), cancel_key(JOB): {"at": 1.0}}
    found = expired(rows, KEEP_S, NOW)
    assert found == ({shard_of(JOB): [JOB]} if goes else {})


# ---- intake


async def peers_answer():
    return True


def with_intake(scenario, reachable=lambda: True):
    async def run():
        world = BatchWorld(1, nodes=1)
        node = world.nodes[0]
        log = DecisionLog("n", Metrics(), world.log_fd)
        mirror = TableMirror(node.link, JOBS_TABLE, world.clock, log, 1, 0.1)
        intake = Intake(node.link, mirror, world.clock, log, reachable)
        try:
            return await scenario(world, node.link, intake)
        finally:
            os.close(world.log_fd)

    return run_virtual(run())


def a_job(world):
    job = BatchJob(
        JobId(f"{1:016x}"),
        BATCH,
        ORGANISATION,
        CATALOGUE.queues[BATCH],
        "work",
        (Step(count=1),),
    )
    world.submitted[job.job_id] = job
    return job


INTAKE_FAULTS = {
    "sound": ({}, Outcome.DONE),
    "refusing": ({"refusing": True}, Outcome.NOT_DONE),
    "unreachable": ({"reachable": False}, Outcome.UNKNOWN),
}


@pytest.mark.parametrize(
    ("fault", "outcome"), INTAKE_FAULTS.values(), ids=INTAKE_FAULTS.keys()
)
def test_answer_to_a_submission_is_true(fault, outcome):
    async def scenario(world, link, intake):
        for name, value in fault.items():
            setattr(link, name, value)
        found = await intake.accept(a_job(world), world.clock() + 3.0)
        there = world.tables.read(JOBS_TABLE, f"{1:016x}").version > 0
        return found, there

    assert with_intake(scenario) == (outcome, outcome is Outcome.DONE)


def test_lost_answer_is_settled_by_the_same_write():
    async def scenario(world, link, intake):
        link.lose_share = 1.0
        asyncio.get_running_loop().call_later(
            0.5, setattr, link, "lose_share", 0.0
        )
        return await intake.accept(a_job(world), world.clock() + 3.0)

    assert with_intake(scenario) is Outcome.DONE


def test_submission_is_refused_at_once_while_the_store_is_away():
    async def scenario(world, link, intake):
        began = world.clock()
        outcome = await intake.accept(a_job(world), began + 3.0)
        return outcome, world.clock() - began

    found = with_intake(scenario, reachable=lambda: False)
    assert found == (Outcome.NOT_DONE, 0.0)


@pytest.mark.parametrize(
    ("case", "feed_stalls", "reads_answered", "in_reach"),
    [
        ("all is well", False, True, True),
        ("a watch hears nothing", True, True, True),
        ("the store turns this node away", True, False, False),
    ],
)
def test_store_is_out_of_reach_only_when_it_answers_nothing(
    case, feed_stalls, reads_answered, in_reach
):
    """The store forgets its history: watches hear nothing for a while.

    Nodes refused calls then, though the store would have served them.
    """

    async def scenario(world, link, _):
        log = DecisionLog("n", Metrics(), world.log_fd)
        feed = TableMirror(link, JOBS_TABLE, world.clock, log, 0.5, 0.05)
        contact = StoreContact(
            link, feed, (JOBS_TABLE, "any"), peers_answer, world.clock, log
        )
        tasks = [asyncio.create_task(each.run()) for each in (feed, contact)]
        await asyncio.sleep(2.0)
        assert contact.in_reach(world.clock())
        if feed_stalls:
            tasks[0].cancel()
        link.reachable = reads_answered
        seen = []
        for _ in range(20):
            await asyncio.sleep(0.1)
            seen.append(contact.in_reach(world.clock()))
        tasks[1].cancel()
        return seen

    seen = with_intake(scenario)
    assert seen[-1] == in_reach
    assert all(seen) == in_reach
    assert all(seen[:7])


@pytest.mark.parametrize(
    ("case", "store_answers", "peers_answer", "refuses_within_s"),
    [
        ("all is well", True, True, None),
        ("the store is silent, peers may reach it", False, True, 1.6),
        ("the zone is cut off", False, False, 1.0),
        ("peers are gone", True, False, None),
    ],
)
@pytest.mark.parametrize("suspected", [False, True])
def test_node_that_is_cut_off_knows_it_before_a_slow_store_would_be_given_up(
    case, store_answers, peers_answer, refuses_within_s, suspected
):
    """Guards against a cut zone whose callers are held or sent there again.

    A slow store is waited for for 1.4 s. Where neither it nor the nodes of
    other zones answer, there is nothing to wait for.
    """

    async def scenario(world, link, _):
        log = DecisionLog("n", Metrics(), world.log_fd)
        feed = TableMirror(link, JOBS_TABLE, world.clock, log, 0.5, 0.05)
        in_reach = [True]

        async def peers_in_reach():
            await asyncio.sleep(0.01 if in_reach[0] else CONNECT_TIMEOUT_S)
            return in_reach[0]

        contact = StoreContact(
            link, feed, (JOBS_TABLE, "any"), peers_in_reach, world.clock, log
        )
        tasks = [asyncio.create_task(each.run()) for each in (feed, contact)]
        await asyncio.sleep(2.0)
        link.reachable = store_answers
        in_reach[0] = peers_answer
        began, refused_at = world.clock(), None
        if suspected:
            contact.suspect()
        while refused_at is None and world.clock() < began + 3.0:
            if not contact.in_reach(world.clock()):
                refused_at = world.clock() - began
            await asyncio.sleep(0.02)
        link.reachable = True
        await asyncio.sleep(1.5)
        back = contact.in_reach(world.clock())
        for task in tasks:
            task.cancel()
        return refused_at, back

    refused_at, back = with_intake(scenario)
    assert back
    if refuses_within_s is None:
        assert refused_at is None
    else:
        assert refused_at is not None
        assert refused_at <= refuses_within_s
        if suspected and not peers_answer:
            assert refused_at <= 2 * ASK_PEERS_AFTER_S + CONNECT_TIMEOUT_S


def test_write_is_given_up_as_soon_as_the_store_is_out_of_reach():
    """A node that is cut from the store while a caller waits.

    Callers were held for two seconds before they could try another node.
    """

    async def scenario(world, link, intake):
        link.reachable = False
        began = world.clock()
        outcome = await intake.accept(a_job(world), began + 3.0)
        return outcome, world.clock() - began

    cut_off = iter([True] * 3)
    outcome, took_s = with_intake(
        scenario, reachable=lambda: next(cut_off, False)
    )
    assert outcome is Outcome.UNKNOWN
    assert took_s <= 3 * WATCH_S


@pytest.mark.parametrize(
    ("case", "status", "age_s", "in_reach", "answers", "told"),
    [
        ("ended just now", JobStatus.RUNNING, 0.01, True, True, "completed"),
        ("ended since", JobStatus.RUNNING, 5.0, True, True, "completed"),
        (
            "an end is final",
            JobStatus.COMPLETED,
            5.0,
            False,
            False,
            "completed",
        ),
        ("no answer now", JobStatus.RUNNING, 0.1, True, False, "running"),
        ("nobody can say", JobStatus.RUNNING, 5.0, True, False, None),
        ("out of reach", JobStatus.RUNNING, 0.1, False, False, None),
    ],
)
def test_state_is_told_only_while_it_is_not_out_of_date(
    case, status, age_s, in_reach, answers, told
):
    """A node that is cut from the store, with callers that stay connected.

    They were told `running` for as long as the cut lasted.
    """

    async def scenario(world, link, _):
        row = JobRow(BATCH, ORGANISATION, 0.0, status)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(row))])
        log = DecisionLog("n", Metrics(), world.log_fd)
        mirror = TableMirror(link, JOBS_TABLE, world.clock, log, 0.1, 0.1)
        intake = Intake(link, mirror, world.clock, log, lambda: in_reach)
        following = asyncio.create_task(mirror.run())
        await mirror.loaded.wait()
        following.cancel()
        ended = JobRow(BATCH, ORGANISATION, 0.0, JobStatus.COMPLETED)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(ended))])
        await asyncio.sleep(age_s)
        link.reachable = answers
        answer = await intake.known(JOB)
        return answer.ok_value.status.value if answer.is_ok() else None

    assert with_intake(scenario) == told


@pytest.mark.parametrize(
    ("case", "status", "written_after_s", "told", "within_s"),
    [
        ("its end is being written", JobStatus.RUNNING, 0.04, "completed", 0.1),
        ("it runs on", JobStatus.RUNNING, 9.0, "running", 0.1),
        ("it waits", JobStatus.QUEUED, 9.0, "queued", 0.02),
    ],
)
def test_end_that_is_being_written_is_told_to_a_caller_that_asks(
    case, status, written_after_s, told, within_s
):
    """Guards against ends told a quarter of a second late, at the next try."""

    async def scenario(world, link, intake):
        row = JobRow(BATCH, ORGANISATION, 0.0, status)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(row))])
        ended = JobRow(BATCH, ORGANISATION, 0.0, JobStatus.COMPLETED)
        asyncio.get_running_loop().call_later(
            written_after_s,
            lambda: world.tables.put(JOBS_TABLE, JOB, encode(ended)),
        )
        began = world.clock()
        answer = await intake.known(JOB)
        return answer.ok_value.status.value, world.clock() - began

    state, took_s = with_intake(scenario)
    assert state == told
    assert took_s < within_s


def test_cancel_of_an_unknown_job_says_so():
    async def scenario(world, link, intake):
        return await intake.cancel(JOB, world.clock() + 3.0)

    assert with_intake(scenario) is Outcome.NO_JOB


def test_log_says_once_when_a_caller_is_told_that_a_job_has_ended():
    reading, writing = os.pipe()

    async def scenario(world, link, _):
        ended = JobRow(
            BATCH,
            ORGANISATION,
            world.clock() - 4.0,
            JobStatus.COMPLETED,
            finished_at=world.clock() - 1.0,
        )
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(ended))])
        log = DecisionLog("n", Metrics(), writing)
        mirror = TableMirror(link, JOBS_TABLE, world.clock, log, 0.1, 0.1)
        intake = Intake(link, mirror, world.clock, log, wall=world.clock)
        following = asyncio.create_task(mirror.run())
        await mirror.loaded.wait()
        for _ in range(2):
            await intake.known(JOB)
        following.cancel()

    with_intake(scenario)
    told = [
        line
        for line in read_lines(reading)
        if line["event"] == "end told to caller"
    ]
    (line,) = told
    assert line["job"] == JOB
    assert 4.0 <= line["age_s"] < 4.2
    assert 1.0 <= line["ended_s_ago"] < 1.2
