"""Takes jobs in, cancels them and answers for their state, on every node.

A job is accepted with one conditional write. A write without an answer is
settled by sending it again: the condition tells whether it had taken effect.
"""

from __future__ import annotations

import asyncio
import enum
import time
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.batch.model import BatchJob, QueueName
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import FeedStore, TableChanges
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SPECS_TABLE,
    cancel_key,
    cancelled_job,
    decode_row,
    encode,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformError,
    PlatformFailure,
    Write,
)

# Pause before a write without an answer is sent again, in seconds.
SETTLE_PAUSE_S = 0.1
# How long a write in doubt is pursued, in seconds; after that the caller can
# settle it sooner with another node.
SETTLE_WITHIN_S = 0.8
# How often a write that waits for its answer looks whether the store is still
# in reach, in seconds.
WATCH_S = 0.1
# What the table said longer ago than this, in seconds, is not told instead of
# an answer of the store. Its feed confirms it each 0.5 s, and is paced by a
# quarter of a second.
STATE_AGE_S = 1.4
# How long the store is waited for about one job, in seconds: one that is sixty
# times slower than usual takes half of it.
STATE_READ_S = 0.6
# Callers ask most just after a job's end, which takes some 25 ms to be
# written, and ask again only a quarter of a second later. The state of a job
# that runs is read this many times, with this pause in seconds between, before
# it is told.
STATE_READS = 3
STATE_PAUSE_S = 0.025

_NOT_ASKED = PlatformError(
    PlatformFailure.NOT_DONE, "the store is out of reach"
)


