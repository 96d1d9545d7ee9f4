"""Decides whether guaranteed shapes fit into a pool at the same time.

Counting accelerators is not enough, as HiveD (OSDI 2020) shows: each shape
needs a number of accelerators on each of several hosts of one rack. The search
places the largest shapes first and backtracks. It treats racks and hosts in the
same state as one, and tries a limited number of placements.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

# Placements that one search tries at most.
MAX_PLACEMENTS = 20_000

# Pairs of a number of free accelerators and the number of hosts with it, the
# fullest hosts first.
_Rack = tuple[tuple[int, int], ...]
# Pairs of a rack's state and the number of racks in this state.
_RackCounts = frozenset[tuple[_Rack, int]]


class Cell(msgspec.Struct, frozen=True, order=True):
    """A block of accelerators on several hosts of one rack.

    Attributes:
      accelerators: the number of accelerators on each host.
      hosts: the number of hosts.
    """

    accelerators: int
    hosts: int


class Fit(enum.Enum):
    """Whether cells fit; `NOT_SETTLED` when the search reached its limit."""

    FITS = "fits"
    DOES_NOT_FIT = "does_not_fit"
    NOT_SETTLED = "not_settled"


def fit(
    cells: Sequence[Cell],
    racks: int,
    hosts_per_rack: int,
    accelerators_per_host: int,
    max_placements: int = MAX_PLACEMENTS,
) -> Fit:
    """Decides whether all cells can be placed at the same time.

    Args:
      cells: the cells of all guaranteed shapes.
      racks: the number of racks of the pool.
      hosts_per_rack: the number of hosts of each rack.
      accelerators_per_host: the number of accelerators of each host.
      max_placements: the largest number of placements to try.

    >>> fit([Cell(5, 1)] * 2, racks=1, hosts_per_rack=1,
    ...     accelerators_per_host=10)
    <Fit.FITS: 'fits'>
    >>> fit([Cell(5, 1)] * 2, racks=1, hosts_per_rack=2,
    ...     accelerators_per_host=4)
    <Fit.DOES_NOT_FIT: 'does_not_fit'>
    """
    needed = sum(cell.accelerators * cell.hosts for cell in cells)
    if needed > racks * hosts_per_rack * accelerators_per_host:
        return Fit.DOES_NOT_FIT
    if len(cells) > max_placements:
        return Fit.NOT_SETTLED
    empty = ((accelerators_per_host, hosts_per_rack),)
    search = _Search(sorted(cells, reverse=True), max_placements)
    return search.run(frozenset({(empty, racks)}))


class _Search:
    """Depth-first search; not recursive, because cells can be many."""

    def __init__(self, cells: Sequence[Cell], max_placements: int) -> None:
        self._cells = cells
        self._placements_left = max_placements
        self._failed: set[tuple[int, _RackCounts]] = set()

    def run(self, racks: _RackCounts) -> Fit:
        """Searches for a placement of all cells.

        Args:
          racks: the racks before the first cell is placed.
        """
        states = [racks]
        pending = [self._next_states(0, racks)]
        while len(pending) <= len(self._cells):
            state = next(pending[-1], None)
            if state is None:
                pending.pop()
                self._failed.add((len(pending), states.pop()))
                if not pending:
                    return Fit.DOES_NOT_FIT
                continue
            if self._placements_left <= 0:
                return Fit.NOT_SETTLED
            self._placements_left -= 1
            if (len(pending), state) in self._failed:
                continue
            states.append(state)
            pending.append(self._next_states(len(pending), state))
        return Fit.FITS

    def _next_states(
        self, index: int, racks: _RackCounts
    ) -> Iterator[_RackCounts]:
        """Yields the racks after each placement of a cell, fullest first."""
        if index == len(self._cells):
            return
        cell = self._cells[index]
        for rack, count in sorted(racks, key=_free_accelerators):
            for after in _placements(rack, cell):
                yield _replace(racks, rack, count, after)


def _placements(rack: _Rack, cell: Cell) -> Iterator[_Rack]:
    """Yields a rack after each placement of a cell, fullest hosts first."""
    usable = [level for level in rack if level[0] >= cell.accelerators]
    for taken in _distributions([count for _, count in usable], cell.hosts):
        free = Counter(dict(rack))
        for (level, _), hosts in zip(usable, taken, strict=True):
            free[level] -= hosts
            free[level - cell.accelerators] += hosts
        yield tuple(sorted((+free).items()))


def _free_accelerators(racks: tuple[_Rack, int]) -> tuple[int, _Rack]:
    rack, _ = racks
    return sum(level * hosts for level, hosts in rack), rack


def _distributions(
    limits: Sequence[int], total: int
) -> Iterator[tuple[int, ...]]:
    """Yields the ways to take a total from bins, most from the first ones.

    >>> list(_distributions([2, 1], 2))
    [(2, 0), (1, 1)]
    """
    if not limits:
        if total == 0:
            yield ()
        return
    most = min(limits[0], total)
    fewest = max(0, total - sum(limits[1:]))
    for taken in range(most, fewest - 1, -1):
        for others in _distributions(limits[1:], total - taken):
            yield (taken, *others)


def _replace(
    racks: _RackCounts, rack: _Rack, count: int, after: _Rack
) -> _RackCounts:
    counts = dict(racks)
    counts[rack] = count - 1
    counts[after] = counts.get(after, 0) + 1
    return frozenset(
        (counted_rack, rack_count)
        for counted_rack, rack_count in counts.items()
        if rack_count
    )
