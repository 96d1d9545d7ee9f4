"""Checks whether a requested job can ever run under a generation."""

from __future__ import annotations

from pomeloarch_core.ids import ZoneName
from pomeloarch_core.objects.model import (
    Adjacency,
    JobClass,
    ObjectSet,
    Organisation,
    WorkerPool,
)
from pomeloarch_node.job_requests import JobRequest, RequestFinding


def check_request(req: JobRequest, objects: ObjectSet) -> list[RequestFinding]:
    """Returns all reasons why a requested job can never run."""
    findings = _check_organisation(req, objects)
    job_class = find_class(req, objects)
    if job_class is None:
        findings.append(
            RequestFinding("job_class", f"no class {req.job_class!r} exists")
        )
    elif req.members > job_class.max_gang:
        findings.append(
            RequestFinding(
                "members",
                f"{req.members} are more than the {job_class.max_gang} "
                f"that class {req.job_class!r} allows",
            )
        )
    elif not findings:
        findings += _check_fit(req, job_class, objects)
    return findings


def find_class(req: JobRequest, objects: ObjectSet) -> JobClass | None:
    """Returns the job class of a request, None if it doesn't exist."""
    for job_class in objects.job_class:
        if job_class.name == req.job_class:
            return job_class
    return None


def find_fitting_zones(
    req: JobRequest, job_class: JobClass, objects: ObjectSet
) -> tuple[ZoneName, ...]:
    """Returns the zones in which an empty pool can hold the requested job."""
    zones = {
        pool.availability_zone
        for pool in objects.worker_pool
        if _can_hold(pool, req, job_class)
    }
    return tuple(sorted(zones))


def _check_organisation(
    req: JobRequest, objects: ObjectSet
) -> list[RequestFinding]:
    for organisation in objects.organisation:
        if organisation.name == req.organisation:
            return _check_quotas(req, organisation)
    message = f"no organisation {req.organisation!r} exists"
    return [RequestFinding("organisation", message)]


def _check_quotas(
    req: JobRequest, organisation: Organisation
) -> list[RequestFinding]:
    wanted = req.members * req.accelerators
    findings = []
    if wanted > organisation.quota_accelerators:
        message = (
            f"{wanted} accelerators are more than the organisation's quota "
            f"of {organisation.quota_accelerators}"
        )
        findings.append(RequestFinding("organisation", message))
    if req.team is None:
        return findings
    quotas = {team.name: team.quota_accelerators for team in organisation.teams}
    quota = {str(name): count for name, count in quotas.items()}.get(req.team)
    if quota is None:
        message = f"{organisation.name!r} has no team {req.team!r}"
        findings.append(RequestFinding("team", message))
    elif wanted > quota:
        message = (
            f"{wanted} accelerators are more than the team's quota of {quota}"
        )
        findings.append(RequestFinding("team", message))
    return findings


def _check_fit(
    req: JobRequest, job_class: JobClass, objects: ObjectSet
) -> list[RequestFinding]:
    zones = {zone.name for zone in objects.availability_zone}
    if req.zone is not None and req.zone not in zones:
        message = f"no zone {req.availability_zone!r} exists"
        return [RequestFinding("availability_zone", message)]
    fitting = find_fitting_zones(req, job_class, objects)
    if req.zone in fitting or (req.zone is None and fitting):
        return []
    where = "any zone" if req.zone is None else f"zone {req.zone!r}"
    message = (
        f"no pool of {where} can hold {req.members} members with "
        f"{req.accelerators} accelerators and {req.memory_gb:g} GB each, "
        f"adjacent by {job_class.adjacency.value}"
    )
    return [RequestFinding("accelerators", message)]


def _can_hold(pool: WorkerPool, req: JobRequest, job_class: JobClass) -> bool:
    by_accelerators = pool.accelerators_per_host // req.accelerators
    by_memory = int(pool.memory_gb_per_host // req.memory_gb)
    per_host = min(by_accelerators, by_memory)
    if job_class.adjacency is Adjacency.HOST:
        return per_host >= req.members
    per_rack = per_host * pool.hosts_per_rack
    if job_class.adjacency is Adjacency.RACK:
        return per_rack >= req.members
    return per_rack * pool.racks >= req.members
