"""The tries of one request: first try, retries and a hedge."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pomeloarch_core.ids import ExecutorId
from pomeloarch_core.routing import (
    AttemptResult,
    ServiceRouter,
    may_retry,
)
from pomeloarch_node.request_try import ExchangeEnd, OpenTry, Suspect
from pomeloarch_node.upstream_client import (
    Hold,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from pomeloarch_node.upstream_connector import ConnectionUse

_FIRST_SUSPECT_S = 1.0
_LATEST_SUSPECT_S = 1.75
_SUSPECT_FACTOR = 4.0
_HEDGE_FACTOR = 3.0
_LEAST_HEDGE_S = 0.05


class Exchange:
    """Sends one admitted request until an answer, the deadline or the end.

    Args:
      router: the service's decisions.
      client: sends the tries.
      req: the request.
      deadline: when the caller stops waiting, in seconds of the clock.
      idempotent: whether it may be sent again after a doubt.
      expected_s: the usual time of such a request, in seconds.
      clock: returns the present time in seconds.
      suspect: told of a try that stays without an answer for too long.
      hold: takes memory for an answer, if there is some left.
    """

    def __init__(
        self,
        router: ServiceRouter,
        client: UpstreamClient,
        req: UpstreamRequest,
        deadline: float,
        idempotent: bool,
        expected_s: float,
        clock: Callable[[], float],
        suspect: Suspect,
        hold: Hold,
    ) -> None:
        """Prepares the exchange without sending anything yet."""
        self._router = router
        self._client = client
        self._req = req
        self._deadline = deadline
        self._idempotent = idempotent
        self._expected_s = expected_s
        self._clock = clock
        self._suspect = suspect
        self._hold = hold
        self._task = asyncio.current_task()
        self._timer: asyncio.TimerHandle | None = None
        self._first: OpenTry | None = None
        self._preempted = False
        self._hedged = False
        self._suspected = False
        self._tries: dict[asyncio.Task[UpstreamAnswer], OpenTry] = {}
        self._tried: list[ExecutorId] = []
        self._results: list[AttemptResult] = []
        self._failure: UpstreamAnswer | None = None
        self._detail = ""

    async def run(self) -> ExchangeEnd:
        """Sends the request; returns how it ended."""
        self._router.budget.record_request(self._clock())
        try:
            answer = await self._first_try()
            if answer is None:
                answer = await self._await_answer()
            if answer is not None:
                return ExchangeEnd(answer, tuple(self._results))
        finally:
            await self._abandon()
        return ExchangeEnd(self._failure, tuple(self._results), self._detail)

    async def _first_try(self) -> UpstreamAnswer | None:
        """Awaits the first try in this task, which costs no task of its own.

        A timer starts what has to happen while it is under way. A hedge that
        is answered first, or the deadline, ends it.
        """
        begun = self._begin(self._clock())
        if begun is None:
            return None
        self._first = begun
        self._arm()
        try:
            address = begun.state.upstream.address
            answer = await self._client.send(
                address, self._req, begun.use, self._hold
            )
        except asyncio.CancelledError:
            self._leave(begun)
            if not self._preempted or self._task is None:
                raise
            self._task.uncancel()
            return None
        finally:
            self._first = None
            if self._timer is not None:
                self._timer.cancel()
        return self._settle(begun, answer)

    def _arm(self) -> None:
        now = self._clock()
        self._timer = asyncio.get_running_loop().call_later(
            self._pause(now), self._due
        )

    def _due(self) -> None:
        """Does what is due while the first try is under way."""
        if self._clock() >= self._deadline:
            self._preempt()
            return
        self._look_after()
        self._arm()

    def _preempt(self) -> None:
        """Ends the first try, as there is no use for its answer."""
        if self._first is not None and self._task is not None:
            self._preempted = True
            self._task.cancel()

    async def _await_answer(self) -> UpstreamAnswer | None:
        """Waits for tries that run in tasks of their own."""
        while self._tries:
            now = self._clock()
            if now >= self._deadline:
                self._detail = "the deadline has passed"
                return None
            done, _ = await asyncio.wait(
                self._tries,
                timeout=self._pause(now),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                answer = self._settle(self._tries.pop(task), task.result())
                if answer is not None:
                    return answer
            if not done:
                self._look_after()
        return None

    def _look_after(self) -> None:
        """Hedges a slow request, and tells of tries that seem lost."""
        age = self._clock() - self._oldest()
        if not self._hedged and self._idempotent and age >= self._hedge_after():
            self._hedged = True
            self._again()
        if not self._suspected and age >= self._suspect_after():
            self._suspected = True
            for each in self._open():
                self._suspect(self._router, each.state, each.use)

    def _pause(self, now: float) -> float:
        oldest = self._oldest()
        until = self._deadline
        if not self._hedged and self._idempotent:
            until = min(until, oldest + self._hedge_after())
        if not self._suspected:
            until = min(until, oldest + self._suspect_after())
        return max(0.0, until - now)

    def _open(self) -> list[OpenTry]:
        first = [] if self._first is None else [self._first]
        return [*first, *self._tries.values()]

    def _oldest(self) -> float:
        return min(each.born for each in self._open())

    def _hedge_after(self) -> float:
        return max(_LEAST_HEDGE_S, _HEDGE_FACTOR * self._expected_s)

    def _suspect_after(self) -> float:
        usual = _SUSPECT_FACTOR * self._expected_s
        return min(_LATEST_SUSPECT_S, max(_FIRST_SUSPECT_S, usual))

    def _begin(self, now: float) -> OpenTry | None:
        """Chooses an executor for a try that starts now."""
        state = self._router.choose(now, self._tried)
        if state is None:
            self._detail = "no executor may be given work"
            return None
        self._tried.append(state.upstream.executor_id)
        self._router.pool.begin(state, now)
        return OpenTry(state, ConnectionUse(fresh=not self._idempotent), now)

    def _again(self) -> None:
        """Starts another try in a task, if the budget has one left."""
        now = self._clock()
        if not self._router.budget.try_spend(now):
            return
        begun = self._begin(now)
        if begun is None:
            return
        address = begun.state.upstream.address
        task = asyncio.create_task(
            self._client.send(address, self._req, begun.use, self._hold)
        )
        task.add_done_callback(self._hedge_ended)
        self._tries[task] = begun

    def _hedge_ended(self, task: asyncio.Task[UpstreamAnswer]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if task.result().result is AttemptResult.ANSWERED:
            self._preempt()

    def _settle(
        self, ended: OpenTry, answer: UpstreamAnswer
    ) -> UpstreamAnswer | None:
        """Takes a try's end in; returns the answer to pass on, if any."""
        self._results.append(answer.result)
        self._learn(ended, answer, self._clock())
        if answer.result is AttemptResult.ANSWERED:
            zone = ended.state.upstream.availability_zone
            return msgspec.structs.replace(answer, availability_zone=zone)
        self._detail = answer.detail
        if answer.result is AttemptResult.FAILED:
            self._failure = answer
        if may_retry(answer.result, idempotent=self._idempotent):
            self._again()
        return None

    def _learn(
        self, ended: OpenTry, answer: UpstreamAnswer, now: float
    ) -> None:
        pool = self._router.pool
        upstream = ended.state.upstream
        slowness = (now - ended.born) / self._expected_s
        pool.end(ended.state, answer.result, slowness, now)
        if answer.draining:
            pool.leaving.record_notice(upstream.executor_id, now)
        if answer.load is not None:
            ended.state.record_report(answer.load, now)
        zone = upstream.availability_zone
        if ended.use.connect_s is not None:
            pool.zones.record_round_trip(zone, ended.use.connect_s, now)
        elif answer.result is AttemptResult.NOT_SENT:
            pool.zones.record_loss(zone, lost=True, now=now)
            pool.leaving.record_restart(upstream.executor_id)

    def _leave(self, left: OpenTry) -> None:
        """Takes in that nobody waits for a try any more."""
        now = self._clock()
        self._results.append(
            AttemptResult.ABANDONED
            if left.use.handed_out
            else AttemptResult.NOT_SENT
        )
        self._router.pool.end(left.state, AttemptResult.ABANDONED, 0.0, now)

    async def _abandon(self) -> None:
        abandoned = list(self._tries)
        for task, each in self._tries.items():
            task.cancel()
            self._leave(each)
        self._tries.clear()
        if abandoned:
            await asyncio.gather(*abandoned, return_exceptions=True)
