"""Workers of one availability zone: who holds what, and indices of room."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator

from pomeloarch_core.gang.capacity import CapacityIndex
from pomeloarch_core.gang.messages import Member, WorkerInfo
from pomeloarch_core.ids import JobId, PoolName, RackId, WorkerId, ZoneName


class Standing(enum.Enum):
    """What a job's accelerators are to others."""

    COVERED = "covered"
    FIXED = "fixed"
    BORROWED = "borrowed"
    BORROWED_URGENT = "borrowed_urgent"
    LEAVING = "leaving"


class Worker:
    """One host: its accelerators, who holds them and who gets them next.

    Attributes:
      info: what the platform's list says of it.
      listed: whether it is on the platform's list.
      reported: whether it has answered under this scheduler's epoch.
      unreachable: whether its tasks' leases ran out without an answer.
      quarantined: whether it is kept from all work but probes.
      fenced: whether its free accelerators are kept for a waiting gang.
      used: the holder of each accelerator in use.
      heirs: who gets an accelerator when its holder lets go of it.
      tenants: the accelerators of each job that holds some.
      memory_used_gb: memory of the tenants' members, in GB.
      fixed: accelerators of tenants that can't be preempted and stand in
        no guaranteed shape of theirs.
      reserved: accelerators that the witness assigns to guaranteed shapes.
      borrowed: accelerators of tenants that urgent work may preempt.
      borrowed_urgent: accelerators of urgent tenants that may be preempted
        for the floor of another class.
    """

    def __init__(self, info: WorkerInfo, *, listed: bool = True) -> None:
        """Makes a worker that holds nothing."""
        self.info = info
        self.listed = listed
        self.reported = False
        self.unreachable = False
        self.quarantined = False
        self.fenced = False
        self.used: dict[int, JobId] = {}
        self.heirs: dict[int, JobId] = {}
        self.tenants: dict[JobId, list[int]] = {}
        self.memory_used_gb = 0.0
        self.fixed = 0
        self.reserved = 0
        self.borrowed = 0
        self.borrowed_urgent = 0

    @property
    def worker_id(self) -> WorkerId:
        """Its id."""
        return self.info.worker_id

    @property
    def usable(self) -> bool:
        """Whether new work may be placed on it."""
        return self.sound and not self.quarantined

    @property
    def sound(self) -> bool:
        """Whether it is listed, stays, and answers."""
        return (
            self.listed
            and self.reported
            and not self.unreachable
            and not self.info.leaving
        )

    @property
    def trusted(self) -> bool:
        """Whether a guaranteed shape may stand on it."""
        return (
            self.listed
            and not self.unreachable
            and not self.info.leaving
            and not self.quarantined
        )

    @property
    def total(self) -> int:
        """Its accelerators."""
        return self.info.accelerators

    @property
    def free(self) -> int:
        """Accelerators that nobody holds."""
        return max(0, self.total - len(self.used))

    @property
    def room(self) -> int:
        """Accelerators for more work that can't be preempted, or shapes."""
        return self.total - self.fixed - self.reserved

    @property
    def memory_free_gb(self) -> float:
        """Memory that no tenant was given, in GB."""
        return self.info.memory_gb - self.memory_used_gb

    def count(self, standing: Standing, delta: int) -> None:
        """Adds to what its tenants hold in a standing."""
        if standing is Standing.FIXED:
            self.fixed += delta
        elif standing is Standing.BORROWED:
            self.borrowed += delta
        elif standing is Standing.BORROWED_URGENT:
            self.borrowed_urgent += delta

    def free_accelerators(self) -> Iterator[int]:
        """Yields the accelerators that nobody holds, lowest first."""
        return (i for i in range(self.total) if i not in self.used)


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
        return heirs
