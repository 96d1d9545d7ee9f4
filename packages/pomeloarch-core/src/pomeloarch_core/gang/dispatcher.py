"""One pass over the queue: which waiting jobs are placed now."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from itertools import islice

from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.compaction import Compaction
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.holdings import Holdings
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.placement import Slots, free_members
from pomeloarch_core.gang.placer import Place, Placer
from pomeloarch_core.gang.preemption import URGENT_GRACE_S
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.reservations import Reservations
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.gang.workers import Standing, Worker
from pomeloarch_core.ids import JobId

_TRIES_PER_PASS = 24
_SEEN_PER_PASS = 512
_BLOCKED_KEYS = 10_000
_PROBE_CANDIDATES = 64
# Without any change, the queue is looked at again so often.
_PASS_EVERY_S = 1.0


class Dispatcher:
    """Places waiting jobs within a bound of work for each pass.

    Args:
      fleet: the workers.
      witness: where the guarantees stand.
      shares: who holds how much.
      queue: the waiting jobs.
      placer: finds places.
      holdings: books them.
      attempts: begins and ends attempts.
      records: whether a job's row is up to date.
      jobs: all jobs by id.
      reservations: workers that are kept for a waiting gang.
    """

    def __init__(
        self,
        fleet: Fleet,
        witness: Witness,
        shares: Shares,
        queue: JobQueue,
        placer: Placer,
        holdings: Holdings,
        attempts: Attempts,
        records: Records,
        jobs: Mapping[JobId, Job],
        reservations: Reservations,
    ) -> None:
        """Keeps the parts that a pass needs."""
        self._fleet = fleet
        self._witness = witness
        self._shares = shares
        self._queue = queue
        self._placer = placer
        self._compaction = Compaction(fleet, shares, jobs)
        self._holdings = holdings
        self._attempts = attempts
        self._records = records
        self._jobs = jobs
        self._reservations = reservations
        self._blocked: dict[object, tuple[int, int]] = {}
        self._tries = 0
        self._seen = 0
        self._skip = 0
        self._last_state = (-1, -1, -1, -1)
        self.dirty = False

    def reset(self) -> None:
        """Has every job tried again, after a change of configuration."""
        self._blocked.clear()
        self.dirty = True

    def run(self, now: float) -> None:
        """Places what can be placed; `dirty` says whether to go on."""
        state = (
            self._fleet.version,
            self._shares.version,
            self._queue.version,
            int(now / _PASS_EVERY_S),
        )
        if state == self._last_state and not self.dirty:
            return
        self.dirty = False
        self._reservations.check(now)
        self._tries, self._seen = _TRIES_PER_PASS, _SEEN_PER_PASS
        while self._place_one(now):
            self._skip = 0
        if self._tries > 0 and self._seen > 0:
            self._skip = 0
        else:
            self.dirty = self._tries <= 0
            self._skip += _SEEN_PER_PASS - max(0, self._seen)
        self._last_state = (
            self._fleet.version,
            self._shares.version,
            self._queue.version,
            state[3],
        )

    def _place_one(self, now: float) -> bool:
        for job in self._claimants():
            if self._out_of_bounds():
                return False
            if self._may_try(job, now) and self._try_claim(job, now):
                return True
        for number, job in enumerate(self._queue.in_order()):
            if number < self._skip:
                continue
            if self._out_of_bounds():
                return False
            if self._may_try(job, now) and self._try_place(job, now):
                return True
        return False

    def _out_of_bounds(self) -> bool:
        self._seen -= 1
        return self._seen <= 0 or self._tries <= 0

    def _claimants(self) -> Iterator[Job]:
        for owner in self._witness.owners():
            if self._queue.waits(owner):
                yield from self._queue.of_organisation(owner)

    def _may_try(self, job: Job, now: float) -> bool:
        return (
            job.phase is Phase.QUEUED
            and job.not_before <= now
            and self._records.settled(job)
        )

    # ---- the ways of placing a job

    def _try_claim(self, job: Job, now: float) -> bool:
        key = ("claim", job.spec.organisation, *self._shape_key(job))
        if self._is_blocked(key, job, now):
            return False
        if self._shares.team_quota_left(job) < job.size:
            job.waits_for = "its team's quota"
            return False
        self._tries -= 1
        place = self._placer.claim(job)
        if place is None:
            self._block(key, job)
            return False
        self._take(job, place, now)
        return True

    def _try_place(self, job: Job, now: float) -> bool:
        if self._shares.quota_left(job) < job.size:
            job.waits_for = "its quota"
            return False
        admitting = self._reservations.admitting(job, now)
        names = tuple(made.job.job_id for made in admitting)
        key = (names, job.spec.job_class, *self._shape_key(job))
        wanted = self._reservations.wants(job, now)
        if self._is_blocked(key, job, now) and not wanted:
            return False
        self._tries -= 1
        with self._reservations.opened(admitting):
            place = self._placer.place(job, now)
        if place is None:
            place = self._compact(job, now)
        if place is None:
            job.waits_for = "accelerators"
            self._block(key, job)
            return False
        self._take(job, place, now)
        return True

    def _compact(self, job: Job, now: float) -> Place | None:
        """Reserves workers for a large gang, or makes it start earlier."""
        if self._reservations.wants(job, now):
            self._reservations.make(job, now)
        made = self._reservations.of(job)
        if made is None:
            return None
        job.expected_at = made.start_at
        return self._compaction.plan(job, made.workers, made.start_at, now)

    def probe(self, worker: Worker, now: float) -> Job | None:
        """Places safe work on a quarantined worker: it may be lost.

        Returns:
          The job, if any waits that is small, idempotent and preemptible.
        """
        for job in islice(self._queue.in_order(), _PROBE_CANDIDATES):
            safe = job.preemptible and job.spec.members == 1
            fits = (
                job.spec.accelerators <= worker.free
                and job.spec.memory_gb <= worker.memory_free_gb
                and self._shares.quota_left(job) >= job.size
            )
            if safe and fits and self._may_try(job, now):
                slots = [Slots(worker.worker_id, 1)]
                members = free_members(
                    self._fleet, slots, job.spec.accelerators
                )
                self._take(job, Place(members, job.borrowing), now)
                return job
        return None

    def _shape_key(self, job: Job) -> tuple[object, ...]:
        spec = job.spec
        return (
            spec.members,
            spec.accelerators,
            spec.memory_gb,
            job.job_class.adjacency,
            job.preemptible,
        )

    def _is_blocked(self, key: object, job: Job, now: float) -> bool:
        """Whether the same need failed since capacity last came up."""
        if job.failed_on:
            return False
        before = self._blocked.get(key)
        if before is None or before[0] != self._fleet.version:
            return False
        if self._placer.may_evict_now(job, now):
            # A class below its floor is tried in each pass.
            return job.urgent and before[1] == self._shares.version
        return True

    def _block(self, key: object, job: Job) -> None:
        if len(self._blocked) > _BLOCKED_KEYS:
            self._blocked.clear()
        if not job.failed_on:
            self._blocked[key] = (self._fleet.version, self._shares.version)

    # ---- carrying a place out

    def _take(self, job: Job, place: Place, now: float) -> None:
        self._queue.remove(job)
        job.waits_for = ""
        cells = tuple(i.cell_name(cell) for i, cell in place.cells)
        job.cells = cells
        self._holdings.take(job, place)
        hurry = job.urgent and place.standing is not Standing.COVERED
        for victim in place.victims:
            self.evict(self._jobs[victim], job, now, hurry=hurry)
        if not job.awaited:
            self._attempts.begin(job, now)

    def evict(self, victim: Job, heir: Job, now: float, *, hurry: bool) -> None:
        """Has a job make way for another one.

        Args:
          victim: the job that goes.
          heir: the job that comes.
          now: the present time, in seconds.
          hurry: whether the victim's grace is cut for urgent work.
        """
        reason = f"preempted for {heir.job_id} of {heir.spec.organisation}"
        grace_s = victim.job_class.grace_s
        if hurry:
            grace_s = min(grace_s, URGENT_GRACE_S)
        self._holdings.stand(victim, Standing.LEAVING)
        if victim.phase is Phase.CHECKPOINTING:
            self._attempts.hasten(victim, grace_s, now)
        elif victim.phase is not Phase.ENDING:
            self._attempts.checkpoint(victim, grace_s, reason, now)
