"""Bodies of the operators' HTTP calls."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects.findings import Finding
from pomeloarch_core.objects.keys import by_key
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_node.problems import Problem
from pomeloarch_node.publications import (
    ConflictingEdit,
    PublicationRecord,
    Published,
)

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=500)]
_Id = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]
ObjectName = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z_]{1,40}/[a-z0-9][a-z0-9-]{0,62}$")
]
_Number = Annotated[int, msgspec.Meta(ge=0)]


class Document(msgspec.Struct, frozen=True):
    """A file of objects in TOML."""

    path: str
    text: str


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /v1/publications`.

    Attributes:
      publication: the publication's id, the same in every retry.
      who: the operator.
      why: the operator's reason.
      origin: the host that the operator works on.
      base: the generation that the documents were made from; None stands
        for the one in force.
      documents: files that together are the whole set, or the objects to
        change when `removed` is given.
      removed: objects to remove, as `kind/name`; with it, objects that are
        in no document stay as they are.
      rollback_to: publish the objects of this generation again, in place
        of documents.
    """

    publication: _Id
    who: _Text
    why: _Text
    origin: Annotated[str, msgspec.Meta(max_length=200)] = ""
    base: _Number | None = None
    documents: tuple[Document, ...] | None = None
    removed: tuple[ObjectName, ...] | None = None
    rollback_to: _Number | None = None


class PublishAnswer(msgspec.Struct, frozen=True):
    """The answer to a publication that is in force.

    Attributes:
      generation: the generation that has it.
      publication: its id.
      changed: new and replaced objects.
      removed: objects that are gone.
      repeated: whether an earlier try had already published it.
    """

    generation: Generation
    publication: PublicationId
    changed: tuple[str, ...]
    removed: tuple[str, ...]
    repeated: bool

    @classmethod
    def from_published(cls, published: Published) -> PublishAnswer:
        """Returns the answer about a publication."""
        change = published.change
        return cls(
            published.generation,
            published.publication,
            tuple(str(key) for key in by_key(change.changed)),
            tuple(str(key) for key in change.removed),
            published.repeated,
        )


class GenerationSummary(msgspec.Struct, frozen=True):
    """A line of history."""

    generation: Generation
    publication: PublicationId
    at: float
    who: str
    why: str
    origin: str
    node: NodeId
    changed: tuple[str, ...]
    removed: tuple[str, ...]
    rolled_back_to: Generation | None

    @classmethod
    def from_record(cls, record: PublicationRecord) -> GenerationSummary:
        """Returns the line about a publication."""
        return cls(
            record.generation,
            record.publication,
            record.at,
            record.who,
            record.why,
            record.origin,
            record.node,
            tuple(str(key) for key in by_key(record.after)),
            tuple(str(key) for key in record.removed),
            record.rolled_back_to,
        )


class HistoryAnswer(msgspec.Struct, frozen=True):
    """The answer of `GET /v1/generations`, the newest first."""

    head: Generation
    generations: tuple[GenerationSummary, ...]


class GenerationAnswer(msgspec.Struct, frozen=True):
    """The answer of `GET /v1/generations/{generation}`."""

    generation: Generation
    objects: ObjectSet
    summary: GenerationSummary | None


class DiffEntry(msgspec.Struct, frozen=True):
    """One object that differs; `before` or `after` is absent with it."""

    object: str
    before: Any
    after: Any


class DiffAnswer(msgspec.Struct, frozen=True):
    """The answer of `GET /v1/generations/{a}/diff/{b}`."""

    from_generation: Generation
    to_generation: Generation
    entries: tuple[DiffEntry, ...]

    @classmethod
    def between(
        cls,
        generations: tuple[Generation, Generation],
        old: ObjectSet,
        new: ObjectSet,
    ) -> DiffAnswer:
        """Returns what differs between two sets."""
        before, after = by_key(old), by_key(new)
        entries = [
            DiffEntry(str(key), before.get(key), after.get(key))
            for key in sorted(before.keys() | after.keys())
            if before.get(key) != after.get(key)
        ]
        return cls(generations[0], generations[1], tuple(entries))


class AuditEntry(msgspec.Struct, frozen=True):
    """One entry of the audit trail.

    Attributes:
      at: when, in seconds of the wall clock; 0 when the entry names none.
      subject: the object, job, host or role that it is about.
      who: who did it: an operator, or the node that decided.
      why: the reason.
      origin: where it came from.
      generation: the generation that it made, for a publication.
      before: what was there before.
      after: what is there since.
    """

    at: float
    subject: str
    who: str
    why: str
    origin: str = ""
    generation: Generation | None = None
    before: Any = None
    after: Any = None


class AuditAnswer(msgspec.Struct, frozen=True):
    """The answer of `GET /v1/audit`, the newest first."""

    entries: tuple[AuditEntry, ...]


class FindingsProblem(Problem, frozen=True):
    """A problem that lists what is wrong with objects."""

    findings: tuple[Finding, ...] = ()


class ConflictProblem(Problem, frozen=True):
    """A problem that lists the edits of others."""

    conflicts: tuple[ConflictingEdit, ...] = ()
