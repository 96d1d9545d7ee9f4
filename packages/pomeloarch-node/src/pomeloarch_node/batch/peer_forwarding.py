"""Passes calls that need the store on to a peer that reaches it.

A caller that is refused comes back a second later, perhaps to another node
without the store; its urgent job is late by then. What a peer answers is the
caller's answer: it admits the call under its own configuration, and a job's id
makes a call that reaches it twice the same one.
"""

from __future__ import annotations

import asyncio
import functools
import random
import socket
import struct
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import aiohttp
import msgspec
from result import Ok

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.platform import Check, Write

NODES_TABLE = "batch_nodes"
# How long the feed of nodes waits for a change, and the least time between two
# calls, in seconds. A node is added or replaced a few times a day.
NODES_WAIT_S = 10.0
NODES_PACE_S = 1.0
# Marks a call from a peer, which is not passed on again. Its value is the least
# generation of the configuration under which it may be answered.
PASSED_ON = b"pomelo-passed-on"
# The generation under which a peer has answered at most.
GENERATION = b"pomelo-generation"
# A peer in another region is connected to in this time, in seconds; one behind
# a cut never is.
CONNECT_TIMEOUT_S = 0.12
# How long a peer has for its answer, in seconds: a write that the store takes
# its time for, with a part of the caller's patience left.
ANSWER_TIMEOUT_S = 1.2
# A peer that could not be connected to, or did not answer, is left out for this
# long, in seconds.
LEFT_OUT_S = 1.0
# Peers that are tried for one call. The one after a peer that can't be reached
# is of another zone.
MOST_PEERS = 2
RETRY_PAUSE_S = 0.5
# What a caller says that decides its answer.
_HEADERS = frozenset(
    {b"host", b"x-api-key", b"content-type", b"x-request-deadline"}
)
_CONNECTIONS = 32
# Digits of the largest generation.
_DIGITS = 18
# The option's two numbers: on, and no time for bytes that are still to be sent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_FAILED = 500
_NOT_DONE = 503
_UNKNOWN = 504


class Call(msgspec.Struct, frozen=True):
    """A caller's call.

    Attributes:
      method: the HTTP method.
      path: the path as it came, with its query.
      headers: the headers that decide the answer.
      body: the whole body.
    """

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class PeerAnswer(msgspec.Struct, frozen=True):
    """A peer's answer.

    Attributes:
      status: the HTTP status.
      headers: the headers that are for the caller.
      body: the whole body.
      generation: that of the peer's configuration, 0 when it wasn't said.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    generation: int = 0


# A peer may have carried the call out: the caller must not be told otherwise.
IN_DOUBT = PeerAnswer(
    _UNKNOWN,
    ((b"content-type", b"application/json"),),
    b'{"error":"it is not known if it was carried out"}',
)


_BEHIND = PeerAnswer(
    _NOT_DONE,
    ((b"content-type", b"application/json"), (b"retry-after", b"1")),
    b'{"error":"another node has to be asked"}',
)


class PeerRow(msgspec.Struct, frozen=True):
    """A node's row.

    Attributes:
      address: where peers reach it, `ip:port`.
      availability_zone: where it runs.
    """

    address: str
    availability_zone: ZoneName


async def register(
    store: FeedStore, node_id: NodeId, row: PeerRow, log: DecisionLog
) -> None:
    """Writes where peers reach this node, until the row says so."""
    value = msgspec.to_builtins(row)
    while True:
        found = await store.read([(NODES_TABLE, node_id)])
        if isinstance(found, Ok):
            known = found.ok_value[0]
            if known.value == value:
                log.write("node registered", address=row.address)
                return
            await store.transact(
                [Check(NODES_TABLE, node_id, known.version)],
                [Write(NODES_TABLE, node_id, value)],
            )
        await asyncio.sleep(RETRY_PAUSE_S)


class Transport(Protocol):
    """Sends calls to peers."""

    async def send(
        self, address: str, call: Call, at_least: int
    ) -> PeerAnswer | None:
        """Returns the answer, None when the peer can't be connected to.

        Args:
          address: where the peer answers, `ip:port`.
          call: the call.
          at_least: the least generation that may answer it.

        Raises:
          TimeoutError: the call was sent and has no answer.
        """

    async def is_in_reach(self, address: str) -> bool:
        """Whether a peer's host answers, be it by refusing a connection."""


