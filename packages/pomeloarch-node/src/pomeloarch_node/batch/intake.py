"""Accepts and cancels jobs and reports their state, on every node.

A job is accepted with one conditional write. A write without an answer is sent
again, and its condition tells whether the first one took effect.

Such a write may also be performed seconds later, after its caller has given the
job up. Before a caller is told that a job which it cancels doesn't exist, the
job's id is withdrawn, and no job is accepted under a withdrawn id.
"""

from __future__ import annotations

import asyncio
import enum
import time
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.batch.access import NO_ORGANISATION, may_access
from pomeloarch_core.batch.model import BatchJob, QueueName
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.batch.withdrawals import Withdrawal, WithdrawalBudget
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import FeedStore, TableChanges
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SPECS_TABLE,
    WITHDRAWN_TABLE,
    cancel_key,
    cancelled_job,
    decode_row,
    decode_withdrawal,
    encode,
    find_excess,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformError,
    PlatformFailure,
    Row,
    StoreLimits,
    Write,
)

# Pause before a write without an answer is sent again, in seconds.
SETTLE_RETRY_PAUSE_S = 0.1
# How long a write whose outcome is unknown is retried, in seconds. After that,
# the caller can settle it sooner at another node.
SETTLE_TIMEOUT_S = 0.8
# How often a write that waits for its answer checks whether the store is still
# reachable, in seconds.
REACHABILITY_CHECK_S = 0.1
# Maximum age of the mirror, in seconds, for its state to replace an answer of
# the store. The feed of the table confirms it every 0.5 s and is read at
# intervals of at least a quarter of a second.
MAX_MIRROR_AGE_S = 1.4
# Timeout of a read of one job's state, in seconds. A store that is sixty times
# slower than usual takes half of it.
STATE_READ_TIMEOUT_S = 0.6
# Callers ask most often just after a job has ended. Writing the end takes some
# 25 ms, and a caller asks again only a quarter of a second later. The state of
# a running job is therefore read up to this many times, with this pause in
# seconds between the reads, before it is reported.
MAX_STATE_READS = 3
STATE_READ_PAUSE_S = 0.025

_STORE_UNREACHABLE = PlatformError(
    PlatformFailure.NOT_DONE, "the store is out of reach"
)


class Outcome(enum.Enum):
    """The outcome of a caller's request to accept or cancel a job.

    DONE: it took effect, now or by an earlier request.
    NOT_DONE: it certainly had no effect.
    UNKNOWN: it may have taken effect.
    NO_JOB: there is no such job, and no earlier submission by the caller will
      be accepted any more.
    TOO_LARGE: it had no effect, and never will: the store can't keep the job.
    ID_TAKEN: it had no effect: another organisation's job has the id.
    WITHDRAWN: it had no effect: the id was cancelled before.
    TOO_MANY: it had no effect: too many unknown jobs are being cancelled.
    """

    DONE = "done"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    NO_JOB = "no_job"
    TOO_LARGE = "too_large"
    ID_TAKEN = "id_taken"
    WITHDRAWN = "withdrawn"
    TOO_MANY = "too_many"


class KnownJob(msgspec.Struct, frozen=True):
    """The state of a job as this node knows it.

    Attributes:
      status: the job's status; CANCELLED as soon as the cancellation is stored.
      organisation: the organisation that submitted it.
      queue: the queue that accepted it.
      accepted_at: when it was accepted, in wall clock seconds.
      finished_at: when its status became final, in wall clock seconds.
    """

    status: JobStatus
    organisation: OrganisationName
    queue: QueueName
    accepted_at: float
    finished_at: float

    def is_visible_to(self, organisation: OrganisationName) -> bool:
        """Returns whether an organisation may read and cancel the job."""
        return may_access(self.organisation, organisation)


