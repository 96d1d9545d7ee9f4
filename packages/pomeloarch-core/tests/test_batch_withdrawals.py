"""Tests of withdrawn ids, of the budget of withdrawals and of ages of rows."""

import pytest

from pomeloarch_core.batch.row_ages import RowAges
from pomeloarch_core.batch.withdrawals import (
    FLEET_BURST,
    FLEET_RATE_PER_S,
    Withdrawal,
    WithdrawalBudget,
)


@pytest.mark.parametrize(
    ("withdrawn_by", "owner", "is_covered"),
    [
        ((), "a", False),
        (("a",), "a", True),
        (("b",), "a", False),
        (("b", "a"), "a", True),
        (("",), "a", True),
        (("b",), "", True),
    ],
)
def test_withdrawal_covers_the_jobs_that_the_caller_may_cancel(
    withdrawn_by, owner, is_covered
):
    withdrawal = Withdrawal()
    for each in withdrawn_by:
        withdrawal = withdrawal.including(each)
    assert withdrawal.covers(owner) == is_covered


def spend(budget, organisation, nodes, seconds, per_s=50):
    """Tries to spend at a steady rate; returns how often it was granted."""
    return sum(
        budget.try_spend(organisation, nodes, 100.0 + number / per_s)
        for number in range(int(seconds * per_s))
    )


@pytest.mark.parametrize("nodes", [1, 6, 38, 97, 300])
def test_cancels_of_unknown_jobs_cost_the_fleet_a_bounded_rate(nodes):
    """Guards against callers who spend the store's writes on random ids."""
    seconds = 60.0
    granted = nodes * spend(WithdrawalBudget(), "a", nodes, seconds)
    allowed = FLEET_RATE_PER_S * seconds / 2 + max(FLEET_BURST, nodes)
    assert FLEET_RATE_PER_S * seconds / 4 < granted <= allowed


def test_one_organisation_leaves_others_their_part_of_the_budget():
    budget = WithdrawalBudget()
    spend(budget, "a", 6, 20.0)
    assert not budget.try_spend("a", 6, 120.0)
    assert budget.try_spend("b", 6, 120.0)


def test_row_is_ripe_once_it_has_not_changed_for_long_enough():
    """Guards against deleting what was renewed meanwhile."""
    ages = RowAges(60.0)
    assert ages.find_ripe({"old": 1, "renewed": 2}, 100.0) == []
    assert ages.find_ripe({"old": 1, "renewed": 3}, 130.0) == []
    assert ages.find_ripe({"old": 1, "renewed": 3}, 160.0) == ["old"]
    assert ages.find_ripe({"renewed": 3, "new": 4}, 190.0) == ["renewed"]
    assert ages.find_ripe({"old": 1, "new": 4}, 250.0) == ["new"]
