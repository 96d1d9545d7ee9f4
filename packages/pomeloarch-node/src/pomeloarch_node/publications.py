"""What a publication is asked to do, what it did, and how it can fail."""

from __future__ import annotations

import hashlib

import msgspec

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects.delta import Change, Delta, apply_change
from pomeloarch_core.objects.findings import Finding, Places
from pomeloarch_core.objects.keys import ObjectKey, by_key
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_node.platform import PlatformError

CONFIG_TABLE = "config"
HEAD_KEY = "head"
OBJECTS_TABLE = "objects"
PUBLICATIONS_TABLE = "publications"
PUBLICATION_IDS_TABLE = "publication_ids"

MAX_OBJECTS_PER_PUBLICATION = 250


class Head(msgspec.Struct, frozen=True):
    """The row `config/head`: the highest generation.

    Attributes:
      generation: its number, 0 when nothing was published.
      publication: the publication that made it.
    """

    generation: Generation = Generation(0)
    publication: PublicationId = PublicationId("")


class PublicationRecord(msgspec.Struct, frozen=True):
    """A row of history, which is the audit trail of the objects too.

    Attributes:
      generation: the generation that the publication made.
      publication: its id.
      at: when it was made, in seconds of the wall clock.
      who: the operator.
      why: the operator's reason.
      origin: the address that it came from.
      node: the node that wrote it.
      before: replaced and removed objects as they were.
      after: new and replaced objects as they are.
      rolled_back_to: the generation that a rollback went back to.
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
        """The objects that the publication removed."""
        return tuple(sorted(by_key(self.before).keys() - by_key(self.after)))

    def change(self) -> Change:
        """Returns what the publication changed."""
        return Change(self.after, self.removed)

    def undo(self) -> Change:
        """Returns what takes the publication back."""
        added = by_key(self.after).keys() - by_key(self.before)
        return Change(self.before, tuple(sorted(added)))

    def delta(self) -> Delta:
        """Returns the step from the generation before."""
        return Delta(
            Generation(self.generation - 1),
            self.generation,
            self.publication,
            self.after,
            self.removed,
        )


class PublicationIdRow(msgspec.Struct, frozen=True):
    """A row that settles whether a publication took place.

    Attributes:
      generation: the generation that it made.
      content: the hash of what was asked for, to notice an id used twice.
    """

    generation: Generation
    content: str


class PublicationRequest(msgspec.Struct, frozen=True):
    """What an operator asks for.

    Attributes:
      publication: the operator's id of it, the same in every retry.
      objects: the whole set that is wanted, or the objects to change.
      locations: where the objects stand in the operator's files.
      base: the generation that the operator's files started from; None
        stands for the one in force when the request arrives.
      who: the operator.
      why: the operator's reason.
      origin: the address that it came from.
      removed: objects to remove; with None, `objects` is the whole set.
      rolled_back_to: the generation that a rollback goes back to.
    """

    publication: PublicationId
    objects: ObjectSet
    locations: Places
    base: Generation | None
    who: str
    why: str
    origin: str
    removed: tuple[ObjectKey, ...] | None = None
    rolled_back_to: Generation | None = None

    def wanted(self, base: ObjectSet) -> ObjectSet:
        """Returns the whole set that is wanted by one who started from base."""
        if self.removed is None:
            return self.objects
        return apply_change(base, Change(self.objects, self.removed))

    def content_hash(self) -> str:
        """Returns a hash of what the request asks for."""
        asked = msgspec.json.encode([self.objects, self.removed, self.base])
        return hashlib.sha256(asked).hexdigest()


class Published(msgspec.Struct, frozen=True):
    """A publication that is in force, or changed nothing.

    Attributes:
      generation: the generation that has it.
      publication: its id.
      change: what it changed.
      repeated: whether an earlier try had already published it.
    """

    generation: Generation
    publication: PublicationId
    change: Change
    repeated: bool = False


# ---- failures


class ObjectsRefused(msgspec.Struct, frozen=True):
    """The objects have findings; nothing was published."""

    findings: tuple[Finding, ...]


class ConflictingEdit(msgspec.Struct, frozen=True):
    """Another operator's edit of an object.

    Attributes:
      object: the object's `kind/name`.
      generation: the generation with the edit.
      who: the other operator.
      why: the other operator's reason.
      at: when, in seconds of the wall clock.
    """

    object: str
    generation: Generation
    who: str
    why: str
    at: float


class EditsConflict(msgspec.Struct, frozen=True):
    """Others changed the same objects; nothing was published."""

    edits: tuple[ConflictingEdit, ...]


class RequestRefused(msgspec.Struct, frozen=True):
    """The request can't be met as it stands; nothing was published."""

    reason: str
    message: str


PublishFailure = ObjectsRefused | EditsConflict | RequestRefused | PlatformError
