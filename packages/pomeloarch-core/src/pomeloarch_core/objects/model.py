"""Typed data of the named objects.

A shape is checked when an object is decoded; what crosses objects, such as
a reference from one to another, is checked over a whole `ObjectSet`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from pomeloarch_core.ids import (
    Generation,
    JobClassName,
    OrganisationName,
    PoolName,
    PublicationId,
    ServiceName,
    ShapeName,
    TeamName,
    ZoneName,
)

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
AcceleratorsPerHost = Annotated[int, msgspec.Meta(ge=1, le=64)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Weight = Annotated[float, msgspec.Meta(gt=0.0, le=1_000.0)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=31_536_000.0)]


class Urgency(enum.Enum):
    """How soon a class's work has to start."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"


class Adjacency(enum.Enum):
    """How close the members of a gang have to be to each other."""

    HOST = "host"
    RACK = "rack"
    ANY = "any"


class OveruseAction(enum.Enum):
    """What happens to a task that stays above its declared size."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"


class _Object(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings that every kind of object shares."""


class AvailabilityZone(_Object, frozen=True):
    """One availability zone of a region."""

    name: ZoneName
    region: Name


class WorkerPool(_Object, frozen=True):
    """Equal hosts with accelerators in one availability zone.

    Attributes:
      name: the pool's name.
      availability_zone: where its racks stand.
      racks: how many racks it has.
      hosts_per_rack: workers in each rack.
      accelerators_per_host: accelerators of each worker.
      cores_per_host: processor cores of each worker.
      memory_gb_per_host: memory of each worker, in GB.
      protections: whether tasks above their declared size are throttled,
        checkpointed or stopped by their class's rules.
    """

    name: PoolName
    availability_zone: ZoneName
    racks: Count
    hosts_per_rack: Count
    accelerators_per_host: AcceleratorsPerHost
    cores_per_host: Count
    memory_gb_per_host: Count
    protections: bool = True


class Team(_Object, frozen=True):
    """A part of an organisation with a quota of its own."""

    name: TeamName
    quota_accelerators: Count


class Organisation(_Object, frozen=True):
    """A customer: who owns guarantees, quotas and a fair share.

    Attributes:
      name: the organisation's name.
      weight: its part in weighted fair shares.
      quota_accelerators: accelerators it may hold at once in all zones.
      teams: parts with quotas of their own.
    """

    name: OrganisationName
    weight: Weight = 1.0
    quota_accelerators: Count = 1_000_000
    teams: tuple[Team, ...] = ()


class GuaranteedShape(_Object, frozen=True):
    """Adjacent accelerators that an organisation can always reclaim.

    Attributes:
      name: the shape's name.
      organisation: its owner.
      worker_pool: the pool that holds it.
      hosts: how many workers of one rack it spans.
      accelerators_per_host: accelerators on each of these workers.
      count: how many such shapes the owner has.
    """

    name: ShapeName
    organisation: OrganisationName
    worker_pool: PoolName
    hosts: Count
    accelerators_per_host: Count
    count: Count = 1


class Protection(_Object, frozen=True):
    """Rules for a task whose usage is above its declared size.

    Attributes:
      throttle_above: usage over declared size that gets a task throttled.
      act_above: usage over declared size that gets it `then`.
      patience_s: how long usage has to stay above either, in seconds.
      then: what is done to it.
    """

    throttle_above: Annotated[float, msgspec.Meta(ge=1.0)] = 1.25
    act_above: Annotated[float, msgspec.Meta(ge=1.0)] = 2.0
    patience_s: Seconds = 10.0
    then: OveruseAction = OveruseAction.CHECKPOINT


class JobClass(_Object, frozen=True):
    """One kind of work, for jobs and for requests of services.

    Attributes:
      name: the class's name.
      urgency: how soon its work has to start.
      floor_share: the part of capacity it keeps in any flood of others.
      preemptible: whether its jobs may be checkpointed and stopped.
      grace_s: time a preempted job has to write its checkpoint, in seconds.
      max_gang: the most members a gang of it may have.
      adjacency: how close the members of a gang have to be.
      deadline_s: time a request of it is given when a caller names none.
      protection: rules for tasks above their declared size.
    """

    name: JobClassName
    urgency: Urgency
    floor_share: Share = 0.0
    preemptible: bool = True
    grace_s: Seconds = 5.0
    max_gang: Annotated[int, msgspec.Meta(ge=1, le=128)] = 1
    adjacency: Adjacency = Adjacency.RACK
    deadline_s: Annotated[float, msgspec.Meta(gt=0.0, le=3600.0)] = 30.0
    protection: Protection = Protection()


class UpstreamGroup(_Object, frozen=True):
    """The executors of a service in one availability zone.

    The platform's membership list names their addresses.
    """

    availability_zone: ZoneName
    executors: Count
    slots: Count = 8
    connections: Count = 64


class Route(_Object, frozen=True):
    """The class of the requests below a path of a service."""

    path: Annotated[str, msgspec.Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    job_class: JobClassName


class Service(_Object, frozen=True):
    """Executors that answer callers' requests.

    Attributes:
      name: the service's name, part of its URL.
      upstreams: its executors by zone.
      routes: the class of each path; the longest prefix wins. A route for
        "/" is the service's default class.
      floor_share: the part of an entry host's concurrency that it keeps in
        a flood of other services.
      max_body_bytes: the largest body of a request.
    """

    name: ServiceName
    upstreams: tuple[UpstreamGroup, ...]
    routes: tuple[Route, ...]
    floor_share: Share = 0.0
    max_body_bytes: Count = 1_000_000


class ObjectSet(_Object, frozen=True):
    """All objects of one generation, each kind in the order of its names."""

    availability_zone: tuple[AvailabilityZone, ...] = ()
    worker_pool: tuple[WorkerPool, ...] = ()
    organisation: tuple[Organisation, ...] = ()
    guaranteed_shape: tuple[GuaranteedShape, ...] = ()
    job_class: tuple[JobClass, ...] = ()
    service: tuple[Service, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """A published generation, as nodes hold it and pass it on.

    Attributes:
      generation: its number; a node never goes from a higher to a lower one.
      publication: the id by which a publisher finds its own again.
      objects: the whole set of objects.
    """

    generation: Generation
    publication: PublicationId
    objects: ObjectSet
