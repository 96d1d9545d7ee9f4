"""How long a peer usually takes to answer, and when its answer is late.

The estimate is that of TCP's retransmission timer (RFC 6298): a smoothed mean
and a smoothed deviation. It rises with one slow answer and falls with many
quick ones, so that a peer that has become slow is not asked twice for long. A
budget bounds the copies of calls that such a peer is sent meanwhile: each makes
the others wait longer.
"""

from __future__ import annotations

# Weight of the newest answer in the mean and in the deviation, and how many
# deviations an answer may be late; RFC 6298, section 2.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4
# Patience before the first answer, in seconds: a connection across regions
# and a busy host on either side.
INITIAL_TIMEOUT_S = 0.25
# Least patience, in seconds: a round of placing on a small host may hold an
# answer up for most of it.
MIN_TIMEOUT_S = 0.1
# Times that a call of one kind may take as long as one of another kind did: a
# write waits for others before it, a read does not.
OTHER_MULTIPLE = 4
# A budget for copies, as for retries in "Site Reliability Engineering", chapter
# 21: so many at once, and so many more for each call that needed none. One that
# was needed costs nothing, so that a peer which loses answers is asked again.
MAX_COPIES = 4.0
COPIES_PER_CALL = 0.25
# Most patience, in seconds; an answer that takes longer has its own time-out.
MAX_TIMEOUT_S = 1.0


class ResponseTimeEstimator:
    """What the answers of one peer teach.

    Args:
      most_copies: the budget for copies.
    """

    def __init__(self, most_copies: float = MAX_COPIES) -> None:
        """Starts without any answer."""
        self._most_copies = most_copies
        self._mean_s: float | None = None
        self._deviation_s = 0.0
        self._least_s = 0.0
        self._copies = most_copies

    def try_acquire_copy(self) -> bool:
        """Takes a copy of a late call out of the budget, if one is left."""
        if self._copies < 1:
            return False
        self._copies -= 1
        return True

    def replenish(self, repeated: bool) -> None:
        """Adds to the budget for a call whose last copy was answered.

        Args:
          repeated: whether that was a copy of a call that had no answer; it
            gives back what the copy took.
        """
        earned = 1.0 if repeated else COPIES_PER_CALL
        self._copies = min(self._copies + earned, self._most_copies)

    def observe(self, took_s: float) -> None:
        """Takes in how long an answer took, in seconds."""
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
        """Takes in the answer to a call that was sent again in vain.

        The peer has become slow, and copies make it slower still: what was
        learnt before says nothing of it any more (as in RFC 4015).

        Args:
          took_s: how long the answer took, in seconds.
        """
        if self._mean_s is None or took_s > self._mean_s:
            self._mean_s = took_s
            self._deviation_s = max(self._deviation_s, took_s / 2)
        else:
            self.observe(took_s)

    def observe_other_kind(self, took_s: float) -> None:
        """Takes in how long the latest answer to another kind of call took.

        Args:
          took_s: that time, in seconds.
        """
        self._least_s = OTHER_MULTIPLE * took_s

    def patience_s(self) -> float:
        """Returns after which time an answer is late, in seconds."""
        if self._mean_s is None:
            patience_s = INITIAL_TIMEOUT_S
        else:
            patience_s = self._mean_s + DEVIATIONS * self._deviation_s
        least_s = max(MIN_TIMEOUT_S, self._least_s)
        return min(max(patience_s, least_s), MAX_TIMEOUT_S)
