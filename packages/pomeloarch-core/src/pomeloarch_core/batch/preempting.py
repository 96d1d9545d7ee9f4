"""Chooses the groups to preempt for a group that goes first.

Groups are preempted whole, since a gang doesn't work in part. Among the racks
that could be cleared, the one is chosen where the least work is lost.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState, can_stop_all
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.placing import (
    CachedRoom,
    Placement,
    group_by_rack,
    place_in_order,
)

# Weight of an accelerator in lost work, in cores; the usual ratio between
# accelerators and processors in what organisations are charged.
CORES_PER_ACCELERATOR = 8
_MILLIS_PER_CORE = 1000

MayPreempt = Callable[[Group], bool]
StopCost = Callable[[Group], float]


class EvictableRoom:
    """The resources of workers, less what certain groups could be evicted from.

    What is worked out for a worker or a group is kept until it is forgotten.

    Args:
      may_preempt: returns whether a group may be preempted.
      stop_cost: returns what stopping a group costs, in core-seconds.
    """

    def __init__(self, may_preempt: MayPreempt, stop_cost: StopCost) -> None:
        """Creates a room that knows no worker yet."""
        self._may_preempt = may_preempt
        self._estimate_stop_cost = stop_cost
        self._may_stop: dict[Group, bool] = {}
        self._stop_costs: dict[Group, float] = {}
        self._losses: dict[Worker, float] = {}
        self._room = CachedRoom(self._free_without)

    def without(self, excluded: set[Group]) -> EvictableRoom:
        """Returns the room that is there when some groups stay."""
        return EvictableRoom(
            lambda group: group not in excluded and self.may_evict(group),
            self.stop_cost,
        )

    def free(self, worker: Worker) -> Resources:
        """Returns what is free on a worker without the groups."""
        return self._room.free(worker)

    def count(self, worker: Worker, need: Resources) -> int:
        """Returns how many tasks with a need fit into it."""
        return self._room.count(worker, need)

    def _free_without(self, worker: Worker) -> Resources:
        total = worker.free
        for each, count in worker.groups.items():
            if self.may_evict(each):
                total += each.step.allocation * count
        return total

    def may_evict(self, group: Group) -> bool:
        """Returns whether a group runs and may be preempted."""
        if group.state is not GroupState.STARTED:
            return False
        known = self._may_stop.get(group)
        if known is None:
            known = self._may_stop[group] = self._may_preempt(group)
        return known

    def stop_cost(self, group: Group) -> float:
        """Returns what stopping a group costs, in core-seconds."""
        cost = self._stop_costs.get(group)
        if cost is None:
            cost = self._stop_costs[group] = self._estimate_stop_cost(group)
        return cost

    def loss(self, worker: Worker) -> float:
        """Returns what stopping all groups of a worker costs."""
        loss = self._losses.get(worker)
        if loss is None:
            loss = self._losses[worker] = sum(
                self.stop_cost(each)
                for each in worker.groups
                if self.may_evict(each)
            )
        return loss

    def forget(self, worker: Worker) -> None:
        """Has the results for a worker that has changed worked out again."""
        self._room.forget(worker)
        self._losses.pop(worker, None)


def lost_work(group: Group, now: float) -> float:
    """Returns the work that stopping a group loses, in core-seconds."""
    if group.state is not GroupState.STARTED:
        return 0.0
    ran_s = max(0.0, now - group.started_at)
    slowest = group.slowest_member
    if group.resumed and slowest is not None and slowest.speed is not None:
        # When an adopted run began is only an estimate.
        ran_s = slowest.percent / slowest.speed
    if group.step.checkpointing and group.checkpoint:
        ran_s = min(ran_s, 1.0)
    return _cores(group) * ran_s


def planned_work(group: Group, estimate_s: float) -> float:
    """Returns the work of a group in a given time, in core-seconds."""
    return _cores(group) * estimate_s


def _cores(group: Group) -> float:
    """Returns the size of a group in cores."""
    need = group.step.need
    cores = need.cpu_millis / _MILLIS_PER_CORE
    cores += need.accelerators * CORES_PER_ACCELERATOR
    return cores * len(group.indices)


class Eviction:
    """Places for a group and the groups that have to be preempted for it.

    Attributes:
      places: a worker for each of the group's tasks.
      victims: the groups to preempt.
      cost: what preempting them costs, in core-seconds.
    """

    def __init__(
        self, places: Placement, victims: list[Group], cost: float
    ) -> None:
        """Creates an eviction; nothing is preempted yet."""
        self.places = places
        self.victims = victims
        self.cost = cost


def find_eviction(
    group: Group,
    workers: Sequence[Worker],
    room: EvictableRoom,
    allow_far: bool,
) -> Eviction | None:
    """Returns the cheapest way to make room, None when there is none.

    Of a step that limits how many of its tasks may be away, no more are
    preempted: those beyond the limit are left out, and others are looked for.

    Args:
      group: the group that goes first.
      workers: the workers that it may use.
      room: the room that it may make.
      allow_far: whether it may run off its data's rack or on several racks.
    """
    excluded: set[Group] = set()
    while True:
        found = _find_eviction(group, workers, room, allow_far)
        beyond = _beyond_limit(found.victims) if found is not None else set()
        if not beyond:
            return found
        excluded.update(beyond)
        room = room.without(excluded)


def _beyond_limit(victims: list[Group]) -> set[Group]:
    """Returns the groups that can't be stopped together with the others."""
    allowed: list[Group] = []
    for each in victims:
        if can_stop_all([*allowed, each]):
            allowed.append(each)
    return set(victims) - set(allowed)


def _find_eviction(
    group: Group,
    workers: Sequence[Worker],
    room: EvictableRoom,
    allow_far: bool,
) -> Eviction | None:
    """Returns the cheapest way to make room if limits of steps are ignored."""

    def least_lost(worker: Worker) -> tuple[float, ...]:
        return room.loss(worker), room.free(worker).accelerators

    step = group.step
    racks = group_by_rack(workers)
    near = []
    if step.data_rack:
        near = [racks.get(step.data_rack, [])]
    elif step.same_rack:
        near = list(racks.values())
    far = [list(workers)] if allow_far or not near else []
    found: list[Eviction] = []
    for candidates in [*near, *far]:
        if found and candidates not in near:
            break
        places = place_in_order(group, candidates, room, least_lost)
        if places is not None:
            found.append(_evict(group, places, room))
    return min(found, key=lambda each: each.cost, default=None)


def _evict(group: Group, places: Placement, room: EvictableRoom) -> Eviction:
    """Chooses groups to preempt on each worker until the tasks fit there."""
    victims: dict[Group, None] = {}
    tasks_on: dict[Worker, int] = {}
    for worker in places.values():
        tasks_on[worker] = tasks_on.get(worker, 0) + 1
    for worker, count in tasks_on.items():
        wanted = group.step.allocation * count
        free = worker.free
        for each in victims:
            free += each.step.allocation * worker.groups.get(each, 0)
        candidates = sorted(
            (
                each
                for each in worker.groups
                if each not in victims and room.may_evict(each)
            ),
            key=room.stop_cost,
        )
        for victim in candidates:
            if wanted.fits_in(free):
                break
            victims[victim] = None
            free += victim.step.allocation * worker.groups[victim]
    cost = sum(room.stop_cost(each) for each in victims)
    return Eviction(places, list(victims), cost)
