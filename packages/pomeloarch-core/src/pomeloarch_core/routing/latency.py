"""Moving averages of latency that forget at a rate set in seconds."""

from __future__ import annotations

import math

# Samples within this part of a half-life count as of one time.
_STEP_SHARE = 0.01


class DecayingMean:
    """A mean whose samples fade with time.

    Args:
      half_life_s: time after which a sample counts half, in seconds.

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
        self._step_s = _STEP_SHARE * half_life_s
        self._sum = 0.0
        self._weight = 0.0
        self._time = 0.0

    @property
    def value(self) -> float:
        """The mean, 0 without samples."""
        return self._sum / self._weight if self._weight else 0.0

    @property
    def weight(self) -> float:
        """How many samples it is worth, as of the last one added."""
        return self._weight

    def add(self, sample: float, now: float) -> None:
        """Takes one sample in."""
        elapsed = now - self._time
        if elapsed > self._step_s:
            kept = math.exp(-self._rate * elapsed)
            self._sum *= kept
            self._weight *= kept
            self._time = now
        self._sum += sample
        self._weight += 1.0
