"""Choice of the jobs to evict for a gang that does not fit otherwise."""

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
from pomeloarch_core.gang.workers import AllocationKind, Worker
from pomeloarch_core.ids import JobClassName, JobId, RackId, WorkerId
from pomeloarch_core.objects.model import Adjacency

# The longest grace of a victim that is evicted for urgent work, so that the
# urgent gang starts within 1.9 s. The owner of a guarantee waits for the
# victims' whole grace.
URGENT_GRACE_S = 1.2

# Factor on the eviction cost of a job whose grace is above `URGENT_GRACE_S`.
_CUT_GRACE_WEIGHT = 1.5
# Workers and racks that are considered for one plan.
_MAX_WORKER_CANDIDATES = 16
_MAX_RACK_CANDIDATES = 4


class EvictionPlan(msgspec.Struct, frozen=True):
    """A placement for a gang and the jobs to evict for it.

    Attributes:
      members: the worker and accelerators of each member.
      victims: the jobs that have to be evicted first.
    """

    members: tuple[Member, ...]
    victims: tuple[JobId, ...]


class VictimSelection:
    """Selects the jobs to evict for one gang.

    Args:
      fleet: the workers.
      jobs: all jobs by id.
      may_evict: returns whether a job may be evicted at all.
      allowance: returns how many accelerators a class may lose; None for
        no limit.

    Attributes:
      victims: the selected jobs, in the order of their selection.
    """

    def __init__(
        self,
        fleet: Fleet,
        jobs: Mapping[JobId, Job],
        may_evict: Callable[[Job], bool],
        allowance: Callable[[JobClassName], float] | None = None,
    ) -> None:
        """Creates a selection without victims."""
        self._fleet = fleet
        self._jobs = jobs
        self._may_evict = may_evict
        self._allowance = allowance
        self._evicted_of_class: Counter[JobClassName] = Counter()
        self.victims: dict[JobId, None] = {}

    @property
    def cost(self) -> float:
        """The victims' accelerators, weighted up where a grace may be cut."""
        return sum(
            _eviction_cost(self._jobs[victim]) for victim in self.victims
        )

    def take_accelerators(
        self, worker: Worker, count: int, memory_gb: float
    ) -> tuple[int, ...] | None:
        """Takes accelerators on a worker and selects victims as needed.

        Jobs that are being evicted already come first, then those whose
        eviction costs least.

        Args:
          worker: the worker.
          count: the number of accelerators needed.
          memory_gb: the memory needed, in GB.

        Returns:
          The accelerators, free ones first, or None if there is not enough
          that may be evicted.
        """
        found = list(worker.free_accelerators())
        memory = worker.memory_free_gb
        for job in self._jobs_to_evict(worker):
            if len(found) >= count and memory >= memory_gb:
                break
            gained = [
                a
                for a in worker.accelerators_by_job[job.job_id]
                if worker.holders.get(a) == job.job_id
                and a not in worker.next_holders
            ]
            if self._select(job):
                found.extend(gained)
                members = len(job.members_on(worker.worker_id))
                memory += members * job.spec.memory_gb
        if len(found) < count or memory + 1e-9 < memory_gb:
            return None
        return tuple(found[:count])

    def _jobs_to_evict(self, worker: Worker) -> list[Job]:
        jobs = (self._jobs.get(job_id) for job_id in worker.accelerators_by_job)
        return sorted(
            (
                job
                for job in jobs
                if job is not None and (job.is_leaving or self._may_evict(job))
            ),
            key=self._sort_key,
        )

    def _sort_key(self, job: Job) -> tuple[bool, float, float]:
        already_evicted = job.is_leaving or job.job_id in self.victims
        return (not already_evicted, _eviction_cost(job), -job.started_at)

    def _select(self, job: Job) -> bool:
        if job.is_leaving or job.job_id in self.victims:
            return True
        name = job.spec.job_class
        if self._allowance is not None:
            if self._evicted_of_class[name] + job.size > self._allowance(name):
                return False
            self._evicted_of_class[name] += job.size
        self.victims[job.job_id] = None
        return True


