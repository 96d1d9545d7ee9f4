"""Reservations of workers for waiting gangs that small jobs would starve.

Backfilling works as in EASY (Lifka, 1995): other jobs may use the reserved
workers only if they are expected to end before the gang's start. The start
is computed once from observed run times and is not postponed when other jobs
arrive.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from itertools import islice

import msgspec

from pomeloarch_core.gang.estimates import RunTimeEstimator
from pomeloarch_core.gang.fleet import Fleet, PoolCapacity
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.placement import Need
from pomeloarch_core.gang.workers import AllocationKind, Worker
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_core.objects.model import Adjacency

# How long a gang waits before it may get a reservation.
RESERVE_AFTER_S = 3.0
# How long after the gang's expected start a reservation becomes stale.
STALE_AFTER_S = 60.0
# Racks and workers that are considered for one reservation.
_MAX_RACK_CANDIDATES = 8
_MAX_WORKER_CANDIDATES = 16
# The largest number of reservations. In a small zone there are fewer: one, and
# another one for each `_WORKERS_PER_RESERVATION` workers.
_MAX_RESERVATIONS = 4
_WORKERS_PER_RESERVATION = 64


class Reservation:
    """Workers that are kept for one waiting gang.

    Attributes:
      job: the gang.
      workers: the reserved workers.
      start_at: when the gang is expected to start, in seconds.
      stale_at: when the reservation becomes stale, in seconds.
    """

    def __init__(
        self, job: Job, workers: list[Worker], start_at: float
    ) -> None:
        """Creates a reservation; `Reservations` marks its workers as kept."""
        self.job = job
        self.workers = workers
        self.start_at = start_at
        self.stale_at = start_at + STALE_AFTER_S


class _Choice(msgspec.Struct, frozen=True):
    """Workers for a gang and when they are expected to be free.

    Attributes:
      start_at: when the gang could start there, in seconds.
      workers: the workers.
    """

    start_at: float
    workers: list[Worker]


class Reservations:
    """A limited number of reservations, made in the order of service.

    Args:
      fleet: the workers.
      jobs: all jobs by id.
      run_times: estimates how long jobs run.
    """

    def __init__(
        self,
        fleet: Fleet,
        jobs: Mapping[JobId, Job],
        run_times: RunTimeEstimator,
    ) -> None:
        """Creates an empty set of reservations."""
        self._fleet = fleet
        self._jobs = jobs
        self._run_times = run_times
        self._by_job: dict[JobId, Reservation] = {}

    def find(self, job: Job) -> Reservation | None:
        """Returns the reservation of a gang, if it has one."""
        return self._by_job.get(job.job_id)

    def should_reserve(self, job: Job, now: float) -> bool:
        """Returns whether a waiting job should get a reservation now."""
        large = job.spec.members > 1 or job.spec.accelerators > 1
        if not large or now - job.queued_at < RESERVE_AFTER_S:
            return False
        if job.job_id in self._by_job:
            return False
        workers = len(self._fleet.workers)
        return len(self._by_job) < min(
            _MAX_RESERVATIONS, 1 + workers // _WORKERS_PER_RESERVATION
        )

    def reserve(self, job: Job, now: float) -> Reservation | None:
        """Reserves the workers on which a gang is expected to start earliest.

        Returns:
          The reservation, or None if no set of workers can take the gang.
        """
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        best: _Choice | None = None
        for pool in self._fleet.pools.values():
            for workers in self._candidates(pool, need):
                found = self._choose(need, workers, now)
                if found and (best is None or found.start_at < best.start_at):
                    best = found
        if best is None:
            return None
        reservation = Reservation(job, best.workers, best.start_at)
        self._by_job[job.job_id] = reservation
        self._mark_workers(best.workers, kept_for_gang=True)
        return reservation

    def drop_stale(self, now: float) -> None:
        """Drops reservations that are of no more use.

        Their gang was placed or cancelled, a worker became unusable, or the
        expected start passed long ago.
        """
        for reservation in list(self._by_job.values()):
            is_waiting = (
                not reservation.job.placement and not reservation.job.cancelled
            )
            all_usable = all(worker.is_usable for worker in reservation.workers)
            if not is_waiting or not all_usable or now >= reservation.stale_at:
                del self._by_job[reservation.job.job_id]
                self._mark_workers(reservation.workers, kept_for_gang=False)

    def usable_by(self, job: Job, now: float) -> list[Reservation]:
        """Returns the reservations whose workers a job may use.

        These are its own, and those that the job is expected not to delay.
        """
        if not self._by_job:
            return []
        end = now + self._run_times.estimate(job.spec)
        return [
            reservation
            for reservation in self._by_job.values()
            if reservation.job is job or end <= reservation.start_at
        ]

    @contextmanager
    def opened(self, reservations: list[Reservation]) -> Iterator[None]:
        """Offers reserved workers to a job for the time of a `with` block.

        The fleet's version is restored, since no capacity was gained.
        """
        version = self._fleet.version
        for reservation in reservations:
            self._mark_workers(reservation.workers, kept_for_gang=False)
        yield
        for reservation in reservations:
            self._mark_workers(reservation.workers, kept_for_gang=True)
        self._fleet.version = version

    def _mark_workers(
        self, workers: Iterable[Worker], *, kept_for_gang: bool
    ) -> None:
        for worker in workers:
            worker.kept_for_gang = kept_for_gang
            self._fleet.reindex(worker)

    def _candidates(
        self, pool: PoolCapacity, need: Need
    ) -> Iterator[list[Worker]]:
        """Yields sets of workers to choose from, those with most free first."""
        if need.adjacency is Adjacency.HOST:
            ids = islice(
                pool.free.workers_largest_first(), _MAX_WORKER_CANDIDATES
            )
            for worker in self._available(ids):
                yield [worker]
            return
        combined: list[Worker] = []
        for number, rack in enumerate(pool.free.racks_most_free_first()):
            workers = self._available(pool.free.rack_workers(rack))
            if number < _MAX_RACK_CANDIDATES:
                yield workers
            elif need.adjacency is not Adjacency.ANY:
                return
            combined = combined + workers
            slots = sum(worker.total // need.size for worker in combined)
            if need.adjacency is Adjacency.ANY and slots >= need.members:
                yield combined
                return

    def _available(self, ids: Iterable[WorkerId]) -> list[Worker]:
        found = (self._fleet.workers[worker_id] for worker_id in ids)
        return [w for w in found if w.is_usable and not w.kept_for_gang]

    def _choose(
        self, need: Need, workers: list[Worker], now: float
    ) -> _Choice | None:
        """Chooses those workers on which enough slots become free earliest."""
        free = {worker.worker_id: worker.free for worker in workers}
        ends: list[tuple[float, WorkerId, int]] = [(now, WorkerId(""), 0)]
        for worker in workers:
            for job_id, accelerators in worker.accelerators_by_job.items():
                at = self._expected_end(self._jobs.get(job_id), now)
                ends.append((at, worker.worker_id, len(accelerators)))
        ends.sort(key=lambda end: end[0])
        slots = sum(count // need.size for count in free.values())
        for at, worker_id, count in ends:
            if count:
                before = free[worker_id]
                free[worker_id] = before + count
                slots += (before + count) // need.size - before // need.size
            if slots >= need.members:
                chosen = _fewest_workers(need, workers, free)
                return _Choice(max(at, now), chosen)
        return None

    def _expected_end(self, job: Job | None, now: float) -> float:
        if job is None or job.allocation_kind is AllocationKind.LEAVING:
            return now
        estimate_s = self._run_times.estimate(job.spec)
        # An estimate that the job has outrun is doubled until it is longer than
        # the job has run.
        elapsed_s = now - job.started_at + job.ran_s
        while estimate_s < elapsed_s:
            estimate_s = 2.0 * estimate_s + 1.0
        return job.started_at - job.ran_s + estimate_s


def _fewest_workers(
    need: Need, workers: list[Worker], free: Mapping[WorkerId, int]
) -> list[Worker]:
    """Returns the smallest set of workers that holds a whole gang."""
    chosen = []
    missing = need.members
    for worker in sorted(workers, key=lambda w: -free[w.worker_id]):
        if missing <= 0:
            break
        chosen.append(worker)
        missing -= free[worker.worker_id] // need.size
    return chosen
