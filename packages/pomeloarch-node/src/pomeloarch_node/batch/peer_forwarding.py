"""Forwards requests that need the store to a peer that reaches it.

A caller that is refused tries again a second later, perhaps at another node
that does not reach the store either, and its urgent job is late by then. The
answer of the peer becomes the caller's answer: the peer admits the request
under its own configuration. Copies of a request name the same job, so they have
the effect of a single one.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec
from result import Err, Ok

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.http_client import call_once, encode_request
from pomeloarch_node.platform import Check, Write

NODES_TABLE = "batch_nodes"
# How long the feed of nodes waits for a change, and the minimum time between
# two reads of it, in seconds. A node is added or replaced a few times a day.
NODES_WAIT_S = 10.0
NODES_INTERVAL_S = 1.0
# Request header that marks a request forwarded by a peer, which is not
# forwarded again. Its value is the lowest generation of the configuration under
# which the request may be answered.
FORWARDED_HEADER = b"pomelo-passed-on"
# Response header with the newest generation under which the peer may have
# answered.
GENERATION_HEADER = b"pomelo-generation"
# Timeout of a connection to a peer, in seconds. A peer in another region is
# connected within this time; one behind a network cut never is.
CONNECT_TIMEOUT_S = 0.12
# How long a peer has for its answer, in seconds. A slow write to the store fits
# into this time, and the caller still has some time left after it.
ANSWER_TIMEOUT_S = 1.2
# How long a peer that could not be connected to, did not answer or answered
# with a server error is not tried again, in seconds.
EXCLUSION_S = 1.0
# Maximum number of peers that are tried for one request. The one that follows
# an unreachable peer is in another zone.
MAX_PEERS = 2
RETRY_PAUSE_S = 0.5
# The request headers that decide the answer.
_FORWARDED_HEADERS = frozenset(
    {b"host", b"x-api-key", b"content-type", b"x-request-deadline"}
)
# The response headers that are passed to the caller.
_RETURNED_HEADERS = frozenset({b"content-type", b"retry-after"})
# Maximum number of digits of a generation.
_MAX_GENERATION_DIGITS = 18
_INTERNAL_ERROR = 500
_SERVICE_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A caller's request that is forwarded.

    Attributes:
      method: the HTTP method.
      path: the path as received, with its query.
      headers: the headers that decide the answer.
      body: the whole body.
    """

    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class PeerResponse(msgspec.Struct, frozen=True):
    """A peer's answer.

    Attributes:
      status: the HTTP status.
      headers: the headers that are passed to the caller.
      body: the whole body.
      generation: the generation of the peer's configuration, 0 if the answer
        did not contain it.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    generation: int = 0


# A peer may have carried the request out, so the caller must not be told
# otherwise.
OUTCOME_UNKNOWN = PeerResponse(
    _GATEWAY_TIMEOUT,
    ((b"content-type", b"application/json"),),
    b'{"error":"it is not known if it was carried out"}',
)


_ANOTHER_NODE_NEEDED = PeerResponse(
    _SERVICE_UNAVAILABLE,
    ((b"content-type", b"application/json"), (b"retry-after", b"1")),
    b'{"error":"another node has to be asked"}',
)


class PeerRow(msgspec.Struct, frozen=True):
    """A node's row in the table of nodes.

    Attributes:
      address: where peers reach the node, `ip:port`.
      availability_zone: the zone that it runs in.
    """

    address: str
    availability_zone: ZoneName


async def register_node(
    store: FeedStore, node_id: NodeId, row: PeerRow, log: DecisionLog
) -> None:
    """Stores this node's address for its peers; retries until it is stored."""
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


class PeerTransport(Protocol):
    """Sends requests to peers."""

    async def send(
        self, address: str, request: ForwardedRequest, min_generation: int
    ) -> PeerResponse | None:
        """Returns the answer, None if the peer can't be connected to.

        Args:
          address: the peer's address, `ip:port`.
          request: the request.
          min_generation: the lowest generation under which it may be answered.

        Raises:
          TimeoutError: the request was sent but not answered.
        """

    async def is_reachable(self, address: str) -> bool:
        """Returns whether a peer's host accepts or refuses a connection."""


