"""The highest generation that this node knows, and who wants to hear of it."""

from __future__ import annotations

import asyncio

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.model import Snapshot


class ConfigurationHolder:
    """Holds the highest snapshot seen; it never goes back to a lower one.

    Tasks that depend on the configuration subscribe and get each newer
    snapshot on a queue of their own.
    """

    def __init__(self) -> None:
        """Starts without any configuration."""
        self._snapshot: Snapshot | None = None
        self._queues: list[asyncio.Queue[Snapshot]] = []

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot in force, None before the first is known."""
        return self._snapshot

    @property
    def generation(self) -> Generation:
        """The generation in force, 0 before the first is known."""
        if self._snapshot is None:
            return Generation(0)
        return self._snapshot.generation

    def offer(self, snapshot: Snapshot) -> bool:
        """Puts a snapshot in force if it is newer; returns whether it was."""
        if snapshot.generation <= self.generation:
            return False
        self._snapshot = snapshot
        for queue in self._queues:
            queue.put_nowait(snapshot)
        return True

    def subscribe(self) -> asyncio.Queue[Snapshot]:
        """Returns a queue of newer snapshots, with the present one first."""
        queue: asyncio.Queue[Snapshot] = asyncio.Queue()
        if self._snapshot is not None:
            queue.put_nowait(self._snapshot)
        self._queues.append(queue)
        return queue
