"""Requests, records, results and failures of publications."""

from __future__ import annotations

import hashlib

import msgspec

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects.delta import Change, Delta, apply_change
from pomeloarch_core.objects.findings import Finding, ObjectLocations
from pomeloarch_core.objects.keys import ObjectKey, by_key
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_node.platform import PlatformError

CONFIG_TABLE = "config"
HEAD_KEY = "head"
OBJECTS_TABLE = "objects"
PUBLICATIONS_TABLE = "publications"
PUBLICATION_IDS_TABLE = "publication_ids"

# Limit on the objects that one publication changes.
MAX_OBJECTS_PER_PUBLICATION = 250


class Head(msgspec.Struct, frozen=True):
    """The row `config/head`, which names the highest generation.

    Attributes:
      generation: its number, 0 if nothing has been published.
      publication: the id of the publication that created it.
    """

    generation: Generation = Generation(0)
    publication: PublicationId = PublicationId("")


class PublicationRecord(msgspec.Struct, frozen=True):
    """A row of the history, which is also the audit trail of the objects.

    Attributes:
      generation: the generation that the publication created.
      publication: the id of the publication.
      at: the time of the publication, in seconds of the wall clock.
      who: the operator.
      why: the operator's reason.
      origin: the address that the request came from.
      node: the node that wrote the record.
      before: replaced and removed objects, as they were before.
      after: added and replaced objects, as they are after it.
      rolled_back_to: the generation that a rollback restored, else None.
    """

    generation: Generation
    publication: PublicationId
    at: float
    who: str
    why: str
    origin: str
    node: NodeId
    before: ObjectSet
    after: ObjectSet
    rolled_back_to: Generation | None = None

    @property
    def removed(self) -> tuple[ObjectKey, ...]:
        """The keys of the objects that the publication removed."""
        return tuple(sorted(by_key(self.before).keys() - by_key(self.after)))

    def change(self) -> Change:
        """Returns what the publication changed."""
        return Change(self.after, self.removed)

    def inverse_change(self) -> Change:
        """Returns the change that reverts the publication."""
        added = by_key(self.after).keys() - by_key(self.before)
        return Change(self.before, tuple(sorted(added)))

    def delta(self) -> Delta:
        """Returns the delta from the previous generation."""
        return Delta(
            Generation(self.generation - 1),
            self.generation,
            self.publication,
            self.after,
            self.removed,
        )


class PublicationIdRow(msgspec.Struct, frozen=True):
    """A row that exists exactly if a publication took place.

    Attributes:
      generation: the generation that it created.
      content: the hash of the request, by which the use of one id for two
        publications is detected.
    """

    generation: Generation
    content: str


class PublicationRequest(msgspec.Struct, frozen=True):
    """An operator's request to publish objects.

    Attributes:
      publication: the operator's id of the publication, the same in every
        retry.
      objects: the whole target set, or the objects to add or replace.
      locations: where the objects are defined in the operator's files.
      base: the generation that the operator's files started from; None
        stands for the highest one when the request arrives.
      who: the operator.
      why: the operator's reason.
      origin: the address that the request came from.
      removed: keys of the objects to remove; if None, `objects` is the whole
        target set.
      rolled_back_to: the generation that a rollback restores, else None.
    """

    publication: PublicationId
    objects: ObjectSet
    locations: ObjectLocations
    base: Generation | None
    who: str
    why: str
    origin: str
    removed: tuple[ObjectKey, ...] | None = None
    rolled_back_to: Generation | None = None

    def target_objects(self, base: ObjectSet) -> ObjectSet:
        """Returns the whole set that results from the request on a base."""
        if self.removed is None:
            return self.objects
        return apply_change(base, Change(self.objects, self.removed))

    def content_hash(self) -> str:
        """Returns a hash of the requested change."""
        requested = msgspec.json.encode([self.objects, self.removed, self.base])
        return hashlib.sha256(requested).hexdigest()


class Published(msgspec.Struct, frozen=True):
    """A publication that succeeded, or that had nothing to change.

    Attributes:
      generation: the generation that contains it.
      publication: the id of the publication that created this generation.
      change: what the publication changed.
      repeated: whether an earlier request had already published it.
    """

    generation: Generation
    publication: PublicationId
    change: Change
    repeated: bool = False


class ObjectsRefused(msgspec.Struct, frozen=True):
    """The objects have errors, given as findings; nothing was published."""

    findings: tuple[Finding, ...]


class ConflictingEdit(msgspec.Struct, frozen=True):
    """Another operator's edit of an object.

    Attributes:
      object: the object as `kind/name`.
      generation: the generation that contains the edit.
      who: the other operator.
      why: the other operator's reason.
      at: the time of the edit, in seconds of the wall clock.
    """

    object: str
    generation: Generation
    who: str
    why: str
    at: float


class EditsConflict(msgspec.Struct, frozen=True):
    """Others have edited the same objects; nothing was published."""

    edits: tuple[ConflictingEdit, ...]


class RequestRefused(msgspec.Struct, frozen=True):
    """The request cannot be carried out; nothing was published.

    Attributes:
      reason: the code of the reason.
      message: the reason, for people.
    """

    reason: str
    message: str


PublishFailure = ObjectsRefused | EditsConflict | RequestRefused | PlatformError
