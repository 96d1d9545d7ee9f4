"""Bodies of the requests and answers of the operators' API."""

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
    """A TOML file with objects."""

    path: str
    text: str


class PublishBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /v1/publications`.

    Attributes:
      publication: the id of the publication, the same in each retry.
      who: the operator.
      why: the operator's reason.
      origin: the host on which the operator works.
      base: the generation from which the documents were made; None for the one
        in force.
      documents: files that together contain the whole set of objects, or, if
        `removed` is given, the objects to change.
      removed: objects to remove, as `kind/name`. If it is given, objects that
        are in no document stay as they are.
      rollback_to: generation whose objects are published again; given instead
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
    """Answer to a publication that is in force.

    Attributes:
      generation: the generation that the publication created.
      publication: the id of the publication.
      changed: new and replaced objects.
      removed: removed objects.
      repeated: whether an earlier attempt had already published it.
    """

    generation: Generation
    publication: PublicationId
    changed: tuple[str, ...]
    removed: tuple[str, ...]
    repeated: bool

    @classmethod
    def from_published(cls, published: Published) -> PublishAnswer:
        """Returns the answer for a publication."""
        change = published.change
        return cls(
            published.generation,
            published.publication,
            tuple(str(key) for key in by_key(change.changed)),
            tuple(str(key) for key in change.removed),
            published.repeated,
        )


class GenerationSummary(msgspec.Struct, frozen=True):
    """One generation in the history."""

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
        """Returns the summary of a publication's record."""
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
    """Answer to `GET /v1/generations`, with the newest generation first."""

    head: Generation
    generations: tuple[GenerationSummary, ...]


class GenerationAnswer(msgspec.Struct, frozen=True):
    """Answer to `GET /v1/generations/{generation}`."""

    generation: Generation
    objects: ObjectSet
    summary: GenerationSummary | None


class DiffEntry(msgspec.Struct, frozen=True):
    """An object that differs between two generations.

    `before` is None for an object that was added, `after` for a removed one.
    """

    object: str
    before: Any
    after: Any


class DiffAnswer(msgspec.Struct, frozen=True):
    """Answer to `GET /v1/generations/{a}/diff/{b}`."""

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
        """Returns the differences between the sets of two generations."""
        before, after = by_key(old), by_key(new)
        entries = [
            DiffEntry(str(key), before.get(key), after.get(key))
            for key in sorted(before.keys() | after.keys())
            if before.get(key) != after.get(key)
        ]
        return cls(generations[0], generations[1], tuple(entries))


class AuditEntry(msgspec.Struct, frozen=True):
    """An entry of the audit trail.

    Attributes:
      at: time of the change or decision, in seconds of the wall clock; 0 if the
        entry has none.
      subject: the object, job, host or role concerned.
      who: the operator, or the node that made the decision.
      why: the reason.
      origin: where the request came from.
      generation: the generation that a publication created, else None.
      before: the content before the change.
      after: the content after the change.
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
    """Answer to `GET /v1/audit`, with the newest entry first."""

    entries: tuple[AuditEntry, ...]


class FindingsProblem(Problem, frozen=True):
    """A problem document that lists the findings about objects."""

    findings: tuple[Finding, ...] = ()


class ConflictProblem(Problem, frozen=True):
    """A problem document that lists conflicting edits."""

    conflicts: tuple[ConflictingEdit, ...] = ()
