"""A node's view of the other nodes, and the rumours that it passes on.

A node knows all nodes of its own zone, but of each other zone only the bridges:
the few live nodes with the lowest hash. Its state and traffic therefore don't
grow with the number of nodes in other zones.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.messages import NodeState, Rumour

BRIDGES_PER_ZONE = 2
# Transmissions of a rumour beyond the binary logarithm of the number of nodes.
_EXTRA_SENDS = 1
# Longer than a network partition between regions, so that nodes find each other
# again without seeds.
_FORGET_DEAD_AFTER_S = 21_600.0
MAX_MEMBERS = 1_024


class Member(msgspec.Struct):
    """The assumed state of one node.

    Attributes:
      rumour: the latest rumour about the node.
      changed_at: when that rumour arrived.
      sends_left: how many more times the rumour is sent.
    """

    rumour: Rumour
    changed_at: float
    sends_left: int = 0

    @property
    def is_live(self) -> bool:
        """Whether the node may be used, as a suspected one still may."""
        return self.rumour.state <= NodeState.SUSPECT


def bridge_rank(node: NodeId) -> tuple[int, NodeId]:
    """Returns the sort key by which the nodes of a zone become bridges."""
    return zlib.crc32(node.encode()), node


def bridges(
    nodes: Mapping[NodeId, ZoneName], availability_zone: ZoneName
) -> list[NodeId]:
    """Returns the nodes that link a zone to the other zones.

    Args:
      nodes: the live nodes with their zones.
      availability_zone: the zone.
    """
    inside = [node for node, zone in nodes.items() if zone == availability_zone]
    return sorted(inside, key=bridge_rank)[:BRIDGES_PER_ZONE]


def supersedes(new: Rumour, old: Rumour) -> bool:
    """Returns whether a rumour replaces an older one of its node (SWIM)."""
    return (new.incarnation, new.state) > (old.incarnation, old.state)


class MemberTable:
    """The other nodes that one node knows.

    Args:
      node: this node, which is not in the table.
      availability_zone: its zone.
    """

    def __init__(self, node: NodeId, availability_zone: ZoneName) -> None:
        """Starts with no other node known."""
        self._node = node
        self._zone = availability_zone
        self._members: dict[NodeId, Member] = {}
        self._bridges_of: dict[ZoneName, list[NodeId]] = {}

    def get(self, node: NodeId) -> Member | None:
        """Returns the entry of a node, None if it is unknown."""
        return self._members.get(node)

    def __len__(self) -> int:
        """Returns the number of known nodes, including dead ones."""
        return len(self._members)

    def members(self) -> Iterable[Member]:
        """Returns all known nodes, including dead ones."""
        return self._members.values()

    def live_rumours(self, in_own_zone: bool | None = None) -> list[Rumour]:
        """Returns the rumours about live nodes.

        Args:
          in_own_zone: whether to return nodes of this node's zone or of the
            other zones; None for all.
        """
        return [
            member.rumour
            for member in self._members.values()
            if member.is_live
            and in_own_zone
            in (None, member.rumour.availability_zone == self._zone)
        ]

    def apply(self, rumour: Rumour, now: float) -> bool:
        """Applies a rumour about another node; returns whether it was new."""
        known = self._members.get(rumour.node)
        if known is None:
            if rumour.state >= NodeState.DEAD:
                return False
            if not self._make_room():
                return False
            known = Member(rumour, now)
            self._members[rumour.node] = known
        elif not supersedes(rumour, known.rumour):
            return False
        known.rumour = rumour
        known.changed_at = now
        known.sends_left = self._retransmit_count()
        self._bridges_of.clear()
        self._drop_non_bridges(rumour.availability_zone)
        return rumour.node in self._members

    def forget_old(self, now: float) -> None:
        """Drops nodes that have been dead for a long time."""
        old = [
            node
            for node, member in self._members.items()
            if not member.is_live
            and now - member.changed_at > _FORGET_DEAD_AFTER_S
        ]
        for node in old:
            del self._members[node]

    def is_bridge(self, node: NodeId, availability_zone: ZoneName) -> bool:
        """Returns whether a live node links its zone to the others."""
        return node in self._bridges_in(availability_zone)

    def take_rumours(
        self, availability_zone: ZoneName, limit: int
    ) -> list[Rumour]:
        """Returns the rumours with the most transmissions left for a zone.

        Each call counts as one transmission of the returned rumours.
        """
        waiting = [
            member
            for member in self._members.values()
            if member.sends_left > 0
            and self.is_relevant(member.rumour, availability_zone)
        ]
        waiting.sort(key=lambda member: -member.sends_left)
        for member in waiting[:limit]:
            member.sends_left -= 1
        return [member.rumour for member in waiting[:limit]]

    def is_relevant(self, rumour: Rumour, availability_zone: ZoneName) -> bool:
        """Returns whether the nodes of a zone keep track of a rumour's node."""
        return rumour.availability_zone == availability_zone or (
            rumour.state >= NodeState.DEAD
            or self.is_bridge(rumour.node, rumour.availability_zone)
        )

    def _make_room(self) -> bool:
        """Drops the node that has been dead longest if the table is full.

        Returns:
          Whether there is room for one more node.
        """
        if len(self._members) < MAX_MEMBERS:
            return True
        dead = [
            (member.changed_at, node)
            for node, member in self._members.items()
            if not member.is_live
        ]
        if dead:
            del self._members[min(dead)[1]]
        return bool(dead)

    def _bridges_in(self, availability_zone: ZoneName) -> list[NodeId]:
        if availability_zone not in self._bridges_of:
            self._bridges_of[availability_zone] = self._find_bridges(
                availability_zone
            )
        return self._bridges_of[availability_zone]

    def _find_bridges(self, availability_zone: ZoneName) -> list[NodeId]:
        nodes = {
            rumour.node: rumour.availability_zone
            for rumour in self.live_rumours()
        }
        nodes[self._node] = self._zone
        return bridges(nodes, availability_zone)

    def _drop_non_bridges(self, availability_zone: ZoneName) -> None:
        """Drops the live nodes of another zone that are not its bridges."""
        if availability_zone == self._zone:
            return
        kept = self._bridges_in(availability_zone)
        for rumour in self.live_rumours(in_own_zone=False):
            if (
                rumour.availability_zone == availability_zone
                and rumour.node not in kept
            ):
                del self._members[rumour.node]

    def _retransmit_count(self) -> int:
        return _EXTRA_SENDS + math.ceil(math.log2(len(self._members) + 2))
