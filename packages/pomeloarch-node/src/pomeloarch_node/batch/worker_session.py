"""One worker under the leading scheduler: leases, orders and reports.

Leases are times on the worker's own clock. The latest time at which one can
end, by this node's clock, is kept, so that a task of a worker that doesn't
answer is started elsewhere only after its lease has certainly run out.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.batch.messages import (
    Event,
    Incarnation,
    PaceTask,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopAnswered,
    StopTask,
    WorkerInfo,
    WorkerLate,
    WorkerReported,
    WorkerSilent,
)
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.ids import Epoch
from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.batch.ports import (
    OrderFailure,
    StartAnswer,
    WorkerLink,
    WorkerState,
)
from pomeloarch_node.hedging import first_answer
from pomeloarch_node.scheduler_tenure import Tenure

_Answer = TypeVar("_Answer")

# A worker's clock may be this much slower than ours.
CLOCK_DRIFT = 0.02
# What rounding and the way there may add to a lease, in seconds.
LAPSE_SLACK_S = 0.3
# Without an answer for this long, in seconds, a worker's leases are no
# longer extended. One lost answer is not enough: it is noticed after the
# wait and the timeout, and the question that follows is answered at once.
SILENT_AFTER_S = 2.2
CALL_TIMEOUT_S = 0.7
# A worker whose tasks are paced is asked this often, in seconds; the figures
# that it gives cover the last half second.
WATCHED_WAIT_S = 0.5
PACE_TRIES = 2
# Copies of an order whose answer is late; the last has the whole time-out.
START_COPIES = 3
STOP_COPIES = 3
RENEWAL_COPIES = 2
# The lease of an order to start, in seconds; renewals extend it. What an
# order without an answer may still start is known to have ended the sooner.
START_LEASE_S = 3.0
RETRY_PAUSE_S = 0.2
SILENT_PAUSE_S = 0.5
IDLE_PAUSE_S = 0.5


class SessionTimes(msgspec.Struct, frozen=True):
    """Times of a session, in seconds.

    Attributes:
      lease_s: how long a lease is.
      wait_s: how long a renewal waits for an end.
    """

    lease_s: float
    wait_s: float


class WorkerSession:
    """Keeps one worker's leases alive and carries orders to it.

    Args:
      info: the worker.
      link: the link to it.
      tenure: the right to give orders.
      fence: the number of the scheduler's term.
      scheduler: whose orders they are.
      emit: takes events for the scheduler.
      clock: monotonic time, in seconds.
      times: its times.
      unknown_until: until when the worker may run what an earlier scheduler
        started, by the clock.
    """

    def __init__(
        self,
        info: WorkerInfo,
        link: WorkerLink,
        tenure: Tenure,
        fence: Epoch,
        scheduler: BatchScheduler,
        emit: Callable[[Event], None],
        clock: Callable[[], float],
        times: SessionTimes,
        unknown_until: float,
    ) -> None:
        """Starts with a worker that hasn't answered."""
        self.info = info
        self._link = link
        self._tenure = tenure
        self._fence = fence
        self._scheduler = scheduler
        self._emit = emit
        self._clock = clock
        self._times = times
        self._lapses_at = unknown_until
        self._incarnation = Incarnation(0)
        self._worker_clock: tuple[int, float] | None = None
        self._heard_at = clock()
        self._silent = False
        self._doubtful = False
        self._acknowledged = 0
        self._wake = asyncio.Event()
        self._answer_times = ResponseTimeEstimator()
        self._orders: set[asyncio.Task[None]] = set()

    def wake(self) -> None:
        """Has the session look again at what is to be done."""
        self._wake.set()

    def move(self, info: WorkerInfo, link: WorkerLink) -> WorkerLink:
        """Goes on at another address; returns the link to the former one.

        Orders under way are carried on there, and what was granted before
        counts until it has run out: the former address may still be served.
        `run` has to be begun anew.
        """
        former, self._link = self._link, link
        self.info = info
        self._worker_clock = None
        self._doubtful = True
        self._answer_times = ResponseTimeEstimator()
        return former

    async def close(self) -> None:
        """Ends the orders under way and the link."""
        for each in self._orders:
            each.cancel()
        await self._link.close()

    # ---- leases

    async def run(self) -> None:
        """Renews leases for as long as the worker may run anything."""
        while self._tenure.held():
            if await self._idle():
                continue
            await self._renew()

    async def _idle(self) -> bool:
        """Waits while there is nothing to ask; returns whether it waited."""
        worker_id = self.info.worker_id
        if self._worker_clock is None:
            return False
        acknowledged = self._scheduler.acknowledged_up_to(worker_id)
        if acknowledged > self._acknowledged:
            return False
        if self._scheduler.needs_polling(worker_id):
            return False
        await self._sleep(IDLE_PAUSE_S)
        return True

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _renew(self) -> None:
        asked_at = self._clock()
        first = self._worker_clock is None or self._silent
        known = not first and not self._doubtful
        acknowledged = self._to_acknowledge() if known else 0
        wait_s = self._wait_s() if known else 0.0
        deadline_ms = None
        if not first and self._tenure.alone():
            # A lease that is granted beside a successor would outlast the time
            # that this one waits for, from its term's beginning.
            deadline_ms = self._deadline_ms(asked_at, self._times.lease_s)
        answer, copies = await self._ask(acknowledged, deadline_ms, wait_s)
        if not self._tenure.held():
            return
        if isinstance(answer, Err):
            await self._failed(answer.err_value)
            return
        if copies == 1:
            self._acknowledged = max(self._acknowledged, acknowledged)
        self._heard(answer.ok_value, asked_at)
        if answer.ok_value.ended:
            await self._sleep(RETRY_PAUSE_S)

    async def _ask(
        self, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> tuple[Result[WorkerState, OrderFailure], int]:
        """Asks for a report, and again without a wait when it is late.

        Only the first copy acknowledges ends: another life of the worker may
        be there when the second arrives.

        Returns:
          The answer, and how many copies were sent.
        """
        copies = 0

        async def send() -> Result[WorkerState, OrderFailure]:
            nonlocal copies
            copies += 1
            first = copies == 1
            return await self._link.renew(
                self._fence,
                acknowledged if first else 0,
                deadline_ms,
                wait_s if first else 0.0,
            )

        answer = await first_answer(
            send,
            _has_answered,
            self._answer_times,
            self._clock,
            RENEWAL_COPIES,
            self._again,
            wait_s,
        )
        return answer, copies

    def _to_acknowledge(self) -> int:
        """Returns up to which end the worker may forget what it keeps.

        A worker may begin a new life under its old id and count its ends
        anew, so a number is sent once, and only to the life that has just
        answered: to another it would mean ends that nobody has seen.
        """
        acknowledged = self._scheduler.acknowledged_up_to(self.info.worker_id)
        return acknowledged if acknowledged > self._acknowledged else 0

    def _wait_s(self) -> float:
        if self._scheduler.needs_frequent_reports(self.info.worker_id):
            return min(WATCHED_WAIT_S, self._times.wait_s)
        return self._times.wait_s

    def _deadline_ms(self, now: float, lease_s: float) -> int:
        """Returns the end of a lease granted now, on the worker's clock."""
        assert self._worker_clock is not None
        clock_ms, at = self._worker_clock
        elapsed_s = (now - at) * (1 - CLOCK_DRIFT)
        deadline = clock_ms + int((elapsed_s + lease_s) * 1000)
        lapses_at = at + (deadline - clock_ms) / 1000 / (1 - CLOCK_DRIFT)
        self._lapses_at = max(self._lapses_at, lapses_at + LAPSE_SLACK_S)
        return deadline

    def _heard(self, state: WorkerState, asked_at: float) -> None:
        now = self._clock()
        self._heard_at = now
        if state.incarnation != self._incarnation:
            self._incarnation = state.incarnation
            self._acknowledged = 0
        self._worker_clock = (state.clock_ms, now)
        self._silent = False
        self._doubtful = False
        self._emit(
            WorkerReported(
                self.info.worker_id,
                state.incarnation,
                asked_at,
                state.running,
                state.ended,
            )
        )

    async def _failed(self, failure: OrderFailure) -> None:
        if failure is OrderFailure.SUPERSEDED:
            self._tenure.supersede(
                f"worker {self.info.worker_id} has seen a higher fence"
            )
            return
        now = self._clock()
        if failure is OrderFailure.OTHER_WORKER:
            self._emit(WorkerSilent(self.info.worker_id, now, gone=True))
            await asyncio.sleep(SILENT_PAUSE_S)
            return
        await self._link.reset()
        self._doubtful = True
        if not self._silent and now - self._heard_at > SILENT_AFTER_S:
            self._silent = True
            self._emit(WorkerSilent(self.info.worker_id, self._lapses_at))
        if self._silent:
            await asyncio.sleep(SILENT_PAUSE_S)

    # ---- orders

    def start(self, order: StartTask) -> None:
        """Carries an order to start a task."""
        self._spawn(self._start(order))

    def stop(self, order: StopTask) -> None:
        """Carries an order to stop a run."""
        self._spawn(self._stop(order))

    def pace(self, order: PaceTask) -> None:
        """Carries an order to work at a share of the pace."""
        self._spawn(self._pace(order))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        self._wake.set()

    async def _start(self, order: StartTask) -> None:
        if not self._still_wanted(order):
            return
        answer, copies = await self._send_copies(order)
        outcome, settled = StartOutcome.NO_ANSWER, False
        if isinstance(answer, Ok):
            outcome = self._note_clock(answer.ok_value)
            # A copy that was refused says nothing of the others: they may be
            # carried out seconds later, when what was refused would fit.
            settled = outcome is StartOutcome.STARTED or copies == 1
        elif answer.err_value is OrderFailure.SUPERSEDED:
            self._tenure.supersede("a worker has seen a higher fence")
            return
        else:
            self._doubtful = True
            if not self._still_wanted(order):
                return
        self._emit(
            StartAnswered(
                self.info.worker_id, order.task, order.run, outcome, settled
            )
        )
        self._wake.set()

    async def _send_copies(
        self, order: StartTask
    ) -> tuple[Result[StartAnswer, OrderFailure], int]:
        """Sends an order to start; returns its answer and how many copies."""
        copies = 0

        async def send() -> Result[StartAnswer, OrderFailure]:
            nonlocal copies
            if not self._may_start():
                return Err(OrderFailure.NO_ANSWER)
            copies += 1
            lease_s = min(START_LEASE_S, self._times.lease_s)
            deadline_ms = self._deadline_ms(self._clock(), lease_s)
            return await self._at_present(
                lambda link: link.start(order, self._fence, deadline_ms)
            )

        answer = await first_answer(
            send,
            _has_answered,
            self._answer_times,
            self._clock,
            START_COPIES,
            lambda: self._start_again(order),
        )
        return answer, copies

    def _still_wanted(self, order: StartTask) -> bool:
        return self._tenure.held() and self._scheduler.is_start_wanted(
            order.task, order.run
        )

    def _may_start(self) -> bool:
        """Whether the end of a lease that is granted now can be told.

        When the last lease of a silent worker ends has been said already.
        """
        return self._worker_clock is not None and not self._silent

    async def _start_again(self, order: StartTask) -> bool:
        if not self._still_wanted(order):
            return False
        return await self._again()

    async def _at_present(
        self,
        call: Callable[[WorkerLink], Awaitable[Result[_Answer, OrderFailure]]],
    ) -> Result[_Answer, OrderFailure]:
        """Makes a call; what a former address answers doesn't count."""
        link = self._link
        answer = await call(link)
        if link is self._link:
            return answer
        return Err(OrderFailure.NO_ANSWER)

    async def _again(self) -> bool:
        """Uses new connections: a silent one may be why there is no answer."""
        self._doubtful = True
        self._emit(WorkerLate(self.info.worker_id))
        await self._link.reset()
        return self._tenure.held()

    def _note_clock(self, answer: StartAnswer) -> StartOutcome:
        if answer.clock_ms is not None:
            self._worker_clock = (answer.clock_ms, self._clock())
        return answer.outcome

    async def _pace(self, order: PaceTask) -> None:
        for _ in range(PACE_TRIES):
            if not self._tenure.held():
                return
            answer = await self._link.pace(
                str(order.task), order.run, order.percent, self._fence
            )
            if isinstance(answer, Ok):
                return
            if answer.err_value is OrderFailure.SUPERSEDED:
                self._tenure.supersede("a worker has seen a higher fence")
                return

    async def _stop(self, order: StopTask) -> None:
        while self._tenure.held():
            answer = await first_answer(
                lambda: self._at_present(
                    lambda link: link.stop(
                        str(order.task), order.run, self._fence
                    )
                ),
                _has_answered,
                self._answer_times,
                self._clock,
                STOP_COPIES,
                self._again,
            )
            if isinstance(answer, Ok):
                self._emit(StopAnswered(order.worker_id, order.task, order.run))
                self._wake.set()
                return
            if answer.err_value is OrderFailure.SUPERSEDED:
                self._tenure.supersede("a worker has seen a higher fence")
                return
            if answer.err_value is OrderFailure.OTHER_WORKER:
                return
            await asyncio.sleep(RETRY_PAUSE_S)


def _has_answered(answer: Result[Any, OrderFailure]) -> bool:
    """Whether the worker, or its host, has answered."""
    return (
        isinstance(answer, Ok) or answer.err_value is not OrderFailure.NO_ANSWER
    )
