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
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.framing import FrameBuilder
from pomeloarch_core.membership.members import Member, MemberTable
from pomeloarch_core.membership.messages import (
    MAX_MESSAGE_BYTES,
    Ack,
    Body,
    Deliver,
    Effect,
    Entries,
    Frame,
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
from pomeloarch_core.membership.probing import (
    PendingProbe,
    ProbeTable,
    ShuffledRounds,
)
from pomeloarch_core.membership.reconcile import DigestExchange
from pomeloarch_core.membership.rejoin import Rejoiner

# Whoever listens at an address.
_UNKNOWN = NodeId("")
# Leaving is told to this many; they pass it on.
_FAREWELLS = 16


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
        self._members = MemberTable(me.node, me.availability_zone)
        bucket = TokenBucket(self._cfg.bytes_per_s, self._cfg.burst_bytes)
        rate = self._cfg.data_bytes_per_s
        data = TokenBucket(rate, rate)
        self._frames = FrameBuilder(self._members, bucket, data, self._cfg, rng)
        self._digests = DigestExchange(
            me, self._members, bucket, self._cfg, rng
        )
        self._probes = ProbeTable(self._cfg, rng)
        self._near, self._far = ShuffledRounds(rng), ShuffledRounds(rng)
        self._rejoiner = Rejoiner(
            me.address, seeds, self._members, self._cfg, rng
        )
        self._probe_due = 0.0
        self._rejoin_due = 0.0
        self._last_tick: float | None = None
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
        self._digests.set_own(topic, payload)

    def digests(self, topic: str) -> dict[NodeId, Deliver]:
        """Returns the latest digests of the other live nodes."""
        return self._digests.of_topic(topic)

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
        self._rejoiner.set_listed(addresses)

    def message(
        self,
        node: NodeId,
        topic: str,
        payload: bytes,
        now: float,
        *,
        data: bool = False,
    ) -> SendFrame | None:
        """Returns a message's frame, None if it can't be sent now.

        Args:
          node: whom it is for.
          topic: which part of the node it is for.
          payload: its bytes.
          now: the present time, in seconds of the clock.
          data: whether it is sent for callers, beside the budget of control.
        """
        member = self._members.get(node)
        if member is None or not member.live:
            return None
        if len(payload) > MAX_MESSAGE_BYTES:
            return None
        if not self._frames.may_send(data, now):
            return None
        body = TopicMessage(topic, payload)
        return self._frames.build(
            self._me, member.rumour.address, node, body, now, data=data
        )

    def encoded(self, order: SendFrame, size: int, now: float) -> None:
        """Takes note of the bytes that a frame really took."""
        self._frames.encoded(order, size, now)

    # ---- driven by time and frames

    def due(self) -> float:
        """Returns when `tick` has something to do at the latest."""
        timers = [self._probe_due, self._rejoin_due, self._probes.due()]
        timers += [
            self._suspicion_end(member)
            for member in self._members.members()
            if member.rumour.state is NodeState.SUSPECT
        ]
        return min(timers)

    def tick(self, now: float) -> list[Effect]:
        """Does what is due."""
        self._allow_for_pause(now)
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._probe_due:
            self._probe_due = now + self._cfg.period_s
            self._probe_next(self._near, True, now)
            if self.is_bridge():
                self._probe_next(self._far, False, now)
        if now >= self._rejoin_due:
            jitter = self._rng.uniform(0.5, 1.0)
            self._rejoin_due = now + self._cfg.rejoin_s * jitter
            for address in self._rejoiner.addresses():
                self._introduce(address, now)
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
        self._frames.note_sender(sender)
        self._hear(sender, now)
        self._tell_if_believed_dead(sender, now)
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
        self._rejoiner.forget_unknown()
        self._frames.forget_unknown()

    def _allow_for_pause(self, now: float) -> None:
        """Blames nobody for silence while this process was paused."""
        last, self._last_tick = self._last_tick, now
        if last is None or now - last < 2 * self._cfg.period_s:
            return
        self._probes.clear()
        for member in self._members.members():
            if member.rumour.state is NodeState.SUSPECT:
                member.changed_at = now

    def _suspicion_end(self, member: Member) -> float:
        return member.changed_at + self._cfg.suspicion_s

    def _check_probes(self, now: float) -> None:
        for probe in self._probes.to_relay(now):
            self._probe_by_others(probe, now)
        for probe in self._probes.overdue(now):
            if probe.asker is None:
                self._suspect(probe.target, now)

    def _probe_by_others(self, probe: PendingProbe, now: float) -> None:
        """Asks others, and tries again on a new connection."""
        self._effects.append(ResetLink(probe.address))
        self._send_probe(probe, now)
        others = [
            rumour
            for rumour in self._members.live()
            if rumour.node != probe.target
        ]
        relays = min(self._cfg.relays, len(others))
        for relay in self._rng.sample(others, relays):
            body = ProbeRequest(probe.sequence, probe.target)
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

    def _probe_next(
        self, rounds: ShuffledRounds, in_own_zone: bool, now: float
    ) -> None:
        """Probes the next node of a round."""
        live = {
            rumour.node: rumour.address
            for rumour in self._members.live(in_own_zone)
        }
        for node in rounds.take(live, 1):
            self._send_probe(self._probes.begin(node, live[node], now), now)

    def _introduce(
        self, address: str, now: float, node: NodeId = _UNKNOWN
    ) -> None:
        """Probes whoever listens at an address, without a suspicion."""
        marks = self._digests.marks(now)
        body = Probe(self._probes.number(), _UNKNOWN, marks)
        self._send(address, node, body, now)

    def _tell_if_believed_dead(self, sender: Rumour, now: float) -> None:
        """Lets a node refute that it is dead, as it has just spoken."""
        member = self._members.get(sender.node)
        if member is not None and member.rumour.state is NodeState.DEAD:
            self._send(sender.address, sender.node, RumoursOnly(), now)

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
        entries, wanted = self._digests.answer(body.marks, now)
        ack = Ack(body.sequence, self._me.node, entries, wanted)
        self._send(frame.address, frame.sender, ack, now)

    @_handle.register
    def _(self, body: Ack, frame: Frame, now: float) -> None:
        probe = self._probes.answered(body.sequence, body.target)
        if probe is not None and probe.asker is not None:
            relayed = Ack(probe.asker_sequence, body.target)
            asker = probe.asker
            self._send(asker.address, asker.sender, relayed, now)
        self._effects += self._digests.take(body.entries)
        entries = self._digests.newer(body.wanted, now)
        if entries:
            self._send(frame.address, frame.sender, Entries(entries), now)

    @_handle.register
    def _(self, body: ProbeRequest, frame: Frame, now: float) -> None:
        member = self._members.get(body.target)
        if member is None:
            return
        probe = self._probes.begin(
            body.target, member.rumour.address, now, frame, body.sequence
        )
        self._send_probe(probe, now)

    @_handle.register
    def _(self, body: Entries, frame: Frame, now: float) -> None:
        del frame, now
        self._effects += self._digests.take(body.entries)

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

    def _hear(self, rumour: Rumour, now: float) -> None:
        if rumour.node == self._me.node:
            self._refute(rumour)
            return
        if not self._members.apply(rumour, now):
            address = self._rejoiner.address_to_check(rumour, now)
            if address is not None:
                self._introduce(address, now, rumour.node)
            return
        self._effects.append(NodeChanged(rumour))
        if rumour.state >= NodeState.DEAD:
            self._digests.forget(rumour.node)

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

    def _send_probe(self, probe: PendingProbe, now: float) -> None:
        marks = self._digests.marks(now)
        body = Probe(probe.sequence, probe.target, marks)
        self._send(probe.address, probe.target, body, now)

    def _send(self, address: str, node: NodeId, body: Body, now: float) -> None:
        self._effects.append(
            self._frames.build(self._me, address, node, body, now)
        )

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
