"""The configuration of batch jobs and the calls that it allows.

A catalogue is one version of the operator's configuration. A node that can't
confirm that its version is recent refuses calls with keys, since a key may have
been revoked meanwhile.
"""

from __future__ import annotations

import enum
from typing import NewType

import msgspec

from pomeloarch_core.batch.model import Queue, QueueName
from pomeloarch_core.ids import Generation, OrganisationName, ServiceName

ApiKey = NewType("ApiKey", str)


class Route(msgspec.Struct, frozen=True):
    """The calls that a queue accepts, by host and path prefix."""

    host: str
    path_prefix: str
    queue: QueueName
    public: bool = False


class Tenant(msgspec.Struct, frozen=True):
    """An organisation's keys and its guarantee.

    Attributes:
      name: the organisation.
      api_keys: the keys that its callers send.
      guaranteed_accelerators: number of accelerators that are always available
        to its jobs of priority 0.
    """

    name: OrganisationName
    api_keys: frozenset[ApiKey] = frozenset()
    guaranteed_accelerators: int = 0


class Limits(msgspec.Struct, frozen=True):
    """Limits on callers' requests, in bytes and seconds."""

    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Refusal(enum.Enum):
    """Why no queue of the catalogue accepts a call."""

    NO_QUEUE = "no_queue"
    UNKNOWN_KEY = "unknown_key"


class Admitted(msgspec.Struct, frozen=True):
    """A call that the catalogue allows.

    Attributes:
      queue: the queue that accepts it.
      organisation: the owner of its key; empty on a public route without a
        known key.
      rest: the path below the route's prefix.
    """

    queue: Queue
    organisation: OrganisationName
    rest: str


class Catalogue(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
      generation: the number of the version; higher ones are newer.
      queues: queues by name.
      routes: routes, those with the longest prefix first.
      tenants: organisations by name.
      without_admission_check: services whose workers start any task that they
        are ordered to.
      standby: services whose machines are switched off.
      limits: limits on callers' requests.
    """

    generation: Generation
    queues: dict[QueueName, Queue]
    routes: tuple[Route, ...]
    tenants: dict[OrganisationName, Tenant]
    without_admission_check: frozenset[ServiceName] = frozenset()
    standby: frozenset[ServiceName] = frozenset()
    limits: Limits = Limits()

    def owner_of(self, key: str | None) -> OrganisationName | None:
        """Returns the owner of a key, None when nobody has it."""
        if key is None:
            return None
        for tenant in self.tenants.values():
            if key in tenant.api_keys:
                return tenant.name
        return None

    def admit(
        self, host: str, path: str, key: str | None
    ) -> Admitted | Refusal:
        """Finds the queue of a call and checks whether its key allows it."""
        for route in self.routes:
            if route.host == host and path.startswith(route.path_prefix):
                return self._authorise(route, path, key)
        return Refusal.NO_QUEUE

    def _authorise(
        self, route: Route, path: str, key: str | None
    ) -> Admitted | Refusal:
        owner = self.owner_of(key)
        if owner is None and not route.public:
            return Refusal.UNKNOWN_KEY
        return Admitted(
            self.queues[route.queue],
            owner or OrganisationName(""),
            path[len(route.path_prefix) :],
        )
