"""Which addresses a node tries so that it joins and cuts heal."""

from __future__ import annotations

import random
from collections.abc import Iterable

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.members import MemberTable
from pomeloarch_core.membership.messages import NodeState, Rumour

# Addresses tried at once by a node that knows no live one.
_LONELY_TRIES = 3


class Rejoiner:
    """Chooses among seeds, the platform's list and nodes believed dead.

    Args:
      own_address: this node's address, which is not tried.
      seeds: addresses from the settings.
      members: the other nodes.
      cfg: times between tries.
      rng: for the choice.
    """

    def __init__(
        self,
        own_address: str,
        seeds: Iterable[str],
        members: MemberTable,
        cfg: MembershipConfig,
        rng: random.Random,
    ) -> None:
        """Starts with the seeds."""
        self._own_address = own_address
        self._seeds = set(seeds) - {own_address}
        self._listed: set[str] = set()
        self._members = members
        self._cfg = cfg
        self._rng = rng
        self._checked: dict[NodeId, float] = {}

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Takes addresses from the platform's list."""
        self._listed = set(addresses) - {self._own_address}

    def addresses(self) -> list[str]:
        """Returns addresses to try now, zones without a live node first."""
        live = self._members.live()
        reached = {rumour.address for rumour in live}
        zones = {rumour.availability_zone for rumour in live}
        lost = [
            member.rumour
            for member in self._members.members()
            if member.rumour.state is NodeState.DEAD
        ]
        in_silent_zones = {
            rumour.address
            for rumour in lost
            if rumour.availability_zone not in zones
        }
        others = {rumour.address for rumour in lost}
        others |= self._seeds | self._listed
        tries = 1 if live else _LONELY_TRIES
        return [
            address
            for group in (in_silent_zones - reached, others - reached)
            for address in self._rng.sample(
                sorted(group), min(tries, len(group))
            )
        ]

    def address_to_check(self, rumour: Rumour, now: float) -> str | None:
        """Returns the address of a dead node that another one knows as alive.

        Asked whether it lives, that node hears that it was believed dead and
        refutes.
        """
        member = self._members.get(rumour.node)
        if (
            member is None
            or member.rumour.state is not NodeState.DEAD
            or rumour.state is not NodeState.ALIVE
            or rumour.incarnation < member.rumour.incarnation
            or now < self._checked.get(rumour.node, now)
        ):
            return None
        self._checked[rumour.node] = now + self._cfg.rejoin_s
        return rumour.address

    def forget_unknown(self) -> None:
        """Drops notes of nodes that are no longer known."""
        self._checked = {
            node: when
            for node, when in self._checked.items()
            if self._members.get(node) is not None
        }
