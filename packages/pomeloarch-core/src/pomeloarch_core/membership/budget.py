"""A token bucket: a rate with room for bursts."""

from __future__ import annotations


class TokenBucket:
    """Tokens that come back at a steady rate, up to a depth.

    >>> bucket = TokenBucket(rate=10.0, depth=20.0)
    >>> bucket.take(20.0, now=0.0)
    True
    >>> bucket.take(1.0, now=0.0)
    False
    >>> bucket.take(10.0, now=1.0)
    True

    Args:
      rate: tokens a second.
      depth: the most tokens kept, and those at the start.
    """

    def __init__(self, rate: float, depth: float) -> None:
        """Starts full."""
        self._rate = rate
        self._depth = depth
        self._tokens = depth
        self._updated: float | None = None

    def available(self, now: float) -> float:
        """Returns the tokens at hand; below zero after `charge`."""
        if self._updated is not None:
            elapsed = max(0.0, now - self._updated)
            self._tokens = min(self._depth, self._tokens + elapsed * self._rate)
        self._updated = now
        return self._tokens

    def take(self, amount: float, now: float) -> bool:
        """Takes tokens if there are enough; returns whether it did."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Takes tokens even if that leaves fewer than none."""
        self.available(now)
        self._tokens -= amount

    def wait_s(self, amount: float, now: float) -> float:
        """Returns how long until `amount` could be taken, in seconds."""
        missing = min(amount, self._depth) - self.available(now)
        return max(0.0, missing / self._rate)