class Intake:
    """Handles callers' requests about jobs.

    Args:
      store: the store.
      jobs: the mirror of the jobs' table.
      clock: returns monotonic time, in seconds.
      log: receives an event when a caller is first told that a job has ended.
      is_reachable: whether the store has answered this node recently.
      wall: returns wall-clock time, in seconds.
      limits: what the store takes.
      count_nodes: returns the number of nodes, which share the budget of writes
        for the cancellation of unknown jobs.
    """

    def __init__(
        self,
        store: FeedStore,
        jobs: TableMirror,
        clock: Callable[[], float],
        log: DecisionLog,
        is_reachable: Callable[[], bool] = lambda: True,
        wall: Callable[[], float] = time.time,
        limits: StoreLimits | None = None,
        count_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        """Subscribes to the mirror."""
        self._count_nodes = count_nodes
        self._withdrawal_budget = WithdrawalBudget()
        self._limits = limits or StoreLimits()
        self._log = log
        self._wall = wall
        self._reported_ends: set[str] = set()
        self._store = store
        self._jobs = jobs
        self._clock = clock
        self._is_reachable = is_reachable
        self._unstarted: dict[QueueName, set[str]] = {}
        jobs.subscribe(self._on_changes)

    def find_excess(self, job: BatchJob) -> str | None:
        """Returns why the store can't keep a job, None if it can."""
        return find_excess(job, self._limits)

    async def accept(self, job: BatchJob, give_up_at: float) -> Outcome:
        """Stores a job durably; a repeated submission counts as accepted."""
        if self.find_excess(job) is not None:
            return Outcome.TOO_LARGE
        row = JobRow.from_job(job)
        writes = [
            Write(JOBS_TABLE, job.job_id, encode(row)),
            Write(SPECS_TABLE, job.job_id, encode(job)),
        ]
        withdrawn_at = 0
        while True:
            checks = [
                Check(JOBS_TABLE, job.job_id, 0),
                Check(JOBS_TABLE, cancel_key(job.job_id), 0),
                Check(WITHDRAWN_TABLE, job.job_id, withdrawn_at),
            ]
            answer = await self._write_once(checks, writes, give_up_at)
            if isinstance(answer, Outcome):
                return answer
            found, marker, withdrawal = _rows_in_order(answer, checks)
            if found.value is not None:
                owner = decode_row(found.value).organisation
                is_own = owner == job.organisation
                return Outcome.DONE if is_own else Outcome.ID_TAKEN
            is_withdrawn = decode_withdrawal(withdrawal.value).covers(
                job.organisation
            )
            if is_withdrawn or marker.value is not None:
                return Outcome.WITHDRAWN
            # Other organisations have withdrawn the id, or their withdrawal
            # has expired.
            withdrawn_at = withdrawal.version

    async def cancel(
        self,
        job_id: JobId,
        give_up_at: float,
        organisation: OrganisationName = NO_ORGANISATION,
    ) -> Outcome:
        """Stores a durable request to end a job.

        Args:
          job_id: the job.
          give_up_at: when the caller's time is over, in seconds.
          organisation: the caller's; to another organisation than its own, a
            job doesn't exist.
        """
        key = cancel_key(job_id)
        known_here = self._read_mirror(job_id)
        if (
            known_here is not None
            and key in self._jobs.rows
            and known_here.is_visible_to(organisation)
        ):
            return Outcome.DONE
        known = await self.look_up(job_id)
        if isinstance(known, Err):
            return Outcome.NOT_DONE
        if known.ok_value is None:
            return await self._withdraw(job_id, give_up_at, organisation)
        return await self._cancel_known(
            job_id, known.ok_value, give_up_at, organisation
        )

    async def _cancel_known(
        self,
        job_id: JobId,
        job: KnownJob,
        give_up_at: float,
        organisation: OrganisationName,
    ) -> Outcome:
        if not job.is_visible_to(organisation):
            return Outcome.NO_JOB
        if job.status.is_final:
            return Outcome.DONE
        key = cancel_key(job_id)
        answer = await self._write_once(
            [Check(JOBS_TABLE, key, 0)],
            [Write(JOBS_TABLE, key, {"at": self._clock()})],
            give_up_at,
        )
        # A conflict shows that the marker is there.
        return answer if isinstance(answer, Outcome) else Outcome.DONE

    async def _withdraw(
        self, job_id: JobId, give_up_at: float, organisation: OrganisationName
    ) -> Outcome:
        """Cancels a job that was not found.

        A withdrawal that is already there is written again, since the time for
        which it is kept counts from its last write.
        """
        if not self._withdrawal_budget.try_spend(
            organisation, self._count_nodes(), self._clock()
        ):
            return Outcome.TOO_MANY
        withdrawal, version = Withdrawal(), 0
        while True:
            checks = [
                Check(JOBS_TABLE, job_id, 0),
                Check(WITHDRAWN_TABLE, job_id, version),
            ]
            value = encode(withdrawal.including(organisation))
            answer = await self._write_once(
                checks, [Write(WITHDRAWN_TABLE, job_id, value)], give_up_at
            )
            if answer is Outcome.DONE:
                return Outcome.NO_JOB
            if isinstance(answer, Outcome):
                return answer
            found, withdrawn = _rows_in_order(answer, checks)
            if found.value is not None:
                # Accepted since it was looked up.
                job = _known_job(decode_row(found.value), cancelled=False)
                return await self._cancel_known(
                    job_id, job, give_up_at, organisation
                )
            withdrawal = decode_withdrawal(withdrawn.value)
            version = withdrawn.version

    async def _write_once(
        self, checks: list[Check], writes: list[Write], give_up_at: float
    ) -> Outcome | Conflict:
        """Writes rows; returns the conflict if their conditions don't hold.

        The rows in conflict may be those that an earlier copy has written.
        """
        if not self._is_reachable():
            return Outcome.NOT_DONE
        outcome_unknown = False
        while True:
            left_s = give_up_at - self._clock()
            if left_s <= 0:
                return Outcome.UNKNOWN if outcome_unknown else Outcome.NOT_DONE
            answer = await self._transact(checks, writes, give_up_at)
            if answer is None:
                return Outcome.UNKNOWN
            if isinstance(answer, Ok):
                return Outcome.DONE
            error = answer.err_value
            if isinstance(error, Conflict):
                return error
            if error.permanent and not outcome_unknown:
                self._log.write("write refused for good", reason=error.message)
            if (
                error.failure is PlatformFailure.NOT_DONE
                and not outcome_unknown
            ):
                return Outcome.NOT_DONE
            if error.failure is PlatformFailure.UNKNOWN and not outcome_unknown:
                outcome_unknown = True
                give_up_at = min(give_up_at, self._clock() + SETTLE_TIMEOUT_S)
            await asyncio.sleep(SETTLE_RETRY_PAUSE_S)

    async def _transact(
        self, checks: list[Check], writes: list[Write], give_up_at: float
    ) -> Result[tuple[int, ...], Conflict | PlatformError] | None:
        """Sends a write once; returns None if it stops waiting for the answer.

        It stops at `give_up_at`, or as soon as the store is unreachable:
        another node may still reach it, and can settle the write as well.
        """
        call = asyncio.create_task(self._store.transact(checks, writes))
        try:
            while not call.done():
                left_s = give_up_at - self._clock()
                if left_s <= 0 or not self._is_reachable():
                    return None
                await asyncio.wait(
                    {call}, timeout=min(left_s, REACHABILITY_CHECK_S)
                )
            return call.result()
        finally:
            call.cancel()

    async def look_up(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        """Returns the state of a job, None if there is no such job.

        If the job has not ended according to the mirror, the store is read,
        since callers ask most often when a job is about to end.
        """
        answer = await self._find_job(job_id)
        if isinstance(answer, Ok) and answer.ok_value is not None:
            self._log_reported_end(job_id, answer.ok_value)
        return answer

    def _log_reported_end(self, job_id: JobId, job: KnownJob) -> None:
        """Logs the first time that a caller is told that a job has ended."""
        if not job.status.is_final or job_id in self._reported_ends:
            return
        if job_id in self._jobs.rows:
            # The entry is removed when the job's row is deleted, which the
            # mirror notices as well.
            self._reported_ends.add(job_id)
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

    async def _find_job(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        found = self._read_mirror(job_id)
        if found is not None and found.status.is_final:
            return Ok(found)
        if not self._is_reachable():
            return Err(_STORE_UNREACHABLE)
        answer = await self._read_repeatedly(job_id)
        if isinstance(answer, Ok) or found is None:
            return answer
        if self._jobs.age(self._clock()) <= MAX_MIRROR_AGE_S:
            return Ok(found)
        return answer

    async def _read_repeatedly(
        self, job_id: JobId
    ) -> Result[KnownJob | None, PlatformError]:
        """Reads a job's state, several times while the job is running."""
        answer = await self._read(job_id)
        for _ in range(MAX_STATE_READS - 1):
            known = answer.unwrap_or(None)
            if known is None or known.status is not JobStatus.RUNNING:
                break
            await asyncio.sleep(STATE_READ_PAUSE_S)
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
            async with asyncio.timeout(STATE_READ_TIMEOUT_S):
                answer = await self._store.read(keys)
        except TimeoutError:
            return Err(_STORE_UNREACHABLE)
        if isinstance(answer, Err):
            return answer
        row, marker = answer.ok_value
        if row.value is None:
            return Ok(None)
        return Ok(_known_job(decode_row(row.value), marker.value is not None))

    def _read_mirror(self, job_id: JobId) -> KnownJob | None:
        value = self._jobs.rows.get(job_id)
        if value is None:
            return None
        return _known_job(
            decode_row(value), cancel_key(job_id) in self._jobs.rows
        )

    def count_unstarted(self, queue: QueueName) -> int:
        """Returns how many accepted jobs of a queue have not started."""
        return len(self._unstarted.get(queue, ()))

    def _on_changes(self, changes: TableChanges, is_snapshot: bool) -> None:
        if is_snapshot:
            self._unstarted.clear()
            self._reported_ends &= self._jobs.rows.keys()
        for change in changes.rows:
            cancelled = cancelled_job(change.key)
            if cancelled is not None:
                self._remove_unstarted(cancelled)
            elif change.value is None:
                self._remove_unstarted(change.key)
                self._reported_ends.discard(change.key)
            else:
                self._update_unstarted(change.key, decode_row(change.value))

    def _update_unstarted(self, key: str, row: JobRow) -> None:
        if row.started or row.status.is_final or row.scheduled:
            self._remove_unstarted(key)
        elif cancel_key(JobId(key)) not in self._jobs.rows:
            self._unstarted.setdefault(row.queue, set()).add(key)

    def _remove_unstarted(self, key: str) -> None:
        for keys in self._unstarted.values():
            keys.discard(key)


def _known_job(row: JobRow, cancelled: bool) -> KnownJob:
    status = row.status
    if cancelled and not status.is_final:
        status = JobStatus.CANCELLED
    return KnownJob(
        status, row.organisation, row.queue, row.accepted_at, row.finished_at
    )


def _rows_in_order(conflict: Conflict, checks: list[Check]) -> list[Row]:
    """Returns the present rows of a transaction's checks, in their order."""
    found = {(row.table, row.key): row for row in conflict.rows}
    return [found[each.table, each.key] for each in checks]
