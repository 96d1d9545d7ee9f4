"""A leased role, stored as one row of the platform's table.

The table has no clock. A candidate that has seen the row's version unchanged
for the whole lease, by its own clock, may take over the row under the next
epoch; the write is conditional on that version. A holder counts its lease from
the moment before it sent the confirmed renewal, and ends it early by a bound
for the drift between clocks (Gray and Cheriton, "Leases", 1989).

A role may be claimed before its lease has expired if its former holders are
fenced off wherever they could do harm. The condition is that the role has not
been renewed for clearly longer than usual while the table answers the candidate
quickly: if the table is slow, the holder's renewals are slow as well.
"""

from __future__ import annotations

import msgspec

from pomeloarch_core.ids import Epoch, NodeId
from pomeloarch_core.response_times import ResponseTimeEstimator

# The claims of candidates are spread over this many durations of a read, so
# that the claims of six candidates are about one read apart.
_CLAIM_SPREAD_READS = 6
# A read that took at most this long, in seconds, was answered quickly: ten
# times its usual duration, and a sixth of its duration when the table is slow.
_QUICK_READ_S = 0.05
# A lease lasts at least as long as this many answers of the table: a renewal,
# the claims of other nodes before it if the table processes one write after
# another, and the next renewal.
_ANSWERS_PER_LEASE = 5
# Maximum length of a lease for a slow table, as a multiple of the normal
# length. A role whose holder is lost while the table is slow also stays vacant
# for that long.
_MAX_LEASE_FACTOR = 1.5


class LeaseRow(msgspec.Struct, frozen=True):
    """The value of a role's row.

    Attributes:
      holder: the node that holds the role, None after a release.
      owner: identifies the process among all processes of the node.
      epoch: increases with each change of holder.
      renewal: increases with each renewal within an epoch.
      lease_s: how long the row must stay unchanged before candidates claim it,
        in seconds; 0 for the normal time.
    """

    holder: NodeId | None
    owner: str
    epoch: Epoch
    renewal: int = 0
    lease_s: float = 0.0


class LeaseConfig(msgspec.Struct, frozen=True):
    """Times of a lease, in seconds.

    Attributes:
      lease_s: how long a row must stay unchanged before candidates claim it.
      drift_bound_s: how much earlier the holder ends its own lease.
      renew_s: time between renewals.
      poll_s: time between a candidate's reads.
      retry_s: time after which an unanswered write is sent again.
      overdue_s: minimum time without a renewal after which a role is claimed
        whose former holders are fenced off; None for the whole lease.
    """

    lease_s: float = 3.0
    drift_bound_s: float = 0.3
    renew_s: float = 0.8
    poll_s: float = 0.5
    retry_s: float = 0.25
    overdue_s: float | None = None

    @property
    def max_lease_s(self) -> float:
        """The maximum length of a lease if the table is slow, in seconds."""
        return self.lease_s * _MAX_LEASE_FACTOR

    @property
    def is_fenced(self) -> bool:
        """Whether fencing prevents former holders from doing harm."""
        return self.overdue_s is not None


class ReadRow(msgspec.Struct, frozen=True):
    """Action: read the role's row."""


class WriteRow(msgspec.Struct, frozen=True):
    """Action: write the role's row if it still has the given version."""

    version: int
    value: LeaseRow


LeaseAction = ReadRow | WriteRow


