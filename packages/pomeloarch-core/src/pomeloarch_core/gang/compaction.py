"""Moves of smaller jobs by checkpoint, so a large gang starts earlier."""

from __future__ import annotations

from collections.abc import Mapping

from pomeloarch_core.gang.fleet import Fleet, PoolCapacity
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.messages import Member
from pomeloarch_core.gang.placement import Need, Slots
from pomeloarch_core.gang.placer import Placement
from pomeloarch_core.gang.preemption import VictimSelection, take_for_gang
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.workers import AllocationKind, Worker
from pomeloarch_core.ids import JobId

# A job is not moved within this time of its start or of its last move.
_MIN_RUN_BEFORE_MOVE_S = 10.0
# Time that a moved job loses in addition to its grace.
_RESTART_TIME_S = 2.0


class Compaction:
    """Plans which jobs to move off the workers reserved for a gang.

    Args:
      fleet: the workers.
      shares: limits non-preemptible jobs by the floors of other classes.
      jobs: all jobs by id.
    """

    def __init__(
        self, fleet: Fleet, shares: Shares, jobs: Mapping[JobId, Job]
    ) -> None:
        """Creates a planner of moves."""
        self._fleet = fleet
        self._shares = shares
        self._jobs = jobs

    def plan(
        self, job: Job, workers: list[Worker], start_at: float, now: float
    ) -> Placement | None:
        """Plans moves of other jobs so that a gang starts earlier.

        Args:
          job: the gang.
          workers: the workers that are reserved for the gang.
          start_at: when the gang would start without moves, in seconds.
          now: the current time, in seconds.

        Returns:
          The gang's placement, or None unless the moved jobs fit elsewhere
          on free accelerators and lose less, in accelerator seconds, than
          the gang gains.
        """
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        if not job.preemptible and not self._shares.allows_fixed(job):
            return None

        def may_evict(other: Job) -> bool:
            return (
                other.allocation_kind is AllocationKind.BORROWED
                and other.size < job.size
                and other.phase is Phase.RUNNING
                and now - other.started_at >= _MIN_RUN_BEFORE_MOVE_S
            )

        selection = VictimSelection(self._fleet, self._jobs, may_evict)
        slots = self._spread_members(job, need, workers)
        members = take_for_gang(selection, self._fleet, slots, need)
        if members is None or len(members) < need.members:
            return None
        victims = [self._jobs[victim] for victim in selection.victims]
        pool = self._fleet.pools[workers[0].info.pool]
        worthwhile = _is_worthwhile(job, victims, start_at - now)
        if worthwhile and self._fits_elsewhere(pool, members, victims):
            return Placement(
                members, job.uncovered_kind, tuple(selection.victims)
            )
        return None

    def _spread_members(
        self, job: Job, need: Need, workers: list[Worker]
    ) -> list[Slots]:
        """Spreads a gang over workers by their free and evictable capacity."""
        slots = []
        missing = need.members
        offers = {w.worker_id: w.free + w.borrowed for w in workers}
        if not job.preemptible:
            for worker in workers:
                offer = min(offers[worker.worker_id], worker.reservable)
                offers[worker.worker_id] = offer
        for worker_id in sorted(offers, key=lambda w: -offers[w]):
            count = min(missing, offers[worker_id] // need.size)
            if count > 0:
                slots.append(Slots(worker_id, count))
                missing -= count
        return slots

    def _fits_elsewhere(
        self,
        pool: PoolCapacity,
        members: tuple[Member, ...],
        victims: list[Job],
    ) -> bool:
        """Returns whether the victims fit on free accelerators elsewhere."""
        own_workers = {member.worker_id for member in members}
        wanted = sum(victim.size for victim in victims)
        for size in {victim.spec.accelerators for victim in victims}:
            slots = pool.free.slots(size)
            slots -= sum(pool.free.value(w) // size for w in own_workers)
            of_size = [v for v in victims if v.spec.accelerators == size]
            if slots < sum(v.spec.members for v in of_size):
                return False
        free = pool.free.slots(1) - sum(pool.free.value(w) for w in own_workers)
        return free >= wanted


def _is_worthwhile(job: Job, victims: list[Job], gain_s: float) -> bool:
    """Returns whether moving the victims costs less than waiting."""
    graces = [victim.job_class.grace_s for victim in victims]
    delay_s = max(graces, default=0.0) + _RESTART_TIME_S
    lost = sum(victim.size for victim in victims) * delay_s
    return job.size * (gain_s - delay_s) > lost
