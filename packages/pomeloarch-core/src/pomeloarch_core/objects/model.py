"""Data model of the named objects.

Each object is validated against its type when it is decoded. Rules that span
several objects, such as references, are checked over a whole `ObjectSet`.
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
    """How soon the work of a job class has to start."""

    URGENT = "urgent"
    STANDARD = "standard"
    BATCH = "batch"


class Adjacency(enum.Enum):
    """How close the members of a gang have to be to each other."""

    HOST = "host"
    RACK = "rack"
    ANY = "any"


class OveruseAction(enum.Enum):
    """What happens to a task whose usage stays above its declared size."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"


class _Object(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the object types; rejects unknown fields."""


class AvailabilityZone(_Object, frozen=True):
    """One availability zone of a region."""

    name: ZoneName
    region: Name


class WorkerPool(_Object, frozen=True):
    """Identical hosts with accelerators in one availability zone.

    Attributes:
      name: the pool's name.
      availability_zone: the zone that its racks are in.
      racks: the number of racks.
      hosts_per_rack: the number of workers in each rack.
      accelerators_per_host: the number of accelerators of each worker.
      cores_per_host: the number of processor cores of each worker.
      memory_gb_per_host: the memory of each worker, in GB.
      protections: whether tasks above their declared size are throttled,
        checkpointed or stopped as the protection of their class says.
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
    """A team of an organisation, with its own quota."""

    name: TeamName
    quota_accelerators: Count


class Organisation(_Object, frozen=True):
    """A customer, which has guarantees, quotas and a fair share.

    Attributes:
      name: the organisation's name.
      weight: its weight in weighted fair sharing.
      quota_accelerators: the accelerators that it may hold at the same time in
        all zones.
      teams: its teams, each with its own quota.
    """

    name: OrganisationName
    weight: Weight = 1.0
    quota_accelerators: Count = 1_000_000
    teams: tuple[Team, ...] = ()


class GuaranteedShape(_Object, frozen=True):
    """Adjacent accelerators that an organisation can reclaim at any time.

    Attributes:
      name: the shape's name.
      organisation: its owner.
      worker_pool: the pool that the accelerators are in.
      hosts: the number of workers of one rack that it spans.
      accelerators_per_host: the number of accelerators on each of them.
      count: the number of such shapes that the owner has.
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
      throttle_above: the ratio of usage to declared size above which a task is
        throttled.
      act_above: the ratio of usage to declared size above which `then` is
        applied.
      patience_s: how long usage has to stay above a threshold, in seconds.
      then: the action on a task above `act_above`.
    """

    throttle_above: Annotated[float, msgspec.Meta(ge=1.0)] = 1.25
    act_above: Annotated[float, msgspec.Meta(ge=1.0)] = 2.0
    patience_s: Seconds = 10.0
    then: OveruseAction = OveruseAction.CHECKPOINT


class JobClass(_Object, frozen=True):
    """A class of work: of jobs and of requests to services.

    Attributes:
      name: the class's name.
      urgency: how soon its work has to start.
      floor_share: the share of capacity that it keeps under any load of other
        classes, from 0 to 1.
      preemptible: whether its jobs may be checkpointed and stopped.
      grace_s: the time that a preempted job has to write its checkpoint, in
        seconds.
      max_gang: the largest number of members in a gang.
      adjacency: how close the members of a gang have to be.
      deadline_s: the deadline of a request whose caller sets none, in seconds.
      protection: the rules for tasks above their declared size.
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

    Their addresses come from the platform's membership list.
    """

    availability_zone: ZoneName
    executors: Count
    slots: Count = 8
    connections: Count = 64


class Route(_Object, frozen=True):
    """The job class of the requests under one path prefix of a service."""

    path: Annotated[str, msgspec.Meta(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    job_class: JobClassName


class Service(_Object, frozen=True):
    """A service whose executors answer the requests of callers.

    Attributes:
      name: the service's name, which is part of its URL.
      upstreams: its executors by zone.
      routes: the job class of each path prefix; the longest matching prefix
        applies. The route for "/" sets the default class of the service.
      floor_share: the share of an entry host's concurrency that it keeps
        under any load of other services, from 0 to 1.
      max_body_bytes: the largest request body, in bytes.
    """

    name: ServiceName
    upstreams: tuple[UpstreamGroup, ...]
    routes: tuple[Route, ...]
    floor_share: Share = 0.0
    max_body_bytes: Count = 1_000_000


class ObjectSet(_Object, frozen=True):
    """All objects of one generation, each kind sorted by name."""

    availability_zone: tuple[AvailabilityZone, ...] = ()
    worker_pool: tuple[WorkerPool, ...] = ()
    organisation: tuple[Organisation, ...] = ()
    guaranteed_shape: tuple[GuaranteedShape, ...] = ()
    job_class: tuple[JobClass, ...] = ()
    service: tuple[Service, ...] = ()


class Snapshot(msgspec.Struct, frozen=True):
    """A published generation, as nodes store and forward it.

    Attributes:
      generation: its number; a node never replaces it by a lower one.
      publication: the id by which a publisher recognises its publication.
      objects: the complete set of objects.
    """

    generation: Generation
    publication: PublicationId
    objects: ObjectSet
