"""Writes what a scheduler told its operators to the audit trail."""

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
WRITE_INTERVAL_S = 1.0
MAX_ROWS_PER_WRITE = 5
MAX_WAITING = 200


class AuditRow(msgspec.Struct, frozen=True):
    """One row of the audit trail.

    Attributes:
      at: when, in seconds of the wall clock.
      subject: what it is about.
      who: the node that decided.
      why: the reason.
    """

    at: float
    subject: str
    who: NodeId
    why: str


class SchedulerAudit:
    """Keeps takeovers and alerts in the audit trail, at a bounded rate.

    What does not fit is counted and dropped: the trail is for people, and a
    flapping alert must not use up the platform's writes.

    Args:
      platform: the platform.
      tenure: the right to write.
      who: this node.
      metrics: the node's metrics.
      rng: the chance in row keys.
      wall_clock: seconds of the wall clock.
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
        """Starts with nothing to write."""
        self._platform = platform
        self._tenure = tenure
        self._who = who
        self._metrics = metrics
        self._rng = rng
        self._wall_clock = wall_clock
        self._waiting: deque[Write] = deque()

    def add(self, subject: str, why: str) -> None:
        """Takes an entry to write soon."""
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
        # In conflict they were written by a call whose answer was lost.
        for _ in batch:
            self._waiting.popleft()
