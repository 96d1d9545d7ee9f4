"""Writes rows of jobs in batches, each conditional on the scheduler's fence.

One transaction is under way at a time. A transaction without an answer is sent
again unchanged; if its condition then fails, the rows that come with the
conflict tell whether it had taken effect. Only the holder of the fence writes
these rows, so that a row with another version comes from one of its own earlier
writes.

A transaction that the store refuses for good is divided until the row that it
can't take is found. That row waits; the others are written.

A job that has ended is never started again, so that what was submitted is
deleted together with the row that says so. A successor then reads no more than
the jobs that are left.
"""

from __future__ import annotations

import asyncio
import enum
import functools
from collections.abc import Callable
from typing import Any

import msgspec
from result import Ok

from pomeloarch_core.batch.messages import WriteRow
from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SPECS_TABLE,
    encode_row,
    value_bytes,
)
from pomeloarch_node.platform import Check, Conflict, StoreLimits, Write
from pomeloarch_node.scheduler_tenure import Tenure

# Entries of a transaction that the fence takes.
_FENCE_ENTRIES = 1
# Bytes that an entry of a transaction takes at most besides its value: the
# names of the table, the partition and the key, and their encoding.
_ENTRY_BYTES = 300
# How long a row that nobody waits for may wait for others to join its batch, in
# seconds. The ends of runs have to be acknowledged within seconds.
BATCH_DELAY_S = 0.3
URGENT_BATCH_DELAY_S = 0.004
RETRY_PAUSE_S = 0.2
# Time after which a row that the store has refused for good is tried again, in
# seconds: it may have shrunk meanwhile.
REFUSED_RETRY_S = 2.0


class _Outcome(enum.Enum):
    """The outcome of a transaction.

    WRITTEN: its rows are durable.
    REFUSED: it has no effect, however often it is repeated.
    UNSETTLED: it is to be repeated.
    """

    WRITTEN = "written"
    REFUSED = "refused"
    UNSETTLED = "unsettled"


class _RowChange(msgspec.Struct, frozen=True, dict=True):
    """The change of one job's row, the same in each attempt.

    Attributes:
      order: the order that it carries out.
      value: the value of the row.
      drops_spec: whether the submission is deleted as well.
    """

    order: WriteRow
    value: Any
    drops_spec: bool

    @property
    def job_id(self) -> JobId:
        """The job."""
        return self.order.job_id

    @property
    def entries(self) -> int:
        """The number of entries of a transaction that it takes."""
        return 3 if self.drops_spec else 2

    @functools.cached_property
    def value_bytes(self) -> int:
        """The size of the value, in bytes."""
        return value_bytes(self.value)

    @property
    def bytes(self) -> int:
        """The size of its entries in a transaction, in bytes."""
        return self.value_bytes * 4 // 3 + self.entries * _ENTRY_BYTES


