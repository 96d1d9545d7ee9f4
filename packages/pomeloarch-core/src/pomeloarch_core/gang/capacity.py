"""An index of workers and racks by how many accelerators they offer."""

from __future__ import annotations

from collections.abc import Iterator

from pomeloarch_core.ids import RackId, WorkerId


class _Buckets:
    """Racks by a count; finds those with at least some count quickly."""

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
    """One rack's workers and what they offer together."""

    def __init__(self) -> None:
        self.workers: dict[WorkerId, int] = {}
        self.slots: dict[int, int] = {}
        self.hosts: dict[int, int] = {}


class CapacityIndex:
    """Workers by a number of accelerators, kept up to date by difference.

    A rack has a slot of size k for each k accelerators on one worker. A
    change costs work that grows with the accelerators of one worker, a
    query work that grows with those of one rack; neither grows with the
    fleet.
    """

    def __init__(self) -> None:
        """Makes an empty index."""
        self._values: dict[WorkerId, int] = {}
        self._places: dict[WorkerId, RackId] = {}
        self._workers: list[dict[WorkerId, None]] = [{}]
        self._racks: dict[RackId, _Rack] = {}
        self._by_slots: dict[int, _Buckets] = {}
        self._by_hosts: dict[int, _Buckets] = {}
        self._slots: dict[int, int] = {}

    def set(self, worker_id: WorkerId, rack_id: RackId, value: int) -> bool:
        """Sets a worker's number; returns whether it grew."""
        old = self._values.get(worker_id, 0)
        if old == value and worker_id in self._values:
            return False
        rack = self._racks.setdefault(rack_id, _Rack())
        self._places[worker_id] = rack_id
        self._values[worker_id] = value
        while len(self._workers) <= value:
            self._workers.append({})
        self._workers[old].pop(worker_id, None)
        self._workers[value][worker_id] = None
        rack.workers[worker_id] = value
        for size in range(1, max(old, value) + 1):
            self._shift(rack_id, rack, size, old, value)
        return value > old

    def _shift(
        self, rack_id: RackId, rack: _Rack, size: int, old: int, new: int
    ) -> None:
        delta = new // size - old // size
        if delta:
            before = rack.slots.get(size, 0)
            rack.slots[size] = before + delta
            self._slots[size] = self._slots.get(size, 0) + delta
            buckets = self._by_slots.setdefault(size, _Buckets())
            buckets.move(rack_id, before, before + delta)
        delta = (new >= size) - (old >= size)
        if delta:
            before = rack.hosts.get(size, 0)
            rack.hosts[size] = before + delta
            buckets = self._by_hosts.setdefault(size, _Buckets())
            buckets.move(rack_id, before, before + delta)

    def discard(self, worker_id: WorkerId) -> None:
        """Forgets a worker."""
        rack_id = self._places.get(worker_id)
        if rack_id is None:
            return
        self.set(worker_id, rack_id, 0)
        del self._values[worker_id], self._places[worker_id]
        del self._workers[0][worker_id]
        rack = self._racks[rack_id]
        del rack.workers[worker_id]
        if not rack.workers:
            del self._racks[rack_id]

    def value(self, worker_id: WorkerId) -> int:
        """Returns a worker's number, 0 for an unknown one."""
        return self._values.get(worker_id, 0)

    def slots(self, size: int) -> int:
        """Returns how many slots of a size all workers offer."""
        return self._slots.get(size, 0)

    def rack_slots(self, rack_id: RackId, size: int) -> int:
        """Returns how many slots of a size a rack offers."""
        rack = self._racks.get(rack_id)
        return rack.slots.get(size, 0) if rack else 0

    def workers_with(self, size: int) -> Iterator[WorkerId]:
        """Yields workers with at least a size, the tightest first."""
        for bucket in self._workers[size:]:
            yield from bucket

    def most_free(self) -> Iterator[WorkerId]:
        """Yields all workers, those with the largest number first."""
        for bucket in reversed(self._workers):
            yield from bucket

    def all_racks(self) -> Iterator[RackId]:
        """Yields racks, the one with most free first, then full ones."""
        buckets = self._by_slots.get(1)
        if buckets is not None:
            yield from buckets.largest_first()
        for rack_id, rack in self._racks.items():
            if not rack.slots.get(1, 0):
                yield rack_id

    def racks_with_slots(self, size: int, count: int) -> Iterator[RackId]:
        """Yields racks with at least `count` slots, the tightest first."""
        buckets = self._by_slots.get(size)
        return buckets.at_least(count) if buckets else iter(())

    def racks_with_hosts(self, size: int, count: int) -> Iterator[RackId]:
        """Yields racks with `count` workers of a size, tightest first."""
        buckets = self._by_hosts.get(size)
        return buckets.at_least(count) if buckets else iter(())

    def richest_racks(self, size: int) -> Iterator[RackId]:
        """Yields racks with slots of a size, the one with most first."""
        buckets = self._by_slots.get(size)
        return buckets.largest_first() if buckets else iter(())

    def rack_workers(self, rack_id: RackId) -> dict[WorkerId, int]:
        """Returns the workers of a rack with their numbers."""
        rack = self._racks.get(rack_id)
        return rack.workers if rack else {}
