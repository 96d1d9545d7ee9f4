"""Limits the rate of a scheduler's writes and reserves some for starts."""

from __future__ import annotations

import enum

from pomeloarch_core.objects.model import ObjectSet

# Limits on the rows that all schedulers, and all nodes that accept submissions,
# write per second. The platform takes several hundred rows per second in total.
SCHEDULERS_ROWS_PER_S = 150.0
SUBMISSIONS_ROWS_PER_S = 120.0


class WritePriority(enum.IntEnum):
    """Urgency of a write; the lowest value is written first."""

    START = 0
    CHANGE = 1
    CLEAN_UP = 2


class WriteBudget:
    """A token bucket whose last tokens are reserved for urgent writes.

    Args:
      per_s: rows per second.
      burst: capacity of the bucket, in rows.
      reserved: for each priority, the number of tokens that it leaves to more
        urgent writes; 0 for a priority that is missing.
      now: the present time, in seconds.
    """

    def __init__(
        self,
        per_s: float,
        burst: int,
        reserved: dict[WritePriority, int],
        now: float,
    ) -> None:
        """Starts with a full bucket."""
        self._per_s = per_s
        self._burst = burst
        self._reserved = reserved
        self._tokens = float(burst)
        self._refilled_at = now

    def set_rate(self, per_s: float, now: float) -> None:
        """Changes the number of rows per second."""
        self._refill(now)
        self._per_s = per_s

    def available(self, priority: WritePriority, now: float) -> int:
        """Returns how many rows of a priority may be written now."""
        self._refill(now)
        return max(0, int(self._tokens) - self._reserved.get(priority, 0))

    def take(self, rows: int, now: float) -> None:
        """Takes tokens for rows that are being written."""
        self._refill(now)
        self._tokens -= rows

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._per_s
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._refilled_at = now


def zone_rows_per_s(objects: ObjectSet) -> float:
    """Returns how many rows per second the scheduler of one zone may write."""
    return SCHEDULERS_ROWS_PER_S / max(1, len(objects.availability_zone))
