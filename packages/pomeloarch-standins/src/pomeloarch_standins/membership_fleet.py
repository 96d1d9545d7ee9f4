"""A simulated fleet that exchanges membership and generations.

All nodes run in one process in virtual time. Frames are encoded and decoded as
on the wire, but there are no sockets.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any

from pomeloarch_core.ids import (
    Generation,
    NodeId,
    OrganisationName,
    PublicationId,
    ZoneName,
)
from pomeloarch_core.membership import (
    MembershipProtocol,
    NodeState,
    Rumour,
)
from pomeloarch_core.membership.framing import PACKET_OVERHEAD_BYTES
from pomeloarch_core.membership.generation_exchange import (
    TICK_S,
    ExchangeEffect,
    GenerationExchange,
    Install,
    SendTo,
)
from pomeloarch_core.membership.generation_messages import (
    Have,
    decode_message,
    encode_message,
)
from pomeloarch_core.membership.messages import (
    Deliver,
    Effect,
    Frame,
    RumoursOnly,
    SendFrame,
)
from pomeloarch_core.objects.model import ObjectSet, Organisation, Snapshot
from pomeloarch_node.peer_codec import (
    LENGTH_BYTES,
    decode_frame,
    encode_frame,
)

# One-way delay of a frame within a zone, in seconds.
IN_ZONE_DELAY_S = 0.000_5
# One-way delay of a frame between zones, in seconds.
BETWEEN_ZONES_DELAY_S = 0.003_5
DIGEST_BYTES = 300
# Time between two digests of a node, in seconds.
DIGEST_PERIOD_S = 1.0
# Number of objects in a published set.
_OBJECTS = 200
_TOPIC = "generation"


class FleetNode:
    """One node's protocol state machines and its traffic counters.

    Attributes:
      me: the node's entry in the membership.
      bytes_sent: the number of bytes sent, including packet overhead.
      bytes_received: the number of bytes received, including packet overhead.
      frames_sent: the number of frames sent.
    """

    def __init__(self, name: str, zone: str, rng: random.Random) -> None:
        """Creates a node that knows no other nodes."""
        address = f"10.0.{zlib.crc32(name.encode()) % 65536 >> 8}.1:7000"
        self.name = NodeId(name)
        self.zone = ZoneName(zone)
        me = Rumour(self.name, self.zone, address, NodeState.ALIVE, 1)
        self.me = me
        self.protocol = MembershipProtocol(me, (), rng)
        self.exchange = GenerationExchange(self.name, self.zone, rng)
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0


class MeasuredFleet:
    """A fleet of nodes that know each other, on a simulated network.

    Args:
      zones: the number of zones.
      nodes_per_zone: the number of nodes in each zone.
      seed: the seed of all random numbers.
      topics: the number of digests of `DIGEST_BYTES` that each node sets in
        each `DIGEST_PERIOD_S`.

    Attributes:
      cpu_s: the processor time of the state machines, in seconds.
      generation: the latest published generation.
    """

    def __init__(
        self, zones: int, nodes_per_zone: int, seed: int, topics: int = 1
    ) -> None:
        """Creates the nodes and introduces them to each other."""
        self.now = 0.0
        self.cpu_s = 0.0
        self._rng = random.Random(seed)
        self._topics = topics
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self.nodes = {
            node.name: node
            for node in (
                FleetNode(f"n{zone}-{index}", f"zone-{zone}", self._rng)
                for zone in range(zones)
                for index in range(nodes_per_zone)
            )
        }
        self._introduce()
        self._objects = [
            Organisation(name=OrganisationName(f"organisation-{number}"))
            for number in range(_OBJECTS)
        ]
        self.generation = 0
        self.publish()

    def run(self, seconds: float) -> None:
        """Runs the fleet for some seconds and adds its processor time."""
        end = self.now + seconds
        begin = time.process_time()
        while self._events and self._events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = end
        self.cpu_s += time.process_time() - begin

    def reset_counts(self) -> None:
        """Resets the counters of traffic and processor time."""
        self.cpu_s = 0.0
        for node in self.nodes.values():
            node.bytes_sent = node.bytes_received = node.frames_sent = 0

    def publish(self) -> None:
        """Publishes a generation with one changed object at a random node."""
        self.generation += 1
        index = self.generation % _OBJECTS
        self._objects[index] = Organisation(
            name=OrganisationName(f"organisation-{index}"),
            quota_accelerators=self.generation,
        )
        snapshot = Snapshot(
            Generation(self.generation),
            PublicationId(f"publication-{self.generation}"),
            ObjectSet(organisation=tuple(self._objects)),
        )
        node = self.nodes[self._rng.choice(sorted(self.nodes))]
        node.exchange.update_live_nodes(node.protocol.live_nodes())
        self._apply_exchange_effects(node, node.exchange.offer(snapshot))

    def lowest_generation(self) -> int:
        """Returns the lowest generation in force at any node."""
        return min(
            node.exchange.snapshot.generation for node in self.nodes.values()
        )

    def kill(self, name: NodeId) -> None:
        """Stops a node without notice to the others."""
        del self.nodes[name]

    def _introduce(self) -> None:
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.protocol.receive(_introduction_frame(other), 0.0)
            self._schedule(self._rng.random(), self._tick, node)
            self._schedule(self._rng.random(), self._tick_exchange, node)
            self._schedule(self._rng.random(), self._set_load, node)

    def _schedule(
        self, delay_s: float, function: Callable[..., None], *args: Any
    ) -> None:
        event = self.now + delay_s, next(self._order), function, args
        heapq.heappush(self._events, event)

    def _tick(self, node: FleetNode) -> None:
        if node.name not in self.nodes:
            return
        self._apply_effects(node, node.protocol.tick(self.now))
        wait_s = max(0.001, node.protocol.due() - self.now)
        self._schedule(wait_s, self._tick, node)

    def _tick_exchange(self, node: FleetNode) -> None:
        node.exchange.update_live_nodes(node.protocol.live_nodes())
        self._apply_exchange_effects(node, node.exchange.tick(self.now))
        self._schedule(TICK_S, self._tick_exchange, node)

    def _set_load(self, node: FleetNode) -> None:
        for number in range(self._topics):
            digest = self._rng.randbytes(DIGEST_BYTES)
            node.protocol.set_digest(f"load-{number}", digest)
        self._schedule(DIGEST_PERIOD_S, self._set_load, node)

    def _receive(self, name: NodeId, encoded: bytes) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        node.bytes_received += len(encoded) + PACKET_OVERHEAD_BYTES
        frame = decode_frame(encoded[LENGTH_BYTES:]).unwrap()
        self._apply_effects(node, node.protocol.receive(frame, self.now))

    def _apply_effects(
        self, node: FleetNode, effects: Iterable[Effect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendFrame):
                self._transmit(node, effect)
            elif isinstance(effect, Deliver) and effect.topic == _TOPIC:
                message = decode_message(effect.payload).unwrap()
                self._apply_exchange_effects(
                    node,
                    node.exchange.receive(effect.sender, message, self.now),
                )

    def _apply_exchange_effects(
        self, node: FleetNode, effects: Iterable[ExchangeEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, Install):
                announcement = encode_message(Have(effect.snapshot.generation))
                node.protocol.set_digest(_TOPIC, announcement)
                continue
            messages = (
                [effect.message]
                if isinstance(effect, SendTo)
                else effect.chunks
            )
            for message in messages:
                order = node.protocol.message(
                    effect.node, _TOPIC, encode_message(message), self.now
                )
                if order is not None:
                    self._transmit(node, order)

    def _transmit(self, node: FleetNode, order: SendFrame) -> None:
        encoded = encode_frame(order.frame)
        node.protocol.record_encoded_size(order, len(encoded), self.now)
        node.bytes_sent += len(encoded) + PACKET_OVERHEAD_BYTES
        node.frames_sent += 1
        target = self.nodes.get(order.node)
        if target is None:
            return
        same_zone = target.zone == node.zone
        delay_s = IN_ZONE_DELAY_S if same_zone else BETWEEN_ZONES_DELAY_S
        self._schedule(delay_s, self._receive, order.node, encoded)


def _introduction_frame(node: FleetNode) -> Frame:
    return Frame(node.name, node.zone, node.me.address, 1, RumoursOnly(), ())
