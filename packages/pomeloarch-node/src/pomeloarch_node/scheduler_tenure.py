"""The right to act as scheduler, which is checked before every action."""

from __future__ import annotations

import asyncio

from pomeloarch_core.ids import Epoch
from pomeloarch_node.roles import Role


class Tenure:
    """Uninterrupted period in which this node holds a scheduler's role.

    A tenure ends when the lease of the role expires, when the table names a
    newer holder, or when a worker has seen a higher epoch. It can't be resumed.

    Attributes:
      epoch: the epoch of the role under which the tenure began.
      reason: why the tenure ended; empty until then.

    Args:
      role: the leased role.
      epoch: the epoch that was gained.
    """

    def __init__(self, role: Role, epoch: Epoch) -> None:
        """Begins a tenure under an epoch."""
        self.epoch = epoch
        self._role = role
        self._lost = asyncio.Event()
        self._superseded = asyncio.Event()
        self.reason = ""

    @property
    def is_superseded(self) -> bool:
        """Whether a newer holder has appeared."""
        return self._superseded.is_set()

    def is_held(self) -> bool:
        """Returns whether the node may act; to be called before each action."""
        if not self._lost.is_set() and self._role.epoch() != self.epoch:
            self.lose("the lease of the role has run out")
        return not self._lost.is_set()

    def is_sole_holder(self) -> bool:
        """Returns whether no successor can have claimed the role yet."""
        return self.is_held() and self._role.is_sole_holder()

    def supersede(self, reason: str) -> None:
        """Ends the tenure because a newer holder has appeared."""
        self._superseded.set()
        self.lose(reason)

    async def wait_until_superseded(self) -> None:
        """Waits until a newer holder has appeared."""
        await self._superseded.wait()

    def lose(self, reason: str) -> None:
        """Ends the tenure; the first reason is kept."""
        if not self._lost.is_set():
            self.reason = reason
            self._lost.set()

    async def wait_until_lost(self) -> None:
        """Waits until the tenure has ended."""
        watching = asyncio.create_task(self._watch())
        try:
            await self._lost.wait()
        finally:
            watching.cancel()

    async def _watch(self) -> None:
        while self.is_held():
            await self._role.wait_for_change()
