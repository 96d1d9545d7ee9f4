"""Who lives, and the latest digests: one node's side of the protocol.

Probes, indirect probes, suspicion and incarnations follow SWIM (Das, Gupta
and Motivala, 2002). Each probe and its answer also reconcile digests. The
machine has no clock and no socket: frames come in, effects go out.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.budget import TokenBucket
from pomeloarch_core.membership.digests import DigestStore, entry_bytes
from pomeloarch_core.membership.members import Member, MemberTable
from pomeloarch_core.membership.messages import (
    MAX_DIGEST_BYTES,
    MAX_MESSAGE_BYTES,
    Ack,
    Body,
    Deliver,
    Effect,
    Entries,
    Entry,
    Frame,
    Mark,
    NodeChanged,
    NodeState,
    Probe,
    ProbeRequest,
    ResetLink,
    Rumour,
    RumoursOnly,
    SendFrame,
    TopicMessage,
)
from pomeloarch_core.membership.sizes import frame_bytes

# Marks in a probe beside the own one while the byte budget is used up.
_MARKS_WITHOUT_ROOM = 2
# Addresses tried at once by a node that knows no live one.
_LONELY_TRIES = 3
# Leaving is told to this many; they pass it on.
_FAREWELLS = 16


class MembershipConfig(msgspec.Struct, frozen=True):
    """Times and bounds of the protocol.

    Attributes:
      period_s: time between probes, in seconds.
      ack_timeout_s: time until others are asked to probe, in seconds.
      probe_timeout_s: time until a silent node is suspected, in seconds.
      suspicion_s: time a suspect has to refute, in seconds.
      rejoin_s: time between tries of a seed or a dead node, in seconds.
      relays: how many others are asked to probe.
      bytes_per_s: what this node may send on the average.
      burst_bytes: what it may send at once.
      message_reserve: the part of a burst that digests leave to messages.
      frame_room: most bytes of digests in one frame.
      max_marks: most marks in one probe.
      max_rumours: most rumours in one frame.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.3
    probe_timeout_s: float = 1.0
    suspicion_s: float = 2.0
    rejoin_s: float = 5.0
    relays: int = 2
    bytes_per_s: float = 3_000.0
    burst_bytes: float = 32_000.0
    message_reserve: float = 16_000.0
    frame_room: int = 2_048
    max_marks: int = 12
    max_rumours: int = 6


class _Waiting(msgspec.Struct):
    """A probe without an answer so far, maybe sent for another node."""

    target: NodeId
    address: str
    sent_at: float
    relayed: bool = False
    asker: Frame | None = None
    asker_sequence: int = 0


