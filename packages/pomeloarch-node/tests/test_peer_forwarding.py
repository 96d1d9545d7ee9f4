"""Tests of forwarding requests from a node that does not reach the store."""

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
    EXCLUSION_S,
    FORWARDED_HEADER,
    GENERATION_HEADER,
    MAX_PEERS,
    NODES_TABLE,
    ForwardedRequest,
    ForwardedRequestsApp,
    ForwardingApp,
    HttpPeerTransport,
    PeerClient,
    PeerResponse,
    PeerRow,
    register_node,
)
from pomeloarch_node.batch.records import JOBS_TABLE
from pomeloarch_node.batch.repeating_store import RepeatingStore
from pomeloarch_node.batch.store_monitor import StoreMonitor
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import PlatformError, PlatformFailure
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.batch_world import BATCH, CATALOGUE, ORGANISATION
from pomeloarch_standins.virtual_time import run_virtual

THIS_NODE = NodeId("a1")
ROWS = {
    name: {"address": f"{name}:1", "availability_zone": name[0]}
    for name in ("a1", "a2", "b1", "b2", "c1")
}
ACCEPTED = PeerResponse(200, ((b"content-type", b"application/json"),), b"{}")
REFUSED = PeerResponse(503, ((b"retry-after", b"1"),), b"")
UNREACHABLE = None
LOST = TimeoutError("no answer in time")
SERVER_ERROR = PeerResponse(500, (), b"")
# How long a node waits for its own answer before it has seen any, in seconds.
OWN_ANSWER_TIMEOUT_S = INITIAL_TIMEOUT_S


class FakeTransport:
    """Returns the given answer of each zone's peers; records the requests."""

    def __init__(self, answers):
        self.answers = answers
        self.sent = []

    async def send(self, address, request, min_generation):
        self.sent.append((address[0], request))
        self.min_generation = min_generation
        answer = self.answers.get(address[0], UNREACHABLE)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def is_reachable(self, address):
        return self.answers.get(address[0], UNREACHABLE) is not UNREACHABLE


