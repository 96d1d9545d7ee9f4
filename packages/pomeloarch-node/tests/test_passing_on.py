"""Calls that need the store, at a node that does not reach it."""

import asyncio
import os
import random

import pytest
from result import Ok

from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.ids import JobId, NodeId, ZoneName
from pomeloarch_core.response_times import INITIAL_TIMEOUT_S, MAX_COPIES
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.intake import Intake, Outcome
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.peer_forwarding import (
    GENERATION,
    LEFT_OUT_S,
    MOST_PEERS,
    NODES_TABLE,
    PASSED_ON,
    Call,
    HttpTransport,
    PassingOn,
    PeerAnswer,
    PeerRow,
    Peers,
    PeersApp,
    register,
)
from pomeloarch_node.batch.records import JOBS_TABLE
from pomeloarch_node.batch.repeating_store import RepeatingStore
from pomeloarch_node.batch.store_reachability import StoreContact
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import PlatformError, PlatformFailure
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.batch_world import BATCH, CATALOGUE, ORGANISATION
from pomeloarch_standins.virtual_time import run_virtual

HERE = NodeId("a1")
ROWS = {
    name: {"address": f"{name}:1", "availability_zone": name[0]}
    for name in ("a1", "a2", "b1", "b2", "c1")
}
TAKEN = PeerAnswer(200, ((b"content-type", b"application/json"),), b"{}")
REFUSED = PeerAnswer(503, ((b"retry-after", b"1"),), b"")
GONE = None
LOST = TimeoutError("no answer in time")
BROKEN = PeerAnswer(500, (), b"")
# How long an answer of the node itself is waited for before any was seen.
PATIENCE_S = INITIAL_TIMEOUT_S


class FakeTransport:
    """Answers each peer's calls as told, and keeps what was sent."""

    def __init__(self, answers):
        self.answers = answers
        self.sent = []

    async def send(self, address, call, at_least):
        self.sent.append((address[0], call))
        self.at_least = at_least
        answer = self.answers.get(address[0], GONE)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def is_in_reach(self, address):
        return self.answers.get(address[0], GONE) is not GONE


def peers_with(answers, rows=ROWS, clock=lambda: 0.0, generation=lambda: 7):
    log = DecisionLog(HERE, Metrics(), os.open(os.devnull, os.O_WRONLY))
    transport = FakeTransport(answers)
    peers = Peers(
        HERE,
        ZoneName("a"),
        lambda: rows,
        transport,
        clock,
        random.Random(1),
        log,
        generation,
    )
    return peers, transport


def app_that_answers(status, reads_body=True):
    async def app(scope, receive, send):
        if reads_body:
            while (await receive()).get("more_body"):
                pass
        await send(
            {"type": "http.response.start", "status": status, "headers": []}
        )
        await send({"type": "http.response.body", "body": b"own"})

    return app


async def call(
    app,
    peers,
    chunks=(b"one", b"two"),
    most_bytes=100,
    on_late=lambda: None,
    store_patience_s=0.0,
):
    """Makes a call; returns the status, the headers and the body."""
    passing_on = PassingOn(
        app,
        peers,
        lambda: most_bytes,
        asyncio.get_running_loop().time,
        lambda: store_patience_s,
        on_late,
    )
    return await call_through(passing_on, chunks)


async def call_through(passing_on, chunks):
    """Makes a call; returns the status, the headers and the body."""
    left = [
        {"type": "http.request", "body": each, "more_body": each != chunks[-1]}
        for each in chunks
    ]
    sent = []

    async def receive():
        return left.pop(0)

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "raw_path": b"/q/5c0e7a21d94b36f8",
        "headers": [(b"host", b"x.example"), (b"cookie", b"c")],
    }
    await passing_on(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]


