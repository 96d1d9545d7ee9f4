"""The load balancer and the callers of the demo."""

from __future__ import annotations

import asyncio
import enum
import itertools
import time
import uuid
from typing import Any

import aiohttp
import msgspec

from pomeloarch_standins.demo_layout import NodeAddress

_PROBE_INTERVAL_S = 0.2
_PROBE_TIMEOUT_S = 0.4
_REQUEST_TIMEOUT_S = 15.0
# Limit on the attempts to send a request when connections are refused.
_MAX_ATTEMPTS = 6


class CallOutcome(enum.Enum):
    """The outcome of a request for its caller.

    Attributes:
      ANSWERED: it was answered.
      NOT_RUN: it was refused without having run.
      UNKNOWN: it failed and may have run.
      CUT: its connection failed, the response was not valid, or there was
        none in time.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CUT = "cut"


class Call(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes:
      path: the path below the service.
      organisation: the organisation that sends it.
      caller: the caller within the organisation.
      non_idempotent: whether it may run at most once.
      deadline_ms: the time allowed for it, in milliseconds.
      key: its request id and idempotency key, which is also its body.
    """

    path: str
    organisation: str
    caller: str
    non_idempotent: bool = False
    deadline_ms: int = 10_000
    key: str = msgspec.field(default_factory=lambda: uuid.uuid4().hex)


class CallResult(msgspec.Struct, frozen=True):
    """The result of a request.

    Attributes:
      call: the request.
      ending: the outcome.
      seconds: the duration, in seconds.
      node: the node that it was last sent to.
      own_answer: whether the answer belongs to this request.
      reason: the reason in the problem document, or the error.
    """

    call: Call
    ending: CallOutcome
    seconds: float
    node: str
    own_answer: bool = False
    reason: str = ""


class Balancer:
    """Selects ready nodes in turn.

    Args:
      nodes: all nodes.
      session: the HTTP session of the callers.
    """

    def __init__(
        self, nodes: list[NodeAddress], session: aiohttp.ClientSession
    ) -> None:
        """Creates a balancer for which no node is ready yet."""
        self._nodes = nodes
        self._session = session
        self._ready: set[str] = set()
        self._next_index = itertools.count()

    @property
    def ready(self) -> frozenset[str]:
        """The names of the nodes whose latest probe found them ready."""
        return frozenset(self._ready)

    async def run(self) -> None:
        """Probes all nodes until it is cancelled."""
        while True:
            await asyncio.gather(*(self._probe(node) for node in self._nodes))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe(self, node: NodeAddress) -> None:
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{node.url}/readyz", timeout=timeout
            ) as response:
                ready = response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            ready = False
        if ready:
            self._ready.add(node.name)
        else:
            self._ready.discard(node.name)

    def pick(self) -> NodeAddress:
        """Returns the next ready node, or the next node when none is ready."""
        ready = [node for node in self._nodes if node.name in self._ready]
        choices = ready or self._nodes
        return choices[next(self._next_index) % len(choices)]


async def wait_until_alive(
    nodes: list[NodeAddress], session: aiohttp.ClientSession, timeout_s: float
) -> None:
    """Waits until every node answers its health check.

    Raises:
      RuntimeError: a node did not start in time.
    """
    started_at = time.monotonic()
    for node in nodes:
        while not await _is_alive(node.url, session):
            if time.monotonic() - started_at > timeout_s:
                raise RuntimeError(f"{node.name} did not start")
            await asyncio.sleep(_PROBE_INTERVAL_S)


async def _is_alive(url: str, session: aiohttp.ClientSession) -> bool:
    try:
        async with session.get(f"{url}/healthz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


class RequestClient:
    """Sends requests through the balancer and classifies the responses.

    Args:
      balancer: selects the node.
      session: the HTTP session.
      service: the name of the called service.
    """

    def __init__(
        self,
        balancer: Balancer,
        session: aiohttp.ClientSession,
        service: str,
    ) -> None:
        """Creates a client that has sent nothing."""
        self._balancer = balancer
        self._session = session
        self._service = service

    async def send(self, call: Call) -> CallResult:
        """Sends a request; only a refused connection is retried elsewhere."""
        started_at = time.monotonic()
        for _ in range(_MAX_ATTEMPTS):
            node = self._balancer.pick()
            try:
                return await self._send_to(node, call, started_at)
            except aiohttp.ClientConnectorError as exc:
                result = _make_failure(
                    call, started_at, node, CallOutcome.NOT_RUN, exc
                )
                await asyncio.sleep(_PROBE_INTERVAL_S)
            except (TimeoutError, aiohttp.ClientError) as exc:
                return _make_failure(
                    call, started_at, node, CallOutcome.CUT, exc
                )
        return result

    async def _send_to(
        self, node: NodeAddress, call: Call, started_at: float
    ) -> CallResult:
        url = f"{node.url}/v1/services/{self._service}{call.path}"
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        async with self._session.post(
            url, data=call.key, headers=_headers(call), timeout=timeout
        ) as response:
            body = await response.read()
            seconds = time.monotonic() - started_at
            if response.status == 200:
                own = call.key.encode() in body
                return CallResult(
                    call, CallOutcome.ANSWERED, seconds, node.name, own
                )
            return _parse_problem(call, seconds, node, body)


def _headers(call: Call) -> dict[str, str]:
    headers = {
        "Pomelo-Organisation": call.organisation,
        "Pomelo-Caller": call.caller,
        "Pomelo-Deadline-Ms": str(call.deadline_ms),
        "Pomelo-Request-Id": call.key,
    }
    if call.non_idempotent:
        headers["Pomelo-Non-Idempotent"] = "1"
        headers["Idempotency-Key"] = call.key
    return headers


def _make_failure(
    call: Call,
    started_at: float,
    node: NodeAddress,
    ending: CallOutcome,
    exc: Exception,
) -> CallResult:
    seconds = time.monotonic() - started_at
    return CallResult(call, ending, seconds, node.name, reason=repr(exc))


def _parse_problem(
    call: Call, seconds: float, node: NodeAddress, body: bytes
) -> CallResult:
    try:
        problem: dict[str, Any] = msgspec.json.decode(body, type=dict)
        ending = CallOutcome(problem["outcome"])
    except (msgspec.DecodeError, KeyError, ValueError):
        return CallResult(
            call, CallOutcome.CUT, seconds, node.name, reason=repr(body[:80])
        )
    return CallResult(
        call, ending, seconds, node.name, reason=problem.get("reason", "")
    )
