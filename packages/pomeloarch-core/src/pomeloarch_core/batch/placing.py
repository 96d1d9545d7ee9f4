"""Finds places for groups: best fit, racks first, whole or not at all."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.model import Need, Step

Places = dict[int, Worker]
Room = Callable[[Worker], Need]


def free_room(worker: Worker) -> Need:
    """Returns the room of a worker that nothing has or is promised."""
    return worker.free


def whole_room(worker: Worker) -> Need:
    """Returns all room of a worker, taken or not."""
    return worker.info.capacity


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
    for candidates in _candidate_sets(group.step, workers, room, allow_far):
        places = fill(group, candidates, room)
        if places is not None:
            return places
    return None


def _candidate_sets(
    step: Step, workers: Sequence[Worker], room: Room, allow_far: bool
) -> list[list[Worker]]:
    """Returns sets of workers to try, the best first."""
    racks = by_rack(workers)
    sets: list[list[Worker]] = []
    if step.data_rack:
        sets.append(racks.get(step.data_rack, []))
        if not allow_far:
            return sets
    if step.same_rack:
        sets += sorted(racks.values(), key=lambda rack: _room_in(rack, room))
        if not allow_far:
            return sets
    return [*sets, list(workers)]


def by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Returns the workers of each rack."""
    racks: dict[str, list[Worker]] = defaultdict(list)
    for each in workers:
        racks[each.info.rack].append(each)
    return racks


def _room_in(workers: Iterable[Worker], room: Room) -> int:
    return sum(max(0, room(each).accelerators) for each in workers)


def fill(
    group: Group,
    workers: Iterable[Worker],
    room: Room,
    order: Callable[[Worker], tuple[float, ...]] | None = None,
) -> Places | None:
    """Puts the tasks of a group on workers in a given order.

    Args:
      group: what is to be placed.
      workers: the suitable workers.
      room: what counts as room on a worker.
      order: what is sorted by; by default the room that is left, the least
        first.
    """
    if order is None:

        def order(worker: Worker) -> tuple[float, ...]:
            return _tightness(worker, room)

    need = group.step.reserved
    bound = group.step.max_per_worker
    left = list(group.indices)
    places: Places = {}
    for worker in sorted(workers, key=order):
        count = need.times_in(room(worker))
        count = min(count, bound or count, len(left))
        for _ in range(count):
            places[left.pop()] = worker
        if not left:
            return places
    return None


def _tightness(worker: Worker, room: Room) -> tuple[int, int]:
    have = room(worker)
    return have.accelerators, have.cpu_millis
