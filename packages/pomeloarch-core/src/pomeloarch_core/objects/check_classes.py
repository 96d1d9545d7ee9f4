"""Checks of job classes against each other and against the fleet."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from pomeloarch_core.objects.findings import Finding
from pomeloarch_core.objects.keys import Kind, key_of
from pomeloarch_core.objects.model import (
    Adjacency,
    JobClass,
    Service,
    Urgency,
    WorkerPool,
)
from pomeloarch_core.objects.parser import ParsedObjects

_ROUNDING = 1e-9


def class_findings(parsed: ParsedObjects) -> Iterator[Finding]:
    """Yields findings on floors, gangs, preemption and protection."""
    yield from _floor_findings(parsed, parsed.objects.job_class)
    yield from _floor_findings(parsed, parsed.objects.service)
    yield from _protection_findings(parsed)
    if parsed.complete(Kind.WORKER_POOL):
        yield from _gang_findings(parsed)
    if parsed.complete(Kind.JOB_CLASS):
        yield from _preemption_findings(parsed)


def _floor_findings(
    parsed: ParsedObjects, items: Sequence[JobClass | Service]
) -> Iterator[Finding]:
    """Yields a finding at the largest floor of a kind that promises too much.

    The classes of one service are some of all classes, so their floors are
    within the whole when those of all classes are.
    """
    total = sum(item.floor_share for item in items)
    if total <= 1.0 + _ROUNDING:
        return
    shares = ", ".join(
        f"{item.name} {item.floor_share:g}"
        for item in items
        if item.floor_share
    )
    largest = max(items, key=_floor_share)
    message = (
        f"the floor shares add up to {total:g}, more than the whole: "
        f"{shares}; lower them to 1 together"
    )
    yield parsed.locations.finding(key_of(largest), message, "floor_share")


def _floor_share(item: JobClass | Service) -> float:
    return item.floor_share


def _protection_findings(parsed: ParsedObjects) -> Iterator[Finding]:
    for job_class in parsed.objects.job_class:
        protection = job_class.protection
        if protection.act_above < protection.throttle_above:
            message = (
                f"protection acts above {protection.act_above:g}, before it "
                f"throttles above {protection.throttle_above:g}; raise "
                "act_above"
            )
            yield parsed.locations.finding(
                key_of(job_class), message, "protection", "act_above"
            )


def _gang_findings(parsed: ParsedObjects) -> Iterator[Finding]:
    pools = parsed.objects.worker_pool
    if not pools:
        return
    for job_class in parsed.objects.job_class:
        most = _largest_gang(pools, job_class.adjacency)
        if job_class.max_gang > most:
            message = (
                f"gangs of up to {job_class.max_gang} members within one "
                f"{_SCOPES[job_class.adjacency]} can never run: the fleet "
                f"holds at most {most} there; lower max_gang or widen "
                "adjacency"
            )
            yield parsed.locations.finding(
                key_of(job_class), message, "max_gang"
            )


_SCOPES = {
    Adjacency.HOST: "host",
    Adjacency.RACK: "rack",
    Adjacency.ANY: "availability zone",
}


def _largest_gang(pools: Sequence[WorkerPool], adjacency: Adjacency) -> int:
    """Returns the most members with an accelerator each that can be close."""
    if adjacency is Adjacency.HOST:
        return max(pool.accelerators_per_host for pool in pools)
    if adjacency is Adjacency.RACK:
        return max(
            pool.hosts_per_rack * pool.accelerators_per_host for pool in pools
        )
    by_zone: dict[str, int] = defaultdict(int)
    for pool in pools:
        by_zone[pool.availability_zone] += (
            pool.racks * pool.hosts_per_rack * pool.accelerators_per_host
        )
    return max(by_zone.values())


def _preemption_findings(parsed: ParsedObjects) -> Iterator[Finding]:
    classes = parsed.objects.job_class
    others = [found for found in classes if found.urgency is not Urgency.URGENT]
    if not others or any(found.preemptible for found in others):
        return
    for job_class in classes:
        if job_class.urgency is Urgency.URGENT:
            message = (
                "urgent work has nothing to preempt: no class of lower "
                "urgency is preemptible; set preemptible = true in one"
            )
            yield parsed.locations.finding(
                key_of(job_class), message, "urgency"
            )