class MembershipProtocol:
    """One node's side of the membership protocol.

    Args:
      me: this node, with its incarnation.
      seeds: peer addresses to join by.
      rng: for targets and their order.
      cfg: times and bounds.
    """

    def __init__(
        self,
        me: Rumour,
        seeds: Iterable[str],
        rng: random.Random,
        cfg: MembershipConfig | None = None,
    ) -> None:
        """Starts with no other node known."""
        self._me = me
        self._cfg = cfg or MembershipConfig()
        self._rng = rng
        self._seeds = set(seeds) - {me.address}
        self._listed: set[str] = set()
        self._members = MemberTable(me.node, me.availability_zone)
        self._digests = DigestStore(me.node, me.incarnation)
        self._bucket = TokenBucket(self._cfg.bytes_per_s, self._cfg.burst_bytes)
        self._waiting: dict[int, _Waiting] = {}
        self._sequence = rng.getrandbits(32)
        self._rings: dict[bool, list[NodeId]] = {True: [], False: []}
        self._mark_ring: list[NodeId] = []
        self._probe_due = 0.0
        self._rejoin_due = 0.0
        self._last_tick: float | None = None
        self._checked: dict[NodeId, float] = {}
        self._outdated: set[NodeId] = set()
        self._effects: list[Effect] = []

    # ---- asked by the other parts of the node

    @property
    def me(self) -> Rumour:
        """This node as it announces itself."""
        return self._me

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic.

        Raises:
          ValueError: the digest is larger than `MAX_DIGEST_BYTES`.
        """
        if len(payload) > MAX_DIGEST_BYTES:
            raise ValueError(
                f"a digest of {topic} has {len(payload)} bytes, more than "
                f"{MAX_DIGEST_BYTES}"
            )
        self._digests.set_own(topic, payload)

    def digests(self, topic: str) -> dict[NodeId, Deliver]:
        """Returns the latest digests of the other live nodes."""
        found = {}
        for entry in self._digests.topic(topic):
            member = self._members.get(entry.node)
            if member is not None and member.live:
                found[entry.node] = _delivery(entry, member.rumour)
        return found

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns the nodes believed to live, this one included."""
        nodes = {self._me.node: self._me.availability_zone}
        for rumour in self._members.live():
            nodes[rumour.node] = rumour.availability_zone
        return nodes

    def is_bridge(self) -> bool:
        """Returns whether this node links its zone to the others."""
        return self._members.is_bridge(
            self._me.node, self._me.availability_zone
        )

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Takes addresses from the platform's list, tried like seeds."""
        self._listed = set(addresses) - {self._me.address}

    def message(
        self, node: NodeId, topic: str, payload: bytes, now: float
    ) -> SendFrame | None:
        """Returns a message's frame, None if it can't be sent now."""
        member = self._members.get(node)
        if member is None or not member.live:
            return None
        if len(payload) > MAX_MESSAGE_BYTES:
            return None
        if self._bucket.available(now) <= 0:
            return None
        return self._frame(
            member.rumour.address, node, TopicMessage(topic, payload), now
        )

    # ---- driven by time and frames

    def due(self) -> float:
        """Returns when `tick` has something to do at the latest."""
        timers = [self._probe_due, self._rejoin_due]
        timers += map(self._waiting_due, self._waiting.values())
        timers += [
            self._suspicion_end(member)
            for member in self._members.members()
            if member.rumour.state is NodeState.SUSPECT
        ]
        return min(timers)

    def tick(self, now: float) -> list[Effect]:
        """Does what is due."""
        self._allow_for_pause(now)
        self._check_waiting(now)
        self._check_suspects(now)
        if now >= self._probe_due:
            self._probe_due = now + self._cfg.period_s
            self._probe_next(True, now)
            if self.is_bridge():
                self._probe_next(False, now)
        if now >= self._rejoin_due:
            jitter = self._rng.uniform(0.5, 1.0)
            self._rejoin_due = now + self._cfg.rejoin_s * jitter
            self._rejoin(now)
            self._forget_old(now)
        return self._take_effects()

    def receive(self, frame: Frame, now: float) -> list[Effect]:
        """Takes a frame from another node."""
        if frame.sender == self._me.node:
            return []
        sender = Rumour(
            frame.sender,
            frame.availability_zone,
            frame.address,
            NodeState.ALIVE,
            frame.incarnation,
        )
        self._note_outdated(sender)
        self._hear(sender, now)
        for rumour in frame.rumours:
            self._hear(rumour, now)
        self._handle(frame.body, frame, now)
        return self._take_effects()

    def leave(self, now: float) -> list[Effect]:
        """Announces that this node leaves."""
        self._me = msgspec.structs.replace(self._me, state=NodeState.LEFT)
        live = self._members.live()
        for rumour in self._rng.sample(live, min(_FAREWELLS, len(live))):
            self._send(rumour.address, rumour.node, RumoursOnly(), now)
        return self._take_effects()

    # ---- the parts of a tick

    def _forget_old(self, now: float) -> None:
        self._members.forget_old(now)
        for node in [
            node for node in self._checked if self._members.get(node) is None
        ]:
            del self._checked[node]
        self._outdated &= {
            member.rumour.node for member in self._members.members()
        }

    def _allow_for_pause(self, now: float) -> None:
        """Blames nobody for silence while this process was paused."""
        last, self._last_tick = self._last_tick, now
        if last is None or now - last < 2 * self._cfg.period_s:
            return
        self._waiting.clear()
        for member in self._members.members():
            if member.rumour.state is NodeState.SUSPECT:
                member.changed_at = now

    def _waiting_due(self, waiting: _Waiting) -> float:
        if waiting.relayed or waiting.asker is not None:
            return waiting.sent_at + self._cfg.probe_timeout_s
        return waiting.sent_at + self._cfg.ack_timeout_s

    def _suspicion_end(self, member: Member) -> float:
        return member.changed_at + self._cfg.suspicion_s

    def _check_waiting(self, now: float) -> None:
        for sequence, waiting in list(self._waiting.items()):
            if now < self._waiting_due(waiting):
                continue
            if not waiting.relayed and waiting.asker is None:
                waiting.relayed = True
                self._probe_by_others(sequence, waiting, now)
                continue
            del self._waiting[sequence]
            if waiting.asker is None:
                self._suspect(waiting.target, now)

    def _probe_by_others(
        self, sequence: int, waiting: _Waiting, now: float
    ) -> None:
        """Asks others, and tries again on a new connection."""
        self._effects.append(ResetLink(waiting.address))
        self._send_probe(sequence, waiting, now)
        others = [
            rumour
            for rumour in self._members.live()
            if rumour.node != waiting.target
        ]
        relays = min(self._cfg.relays, len(others))
        for relay in self._rng.sample(others, relays):
            body = ProbeRequest(sequence, waiting.target)
            self._send(relay.address, relay.node, body, now)

    def _suspect(self, node: NodeId, now: float) -> None:
        member = self._members.get(node)
        if member is None or member.rumour.state is not NodeState.ALIVE:
            return
        self._hear(
            msgspec.structs.replace(member.rumour, state=NodeState.SUSPECT),
            now,
        )

    def _check_suspects(self, now: float) -> None:
        for member in list(self._members.members()):
            if (
                member.rumour.state is NodeState.SUSPECT
                and now >= self._suspicion_end(member)
            ):
                dead = msgspec.structs.replace(
                    member.rumour, state=NodeState.DEAD
                )
                self._hear(dead, now)

    def _probe_next(self, in_own_zone: bool, now: float) -> None:
        """Probes the next node of a shuffled round over all."""
        ring = self._rings[in_own_zone]
        live = {rumour.node for rumour in self._members.live(in_own_zone)}
        while ring and ring[-1] not in live:
            ring.pop()
        if not ring:
            ring.extend(sorted(live))
            self._rng.shuffle(ring)
        if ring:
            self._probe(ring.pop(), now)

    def _probe(self, node: NodeId, now: float) -> None:
        member = self._members.get(node)
        if member is None:
            return
        self._sequence += 1
        waiting = _Waiting(node, member.rumour.address, now)
        self._waiting[self._sequence] = waiting
        self._send_probe(self._sequence, waiting, now)

    def _rejoin(self, now: float) -> None:
        """Tries seeds and nodes believed dead, so that cuts heal."""
        live = self._members.live()
        reached = {rumour.address for rumour in live}
        zones = {rumour.availability_zone for rumour in live}
        lost = [
            member.rumour
            for member in self._members.members()
            if member.rumour.state is NodeState.DEAD
        ]
        silent_zones = {
            rumour.address
            for rumour in lost
            if rumour.availability_zone not in zones
        }
        others = {rumour.address for rumour in lost}
        others |= self._seeds | self._listed
        for addresses in (silent_zones - reached, others - reached):
            tries = 1 if live else _LONELY_TRIES
            chosen = sorted(addresses)
            for address in self._rng.sample(chosen, min(tries, len(chosen))):
                self._introduce(address, now)

    def _introduce(self, address: str, now: float) -> None:
        """Probes whoever listens at an address, without a suspicion."""
        self._sequence += 1
        waiting = _Waiting(NodeId(""), address, now)
        self._send_probe(self._sequence, waiting, now)

    # ---- the parts of a receipt

    @functools.singledispatchmethod
    def _handle(self, body: Body, frame: Frame, now: float) -> None:
        raise TypeError(f"no such body: {type(body).__name__}")

    @_handle.register
    def _(self, body: RumoursOnly, frame: Frame, now: float) -> None:
        del body, frame, now

    @_handle.register
    def _(self, body: Probe, frame: Frame, now: float) -> None:
        if body.target not in ("", self._me.node):
            # Another node had this address before.
            return
        room = self._room(now)
        entries: list[Entry] = []
        wanted = []
        for mark in body.marks:
            known = self._digests.mark(mark.node)
            if (known.incarnation, known.version) < (
                mark.incarnation,
                mark.version,
            ):
                if self._members.get(mark.node) is not None:
                    wanted.append(known)
                continue
            newer = self._digests.newer(mark, room)
            room -= sum(map(entry_bytes, newer))
            entries += newer
        ack = Ack(body.sequence, self._me.node, tuple(entries), tuple(wanted))
        self._send(frame.address, frame.sender, ack, now)

    @_handle.register
    def _(self, body: Ack, frame: Frame, now: float) -> None:
        waiting = self._waiting.get(body.sequence)
        if waiting is not None and waiting.target == body.target:
            del self._waiting[body.sequence]
            if waiting.asker is not None:
                relayed = Ack(waiting.asker_sequence, body.target)
                asker = waiting.asker
                self._send(asker.address, asker.sender, relayed, now)
        self._take_entries(body.entries)
        self._answer_wanted(body.wanted, frame, now)

    @_handle.register
    def _(self, body: ProbeRequest, frame: Frame, now: float) -> None:
        member = self._members.get(body.target)
        if member is None:
            return
        self._sequence += 1
        waiting = _Waiting(
            body.target,
            member.rumour.address,
            now,
            asker=frame,
            asker_sequence=body.sequence,
        )
        self._waiting[self._sequence] = waiting
        self._send_probe(self._sequence, waiting, now)

    @_handle.register
    def _(self, body: Entries, frame: Frame, now: float) -> None:
        del frame, now
        self._take_entries(body.entries)

    @_handle.register
    def _(self, body: TopicMessage, frame: Frame, now: float) -> None:
        del now
        self._effects.append(
            Deliver(
                frame.sender,
                frame.availability_zone,
                body.topic,
                body.payload,
            )
        )

    def _answer_wanted(
        self, wanted: tuple[Mark, ...], frame: Frame, now: float
    ) -> None:
        room = self._room(now)
        entries: list[Entry] = []
        for mark in wanted:
            newer = self._digests.newer(mark, room)
            room -= sum(map(entry_bytes, newer))
            entries += newer
        if entries:
            body = Entries(tuple(entries))
            self._send(frame.address, frame.sender, body, now)

    def _take_entries(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            member = self._members.get(entry.node)
            if member is None or len(entry.payload) > MAX_DIGEST_BYTES:
                continue
            if self._digests.apply(entry):
                self._effects.append(_delivery(entry, member.rumour))

    def _hear(self, rumour: Rumour, now: float) -> None:
        if rumour.node == self._me.node:
            self._refute(rumour)
            return
        if not self._members.apply(rumour, now):
            self._check_dead(rumour, now)
            return
        self._effects.append(NodeChanged(rumour))
        if rumour.state >= NodeState.DEAD:
            self._digests.forget(rumour.node)

    def _check_dead(self, rumour: Rumour, now: float) -> None:
        """Asks a node itself when another one knows it as alive."""
        member = self._members.get(rumour.node)
        if (
            member is None
            or member.rumour.state is not NodeState.DEAD
            or rumour.state is not NodeState.ALIVE
            or rumour.incarnation < member.rumour.incarnation
        ):
            return
        if now >= self._checked.get(rumour.node, now):
            self._checked[rumour.node] = now + self._cfg.rejoin_s
            self._introduce(rumour.address, now)

    def _note_outdated(self, sender: Rumour) -> None:
        """Notes a restarted node that has to take a higher incarnation."""
        member = self._members.get(sender.node)
        if member is None or member.rumour.incarnation <= sender.incarnation:
            self._outdated.discard(sender.node)
        else:
            self._outdated.add(sender.node)

    def _refute(self, rumour: Rumour) -> None:
        """Takes a higher incarnation if others believe this node gone."""
        if self._me.state is NodeState.LEFT:
            return
        wrong = (
            rumour.state is not NodeState.ALIVE
            or rumour.address != self._me.address
        )
        own = self._me.incarnation
        if rumour.incarnation < own or (
            rumour.incarnation == own and not wrong
        ):
            return
        self._me = msgspec.structs.replace(
            self._me, incarnation=rumour.incarnation + 1
        )
        self._digests.restart(self._me.incarnation)

    # ---- frames

    def _send_probe(self, sequence: int, waiting: _Waiting, now: float) -> None:
        body = Probe(sequence, waiting.target, self._marks(now))
        self._send(waiting.address, waiting.target, body, now)

    def _marks(self, now: float) -> tuple[Mark, ...]:
        """Returns own marks and those of the next others in turn."""
        if not self._mark_ring:
            self._mark_ring = [rumour.node for rumour in self._members.live()]
            self._rng.shuffle(self._mark_ring)
        count = self._cfg.max_marks - 1
        if self._room(now) == 0:
            count = _MARKS_WITHOUT_ROOM
        nodes = self._mark_ring[:count]
        del self._mark_ring[:count]
        return tuple(map(self._digests.mark, [self._me.node, *nodes]))

    def _room(self, now: float) -> int:
        available = self._bucket.available(now) - self._cfg.message_reserve
        return max(0, min(self._cfg.frame_room, int(available)))

    def _send(self, address: str, node: NodeId, body: Body, now: float) -> None:
        self._effects.append(self._frame(address, node, body, now))

    def _frame(
        self, address: str, node: NodeId, body: Body, now: float
    ) -> SendFrame:
        frame = Frame(
            self._me.node,
            self._me.availability_zone,
            self._me.address,
            self._me.incarnation,
            body,
            self._rumours_for(node),
        )
        self._bucket.charge(frame_bytes(frame), now)
        return SendFrame(address, node, frame)

    def _rumours_for(self, node: NodeId) -> tuple[Rumour, ...]:
        """Returns own leaving, the receiver's own bad news, then the rest."""
        rumours = []
        zone = self._me.availability_zone
        if self._me.state is not NodeState.ALIVE:
            rumours.append(self._me)
        receiver = self._members.get(node)
        if receiver is not None:
            zone = receiver.rumour.availability_zone
            known_wrong = node in self._outdated
            if known_wrong or receiver.rumour.state is not NodeState.ALIVE:
                rumours.append(receiver.rumour)
        rumours += self._members.rumours(zone, self._cfg.max_rumours)
        rumours += self._sampled(zone)
        return tuple(dict.fromkeys(rumours))

    def _sampled(self, zone: ZoneName) -> list[Rumour]:
        """Returns a live node or two, for those that missed a rumour."""
        known = [
            rumour
            for rumour in self._members.live()
            if self._members.concerns(rumour, zone)
        ]
        return self._rng.sample(known, min(2, len(known)))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects


def _delivery(entry: Entry, rumour: Rumour) -> Deliver:
    return Deliver(
        entry.node, rumour.availability_zone, entry.topic, entry.payload
    )
