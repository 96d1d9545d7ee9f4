"""Entry hosts in virtual time: the product's decisions and naive ones."""

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
    FakeExecutor,
    Links,
    Timeline,
    TryEnd,
)

_PROBE_S = 0.01
_SUSPECT_AFTER_S = 1.0


class Work(msgspec.Struct, frozen=True):
    """One request as its caller sends it.

    Attributes:
      number: its number, unique in a run.
      flow: whose it is.
      arrives: when it arrives, in seconds.
      deadline: when its caller stops waiting, in seconds.
      work_s: slot time that it takes, in seconds.
      idempotent: whether it may be sent again after a doubt.
    """

    number: int
    flow: Flow
    arrives: float
    deadline: float
    work_s: float
    idempotent: bool = True


class Completion(msgspec.Struct, frozen=True):
    """How one request ended.

    Attributes:
      work: the request.
      ended: when, in seconds.
      answered: whether its caller got a whole good answer in time.
      ran: what was told of a failure.
      reason: why it was refused, None if it wasn't.
    """

    work: Work
    ended: float
    answered: bool
    ran: RunStatus | None = None
    reason: RefusalReason | None = None


Complete = Callable[[Completion], None]


class _Progress:
    """An admitted request's tries so far."""

    __slots__ = ("done", "open", "results", "ticket", "tried", "work")

    def __init__(self, work: Work, ticket: Ticket) -> None:
        self.work = work
        self.ticket = ticket
        self.tried: list[ExecutorId] = []
        self.results: list[AttemptResult] = []
        self.open = 0
        self.done = False


class ProductNode:
    """An entry host that decides by the core's `ServiceRouter`.

    Args:
      timeline: the virtual time.
      zone: where the host is.
      executors: all executors of the service.
      links: the ways between zones.
      weights: weights of job classes.
      complete: told of each request's end.
      rng: the source of chance.
      make_costs: makes what knows the zones' costs.
    """

    def __init__(
        self,
        timeline: Timeline,
        zone: ZoneName,
        executors: Mapping[ExecutorId, FakeExecutor],
        links: Links,
        weights: Mapping[JobClassName, float],
        complete: Complete,
        rng: random.Random,
        make_costs: Callable[[ZoneName], ZoneCosts] = ZoneCosts,
    ) -> None:
        """Starts with every executor on the list."""
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
        self._complete = complete

    def arrive(self, work: Work) -> None:
        """Takes a request that arrives now."""
        ticket = Ticket(work.flow, work.deadline)
        ticket.attachment = work
        refusal = self.router.admission.submit(ticket, self._timeline.now)
        if refusal is not None:
            self._refused(work, refusal.reason)
        elif ticket.state is TicketState.ADMITTED:
            self._begin(work, ticket)
        else:
            self._timeline.at(work.deadline, self._expire, ticket)

    def tick(
        self,
        loads: Sequence[ServiceLoad],
        leaving: Sequence[ExecutorId],
        silent: int,
    ) -> None:
        """Takes in what the other hosts tell, and probes executors."""
        now = self._timeline.now
        self.router.update_from_peers(loads, leaving, now, silent)
        self._measure_round_trips()
        for executor_id in self.router.pool.ejector.due_probes(now):
            self._timeline.after(
                _PROBE_S, self._probed, executor_id, self._lives(executor_id)
            )
        self.router.eject_stalled(now)
        self._pump()

    def take_list(self, upstreams: Sequence[Upstream]) -> None:
        """Takes a newer list of executors."""
        self.router.replace_upstreams(upstreams)

    def _measure_round_trips(self) -> None:
        """Makes one new connection to each other zone."""
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

    def _lives(self, executor_id: ExecutorId) -> bool:
        executor = self._executors[executor_id]
        there = executor.upstream.availability_zone
        return not (
            executor.fault.value in ("dead", "stall")
            or self._links.is_cut(self.zone, there)
        )

    def _probed(self, executor_id: ExecutorId, answered: bool) -> None:
        self.router.pool.ejector.end_probe(
            executor_id, answered, self._timeline.now
        )

    def _pump(self) -> None:
        while True:
            following = self.router.admission.admit_next(self._timeline.now)
            if following is None:
                return
            ticket, refusal = following
            work = ticket.attachment
            assert isinstance(work, Work)
            if refusal is None:
                self._begin(work, ticket)
            else:
                self._refused(work, refusal.reason)

    def _expire(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.QUEUED:
            self.router.admission.cancel(ticket)
            work = ticket.attachment
            assert isinstance(work, Work)
            self._refused(work, RefusalReason.DEADLINE_PASSED)

    def _refused(self, work: Work, reason: RefusalReason) -> None:
        now = self._timeline.now
        self._complete(Completion(work, now, False, RunStatus.NOT_RUN, reason))

    def _begin(self, work: Work, ticket: Ticket) -> None:
        progress = _Progress(work, ticket)
        self.router.budget.record_request(self._timeline.now)
        self._try(progress)
        if not progress.done:
            self._timeline.at(work.deadline, self._finish, progress, False)

    def _try(self, progress: _Progress) -> None:
        now = self._timeline.now
        state = self.router.choose(now, progress.tried)
        if state is None:
            if not progress.open:
                self._finish(progress, False)
            return
        executor_id = state.upstream.executor_id
        progress.tried.append(executor_id)
        progress.open += 1
        self.router.pool.begin(state, now)
        open_try = [True]

        def _ended(end: TryEnd) -> None:
            if open_try[0]:
                open_try[0] = False
                self._ended(progress, state, now, end)

        def _suspected() -> None:
            if open_try[0] and not self._lives(executor_id):
                self.router.pool.ejector.eject(executor_id, self._timeline.now)
            if open_try[0] and progress.work.idempotent and not progress.done:
                self._again(progress)

        def _given_up() -> None:
            if open_try[0]:
                _ended(TryEnd(AttemptResult.ABANDONED))

        self._links.send(
            self.zone,
            self._executors[executor_id],
            progress.work.number,
            progress.work.work_s,
            _ended,
        )
        expected = self.router.admission.expected_s(progress.work.flow[0])
        pause = max(_SUSPECT_AFTER_S, 4.0 * expected)
        self._timeline.after(pause, _suspected)
        self._timeline.at(progress.work.deadline, _given_up)

    def _again(self, progress: _Progress) -> None:
        if self.router.budget.try_spend(self._timeline.now):
            self._try(progress)

    def _ended(
        self,
        progress: _Progress,
        state: ExecutorState,
        sent: float,
        end: TryEnd,
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
        progress.open -= 1
        progress.results.append(end.result)
        if progress.done:
            return
        if end.result is AttemptResult.ANSWERED:
            self._finish(progress, True)
            return
        if may_retry(end.result, idempotent=progress.work.idempotent):
            self._again(progress)
        if not progress.open:
            self._finish(progress, False)

    def _finish(self, progress: _Progress, answered: bool) -> None:
        if progress.done:
            return
        progress.done = True
        now = self._timeline.now
        self.router.admission.release(progress.ticket, now, answered=answered)
        in_time = answered and now <= progress.work.deadline
        results = [*progress.results]
        results += [AttemptResult.ABANDONED] * progress.open
        ran = None if in_time else determine_run_status(results)
        self._complete(Completion(progress.work, now, in_time, ran))
        self._pump()
