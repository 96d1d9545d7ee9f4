"""The interface through which generations are read."""

from __future__ import annotations

from typing import Protocol

from result import Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.platform import PlatformError


class SnapshotSource(Protocol):
    """Reads generations, usually from the platform's tables."""

    async def load_head(self) -> Result[Generation, PlatformError]:
        """Reads the number of the highest generation, 0 if there is none."""

    async def load_snapshot(self) -> Result[Snapshot, PlatformError]:
        """Reads the highest generation.

        A generation that is published meanwhile may be missed.
        """

    async def load_deltas(
        self, base: Generation
    ) -> Result[tuple[Delta, ...], PlatformError]:
        """Reads the deltas that follow a generation, in order.

        If there are many, they may end below the highest generation.
        """
