"""Finds places for groups: best fit, racks first, all tasks or none."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.model import Resources

Placement = dict[int, Worker]
RoomOf = Callable[[Worker], Resources]
WorkerOrder = Callable[[Worker], tuple[float, ...]]


def free_room(worker: Worker) -> Resources:
    """Returns a worker's resources that are neither used nor claimed."""
    return worker.free


def total_room(worker: Worker) -> Resources:
    """Returns all resources of a worker, used or not."""
    return worker.info.capacity


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
    step = group.step
    return [
        each
        for each in workers
        if (not step.label or step.label in each.info.labels)
        and each.worker_id not in group.failed_on
        and (ignore_failures or not (group.failures and each.failures))
        and not (
            step.max_per_worker and siblings.get(each, 0) >= step.max_per_worker
        )
    ]


def find_placement(
    group: Group,
    workers: Sequence[Worker],
    room: RoomOf,
    allow_far: bool,
) -> Placement | None:
    """Returns a worker for each task of a group, None when there is no room.

    Args:
      group: the group to place.
      workers: the suitable workers.
      room: returns the resources of a worker that count as free.
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


def _count_accelerators(workers: Iterable[Worker], room: RoomOf) -> int:
    return sum(max(0, room(each).accelerators) for each in workers)


def place_in_order(
    group: Group, workers: Iterable[Worker], room: RoomOf, order: WorkerOrder
) -> Placement | None:
    """Places the tasks of a group on workers in a given order.

    Args:
      group: the group to place.
      workers: the suitable workers.
      room: returns the resources of a worker that count as free.
      order: sort key of workers; those with the lowest key are filled first.
    """
    counts = _count_per_worker(group, workers, room)
    if sum(counts.values()) < len(group.indices):
        return None
    return _assign_tasks(group, counts, order)


def _count_per_worker(
    group: Group, workers: Iterable[Worker], room: RoomOf
) -> dict[Worker, int]:
    """Returns how many tasks of a group fit on each worker that has room."""
    need = group.step.allocation
    limit = group.step.max_per_worker or len(group.indices)
    return {
        each: min(count, limit)
        for each in workers
        if (count := need.count_fitting_in(room(each)))
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


def _preferred_order(group: Group, room: RoomOf) -> WorkerOrder:
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


def _free_amounts(worker: Worker, room: RoomOf) -> tuple[float, ...]:
    free = room(worker)
    return free.accelerators, free.cpu_millis