class HttpPeerTransport:
    """Sends requests to peers over HTTP, each on a connection of its own.

    An open connection may have gone silent; a new one shows at once whether the
    peer can be reached.
    """

    async def send(
        self, address: str, request: ForwardedRequest, min_generation: int
    ) -> PeerResponse | None:
        """Returns the answer, None if the peer can't be connected to.

        A request that is given up is discarded. Held up behind a network cut,
        it would otherwise arrive once the cut has healed, long after its caller
        was told that there is no answer.
        """
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in (
                *((k, v) for k, v in request.headers if k != b"host"),
                (FORWARDED_HEADER, str(min_generation).encode()),
            )
        ]
        host = dict(request.headers).get(b"host", address.encode())
        encoded = encode_request(
            host.decode("latin-1"),
            request.method,
            request.path,
            headers,
            request.body,
        )
        if isinstance(encoded, Err):
            return None
        answer = await call_once(
            address, encoded.ok_value, CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S
        )
        if isinstance(answer, Err):
            if answer.err_value.sent:
                raise TimeoutError(answer.err_value.message)
            return None
        response = answer.ok_value
        return PeerResponse(
            response.status,
            tuple(
                (name, value)
                for name, value in response.headers
                if name in _RETURNED_HEADERS
            ),
            response.body,
            _parse_generation(response.header(GENERATION_HEADER)),
        )

    async def is_reachable(self, address: str) -> bool:
        """Returns whether a peer's host accepts or refuses a connection."""
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


class PeerClient:
    """Selects peers among the other nodes and forwards requests to them.

    Args:
      node_id: this node.
      zone: its availability zone.
      rows: returns the rows of the table of nodes.
      transport: sends requests.
      clock: returns monotonic time, in seconds.
      rng: spreads requests over the peers.
      log: receives an event for each forwarded request.
      generation: returns the generation of this node's configuration.
    """

    def __init__(
        self,
        node_id: NodeId,
        zone: ZoneName,
        rows: Callable[[], Mapping[str, Any]],
        transport: PeerTransport,
        clock: Callable[[], float],
        rng: random.Random,
        log: DecisionLog,
        generation: Callable[[], int],
    ) -> None:
        """Starts without excluding any peer."""
        self._generation = generation
        self._newest_generation = 0
        self._node_id = node_id
        self._zone = zone
        self._rows = rows
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._log = log
        self._excluded_until: dict[str, float] = {}

    def candidates(self, now: float) -> list[PeerRow]:
        """Returns the peers to try, of different zones, other zones first."""
        known = [
            row
            for key, value in self._rows().items()
            if key != self._node_id
            and (row := _decode_peer_row(value)) is not None
            and self._excluded_until.get(row.address, 0.0) <= now
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
        ][:MAX_PEERS]

    def is_outdated(self) -> bool:
        """Returns whether a caller was answered under a newer configuration.

        Callers would see the configuration go back if this node answered under
        its own.
        """
        return self._generation() < self._newest_generation

    async def forward(self, request: ForwardedRequest) -> PeerResponse | None:
        """Returns a peer's answer; None if certainly no peer did anything."""
        for peer in self.candidates(self._clock()):
            min_generation = max(self._generation(), self._newest_generation)
            try:
                answer = await self._transport.send(
                    peer.address, request, min_generation
                )
            except TimeoutError as exc:
                self._log_forwarded(request, peer, f"no answer: {exc}")
                self._exclude(peer)
                return OUTCOME_UNKNOWN
            if answer is None:
                self._exclude(peer)
                continue
            self._log_forwarded(request, peer, str(answer.status))
            if (
                answer.status >= _INTERNAL_ERROR
                and answer.status != _SERVICE_UNAVAILABLE
            ):
                # The peer may have failed after it carried the request out.
                self._exclude(peer)
                return OUTCOME_UNKNOWN
            if answer.status != _SERVICE_UNAVAILABLE:
                self._newest_generation = max(
                    self._newest_generation, answer.generation
                )
                return answer
            self._exclude(peer)
        return None

    def _exclude(self, peer: PeerRow) -> None:
        self._excluded_until[peer.address] = self._clock() + EXCLUSION_S

    async def is_any_reachable(self) -> bool:
        """Returns whether any peer of another zone can be reached.

        If there is no such peer, nothing is known and the result is true.
        """
        known = (_decode_peer_row(value) for value in self._rows().values())
        others: dict[ZoneName, list[PeerRow]] = {}
        for row in known:
            if row is not None and row.availability_zone != self._zone:
                others.setdefault(row.availability_zone, []).append(row)
        asked = [self._rng.choice(rows) for rows in others.values()]
        found = await asyncio.gather(
            *(self._transport.is_reachable(each.address) for each in asked)
        )
        return any(found) or not found

    def _log_forwarded(
        self, request: ForwardedRequest, peer: PeerRow, outcome: str
    ) -> None:
        self._log.write(
            "call passed on",
            method=request.method,
            job=request.path.rpartition("/")[2],
            peer=peer.address,
            outcome=outcome,
        )


