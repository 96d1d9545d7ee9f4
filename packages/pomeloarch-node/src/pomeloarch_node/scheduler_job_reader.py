"""Reads the unfinished jobs of a zone from the platform's table."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

from absl import logging
from result import Err, Ok, Result

from pomeloarch_core.gang.messages import JobRecord
from pomeloarch_core.ids import JobId, ZoneName
from pomeloarch_node.job_records import (
    decode_record,
    jobs_table,
    time_key,
)
from pomeloarch_node.platform import PlatformClient, PlatformError, Row

# Time between two reads of the table's end, in seconds.
POLL_INTERVAL_S = 0.25
# Maximum number of rows in one scan.
PAGE_ROWS = 1000
# How far back a poll reads, in seconds. At usual loads, rows appear at most
# this long after the time in their ids.
POLL_OVERLAP_S = 2.0
# Time between two pages of the sweep over the whole table, in seconds. The
# sweep finds rows that appear later than that.
SWEEP_INTERVAL_S = 5.0
# Maximum number of ended jobs that are remembered.
_MAX_REMEMBERED_ENDED = 20_000


class JobReader:
    """Reports each unfinished job of the zone once.

    Ids sort by time, so that a poll reads only the end of the table. In
    addition, a sweep reads one page of the whole table every few seconds; it
    finds rows that were written late or by a node whose clock is behind.

    Args:
      platform: client of the platform's tables.
      zone: the scheduler's zone.
      on_found: called with each unfinished job and the version of its row.
      wall_clock: returns the time of the wall clock, in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        zone: ZoneName,
        on_found: Callable[[JobRecord, int], None],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Starts without known jobs."""
        self._platform = platform
        self._zone = zone
        self._table = jobs_table(zone)
        self._on_found = on_found
        self._wall_clock = wall_clock
        self._known: set[JobId] = set()
        self._ended_jobs: OrderedDict[JobId, None] = OrderedDict()
        self._poll_after = ""
        self._sweep_after = ""

    def mark_ended(self, job_id: JobId) -> None:
        """Records that a job has ended.

        The job is remembered, because an answer to an earlier read may still
        show it as unfinished.
        """
        self._known.discard(job_id)
        self._ended_jobs[job_id] = None
        if len(self._ended_jobs) > _MAX_REMEMBERED_ENDED:
            self._ended_jobs.popitem(last=False)

    async def load(self) -> Result[None, PlatformError]:
        """Reads the whole table, page by page."""
        after = ""
        while True:
            answer = await self._platform.scan(
                self._table, after=after, limit=PAGE_ROWS
            )
            if isinstance(answer, Err):
                return answer
            rows = answer.ok_value
            self._process_rows(rows)
            if len(rows) < PAGE_ROWS:
                return Ok(None)
            after = rows[-1].key

    async def poll(self) -> None:
        """Reads the rows at the end of the table."""
        now = self._wall_clock()
        start = f"{self._zone}-{time_key(now - POLL_OVERLAP_S)}"
        after = min(start, self._poll_after) if self._poll_after else start
        while True:
            answer = await self._platform.scan(
                self._table, after=after, limit=PAGE_ROWS
            )
            if isinstance(answer, Err):
                logging.warning(
                    "new jobs not read: %s", answer.err_value.message
                )
                return
            rows = answer.ok_value
            self._process_rows(rows)
            if rows:
                after = rows[-1].key
            if len(rows) < PAGE_ROWS:
                self._poll_after = max(after, start)
                return

    async def read(self, job_ids: Iterable[JobId]) -> set[JobId]:
        """Reads the rows of some jobs.

        Returns:
          The jobs that have ended or don't exist; none if the read failed.
        """
        keys = [(self._table, str(job_id)) for job_id in job_ids]
        if not keys:
            return set()
        answer = await self._platform.read(keys)
        if isinstance(answer, Err):
            return set()
        self._process_rows(answer.ok_value)
        return {
            JobId(row.key)
            for row in answer.ok_value
            if JobId(row.key) not in self._known
        }

    async def run(self) -> None:
        """Polls and sweeps the table until cancelled."""
        loop = asyncio.get_running_loop()
        sweep_at = loop.time() + SWEEP_INTERVAL_S
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self.poll()
            if loop.time() >= sweep_at:
                sweep_at = loop.time() + SWEEP_INTERVAL_S
                await self._sweep()

    async def _sweep(self) -> None:
        answer = await self._platform.scan(
            self._table, after=self._sweep_after, limit=PAGE_ROWS
        )
        if isinstance(answer, Err):
            return
        rows = answer.ok_value
        self._process_rows(rows)
        self._sweep_after = rows[-1].key if len(rows) == PAGE_ROWS else ""

    def _process_rows(self, rows: Iterable[Row]) -> None:
        for row in rows:
            job_id = JobId(row.key)
            if job_id in self._known or job_id in self._ended_jobs:
                continue
            record = decode_record(row.value)
            if record is None:
                if row.value is not None:
                    logging.error("row %s is not a job record", row.key)
                continue
            if record.state.is_final:
                continue
            self._known.add(job_id)
            self._on_found(record, row.version)
