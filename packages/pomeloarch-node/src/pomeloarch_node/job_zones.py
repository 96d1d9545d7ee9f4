"""Chooses the availability zone of a new job."""

from __future__ import annotations

from collections.abc import Mapping

from pomeloarch_core.ids import ZoneName
from pomeloarch_core.objects.model import JobClass, ObjectSet
from pomeloarch_node.job_checks import find_fitting_zones
from pomeloarch_node.job_requests import JobRequest


def choose_zone(
    req: JobRequest,
    job_class: JobClass,
    objects: ObjectSet,
    loads: Mapping[ZoneName, float],
    own_zone: ZoneName,
) -> ZoneName | None:
    """Chooses the zone for a job.

    A zone that the caller demands is the only choice. Otherwise, zones in which
    the organisation has a guarantee that fits the job come first, then zones in
    order of their load. Zones whose load isn't known come last. Among equal
    zones, the node's own comes first.

    Args:
      req: the requested job.
      job_class: its class.
      objects: the generation in force.
      loads: for each zone with a known load, the ratio of the accelerators
        wanted to those present.
      own_zone: this node's zone.

    Returns:
      The zone, None if the job fits into none.
    """
    fitting = find_fitting_zones(req, job_class, objects)
    if req.zone is not None:
        return req.zone if req.zone in fitting else None
    if not fitting:
        return None
    guaranteed = _guaranteed_zones(req, objects)

    def rank(zone: ZoneName) -> tuple[bool, bool, float, bool, str]:
        return (
            zone not in guaranteed,
            zone not in loads,
            loads.get(zone, 0.0),
            zone != own_zone,
            zone,
        )

    return min(fitting, key=rank)


def _guaranteed_zones(req: JobRequest, objects: ObjectSet) -> set[ZoneName]:
    zone_of_pool = {
        pool.name: pool.availability_zone for pool in objects.worker_pool
    }
    return {
        zone_of_pool[shape.worker_pool]
        for shape in objects.guaranteed_shape
        if shape.organisation == req.organisation
        and shape.worker_pool in zone_of_pool
        and shape.hosts * (shape.accelerators_per_host // req.accelerators)
        >= req.members
    }
