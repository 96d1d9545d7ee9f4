"""What a node believes of the others, and the rumours that it passes on.

A node knows its own zone whole and of each other zone only the bridges: the
few live nodes whose hash is lowest. Its state and traffic therefore don't
grow with the number of nodes elsewhere.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.messages import NodeState, Rumour

BRIDGES_PER_ZONE = 2
_EXTRA_SENDS = 1
# Longer than a cut between regions, so that it heals without seeds.
_FORGET_S = 21_600.0
MAX_MEMBERS = 1_024


class Member(msgspec.Struct):
    """One node as it is believed to be.

    Attributes:
      rumour: the last word on it.
      changed_at: when that word came.
      sends_left: how often the word is still passed on.
    """

    rumour: Rumour
    changed_at: float
    sends_left: int = 0

    @property
    def live(self) -> bool:
        """Whether it may be used; a suspect still may."""
        return self.rumour.state <= NodeState.SUSPECT


def bridge_rank(node: NodeId) -> tuple[int, NodeId]:
    """Returns the order in which a zone's nodes become its bridges."""
    return zlib.crc32(node.encode()), node


def bridges(
    nodes: Mapping[NodeId, ZoneName], availability_zone: ZoneName
) -> list[NodeId]:
    """Returns the nodes that link a zone to the others.

    Args:
      nodes: the live nodes with their zones.
      availability_zone: the zone.
    """
    inside = [node for node, zone in nodes.items() if zone == availability_zone]
    return sorted(inside, key=bridge_rank)[:BRIDGES_PER_ZONE]


def supersedes(new: Rumour, old: Rumour) -> bool:
    """Returns whether a rumour replaces another of the same node (SWIM)."""
    return (new.incarnation, new.state) > (old.incarnation, old.state)


class MemberTable:
    """The other nodes known to one node.

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
        """Returns what is believed of a node."""
        return self._members.get(node)

    def __len__(self) -> int:
        """Returns how many others are known, dead ones included."""
        return len(self._members)

    def members(self) -> Iterable[Member]:
        """Returns all that are known, dead ones included."""
        return self._members.values()

    def live(self, in_own_zone: bool | None = None) -> list[Rumour]:
        """Returns the live nodes, of all zones, the own or the others."""
        return [
            member.rumour
            for member in self._members.values()
            if member.live
            and in_own_zone
            in (None, member.rumour.availability_zone == self._zone)
        ]

    def apply(self, rumour: Rumour, now: float) -> bool:
        """Takes a rumour of another node; returns whether it was news."""
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
        known.sends_left = self._retransmits()
        self._bridges_of.clear()
        self._trim(rumour.availability_zone)
        return rumour.node in self._members

    def forget_old(self, now: float) -> None:
        """Drops those that have been dead for long."""
        old = [
            node
            for node, member in self._members.items()
            if not member.live and now - member.changed_at > _FORGET_S
        ]
        for node in old:
            del self._members[node]

    def is_bridge(self, node: NodeId, availability_zone: ZoneName) -> bool:
        """Returns whether a live node links its zone to the others."""
        return node in self._bridges(availability_zone)

    def rumours(self, availability_zone: ZoneName, limit: int) -> list[Rumour]:
        """Returns the freshest rumours for a receiver in a zone.

        Each call counts as one sending of what it returns.
        """
        waiting = [
            member
            for member in self._members.values()
            if member.sends_left > 0
            and self.concerns(member.rumour, availability_zone)
        ]
        waiting.sort(key=lambda member: -member.sends_left)
        for member in waiting[:limit]:
            member.sends_left -= 1
        return [member.rumour for member in waiting[:limit]]

    def concerns(self, rumour: Rumour, availability_zone: ZoneName) -> bool:
        """Returns whether nodes of a zone keep track of a rumour's node."""
        return rumour.availability_zone == availability_zone or (
            rumour.state >= NodeState.DEAD
            or self.is_bridge(rumour.node, rumour.availability_zone)
        )

    def _make_room(self) -> bool:
        """Drops the node dead for longest when the table is full."""
        if len(self._members) < MAX_MEMBERS:
            return True
        dead = [
            (member.changed_at, node)
            for node, member in self._members.items()
            if not member.live
        ]
        if dead:
            del self._members[min(dead)[1]]
        return bool(dead)

    def _bridges(self, availability_zone: ZoneName) -> list[NodeId]:
        if availability_zone not in self._bridges_of:
            self._bridges_of[availability_zone] = self._find_bridges(
                availability_zone
            )
        return self._bridges_of[availability_zone]

    def _find_bridges(self, availability_zone: ZoneName) -> list[NodeId]:
        nodes = {
            rumour.node: rumour.availability_zone for rumour in self.live()
        }
        nodes[self._node] = self._zone
        return bridges(nodes, availability_zone)

    def _trim(self, availability_zone: ZoneName) -> None:
        """Keeps only the bridges of another zone."""
        if availability_zone == self._zone:
            return
        kept = self._bridges(availability_zone)
        for rumour in self.live(in_own_zone=False):
            if (
                rumour.availability_zone == availability_zone
                and rumour.node not in kept
            ):
                del self._members[rumour.node]

    def _retransmits(self) -> int:
        return _EXTRA_SENDS + math.ceil(math.log2(len(self._members) + 2))
