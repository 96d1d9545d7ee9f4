"""Whole snapshots in parts, for those whose base nobody has deltas of."""

from __future__ import annotations

from pomeloarch_core.ids import Generation, NodeId
from pomeloarch_core.membership.generation_messages import (
    Chunk,
    pack_snapshot,
    unpack_snapshot,
)
from pomeloarch_core.objects.model import Snapshot

CHUNK_BYTES = 8_000
_MAX_CHUNKS = 4_000


class SnapshotCutter:
    """Cuts the snapshot in force into parts; packs each snapshot once."""

    def __init__(self) -> None:
        """Starts with nothing packed."""
        self._generation = Generation(0)
        self._packed = b""

    def cut(self, snapshot: Snapshot) -> tuple[Chunk, ...]:
        """Returns the parts of a snapshot in their order."""
        if self._generation != snapshot.generation:
            self._generation = snapshot.generation
            self._packed = pack_snapshot(snapshot)
        starts = range(0, len(self._packed), CHUNK_BYTES)
        return tuple(
            Chunk(
                snapshot.generation,
                index,
                len(starts),
                self._packed[start : start + CHUNK_BYTES],
            )
            for index, start in enumerate(starts)
        )


class SnapshotAssembler:
    """Collects the parts of snapshots, by the node that sends them."""

    def __init__(self) -> None:
        """Starts with no part."""
        self._parts: dict[NodeId, dict[int, Chunk]] = {}

    def add(self, sender: NodeId, chunk: Chunk) -> Snapshot | None:
        """Takes a part; returns the snapshot when it is the last one."""
        if not acceptable(chunk):
            return None
        parts = self._parts.setdefault(sender, {})
        if any(_set_of(part) != _set_of(chunk) for part in parts.values()):
            parts.clear()
        parts[chunk.index] = chunk
        if len(parts) < chunk.count:
            return None
        del self._parts[sender]
        packed = b"".join(parts[index].data for index in sorted(parts))
        return unpack_snapshot(packed).unwrap_or(None)

    def forget(self, sender: NodeId) -> None:
        """Drops the parts of a node."""
        self._parts.pop(sender, None)

    def clear(self) -> None:
        """Drops all parts."""
        self._parts.clear()


def acceptable(chunk: Chunk) -> bool:
    """Returns whether a part is within the bounds."""
    in_order = 0 <= chunk.index < chunk.count <= _MAX_CHUNKS
    return in_order and len(chunk.data) <= CHUNK_BYTES


def _set_of(chunk: Chunk) -> tuple[Generation, int]:
    return chunk.generation, chunk.count
