"""Unit tests of the decision log, retention, intake and store reachability."""

import asyncio
import json
import os

import pytest

from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.batch.decision_log import (
    BURST_LINES,
    LINES_PER_S,
    RUN_BURST_LINES,
    RUN_EVENTS,
    RUN_LINES_PER_S,
    DecisionLog,
)
from pomeloarch_node.batch.intake import REACHABILITY_CHECK_S, Intake, Outcome
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.peer_forwarding import CONNECT_TIMEOUT_S
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    cancel_key,
    encode,
    shard_of,
)
from pomeloarch_node.batch.retention import RETENTION_MARGIN_S, find_expired
from pomeloarch_node.batch.store_monitor import (
    CHECK_PEERS_AFTER_S,
    StoreMonitor,
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


@pytest.mark.parametrize(
    ("event", "burst", "per_s"),
    [
        ("placed", BURST_LINES, LINES_PER_S),
        *(
            (each, RUN_BURST_LINES, RUN_LINES_PER_S)
            for each in sorted(RUN_EVENTS)
        ),
    ],
)
def test_flood_of_one_kind_is_limited_and_counted(event, burst, per_s):
    reader, writer = os.pipe()
    now = [1000.0]
    metrics = Metrics()
    log = DecisionLog("n", metrics, writer, lambda: now[0])
    lines = []
    for number in range(5000):
        log.write(event, number=number)
        lines += read_lines(reader)
    log.write("lost")
    now[0] += 1.0
    for number in range(5000):
        log.write(event, number=number)
        lines += read_lines(reader)
    (lost,) = [n for n, each in enumerate(lines) if each["event"] == "lost"]
    assert lost == burst
    assert len(lines) == burst + 1 + per_s
    assert lines[lost + 1]["left_out"] == 5000 - burst
    assert f'events_total{{event="{event}"}} 10000' in metrics.render()


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


NOW = 10_000.0
KEEP_S = 120.0


@pytest.mark.parametrize(
    ("status", "age_s", "is_deleted"),
    [
        (JobStatus.COMPLETED, KEEP_S + RETENTION_MARGIN_S + 1, True),
        (JobStatus.COMPLETED, KEEP_S, False),
        (JobStatus.FAILED, KEEP_S + RETENTION_MARGIN_S + 1, True),
        (JobStatus.RUNNING, 10 * KEEP_S, False),
    ],
)
def test_only_long_ended_jobs_are_deleted(status, age_s, is_deleted):
    row = JobRow(
        BATCH,
        OrganisationName("o"),
        0.0,
        status,
        finished_at=NOW - age_s,
    )
    rows = {JOB: encode(row), cancel_key(JOB): {"at": 1.0}}
    found = find_expired(rows, KEEP_S, NOW)
    assert found == ({shard_of(JOB): [JOB]} if is_deleted else {})


async def peers_are_reachable():
    return True


def run_with_intake(scenario, reachable=lambda: True):
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


def make_job(world):
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
    "no fault": ({}, Outcome.DONE),
    "refusing": ({"refusing": True}, Outcome.NOT_DONE),
    "unreachable": ({"reachable": False}, Outcome.UNKNOWN),
}


@pytest.mark.parametrize(
    ("fault", "outcome"), INTAKE_FAULTS.values(), ids=INTAKE_FAULTS.keys()
)
def test_submission_outcome_matches_the_store(fault, outcome):
    async def scenario(world, link, intake):
        for name, value in fault.items():
            setattr(link, name, value)
        found = await intake.accept(make_job(world), world.clock() + 3.0)
        is_stored = world.tables.read(JOBS_TABLE, f"{1:016x}").version > 0
        return found, is_stored

    assert run_with_intake(scenario) == (outcome, outcome is Outcome.DONE)


def test_lost_answer_is_settled_by_repeating_the_write():
    async def scenario(world, link, intake):
        link.lose_share = 1.0
        asyncio.get_running_loop().call_later(
            0.5, setattr, link, "lose_share", 0.0
        )
        return await intake.accept(make_job(world), world.clock() + 3.0)

    assert run_with_intake(scenario) is Outcome.DONE


def test_submission_is_refused_at_once_while_the_store_is_unreachable():
    async def scenario(world, link, intake):
        began = world.clock()
        outcome = await intake.accept(make_job(world), began + 3.0)
        return outcome, world.clock() - began

    found = run_with_intake(scenario, reachable=lambda: False)
    assert found == (Outcome.NOT_DONE, 0.0)


