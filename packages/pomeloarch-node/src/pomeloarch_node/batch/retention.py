"""Deletes the rows of jobs that ended long enough ago, and other spent rows.

A submission that gets no answer may be stored seconds later if no row is there
that rules it out. Rows that do are therefore kept, by a steady clock, for
longer than any such write can be under way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from result import Err

from pomeloarch_core.batch.row_ages import RowAges
from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SPECS_TABLE,
    WITHDRAWN_TABLE,
    cancel_key,
    cancelled_job,
    decode_row,
    shard_of,
)
from pomeloarch_node.platform import Check, Write

SCAN_INTERVAL_S = 10.0
# Maximum number of jobs deleted in one transaction. Each has up to three rows,
# and the platform accepts 100 entries.
MAX_JOBS = 30
# Time that rows are kept beyond the promised time, in seconds, because callers'
# clocks differ.
RETENTION_MARGIN_S = 30.0
# Maximum number of rows that one transaction deletes if each has a condition of
# its own; the platform accepts 100 entries.
MAX_CHECKED_ROWS = 45
# Time for which rows that rule out a submission are kept, in seconds. The store
# performs writes up to 6 s late, and processes stand still for some 10 s.
LATE_SUBMISSIONS_S = 60.0


def find_expired(
    rows: Mapping[str, Any], keep_s: float, wall: float
) -> dict[int, list[JobId]]:
    """Returns the jobs whose rows may be deleted, by shard.

    Args:
      rows: the values of the jobs' table by key.
      keep_s: how long the state of an ended job is kept, in seconds.
      wall: the present wall-clock time, in seconds.
    """
    found: dict[int, list[JobId]] = {}
    for key, value in rows.items():
        if cancelled_job(key) is not None:
            continue
        row = decode_row(value)
        if (
            row.status.is_final
            and row.finished_at + keep_s + RETENTION_MARGIN_S < wall
        ):
            found.setdefault(shard_of(key), []).append(JobId(key))
    return found


def find_orphaned_markers(rows: Mapping[str, Any]) -> list[str]:
    """Returns the keys of the markers of cancellations that have no job.

    Such a marker is stored by a request that took effect only after the rows of
    its job were deleted.

    Args:
      rows: the values of the jobs' table by key.
    """
    return [
        key
        for key in rows
        if (job_id := cancelled_job(key)) is not None and job_id not in rows
    ]


class Retention:
    """Deletes expired rows during a term.

    Args:
      store: the store.
      jobs: the mirror of the jobs' table.
      specs: returns the values of the table of submitted jobs by key.
      checks: the conditions of the term's writes, by shard.
      keep_s: how long the state of an ended job is kept, in seconds.
      wall: returns wall-clock time, in seconds.
      clock: returns monotonic time, in seconds.
      log: receives the deletions.
    """

    def __init__(
        self,
        store: FeedStore,
        jobs: TableMirror,
        specs: Callable[[], Mapping[str, Any]],
        checks: Mapping[int, Check],
        keep_s: float,
        wall: Callable[[], float],
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Stores the arguments without starting."""
        self._store = store
        self._jobs = jobs
        self._specs = specs
        self._checks = checks
        self._keep_s = keep_s
        self._wall = wall
        self._clock = clock
        self._log = log
        self._job_ages = RowAges(LATE_SUBMISSIONS_S)
        self._marker_ages = RowAges(LATE_SUBMISSIONS_S)
        self._withdrawal_ages = RowAges(LATE_SUBMISSIONS_S)

    async def run(self) -> None:
        """Deletes expired rows until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            await self._delete_expired_jobs()
            await self._delete_orphaned_markers()
            await self._delete_withdrawals()

    async def _delete_expired_jobs(self) -> None:
        expired = find_expired(self._jobs.rows, self._keep_s, self._wall())
        versions = self._jobs.versions
        ripe = self._job_ages.find_ripe(
            {key: versions[key] for keys in expired.values() for key in keys},
            self._clock(),
        )
        for shard, keys in _by_shard(ripe).items():
            await self._delete_jobs(shard, [JobId(k) for k in keys[:MAX_JOBS]])

    async def _delete_jobs(self, shard: int, job_ids: list[JobId]) -> None:
        writes = []
        for job_id in job_ids:
            writes.append(Write(JOBS_TABLE, job_id, None))
            if job_id in self._specs():
                writes.append(Write(SPECS_TABLE, job_id, None))
            if cancel_key(job_id) in self._jobs.rows:
                writes.append(Write(JOBS_TABLE, cancel_key(job_id), None))
        answer = await self._store.transact([self._checks[shard]], writes)
        reason = ""
        if isinstance(answer, Err):
            reason = type(answer.err_value).__name__
        self._log.write(
            "ended jobs deleted", shard=shard, jobs=len(job_ids), failed=reason
        )

    async def _delete_orphaned_markers(self) -> None:
        versions = {
            key: self._jobs.versions[key]
            for key in find_orphaned_markers(self._jobs.rows)
        }
        ripe = self._marker_ages.find_ripe(versions, self._clock())
        await self._delete_unchanged(JOBS_TABLE, ripe, versions)

    async def _delete_withdrawals(self) -> None:
        """Deletes withdrawals that have not been renewed for long enough."""
        answer = await self._store.snapshot(WITHDRAWN_TABLE)
        if isinstance(answer, Err):
            self._log.write(
                "withdrawals unread", reason=answer.err_value.message
            )
            return
        versions = {row.key: row.version for row in answer.ok_value.rows}
        ripe = self._withdrawal_ages.find_ripe(versions, self._clock())
        await self._delete_unchanged(WITHDRAWN_TABLE, ripe, versions)

    async def _delete_unchanged(
        self, table: str, keys: list[str], versions: Mapping[str, int]
    ) -> None:
        """Deletes rows, those of a transaction only if none has changed."""
        for shard, found in _by_shard(keys).items():
            for first in range(0, len(found), MAX_CHECKED_ROWS):
                batch = found[first : first + MAX_CHECKED_ROWS]
                answer = await self._store.transact(
                    [
                        self._checks[shard],
                        *(Check(table, key, versions[key]) for key in batch),
                    ],
                    [Write(table, key, None) for key in batch],
                )
                reason = ""
                if isinstance(answer, Err):
                    reason = type(answer.err_value).__name__
                self._log.write(
                    "spent rows deleted",
                    table=table,
                    shard=shard,
                    rows=len(batch),
                    failed=reason,
                )


def _by_shard(keys: Iterable[str]) -> dict[int, list[str]]:
    found: dict[int, list[str]] = {}
    for key in keys:
        found.setdefault(shard_of(key), []).append(key)
    return found
