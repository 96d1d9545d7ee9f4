"""Checks the upstreams and routes of each service."""

from __future__ import annotations

from collections.abc import Iterator

from pomeloarch_core.objects.findings import Finding
from pomeloarch_core.objects.keys import key_of
from pomeloarch_core.objects.model import Service
from pomeloarch_core.objects.parser import ParsedObjects


def check_services(parsed: ParsedObjects) -> Iterator[Finding]:
    """Yields findings on the upstreams and routes of services."""
    for service in parsed.objects.service:
        yield from _check_upstreams(parsed, service)
        yield from _check_routes(parsed, service)


def _check_upstreams(
    parsed: ParsedObjects, service: Service
) -> Iterator[Finding]:
    key = key_of(service)
    seen: set[str] = set()
    for index, group in enumerate(service.upstreams):
        if group.availability_zone in seen:
            message = (
                f"has two upstreams in availability_zone/"
                f"{group.availability_zone}; put their executors together"
            )
            yield parsed.locations.finding_at(
                key, message, "upstreams", index, "availability_zone"
            )
        seen.add(group.availability_zone)
    for zone in parsed.objects.availability_zone:
        if zone.name not in seen:
            message = (
                f"has no upstream in {key_of(zone)}, which could not serve "
                "it when cut off; add one"
            )
            yield parsed.locations.finding_at(key, message, "upstreams")


def _check_routes(parsed: ParsedObjects, service: Service) -> Iterator[Finding]:
    key = key_of(service)
    seen: set[str] = set()
    for index, route in enumerate(service.routes):
        path = route.path.rstrip("/")
        if path in seen:
            message = f"has two routes for {route.path}; remove one"
            yield parsed.locations.finding_at(
                key, message, "routes", index, "path"
            )
        seen.add(path)
    if "" not in seen:
        message = 'has no route for "/", the class of all other paths; add one'
        yield parsed.locations.finding_at(key, message, "routes")
