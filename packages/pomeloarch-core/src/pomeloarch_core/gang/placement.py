"""Best-fit placement of whole gangs by rack, then by worker."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import islice

import msgspec

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.messages import JobSpec, Member
from pomeloarch_core.gang.workers import Worker
from pomeloarch_core.ids import RackId, WorkerId
from pomeloarch_core.objects.model import Adjacency

_WORKER_CANDIDATES = 16
_RACK_CANDIDATES = 8


class Need(msgspec.Struct, frozen=True):
    """What a gang needs of the workers that it is placed on.

    Attributes:
      members: how many tasks it has.
      size: accelerators of each.
      memory_gb: memory of each, in GB.
      adjacency: how close they have to be.
    """

    members: int
    size: int
    memory_gb: float
    adjacency: Adjacency

    @classmethod
    def from_spec(cls, spec: JobSpec, adjacency: Adjacency) -> Need:
        """Makes the need of a job; a single task is near to itself."""
        if spec.members == 1:
            adjacency = Adjacency.HOST
        return cls(spec.members, spec.accelerators, spec.memory_gb, adjacency)


class Slots(msgspec.Struct, frozen=True):
    """How many members of a gang go to a worker."""

    worker_id: WorkerId
    count: int


def find_slots(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId] = (),
) -> list[Slots] | None:
    """Finds workers for a whole gang.

    Args:
      index: how many accelerators each worker offers for it.
      fleet: the workers, for their memory.
      need: what it needs.
      avoid: workers that it must not be placed on.

    Returns:
      Its workers, or None if it does not fit as a whole. At most a bounded
      number of workers and racks is looked at.
    """
    if need.adjacency is Adjacency.HOST:
        return _on_one_worker(index, fleet, need, avoid)
    found = _on_one_rack(index, fleet, need, avoid)
    if found is None and need.adjacency is Adjacency.ANY:
        return _on_any_rack(index, fleet, need, avoid)
    return found


def _on_one_worker(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[Slots] | None:
    best: Worker | None = None
    best_key = (0, 0)
    candidates = index.workers_with(need.size * need.members)
    for worker_id in islice(candidates, _WORKER_CANDIDATES):
        worker = fleet.workers[worker_id]
        if worker_id in avoid or _fitting(worker, 1 << 30, need) < need.members:
            continue
        key = (
            index.value(worker_id),
            index.rack_slots(worker.info.rack, 1),
        )
        if best is None or key < best_key:
            best, best_key = worker, key
    return [Slots(best.worker_id, need.members)] if best else None


def _on_one_rack(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[Slots] | None:
    racks = index.racks_with_slots(need.size, need.members)
    for rack in islice(racks, _RACK_CANDIDATES):
        found, missing = _fill(index, fleet, rack, need, avoid, need.members)
        if not missing:
            return found
    return None


def ways_in_racks(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId] = (),
) -> list[list[Slots]]:
    """Returns several ways to put a whole gang on one rack.

    Args:
      index: how many accelerators each worker offers for it.
      fleet: the workers, for their memory.
      need: what it needs.
      avoid: workers that it must not be placed on.

    Returns:
      For a bounded number of racks: on as few workers as possible, on the
      workers that offer least, and spread over all of them.
    """
    ways = []
    racks = index.racks_with_slots(need.size, need.members)
    for rack in islice(racks, _RACK_CANDIDATES):
        values = index.rack_workers(rack)
        offers = {
            w: count
            for w, value in values.items()
            if w not in avoid
            and (count := _fitting(fleet.workers[w], value // need.size, need))
        }
        largest = sorted(offers, key=lambda w: -offers[w])
        for order in (largest, largest[::-1]):
            ways.append(_greedy(order, offers, need.members))
        ways.append(_evenly(largest, offers, need.members))
    return [way for way in ways if sum(s.count for s in way) == need.members]


def _greedy(
    order: list[WorkerId], offers: dict[WorkerId, int], missing: int
) -> list[Slots]:
    way = []
    for worker_id in order:
        count = min(missing, offers[worker_id])
        if count:
            way.append(Slots(worker_id, count))
            missing -= count
    return way


def _evenly(
    order: list[WorkerId], offers: dict[WorkerId, int], missing: int
) -> list[Slots]:
    counts = dict.fromkeys(order, 0)
    while missing:
        open_workers = [w for w in order if counts[w] < offers[w]]
        if not open_workers:
            break
        for worker_id in open_workers[:missing]:
            counts[worker_id] += 1
            missing -= 1
    return [Slots(w, count) for w, count in counts.items() if count]


def _on_any_rack(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[Slots] | None:
    if index.slots(need.size) < need.members:
        return None
    chosen: list[Slots] = []
    missing = need.members
    for rack in islice(index.richest_racks(need.size), need.members):
        found, missing = _fill(index, fleet, rack, need, avoid, missing)
        chosen.extend(found)
        if not missing:
            return chosen
    return None


def _fill(
    index: CapacityIndex,
    fleet: Fleet,
    rack: RackId,
    need: Need,
    avoid: Collection[WorkerId],
    missing: int,
) -> tuple[list[Slots], int]:
    """Puts members on a rack's workers, on as few workers as possible."""
    values = index.rack_workers(rack)
    found = []
    for worker_id in sorted(values, key=lambda w: -values[w]):
        if not missing:
            break
        if worker_id in avoid:
            continue
        count = _fitting(
            fleet.workers[worker_id], values[worker_id] // need.size, need
        )
        count = min(count, missing)
        if count > 0:
            found.append(Slots(worker_id, count))
            missing -= count
    return found, missing


def _fitting(worker: Worker, slots: int, need: Need) -> int:
    """Returns how many of some slots a worker has the memory for."""
    if need.memory_gb <= 0:
        return slots
    return min(slots, int(worker.memory_free_gb / need.memory_gb + 1e-9))


def free_members(
    fleet: Fleet, slots: Iterable[Slots], size: int
) -> tuple[Member, ...]:
    """Chooses free accelerators, the lowest first, for each member."""
    members = []
    for slot in slots:
        free = fleet.workers[slot.worker_id].free_accelerators()
        for _ in range(slot.count):
            chosen = tuple(islice(free, size))
            members.append(Member(slot.worker_id, chosen))
    return tuple(members)
