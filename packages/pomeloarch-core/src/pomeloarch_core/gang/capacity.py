"""An index of workers and racks by the accelerators that they offer."""

from __future__ import annotations

from collections.abc import Iterator

from pomeloarch_core.ids import RackId, WorkerId


class _RacksByCount:
    """Racks grouped by a count, to find those with at least some count."""

    def __init__(self) -> None:
        self._racks: list[dict[RackId, None]] = [{}]

    def move(self, rack: RackId, old: int, new: int) -> None:
        while len(self._racks) <= new:
            self._racks.append({})
        self._racks[old].pop(rack, None)
        if new:
            self._racks[new][rack] = None

    def at_least(self, count: int) -> Iterator[RackId]:
        for bucket in self._racks[max(1, count) :]:
            yield from bucket

    def largest_first(self) -> Iterator[RackId]:
        for bucket in reversed(self._racks[1:]):
            yield from bucket


class _Rack:
    """The workers of one rack and what they offer together.

    Attributes:
      workers: accelerators that each worker offers.
      slots: number of slots by slot size.
      hosts: number of workers that offer at least a size, by that size.
    """

    def __init__(self) -> None:
        self.workers: dict[WorkerId, int] = {}
        self.slots: dict[int, int] = {}
        self.hosts: dict[int, int] = {}


class CapacityIndex:
    """Workers by the number of accelerators offered, updated incrementally.

    A rack has a slot of size k for each k accelerators on one worker. The
    cost of a change is proportional to the accelerators of one worker, the
    cost of a query to those of one rack; neither grows with the fleet.
    """

    def __init__(self) -> None:
        """Creates an empty index."""
        self._values: dict[WorkerId, int] = {}
        self._rack_of: dict[WorkerId, RackId] = {}
        self._workers: list[dict[WorkerId, None]] = [{}]
        self._racks: dict[RackId, _Rack] = {}
        self._by_slots: dict[int, _RacksByCount] = {}
        self._by_hosts: dict[int, _RacksByCount] = {}
        self._slots: dict[int, int] = {}

    def update(self, worker_id: WorkerId, rack_id: RackId, value: int) -> bool:
        """Sets the number of accelerators that a worker offers.

        Returns:
          Whether the number grew.
        """
        old = self._values.get(worker_id, 0)
        if old == value and worker_id in self._values:
            return False
        rack = self._racks.setdefault(rack_id, _Rack())
        self._rack_of[worker_id] = rack_id
        self._values[worker_id] = value
        while len(self._workers) <= value:
            self._workers.append({})
        self._workers[old].pop(worker_id, None)
        self._workers[value][worker_id] = None
        rack.workers[worker_id] = value
        for size in range(1, max(old, value) + 1):
            self._update_rack(rack_id, rack, size, old, value)
        return value > old

    def _update_rack(
        self, rack_id: RackId, rack: _Rack, size: int, old: int, new: int
    ) -> None:
        delta = new // size - old // size
        if delta:
            before = rack.slots.get(size, 0)
            rack.slots[size] = before + delta
            self._slots[size] = self._slots.get(size, 0) + delta
            buckets = self._by_slots.setdefault(size, _RacksByCount())
            buckets.move(rack_id, before, before + delta)
        delta = (new >= size) - (old >= size)
        if delta:
            before = rack.hosts.get(size, 0)
            rack.hosts[size] = before + delta
            buckets = self._by_hosts.setdefault(size, _RacksByCount())
            buckets.move(rack_id, before, before + delta)

    def discard(self, worker_id: WorkerId) -> None:
        """Removes a worker."""
        rack_id = self._rack_of.get(worker_id)
        if rack_id is None:
            return
        self.update(worker_id, rack_id, 0)
        del self._values[worker_id], self._rack_of[worker_id]
        del self._workers[0][worker_id]
        rack = self._racks[rack_id]
        del rack.workers[worker_id]
        if not rack.workers:
            del self._racks[rack_id]

    def value(self, worker_id: WorkerId) -> int:
        """Returns the accelerators that a worker offers, 0 if it is unknown."""
        return self._values.get(worker_id, 0)

    def slots(self, size: int) -> int:
        """Returns the number of slots of a size on all workers."""
        return self._slots.get(size, 0)

    def rack_slots(self, rack_id: RackId, size: int) -> int:
        """Returns the number of slots of a size in a rack."""
        rack = self._racks.get(rack_id)
        return rack.slots.get(size, 0) if rack else 0

    def workers_with(self, size: int) -> Iterator[WorkerId]:
        """Yields workers that offer at least `size`, smallest offer first."""
        for bucket in self._workers[size:]:
            yield from bucket

    def workers_largest_first(self) -> Iterator[WorkerId]:
        """Yields all workers, the largest offer first."""
        for bucket in reversed(self._workers):
            yield from bucket

    def racks_most_free_first(self) -> Iterator[RackId]:
        """Yields all racks, those that offer most first and full ones last."""
        buckets = self._by_slots.get(1)
        if buckets is not None:
            yield from buckets.largest_first()
        for rack_id, rack in self._racks.items():
            if not rack.slots.get(1, 0):
                yield rack_id

    def racks_with_slots(self, size: int, count: int) -> Iterator[RackId]:
        """Yields racks with at least `count` slots, those with fewest first."""
        buckets = self._by_slots.get(size)
        return buckets.at_least(count) if buckets else iter(())

    def racks_with_hosts(self, size: int, count: int) -> Iterator[RackId]:
        """Yields racks with at least `count` workers that each offer `size`.

        Racks with the fewest such workers come first.
        """
        buckets = self._by_hosts.get(size)
        return buckets.at_least(count) if buckets else iter(())

    def racks_most_slots_first(self, size: int) -> Iterator[RackId]:
        """Yields racks with slots of a size, those with most first."""
        buckets = self._by_slots.get(size)
        return buckets.largest_first() if buckets else iter(())

    def rack_workers(self, rack_id: RackId) -> dict[WorkerId, int]:
        """Returns the accelerators that each worker of a rack offers."""
        rack = self._racks.get(rack_id)
        return rack.workers if rack else {}
