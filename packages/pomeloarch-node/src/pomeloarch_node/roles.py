"""Interface of roles that at most one node at a time holds."""

from __future__ import annotations

from typing import Protocol

from pomeloarch_core.ids import Epoch


class Role(Protocol):
    """A role with a lease, which at most one node at a time holds."""

    def epoch(self) -> Epoch | None:
        """Returns the epoch to act under now, None if the role isn't held.

        Callers ask before each order and write. The result is None as soon as
        the lease has expired by this node's own clock, reduced by a bound on
        clock drift.
        """

    def is_sole_holder(self) -> bool:
        """Returns whether no other node can have claimed the held role yet."""

    async def wait_for_change(self) -> None:
        """Waits until the role is gained, lost or regained."""

    async def release(self) -> None:
        """Gives the role up, so that another node can claim it at once."""
