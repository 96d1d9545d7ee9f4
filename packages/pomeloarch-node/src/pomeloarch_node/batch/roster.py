"""The roster: stored entries of all workers that may run something.

Entries of the platform's worker list lapse while the store is away, though the
workers are alive and keep running. A successor that relied on the list alone
would consider their tasks lost. A worker therefore gets its first task only
once it is on the roster, and is removed once it is off the list and runs
nothing. For a worker that has fallen silent, the roster names the tasks that it
may run, so that a successor waits for no others.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from result import Err, Ok

from pomeloarch_core.batch.messages import Event, RosterEntry, RosterWritten
from pomeloarch_core.ids import WorkerId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.batch.records import (
    ROSTER_TABLE,
    SHARDS,
    pack,
    unpack,
    value_bytes,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformFailure,
    StoreLimits,
    Write,
)

# Number of rows that the roster is spread over, so that a change writes few of
# them.
CHUNK_COUNT = 16
RETRY_PAUSE_S = 0.2

Chunk = dict[WorkerId, RosterEntry]


def chunk_key(worker_id: WorkerId) -> str:
    """Returns the key of the row that holds a worker's entry."""
    return str(zlib.crc32(worker_id.encode()) % CHUNK_COUNT)


class Roster:
    """Keeps the roster's rows as the scheduler requests them.

    Args:
      store: the store.
      checks: the conditions of the term's writes, by shard.
      emit: passes an event to the scheduler.
      log: receives failures.
      limits: what the store takes.
    """

    def __init__(
        self,
        store: FeedStore,
        checks: Mapping[int, Check],
        emit: Callable[[Event], None],
        log: DecisionLog,
        limits: StoreLimits | None = None,
    ) -> None:
        """Starts without any entries."""
        self._limits = limits or StoreLimits()
        self._store = store
        self._checks = checks
        self._emit = emit
        self._log = log
        self._versions: dict[str, int] = {}
        # None for a row whose last write had no answer.
        self._written: dict[str, Chunk | None] = {}
        self._wanted: dict[str, Chunk] = {}
        self._changed = asyncio.Event()

    async def load(self) -> Chunk | None:
        """Returns the stored entries, None on failure."""
        answer = await self._store.snapshot(ROSTER_TABLE)
        if isinstance(answer, Err):
            return None
        found: Chunk = {}
        for row in answer.ok_value.rows:
            self._versions[row.key] = row.version
            chunk = _decode(row.value)
            self._written[row.key] = chunk
            found.update(chunk)
        return found

    def set_entries(self, entries: Mapping[WorkerId, RosterEntry]) -> None:
        """Requests that the roster contain exactly these entries."""
        wanted: dict[str, Chunk] = {key: {} for key in self._written}
        for worker_id, entry in entries.items():
            wanted.setdefault(chunk_key(worker_id), {})[worker_id] = entry
        wanted = {key: self._fit(chunk) for key, chunk in wanted.items()}
        if wanted == self._wanted:
            return
        self._wanted = wanted
        self._changed.set()

    def _fit(self, chunk: Chunk) -> Chunk:
        """Returns entries that fit in a row.

        Those that name the most tasks name none instead: a successor then waits
        for the worker as for one that may run any task.
        """
        while value_bytes(_encode(chunk)) > self._limits.row_bytes:
            named = {
                worker_id: len(entry.may_run)
                for worker_id, entry in chunk.items()
                if entry.may_run
            }
            if not named:
                break
            most = max(named, key=lambda each: named[each])
            entry = msgspec.structs.replace(chunk[most], may_run=None)
            chunk = {**chunk, most: entry}
        return chunk

    async def run(self) -> None:
        """Writes changed rows until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            for key, value in list(self._wanted.items()):
                if self._written.get(key) != value:
                    await self._write(key, value)
            self._emit(RosterWritten(self._enrolled_workers()))

    def _enrolled_workers(self) -> frozenset[WorkerId]:
        """Returns the workers on which a successor assumes any task may run.

        Their row has to say so already, and must not be about to change.
        """
        return frozenset(
            worker_id
            for key, chunk in self._wanted.items()
            if self._written.get(key) is not None
            for worker_id, entry in chunk.items()
            if entry.may_run is None
            and self._is_enrolled(key, worker_id, entry)
        )

    def _is_enrolled(
        self, key: str, worker_id: WorkerId, entry: RosterEntry
    ) -> bool:
        """Returns whether the row says that a worker may be running any task.

        The row also has to name the worker's present address.
        """
        stored = (self._written.get(key) or {}).get(worker_id)
        return (
            stored is not None
            and stored.may_run is None
            and stored.address == entry.address
        )

    async def _write(self, key: str, value: Chunk) -> None:
        answer = await self._store.transact(
            [
                self._checks[int(key) % SHARDS],
                Check(ROSTER_TABLE, key, self._versions.get(key, 0)),
            ],
            [Write(ROSTER_TABLE, key, _encode(value))],
        )
        if isinstance(answer, Ok):
            self._versions[key] = answer.ok_value[0]
            self._written[key] = value
            return
        error = answer.err_value
        if isinstance(error, Conflict):
            # Only this term writes the row, so its content comes from an
            # earlier attempt.
            for row in error.rows:
                if row.table == ROSTER_TABLE:
                    self._versions[key] = row.version
                    self._written[key] = _decode(row.value)
        else:
            if error.failure is PlatformFailure.UNKNOWN:
                self._written[key] = None
            self._log.write("roster not written", reason=error.message)
        await asyncio.sleep(RETRY_PAUSE_S)
        self._changed.set()


def _encode(chunk: Chunk) -> Any:
    return pack(msgspec.to_builtins(chunk))


def _decode(value: Any) -> Chunk:
    """Returns a row's entries; earlier versions stored only addresses."""
    entries = msgspec.convert(
        unpack(value or {}), dict[WorkerId, RosterEntry | str]
    )
    return {
        worker_id: RosterEntry(entry) if isinstance(entry, str) else entry
        for worker_id, entry in entries.items()
    }
