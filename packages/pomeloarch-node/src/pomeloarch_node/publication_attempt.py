"""One attempt after another at a publication, until one settles it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.check import check
from pomeloarch_core.objects.delta import difference, select
from pomeloarch_core.objects.findings import Finding, Places
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
from pomeloarch_node.publication_rows import rows_of
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


class Outcome(msgspec.Struct, frozen=True):
    """What was published and the snapshot that it is part of."""

    published: Published
    snapshot: Snapshot


class TryAgain(msgspec.Struct, frozen=True):
    """An attempt that settled nothing.

    Attributes:
      cause: why; None stands for a lost race.
    """

    cause: PlatformError | None


class _Rows(msgspec.Struct, frozen=True):
    head: Row
    publication_id: Row


# Runs a function beside the event loop, as `asyncio.to_thread` does.
Offload = Callable[..., Awaitable[list[Finding]]]

Attempt = Result[Outcome, PublishFailure | TryAgain]


class PublicationAttempts:
    """The attempts at one publication.

    Args:
      platform: the platform.
      store: reads what was published before.
      request: what to publish.
      offload: runs the check of a whole set beside the event loop.

    Attributes:
      in_doubt: whether a transaction's answer was lost.
    """

    def __init__(
        self,
        platform: PlatformClient,
        store: PublicationStore,
        request: PublicationRequest,
        offload: Offload,
    ) -> None:
        """Keeps where to read and write."""
        self._offload = offload
        self._platform = platform
        self._store = store
        self._request = request
        self._base: tuple[Generation, ObjectSet] | None = None
        self.in_doubt = False

    async def attempt(self, record: PublicationRecord) -> Attempt:
        """Reads what stands, and publishes on top of it."""
        known = self._store.known()
        rows = await self._read_rows()
        if isinstance(rows, Err):
            return Err(TryAgain(rows.err_value))
        head = parse_head(rows.ok_value.head)
        loaded = await self._store.load_at_least(head, known)
        if isinstance(loaded, Err):
            return Err(TryAgain(loaded.err_value))
        snapshot = loaded.ok_value
        if rows.ok_value.publication_id.value is not None:
            return await self._settled(rows.ok_value.publication_id, snapshot)
        if snapshot.generation != head.generation:
            return Err(TryAgain(None))
        wanted = await self._wanted(snapshot)
        if isinstance(wanted, Err):
            return wanted
        return await self._write(
            record, rows.ok_value, snapshot, wanted.ok_value
        )

    async def _read_rows(self) -> Result[_Rows, PlatformError]:
        keys = [
            (CONFIG_TABLE, HEAD_KEY),
            (PUBLICATION_IDS_TABLE, self._request.publication),
        ]
        rows = await self._platform.read(keys)
        return rows.map(lambda found: _Rows(found[0], found[1]))

    async def _settled(self, row: Row, snapshot: Snapshot) -> Attempt:
        """Answers for a publication that an earlier try has written."""
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
            return Err(TryAgain(records.err_value))
        published = Published(
            found.generation,
            self._request.publication,
            records.ok_value[0].change(),
            repeated=True,
        )
        return Ok(Outcome(published, snapshot))

    async def _wanted(
        self, head: Snapshot
    ) -> Result[ObjectSet, PublishFailure | TryAgain]:
        """Returns the wanted set on top of the head, checked again."""
        base = await self._find_base(head)
        if isinstance(base, Err):
            return base
        base_generation, base_objects = base.ok_value
        wanted = self._request.wanted(base_objects)
        rebased = rebase(base_objects, wanted, head.objects)
        if isinstance(rebased, Err):
            return await self._conflict(
                rebased.err_value, base_generation, head.generation
            )
        places = Places(
            self._request.locations.objects, f"generation {head.generation}"
        )
        findings = await self._offload(check, rebased.ok_value, places)
        if findings:
            return Err(ObjectsRefused(tuple(findings)))
        return Ok(rebased.ok_value)

    async def _find_base(
        self, head: Snapshot
    ) -> Result[tuple[Generation, ObjectSet], RequestRefused | TryAgain]:
        """Returns what the operator started from, the same in each try."""
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
            return Err(TryAgain(objects.err_value))
        self._base = generation, objects.ok_value
        return Ok(self._base)

    async def _conflict(
        self,
        keys: frozenset[ObjectKey],
        base: Generation,
        head: Generation,
    ) -> Err[PublishFailure | TryAgain]:
        records = await self._store.load_records(Generation(base + 1), head)
        if isinstance(records, Err):
            return Err(TryAgain(records.err_value))
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
        rows: _Rows,
        head: Snapshot,
        wanted: ObjectSet,
    ) -> Attempt:
        change = difference(head.objects, wanted)
        keys = change.keys()
        if not keys:
            published = Published(head.generation, head.publication, change)
            return Ok(Outcome(published, head))
        if len(keys) > MAX_OBJECTS_PER_PUBLICATION:
            return Err(_too_many(len(keys)))
        generation = Generation(head.generation + 1)
        record = msgspec.structs.replace(
            record,
            generation=generation,
            before=select(head.objects, keys),
            after=change.changed,
        )
        answer = await self._platform.transact(
            _checks(rows), rows_of(record, change, self._request.content_hash())
        )
        if isinstance(answer, Err):
            return Err(self._not_written(answer.err_value))
        published = Published(generation, record.publication, change)
        return Ok(
            Outcome(published, Snapshot(generation, record.publication, wanted))
        )

    def _not_written(self, failure: Conflict | PlatformError) -> TryAgain:
        if isinstance(failure, Conflict):
            return TryAgain(None)
        if failure.failure is PlatformFailure.UNKNOWN:
            self.in_doubt = True
        return TryAgain(failure)


def _checks(rows: _Rows) -> list[Check]:
    return [
        Check(row.table, row.key, row.version)
        for row in (rows.head, rows.publication_id)
    ]


def _too_many(count: int) -> RequestRefused:
    message = (
        f"the publication changes {count} objects, more than "
        f"{MAX_OBJECTS_PER_PUBLICATION}; publish it in parts"
    )
    return RequestRefused("too_many_changes", message)
