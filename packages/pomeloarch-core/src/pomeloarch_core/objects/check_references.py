"""Checks that every name that an object refers to exists."""

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
from pomeloarch_core.objects.shape import did_you_mean

# Looking for alike names takes long among thousands of them.
_MAX_HINTS = 20


class Reference(msgspec.Struct, frozen=True):
    """A name in one object that stands for another object."""

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
    findings: list[Finding] = []
    for item in items.values():
        for reference in references(item):
            target = reference.target
            if target in known or target.kind in parsed.unread_kinds:
                continue
            hint = ""
            if len(findings) < _MAX_HINTS:
                hint = did_you_mean(target.name, names[target.kind])
            message = f"refers to {target}, which does not exist{hint}"
            findings.append(
                parsed.locations.finding(
                    key_of(item), message, *reference.field
                )
            )
    return findings


@functools.singledispatch
def references(item: NamedObject) -> Iterator[Reference]:
    """Yields the references of an object.

    Each is to a kind that stands before the object's own in `Kind`, so that
    references can't go round in a cycle.
    """
    yield from ()


@references.register
def _(item: WorkerPool) -> Iterator[Reference]:
    yield _to(Kind.AVAILABILITY_ZONE, item.availability_zone)


@references.register
def _(item: GuaranteedShape) -> Iterator[Reference]:
    yield _to(Kind.ORGANISATION, item.organisation)
    yield _to(Kind.WORKER_POOL, item.worker_pool)


@references.register
def _(item: Service) -> Iterator[Reference]:
    for index, group in enumerate(item.upstreams):
        field = ("upstreams", index, "availability_zone")
        yield _to(Kind.AVAILABILITY_ZONE, group.availability_zone, field)
    for index, route in enumerate(item.routes):
        field = ("routes", index, "job_class")
        yield _to(Kind.JOB_CLASS, route.job_class, field)


def _to(kind: Kind, name: str, field: FieldPath | None = None) -> Reference:
    return Reference(field or (kind.value,), ObjectKey(kind.value, name))
