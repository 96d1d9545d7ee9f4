"""A waiting large gang's reservation, so that small jobs don't starve it.

Backfill as in EASY (Lifka, 1995): others may use the reserved workers only
if they are expected to be gone before the gang's start. That start is
worked out once from learnt run times and not put off when others come.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from itertools import islice

import msgspec

from pomeloarch_core.gang.estimates import RunTimes
from pomeloarch_core.gang.fleet import Fleet, PoolCapacity
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.placement import Need
from pomeloarch_core.gang.workers import Standing, Worker
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_core.objects.model import Adjacency

RESERVE_AFTER_S = 3.0
REPLAN_S = 60.0
_RACK_CANDIDATES = 8
_WORKER_CANDIDATES = 16
# At most so many gangs have one, and one for so many workers.
_MOST = 4
_WORKERS_EACH = 64


class Reservation:
    """Workers that are kept for one waiting gang.

    Attributes:
      job: the gang.
      workers: the workers.
      start_at: when it is expected to start, in seconds.
      replan_at: when the choice is made anew, in seconds.
    """

    def __init__(
        self, job: Job, workers: list[Worker], start_at: float
    ) -> None:
        """Keeps the choice; the workers are fenced by `Reservations`."""
        self.job = job
        self.workers = workers
        self.start_at = start_at
        self.replan_at = start_at + REPLAN_S


class _Choice(msgspec.Struct, frozen=True):
    """Workers for a gang, and when they are expected to be free."""

    at: float
    workers: list[Worker]


class Reservations:
    """A few reservations at a time, for the gangs that come first.

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
        self._by_job: dict[JobId, Reservation] = {}

    def of(self, job: Job) -> Reservation | None:
        """Returns the reservation of a gang."""
        return self._by_job.get(job.job_id)

    def wants(self, job: Job, now: float) -> bool:
        """Returns whether a job that did not fit should get a reservation."""
        large = job.spec.members > 1 or job.spec.accelerators > 1
        if not large or now - job.queued_at < RESERVE_AFTER_S:
            return False
        if job.job_id in self._by_job:
            return False
        workers = len(self._fleet.workers)
        return len(self._by_job) < min(_MOST, 1 + workers // _WORKERS_EACH)

    def make(self, job: Job, now: float) -> Reservation | None:
        """Reserves the workers where a gang can start first."""
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        best: _Choice | None = None
        for pool in self._fleet.pools.values():
            for workers in self._candidates(pool, need):
                found = self._choose(need, workers, now)
                if found and (best is None or found.at < best.at):
                    best = found
        if best is None:
            return None
        made = Reservation(job, best.workers, best.at)
        self._by_job[job.job_id] = made
        self._fence(best.workers, fenced=True)
        return made

    def check(self, now: float) -> None:
        """Drops reservations that are served, cancelled or stale."""
        for made in list(self._by_job.values()):
            waits = not made.job.placement and not made.job.cancelled
            sound = all(worker.usable for worker in made.workers)
            if not waits or not sound or now >= made.replan_at:
                del self._by_job[made.job.job_id]
                self._fence(made.workers, fenced=False)

    def admitting(self, job: Job, now: float) -> list[Reservation]:
        """Returns the reservations whose workers a job may use."""
        if not self._by_job:
            return []
        end = now + self._run_times.estimate(job.spec)
        return [
            made
            for made in self._by_job.values()
            if made.job is job or end <= made.start_at
        ]

    @contextmanager
    def opened(self, admitting: list[Reservation]) -> Iterator[None]:
        """Offers reserved workers to a job that may use them."""
        version = self._fleet.version
        for made in admitting:
            self._fence(made.workers, fenced=False)
        yield
        for made in admitting:
            self._fence(made.workers, fenced=True)
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
            ids = islice(pool.free.most_free(), _WORKER_CANDIDATES)
            for worker in self._open(ids):
                yield [worker]
            return
        together: list[Worker] = []
        for number, rack in enumerate(pool.free.all_racks()):
            workers = self._open(pool.free.rack_workers(rack))
            if number < _RACK_CANDIDATES:
                yield workers
            elif need.adjacency is not Adjacency.ANY:
                return
            together = together + workers
            slots = sum(worker.total // need.size for worker in together)
            if need.adjacency is Adjacency.ANY and slots >= need.members:
                yield together
                return

    def _open(self, ids: Iterable[WorkerId]) -> list[Worker]:
        found = (self._fleet.workers[worker_id] for worker_id in ids)
        return [w for w in found if w.usable and not w.fenced]

    def _choose(
        self, need: Need, workers: list[Worker], now: float
    ) -> _Choice | None:
        """Chooses the workers on which enough slots are expected first."""
        free = {worker.worker_id: worker.free for worker in workers}
        ends: list[tuple[float, WorkerId, int]] = [(now, WorkerId(""), 0)]
        for worker in workers:
            for job_id, accelerators in worker.tenants.items():
                at = self._end_of(self._jobs.get(job_id), now)
                ends.append((at, worker.worker_id, len(accelerators)))
        ends.sort(key=lambda end: end[0])
        slots = sum(count // need.size for count in free.values())
        for at, worker_id, count in ends:
            if count:
                before = free[worker_id]
                free[worker_id] = before + count
                slots += (before + count) // need.size - before // need.size
            if slots >= need.members:
                chosen = _fewest(need, workers, free)
                return _Choice(max(at, now), chosen)
        return None

    def _end_of(self, job: Job | None, now: float) -> float:
        if job is None or job.standing is Standing.LEAVING:
            return now
        estimate_s = self._run_times.estimate(job.spec)
        # A job past its estimate is expected to run as long again.
        passed_s = now - job.started_at + job.ran_s
        while estimate_s < passed_s:
            estimate_s = 2.0 * estimate_s + 1.0
        return job.started_at - job.ran_s + estimate_s


def _fewest(
    need: Need, workers: list[Worker], free: Mapping[WorkerId, int]
) -> list[Worker]:
    """Returns the fewest workers that hold a whole gang together."""
    chosen = []
    missing = need.members
    for worker in sorted(workers, key=lambda w: -free[w.worker_id]):
        if missing <= 0:
            break
        chosen.append(worker)
        missing -= free[worker.worker_id] // need.size
    return chosen
