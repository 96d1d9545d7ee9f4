"""Where the highest generation is read from: the platform's tables."""

from __future__ import annotations

from typing import Protocol

from result import Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.platform import PlatformError


class SnapshotSource(Protocol):
    """What the spread of generations asks of the publications' tables."""

    async def load_head(self) -> Result[Generation, PlatformError]:
        """Reads the highest generation's number, 0 when there is none."""

    async def load_snapshot(self) -> Result[Snapshot, PlatformError]:
        """Reads the highest generation, or one that was just the highest."""

    async def load_deltas(
        self, base: Generation
    ) -> Result[tuple[Delta, ...], PlatformError]:
        """Reads the steps above a generation, in their order.

        They may end below the highest generation when there are many.
        """