class Outcome(enum.Enum):
    """What became of a call.

    DONE: it took effect, now or by an earlier call.
    NOT_DONE: it certainly had no effect.
    UNKNOWN: it may have taken effect.
    NO_JOB: there is no such job.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    NO_JOB = "no_job"


class KnownJob(msgspec.Struct, frozen=True):
    """What this node knows of a job.

    Attributes:
      status: where it stands.
      organisation: whose job it is.
      queue: the queue that took it.
      accepted_at: when it was accepted, in wall clock seconds.
      finished_at: when its status became final, in wall clock seconds.
    """

    status: JobStatus
    organisation: OrganisationName
    queue: QueueName
    accepted_at: float
    finished_at: float


class Intake:
    """The calls of callers about jobs.

    Args:
      store: the store.
      jobs: the mirror of the jobs' table.
      clock: monotonic time, in seconds.
      log: where it is written when a caller is first told of a job's end.
      reachable: whether the store has answered this node of late.
      wall: the wall clock, in seconds.
    """

    def __init__(
        self,
        store: FeedStore,
        jobs: TableMirror,
        clock: Callable[[], float],
        log: DecisionLog,
        reachable: Callable[[], bool] = lambda: True,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Follows the mirror."""
        self._log = log
        self._wall = wall
        self._told: set[str] = set()
        self._store = store
        self._jobs = jobs
        self._clock = clock
        self._reachable = reachable
        self._waiting: dict[QueueName, set[str]] = {}
        jobs.subscribe(self._on_changes)

    # ---- writes

    async def accept(self, job: BatchJob, give_up_at: float) -> Outcome:
        """Accepts a job durably; a job that is there already is accepted."""
        row = JobRow.from_job(job)
        checks = [Check(JOBS_TABLE, job.job_id, 0)]
        writes = [
            Write(JOBS_TABLE, job.job_id, encode(row)),
            Write(SPECS_TABLE, job.job_id, encode(job)),
        ]
        return await self._write_once(checks, writes, give_up_at)

    async def cancel(self, job_id: JobId, give_up_at: float) -> Outcome:
        """Marks a job as to be ended, durably."""
        key = cancel_key(job_id)
        if key in self._jobs.rows:
            return Outcome.DONE
        known = await self.look_up(job_id)
        if isinstance(known, Err):
            return Outcome.NOT_DONE
        if known.ok_value is None:
            return Outcome.NO_JOB
        if known.ok_value.status.final:
            return Outcome.DONE
        return await self._write_once(
            [Check(JOBS_TABLE, key, 0)],
            [Write(JOBS_TABLE, key, {"at": self._clock()})],
            give_up_at,
        )

    async def _write_once(
        self, checks: list[Check], writes: list[Write], give_up_at: float
    ) -> Outcome:
        if not self._reachable():
            return Outcome.NOT_DONE
        in_doubt = False
        while True:
            left_s = give_up_at - self._clock()
            if left_s <= 0:
                return Outcome.UNKNOWN if in_doubt else Outcome.NOT_DONE
            answer = await self._transact(checks, writes, give_up_at)
            if answer is None:
                return Outcome.UNKNOWN
            if isinstance(answer, Ok):
                return Outcome.DONE
            error = answer.err_value
            if isinstance(error, Conflict):
                return Outcome.DONE
            if error.failure is PlatformFailure.NOT_DONE and not in_doubt:
                return Outcome.NOT_DONE
            if error.failure is PlatformFailure.UNKNOWN and not in_doubt:
                in_doubt = True
                give_up_at = min(give_up_at, self._clock() + SETTLE_WITHIN_S)
            await asyncio.sleep(SETTLE_PAUSE_S)

    async def _transact(
        self, checks: list[Check], writes: list[Write], give_up_at: float
    ) -> Result[tuple[int, ...], Conflict | PlatformError] | None:
        """Writes once; None when the answer isn't waited for any longer.

        That is at `give_up_at`, or as soon as the store is out of reach:
        another node may reach it, and settles the write as well.
        """
        call = asyncio.create_task(self._store.transact(checks, writes))
        try:
            while not call.done():
                left_s = give_up_at - self._clock()
                if left_s <= 0 or not self._reachable():
                    return None
                await asyncio.wait({call}, timeout=min(left_s, WATCH_S))
            return call.result()
        finally:
            call.cancel()

    # ---- reads

    async def look_up(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        """Returns what is known of a job.

        Of one that has not ended as far as the table here says, the store is
        asked: callers ask most when a job is about to end.
        """
        answer = await self._look_up(job_id)
        if isinstance(answer, Ok) and answer.ok_value is not None:
            self._note_told(job_id, answer.ok_value)
        return answer

    def _note_told(self, job_id: JobId, job: KnownJob) -> None:
        """Says in the log when a caller is first told that a job has ended."""
        if not job.status.final or job_id in self._told:
            return
        if job_id in self._jobs.rows:
            # Until the row is deleted, which drops it here as well.
            self._told.add(job_id)
        wall = self._wall()
        self._log.write(
            "end told to caller",
            job=job_id,
            status=job.status.value,
            age_s=round(wall - job.accepted_at, 3),
            ended_s_ago=round(wall - job.finished_at, 3)
            if job.finished_at
            else None,
            table_age_s=round(self._jobs.age(self._clock()), 3),
        )

    async def _look_up(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        found = self._from_mirror(job_id)
        if found is not None and found.status.final:
            return Ok(found)
        if not self._reachable():
            return Err(_NOT_ASKED)
        answer = await self._read_closely(job_id)
        if isinstance(answer, Ok) or found is None:
            return answer
        if self._jobs.age(self._clock()) <= STATE_AGE_S:
            return Ok(found)
        return answer

    async def _read_closely(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        """Reads a job's state, and that of one that runs again shortly."""
        answer = await self._read(job_id)
        for _ in range(STATE_READS - 1):
            known = answer.unwrap_or(None)
            if known is None or known.status is not JobStatus.RUNNING:
                break
            await asyncio.sleep(STATE_PAUSE_S)
            newer = await self._read(job_id)
            if isinstance(newer, Err):
                break
            answer = newer
        return answer

    async def _read(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        keys = [(JOBS_TABLE, job_id), (JOBS_TABLE, cancel_key(job_id))]
        try:
            async with asyncio.timeout(STATE_READ_S):
                answer = await self._store.read(keys)
        except TimeoutError:
            return Err(_NOT_ASKED)
        if isinstance(answer, Err):
            return answer
        row, mark = answer.ok_value
        if row.value is None:
            return Ok(None)
        return Ok(_known(decode_row(row.value), mark.value is not None))

    def _from_mirror(self, job_id: JobId) -> KnownJob | None:
        value = self._jobs.rows.get(job_id)
        if value is None:
            return None
        return _known(decode_row(value), cancel_key(job_id) in self._jobs.rows)

    def count_unstarted(self, queue: QueueName) -> int:
        """Returns how many accepted jobs of a queue have not started."""
        return len(self._waiting.get(queue, ()))

    def _on_changes(self, changes: TableChanges, whole: bool) -> None:
        if whole:
            self._waiting.clear()
            self._told &= self._jobs.rows.keys()
        for change in changes.rows:
            cancelled = cancelled_job(change.key)
            if cancelled is not None:
                self._not_waiting(cancelled)
            elif change.value is None:
                self._not_waiting(change.key)
                self._told.discard(change.key)
            else:
                self._count(change.key, decode_row(change.value))

    def _count(self, key: str, row: JobRow) -> None:
        if row.started or row.status.final or row.scheduled:
            self._not_waiting(key)
        elif cancel_key(JobId(key)) not in self._jobs.rows:
            self._waiting.setdefault(row.queue, set()).add(key)

    def _not_waiting(self, key: str) -> None:
        for keys in self._waiting.values():
            keys.discard(key)


def _known(row: JobRow, cancelled: bool) -> KnownJob:
    status = row.status
    if cancelled and not status.final:
        status = JobStatus.CANCELLED
    return KnownJob(
        status, row.organisation, row.queue, row.accepted_at, row.finished_at
    )