@pytest.mark.parametrize(
    ("case", "own", "answers", "status", "asked"),
    [
        ("it can answer itself", 200, {"b": TAKEN}, 200, [0]),
        ("a refusal of its own", 401, {"b": TAKEN}, 401, [0]),
        ("not run here", 503, {"b": TAKEN, "c": TAKEN}, 200, [1]),
        ("not known here", 504, {"b": TAKEN, "c": TAKEN}, 200, [1]),
        ("one peer is behind a cut", 503, {"b": GONE, "c": TAKEN}, 200, [1, 2]),
        ("nobody is in reach", 503, {}, 503, [2]),
        ("the store is away", 503, {"b": REFUSED, "c": REFUSED}, 503, [2]),
        (
            "a key that is not known",
            503,
            {"b": PeerAnswer(401, (), b""), "c": PeerAnswer(401, (), b"")},
            401,
            [1],
        ),
        ("not run here, lost there", 503, {"b": LOST, "c": LOST}, 504, [1]),
        (
            "not run here, not known there",
            503,
            {"b": PeerAnswer(504, (), b""), "c": PeerAnswer(504, (), b"")},
            504,
            [1],
        ),
        (
            "not known here, refused there",
            504,
            {"b": PeerAnswer(401, (), b""), "c": PeerAnswer(401, (), b"")},
            504,
            [1],
        ),
        ("an answer is lost", 504, {"b": LOST, "c": LOST}, 504, [1]),
        ("a peer that stops", 503, {"b": BROKEN, "c": BROKEN}, 504, [1]),
    ],
)
def test_caller_of_a_node_without_the_store_is_answered_through_a_peer(
    case, own, answers, status, asked
):
    """Guards against urgent jobs accepted a second late, or two, or three.

    A refusal that says that a call has not run stays true: no peer did more.
    """
    peers, transport = peers_with(answers)
    found, headers, _ = run_virtual(call(app_that_answers(own), peers))
    assert found == status
    assert len(transport.sent) in asked
    if status == 200 and own != 200:
        assert headers[b"connection"] == b"close"
    for _, each in transport.sent:
        assert each.body == b"onetwo"
        assert each.headers == ((b"host", b"x.example"),)


def app_that_waits(status, held_s):
    """Answers after a while, as an application whose store is silent."""
    answers = app_that_answers(status)

    async def app(scope, receive, send):
        await asyncio.sleep(held_s)
        await answers(scope, receive, send)

    return app


@pytest.mark.parametrize(
    ("case", "own", "held_s", "answers", "status", "took_s"),
    [
        ("it is quick", 200, 0.03, {"b": TAKEN, "c": TAKEN}, 200, 0.03),
        ("silent store", 504, 1.4, {"b": TAKEN, "c": TAKEN}, 200, PATIENCE_S),
        ("slow store", 200, 0.6, {"b": REFUSED, "c": REFUSED}, 200, 0.6),
        ("nobody is in reach", 504, 1.4, {}, 504, 1.4),
        ("refused by all", 503, 1.4, {"b": REFUSED, "c": REFUSED}, 503, 1.4),
        ("a peer may have done it", 503, 1.4, {"b": LOST, "c": LOST}, 504, 1.4),
        (
            "it may have been done here, and is refused there",
            504,
            1.4,
            {"b": PeerAnswer(401, (), b""), "c": PeerAnswer(401, (), b"")},
            504,
            1.4,
        ),
    ],
)
def test_caller_is_not_held_until_a_node_knows_that_it_lost_the_store(
    case, own, held_s, answers, status, took_s
):
    """Guards against calls held for 1.4 s at nodes that just lost the store.

    Where a zone's nodes lose it together, all urgent jobs of its callers were
    late by then.
    """

    async def scenario():
        peers, _ = peers_with(answers)
        suspected = []
        found, _, _ = await call(
            app_that_waits(own, held_s),
            peers,
            on_late=lambda: suspected.append(True),
        )
        took_s = asyncio.get_running_loop().time()
        return found, took_s, bool(suspected)

    found, waited_s, suspected = run_virtual(scenario())
    assert found == status
    assert waited_s == pytest.approx(took_s, abs=0.01)
    assert suspected == (held_s > PATIENCE_S)


class ResettingLink(StoreLink):
    """A way to the store on which each call is broken off at once."""

    resets = False

    async def _arrive(self):
        if self.resets:
            await asyncio.sleep(0.001)
            return PlatformError(PlatformFailure.UNKNOWN, "reset")
        return await super()._arrive()


JOB = JobId("5c0e7a21d94b36f8")
CALLS = {
    "submits": lambda intake, until: intake.accept(
        BatchJob(
            JOB, BATCH, ORGANISATION, CATALOGUE.queues[BATCH], "", (Step(1),)
        ),
        until,
    ),
    "cancels": lambda intake, until: intake.cancel(JOB, until),
    "asks": lambda intake, until: intake.known(JOB),
}
LOSSES = {
    "silent": {"reachable": False},
    "refusing": {"refusing": True},
    "resetting": {"resets": True},
}
# Half of what an urgent job of 2.5 s has beside its work.
HALF_SLACK_S = 0.75
STATUSES = {
    Outcome.DONE: 200,
    Outcome.NOT_DONE: 503,
    Outcome.UNKNOWN: 504,
    Outcome.NO_JOB: 410,
}


