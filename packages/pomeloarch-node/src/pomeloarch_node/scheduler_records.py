"""Writes job records in conditional batches, within a budget of writes."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

import msgspec
from absl import logging
from result import Ok

from pomeloarch_core.gang.messages import (
    JobRecord,
    JobState,
    RecordNotWritten,
    RecordWritten,
)
from pomeloarch_core.ids import JobId, ZoneName
from pomeloarch_node.job_records import decode_record, encode, jobs_table
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformClient,
    Row,
    Write,
)
from pomeloarch_node.scheduler_budget import WriteBudget, WritePriority
from pomeloarch_node.scheduler_tenure import Tenure

# How long a record may wait for others to join its batch, in seconds.
BATCH_DELAY_S = 0.02
MAX_BATCH_ROWS = 50
# Pause before the budget is checked again, in seconds.
_BUDGET_PAUSE_S = 0.05
# Bounds on the pause after a write that failed otherwise than by a conflict, in
# seconds; the pause doubles with each such write in a row.
_MIN_RETRY_PAUSE_S = 0.1
_MAX_RETRY_PAUSE_S = 2.0
# Priorities of records by state; other states have the priority CHANGE. The
# start of an attempt waits until its intent (STARTING) is written, so that goes
# first. Ends that nobody waits for go last.
_PRIORITIES = {
    JobState.STARTING: WritePriority.START,
    JobState.CANCELLED: WritePriority.CLEAN_UP,
    JobState.REFUSED: WritePriority.CLEAN_UP,
    JobState.STOPPING: WritePriority.CLEAN_UP,
}

WriteOutcome = RecordWritten | RecordNotWritten


class RecordWriter:
    """Writes records, each on condition of the last known version of its row.

    A write whose answer was lost is sent again with the same version. Then it
    either takes effect, or it conflicts with the row that it wrote before,
    which shows that it had taken effect.

    Args:
      platform: client of the platform's tables.
      zone: the scheduler's zone.
      tenure: the right to write.
      fence: check that each transaction carries, of the row that a newer holder
        changes first.
      budget: limit on the rows per second.
      emit: called with the outcome of each record.
      metrics: the node's metrics.
    """

    def __init__(
        self,
        platform: PlatformClient,
        zone: ZoneName,
        tenure: Tenure,
        fence: Check,
        budget: WriteBudget,
        emit: Callable[[WriteOutcome], None],
        metrics: Metrics,
    ) -> None:
        """Starts without records to write."""
        self._platform = platform
        self._table = jobs_table(zone)
        self._tenure = tenure
        self._fence = fence
        self._budget = budget
        self._emit = emit
        self._metrics = metrics
        self._versions: dict[JobId, int] = {}
        # Contents of the rows for which no write is queued or in progress.
        self._stored: dict[JobId, JobRecord] = {}
        self._queues: dict[WritePriority, deque[JobRecord]] = {
            priority: deque() for priority in WritePriority
        }
        self._wake = asyncio.Event()

    @property
    def backlog(self) -> int:
        """Number of queued records of the lowest priority."""
        return len(self._queues[WritePriority.CLEAN_UP])

    def is_known(self, job_id: JobId) -> bool:
        """Returns whether the version of a job's row is known."""
        return job_id in self._versions

    def add_known(self, record: JobRecord, version: int) -> None:
        """Adds a row that was read; a row that is known already stays."""
        job_id = record.spec.job_id
        if job_id not in self._versions:
            self._versions[job_id] = version
            self._stored[job_id] = record

    def put(self, record: JobRecord) -> None:
        """Queues a record for writing; its outcome is emitted later.

        A record that differs from its row only in the epoch counts as written
        at once: it is the fence that shuts out older epochs, not the row.
        """
        stored = self._stored.pop(record.spec.job_id, None)
        if stored is not None and _differs_only_in_epoch(stored, record):
            self._stored[record.spec.job_id] = stored
            self._emit(RecordWritten(record))
            return
        self._queue_of(record).append(record)
        self._wake.set()

    async def run(self) -> None:
        """Writes batches for as long as the tenure lasts."""
        loop = asyncio.get_running_loop()
        pause_s = _MIN_RETRY_PAUSE_S
        while True:
            await self._wake.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            batch = self._next_batch(loop.time())
            if not batch:
                await asyncio.sleep(_BUDGET_PAUSE_S)
                continue
            if not self._tenure.is_held():
                return
            if await self._write(batch):
                pause_s = _MIN_RETRY_PAUSE_S
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(_MAX_RETRY_PAUSE_S, pause_s * 2)

    def _next_batch(self, now: float) -> list[JobRecord]:
        batch: dict[JobId, JobRecord] = {}
        for priority, queue in self._queues.items():
            max_rows = self._budget.available(priority, now)
            _move_to_batch(queue, batch, min(MAX_BATCH_ROWS, max_rows))
        if not any(self._queues.values()):
            self._wake.clear()
        return list(batch.values())

    async def _write(self, batch: list[JobRecord]) -> bool:
        """Writes a batch; returns whether it was written or met a conflict."""
        loop = asyncio.get_running_loop()
        self._budget.take(len(batch), loop.time())
        self._metrics.count("scheduler_rows_written", len(batch))
        checks = [
            Check(self._table, record.spec.job_id, self._version(record))
            for record in batch
        ]
        writes = [
            Write(self._table, record.spec.job_id, encode(record))
            for record in batch
        ]
        answer = await self._platform.transact([self._fence, *checks], writes)
        if isinstance(answer, Ok):
            for record, version in zip(batch, answer.ok_value, strict=True):
                self._versions[record.spec.job_id] = version
                self._confirm(record)
            return True
        if isinstance(answer.err_value, Conflict):
            self._handle_conflict(batch, answer.err_value.rows)
            return True
        logging.warning("job records not written: %s", answer.err_value.message)
        self._metrics.count("scheduler_writes_failed")
        self._requeue(batch)
        return False

    def _handle_conflict(
        self, batch: list[JobRecord], rows: Iterable[Row]
    ) -> None:
        """Emits the outcome of rows in conflict and requeues the others."""
        conflicts = {(row.table, row.key): row for row in rows}
        if (self._fence.table, self._fence.key) in conflicts:
            self._tenure.supersede("a newer scheduler of the zone has begun")
            return
        retried = []
        for record in batch:
            row = conflicts.get((self._table, record.spec.job_id))
            if row is None:
                retried.append(record)
                continue
            self._versions[record.spec.job_id] = row.version
            found = decode_record(row.value)
            if found == record:
                self._confirm(record)
            else:
                self._emit(RecordNotWritten(record, found))
        self._requeue(retried)

    def _confirm(self, record: JobRecord) -> None:
        job_id = record.spec.job_id
        if record.state.is_final:
            del self._versions[job_id]
        else:
            self._stored[job_id] = record
        self._emit(RecordWritten(record))

    def _queue_of(self, record: JobRecord) -> deque[JobRecord]:
        return self._queues[_PRIORITIES.get(record.state, WritePriority.CHANGE)]

    def _version(self, record: JobRecord) -> int:
        return self._versions.get(record.spec.job_id, 0)

    def _requeue(self, batch: list[JobRecord]) -> None:
        for record in reversed(batch):
            self._queue_of(record).appendleft(record)
        if batch:
            self._wake.set()


def _differs_only_in_epoch(stored: JobRecord, record: JobRecord) -> bool:
    return msgspec.structs.replace(stored, epoch=record.epoch) == record


def _move_to_batch(
    queue: deque[JobRecord], batch: dict[JobId, JobRecord], limit: int
) -> None:
    """Moves records into a batch in order, at most one per job.

    Stops at the first record of a job that the batch contains already.
    """
    while queue and len(batch) < limit:
        if queue[0].spec.job_id in batch:
            return
        record = queue.popleft()
        batch[record.spec.job_id] = record
