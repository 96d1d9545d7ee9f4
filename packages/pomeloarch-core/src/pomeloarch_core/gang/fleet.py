"""The workers of one availability zone and indices of their capacity."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.messages import Member, WorkerInfo
from pomeloarch_core.gang.workers import AllocationKind, Worker
from pomeloarch_core.ids import JobId, PoolName, RackId, WorkerId, ZoneName


class PoolCapacity:
    """Indices of the accelerators of one worker pool.

    Attributes:
      free: accelerators that no job holds, on usable workers that are not
        kept for a gang.
      unclaimed: free ones outside the guaranteed shapes' cells.
      reservable: accelerators that can be assigned to guaranteed shapes.
      evictable_for_urgent: accelerators that no job holds or that urgent
        jobs may take by eviction, on all usable workers.
      evictable_for_urgent_unclaimed: those of them outside the cells.
      evictable_for_floor: accelerators that are free or held by jobs that
        may be evicted for a class below its floor, urgent ones included; none
        on workers that are kept for a gang.
      evictable_for_floor_unclaimed: those of them outside the cells.
    """

    def __init__(self) -> None:
        """Creates empty indices."""
        self.free = CapacityIndex()
        self.unclaimed = CapacityIndex()
        self.reservable = CapacityIndex()
        self.evictable_for_urgent = CapacityIndex()
        self.evictable_for_urgent_unclaimed = CapacityIndex()
        self.evictable_for_floor = CapacityIndex()
        self.evictable_for_floor_unclaimed = CapacityIndex()

    def update(self, worker: Worker) -> bool:
        """Updates a worker's entries; returns whether any of them grew."""
        reservable = max(0, worker.reservable)
        free = worker.free if worker.is_usable else 0
        evictable_for_urgent = free + (
            worker.borrowed if worker.is_usable else 0
        )
        offered = 0 if worker.kept_for_gang else free
        evictable_for_floor = (
            0
            if worker.kept_for_gang
            else evictable_for_urgent + worker.borrowed_urgent
        )
        evictable_for_floor = evictable_for_floor if worker.is_usable else 0
        values = (
            (self.free, offered),
            (self.unclaimed, min(offered, reservable)),
            (self.reservable, reservable if worker.can_hold_guarantees else 0),
            (self.evictable_for_urgent, evictable_for_urgent),
            (
                self.evictable_for_urgent_unclaimed,
                min(evictable_for_urgent, reservable),
            ),
            (self.evictable_for_floor, evictable_for_floor),
            (
                self.evictable_for_floor_unclaimed,
                min(evictable_for_floor, reservable),
            ),
        )
        key, rack = worker.worker_id, worker.info.rack
        grew = [index.update(key, rack, value) for index, value in values]
        return any(grew)


