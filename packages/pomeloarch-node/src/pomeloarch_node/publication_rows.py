"""Makes the rows that a publication writes."""

from __future__ import annotations

import msgspec

from pomeloarch_core.objects.delta import Change
from pomeloarch_core.objects.keys import by_key
from pomeloarch_node.platform import Write
from pomeloarch_node.publication_store import make_record_key
from pomeloarch_node.publications import (
    CONFIG_TABLE,
    HEAD_KEY,
    OBJECTS_TABLE,
    PUBLICATION_IDS_TABLE,
    PUBLICATIONS_TABLE,
    Head,
    PublicationIdRow,
    PublicationRecord,
)


def make_rows(
    record: PublicationRecord, change: Change, content_hash: str
) -> list[Write]:
    """Returns all rows of a publication, which one transaction writes.

    Args:
      record: the record of the publication.
      change: what the publication changes.
      content_hash: the hash of the request.
    """
    id_row = PublicationIdRow(record.generation, content_hash)
    head = Head(record.generation, record.publication)
    return [
        *_make_object_rows(change),
        Write(
            PUBLICATIONS_TABLE,
            make_record_key(record.generation),
            msgspec.to_builtins(record),
        ),
        Write(
            PUBLICATION_IDS_TABLE,
            record.publication,
            msgspec.to_builtins(id_row),
        ),
        Write(CONFIG_TABLE, HEAD_KEY, msgspec.to_builtins(head)),
    ]


def _make_object_rows(change: Change) -> list[Write]:
    writes = [
        Write(OBJECTS_TABLE, str(key), msgspec.to_builtins(item))
        for key, item in by_key(change.changed).items()
    ]
    writes += [Write(OBJECTS_TABLE, str(key), None) for key in change.removed]
    return writes
