"""Limits submissions so that a flood of them leaves room for other callers."""

from __future__ import annotations

from collections import Counter

from pomeloarch_core.objects.model import Urgency
from pomeloarch_node.scheduler_budget import (
    SUBMISSIONS_ROWS_PER_S,
    WriteBudget,
    WritePriority,
)

# Rows that a job takes: its record and the claim of its idempotency key.
ROWS_PER_JOB = 2
# Maximum number of rows written at once after a quiet time.
MAX_BURST_ROWS = 40
# Number of rows that each priority leaves to more urgent jobs.
RESERVED_ROWS = {WritePriority.CHANGE: 10, WritePriority.CLEAN_UP: 20}
# Number of rows of each priority that callers above their fair share leave to
# the others.
FAIR_SHARE_ROWS = 10
# Time over which the submissions of callers are compared, in seconds.
FAIRNESS_WINDOW_S = 5.0

_PRIORITIES = {
    Urgency.URGENT: WritePriority.START,
    Urgency.STANDARD: WritePriority.CHANGE,
    Urgency.BATCH: WritePriority.CLEAN_UP,
}


class SubmissionLimiter:
    """Admits submissions by urgency and fairly among callers.

    Each urgency leaves some rows to the more urgent ones. The last rows of each
    urgency go only to callers that submitted no more than an equal share of the
    jobs in the last few seconds.

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
          urgency: the urgency of the job's class.
          caller: the caller that submits the job.
          nodes: number of nodes that share the limit on submissions.
          now: the present time, in seconds.
        """
        self._reset_window(now)
        rate = SUBMISSIONS_ROWS_PER_S / max(1, nodes)
        self._budget.set_rate(rate, now)
        rows = self._budget.available(_PRIORITIES[urgency], now)
        if rows < ROWS_PER_JOB:
            return False
        if rows < FAIR_SHARE_ROWS and self._has_to_leave_last_rows(caller):
            return False
        self._budget.take(ROWS_PER_JOB, now)
        self._accepted_jobs[caller] += 1
        return True

    def _has_to_leave_last_rows(self, caller: str) -> bool:
        """Returns whether a caller has to leave the last rows to others.

        This applies to callers above an equal share. It also applies to a
        caller that is the only one so far, once it has submitted a job.
        """
        own = self._accepted_jobs[caller]
        total = sum(self._accepted_jobs.values())
        if own == total:
            return own > 0
        return own * len(self._accepted_jobs) > total

    def _reset_window(self, now: float) -> None:
        if now - self._window_start >= FAIRNESS_WINDOW_S:
            self._window_start = now
            self._accepted_jobs.clear()
