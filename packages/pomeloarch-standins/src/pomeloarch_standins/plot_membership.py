"""Plots the control cost of a node by the number of nodes.

Reads the JSON lines of `python -m pomeloarch_standins.measure --json --suite
membership` from the standard input, prints the fitted lines and writes
`docs/plots/membership.png`.
"""

from __future__ import annotations

import pathlib
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable

import matplotlib as mpl
import msgspec

from pomeloarch_standins.measure import MeasureRow

_TARGET = pathlib.Path("docs/plots/membership.png")
# Limits drawn in the plots: bytes per second, percent of a core and seconds.
_LIMITS = {
    "membership_both_ways_mean": 8_000.0,
    "membership_cpu": 1.6,
    "generation_in_force_worst": 11.0,
}
Points = list[tuple[int, float]]


class Fit(msgspec.Struct, frozen=True):
    """A line fitted to points, with the largest residual."""

    slope: float
    intercept: float
    residual: float

    @classmethod
    def from_points(cls, points: Points) -> Fit:
        """Fits a line by least squares."""
        sizes = [float(size) for size, _ in points]
        values = [value for _, value in points]
        slope, intercept = statistics.linear_regression(sizes, values)
        residual = max(
            abs(value - slope * size - intercept) for size, value in points
        )
        return cls(slope, intercept, residual)


def mean_points(rows: Iterable[MeasureRow], measure: str) -> Points:
    """Returns the mean of a measure by node count, for more than one zone."""
    values = defaultdict(list)
    for row in rows:
        if row.measure == measure and row.variant == "product":
            nodes, _, _, zones, _ = row.case.split()
            if int(zones) > 1:
                values[int(nodes)].append(row.value)
    return [(n, statistics.fmean(found)) for n, found in sorted(values.items())]


def main() -> int:
    """Prints the fits and writes the plot."""
    mpl.use("Agg")
    from matplotlib import pyplot

    rows = [
        msgspec.json.decode(line, type=MeasureRow)
        for line in sys.stdin
        if line.startswith("{")
    ]
    figure, axes = pyplot.subplots(1, len(_LIMITS), figsize=(11, 3.2))
    for axis, (measure, limit) in zip(axes, _LIMITS.items(), strict=True):
        points = mean_points(rows, measure)
        fit = Fit.from_points(points)
        print(
            f"{measure}: {points}, slope {fit.slope:.5f} per node, "
            f"intercept {fit.intercept:.4f}, residual {fit.residual:.4f}"
        )
        axis.plot(*zip(*points, strict=True), "o")
        ends = [0, 240]
        axis.plot(ends, [fit.intercept + fit.slope * n for n in ends], "-")
        axis.axhline(limit, color="red", linestyle="--")
        axis.set_title(measure, fontsize=9)
        axis.set_xlabel("nodes")
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    _TARGET.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(_TARGET, dpi=80)
    return 0


if __name__ == "__main__":
    sys.exit(main())
