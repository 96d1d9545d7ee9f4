"""The right to act as the scheduler of a zone, asked before every act."""

from __future__ import annotations

import asyncio

from pomeloarch_core.ids import Epoch
from pomeloarch_node.roles import Role


class Tenure:
    """One unbroken time as the holder of a scheduler's role.

    It ends when the role's lease runs out, when the table names a newer
    holder, or when a worker has seen a higher epoch. It never begins anew.

    Args:
      role: the leased role.
      epoch: the epoch that was gained.
    """

    def __init__(self, role: Role, epoch: Epoch) -> None:
        """Begins under an epoch."""
        self.epoch = epoch
        self._role = role
        self._lost = asyncio.Event()
        self._superseded = asyncio.Event()
        self.reason = ""

    @property
    def is_superseded(self) -> bool:
        """Whether a newer holder showed itself."""
        return self._superseded.is_set()

    def is_held(self) -> bool:
        """Whether to act right now; asked right before each act."""
        if not self._lost.is_set() and self._role.epoch() != self.epoch:
            self.lose("the lease of the role has run out")
        return not self._lost.is_set()

    def is_sole_holder(self) -> bool:
        """Whether no successor can have claimed the role yet."""
        return self.is_held() and self._role.is_sole_holder()

    def supersede(self, reason: str) -> None:
        """Ends it for good, as a newer holder showed itself."""
        self._superseded.set()
        self.lose(reason)

    async def wait_until_superseded(self) -> None:
        """Waits until a newer holder shows itself."""
        await self._superseded.wait()

    def lose(self, reason: str) -> None:
        """Ends it for good."""
        if not self._lost.is_set():
            self.reason = reason
            self._lost.set()

    async def wait_until_lost(self) -> None:
        """Waits until it is lost."""
        watching = asyncio.create_task(self._watch())
        try:
            await self._lost.wait()
        finally:
            watching.cancel()

    async def _watch(self) -> None:
        while self.is_held():
            await self._role.wait_for_change()
