"""Assignment of cells to workers, and the search for a place."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import combinations, islice

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.cells import Cell, ShapeInstance
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.ids import RackId, WorkerId

# Limits of one search: instances that it may move, assignments that it tries,
# and sets of workers that it tries in each rack.
_MAX_MOVED_INSTANCES = 24
_MAX_SEARCH_STEPS = 2_000
_MAX_CHOICES_PER_RACK = 64


class CellAssignment:
    """The assignment of cells to workers.

    Args:
      fleet: the workers, whose `reserved` counts this class maintains.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Creates an empty assignment."""
        self._fleet = fleet
        self._on_worker: dict[WorkerId, dict[ShapeInstance, None]] = {}

    def instances_on(self, worker_id: WorkerId) -> list[ShapeInstance]:
        """Returns the instances that have a cell on a worker."""
        return list(self._on_worker.get(worker_id, ()))

    def place(self, instance: ShapeInstance) -> bool:
        """Places an unplaced instance in a rack that has room for it.

        The rack with the fewest workers that have room for a cell is chosen.

        Returns:
          Whether the instance was placed.
        """
        index = self.pool_index(instance)
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

    def place_by_moving_others(
        self, instance: ShapeInstance, others: Iterable[ShapeInstance]
    ) -> bool:
        """Places an instance by moving idle instances of its pool.

        This is a depth-first search, largest instance first, with a bounded
        number of steps. If it fails, it leaves the assignment unchanged.

        Returns:
          Whether the instance was placed.
        """
        pool = instance.shape.worker_pool
        idle = (
            other
            for other in others
            if other.shape.worker_pool == pool
            and other.is_placed
            and not other.is_pinned
        )
        movable = list(islice(idle, _MAX_MOVED_INSTANCES))
        previous = [(i, [c.worker_id for c in i.cells]) for i in movable]
        for other in movable:
            self.unassign(other)
        order = sorted(
            [instance, *movable],
            key=lambda i: (-len(i.cells), -i.cells[0].size),
        )
        if self._search(order, 0, [_MAX_SEARCH_STEPS]):
            return True
        for other, workers in previous:
            for cell, worker_id in zip(other.cells, workers, strict=True):
                if worker_id is not None:
                    self.assign(other, [cell], [worker_id])
        return False

    def _search(
        self, order: list[ShapeInstance], depth: int, steps: list[int]
    ) -> bool:
        if depth == len(order):
            return True
        instance = order[depth]
        index = self.pool_index(instance)
        if index is None:
            return False
        size, count = instance.cells[0].size, len(instance.cells)
        for rack in list(index.racks_with_hosts(size, count)):
            for hosts in _host_choices(index, rack, size, count):
                steps[0] -= 1
                if steps[0] < 0:
                    return False
                self.assign(instance, instance.cells, hosts)
                if self._search(order, depth + 1, steps):
                    return True
                self.unassign(instance)
        return False

    def pool_index(self, instance: ShapeInstance) -> CapacityIndex | None:
        """Returns the reservable capacity of an instance's pool."""
        pool = self._fleet.pools.get(instance.shape.worker_pool)
        return pool.reservable if pool else None

    def assign(
        self,
        instance: ShapeInstance,
        cells: Sequence[Cell],
        hosts: Sequence[WorkerId],
    ) -> None:
        """Assigns cells to workers, one cell to each."""
        for cell, worker_id in zip(cells, hosts, strict=False):
            worker = self._fleet.get_or_add(worker_id)
            cell.worker_id = worker_id
            worker.reserved += cell.size
            self._on_worker.setdefault(worker_id, {})[instance] = None
            self._fleet.reindex(worker)

    def unassign(
        self, instance: ShapeInstance, cells: Sequence[Cell] | None = None
    ) -> None:
        """Removes an instance, or some of its cells, from its workers."""
        for cell in instance.cells if cells is None else cells:
            if cell.worker_id is None:
                continue
            worker = self._fleet.get_or_add(cell.worker_id)
            worker.reserved -= cell.size
            self._on_worker[cell.worker_id].pop(instance, None)
            cell.worker_id = None
            self._fleet.reindex(worker)


def hosts_in_rack(
    index: CapacityIndex,
    rack: RackId,
    size: int,
    taken: Iterable[WorkerId | None],
) -> list[WorkerId]:
    """Returns a rack's workers with room for a cell, least room first."""
    values = index.rack_workers(rack)
    hosts = [w for w, v in values.items() if v >= size and w not in taken]
    return sorted(hosts, key=lambda w: values[w])


def _host_choices(
    index: CapacityIndex, rack: RackId, size: int, count: int
) -> list[tuple[WorkerId, ...]]:
    """Returns sets of a rack's workers for all cells, least room first."""
    combinations_in_rack = combinations(
        hosts_in_rack(index, rack, size, ()), count
    )
    return list(islice(combinations_in_rack, _MAX_CHOICES_PER_RACK))
