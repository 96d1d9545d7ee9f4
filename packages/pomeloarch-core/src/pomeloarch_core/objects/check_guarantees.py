"""Checks that guaranteed shapes fit their pools, and quotas fit them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence

from pomeloarch_core.objects.findings import Finding
from pomeloarch_core.objects.keys import key_of
from pomeloarch_core.objects.model import (
    GuaranteedShape,
    ObjectSet,
    Organisation,
    WorkerPool,
)
from pomeloarch_core.objects.packing import Cell, Fit, fit
from pomeloarch_core.objects.parser import ParsedObjects


def guarantee_findings(parsed: ParsedObjects) -> Iterator[Finding]:
    """Yields findings on guaranteed shapes and on quotas below them."""
    shapes_of: dict[str, list[GuaranteedShape]] = defaultdict(list)
    for shape in parsed.objects.guaranteed_shape:
        shapes_of[shape.worker_pool].append(shape)
    for pool in parsed.objects.worker_pool:
        yield from _pool_findings(parsed, pool, shapes_of[pool.name])
    yield from _quota_findings(parsed)


def _pool_findings(
    parsed: ParsedObjects, pool: WorkerPool, shapes: Sequence[GuaranteedShape]
) -> Iterator[Finding]:
    fitting = []
    for shape in shapes:
        faults = list(_size_faults(pool, shape))
        for field, message in faults:
            yield parsed.locations.finding(key_of(shape), message, field)
        if not faults:
            fitting.append(shape)
    fitting.sort(key=_size, reverse=True)
    outcome = _fit_together(pool, fitting)
    if outcome is Fit.FITS:
        return
    last = fitting[_first_too_much(pool, fitting)]
    message = _does_not_fit(pool, fitting, last, outcome)
    yield parsed.locations.finding(key_of(last), message)


def _size_faults(
    pool: WorkerPool, shape: GuaranteedShape
) -> Iterator[tuple[str, str]]:
    if shape.hosts > pool.hosts_per_rack:
        yield (
            "hosts",
            f"spans {shape.hosts} hosts, but a rack of worker_pool/"
            f"{pool.name} has {pool.hosts_per_rack}; lower hosts",
        )
    if shape.accelerators_per_host > pool.accelerators_per_host:
        yield (
            "accelerators_per_host",
            f"needs {shape.accelerators_per_host} accelerators on a host, "
            f"but a host of worker_pool/{pool.name} has "
            f"{pool.accelerators_per_host}; lower accelerators_per_host",
        )


def _size(shape: GuaranteedShape) -> tuple[int, int, str]:
    return shape.accelerators_per_host, shape.hosts, shape.name


def _needed(shapes: Sequence[GuaranteedShape]) -> int:
    return sum(
        shape.hosts * shape.accelerators_per_host * shape.count
        for shape in shapes
    )


def _fit_together(pool: WorkerPool, shapes: Sequence[GuaranteedShape]) -> Fit:
    total = pool.racks * pool.hosts_per_rack * pool.accelerators_per_host
    if _needed(shapes) > total:
        return Fit.DOES_NOT_FIT
    cells = [
        Cell(shape.accelerators_per_host, shape.hosts)
        for shape in shapes
        for _ in range(shape.count)
    ]
    return fit(
        cells, pool.racks, pool.hosts_per_rack, pool.accelerators_per_host
    )


def _first_too_much(pool: WorkerPool, shapes: Sequence[GuaranteedShape]) -> int:
    """Returns the index of the first shape that does not fit any more."""
    low, high = 0, len(shapes) - 1
    while low < high:
        middle = (low + high) // 2
        if _fit_together(pool, shapes[: middle + 1]) is Fit.FITS:
            low = middle + 1
        else:
            high = middle
    return low


def _does_not_fit(
    pool: WorkerPool,
    shapes: Sequence[GuaranteedShape],
    last: GuaranteedShape,
    outcome: Fit,
) -> str:
    total = pool.racks * pool.hosts_per_rack * pool.accelerators_per_host
    verdict = "do not fit as adjacent accelerators"
    if outcome is Fit.NOT_SETTLED:
        verdict = "could not be shown to fit as adjacent accelerators"
    return (
        f"the guaranteed shapes of worker_pool/{pool.name} {verdict}: they "
        f"need {_needed(shapes)} of {total}, and with the larger ones placed "
        f"no rack has {last.hosts} hosts with {last.accelerators_per_host} "
        f"free for each of {last.count}; make a shape smaller or add racks"
    )


def _quota_findings(parsed: ParsedObjects) -> Iterator[Finding]:
    guaranteed = _guaranteed_by_organisation(parsed.objects)
    for organisation in parsed.objects.organisation:
        quota = organisation.quota_accelerators
        needed = guaranteed[organisation.name]
        if needed > quota:
            message = (
                f"the quota of {quota} accelerators is below the {needed} of "
                "its guaranteed shapes; raise quota_accelerators"
            )
            yield parsed.locations.finding(
                key_of(organisation), message, "quota_accelerators"
            )
        yield from _team_findings(parsed, organisation)


def _guaranteed_by_organisation(objects: ObjectSet) -> dict[str, int]:
    guaranteed: dict[str, int] = defaultdict(int)
    for shape in objects.guaranteed_shape:
        guaranteed[shape.organisation] += _needed([shape])
    return guaranteed


def _team_findings(
    parsed: ParsedObjects, organisation: Organisation
) -> Iterator[Finding]:
    seen: set[str] = set()
    for index, team in enumerate(organisation.teams):
        key = key_of(organisation)
        if team.name in seen:
            yield parsed.locations.finding(
                key,
                f"team {team.name!r} is named twice; rename or remove one",
                "teams",
                index,
                "name",
            )
        seen.add(team.name)
        if team.quota_accelerators > organisation.quota_accelerators:
            yield parsed.locations.finding(
                key,
                f"team {team.name!r} has a quota of {team.quota_accelerators}, "
                f"above the organisation's {organisation.quota_accelerators}; "
                "lower the one or raise the other",
                "teams",
                index,
                "quota_accelerators",
            )
