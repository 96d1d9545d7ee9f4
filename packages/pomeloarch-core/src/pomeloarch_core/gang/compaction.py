"""Moving smaller jobs by checkpoint so that a large gang starts earlier."""

from __future__ import annotations

from collections.abc import Mapping

from pomeloarch_core.gang.fleet import Fleet, PoolCapacity
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.messages import Member
from pomeloarch_core.gang.placement import Need, Slots
from pomeloarch_core.gang.placer import Place
from pomeloarch_core.gang.preemption import Evictions, take_all
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.workers import Standing, Worker
from pomeloarch_core.ids import JobId

# A job that has just started, or was just moved, is left alone.
_MOVE_AFTER_S = 10.0
_RESTART_S = 2.0


class Compaction:
    """Clears the workers that are reserved for a gang, if it pays.

    Args:
      fleet: the workers.
      shares: what the floors of others bear.
      jobs: all jobs by id.
    """

    def __init__(
        self, fleet: Fleet, shares: Shares, jobs: Mapping[JobId, Job]
    ) -> None:
        """Keeps what victims are looked for in."""
        self._fleet = fleet
        self._shares = shares
        self._jobs = jobs

    def plan(
        self, job: Job, workers: list[Worker], start_at: float, now: float
    ) -> Place | None:
        """Moves other jobs by checkpoint so that a gang starts earlier.

        Args:
          job: the gang.
          workers: the workers that are reserved for it.
          start_at: when it would start by waiting, in seconds.
          now: the present time, in seconds.

        Returns:
          Its place, if the moved jobs have free places elsewhere and lose
          less, in accelerator seconds, than the gang gains.
        """
        need = Need.from_spec(job.spec, job.job_class.adjacency)
        if not job.preemptible and not self._shares.fixed_allowed(job):
            return None

        def may_evict(other: Job) -> bool:
            return (
                other.standing is Standing.BORROWED
                and other.size < job.size
                and other.phase is Phase.RUNNING
                and now - other.started_at >= _MOVE_AFTER_S
            )

        evictions = Evictions(self._fleet, self._jobs, may_evict)
        slots = self._offers(job, need, workers)
        members = take_all(evictions, self._fleet, slots, need)
        if members is None or len(members) < need.members:
            return None
        victims = [self._jobs[victim] for victim in evictions.victims]
        pool = self._fleet.pools[workers[0].info.pool]
        pays = _pays(job, victims, start_at - now)
        if pays and self._fit_elsewhere(pool, members, victims):
            return Place(members, job.borrowing, tuple(evictions.victims))
        return None

    def _offers(
        self, job: Job, need: Need, workers: list[Worker]
    ) -> list[Slots]:
        """Spreads a gang over workers by what could be evicted there."""
        slots = []
        missing = need.members
        offers = {w.worker_id: w.free + w.borrowed for w in workers}
        if not job.preemptible:
            for worker in workers:
                offer = min(offers[worker.worker_id], worker.room)
                offers[worker.worker_id] = offer
        for worker_id in sorted(offers, key=lambda w: -offers[w]):
            count = min(missing, offers[worker_id] // need.size)
            if count > 0:
                slots.append(Slots(worker_id, count))
                missing -= count
        return slots

    def _fit_elsewhere(
        self,
        pool: PoolCapacity,
        members: tuple[Member, ...],
        victims: list[Job],
    ) -> bool:
        """Whether victims fit on free accelerators of other workers."""
        own = {member.worker_id for member in members}
        wanted = sum(victim.size for victim in victims)
        for size in {victim.spec.accelerators for victim in victims}:
            slots = pool.free.slots(size)
            slots -= sum(pool.free.value(w) // size for w in own)
            of_size = [v for v in victims if v.spec.accelerators == size]
            if slots < sum(v.spec.members for v in of_size):
                return False
        free = pool.free.slots(1) - sum(pool.free.value(w) for w in own)
        return free >= wanted


def _pays(job: Job, victims: list[Job], gain_s: float) -> bool:
    """Returns whether moving victims costs less than waiting does."""
    graces = [victim.job_class.grace_s for victim in victims]
    delay_s = max(graces, default=0.0) + _RESTART_S
    lost = sum(victim.size for victim in victims) * delay_s
    return job.size * (gain_s - delay_s) > lost
