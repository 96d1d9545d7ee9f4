"""A token bucket: limits an average rate and allows bursts."""

from __future__ import annotations


class TokenBucket:
    """Tokens that are refilled at a steady rate up to a maximum.

    >>> bucket = TokenBucket(rate=10.0, depth=20.0)
    >>> bucket.take(20.0, now=0.0)
    True
    >>> bucket.take(1.0, now=0.0)
    False
    >>> bucket.take(10.0, now=1.0)
    True

    Args:
      rate: tokens per second.
      depth: maximum number of tokens, which is also the number at the start.
    """

    def __init__(self, rate: float, depth: float) -> None:
        """Starts full."""
        self._rate = rate
        self._depth = depth
        self._tokens = depth
        self._updated_at: float | None = None

    def available(self, now: float) -> float:
        """Returns the available tokens, negative after an excess `charge`."""
        if self._updated_at is not None:
            elapsed = max(0.0, now - self._updated_at)
            self._tokens = min(self._depth, self._tokens + elapsed * self._rate)
        self._updated_at = now
        return self._tokens

    def take(self, amount: float, now: float) -> bool:
        """Takes tokens if there are enough; returns whether it did."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Takes tokens even if that makes the balance negative."""
        self.available(now)
        self._tokens -= amount

    def wait_s(self, amount: float, now: float) -> float:
        """Returns the time until `amount` can be taken, in seconds."""
        missing = min(amount, self._depth) - self.available(now)
        return max(0.0, missing / self._rate)
