"""A leased role as one row of the platform's table.

The table has no clock. A candidate that has seen the row's version unchanged
for the whole lease, by its own clock, may take the row over under the next
epoch; the write is conditional on that version. A holder counts its lease
from the moment before it sent the renewal that was confirmed, and ends it
early by a bound for the drift between clocks (Gray and Cheriton, "Leases",
1989).

A role whose former holders are fenced off wherever they could do harm may be
claimed before its lease has run out: once it has not been renewed for clearly
longer than it usually is, while the table answers the candidate quickly. If
the table is slow, the holder's renewals are slow as well.
"""

from __future__ import annotations

import msgspec

from pomeloarch_core.ids import Epoch, NodeId
from pomeloarch_core.response_times import ResponseTimeEstimator

# Candidates whose claims follow each other, a read's time apart.
_CANDIDATES = 6
# A read that took no longer, in seconds, was answered quickly: ten times what
# it usually takes, and a sixth of what it takes when the table is slow.
_QUICK_READ_S = 0.05
# A lease is at least as long as this many answers of the table: a renewal, the
# claims of others before it where it takes one write after another, and the
# next renewal.
_ANSWERS_PER_LEASE = 5
# Most that a lease is lengthened for a slow table, in its usual length: it is
# also how long nobody holds a role whose holder is lost then.
_MOST_LENGTHENED = 1.5


class LeaseRow(msgspec.Struct, frozen=True):
    """The value of a role's row.

    Attributes:
      holder: the node that holds it, None when it was given up.
      owner: tells one process from another of the same node.
      epoch: grows with each change of holder.
      renewal: grows with each renewal within an epoch.
      lease_s: how long candidates wait on this row unchanged, in seconds; 0
        for the usual time.
    """

    holder: NodeId | None
    owner: str
    epoch: Epoch
    renewal: int = 0
    lease_s: float = 0.0


class LeaseConfig(msgspec.Struct, frozen=True):
    """Times of a lease, in seconds.

    Attributes:
      lease_s: how long candidates wait on an unchanged row.
      drift_bound_s: how much earlier the holder ends its own lease.
      renew_s: time between renewals.
      poll_s: time between a candidate's reads.
      retry_s: time until a write without an answer is sent again.
      overdue_s: least time without a renewal after which a role whose former
        holders are fenced off is claimed; None for the whole lease.
    """

    lease_s: float = 3.0
    drift_bound_s: float = 0.3
    renew_s: float = 0.8
    poll_s: float = 0.5
    retry_s: float = 0.25
    overdue_s: float | None = None

    @property
    def longest_s(self) -> float:
        """How long a lease is at most, where the table is slow, in seconds."""
        return self.lease_s * _MOST_LENGTHENED

    @property
    def fenced(self) -> bool:
        """Whether a former holder can do no harm."""
        return self.overdue_s is not None


class ReadRow(msgspec.Struct, frozen=True):
    """Read the role's row."""


class WriteRow(msgspec.Struct, frozen=True):
    """Write the role's row on the condition of its version."""

    version: int
    value: LeaseRow


LeaseAction = ReadRow | WriteRow


