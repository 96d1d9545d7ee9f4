"""Writes rows of jobs in batches, each conditional on the scheduler's fence.

One transaction is under way at a time. A transaction without an answer is sent
again unchanged; if its condition then fails, the rows that come with the
conflict tell whether it had taken effect. Only the holder of the fence writes
these rows, so that a row with another version comes from one of its own earlier
writes.

A job that has ended is never started again, so that what was submitted is
deleted together with the row that says so. A successor then reads no more than
the jobs that are left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from result import Ok

from pomeloarch_core.batch.messages import WriteRow
from pomeloarch_core.ids import JobId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore
from pomeloarch_node.batch.records import JOBS_TABLE, SPECS_TABLE, encode
from pomeloarch_node.platform import Check, Conflict, Write
from pomeloarch_node.scheduler_tenure import Tenure

# Maximum number of jobs in one transaction. The platform accepts 100 entries,
# of which each job takes up to three: a check and two writes.
MAX_ROWS = 32
# How long a row that nobody waits for may wait for others to join its batch, in
# seconds. The ends of runs have to be acknowledged within seconds.
BATCH_DELAY_S = 0.3
URGENT_BATCH_DELAY_S = 0.004
RETRY_PAUSE_S = 0.2


class RowWriter:
    """Writes the newest state of each row that the scheduler changes.

    Args:
      store: the store.
      tenure: the right to write; it is lost when the fence was raised.
      fence: the check that each transaction carries.
      on_written: called with a job and the number of the change that is
        durable.
      log: receives failures.
    """

    def __init__(
        self,
        store: FeedStore,
        tenure: Tenure,
        fence: Check,
        on_written: Callable[[JobId, int], None],
        log: DecisionLog,
    ) -> None:
        """Starts with no rows to write."""
        self._store = store
        self._tenure = tenure
        self._fence = fence
        self._on_written = on_written
        self._log = log
        self._versions: dict[JobId, int] = {}
        self._dirty: dict[JobId, WriteRow] = {}
        # Jobs of which no submission is left to delete.
        self._without_spec: set[JobId] = set()
        self._has_urgent_rows = asyncio.Event()
        self._has_rows = asyncio.Event()

    def set_version(self, job_id: JobId, version: int) -> None:
        """Records the version under which a row was read."""
        self._versions[job_id] = version

    def put(self, order: WriteRow) -> None:
        """Queues a row for writing; replaces an older state of it."""
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
        """Writes all queued rows; repeats a transaction until it is settled."""
        while self._dirty:
            job_ids = list(self._dirty)[:MAX_ROWS]
            orders = [self._dirty.pop(each) for each in job_ids]
            values = [encode(each.row) for each in orders]
            settled = [
                each.job_id
                for each in orders
                if each.row.is_settled and each.job_id not in self._without_spec
            ]
            while True:
                if await self._write(orders, values, settled):
                    break
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _write(
        self,
        orders: list[WriteRow],
        values: list[object],
        settled: list[JobId],
    ) -> bool:
        """Sends one transaction; returns whether its outcome is settled.

        Args:
          orders: the rows to write.
          values: their values, the same in each attempt.
          settled: the jobs whose submission is deleted.
        """
        checks = [
            Check(JOBS_TABLE, each.job_id, self._versions.get(each.job_id, 0))
            for each in orders
        ]
        writes = [
            Write(JOBS_TABLE, order.job_id, value)
            for order, value in zip(orders, values, strict=True)
        ]
        writes += [Write(SPECS_TABLE, each, None) for each in settled]
        answer = await self._store.transact([self._fence, *checks], writes)
        if isinstance(answer, Ok):
            versions = answer.ok_value[: len(orders)]
            for order, version in zip(orders, versions, strict=True):
                self._versions[order.job_id] = version
            self._end_write(orders, settled)
            return True
        error = answer.err_value
        if isinstance(error, Conflict):
            return self._settle_conflict(error, orders, values, settled)
        self._log.write(
            "rows not written",
            jobs=len(orders),
            reason=error.message,
            outcome=error.failure.value,
        )
        return False

    def _settle_conflict(
        self,
        conflict: Conflict,
        orders: list[WriteRow],
        values: list[object],
        settled: list[JobId],
    ) -> bool:
        """Takes the rows' versions from a conflict.

        Returns:
          Whether the rows are as wanted, so that an earlier copy of the
          transaction had taken effect.
        """
        wanted = dict(
            zip((each.job_id for each in orders), values, strict=True)
        )
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
        if same < len(orders):
            return False
        self._end_write(orders, settled)
        return True

    def _end_write(self, orders: list[WriteRow], settled: list[JobId]) -> None:
        """Reports that a transaction has taken effect."""
        self._without_spec.update(settled)
        for order in orders:
            self._on_written(order.job_id, order.change)
