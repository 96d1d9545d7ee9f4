"""When to call a failing platform again, and how many retries to spend."""

from __future__ import annotations

import enum
import random


class BreakerState(enum.Enum):
    """Whether calls are let through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops calls to a platform that keeps failing.

    After each failed trial the next one waits longer, with full jitter, so
    that the nodes of a fleet come back one by one.

    Args:
      rng: for jitter.
      failures: how many failures in a row open it.
      first_wait_s: mean wait before the first trial, in seconds.
      longest_wait_s: the most that a wait grows to, in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        failures: int = 5,
        first_wait_s: float = 0.5,
        longest_wait_s: float = 4.0,
    ) -> None:
        """Starts closed."""
        self._rng = rng
        self._limit = failures
        self._first_wait_s = first_wait_s
        self._longest_wait_s = longest_wait_s
        self._failures = 0
        self._wait_s = first_wait_s
        self._trial_at = 0.0
        self._trial_running = False

    def state(self, now: float) -> BreakerState:
        """Returns whether calls are let through."""
        if self._failures < self._limit:
            return BreakerState.CLOSED
        if now >= self._trial_at and not self._trial_running:
            return BreakerState.HALF_OPEN
        return BreakerState.OPEN

    def admit(self, now: float) -> bool:
        """Returns whether a call may be made; one at a time when half open."""
        state = self.state(now)
        if state is BreakerState.HALF_OPEN:
            self._trial_running = True
        return state is not BreakerState.OPEN

    def succeeded(self) -> None:
        """Takes note of an answer."""
        self._failures = 0
        self._wait_s = self._first_wait_s
        self._trial_running = False

    def failed(self, now: float) -> None:
        """Takes note of a call without an answer."""
        self._failures += 1
        if self._failures < self._limit:
            return
        if self._trial_running:
            self._wait_s = min(2 * self._wait_s, self._longest_wait_s)
        self._trial_running = False
        self._trial_at = now + self._rng.uniform(0.5, 1.5) * self._wait_s


class RetryBudget:
    """Allows retries as a part of the calls that were made.

    Args:
      ratio: retries earned by a call.
      depth: the most retries kept, and those at the start.
    """

    def __init__(self, ratio: float = 0.1, depth: float = 10.0) -> None:
        """Starts full."""
        self._ratio = ratio
        self._depth = depth
        self._tokens = depth

    def called(self) -> None:
        """Takes note of a call's first try."""
        self._tokens = min(self._depth, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes one retry if there is one; returns whether it did."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
