"""Finds places for groups: best fit, racks first, whole or not at all."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.model import Resources

Places = dict[int, Worker]
Room = Callable[[Worker], Resources]
Order = Callable[[Worker], tuple[float, ...]]


def free_room(worker: Worker) -> Resources:
    """Returns the room of a worker that nothing has or is promised."""
    return worker.free


def whole_room(worker: Worker) -> Resources:
    """Returns all room of a worker, taken or not."""
    return worker.info.capacity


def not_slow(workers: Iterable[Worker]) -> list[Worker]:
    """Returns the workers that take no longer than usual."""
    return [each for each in workers if not each.slow]


def suitable(
    group: Group,
    workers: Iterable[Worker],
    siblings: dict[Worker, int],
    any_record: bool = False,
) -> list[Worker]:
    """Returns the workers that a group may use, room aside.

    Args:
      group: what is to be placed.
      workers: workers that may be given tasks.
      siblings: tasks of the same step on each worker.
      any_record: whether a group that has failed may use workers on which
        runs have failed; it has no others.
    """
    step = group.step
    return [
        each
        for each in workers
        if (not step.label or step.label in each.info.labels)
        and each.worker_id not in group.failed_on
        and (any_record or not (group.failures and each.failures))
        and not (
            step.max_per_worker and siblings.get(each, 0) >= step.max_per_worker
        )
    ]


def find_places(
    group: Group,
    workers: Sequence[Worker],
    room: Room,
    allow_far: bool,
) -> Places | None:
    """Returns a worker for each task of a group, None when there is no room.

    Args:
      group: what is to be placed.
      workers: the suitable workers.
      room: what counts as room on a worker.
      allow_far: whether tasks may run away from their data's rack, or a
        same-rack gang on several racks.
    """
    counts = _counts(group, workers, room)
    wanted = len(group.indices)
    if sum(counts.values()) < wanted:
        return None
    step = group.step
    if not step.data_rack and not step.same_rack:
        return _spread(group, counts, _order(group, room))
    racks = by_rack(workers)
    with_room = [
        rack
        for rack in racks.values()
        if sum(counts.get(each, 0) for each in rack) >= wanted
    ]
    if step.data_rack:
        near = [r for r in with_room if r[0].info.rack == step.data_rack]
    else:
        near = sorted(with_room, key=lambda rack: _room_in(rack, room))
    if near:
        counts = {each: counts[each] for each in near[0] if each in counts}
    elif not allow_far:
        return None
    elif step.data_rack and step.same_rack and with_room:
        rack = min(with_room, key=lambda rack: _room_in(rack, room))
        counts = {each: counts[each] for each in rack if each in counts}
    return _spread(group, counts, _order(group, room))


def by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Returns the workers of each rack."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for each in workers:
        racks[each.info.rack].append(each)
    return racks


def _room_in(workers: Iterable[Worker], room: Room) -> int:
    return sum(max(0, room(each).accelerators) for each in workers)


def fill(
    group: Group, workers: Iterable[Worker], room: Room, order: Order
) -> Places | None:
    """Puts the tasks of a group on workers in a given order.

    Args:
      group: what is to be placed.
      workers: the suitable workers.
      room: what counts as room on a worker.
      order: what is sorted by, the least first.
    """
    counts = _counts(group, workers, room)
    if sum(counts.values()) < len(group.indices):
        return None
    return _spread(group, counts, order)


def _counts(
    group: Group, workers: Iterable[Worker], room: Room
) -> dict[Worker, int]:
    """Returns how many tasks of a group fit on each worker that has room."""
    need = group.step.reserved
    most = group.step.max_per_worker or len(group.indices)
    return {
        each: min(count, most)
        for each in workers
        if (count := need.times_in(room(each)))
    }


def _spread(group: Group, counts: dict[Worker, int], order: Order) -> Places:
    left = list(group.indices)
    places: Places = {}
    for worker in sorted(counts, key=order):
        for _ in range(min(counts[worker], len(left))):
            places[left.pop()] = worker
        if not left:
            break
    return places


def _order(group: Group, room: Room) -> Order:
    """Returns the order in which a group takes workers.

    Urgent work has no time for slow workers, and other work leaves it the
    rest. Among those alike, the ones with little room come first.
    """
    urgent = group.job.queue.priority == 0
    return lambda worker: (
        worker.slow == urgent,
        *_tightness(worker, room),
    )


def _tightness(worker: Worker, room: Room) -> tuple[float, ...]:
    have = room(worker)
    return have.accelerators, have.cpu_millis
