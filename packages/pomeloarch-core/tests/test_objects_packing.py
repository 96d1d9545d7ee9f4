import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.objects.packing import Cell, Fit, fit


def counts_fit(cells, racks, hosts, accelerators):
    """The naive check: accelerators only as a count."""
    needed = sum(cell.accelerators * cell.hosts for cell in cells)
    return needed <= racks * hosts * accelerators


def exhaustively_fits(cells, racks, hosts, accelerators):
    """Tries every set of hosts of every rack for every cell."""

    def place(rest, free):
        if not rest:
            return True
        cell, *others = rest
        for rack in range(racks):
            for chosen in itertools.combinations(range(hosts), cell.hosts):
                if all(free[rack, h] >= cell.accelerators for h in chosen):
                    taken = dict(free)
                    for h in chosen:
                        taken[rack, h] -= cell.accelerators
                    if place(others, taken):
                        return True
        return False

    everywhere = itertools.product(range(racks), range(hosts))
    return place(cells, dict.fromkeys(everywhere, accelerators))


cells = st.lists(
    st.builds(Cell, accelerators=st.integers(1, 5), hosts=st.integers(1, 3)),
    max_size=6,
)


@given(cells, st.integers(1, 2), st.integers(1, 3), st.integers(1, 5))
def test_it_agrees_with_an_exhaustive_search(cells, racks, hosts, accelerators):
    expected = exhaustively_fits(cells, racks, hosts, accelerators)
    found = fit(cells, racks, hosts, accelerators)
    assert found is (Fit.FITS if expected else Fit.DOES_NOT_FIT)


@pytest.mark.parametrize(
    ("cells", "racks", "hosts", "accelerators"),
    [
        ([Cell(5, 1)] * 9, 1, 8, 8),
        ([Cell(8, 5)] * 3, 2, 8, 8),
        ([Cell(5, 4), Cell(4, 6)], 1, 8, 8),
        ([Cell(3, 8)] * 2 + [Cell(3, 1)], 1, 8, 8),
    ],
)
def test_counts_would_fit_but_adjacent_accelerators_do_not(
    cells, racks, hosts, accelerators
):
    assert counts_fit(cells, racks, hosts, accelerators)
    assert fit(cells, racks, hosts, accelerators) is Fit.DOES_NOT_FIT


def test_the_first_choice_is_taken_back_when_the_rest_does_not_fit():
    wanted = [Cell(2, 3), Cell(2, 2), Cell(2, 2), Cell(2, 2)]
    first_choices_only = fit(wanted, 1, 3, 6, work_limit=len(wanted))
    assert first_choices_only is Fit.NOT_SETTLED
    assert fit(wanted, 1, 3, 6) is Fit.FITS


def test_the_work_is_bounded():
    wanted = [Cell(7, 3)] * 5 + [Cell(5, 2)] * 9 + [Cell(3, 3)] * 9
    assert fit(wanted, 4, 8, 9, work_limit=10) is Fit.NOT_SETTLED


def test_a_pool_of_thousands_of_hosts_is_settled():
    wanted = [Cell(8, 8)] * 200 + [Cell(4, 2)] * 1_000 + [Cell(2, 1)] * 2_000
    assert fit(wanted, 388, 8, 8) is Fit.FITS
    assert fit(wanted, 387, 8, 8) is Fit.DOES_NOT_FIT
