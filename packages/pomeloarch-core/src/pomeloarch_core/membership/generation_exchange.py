"""Spreads the highest generation between nodes; none ever goes down.

A node that gets a newer generation tells a few others (rumour mongering,
Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
1987). Who is behind pulls what it lacks from one that told it, so that each
node receives the content once. The digests of all nodes repair what was
lost: who is behind pulls again, and who sees another stay behind pushes.
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
    SnapshotCutter,
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
# The parts of a snapshot come as slowly as their sender's budget allows.
CHUNK_TIMEOUT_S = 5.0
# A node whose digest is behind what was in force this long ago is sent what
# it lacks unasked; digests themselves lag by some seconds.
PUSH_AFTER_S = 6.0
_PUSH_PERIOD_S = 2.0
# Ticks after a change in which one more node is told of it.
_REMINDERS = 3
TICK_S = 0.5

NOTHING = Snapshot(Generation(0), PublicationId(""), ObjectSet())


class SendTo(msgspec.Struct, frozen=True):
    """Send one message to a node."""

    node: NodeId
    message: GenerationMessage


class Transfer(msgspec.Struct, frozen=True):
    """Send a whole snapshot to a node, part by part as the budget allows."""

    node: NodeId
    chunks: tuple[Chunk, ...]


class Install(msgspec.Struct, frozen=True):
    """A higher generation is to be put in force."""

    snapshot: Snapshot


ExchangeEffect = SendTo | Transfer | Install


class GenerationExchange:
    """One node's side of the spread.

    Args:
      node: this node.
      availability_zone: its zone.
      rng: for the choice of nodes.
    """

    def __init__(
        self, node: NodeId, availability_zone: ZoneName, rng: random.Random
    ) -> None:
        """Starts without a generation."""
        self._node = node
        self._zone = availability_zone
        self._rng = rng
        self._snapshot = NOTHING
        self._log = GenerationLog()
        self._live: Mapping[NodeId, ZoneName] = {}
        self._have: dict[NodeId, Generation] = {}
        self._due_by: list[tuple[float, Generation]] = []
        self._expected = Generation(0)
        self._push_due = 0.0
        self._reminders = 0
        self._pull_until = 0.0
        self._assembler = SnapshotAssembler()
        self._cutter = SnapshotCutter()
        self._effects: list[ExchangeEffect] = []

    @property
    def snapshot(self) -> Snapshot:
        """The highest snapshot known; generation 0 is the empty one."""
        return self._snapshot

    def update_live_nodes(self, live: Mapping[NodeId, ZoneName]) -> None:
        """Takes the nodes that live now."""
        self._live = live
        for node in [node for node in self._have if node not in live]:
            del self._have[node]
            self._assembler.forget(node)

    def offer(
        self, snapshot: Snapshot, steps: Sequence[Delta] = ()
    ) -> list[ExchangeEffect]:
        """Takes a snapshot from elsewhere, with the steps that led to it."""
        if snapshot.generation > self._snapshot.generation:
            known = steps or self._steps_to(snapshot)
            self._install(snapshot, known)
        return self._take_effects()

    def receive(
        self, sender: NodeId, message: GenerationMessage, now: float
    ) -> list[ExchangeEffect]:
        """Takes a message or digest of another node."""
        self._handle(message, sender, now)
        return self._take_effects()

    def tick(self, now: float) -> list[ExchangeEffect]:
        """Repairs what got lost; due every `TICK_S` seconds."""
        if now >= self._pull_until:
            self._pull_again(now)
        if self._reminders > 0:
            self._reminders -= 1
            self._announce(1)
        self._push_to_those_behind(now)
        return self._take_effects()

    # ---- messages

    @functools.singledispatchmethod
    def _handle(
        self, message: GenerationMessage, sender: NodeId, now: float
    ) -> None:
        raise TypeError(f"no such message: {type(message).__name__}")

    @_handle.register
    def _(self, message: Have, sender: NodeId, now: float) -> None:
        known = self._have.get(sender, Generation(0))
        self._have[sender] = max(known, message.generation)
        if (
            message.generation > self._snapshot.generation
            and now >= self._pull_until
        ):
            self._pull(sender, now)

    @_handle.register
    def _(self, message: Pull, sender: NodeId, now: float) -> None:
        del now
        self._have[sender] = message.base
        self._send_from(sender, message.base)

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
            self._heard_from(sender, snapshot.generation)
            self._install(snapshot, steps)
            self._pull_until = now
            self._pull_again(now)

    @_handle.register
    def _(self, message: Chunk, sender: NodeId, now: float) -> None:
        if message.generation <= self._snapshot.generation:
            return
        self._pull_until = now + CHUNK_TIMEOUT_S
        snapshot = self._assembler.add(sender, message)
        if snapshot is None:
            return
        self._pull_until = now
        if snapshot.generation > self._snapshot.generation:
            self._heard_from(sender, snapshot.generation)
            self._install(snapshot, ())

    # ---- the rest

    def _steps_to(self, snapshot: Snapshot) -> Sequence[Delta]:
        if self._snapshot.generation == 0:
            return ()
        return (make_delta(self._snapshot, snapshot),)

    def _install(self, snapshot: Snapshot, steps: Sequence[Delta]) -> None:
        for step in steps:
            self._log.add(step)
        self._snapshot = snapshot
        self._assembler.clear()
        self._effects.append(Install(snapshot))
        self._reminders = _REMINDERS
        self._announce(FANOUT)

    def _announce(self, count: int) -> None:
        """Tells a few of the own zone and, from a bridge, of others."""
        near = [
            node
            for node, zone in self._live.items()
            if zone == self._zone and self._lags(node)
        ]
        far = [
            node
            for node, zone in self._live.items()
            if zone != self._zone and self._lags(node)
        ]
        if self._node not in bridges(self._live, self._zone):
            far = []
        have = Have(self._snapshot.generation)
        for nodes in (near, far):
            for node in self._rng.sample(nodes, min(count, len(nodes))):
                self._effects.append(SendTo(node, have))

    def _lags(self, node: NodeId) -> bool:
        known = self._have.get(node, Generation(0))
        return node != self._node and known < self._snapshot.generation

    def _pull(self, node: NodeId, now: float) -> None:
        self._pull_until = now + PULL_TIMEOUT_S
        base = self._snapshot.generation
        self._effects.append(SendTo(node, Pull(base)))

    def _pull_again(self, now: float) -> None:
        ahead = sorted(
            node
            for node, generation in self._have.items()
            if generation > self._snapshot.generation and node in self._live
        )
        if ahead:
            self._pull(self._rng.choice(ahead), now)

    def _push_to_those_behind(self, now: float) -> None:
        """Pushes to one node whose pulls seem not to arrive."""
        generation = self._snapshot.generation
        if not self._due_by or self._due_by[-1][1] < generation:
            self._due_by.append((now + PUSH_AFTER_S, generation))
        while self._due_by and self._due_by[0][0] <= now:
            self._expected = max(self._expected, self._due_by.pop(0)[1])
        late = sorted(
            node
            for node in self._have
            if self._have[node] < self._expected and node in self._live
        )
        if late and now >= self._push_due:
            self._push_due = now + _PUSH_PERIOD_S
            node = self._rng.choice(late)
            self._send_from(node, self._have[node])

    def _send_from(self, node: NodeId, base: Generation) -> None:
        """Sends what leads from a generation to the one in force."""
        if base >= self._snapshot.generation:
            return
        chain = self._log.chain(base, self._snapshot.generation)
        fitting = _fitting(chain or ())
        if fitting is not None:
            self._effects.append(SendTo(node, fitting))
        else:
            self._effects.append(
                Transfer(node, self._cutter.cut(self._snapshot))
            )

    def _heard_from(self, node: NodeId, generation: Generation) -> None:
        known = self._have.get(node, Generation(0))
        self._have[node] = max(known, generation)

    def _take_effects(self) -> list[ExchangeEffect]:
        effects, self._effects = self._effects, []
        return effects


def _fitting(steps: Sequence[Delta]) -> Deltas | None:
    """Returns as many of the steps as fit one message, None for none."""
    while steps:
        message = Deltas(tuple(steps))
        if len(encode_message(message)) <= MAX_PACKED_BYTES:
            return message
        steps = steps[: len(steps) // 2]
    return None
