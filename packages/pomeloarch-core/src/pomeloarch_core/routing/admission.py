"""Admission of one service's requests at one node.

A request is admitted at once while the concurrency limit has room and no
request waits. Otherwise it waits in the fair queue if it can be served before
its deadline and within the maximum wait; if not, it is refused at once. The
maximum wait applies only to a queue that has been standing for a while. During
a burst a request may wait until its own deadline, since a burst ends (compare
the adaptive queue limits of CoDel, ACM Queue 2012).
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

MAX_WAIT_S = 2.0
# A queue that lasts longer than this is not due to a burst.
MAX_BURST_S = 2.0
# Assumed time of a request before one of its class has been measured.
_DEFAULT_COST_S = 1.0
# Lower bound of the time that is charged for a request.
_MIN_COST_S = 0.0005


class ServiceAdmission:
    """Decides when the requests of one service may start.

    Args:
      share: this node's share of the service's slots, in requests.
      class_weights: weights of the service's job classes.
      organisation_weights: weights of the organisations.
      rng: draws the jitter of retry times.
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
        """The limit on requests in progress."""
        return self._limit.value

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    @property
    def demand(self) -> int:
        """The number of requests in progress and waiting."""
        return self.in_progress + len(self._queue)

    def slowest_baseline_s(self) -> float:
        """Returns the baseline latency of the slowest class, in seconds."""
        return max(
            (each.baseline_s for each in self._baselines.values()), default=0.0
        )

    def set_share(self, share: float) -> None:
        """Sets this node's current share of the service's slots."""
        self._limit.set_share(share)

    def set_weights(
        self,
        class_weights: Mapping[JobClassName, float],
        organisation_weights: Mapping[OrganisationName, float],
    ) -> None:
        """Sets new weights; waiting requests keep their order in a flow."""
        waiting = list(self._queue.tickets())
        self._queue = FairQueue(class_weights, organisation_weights)
        for ticket in waiting:
            self._queue.push(ticket)

    def expected_s(self, job_class: JobClassName) -> float:
        """Returns the expected time of a request of a class, in seconds."""
        baseline = self._baselines.get(job_class)
        if baseline is None or baseline.recent_s == 0.0:
            return _DEFAULT_COST_S
        return max(_MIN_COST_S, baseline.recent_s)

    def submit(self, ticket: Ticket, now: float) -> Refusal | None:
        """Admits, queues or refuses a request; the ticket's state tells which.

        Args:
          ticket: the ticket of the request.
          now: the current time in seconds of the monotonic clock.

        Returns:
          The refusal, or None if the request is admitted or queued.
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
        """Returns the refusal a request would get now, None for no refusal.

        Args:
          flow: the flow of the request.
          deadline: when its caller stops waiting, in seconds of the monotonic
            clock.
          now: the current time in seconds of the monotonic clock.
        """
        if deadline <= now:
            return make_refusal(RefusalReason.DEADLINE_PASSED, 0.0, self._rng)
        if self._has_room():
            return None
        expected = self.expected_s(flow.job_class)
        wait = self._queue.estimate_wait_s(flow, expected, self._limit.value)
        if wait > MAX_WAIT_S and self._is_queue_standing(now):
            return make_refusal(RefusalReason.OVERLOADED, wait, self._rng)
        if now + wait + expected > deadline:
            return make_refusal(
                RefusalReason.DEADLINE_TOO_NEAR, wait, self._rng
            )
        return None

    def _is_queue_standing(self, now: float) -> bool:
        """Returns whether the queue has lasted longer than a burst."""
        since = self._waiting_since
        return (
            len(self._queue) > 0
            and since is not None
            and now - since > MAX_BURST_S
        )

    def release(
        self, ticket: Ticket, now: float, *, answered: bool = True
    ) -> None:
        """Records the end of an admitted request.

        Args:
          ticket: the ticket of the request.
          now: the current time in seconds of the monotonic clock.
          answered: whether an executor answered it successfully, so that its
            time counts as a latency sample.
        """
        if ticket.state is not TicketState.ADMITTED:
            return
        ticket.state = TicketState.DONE
        self.in_progress -= 1
        taken_s = max(_MIN_COST_S, now - ticket.admitted_at)
        if ticket.cost > 0.0:
            self._queue.correct_charge(ticket, taken_s)
        if answered:
            job_class = ticket.flow.job_class
            baseline = self._baselines.get(job_class)
            if baseline is None:
                baseline = self._baselines[job_class] = LatencyBaseline()
            self._limit.record(baseline.add(taken_s, now), now)

    def cancel(self, ticket: Ticket) -> None:
        """Removes a queued request whose caller has stopped waiting."""
        if ticket.state is TicketState.QUEUED:
            ticket.state = TicketState.DONE
            self._queue.remove(ticket)

    def admit_next(self, now: float) -> tuple[Ticket, Refusal | None] | None:
        """Takes the next ticket from the queue if there is room.

        Returns:
          The ticket, with a refusal if the request can no longer finish in
          time, or None if there is no room or no request waits.
        """
        if self.in_progress >= self._limit.value:
            return None
        ticket = self._queue.pop()
        if ticket is None:
            return None
        expected = self.expected_s(ticket.flow.job_class)
        if now + expected > ticket.deadline:
            self._queue.correct_charge(ticket, 0.0)
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
