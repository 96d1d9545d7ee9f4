"""How nodes divide the slots of a service without a central limiter.

Every node tells its demand, requests in progress and waiting, in a small
digest. Each works out the same max-min fair division from the same figures,
so that together they don't overfill the executors, and a node with less
demand lends the rest of its part.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

_LEAST_SHARE = 1.0


class NodeLoad(msgspec.Struct, frozen=True):
    """One node's use of a service's slots.

    Attributes:
      in_progress: its requests at executors.
      waiting: its requests in the queue.
    """

    in_progress: float
    waiting: float


def fair_share(
    slots: float, own: NodeLoad, others: Sequence[NodeLoad]
) -> float:
    """Returns how many of the slots this node may use.

    An equal part is always its own. Above it, a node takes the part of the
    idle slots that falls to it when all nodes take theirs at once, so that
    figures of a moment ago don't make them overfill the executors together,
    and gives back what others want of their equal parts.

    Args:
      slots: slots of the executors that can be used.
      own: this node's use.
      others: the other live nodes' uses.

    Returns:
      The part in slots, at least one.

    >>> idle, busy = NodeLoad(10, 0), NodeLoad(32, 90)
    >>> fair_share(192, busy, [idle] * 5)
    142.0
    >>> fair_share(192, NodeLoad(142, 90), [idle] * 5)
    142.0
    >>> fair_share(192, NodeLoad(142, 90), [busy] * 5)
    32.0
    """
    nodes = len(others) + 1
    equal = slots / nodes
    in_use = own.in_progress + sum(other.in_progress for other in others)
    idle = max(0.0, slots - in_use)
    wanting = sum(other.waiting > 0 for other in others) + 1
    takers = wanting if own.waiting else nodes
    wanted = max(equal, own.in_progress + idle / takers)
    most = _max_min_part(
        slots, [other.in_progress + other.waiting for other in others]
    )
    return max(_LEAST_SHARE, min(wanted, most))


def _max_min_part(slots: float, others: Sequence[float]) -> float:
    """Returns the part of a node that wants all, by max-min fairness."""
    left = slots
    nodes = len(others) + 1
    for demand in sorted(others):
        level = left / nodes
        if demand >= level:
            return level
        left -= demand
        nodes -= 1
    return left
