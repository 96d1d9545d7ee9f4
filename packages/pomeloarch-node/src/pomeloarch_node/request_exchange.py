"""Sends one request to executors: first attempt, retries and a hedge."""

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
from pomeloarch_node.request_attempt import (
    ExchangeOutcome,
    OpenAttempt,
    SilenceHandler,
)
from pomeloarch_node.upstream_client import (
    ReserveMemory,
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)
from pomeloarch_node.upstream_connector import ConnectionUse

# Limits on the time without an answer after which an attempt is reported as
# silent. Within them, the time is a multiple of the request's expected
# duration.
_MIN_SILENCE_S = 1.0
_MAX_SILENCE_S = 1.75
_SILENCE_FACTOR = 4.0
# A hedge is sent after this multiple of the request's expected duration, and
# not before the time below.
_HEDGE_DELAY_FACTOR = 3.0
_MIN_HEDGE_DELAY_S = 0.05


class Exchange:
    """Sends one admitted request until it is answered or its deadline passes.

    The exchange also ends when the last attempt has failed and no other one
    may be started.

    Args:
      router: the routing state of the service.
      client: sends the request to executors.
      req: the request.
      deadline: when the caller stops waiting, in seconds of the clock.
      idempotent: whether the request may be sent again when it may have run.
      expected_s: the expected time of a request of this class, in seconds.
      clock: returns the present time in seconds.
      on_silence: called with an attempt that has had no answer for too long.
      reserve: reserves memory for an answer and returns whether there was
        enough.
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
        on_silence: SilenceHandler,
        reserve: ReserveMemory,
    ) -> None:
        """Creates the exchange; `run` sends the request."""
        self._router = router
        self._client = client
        self._req = req
        self._deadline = deadline
        self._idempotent = idempotent
        self._expected_s = expected_s
        self._clock = clock
        self._on_silence = on_silence
        self._reserve = reserve
        self._task = asyncio.current_task()
        self._timer: asyncio.TimerHandle | None = None
        self._first_attempt: OpenAttempt | None = None
        self._first_cancelled = False
        self._hedged = False
        self._silence_reported = False
        self._task_attempts: dict[
            asyncio.Task[UpstreamAnswer], OpenAttempt
        ] = {}
        self._used_executors: list[ExecutorId] = []
        self._results: list[AttemptResult] = []
        self._last_failure: UpstreamAnswer | None = None
        self._detail = ""

    async def run(self) -> ExchangeOutcome:
        """Sends the request and returns the outcome."""
        self._router.budget.record_request(self._clock())
        try:
            answer = await self._run_first_attempt()
            if answer is None:
                answer = await self._await_task_attempts()
            if answer is not None:
                return ExchangeOutcome(answer, tuple(self._results))
        finally:
            await self._cancel_open_attempts()
        return ExchangeOutcome(
            self._last_failure, tuple(self._results), self._detail
        )

    async def _run_first_attempt(self) -> UpstreamAnswer | None:
        """Runs the first attempt in the current task.

        This saves the cost of a separate task. A timer starts the hedge and
        reports silence meanwhile. The attempt is cancelled when a hedge is
        answered first and when the deadline passes.
        """
        attempt = self._begin_attempt(self._clock())
        if attempt is None:
            return None
        self._first_attempt = attempt
        self._set_timer()
        try:
            address = attempt.state.upstream.address
            answer = await self._client.send(
                address, self._req, attempt.use, self._reserve
            )
        except asyncio.CancelledError:
            self._record_abandoned(attempt)
            if not self._first_cancelled or self._task is None:
                raise
            self._task.uncancel()
            return None
        finally:
            self._first_attempt = None
            if self._timer is not None:
                self._timer.cancel()
        return self._record_end(attempt, answer)

    def _set_timer(self) -> None:
        now = self._clock()
        self._timer = asyncio.get_running_loop().call_later(
            self._next_check_s(now), self._on_timer
        )

    def _on_timer(self) -> None:
        """Checks the deadline and progress during the first attempt."""
        if self._clock() >= self._deadline:
            self._cancel_first_attempt()
            return
        self._check_progress()
        self._set_timer()

    def _cancel_first_attempt(self) -> None:
        """Cancels the first attempt, whose answer is no longer needed."""
        if self._first_attempt is not None and self._task is not None:
            self._first_cancelled = True
            self._task.cancel()

    async def _await_task_attempts(self) -> UpstreamAnswer | None:
        """Waits for the attempts that run in separate tasks."""
        while self._task_attempts:
            now = self._clock()
            if now >= self._deadline:
                self._detail = "the deadline has passed"
                return None
            done, _ = await asyncio.wait(
                self._task_attempts,
                timeout=self._next_check_s(now),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                answer = self._record_end(
                    self._task_attempts.pop(task), task.result()
                )
                if answer is not None:
                    return answer
            if not done:
                self._check_progress()
        return None

    def _check_progress(self) -> None:
        """Hedges a slow request and reports attempts that have no answer."""
        age = self._clock() - self._oldest_start()
        if (
            not self._hedged
            and self._idempotent
            and age >= self._hedge_delay_s()
        ):
            self._hedged = True
            self._start_another_attempt()
        if not self._silence_reported and age >= self._silence_threshold_s():
            self._silence_reported = True
            for each in self._open_attempts():
                self._on_silence(self._router, each.state, each.use)

    def _next_check_s(self, now: float) -> float:
        oldest = self._oldest_start()
        until = self._deadline
        if not self._hedged and self._idempotent:
            until = min(until, oldest + self._hedge_delay_s())
        if not self._silence_reported:
            until = min(until, oldest + self._silence_threshold_s())
        return max(0.0, until - now)

    def _open_attempts(self) -> list[OpenAttempt]:
        first = [] if self._first_attempt is None else [self._first_attempt]
        return [*first, *self._task_attempts.values()]

    def _oldest_start(self) -> float:
        return min(each.started_at for each in self._open_attempts())

    def _hedge_delay_s(self) -> float:
        return max(_MIN_HEDGE_DELAY_S, _HEDGE_DELAY_FACTOR * self._expected_s)

    def _silence_threshold_s(self) -> float:
        usual = _SILENCE_FACTOR * self._expected_s
        return min(_MAX_SILENCE_S, max(_MIN_SILENCE_S, usual))

    def _begin_attempt(self, now: float) -> OpenAttempt | None:
        """Chooses an executor and records that an attempt starts there."""
        state = self._router.choose(now, self._used_executors)
        if state is None:
            self._detail = "no executor may be given work"
            return None
        self._used_executors.append(state.upstream.executor_id)
        self._router.pool.begin(state, now)
        return OpenAttempt(
            state, ConnectionUse(fresh=not self._idempotent), now
        )

    def _start_another_attempt(self) -> None:
        """Starts another attempt in a task if the retry budget allows it."""
        now = self._clock()
        if not self._router.budget.try_spend(now):
            return
        attempt = self._begin_attempt(now)
        if attempt is None:
            return
        address = attempt.state.upstream.address
        task = asyncio.create_task(
            self._client.send(address, self._req, attempt.use, self._reserve)
        )
        task.add_done_callback(self._on_attempt_done)
        self._task_attempts[task] = attempt

    def _on_attempt_done(self, task: asyncio.Task[UpstreamAnswer]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        if task.result().result is AttemptResult.ANSWERED:
            self._cancel_first_attempt()

    def _record_end(
        self, attempt: OpenAttempt, answer: UpstreamAnswer
    ) -> UpstreamAnswer | None:
        """Records an attempt's end; returns the answer to pass on, if any."""
        self._results.append(answer.result)
        self._update_pool(attempt, answer, self._clock())
        if answer.result is AttemptResult.ANSWERED:
            zone = attempt.state.upstream.availability_zone
            return msgspec.structs.replace(answer, availability_zone=zone)
        self._detail = answer.detail
        if answer.result is AttemptResult.FAILED:
            self._last_failure = answer
        if may_retry(answer.result, idempotent=self._idempotent):
            self._start_another_attempt()
        return None

    def _update_pool(
        self, attempt: OpenAttempt, answer: UpstreamAnswer, now: float
    ) -> None:
        pool = self._router.pool
        upstream = attempt.state.upstream
        slowness = (now - attempt.started_at) / self._expected_s
        pool.end(attempt.state, answer.result, slowness, now)
        if answer.draining:
            pool.leaving.record_notice(upstream.executor_id, now)
        if answer.load is not None:
            attempt.state.record_report(answer.load, now)
        zone = upstream.availability_zone
        if attempt.use.connect_s is not None:
            pool.zones.record_round_trip(zone, attempt.use.connect_s, now)
        elif answer.result is AttemptResult.NOT_SENT:
            pool.zones.record_loss(zone, lost=True, now=now)
            pool.leaving.record_restart(upstream.executor_id)

    def _record_abandoned(self, attempt: OpenAttempt) -> None:
        """Records an attempt whose answer is no longer awaited."""
        now = self._clock()
        self._results.append(
            AttemptResult.ABANDONED
            if attempt.use.handed_out
            else AttemptResult.NOT_SENT
        )
        self._router.pool.end(attempt.state, AttemptResult.ABANDONED, 0.0, now)

    async def _cancel_open_attempts(self) -> None:
        abandoned = list(self._task_attempts)
        for task, each in self._task_attempts.items():
            task.cancel()
            self._record_abandoned(each)
        self._task_attempts.clear()
        if abandoned:
            await asyncio.gather(*abandoned, return_exceptions=True)
