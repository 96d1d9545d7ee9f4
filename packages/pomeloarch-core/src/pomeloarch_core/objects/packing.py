"""Whether guaranteed shapes fit a pool together, as adjacent accelerators.

Counting accelerators is not enough, as HiveD (OSDI 2020) shows: every shape
needs that many accelerators on each of that many hosts of one rack. The
search places the largest shapes first and backtracks, over racks and hosts
that are alike at once, within a bound on its work.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator, Sequence

import msgspec

WORK_LIMIT = 20_000

# Free accelerators and how many hosts have them, the fullest hosts first.
_Rack = tuple[tuple[int, int], ...]
# How many racks are alike.
_Racks = frozenset[tuple[_Rack, int]]


class Cell(msgspec.Struct, frozen=True, order=True):
    """Accelerators on each of some hosts of one rack.

    Attributes:
      accelerators: accelerators on each host.
      hosts: how many hosts of one rack.
    """

    accelerators: int
    hosts: int


class Fit(enum.Enum):
    """Whether cells fit; `NOT_SETTLED` when the bound on work was met."""

    FITS = "fits"
    DOES_NOT_FIT = "does_not_fit"
    NOT_SETTLED = "not_settled"


def fit(
    cells: Sequence[Cell],
    racks: int,
    hosts_per_rack: int,
    accelerators_per_host: int,
    work_limit: int = WORK_LIMIT,
) -> Fit:
    """Decides whether all cells can be placed at the same time.

    Args:
      cells: the cells of all guaranteed shapes.
      racks: how many racks the pool has.
      hosts_per_rack: hosts of each rack.
      accelerators_per_host: accelerators of each host.
      work_limit: placements that are tried at most.

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
    if len(cells) > work_limit:
        return Fit.NOT_SETTLED
    empty = ((accelerators_per_host, hosts_per_rack),)
    search = _Search(sorted(cells, reverse=True), work_limit)
    return search.run(frozenset({(empty, racks)}))


class _Search:
    """Depth-first search with a stack of its own; cells can be many."""

    def __init__(self, cells: Sequence[Cell], work_limit: int) -> None:
        self._cells = cells
        self._work_left = work_limit
        self._failed: set[tuple[int, _Racks]] = set()

    def run(self, racks: _Racks) -> Fit:
        """Searches from racks as they are."""
        path = [racks]
        choices = [self._choices(0, racks)]
        while len(choices) <= len(self._cells):
            following = next(choices[-1], None)
            if following is None:
                choices.pop()
                self._failed.add((len(choices), path.pop()))
                if not choices:
                    return Fit.DOES_NOT_FIT
                continue
            if self._work_left <= 0:
                return Fit.NOT_SETTLED
            self._work_left -= 1
            if (len(choices), following) in self._failed:
                continue
            path.append(following)
            choices.append(self._choices(len(choices), following))
        return Fit.FITS

    def _choices(self, index: int, racks: _Racks) -> Iterator[_Racks]:
        """Yields the racks after each way to place a cell, tightest first."""
        if index == len(self._cells):
            return
        cell = self._cells[index]
        for rack, count in sorted(racks, key=_fullness):
            for after in _placements(rack, cell):
                yield _replace(racks, rack, count, after)


def _placements(rack: _Rack, cell: Cell) -> Iterator[_Rack]:
    """Yields a rack after each way to place a cell, fullest hosts first."""
    usable = [level for level in rack if level[0] >= cell.accelerators]
    for taken in _splits([count for _, count in usable], cell.hosts):
        free = Counter(dict(rack))
        for (level, _), hosts in zip(usable, taken, strict=True):
            free[level] -= hosts
            free[level - cell.accelerators] += hosts
        yield tuple(sorted((+free).items()))


def _fullness(racks: tuple[_Rack, int]) -> tuple[int, _Rack]:
    rack, _ = racks
    return sum(level * hosts for level, hosts in rack), rack


def _splits(limits: Sequence[int], total: int) -> Iterator[tuple[int, ...]]:
    """Yields the ways to take a total from bins, most from the first ones.

    >>> list(_splits([2, 1], 2))
    [(2, 0), (1, 1)]
    """
    if not limits:
        if total == 0:
            yield ()
        return
    most = min(limits[0], total)
    least = max(0, total - sum(limits[1:]))
    for taken in range(most, least - 1, -1):
        for rest in _splits(limits[1:], total - taken):
            yield (taken, *rest)


def _replace(racks: _Racks, rack: _Rack, count: int, after: _Rack) -> _Racks:
    counts = dict(racks)
    counts[rack] = count - 1
    counts[after] = counts.get(after, 0) + 1
    return frozenset(
        (found, number) for found, number in counts.items() if number
    )
