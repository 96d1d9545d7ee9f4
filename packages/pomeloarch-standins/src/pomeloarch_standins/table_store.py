"""The platform's transactional tables, in memory."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Sequence

from result import Err, Ok, Result

from pomeloarch_node.platform import Check, Conflict, Row, Write


class TableStore:
    """Versioned rows and transactions that are all or nothing.

    >>> store = TableStore()
    >>> write = Write("jobs", "a", {"x": 1})
    >>> store.transact([Check("jobs", "a", 0)], [write]).unwrap()
    (1,)
    >>> store.transact([Check("jobs", "a", 0)], [write]).is_err()
    True
    """

    def __init__(self) -> None:
        """Starts without rows."""
        self._tables: dict[str, dict[str, Row]] = defaultdict(dict)
        self._last_version = 0

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
        return Ok(tuple(self._write(write) for write in writes))

    def read(self, table: str, key: str) -> Row:
        """Returns a row, with version 0 when it is absent."""
        return self._tables[table].get(key) or Row(table, key, 0)

    def scan(
        self, table: str, prefix: str, after: str, limit: int
    ) -> tuple[Row, ...]:
        """Returns up to `limit` rows above `after` in the order of keys."""
        rows = self._tables[table]
        keys = sorted(key for key in rows if key.startswith(prefix))
        start = bisect.bisect_right(keys, after) if after else 0
        return tuple(rows[key] for key in keys[start : start + limit])

    def _write(self, write: Write) -> int:
        self._last_version += 1
        if write.value is None:
            self._tables[write.table].pop(write.key, None)
            return self._last_version
        self._tables[write.table][write.key] = Row(
            write.table, write.key, self._last_version, write.value
        )
        return self._last_version
