"""An entry host in virtual time that routes as the product does."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

import msgspec

from pomeloarch_core.ids import (
    ExecutorId,
    JobClassName,
    ServiceName,
    ZoneName,
)
from pomeloarch_core.routing import (
    AttemptResult,
    ExecutorState,
    Flow,
    RefusalReason,
    RunStatus,
    ServiceRouter,
    Ticket,
    TicketState,
    Upstream,
    ZoneCosts,
    determine_run_status,
    may_retry,
)
from pomeloarch_core.routing.load_digest import ServiceLoad
from pomeloarch_standins.executor_timeline import (
    AttemptEnd,
    FakeExecutor,
    Links,
    Timeline,
)

# Time from the start of a probe to its end, in seconds.
_PROBE_S = 0.01
# Shortest time after which an attempt without a response is suspected to have
# failed, in seconds.
_MIN_SUSPECT_S = 1.0


class Work(msgspec.Struct, frozen=True):
    """One request as its caller sends it.

    Attributes:
      number: its number, unique in a run.
      flow: the flow that it belongs to.
      arrives: the time of its arrival, in seconds.
      deadline: the time at which its caller stops waiting, in seconds.
      work_s: the slot time that it takes, in seconds.
      idempotent: whether it may be sent again when its outcome is unknown.
    """

    number: int
    flow: Flow
    arrives: float
    deadline: float
    work_s: float
    idempotent: bool = True


class Completion(msgspec.Struct, frozen=True):
    """The outcome of one request.

    Attributes:
      work: the request.
      ended: the time of its end, in seconds.
      answered: whether its caller got a complete, successful answer in time.
      ran: whether it ran, as its caller is told on failure; None on success.
      reason: the reason of a refusal, None when it was not refused.
    """

    work: Work
    ended: float
    answered: bool
    ran: RunStatus | None = None
    reason: RefusalReason | None = None


OnComplete = Callable[[Completion], None]


class _Progress:
    """The attempts of an admitted request so far."""

    __slots__ = (
        "done",
        "open_attempts",
        "results",
        "ticket",
        "tried_executors",
        "work",
    )

    def __init__(self, work: Work, ticket: Ticket) -> None:
        self.work = work
        self.ticket = ticket
        self.tried_executors: list[ExecutorId] = []
        self.results: list[AttemptResult] = []
        self.open_attempts = 0
        self.done = False


class ProductNode:
    """An entry host that routes with the core's `ServiceRouter`.

    Args:
      timeline: the virtual time.
      zone: the host's availability zone.
      executors: all executors of the service.
      links: the network between the zones.
      weights: the weights of the job classes.
      on_complete: called with the outcome of each request.
      rng: the router's source of random numbers.
      make_costs: creates the table of zone costs.
    """

    def __init__(
        self,
        timeline: Timeline,
        zone: ZoneName,
        executors: Mapping[ExecutorId, FakeExecutor],
        links: Links,
        weights: Mapping[JobClassName, float],
        on_complete: OnComplete,
        rng: random.Random,
        make_costs: Callable[[ZoneName], ZoneCosts] = ZoneCosts,
    ) -> None:
        """Creates a host that knows all executors."""
        self.zone = zone
        self.router = ServiceRouter(
            ServiceName("service"), weights, {}, make_costs(zone), rng
        )
        self.router.replace_upstreams(
            each.upstream for each in executors.values()
        )
        self._timeline = timeline
        self._executors = executors
        self._links = links
        self._on_complete = on_complete

    def arrive(self, work: Work) -> None:
        """Accepts a request that arrives now."""
        ticket = Ticket(work.flow, work.deadline)
        ticket.attachment = work
        refusal = self.router.admission.submit(ticket, self._timeline.now)
        if refusal is not None:
            self._refuse(work, refusal.reason)
        elif ticket.state is TicketState.ADMITTED:
            self._start(work, ticket)
        else:
            self._timeline.at(work.deadline, self._expire, ticket)

    def tick(
        self,
        loads: Sequence[ServiceLoad],
        leaving: Sequence[ExecutorId],
        unreported_nodes: int,
    ) -> None:
        """Applies the state of the other hosts and probes ejected executors.

        Args:
          loads: the loads of the other hosts.
          leaving: the executors that other hosts report as leaving.
          unreported_nodes: the number of hosts that have not reported yet.
        """
        now = self._timeline.now
        self.router.update_from_peers(loads, leaving, now, unreported_nodes)
        self._measure_round_trips()
        for executor_id in self.router.pool.ejector.due_probes(now):
            self._timeline.after(
                _PROBE_S,
                self._end_probe,
                executor_id,
                self._is_responsive(executor_id),
            )
        self.router.eject_stalled(now)
        self._admit_waiting()

    def replace_upstreams(self, upstreams: Sequence[Upstream]) -> None:
        """Replaces the list of executors."""
        self.router.replace_upstreams(upstreams)

    def _measure_round_trips(self) -> None:
        """Records the result of a new connection to each other zone."""
        now = self._timeline.now
        zones = self.router.pool.zones
        for zone in {
            each.upstream.availability_zone for each in self._executors.values()
        } - {self.zone}:
            if self._links.is_cut(self.zone, zone):
                zones.record_loss(zone, lost=True, now=now)
                continue
            there = self._links.delay_s(self.zone, zone)
            back = self._links.delay_s(zone, self.zone)
            zones.record_round_trip(zone, there + back, now)

    def _is_responsive(self, executor_id: ExecutorId) -> bool:
        executor = self._executors[executor_id]
        there = executor.upstream.availability_zone
        return not (
            executor.fault.value in ("dead", "stall")
            or self._links.is_cut(self.zone, there)
        )

    def _end_probe(self, executor_id: ExecutorId, answered: bool) -> None:
        self.router.pool.ejector.end_probe(
            executor_id, answered, self._timeline.now
        )

    def _admit_waiting(self) -> None:
        while True:
            following = self.router.admission.admit_next(self._timeline.now)
            if following is None:
                return
            ticket, refusal = following
            work = ticket.attachment
            assert isinstance(work, Work)
            if refusal is None:
                self._start(work, ticket)
            else:
                self._refuse(work, refusal.reason)

    def _expire(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.QUEUED:
            self.router.admission.cancel(ticket)
            work = ticket.attachment
            assert isinstance(work, Work)
            self._refuse(work, RefusalReason.DEADLINE_PASSED)

    def _refuse(self, work: Work, reason: RefusalReason) -> None:
        now = self._timeline.now
        self._on_complete(
            Completion(work, now, False, RunStatus.NOT_RUN, reason)
        )

    def _start(self, work: Work, ticket: Ticket) -> None:
        progress = _Progress(work, ticket)
        self.router.budget.record_request(self._timeline.now)
        self._send_attempt(progress)
        if not progress.done:
            self._timeline.at(work.deadline, self._finish, progress, False)

    def _send_attempt(self, progress: _Progress) -> None:
        now = self._timeline.now
        state = self.router.choose(now, progress.tried_executors)
        if state is None:
            if not progress.open_attempts:
                self._finish(progress, False)
            return
        executor_id = state.upstream.executor_id
        progress.tried_executors.append(executor_id)
        progress.open_attempts += 1
        self.router.pool.begin(state, now)
        is_open = [True]

        def _on_end(end: AttemptEnd) -> None:
            if is_open[0]:
                is_open[0] = False
                self._on_end(progress, state, now, end)

        def _on_suspicion() -> None:
            if is_open[0] and not self._is_responsive(executor_id):
                self.router.pool.ejector.eject(executor_id, self._timeline.now)
            if is_open[0] and progress.work.idempotent and not progress.done:
                self._retry(progress)

        def _on_deadline() -> None:
            if is_open[0]:
                _on_end(AttemptEnd(AttemptResult.ABANDONED))

        self._links.send(
            self.zone,
            self._executors[executor_id],
            progress.work.number,
            progress.work.work_s,
            _on_end,
        )
        expected = self.router.admission.expected_s(progress.work.flow[0])
        delay_s = max(_MIN_SUSPECT_S, 4.0 * expected)
        self._timeline.after(delay_s, _on_suspicion)
        self._timeline.at(progress.work.deadline, _on_deadline)

    def _retry(self, progress: _Progress) -> None:
        if self.router.budget.try_spend(self._timeline.now):
            self._send_attempt(progress)

    def _on_end(
        self,
        progress: _Progress,
        state: ExecutorState,
        sent: float,
        end: AttemptEnd,
    ) -> None:
        now = self._timeline.now
        pool = self.router.pool
        expected_s = self.router.admission.expected_s(
            progress.work.flow.job_class
        )
        pool.end(state, end.result, (now - sent) / expected_s, now)
        if end.draining:
            pool.leaving.record_notice(state.upstream.executor_id, now)
        if end.load is not None:
            state.record_report(end.load, now)
        progress.open_attempts -= 1
        progress.results.append(end.result)
        if progress.done:
            return
        if end.result is AttemptResult.ANSWERED:
            self._finish(progress, True)
            return
        if may_retry(end.result, idempotent=progress.work.idempotent):
            self._retry(progress)
        if not progress.open_attempts:
            self._finish(progress, False)

    def _finish(self, progress: _Progress, answered: bool) -> None:
        if progress.done:
            return
        progress.done = True
        now = self._timeline.now
        self.router.admission.release(progress.ticket, now, answered=answered)
        in_time = answered and now <= progress.work.deadline
        results = [*progress.results]
        results += [AttemptResult.ABANDONED] * progress.open_attempts
        ran = None if in_time else determine_run_status(results)
        self._on_complete(Completion(progress.work, now, in_time, ran))
        self._admit_waiting()
