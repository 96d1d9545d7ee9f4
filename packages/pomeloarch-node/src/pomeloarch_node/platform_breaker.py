"""Circuit breaker and retry budget for calls to a failing platform."""

from __future__ import annotations

import enum
import random


class BreakerState(enum.Enum):
    """Whether calls are allowed.

    CLOSED: all calls are.
    OPEN: none is.
    HALF_OPEN: one trial call is.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops calls to a platform that keeps failing.

    Trial calls find out when it answers again. After each failed trial the
    wait before the next one grows. The waits are randomised so that the nodes
    of a fleet resume one by one.

    Args:
      rng: randomises the waits.
      failure_threshold: number of consecutive failures that open it.
      initial_wait_s: mean wait before the first trial, in seconds.
      max_wait_s: limit on the mean wait before a trial, in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        failure_threshold: int = 5,
        initial_wait_s: float = 0.5,
        max_wait_s: float = 4.0,
    ) -> None:
        """Creates a closed circuit breaker."""
        self._rng = rng
        self._failure_threshold = failure_threshold
        self._initial_wait_s = initial_wait_s
        self._max_wait_s = max_wait_s
        self._failures = 0
        self._wait_s = initial_wait_s
        self._trial_at = 0.0
        self._trial_running = False

    def state(self, now: float) -> BreakerState:
        """Returns whether calls are allowed."""
        if self._failures < self._failure_threshold:
            return BreakerState.CLOSED
        if now >= self._trial_at and not self._trial_running:
            return BreakerState.HALF_OPEN
        return BreakerState.OPEN

    def admit(self, now: float) -> bool:
        """Returns whether a call may be made; one at a time if half open."""
        state = self.state(now)
        if state is BreakerState.HALF_OPEN:
            self._trial_running = True
        return state is not BreakerState.OPEN

    def record_success(self) -> None:
        """Records an answer, which closes the circuit breaker."""
        self._failures = 0
        self._wait_s = self._initial_wait_s
        self._trial_running = False

    def record_failure(self, now: float) -> None:
        """Records a failed call."""
        self._failures += 1
        if self._failures < self._failure_threshold:
            return
        if self._trial_running:
            self._wait_s = min(2 * self._wait_s, self._max_wait_s)
        self._trial_running = False
        self._trial_at = now + self._rng.uniform(0.5, 1.5) * self._wait_s


class RetryBudget:
    """Limits retries to a share of the calls.

    Args:
      ratio: number of retries that each call adds.
      capacity: limit on the available retries, which is also their number at
        the start.
    """

    def __init__(self, ratio: float = 0.1, capacity: float = 10.0) -> None:
        """Creates a full budget."""
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    def record_call(self) -> None:
        """Records the first attempt of a call, which adds to the budget."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spends a retry if one is available; returns whether it did."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