@pytest.mark.parametrize(
    ("case", "feed_stalls", "reads_answered", "is_reachable"),
    [
        ("no fault", False, True, True),
        ("only the feed is silent", True, True, True),
        ("the store does not answer", True, False, False),
    ],
)
def test_store_is_unreachable_only_when_it_answers_nothing(
    case, feed_stalls, reads_answered, is_reachable
):
    """Guards against calls refused because only the feed was silent.

    When the store discards its history, watches receive nothing for a while,
    though the store still serves other calls.
    """

    async def scenario(world, link, _):
        log = DecisionLog("n", Metrics(), world.log_fd)
        feed = TableMirror(link, JOBS_TABLE, world.clock, log, 0.5, 0.05)
        monitor = StoreMonitor(
            link,
            feed,
            (JOBS_TABLE, "any"),
            peers_are_reachable,
            world.clock,
            log,
        )
        tasks = [asyncio.create_task(each.run()) for each in (feed, monitor)]
        await asyncio.sleep(2.0)
        assert monitor.is_reachable(world.clock())
        if feed_stalls:
            tasks[0].cancel()
        link.reachable = reads_answered
        seen = []
        for _ in range(20):
            await asyncio.sleep(0.1)
            seen.append(monitor.is_reachable(world.clock()))
        tasks[1].cancel()
        return seen

    seen = run_with_intake(scenario)
    assert seen[-1] == is_reachable
    assert all(seen) == is_reachable
    assert all(seen[:7])


@pytest.mark.parametrize(
    ("case", "store_answers", "peers_answer", "refuses_within_s"),
    [
        ("no fault", True, True, None),
        ("the store is silent, peers are reachable", False, True, 1.6),
        ("the zone is cut off", False, False, 1.0),
        ("only peers are unreachable", True, False, None),
    ],
)
@pytest.mark.parametrize("check_requested", [False, True])
def test_cut_off_node_is_detected_before_a_slow_store_is_given_up(
    case, store_answers, peers_answer, refuses_within_s, check_requested
):
    """Guards against callers held by a zone that is cut off from the store.

    They were held, or sent to the same zone again. A slow store is waited for
    up to 1.4 s. If neither the store nor the nodes of other zones answer, there
    is nothing to wait for.
    """

    async def scenario(world, link, _):
        log = DecisionLog("n", Metrics(), world.log_fd)
        feed = TableMirror(link, JOBS_TABLE, world.clock, log, 0.5, 0.05)
        peers_reachable = [True]

        async def are_peers_reachable():
            await asyncio.sleep(
                0.01 if peers_reachable[0] else CONNECT_TIMEOUT_S
            )
            return peers_reachable[0]

        monitor = StoreMonitor(
            link,
            feed,
            (JOBS_TABLE, "any"),
            are_peers_reachable,
            world.clock,
            log,
        )
        tasks = [asyncio.create_task(each.run()) for each in (feed, monitor)]
        await asyncio.sleep(2.0)
        link.reachable = store_answers
        peers_reachable[0] = peers_answer
        began, refused_at = world.clock(), None
        if check_requested:
            monitor.request_check()
        while refused_at is None and world.clock() < began + 3.0:
            if not monitor.is_reachable(world.clock()):
                refused_at = world.clock() - began
            await asyncio.sleep(0.02)
        link.reachable = True
        await asyncio.sleep(1.5)
        recovered = monitor.is_reachable(world.clock())
        for task in tasks:
            task.cancel()
        return refused_at, recovered

    refused_at, recovered = run_with_intake(scenario)
    assert recovered
    if refuses_within_s is None:
        assert refused_at is None
    else:
        assert refused_at is not None
        assert refused_at <= refuses_within_s
        if check_requested and not peers_answer:
            assert refused_at <= 2 * CHECK_PEERS_AFTER_S + CONNECT_TIMEOUT_S


def test_write_is_given_up_once_the_store_is_unreachable():
    """Guards against callers held while their node loses the store.

    They were held for two seconds before they could try another node.
    """

    async def scenario(world, link, intake):
        link.reachable = False
        began = world.clock()
        outcome = await intake.accept(make_job(world), began + 3.0)
        return outcome, world.clock() - began

    cut_off = iter([True] * 3)
    outcome, took_s = run_with_intake(
        scenario, reachable=lambda: next(cut_off, False)
    )
    assert outcome is Outcome.UNKNOWN
    assert took_s <= 3 * REACHABILITY_CHECK_S


