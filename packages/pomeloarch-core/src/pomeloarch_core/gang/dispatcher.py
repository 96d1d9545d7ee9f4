"""Passes over the queue that decide which waiting jobs are placed now."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import islice

from pomeloarch_core.gang.allocations import Allocations
from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.compaction import Compaction
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.placement import Slots, assign_free_accelerators
from pomeloarch_core.gang.placer import Placement, Placer
from pomeloarch_core.gang.preemption import URGENT_GRACE_S
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.reservations import Reservations
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.gang.workers import AllocationKind, Worker
from pomeloarch_core.ids import JobId

# Searches for a placement in one pass.
_MAX_TRIES_PER_PASS = 24
# Waiting jobs looked at in one pass.
_MAX_JOBS_PER_PASS = 512
# Needs that are remembered as not placeable; all are dropped beyond this.
_MAX_BLOCKED_KEYS = 10_000
# Waiting jobs looked at for one probe of a quarantined worker.
_MAX_PROBE_CANDIDATES = 64
# Interval between passes while nothing changes.
_PASS_INTERVAL_S = 1.0


class Dispatcher:
    """Places waiting jobs, with a bounded amount of work per pass.

    Args:
      fleet: the workers.
      witness: the assignment of guaranteed shapes to workers.
      shares: accelerators held by organisation, team, caller and class.
      queue: the waiting jobs.
      placer: finds a placement for one job.
      allocations: allocates accelerators to placed jobs.
      attempts: begins and ends attempts.
      records: tells whether a job's row is up to date.
      jobs: all jobs by id.
      reservations: workers that are kept for waiting gangs.

    Attributes:
      dirty: whether another pass is needed although nothing has changed.
    """

    def __init__(
        self,
        fleet: Fleet,
        witness: Witness,
        shares: Shares,
        queue: JobQueue,
        placer: Placer,
        allocations: Allocations,
        attempts: Attempts,
        records: Records,
        jobs: Mapping[JobId, Job],
        reservations: Reservations,
    ) -> None:
        """Creates a dispatcher that has not made a pass yet."""
        self._fleet = fleet
        self._witness = witness
        self._shares = shares
        self._queue = queue
        self._placer = placer
        self._compaction = Compaction(fleet, shares, jobs)
        self._allocations = allocations
        self._attempts = attempts
        self._records = records
        self._jobs = jobs
        self._reservations = reservations
        # The versions of fleet and shares at which each need found no place.
        self._blocked: dict[object, tuple[int, int]] = {}
        self._tries_left = 0
        self._jobs_left = 0
        # The number of jobs at the head of the queue that earlier passes have
        # tried.
        self._skip = 0
        self._last_state = (-1, -1, -1, -1)
        self.dirty = False

    def reset(self) -> None:
        """Forgets failed tries, so that a changed configuration is applied."""
        self._blocked.clear()
        self.dirty = True

    def run(self, now: float) -> None:
        """Places waiting jobs.

        While nothing changes, there is one pass in each `_PASS_INTERVAL_S`.
        Sets `dirty` if the limit of tries ended the pass early.
        """
        state = (
            self._fleet.version,
            self._shares.version,
            self._queue.version,
            int(now / _PASS_INTERVAL_S),
        )
        if state == self._last_state and not self.dirty:
            return
        self.dirty = False
        self._reservations.drop_stale(now)
        self._tries_left, self._jobs_left = (
            _MAX_TRIES_PER_PASS,
            _MAX_JOBS_PER_PASS,
        )
        while self._place_one(now):
            self._skip = 0
        if self._tries_left > 0 and self._jobs_left > 0:
            self._skip = 0
        else:
            self.dirty = self._tries_left <= 0
            self._skip += _MAX_JOBS_PER_PASS - max(0, self._jobs_left)
        self._last_state = (
            self._fleet.version,
            self._shares.version,
            self._queue.version,
            state[3],
        )

    def _place_one(self, now: float) -> bool:
        for job in self._jobs_of_owners():
            if self._exhausts_budget():
                return False
            if self._may_try(job, now) and self._try_place_in_guarantees(
                job, now
            ):
                return True
        for number, job in enumerate(self._queue.in_service_order()):
            if number < self._skip:
                continue
            if self._exhausts_budget():
                return False
            if self._may_try(job, now) and self._try_place(job, now):
                return True
        return False

    def _exhausts_budget(self) -> bool:
        """Counts one more job; returns whether a limit of the pass is hit."""
        self._jobs_left -= 1
        return self._jobs_left <= 0 or self._tries_left <= 0

    def _jobs_of_owners(self) -> Iterator[Job]:
        for owner in self._witness.owners():
            if self._queue.has_jobs_of(owner):
                yield from self._queue.jobs_of(owner)

    def _may_try(self, job: Job, now: float) -> bool:
        return (
            job.phase is Phase.QUEUED
            and job.not_before <= now
            and self._records.is_up_to_date(job)
        )

    def _try_place_in_guarantees(self, job: Job, now: float) -> bool:
        key = ("claim", job.spec.organisation, *self._need_key(job))
        if self._is_blocked(key, job, now):
            return False
        if self._shares.team_quota_left(job) < job.size:
            job.waits_for = "its team's quota"
            return False
        self._tries_left -= 1
        placement = self._placer.place_in_guarantees(job)
        if placement is None:
            self._block(key, job)
            return False
        self._carry_out(job, placement, now)
        return True

    def _try_place(self, job: Job, now: float) -> bool:
        if self._shares.quota_left(job) < job.size:
            job.waits_for = "its quota"
            return False
        usable_reservations = self._reservations.usable_by(job, now)
        names = tuple(
            reservation.job.job_id for reservation in usable_reservations
        )
        key = (names, job.spec.job_class, *self._need_key(job))
        should_reserve = self._reservations.should_reserve(job, now)
        if self._is_blocked(key, job, now) and not should_reserve:
            return False
        self._tries_left -= 1
        with self._reservations.opened(usable_reservations):
            placement = self._placer.place(job, now)
        if placement is None:
            placement = self._compact(job, now)
        if placement is None:
            job.waits_for = "accelerators"
            self._block(key, job)
            return False
        self._carry_out(job, placement, now)
        return True

    def _compact(self, job: Job, now: float) -> Placement | None:
        """Reserves workers for a gang and tries to start it by moving jobs."""
        if self._reservations.should_reserve(job, now):
            self._reservations.reserve(job, now)
        reservation = self._reservations.find(job)
        if reservation is None:
            return None
        job.expected_start_at = reservation.start_at
        return self._compaction.plan(
            job, reservation.workers, reservation.start_at, now
        )

    def probe(self, worker: Worker, now: float) -> Job | None:
        """Places one job on a quarantined worker to test that worker.

        The job may fail there, so only an idempotent, preemptible job of one
        member is used.

        Returns:
          The job, or None if no such job waits.
        """
        for job in islice(
            self._queue.in_service_order(), _MAX_PROBE_CANDIDATES
        ):
            safe = job.preemptible and job.spec.members == 1
            fits = (
                job.spec.accelerators <= worker.free
                and job.spec.memory_gb <= worker.memory_free_gb
                and self._shares.quota_left(job) >= job.size
            )
            if safe and fits and self._may_try(job, now):
                slots = [Slots(worker.worker_id, 1)]
                members = assign_free_accelerators(
                    self._fleet, slots, job.spec.accelerators
                )
                self._carry_out(
                    job, Placement(members, job.uncovered_kind), now
                )
                return job
        return None

    def _need_key(self, job: Job) -> tuple[object, ...]:
        spec = job.spec
        return (
            spec.members,
            spec.accelerators,
            spec.memory_gb,
            job.job_class.adjacency,
            job.preemptible,
        )

    def _is_blocked(self, key: object, job: Job, now: float) -> bool:
        """Returns whether this need failed since capacity last grew."""
        if job.failed_workers:
            return False
        blocked_at = self._blocked.get(key)
        if blocked_at is None or blocked_at[0] != self._fleet.version:
            return False
        if self._placer.may_evict_now(job, now):
            # Jobs of a class below its floor are tried in each pass.
            return job.urgent and blocked_at[1] == self._shares.version
        return True

    def _block(self, key: object, job: Job) -> None:
        if len(self._blocked) > _MAX_BLOCKED_KEYS:
            self._blocked.clear()
        if not job.failed_workers:
            self._blocked[key] = (self._fleet.version, self._shares.version)

    def _carry_out(self, job: Job, placement: Placement, now: float) -> None:
        self._queue.remove(job)
        job.waits_for = ""
        cells = tuple(i.cell_name(cell) for i, cell in placement.cells)
        job.cells = cells
        self._allocations.allocate(job, placement)
        cut_grace = (
            job.urgent
            and placement.allocation_kind is not AllocationKind.COVERED
        )
        for victim in placement.victims:
            self.evict(self._jobs[victim], job, now, cut_grace=cut_grace)
        if not job.awaited_accelerators:
            self._attempts.begin(job, now)

    def evict(
        self, victim: Job, preemptor: Job, now: float, *, cut_grace: bool
    ) -> None:
        """Evicts a job in favour of another one.

        Args:
          victim: the job to evict.
          preemptor: the job that gets its accelerators.
          now: the current time, in seconds.
          cut_grace: whether the victim's grace is limited to
            `URGENT_GRACE_S` because the preemptor is urgent.
        """
        reason = (
            f"preempted for {preemptor.job_id} of {preemptor.spec.organisation}"
        )
        grace_s = victim.job_class.grace_s
        if cut_grace:
            grace_s = min(grace_s, URGENT_GRACE_S)
        self._allocations.change_kind(victim, AllocationKind.LEAVING)
        if victim.phase is Phase.CHECKPOINTING:
            self._attempts.shorten_grace(victim, grace_s, now)
        elif victim.phase is not Phase.ENDING:
            self._attempts.checkpoint(victim, grace_s, reason, now)
