"""How many submissions a node writes, so that a flood leaves room for all."""

from __future__ import annotations

from collections import Counter

from pomeloarch_core.objects.model import Urgency
from pomeloarch_node.scheduler_budget import (
    SUBMISSIONS_ROWS_PER_S,
    WriteBudget,
    WritePriority,
)

ROWS_PER_JOB = 2
MAX_BURST_ROWS = 40
RESERVED_ROWS = {WritePriority.CHANGE: 10, WritePriority.CLEAN_UP: 20}
# Rows of each kind that greedy callers leave to the others.
FAIR_SHARE_ROWS = 10
# How long a caller's submissions count against it.
FAIRNESS_WINDOW_S = 5.0

_PRIORITIES = {
    Urgency.URGENT: WritePriority.START,
    Urgency.STANDARD: WritePriority.CHANGE,
    Urgency.BATCH: WritePriority.CLEAN_UP,
}


class SubmissionLimiter:
    """Lets submissions through by urgency, and fairly among callers.

    Each kind of work leaves some rows to the more urgent ones. The last rows
    of each kind go to callers that took no more than their even part in the
    last few seconds.

    Args:
      now: the present time, in seconds.
    """

    def __init__(self, now: float) -> None:
        """Starts with a full budget."""
        self._budget = WriteBudget(
            SUBMISSIONS_ROWS_PER_S, MAX_BURST_ROWS, RESERVED_ROWS, now
        )
        self._accepted_jobs: Counter[str] = Counter()
        self._window_start = now

    def admit(
        self, urgency: Urgency, caller: str, nodes: int, now: float
    ) -> bool:
        """Returns whether a job may be written, and counts it if so.

        Args:
          urgency: the urgency of its class.
          caller: who submits it.
          nodes: the nodes that share the platform's writes.
          now: the present time, in seconds.
        """
        self._reset_window(now)
        rate = SUBMISSIONS_ROWS_PER_S / max(1, nodes)
        self._budget.set_rate(rate, now)
        rows = self._budget.available(_PRIORITIES[urgency], now)
        if rows < ROWS_PER_JOB:
            return False
        if rows < FAIR_SHARE_ROWS and self._is_over_share(caller):
            return False
        self._budget.take(ROWS_PER_JOB, now)
        self._accepted_jobs[caller] += 1
        return True

    def _is_over_share(self, caller: str) -> bool:
        """Whether a caller has to leave the last rows to others."""
        own = self._accepted_jobs[caller]
        total = sum(self._accepted_jobs.values())
        if own == total:
            return own > 0
        return own * len(self._accepted_jobs) > total

    def _reset_window(self, now: float) -> None:
        if now - self._window_start >= FAIRNESS_WINDOW_S:
            self._window_start = now
            self._accepted_jobs.clear()
