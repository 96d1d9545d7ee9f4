"""The services, job classes and organisations of the configuration in force."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from absl import logging

from pomeloarch_core.ids import (
    ExecutorId,
    JobClassName,
    OrganisationName,
    ServiceName,
    ZoneName,
)
from pomeloarch_core.objects.model import JobClass, Service, Snapshot
from pomeloarch_core.routing import (
    ServiceRouter,
    Upstream,
    ZoneCosts,
    class_weights,
)
from pomeloarch_node.platform import Host, HostKind, HostState

# Number of slots of an executor whose list entry gives no valid number.
_DEFAULT_SLOTS = 8


class Catalogue:
    """The configured services, each with its router.

    Args:
      zone: this node's availability zone.
      rng: the random number generator of the routers.

    Attributes:
      zones: the measured costs of the availability zones.
      services: the configured services by name.
      routers: the router of each service.
      classes: the configured job classes by name.
      organisations: the names of the configured organisations.
      is_loaded: whether a configuration is in force.
    """

    def __init__(self, zone: ZoneName, rng: random.Random) -> None:
        """Creates a catalogue without services."""
        self.zones = ZoneCosts(zone)
        self.services: dict[ServiceName, Service] = {}
        self.routers: dict[ServiceName, ServiceRouter] = {}
        self.classes: dict[JobClassName, JobClass] = {}
        self.organisations: frozenset[OrganisationName] = frozenset()
        self.is_loaded = False
        self._rng = rng
        self._upstreams: dict[ServiceName, list[Upstream]] = {}

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Applies a newer configuration; routers keep their state."""
        objects = snapshot.objects
        self.classes = {each.name: each for each in objects.job_class}
        self.services = {each.name: each for each in objects.service}
        weights = {each.name: each.weight for each in objects.organisation}
        self.organisations = frozenset(weights)
        for name in self.routers.keys() - self.services.keys():
            del self.routers[name]
        for service in objects.service:
            self._update_service(service, weights)
        self.is_loaded = True

    def update_hosts(self, hosts: Iterable[Host]) -> None:
        """Updates the executors of all services from a newer list of hosts."""
        self._upstreams = {}
        for host in hosts:
            if host.kind is HostKind.EXECUTOR:
                service = ServiceName(str(host.attributes.get("service", "")))
                self._upstreams.setdefault(service, []).append(
                    _make_upstream(host)
                )
        for name, router in self.routers.items():
            router.replace_upstreams(self._upstreams.get(name, ()))

    def _update_service(
        self, service: Service, organisations: Mapping[OrganisationName, float]
    ) -> None:
        names = {route.job_class for route in service.routes}
        weights = class_weights(
            self.classes[name] for name in sorted(names) if name in self.classes
        )
        router = self.routers.get(service.name)
        if router is not None:
            router.admission.set_weights(weights, organisations)
            return
        router = ServiceRouter(
            service.name, weights, organisations, self.zones, self._rng
        )
        router.replace_upstreams(self._upstreams.get(service.name, ()))
        self.routers[service.name] = router


def _make_upstream(host: Host) -> Upstream:
    return Upstream(
        executor_id=ExecutorId(host.id),
        availability_zone=ZoneName(host.availability_zone),
        address=host.address,
        slots=_read_slots(host),
        leaving=host.state is HostState.LEAVING,
    )


def _read_slots(host: Host) -> int:
    slots = host.attributes.get("slots", _DEFAULT_SLOTS)
    if isinstance(slots, int) and slots > 0:
        return slots
    logging.warning(
        "invalid number of slots for executor %s: %r", host.id, slots
    )
    return _DEFAULT_SLOTS
