"""The latest digests of each node, reconciled by versions.

A node numbers its digests; two nodes compare up to which number each knows
the digests of a third, and send what the other lacks, as much as fits
(van Renesse et al., "Efficient Reconciliation and Flow Control for
Anti-Entropy Protocols", 2008). No digest is received twice for long.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.messages import Entry, Mark

_ENTRY_OVERHEAD_BYTES = 48


class _NodeDigests(msgspec.Struct):
    incarnation: int
    version: int = 0
    entries: dict[str, Entry] = {}


def entry_bytes(entry: Entry) -> int:
    """Returns the bytes that an entry takes in a frame, at the most."""
    names = len(entry.node.encode()) + len(entry.topic.encode())
    return _ENTRY_OVERHEAD_BYTES + names + len(entry.payload)


class DigestStore:
    """Digests of this node and of the others that it knows.

    Args:
      node: this node.
      incarnation: its incarnation at the start.
    """

    def __init__(self, node: NodeId, incarnation: int) -> None:
        """Starts with no digest."""
        self._node = node
        self._nodes = {node: _NodeDigests(incarnation)}

    def set_own(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic, if it differs."""
        own = self._nodes[self._node]
        known = own.entries.get(topic)
        if known is not None and known.payload == payload:
            return
        own.version += 1
        own.entries[topic] = Entry(
            self._node, own.incarnation, own.version, 0, topic, payload
        )

    def restart(self, incarnation: int) -> None:
        """Numbers this node's digests anew under a higher incarnation."""
        old = self._nodes[self._node]
        self._nodes[self._node] = _NodeDigests(incarnation)
        for topic, entry in sorted(old.entries.items()):
            self.set_own(topic, entry.payload)

    def forget(self, node: NodeId) -> None:
        """Drops another node's digests."""
        if node != self._node:
            self._nodes.pop(node, None)

    def topic(self, topic: str) -> Iterable[Entry]:
        """Returns the latest digests of a topic, this node's included."""
        for digests in self._nodes.values():
            entry = digests.entries.get(topic)
            if entry is not None:
                yield entry

    def mark(self, node: NodeId) -> Mark:
        """Returns up to which version a node's digests are known."""
        digests = self._nodes.get(node)
        if digests is None:
            return Mark(node, 0, 0)
        return Mark(node, digests.incarnation, digests.version)

    def newer(self, mark: Mark, room: int) -> list[Entry]:
        """Returns digests above a mark in their order, up to `room` bytes."""
        digests = self._nodes.get(mark.node)
        if digests is None or digests.incarnation < mark.incarnation:
            return []
        floor = 0
        if digests.incarnation == mark.incarnation:
            floor = mark.version
        entries = []
        for entry in sorted(digests.entries.values(), key=_version):
            if entry.version <= floor:
                continue
            room -= entry_bytes(entry)
            if room < 0:
                break
            entries.append(msgspec.structs.replace(entry, after=floor))
            floor = entry.version
        return entries

    def apply(self, entry: Entry) -> bool:
        """Takes another node's digest; returns whether it was news."""
        known = self._nodes.get(entry.node)
        if known is None or entry.incarnation > known.incarnation:
            if entry.node == self._node or entry.after > 0:
                return False
            known = _NodeDigests(entry.incarnation)
            self._nodes[entry.node] = known
        stale = entry.incarnation < known.incarnation
        if stale or not entry.after <= known.version < entry.version:
            return False
        known.version = entry.version
        known.entries[entry.topic] = entry
        return True


def _version(entry: Entry) -> int:
    return entry.version
