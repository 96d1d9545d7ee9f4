"""Fakes of the interfaces through which the job plane uses its node."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
from result import Err, Ok, Result
from starlette.types import ASGIApp

from pomeloarch_core.ids import Epoch, NodeId, ZoneName
from pomeloarch_core.membership import MAX_MESSAGE_BYTES
from pomeloarch_node.peers import PeerMessage
from pomeloarch_node.worker_client import (
    OrdersAnswer,
    OrdersRequest,
    WorkerError,
    WorkerFailure,
)
from pomeloarch_standins.worker_fleet import WorkerFleet
from pomeloarch_standins.workers import LATE_S, FaultMode

# Time after which a caller gives up a call, in seconds.
TIMEOUT_S = 2.0


class FakeRole:
    """A leased role that a test grants and revokes."""

    def __init__(self) -> None:
        """Creates a role that is not held."""
        self._epoch: Epoch | None = None
        self._changed = asyncio.Event()
        self.released = False

    def epoch(self) -> Epoch | None:
        """Returns the epoch of the role, None while it is not held."""
        return self._epoch

    def is_sole_holder(self) -> bool:
        """Returns whether the role is held here; no other node claims it."""
        return self._epoch is not None

    async def wait_for_change(self) -> None:
        """Waits until the role is gained, lost or regained."""
        self._changed.clear()
        await self._changed.wait()

    async def release(self) -> None:
        """Releases the role so that another node can take it at once."""
        self.released = True
        self.set(None)

    def set(self, epoch: int | None) -> None:
        """Grants the role under an epoch, or revokes it with None."""
        self._epoch = None if epoch is None else Epoch(epoch)
        self._changed.set()

    def lapse(self) -> None:
        """Lets the lease run out without notifying waiters."""
        self._epoch = None


class FakeNetwork:
    """The nodes that exchange messages."""

    def __init__(self) -> None:
        """Creates a network without nodes."""
        self.planes: dict[NodeId, FakePeers] = {}


class FakePeers:
    """An in-memory `PeerMessenger`.

    Args:
      network: the nodes that exchange messages.
      node: the id of this node.
      zone: the availability zone of this node.
    """

    def __init__(
        self, network: FakeNetwork, node: NodeId, zone: ZoneName
    ) -> None:
        """Joins the network."""
        self.node = node
        self.zone = zone
        self.cut_off = False
        self._network = network
        self._own_digests: dict[str, bytes] = {}
        self._queues: dict[str, list[asyncio.Queue[PeerMessage]]] = defaultdict(
            list
        )
        network.planes[node] = self

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic, which other nodes see."""
        self._own_digests[topic] = payload

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns the latest digests of the other live nodes."""
        return {
            node: PeerMessage(
                node, plane.zone, topic, plane._own_digests[topic]
            )
            for node, plane in self._reachable_planes().items()
            if node != self.node and topic in plane._own_digests
        }

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns the reachable nodes, including this one."""
        return {
            node: plane.zone for node, plane in self._reachable_planes().items()
        }

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Sends one message; returns whether it was delivered."""
        plane = self._reachable_planes().get(node)
        if plane is None or len(payload) > MAX_MESSAGE_BYTES:
            return False
        for queue in plane._queues[topic]:
            queue.put_nowait(PeerMessage(self.node, self.zone, topic, payload))
        return True

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a queue of the messages and digests of a topic."""
        queue: asyncio.Queue[PeerMessage] = asyncio.Queue()
        self._queues[topic].append(queue)
        return queue

    def _reachable_planes(self) -> dict[NodeId, FakePeers]:
        return {
            node: plane
            for node, plane in self._network.planes.items()
            if node == self.node or not (self.cut_off or plane.cut_off)
        }


class FakeWorkerClient:
    """A client of simulated workers in the same process.

    Args:
      fleet: the workers.

    Attributes:
      faults: the fault of the connection to each worker, by worker id.
      calls: the number of calls made.
      on_post: called with each call before it is carried out; it may return
        a fault for it.
    """

    def __init__(self, fleet: WorkerFleet) -> None:
        """Creates a client whose workers are all reachable."""
        self._fleet = fleet
        self.faults: dict[str, FaultMode] = {}
        self.calls = 0
        self.on_post: (
            Callable[[str, OrdersRequest], FaultMode | None] | None
        ) = None

    async def post(
        self, address: str, req: OrdersRequest
    ) -> Result[OrdersAnswer, WorkerError]:
        """Sends orders to the worker at `ip:port/worker-id`."""
        self.calls += 1
        worker_id = address.rpartition("/")[2]
        mode = self.faults.get(worker_id, FaultMode.NONE)
        if self.on_post is not None:
            mode = self.on_post(worker_id, req) or mode
        if mode is FaultMode.DOWN:
            return Err(WorkerError(WorkerFailure.NOT_SENT, "refused"))
        if mode is FaultMode.REFUSE:
            return Err(WorkerError(WorkerFailure.UNKNOWN, "status 503"))
        if mode is FaultMode.STALL:
            return await _time_out()
        worker = self._fleet.workers[worker_id]
        loop = asyncio.get_running_loop()
        if mode is FaultMode.LATE:
            loop.call_later(LATE_S, lambda: worker.handle(req, loop.time()))
            return await _time_out()
        now = loop.time()
        answer = worker.handle(req, now)
        if mode is FaultMode.LOSE:
            return await _time_out()
        if answer is None:
            return Err(
                WorkerError(WorkerFailure.FENCED, "fenced", worker.epoch)
            )
        return Ok(answer)


class AsgiAnswer(msgspec.Struct, frozen=True):
    """The response of an ASGI application."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return msgspec.json.decode(self.body)


async def asgi_call(
    app: ASGIApp,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> AsgiAnswer:
    """Calls an ASGI application in the same process."""
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": [
            (name.lower().encode(), value.encode())
            for name, value in (headers or {}).items()
        ],
    }
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: MutableMapping[str, Any]) -> None:
        sent.append(dict(message))

    await app(scope, receive, send)
    return AsgiAnswer(
        sent[0]["status"],
        {name.decode(): text.decode() for name, text in sent[0]["headers"]},
        b"".join(part.get("body", b"") for part in sent[1:]),
    )


async def _time_out() -> Result[OrdersAnswer, WorkerError]:
    await asyncio.sleep(TIMEOUT_S)
    return Err(WorkerError(WorkerFailure.UNKNOWN, "no answer in time"))
