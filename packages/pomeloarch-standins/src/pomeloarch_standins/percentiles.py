"""Percentiles of a small sample, by the nearest rank."""

from __future__ import annotations

import math
from collections.abc import Iterable


def percentile(values: Iterable[float], percent: float) -> float:
    """Returns a percentile of the values, NaN when there are none.

    >>> percentile([3.0, 1.0, 2.0], 50)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    rank = math.ceil(len(ordered) * percent / 100)
    return ordered[max(rank, 1) - 1]
