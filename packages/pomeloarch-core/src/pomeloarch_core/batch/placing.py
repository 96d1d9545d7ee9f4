"""Finds places for groups: best fit, racks first, all tasks or none."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.model import Resources

Placement = dict[int, Worker]
WorkerOrder = Callable[[Worker], tuple[float, ...]]


class Room(Protocol):
    """The resources of workers that count as free for a placement."""

    def free(self, worker: Worker) -> Resources:
        """Returns the resources of a worker that count as free."""
        ...

    def count(self, worker: Worker, need: Resources) -> int:
        """Returns how many tasks with a need fit into these."""
        ...


class FreeRoom:
    """Resources that are neither used nor claimed."""

    def free(self, worker: Worker) -> Resources:
        """Returns a worker's free resources."""
        return worker.free

    def count(self, worker: Worker, need: Resources) -> int:
        """Returns how many tasks fit into them."""
        return worker.count_fitting(need)


class TotalRoom:
    """All resources, used or not."""

    def free(self, worker: Worker) -> Resources:
        """Returns a worker's capacity."""
        return worker.info.capacity

    def count(self, worker: Worker, need: Resources) -> int:
        """Returns how many tasks fit into it."""
        return worker.count_fitting_empty(need)


class CachedRoom:
    """Resources by a function of the worker, which is asked once for each.

    Args:
      free_of: returns the resources of a worker that count as free.
    """

    def __init__(self, free_of: Callable[[Worker], Resources]) -> None:
        """Creates a room that knows no worker yet."""
        self._free_of = free_of
        self._free: dict[Worker, Resources] = {}
        self._counts: dict[Resources, dict[Worker, int]] = {}

    def free(self, worker: Worker) -> Resources:
        """Returns the resources of a worker that count as free."""
        found = self._free.get(worker)
        if found is None:
            found = self._free[worker] = self._free_of(worker)
        return found

    def count(self, worker: Worker, need: Resources) -> int:
        """Returns how many tasks with a need fit into these."""
        counts = self._counts.setdefault(need, {})
        found = counts.get(worker)
        if found is None:
            found = counts[worker] = need.count_fitting_in(self.free(worker))
        return found

    def forget(self, worker: Worker) -> None:
        """Has the function asked again for a worker that has changed."""
        self._free.pop(worker, None)
        for counts in self._counts.values():
            counts.pop(worker, None)


FREE_ROOM = FreeRoom()
TOTAL_ROOM = TotalRoom()


def exclude_slow(workers: Iterable[Worker]) -> list[Worker]:
    """Returns the workers that are not slow."""
    return [each for each in workers if not each.slow]


def filter_suitable(
    group: Group,
    workers: Iterable[Worker],
    siblings: dict[Worker, int],
    ignore_failures: bool = False,
) -> list[Worker]:
    """Returns the workers that a group may use, regardless of room.

    Args:
      group: the group to place.
      workers: workers that may be given tasks.
      siblings: number of tasks of the same step on each worker.
      ignore_failures: whether a group that has failed may use workers on which
        the last run failed, because there are no others.
    """
    return [
        each
        for each in filter_allowed(group, workers, siblings)
        if each.worker_id not in group.failed_on
        and (ignore_failures or not (group.failures and each.failures))
    ]


def filter_allowed(
    group: Group, workers: Iterable[Worker], siblings: dict[Worker, int]
) -> list[Worker]:
    """Returns the workers that a group's step allows, regardless of room.

    Args:
      group: the group to place.
      workers: workers that may be given tasks.
      siblings: number of tasks of the same step on each worker.
    """
    step = group.step
    return [
        each
        for each in workers
        if (not step.label or step.label in each.info.labels)
        and not (
            step.max_per_worker and siblings.get(each, 0) >= step.max_per_worker
        )
    ]


def find_placement(
    group: Group,
    workers: Sequence[Worker],
    room: Room,
    allow_far: bool,
) -> Placement | None:
    """Returns a worker for each task of a group, None when there is no room.

    Args:
      group: the group to place.
      workers: the suitable workers.
      room: the resources that count as free.
      allow_far: whether tasks may run off the rack of their data, or a
        same-rack gang on several racks.
    """
    counts = _count_per_worker(group, workers, room)
    wanted = len(group.indices)
    if sum(counts.values()) < wanted:
        return None
    step = group.step
    if not step.data_rack and not step.same_rack:
        return _assign_tasks(group, counts, _preferred_order(group, room))
    racks = group_by_rack(workers)
    with_room = [
        rack
        for rack in racks.values()
        if sum(counts.get(each, 0) for each in rack) >= wanted
    ]
    if step.data_rack:
        near = [r for r in with_room if r[0].info.rack == step.data_rack]
    else:
        near = sorted(
            with_room, key=lambda rack: _count_accelerators(rack, room)
        )
    if near:
        counts = {each: counts[each] for each in near[0] if each in counts}
    elif not allow_far:
        return None
    elif step.data_rack and step.same_rack and with_room:
        rack = min(with_room, key=lambda rack: _count_accelerators(rack, room))
        counts = {each: counts[each] for each in rack if each in counts}
    return _assign_tasks(group, counts, _preferred_order(group, room))


def group_by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Returns the workers of each rack."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for each in workers:
        racks[each.info.rack].append(each)
    return racks


def _count_accelerators(workers: Iterable[Worker], room: Room) -> int:
    return sum(max(0, room.free(each).accelerators) for each in workers)


def place_in_order(
    group: Group, workers: Iterable[Worker], room: Room, order: WorkerOrder
) -> Placement | None:
    """Places the tasks of a group on workers in a given order.

    Args:
      group: the group to place.
      workers: the suitable workers.
      room: the resources that count as free.
      order: sort key of workers; those with the lowest key are filled first.
    """
    counts = _count_per_worker(group, workers, room)
    if sum(counts.values()) < len(group.indices):
        return None
    return _assign_tasks(group, counts, order)


def _count_per_worker(
    group: Group, workers: Iterable[Worker], room: Room
) -> dict[Worker, int]:
    """Returns how many tasks of a group fit on each worker that has room."""
    need = group.step.allocation
    limit = group.step.max_per_worker or len(group.indices)
    return {
        each: min(count, limit)
        for each in workers
        if (count := room.count(each, need))
    }


def _assign_tasks(
    group: Group, counts: dict[Worker, int], order: WorkerOrder
) -> Placement:
    left = list(group.indices)
    places: Placement = {}
    for worker in sorted(counts, key=order):
        for _ in range(min(counts[worker], len(left))):
            places[left.pop()] = worker
        if not left:
            break
    return places


def _preferred_order(group: Group, room: Room) -> WorkerOrder:
    """Returns the sort key by which a group takes workers.

    An urgent group takes slow workers last, and other groups take them first,
    to leave the fast ones to urgent groups. Among equal workers, those with the
    least room are filled first.
    """
    urgent = group.job.queue.priority == 0
    return lambda worker: (
        worker.slow == urgent,
        *_free_amounts(worker, room),
    )


def _free_amounts(worker: Worker, room: Room) -> tuple[float, ...]:
    free = room.free(worker)
    return free.accelerators, free.cpu_millis
