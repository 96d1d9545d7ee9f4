"""Who has to make way: victims for a gang that does not fit by itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from itertools import islice

import msgspec

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import Member
from pomeloarch_core.gang.placement import Need, Slots
from pomeloarch_core.gang.workers import Standing, Worker
from pomeloarch_core.ids import JobClassName, JobId, RackId, WorkerId
from pomeloarch_core.objects.model import Adjacency

# An urgent gang's victims get no more than this, in seconds, so that it
# starts within 1.9 s; a guarantee's owner waits for their whole grace.
URGENT_GRACE_S = 1.2

_SLOW_WEIGHT = 1.5
_WORKER_CANDIDATES = 16
_RACK_CANDIDATES = 4


class Plan(msgspec.Struct, frozen=True):
    """Places for a gang and the jobs that have to make way for it.

    Attributes:
      members: the place of each member.
      victims: the jobs that have to go first.
    """

    members: tuple[Member, ...]
    victims: tuple[JobId, ...]


class Evictions:
    """Chooses victims within what may be evicted.

    Args:
      fleet: the workers.
      jobs: all jobs by id.
      may_evict: whether a job may be evicted at all.
      allowance: accelerators that each class may lose.
    """

    def __init__(
        self,
        fleet: Fleet,
        jobs: Mapping[JobId, Job],
        may_evict: Callable[[Job], bool],
        allowance: Callable[[JobClassName], float] | None = None,
    ) -> None:
        """Starts without victims."""
        self._fleet = fleet
        self._jobs = jobs
        self._may_evict = may_evict
        self._allowance = allowance
        self._spent: Counter[JobClassName] = Counter()
        self.victims: dict[JobId, None] = {}

    @property
    def cost(self) -> float:
        """How bad the victims' loss is: accelerators, by their grace."""
        return sum(_loss(self._jobs[victim]) for victim in self.victims)

    def take(
        self, worker: Worker, count: int, memory_gb: float
    ) -> tuple[int, ...] | None:
        """Finds accelerators on a worker, evicting as few as possible.

        Args:
          worker: the worker.
          count: how many accelerators are needed.
          memory_gb: memory that is needed, in GB.

        Returns:
          The accelerators, free ones first, or None if there are too few.
        """
        found = list(worker.free_accelerators())
        memory = worker.memory_free_gb
        for job in self._candidates(worker):
            if len(found) >= count and memory >= memory_gb:
                break
            supply = [
                a
                for a in worker.tenants[job.job_id]
                if worker.used.get(a) == job.job_id and a not in worker.heirs
            ]
            if self._evict(job):
                found.extend(supply)
                members = len(job.members_on(worker.worker_id))
                memory += members * job.spec.memory_gb
        if len(found) < count or memory + 1e-9 < memory_gb:
            return None
        return tuple(found[:count])

    def _candidates(self, worker: Worker) -> list[Job]:
        jobs = (self._jobs.get(job_id) for job_id in worker.tenants)
        return sorted(
            (
                job
                for job in jobs
                if job is not None and (job.leaving or self._may_evict(job))
            ),
            key=self._order,
        )

    def _order(self, job: Job) -> tuple[bool, float, float]:
        gone = job.leaving or job.job_id in self.victims
        return (not gone, _loss(job), -job.started_at)

    def _evict(self, job: Job) -> bool:
        if job.leaving or job.job_id in self.victims:
            return True
        name = job.spec.job_class
        if self._allowance is not None:
            if self._spent[name] + job.size > self._allowance(name):
                return False
            self._spent[name] += job.size
        self.victims[job.job_id] = None
        return True


def _loss(job: Job) -> float:
    """Returns what a victim loses: a grace that may be cut weighs more."""
    slow = job.job_class.grace_s > URGENT_GRACE_S
    return job.size * (_SLOW_WEIGHT if slow else 1.0)


def plan_on_index(
    make: Callable[[], Evictions],
    fleet: Fleet,
    index: CapacityIndex,
    need: Need,
    avoid: Collection[WorkerId],
) -> Plan | None:
    """Plans a gang's places by an index of evictable accelerators.

    Args:
      make: makes an empty choice of victims.
      fleet: the workers.
      index: free and evictable accelerators of each worker.
      need: what the gang needs.
      avoid: workers that it must not be placed on.

    Returns:
      The plan that costs others least among a bounded number of candidates.
    """
    best: Plan | None = None
    best_cost = 0.0
    for slots in _candidates(fleet, index, need, avoid):
        evictions = make()
        members = take_all(evictions, fleet, slots, need)
        if members is None:
            continue
        if best is None or evictions.cost < best_cost:
            best = Plan(members, tuple(evictions.victims))
            best_cost = evictions.cost
    return best


def _candidates(
    fleet: Fleet,
    index: CapacityIndex,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[list[Slots]]:
    if need.adjacency is Adjacency.HOST:
        workers = index.workers_with(need.size * need.members)
        return [
            [Slots(worker_id, need.members)]
            for worker_id in islice(workers, _WORKER_CANDIDATES)
            if worker_id not in avoid
        ]
    racks = index.racks_with_slots(need.size, need.members)
    found = [
        slots
        for rack in islice(racks, _RACK_CANDIDATES)
        if (slots := _rack_slots(index, rack, need, need.members, avoid))
    ]
    if found or need.adjacency is Adjacency.RACK:
        return found
    return _any_slots(index, need, avoid)


def _rack_slots(
    index: CapacityIndex,
    rack: RackId,
    need: Need,
    wanted: int,
    avoid: Collection[WorkerId],
) -> list[Slots]:
    """Spreads up to `wanted` members over a rack, or nothing if short."""
    values = index.rack_workers(rack)
    slots = []
    for worker_id in sorted(values, key=lambda w: -values[w]):
        count = min(wanted, values[worker_id] // need.size)
        if count and worker_id not in avoid:
            slots.append(Slots(worker_id, count))
            wanted -= count
    return [] if wanted else slots


def _any_slots(
    index: CapacityIndex, need: Need, avoid: Collection[WorkerId]
) -> list[list[Slots]]:
    if index.slots(need.size) < need.members:
        return []
    slots: list[Slots] = []
    missing = need.members
    for rack in islice(index.richest_racks(need.size), need.members):
        wanted = min(missing, index.rack_slots(rack, need.size))
        slots.extend(_rack_slots(index, rack, need, wanted, avoid))
        missing = need.members - sum(s.count for s in slots)
        if not missing:
            return [slots]
    return []


def take_all(
    evictions: Evictions, fleet: Fleet, slots: Sequence[Slots], need: Need
) -> tuple[Member, ...] | None:
    """Takes accelerators for a gang on the workers chosen for it.

    Args:
      evictions: collects the victims.
      fleet: the workers.
      slots: how many members go to which worker.
      need: what the gang needs.

    Returns:
      The place of each member, or None if some can't be had.
    """
    members: list[Member] = []
    for slot in slots:
        taken = evictions.take(
            fleet.workers[slot.worker_id],
            slot.count * need.size,
            slot.count * need.memory_gb,
        )
        if taken is None:
            return None
        members.extend(split_members(slot, taken, need.size))
    return tuple(members)


def split_members(
    slot: Slots, accelerators: Sequence[int], size: int
) -> list[Member]:
    """Gives each member on a worker its part of some accelerators."""
    return [
        Member(slot.worker_id, tuple(accelerators[i * size : (i + 1) * size]))
        for i in range(slot.count)
    ]


def evictable_for_owner(job: Job) -> bool:
    """Returns whether a guarantee's owner may evict a job."""
    return job.standing in (Standing.BORROWED, Standing.BORROWED_URGENT)
