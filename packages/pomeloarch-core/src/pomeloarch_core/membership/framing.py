"""Builds the frames of a node: rumours go along, bytes are charged."""

from __future__ import annotations

import random

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.budget import TokenBucket
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.members import MemberTable
from pomeloarch_core.membership.messages import (
    Body,
    Frame,
    NodeState,
    Rumour,
    SendFrame,
)
from pomeloarch_core.membership.sizes import frame_bytes

# Headers of the packet that carries a frame: Ethernet, IP, TCP.
PACKET_OVERHEAD_BYTES = 66
# Live nodes told of in each frame, for those that missed a rumour.
_SAMPLED = 2


class FrameBuilder:
    """Builds frames and keeps account of their bytes.

    Args:
      members: the other nodes and the rumours about them.
      bucket: the byte budget of what this node sends on its own account.
      data: the byte budget of what it sends for callers.
      cfg: bounds.
      rng: for the nodes told of in each frame.
    """

    def __init__(
        self,
        members: MemberTable,
        bucket: TokenBucket,
        data: TokenBucket,
        cfg: MembershipConfig,
        rng: random.Random,
    ) -> None:
        """Starts with no node known to be outdated."""
        self._members = members
        self._bucket = bucket
        self._data = data
        self._cfg = cfg
        self._rng = rng
        self._outdated: set[NodeId] = set()

    def build(
        self,
        me: Rumour,
        address: str,
        node: NodeId,
        body: Body,
        now: float,
        *,
        data: bool = False,
    ) -> SendFrame:
        """Returns the frame to send, with rumours, and charges its bytes."""
        frame = Frame(
            me.node,
            me.availability_zone,
            me.address,
            me.incarnation,
            body,
            self._rumours_for(me, node),
        )
        charged = frame_bytes(frame) + PACKET_OVERHEAD_BYTES
        self._bucket_of(data).charge(charged, now)
        return SendFrame(address, node, frame, charged, data)

    def encoded(self, order: SendFrame, size: int, now: float) -> None:
        """Takes note of the bytes that a frame really took."""
        real = size + PACKET_OVERHEAD_BYTES
        self._bucket_of(order.data).charge(real - order.charged_bytes, now)

    def may_send(self, data: bool, now: float) -> bool:
        """Returns whether the budget of messages isn't used up."""
        return self._bucket_of(data).available(now) > 0

    def _bucket_of(self, data: bool) -> TokenBucket:
        return self._data if data else self._bucket

    def note_sender(self, sender: Rumour) -> None:
        """Notes a restarted node that has to take a higher incarnation."""
        member = self._members.get(sender.node)
        if member is None or member.rumour.incarnation <= sender.incarnation:
            self._outdated.discard(sender.node)
        else:
            self._outdated.add(sender.node)

    def forget_unknown(self) -> None:
        """Drops notes of nodes that are no longer known."""
        self._outdated = {
            node
            for node in self._outdated
            if self._members.get(node) is not None
        }

    def _rumours_for(self, me: Rumour, node: NodeId) -> tuple[Rumour, ...]:
        """Returns own leaving, the receiver's own bad news, then the rest."""
        rumours = []
        zone = me.availability_zone
        if me.state is not NodeState.ALIVE:
            rumours.append(me)
        receiver = self._members.get(node)
        if receiver is not None:
            zone = receiver.rumour.availability_zone
            known_wrong = node in self._outdated
            if known_wrong or receiver.rumour.state is not NodeState.ALIVE:
                rumours.append(receiver.rumour)
        rumours += self._members.rumours(zone, self._cfg.max_rumours)
        rumours += self._sample(zone)
        return tuple(dict.fromkeys(rumours))

    def _sample(self, zone: ZoneName) -> list[Rumour]:
        known = [
            rumour
            for rumour in self._members.live()
            if self._members.concerns(rumour, zone)
        ]
        return self._rng.sample(known, min(_SAMPLED, len(known)))
