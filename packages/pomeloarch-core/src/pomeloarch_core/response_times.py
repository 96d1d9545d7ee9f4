"""Estimates how long a peer takes to answer, and when an answer is late.

The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed mean
and a smoothed deviation. One slow answer raises it and many quick ones lower
it, so that calls to a peer that has become slow are not duplicated for long. A
budget limits the copies of calls that such a peer receives in the meantime,
because each copy makes the other calls wait longer.
"""

from __future__ import annotations

# Weight of the newest answer in the mean and in the deviation, and the number
# of deviations above the mean at which an answer is late; RFC 6298, section 2.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_MULTIPLE = 4
# Timeout before the first answer, in seconds. It covers a connection across
# regions and a busy host at either end.
INITIAL_TIMEOUT_S = 0.25
# Smallest timeout, in seconds: a placement round on a small host can delay an
# answer for most of this time.
MIN_TIMEOUT_S = 0.1
# Multiple of the time of another kind of call below which an answer is never
# late: a write waits for the writes before it, a read does not.
OTHER_KIND_MULTIPLE = 4
# The budget for copies is a retry budget as in "Site Reliability Engineering",
# chapter 21: a maximum number of copies, and a fraction of a copy that each
# call without one adds. A copy that was needed is given back, so that a peer
# that loses answers is always asked again.
MAX_COPIES = 4.0
COPIES_PER_CALL = 0.25
# Largest timeout, in seconds; slower answers are left to the call's own
# timeout.
MAX_TIMEOUT_S = 1.0


class ResponseTimeEstimator:
    """Response times of one peer, and the budget for copies of late calls.

    Args:
      max_copies: the initial and largest budget for copies.
    """

    def __init__(self, max_copies: float = MAX_COPIES) -> None:
        """Starts without any observed answer."""
        self._max_copies = max_copies
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._min_timeout_s = 0.0
        self._copies_left = max_copies

    def try_acquire_copy(self) -> bool:
        """Takes one copy of a late call from the budget.

        Returns:
          Whether the budget allowed it.
        """
        if self._copies_left < 1:
            return False
        self._copies_left -= 1
        return True

    def replenish(self, repeated: bool) -> None:
        """Adds to the budget after the latest copy of a call was answered.

        Args:
          repeated: whether the answered copy was sent because the call had
            no answer in time. Such a copy was needed, so its cost is returned.
        """
        earned = 1.0 if repeated else COPIES_PER_CALL
        self._copies_left = min(self._copies_left + earned, self._max_copies)

    def observe(self, took_s: float) -> None:
        """Updates the estimate with the time of an answer, in seconds."""
        if self._mean_s is None:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
            return
        error_s = took_s - self._mean_s
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(error_s) - self._deviation_s
        )
        self._mean_s += MEAN_WEIGHT * error_s

    def observe_spurious_copy(self, took_s: float) -> None:
        """Updates the estimate after a copy that was not needed.

        The answer to an earlier copy was only late: the peer has become slow,
        and further copies would make it slower still. The estimate is replaced
        rather than smoothed, because the earlier times no longer describe the
        peer (as in RFC 4015).

        Args:
          took_s: how long the answer took, in seconds.
        """
        if self._mean_s is None or took_s > self._mean_s:
            self._mean_s = took_s
            self._deviation_s = max(self._deviation_s, took_s / 2)
        else:
            self.observe(took_s)

    def observe_other_kind(self, took_s: float) -> None:
        """Sets the smallest timeout from an answer to another kind of call.

        Args:
          took_s: how long the latest such answer took, in seconds.
        """
        self._min_timeout_s = OTHER_KIND_MULTIPLE * took_s

    def timeout_s(self) -> float:
        """Returns the time after which an answer is late, in seconds."""
        if self._mean_s is None:
            timeout_s = INITIAL_TIMEOUT_S
        else:
            timeout_s = self._mean_s + DEVIATION_MULTIPLE * self._deviation_s
        min_timeout_s = max(MIN_TIMEOUT_S, self._min_timeout_s)
        return min(max(timeout_s, min_timeout_s), MAX_TIMEOUT_S)
