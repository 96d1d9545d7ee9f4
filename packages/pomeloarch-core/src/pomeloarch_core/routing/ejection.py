"""Outlier ejection of one service's executors, ended by a probe.

An executor that fails or stalls gets no work for a time that doubles with each
ejection. Then it is probed, and after an answer its share of the work ramps up.
At most a set share of a service's executors is ejected, since faults that show
on all of them have a cause outside the executors.
"""

from __future__ import annotations

import enum
import random

from pomeloarch_core.ids import ExecutorId
from pomeloarch_core.routing.latency import DecayingMean
from pomeloarch_core.routing.messages import AttemptResult

MAX_EJECTED_SHARE = 0.5
RAMP_S = 5.0
_EJECT_AFTER_FAILURES = 3
_EJECT_FAILURE_SHARE = 0.5
_MIN_SAMPLES = 10.0
_FAILURE_HALF_LIFE_S = 5.0
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0
# Time in one state after which the next ejection is as short as the first one.
_BACKOFF_RESET_S = 60.0
_RAMP_START_WEIGHT = 0.1

_FAILURES = frozenset(
    {AttemptResult.FAILED, AttemptResult.NOT_SENT, AttemptResult.BROKEN}
)


class Health(enum.Enum):
    """Whether an executor is given work."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"
    RAMPING = "ramping"


class ExecutorHealth:
    """The health of one executor, judged by the results of its attempts.

    Attributes:
      state: whether the executor is given work.
      state_since: when it entered this state, in seconds of the monotonic
        clock.
      probe_due_at: when an ejected executor is probed, in seconds of the
        monotonic clock.
    """

    __slots__ = (
        "_consecutive_failures",
        "_ejections",
        "_failures",
        "probe_due_at",
        "state",
        "state_since",
    )

    def __init__(self) -> None:
        """Starts healthy."""
        self.state = Health.HEALTHY
        self.state_since = 0.0
        self.probe_due_at = 0.0
        self._consecutive_failures = 0
        self._ejections = 0
        self._failures = DecayingMean(_FAILURE_HALF_LIFE_S)

    @property
    def is_usable(self) -> bool:
        """Whether the executor may be given work."""
        return self.state in (Health.HEALTHY, Health.RAMPING)

    @property
    def failure_share(self) -> float:
        """The share of its recent attempts that failed."""
        return self._failures.value

    def record(self, result: AttemptResult, now: float) -> bool:
        """Records an attempt; returns whether to eject the executor."""
        failed = result in _FAILURES
        self._failures.add(1.0 if failed else 0.0, now)
        self._consecutive_failures = (
            self._consecutive_failures + 1 if failed else 0
        )
        if not self.is_usable or not failed:
            return False
        if self.state is Health.RAMPING:
            return True
        return self._consecutive_failures >= _EJECT_AFTER_FAILURES or (
            self._failures.weight >= _MIN_SAMPLES
            and self._failures.value >= _EJECT_FAILURE_SHARE
        )

    def weight(self, now: float) -> float:
        """Returns the fraction of its normal work that the executor gets."""
        if self.state is Health.HEALTHY:
            return 1.0
        if self.state is not Health.RAMPING:
            return 0.0
        ramp = (now - self.state_since) / RAMP_S
        if ramp >= 1.0:
            self.state = Health.HEALTHY
            self.state_since = now
            return 1.0
        return max(_RAMP_START_WEIGHT, ramp)

    def eject(self, now: float, rng: random.Random) -> None:
        """Withholds work until a probe after the ejection time succeeds."""
        if now - self.state_since > _BACKOFF_RESET_S:
            self._ejections = 0
        self._ejections += 1
        duration_s = min(
            _MAX_EJECTION_S,
            _FIRST_EJECTION_S * 2.0 ** (self._ejections - 1),
        )
        self.state = Health.EJECTED
        self.state_since = now
        self.probe_due_at = now + duration_s * rng.uniform(1.0, 1.5)

    def begin_probe(self, now: float) -> None:
        """Records that a probe has been sent."""
        self.state = Health.PROBING
        self.state_since = now

    def end_probe(self, answered: bool, now: float, rng: random.Random) -> None:
        """Records the result of a probe."""
        if not answered:
            self.eject(now, rng)
            return
        self.state = Health.RAMPING
        self.state_since = now
        self._consecutive_failures = 0
        self._failures = DecayingMean(_FAILURE_HALF_LIFE_S)


class Ejector:
    """Ejects executors of one service, up to `MAX_EJECTED_SHARE` of them.

    Args:
      rng: adds jitter to the times of probes.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts without known executors."""
        self._rng = rng
        self._health: dict[ExecutorId, ExecutorHealth] = {}

    def health(self, executor_id: ExecutorId) -> ExecutorHealth:
        """Returns the health of an executor, which starts as healthy."""
        health = self._health.get(executor_id)
        if health is None:
            health = self._health[executor_id] = ExecutorHealth()
        return health

    def forget(self, executor_id: ExecutorId) -> None:
        """Removes an executor that is no longer listed."""
        self._health.pop(executor_id, None)

    def record(
        self, executor_id: ExecutorId, result: AttemptResult, now: float
    ) -> bool:
        """Records an attempt; returns whether the executor was ejected."""
        health = self.health(executor_id)
        if not health.record(result, now):
            return False
        return self.eject(executor_id, now)

    def eject(self, executor_id: ExecutorId, now: float) -> bool:
        """Ejects an executor unless the maximum share is already ejected.

        Returns:
          Whether the executor was ejected.
        """
        health = self.health(executor_id)
        if not health.is_usable:
            return False
        ejected = sum(not each.is_usable for each in self._health.values())
        if ejected + 1 > MAX_EJECTED_SHARE * len(self._health):
            return False
        health.eject(now, self._rng)
        return True

    def due_probes(self, now: float) -> list[ExecutorId]:
        """Returns the executors to probe now and marks them as being probed."""
        due = [
            executor_id
            for executor_id, health in self._health.items()
            if health.state is Health.EJECTED and now >= health.probe_due_at
        ]
        for executor_id in due:
            self._health[executor_id].begin_probe(now)
        return due

    def end_probe(
        self, executor_id: ExecutorId, answered: bool, now: float
    ) -> None:
        """Records the result of a probe."""
        health = self._health.get(executor_id)
        if health is not None and health.state is Health.PROBING:
            health.end_probe(answered, now, self._rng)
