"""Chooses whose tasks have to leave for a group that goes first.

A victim is a whole group, since a gang doesn't work in part. Among the racks
that could be cleared, the one is taken where the least work is lost.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.model import NO_RESOURCES, Resources
from pomeloarch_core.batch.placing import Places, by_rack, fill

# An accelerator's share of lost work, in cores; the usual weight of one
# accelerator against processors in what organisations are charged.
CORES_PER_ACCELERATOR = 8
_MILLIS = 1000

MayPreempt = Callable[[Group], bool]
Harm = Callable[[Group], float]


def lost_work(group: Group, now: float) -> float:
    """Returns the core-seconds that stopping a group throws away."""
    if group.state is not GroupState.STARTED:
        return 0.0
    ran_s = max(0.0, now - group.started_at)
    last = group.last_member
    if group.resumed and last is not None and last.speed is not None:
        # When a run that was adopted began is only worked out.
        ran_s = last.percent / last.speed
    if group.step.checkpointing and group.checkpoint:
        ran_s = min(ran_s, 1.0)
    return _cores(group) * ran_s


def own_work(group: Group, estimate_s: float) -> float:
    """Returns the core-seconds that a group will do in that time."""
    return _cores(group) * estimate_s


def _cores(group: Group) -> float:
    need = group.step.need
    cores = need.cpu_millis / _MILLIS
    cores += need.accelerators * CORES_PER_ACCELERATOR
    return cores * len(group.indices)


class Eviction:
    """Places for a group, and the groups that have to leave for it.

    Attributes:
      places: a worker for each of the group's tasks.
      victims: groups that have to leave.
      cost: the harm that is done to them, in core-seconds.
    """

    def __init__(
        self, places: Places, victims: list[Group], cost: float
    ) -> None:
        """Keeps what was found."""
        self.places = places
        self.victims = victims
        self.cost = cost


def find_eviction(
    group: Group,
    workers: Sequence[Worker],
    may_preempt: MayPreempt,
    allow_far: bool,
    harm: Harm,
) -> Eviction | None:
    """Returns the cheapest way to make room, None when there is none.

    Args:
      group: the group that goes first.
      workers: the workers that it may use.
      may_preempt: whether a group has to give way to it.
      allow_far: whether it may run away from its data or on several racks.
      harm: returns what stopping a group costs, in core-seconds.
    """
    preemptible = {each: _preemptible(each, may_preempt) for each in workers}

    def room(worker: Worker) -> Resources:
        return worker.free + preemptible[worker]

    lost = {
        each: sum(harm(other) for other in each.groups if may_preempt(other))
        for each in workers
    }

    def least_lost(worker: Worker) -> tuple[float, ...]:
        return lost[worker], room(worker).accelerators

    step = group.step
    racks = by_rack(workers)
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
        places = fill(group, candidates, room, least_lost)
        if places is not None:
            found.append(_evict(group, places, may_preempt, harm))
    return min(found, key=lambda each: each.cost, default=None)


def _preemptible(worker: Worker, may_preempt: MayPreempt) -> Resources:
    total = NO_RESOURCES
    for each, count in worker.groups.items():
        if each.state is GroupState.STARTED and may_preempt(each):
            total += each.step.reserved * count
    return total


def _evict(
    group: Group, places: Places, may_preempt: MayPreempt, harm: Harm
) -> Eviction:
    """Chooses victims on each worker until the group's tasks fit there."""
    victims: dict[Group, None] = {}
    tasks_on: dict[Worker, int] = {}
    for worker in places.values():
        tasks_on[worker] = tasks_on.get(worker, 0) + 1
    for worker, count in tasks_on.items():
        wanted = group.step.reserved * count
        room = worker.free
        for each in victims:
            room += each.step.reserved * worker.groups.get(each, 0)
        candidates = sorted(
            (
                each
                for each in worker.groups
                if each.state is GroupState.STARTED
                and each not in victims
                and may_preempt(each)
            ),
            key=harm,
        )
        for victim in candidates:
            if wanted.fits(room):
                break
            victims[victim] = None
            room += victim.step.reserved * worker.groups[victim]
    cost = sum(harm(each) for each in victims)
    return Eviction(places, list(victims), cost)
