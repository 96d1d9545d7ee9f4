"""The platform's balancer and callers, as far as the demo needs them."""

from __future__ import annotations

import asyncio
import enum
import itertools
import time
import uuid
from typing import Any

import aiohttp
import msgspec

from pomeloarch_standins.demo_layout import NodePlace

_PROBE_INTERVAL_S = 0.2
_PROBE_TIMEOUT_S = 0.4
_REQUEST_TIMEOUT_S = 15.0
_TRIES = 6


class Ending(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CUT = "cut"


class Call(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes:
      path: the path below the service.
      organisation: whose request it is.
      caller: who sends it.
      non_idempotent: it may run at most once.
      deadline_ms: the time it has, in milliseconds.
      key: its idempotency key, which the executor is sent as body too.
    """

    path: str
    organisation: str
    caller: str
    non_idempotent: bool = False
    deadline_ms: int = 10_000
    key: str = msgspec.field(default_factory=lambda: uuid.uuid4().hex)


class CallResult(msgspec.Struct, frozen=True):
    """What became of a request.

    Attributes:
      call: the request.
      ending: how it ended.
      seconds: how long it took, in seconds.
      node: which node answered last, or was to.
      own_answer: whether the answer was the whole one to this request.
      reason: the problem's reason, or the fault.
    """

    call: Call
    ending: Ending
    seconds: float
    node: str
    own_answer: bool = False
    reason: str = ""


class Balancer:
    """Sends to ready nodes in turn; a node that can't be reached is skipped.

    Args:
      nodes: all nodes.
      session: the HTTP session of the callers.
    """

    def __init__(
        self, nodes: list[NodePlace], session: aiohttp.ClientSession
    ) -> None:
        """Believes no node ready before its first probe."""
        self._nodes = nodes
        self._session = session
        self._ready: set[str] = set()
        self._turn = itertools.count()

    @property
    def ready(self) -> frozenset[str]:
        """The names of the nodes believed ready."""
        return frozenset(self._ready)

    async def run(self) -> None:
        """Probes all nodes until it is cancelled."""
        while True:
            await asyncio.gather(*(self._probe(node) for node in self._nodes))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe(self, node: NodePlace) -> None:
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

    def pick(self) -> NodePlace:
        """Returns the next ready node, any node when none is."""
        ready = [node for node in self._nodes if node.name in self._ready]
        choices = ready or self._nodes
        return choices[next(self._turn) % len(choices)]


async def wait_until_alive(
    nodes: list[NodePlace], session: aiohttp.ClientSession, timeout_s: float
) -> None:
    """Waits until every node answers.

    Raises:
      RuntimeError: a node did not start in time.
    """
    begun = time.monotonic()
    for node in nodes:
        while not await _alive(node.url, session):
            if time.monotonic() - begun > timeout_s:
                raise RuntimeError(f"{node.name} did not start")
            await asyncio.sleep(_PROBE_INTERVAL_S)


async def _alive(url: str, session: aiohttp.ClientSession) -> bool:
    try:
        async with session.get(f"{url}/healthz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


class Callers:
    """Sends requests through the balancer and judges their answers.

    Args:
      balancer: chooses the node.
      session: the HTTP session.
      service: the service that is called.
    """

    def __init__(
        self,
        balancer: Balancer,
        session: aiohttp.ClientSession,
        service: str,
    ) -> None:
        """Keeps where to send."""
        self._balancer = balancer
        self._session = session
        self._service = service

    async def send(self, call: Call) -> CallResult:
        """Sends one request; only a refused connection is tried elsewhere."""
        begun = time.monotonic()
        for _ in range(_TRIES):
            node = self._balancer.pick()
            try:
                return await self._send_to(node, call, begun)
            except aiohttp.ClientConnectorError as exc:
                result = _failed(call, begun, node, Ending.NOT_RUN, exc)
                await asyncio.sleep(_PROBE_INTERVAL_S)
            except (TimeoutError, aiohttp.ClientError) as exc:
                return _failed(call, begun, node, Ending.CUT, exc)
        return result

    async def _send_to(
        self, node: NodePlace, call: Call, begun: float
    ) -> CallResult:
        url = f"{node.url}/v1/services/{self._service}{call.path}"
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
        async with self._session.post(
            url, data=call.key, headers=_headers(call), timeout=timeout
        ) as response:
            body = await response.read()
            seconds = time.monotonic() - begun
            if response.status == 200:
                own = call.key.encode() in body
                return CallResult(
                    call, Ending.ANSWERED, seconds, node.name, own
                )
            return _problem(call, seconds, node, body)


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


def _failed(
    call: Call, begun: float, node: NodePlace, ending: Ending, exc: Exception
) -> CallResult:
    seconds = time.monotonic() - begun
    return CallResult(call, ending, seconds, node.name, reason=repr(exc))


def _problem(
    call: Call, seconds: float, node: NodePlace, body: bytes
) -> CallResult:
    try:
        problem: dict[str, Any] = msgspec.json.decode(body, type=dict)
        ending = Ending(problem["outcome"])
    except (msgspec.DecodeError, KeyError, ValueError):
        return CallResult(
            call, Ending.CUT, seconds, node.name, reason=repr(body[:80])
        )
    return CallResult(
        call, ending, seconds, node.name, reason=problem.get("reason", "")
    )
