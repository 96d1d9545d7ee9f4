"""Addresses to contact in order to join and to heal partitions."""

from __future__ import annotations

import random
from collections.abc import Iterable

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.members import MemberTable
from pomeloarch_core.membership.messages import NodeState, Rumour

# Addresses contacted at the same time by a node that knows no live node.
_ISOLATED_ATTEMPTS = 3


class Rejoiner:
    """Chooses among seeds, the platform's list and nodes listed as dead.

    Args:
      own_address: the address of this node, which is not contacted.
      seeds: addresses from the settings.
      members: the other nodes.
      cfg: times between attempts.
      rng: draws the addresses.
    """

    def __init__(
        self,
        own_address: str,
        seeds: Iterable[str],
        members: MemberTable,
        cfg: MembershipConfig,
        rng: random.Random,
    ) -> None:
        """Starts with the seeds only."""
        self._own_address = own_address
        self._seeds = set(seeds) - {own_address}
        self._listed: set[str] = set()
        self._members = members
        self._cfg = cfg
        self._rng = rng
        self._next_check_at: dict[NodeId, float] = {}

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Sets the addresses of the platform's list."""
        self._listed = set(addresses) - {self._own_address}

    def addresses(self) -> list[str]:
        """Returns the addresses to contact now.

        Addresses of zones without a live node come first.
        """
        live = self._members.live_rumours()
        live_addresses = {rumour.address for rumour in live}
        zones = {rumour.availability_zone for rumour in live}
        dead = [
            member.rumour
            for member in self._members.members()
            if member.rumour.state is NodeState.DEAD
        ]
        in_silent_zones = {
            rumour.address
            for rumour in dead
            if rumour.availability_zone not in zones
        }
        others = {rumour.address for rumour in dead}
        others |= self._seeds | self._listed
        attempts = 1 if live else _ISOLATED_ATTEMPTS
        return [
            address
            for group in (
                in_silent_zones - live_addresses,
                others - live_addresses,
            )
            for address in self._rng.sample(
                sorted(group), min(attempts, len(group))
            )
        ]

    def address_to_check(self, rumour: Rumour, now: float) -> str | None:
        """Returns an address to probe if a dead node is reported as alive.

        The probe tells the node that it is listed as dead, so that it refutes.
        None is returned if no probe is due.
        """
        member = self._members.get(rumour.node)
        if (
            member is None
            or member.rumour.state is not NodeState.DEAD
            or rumour.state is not NodeState.ALIVE
            or rumour.incarnation < member.rumour.incarnation
            or now < self._next_check_at.get(rumour.node, now)
        ):
            return None
        self._next_check_at[rumour.node] = now + self._cfg.rejoin_s
        return rumour.address

    def forget_unknown(self) -> None:
        """Drops records of nodes that are no longer known."""
        self._next_check_at = {
            node: check_at
            for node, check_at in self._next_check_at.items()
            if self._members.get(node) is not None
        }
