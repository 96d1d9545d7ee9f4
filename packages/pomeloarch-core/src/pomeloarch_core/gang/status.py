"""The status of a zone's scheduler."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec

from pomeloarch_core.gang.alerts import Alerts
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import AlertKind
from pomeloarch_core.gang.placement import Need, find_slots
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.ids import Epoch, OrganisationName, WorkerId, ZoneName


class GuaranteePlace(msgspec.Struct, frozen=True):
    """The workers that hold one instance of a guaranteed shape now.

    Attributes:
      name: the shape's name and the number of the instance.
      organisation: the owner of the guarantee.
      worker_ids: the worker of each cell; empty while the instance has no
        place.
      accelerators_per_host: accelerators of each cell.
    """

    name: str
    organisation: OrganisationName
    worker_ids: tuple[WorkerId, ...]
    accelerators_per_host: int


class SchedulerStatus(msgspec.Struct, frozen=True):
    """A summary of one zone, for `GET /v1/status` and `pomelo status`.

    Attributes:
      availability_zone: the zone.
      epoch: the epoch of the scheduler.
      jobs: number of jobs in memory by phase.
      waiting: number of waiting jobs by class.
      workers: number of workers on the platform's list.
      usable_workers: number of workers on which jobs may be placed.
      accelerators: accelerators of all listed workers.
      held: accelerators in use.
      guarantees_short: for each guaranteed shape without a place, why it has
        none.
      quarantined: for each quarantined worker, why it is.
      largest_waiting: accelerators of the largest waiting gang.
      fragmentation: share of the free accelerators that the largest waiting
        gang can't use; 0 when no job waits.
    """

    availability_zone: str
    epoch: int
    jobs: dict[str, int]
    waiting: dict[str, int]
    workers: int
    usable_workers: int
    accelerators: int
    held: int
    guarantees_short: dict[str, str]
    quarantined: dict[str, str]
    largest_waiting: int
    fragmentation: float


def summarise(
    availability_zone: ZoneName,
    epoch: Epoch,
    fleet: Fleet,
    queue: JobQueue,
    alerts: Alerts,
    jobs: Iterable[Job],
) -> SchedulerStatus:
    """Returns the status of a zone.

    The cost is proportional to the number of workers and jobs.
    """
    listed = [w for w in fleet.workers.values() if w.listed]
    largest = max(queue.all_jobs(), key=lambda job: job.size, default=None)
    short = AlertKind.GUARANTEE_SHORT
    quarantined = AlertKind.WORKER_QUARANTINED
    return SchedulerStatus(
        availability_zone=availability_zone,
        epoch=epoch,
        jobs=dict(Counter(job.phase.value for job in jobs)),
        waiting={str(name): n for name, n in queue.count_by_class().items()},
        workers=len(listed),
        usable_workers=sum(worker.is_usable for worker in listed),
        accelerators=fleet.listed_accelerators,
        held=fleet.held,
        guarantees_short=alerts.reasons(short),
        quarantined=alerts.reasons(quarantined),
        largest_waiting=largest.size if largest else 0,
        fragmentation=_fragmentation(fleet, largest) if largest else 0.0,
    )


def _fragmentation(fleet: Fleet, job: Job) -> float:
    """Returns the share of the free accelerators that a gang can't use."""
    need = Need.from_spec(job.spec, job.job_class.adjacency)
    free = usable = 0
    for pool in fleet.pools.values():
        free += pool.free.slots(1)
        if find_slots(pool.free, fleet, need) is not None:
            usable += pool.free.slots(need.size) * need.size
    return 1.0 - usable / free if free else 0.0
