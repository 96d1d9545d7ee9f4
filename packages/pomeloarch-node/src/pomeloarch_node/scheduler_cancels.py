"""Passes the cancellations that callers requested to the scheduler."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable

import msgspec
from absl import logging
from result import Err

from pomeloarch_core.ids import JobId, ZoneName
from pomeloarch_node.job_records import CancelBatch, cancels_table
from pomeloarch_node.platform import (
    Check,
    PlatformClient,
    PlatformError,
    Row,
    Write,
)
from pomeloarch_node.scheduler_job_reader import JobReader
from pomeloarch_node.scheduler_records import RecordWriter
from pomeloarch_node.scheduler_tenure import Tenure

# Time between two reads of the table, in seconds.
POLL_INTERVAL_S = 0.5
# Maximum number of rows in one scan, and of rows deleted in one transaction.
PAGE_ROWS = 100
# Limits that leave room for new work during a wave of cancellations: the number
# of cancellations that the scheduler receives at a time, the time between two
# such steps in seconds, and the backlog of writes up to which it receives them.
MAX_JOBS_PER_STEP = 50
STEP_INTERVAL_S = 0.1
MAX_BACKLOG = 100


class CancelReader:
    """Reads rows of cancellations and passes on their jobs, a few at a time.

    A row is deleted when all of its jobs have ended.

    Args:
      platform: client of the platform's tables.
      zone: the scheduler's zone.
      tenure: the right to write.
      fence: check of the row that a newer holder changes first.
      job_reader: reads jobs that are not known yet.
      writer: no cancellations are passed on while its backlog is long.
      on_cancel: called with each job to cancel.
    """

    def __init__(
        self,
        platform: PlatformClient,
        zone: ZoneName,
        tenure: Tenure,
        fence: Check,
        job_reader: JobReader,
        writer: RecordWriter,
        on_cancel: Callable[[JobId], None],
    ) -> None:
        """Starts without cancellations."""
        self._platform = platform
        self._table = cancels_table(zone)
        self._tenure = tenure
        self._fence = fence
        self._job_reader = job_reader
        self._writer = writer
        self._on_cancel = on_cancel
        self._queue: deque[JobId] = deque()
        self._row_versions: dict[str, int] = {}
        self._unfinished_jobs: dict[str, set[JobId]] = {}
        self._rows_by_job: dict[JobId, list[str]] = defaultdict(list)
        self._finished_rows: deque[str] = deque()

    @property
    def waiting_count(self) -> int:
        """Number of cancellations that were read but not passed on yet."""
        return len(self._queue)

    def mark_ended(self, job_id: JobId) -> None:
        """Records that a job has ended."""
        for key in self._rows_by_job.pop(job_id, ()):
            jobs = self._unfinished_jobs[key]
            jobs.discard(job_id)
            if not jobs:
                del self._unfinished_jobs[key]
                self._finished_rows.append(key)

    async def run(self) -> None:
        """Reads cancellations and passes them on until cancelled."""
        loop = asyncio.get_running_loop()
        poll_at = loop.time()
        while True:
            if loop.time() >= poll_at:
                poll_at = loop.time() + POLL_INTERVAL_S
                await self._poll()
            await self._forward_step()
            await self._delete_finished_rows()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _poll(self) -> None:
        after = ""
        while True:
            answer = await self._platform.scan(
                self._table, after=after, limit=PAGE_ROWS
            )
            if isinstance(answer, Err):
                logging.warning(
                    "cancellations not read: %s", answer.err_value.message
                )
                return
            rows = answer.ok_value
            for row in rows:
                self._add_row(row)
            if len(rows) < PAGE_ROWS:
                return
            after = rows[-1].key

    def _add_row(self, row: Row) -> None:
        if row.key in self._row_versions:
            return
        self._row_versions[row.key] = row.version
        try:
            batch = msgspec.convert(row.value, CancelBatch)
        except msgspec.ValidationError as exc:
            logging.error("invalid row of cancellations %s: %s", row.key, exc)
            return
        self._unfinished_jobs[row.key] = set(batch.job_ids)
        for job_id in batch.job_ids:
            self._rows_by_job[job_id].append(row.key)
        self._queue.extend(batch.job_ids)

    async def _forward_step(self) -> None:
        if self._writer.backlog >= MAX_BACKLOG:
            return
        count = min(MAX_JOBS_PER_STEP, len(self._queue))
        step = [self._queue.popleft() for _ in range(count)]
        unknown = [job for job in step if not self._writer.is_known(job)]
        for job_id in await self._job_reader.read(unknown):
            self.mark_ended(job_id)
        for job_id in step:
            if self._writer.is_known(job_id):
                self._on_cancel(job_id)
            elif job_id in self._rows_by_job:
                self._queue.append(job_id)

    async def _delete_finished_rows(self) -> None:
        if not self._finished_rows or not self._tenure.is_held():
            return
        keys = [
            self._finished_rows.popleft()
            for _ in range(min(PAGE_ROWS, len(self._finished_rows)))
        ]
        checks = [
            Check(self._table, key, self._row_versions[key]) for key in keys
        ]
        writes = [Write(self._table, key, None) for key in keys]
        answer = await self._platform.transact([self._fence, *checks], writes)
        if isinstance(answer, Err) and isinstance(
            answer.err_value, PlatformError
        ):
            self._finished_rows.extendleft(keys)
            return
        # A conflict means that an earlier call deleted the rows and its answer
        # was lost.
        for key in keys:
            del self._row_versions[key]
