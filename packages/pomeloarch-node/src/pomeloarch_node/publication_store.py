"""Reads generations from the platform's tables."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation, PublicationId
from pomeloarch_core.objects.delta import apply_change
from pomeloarch_core.objects.keys import (
    STRUCT_OF_KIND,
    Kind,
    NamedObject,
    ObjectKey,
    object_set,
)
from pomeloarch_core.objects.model import ObjectSet, Snapshot
from pomeloarch_node.platform import (
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Row,
)
from pomeloarch_node.publications import (
    CONFIG_TABLE,
    HEAD_KEY,
    OBJECTS_TABLE,
    PUBLICATIONS_TABLE,
    Head,
    PublicationRecord,
)

EMPTY_SNAPSHOT = Snapshot(Generation(0), PublicationId(""), ObjectSet())

# Limit on the rows of one read.
_ROWS_PER_READ = 200
# Above this number of missing generations, the objects are read instead of
# their history, which then has more rows.
_MAX_REPLAYED_GENERATIONS = 1000


class PublicationStore:
    """Reads the generations that are stored in the platform's tables.

    Args:
      platform: the client of the platform.
      known: returns the snapshot that the node holds, from which newer ones
        are computed with few reads.
    """

    def __init__(
        self,
        platform: PlatformClient,
        known: Callable[[], Snapshot | None] = lambda: None,
    ) -> None:
        """Creates a store that reads from the platform."""
        self._platform = platform
        self._known = known

    async def load_head(self) -> Result[Head, PlatformError]:
        """Reads the head, which names the highest generation."""
        answer = await self._platform.read([(CONFIG_TABLE, HEAD_KEY)])
        return answer.map(lambda rows: parse_head(rows[0]))

    def known(self) -> Snapshot:
        """Returns the snapshot that the node holds.

        It is to be requested before the head is read: a snapshot that arrives
        after that could be newer than the head.
        """
        return self._known() or EMPTY_SNAPSHOT

    async def load_snapshot(self) -> Result[Snapshot, PlatformError]:
        """Reads the highest generation; generation 0 has no objects."""
        known = self.known()
        head = await self.load_head()
        if isinstance(head, Err):
            return head
        return await self.load_at_least(head.ok_value, known)

    async def load_at_least(
        self, head: Head, known: Snapshot
    ) -> Result[Snapshot, PlatformError]:
        """Returns the snapshot of a head, or a newer one.

        Args:
          head: the head that was just read.
          known: the snapshot that the node held before the head was read.
        """
        if known.generation > head.generation:
            return Err(_make_lower_error(known.generation, head.generation))
        gap = head.generation - known.generation
        if gap > _MAX_REPLAYED_GENERATIONS or known is EMPTY_SNAPSHOT:
            return await self._load_objects(head)
        return await self._replay(known, head.generation)

    async def load_records(
        self, first: Generation, last: Generation
    ) -> Result[tuple[PublicationRecord, ...], PlatformError]:
        """Reads the records of the generations from first to last."""
        found: list[PublicationRecord] = []
        for start in range(max(first, 1), last + 1, _ROWS_PER_READ):
            end = min(start + _ROWS_PER_READ, last + 1)
            keys = [
                (PUBLICATIONS_TABLE, make_record_key(Generation(number)))
                for number in range(start, end)
            ]
            rows = await self._platform.read(keys)
            if isinstance(rows, Err):
                return rows
            if any(row.value is None for row in rows.ok_value):
                return Err(_make_incomplete_error(first, last))
            found += [_parse_record(row) for row in rows.ok_value]
        return Ok(tuple(found))

    async def load_objects_at(
        self, generation: Generation, newer: Snapshot
    ) -> Result[ObjectSet, PlatformError]:
        """Returns the objects of a generation.

        Args:
          generation: the number of the generation.
          newer: a snapshot of this generation or of a higher one, whose
            changes are reverted.
        """
        records = await self.load_records(
            Generation(generation + 1), newer.generation
        )
        if isinstance(records, Err):
            return records
        objects = newer.objects
        for record in reversed(records.ok_value):
            objects = apply_change(objects, record.inverse_change())
        return Ok(objects)

    async def _replay(
        self, known: Snapshot, last: Generation
    ) -> Result[Snapshot, PlatformError]:
        records = await self.load_records(
            Generation(known.generation + 1), last
        )
        if isinstance(records, Err):
            return records
        objects, publication = known.objects, known.publication
        for record in records.ok_value:
            objects = apply_change(objects, record.change())
            publication = record.publication
        return Ok(Snapshot(last, publication, objects))

    async def _load_objects(
        self, head: Head
    ) -> Result[Snapshot, PlatformError]:
        """Reads all objects, and what was published while they were read.

        The pages of a scan may be of different generations. Each object that
        changed between the first and the last page is in the history of these
        generations, which is applied to give one consistent generation.
        """
        items = await self._scan_objects()
        if isinstance(items, Err):
            return items
        after = await self.load_head()
        if isinstance(after, Err):
            return after
        base = Snapshot(head.generation, head.publication, items.ok_value)
        return await self._replay(base, after.ok_value.generation)

    async def _scan_objects(self) -> Result[ObjectSet, PlatformError]:
        items: dict[ObjectKey, NamedObject] = {}
        after = ""
        while True:
            rows = await self._platform.scan(OBJECTS_TABLE, after=after)
            if isinstance(rows, Err):
                return rows
            if not rows.ok_value:
                return Ok(object_set(items))
            for row in rows.ok_value:
                key = ObjectKey.from_text(row.key)
                items[key] = _parse_object(key, row.value)
            after = rows.ok_value[-1].key


def make_record_key(generation: Generation) -> str:
    """Returns the row key of a generation's record."""
    return f"{generation:012d}"


def parse_head(row: Row) -> Head:
    """Returns the head that a row contains; generation 0 if it is absent."""
    return Head() if row.value is None else msgspec.convert(row.value, Head)


def _parse_record(row: Row) -> PublicationRecord:
    return msgspec.convert(row.value, PublicationRecord)


def _parse_object(key: ObjectKey, value: Any) -> NamedObject:
    return msgspec.convert(value, STRUCT_OF_KIND[Kind(key.kind)])


def _make_lower_error(known: Generation, found: Generation) -> PlatformError:
    return PlatformError(
        PlatformFailure.NOT_DONE,
        f"the platform's tables have generation {found}, below {known} "
        "which is in force here",
    )


def _make_incomplete_error(
    first: Generation, last: Generation
) -> PlatformError:
    return PlatformError(
        PlatformFailure.NOT_DONE,
        f"the history of generations {first} to {last} is not complete",
    )
