"""A scheduler's part of the platform's writes, with a share for starts."""

from __future__ import annotations


class WriteBudget:
    """A token bucket of which the last tokens are kept for urgent writes.

    Args:
      per_s: writes a second.
      burst: writes at once after a quiet time.
      kept: writes of the burst that only urgent ones may take.
      now: the present time, in seconds.
    """

    def __init__(self, per_s: float, burst: int, kept: int, now: float) -> None:
        """Starts with a full bucket."""
        self._per_s = per_s
        self._burst = burst
        self._kept = kept
        self._tokens = float(burst)
        self._at = now

    def available(self, now: float, *, urgent: bool) -> int:
        """Returns how many rows may be written right now."""
        self._refill(now)
        kept = 0 if urgent else self._kept
        return max(0, int(self._tokens) - kept)

    def take(self, rows: int, now: float) -> None:
        """Counts rows that are written."""
        self._refill(now)
        self._tokens -= rows

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._at) * self._per_s
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._at = now
