"""A concurrency limit that follows measured latency.

Latency over its usual value says that requests wait somewhere behind this
node. The limit then falls in proportion, as in the gradient limits of
Netflix's concurrency-limits and Breakwater (OSDI 2020), and rises step by
step otherwise. It stays between a floor and this node's part of the slots.
"""

from __future__ import annotations

from pomeloarch_core.routing.latency import DecayingMean

_LATENCY_HALF_LIFE_S = 0.5
_USUAL_HALF_LIFE_S = 30.0
_TOLERATED_RATIO = 2.0
_LEAST_SHARE = 0.5
_STEP_S = 0.25
_LEAST_FACTOR = 0.7
_RISE = 0.1


class LatencyBaseline:
    """The usual latency of one job class, against which load shows.

    It falls at once with faster answers and rises slowly with slower ones.
    """

    __slots__ = ("_mean", "_usual")

    def __init__(self) -> None:
        """Starts without samples."""
        self._mean = DecayingMean(_LATENCY_HALF_LIFE_S)
        self._usual = DecayingMean(_USUAL_HALF_LIFE_S)

    @property
    def usual_s(self) -> float:
        """The usual latency in seconds, 0 before the first sample."""
        return self._usual.value

    @property
    def recent_s(self) -> float:
        """The recent mean latency in seconds, 0 before the first sample."""
        return self._mean.value

    def add(self, latency_s: float, now: float) -> float:
        """Takes a sample in; returns recent over usual latency."""
        self._mean.add(latency_s, now)
        self._usual.add(latency_s, now)
        usual = self._usual.value
        return self._mean.value / usual if usual > 0.0 else 1.0


class ConcurrencyLimit:
    """How many requests of a service this node has in progress at most.

    Args:
      share: this node's part of the service's slots.

    Attributes:
      value: the limit in requests, at least one.
    """

    def __init__(self, share: float) -> None:
        """Starts at the whole share."""
        self._share = share
        self._factor = 1.0
        self.value = self._requests()
        self._ratio = DecayingMean(_LATENCY_HALF_LIFE_S)
        self._stepped_at = 0.0

    def set_share(self, share: float) -> None:
        """Takes this node's present part of the service's slots."""
        self._share = share
        self.value = self._requests()

    def record(self, ratio: float, now: float) -> None:
        """Takes one answer's latency over its class's usual latency in."""
        self._ratio.add(ratio, now)
        if now - self._stepped_at < _STEP_S:
            return
        self._stepped_at = now
        ratio = self._ratio.value
        if ratio > _TOLERATED_RATIO:
            cut = max(_LEAST_FACTOR, _TOLERATED_RATIO / ratio)
            self._factor = max(_LEAST_SHARE, self._factor * cut)
        else:
            self._factor = min(1.0, self._factor + _RISE)
        self.value = self._requests()

    def _requests(self) -> int:
        return max(1, int(self._share * self._factor + 0.5))
