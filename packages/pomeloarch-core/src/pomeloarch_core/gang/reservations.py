"""A waiting large gang's reservation, so that small jobs don't starve it.

Backfill as in EASY (Lifka, 1995): others may use the reserved workers only
if they are expected to be gone before the gang's start. That start is
worked out once from learnt run times and not put off when others come.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from itertools import islice

from pomeloarch_core.gang.estimates import RunTimes
from pomeloarch_core.gang.fleet import Fleet, PoolCapacity, Standing, Worker
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.placement import Need
from pomeloarch_core.ids import JobId, RackId
from pomeloarch_core.objects.model import Adjacency

RESERVE_AFTER_S = 3.0
REPLAN_S = 30.0
_RACK_CANDIDATES = 8
_WORKER_CANDIDATES = 16
_NEVER = float("inf")


class Reservation:
    """Workers that are kept for one waiting gang.

    Attributes:
      job: the gang.
      workers: the workers.
      start_at: when it is expected to start, in seconds.
      replan_at: when the choice is looked at again, in seconds.
    """

    def __init__(
        self, job: Job, workers: list[Worker], start_at: float, now: float
    ) -> None:
        """Keeps the choice; the workers are fenced by `Reservations`."""
        self.job = job
        self.workers = workers
        self.start_at = start_at
        self.replan_at = now + REPLAN_S


class Reservations:
    """At most one reservation at a time in the zone.

    Args:
      fleet: the workers.
      jobs: all jobs by id.
      run_times: how long jobs run.
    """

    def __init__(
        self, fleet: Fleet, jobs: Mapping[JobId, Job], run_times: RunTimes
    ) -> None:
        """Starts without a reservation."""
        self._fleet = fleet
        self._jobs = jobs
        self._run_times = run_times
        self.current: Reservation | None = None

    def wants(self, job: Job, now: float) -> bool:
        """Returns whether a job that did not fit should get a reservation."""
        large = job.spec.members > 1 or job.spec.accelerators > 1
        waited = now - job.queued_at >= RESERVE_AFTER_S
        return self.current is None and large and waited

    def make(self, job: Job, now: float) -> Reservation | None:
        """Reserves the workers where a gang can start first."""
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        best: tuple[float, list[Worker]] | None = None
        for pool in self._fleet.pools.values():
            for workers in self._candidates(pool, need):
                at = self._start_at(job, need, workers, now)
                if at < _NEVER and (best is None or at < best[0]):
                    best = (at, workers)
        if best is None:
            return None
        self.current = Reservation(job, best[1], best[0], now)
        self._fence(best[1], fenced=True)
        return self.current

    def drop(self) -> None:
        """Lets go of the reservation."""
        if self.current is not None:
            workers = self.current.workers
            self.current = None
            self._fence(workers, fenced=False)

    def check(self, now: float) -> None:
        """Drops a reservation that is served, cancelled or stale."""
        current = self.current
        if current is None:
            return
        waits = not current.job.placement and not current.job.cancelled
        sound = all(worker.usable for worker in current.workers)
        if not waits or not sound or now >= current.replan_at:
            self.drop()

    def admits(self, job: Job, now: float) -> bool:
        """Returns whether a job may use the reserved workers."""
        current = self.current
        if current is None:
            return False
        if current.job is job:
            return True
        return now + self._run_times.estimate(job.spec) <= current.start_at

    @contextmanager
    def opened_for(self, job: Job, now: float) -> Iterator[None]:
        """Offers the reserved workers to a job that may use them."""
        current = self.current
        if current is None or not self.admits(job, now):
            yield
            return
        version = self._fleet.version
        self._fence(current.workers, fenced=False)
        yield
        if self.current is not None:
            self._fence(current.workers, fenced=True)
        self._fleet.version = version

    def _fence(self, workers: Iterable[Worker], *, fenced: bool) -> None:
        for worker in workers:
            worker.fenced = fenced
            self._fleet.touch(worker)

    def _candidates(
        self, pool: PoolCapacity, need: Need
    ) -> Iterator[list[Worker]]:
        """Yields sets of workers, those with most free capacity first."""
        if need.adjacency is Adjacency.HOST:
            for worker_id in islice(pool.free.most_free(), _WORKER_CANDIDATES):
                yield [self._fleet.workers[worker_id]]
            return
        racks = pool.free.all_racks()
        together: list[Worker] = []
        for number, rack in enumerate(racks):
            workers = self._rack(pool, rack)
            if number < _RACK_CANDIDATES:
                yield workers
            if need.adjacency is not Adjacency.ANY:
                if number >= _RACK_CANDIDATES:
                    return
                continue
            together = together + workers
            slots = sum(worker.total // need.size for worker in together)
            if slots >= need.members:
                yield together
                return

    def _rack(self, pool: PoolCapacity, rack: RackId) -> list[Worker]:
        ids = pool.free.rack_workers(rack)
        found = (self._fleet.workers[worker_id] for worker_id in ids)
        return [worker for worker in found if worker.usable]

    def _start_at(
        self, job: Job, need: Need, workers: list[Worker], now: float
    ) -> float:
        """Returns when enough slots are expected on some workers."""
        free = {worker.worker_id: worker.free for worker in workers}
        ends: list[tuple[float, int, Worker]] = []
        for worker in workers:
            for job_id, accelerators in worker.tenants.items():
                at = self._end_of(self._jobs.get(job_id), now)
                ends.append((at, len(accelerators), worker))
        ends.sort(key=lambda end: end[0])
        slots = sum(count // need.size for count in free.values())
        if slots >= need.members:
            return now
        for at, count, worker in ends:
            before = free[worker.worker_id]
            free[worker.worker_id] = before + count
            slots += (before + count) // need.size - before // need.size
            if slots >= need.members:
                return max(at, now)
        return _NEVER

    def _end_of(self, job: Job | None, now: float) -> float:
        if job is None or job.standing is Standing.LEAVING:
            return now
        estimate_s = self._run_times.estimate(job.spec)
        # A job past its estimate is expected to run as long again.
        passed_s = now - job.started_at + job.ran_s
        while estimate_s < passed_s:
            estimate_s = 2.0 * estimate_s + 1.0
        return job.started_at - job.ran_s + estimate_s
