"""Differences between generations: for history, pushes and rebasing.

A delta names the generation it starts from, so that a node which missed
one notices. Objects are replaced whole; there is no merge within one.
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
    """What differs between two object sets.

    Attributes:
      changed: new objects, and replaced ones as they are afterwards.
      removed: objects that are gone.
    """

    changed: ObjectSet = ObjectSet()
    removed: tuple[ObjectKey, ...] = ()

    def keys(self) -> frozenset[ObjectKey]:
        """Returns the keys of all objects that differ."""
        return frozenset(by_key(self.changed)) | frozenset(self.removed)


class Delta(msgspec.Struct, frozen=True):
    """The step from one generation to a higher one.

    Attributes:
      base: the generation that it applies to.
      generation: the generation that it leads to.
      publication: the publication that made that generation.
      changed: new and replaced objects as they are afterwards.
      removed: objects that are gone.
    """

    base: Generation
    generation: Generation
    publication: PublicationId
    changed: ObjectSet = ObjectSet()
    removed: tuple[ObjectKey, ...] = ()

    @property
    def change(self) -> Change:
        """The objects that differ."""
        return Change(self.changed, self.removed)


class BaseMismatch(msgspec.Struct, frozen=True):
    """A delta starts from another generation than the one at hand."""

    expected: Generation
    found: Generation


def difference(old: ObjectSet, new: ObjectSet) -> Change:
    """Returns what leads from one set to another."""
    before, after = by_key(old), by_key(new)
    changed = {
        key: item for key, item in after.items() if before.get(key) != item
    }
    removed = sorted(before.keys() - after.keys())
    return Change(object_set(changed), tuple(removed))


def apply_change(objects: ObjectSet, change: Change) -> ObjectSet:
    """Returns a set with a change made to it."""
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
    """Returns the step from one snapshot to a newer one."""
    change = difference(old.objects, new.objects)
    return Delta(
        old.generation,
        new.generation,
        new.publication,
        change.changed,
        change.removed,
    )


def apply_delta(
    snapshot: Snapshot, step: Delta
) -> Result[Snapshot, BaseMismatch]:
    """Applies a delta to the snapshot that it starts from.

    Args:
      snapshot: the generation at hand.
      step: the delta.

    Returns:
      The newer snapshot, or which generation the delta would need.
    """
    if step.base != snapshot.generation:
        return Err(BaseMismatch(step.base, snapshot.generation))
    objects = apply_change(snapshot.objects, step.change)
    return Ok(Snapshot(step.generation, step.publication, objects))
