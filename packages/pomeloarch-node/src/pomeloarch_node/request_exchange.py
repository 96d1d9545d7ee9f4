"""The tries of one request: first try, retries and a hedge."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from pomeloarch_core.ids import ExecutorId
from pomeloarch_core.routing import (
    ExecutorState,
    ServiceRouter,
    TryResult,
    may_retry,
)
from pomeloarch_node.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from pomeloarch_node.upstream_connector import ConnectionUse

_SUSPECT_AFTER_S = 1.0
_SUSPECT_FACTOR = 4.0
_HEDGE_FACTOR = 3.0
_LEAST_HEDGE_S = 0.05


class ExchangeEnd(msgspec.Struct, frozen=True):
    """How all tries of a request ended.

    Attributes:
      answer: the answer to pass on, None if there is none.
      results: how each try ended.
      detail: what went wrong last, for people.
    """

    answer: UpstreamAnswer | None
    results: tuple[TryResult, ...]
    detail: str = ""


class _Try:
    """A try in progress."""

    __slots__ = ("born", "state", "use")

    def __init__(
        self, state: ExecutorState, use: ConnectionUse, born: float
    ) -> None:
        self.state = state
        self.use = use
        self.born = born


Suspect = Callable[[ServiceRouter, ExecutorState, ConnectionUse], None]


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
        self._tries: dict[asyncio.Task[UpstreamAnswer], _Try] = {}
        self._tried: list[ExecutorId] = []
        self._results: list[TryResult] = []
        self._failure: UpstreamAnswer | None = None
        self._detail = ""

    @property
    def may_have_run(self) -> bool:
        """Whether any byte of the request may have reached an executor."""
        return any(each.use.handed_out for each in self._tries.values()) or any(
            result not in (TryResult.NOT_SENT, TryResult.REFUSED)
            for result in self._results
        )

    async def run(self) -> ExchangeEnd:
        """Sends the request; returns how it ended."""
        self._router.budget.record_request(self._clock())
        try:
            if self._start(self._clock()):
                answer = await self._await_answer()
                if answer is not None:
                    return ExchangeEnd(answer, tuple(self._results))
        finally:
            await self._abandon()
        return ExchangeEnd(self._failure, tuple(self._results), self._detail)

    async def _await_answer(self) -> UpstreamAnswer | None:
        hedged = suspected = False
        while self._tries:
            now = self._clock()
            if now >= self._deadline:
                self._detail = "the deadline has passed"
                return None
            pause = self._pause(now, hedged=hedged, suspected=suspected)
            done, _ = await asyncio.wait(
                self._tries, timeout=pause, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                answer = self._settle(task)
                if answer is not None:
                    return answer
            if done:
                continue
            age = self._clock() - self._oldest()
            if not hedged and self._idempotent and age >= self._hedge_after():
                hedged = True
                self._again()
            if not suspected and age >= self._suspect_after():
                suspected = True
                self._report_suspects()
        return None

    def _pause(self, now: float, *, hedged: bool, suspected: bool) -> float:
        oldest = self._oldest()
        until = self._deadline
        if not hedged and self._idempotent:
            until = min(until, oldest + self._hedge_after())
        if not suspected:
            until = min(until, oldest + self._suspect_after())
        return max(0.0, until - now)

    def _oldest(self) -> float:
        return min(each.born for each in self._tries.values())

    def _hedge_after(self) -> float:
        return max(_LEAST_HEDGE_S, _HEDGE_FACTOR * self._expected_s)

    def _suspect_after(self) -> float:
        return max(_SUSPECT_AFTER_S, _SUSPECT_FACTOR * self._expected_s)

    def _report_suspects(self) -> None:
        for each in self._tries.values():
            self._suspect(self._router, each.state, each.use)

    def _start(self, now: float) -> bool:
        state = self._router.choose(now, self._tried)
        if state is None:
            self._detail = "no executor may be given work"
            return False
        self._tried.append(state.upstream.executor_id)
        use = ConnectionUse(fresh=not self._idempotent)
        self._router.pool.begin(state)
        task = asyncio.create_task(
            self._client.send(state.upstream.address, self._req, use)
        )
        self._tries[task] = _Try(state, use, now)
        return True

    def _again(self) -> bool:
        """Starts another try, if the budget has one left."""
        now = self._clock()
        if not self._router.budget.try_spend(now):
            return False
        return self._start(now)

    def _settle(
        self, task: asyncio.Task[UpstreamAnswer]
    ) -> UpstreamAnswer | None:
        """Takes a try's end in; returns the answer to pass on, if any."""
        ended = self._tries.pop(task)
        answer = task.result()
        now = self._clock()
        self._results.append(answer.result)
        self._learn(ended, answer, now)
        if answer.result is TryResult.ANSWERED:
            return answer
        self._detail = answer.detail
        if answer.result is TryResult.FAILED:
            self._failure = answer
        if may_retry(answer.result, idempotent=self._idempotent):
            self._again()
        return None

    def _learn(self, ended: _Try, answer: UpstreamAnswer, now: float) -> None:
        pool = self._router.pool
        upstream = ended.state.upstream
        pool.end(ended.state, answer.result, now - ended.born, now)
        if answer.draining:
            pool.leaving.record_sign(upstream.executor_id, now)
        if answer.load is not None:
            ended.state.record_report(answer.load, now)
        zone = upstream.availability_zone
        if ended.use.connect_s is not None:
            pool.zones.record_round_trip(zone, ended.use.connect_s, now)
        elif answer.result is TryResult.NOT_SENT:
            pool.zones.record_loss(zone, lost=True, now=now)
            pool.leaving.record_restart(upstream.executor_id)

    async def _abandon(self) -> None:
        """Leaves the tries that nobody waits for any more."""
        now = self._clock()
        for task, each in self._tries.items():
            task.cancel()
            sent = each.use.handed_out
            self._results.append(
                TryResult.ABANDONED if sent else TryResult.NOT_SENT
            )
            self._router.pool.end(
                each.state, TryResult.ABANDONED, now - each.born, now
            )
        abandoned = list(self._tries)
        self._tries.clear()
        if abandoned:
            await asyncio.gather(*abandoned, return_exceptions=True)
