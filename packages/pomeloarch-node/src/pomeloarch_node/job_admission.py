"""How many submissions a node writes, so that a flood leaves room for all."""

from __future__ import annotations

from collections import Counter

from pomeloarch_core.objects.model import Urgency
from pomeloarch_node.scheduler_budget import (
    SUBMISSIONS_ROWS_PER_S,
    WriteBudget,
    WritePriority,
)

ROWS_A_JOB = 2
BURST_ROWS = 40
KEPT_ROWS = {WritePriority.CHANGE: 10, WritePriority.CLEAN_UP: 20}
# Rows of each kind that greedy callers leave to the others.
FAIR_ROWS = 10
# How long a caller's submissions count against it.
WINDOW_S = 5.0

_PRIORITIES = {
    Urgency.URGENT: WritePriority.START,
    Urgency.STANDARD: WritePriority.CHANGE,
    Urgency.BATCH: WritePriority.CLEAN_UP,
}


class SubmissionLimit:
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
            SUBMISSIONS_ROWS_PER_S, BURST_ROWS, KEPT_ROWS, now
        )
        self._taken: Counter[str] = Counter()
        self._window_at = now

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
        self._turn_window(now)
        rate = SUBMISSIONS_ROWS_PER_S / max(1, nodes)
        self._budget.set_rate(rate, now)
        rows = self._budget.available(_PRIORITIES[urgency], now)
        if rows < ROWS_A_JOB:
            return False
        if rows < FAIR_ROWS and self._greedy(caller):
            return False
        self._budget.take(ROWS_A_JOB, now)
        self._taken[caller] += 1
        return True

    def _greedy(self, caller: str) -> bool:
        """Whether a caller has to leave the last rows to others."""
        own = self._taken[caller]
        total = sum(self._taken.values())
        if own == total:
            return own > 0
        return own * len(self._taken) > total

    def _turn_window(self, now: float) -> None:
        if now - self._window_at >= WINDOW_S:
            self._window_at = now
            self._taken.clear()
