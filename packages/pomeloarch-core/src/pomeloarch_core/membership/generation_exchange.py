"""Spread of the highest generation; no node returns to a lower one.

A node that gets a newer generation announces it to a few others (rumour
mongering, Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987). A node that is behind pulls the missing changes from one
node that announced them, so that each node receives the content once. The
digests of all nodes repair lost messages: a node that is behind pulls again,
and a node that sees another one stay behind pushes.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Mapping, Sequence

import msgspec
from result import Err

from pomeloarch_core.ids import Generation, NodeId, PublicationId, ZoneName
from pomeloarch_core.membership.generation_chunks import (
    SnapshotAssembler,
    SnapshotChunker,
)
from pomeloarch_core.membership.generation_log import GenerationLog
from pomeloarch_core.membership.generation_messages import (
    MAX_PACKED_BYTES,
    Chunk,
    Deltas,
    GenerationMessage,
    Have,
    Pull,
    encode_message,
)
from pomeloarch_core.membership.members import bridges
from pomeloarch_core.objects.delta import Delta, apply_delta, make_delta
from pomeloarch_core.objects.model import ObjectSet, Snapshot

FANOUT = 3
PULL_TIMEOUT_S = 1.0
# Chunks of a snapshot arrive only as fast as their sender's byte budget allows.
CHUNK_TIMEOUT_S = 5.0
# A node whose digest is behind the generation that was in force this long ago
# is sent the missing changes without a request. Digests themselves lag by some
# seconds.
PUSH_AFTER_S = 6.0
_PUSH_PERIOD_S = 2.0
# Number of ticks after a change in each of which one more node is told.
_REMINDER_TICKS = 3
TICK_S = 0.5

EMPTY_SNAPSHOT = Snapshot(Generation(0), PublicationId(""), ObjectSet())


class SendTo(msgspec.Struct, frozen=True):
    """Effect: send one message to a node."""

    node: NodeId
    message: GenerationMessage


class Transfer(msgspec.Struct, frozen=True):
    """Effect: send a whole snapshot, chunk by chunk as the budget allows."""

    node: NodeId
    chunks: tuple[Chunk, ...]


class Install(msgspec.Struct, frozen=True):
    """Effect: put a higher generation in force."""

    snapshot: Snapshot


ExchangeEffect = SendTo | Transfer | Install


class GenerationExchange:
    """One node's part in spreading generations.

    Args:
      node: this node.
      availability_zone: its zone.
      rng: chooses the nodes to contact.
    """

    def __init__(
        self, node: NodeId, availability_zone: ZoneName, rng: random.Random
    ) -> None:
        """Starts without a generation."""
        self._node = node
        self._zone = availability_zone
        self._rng = rng
        self._snapshot = EMPTY_SNAPSHOT
        self._log = GenerationLog()
        self._live: Mapping[NodeId, ZoneName] = {}
        self._generations: dict[NodeId, Generation] = {}
        self._push_deadlines: list[tuple[float, Generation]] = []
        self._expected_generation = Generation(0)
        self._next_push_at = 0.0
        self._reminders_left = 0
        self._pull_expires_at = 0.0
        self._assembler = SnapshotAssembler()
        self._chunker = SnapshotChunker()
        self._effects: list[ExchangeEffect] = []

    @property
    def snapshot(self) -> Snapshot:
        """The highest known snapshot; generation 0 is the empty one."""
        return self._snapshot

    def update_live_nodes(self, live: Mapping[NodeId, ZoneName]) -> None:
        """Replaces the live nodes and drops state about the others."""
        self._live = live
        for node in [node for node in self._generations if node not in live]:
            del self._generations[node]
            self._assembler.forget(node)

    def offer(
        self, snapshot: Snapshot, steps: Sequence[Delta] = ()
    ) -> list[ExchangeEffect]:
        """Accepts a newer snapshot that did not come from a peer.

        Args:
          snapshot: the snapshot; one that is not newer is ignored.
          steps: the deltas that led to it; if empty, a delta from the known
            snapshot is computed.
        """
        if snapshot.generation > self._snapshot.generation:
            known = steps or self._delta_to(snapshot)
            self._install(snapshot, known)
        return self._take_effects()

    def receive(
        self, sender: NodeId, message: GenerationMessage, now: float
    ) -> list[ExchangeEffect]:
        """Handles a message or digest of another node."""
        self._handle(message, sender, now)
        return self._take_effects()

    def tick(self, now: float) -> list[ExchangeEffect]:
        """Repairs lost messages; must be called every `TICK_S` seconds."""
        if now >= self._pull_expires_at:
            self._retry_pull(now)
        if self._reminders_left > 0:
            self._reminders_left -= 1
            self._announce(1)
        self._push_to_lagging_node(now)
        return self._take_effects()

    @functools.singledispatchmethod
    def _handle(
        self, message: GenerationMessage, sender: NodeId, now: float
    ) -> None:
        raise TypeError(f"unknown message type: {type(message).__name__}")

    @_handle.register
    def _(self, message: Have, sender: NodeId, now: float) -> None:
        known = self._generations.get(sender, Generation(0))
        self._generations[sender] = max(known, message.generation)
        if (
            message.generation > self._snapshot.generation
            and now >= self._pull_expires_at
        ):
            self._pull(sender, now)

    @_handle.register
    def _(self, message: Pull, sender: NodeId, now: float) -> None:
        del now
        self._generations[sender] = message.base
        self._send_changes_since(sender, message.base)

    @_handle.register
    def _(self, message: Deltas, sender: NodeId, now: float) -> None:
        snapshot = self._snapshot
        steps = []
        for step in message.deltas:
            if step.base != snapshot.generation <= step.generation:
                continue
            found = apply_delta(snapshot, step)
            if not isinstance(found, Err):
                snapshot = found.ok_value
                steps.append(step)
        if snapshot.generation > self._snapshot.generation:
            self._record_generation(sender, snapshot.generation)
            self._install(snapshot, steps)
            self._pull_expires_at = now
            self._retry_pull(now)

    @_handle.register
    def _(self, message: Chunk, sender: NodeId, now: float) -> None:
        if message.generation <= self._snapshot.generation:
            return
        self._pull_expires_at = now + CHUNK_TIMEOUT_S
        snapshot = self._assembler.add(sender, message)
        if snapshot is None:
            return
        self._pull_expires_at = now
        if snapshot.generation > self._snapshot.generation:
            self._record_generation(sender, snapshot.generation)
            self._install(snapshot, ())

    def _delta_to(self, snapshot: Snapshot) -> Sequence[Delta]:
        if self._snapshot.generation == 0:
            return ()
        return (make_delta(self._snapshot, snapshot),)

    def _install(self, snapshot: Snapshot, steps: Sequence[Delta]) -> None:
        for step in steps:
            self._log.add(step)
        self._snapshot = snapshot
        self._assembler.clear()
        self._effects.append(Install(snapshot))
        self._reminders_left = _REMINDER_TICKS
        self._announce(FANOUT)

    def _announce(self, count: int) -> None:
        """Announces the generation to a few nodes that are behind.

        They are nodes of this node's zone and, if it is a bridge, of other
        zones.
        """
        own_zone = [
            node
            for node, zone in self._live.items()
            if zone == self._zone and self._is_behind(node)
        ]
        other_zones = [
            node
            for node, zone in self._live.items()
            if zone != self._zone and self._is_behind(node)
        ]
        if self._node not in bridges(self._live, self._zone):
            other_zones = []
        announcement = Have(self._snapshot.generation)
        for nodes in (own_zone, other_zones):
            for node in self._rng.sample(nodes, min(count, len(nodes))):
                self._effects.append(SendTo(node, announcement))

    def _is_behind(self, node: NodeId) -> bool:
        known = self._generations.get(node, Generation(0))
        return node != self._node and known < self._snapshot.generation

    def _pull(self, node: NodeId, now: float) -> None:
        self._pull_expires_at = now + PULL_TIMEOUT_S
        base = self._snapshot.generation
        self._effects.append(SendTo(node, Pull(base)))

    def _retry_pull(self, now: float) -> None:
        ahead = sorted(
            node
            for node, generation in self._generations.items()
            if generation > self._snapshot.generation and node in self._live
        )
        if ahead:
            self._pull(self._rng.choice(ahead), now)

    def _push_to_lagging_node(self, now: float) -> None:
        """Sends changes to one node whose pulls seem to get lost."""
        generation = self._snapshot.generation
        if not self._push_deadlines or self._push_deadlines[-1][1] < generation:
            self._push_deadlines.append((now + PUSH_AFTER_S, generation))
        while self._push_deadlines and self._push_deadlines[0][0] <= now:
            self._expected_generation = max(
                self._expected_generation, self._push_deadlines.pop(0)[1]
            )
        lagging = sorted(
            node
            for node in self._generations
            if self._generations[node] < self._expected_generation
            and node in self._live
        )
        if lagging and now >= self._next_push_at:
            self._next_push_at = now + _PUSH_PERIOD_S
            node = self._rng.choice(lagging)
            self._send_changes_since(node, self._generations[node])

    def _send_changes_since(self, node: NodeId, base: Generation) -> None:
        """Sends the changes from a generation to the one in force."""
        if base >= self._snapshot.generation:
            return
        chain = self._log.chain(base, self._snapshot.generation)
        fitting = _largest_fitting(chain or ())
        if fitting is not None:
            self._effects.append(SendTo(node, fitting))
        else:
            self._effects.append(
                Transfer(node, self._chunker.split(self._snapshot))
            )

    def _record_generation(self, node: NodeId, generation: Generation) -> None:
        known = self._generations.get(node, Generation(0))
        self._generations[node] = max(known, generation)

    def _take_effects(self) -> list[ExchangeEffect]:
        effects, self._effects = self._effects, []
        return effects


def _largest_fitting(steps: Sequence[Delta]) -> Deltas | None:
    """Returns as many of the steps as fit in one message, None if none do."""
    while steps:
        message = Deltas(tuple(steps))
        if len(encode_message(message)) <= MAX_PACKED_BYTES:
            return message
        steps = steps[: len(steps) // 2]
    return None
