"""Writes a scheduler's takeovers and alerts to the audit trail."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable

import msgspec
from result import Err

from pomeloarch_core.ids import NodeId
from pomeloarch_node.job_records import encode, ordered_id
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    PlatformClient,
    PlatformError,
    Write,
)
from pomeloarch_node.scheduler_tenure import Tenure

AUDIT_TABLE = "audit"
# Time between two writes, in seconds.
WRITE_INTERVAL_S = 1.0
MAX_ROWS_PER_WRITE = 5
# Maximum number of entries that wait to be written; further ones are dropped.
MAX_WAITING = 200


class AuditRow(msgspec.Struct, frozen=True):
    """One row of the audit trail.

    Attributes:
      at: time of the entry, in seconds of the wall clock.
      subject: the scheduler or alert that the entry is about.
      who: the node that made the decision.
      why: the reason.
    """

    at: float
    subject: str
    who: NodeId
    why: str


class SchedulerAudit:
    """Writes entries to the audit trail at a limited rate.

    Entries beyond the limit are counted and dropped: the trail is meant for
    people, and an alert that is raised and cleared all the time must not use up
    the platform's writes.

    Args:
      platform: client of the platform's tables.
      tenure: the right to write.
      who: this node.
      metrics: the node's metrics.
      rng: source of the random part of row keys.
      wall_clock: returns the time of the wall clock, in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        tenure: Tenure,
        who: NodeId,
        metrics: Metrics,
        rng: random.Random,
        wall_clock: Callable[[], float],
    ) -> None:
        """Starts without entries to write."""
        self._platform = platform
        self._tenure = tenure
        self._who = who
        self._metrics = metrics
        self._rng = rng
        self._wall_clock = wall_clock
        self._waiting: deque[Write] = deque()

    def add(self, subject: str, why: str) -> None:
        """Queues an entry, or drops it if too many are waiting."""
        if len(self._waiting) >= MAX_WAITING:
            self._metrics.count("scheduler_audit_dropped")
            return
        now = self._wall_clock()
        entry = AuditRow(now, subject, self._who, why)
        key = ordered_id(now, self._rng)
        self._waiting.append(Write(AUDIT_TABLE, key, encode(entry)))

    async def run(self) -> None:
        """Writes entries until the tenure is lost."""
        while self._tenure.is_held():
            await self._write()
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _write(self) -> None:
        batch = list(self._waiting)[:MAX_ROWS_PER_WRITE]
        if not batch:
            return
        checks = [Check(row.table, row.key, 0) for row in batch]
        answer = await self._platform.transact(checks, batch)
        if isinstance(answer, Err) and isinstance(
            answer.err_value, PlatformError
        ):
            return
        # A conflict means that an earlier call wrote the rows and its answer
        # was lost.
        for _ in batch:
            self._waiting.popleft()
