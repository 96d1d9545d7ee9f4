"""The audit trail: publications, and decisions of roles and schedulers."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.keys import by_key
from pomeloarch_node.operators_messages import AuditEntry
from pomeloarch_node.platform import PlatformClient, PlatformError, Row, Write
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publications import PublicationRecord

AUDIT_TABLE = "audit"

_GENERATIONS_SEARCHED = 1000
_PAGES_SEARCHED = 20
_MILLISECONDS = 1000
# The newest entries are looked for in longer and longer times, in seconds.
_WINDOWS_S = (3_600.0, 86_400.0, 2_592_000.0)


def audit_write(entry: AuditEntry, unique: str) -> Write:
    """Returns the row of a decision, to go with what the decision writes.

    Args:
      entry: the decision.
      unique: tells it from others of the same millisecond, such as the name
        of a role and its epoch.
    """
    key = f"{_time_key(entry.at)}-{unique}"
    return Write(AUDIT_TABLE, key, msgspec.to_builtins(entry))


class AuditTrail:
    """Reads the audit trail.

    Args:
      platform: the platform, with the decisions in its table.
      store: the publications.
    """

    def __init__(
        self, platform: PlatformClient, store: PublicationStore
    ) -> None:
        """Keeps where to read."""
        self._platform = platform
        self._store = store

    async def entries(
        self, limit: int, now: float, subject: str = ""
    ) -> Result[tuple[AuditEntry, ...], PlatformError]:
        """Reads the newest entries.

        Args:
          limit: how many at most.
          now: the present time, in seconds of the wall clock.
          subject: only those whose subject begins with this.
        """
        head = await self._store.load_head()
        if isinstance(head, Err):
            return head
        last = head.ok_value.generation
        searched = _GENERATIONS_SEARCHED if subject else limit
        first = Generation(last - searched + 1)
        records = await self._store.load_records(first, last)
        if isinstance(records, Err):
            return records
        decisions = await self._decisions(now, searched)
        if isinstance(decisions, Err):
            return decisions
        found = [
            entry
            for record in records.ok_value
            for entry in _publication_entries(record)
        ]
        found += map(_decision_entry, decisions.ok_value)
        kept = [entry for entry in found if entry.subject.startswith(subject)]
        kept.sort(key=_age)
        return Ok(tuple(kept[:limit]))

    async def _decisions(
        self, now: float, wanted: int
    ) -> Result[list[Row], PlatformError]:
        for window_s in _WINDOWS_S:
            rows = await self._rows_after(_time_key(now - window_s))
            if isinstance(rows, Err) or len(rows.ok_value) >= wanted:
                return rows
        return await self._rows_after("")

    async def _rows_after(self, after: str) -> Result[list[Row], PlatformError]:
        found: list[Row] = []
        for _ in range(_PAGES_SEARCHED):
            rows = await self._platform.scan(AUDIT_TABLE, after=after)
            if isinstance(rows, Err):
                return rows
            if not rows.ok_value:
                break
            found += rows.ok_value
            after = rows.ok_value[-1].key
        return Ok(found)


def _publication_entries(record: PublicationRecord) -> list[AuditEntry]:
    before, after = by_key(record.before), by_key(record.after)
    return [
        AuditEntry(
            record.at,
            str(key),
            record.who,
            record.why,
            record.origin,
            record.generation,
            before.get(key),
            after.get(key),
        )
        for key in sorted(before.keys() | after.keys())
    ]


def _decision_entry(row: Row) -> AuditEntry:
    """Returns the entry in a row, as much of it as can be read."""
    value = row.value if isinstance(row.value, dict) else {}
    at = value.get("at", 0.0)
    return AuditEntry(
        at=float(at) if isinstance(at, int | float) else 0.0,
        subject=str(value.get("subject", row.key)),
        who=str(value.get("who", value.get("node", ""))),
        why=str(value.get("why", value.get("reason", ""))),
        origin=str(value.get("origin", "")),
        after=row.value,
    )


def _time_key(at: float) -> str:
    """Returns the beginning of the keys of a time, in the order of time."""
    return f"{max(0, int(at * _MILLISECONDS)):015d}"


def _age(entry: AuditEntry) -> tuple[float, int]:
    return -entry.at, -(entry.generation or 0)
