"""Outlier ejection of one service's executors, with return by probes.

An executor that fails or stalls gets no work for a while that doubles each
time. Then it is probed, and after an answer its work ramps up. Never more
than a set share of a service is ejected, since faults that show everywhere
have another cause than the executors.
"""

from __future__ import annotations

import enum
import random

from pomeloarch_core.ids import ExecutorId
from pomeloarch_core.routing.latency import DecayingMean
from pomeloarch_core.routing.messages import AttemptResult

MAX_EJECTED_SHARE = 0.5
RAMP_S = 5.0
_CONSECUTIVE_FAILURES = 3
_FAILURE_SHARE = 0.5
_LEAST_SAMPLES = 10.0
_HALF_LIFE_S = 5.0
_FIRST_EJECTION_S = 1.0
_LONGEST_EJECTION_S = 30.0
_FORGIVEN_AFTER_S = 60.0
_RAMP_START = 0.1

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
    """What one executor's answers say of it.

    Attributes:
      state: whether it is given work.
      since: when it came into this state, in seconds of the clock.
      until: when an ejected one is probed, in seconds of the clock.
    """

    __slots__ = (
        "_ejections",
        "_failures",
        "_in_row",
        "since",
        "state",
        "until",
    )

    def __init__(self) -> None:
        """Starts healthy."""
        self.state = Health.HEALTHY
        self.since = 0.0
        self.until = 0.0
        self._in_row = 0
        self._ejections = 0
        self._failures = DecayingMean(_HALF_LIFE_S)

    @property
    def usable(self) -> bool:
        """Whether it may be given work."""
        return self.state in (Health.HEALTHY, Health.RAMPING)

    @property
    def failure_share(self) -> float:
        """The part of its recent tries that failed."""
        return self._failures.value

    def record(self, result: AttemptResult, now: float) -> bool:
        """Takes a try's end in; returns whether it should be ejected."""
        failed = result in _FAILURES
        self._failures.add(1.0 if failed else 0.0, now)
        self._in_row = self._in_row + 1 if failed else 0
        if not self.usable or not failed:
            return False
        if self.state is Health.RAMPING:
            return True
        return self._in_row >= _CONSECUTIVE_FAILURES or (
            self._failures.weight >= _LEAST_SAMPLES
            and self._failures.value >= _FAILURE_SHARE
        )

    def weight(self, now: float) -> float:
        """Returns the part of its usual work that it is given."""
        if self.state is Health.HEALTHY:
            return 1.0
        if self.state is not Health.RAMPING:
            return 0.0
        ramp = (now - self.since) / RAMP_S
        if ramp >= 1.0:
            self.state = Health.HEALTHY
            self.since = now
            return 1.0
        return max(_RAMP_START, ramp)

    def eject(self, now: float, rng: random.Random) -> None:
        """Gives it no work until a probe after some time answers."""
        if now - self.since > _FORGIVEN_AFTER_S:
            self._ejections = 0
        self._ejections += 1
        pause = min(
            _LONGEST_EJECTION_S,
            _FIRST_EJECTION_S * 2.0 ** (self._ejections - 1),
        )
        self.state = Health.EJECTED
        self.since = now
        self.until = now + pause * rng.uniform(1.0, 1.5)

    def begin_probe(self, now: float) -> None:
        """Notes that a probe is on its way."""
        self.state = Health.PROBING
        self.since = now

    def end_probe(self, answered: bool, now: float, rng: random.Random) -> None:
        """Takes a probe's end in."""
        if not answered:
            self.eject(now, rng)
            return
        self.state = Health.RAMPING
        self.since = now
        self._in_row = 0
        self._failures = DecayingMean(_HALF_LIFE_S)


class Ejector:
    """Ejects executors of one service, up to the share.

    Args:
      rng: spreads the times of probes.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts with no executor known."""
        self._rng = rng
        self._health: dict[ExecutorId, ExecutorHealth] = {}

    def health(self, executor_id: ExecutorId) -> ExecutorHealth:
        """Returns what is known of an executor, healthy if nothing is."""
        health = self._health.get(executor_id)
        if health is None:
            health = self._health[executor_id] = ExecutorHealth()
        return health

    def forget(self, executor_id: ExecutorId) -> None:
        """Forgets an executor that has gone."""
        self._health.pop(executor_id, None)

    def record(
        self, executor_id: ExecutorId, result: AttemptResult, now: float
    ) -> bool:
        """Takes a try's end in; returns whether the executor was ejected."""
        health = self.health(executor_id)
        if not health.record(result, now):
            return False
        return self.eject(executor_id, now)

    def eject(self, executor_id: ExecutorId, now: float) -> bool:
        """Ejects an executor unless the share is used up."""
        health = self.health(executor_id)
        if not health.usable:
            return False
        ejected = sum(not each.usable for each in self._health.values())
        if ejected + 1 > MAX_EJECTED_SHARE * len(self._health):
            return False
        health.eject(now, self._rng)
        return True

    def due_probes(self, now: float) -> list[ExecutorId]:
        """Returns executors to probe now, and notes that they are."""
        due = [
            executor_id
            for executor_id, health in self._health.items()
            if health.state is Health.EJECTED and now >= health.until
        ]
        for executor_id in due:
            self._health[executor_id].begin_probe(now)
        return due

    def end_probe(
        self, executor_id: ExecutorId, answered: bool, now: float
    ) -> None:
        """Takes the end of a probe in."""
        health = self._health.get(executor_id)
        if health is not None and health.state is Health.PROBING:
            health.end_probe(answered, now, self._rng)
