"""Checks that every object that another object refers to exists."""

from __future__ import annotations

import functools
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
from pomeloarch_core.objects.schema import spelling_hint

# Searching thousands of names for a similar one takes long.
_MAX_FINDINGS_WITH_HINT = 20


class Reference(msgspec.Struct, frozen=True):
    """A field of one object that names another object."""

    field: FieldPath
    target: ObjectKey


def check_references(parsed: ParsedObjects) -> list[Finding]:
    """Returns a finding for each reference to an object that does not exist.

    An unreadable object counts as existing.
    """
    items = by_key(parsed.objects)
    known = items.keys() | parsed.unreadable
    names: dict[str, set[str]] = {kind.value: set() for kind in Kind}
    for key in known:
        names[key.kind].add(key.name)
    findings: list[Finding] = []
    for item in items.values():
        for reference in references(item):
            target = reference.target
            if target in known or target.kind in parsed.unreadable_kinds:
                continue
            hint = ""
            if len(findings) < _MAX_FINDINGS_WITH_HINT:
                hint = spelling_hint(target.name, names[target.kind])
            message = f"refers to {target}, which does not exist{hint}"
            findings.append(
                parsed.locations.finding_at(
                    key_of(item), message, *reference.field
                )
            )
    return findings


@functools.singledispatch
def references(item: NamedObject) -> Iterator[Reference]:
    """Yields the references of an object.

    Each target has a kind that `Kind` lists before the object's own, so
    references cannot form a cycle.
    """
    yield from ()


@references.register
def _(item: WorkerPool) -> Iterator[Reference]:
    yield _reference(Kind.AVAILABILITY_ZONE, item.availability_zone)


@references.register
def _(item: GuaranteedShape) -> Iterator[Reference]:
    yield _reference(Kind.ORGANISATION, item.organisation)
    yield _reference(Kind.WORKER_POOL, item.worker_pool)


@references.register
def _(item: Service) -> Iterator[Reference]:
    for index, group in enumerate(item.upstreams):
        field = ("upstreams", index, "availability_zone")
        yield _reference(Kind.AVAILABILITY_ZONE, group.availability_zone, field)
    for index, route in enumerate(item.routes):
        field = ("routes", index, "job_class")
        yield _reference(Kind.JOB_CLASS, route.job_class, field)


def _reference(
    kind: Kind, name: str, field: FieldPath | None = None
) -> Reference:
    return Reference(field or (kind.value,), ObjectKey(kind.value, name))
