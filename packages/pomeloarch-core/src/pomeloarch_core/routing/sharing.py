"""Division of a service's slots among nodes without a central limiter.

Every node publishes its demand, the requests in progress and waiting, in a
small digest. Each node computes the same max-min fair division from the same
figures, so that together the nodes don't overload the executors and a node with
less demand leaves the rest of its share to the others.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

_MIN_SHARE_SLOTS = 1.0


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

    A node may always use an equal share of the slots. Above it, the node takes
    only its share of the idle slots, as if all nodes took theirs at once: the
    figures are slightly out of date, and the nodes must not overload the
    executors together. It gives back what other nodes need of their equal
    shares.

    Args:
      slots: total slots of the usable executors.
      own: this node's use.
      others: the use of the other live nodes.

    Returns:
      This node's share in slots, at least one.

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
    nodes_waiting = sum(other.waiting > 0 for other in others) + 1
    takers = nodes_waiting if own.waiting else nodes
    wanted = max(equal, own.in_progress + idle / takers)
    upper_bound = _max_min_share(
        slots, [other.in_progress + other.waiting for other in others]
    )
    return max(_MIN_SHARE_SLOTS, min(wanted, upper_bound))


def _max_min_share(slots: float, others: Sequence[float]) -> float:
    """Returns the max-min fair share of a node with unlimited demand."""
    left = slots
    nodes = len(others) + 1
    for demand in sorted(others):
        level = left / nodes
        if demand >= level:
            return level
        left -= demand
        nodes -= 1
    return left
