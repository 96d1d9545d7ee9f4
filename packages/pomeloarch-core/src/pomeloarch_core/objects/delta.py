"""Differences between generations, for the history, nodes and rebasing.

A delta names the generation that it starts from, so that a node detects
when it has missed one. An object is always replaced as a whole; its fields
are not merged.
"""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation, PublicationId
from pomeloarch_core.objects.keys import (
    NamedObject,
    ObjectKey,
    by_key,
    object_set,
)
from pomeloarch_core.objects.model import ObjectSet, Snapshot


class Change(msgspec.Struct, frozen=True):
    """The difference between two object sets.

    Attributes:
      changed: added and replaced objects, as they are after the change.
      removed: keys of the objects that were removed.
    """

    changed: ObjectSet = ObjectSet()
    removed: tuple[ObjectKey, ...] = ()

    def keys(self) -> frozenset[ObjectKey]:
        """Returns the keys of all objects that differ."""
        return frozenset(by_key(self.changed)) | frozenset(self.removed)


class Delta(msgspec.Struct, frozen=True):
    """The change from one generation to a higher one.

    Attributes:
      base: the generation that the delta applies to.
      generation: the generation that results from it.
      publication: the publication that created that generation.
      changed: added and replaced objects, as they are after the change.
      removed: keys of the objects that were removed.
    """

    base: Generation
    generation: Generation
    publication: PublicationId
    changed: ObjectSet = ObjectSet()
    removed: tuple[ObjectKey, ...] = ()

    @property
    def change(self) -> Change:
        """The difference between the two generations' objects."""
        return Change(self.changed, self.removed)


class BaseMismatch(msgspec.Struct, frozen=True):
    """A delta was applied to a generation that it does not start from.

    Attributes:
      expected: the generation that the delta starts from.
      found: the generation that it was applied to.
    """

    expected: Generation
    found: Generation


def difference(old: ObjectSet, new: ObjectSet) -> Change:
    """Returns the change that turns one set into another."""
    before, after = by_key(old), by_key(new)
    changed = {
        key: item for key, item in after.items() if before.get(key) != item
    }
    removed = sorted(before.keys() - after.keys())
    return Change(object_set(changed), tuple(removed))


def apply_change(objects: ObjectSet, change: Change) -> ObjectSet:
    """Returns a set with a change applied."""
    items = by_key(objects)
    for key in change.removed:
        items.pop(key, None)
    items.update(by_key(change.changed))
    return object_set(items)


def select(objects: ObjectSet, keys: frozenset[ObjectKey]) -> ObjectSet:
    """Returns the objects of a set that have one of the keys."""
    found: dict[ObjectKey, NamedObject] = {
        key: item for key, item in by_key(objects).items() if key in keys
    }
    return object_set(found)


def make_delta(old: Snapshot, new: Snapshot) -> Delta:
    """Returns the delta from one snapshot to a newer one."""
    change = difference(old.objects, new.objects)
    return Delta(
        old.generation,
        new.generation,
        new.publication,
        change.changed,
        change.removed,
    )


def apply_delta(
    snapshot: Snapshot, delta: Delta
) -> Result[Snapshot, BaseMismatch]:
    """Applies a delta to the snapshot that it starts from.

    Args:
      snapshot: the snapshot to change.
      delta: the delta to apply.

    Returns:
      The newer snapshot, or the mismatch between the two generations.
    """
    if delta.base != snapshot.generation:
        return Err(BaseMismatch(delta.base, snapshot.generation))
    objects = apply_change(snapshot.objects, delta.change)
    return Ok(Snapshot(delta.generation, delta.publication, objects))
