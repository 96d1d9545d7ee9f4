"""The configuration that batch jobs run under, and what it allows.

A catalogue is one version of the operator's configuration. A node that can't
confirm that its version is recent refuses calls with keys, since a key may
have been revoked meanwhile.
"""

from __future__ import annotations

import enum
from typing import NewType

import msgspec

from pomeloarch_core.batch.model import Queue, QueueName
from pomeloarch_core.ids import Generation, OrganisationName, ServiceName

ApiKey = NewType("ApiKey", str)


class Route(msgspec.Struct, frozen=True):
    """Which calls a queue takes."""

    host: str
    path_prefix: str
    queue: QueueName
    public: bool = False


class Tenant(msgspec.Struct, frozen=True):
    """An organisation's keys and its guarantee.

    Attributes:
      name: the organisation.
      api_keys: keys that its callers send.
      guaranteed_accelerators: accelerators that are always its own, for its
        jobs of priority 0.
    """

    name: OrganisationName
    api_keys: frozenset[ApiKey] = frozenset()
    guaranteed_accelerators: int = 0


class Limits(msgspec.Struct, frozen=True):
    """Bounds on callers' requests, in bytes and seconds."""

    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Refusal(enum.Enum):
    """Why a call is not for a queue of this catalogue."""

    NO_QUEUE = "no_queue"
    UNKNOWN_KEY = "unknown_key"


class Admitted(msgspec.Struct, frozen=True):
    """A call that the catalogue allows.

    Attributes:
      queue: the queue that it is for.
      organisation: whose key it carries; empty on a public route.
      rest: the path below the route's prefix.
    """

    queue: Queue
    organisation: OrganisationName
    rest: str


class Catalogue(msgspec.Struct, frozen=True):
    """One version of the configuration.

    Attributes:
      generation: grows with each version.
      queues: queues by name.
      routes: routes, those with the longest prefix first.
      tenants: organisations by name.
      unguarded: services whose workers start whatever they are told to.
      standby: services whose machines are switched off.
      limits: bounds on callers' requests.
    """

    generation: Generation
    queues: dict[QueueName, Queue]
    routes: tuple[Route, ...]
    tenants: dict[OrganisationName, Tenant]
    without_admission_check: frozenset[ServiceName] = frozenset()
    standby: frozenset[ServiceName] = frozenset()
    limits: Limits = Limits()

    def owner_of(self, key: str | None) -> OrganisationName | None:
        """Returns whose key it is, None for a key that nobody has."""
        if key is None:
            return None
        for tenant in self.tenants.values():
            if key in tenant.api_keys:
                return tenant.name
        return None

    def admit(
        self, host: str, path: str, key: str | None
    ) -> Admitted | Refusal:
        """Decides which queue a call is for and whether its key allows it."""
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
