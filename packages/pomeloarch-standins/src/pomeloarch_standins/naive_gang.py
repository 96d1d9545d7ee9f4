"""Naive versions of gang scheduling, to hold the product against.

`can_hold_all` and `can_place` try everything, which only works for small
fleets. `FifoScheduler` places jobs first come, first served, on the first
workers that fit; it knows no guarantees, shares or preemption.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import combinations

import msgspec

from pomeloarch_core.ids import RackId, WorkerId
from pomeloarch_core.objects.model import Adjacency


class NaiveShape(msgspec.Struct, frozen=True):
    """One instance of a guaranteed shape."""

    hosts: int
    accelerators_per_host: int


Racks = Mapping[RackId, Sequence[WorkerId]]


def can_hold_all(
    racks: Racks,
    room: Mapping[WorkerId, int],
    shapes: Iterable[NaiveShape],
) -> bool:
    """Returns whether all shapes can be held at the same time.

    Args:
      racks: the workers of each rack.
      room: accelerators of each worker that a shape may be assigned to.
      shapes: the instances.

    >>> racks = {"r": ["a", "b"]}
    >>> can_hold_all(racks, {"a": 4, "b": 2}, [NaiveShape(2, 2)] * 2)
    False
    """
    return _hold(racks, dict(room), list(shapes))


def _hold(
    racks: Racks, room: dict[WorkerId, int], shapes: list[NaiveShape]
) -> bool:
    if not shapes:
        return True
    shape, rest = shapes[0], shapes[1:]
    for workers in racks.values():
        for chosen in combinations(workers, shape.hosts):
            if any(room[w] < shape.accelerators_per_host for w in chosen):
                continue
            for worker in chosen:
                room[worker] -= shape.accelerators_per_host
            if _hold(racks, room, rest):
                return True
            for worker in chosen:
                room[worker] += shape.accelerators_per_host
    return False


def can_place(
    racks: Racks,
    free: Mapping[WorkerId, int],
    members: int,
    size: int,
    adjacency: Adjacency,
) -> bool:
    """Returns whether a gang fits on free accelerators.

    Args:
      racks: the workers of each rack.
      free: free accelerators of each worker.
      members: members of the gang.
      size: accelerators of each.
      adjacency: how close they have to be.

    >>> can_place({"r": ["a", "b"]}, {"a": 3, "b": 3}, 2, 2, Adjacency.RACK)
    True
    """
    slots = {worker: count // size for worker, count in free.items()}
    if adjacency is Adjacency.HOST or members == 1:
        return any(count >= members for count in slots.values())
    by_rack = [sum(slots[w] for w in workers) for workers in racks.values()]
    if adjacency is Adjacency.RACK:
        return any(count >= members for count in by_rack)
    return sum(by_rack) >= members