class LeaseMachine:
    """Decides the next action of a candidate or holder of one role.

    The caller asks for an `action`, performs it and reports the outcome, one
    action at a time. All times are of the caller's monotonic clock, in seconds.

    Args:
      node: this node.
      owner: a value that no other process uses.
      cfg: the times of the lease.
      start_after: earliest time of the first attempt, which spreads roles over
        nodes.
      claim_order: the position of this node among the candidates, from 0 to 1.
        If the table is slow, simultaneous claims of all candidates would delay
        each other beyond the lease.
      claim_delay_s: how much later than other nodes this one claims, in
        seconds.
    """

    def __init__(
        self,
        node: NodeId,
        owner: str,
        cfg: LeaseConfig | None = None,
        start_after: float = 0.0,
        claim_order: float = 0.0,
        claim_delay_s: float = 0.0,
    ) -> None:
        """Starts as a candidate that has not read the row."""
        self._node = node
        self._owner = owner
        self._cfg = cfg or LeaseConfig()
        self._start_after = start_after
        self._claim_order = claim_order
        self._claim_delay_s = claim_delay_s
        self._read_sent_at: float | None = None
        self._read_duration_s = 0.0
        self._write_duration_s = 0.0
        self._version = 0
        self._row: LeaseRow | None = None
        self._unchanged_since: float | None = None
        self._renewal_intervals = ResponseTimeEstimator()
        self._table_answering_since = 0.0
        self._poll_due = start_after
        self._held_epoch: Epoch | None = None
        self._lease_end = 0.0
        self._sole_holder_until = 0.0
        self._renew_due = 0.0
        self._pending_write: WriteRow | None = None
        self._pending_write_since = 0.0
        self._retry_due = 0.0
        self._release_requested = False
        self._row_released = False

    def epoch(self, now: float) -> Epoch | None:
        """Returns the epoch to act under, None when the role isn't held."""
        if self._held_epoch is None or now >= self._lease_end:
            return None
        # If former holders are fenced, a holder that releases the role acts
        # until its lease ends, because its successor needs some time to start.
        return (
            self._held_epoch
            if self._cfg.is_fenced or not self._release_requested
            else None
        )

    def is_sole_holder(self, now: float) -> bool:
        """Returns whether no other node can have claimed the held role yet.

        If a role may be claimed before its lease ends, a holder is not the only
        node that acts in the meantime. Anything that it grants for longer than
        that would outlast the time for which its successor waits.
        """
        return self.epoch(now) is not None and now < self._sole_holder_until

    @property
    def lease_end(self) -> float:
        """When the held lease ends unless it is renewed."""
        return self._lease_end

    def release(self) -> None:
        """Releases the role; the next action writes that into the row."""
        self._release_requested = True
        self._sole_holder_until = 0.0
        if self._held_epoch is not None:
            self._pending_write = None

    def abandon(self, epoch: Epoch) -> None:
        """Stops acting under an epoch that is of no more use to the holder.

        Unless another node has claimed the role, this one claims it again under
        the next epoch.
        """
        if self._held_epoch == epoch and not self._release_requested:
            self._held_epoch = None
            self._pending_write = None

    @property
    def is_released(self) -> bool:
        """Whether nothing is left to do after `release`."""
        held = self._held_epoch is not None and not self._row_released
        return (
            self._release_requested and not held and self._pending_write is None
        )

    def due(self, now: float) -> float:
        """Returns when `action` will next return an action."""
        if self.is_released:
            return float("inf")
        if self._pending_write is not None:
            return self._retry_due
        if self._held_epoch is not None:
            return now if self._release_requested else self._renew_due
        if self._claimable_at() <= self._poll_due:
            return self._claimable_at()
        return self._poll_due

    def action(self, now: float) -> LeaseAction | None:
        """Returns the action to perform now, None if none is due."""
        self._expire_lease(now)
        if self.is_released or now < self.due(now):
            return None
        if self._pending_write is not None:
            self._retry_due = now + self._cfg.retry_s
            return self._pending_write
        if self._held_epoch is not None:
            return self._start_write(self._next_own_row(self._held_epoch), now)
        if self._claimable_at() <= now:
            return self._start_write(self._claim_row(), now)
        self._poll_due = now + self._cfg.poll_s
        self._read_sent_at = now
        return ReadRow()

    def observed(self, version: int, row: LeaseRow | None, now: float) -> None:
        """Reports the row that was read; `now` is when the answer arrived."""
        if self._read_sent_at is not None:
            self._read_duration_s = now - self._read_sent_at
            self._read_sent_at = None
        if self._table_answering_since == float("inf"):
            self._table_answering_since = now
        if self._unchanged_since is None or version != self._version:
            self._record_renewal_interval(row, now)
            self._version = version
            self._row = row
            self._unchanged_since = now

    def _record_renewal_interval(
        self, row: LeaseRow | None, now: float
    ) -> None:
        """Records the time between two observed renewals of one holder."""
        if self._row is None or row is None or self._unchanged_since is None:
            return
        if row.epoch == self._row.epoch and row.holder is not None:
            self._renewal_intervals.observe(now - self._unchanged_since)

    def confirmed(self, version: int, now: float) -> None:
        """Reports that the pending write took effect."""
        write = self._pending_write
        if write is None:
            if self._release_requested:
                # This was a renewal in progress when the role was released.
                self._version = version
            return
        self._pending_write = None
        self._apply_write(version, write.value, now)

    def refused(self, version: int, row: LeaseRow | None, now: float) -> None:
        """Reports that the pending write's condition failed, with the row."""
        write = self._pending_write
        self._pending_write = None
        if write is not None and row == write.value:
            # An earlier copy of the same write took effect.
            self._apply_write(version, write.value, now)
            return
        if (
            self._release_requested
            and row is not None
            and row.owner == self._owner
        ):
            # A renewal took effect, but `release` did not wait for its answer.
            self._version, self._row = version, row
            return
        self._held_epoch = None
        self.observed(version, row, now)

    def unanswered(self, now: float) -> None:
        """Reports an action whose outcome is unknown; it is tried again."""
        if self._pending_write is None:
            self._table_answering_since = float("inf")
        self._retry_due = now + self._cfg.retry_s
        self._poll_due = max(self._poll_due, self._retry_due)

    def _apply_write(self, version: int, row: LeaseRow, now: float) -> None:
        self._version = version
        self._row = row
        self._unchanged_since = now
        if row.holder is None:
            self._row_released = True
            return
        self._held_epoch = row.epoch
        self._write_duration_s = now - self._pending_write_since
        self._sole_holder_until = (
            self._pending_write_since
            + self._sole_holder_s(row)
            - self._cfg.drift_bound_s
        )
        # The row may have changed as soon as the first copy of the write was
        # sent.
        self._lease_end = (
            self._pending_write_since
            + self._lease_duration_s(row)
            - self._cfg.drift_bound_s
        )
        # A table that processes one write after another must also serve other
        # writers. The pause leaves it to them except for the time that this
        # renewal and the next one take.
        pause_s = max(
            self._cfg.renew_s - self._write_duration_s,
            self._write_duration_s / 2,
        )
        latest = self._lease_end - 2 * self._write_duration_s
        self._renew_due = min(now + pause_s, max(now, latest))

    def _start_write(self, value: LeaseRow, now: float) -> WriteRow:
        self._pending_write = WriteRow(self._version, value)
        self._pending_write_since = now
        self._retry_due = now + self._cfg.retry_s
        return self._pending_write

    def _expire_lease(self, now: float) -> None:
        """Makes this node a candidate again once its own lease has expired."""
        if self._held_epoch is None or now < self._lease_end:
            return
        self._held_epoch = None
        if self._pending_write is not None and self._pending_write.value.holder:
            self._pending_write = None
            self._poll_due = now
            self._unchanged_since = None

    def _claimable_at(self) -> float:
        if self._release_requested or self._unchanged_since is None:
            return float("inf")
        if self._row is None or self._row.holder is None:
            return max(
                self._start_after, self._unchanged_since + self._claim_wait_s()
            )
        if self._row.owner == self._owner:
            return self._unchanged_since
        if self._row.holder == self._node:
            # The holder was an earlier process of this node, which is gone.
            return max(
                self._start_after, self._unchanged_since + self._claim_delay_s
            )
        # While the table is unavailable, the wait of every candidate expires.
        # It starts again when the table returns, so that the candidates claim
        # in their order.
        expired_at = self._unchanged_since + self._max_unrenewed_s()
        return (
            max(expired_at, self._table_answering_since) + self._claim_wait_s()
        )

    def _max_unrenewed_s(self) -> float:
        """Returns how long a holder may go without a renewal, in seconds."""
        overdue_s = self._cfg.overdue_s
        lease_s = self._lease_duration_s(self._row)
        reads_are_slow = self._read_duration_s > _QUICK_READ_S
        holder_saw_slow_table = self._row is not None and self._row.lease_s > 0
        if overdue_s is None or reads_are_slow or holder_saw_slow_table:
            return lease_s
        timeout_s = max(overdue_s, self._renewal_intervals.timeout_s())
        return min(timeout_s, lease_s)

    def _lease_duration_s(self, row: LeaseRow | None) -> float:
        """Returns the length of the lease that a row grants, in seconds."""
        normal_s = self._cfg.lease_s
        return normal_s if row is None else max(normal_s, row.lease_s)

    def _sole_holder_s(self, row: LeaseRow) -> float:
        """Returns how long no node claims a role after a write, in seconds."""
        overdue_s = self._cfg.overdue_s
        if overdue_s is None or row.lease_s > 0:
            return self._lease_duration_s(row)
        return overdue_s

    def _choose_lease_s(self, answer_s: float) -> float:
        """Returns a lease length that suits the table's speed, 0 for normal."""
        wanted_s = round(_ANSWERS_PER_LEASE * answer_s, 3)
        if wanted_s <= self._cfg.lease_s:
            return 0.0
        return min(wanted_s, self._cfg.max_lease_s)

    def _claim_wait_s(self) -> float:
        """Returns how long this node lets others claim first, in seconds."""
        return (
            self._claim_delay_s
            + self._claim_order * _CLAIM_SPREAD_READS * self._read_duration_s
        )

    def _claim_row(self) -> LeaseRow:
        last = self._row.epoch if self._row else 0
        # A write takes longer than a read because it waits for earlier writes.
        lease_s = self._choose_lease_s(2 * self._read_duration_s)
        return LeaseRow(
            self._node, self._owner, Epoch(last + 1), lease_s=lease_s
        )

    def _next_own_row(self, epoch: Epoch) -> LeaseRow:
        if self._release_requested:
            return LeaseRow(None, self._owner, epoch)
        renewal = self._row.renewal + 1 if self._row else 1
        lease_s = self._choose_lease_s(self._write_duration_s)
        return LeaseRow(self._node, self._owner, epoch, renewal, lease_s)
