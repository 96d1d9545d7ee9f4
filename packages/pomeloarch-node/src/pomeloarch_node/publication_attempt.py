"""Single attempts at a publication, repeated until the outcome is known."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.check import check_objects
from pomeloarch_core.objects.delta import difference, select
from pomeloarch_core.objects.findings import Finding, ObjectLocations
from pomeloarch_core.objects.keys import ObjectKey
from pomeloarch_core.objects.model import ObjectSet, Snapshot
from pomeloarch_core.objects.rebase import rebase
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Row,
)
from pomeloarch_node.publication_rows import make_rows
from pomeloarch_node.publication_store import (
    PublicationStore,
    parse_head,
)
from pomeloarch_node.publications import (
    CONFIG_TABLE,
    HEAD_KEY,
    MAX_OBJECTS_PER_PUBLICATION,
    PUBLICATION_IDS_TABLE,
    ConflictingEdit,
    EditsConflict,
    ObjectsRefused,
    PublicationIdRow,
    PublicationRecord,
    PublicationRequest,
    Published,
    PublishFailure,
    RequestRefused,
)


class PublicationOutcome(msgspec.Struct, frozen=True):
    """A publication and a snapshot that contains it."""

    published: Published
    snapshot: Snapshot


class RetryableFailure(msgspec.Struct, frozen=True):
    """The failure of an attempt after which another one is to be made.

    Attributes:
      cause: the platform's error; None stands for a conflict with another
        publication.
    """

    cause: PlatformError | None


class _AttemptRows(msgspec.Struct, frozen=True):
    head: Row
    publication_id: Row


# Runs a function outside the event loop, as `asyncio.to_thread` does.
Offload = Callable[..., Awaitable[list[Finding]]]

PublicationAttemptResult = Result[
    PublicationOutcome, PublishFailure | RetryableFailure
]


class PublicationAttempts:
    """Makes attempts at one publication.

    Args:
      platform: the client of the platform.
      store: reads earlier publications.
      request: what to publish.
      offload: runs the check of a whole set outside the event loop.

    Attributes:
      is_outcome_unknown: whether the answer to a transaction was lost.
    """

    def __init__(
        self,
        platform: PlatformClient,
        store: PublicationStore,
        request: PublicationRequest,
        offload: Offload,
    ) -> None:
        """Creates an object that has made no attempt."""
        self._offload = offload
        self._platform = platform
        self._store = store
        self._request = request
        self._base: tuple[Generation, ObjectSet] | None = None
        self.is_outcome_unknown = False

    async def attempt(
        self, record: PublicationRecord
    ) -> PublicationAttemptResult:
        """Reads the highest generation and publishes on top of it."""
        known = self._store.known()
        rows = await self._read_rows()
        if isinstance(rows, Err):
            return Err(RetryableFailure(rows.err_value))
        head = parse_head(rows.ok_value.head)
        loaded = await self._store.load_at_least(head, known)
        if isinstance(loaded, Err):
            return Err(RetryableFailure(loaded.err_value))
        snapshot = loaded.ok_value
        if rows.ok_value.publication_id.value is not None:
            return await self._answer_repeated(
                rows.ok_value.publication_id, snapshot
            )
        if snapshot.generation != head.generation:
            return Err(RetryableFailure(None))
        target = await self._rebase_and_check(snapshot)
        if isinstance(target, Err):
            return target
        return await self._write(
            record, rows.ok_value, snapshot, target.ok_value
        )

    async def _read_rows(self) -> Result[_AttemptRows, PlatformError]:
        keys = [
            (CONFIG_TABLE, HEAD_KEY),
            (PUBLICATION_IDS_TABLE, self._request.publication),
        ]
        rows = await self._platform.read(keys)
        return rows.map(lambda found: _AttemptRows(found[0], found[1]))

    async def _answer_repeated(
        self, row: Row, snapshot: Snapshot
    ) -> PublicationAttemptResult:
        """Returns the outcome of a publication that was already written."""
        found = msgspec.convert(row.value, PublicationIdRow)
        if found.content != self._request.content_hash():
            message = (
                f"the id {self._request.publication} was used for another "
                f"publication, generation {found.generation}; use a new one"
            )
            return Err(RequestRefused("publication_id_used", message))
        records = await self._store.load_records(
            found.generation, found.generation
        )
        if isinstance(records, Err):
            return Err(RetryableFailure(records.err_value))
        published = Published(
            found.generation,
            self._request.publication,
            records.ok_value[0].change(),
            repeated=True,
        )
        return Ok(PublicationOutcome(published, snapshot))

    async def _rebase_and_check(
        self, head: Snapshot
    ) -> Result[ObjectSet, PublishFailure | RetryableFailure]:
        """Applies the request to the head and checks the resulting set."""
        base = await self._find_base(head)
        if isinstance(base, Err):
            return base
        base_generation, base_objects = base.ok_value
        target = self._request.target_objects(base_objects)
        rebased = rebase(base_objects, target, head.objects)
        if isinstance(rebased, Err):
            return await self._describe_conflict(
                rebased.err_value, base_generation, head.generation
            )
        locations = ObjectLocations(
            self._request.locations.objects, f"generation {head.generation}"
        )
        findings = await self._offload(
            check_objects, rebased.ok_value, locations
        )
        if findings:
            return Err(ObjectsRefused(tuple(findings)))
        return Ok(rebased.ok_value)

    async def _find_base(
        self, head: Snapshot
    ) -> Result[
        tuple[Generation, ObjectSet], RequestRefused | RetryableFailure
    ]:
        """Returns the generation and objects that the operator started from.

        They are the same in each attempt.
        """
        if self._base is not None:
            return Ok(self._base)
        generation = self._request.base
        if generation is None:
            generation = head.generation
        if generation > head.generation:
            message = (
                f"the base generation {generation} does not exist; "
                f"the highest is {head.generation}"
            )
            return Err(RequestRefused("base_unknown", message))
        objects = await self._store.load_objects_at(generation, head)
        if isinstance(objects, Err):
            return Err(RetryableFailure(objects.err_value))
        self._base = generation, objects.ok_value
        return Ok(self._base)

    async def _describe_conflict(
        self,
        keys: frozenset[ObjectKey],
        base: Generation,
        head: Generation,
    ) -> Err[PublishFailure | RetryableFailure]:
        records = await self._store.load_records(Generation(base + 1), head)
        if isinstance(records, Err):
            return Err(RetryableFailure(records.err_value))
        edits = [
            ConflictingEdit(
                str(key),
                record.generation,
                record.who,
                record.why,
                record.at,
            )
            for record in records.ok_value
            for key in sorted(record.change().keys() & keys)
        ]
        return Err(EditsConflict(tuple(edits)))

    async def _write(
        self,
        record: PublicationRecord,
        rows: _AttemptRows,
        head: Snapshot,
        target: ObjectSet,
    ) -> PublicationAttemptResult:
        change = difference(head.objects, target)
        keys = change.keys()
        if not keys:
            published = Published(head.generation, head.publication, change)
            return Ok(PublicationOutcome(published, head))
        if len(keys) > MAX_OBJECTS_PER_PUBLICATION:
            return Err(_make_too_many_error(len(keys)))
        generation = Generation(head.generation + 1)
        record = msgspec.structs.replace(
            record,
            generation=generation,
            before=select(head.objects, keys),
            after=change.changed,
        )
        answer = await self._platform.transact(
            _make_checks(rows),
            make_rows(record, change, self._request.content_hash()),
        )
        if isinstance(answer, Err):
            return Err(self._handle_write_failure(answer.err_value))
        published = Published(generation, record.publication, change)
        return Ok(
            PublicationOutcome(
                published, Snapshot(generation, record.publication, target)
            )
        )

    def _handle_write_failure(
        self, failure: Conflict | PlatformError
    ) -> RetryableFailure:
        if isinstance(failure, Conflict):
            return RetryableFailure(None)
        if failure.failure is PlatformFailure.UNKNOWN:
            self.is_outcome_unknown = True
        return RetryableFailure(failure)


def _make_checks(rows: _AttemptRows) -> list[Check]:
    return [
        Check(row.table, row.key, row.version)
        for row in (rows.head, rows.publication_id)
    ]


def _make_too_many_error(count: int) -> RequestRefused:
    message = (
        f"the publication changes {count} objects, more than "
        f"{MAX_OBJECTS_PER_PUBLICATION}; publish it in parts"
    )
    return RequestRefused("too_many_changes", message)