class RowWriter:
    """Writes the newest state of each row that the scheduler changes.

    Args:
      store: the store.
      tenure: the right to write; it is lost when the fence was raised.
      fence: the check that each transaction carries.
      on_written: called with a job and the number of the change that is
        durable.
      log: receives failures.
      limits: what the store takes.
    """

    def __init__(
        self,
        store: FeedStore,
        tenure: Tenure,
        fence: Check,
        on_written: Callable[[JobId, int], None],
        log: DecisionLog,
        limits: StoreLimits | None = None,
    ) -> None:
        """Starts with no rows to write."""
        self._limits = limits or StoreLimits()
        self._store = store
        self._tenure = tenure
        self._fence = fence
        self._on_written = on_written
        self._log = log
        self._versions: dict[JobId, int] = {}
        self._dirty: dict[JobId, WriteRow] = {}
        # The newest states that the store has refused for good.
        self._refused: dict[JobId, WriteRow] = {}
        # Jobs of which no submission is left to delete.
        self._without_spec: set[JobId] = set()
        self._has_urgent_rows = asyncio.Event()
        self._has_rows = asyncio.Event()

    def set_version(self, job_id: JobId, version: int) -> None:
        """Records the version under which a row was read."""
        self._versions[job_id] = version

    def put(self, order: WriteRow) -> None:
        """Queues a row for writing; replaces an older state of it."""
        self._refused.pop(order.job_id, None)
        self._dirty[order.job_id] = order
        self._has_rows.set()
        if order.urgent:
            self._has_urgent_rows.set()

    async def run(self) -> None:
        """Writes until cancelled."""
        while True:
            await self._has_rows.wait()
            try:
                async with asyncio.timeout(BATCH_DELAY_S):
                    await self._has_urgent_rows.wait()
            except TimeoutError:
                pass
            else:
                await asyncio.sleep(URGENT_BATCH_DELAY_S)
            self._has_rows.clear()
            self._has_urgent_rows.clear()
            await self._flush()

    async def _flush(self) -> None:
        """Writes all queued rows."""
        while self._dirty:
            await self._write_until_settled(self._take_batch())

    def _take_batch(self) -> list[_RowChange]:
        """Takes as many queued rows as fit in one transaction."""
        entries = _FENCE_ENTRIES
        size = _ENTRY_BYTES
        batch: list[_RowChange] = []
        for order in list(self._dirty.values()):
            change = self._prepare(order)
            entries += change.entries
            size += change.bytes
            is_full = (
                entries > self._limits.transaction_entries
                or size > self._limits.transaction_bytes
            )
            if batch and is_full:
                break
            batch.append(change)
            del self._dirty[order.job_id]
        return batch

    def _prepare(self, order: WriteRow) -> _RowChange:
        return _RowChange(
            order,
            encode_row(order.row, self._limits),
            order.row.is_settled and order.job_id not in self._without_spec,
        )

    async def _write_until_settled(self, batch: list[_RowChange]) -> None:
        """Repeats a transaction until its rows are durable.

        Rows that the store refuses for good are written in smaller batches, so
        that one that it can't take holds up no other job's.
        """
        while True:
            outcome = await self._write(batch)
            if outcome is _Outcome.WRITTEN:
                self._end_write(batch)
                return
            if outcome is _Outcome.REFUSED and len(batch) > 1:
                half = len(batch) // 2
                await self._write_until_settled(batch[:half])
                await self._write_until_settled(batch[half:])
                return
            if outcome is _Outcome.REFUSED:
                self._set_aside(batch[0])
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    def _set_aside(self, change: _RowChange) -> None:
        """Leaves out a row that the store refuses, until it may have shrunk."""
        self._log.write(
            "row refused", job=change.job_id, bytes=change.value_bytes
        )
        if change.job_id in self._dirty:
            return
        self._refused[change.job_id] = change.order
        loop = asyncio.get_running_loop()
        loop.call_later(REFUSED_RETRY_S, self._retry_refused, change.order)

    def _retry_refused(self, order: WriteRow) -> None:
        if self._refused.get(order.job_id) is order:
            self.put(order)

    async def _write(self, batch: list[_RowChange]) -> _Outcome:
        """Sends one transaction."""
        checks = [
            Check(JOBS_TABLE, each.job_id, self._versions.get(each.job_id, 0))
            for each in batch
        ]
        writes = [Write(JOBS_TABLE, each.job_id, each.value) for each in batch]
        writes += [
            Write(SPECS_TABLE, each.job_id, None)
            for each in batch
            if each.drops_spec
        ]
        answer = await self._store.transact([self._fence, *checks], writes)
        if isinstance(answer, Ok):
            versions = answer.ok_value[: len(batch)]
            for each, version in zip(batch, versions, strict=True):
                self._versions[each.job_id] = version
            return _Outcome.WRITTEN
        error = answer.err_value
        if isinstance(error, Conflict):
            return self._settle_conflict(error, batch)
        self._log.write(
            "rows not written",
            jobs=len(batch),
            reason=error.message,
            outcome=error.failure.value,
            permanent=error.permanent,
        )
        return _Outcome.REFUSED if error.permanent else _Outcome.UNSETTLED

    def _settle_conflict(
        self, conflict: Conflict, batch: list[_RowChange]
    ) -> _Outcome:
        """Takes the rows' versions from a conflict.

        Returns:
          WRITTEN if the rows are as wanted, so that an earlier copy of the
          transaction had taken effect.
        """
        wanted = {each.job_id: each.value for each in batch}
        same = 0
        for row in conflict.rows:
            if (row.table, row.key) == (self._fence.table, self._fence.key):
                if row.version != self._fence.version:
                    self._tenure.supersede("the scheduler's fence was raised")
                continue
            job_id = JobId(row.key)
            self._versions[job_id] = row.version
            same += msgspec.json.encode(row.value) == msgspec.json.encode(
                wanted.get(job_id)
            )
        return _Outcome.WRITTEN if same == len(batch) else _Outcome.UNSETTLED

    def _end_write(self, batch: list[_RowChange]) -> None:
        """Reports that a transaction has taken effect."""
        self._without_spec.update(
            each.job_id for each in batch if each.drops_spec
        )
        for each in batch:
            self._on_written(each.order.job_id, each.order.change)
