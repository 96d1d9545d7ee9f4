"""Keys of objects, and conversion between object sets and mappings."""

from __future__ import annotations

import enum
from collections.abc import Iterator, Mapping

import msgspec

from pomeloarch_core.objects.model import (
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    Service,
    WorkerPool,
)

NamedObject = (
    AvailabilityZone
    | WorkerPool
    | Organisation
    | GuaranteedShape
    | JobClass
    | Service
)


class Kind(enum.Enum):
    """A kind of object; the value is the name of its TOML tables."""

    AVAILABILITY_ZONE = "availability_zone"
    WORKER_POOL = "worker_pool"
    ORGANISATION = "organisation"
    GUARANTEED_SHAPE = "guaranteed_shape"
    JOB_CLASS = "job_class"
    SERVICE = "service"


STRUCT_OF_KIND: Mapping[Kind, type[NamedObject]] = {
    Kind.AVAILABILITY_ZONE: AvailabilityZone,
    Kind.WORKER_POOL: WorkerPool,
    Kind.ORGANISATION: Organisation,
    Kind.GUARANTEED_SHAPE: GuaranteedShape,
    Kind.JOB_CLASS: JobClass,
    Kind.SERVICE: Service,
}
_KIND_OF_STRUCT = {struct: kind for kind, struct in STRUCT_OF_KIND.items()}


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """The kind and name of an object, unique in a set.

    >>> str(ObjectKey("service", "scorer"))
    'service/scorer'
    """

    kind: str
    name: str

    def __str__(self) -> str:
        """Returns `kind/name`."""
        return f"{self.kind}/{self.name}"

    @classmethod
    def from_text(cls, text: str) -> ObjectKey:
        """Parses a key written as `kind/name`."""
        kind, _, name = text.partition("/")
        return cls(kind, name)


def key_of(item: NamedObject) -> ObjectKey:
    """Returns the key of an object."""
    return ObjectKey(_KIND_OF_STRUCT[type(item)].value, item.name)


def iterate_objects(objects: ObjectSet) -> Iterator[NamedObject]:
    """Yields all objects of a set, kind by kind."""
    for kind in Kind:
        yield from getattr(objects, kind.value)


def by_key(objects: ObjectSet) -> dict[ObjectKey, NamedObject]:
    """Returns the objects of a set by their keys."""
    return {key_of(item): item for item in iterate_objects(objects)}


def object_set(items: Mapping[ObjectKey, NamedObject]) -> ObjectSet:
    """Returns the set of these objects, each kind sorted by name."""
    kinds: dict[str, list[NamedObject]] = {kind.value: [] for kind in Kind}
    for key in sorted(items):
        kinds[key.kind].append(items[key])
    return ObjectSet(**{kind: tuple(group) for kind, group in kinds.items()})  # type: ignore[arg-type]