def make_peers(answers, rows=ROWS, clock=lambda: 0.0, generation=lambda: 7):
    log = DecisionLog(THIS_NODE, Metrics(), os.open(os.devnull, os.O_WRONLY))
    transport = FakeTransport(answers)
    peers = PeerClient(
        THIS_NODE,
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


async def send_request(
    app,
    peers,
    chunks=(b"one", b"two"),
    max_body_bytes=100,
    on_late=lambda: None,
    store_timeout_s=0.0,
):
    """Sends a request; returns the status, the headers and the body."""
    forwarding_app = ForwardingApp(
        app,
        peers,
        lambda: max_body_bytes,
        asyncio.get_running_loop().time,
        lambda: store_timeout_s,
        on_late,
    )
    return await send_through(forwarding_app, chunks)


async def send_through(forwarding_app, chunks):
    """Sends a request; returns the status, the headers and the body."""
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
    await forwarding_app(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]


@pytest.mark.parametrize(
    ("case", "own_status", "answers", "status", "requests_sent"),
    [
        ("answered by this node", 200, {"b": ACCEPTED}, 200, [0]),
        ("rejected by this node", 401, {"b": ACCEPTED}, 401, [0]),
        ("not run by this node", 503, {"b": ACCEPTED, "c": ACCEPTED}, 200, [1]),
        (
            "outcome unknown at this node",
            504,
            {"b": ACCEPTED, "c": ACCEPTED},
            200,
            [1],
        ),
        (
            "one peer is unreachable",
            503,
            {"b": UNREACHABLE, "c": ACCEPTED},
            200,
            [1, 2],
        ),
        ("no peer is reachable", 503, {}, 503, [2]),
        (
            "peers do not reach the store",
            503,
            {"b": REFUSED, "c": REFUSED},
            503,
            [2],
        ),
        (
            "peers reject the key",
            503,
            {"b": PeerResponse(401, (), b""), "c": PeerResponse(401, (), b"")},
            401,
            [1],
        ),
        (
            "not run here, peer's answer lost",
            503,
            {"b": LOST, "c": LOST},
            504,
            [1],
        ),
        (
            "not run here, outcome unknown at the peer",
            503,
            {"b": PeerResponse(504, (), b""), "c": PeerResponse(504, (), b"")},
            504,
            [1],
        ),
        (
            "outcome unknown here, rejected by the peer",
            504,
            {"b": PeerResponse(401, (), b""), "c": PeerResponse(401, (), b"")},
            504,
            [1],
        ),
        (
            "outcome unknown here, peer's answer lost",
            504,
            {"b": LOST, "c": LOST},
            504,
            [1],
        ),
        (
            "the peer fails",
            503,
            {"b": SERVER_ERROR, "c": SERVER_ERROR},
            504,
            [1],
        ),
    ],
)
def test_caller_of_a_node_without_the_store_is_answered_through_a_peer(
    case, own_status, answers, status, requests_sent
):
    """Guards against urgent jobs accepted one to three seconds late.

    A refusal that says that a request was not run must stay true: no peer may
    have run it.
    """
    peers, transport = make_peers(answers)
    found, headers, _ = run_virtual(
        send_request(app_that_answers(own_status), peers)
    )
    assert found == status
    assert len(transport.sent) in requests_sent
    if status == 200 and own_status != 200:
        assert headers[b"connection"] == b"close"
    for _, each in transport.sent:
        assert each.body == b"onetwo"
        assert each.headers == ((b"host", b"x.example"),)


def app_that_waits(status, held_s):
    """Answers after a while, like an application whose store is silent."""
    answers = app_that_answers(status)

    async def app(scope, receive, send):
        await asyncio.sleep(held_s)
        await answers(scope, receive, send)

    return app


@pytest.mark.parametrize(
    ("case", "own_status", "held_s", "answers", "status", "took_s"),
    [
        ("quick answer", 200, 0.03, {"b": ACCEPTED, "c": ACCEPTED}, 200, 0.03),
        (
            "silent store",
            504,
            1.4,
            {"b": ACCEPTED, "c": ACCEPTED},
            200,
            OWN_ANSWER_TIMEOUT_S,
        ),
        ("slow store", 200, 0.6, {"b": REFUSED, "c": REFUSED}, 200, 0.6),
        ("no peer is reachable", 504, 1.4, {}, 504, 1.4),
        (
            "peers do not reach the store",
            503,
            1.4,
            {"b": REFUSED, "c": REFUSED},
            503,
            1.4,
        ),
        ("a peer may have run it", 503, 1.4, {"b": LOST, "c": LOST}, 504, 1.4),
        (
            "this node may have run it, peers reject it",
            504,
            1.4,
            {"b": PeerResponse(401, (), b""), "c": PeerResponse(401, (), b"")},
            504,
            1.4,
        ),
    ],
)
def test_caller_is_answered_before_a_node_detects_that_it_lost_the_store(
    case, own_status, held_s, answers, status, took_s
):
    """Guards against requests held for 1.4 s by nodes that just lost the store.

    When the nodes of a zone lost it together, all urgent jobs of their callers
    were late by then.
    """

    async def scenario():
        peers, _ = make_peers(answers)
        late_seen = []
        found, _, _ = await send_request(
            app_that_waits(own_status, held_s),
            peers,
            on_late=lambda: late_seen.append(True),
        )
        took_s = asyncio.get_running_loop().time()
        return found, took_s, bool(late_seen)

    found, waited_s, late_seen = run_virtual(scenario())
    assert found == status
    assert waited_s == pytest.approx(took_s, abs=0.01)
    assert late_seen == (held_s > OWN_ANSWER_TIMEOUT_S)


class ResettingLink(StoreLink):
    """A link to the store on which each call is reset at once."""

    resets = False

    async def _deliver(self):
        if self.resets:
            await asyncio.sleep(0.001)
            return PlatformError(PlatformFailure.UNKNOWN, "reset")
        return await super()._deliver()


JOB = JobId("5c0e7a21d94b36f8")
CALLS = {
    "submits": lambda intake, until: intake.accept(
        BatchJob(
            JOB, BATCH, ORGANISATION, CATALOGUE.queues[BATCH], "", (Step(1),)
        ),
        until,
    ),
    "cancels": lambda intake, until: intake.cancel(JOB, until),
    "asks": lambda intake, until: intake.look_up(JOB),
}
LOSSES = {
    "silent": {"reachable": False},
    "refusing": {"refusing": True},
    "resetting": {"resets": True},
}
# Half of the slack of an urgent job of 2.5 s, in seconds.
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
    """Guards against late urgent jobs in the first second without the store.

    Peers were asked only once the node itself had an answer.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        link = ResettingLink(FeedTables(), random.Random(1))
        log = DecisionLog("n", Metrics(), os.open(os.devnull, os.O_WRONLY))
        store = RepeatingStore(link, loop.time)
        feed = TableMirror(link, "op", loop.time, log, 0.5, 0.05)
        peers, _ = make_peers({"b": ACCEPTED, "c": ACCEPTED}, clock=loop.time)
        monitor = StoreMonitor(
            store,
            feed,
            ("op", "config"),
            peers.is_any_reachable,
            loop.time,
            log,
        )
        jobs = TableMirror(link, JOBS_TABLE, loop.time, log, 0.5, 0.25)
        intake = Intake(
            store,
            jobs,
            loop.time,
            log,
            lambda: monitor.is_reachable(loop.time()),
        )

        async def app(scope, receive, send):
            found = await make_call(intake, loop.time() + 2.85)
            status = STATUSES.get(found, 200 if isinstance(found, Ok) else 503)
            await app_that_answers(status)(scope, receive, send)

        tasks = [
            asyncio.create_task(each.run()) for each in (feed, monitor, jobs)
        ]
        await asyncio.sleep(5.0)
        for name, value in loss.items():
            setattr(link, name, value)
        await asyncio.sleep(0.05)
        began = loop.time()
        status, _, _ = await send_request(
            app, peers, on_late=monitor.request_check
        )
        took_s = loop.time() - began
        for each in tasks:
            each.cancel()
        return status, took_s

    status, took_s = run_virtual(scenario())
    assert status == 200
    assert took_s < HALF_SLACK_S


def test_peers_are_not_asked_while_the_store_is_known_to_be_slow():
    """Guards against each request being written twice to a slow store.

    It is as slow for peers, and asking them makes all requests wait longer.
    """

    async def scenario():
        peers, transport = make_peers({"b": ACCEPTED, "c": ACCEPTED})
        app = app_that_waits(200, 0.9)
        status, _, _ = await send_request(app, peers, store_timeout_s=1.0)
        return status, transport.sent

    assert run_virtual(scenario()) == (200, [])


def test_few_requests_are_forwarded_in_vain():
    """Guards against doubling the requests to a store that has become slow."""

    async def scenario():
        peers, transport = make_peers({"b": REFUSED, "c": REFUSED})
        clock = asyncio.get_running_loop().time
        forwarding_app = ForwardingApp(
            app_that_waits(200, 0.9), peers, lambda: 100, clock, lambda: 0.0
        )
        calls = [send_through(forwarding_app, (b"",)) for _ in range(20)]
        await asyncio.gather(*calls)
        return len(transport.sent)

    assert run_virtual(scenario()) <= MAX_PEERS * MAX_COPIES


def test_stopping_peer_leaves_requests_to_others():
    """Guards against requests cut off by the planned stop of their peer."""
    sent = []

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "headers": [(FORWARDED_HEADER, b"7")]}
    app = ForwardedRequestsApp(
        app_that_answers(200, reads_body=False), lambda: 7, lambda: True
    )
    run_virtual(app(scope, None, send))
    assert sent[0]["status"] == 503


def test_peer_that_did_not_answer_is_excluded_for_a_while():
    """Guards against one frozen peer that delays each request by 1.2 s."""
    now = [0.0]
    peers, transport = make_peers(
        {"b": LOST, "c": ACCEPTED}, clock=lambda: now[0]
    )
    for _ in range(20):
        run_virtual(send_request(app_that_answers(503), peers))
    asked = [address for address, _ in transport.sent]
    assert asked.count("b") <= sum(name[0] == "b" for name in ROWS)
    now[0] += EXCLUSION_S
    for _ in range(20):
        run_virtual(send_request(app_that_answers(503), peers))
    assert [address for address, _ in transport.sent].count("b") > 2


def test_node_does_not_answer_once_a_peer_used_a_newer_configuration():
    """Guards against callers of one node that see the configuration go back.

    The node is cut off from the store and has an older configuration.
    """
    own = [7]
    newer = PeerResponse(200, (), b"", generation=9)
    peers, transport = make_peers(
        {"b": newer, "c": newer}, generation=lambda: own[0]
    )
    assert run_virtual(send_request(app_that_answers(503), peers))[0] == 200
    assert transport.min_generation == 7
    answers_itself = app_that_answers(404)
    assert run_virtual(send_request(answers_itself, peers))[0] == 200
    assert transport.min_generation == 9
    transport.answers = {}
    assert run_virtual(send_request(answers_itself, peers))[0] == 503
    own[0] = 9
    assert run_virtual(send_request(answers_itself, peers))[0] == 404


@pytest.mark.parametrize(
    ("min_generation", "status"),
    [(b"7", 200), (b"8", 503), (b"", 200), (b"x", 200), (b"9" * 400, 200)],
)
def test_peer_with_an_older_configuration_leaves_requests_to_others(
    min_generation, status
):
    sent = []

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "headers": [(FORWARDED_HEADER, min_generation)]}
    app = ForwardedRequestsApp(
        app_that_answers(200, reads_body=False), lambda: 7
    )
    run_virtual(app(scope, None, send))
    assert sent[0]["status"] == status
    assert (GENERATION_HEADER, b"7") in sent[0]["headers"]


def test_body_that_the_application_did_not_read_is_forwarded_completely():
    peers, transport = make_peers({"b": ACCEPTED, "c": ACCEPTED})
    app = app_that_answers(503, reads_body=False)
    assert run_virtual(send_request(app, peers))[0] == 200
    assert transport.sent[0][1].body == b"onetwo"


def test_body_over_the_limit_is_not_forwarded():
    peers, transport = make_peers({"b": ACCEPTED, "c": ACCEPTED})
    found = run_virtual(
        send_request(app_that_answers(503), peers, max_body_bytes=4)
    )
    assert found[0] == 503
    assert transport.sent == []


def test_refusal_is_not_delayed_by_peers_known_to_be_unreachable():
    """Guards against refusals that wait each time for unreachable peers."""
    now = [10.0]
    peers, transport = make_peers({}, clock=lambda: now[0])
    for _ in range(10):
        run_virtual(send_request(app_that_answers(503), peers))
    assert len(transport.sent) == len(ROWS) - 1
    now[0] += EXCLUSION_S
    run_virtual(send_request(app_that_answers(503), peers))
    assert len(transport.sent) > len(ROWS) - 1


def test_peers_of_other_zones_come_first_and_invalid_rows_are_ignored():
    rows = {**ROWS, "d1": {"address": 7}, "e1": []}
    for seed in range(20):
        peers, _ = make_peers({}, rows)
        peers._rng = random.Random(seed)
        zones = [each.availability_zone for each in peers.candidates(0.0)]
        assert sorted(zones) == ["b", "c"]


def test_node_is_registered_despite_lost_answers():
    async def scenario():
        tables = FeedTables()
        link = StoreLink(tables, random.Random(3))
        link.lose_share = 0.5
        log = DecisionLog(
            THIS_NODE, Metrics(), os.open(os.devnull, os.O_WRONLY)
        )
        row = PeerRow("10.0.0.1:7000", ZoneName("a"))
        async with asyncio.timeout(30.0):
            await register_node(link, THIS_NODE, row, log)
        return tables.read(NODES_TABLE, THIS_NODE).value

    assert run_virtual(scenario()) == {
        "address": "10.0.0.1:7000",
        "availability_zone": "a",
    }


def test_abandoned_request_does_not_arrive_later():
    """Guards against jobs that run though each request was refused.

    If a peer accepts no connection for a while, the bytes of the request stay
    in this host's buffers; they arrived when a network cut had healed.
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
        transport = HttpPeerTransport()
        request = ForwardedRequest("POST", "/q/1", (), b"x" * 4_000_000)
        sending = asyncio.create_task(
            transport.send(f"127.0.0.1:{port}", request, 0)
        )
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        given_up.set()
        found = await outcome
        server.close()
        await server.wait_closed()
        return found

    assert isinstance(asyncio.run(scenario()), ConnectionResetError)
