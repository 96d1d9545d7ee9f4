"""Moving averages of latency with exponential decay over time."""

from __future__ import annotations

import math

# Samples closer together than this share of the half-life are treated as
# simultaneous.
_DECAY_STEP_SHARE = 0.01


class DecayingMean:
    """A mean in which the weight of samples decays exponentially.

    Args:
      half_life_s: time after which the weight of a sample has halved, in
        seconds.

    >>> mean = DecayingMean(half_life_s=1.0)
    >>> mean.add(2.0, now=0.0)
    >>> mean.add(4.0, now=1.0)
    >>> round(mean.value, 2)
    3.33
    """

    __slots__ = ("_rate", "_step_s", "_sum", "_time", "_weight")

    def __init__(self, half_life_s: float) -> None:
        """Starts without samples."""
        self._rate = math.log(2.0) / half_life_s
        self._step_s = _DECAY_STEP_SHARE * half_life_s
        self._sum = 0.0
        self._weight = 0.0
        self._time = 0.0

    @property
    def value(self) -> float:
        """The mean, 0 without samples."""
        return self._sum / self._weight if self._weight else 0.0

    @property
    def weight(self) -> float:
        """The total weight of the samples when the last one was added."""
        return self._weight

    def add(self, sample: float, now: float) -> None:
        """Adds a sample."""
        elapsed = now - self._time
        if elapsed > self._step_s:
            kept = math.exp(-self._rate * elapsed)
            self._sum *= kept
            self._weight *= kept
            self._time = now
        self._sum += sample
        self._weight += 1.0
