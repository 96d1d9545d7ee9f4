"""Naive versions of gang scheduling, for comparison with the product.

`can_hold_all` searches exhaustively, which is feasible only for small fleets.
`can_place` decides exactly whether one gang fits on free accelerators.
`FifoScheduler` places jobs first come, first served, on the first workers that
fit, without guarantees, shares or preemption.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from itertools import combinations

import msgspec

from pomeloarch_core.gang.allocations import Allocations
from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.messages import ConfigurationChanged
from pomeloarch_core.gang.placement import Need, Slots, assign_free_accelerators
from pomeloarch_core.gang.placer import Placement
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.scheduler import ZoneScheduler
from pomeloarch_core.gang.workers import Worker
from pomeloarch_core.ids import Epoch, JobId, RackId, WorkerId, ZoneName
from pomeloarch_core.objects.model import Adjacency, Snapshot


class NaiveShape(msgspec.Struct, frozen=True):
    """One instance of a guaranteed shape."""

    hosts: int
    accelerators_per_host: int


Racks = Mapping[RackId, Sequence[WorkerId]]


def can_hold_all(
    racks: Racks,
    room: Mapping[WorkerId, int],
    shapes: Iterable[NaiveShape],
) -> bool:
    """Returns whether all shapes fit at the same time.

    Args:
      racks: the workers of each rack.
      room: the number of accelerators of each worker that shapes may use.
      shapes: the instances of shapes.

    >>> racks = {"r": ["a", "b"]}
    >>> can_hold_all(racks, {"a": 4, "b": 2}, [NaiveShape(2, 2)] * 2)
    False
    """
    return _can_hold(racks, dict(room), list(shapes))


def _can_hold(
    racks: Racks, room: dict[WorkerId, int], shapes: list[NaiveShape]
) -> bool:
    if not shapes:
        return True
    shape, rest = shapes[0], shapes[1:]
    for workers in racks.values():
        for chosen in combinations(workers, shape.hosts):
            if any(room[w] < shape.accelerators_per_host for w in chosen):
                continue
            for worker in chosen:
                room[worker] -= shape.accelerators_per_host
            if _can_hold(racks, room, rest):
                return True
            for worker in chosen:
                room[worker] += shape.accelerators_per_host
    return False


def can_place(
    racks: Racks,
    free: Mapping[WorkerId, int],
    members: int,
    size: int,
    adjacency: Adjacency,
) -> bool:
    """Returns whether a gang fits on free accelerators.

    Args:
      racks: the workers of each rack.
      free: the number of free accelerators of each worker.
      members: the number of members of the gang.
      size: the number of accelerators of each member.
      adjacency: how close the members have to be.

    >>> can_place({"r": ["a", "b"]}, {"a": 3, "b": 3}, 2, 2, Adjacency.RACK)
    True
    """
    slots = {worker: count // size for worker, count in free.items()}
    if adjacency is Adjacency.HOST or members == 1:
        return any(count >= members for count in slots.values())
    by_rack = [sum(slots[w] for w in workers) for workers in racks.values()]
    if adjacency is Adjacency.RACK:
        return any(count >= members for count in by_rack)
    return sum(by_rack) >= members


class FifoDispatcher:
    """Places waiting jobs first come, first served, on the first fit.

    A job that does not fit is skipped, so that smaller jobs can start.

    Args:
      fleet: the workers.
      jobs: all jobs by id, in the order of their arrival.
      queue: the waiting jobs.
      allocations: allocates accelerators to jobs.
      attempts: starts attempts.
      records: knows whether a job's row is up to date.
    """

    def __init__(
        self,
        fleet: Fleet,
        jobs: dict[JobId, Job],
        queue: JobQueue,
        allocations: Allocations,
        attempts: Attempts,
        records: Records,
    ) -> None:
        """Creates a dispatcher that has placed nothing."""
        self._fleet = fleet
        self._jobs = jobs
        self._queue = queue
        self._allocations = allocations
        self._attempts = attempts
        self._records = records
        self._seen: tuple[int, int] = (-1, -1)
        self.dirty = False

    def reset(self) -> None:
        """Makes the next run try every job again."""
        self.dirty = True

    def probe(self, worker: Worker, now: float) -> Job | None:
        """Returns None, because this dispatcher never probes."""
        return None

    def run(self, now: float) -> None:
        """Tries to place every waiting job in the order of arrival."""
        seen = (self._fleet.version, len(self._queue))
        if seen == self._seen and not self.dirty:
            return
        self.dirty = False
        failed: set[Need] = set()
        for job in list(self._jobs.values()):
            if job.phase is not Phase.QUEUED or job.not_before > now:
                continue
            need = Need.from_spec(job.spec, job.job_class.adjacency)
            if need in failed or not self._records.is_up_to_date(job):
                continue
            slots = self._first_fit(need)
            if slots is None:
                failed.add(need)
                continue
            members = assign_free_accelerators(self._fleet, slots, need.size)
            self._queue.remove(job)
            self._allocations.allocate(
                job, Placement(members, job.uncovered_kind)
            )
            self._attempts.begin(job, now)
        self._seen = (self._fleet.version, len(self._queue))

    def _first_fit(self, need: Need) -> list[Slots] | None:
        racks: dict[RackId, list[Slots]] = {}
        everywhere: list[Slots] = []
        for worker in self._fleet.workers.values():
            count = worker.free // need.size if worker.is_usable else 0
            if not count:
                continue
            if need.adjacency is Adjacency.HOST:
                if count >= need.members:
                    return [Slots(worker.worker_id, need.members)]
                continue
            rack = racks.setdefault(worker.info.rack, [])
            for found in (rack, everywhere):
                missing = need.members - sum(s.count for s in found)
                if missing:
                    found.append(Slots(worker.worker_id, min(count, missing)))
            if sum(s.count for s in rack) == need.members:
                return rack
        anywhere = need.adjacency is Adjacency.ANY
        if anywhere and sum(s.count for s in everywhere) == need.members:
            return everywhere
        return None


class FifoScheduler(ZoneScheduler):
    """The product's attempt protocol with naive placement."""

    @classmethod
    def from_config(
        cls,
        snapshot: Snapshot,
        availability_zone: ZoneName,
        epoch: Epoch,
        now: float,
        rng: random.Random,
    ) -> FifoScheduler:
        """Creates a scheduler for a snapshot, without its guaranteed shapes."""
        objects = msgspec.structs.replace(snapshot.objects, guaranteed_shape=())
        scheduler = cls(availability_zone, epoch, rng)
        scheduler._dispatcher = FifoDispatcher(  # type: ignore[assignment]
            scheduler._fleet,
            scheduler._jobs,
            scheduler._queue,
            scheduler._allocations,
            scheduler._attempts,
            scheduler._records,
        )
        reduced = msgspec.structs.replace(snapshot, objects=objects)
        scheduler.handle(ConfigurationChanged(reduced), now)
        return scheduler
