"""Writes job records: conditional, batched and within a budget of writes."""

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
from pomeloarch_node.scheduler_budget import WriteBudget, WriteKind
from pomeloarch_node.scheduler_tenure import Tenure

WINDOW_S = 0.02
MAX_BATCH = 50
_BUDGET_PAUSE_S = 0.05
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 2.0
# A start waits for its intent. An end that nobody waits for goes last.
_KINDS = {
    JobState.STARTING: WriteKind.START,
    JobState.CANCELLED: WriteKind.CLEAN_UP,
    JobState.REFUSED: WriteKind.CLEAN_UP,
    JobState.STOPPING: WriteKind.CLEAN_UP,
}

Outcome = RecordWritten | RecordNotWritten


class RecordWriter:
    """Makes records durable, each on the version that was last seen.

    A write whose answer was lost is sent again on the same version: it
    either takes effect then or meets its own row, which settles it.

    Args:
      platform: the platform.
      zone: the scheduler's zone.
      tenure: the right to write.
      fence: the row that a newer holder changes first; checked each time.
      budget: what may be written a second.
      emit: told of each record's outcome.
      metrics: the node's metrics.
    """

    def __init__(
        self,
        platform: PlatformClient,
        zone: ZoneName,
        tenure: Tenure,
        fence: Check,
        budget: WriteBudget,
        emit: Callable[[Outcome], None],
        metrics: Metrics,
    ) -> None:
        """Starts with nothing to write."""
        self._platform = platform
        self._table = jobs_table(zone)
        self._tenure = tenure
        self._fence = fence
        self._budget = budget
        self._emit = emit
        self._metrics = metrics
        self._versions: dict[JobId, int] = {}
        # What rows say of which no write is in progress.
        self._settled: dict[JobId, JobRecord] = {}
        self._queues: dict[WriteKind, deque[JobRecord]] = {
            kind: deque() for kind in WriteKind
        }
        self._wake = asyncio.Event()

    @property
    def backlog(self) -> int:
        """Records that wait to be written without haste."""
        return len(self._queues[WriteKind.CLEAN_UP])

    def knows(self, job_id: JobId) -> bool:
        """Whether the version of a job's row is known."""
        return job_id in self._versions

    def learn(self, record: JobRecord, version: int) -> None:
        """Takes a row that was read for the first time."""
        job_id = record.spec.job_id
        if job_id not in self._versions:
            self._versions[job_id] = version
            self._settled[job_id] = record

    def put(self, record: JobRecord) -> None:
        """Takes a record to write; its outcome is emitted later.

        A record that differs only in the epoch from its row is in force as
        it stands: the fence shuts older epochs out, not the row.
        """
        settled = self._settled.pop(record.spec.job_id, None)
        if settled is not None and _same(settled, record):
            self._settled[record.spec.job_id] = settled
            self._emit(RecordWritten(record))
            return
        self._queue_of(record).append(record)
        self._wake.set()

    async def run(self) -> None:
        """Writes batches for as long as the tenure lasts."""
        loop = asyncio.get_running_loop()
        pause_s = _FIRST_PAUSE_S
        while True:
            await self._wake.wait()
            await asyncio.sleep(WINDOW_S)
            batch = self._next_batch(loop.time())
            if not batch:
                await asyncio.sleep(_BUDGET_PAUSE_S)
                continue
            if not self._tenure.is_held():
                return
            if await self._write(batch):
                pause_s = _FIRST_PAUSE_S
            else:
                await asyncio.sleep(pause_s)
                pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)

    def _next_batch(self, now: float) -> list[JobRecord]:
        batch: dict[JobId, JobRecord] = {}
        for kind, queue in self._queues.items():
            room = self._budget.available(kind, now)
            _move(queue, batch, min(MAX_BATCH, room))
        if not any(self._queues.values()):
            self._wake.clear()
        return list(batch.values())

    async def _write(self, batch: list[JobRecord]) -> bool:
        """Writes a batch; returns whether the platform gave an answer."""
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
                self._written(record)
            return True
        if isinstance(answer.err_value, Conflict):
            self._resolve(batch, answer.err_value.rows)
            return True
        logging.warning("job records: %s", answer.err_value.message)
        self._metrics.count("scheduler_writes_failed")
        self._put_back(batch)
        return False

    def _resolve(self, batch: list[JobRecord], rows: Iterable[Row]) -> None:
        """Settles the rows that stood otherwise; the others go again."""
        conflicts = {(row.table, row.key): row for row in rows}
        if (self._fence.table, self._fence.key) in conflicts:
            self._tenure.supersede("a newer scheduler of the zone has begun")
            return
        again = []
        for record in batch:
            row = conflicts.get((self._table, record.spec.job_id))
            if row is None:
                again.append(record)
                continue
            self._versions[record.spec.job_id] = row.version
            found = decode_record(row.value)
            if found == record:
                self._written(record)
            else:
                self._emit(RecordNotWritten(record, found))
        self._put_back(again)

    def _written(self, record: JobRecord) -> None:
        job_id = record.spec.job_id
        if record.state.is_final:
            del self._versions[job_id]
        else:
            self._settled[job_id] = record
        self._emit(RecordWritten(record))

    def _queue_of(self, record: JobRecord) -> deque[JobRecord]:
        return self._queues[_KINDS.get(record.state, WriteKind.CHANGE)]

    def _version(self, record: JobRecord) -> int:
        return self._versions.get(record.spec.job_id, 0)

    def _put_back(self, batch: list[JobRecord]) -> None:
        for record in reversed(batch):
            self._queue_of(record).appendleft(record)
        if batch:
            self._wake.set()


def _same(settled: JobRecord, record: JobRecord) -> bool:
    return msgspec.structs.replace(settled, epoch=record.epoch) == record


def _move(
    queue: deque[JobRecord], batch: dict[JobId, JobRecord], limit: int
) -> None:
    """Moves records into a batch in order, one of each job at most."""
    while queue and len(batch) < limit:
        if queue[0].spec.job_id in batch:
            return
        record = queue.popleft()
        batch[record.spec.job_id] = record
