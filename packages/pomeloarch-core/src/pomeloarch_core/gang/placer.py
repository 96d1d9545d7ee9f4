"""Finds a place for one waiting job, in the order of least harm."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from itertools import islice

import msgspec

from pomeloarch_core.gang.cells import Cell, Instance
from pomeloarch_core.gang.fleet import Fleet, PoolCapacity
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import Member
from pomeloarch_core.gang.placement import (
    Need,
    Slots,
    find_slots,
    free_members,
    ways_in_racks,
)
from pomeloarch_core.gang.preemption import (
    Evictions,
    evictable_for_owner,
    plan_on_index,
    split_members,
)
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.gang.workers import Standing, Worker
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_core.objects.model import Adjacency

FLOOR_PATIENCE_S = 10.0
_MOVE_CANDIDATES = 4


class Place(msgspec.Struct, frozen=True):
    """Where a gang may go.

    Attributes:
      members: the place of each member.
      standing: what its accelerators will be to others.
      victims: the jobs that have to go first.
      cells: the cells that its members stand in, if covered.
    """

    members: tuple[Member, ...]
    standing: Standing
    victims: tuple[JobId, ...] = ()
    cells: tuple[tuple[Instance, Cell], ...] = ()


class Placer:
    """Tries the ways of placing a gang, one after the other.

    Args:
      fleet: the workers.
      witness: where the guarantees stand.
      shares: floors of classes.
      jobs: all jobs by id.
    """

    def __init__(
        self,
        fleet: Fleet,
        witness: Witness,
        shares: Shares,
        jobs: Mapping[JobId, Job],
    ) -> None:
        """Keeps what places are found in."""
        self._fleet = fleet
        self._witness = witness
        self._shares = shares
        self._jobs = jobs

    def may_evict_now(self, job: Job, now: float) -> bool:
        """Returns whether a job may have others evicted for it.

        A class below its floor is first served from what comes free by
        itself, since an eviction may stop a gang many times as large.
        """
        if job.urgent:
            return True
        waited = now - job.queued_at >= FLOOR_PATIENCE_S
        return waited and self._shares.below_floor(job.spec.job_class)

    def place(self, job: Job, now: float) -> Place | None:
        """Finds a place for a job outside of its owner's guarantees."""
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        avoid = job.failed_on
        if not job.preemptible and not self._shares.fixed_allowed(job):
            return None
        for pool in self._fleet.pools.values():
            found = self._on_free(job, pool, need, avoid)
            if found is not None:
                return found
        if self.may_evict_now(job, now):
            for pool in self._fleet.pools.values():
                found = self._by_eviction(job, pool, need, avoid)
                if found is not None:
                    return found
        return None

    def _on_free(
        self,
        job: Job,
        pool: PoolCapacity,
        need: Need,
        avoid: Collection[WorkerId],
    ) -> Place | None:
        slots = find_slots(pool.unclaimed, self._fleet, need, avoid)
        if slots is None and job.preemptible:
            slots = find_slots(pool.free, self._fleet, need, avoid)
        elif slots is None:
            slots = self._make_way(pool, need, avoid)
        if slots is None:
            return None
        members = free_members(self._fleet, slots, need.size)
        return Place(members, job.borrowing)

    def _make_way(
        self, pool: PoolCapacity, need: Need, avoid: Collection[WorkerId]
    ) -> list[Slots] | None:
        """Moves guarantees aside for work that can't be preempted."""
        if need.adjacency is Adjacency.HOST:
            count = need.size * need.members
            workers = list(
                islice(pool.free.workers_with(count), _MOVE_CANDIDATES)
            )
            ways = [
                [Slots(worker_id, need.members)]
                for worker_id in workers
                if worker_id not in avoid
            ]
        else:
            ways = ways_in_racks(pool.free, self._fleet, need, avoid)
            if need.adjacency is Adjacency.ANY:
                slots = find_slots(pool.free, self._fleet, need, avoid)
                ways.extend([slots] if slots else [])
        for way in ways:
            if self._clear(way, need):
                return way
        return None

    def _clear(self, way: list[Slots], need: Need) -> bool:
        for slot in way:
            worker = self._fleet.workers[slot.worker_id]
            if worker.memory_free_gb < slot.count * need.memory_gb:
                return False
        workers = [(self._fleet.workers[s.worker_id], s.count) for s in way]
        done = []
        for worker, count in workers:
            if not self._witness.make_way(worker, count * need.size):
                break
            worker.fixed += count * need.size
            self._fleet.touch(worker)
            done.append((worker, count))
        for worker, count in done:
            worker.fixed -= count * need.size
            self._fleet.touch(worker)
        return len(done) == len(workers)

    def _by_eviction(
        self,
        job: Job,
        pool: PoolCapacity,
        need: Need,
        avoid: Collection[WorkerId],
    ) -> Place | None:
        if job.urgent:
            indices = (pool.evictable, pool.evictable_unclaimed)
        else:
            indices = (pool.yielding, pool.yielding_unclaimed)
        index = indices[0] if job.preemptible else indices[1]
        make = self._evictions_for(job)
        plan = plan_on_index(make, self._fleet, index, need, avoid)
        if plan is None:
            return None
        return Place(plan.members, job.borrowing, plan.victims)

    def _evictions_for(self, job: Job) -> Callable[[], Evictions]:
        mine = job.spec.job_class

        standings = {Standing.BORROWED}
        if not job.urgent:
            standings.add(Standing.BORROWED_URGENT)

        def may_evict(other: Job) -> bool:
            return other.standing in standings and other.spec.job_class != mine

        return lambda: Evictions(
            self._fleet, self._jobs, may_evict, self._shares.above_floor
        )

    # ---- guarantees

    def claim(self, job: Job) -> Place | None:
        """Finds a place for a job within its owner's guarantees."""
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        owner = job.spec.organisation
        cells = self._witness.claim(owner, need, job.failed_on)
        if cells is None:
            return None
        for instance in dict.fromkeys(instance for instance, _ in cells):
            self._witness.move_to_cheapest(instance, self._cost_of)
        return self._in_cells(job, need, cells)

    def _cost_of(self, worker: Worker, count: int) -> float | None:
        """Returns what freeing accelerators for an owner costs others."""
        if not worker.usable:
            return None
        evictions = Evictions(self._fleet, self._jobs, evictable_for_owner)
        taken = evictions.take(worker, count, 0.0)
        return None if taken is None else evictions.cost

    def _in_cells(
        self, job: Job, need: Need, cells: list[tuple[Instance, Cell]]
    ) -> Place | None:
        by_worker: dict[WorkerId, list[tuple[Instance, Cell]]] = {}
        for instance, cell in cells:
            assert cell.worker_id is not None
            by_worker.setdefault(cell.worker_id, []).append((instance, cell))
        evictions = Evictions(self._fleet, self._jobs, evictable_for_owner)
        members: list[Member] = []
        ordered: list[tuple[Instance, Cell]] = []
        for worker_id, here in by_worker.items():
            slots = Slots(worker_id, len(here))
            taken = evictions.take(
                self._fleet.workers[worker_id],
                len(here) * need.size,
                len(here) * need.memory_gb,
            )
            if taken is None:
                return None
            members.extend(split_members(slots, taken, need.size))
            ordered.extend(here)
        return Place(
            tuple(members),
            Standing.COVERED,
            tuple(evictions.victims),
            tuple(ordered),
        )