def _decode_peer_row(value: Any) -> PeerRow | None:
    try:
        return msgspec.convert(value, PeerRow)
    except msgspec.ValidationError:
        return None


class ForwardingApp:
    """An ASGI application that forwards what this node can't answer in time.

    A node detects only after a while that it does not reach the store. Until
    then, it asks a peer as well as soon as its own answer takes longer than
    usual, and uses the first answer that says that the request was carried out.
    Both copies of the request name the same job and have the effect of one.

    Args:
      app: answers callers.
      peers: forwards requests to the other nodes.
      max_body_bytes: returns the size of the largest body that is forwarded.
      clock: returns monotonic time, in seconds.
      store_timeout_s: returns the time after which a write to the store is
        late, in seconds; a store that is slow here is as slow for peers.
      on_late: called when this node's own answer is late.
    """

    def __init__(
        self,
        app: Any,
        peers: PeerClient,
        max_body_bytes: Callable[[], int],
        clock: Callable[[], float],
        store_timeout_s: Callable[[], float],
        on_late: Callable[[], None] = lambda: None,
    ) -> None:
        """Wraps the application."""
        self._app = app
        self._peers = peers
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._store_timeout_s = store_timeout_s
        self._on_late = on_late
        self._answer_times: dict[str, ResponseTimeEstimator] = {}

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answers one request, here or through a peer."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        buffered = _BufferedBody(receive, self._max_body_bytes())
        await buffered.read()
        own_task = asyncio.create_task(self._answer_locally(scope, buffered))
        forwarding: asyncio.Task[PeerResponse | None] | None = None
        try:
            times = self._answer_times_for(scope["method"])
            own_answer_timeout_s = max(
                times.timeout_s(), self._store_timeout_s()
            )
            await asyncio.wait({own_task}, timeout=own_answer_timeout_s)
            if (
                not own_task.done()
                and buffered.is_complete
                and times.try_acquire_copy()
            ):
                self._on_late()
                forwarding = self._start_forwarding(scope, buffered)
                await asyncio.wait(
                    {own_task, forwarding}, return_when=asyncio.FIRST_COMPLETED
                )
                if not own_task.done() and not _is_success(forwarding.result()):
                    await asyncio.wait({own_task})
            messages = await self._choose_answer(
                own_task, forwarding, scope, buffered
            )
        finally:
            for task in (own_task, forwarding):
                if task is not None:
                    task.cancel()
        for message in messages:
            await send(message)

    async def _answer_locally(
        self, scope: Any, buffered: _BufferedBody
    ) -> list[Any]:
        """Returns the ASGI messages of this node's own answer."""
        if self._peers.is_outdated():
            return _response_messages(_ANOTHER_NODE_NEEDED)
        messages: list[Any] = []

        async def collect(message: Any) -> None:
            messages.append(message)

        started_at = self._clock()
        await self._app(scope, buffered.receive, collect)
        if _is_success(_response_status(messages)):
            times = self._answer_times_for(scope["method"])
            times.observe(self._clock() - started_at)
            times.replenish(repeated=False)
        return messages

    def _answer_times_for(self, method: str) -> ResponseTimeEstimator:
        # Requests of different methods use the store differently.
        return self._answer_times.setdefault(method, ResponseTimeEstimator())

    def _start_forwarding(
        self, scope: Any, buffered: _BufferedBody
    ) -> asyncio.Task[PeerResponse | None]:
        return asyncio.create_task(
            self._peers.forward(_forwarded_request(scope, buffered.body))
        )

    async def _choose_answer(
        self,
        own_task: asyncio.Task[list[Any]],
        forwarding: asyncio.Task[PeerResponse | None] | None,
        scope: Any,
        buffered: _BufferedBody,
    ) -> list[Any]:
        """Returns the ASGI messages of the answer that the caller gets."""
        if forwarding is not None and not own_task.done():
            answer = forwarding.result()
            assert answer is not None
            self._answer_times_for(scope["method"]).replenish(repeated=True)
            return _response_messages(answer)
        messages = await own_task
        status = _response_status(messages)
        if status not in (_SERVICE_UNAVAILABLE, _GATEWAY_TIMEOUT):
            return messages
        if forwarding is None:
            if not buffered.is_complete:
                return messages
            forwarding = self._start_forwarding(scope, buffered)
        answer = await forwarding
        if answer is not None and _prefers_peer_answer(status, answer.status):
            return _response_messages(answer)
        return messages


