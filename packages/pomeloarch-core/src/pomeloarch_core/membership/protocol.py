"""One node's part in the protocol for liveness and digests.

Probes, indirect probes, suspicion and incarnations follow SWIM (Das, Gupta and
Motivala, 2002). Each probe and its answer also reconcile digests. The protocol
uses neither a clock nor sockets: it receives frames and returns effects.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.budget import TokenBucket
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.digest_exchange import DigestExchange
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
from pomeloarch_core.membership.rejoin import Rejoiner

# The target of a probe for any node that listens at an address.
_ANY_NODE = NodeId("")
# Maximum number of nodes that are told of a leave; they pass it on.
_MAX_LEAVE_NOTICES = 16


class MembershipProtocol:
    """One node's side of the membership protocol.

    Args:
      local: this node as it announces itself, with its incarnation.
      seeds: peer addresses through which to join.
      rng: draws targets and their order.
      cfg: times and limits of the protocol.
    """

    def __init__(
        self,
        local: Rumour,
        seeds: Iterable[str],
        rng: random.Random,
        cfg: MembershipConfig | None = None,
    ) -> None:
        """Starts with no other node known."""
        self._local = local
        self._cfg = cfg or MembershipConfig()
        self._rng = rng
        self._members = MemberTable(local.node, local.availability_zone)
        bucket = TokenBucket(self._cfg.bytes_per_s, self._cfg.burst_bytes)
        rate = self._cfg.data_bytes_per_s
        data = TokenBucket(rate, rate)
        self._frames = FrameBuilder(self._members, bucket, data, self._cfg, rng)
        self._digests = DigestExchange(
            local, self._members, bucket, self._cfg, rng
        )
        self._probes = ProbeTable(self._cfg, rng)
        self._own_zone_rounds, self._other_zone_rounds = (
            ShuffledRounds(rng),
            ShuffledRounds(rng),
        )
        self._rejoiner = Rejoiner(
            local.address, seeds, self._members, self._cfg, rng
        )
        self._probe_due = 0.0
        self._rejoin_due = 0.0
        self._last_tick: float | None = None
        self._effects: list[Effect] = []

    @property
    def local(self) -> Rumour:
        """This node as it announces itself."""
        return self._local

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
        """Returns the nodes assumed to be alive, including this one."""
        nodes = {self._local.node: self._local.availability_zone}
        for rumour in self._members.live_rumours():
            nodes[rumour.node] = rumour.availability_zone
        return nodes

    def is_bridge(self) -> bool:
        """Returns whether this node links its zone to the others."""
        return self._members.is_bridge(
            self._local.node, self._local.availability_zone
        )

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Sets addresses of the platform's list, which are used like seeds."""
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
        """Returns the frame of a message, None if it can't be sent now.

        Args:
          node: the receiver.
          topic: the part of the node that handles the message.
          payload: the bytes of the message.
          now: the current time, in seconds of the monotonic clock.
          data: whether the message is traffic for callers, which has a budget
            apart from that of control traffic.
        """
        member = self._members.get(node)
        if member is None or not member.is_live:
            return None
        if len(payload) > MAX_MESSAGE_BYTES:
            return None
        if not self._frames.can_send(data, now):
            return None
        body = TopicMessage(topic, payload)
        return self._frames.build(
            self._local, member.rumour.address, node, body, now, data=data
        )

    def record_encoded_size(
        self, sent: SendFrame, size: int, now: float
    ) -> None:
        """Corrects the charge of a frame to its encoded size."""
        self._frames.record_encoded_size(sent, size, now)

    def due(self) -> float:
        """Returns the latest time at which `tick` must be called."""
        timers = [self._probe_due, self._rejoin_due, self._probes.due()]
        timers += [
            self._suspicion_end(member)
            for member in self._members.members()
            if member.rumour.state is NodeState.SUSPECT
        ]
        return min(timers)

    def tick(self, now: float) -> list[Effect]:
        """Performs everything that is due."""
        self._reset_timers_after_pause(now)
        self._check_probes(now)
        self._check_suspects(now)
        if now >= self._probe_due:
            self._probe_due = now + self._cfg.period_s
            self._probe_next(self._own_zone_rounds, True, now)
            if self.is_bridge():
                self._probe_next(self._other_zone_rounds, False, now)
        if now >= self._rejoin_due:
            jitter = self._rng.uniform(0.5, 1.0)
            self._rejoin_due = now + self._cfg.rejoin_s * jitter
            for address in self._rejoiner.addresses():
                self._probe_address(address, now)
            self._forget_old(now)
        return self._take_effects()

    def receive(self, frame: Frame, now: float) -> list[Effect]:
        """Handles a frame from another node."""
        if frame.sender == self._local.node:
            return []
        sender = Rumour(
            frame.sender,
            frame.availability_zone,
            frame.address,
            NodeState.ALIVE,
            frame.incarnation,
        )
        self._frames.record_sender(sender)
        self._apply_rumour(sender, now)
        self._notify_if_believed_dead(sender, now)
        for rumour in frame.rumours:
            self._apply_rumour(rumour, now)
        self._handle(frame.body, frame, now)
        return self._take_effects()

    def leave(self, now: float) -> list[Effect]:
        """Announces that this node leaves."""
        self._local = msgspec.structs.replace(self._local, state=NodeState.LEFT)
        live = self._members.live_rumours()
        for rumour in self._rng.sample(
            live, min(_MAX_LEAVE_NOTICES, len(live))
        ):
            self._send(rumour.address, rumour.node, RumoursOnly(), now)
        return self._take_effects()

    def _forget_old(self, now: float) -> None:
        self._members.forget_old(now)
        self._rejoiner.forget_unknown()
        self._frames.forget_unknown()

    def _reset_timers_after_pause(self, now: float) -> None:
        """Discards probes and restarts suspicions after a process pause.

        A paused process receives no answers, so that the silence of other nodes
        during the pause is no sign that they have failed.
        """
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
        for probe in self._probes.take_unacknowledged(now):
            self._probe_indirectly(probe, now)
        for probe in self._probes.take_overdue(now):
            if probe.requester is None:
                self._suspect(probe.target, now)

    def _probe_indirectly(self, probe: PendingProbe, now: float) -> None:
        """Asks other nodes to probe, and retries on a new connection."""
        self._effects.append(ResetLink(probe.address))
        self._send_probe(probe, now)
        others = [
            rumour
            for rumour in self._members.live_rumours()
            if rumour.node != probe.target
        ]
        relays = min(self._cfg.indirect_probes, len(others))
        for relay in self._rng.sample(others, relays):
            body = ProbeRequest(probe.sequence, probe.target)
            self._send(relay.address, relay.node, body, now)

    def _suspect(self, node: NodeId, now: float) -> None:
        member = self._members.get(node)
        if member is None or member.rumour.state is not NodeState.ALIVE:
            return
        self._apply_rumour(
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
                self._apply_rumour(dead, now)

    def _probe_next(
        self, rounds: ShuffledRounds, in_own_zone: bool, now: float
    ) -> None:
        """Probes the next node of a round."""
        live = {
            rumour.node: rumour.address
            for rumour in self._members.live_rumours(in_own_zone)
        }
        for node in rounds.take(live, 1):
            self._send_probe(self._probes.begin(node, live[node], now), now)

    def _probe_address(
        self, address: str, now: float, node: NodeId = _ANY_NODE
    ) -> None:
        """Probes any node at an address; silence raises no suspicion."""
        marks = self._digests.marks(now)
        body = Probe(self._probes.next_sequence(), _ANY_NODE, marks)
        self._send(address, node, body, now)

    def _notify_if_believed_dead(self, sender: Rumour, now: float) -> None:
        """Lets a node refute if it is listed as dead but sent a frame."""
        member = self._members.get(sender.node)
        if member is not None and member.rumour.state is NodeState.DEAD:
            self._send(sender.address, sender.node, RumoursOnly(), now)

    @functools.singledispatchmethod
    def _handle(self, body: Body, frame: Frame, now: float) -> None:
        raise TypeError(f"unknown body type: {type(body).__name__}")

    @_handle.register
    def _(self, body: RumoursOnly, frame: Frame, now: float) -> None:
        del body, frame, now

    @_handle.register
    def _(self, body: Probe, frame: Frame, now: float) -> None:
        if body.target not in ("", self._local.node):
            # The probe is for a node that had this address before.
            return
        entries, wanted = self._digests.compare(body.marks, now)
        ack = Ack(body.sequence, self._local.node, entries, wanted)
        self._send(frame.address, frame.sender, ack, now)

    @_handle.register
    def _(self, body: Ack, frame: Frame, now: float) -> None:
        probe = self._probes.take_answered(body.sequence, body.target)
        if probe is not None and probe.requester is not None:
            relayed = Ack(probe.requester_sequence, body.target)
            requester = probe.requester
            self._send(requester.address, requester.sender, relayed, now)
        self._effects += self._digests.apply(body.entries)
        entries = self._digests.entries_after(body.wanted, now)
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
        self._effects += self._digests.apply(body.entries)

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

    def _apply_rumour(self, rumour: Rumour, now: float) -> None:
        if rumour.node == self._local.node:
            self._refute(rumour)
            return
        if not self._members.apply(rumour, now):
            address = self._rejoiner.address_to_check(rumour, now)
            if address is not None:
                self._probe_address(address, now, rumour.node)
            return
        self._effects.append(NodeChanged(rumour))
        if rumour.state >= NodeState.DEAD:
            self._digests.forget(rumour.node)

    def _refute(self, rumour: Rumour) -> None:
        """Takes a higher incarnation if others are wrong about this node.

        They are if they assume that it is not alive or has another address.
        """
        if self._local.state is NodeState.LEFT:
            return
        is_wrong = (
            rumour.state is not NodeState.ALIVE
            or rumour.address != self._local.address
        )
        own = self._local.incarnation
        if rumour.incarnation < own or (
            rumour.incarnation == own and not is_wrong
        ):
            return
        self._local = msgspec.structs.replace(
            self._local, incarnation=rumour.incarnation + 1
        )
        self._digests.restart(self._local.incarnation)

    def _send_probe(self, probe: PendingProbe, now: float) -> None:
        marks = self._digests.marks(now)
        body = Probe(probe.sequence, probe.target, marks)
        self._send(probe.address, probe.target, body, now)

    def _send(self, address: str, node: NodeId, body: Body, now: float) -> None:
        self._effects.append(
            self._frames.build(self._local, address, node, body, now)
        )

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