class LeaseMachine:
    """Decides what a candidate or holder of one role does next.

    The caller asks `action`, carries it out and reports the outcome; it
    does one action at a time. All times are of the caller's monotonic
    clock, in seconds.

    Args:
      node: this node.
      owner: a value that no other process uses.
      cfg: the lease's times.
      start_after: earliest time of a first try, which lets roles spread.
      turn: where this node stands among candidates, from 0 to 1. When the
        table is slow, the claims of all of them at once would delay each
        other past the lease.
      handicap_s: how much later than others it claims, in seconds.
    """

    def __init__(
        self,
        node: NodeId,
        owner: str,
        cfg: LeaseConfig | None = None,
        start_after: float = 0.0,
        turn: float = 0.0,
        handicap_s: float = 0.0,
    ) -> None:
        """Starts as a candidate that knows nothing."""
        self._node = node
        self._owner = owner
        self._cfg = cfg or LeaseConfig()
        self._start_after = start_after
        self._turn = turn
        self._handicap_s = handicap_s
        self._read_sent_at: float | None = None
        self._read_took = 0.0
        self._write_took = 0.0
        self._version = 0
        self._row: LeaseRow | None = None
        self._seen_since: float | None = None
        self._renewals = ResponseTimeEstimator()
        self._answering_since = 0.0
        self._poll_due = start_after
        self._held: Epoch | None = None
        self._lease_end = 0.0
        self._alone_until = 0.0
        self._renew_due = 0.0
        self._pending: WriteRow | None = None
        self._pending_since = 0.0
        self._retry_due = 0.0
        self._released = False
        self._given_up = False

    def epoch(self, now: float) -> Epoch | None:
        """Returns the epoch to act under, None when the role isn't held."""
        if self._held is None or now >= self._lease_end:
            return None
        # Where that does no harm, one that gives the role up acts for as long
        # as its lease: its successor takes its time to begin.
        return self._held if self._cfg.fenced or not self._released else None

    def alone(self, now: float) -> bool:
        """Whether nobody can have claimed the held role yet.

        Where a role may be claimed before its lease ends, a holder is not the
        only one that acts then. What it grants others for longer than that
        would outlast what its successor waits for.
        """
        return self.epoch(now) is not None and now < self._alone_until

    @property
    def lease_end(self) -> float:
        """When the held lease ends unless it is renewed."""
        return self._lease_end

    def release(self) -> None:
        """Ends the role here; the row says so with the next action."""
        self._released = True
        self._alone_until = 0.0
        if self._held is not None:
            self._pending = None

    @property
    def released(self) -> bool:
        """Whether nothing is left to do after `release`."""
        held = self._held is not None and not self._given_up
        return self._released and not held and self._pending is None

    def due(self, now: float) -> float:
        """Returns when `action` will next return something."""
        if self.released:
            return float("inf")
        if self._pending is not None:
            return self._retry_due
        if self._held is not None:
            return now if self._released else self._renew_due
        if self._claimable_at() <= self._poll_due:
            return self._claimable_at()
        return self._poll_due

    def action(self, now: float) -> LeaseAction | None:
        """Returns what to do now, None when nothing is due."""
        self._drop_lapsed(now)
        if self.released or now < self.due(now):
            return None
        if self._pending is not None:
            self._retry_due = now + self._cfg.retry_s
            return self._pending
        if self._held is not None:
            return self._begin(self._next_own_row(self._held), now)
        if self._claimable_at() <= now:
            return self._begin(self._claim_row(), now)
        self._poll_due = now + self._cfg.poll_s
        self._read_sent_at = now
        return ReadRow()

    def observed(self, version: int, row: LeaseRow | None, now: float) -> None:
        """Takes the row as it was read; `now` is when the answer came."""
        if self._read_sent_at is not None:
            self._read_took = now - self._read_sent_at
            self._read_sent_at = None
        if self._answering_since == float("inf"):
            self._answering_since = now
        if self._seen_since is None or version != self._version:
            self._learn_renewal(row, now)
            self._version = version
            self._row = row
            self._seen_since = now

    def _learn_renewal(self, row: LeaseRow | None, now: float) -> None:
        """Learns how long after each other renewals of a holder are seen."""
        if self._row is None or row is None or self._seen_since is None:
            return
        if row.epoch == self._row.epoch and row.holder is not None:
            self._renewals.observe(now - self._seen_since)

    def confirmed(self, version: int, now: float) -> None:
        """The pending write took effect."""
        write = self._pending
        if write is None:
            if self._released:
                # A renewal that was under way when the role was given up.
                self._version = version
            return
        self._pending = None
        self._settle(version, write.value, now)

    def refused(self, version: int, row: LeaseRow | None, now: float) -> None:
        """The pending write's condition did not hold; the row is this."""
        write = self._pending
        self._pending = None
        if write is not None and row == write.value:
            # An earlier sending of the same write had taken effect.
            self._settle(version, write.value, now)
            return
        if self._released and row is not None and row.owner == self._owner:
            # A renewal took effect whose answer was not waited for.
            self._version, self._row = version, row
            return
        self._held = None
        self.observed(version, row, now)

    def unanswered(self, now: float) -> None:
        """Nothing is known of the pending action; it is tried again."""
        if self._pending is None:
            self._answering_since = float("inf")
        self._retry_due = now + self._cfg.retry_s
        self._poll_due = max(self._poll_due, self._retry_due)

    def _settle(self, version: int, row: LeaseRow, now: float) -> None:
        self._version = version
        self._row = row
        self._seen_since = now
        if row.holder is None:
            self._given_up = True
            return
        self._held = row.epoch
        self._write_took = now - self._pending_since
        self._alone_until = (
            self._pending_since + self._alone_s(row) - self._cfg.drift_bound_s
        )
        # The row may have changed as soon as the first sending left.
        self._lease_end = (
            self._pending_since + self._lease_s(row) - self._cfg.drift_bound_s
        )
        # A table that takes one write after another is left to others as well,
        # but for the time that this renewal and the next one take.
        pause_s = max(
            self._cfg.renew_s - self._write_took, self._write_took / 2
        )
        latest = self._lease_end - 2 * self._write_took
        self._renew_due = min(now + pause_s, max(now, latest))

    def _begin(self, value: LeaseRow, now: float) -> WriteRow:
        self._pending = WriteRow(self._version, value)
        self._pending_since = now
        self._retry_due = now + self._cfg.retry_s
        return self._pending

    def _drop_lapsed(self, now: float) -> None:
        """Becomes a candidate again once its own lease has run out."""
        if self._held is None or now < self._lease_end:
            return
        self._held = None
        if self._pending is not None and self._pending.value.holder:
            self._pending = None
            self._poll_due = now
            self._seen_since = None

    def _claimable_at(self) -> float:
        if self._released or self._seen_since is None:
            return float("inf")
        if self._row is None or self._row.holder is None:
            return max(self._start_after, self._seen_since + self._wait_s())
        if self._row.owner == self._owner:
            return self._seen_since
        if self._row.holder == self._node:
            # An earlier process of this node held it, and is gone.
            return max(self._start_after, self._seen_since + self._handicap_s)
        # While the table is away every candidate's wait runs out. It begins
        # anew with the table's return, so that they claim in their order.
        lapsed_at = self._seen_since + self._unrenewed_s()
        return max(lapsed_at, self._answering_since) + self._wait_s()

    def _unrenewed_s(self) -> float:
        """Returns how long a holder may go without a renewal, in seconds."""
        overdue_s = self._cfg.overdue_s
        lease_s = self._lease_s(self._row)
        slow_here = self._read_took > _QUICK_READ_S
        slow_there = self._row is not None and self._row.lease_s > 0
        if overdue_s is None or slow_here or slow_there:
            return lease_s
        usual_s = max(overdue_s, self._renewals.timeout_s())
        return min(usual_s, lease_s)

    def _lease_s(self, row: LeaseRow | None) -> float:
        """Returns how long the lease is that a row tells of, in seconds."""
        usual_s = self._cfg.lease_s
        return usual_s if row is None else max(usual_s, row.lease_s)

    def _alone_s(self, row: LeaseRow) -> float:
        """Returns how long nobody claims a role after a row, in seconds."""
        overdue_s = self._cfg.overdue_s
        if overdue_s is None or row.lease_s > 0:
            return self._lease_s(row)
        return overdue_s

    def _next_lease_s(self, answer_s: float) -> float:
        """Returns a lease that fits the table's pace, 0 for the usual one."""
        wanted_s = round(_ANSWERS_PER_LEASE * answer_s, 3)
        if wanted_s <= self._cfg.lease_s:
            return 0.0
        return min(wanted_s, self._cfg.longest_s)

    def _wait_s(self) -> float:
        """Returns how long others may claim before this node."""
        return self._handicap_s + self._turn * _CANDIDATES * self._read_took

    def _claim_row(self) -> LeaseRow:
        last = self._row.epoch if self._row else 0
        # A write takes longer than a read: it waits for others before it.
        lease_s = self._next_lease_s(2 * self._read_took)
        return LeaseRow(
            self._node, self._owner, Epoch(last + 1), lease_s=lease_s
        )

    def _next_own_row(self, epoch: Epoch) -> LeaseRow:
        if self._released:
            return LeaseRow(None, self._owner, epoch)
        renewal = self._row.renewal + 1 if self._row else 1
        lease_s = self._next_lease_s(self._write_took)
        return LeaseRow(self._node, self._owner, epoch, renewal, lease_s)
