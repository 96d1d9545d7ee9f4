"""Takes up the cancellations that callers asked for, at a steady pace."""

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
from pomeloarch_node.scheduler_inbox import JobInbox
from pomeloarch_node.scheduler_records import RecordWriter
from pomeloarch_node.scheduler_tenure import Tenure

POLL_S = 0.5
PAGE = 100
# How many cancellations the scheduler is handed at once, and up to which
# backlog of writes: a wave of them leaves room for new work.
STEP = 50
STEP_S = 0.1
MAX_BACKLOG = 100


class CancelReader:
    """Reads rows of cancellations and hands their jobs on, a few at a time.

    A row is deleted when all of its jobs are over.

    Args:
      platform: the platform.
      zone: the scheduler's zone.
      tenure: the right to write.
      fence: the row that a newer holder changes first.
      inbox: reads jobs that are not known yet.
      writer: whose backlog sets the pace.
      cancel: told of each job to cancel.
    """

    def __init__(
        self,
        platform: PlatformClient,
        zone: ZoneName,
        tenure: Tenure,
        fence: Check,
        inbox: JobInbox,
        writer: RecordWriter,
        cancel: Callable[[JobId], None],
    ) -> None:
        """Starts with nothing to cancel."""
        self._platform = platform
        self._table = cancels_table(zone)
        self._tenure = tenure
        self._fence = fence
        self._inbox = inbox
        self._writer = writer
        self._cancel = cancel
        self._queue: deque[JobId] = deque()
        self._rows: dict[str, int] = {}
        self._open: dict[str, set[JobId]] = {}
        self._rows_of: dict[JobId, list[str]] = defaultdict(list)
        self._done: deque[str] = deque()

    @property
    def waiting(self) -> int:
        """Cancellations that were read and not handed on yet."""
        return len(self._queue)

    def ended(self, job_id: JobId) -> None:
        """Notes that a job is over."""
        for key in self._rows_of.pop(job_id, ()):
            jobs = self._open[key]
            jobs.discard(job_id)
            if not jobs:
                del self._open[key]
                self._done.append(key)

    async def run(self) -> None:
        """Reads and hands on until cancelled."""
        loop = asyncio.get_running_loop()
        poll_at = loop.time()
        while True:
            if loop.time() >= poll_at:
                poll_at = loop.time() + POLL_S
                await self._poll()
            await self._hand_on()
            await self._delete_done()
            await asyncio.sleep(STEP_S)

    async def _poll(self) -> None:
        after = ""
        while True:
            answer = await self._platform.scan(
                self._table, after=after, limit=PAGE
            )
            if isinstance(answer, Err):
                logging.warning("cancels: %s", answer.err_value.message)
                return
            rows = answer.ok_value
            for row in rows:
                self._take(row)
            if len(rows) < PAGE:
                return
            after = rows[-1].key

    def _take(self, row: Row) -> None:
        if row.key in self._rows:
            return
        self._rows[row.key] = row.version
        try:
            batch = msgspec.convert(row.value, CancelBatch)
        except msgspec.ValidationError as exc:
            logging.error("cancels %s: %s", row.key, exc)
            return
        self._open[row.key] = set(batch.job_ids)
        for job_id in batch.job_ids:
            self._rows_of[job_id].append(row.key)
        self._queue.extend(batch.job_ids)

    async def _hand_on(self) -> None:
        if self._writer.backlog >= MAX_BACKLOG:
            return
        count = min(STEP, len(self._queue))
        step = [self._queue.popleft() for _ in range(count)]
        unknown = [job for job in step if not self._writer.knows(job)]
        for job_id in await self._inbox.read(unknown):
            self.ended(job_id)
        for job_id in step:
            if self._writer.knows(job_id):
                self._cancel(job_id)
            elif job_id in self._rows_of:
                self._queue.append(job_id)

    async def _delete_done(self) -> None:
        if not self._done or not self._tenure.is_held():
            return
        keys = [self._done.popleft() for _ in range(min(PAGE, len(self._done)))]
        checks = [Check(self._table, key, self._rows[key]) for key in keys]
        writes = [Write(self._table, key, None) for key in keys]
        answer = await self._platform.transact([self._fence, *checks], writes)
        if isinstance(answer, Err) and isinstance(
            answer.err_value, PlatformError
        ):
            self._done.extendleft(keys)
            return
        # In conflict they were deleted by a call whose answer was lost.
        for key in keys:
            del self._rows[key]
