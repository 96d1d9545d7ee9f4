"""Writes the rows of jobs in batches, each guarded by the scheduler's fence.

One transaction is under way at a time. A transaction without an answer is
sent again as it was; the rows that a failed condition shows tell whether it
had taken effect. Only the holder of the fence writes these rows, so a row of
another version is one of its own earlier writes.
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
from pomeloarch_node.batch.records import JOBS_TABLE, encode
from pomeloarch_node.platform import Check, Conflict, Write
from pomeloarch_node.scheduler_tenure import Tenure

# Rows of one transaction; the platform takes 100 entries, checks among them.
MOST_ROWS = 45
# How long a row that nobody waits for may wait for others, in seconds; ends
# have to be acknowledged within seconds.
GATHER_S = 0.3
URGENT_GATHER_S = 0.004
RETRY_PAUSE_S = 0.2


class RowWriter:
    """Writes rows as decided, the newest state of each.

    Args:
      store: the store.
      tenure: the right to write; lost when the fence was raised.
      fence: the check that each transaction carries.
      written: called with a job and the change that is durable.
      log: where failures are written.
    """

    def __init__(
        self,
        store: FeedStore,
        tenure: Tenure,
        fence: Check,
        written: Callable[[JobId, int], None],
        log: DecisionLog,
    ) -> None:
        """Starts with nothing to write."""
        self._store = store
        self._tenure = tenure
        self._fence = fence
        self._written = written
        self._log = log
        self._versions: dict[JobId, int] = {}
        self._dirty: dict[JobId, WriteRow] = {}
        self._urgent = asyncio.Event()
        self._some = asyncio.Event()

    def version_is(self, job_id: JobId, version: int) -> None:
        """Notes a row's version as it was read."""
        self._versions[job_id] = version

    def put(self, order: WriteRow) -> None:
        """Has a row written."""
        self._dirty[order.job_id] = order
        self._some.set()
        if order.urgent:
            self._urgent.set()

    async def run(self) -> None:
        """Writes until the fence is lost or it is cancelled."""
        while True:
            await self._some.wait()
            try:
                async with asyncio.timeout(GATHER_S):
                    await self._urgent.wait()
            except TimeoutError:
                pass
            else:
                await asyncio.sleep(URGENT_GATHER_S)
            self._some.clear()
            self._urgent.clear()
            await self._flush()

    async def _flush(self) -> None:
        while self._dirty:
            job_ids = list(self._dirty)[:MOST_ROWS]
            orders = [self._dirty.pop(each) for each in job_ids]
            values = [encode(each.row) for each in orders]
            while True:
                if await self._write(orders, values):
                    break
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _write(
        self, orders: list[WriteRow], values: list[object]
    ) -> bool:
        """Sends a transaction; returns whether it is settled."""
        checks = [
            Check(JOBS_TABLE, each.job_id, self._versions.get(each.job_id, 0))
            for each in orders
        ]
        writes = [
            Write(JOBS_TABLE, order.job_id, value)
            for order, value in zip(orders, values, strict=True)
        ]
        answer = await self._store.transact([self._fence, *checks], writes)
        if isinstance(answer, Ok):
            for order, version in zip(orders, answer.ok_value, strict=True):
                self._versions[order.job_id] = version
                self._written(order.job_id, order.change)
            return True
        error = answer.err_value
        if isinstance(error, Conflict):
            return self._conflicted(error, orders, values)
        self._log.write(
            "rows not written",
            jobs=len(orders),
            reason=error.message,
            outcome=error.failure.value,
        )
        return False

    def _conflicted(
        self, conflict: Conflict, orders: list[WriteRow], values: list[object]
    ) -> bool:
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
        for order in orders:
            self._written(order.job_id, order.change)
        return True
