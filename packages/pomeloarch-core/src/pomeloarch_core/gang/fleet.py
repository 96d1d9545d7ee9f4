"""Workers of one availability zone: who holds what, and indices of room."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.messages import Member, WorkerInfo
from pomeloarch_core.gang.workers import Standing, Worker
from pomeloarch_core.ids import JobId, PoolName, RackId, WorkerId, ZoneName


class PoolCapacity:
    """The indices of one worker pool.

    Attributes:
      free: accelerators that nobody holds.
      unclaimed: free ones outside the witness, for any work.
      room: accelerators to which a guaranteed shape could be assigned.
      evictable: free or held by work that urgent work may preempt.
      evictable_unclaimed: evictable ones outside the witness.
      yielding: free or held by any work that may be preempted, also urgent.
      yielding_unclaimed: yielding ones outside the witness.
    """

    def __init__(self) -> None:
        """Makes empty indices."""
        self.free = CapacityIndex()
        self.unclaimed = CapacityIndex()
        self.room = CapacityIndex()
        self.evictable = CapacityIndex()
        self.evictable_unclaimed = CapacityIndex()
        self.yielding = CapacityIndex()
        self.yielding_unclaimed = CapacityIndex()

    def update(self, worker: Worker) -> bool:
        """Takes a worker's values in; returns whether any of them grew."""
        room = max(0, worker.room)
        free = worker.free if worker.usable else 0
        evictable = free + (worker.borrowed if worker.usable else 0)
        offered = 0 if worker.fenced else free
        yielding = 0 if worker.fenced else evictable + worker.borrowed_urgent
        yielding = yielding if worker.usable else 0
        values = (
            (self.free, offered),
            (self.unclaimed, min(offered, room)),
            (self.room, room if worker.trusted else 0),
            (self.evictable, evictable),
            (self.evictable_unclaimed, min(evictable, room)),
            (self.yielding, yielding),
            (self.yielding_unclaimed, min(yielding, room)),
        )
        key, rack = worker.worker_id, worker.info.rack
        grew = [index.set(key, rack, value) for index, value in values]
        return any(grew)


class Fleet:
    """All workers of a zone that are listed or still hold something.

    Attributes:
      workers: each worker by its id.
      pools: the indices of each pool.
      version: grows whenever some capacity has become available.
      held: accelerators in use.
    """

    def __init__(self) -> None:
        """Makes an empty fleet."""
        self.workers: dict[WorkerId, Worker] = {}
        self.pools: dict[PoolName, PoolCapacity] = {}
        self.version = 0
        self.held = 0
        self.listed_accelerators = 0

    def replace(self, infos: Iterable[WorkerInfo]) -> list[Worker]:
        """Takes the platform's list in.

        Args:
          infos: every worker on the list.

        Returns:
          The workers that changed, went or came.
        """
        listed = {info.worker_id: info for info in infos}
        changed = []
        for worker_id, info in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None:
                worker = self.workers[worker_id] = Worker(info)
            elif worker.listed and worker.info == info:
                continue
            self._forget_place(worker)
            worker.info, worker.listed = info, True
            changed.append(worker)
        for worker in self.workers.values():
            if worker.listed and worker.worker_id not in listed:
                worker.listed = worker.reported = False
                changed.append(worker)
        for worker in changed:
            self.touch(worker)
        self.listed_accelerators = sum(i.accelerators for i in listed.values())
        return changed

    def _forget_place(self, worker: Worker) -> None:
        pool = self.pools.get(worker.info.pool)
        if pool is not None:
            for index in vars(pool).values():
                index.discard(worker.worker_id)

    def _drop_if_idle(self, worker: Worker) -> None:
        """Forgets a worker that is off the list and holds nothing.

        Cells of the witness count as held until they have been moved away:
        a worker forgotten before would come back with their sizes missing.
        """
        if worker.listed or worker.tenants or worker.reserved:
            return
        if self.workers.get(worker.worker_id) is worker:
            self._forget_place(worker)
            self.workers.pop(worker.worker_id, None)

    def touch(self, worker: Worker) -> None:
        """Brings the indices up to date with a worker that changed."""
        if self.workers.get(worker.worker_id) is not worker:
            # It is gone; a reservation may still hold on to it.
            return
        pool = self.pools.setdefault(worker.info.pool, PoolCapacity())
        if pool.update(worker):
            self.version += 1
        self._drop_if_idle(worker)

    def known(self, worker_id: WorkerId) -> Worker:
        """Returns a worker, an unlisted one without room if unknown."""
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

    def hold(
        self,
        job_id: JobId,
        member: Member,
        memory_gb: float,
        standing: Standing,
    ) -> int:
        """Gives a member's accelerators to a job.

        An accelerator in use goes to the job when its holder lets go.

        Args:
          job_id: the job.
          member: the member's place.
          memory_gb: the member's memory, in GB.
          standing: what its accelerators are to others.

        Returns:
          How many accelerators the job has to wait for.
        """
        worker = self.known(member.worker_id)
        mine = worker.tenants.setdefault(job_id, [])
        waiting = 0
        for accelerator in member.accelerators:
            mine.append(accelerator)
            if accelerator in worker.used:
                worker.heirs[accelerator] = job_id
                waiting += 1
            else:
                worker.used[accelerator] = job_id
                self.held += 1
        worker.memory_used_gb += memory_gb
        worker.count(standing, len(member.accelerators))
        self.touch(worker)
        return waiting

    def restand(
        self,
        job_id: JobId,
        worker_ids: Iterable[WorkerId],
        old: Standing,
        new: Standing,
    ) -> None:
        """Changes what a job's accelerators are to others."""
        for worker_id in dict.fromkeys(worker_ids):
            worker = self.known(worker_id)
            count = len(worker.tenants.get(job_id, ()))
            worker.count(old, -count)
            worker.count(new, count)
            self.touch(worker)

    def release(
        self,
        job_id: JobId,
        worker_id: WorkerId,
        memory_gb: float,
        standing: Standing,
    ) -> list[JobId]:
        """Takes all of a job's accelerators on a worker back.

        Args:
          job_id: the job.
          worker_id: the worker.
          memory_gb: the job's memory on this worker, in GB.
          standing: what its accelerators were to others.

        Returns:
          The heirs of these accelerators, one entry for each.
        """
        worker = self.known(worker_id)
        mine = worker.tenants.pop(job_id, [])
        heirs = []
        for accelerator in mine:
            if worker.heirs.get(accelerator) == job_id:
                del worker.heirs[accelerator]
                continue
            heir = worker.heirs.pop(accelerator, None)
            if heir is None:
                del worker.used[accelerator]
                self.held -= 1
            else:
                worker.used[accelerator] = heir
                heirs.append(heir)
        worker.memory_used_gb -= memory_gb
        worker.count(standing, -len(mine))
        self.touch(worker)
        # The indices show no growth on workers that are kept for a gang.
        self.version += 1
        return heirs