@pytest.mark.parametrize("loss", LOSSES.values(), ids=LOSSES.keys())
@pytest.mark.parametrize("make_call", CALLS.values(), ids=CALLS.keys())
def test_caller_is_answered_through_a_peer_within_half_the_slack_of_urgent_work(
    make_call, loss
):
    """Guards against urgent jobs late for the first second without the store.

    Peers were asked only once the node itself had an answer to give.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        link = ResettingLink(FeedTables(), random.Random(1))
        log = DecisionLog("n", Metrics(), os.open(os.devnull, os.O_WRONLY))
        store = RepeatingStore(link, loop.time)
        feed = TableMirror(link, "op", loop.time, log, 0.5, 0.05)
        peers, _ = peers_with({"b": TAKEN, "c": TAKEN}, clock=loop.time)
        contact = StoreContact(
            store, feed, ("op", "config"), peers.any_in_reach, loop.time, log
        )
        jobs = TableMirror(link, JOBS_TABLE, loop.time, log, 0.5, 0.25)
        intake = Intake(
            store,
            jobs,
            loop.time,
            log,
            lambda: contact.in_reach(loop.time()),
        )

        async def app(scope, receive, send):
            found = await make_call(intake, loop.time() + 2.85)
            status = STATUSES.get(found, 200 if isinstance(found, Ok) else 503)
            await app_that_answers(status)(scope, receive, send)

        tasks = [
            asyncio.create_task(each.run()) for each in (feed, contact, jobs)
        ]
        await asyncio.sleep(5.0)
        for name, value in loss.items():
            setattr(link, name, value)
        await asyncio.sleep(0.05)
        began = loop.time()
        status, _, _ = await call(app, peers, on_late=contact.suspect)
        took_s = loop.time() - began
        for each in tasks:
            each.cancel()
        return status, took_s

    status, took_s = run_virtual(scenario())
    assert status == 200
    assert took_s < HALF_SLACK_S


def test_peers_are_not_asked_beside_a_store_that_is_known_to_be_slow():
    """Guards against each call being written twice in a slow store.

    It is as slow for peers: asking them makes all wait longer.
    """

    async def scenario():
        peers, transport = peers_with({"b": TAKEN, "c": TAKEN})
        app = app_that_waits(200, 0.9)
        status, _, _ = await call(app, peers, store_patience_s=1.0)
        return status, transport.sent

    assert run_virtual(scenario()) == (200, [])


def test_few_calls_are_made_twice_where_that_is_of_no_use():
    """Guards against twice as many calls in a store that has become slow."""

    async def scenario():
        peers, transport = peers_with({"b": REFUSED, "c": REFUSED})
        clock = asyncio.get_running_loop().time
        passing_on = PassingOn(
            app_that_waits(200, 0.9), peers, lambda: 100, clock, lambda: 0.0
        )
        calls = [call_through(passing_on, (b"",)) for _ in range(20)]
        await asyncio.gather(*calls)
        return len(transport.sent)

    assert run_virtual(scenario()) <= MOST_PEERS * MAX_COPIES


def test_peer_that_is_being_stopped_leaves_the_call_to_others():
    """Guards against calls that end with their peer's planned stop."""
    sent = []

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "headers": [(PASSED_ON, b"7")]}
    app = PeersApp(
        app_that_answers(200, reads_body=False), lambda: 7, lambda: True
    )
    run_virtual(app(scope, None, send))
    assert sent[0]["status"] == 503


def test_peer_that_did_not_answer_is_left_out_for_a_while():
    """Guards against one frozen peer that costs call after call 1.2 s."""
    now = [0.0]
    peers, transport = peers_with({"b": LOST, "c": TAKEN}, clock=lambda: now[0])
    for _ in range(20):
        run_virtual(call(app_that_answers(503), peers))
    asked = [address for address, _ in transport.sent]
    assert asked.count("b") <= sum(name[0] == "b" for name in ROWS)
    now[0] += LEFT_OUT_S
    for _ in range(20):
        run_virtual(call(app_that_answers(503), peers))
    assert [address for address, _ in transport.sent].count("b") > 2


