"""Weights of job classes in a service's fair queue."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.ids import JobClassName
from pomeloarch_core.objects.model import JobClass, Urgency

_URGENCY_WEIGHTS = {
    Urgency.URGENT: 4.0,
    Urgency.STANDARD: 2.0,
    Urgency.BATCH: 1.0,
}
# Minimum share of the weights that is divided by urgency.
_MIN_UNRESERVED_SHARE = 0.05


def class_weights(classes: Iterable[JobClass]) -> dict[JobClassName, float]:
    """Returns weights that give each class its floor and a share of the rest.

    What the floors leave is divided by urgency. Under a flood of requests of
    any class, even of the most urgent one, each other class therefore keeps at
    least its floor. Floors that would leave less than `_MIN_UNRESERVED_SHARE`
    are scaled down in proportion.

    >>> urgent = JobClass(name="dye", urgency=Urgency.URGENT, floor_share=0.5)
    >>> batch = JobClass(name="motif", urgency=Urgency.BATCH)
    >>> class_weights([urgent, batch])
    {'dye': 0.9, 'motif': 0.1}
    """
    listed = list(classes)
    floors = sum(each.floor_share for each in listed)
    scale = 1.0
    if floors > 1.0 - _MIN_UNRESERVED_SHARE:
        scale = (1.0 - _MIN_UNRESERVED_SHARE) / floors
    unreserved = 1.0 - floors * scale
    total = sum(_URGENCY_WEIGHTS[each.urgency] for each in listed)
    return {
        each.name: round(
            each.floor_share * scale
            + unreserved * _URGENCY_WEIGHTS[each.urgency] / total,
            6,
        )
        for each in listed
    }
