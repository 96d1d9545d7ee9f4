"""Construction of frames, with rumours added and bytes charged."""

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

# Headers of the packet that carries a frame: Ethernet, IP and TCP.
PACKET_OVERHEAD_BYTES = 66
# Live nodes that each frame mentions, for receivers that missed a rumour.
_SAMPLED_LIVE_NODES = 2


class FrameBuilder:
    """Builds frames and charges their bytes to the budgets.

    Args:
      members: the other nodes and the rumours about them.
      bucket: the byte budget of this node's control traffic.
      data: the byte budget of its traffic for callers.
      cfg: limits of the protocol.
      rng: draws the live nodes that each frame mentions.
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
        local: Rumour,
        address: str,
        node: NodeId,
        body: Body,
        now: float,
        *,
        data: bool = False,
    ) -> SendFrame:
        """Returns the frame to send, with rumours, and charges its bytes.

        Args:
          local: this node as it announces itself.
          address: the address to send to.
          node: the receiver, empty if it is not known.
          body: the body of the frame.
          now: the current time, in seconds of the monotonic clock.
          data: whether the frame is traffic for callers.
        """
        frame = Frame(
            local.node,
            local.availability_zone,
            local.address,
            local.incarnation,
            body,
            self._rumours_for(local, node),
        )
        charged_bytes = frame_bytes(frame) + PACKET_OVERHEAD_BYTES
        self._bucket_of(data).charge(charged_bytes, now)
        return SendFrame(address, node, frame, charged_bytes, data)

    def record_encoded_size(
        self, sent: SendFrame, size: int, now: float
    ) -> None:
        """Corrects the charge of a frame to its encoded size."""
        actual_bytes = size + PACKET_OVERHEAD_BYTES
        self._bucket_of(sent.data).charge(
            actual_bytes - sent.charged_bytes, now
        )

    def can_send(self, data: bool, now: float) -> bool:
        """Returns whether the byte budget is not used up."""
        return self._bucket_of(data).available(now) > 0

    def _bucket_of(self, data: bool) -> TokenBucket:
        return self._data if data else self._bucket

    def record_sender(self, sender: Rumour) -> None:
        """Records whether a sender uses an incarnation that is too low.

        A restarted node may not know yet that it has to take a higher one.
        """
        member = self._members.get(sender.node)
        if member is None or member.rumour.incarnation <= sender.incarnation:
            self._outdated.discard(sender.node)
        else:
            self._outdated.add(sender.node)

    def forget_unknown(self) -> None:
        """Drops records of nodes that are no longer known."""
        self._outdated = {
            node
            for node in self._outdated
            if self._members.get(node) is not None
        }

    def _rumours_for(self, local: Rumour, node: NodeId) -> tuple[Rumour, ...]:
        """Returns the rumours to send to a node.

        A rumour that this node leaves comes first, then the receiver's own
        state if it has to refute it, then the others.
        """
        rumours = []
        zone = local.availability_zone
        if local.state is not NodeState.ALIVE:
            rumours.append(local)
        receiver = self._members.get(node)
        if receiver is not None:
            zone = receiver.rumour.availability_zone
            is_outdated = node in self._outdated
            if is_outdated or receiver.rumour.state is not NodeState.ALIVE:
                rumours.append(receiver.rumour)
        rumours += self._members.take_rumours(zone, self._cfg.max_rumours)
        rumours += self._sample(zone)
        return tuple(dict.fromkeys(rumours))

    def _sample(self, zone: ZoneName) -> list[Rumour]:
        relevant = [
            rumour
            for rumour in self._members.live_rumours()
            if self._members.is_relevant(rumour, zone)
        ]
        return self._rng.sample(
            relevant, min(_SAMPLED_LIVE_NODES, len(relevant))
        )
