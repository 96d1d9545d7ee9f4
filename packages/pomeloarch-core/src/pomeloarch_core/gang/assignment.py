"""Cells on workers: putting them there, and searching for places."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import combinations, islice

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.cells import Cell, Instance
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.ids import RackId, WorkerId

_SEARCH_INSTANCES = 24
_SEARCH_STEPS = 2_000
_CHOICES_PER_RACK = 64


class Assignment:
    """Which cells stand on which workers.

    Args:
      fleet: the workers; their `reserved` counts are kept here.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Starts without cells on workers."""
        self._fleet = fleet
        self._on_worker: dict[WorkerId, dict[Instance, None]] = {}

    def on_worker(self, worker_id: WorkerId) -> list[Instance]:
        """Returns the instances that have a cell on a worker."""
        return list(self._on_worker.get(worker_id, ()))

    def place(self, instance: Instance) -> bool:
        """Places an unplaced instance in the tightest rack that takes it."""
        index = self.index(instance)
        if index is None:
            return False
        size, count = instance.cells[0].size, len(instance.cells)
        rack = next(index.racks_with_hosts(size, count), None)
        if rack is None:
            return False
        self.assign(
            instance, instance.cells, hosts_in_rack(index, rack, size, ())
        )
        return True

    def search(self, instance: Instance, others: Iterable[Instance]) -> bool:
        """Moves idle instances of its pool about to make an instance fit.

        A depth-first search, largest instance first, within a bound of
        steps. It leaves everything as it was if it finds nothing.
        """
        pool = instance.shape.worker_pool
        idle = (
            other
            for other in others
            if other.shape.worker_pool == pool
            and other.placed
            and not other.pinned
        )
        movable = list(islice(idle, _SEARCH_INSTANCES))
        before = [(i, [c.worker_id for c in i.cells]) for i in movable]
        for other in movable:
            self.unplace(other)
        order = sorted(
            [instance, *movable],
            key=lambda i: (-len(i.cells), -i.cells[0].size),
        )
        if self._descend(order, 0, [_SEARCH_STEPS]):
            return True
        for other, workers in before:
            for cell, worker_id in zip(other.cells, workers, strict=True):
                if worker_id is not None:
                    self.assign(other, [cell], [worker_id])
        return False

    def _descend(
        self, order: list[Instance], depth: int, steps: list[int]
    ) -> bool:
        if depth == len(order):
            return True
        instance = order[depth]
        index = self.index(instance)
        if index is None:
            return False
        size, count = instance.cells[0].size, len(instance.cells)
        for rack in list(index.racks_with_hosts(size, count)):
            for hosts in _choices(index, rack, size, count):
                steps[0] -= 1
                if steps[0] < 0:
                    return False
                self.assign(instance, instance.cells, hosts)
                if self._descend(order, depth + 1, steps):
                    return True
                self.unplace(instance)
        return False

    def index(self, instance: Instance) -> CapacityIndex | None:
        """Returns the room of the pool that an instance belongs to."""
        pool = self._fleet.pools.get(instance.shape.worker_pool)
        return pool.room if pool else None

    def assign(
        self,
        instance: Instance,
        cells: Sequence[Cell],
        hosts: Sequence[WorkerId],
    ) -> None:
        """Puts cells on workers, one each."""
        for cell, worker_id in zip(cells, hosts, strict=False):
            worker = self._fleet.known(worker_id)
            cell.worker_id = worker_id
            worker.reserved += cell.size
            self._on_worker.setdefault(worker_id, {})[instance] = None
            self._fleet.touch(worker)

    def unplace(
        self, instance: Instance, cells: Sequence[Cell] | None = None
    ) -> None:
        """Takes an instance, or some cells of it, off its workers."""
        for cell in instance.cells if cells is None else cells:
            if cell.worker_id is None:
                continue
            worker = self._fleet.known(cell.worker_id)
            worker.reserved -= cell.size
            self._on_worker[cell.worker_id].pop(instance, None)
            cell.worker_id = None
            self._fleet.touch(worker)


def hosts_in_rack(
    index: CapacityIndex,
    rack: RackId,
    size: int,
    taken: Iterable[WorkerId | None],
) -> list[WorkerId]:
    """Returns a rack's workers with room for a cell, tightest first."""
    values = index.rack_workers(rack)
    hosts = [w for w, v in values.items() if v >= size and w not in taken]
    return sorted(hosts, key=lambda w: values[w])


def _choices(
    index: CapacityIndex, rack: RackId, size: int, count: int
) -> list[tuple[WorkerId, ...]]:
    """Returns ways to choose a rack's workers, tightest first."""
    ways = combinations(hosts_in_rack(index, rack, size, ()), count)
    return list(islice(ways, _CHOICES_PER_RACK))
