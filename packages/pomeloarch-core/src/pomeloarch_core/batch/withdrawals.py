"""Ids that callers cancelled while no job had them.

A submission without an answer may still be stored seconds later. A caller that
cancels such a job can only be told that there is none once the job can't be
accepted any more, which the withdrawal of its id ensures.
"""

from __future__ import annotations

import msgspec

from pomeloarch_core.batch.access import may_access
from pomeloarch_core.ids import OrganisationName
from pomeloarch_core.membership.budget import TokenBucket

# Withdrawals that all nodes together may write, per second and at once. The
# rate is 4% of the smallest rate of writes that platforms allow. A shard of the
# store executes this burst in half a second, should all ids fall into it.
FLEET_RATE_PER_S = 24.0
FLEET_BURST = 100.0
# Share of a node's budget that one organisation may use.
ORGANISATION_SHARE = 0.5


class Withdrawal(msgspec.Struct, frozen=True):
    """Keeps jobs with an id from being accepted.

    Attributes:
      organisations: the organisations that withdrew the id.
    """

    organisations: tuple[OrganisationName, ...] = ()

    def covers(self, owner: OrganisationName) -> bool:
        """Returns whether a job of an organisation must not be accepted."""
        return any(may_access(owner, each) for each in self.organisations)

    def including(self, organisation: OrganisationName) -> Withdrawal:
        """Returns the withdrawal by a further organisation as well."""
        names = {*self.organisations, organisation}
        return Withdrawal(tuple(sorted(names)))


class WithdrawalBudget:
    """Limits how many withdrawals a node writes.

    Each one is a write to the store, which callers could otherwise request
    without limit by cancelling random ids. One organisation can't use up the
    whole rate of a node.
    """

    def __init__(self) -> None:
        """Starts without having written any."""
        self._nodes = 0
        self._total = TokenBucket(0.0, 0.0)
        self._by_organisation: dict[OrganisationName, TokenBucket] = {}

    def try_spend(
        self, organisation: OrganisationName, nodes: int, now: float
    ) -> bool:
        """Returns whether a withdrawal may be written, and counts it.

        Args:
          organisation: the caller's organisation.
          nodes: number of nodes that share the budget of the fleet.
          now: the present time, in seconds.
        """
        nodes = max(1, nodes)
        if nodes != self._nodes:
            self._nodes = nodes
            self._total = _make_bucket(1 / nodes)
            self._by_organisation.clear()
        own = self._by_organisation.get(organisation)
        if own is None:
            own = _make_bucket(ORGANISATION_SHARE / nodes)
            self._by_organisation[organisation] = own
        if own.available(now) < 1 or self._total.available(now) < 1:
            return False
        return own.take(1, now) and self._total.take(1, now)


def _make_bucket(share: float) -> TokenBucket:
    """Returns a bucket with a share of the budget of the fleet."""
    return TokenBucket(FLEET_RATE_PER_S * share, max(1.0, FLEET_BURST * share))
