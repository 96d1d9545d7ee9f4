"""Checks that guaranteed shapes fit into their pools and into quotas."""

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


def check_guarantees(parsed: ParsedObjects) -> Iterator[Finding]:
    """Yields findings on guaranteed shapes and on quotas."""
    shapes_by_pool: dict[str, list[GuaranteedShape]] = defaultdict(list)
    for shape in parsed.objects.guaranteed_shape:
        shapes_by_pool[shape.worker_pool].append(shape)
    for pool in parsed.objects.worker_pool:
        yield from _check_pool(parsed, pool, shapes_by_pool[pool.name])
    yield from _check_quotas(parsed)


def _check_pool(
    parsed: ParsedObjects, pool: WorkerPool, shapes: Sequence[GuaranteedShape]
) -> Iterator[Finding]:
    fitting = []
    for shape in shapes:
        errors = list(_size_errors(pool, shape))
        for field, message in errors:
            yield parsed.locations.finding_at(key_of(shape), message, field)
        if not errors:
            fitting.append(shape)
    fitting.sort(key=_size_key, reverse=True)
    outcome = _fit_shapes(pool, fitting)
    if outcome is Fit.FITS:
        return
    misfit = fitting[_first_misfit(pool, fitting)]
    message = _misfit_message(pool, fitting, misfit, outcome)
    yield parsed.locations.finding_at(key_of(misfit), message)


def _size_errors(
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


def _size_key(shape: GuaranteedShape) -> tuple[int, int, str]:
    return shape.accelerators_per_host, shape.hosts, shape.name


def _count_accelerators(shapes: Sequence[GuaranteedShape]) -> int:
    return sum(
        shape.hosts * shape.accelerators_per_host * shape.count
        for shape in shapes
    )


def _fit_shapes(pool: WorkerPool, shapes: Sequence[GuaranteedShape]) -> Fit:
    total = pool.racks * pool.hosts_per_rack * pool.accelerators_per_host
    if _count_accelerators(shapes) > total:
        return Fit.DOES_NOT_FIT
    cells = [
        Cell(shape.accelerators_per_host, shape.hosts)
        for shape in shapes
        for _ in range(shape.count)
    ]
    return fit(
        cells, pool.racks, pool.hosts_per_rack, pool.accelerators_per_host
    )


def _first_misfit(pool: WorkerPool, shapes: Sequence[GuaranteedShape]) -> int:
    """Returns the index of the shape with which the fit first fails.

    Requires that `_fit_shapes` of all shapes is not `Fit.FITS`.
    """
    low, high = 0, len(shapes) - 1
    while low < high:
        middle = (low + high) // 2
        if _fit_shapes(pool, shapes[: middle + 1]) is Fit.FITS:
            low = middle + 1
        else:
            high = middle
    return low


def _misfit_message(
    pool: WorkerPool,
    shapes: Sequence[GuaranteedShape],
    misfit: GuaranteedShape,
    outcome: Fit,
) -> str:
    total = pool.racks * pool.hosts_per_rack * pool.accelerators_per_host
    problem = "do not fit as adjacent accelerators"
    if outcome is Fit.NOT_SETTLED:
        problem = "could not be shown to fit as adjacent accelerators"
    return (
        f"the guaranteed shapes of worker_pool/{pool.name} {problem}: they "
        f"need {_count_accelerators(shapes)} of {total}, and with the larger "
        f"ones placed no rack has {misfit.hosts} hosts with "
        f"{misfit.accelerators_per_host} free for each of {misfit.count}; "
        "make a shape smaller or add racks"
    )


def _check_quotas(parsed: ParsedObjects) -> Iterator[Finding]:
    guaranteed = _guaranteed_by_organisation(parsed.objects)
    for organisation in parsed.objects.organisation:
        quota = organisation.quota_accelerators
        needed = guaranteed[organisation.name]
        if needed > quota:
            message = (
                f"the quota of {quota} accelerators is below the {needed} of "
                "its guaranteed shapes; raise quota_accelerators"
            )
            yield parsed.locations.finding_at(
                key_of(organisation), message, "quota_accelerators"
            )
        yield from _check_teams(parsed, organisation)


def _guaranteed_by_organisation(objects: ObjectSet) -> dict[str, int]:
    guaranteed: dict[str, int] = defaultdict(int)
    for shape in objects.guaranteed_shape:
        guaranteed[shape.organisation] += _count_accelerators([shape])
    return guaranteed


def _check_teams(
    parsed: ParsedObjects, organisation: Organisation
) -> Iterator[Finding]:
    seen: set[str] = set()
    for index, team in enumerate(organisation.teams):
        key = key_of(organisation)
        if team.name in seen:
            yield parsed.locations.finding_at(
                key,
                f"team {team.name!r} is named twice; rename or remove one",
                "teams",
                index,
                "name",
            )
        seen.add(team.name)
        if team.quota_accelerators > organisation.quota_accelerators:
            yield parsed.locations.finding_at(
                key,
                f"team {team.name!r} has a quota of {team.quota_accelerators}, "
                f"above the organisation's {organisation.quota_accelerators}; "
                "lower the one or raise the other",
                "teams",
                index,
                "quota_accelerators",
            )
