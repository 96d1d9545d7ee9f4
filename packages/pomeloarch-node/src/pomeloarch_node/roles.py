"""Single-owner roles: what their holders ask of the lease that they hold."""

from __future__ import annotations

from typing import Protocol

from pomeloarch_core.ids import Epoch


class Role(Protocol):
    """A leased role that one node at a time may hold."""

    def epoch(self) -> Epoch | None:
        """Returns the epoch to act under right now, None when not held.

        Asked before each order and write: it is None as soon as the lease
        has run out by this node's own clock, less a bound for drift.
        """

    def is_sole_holder(self) -> bool:
        """Whether it is held here and nobody can have claimed it yet."""

    async def wait_for_change(self) -> None:
        """Waits until the role is gained, lost or gained anew."""

    async def release(self) -> None:
        """Gives the role up so that another node takes it at once."""