def test_node_that_passed_a_call_on_to_a_newer_configuration_stays_with_it():
    """Guards against a configuration that callers of one node see go back.

    The node is cut from the store and knows an older one.
    """
    own = [7]
    newer = PeerAnswer(200, (), b"", generation=9)
    peers, transport = peers_with(
        {"b": newer, "c": newer}, generation=lambda: own[0]
    )
    assert run_virtual(call(app_that_answers(503), peers))[0] == 200
    assert transport.at_least == 7
    answers_itself = app_that_answers(404)
    assert run_virtual(call(answers_itself, peers))[0] == 200
    assert transport.at_least == 9
    transport.answers = {}
    assert run_virtual(call(answers_itself, peers))[0] == 503
    own[0] = 9
    assert run_virtual(call(answers_itself, peers))[0] == 404


@pytest.mark.parametrize(
    ("at_least", "status"),
    [(b"7", 200), (b"8", 503), (b"", 200), (b"x", 200), (b"9" * 400, 200)],
)
def test_peer_with_an_older_configuration_leaves_the_call_to_others(
    at_least, status
):
    sent = []

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "headers": [(PASSED_ON, at_least)]}
    app = PeersApp(app_that_answers(200, reads_body=False), lambda: 7)
    run_virtual(app(scope, None, send))
    assert sent[0]["status"] == status
    assert (GENERATION, b"7") in sent[0]["headers"]


def test_body_that_the_application_did_not_read_is_passed_on_whole():
    peers, transport = peers_with({"b": TAKEN, "c": TAKEN})
    app = app_that_answers(503, reads_body=False)
    assert run_virtual(call(app, peers))[0] == 200
    assert transport.sent[0][1].body == b"onetwo"


def test_body_over_the_limit_is_not_passed_on():
    peers, transport = peers_with({"b": TAKEN, "c": TAKEN})
    found = run_virtual(call(app_that_answers(503), peers, most_bytes=4))
    assert found[0] == 503
    assert transport.sent == []


def test_refused_call_is_not_delayed_by_peers_known_to_be_out_of_reach():
    """Guards against refusals that wait for peers behind a cut each time."""
    now = [10.0]
    peers, transport = peers_with({}, clock=lambda: now[0])
    for _ in range(10):
        run_virtual(call(app_that_answers(503), peers))
    assert len(transport.sent) == len(ROWS) - 1
    now[0] += LEFT_OUT_S
    run_virtual(call(app_that_answers(503), peers))
    assert len(transport.sent) > len(ROWS) - 1


def test_peers_of_other_zones_come_first_and_rows_that_cant_be_read_never():
    rows = {**ROWS, "d1": {"address": 7}, "e1": []}
    for seed in range(20):
        peers, _ = peers_with({}, rows)
        peers._rng = random.Random(seed)
        zones = [each.availability_zone for each in peers.candidates(0.0)]
        assert sorted(zones) == ["b", "c"]


def test_node_is_registered_in_spite_of_lost_answers():
    async def scenario():
        tables = FeedTables()
        link = StoreLink(tables, random.Random(3))
        link.lose_share = 0.5
        log = DecisionLog(HERE, Metrics(), os.open(os.devnull, os.O_WRONLY))
        row = PeerRow("10.0.0.1:7000", ZoneName("a"))
        async with asyncio.timeout(30.0):
            await register(link, HERE, row, log)
        return tables.read(NODES_TABLE, HERE).value

    assert run_virtual(scenario()) == {
        "address": "10.0.0.1:7000",
        "availability_zone": "a",
    }


def test_call_that_is_given_up_on_does_not_arrive_later():
    """Guards against jobs that run though every try was refused.

    A peer that accepts no connection for a while leaves the call's bytes in
    this host's buffers; they arrived when a cut had healed.
    """

    async def scenario():
        given_up = asyncio.Event()
        outcome = asyncio.get_running_loop().create_future()

        async def accept(reader, writer):
            await given_up.wait()
            try:
                outcome.set_result(await reader.read())
            except ConnectionError as exc:
                outcome.set_result(exc)
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        transport = HttpTransport()
        call = Call("POST", "/q/1", (), b"x" * 4_000_000)
        sending = asyncio.create_task(
            transport.send(f"127.0.0.1:{port}", call, 0)
        )
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await transport.close()
        given_up.set()
        found = await outcome
        server.close()
        await server.wait_closed()
        return found

    assert isinstance(asyncio.run(scenario()), ConnectionResetError)
