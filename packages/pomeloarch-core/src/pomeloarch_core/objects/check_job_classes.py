"""Checks job classes against each other and against the worker pools."""

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

_ROUNDING_TOLERANCE = 1e-9


def check_job_classes(parsed: ParsedObjects) -> Iterator[Finding]:
    """Yields findings on floor shares, gangs, preemption and protection."""
    yield from _check_floor_shares(parsed, parsed.objects.job_class)
    yield from _check_floor_shares(parsed, parsed.objects.service)
    yield from _check_protection(parsed)
    if parsed.is_complete(Kind.WORKER_POOL):
        yield from _check_gang_sizes(parsed)
    if parsed.is_complete(Kind.JOB_CLASS):
        yield from _check_preemption(parsed)


def _check_floor_shares(
    parsed: ParsedObjects, items: Sequence[JobClass | Service]
) -> Iterator[Finding]:
    """Yields a finding at the largest share when all add up to more than 1.

    The job classes of one service are a subset of all classes, so their floor
    shares add up to at most 1 when those of all classes do.
    """
    total = sum(item.floor_share for item in items)
    if total <= 1.0 + _ROUNDING_TOLERANCE:
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
    yield parsed.locations.finding_at(key_of(largest), message, "floor_share")


def _floor_share(item: JobClass | Service) -> float:
    return item.floor_share


def _check_protection(parsed: ParsedObjects) -> Iterator[Finding]:
    for job_class in parsed.objects.job_class:
        protection = job_class.protection
        if protection.act_above < protection.throttle_above:
            message = (
                f"protection acts above {protection.act_above:g}, before it "
                f"throttles above {protection.throttle_above:g}; raise "
                "act_above"
            )
            yield parsed.locations.finding_at(
                key_of(job_class), message, "protection", "act_above"
            )


def _check_gang_sizes(parsed: ParsedObjects) -> Iterator[Finding]:
    pools = parsed.objects.worker_pool
    if not pools:
        return
    for job_class in parsed.objects.job_class:
        largest_gang = _largest_gang(pools, job_class.adjacency)
        if job_class.max_gang > largest_gang:
            message = (
                f"gangs of up to {job_class.max_gang} members within one "
                f"{_SCOPE_NAMES[job_class.adjacency]} can never run: the fleet "
                f"holds at most {largest_gang} there; lower max_gang or widen "
                "adjacency"
            )
            yield parsed.locations.finding_at(
                key_of(job_class), message, "max_gang"
            )


_SCOPE_NAMES = {
    Adjacency.HOST: "host",
    Adjacency.RACK: "rack",
    Adjacency.ANY: "availability zone",
}


def _largest_gang(pools: Sequence[WorkerPool], adjacency: Adjacency) -> int:
    """Returns the size of the largest gang with one accelerator per member.

    Args:
      pools: all worker pools.
      adjacency: how close the members have to be to each other.
    """
    if adjacency is Adjacency.HOST:
        return max(pool.accelerators_per_host for pool in pools)
    if adjacency is Adjacency.RACK:
        return max(
            pool.hosts_per_rack * pool.accelerators_per_host for pool in pools
        )
    accelerators_by_zone: dict[str, int] = defaultdict(int)
    for pool in pools:
        accelerators_by_zone[pool.availability_zone] += (
            pool.racks * pool.hosts_per_rack * pool.accelerators_per_host
        )
    return max(accelerators_by_zone.values())


def _check_preemption(parsed: ParsedObjects) -> Iterator[Finding]:
    classes = parsed.objects.job_class
    lower_classes = [
        job_class
        for job_class in classes
        if job_class.urgency is not Urgency.URGENT
    ]
    if not lower_classes or any(
        job_class.preemptible for job_class in lower_classes
    ):
        return
    for job_class in classes:
        if job_class.urgency is Urgency.URGENT:
            message = (
                "urgent work has nothing to preempt: no class of lower "
                "urgency is preemptible; set preemptible = true in one"
            )
            yield parsed.locations.finding_at(
                key_of(job_class), message, "urgency"
            )
