"""Checks that every name that an object refers to exists."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from pomeloarch_core.objects.findings import FieldPath, Finding
from pomeloarch_core.objects.keys import (
    Kind,
    NamedObject,
    ObjectKey,
    by_key,
    key_of,
)
from pomeloarch_core.objects.model import (
    GuaranteedShape,
    Service,
    WorkerPool,
)
from pomeloarch_core.objects.parser import ParsedObjects
from pomeloarch_core.objects.shape import did_you_mean


class _Reference(msgspec.Struct, frozen=True):
    field: FieldPath
    target: ObjectKey


def reference_findings(parsed: ParsedObjects) -> list[Finding]:
    """Returns a finding for each reference to an object that is not there.

    An object that could not be read counts as there.
    """
    items = by_key(parsed.objects)
    known = items.keys() | parsed.unread
    names: dict[str, set[str]] = {kind.value: set() for kind in Kind}
    for key in known:
        names[key.kind].add(key.name)
    findings = []
    for item in items.values():
        for reference in _references(item):
            target = reference.target
            if target in known or target.kind in parsed.unread_kinds:
                continue
            hint = did_you_mean(target.name, names[target.kind])
            message = f"refers to {target}, which does not exist{hint}"
            findings.append(
                parsed.places.finding(key_of(item), message, *reference.field)
            )
    return findings


def _references(item: NamedObject) -> Iterator[_Reference]:
    if isinstance(item, WorkerPool):
        yield _to(Kind.AVAILABILITY_ZONE, item.availability_zone)
    elif isinstance(item, GuaranteedShape):
        yield _to(Kind.ORGANISATION, item.organisation)
        yield _to(Kind.WORKER_POOL, item.worker_pool)
    elif isinstance(item, Service):
        yield from _service_references(item)


def _service_references(service: Service) -> Iterator[_Reference]:
    for index, group in enumerate(service.upstreams):
        field = ("upstreams", index, "availability_zone")
        yield _to(Kind.AVAILABILITY_ZONE, group.availability_zone, field)
    for index, route in enumerate(service.routes):
        yield _to(
            Kind.JOB_CLASS, route.job_class, ("routes", index, "job_class")
        )


def _to(kind: Kind, name: str, field: FieldPath | None = None) -> _Reference:
    return _Reference(field or (kind.value,), ObjectKey(kind.value, name))
