"""Deletes the rows of jobs that ended long enough ago."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from result import Err

from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SPECS_TABLE,
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


class Retention:
    """Deletes expired rows during a term.

    Args:
      store: the store.
      rows: returns the values of the jobs' table by key.
      specs: returns those of the table of submitted jobs.
      checks: the conditions of the term's writes, by shard.
      keep_s: how long the state of an ended job is kept, in seconds.
      wall: returns wall-clock time, in seconds.
      log: receives the deletions.
    """

    def __init__(
        self,
        store: FeedStore,
        rows: Callable[[], Mapping[str, Any]],
        specs: Callable[[], Mapping[str, Any]],
        checks: Mapping[int, Check],
        keep_s: float,
        wall: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Stores the arguments without starting."""
        self._store = store
        self._rows = rows
        self._specs = specs
        self._checks = checks
        self._keep_s = keep_s
        self._wall = wall
        self._log = log

    async def run(self) -> None:
        """Deletes expired rows until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            jobs = find_expired(self._rows(), self._keep_s, self._wall())
            for shard, job_ids in jobs.items():
                await self._delete(shard, job_ids[:MAX_JOBS])

    async def _delete(self, shard: int, job_ids: list[JobId]) -> None:
        writes = []
        for job_id in job_ids:
            writes.append(Write(JOBS_TABLE, job_id, None))
            if job_id in self._specs():
                writes.append(Write(SPECS_TABLE, job_id, None))
            if cancel_key(job_id) in self._rows():
                writes.append(Write(JOBS_TABLE, cancel_key(job_id), None))
        answer = await self._store.transact([self._checks[shard]], writes)
        reason = ""
        if isinstance(answer, Err):
            reason = type(answer.err_value).__name__
        self._log.write(
            "ended jobs deleted", shard=shard, jobs=len(job_ids), failed=reason
        )