def _response_status(messages: list[Any]) -> int:
    """Returns the status of an answer's messages, 0 if there are none."""
    return int(messages[0]["status"]) if messages else 0


@functools.singledispatch
def _is_success(answer: object) -> bool:
    """Returns whether an answer says that the request was carried out."""
    return False


@_is_success.register
def _(answer: int) -> bool:
    return 200 <= answer < 300


@_is_success.register
def _(answer: PeerResponse) -> bool:
    return _is_success(answer.status)


def _prefers_peer_answer(own: int, peers: int) -> bool:
    """Returns whether the caller gets the peer's answer, not this node's.

    A request that this node may have carried out is not reported as refused
    because a peer refuses it.
    """
    return _is_success(peers) or own == _SERVICE_UNAVAILABLE


class ForwardedRequestsApp:
    """An ASGI application that answers requests which peers forward.

    Args:
      app: answers callers.
      generation: returns the generation of this node's configuration.
      is_stopping: whether a planned stop has begun; a request that arrives
        after it could be cut off.
    """

    def __init__(
        self,
        app: Any,
        generation: Callable[[], int],
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Wraps the application."""
        self._app = app
        self._generation = generation
        self._is_stopping = is_stopping

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answers one request unless this node's configuration is too old."""

        async def send_with_generation(message: Any) -> None:
            if message["type"] == "http.response.start":
                header = GENERATION_HEADER, str(self._generation()).encode()
                message["headers"] = [*message.get("headers", ()), header]
            await send(message)

        min_generation = max(
            (
                _parse_generation(v)
                for k, v in scope["headers"]
                if k == FORWARDED_HEADER
            ),
            default=0,
        )
        if min_generation > self._generation() or self._is_stopping():
            for message in _response_messages(_ANOTHER_NODE_NEEDED):
                await send_with_generation(message)
            return
        await self._app(scope, receive, send_with_generation)


def _parse_generation(text: bytes) -> int:
    """Returns the generation in a header, 0 if it is not a valid number."""
    return (
        int(text)
        if text.isdigit() and len(text) <= _MAX_GENERATION_DIGITS
        else 0
    )


class _BufferedBody:
    """The body of a request, buffered before the application reads it.

    Attributes:
      body: the part of the body that was read.
    """

    def __init__(self, receive: Any, max_body_bytes: int) -> None:
        self._receive = receive
        self._max_body_bytes = max_body_bytes
        self._has_more = True
        self._was_delivered = False
        self.body = b""

    async def read(self) -> None:
        """Reads the body, but not far beyond the size that may be forwarded."""
        while self._has_more and len(self.body) <= self._max_body_bytes:
            message = await self._receive()
            if message["type"] != "http.request":
                return
            self.body += message.get("body", b"")
            self._has_more = message.get("more_body", False)

    @property
    def is_complete(self) -> bool:
        """Whether the body was read completely and may be forwarded."""
        return not self._has_more and len(self.body) <= self._max_body_bytes

    async def receive(self) -> Any:
        """Returns the buffered part as one message, then the later messages."""
        if self._was_delivered:
            return await self._receive()
        self._was_delivered = True
        return {
            "type": "http.request",
            "body": self.body,
            "more_body": self._has_more,
        }


def _forwarded_request(scope: Any, body: bytes) -> ForwardedRequest:
    path = scope["raw_path"].decode("latin-1")
    return ForwardedRequest(
        scope["method"],
        path,
        tuple(
            (name, value)
            for name, value in scope["headers"]
            if name in _FORWARDED_HEADERS
        ),
        body,
    )


def _response_messages(answer: PeerResponse) -> list[Any]:
    """Returns an answer's ASGI messages.

    They close the connection, so that the caller connects to another node next.
    """
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


def make_nodes_mirror(
    store: FeedStore, clock: Callable[[], float], log: DecisionLog
) -> TableMirror:
    """Returns a mirror of the table of nodes, which rarely changes."""
    return TableMirror(
        store, NODES_TABLE, clock, log, NODES_WAIT_S, NODES_INTERVAL_S
    )