def _eviction_cost(job: Job) -> float:
    """Returns a job's accelerators, weighted up if its grace may be cut."""
    can_cut_grace = job.job_class.grace_s > URGENT_GRACE_S
    return job.size * (_CUT_GRACE_WEIGHT if can_cut_grace else 1.0)


def plan_eviction(
    new_selection: Callable[[], VictimSelection],
    fleet: Fleet,
    index: CapacityIndex,
    need: Need,
    avoid: Collection[WorkerId],
) -> EvictionPlan | None:
    """Plans a placement with evictions for a gang.

    Args:
      new_selection: creates an empty selection of victims.
      fleet: the workers.
      index: free and evictable accelerators of each worker.
      need: what the gang needs.
      avoid: workers that the gang must not be placed on.

    Returns:
      The plan whose evictions cost least among a bounded number of
      candidates, or None if no candidate works.
    """
    best: EvictionPlan | None = None
    best_cost = 0.0
    for slots in _candidate_layouts(fleet, index, need, avoid):
        selection = new_selection()
        members = take_for_gang(selection, fleet, slots, need)
        if members is None:
            continue
        if best is None or selection.cost < best_cost:
            best = EvictionPlan(members, tuple(selection.victims))
            best_cost = selection.cost
    return best


def _candidate_layouts(
    fleet: Fleet,
    index: CapacityIndex,
    need: Need,
    avoid: Collection[WorkerId],
) -> list[list[Slots]]:
    if need.adjacency is Adjacency.HOST:
        workers = index.workers_with(need.size * need.members)
        return [
            [Slots(worker_id, need.members)]
            for worker_id in islice(workers, _MAX_WORKER_CANDIDATES)
            if worker_id not in avoid
        ]
    racks = index.racks_with_slots(need.size, need.members)
    found = [
        slots
        for rack in islice(racks, _MAX_RACK_CANDIDATES)
        if (slots := _layout_in_rack(index, rack, need, need.members, avoid))
    ]
    if found or need.adjacency is Adjacency.RACK:
        return found
    return _layouts_across_racks(index, need, avoid)


def _layout_in_rack(
    index: CapacityIndex,
    rack: RackId,
    need: Need,
    wanted: int,
    avoid: Collection[WorkerId],
) -> list[Slots]:
    """Places `wanted` members on a rack; returns nothing if they don't fit."""
    values = index.rack_workers(rack)
    slots = []
    for worker_id in sorted(values, key=lambda w: -values[w]):
        count = min(wanted, values[worker_id] // need.size)
        if count and worker_id not in avoid:
            slots.append(Slots(worker_id, count))
            wanted -= count
    return [] if wanted else slots


def _layouts_across_racks(
    index: CapacityIndex, need: Need, avoid: Collection[WorkerId]
) -> list[list[Slots]]:
    if index.slots(need.size) < need.members:
        return []
    slots: list[Slots] = []
    missing = need.members
    for rack in islice(index.racks_most_slots_first(need.size), need.members):
        wanted = min(missing, index.rack_slots(rack, need.size))
        slots.extend(_layout_in_rack(index, rack, need, wanted, avoid))
        missing = need.members - sum(s.count for s in slots)
        if not missing:
            return [slots]
    return []


def take_for_gang(
    selection: VictimSelection, fleet: Fleet, slots: Sequence[Slots], need: Need
) -> tuple[Member, ...] | None:
    """Takes accelerators for a whole gang on the given workers.

    Args:
      selection: collects the victims.
      fleet: the workers.
      slots: how many members go to each worker.
      need: what the gang needs.

    Returns:
      The worker and accelerators of each member, or None if a worker lacks
      some.
    """
    members: list[Member] = []
    for slot in slots:
        taken = selection.take_accelerators(
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
    """Divides accelerators of one worker among the members placed on it."""
    return [
        Member(slot.worker_id, tuple(accelerators[i * size : (i + 1) * size]))
        for i in range(slot.count)
    ]


def is_evictable_for_owner(job: Job) -> bool:
    """Returns whether the owner of a guarantee may evict a job."""
    return job.allocation_kind in (
        AllocationKind.BORROWED,
        AllocationKind.BORROWED_URGENT,
    )
