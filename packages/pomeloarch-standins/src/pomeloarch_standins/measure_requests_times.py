"""Completion times of simulated requests and their percentiles."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

from pomeloarch_core.routing import Flow
from pomeloarch_standins.executor_nodes import Completion


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the value below which a share of the values lies, or NaN.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def completion_times(
    completions: Iterable[Completion], wanted: Callable[[Flow], bool]
) -> list[float]:
    """Returns the completion times of the answered requests, in seconds.

    Args:
      completions: the outcomes of all requests.
      wanted: selects the flows whose requests count.
    """
    return [
        each.ended - each.work.arrives
        for each in completions
        if each.answered and wanted(each.work.flow)
    ]
