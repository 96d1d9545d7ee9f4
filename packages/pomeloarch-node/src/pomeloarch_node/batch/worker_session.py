"""The session of the leading scheduler with one worker.

A session renews the worker's leases, passes orders to it and reports its
answers to the scheduler. Lease deadlines are times on the worker's own clock.
The session keeps the latest time, on this node's clock, at which any of them
can end, so that a task of a worker that does not answer is started elsewhere
only after its lease has certainly ended.

A worker may restart under its id. Its new incarnation knows no fence, its clock
begins anew, and it would carry out orders that were sent to the earlier one and
are still under way. The fence of a session therefore rises with each
incarnation that answers, and nothing that an incarnation reports is used before
it has seen its own fence.
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
from pomeloarch_core.batch.open_starts import MAX_ORDER_DELAY_S, CopyId
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.ids import Epoch
from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.batch.pace_orders import PaceOrders
from pomeloarch_node.batch.ports import (
    OrderFailure,
    StartAnswer,
    WorkerLink,
    WorkerState,
)
from pomeloarch_node.batch.term_row import FENCES_PER_TERM
from pomeloarch_node.hedging import first_answer
from pomeloarch_node.scheduler_tenure import Tenure

_Answer = TypeVar("_Answer")

# A worker's clock may run slower than this node's by this share.
MAX_CLOCK_DRIFT = 0.02
# What rounding and transmission may add to a lease, in seconds.
LEASE_EXPIRY_MARGIN_S = 0.3
# A worker that has not answered for this long, in seconds, counts as silent,
# and its leases are no longer extended. One lost answer is not enough: it is
# noticed after the wait and the timeout, and the next renewal is answered at
# once.
SILENT_AFTER_S = 2.2
CALL_TIMEOUT_S = 0.7
# Longest wait of a renewal at a worker whose tasks are paced, in seconds. Such
# a worker is asked this often; the load figures in its reports cover the last
# half second.
PACED_WAIT_S = 0.5
# Maximum number of copies of a call whose answer is late; the last one has its
# whole time-out.
MAX_START_COPIES = 3
# Maximum number of orders to start that are under way to one worker. A node has
# 16 connections to it, which renewals and stops need as well. An order beyond
# them would wait for a connection while its time-out runs.
MAX_STARTS_UNDER_WAY = 12
MAX_STOP_COPIES = 3
MAX_RENEWAL_COPIES = 2
# The lease that an order to start grants, in seconds; renewals extend it. The
# shorter it is, the sooner a run that an unanswered order may have started is
# known to have ended.
START_LEASE_S = 3.0
RETRY_PAUSE_S = 0.2
# Pause between renewals at a worker that keeps ends which may not be
# acknowledged yet, in seconds: such a worker answers at once.
KEPT_END_PAUSE_S = 0.5
SILENT_PAUSE_S = 0.5
# Pause after a renewal that failed at once, in seconds. The shorter it is, the
# sooner a worker that restarts has seen its new fence.
RECONNECT_PAUSE_S = 0.05
IDLE_PAUSE_S = 0.5


def longest_lease_s(lease_s: float) -> float:
    """Returns how long a lease granted now may last by this node's clock.

    Args:
      lease_s: its length on the worker's clock, in seconds.
    """
    return lease_s / (1 - MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S


class SessionTimes(msgspec.Struct, frozen=True):
    """Timing settings of a session, in seconds.

    Attributes:
      lease_s: the length of a lease.
      wait_s: how long the worker may hold back its answer to a renewal until a
        run ends.
    """

    lease_s: float
    wait_s: float


class WorkerSession:
    """Keeps the leases of one worker alive and passes orders to it.

    Args:
      info: the worker.
      link: the link to it.
      tenure: the right to give orders.
      fence: the worker's fence: the number of the scheduler's term, plus one
        for each restart of the worker that was noticed in this term.
      scheduler: the scheduler that gives the orders.
      emit: passes an event to the scheduler.
      clock: returns monotonic time, in seconds.
      times: the timing settings.
      earlier_leases_end_at: the time, by `clock`, until which the worker may
        run what an earlier scheduler started.
      on_renewal: called with how much later than it was due a renewal is sent,
        in seconds.
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
        earlier_leases_end_at: float,
        on_renewal: Callable[[float], None] = lambda late_s: None,
    ) -> None:
        """Starts with a worker that has not answered yet."""
        self._on_renewal = on_renewal
        # When the next renewal is due at the latest, None while none is.
        self._renewal_due: float | None = None
        self.info = info
        self._link = link
        self._tenure = tenure
        self._fence = fence
        self._scheduler = scheduler
        self._emit = emit
        self._clock = clock
        self._times = times
        self._leases_end_at = earlier_leases_end_at
        # When the last lease ends that an order to an earlier incarnation may
        # grant to one that has not seen its fence.
        self._unfenced_leases_end_at = 0.0
        self._incarnation = Incarnation(0)
        # The last incarnation on the list for which the worker was asked.
        self._checked_incarnation = Incarnation(0)
        self._worker_clock: tuple[int, float] | None = None
        self._last_report_at = clock()
        self._is_silent = False
        self._may_have_restarted = False
        self._acknowledged = 0
        self._wake = asyncio.Event()
        self._answer_times = ResponseTimeEstimator()
        self._orders: set[asyncio.Task[Any]] = set()
        self._start_slots = asyncio.Semaphore(MAX_STARTS_UNDER_WAY)
        self._paces = PaceOrders(
            self._send_pace, self._is_pace_wanted, clock, MAX_ORDER_DELAY_S
        )

    def wake(self) -> None:
        """Makes the session check at once whether a renewal is due."""
        self._wake.set()

    def wake_to_acknowledge(self) -> None:
        """Makes the session renew at once if there are ends to acknowledge."""
        if self._acknowledgement():
            self.wake()

    @property
    def fence(self) -> Epoch:
        """The fence that the worker's present incarnation has to have seen."""
        return self._fence

    def update_info(self, info: WorkerInfo) -> None:
        """Replaces the worker's entry in the platform's list.

        A worker that the list shows to have restarted is asked at once.
        """
        self.info = info
        if self._is_restart_listed():
            self._wake.set()

    def _is_restart_listed(self) -> bool:
        return self.info.incarnation not in (
            0,
            self._incarnation,
            self._checked_incarnation,
        )

    def move_to(self, info: WorkerInfo, link: WorkerLink) -> WorkerLink:
        """Switches to a link to another address and returns the former link.

        Orders in progress complete on the former link. Leases granted before
        keep counting until they end, since the worker at the former address may
        still be running. `run` must be started again.
        """
        former, self._link = self._link, link
        self.info = info
        self._worker_clock = None
        self._may_have_restarted = True
        self._answer_times = ResponseTimeEstimator()
        return former

    async def close(self) -> None:
        """Cancels the orders in progress and closes the link."""
        for each in self._orders:
            each.cancel()
        await self._link.close()

    async def run(self) -> None:
        """Renews the leases as long as the worker may run anything."""
        while self._tenure.is_held():
            if await self._pause_if_idle():
                continue
            await self._renew()

    async def _pause_if_idle(self) -> bool:
        """Pauses if no renewal is due; returns whether it paused."""
        worker_id = self.info.worker_id
        if self._worker_clock is None:
            return False
        acknowledged = self._scheduler.acknowledged_up_to(worker_id)
        if acknowledged > self._acknowledged:
            return False
        if self._scheduler.needs_polling(worker_id):
            return False
        if self._is_restart_listed():
            # An order that is still under way could start a task on a new
            # incarnation that has not seen its fence.
            return False
        self._renewal_due = None
        await self._sleep_until_woken(IDLE_PAUSE_S)
        return True

    def _has_open_copies(self) -> bool:
        acts_until = self._scheduler.open_starts.acts_until(self.info.worker_id)
        return acts_until > self._clock()

    async def _sleep_until_woken(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _renew(self) -> None:
        asked_at = self._clock()
        if self._renewal_due is not None:
            self._on_renewal(max(0.0, asked_at - self._renewal_due))
        self._renewal_due = asked_at + self._times.wait_s
        fence, listed = self._fence, self.info.incarnation
        first = self._worker_clock is None or self._is_silent
        known = not (
            first or self._may_have_restarted or self._is_restart_listed()
        )
        acknowledged = self._acknowledgement() if known else 0
        wait_s = self._renewal_wait_s() if known else 0.0
        deadline_ms, ends_at = None, 0.0
        if not first and self._tenure.is_sole_holder():
            # No lease is granted once a successor may have claimed the role:
            # the lease could outlast the time that the successor waits, counted
            # from the beginning of its term.
            deadline_ms, ends_at = self._lease_end(
                asked_at, self._times.lease_s
            )
        may_have_arrived = True
        try:
            answer, copies, may_have_arrived = await self._send_renewal(
                acknowledged, deadline_ms, wait_s
            )
        finally:
            if may_have_arrived:
                self._leases_end_at = max(self._leases_end_at, ends_at)
        if not self._tenure.is_held():
            return
        if isinstance(answer, Err):
            await self._on_renewal_failed(answer.err_value, asked_at)
            return
        self._checked_incarnation = listed
        if fence != self._fence or self._has_restarted(answer.ok_value):
            # Late orders may still change what this report says.
            return
        if copies == 1:
            self._acknowledged = max(self._acknowledged, acknowledged)
        self._on_report(answer.ok_value, asked_at)
        if answer.ok_value.ended:
            urgent = self._scheduler.needs_frequent_reports(self.info.worker_id)
            await self._sleep_until_woken(
                RETRY_PAUSE_S if urgent else KEPT_END_PAUSE_S
            )

    async def _send_renewal(
        self, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> tuple[Result[WorkerState, OrderFailure], int, bool]:
        """Renews the leases and asks for a report; repeats a late call.

        Only the first copy waits for the end of a run and acknowledges ends:
        when the second arrives, the worker may have restarted.

        Returns:
          The answer, the number of copies, and whether any of them may have
          reached the worker.
        """
        copies = 0
        unsent = 0

        async def send() -> Result[WorkerState, OrderFailure]:
            nonlocal copies, unsent
            copies += 1
            first = copies == 1
            answer = await self._call_fenced(
                lambda link, fence: link.renew(
                    fence,
                    acknowledged if first else 0,
                    deadline_ms,
                    wait_s if first else 0.0,
                )
            )
            unsent += not _may_have_arrived(answer)
            return answer

        answer = await first_answer(
            send,
            _has_answered,
            self._answer_times,
            self._clock,
            MAX_RENEWAL_COPIES,
            self._prepare_copy,
            wait_s,
        )
        return answer, copies, unsent < copies

    def _acknowledgement(self) -> int:
        """Returns the number up to which the worker may forget ends, or 0.

        A worker may restart under the same id and number its ends from 1 again.
        Each number is therefore sent once, and only to the incarnation that has
        just answered: another incarnation would forget ends that nobody has
        seen.
        """
        acknowledged = self._scheduler.acknowledged_up_to(self.info.worker_id)
        return acknowledged if acknowledged > self._acknowledged else 0

    def _renewal_wait_s(self) -> float:
        if self._scheduler.needs_frequent_reports(self.info.worker_id):
            return min(PACED_WAIT_S, self._times.wait_s)
        return self._times.wait_s

    def _lease_end(self, now: float, lease_s: float) -> tuple[int, float]:
        """Returns when a lease that is granted now ends.

        Returns:
          Its deadline, which is a time on the worker's clock, and the latest
          time at which it can end by this node's clock.
        """
        assert self._worker_clock is not None
        clock_ms, at = self._worker_clock
        elapsed_s = (now - at) * (1 - MAX_CLOCK_DRIFT)
        deadline = clock_ms + int((elapsed_s + lease_s) * 1000)
        ends_at = at + (deadline - clock_ms) / 1000 / (1 - MAX_CLOCK_DRIFT)
        return deadline, ends_at + LEASE_EXPIRY_MARGIN_S

    def _has_restarted(self, report: WorkerState) -> bool:
        """Returns whether a report shows a restart; raises the fence if so."""
        if self._incarnation in (0, report.incarnation):
            return False
        self._incarnation = report.incarnation
        self._on_restart()
        return True

    def _on_restart(self) -> None:
        """Raises the fence above that of all orders to earlier incarnations.

        Until the new incarnation has seen it, it may carry out one of these
        orders, which then gets the longest lease.
        """
        now = self._clock()
        self._last_report_at = now
        self._acknowledged = 0
        self._worker_clock = None
        self._unfenced_leases_end_at = (
            now + MAX_ORDER_DELAY_S + longest_lease_s(self._times.lease_s)
        )
        if self._is_silent:
            self._report_silent()
        self.raise_fence()

    def raise_fence(self) -> None:
        """Has the worker refuse all orders that were sent before.

        The term ends when its fences are used up.
        """
        if (self._fence + 1) % FENCES_PER_TERM == 0:
            self._tenure.lose(
                f"worker {self.info.worker_id} has restarted too often for "
                "the fences of one term"
            )
            return
        self._fence = Epoch(self._fence + 1)

    def _report_silent(self) -> None:
        lapses_at = max(
            self._leases_end_at,
            self._unfenced_leases_end_at,
            self._open_copies_lease_end(),
        )
        self._emit(WorkerSilent(self.info.worker_id, lapses_at))

    def _open_copies_lease_end(self) -> float:
        """Returns when the last lease of a start without an answer can end.

        A new incarnation may have carried it out. By its clock, which began
        anew, the deadline is so far ahead that the lease has its full length.
        """
        acts_until = self._scheduler.open_starts.acts_until(self.info.worker_id)
        sent_at = acts_until - MAX_ORDER_DELAY_S
        return sent_at + longest_lease_s(self._times.lease_s)

    def _count_longest_lease(self, now: float) -> None:
        """Notes that an unknown order may have granted a lease until now."""
        self._leases_end_at = max(
            self._leases_end_at, now + longest_lease_s(self._times.lease_s)
        )

    def _on_report(self, report: WorkerState, asked_at: float) -> None:
        now = self._clock()
        self._last_report_at = now
        self._incarnation = report.incarnation
        self._unfenced_leases_end_at = 0.0
        if self._worker_clock is None:
            self._count_longest_lease(now)
        self._worker_clock = (report.clock_ms, now)
        self._is_silent = False
        self._may_have_restarted = False
        self._emit(
            WorkerReported(
                self.info.worker_id,
                report.incarnation,
                asked_at,
                report.running,
                report.ended,
                report.complete,
            )
        )

    async def _on_renewal_failed(
        self, failure: OrderFailure, asked_at: float
    ) -> None:
        if failure is OrderFailure.SUPERSEDED:
            self._tenure.supersede(
                f"worker {self.info.worker_id} has seen a higher fence"
            )
            return
        if failure is OrderFailure.OUTDATED:
            return
        now = self._clock()
        if failure is OrderFailure.OTHER_WORKER:
            self._emit(WorkerSilent(self.info.worker_id, now, gone=True))
            await asyncio.sleep(SILENT_PAUSE_S)
            return
        await self._link.reset()
        self._may_have_restarted = True
        falls_silent = (
            not self._is_silent and now - self._last_report_at > SILENT_AFTER_S
        )
        if falls_silent:
            self._is_silent = True
            self._report_silent()
        if falls_silent or (self._is_silent and not self._has_open_copies()):
            await asyncio.sleep(SILENT_PAUSE_S)
        elif now - asked_at < RECONNECT_PAUSE_S:
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def start(self, order: StartTask) -> None:
        """Sends an order to start a task."""
        self._spawn(self._send_start(order))

    def stop(self, order: StopTask) -> None:
        """Sends an order to stop a run."""
        self._spawn(self._send_stop(order))

    def pace(self, order: PaceTask) -> None:
        """Sends an order to run a task at a share of its full speed."""
        self._spawn(self._paces.carry_out(order))

    def _spawn(
        self, work: Coroutine[None, None, _Answer]
    ) -> asyncio.Task[_Answer]:
        task = asyncio.create_task(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)
        self._wake.set()
        return task

    async def _send_start(self, order: StartTask) -> None:
        async with self._start_slots:
            if not self._is_still_wanted(order):
                return
            answer, copies = await self._send_start_copies(order)
        outcome, settled = StartOutcome.NO_ANSWER, False
        if isinstance(answer, Ok):
            outcome = self._record_clock(answer.ok_value)
            # A refused copy says nothing about the others: one of them may
            # still be carried out seconds later, when there is room for the
            # task.
            settled = outcome is StartOutcome.STARTED or copies == 1
        elif answer.err_value is OrderFailure.OUTDATED:
            outcome, settled = StartOutcome.REFUSED, copies == 1
        elif answer.err_value is OrderFailure.SUPERSEDED:
            self._tenure.supersede("a worker has seen a higher fence")
            return
        else:
            self._may_have_restarted = True
            if not self._is_still_wanted(order):
                return
        self._emit(
            StartAnswered(
                self.info.worker_id,
                order.task,
                order.run,
                outcome,
                settled,
                copies if outcome is StartOutcome.NO_ANSWER else copies - 1,
            )
        )
        self._wake.set()

    async def _send_start_copies(
        self, order: StartTask
    ) -> tuple[Result[StartAnswer, OrderFailure], int]:
        """Returns the answer to an order to start, and the number of copies."""
        copies = 0

        async def send() -> Result[StartAnswer, OrderFailure]:
            nonlocal copies
            if not self._can_grant_lease() or not self._is_still_wanted(order):
                return Err(OrderFailure.NO_ANSWER)
            copies += 1
            now = self._clock()
            lease_s = min(START_LEASE_S, self._times.lease_s)
            deadline_ms, ends_at = self._lease_end(now, lease_s)
            self._leases_end_at = max(self._leases_end_at, ends_at)
            # The answer to a copy is awaited after that to another copy, too:
            # it shows that the copy can't be carried out later.
            copy_id = self._scheduler.open_starts.add(
                order.task, order.worker_id, order.run, now
            )
            call = self._send_start_copy(order, copy_id, deadline_ms)
            return await asyncio.shield(self._spawn(call))

        answer = await first_answer(
            send,
            _has_answered,
            self._answer_times,
            self._clock,
            MAX_START_COPIES,
            lambda: self._prepare_start_copy(order),
        )
        return answer, copies

    async def _send_start_copy(
        self, order: StartTask, copy_id: CopyId, deadline_ms: int
    ) -> Result[StartAnswer, OrderFailure]:
        fence = self._fence
        answer = await self._call_fenced(
            lambda link, fence: link.start(order, fence, deadline_ms)
        )
        if _has_answered(answer) or not _may_have_arrived(answer):
            self._scheduler.open_starts.settle(copy_id)
        if isinstance(answer, Ok) and fence < self._fence:
            # The clock may be that of an earlier incarnation.
            return Ok(StartAnswer(answer.ok_value.outcome, None))
        return answer

    def _is_still_wanted(self, order: StartTask) -> bool:
        return self._tenure.is_held() and self._scheduler.is_start_wanted(
            order.task, order.run
        )

    def _can_grant_lease(self) -> bool:
        """Returns whether the end of a lease granted now can be determined.

        For a silent worker, the end of its last lease has already been reported
        to the scheduler.
        """
        return self._worker_clock is not None and not self._is_silent

    async def _prepare_start_copy(self, order: StartTask) -> bool:
        if not self._is_still_wanted(order):
            return False
        return await self._prepare_copy()

    async def _call_current_link(
        self,
        call: Callable[[WorkerLink], Awaitable[Result[_Answer, OrderFailure]]],
    ) -> Result[_Answer, OrderFailure]:
        """Makes a call; an answer from a former address counts as none."""
        link = self._link
        answer = await call(link)
        if link is self._link:
            return answer
        return Err(OrderFailure.NO_ANSWER)

    async def _call_fenced(
        self,
        call: Callable[
            [WorkerLink, Epoch], Awaitable[Result[_Answer, OrderFailure]]
        ],
    ) -> Result[_Answer, OrderFailure]:
        """Makes a call under the present fence.

        A worker refuses an order that was sent before its restart was noticed;
        this is told from the refusal that a newer scheduler causes.
        """
        fence = self._fence
        answer = await self._call_current_link(lambda link: call(link, fence))
        if answer == Err(OrderFailure.SUPERSEDED) and fence < self._fence:
            return Err(OrderFailure.OUTDATED)
        return answer

    async def _prepare_copy(self) -> bool:
        """Replaces the connections, since the present ones may be silent."""
        self._may_have_restarted = True
        self._emit(WorkerLate(self.info.worker_id))
        await self._link.reset()
        return self._tenure.is_held()

    def _record_clock(self, answer: StartAnswer) -> StartOutcome:
        if answer.clock_ms is None:
            return answer.outcome
        now = self._clock()
        if self._is_clock_behind(answer.clock_ms, now):
            # The incarnation of a worker that has just restarted is known from
            # its next report.
            self._incarnation = Incarnation(0)
            self._on_restart()
        else:
            self._worker_clock = (answer.clock_ms, now)
        return answer.outcome

    def _is_clock_behind(self, clock_ms: int, now: float) -> bool:
        """Returns whether a clock shows less than the one that was read last.

        Answers may overtake each other by the time that a call may take.
        """
        if self._worker_clock is None:
            return False
        earlier_ms, at = self._worker_clock
        elapsed_s = (now - at) * (1 - MAX_CLOCK_DRIFT) - CALL_TIMEOUT_S
        return clock_ms < earlier_ms + elapsed_s * 1000

    async def _send_pace(self, order: PaceTask) -> Result[None, OrderFailure]:
        answer = await self._call_fenced(
            lambda link, fence: link.pace(
                str(order.task), order.run, order.percent, fence
            )
        )
        if answer == Err(OrderFailure.SUPERSEDED):
            self._tenure.supersede("a worker has seen a higher fence")
        return answer

    def _is_pace_wanted(self, order: PaceTask) -> bool:
        return self._tenure.is_held() and self._scheduler.is_current_run(
            order.task, order.run
        )

    async def _send_stop(self, order: StopTask) -> None:
        while self._tenure.is_held():
            answer = await first_answer(
                lambda: self._call_fenced(
                    lambda link, fence: link.stop(
                        str(order.task), order.run, fence
                    )
                ),
                _has_answered,
                self._answer_times,
                self._clock,
                MAX_STOP_COPIES,
                self._prepare_copy,
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
    """Returns whether the worker or its host answered."""
    return isinstance(answer, Ok) or answer.err_value not in (
        OrderFailure.NO_ANSWER,
        OrderFailure.NO_CONNECTION,
    )


def _may_have_arrived(answer: Result[Any, OrderFailure]) -> bool:
    """Returns whether a call may reach the worker, at once or later."""
    return isinstance(answer, Ok) or answer.err_value not in (
        OrderFailure.NO_CONNECTION,
        OrderFailure.NO_LISTENER,
    )
