"""Reads and writes generations in the platform's tables."""

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

_ROWS_PER_READ = 200
# Above this gap, the objects themselves are fewer rows than their history.
_MAX_REPLAYED_GENERATIONS = 1000


class PublicationStore:
    """The generations as the platform's tables have them.

    Args:
      platform: the platform.
      known: returns the snapshot that the node holds, from which newer ones
        are reached in few reads.
    """

    def __init__(
        self,
        platform: PlatformClient,
        known: Callable[[], Snapshot | None] = lambda: None,
    ) -> None:
        """Keeps where to read."""
        self._platform = platform
        self._known = known

    async def load_head(self) -> Result[Head, PlatformError]:
        """Reads which generation is the highest."""
        answer = await self._platform.read([(CONFIG_TABLE, HEAD_KEY)])
        return answer.map(lambda rows: parse_head(rows[0]))

    def known(self) -> Snapshot:
        """Returns the snapshot that the node holds, to be asked for first.

        One that arrives after the head was read could be above that head.
        """
        return self._known() or EMPTY_SNAPSHOT

    async def load_snapshot(self) -> Result[Snapshot, PlatformError]:
        """Reads the highest generation; generation 0 is the empty set."""
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
          head: the head as it was just read.
          known: the snapshot that the node held before that.
        """
        if known.generation > head.generation:
            return Err(_went_back(known.generation, head.generation))
        gap = head.generation - known.generation
        if gap > _MAX_REPLAYED_GENERATIONS or known is EMPTY_SNAPSHOT:
            return await self._load_objects(head)
        return await self._replay(known, head.generation)

    async def load_records(
        self, first: Generation, last: Generation
    ) -> Result[tuple[PublicationRecord, ...], PlatformError]:
        """Reads the publications of the generations from first to last."""
        found: list[PublicationRecord] = []
        for start in range(max(first, 1), last + 1, _ROWS_PER_READ):
            stop = min(start + _ROWS_PER_READ, last + 1)
            keys = [
                (PUBLICATIONS_TABLE, record_key(Generation(number)))
                for number in range(start, stop)
            ]
            rows = await self._platform.read(keys)
            if isinstance(rows, Err):
                return rows
            if any(row.value is None for row in rows.ok_value):
                return Err(_missing(first, last))
            found += [_record(row) for row in rows.ok_value]
        return Ok(tuple(found))

    async def load_objects_at(
        self, generation: Generation, newer: Snapshot
    ) -> Result[ObjectSet, PlatformError]:
        """Returns the objects of a generation.

        Args:
          generation: the generation.
          newer: a snapshot of it or of a higher one, to go back from.
        """
        records = await self.load_records(
            Generation(generation + 1), newer.generation
        )
        if isinstance(records, Err):
            return records
        objects = newer.objects
        for record in reversed(records.ok_value):
            objects = apply_change(objects, record.undo())
        return Ok(objects)

    async def _replay(
        self, known: Snapshot, upto: Generation
    ) -> Result[Snapshot, PlatformError]:
        records = await self.load_records(
            Generation(known.generation + 1), upto
        )
        if isinstance(records, Err):
            return records
        objects, publication = known.objects, known.publication
        for record in records.ok_value:
            objects = apply_change(objects, record.change())
            publication = record.publication
        return Ok(Snapshot(upto, publication, objects))

    async def _load_objects(
        self, head: Head
    ) -> Result[Snapshot, PlatformError]:
        """Reads all objects, and what was published while they were read.

        Pages of a scan may show different generations. Each object that
        changed between the first and the last is in the history of those,
        which makes it whole again.
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
                items[key] = _item(key, row.value)
            after = rows.ok_value[-1].key


def record_key(generation: Generation) -> str:
    """Returns the key of a generation's publication."""
    return f"{generation:012d}"


def parse_head(row: Row) -> Head:
    """Returns the head in a row, generation 0 in an absent one."""
    return Head() if row.value is None else msgspec.convert(row.value, Head)


def _record(row: Row) -> PublicationRecord:
    return msgspec.convert(row.value, PublicationRecord)


def _item(key: ObjectKey, value: Any) -> NamedObject:
    return msgspec.convert(value, STRUCT_OF_KIND[Kind(key.kind)])


def _went_back(known: Generation, found: Generation) -> PlatformError:
    return PlatformError(
        PlatformFailure.NOT_DONE,
        f"the platform's tables have generation {found}, below {known} "
        "which is in force here",
    )


def _missing(first: Generation, last: Generation) -> PlatformError:
    return PlatformError(
        PlatformFailure.NOT_DONE,
        f"the history of generations {first} to {last} is not complete",
    )