def _make_socket(addr_info: tuple[Any, ...]) -> socket.socket:
    """Returns a socket that takes unsent bytes back when it is closed.

    A call that is held up behind a cut would else arrive once the cut has
    healed, long after its caller has been told that nobody answered.
    """
    family, kind, proto = addr_info[:3]
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    return sock


class HttpTransport:
    """Calls to peers over HTTP, each on a connection of its own.

    An open one may have gone silent; a new one shows at once whether the peer
    can be reached.
    """

    def __init__(self) -> None:
        """Opens nothing yet."""
        self._session: aiohttp.ClientSession | None = None

    async def send(
        self, address: str, call: Call, at_least: int
    ) -> PeerAnswer | None:
        """Returns the answer, None when the peer can't be connected to."""
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=_CONNECTIONS,
                force_close=True,
                socket_factory=_make_socket,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                timeout=aiohttp.ClientTimeout(
                    total=ANSWER_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
        headers = [
            (k.decode("latin-1"), v.decode("latin-1"))
            for k, v in (*call.headers, (PASSED_ON, str(at_least).encode()))
        ]
        try:
            async with self._session.request(
                call.method,
                f"http://{address}{call.path}",
                data=call.body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                body = await response.read()
                kept = tuple(
                    (name.lower().encode(), value.encode("latin-1"))
                    for name, value in response.headers.items()
                    if name.lower() in ("content-type", "retry-after")
                )
                generation = response.headers.get(GENERATION.decode(), "")
                return PeerAnswer(
                    response.status, kept, body, _number(generation.encode())
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return None
        except (TimeoutError, aiohttp.ClientError) as exc:
            raise TimeoutError(repr(exc)) from exc

    async def is_in_reach(self, address: str) -> bool:
        """Whether a peer's host answers, be it by refusing a connection."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, ValueError):
            return False
        writer.close()
        return True

    async def close(self) -> None:
        """Ends all connections."""
        if self._session is not None:
            await self._session.close()


class Peers:
    """The other nodes, and which of them to ask.

    Args:
      node_id: this node.
      zone: its availability zone.
      rows: the table of nodes.
      transport: sends calls.
      clock: monotonic time, in seconds.
      rng: chance, which spreads calls over peers.
      log: where calls that were passed on are written.
      generation: returns that of this node's configuration.
    """

    def __init__(
        self,
        node_id: NodeId,
        zone: ZoneName,
        rows: Callable[[], Mapping[str, Any]],
        transport: Transport,
        clock: Callable[[], float],
        rng: random.Random,
        log: DecisionLog,
        generation: Callable[[], int],
    ) -> None:
        """Starts with every peer worth a try."""
        self._generation = generation
        self._newest = 0
        self._node_id = node_id
        self._zone = zone
        self._rows = rows
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._log = log
        self._left_out_until: dict[str, float] = {}

    def candidates(self, now: float) -> list[PeerRow]:
        """Returns the peers to try, of different zones, others' first."""
        known = [
            row
            for key, value in self._rows().items()
            if key != self._node_id
            and (row := _peer_row(value)) is not None
            and self._left_out_until.get(row.address, 0.0) <= now
        ]
        self._rng.shuffle(known)
        by_zone: dict[ZoneName, list[PeerRow]] = {}
        for row in known:
            by_zone.setdefault(row.availability_zone, []).append(row)
        zones = sorted(by_zone, key=lambda zone: zone == self._zone)
        turns = max((len(each) for each in by_zone.values()), default=0)
        return [
            by_zone[zone][turn]
            for turn in range(turns)
            for zone in zones
            if turn < len(by_zone[zone])
        ][:MOST_PEERS]

    def behind(self) -> bool:
        """Whether a caller here was answered under a newer configuration.

        Callers would see it go back if this node answered under its own.
        """
        return self._generation() < self._newest

    async def ask(self, call: Call) -> PeerAnswer | None:
        """Returns a peer's answer; None when no peer has done anything."""
        for peer in self.candidates(self._clock()):
            at_least = max(self._generation(), self._newest)
            try:
                answer = await self._transport.send(
                    peer.address, call, at_least
                )
            except TimeoutError as exc:
                self._note(call, peer, f"no answer: {exc}")
                self._leave_out(peer)
                return IN_DOUBT
            if answer is None:
                self._leave_out(peer)
                continue
            self._note(call, peer, str(answer.status))
            if answer.status >= _FAILED and answer.status != _NOT_DONE:
                # It may have failed after it had carried the call out.
                self._leave_out(peer)
                return IN_DOUBT
            if answer.status != _NOT_DONE:
                self._newest = max(self._newest, answer.generation)
                return answer
            self._leave_out(peer)
        return None

    def _leave_out(self, peer: PeerRow) -> None:
        self._left_out_until[peer.address] = self._clock() + LEFT_OUT_S

    async def any_in_reach(self) -> bool:
        """Whether a peer of another zone can be reached.

        Where there is none, nothing can be said: the answer is yes.
        """
        known = (_peer_row(value) for value in self._rows().values())
        others: dict[ZoneName, list[PeerRow]] = {}
        for row in known:
            if row is not None and row.availability_zone != self._zone:
                others.setdefault(row.availability_zone, []).append(row)
        asked = [self._rng.choice(rows) for rows in others.values()]
        found = await asyncio.gather(
            *(self._transport.is_in_reach(each.address) for each in asked)
        )
        return any(found) or not found

    def _note(self, call: Call, peer: PeerRow, outcome: str) -> None:
        self._log.write(
            "call passed on",
            method=call.method,
            job=call.path.rpartition("/")[2],
            peer=peer.address,
            outcome=outcome,
        )


def _peer_row(value: Any) -> PeerRow | None:
    try:
        return msgspec.convert(value, PeerRow)
    except msgspec.ValidationError:
        return None


class PassingOn:
    """An ASGI application that has peers answer what it can't, or not yet.

    A node learns only after a while that it does not reach the store. Until
    then its own answer is waited for no longer than it usually takes: a peer is
    asked beside it, and the first that carries the call out is the answer. A
    job's id makes both of them one call.

    Args:
      app: answers callers.
      peers: the other nodes.
      most_bytes: returns the largest body that is passed on.
      clock: monotonic time, in seconds.
      store_patience_s: returns how long the store is usually waited for, in
        seconds; while it is slow, it is as slow for peers.
      on_late: called when an answer of this node is late.
    """

    def __init__(
        self,
        app: Any,
        peers: Peers,
        most_bytes: Callable[[], int],
        clock: Callable[[], float],
        store_patience_s: Callable[[], float],
        on_late: Callable[[], None] = lambda: None,
    ) -> None:
        """Keeps the application."""
        self._app = app
        self._peers = peers
        self._most_bytes = most_bytes
        self._clock = clock
        self._store_patience_s = store_patience_s
        self._on_late = on_late
        self._times: dict[str, ResponseTimeEstimator] = {}

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answers one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        kept = _Kept(receive, self._most_bytes())
        await kept.read()
        own = asyncio.create_task(self._answer_here(scope, kept))
        asked: asyncio.Task[PeerAnswer | None] | None = None
        try:
            times = self._times_of(scope["method"])
            patience_s = max(times.timeout_s(), self._store_patience_s())
            await asyncio.wait({own}, timeout=patience_s)
            if not own.done() and kept.whole and times.try_acquire_copy():
                self._on_late()
                asked = self._ask_peers(scope, kept)
                await asyncio.wait(
                    {own, asked}, return_when=asyncio.FIRST_COMPLETED
                )
                if not own.done() and not _carried_out(asked.result()):
                    await asyncio.wait({own})
            held = await self._first_of(own, asked, scope, kept)
        finally:
            for task in (own, asked):
                if task is not None:
                    task.cancel()
        for message in held:
            await send(message)

    async def _answer_here(self, scope: Any, kept: _Kept) -> list[Any]:
        """Returns the messages of this node's own answer."""
        if self._peers.behind():
            return _messages(_BEHIND)
        held: list[Any] = []

        async def hold(message: Any) -> None:
            held.append(message)

        began = self._clock()
        await self._app(scope, kept.receive, hold)
        if _carried_out(_status(held)):
            times = self._times_of(scope["method"])
            times.observe(self._clock() - began)
            times.replenish(repeated=False)
        return held

    def _times_of(self, method: str) -> ResponseTimeEstimator:
        # Methods differ in what they ask of the store.
        return self._times.setdefault(method, ResponseTimeEstimator())

    def _ask_peers(
        self, scope: Any, kept: _Kept
    ) -> asyncio.Task[PeerAnswer | None]:
        return asyncio.create_task(self._peers.ask(_call(scope, kept.body)))

    async def _first_of(
        self,
        own: asyncio.Task[list[Any]],
        asked: asyncio.Task[PeerAnswer | None] | None,
        scope: Any,
        kept: _Kept,
    ) -> list[Any]:
        """Returns the messages of the answer that is the caller's."""
        if asked is not None and not own.done():
            answer = asked.result()
            assert answer is not None
            self._times_of(scope["method"]).replenish(repeated=True)
            return _messages(answer)
        held = await own
        status = _status(held)
        if status not in (_NOT_DONE, _UNKNOWN):
            return held
        if asked is None:
            if not kept.whole:
                return held
            asked = self._ask_peers(scope, kept)
        answer = await asked
        if answer is not None and _replaces(status, answer.status):
            return _messages(answer)
        return held


def _status(held: list[Any]) -> int:
    """Returns the status of an answer's messages, 0 when there is none."""
    return int(held[0]["status"]) if held else 0


@functools.singledispatch
def _carried_out(answer: object) -> bool:
    """Whether an answer says that the call was carried out."""
    return False


@_carried_out.register
def _(answer: int) -> bool:
    return 200 <= answer < 300


@_carried_out.register
def _(answer: PeerAnswer) -> bool:
    return _carried_out(answer.status)


def _replaces(own: int, peers: int) -> bool:
    """Whether a peer's answer is the caller's, rather than this node's own.

    What may have been carried out from here is not refused because a peer
    refuses it.
    """
    return _carried_out(peers) or own == _NOT_DONE


class PeersApp:
    """An ASGI application that answers calls which peers pass on.

    Args:
      app: answers callers.
      generation: returns that of this node's configuration.
      stopping: whether a planned stop has begun; what comes after it might be
        cut off.
    """

    def __init__(
        self,
        app: Any,
        generation: Callable[[], int],
        stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Keeps the application."""
        self._app = app
        self._generation = generation
        self._stopping = stopping

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answers one request, unless this node's configuration is older."""

        async def say_generation(message: Any) -> None:
            if message["type"] == "http.response.start":
                said = GENERATION, str(self._generation()).encode()
                message["headers"] = [*message.get("headers", ()), said]
            await send(message)

        at_least = max(
            (_number(v) for k, v in scope["headers"] if k == PASSED_ON),
            default=0,
        )
        if at_least > self._generation() or self._stopping():
            for message in _messages(_BEHIND):
                await say_generation(message)
            return
        await self._app(scope, receive, say_generation)


def _number(text: bytes) -> int:
    """Returns a header's number, 0 where it holds none."""
    return int(text) if text.isdigit() and len(text) <= _DIGITS else 0


class _Kept:
    """A request's body, read before the application asks for it.

    Attributes:
      body: what was read.
    """

    def __init__(self, receive: Any, most_bytes: int) -> None:
        self._receive = receive
        self._most_bytes = most_bytes
        self._more = True
        self._given = False
        self.body = b""

    async def read(self) -> None:
        """Reads the body, a longer one only as far as it may be passed on."""
        while self._more and len(self.body) <= self._most_bytes:
            message = await self._receive()
            if message["type"] != "http.request":
                return
            self.body += message.get("body", b"")
            self._more = message.get("more_body", False)

    @property
    def whole(self) -> bool:
        """Whether the body is there as a whole and may be passed on."""
        return not self._more and len(self.body) <= self._most_bytes

    async def receive(self) -> Any:
        """Returns what was read as one message, then what comes after it."""
        if self._given:
            return await self._receive()
        self._given = True
        return {
            "type": "http.request",
            "body": self.body,
            "more_body": self._more,
        }


def _call(scope: Any, body: bytes) -> Call:
    path = scope["raw_path"].decode("latin-1")
    return Call(
        scope["method"],
        path,
        tuple(
            (name, value)
            for name, value in scope["headers"]
            if name in _HEADERS
        ),
        body,
    )


def _messages(answer: PeerAnswer) -> list[Any]:
    """Returns an answer; the caller is to connect to another node next."""
    headers = [
        *answer.headers,
        (b"content-length", str(len(answer.body)).encode()),
        (b"connection", b"close"),
    ]
    return [
        {
            "type": "http.response.start",
            "status": answer.status,
            "headers": headers,
        },
        {"type": "http.response.body", "body": answer.body},
    ]


def follow_nodes(
    store: FeedStore, clock: Callable[[], float], log: DecisionLog
) -> TableMirror:
    """Returns a mirror of the table of nodes, which seldom changes."""
    return TableMirror(
        store, NODES_TABLE, clock, log, NODES_WAIT_S, NODES_PACE_S
    )
