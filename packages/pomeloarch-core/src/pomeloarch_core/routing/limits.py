"""A concurrency limit that follows measured latency.

Latency above its baseline shows that requests queue somewhere behind this node.
The limit is then reduced in proportion, as in the gradient limits of Netflix's
concurrency-limits and in Breakwater (OSDI 2020); otherwise it rises step by
step. It stays between a floor and this node's share of the slots.
"""

from __future__ import annotations

from pomeloarch_core.routing.latency import DecayingMean

_LATENCY_HALF_LIFE_S = 0.5
_BASELINE_HALF_LIFE_S = 30.0
_TOLERATED_LATENCY_RATIO = 2.0
# Floor of the limit, as a fraction of this node's share of the slots.
_MIN_SHARE_FACTOR = 0.5
_ADJUST_INTERVAL_S = 0.25
# Smallest factor by which one adjustment multiplies the limit.
_MIN_CUT_FACTOR = 0.7
# Increase of the limit by one adjustment, as a fraction of this node's share.
_INCREASE_STEP = 0.1


class LatencyBaseline:
    """Recent and long-term mean latency of one job class.

    The long-term mean is the baseline to which recent latency is compared.
    """

    __slots__ = (
        "_baseline",
        "_recent",
    )

    def __init__(self) -> None:
        """Starts without samples."""
        self._recent = DecayingMean(_LATENCY_HALF_LIFE_S)
        self._baseline = DecayingMean(_BASELINE_HALF_LIFE_S)

    @property
    def baseline_s(self) -> float:
        """The long-term mean latency in seconds, 0 before the first sample."""
        return self._baseline.value

    @property
    def recent_s(self) -> float:
        """The recent mean latency in seconds, 0 before the first sample."""
        return self._recent.value

    def add(self, latency_s: float, now: float) -> float:
        """Adds a sample; returns the ratio of recent to baseline latency."""
        self._recent.add(latency_s, now)
        self._baseline.add(latency_s, now)
        baseline_s = self._baseline.value
        return self._recent.value / baseline_s if baseline_s > 0.0 else 1.0


class ConcurrencyLimit:
    """The limit on a service's requests in progress from this node.

    Args:
      share: this node's share of the service's slots.

    Attributes:
      value: the limit in requests, at least one.
    """

    def __init__(self, share: float) -> None:
        """Starts with the limit at the whole share."""
        self._share = share
        self._factor = 1.0
        self.value = self._limit_in_requests()
        self._ratio = DecayingMean(_LATENCY_HALF_LIFE_S)
        self._adjusted_at = 0.0

    def set_share(self, share: float) -> None:
        """Sets this node's current share of the service's slots."""
        self._share = share
        self.value = self._limit_in_requests()

    def record(self, ratio: float, now: float) -> None:
        """Records a latency ratio and adjusts the limit.

        Args:
          ratio: the recent latency of a job class relative to its baseline.
          now: the current time in seconds of the monotonic clock.
        """
        self._ratio.add(ratio, now)
        if now - self._adjusted_at < _ADJUST_INTERVAL_S:
            return
        self._adjusted_at = now
        ratio = self._ratio.value
        if ratio > _TOLERATED_LATENCY_RATIO:
            cut = max(_MIN_CUT_FACTOR, _TOLERATED_LATENCY_RATIO / ratio)
            self._factor = max(_MIN_SHARE_FACTOR, self._factor * cut)
        else:
            self._factor = min(1.0, self._factor + _INCREASE_STEP)
        self.value = self._limit_in_requests()

    def _limit_in_requests(self) -> int:
        return max(1, int(self._share * self._factor + 0.5))
