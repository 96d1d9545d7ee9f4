"""A scheduler's part of the platform's writes, with a share for starts."""

from __future__ import annotations

import enum

from pomeloarch_core.objects.model import ObjectSet

# The platform takes several hundred rows a second for everything.
SCHEDULERS_ROWS_PER_S = 150.0
SUBMISSIONS_ROWS_PER_S = 120.0


class WritePriority(enum.IntEnum):
    """How long a write may wait; the lowest goes first."""

    START = 0
    CHANGE = 1
    CLEAN_UP = 2


class WriteBudget:
    """A token bucket of which the last tokens are kept for hasty writes.

    Args:
      per_s: writes a second.
      burst: writes at once after a quiet time.
      kept: for each kind the tokens that it leaves to those before it.
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
        """Changes how many writes a second there are."""
        self._refill(now)
        self._per_s = per_s

    def available(self, priority: WritePriority, now: float) -> int:
        """Returns how many rows of a kind may be written right now."""
        self._refill(now)
        return max(0, int(self._tokens) - self._reserved.get(priority, 0))

    def take(self, rows: int, now: float) -> None:
        """Counts rows that are written."""
        self._refill(now)
        self._tokens -= rows

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self._per_s
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._refilled_at = now


def zone_rows_per_s(objects: ObjectSet) -> float:
    """Returns one zone's part of what all schedulers may write a second."""
    return SCHEDULERS_ROWS_PER_S / max(1, len(objects.availability_zone))
