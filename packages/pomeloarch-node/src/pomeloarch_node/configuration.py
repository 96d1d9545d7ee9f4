"""The configuration in force at a node, and its subscribers."""

from __future__ import annotations

import asyncio

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.model import Snapshot


class ConfigurationHolder:
    """Holds the snapshot of the highest generation seen.

    It is never replaced by a lower generation. Tasks that depend on the
    configuration subscribe and receive each newer snapshot on their own
    queue.
    """

    def __init__(self) -> None:
        """Creates a holder without a configuration."""
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
        """Returns a queue of the current snapshot and all newer ones."""
        queue: asyncio.Queue[Snapshot] = asyncio.Queue()
        if self._snapshot is not None:
            queue.put_nowait(self._snapshot)
        self._queues.append(queue)
        return queue
