"""Snapshots sent in chunks to nodes that can't be sent deltas.

There are no deltas to send if the log has no complete chain of them from the
receiver's base, or if the first one is too large for a message.
"""

from __future__ import annotations

from pomeloarch_core.ids import Generation, NodeId
from pomeloarch_core.membership.generation_messages import (
    Chunk,
    pack_snapshot,
    unpack_snapshot,
)
from pomeloarch_core.objects.model import Snapshot

CHUNK_BYTES = 8_000
# Limit on the chunks of one snapshot.
_MAX_CHUNKS = 4_000


class SnapshotChunker:
    """Splits the snapshot in force into chunks and packs it only once."""

    def __init__(self) -> None:
        """Starts without a packed snapshot."""
        self._generation = Generation(0)
        self._packed = b""

    def split(self, snapshot: Snapshot) -> tuple[Chunk, ...]:
        """Returns the chunks of a snapshot in order."""
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
    """Collects the chunks of snapshots, separately for each sender."""

    def __init__(self) -> None:
        """Starts without chunks."""
        self._chunks: dict[NodeId, dict[int, Chunk]] = {}

    def add(self, sender: NodeId, chunk: Chunk) -> Snapshot | None:
        """Adds a chunk; returns the snapshot once all its chunks are there."""
        if not is_within_bounds(chunk):
            return None
        chunks = self._chunks.setdefault(sender, {})
        if any(
            _series_of(other) != _series_of(chunk) for other in chunks.values()
        ):
            chunks.clear()
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.count:
            return None
        del self._chunks[sender]
        packed = b"".join(chunks[index].data for index in sorted(chunks))
        return unpack_snapshot(packed).unwrap_or(None)

    def forget(self, sender: NodeId) -> None:
        """Drops the chunks of a sender."""
        self._chunks.pop(sender, None)

    def clear(self) -> None:
        """Drops all chunks."""
        self._chunks.clear()


def is_within_bounds(chunk: Chunk) -> bool:
    """Returns whether a chunk's numbering and size are within the limits."""
    in_order = 0 <= chunk.index < chunk.count <= _MAX_CHUNKS
    return in_order and len(chunk.data) <= CHUNK_BYTES


def _series_of(chunk: Chunk) -> tuple[Generation, int]:
    """Returns what all chunks of one snapshot have in common."""
    return chunk.generation, chunk.count
