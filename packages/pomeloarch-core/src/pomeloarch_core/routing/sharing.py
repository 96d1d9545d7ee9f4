"""How nodes divide the slots of a service without a central limiter.

Every node tells its demand, requests in progress and waiting, in a small
digest. Each works out the same max-min fair division from the same figures,
so that together they don't overfill the executors, and a node with less
demand lends the rest of its part.
"""

from __future__ import annotations

from collections.abc import Sequence

_LEAST_SHARE = 1.0


def fair_share(slots: float, others: Sequence[float]) -> float:
    """Returns this node's part of the slots.

    Args:
      slots: slots of the executors that can be used.
      others: the other nodes' demands in requests.

    Returns:
      The part in slots, at least one.

    >>> fair_share(192, others=[10, 10])
    172
    >>> fair_share(192, others=[500, 500])
    64.0
    """
    left = slots
    nodes = len(others) + 1
    for demand in sorted(others):
        level = left / nodes
        if demand >= level:
            return max(_LEAST_SHARE, level)
        left -= demand
        nodes -= 1
    return max(_LEAST_SHARE, left)
