"""Reads generations from the platform's tables."""

from __future__ import annotations

from result import Err, Ok, Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.platform import PlatformError
from pomeloarch_node.publication_store import PublicationStore

# Limit on the deltas of one read.
_MAX_DELTAS = 64


class TableSnapshotSource:
    """A `SnapshotSource` that reads the tables of publications.

    Args:
      store: reads the tables.
    """

    def __init__(self, store: PublicationStore) -> None:
        """Creates a source that reads through a store."""
        self._store = store

    async def load_head(self) -> Result[Generation, PlatformError]:
        """Reads the number of the highest generation, 0 if there is none."""
        head = await self._store.load_head()
        return head.map(lambda found: found.generation)

    async def load_snapshot(self) -> Result[Snapshot, PlatformError]:
        """Reads the highest generation; see `SnapshotSource`."""
        return await self._store.load_snapshot()

    async def load_deltas(
        self, base: Generation
    ) -> Result[tuple[Delta, ...], PlatformError]:
        """Reads the deltas that follow a generation; see `SnapshotSource`."""
        head = await self.load_head()
        if isinstance(head, Err):
            return head
        last = Generation(min(head.ok_value, base + _MAX_DELTAS))
        if last <= base:
            return Ok(())
        records = await self._store.load_records(Generation(base + 1), last)
        return records.map(
            lambda found: tuple(record.delta() for record in found)
        )
