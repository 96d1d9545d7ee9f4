"""The latest digests of each node, reconciled by their versions.

A node numbers its digests. Two nodes compare up to which version each has the
digests of a third and send each other what is missing, as far as there is room
(van Renesse et al., "Efficient Reconciliation and Flow Control for Anti-Entropy
Protocols", 2008). A node therefore soon stops receiving digests that it already
has.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.messages import Entry, Mark

_ENTRY_OVERHEAD_BYTES = 48


class _NodeDigests(msgspec.Struct):
    """The known digests of one node and the version of the latest one."""

    incarnation: int
    version: int = 0
    entries: dict[str, Entry] = {}


def entry_bytes(entry: Entry) -> int:
    """Returns an upper bound of the bytes of an entry in a frame."""
    names = len(entry.node.encode()) + len(entry.topic.encode())
    return _ENTRY_OVERHEAD_BYTES + names + len(entry.payload)


class DigestStore:
    """Digests of this node and of the other nodes that it knows.

    Args:
      node: this node.
      incarnation: its incarnation at the start.
    """

    def __init__(self, node: NodeId, incarnation: int) -> None:
        """Starts without digests."""
        self._node = node
        self._nodes = {node: _NodeDigests(incarnation)}

    def set_own(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic if the payload differs."""
        own = self._nodes[self._node]
        known = own.entries.get(topic)
        if known is not None and known.payload == payload:
            return
        own.version += 1
        own.entries[topic] = Entry(
            self._node, own.incarnation, own.version, 0, topic, payload
        )

    def restart(self, incarnation: int) -> None:
        """Renumbers this node's digests under a higher incarnation."""
        old = self._nodes[self._node]
        self._nodes[self._node] = _NodeDigests(incarnation)
        for topic, entry in sorted(old.entries.items()):
            self.set_own(topic, entry.payload)

    def forget(self, node: NodeId) -> None:
        """Drops the digests of another node."""
        if node != self._node:
            self._nodes.pop(node, None)

    def of_topic(self, topic: str) -> Iterable[Entry]:
        """Yields all nodes' latest digests of a topic, including this one's."""
        for digests in self._nodes.values():
            entry = digests.entries.get(topic)
            if entry is not None:
                yield entry

    def mark(self, node: NodeId) -> Mark:
        """Returns up to which version the digests of a node are known."""
        digests = self._nodes.get(node)
        if digests is None:
            return Mark(node, 0, 0)
        return Mark(node, digests.incarnation, digests.version)

    def entries_after(self, mark: Mark, max_bytes: int) -> list[Entry]:
        """Returns the digests after a mark by version, up to `max_bytes`."""
        digests = self._nodes.get(mark.node)
        if digests is None or digests.incarnation < mark.incarnation:
            return []
        known_version = 0
        if digests.incarnation == mark.incarnation:
            known_version = mark.version
        entries = []
        for entry in sorted(digests.entries.values(), key=_version):
            if entry.version <= known_version:
                continue
            max_bytes -= entry_bytes(entry)
            if max_bytes < 0:
                break
            entries.append(msgspec.structs.replace(entry, after=known_version))
            known_version = entry.version
        return entries

    def apply(self, entry: Entry) -> bool:
        """Stores another node's digest; returns whether it was new."""
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
