"""Allocation and release of jobs' accelerators in fleet, cells and shares."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from pomeloarch_core.gang.cells import Cell, ShapeInstance
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.placer import Placement
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.gang.workers import AllocationKind
from pomeloarch_core.ids import JobId, WorkerId

_UNCHANGED_KINDS = frozenset({AllocationKind.COVERED, AllocationKind.LEAVING})


class Allocations:
    """Keeps fleet, witness and shares consistent with each other.

    Args:
      fleet: the workers.
      witness: the assignment of guaranteed shapes to workers.
      shares: accelerators held by organisation, team, caller and class.
      jobs: all jobs by id.
    """

    def __init__(
        self,
        fleet: Fleet,
        witness: Witness,
        shares: Shares,
        jobs: Mapping[JobId, Job],
    ) -> None:
        """Creates an empty set of allocations."""
        self._fleet = fleet
        self._witness = witness
        self._shares = shares
        self._jobs = jobs

    def allocate(self, job: Job, placement: Placement) -> None:
        """Allocates a placement to a job; it may have to wait for victims."""
        job.allocation_kind = job.counted_kind = placement.allocation_kind
        job.placement = placement.members
        job.phase = Phase.WAITING_FOR_VICTIMS
        job.task_states = [None] * job.spec.members
        job.inactive_members = set()
        job.released_members = set()
        cells = [cell for _, cell in placement.cells]
        self._witness.occupy(job.job_id, cells, job.spec.accelerators)
        self._allocate_members(job)

    def adopt(self, job: Job) -> None:
        """Allocates to a job the placement that its record names."""
        record = job.record
        job.placement = record.placement
        cells = self._recorded_cells(job)
        job.allocation_kind = (
            AllocationKind.COVERED if cells else job.uncovered_kind
        )
        job.counted_kind = job.allocation_kind
        self._witness.occupy(job.job_id, cells, job.spec.accelerators)
        self._allocate_members(job)
        for worker_id in self._memory_by_worker(job):
            worker = self._fleet.get_or_add(worker_id)
            if worker.reservable < 0 and worker.listed:
                self._witness.resolve_overcommitment(worker)

    def _recorded_cells(self, job: Job) -> list[Cell]:
        """Returns the cells that a job's record names, if they can hold it."""
        names, places = job.record.cells, job.placement
        if not names or len(names) != len(places):
            return []
        found: list[tuple[ShapeInstance, Cell]] = []
        for name, member in zip(names, places, strict=True):
            known = self._witness.find_cell(job.spec.organisation, name)
            if known is None:
                return []
            worker = self._fleet.get_or_add(member.worker_id)
            if not self._witness.pin(*known, worker):
                return []
            found.append(known)
        needed = Counter(cell for _, cell in found)
        size = job.spec.accelerators
        if any(cell.spare < n * size for cell, n in needed.items()):
            return []
        return [cell for _, cell in found]

    def _allocate_members(self, job: Job) -> None:
        job.awaited_accelerators = sum(
            self._fleet.allocate(
                job.job_id, member, job.spec.memory_gb, job.allocation_kind
            )
            for member in job.placement
        )
        self._shares.add(job)

    def change_kind(self, job: Job, allocation_kind: AllocationKind) -> None:
        """Changes the kind under which a job holds its accelerators."""
        if job.allocation_kind is allocation_kind:
            return
        workers = [member.worker_id for member in job.placement]
        self._fleet.change_kind(
            job.job_id, workers, job.allocation_kind, allocation_kind
        )
        job.allocation_kind = allocation_kind
        if allocation_kind is AllocationKind.LEAVING:
            self._shares.count_leaving(job)

    def reclassify(self, job: Job) -> None:
        """Applies a change of a job's class to its allocation."""
        if not job.placement or job.allocation_kind in _UNCHANGED_KINDS:
            return
        self._change_kind_and_shares(job, job.uncovered_kind)

    def _change_kind_and_shares(
        self, job: Job, allocation_kind: AllocationKind
    ) -> None:
        """Changes a job's kind, also in the shares.

        Cells that have no room beside the job any more are moved.
        """
        self._shares.add(job, -1)
        self.change_kind(job, allocation_kind)
        job.counted_kind = allocation_kind
        self._shares.add(job)
        for worker_id in self._memory_by_worker(job):
            worker = self._fleet.get_or_add(worker_id)
            if worker.reservable < 0 and worker.listed:
                self._witness.resolve_overcommitment(worker)

    def reclassify_displaced(self) -> None:
        """Changes the kind of jobs that have lost their guaranteed cells."""
        displaced, self._witness.displaced_jobs = (
            self._witness.displaced_jobs,
            [],
        )
        for job_id in displaced:
            job = self._jobs.get(job_id)
            if job is None or job.allocation_kind is not AllocationKind.COVERED:
                continue
            self._witness.vacate(job.spec.organisation, job_id)
            self._change_kind_and_shares(job, job.uncovered_kind)

    def release(self, job: Job) -> list[Job]:
        """Releases all accelerators of a job.

        Returns:
          The jobs that now have all accelerators that they waited for.
        """
        if not job.placement:
            return []
        self._shares.add(job, -1)
        if job.allocation_kind is AllocationKind.LEAVING:
            self._shares.count_leaving(job, -1)
        self._witness.vacate(job.spec.organisation, job.job_id)
        ready = []
        for worker_id, memory_gb in self._memory_by_worker(job).items():
            next_holders = self._fleet.release(
                job.job_id, worker_id, memory_gb, job.allocation_kind
            )
            for next_holder_id in next_holders:
                next_holder = self._jobs[next_holder_id]
                next_holder.awaited_accelerators -= 1
                if not next_holder.awaited_accelerators:
                    ready.append(next_holder)
        job.placement = ()
        job.awaited_accelerators = 0
        return [
            next_holder
            for next_holder in ready
            if next_holder.phase is Phase.WAITING_FOR_VICTIMS
        ]

    def _memory_by_worker(self, job: Job) -> dict[WorkerId, float]:
        memory: dict[WorkerId, float] = {}
        for member in job.placement:
            used = memory.get(member.worker_id, 0.0)
            memory[member.worker_id] = used + job.spec.memory_gb
        return memory
