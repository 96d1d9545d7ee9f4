import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.objects.packing import Cell, Fit, fit


def fits_by_count(cells, racks, hosts, accelerators):
    """Compares only the numbers of accelerators."""
    needed = sum(cell.accelerators * cell.hosts for cell in cells)
    return needed <= racks * hosts * accelerators


def exhaustively_fits(cells, racks, hosts, accelerators):
    """Tries every set of hosts of every rack for every cell."""

    def place(unplaced, free):
        if not unplaced:
            return True
        cell, *remaining = unplaced
        for rack in range(racks):
            for chosen in itertools.combinations(range(hosts), cell.hosts):
                if all(
                    free[rack, host] >= cell.accelerators for host in chosen
                ):
                    free_after = dict(free)
                    for host in chosen:
                        free_after[rack, host] -= cell.accelerators
                    if place(remaining, free_after):
                        return True
        return False

    all_hosts = itertools.product(range(racks), range(hosts))
    return place(cells, dict.fromkeys(all_hosts, accelerators))


cells = st.lists(
    st.builds(Cell, accelerators=st.integers(1, 5), hosts=st.integers(1, 3)),
    max_size=6,
)


@given(cells, st.integers(1, 2), st.integers(1, 3), st.integers(1, 5))
def test_fit_agrees_with_an_exhaustive_search(
    cells, racks, hosts, accelerators
):
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
def test_shapes_that_fit_only_by_count_are_rejected(
    cells, racks, hosts, accelerators
):
    assert fits_by_count(cells, racks, hosts, accelerators)
    assert fit(cells, racks, hosts, accelerators) is Fit.DOES_NOT_FIT


def test_search_backtracks_when_remaining_cells_do_not_fit():
    requested_cells = [Cell(2, 3), Cell(2, 2), Cell(2, 2), Cell(2, 2)]
    without_backtracking = fit(
        requested_cells, 1, 3, 6, max_placements=len(requested_cells)
    )
    assert without_backtracking is Fit.NOT_SETTLED
    assert fit(requested_cells, 1, 3, 6) is Fit.FITS


def test_search_stops_at_the_placement_limit():
    requested_cells = [Cell(7, 3)] * 5 + [Cell(5, 2)] * 9 + [Cell(3, 3)] * 9
    assert fit(requested_cells, 4, 8, 9, max_placements=10) is Fit.NOT_SETTLED


def test_search_decides_a_pool_of_thousands_of_hosts():
    requested_cells = (
        [Cell(8, 8)] * 200 + [Cell(4, 2)] * 1_000 + [Cell(2, 1)] * 2_000
    )
    assert fit(requested_cells, 388, 8, 8) is Fit.FITS
    assert fit(requested_cells, 387, 8, 8) is Fit.DOES_NOT_FIT
