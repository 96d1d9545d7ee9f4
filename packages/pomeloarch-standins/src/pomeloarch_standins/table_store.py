"""An in-memory implementation of the platform's transactional tables."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result
from sortedcontainers import SortedDict

from pomeloarch_node.platform import Check, Conflict, Row, Write


class TableStore:
    """Versioned rows with atomic transactions.

    A row's version keeps growing when the row is deleted and written again, so
    that an old version never matches a newer row.

    >>> store = TableStore()
    >>> write = Write("jobs", "a", {"x": 1})
    >>> store.transact([Check("jobs", "a", 0)], [write]).unwrap()
    (1,)
    >>> store.transact([Check("jobs", "a", 0)], [write]).is_err()
    True
    """

    def __init__(self) -> None:
        """Creates tables without rows."""
        self._tables: dict[str, SortedDict] = defaultdict(SortedDict)
        self._versions: dict[tuple[str, str], int] = {}

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict]:
        """Writes all rows if every check holds; returns their versions."""
        found = [self.read(check.table, check.key) for check in checks]
        conflicts = tuple(
            row
            for row, check in zip(found, checks, strict=True)
            if row.version != check.version
        )
        if conflicts:
            return Err(Conflict(rows=conflicts))
        return Ok(tuple(self.write(write) for write in writes))

    def read(self, table: str, key: str) -> Row:
        """Returns a row, with version 0 when it is absent."""
        body = self._tables[table].get(key)
        if body is None:
            return Row(table, key, 0)
        value = msgspec.json.decode(body)
        return Row(table, key, self._versions[table, key], value)

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> tuple[Row, ...]:
        """Returns up to `limit` rows above `after` in the order of keys."""
        rows: list[Row] = []
        for key in self._tables[table].irange(minimum=max(prefix, after)):
            if len(rows) >= limit or not key.startswith(prefix):
                break
            if key > after:
                rows.append(self.read(table, key))
        return tuple(rows)

    def values(self, table: str) -> dict[str, Any]:
        """Returns the values of a table's rows by their keys."""
        return {
            key: msgspec.json.decode(body)
            for key, body in self._tables[table].items()
        }

    def write(self, write: Write) -> int:
        """Writes a row whatever its version is; returns the new version."""
        row_key = write.table, write.key
        if write.value is None:
            self._tables[write.table].pop(write.key, None)
            return 0
        self._versions[row_key] = self._versions.get(row_key, 0) + 1
        body = msgspec.json.encode(write.value)
        self._tables[write.table][write.key] = body
        return self._versions[row_key]
