"""Admission of one service's requests at one node.

A request is let through at once while the limit has room and nobody waits.
Else it waits in the fair queue, if it can be served before its deadline and
within the longest wait, or is refused at once. The longest wait binds a queue
that has been standing for a while; a burst may use its own deadlines, since
it ends (after adaptive queue limits for bursts: CoDel, ACM Queue 2012).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from pomeloarch_core.ids import JobClassName, OrganisationName
from pomeloarch_core.routing.fair_queue import FairQueue
from pomeloarch_core.routing.limits import ConcurrencyLimit, LatencyBaseline
from pomeloarch_core.routing.messages import (
    Flow,
    Refusal,
    RefusalReason,
    Ticket,
    TicketState,
)
from pomeloarch_core.routing.refusal import make_refusal

LONGEST_WAIT_S = 2.0
# A queue that has been there for longer is no burst's.
BURST_S = 2.0
_UNMEASURED_S = 1.0
_LEAST_COST_S = 0.0005


class ServiceAdmission:
    """Decides when the requests of one service may start.

    Args:
      share: this node's part of the service's slots, in requests.
      class_weights: weights of the service's job classes.
      organisation_weights: weights of the organisations.
      rng: spreads refused callers' returns.
    """

    def __init__(
        self,
        share: float,
        class_weights: Mapping[JobClassName, float],
        organisation_weights: Mapping[OrganisationName, float],
        rng: random.Random,
    ) -> None:
        """Starts with nothing waiting or in progress."""
        self._limit = ConcurrencyLimit(share)
        self._queue = FairQueue(class_weights, organisation_weights)
        self._baselines: dict[JobClassName, LatencyBaseline] = {}
        self._rng = rng
        self.in_progress = 0
        self._waiting_since: float | None = None

    @property
    def limit(self) -> int:
        """How many requests may be in progress."""
        return self._limit.value

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def demand(self) -> int:
        """Requests in progress and waiting."""
        return self.in_progress + len(self._queue)

    def longest_s(self) -> float:
        """Returns the usual time of the slowest class, in seconds."""
        return max(
            (each.usual_s for each in self._baselines.values()), default=0.0
        )

    def set_share(self, share: float) -> None:
        """Takes this node's present part of the service's slots."""
        self._limit.set_share(share)

    def set_weights(
        self,
        class_weights: Mapping[JobClassName, float],
        organisation_weights: Mapping[OrganisationName, float],
    ) -> None:
        """Takes newer weights; those who wait keep their places in flows."""
        waiting = list(self._queue.tickets())
        self._queue = FairQueue(class_weights, organisation_weights)
        for ticket in waiting:
            self._queue.push(ticket)

    def expected_s(self, job_class: JobClassName) -> float:
        """Returns the usual time of one request of a class, in seconds."""
        baseline = self._baselines.get(job_class)
        if baseline is None or baseline.recent_s == 0.0:
            return _UNMEASURED_S
        return max(_LEAST_COST_S, baseline.recent_s)

    def submit(self, ticket: Ticket, now: float) -> Refusal | None:
        """Takes a request in; its ticket's state says how.

        Args:
          ticket: the request's ticket; it is admitted or queued after.
          now: the present time in seconds of the clock.

        Returns:
          None, or why it is refused.
        """
        refusal = self.preview(ticket.flow, ticket.deadline, now)
        if refusal is not None:
            ticket.state = TicketState.DONE
            return refusal
        if self._has_room():
            self._admit(ticket, now)
            return None
        ticket.cost = self.expected_s(ticket.flow.job_class)
        if not len(self._queue):
            self._waiting_since = now
        self._queue.push(ticket)
        return None

    def preview(
        self, flow: Flow, deadline: float, now: float
    ) -> Refusal | None:
        """Returns why a request would be refused now, None if it wouldn't.

        Args:
          flow: whose request it is.
          deadline: when its caller stops waiting, in seconds of the clock.
          now: the present time in seconds of the clock.
        """
        if deadline <= now:
            return make_refusal(RefusalReason.DEADLINE_PASSED, 0.0, self._rng)
        if self._has_room():
            return None
        expected = self.expected_s(flow.job_class)
        wait = self._queue.wait_s(flow, expected, self._limit.value)
        if wait > LONGEST_WAIT_S and self._standing(now):
            return make_refusal(RefusalReason.OVERLOADED, wait, self._rng)
        if now + wait + expected > deadline:
            return make_refusal(
                RefusalReason.DEADLINE_TOO_NEAR, wait, self._rng
            )
        return None

    def _standing(self, now: float) -> bool:
        """Whether the queue has been there for longer than a burst takes."""
        since = self._waiting_since
        return (
            len(self._queue) > 0 and since is not None and now - since > BURST_S
        )

    def release(
        self, ticket: Ticket, now: float, *, answered: bool = True
    ) -> None:
        """Takes the end of an admitted request in.

        Args:
          ticket: its ticket.
          now: the present time in seconds of the clock.
          answered: whether an executor gave it a good answer, whose time
            counts as a measure of latency.
        """
        if ticket.state is not TicketState.ADMITTED:
            return
        ticket.state = TicketState.DONE
        self.in_progress -= 1
        taken = max(_LEAST_COST_S, now - ticket.admitted_at)
        if ticket.cost > 0.0:
            self._queue.correct(ticket, taken)
        if answered:
            job_class = ticket.flow.job_class
            baseline = self._baselines.get(job_class)
            if baseline is None:
                baseline = self._baselines[job_class] = LatencyBaseline()
            self._limit.record(baseline.add(taken, now), now)

    def cancel(self, ticket: Ticket) -> None:
        """Takes a request out of the queue that nobody waits for."""
        if ticket.state is TicketState.QUEUED:
            ticket.state = TicketState.DONE
            self._queue.remove(ticket)

    def admit_next(self, now: float) -> tuple[Ticket, Refusal | None] | None:
        """Takes the next ticket out of the queue, if there is room.

        Returns:
          The ticket, with a refusal if it can't finish in time any more, or
          None if there is no room or nobody waits.
        """
        if self.in_progress >= self._limit.value:
            return None
        ticket = self._queue.pop()
        if ticket is None:
            return None
        expected = self.expected_s(ticket.flow.job_class)
        if now + expected > ticket.deadline:
            self._queue.correct(ticket, 0.0)
            ticket.state = TicketState.DONE
            reason = RefusalReason.DEADLINE_PASSED
            return ticket, make_refusal(reason, 0.0, self._rng)
        self._admit(ticket, now)
        return ticket, None

    def _has_room(self) -> bool:
        return not self._queue and self.in_progress < self._limit.value

    def _admit(self, ticket: Ticket, now: float) -> None:
        ticket.state = TicketState.ADMITTED
        ticket.admitted_at = now
        self.in_progress += 1
