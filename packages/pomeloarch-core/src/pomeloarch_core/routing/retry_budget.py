"""A budget for retries and hedges: a share of the requests of a window.

The idea is that of the retry budgets of Finagle and of the book "Site
Reliability Engineering": retries in proportion to requests can't multiply an
overload.
"""

from __future__ import annotations

RETRY_SHARE = 0.1
WINDOW_S = 10.0
_BUCKETS = 10
_BUCKET_S = WINDOW_S / _BUCKETS
_MIN_RETRIES = 1


class RetryBudget:
    """Limits retries to a share of the requests of the last ten seconds.

    >>> budget = RetryBudget()
    >>> for _ in range(20):
    ...     budget.record_request(now=0.0)
    >>> [budget.try_spend(now=0.1) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._requests = [0] * _BUCKETS
        self._retries = [0] * _BUCKETS
        self._request_total = 0
        self._retry_total = 0
        self._bucket = 0

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        self._advance(now)
        self._requests[self._bucket % _BUCKETS] += 1
        self._request_total += 1

    def try_spend(self, now: float) -> bool:
        """Spends one retry of the budget; returns False if none is left."""
        self._advance(now)
        allowed = max(_MIN_RETRIES, int(RETRY_SHARE * self._request_total))
        if self._retry_total >= allowed:
            return False
        self._retries[self._bucket % _BUCKETS] += 1
        self._retry_total += 1
        return True

    def _advance(self, now: float) -> None:
        bucket = int(now / _BUCKET_S)
        if bucket <= self._bucket:
            return
        for expired in range(
            max(self._bucket + 1, bucket - _BUCKETS + 1), bucket + 1
        ):
            index = expired % _BUCKETS
            self._request_total -= self._requests[index]
            self._retry_total -= self._retries[index]
            self._requests[index] = self._retries[index] = 0
        self._bucket = bucket
