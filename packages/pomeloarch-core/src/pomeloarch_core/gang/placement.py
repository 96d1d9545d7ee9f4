"""Best-fit placement of whole gangs, first by rack and then by worker."""

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

# Workers and racks that one search looks at.
_MAX_WORKER_CANDIDATES = 16
_MAX_RACK_CANDIDATES = 8


class Need(msgspec.Struct, frozen=True):
    """The resources that a gang needs.

    Attributes:
      members: number of tasks in the gang.
      size: accelerators of each member.
      memory_gb: memory of each member, in GB.
      adjacency: how close the members have to be to each other.
    """

    members: int
    size: int
    memory_gb: float
    adjacency: Adjacency

    @classmethod
    def from_spec(cls, spec: JobSpec, adjacency: Adjacency) -> Need:
        """Returns a job's need; a single member always needs just one host."""
        if spec.members == 1:
            adjacency = Adjacency.HOST
        return cls(spec.members, spec.accelerators, spec.memory_gb, adjacency)


class Slots(msgspec.Struct, frozen=True):
    """The number of a gang's members that are placed on one worker."""

    worker_id: WorkerId
    count: int


def find_slots(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId] = (),
) -> list[Slots] | None:
    """Finds workers for a whole gang.

    The search looks at a bounded number of workers and racks.

    Args:
      index: how many accelerators each worker offers to the gang.
      fleet: the workers, for their free memory.
      need: what the gang needs.
      avoid: workers that the gang must not be placed on.

    Returns:
      The number of members on each chosen worker, or None if no place was
      found for the whole gang.
    """
    if need.adjacency is Adjacency.HOST:
        return _find_on_worker(index, fleet, need, avoid)
    found = _find_in_rack(index, fleet, need, avoid)
    if found is None and need.adjacency is Adjacency.ANY:
        return _find_across_racks(index, fleet, need, avoid)
    return found


def _find_on_worker(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[Slots] | None:
    best: Worker | None = None
    best_key = (0, 0)
    candidates = index.workers_with(need.size * need.members)
    for worker_id in islice(candidates, _MAX_WORKER_CANDIDATES):
        worker = fleet.workers[worker_id]
        if (
            worker_id in avoid
            or _slots_within_memory(worker, 1 << 30, need) < need.members
        ):
            continue
        key = (
            index.value(worker_id),
            index.rack_slots(worker.info.rack, 1),
        )
        if best is None or key < best_key:
            best, best_key = worker, key
    return [Slots(best.worker_id, need.members)] if best else None


def _find_in_rack(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[Slots] | None:
    racks = index.racks_with_slots(need.size, need.members)
    for rack in islice(racks, _MAX_RACK_CANDIDATES):
        found, missing = _fill_rack(
            index, fleet, rack, need, avoid, need.members
        )
        if not missing:
            return found
    return None


def rack_layouts(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId] = (),
) -> list[list[Slots]]:
    """Returns several layouts of a whole gang within one rack.

    Args:
      index: how many accelerators each worker offers to the gang.
      fleet: the workers, for their free memory.
      need: what the gang needs.
      avoid: workers that the gang must not be placed on.

    Returns:
      For each of a bounded number of racks, up to three layouts: on as few
      workers as possible, on the workers that offer least, and spread
      evenly over all of them.
    """
    layouts = []
    racks = index.racks_with_slots(need.size, need.members)
    for rack in islice(racks, _MAX_RACK_CANDIDATES):
        values = index.rack_workers(rack)
        offers = {
            w: count
            for w, value in values.items()
            if w not in avoid
            and (
                count := _slots_within_memory(
                    fleet.workers[w], value // need.size, need
                )
            )
        }
        largest = sorted(offers, key=lambda w: -offers[w])
        for order in (largest, largest[::-1]):
            layouts.append(_fill_in_order(order, offers, need.members))
        layouts.append(_spread_evenly(largest, offers, need.members))
    return [
        layout
        for layout in layouts
        if sum(s.count for s in layout) == need.members
    ]


def _fill_in_order(
    order: list[WorkerId], offers: dict[WorkerId, int], missing: int
) -> list[Slots]:
    layout = []
    for worker_id in order:
        count = min(missing, offers[worker_id])
        if count:
            layout.append(Slots(worker_id, count))
            missing -= count
    return layout


def _spread_evenly(
    order: list[WorkerId], offers: dict[WorkerId, int], missing: int
) -> list[Slots]:
    counts = dict.fromkeys(order, 0)
    while missing:
        workers_with_room = [w for w in order if counts[w] < offers[w]]
        if not workers_with_room:
            break
        for worker_id in workers_with_room[:missing]:
            counts[worker_id] += 1
            missing -= 1
    return [Slots(w, count) for w, count in counts.items() if count]


def _find_across_racks(
    index: CapacityIndex,
    fleet: Fleet,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[Slots] | None:
    if index.slots(need.size) < need.members:
        return None
    chosen: list[Slots] = []
    missing = need.members
    for rack in islice(index.racks_most_slots_first(need.size), need.members):
        found, missing = _fill_rack(index, fleet, rack, need, avoid, missing)
        chosen.extend(found)
        if not missing:
            return chosen
    return None


def _fill_rack(
    index: CapacityIndex,
    fleet: Fleet,
    rack: RackId,
    need: Need,
    avoid: Collection[WorkerId],
    missing: int,
) -> tuple[list[Slots], int]:
    """Places members on as few workers of a rack as possible.

    Returns:
      The number of members on each chosen worker, and the number of those
      that did not fit.
    """
    values = index.rack_workers(rack)
    found = []
    for worker_id in sorted(values, key=lambda w: -values[w]):
        if not missing:
            break
        if worker_id in avoid:
            continue
        count = _slots_within_memory(
            fleet.workers[worker_id], values[worker_id] // need.size, need
        )
        count = min(count, missing)
        if count > 0:
            found.append(Slots(worker_id, count))
            missing -= count
    return found, missing


def _slots_within_memory(worker: Worker, slots: int, need: Need) -> int:
    """Returns how many of `slots` members a worker has the memory for."""
    if need.memory_gb <= 0:
        return slots
    return min(slots, int(worker.memory_free_gb / need.memory_gb + 1e-9))


def assign_free_accelerators(
    fleet: Fleet, slots: Iterable[Slots], size: int
) -> tuple[Member, ...]:
    """Assigns free accelerators to each member, lowest numbers first."""
    members = []
    for slot in slots:
        free = fleet.workers[slot.worker_id].free_accelerators()
        for _ in range(slot.count):
            chosen = tuple(islice(free, size))
            members.append(Member(slot.worker_id, chosen))
    return tuple(members)
