"""Bounds the time until which the tasks of one worker may run."""

from __future__ import annotations

import msgspec

# Longest delay with which a call without an answer is carried out, in seconds.
MAX_CALL_DELAY_S = 13.0
# Margin for differences between the clocks, in seconds.
CLOCK_MARGIN_S = 1.0


def earlier_leases_end_at(taken_over_at: float, lease_s: float) -> float:
    """Returns when the leases end that an earlier holder has granted.

    Args:
      taken_over_at: when the role changed hands, in seconds.
      lease_s: the longest lease that its calls carry, in seconds.
    """
    return taken_over_at + MAX_CALL_DELAY_S + lease_s + CLOCK_MARGIN_S


class _Renewal(msgspec.Struct):
    sent_at: float
    lease_s: float


class TaskLeases:
    """The latest time at which the leases of a worker's tasks may end.

    A call grants its lease when it is carried out, which may be after its
    caller has given up. It only extends leases that have not expired, so each
    call without an answer adds at most its own lease to the bound.

    Args:
      now: the present time, in seconds.
      lease_s: the lease that an earlier holder's calls may grant, in seconds.
    """

    def __init__(self, now: float, lease_s: float) -> None:
        """Allows for calls of an earlier holder."""
        self._ends_at = now
        self._unanswered: list[_Renewal] = []
        self._earlier_lease_s: float | None = None
        self._may_renew = True
        self.reset(now, lease_s)

    def reset(self, now: float, lease_s: float) -> None:
        """Allows for calls of earlier epochs, whose number is unknown.

        The first answer under the new epoch bars them.
        """
        self._ends_at = max(
            self.end_at - CLOCK_MARGIN_S,
            earlier_leases_end_at(now, lease_s) - CLOCK_MARGIN_S,
        )
        granted = [each.lease_s for each in self._unanswered]
        self._earlier_lease_s = max(
            lease_s, self._earlier_lease_s or 0.0, *granted
        )
        self._unanswered.clear()
        self._may_renew = True

    @property
    def may_renew(self) -> bool:
        """Whether the next call may carry a lease.

        It may not after a renewal without an answer until another call is
        answered, so that silence adds one lease to the bound at most.
        """
        return self._may_renew

    @property
    def end_at(self) -> float:
        """The time from which no task runs unless a new lease is granted."""
        pending_s = sum(each.lease_s for each in self._unanswered)
        return self._ends_at + pending_s + CLOCK_MARGIN_S

    def add_renewal(self, now: float, lease_s: float) -> None:
        """Counts a call with a lease that is about to be sent."""
        self._unanswered.append(_Renewal(now, lease_s))
        self._may_renew = False

    def handle_not_sent(self) -> None:
        """Discounts the latest renewal, which never reached the worker."""
        self._unanswered.pop()
        self._may_renew = True

    def handle_answer(self, now: float, *, renewed: bool) -> None:
        """Handles the answer to a call.

        Args:
          now: the present time, in seconds.
          renewed: whether it is the answer to the latest renewal.
        """
        self._may_renew = True
        granted_s = [0.0]
        if renewed:
            granted_s.append(self._unanswered.pop().lease_s)
        if self._earlier_lease_s is not None:
            granted_s.append(self._earlier_lease_s)
            self._earlier_lease_s = None
            self._ends_at = now
        settled = [
            each
            for each in self._unanswered
            if now - each.sent_at > MAX_CALL_DELAY_S
        ]
        granted_s += [each.lease_s for each in settled]
        self._unanswered = [
            each for each in self._unanswered if each not in settled
        ]
        self._ends_at = max(self._ends_at, now + max(granted_s))
