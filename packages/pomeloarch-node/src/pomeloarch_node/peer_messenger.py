"""Exchanges messages and digests with other nodes over TCP."""

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

# Limit on the received frames that wait to be handled; others are dropped.
_MAX_RECEIVED_FRAMES = 1_024
# Limit on the messages in a subscriber's queue; the oldest ones are dropped.
_MAX_QUEUED_MESSAGES = 1_024
# Limit on the outgoing links; the least recently used one is closed.
_MAX_LINKS = 128


class TcpPeerMessenger:
    """A `PeerMessenger` over TCP, which runs the membership protocol.

    Args:
      local: this node as it announces itself; it listens on the port of its
        address.
      seeds: peer addresses through which the node joins.
      metrics: counts frames and bytes.
      clock: monotonic time, in seconds.
      rng: chooses the targets of probes.
      cfg: intervals and limits of the protocol.
      open_link: creates the outgoing link to an address.
    """

    def __init__(
        self,
        local: Rumour,
        seeds: Iterable[str],
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
        cfg: MembershipConfig | None = None,
        open_link: Callable[[str], PeerLink] = PeerLink,
    ) -> None:
        """Creates a messenger that knows no other node and has no socket."""
        self._protocol = MembershipProtocol(local, seeds, rng, cfg)
        self._metrics = metrics
        self._clock = clock
        self._open_link = open_link
        self._listener = PeerListener(metrics, self._enqueue_frame)
        self._received_frames: asyncio.Queue[Frame] = asyncio.Queue(
            _MAX_RECEIVED_FRAMES
        )
        self._links: dict[str, PeerLink] = {}
        self._send_tasks: set[asyncio.Task[bool]] = set()
        self._subscriber_queues: dict[str, list[asyncio.Queue[PeerMessage]]] = (
            defaultdict(list)
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
        """Creates the messenger of a node.

        Args:
          settings: the node's settings.
          incarnation: a number that increases with each start of the node, such
            as the time of the wall clock in milliseconds.
          metrics: counts frames and bytes.
          clock: monotonic time, in seconds.
          rng: chooses the targets of probes.
        """
        local = Rumour(
            settings.node_id,
            settings.availability_zone,
            f"{settings.address}:{settings.peer_port}",
            NodeState.ALIVE,
            incarnation,
        )
        return cls(local, settings.seeds, metrics, clock, rng)

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic, which other nodes receive."""
        self._protocol.set_digest(topic, payload)

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns the latest digest of each other live node."""
        return {
            node: _make_message(delivery)
            for node, delivery in self._protocol.digests(topic).items()
        }

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns the nodes assumed to be alive and their zones.

        This node is included. Of each other zone only its two bridge
        nodes are known.
        """
        return self._protocol.live_nodes()

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Replaces the peer addresses that come from the platform's list."""
        self._protocol.set_listed(addresses)

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Sends a message to one node; see `PeerMessenger.send`."""
        now = self._clock()
        outgoing = self._protocol.message(node, topic, payload, now, data=data)
        if outgoing is None:
            self._metrics.count("peer_messages_refused", topic=topic)
            return False
        return await self._write(outgoing)

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a new queue of a topic's messages and digests."""
        queue: asyncio.Queue[PeerMessage] = asyncio.Queue(_MAX_QUEUED_MESSAGES)
        self._subscriber_queues[topic].append(queue)
        return queue

    async def run(self) -> None:
        """Listens and runs the membership protocol until it is cancelled."""
        address, _, port = self._protocol.local.address.rpartition(":")
        await self._listener.open(address, int(port))
        try:
            while True:
                await self._run_once()
        finally:
            self._listener.close()
            for task in self._send_tasks:
                task.cancel()
            for link in self._links.values():
                link.close()

    async def drain(self) -> None:
        """Announces that this node leaves, and closes the outgoing links."""
        self._execute_effects(self._protocol.leave(self._clock()))
        if self._send_tasks:
            await asyncio.wait(self._send_tasks)
        await asyncio.gather(
            *(link.flush_and_close() for link in self._links.values())
        )

    async def _run_once(self) -> None:
        """Runs the protocol's timer if it is due, and handles one frame.

        It waits for the frame at most until the timer is due.
        """
        wait_s = self._protocol.due() - self._clock()
        if wait_s <= 0:
            self._execute_effects(self._protocol.tick(self._clock()))
            self._update_metrics()
        frame = await self._next_frame(max(0.0, wait_s))
        if frame is not None:
            self._execute_effects(self._protocol.receive(frame, self._clock()))

    async def _next_frame(self, wait_s: float) -> Frame | None:
        try:
            async with asyncio.timeout(wait_s):
                return await self._received_frames.get()
        except TimeoutError:
            return None

    def _enqueue_frame(self, frame: Frame) -> None:
        try:
            self._received_frames.put_nowait(frame)
        except asyncio.QueueFull:
            self._metrics.count("peer_frames_dropped")

    def _execute_effects(self, effects: Iterable[Effect]) -> None:
        for effect in effects:
            self._execute_effect(effect)

    @functools.singledispatchmethod
    def _execute_effect(self, effect: Effect) -> None:
        raise TypeError(f"unknown effect type: {type(effect).__name__}")

    @_execute_effect.register
    def _(self, effect: SendFrame) -> None:
        task = asyncio.create_task(self._write(effect))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    @_execute_effect.register
    def _(self, effect: ResetLink) -> None:
        link = self._links.pop(effect.address, None)
        if link is not None:
            link.close()
            self._metrics.count("peer_links_reset")

    @_execute_effect.register
    def _(self, effect: Deliver) -> None:
        for queue in self._subscriber_queues[effect.topic]:
            if queue.full():
                queue.get_nowait()
                self._metrics.count("peer_messages_dropped")
            queue.put_nowait(_make_message(effect))

    @_execute_effect.register
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

    async def _write(self, outgoing: SendFrame) -> bool:
        encoded = encode_frame(outgoing.frame)
        self._protocol.record_encoded_size(
            outgoing, len(encoded), self._clock()
        )
        sent = await self._link(outgoing.address).send(encoded)
        if sent:
            self._metrics.count("peer_sent_bytes", len(encoded))
            self._metrics.count("peer_sent_frames")
        return sent

    def _link(self, address: str) -> PeerLink:
        """Returns the link to an address, which is created if there is none.

        If there are too many links, the least recently used one is closed.
        """
        link = self._links.pop(address, None)
        if link is None:
            link = self._open_link(address)
            if len(self._links) >= _MAX_LINKS:
                oldest = next(iter(self._links))
                self._links.pop(oldest).close()
        self._links[address] = link
        return link

    def _update_metrics(self) -> None:
        self._metrics.set("peer_live_nodes", len(self._protocol.live_nodes()))


def _make_message(delivery: Deliver) -> PeerMessage:
    return PeerMessage(
        delivery.sender,
        delivery.availability_zone,
        delivery.topic,
        delivery.payload,
    )
