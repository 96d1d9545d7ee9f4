"""Placement of one waiting job, preferring what costs other jobs least."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from itertools import islice

import msgspec

from pomeloarch_core.gang.cells import Cell, ShapeInstance
from pomeloarch_core.gang.fleet import Fleet, PoolCapacity
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import Member
from pomeloarch_core.gang.placement import (
    Need,
    Slots,
    assign_free_accelerators,
    find_slots,
    rack_layouts,
)
from pomeloarch_core.gang.preemption import (
    VictimSelection,
    is_evictable_for_owner,
    plan_eviction,
    split_members,
)
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.gang.workers import AllocationKind, Worker
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_core.objects.model import Adjacency

# How long a job of a class below its floor waits before others are evicted.
FLOOR_EVICTION_DELAY_S = 10.0
# Workers that are tried when guaranteed shapes are moved for a job on one host.
_MAX_MOVE_CANDIDATES = 4


class Placement(msgspec.Struct, frozen=True):
    """A place that was found for a whole gang.

    Attributes:
      members: the worker and accelerators of each member.
      allocation_kind: the kind under which the accelerators will be held.
      victims: the jobs that have to be evicted first.
      cells: the cell of each member, if the gang is placed within its
        owner's guarantees.
    """

    members: tuple[Member, ...]
    allocation_kind: AllocationKind
    victims: tuple[JobId, ...] = ()
    cells: tuple[tuple[ShapeInstance, Cell], ...] = ()


class Placer:
    """Finds placements for gangs.

    Args:
      fleet: the workers.
      witness: the assignment of guaranteed shapes to workers.
      shares: the floors of job classes.
      jobs: all jobs by id.
    """

    def __init__(
        self,
        fleet: Fleet,
        witness: Witness,
        shares: Shares,
        jobs: Mapping[JobId, Job],
    ) -> None:
        """Creates a placer."""
        self._fleet = fleet
        self._witness = witness
        self._shares = shares
        self._jobs = jobs

    def may_evict_now(self, job: Job, now: float) -> bool:
        """Returns whether other jobs may be evicted for a job.

        A class below its floor is first served from accelerators that
        become free without evictions, since an eviction may stop a gang
        many times as large.
        """
        if job.urgent:
            return True
        waited = now - job.queued_at >= FLOOR_EVICTION_DELAY_S
        return waited and self._shares.is_below_floor(job.spec.job_class)

    def place(self, job: Job, now: float) -> Placement | None:
        """Finds a placement for a job outside its owner's guarantees.

        Free accelerators are tried first; evictions only if they are
        allowed for this job.
        """
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        avoid = job.failed_workers
        if not job.preemptible and not self._shares.allows_fixed(job):
            return None
        for pool in self._fleet.pools.values():
            found = self._place_on_free(job, pool, need, avoid)
            if found is not None:
                return found
        if self.may_evict_now(job, now):
            for pool in self._fleet.pools.values():
                found = self._place_by_eviction(job, pool, need, avoid)
                if found is not None:
                    return found
        return None

    def _place_on_free(
        self,
        job: Job,
        pool: PoolCapacity,
        need: Need,
        avoid: Collection[WorkerId],
    ) -> Placement | None:
        slots = find_slots(pool.unclaimed, self._fleet, need, avoid)
        if slots is None and job.preemptible:
            slots = find_slots(pool.free, self._fleet, need, avoid)
        elif slots is None:
            slots = self._move_guarantees_aside(pool, need, avoid)
        if slots is None:
            return None
        members = assign_free_accelerators(self._fleet, slots, need.size)
        return Placement(members, job.uncovered_kind)

    def _move_guarantees_aside(
        self, pool: PoolCapacity, need: Need, avoid: Collection[WorkerId]
    ) -> list[Slots] | None:
        """Moves idle guaranteed shapes to make room for a fixed job."""
        if need.adjacency is Adjacency.HOST:
            count = need.size * need.members
            workers = list(
                islice(pool.free.workers_with(count), _MAX_MOVE_CANDIDATES)
            )
            layouts = [
                [Slots(worker_id, need.members)]
                for worker_id in workers
                if worker_id not in avoid
            ]
        else:
            layouts = rack_layouts(pool.free, self._fleet, need, avoid)
            if need.adjacency is Adjacency.ANY:
                slots = find_slots(pool.free, self._fleet, need, avoid)
                layouts.extend([slots] if slots else [])
        for layout in layouts:
            if self._try_layout(layout, need):
                return layout
        return None

    def _try_layout(self, layout: list[Slots], need: Need) -> bool:
        for slot in layout:
            worker = self._fleet.workers[slot.worker_id]
            if worker.memory_free_gb < slot.count * need.memory_gb:
                return False
        workers = [(self._fleet.workers[s.worker_id], s.count) for s in layout]
        adjusted = []
        for worker, count in workers:
            if not self._witness.make_room(worker, count * need.size):
                break
            worker.fixed += count * need.size
            self._fleet.reindex(worker)
            adjusted.append((worker, count))
        for worker, count in adjusted:
            worker.fixed -= count * need.size
            self._fleet.reindex(worker)
        return len(adjusted) == len(workers)

    def _place_by_eviction(
        self,
        job: Job,
        pool: PoolCapacity,
        need: Need,
        avoid: Collection[WorkerId],
    ) -> Placement | None:
        if job.urgent:
            indices = (
                pool.evictable_for_urgent,
                pool.evictable_for_urgent_unclaimed,
            )
        else:
            indices = (
                pool.evictable_for_floor,
                pool.evictable_for_floor_unclaimed,
            )
        index = indices[0] if job.preemptible else indices[1]
        new_selection = self._victim_selection_for(job)
        plan = plan_eviction(new_selection, self._fleet, index, need, avoid)
        if plan is None:
            return None
        return Placement(plan.members, job.uncovered_kind, plan.victims)

    def _victim_selection_for(self, job: Job) -> Callable[[], VictimSelection]:
        own_class = job.spec.job_class

        evictable_kinds = {AllocationKind.BORROWED}
        if not job.urgent:
            evictable_kinds.add(AllocationKind.BORROWED_URGENT)

        def may_evict(other: Job) -> bool:
            return (
                other.allocation_kind in evictable_kinds
                and other.spec.job_class != own_class
            )

        return lambda: VictimSelection(
            self._fleet, self._jobs, may_evict, self._shares.surplus_over_floor
        )

    def place_in_guarantees(self, job: Job) -> Placement | None:
        """Finds a placement for a job within its owner's guarantees."""
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        owner = job.spec.organisation
        cells = self._witness.find_cells(owner, need, job.failed_workers)
        if cells is None:
            return None
        for instance in dict.fromkeys(instance for instance, _ in cells):
            self._witness.move_to_cheapest(instance, self._eviction_cost)
        return self._place_in_cells(job, need, cells)

    def _eviction_cost(self, worker: Worker, count: int) -> float | None:
        """Computes what freeing accelerators for an owner costs other jobs.

        Returns:
          The cost of the evictions, or None if the accelerators can't be
          freed.
        """
        if not worker.is_usable:
            return None
        selection = VictimSelection(
            self._fleet, self._jobs, is_evictable_for_owner
        )
        taken = selection.take_accelerators(worker, count, 0.0)
        return None if taken is None else selection.cost

    def _place_in_cells(
        self, job: Job, need: Need, cells: list[tuple[ShapeInstance, Cell]]
    ) -> Placement | None:
        by_worker: dict[WorkerId, list[tuple[ShapeInstance, Cell]]] = {}
        for instance, cell in cells:
            assert cell.worker_id is not None
            by_worker.setdefault(cell.worker_id, []).append((instance, cell))
        selection = VictimSelection(
            self._fleet, self._jobs, is_evictable_for_owner
        )
        members: list[Member] = []
        ordered: list[tuple[ShapeInstance, Cell]] = []
        for worker_id, here in by_worker.items():
            slots = Slots(worker_id, len(here))
            taken = selection.take_accelerators(
                self._fleet.workers[worker_id],
                len(here) * need.size,
                len(here) * need.memory_gb,
            )
            if taken is None:
                return None
            members.extend(split_members(slots, taken, need.size))
            ordered.extend(here)
        return Placement(
            tuple(members),
            AllocationKind.COVERED,
            tuple(selection.victims),
            tuple(ordered),
        )
