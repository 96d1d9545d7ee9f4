"""Messages and digests between nodes, over TCP."""

from __future__ import annotations

import asyncio
import functools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable

from absl import logging

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership import (
    Frame,
    MembershipConfig,
    MembershipProtocol,
    NodeState,
    Rumour,
)
from pomeloarch_core.membership.messages import (
    Deliver,
    Effect,
    NodeChanged,
    ResetLink,
    SendFrame,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peer_codec import encode_frame
from pomeloarch_node.peer_link import PeerLink
from pomeloarch_node.peer_listener import PeerListener
from pomeloarch_node.peers import PeerMessage
from pomeloarch_node.settings import Settings

_MAX_INBOX = 1_024
_MAX_SUBSCRIBER_QUEUE = 1_024
_MAX_LINKS = 128


class TcpPeerMessenger:
    """The plane between nodes, a task that owns the membership protocol.

    Args:
      me: this node as it announces itself.
      port: the port to listen on, 0 for any.
      seeds: peer addresses to join by.
      metrics: counts frames and bytes.
      clock: monotonic time, in seconds.
      rng: for targets of probes.
      cfg: times and bounds of the protocol.
      open_link: makes the outgoing link to an address.
    """

    def __init__(
        self,
        me: Rumour,
        seeds: Iterable[str],
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
        cfg: MembershipConfig | None = None,
        open_link: Callable[[str], PeerLink] = PeerLink,
    ) -> None:
        """Starts with no other node known and no socket."""
        self._protocol = MembershipProtocol(me, seeds, rng, cfg)
        self._metrics = metrics
        self._clock = clock
        self._open_link = open_link
        self._listener = PeerListener(metrics, self._take)
        self._inbox: asyncio.Queue[Frame] = asyncio.Queue(_MAX_INBOX)
        self._links: dict[str, PeerLink] = {}
        self._sends: set[asyncio.Task[bool]] = set()
        self._queues: dict[str, list[asyncio.Queue[PeerMessage]]] = defaultdict(
            list
        )

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        incarnation: int,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> TcpPeerMessenger:
        """Builds the plane of a node.

        Args:
          settings: the node's settings.
          incarnation: a number that grows with each start of the node, such
            as the wall clock in milliseconds.
          metrics: counts frames and bytes.
          clock: monotonic time, in seconds.
          rng: for targets of probes.
        """
        me = Rumour(
            settings.node_id,
            settings.availability_zone,
            f"{settings.address}:{settings.peer_port}",
            NodeState.ALIVE,
            incarnation,
        )
        return cls(me, settings.seeds, metrics, clock, rng)

    # ---- what the other parts of the node ask

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic; the latest one spreads."""
        self._protocol.set_digest(topic, payload)

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns the latest digests of the other live nodes."""
        return {
            node: _message(delivery)
            for node, delivery in self._protocol.digests(topic).items()
        }

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns the nodes believed to live, this one included.

        Of other zones only the bridges are known, two a zone.
        """
        return self._protocol.live_nodes()

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Takes peer addresses from the platform's list."""
        self._protocol.set_listed(addresses)

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Sends one message; returns whether it was handed to a socket."""
        now = self._clock()
        order = self._protocol.message(node, topic, payload, now, data=data)
        if order is None:
            self._metrics.count("peer_messages_refused", topic=topic)
            return False
        return await self._write(order)

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a queue of the messages and digests of a topic."""
        queue: asyncio.Queue[PeerMessage] = asyncio.Queue(_MAX_SUBSCRIBER_QUEUE)
        self._queues[topic].append(queue)
        return queue

    # ---- the task

    async def run(self) -> None:
        """Listens and takes part in the protocol until it is cancelled."""
        address, _, port = self._protocol.local.address.rpartition(":")
        await self._listener.open(address, int(port))
        try:
            while True:
                await self._step()
        finally:
            self._listener.close()
            for task in self._sends:
                task.cancel()
            for link in self._links.values():
                link.close()

    async def drain(self) -> None:
        """Announces to the live nodes that this one leaves."""
        self._carry_out(self._protocol.leave(self._clock()))
        if self._sends:
            await asyncio.wait(self._sends)
        await asyncio.gather(*(link.finish() for link in self._links.values()))

    async def _step(self) -> None:
        """Waits for a frame or for what is due, and handles it."""
        wait_s = self._protocol.due() - self._clock()
        if wait_s <= 0:
            self._carry_out(self._protocol.tick(self._clock()))
            self._report()
        frame = await self._next_frame(max(0.0, wait_s))
        if frame is not None:
            self._carry_out(self._protocol.receive(frame, self._clock()))

    async def _next_frame(self, wait_s: float) -> Frame | None:
        try:
            async with asyncio.timeout(wait_s):
                return await self._inbox.get()
        except TimeoutError:
            return None

    def _take(self, frame: Frame) -> None:
        try:
            self._inbox.put_nowait(frame)
        except asyncio.QueueFull:
            self._metrics.count("peer_frames_dropped")

    def _carry_out(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            self._do(effect)

    @functools.singledispatchmethod
    def _do(self, effect: Effect) -> None:
        raise TypeError(f"no such effect: {type(effect).__name__}")

    @_do.register
    def _(self, effect: SendFrame) -> None:
        task = asyncio.create_task(self._write(effect))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    @_do.register
    def _(self, effect: ResetLink) -> None:
        link = self._links.pop(effect.address, None)
        if link is not None:
            link.close()
            self._metrics.count("peer_links_reset")

    @_do.register
    def _(self, effect: Deliver) -> None:
        for queue in self._queues[effect.topic]:
            if queue.full():
                queue.get_nowait()
                self._metrics.count("peer_messages_dropped")
            queue.put_nowait(_message(effect))

    @_do.register
    def _(self, effect: NodeChanged) -> None:
        rumour = effect.rumour
        logging.info(
            "node %s of %s is %s (incarnation %d)",
            rumour.node,
            rumour.availability_zone,
            rumour.state.name.lower(),
            rumour.incarnation,
        )
        self._metrics.count("peer_changes", state=rumour.state.name.lower())

    async def _write(self, order: SendFrame) -> bool:
        encoded = encode_frame(order.frame)
        self._protocol.record_encoded_size(order, len(encoded), self._clock())
        sent = await self._link(order.address).send(encoded)
        if sent:
            self._metrics.count("peer_sent_bytes", len(encoded))
            self._metrics.count("peer_sent_frames")
        return sent

    def _link(self, address: str) -> PeerLink:
        """Returns the link to an address; the one unused longest goes."""
        link = self._links.pop(address, None)
        if link is None:
            link = self._open_link(address)
            if len(self._links) >= _MAX_LINKS:
                oldest = next(iter(self._links))
                self._links.pop(oldest).close()
        self._links[address] = link
        return link

    def _report(self) -> None:
        self._metrics.set("peer_live_nodes", len(self._protocol.live_nodes()))


def _message(delivery: Deliver) -> PeerMessage:
    return PeerMessage(
        delivery.sender,
        delivery.availability_zone,
        delivery.topic,
        delivery.payload,
    )
