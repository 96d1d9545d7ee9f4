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

LOOK_EVERY_S = 10.0
# Jobs of one transaction; each has up to three rows, and the platform takes
# 100 entries.
MOST_JOBS = 30
# Beyond the time that callers were promised, in seconds: their clocks differ.
MARGIN_S = 30.0


def expired(
    rows: Mapping[str, Any], keep_s: float, wall: float
) -> dict[int, list[JobId]]:
    """Returns the jobs whose rows may go, by shard.

    Args:
      rows: the values of the jobs' table by key.
      keep_s: how long the state of an ended job is kept, in seconds.
      wall: the wall clock, in seconds.
    """
    found: dict[int, list[JobId]] = {}
    for key, value in rows.items():
        if cancelled_job(key) is not None:
            continue
        row = decode_row(value)
        if row.status.is_final and row.finished_at + keep_s + MARGIN_S < wall:
            found.setdefault(shard_of(key), []).append(JobId(key))
    return found


class Retention:
    """Deletes expired rows while a term lasts.

    Args:
      store: the store.
      rows: returns the values of the jobs' table by key.
      checks: the conditions of the term's writes, by shard.
      keep_s: how long the state of an ended job is kept, in seconds.
      wall: the wall clock, in seconds.
      log: where deletions are written.
    """

    def __init__(
        self,
        store: FeedStore,
        rows: Callable[[], Mapping[str, Any]],
        checks: Mapping[int, Check],
        keep_s: float,
        wall: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Keeps what it needs; nothing runs yet."""
        self._store = store
        self._rows = rows
        self._checks = checks
        self._keep_s = keep_s
        self._wall = wall
        self._log = log

    async def run(self) -> None:
        """Deletes until it is cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            jobs = expired(self._rows(), self._keep_s, self._wall())
            for shard, job_ids in jobs.items():
                await self._delete(shard, job_ids[:MOST_JOBS])

    async def _delete(self, shard: int, job_ids: list[JobId]) -> None:
        writes = []
        for job_id in job_ids:
            writes += [
                Write(SPECS_TABLE, job_id, None),
                Write(JOBS_TABLE, job_id, None),
            ]
            if cancel_key(job_id) in self._rows():
                writes.append(Write(JOBS_TABLE, cancel_key(job_id), None))
        answer = await self._store.transact([self._checks[shard]], writes)
        reason = ""
        if isinstance(answer, Err):
            reason = type(answer.err_value).__name__
        self._log.write(
            "ended jobs deleted", shard=shard, jobs=len(job_ids), failed=reason
        )