class Fleet:
    """All workers of a zone that are listed or still hold something.

    Attributes:
      workers: all workers by id.
      pools: the indices of each pool.
      version: grows whenever capacity has become available.
      held: accelerators in use.
      listed_accelerators: accelerators of all workers on the platform's
        list.
    """

    def __init__(self) -> None:
        """Creates an empty fleet."""
        self.workers: dict[WorkerId, Worker] = {}
        self.pools: dict[PoolName, PoolCapacity] = {}
        self.version = 0
        self.held = 0
        self.listed_accelerators = 0

    def update_listing(self, infos: Iterable[WorkerInfo]) -> list[Worker]:
        """Applies the platform's list of workers.

        Args:
          infos: every worker on the list.

        Returns:
          The workers that were added, changed or removed from the list.
        """
        listed = {info.worker_id: info for info in infos}
        changed = []
        for worker_id, info in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = self.workers[worker_id] = Worker(info)
            elif worker.listed and worker.info == info:
                continue
            self._remove_from_indices(worker)
            worker.info, worker.listed = info, True
            changed.append(worker)
        for worker in self.workers.values():
            if worker.listed and worker.worker_id not in listed:
                worker.listed = worker.reported = False
                changed.append(worker)
        for worker in changed:
            self.reindex(worker)
        self.listed_accelerators = sum(i.accelerators for i in listed.values())
        return changed

    def _remove_from_indices(self, worker: Worker) -> None:
        pool = self.pools.get(worker.info.pool)
        if pool is not None:
            for index in vars(pool).values():
                index.discard(worker.worker_id)

    def _drop_if_idle(self, worker: Worker) -> None:
        """Removes a worker that is not listed and holds nothing.

        Cells of the witness count as held until they have been moved away:
        if the worker were removed before and listed again, its `reserved`
        count would lack their sizes.
        """
        if worker.listed or worker.accelerators_by_job or worker.reserved:
            return
        if self.workers.get(worker.worker_id) is worker:
            self._remove_from_indices(worker)
            self.workers.pop(worker.worker_id, None)

    def reindex(self, worker: Worker) -> None:
        """Updates the indices after a change of a worker."""
        if self.workers.get(worker.worker_id) is not worker:
            # The worker was removed, but a reservation may still refer to it.
            return
        pool = self.pools.setdefault(worker.info.pool, PoolCapacity())
        if pool.update(worker):
            self.version += 1
        self._drop_if_idle(worker)

    def get_or_add(self, worker_id: WorkerId) -> Worker:
        """Returns a worker; an unknown one is added, unlisted and empty."""
        worker = self.workers.get(worker_id)
        if worker is None:
            info = WorkerInfo(
                worker_id=worker_id,
                availability_zone=ZoneName(""),
                pool=PoolName(""),
                rack=RackId(""),
                accelerators=0,
                memory_gb=0.0,
            )
            worker = self.workers[worker_id] = Worker(info, listed=False)
        return worker

    def allocate(
        self,
        job_id: JobId,
        member: Member,
        memory_gb: float,
        allocation_kind: AllocationKind,
    ) -> int:
        """Allocates a member's accelerators and memory to a job.

        An accelerator in use passes to the job when its holder releases it.

        Args:
          job_id: the job.
          member: the member's worker and accelerators.
          memory_gb: the member's memory, in GB.
          allocation_kind: the kind under which they are held.

        Returns:
          The number of accelerators that the job has to wait for.
        """
        worker = self.get_or_add(member.worker_id)
        accelerators = worker.accelerators_by_job.setdefault(job_id, [])
        awaited = 0
        for accelerator in member.accelerators:
            accelerators.append(accelerator)
            if accelerator in worker.holders:
                worker.next_holders[accelerator] = job_id
                awaited += 1
            else:
                worker.holders[accelerator] = job_id
                self.held += 1
        worker.memory_used_gb += memory_gb
        worker.adjust_count(allocation_kind, len(member.accelerators))
        self.reindex(worker)
        return awaited

    def change_kind(
        self,
        job_id: JobId,
        worker_ids: Iterable[WorkerId],
        old: AllocationKind,
        new: AllocationKind,
    ) -> None:
        """Changes the kind under which a job holds its accelerators."""
        for worker_id in dict.fromkeys(worker_ids):
            worker = self.get_or_add(worker_id)
            count = len(worker.accelerators_by_job.get(job_id, ()))
            worker.adjust_count(old, -count)
            worker.adjust_count(new, count)
            self.reindex(worker)

    def release(
        self,
        job_id: JobId,
        worker_id: WorkerId,
        memory_gb: float,
        allocation_kind: AllocationKind,
    ) -> list[JobId]:
        """Releases all of a job's accelerators on a worker.

        Args:
          job_id: the job.
          worker_id: the worker.
          memory_gb: the job's memory on this worker, in GB.
          allocation_kind: the kind under which they were held.

        Returns:
          The jobs that now hold these accelerators, one entry for each
          accelerator that passed on.
        """
        worker = self.get_or_add(worker_id)
        accelerators = worker.accelerators_by_job.pop(job_id, [])
        next_holders = []
        for accelerator in accelerators:
            if worker.next_holders.get(accelerator) == job_id:
                del worker.next_holders[accelerator]
                continue
            next_holder = worker.next_holders.pop(accelerator, None)
            if next_holder is None:
                del worker.holders[accelerator]
                self.held -= 1
            else:
                worker.holders[accelerator] = next_holder
                next_holders.append(next_holder)
        worker.memory_used_gb -= memory_gb
        worker.adjust_count(allocation_kind, -len(accelerators))
        self.reindex(worker)
        # On workers kept for a gang, the indices would show no growth.
        self.version += 1
        return next_holders