@pytest.mark.parametrize(
    ("case", "status", "age_s", "reachable", "answers", "reported"),
    [
        ("just ended", JobStatus.RUNNING, 0.01, True, True, "completed"),
        (
            "ended some time ago",
            JobStatus.RUNNING,
            5.0,
            True,
            True,
            "completed",
        ),
        (
            "the mirror knows the end",
            JobStatus.COMPLETED,
            5.0,
            False,
            False,
            "completed",
        ),
        (
            "no answer, mirror up to date",
            JobStatus.RUNNING,
            0.1,
            True,
            False,
            "running",
        ),
        (
            "no answer, mirror outdated",
            JobStatus.RUNNING,
            5.0,
            True,
            False,
            None,
        ),
        ("store unreachable", JobStatus.RUNNING, 0.1, False, False, None),
    ],
)
def test_state_is_reported_only_while_it_is_up_to_date(
    case, status, age_s, reachable, answers, reported
):
    """Guards against outdated states while a node is cut off from the store.

    Callers that stayed connected were told `running` for as long as the cut
    lasted.
    """

    async def scenario(world, link, _):
        row = JobRow(BATCH, ORGANISATION, 0.0, status)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(row))])
        log = DecisionLog("n", Metrics(), world.log_fd)
        mirror = TableMirror(link, JOBS_TABLE, world.clock, log, 0.1, 0.1)
        intake = Intake(link, mirror, world.clock, log, lambda: reachable)
        following = asyncio.create_task(mirror.run())
        await mirror.loaded.wait()
        following.cancel()
        ended = JobRow(BATCH, ORGANISATION, 0.0, JobStatus.COMPLETED)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(ended))])
        await asyncio.sleep(age_s)
        link.reachable = answers
        answer = await intake.look_up(JOB)
        return answer.ok_value.status.value if answer.is_ok() else None

    assert run_with_intake(scenario) == reported


@pytest.mark.parametrize(
    ("case", "status", "written_after_s", "reported", "within_s"),
    [
        ("its end is being written", JobStatus.RUNNING, 0.04, "completed", 0.1),
        ("it keeps running", JobStatus.RUNNING, 9.0, "running", 0.1),
        ("it is queued", JobStatus.QUEUED, 9.0, "queued", 0.02),
    ],
)
def test_end_that_is_being_written_is_reported_to_callers(
    case, status, written_after_s, reported, within_s
):
    """Guards against ends reported only at the next try, 0.25 s later."""

    async def scenario(world, link, intake):
        row = JobRow(BATCH, ORGANISATION, 0.0, status)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(row))])
        ended = JobRow(BATCH, ORGANISATION, 0.0, JobStatus.COMPLETED)
        asyncio.get_running_loop().call_later(
            written_after_s,
            lambda: world.tables.put(JOBS_TABLE, JOB, encode(ended)),
        )
        began = world.clock()
        answer = await intake.look_up(JOB)
        return answer.ok_value.status.value, world.clock() - began

    state, took_s = run_with_intake(scenario)
    assert state == reported
    assert took_s < within_s


def test_cancel_of_an_unknown_job_reports_no_job():
    async def scenario(world, link, intake):
        return await intake.cancel(JOB, world.clock() + 3.0)

    assert run_with_intake(scenario) is Outcome.NO_JOB


@pytest.mark.parametrize(
    ("owner", "caller", "outcome", "is_marked"),
    [
        (ORGANISATION, ORGANISATION, Outcome.DONE, True),
        (ORGANISATION, OrganisationName("other"), Outcome.NO_JOB, False),
        (ORGANISATION, OrganisationName(""), Outcome.DONE, True),
        (OrganisationName(""), ORGANISATION, Outcome.DONE, True),
    ],
)
@pytest.mark.parametrize("cancelled_before", [False, True])
def test_job_is_cancelled_only_for_its_organisation(
    owner, caller, outcome, is_marked, cancelled_before
):
    """Guards against a caller that stops another organisation's job."""

    async def scenario(world, link, intake):
        row = JobRow(BATCH, owner, 0.0)
        await link.transact([], [Write(JOBS_TABLE, JOB, encode(row))])
        if cancelled_before:
            await intake.cancel(JOB, world.clock() + 3.0, owner)
            await asyncio.sleep(1.0)
        answer = await intake.cancel(JOB, world.clock() + 3.0, caller)
        marker = world.tables.read(JOBS_TABLE, cancel_key(JOB))
        known = (await intake.look_up(JOB)).ok_value
        return answer, marker.value is not None, known.is_visible_to(caller)

    found = run_with_intake(scenario)
    is_visible = outcome is Outcome.DONE
    assert found == (outcome, is_marked or cancelled_before, is_visible)


def test_first_report_of_a_jobs_end_is_logged_once():
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
            await intake.look_up(JOB)
        following.cancel()

    run_with_intake(scenario)
    reports = [
        line
        for line in read_lines(reading)
        if line["event"] == "end told to caller"
    ]
    (line,) = reports
    assert line["job"] == JOB
    assert 4.0 <= line["age_s"] < 4.2
    assert 1.0 <= line["ended_s_ago"] < 1.2
