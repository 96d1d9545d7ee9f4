"""Sends orders and heartbeats to one worker, one call at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.gang.messages import (
    OrderAnswered,
    OrderOutcome,
    TaskReport,
    WorkerOrder,
    WorkerReported,
    WorkerUnreachable,
)
from pomeloarch_core.ids import Epoch, WorkerId
from pomeloarch_node.worker_client import (
    OrdersAnswer,
    OrdersRequest,
    WorkerError,
    WorkerFailure,
)
from pomeloarch_node.worker_gate import WorkerGate

MAX_ORDERS_PER_CALL = 64
# Number of calls with an order after which it is given up.
MAX_ORDER_ATTEMPTS = 3
# Longest pause before a call is repeated whose orders were not answered, in
# seconds.
RETRY_PAUSE_S = 0.2
# Number of repetitions of an unchanged report that are still passed on, because
# the scheduler counts some reports in a row.
_MAX_REPEATED_REPORTS = 4


class _PendingOrder(msgspec.Struct):
    """An order without a final outcome.

    Attributes:
      order: the order.
      attempts: number of calls with this order that failed.
      may_have_run: whether one of these calls may have taken effect.
    """

    order: WorkerOrder
    attempts: int = 0
    may_have_run: bool = False


class WorkerLink:
    """Connection to one worker.

    Calls to a worker that has not answered for a while renew no lease, so that
    the time is known at which its tasks have stopped. Otherwise, a call that
    arrives but whose answer is lost would keep the tasks running.

    Args:
      worker_id: the worker.
      address: the worker's address, as `ip:port/worker-id`.
      gate: provides the epoch for calls and receives the events.
      now: the present time, in seconds.
    """

    def __init__(
        self, worker_id: WorkerId, address: str, gate: WorkerGate, now: float
    ) -> None:
        """Starts without orders to send."""
        self.worker_id = worker_id
        self.address = address
        self._gate = gate
        self._pending: deque[_PendingOrder] = deque()
        self._wake = asyncio.Event()
        self._epoch = Epoch(0)
        self._answered_at = now
        self._renewed_at = now
        self._is_unreachable = False
        self._report: tuple[TaskReport, ...] | None = None
        self._repeated_reports = 0

    def enqueue(self, order: WorkerOrder) -> None:
        """Queues an order for the next call, which is made at once."""
        self._pending.append(_PendingOrder(order))
        self._wake.set()

    def reset(self, epoch: Epoch, now: float) -> None:
        """Discards all orders and reports and starts over under an epoch."""
        self._epoch = epoch
        self._pending.clear()
        self._answered_at = now
        self._renewed_at = now
        self._is_unreachable = False
        self._report = None
        self._wake.set()

    async def run(self) -> None:
        """Sends orders as they come, and heartbeats between them."""
        loop = asyncio.get_running_loop()
        while True:
            self._wake.clear()
            answered = await self._exchange(loop.time())
            if self._pending and answered:
                continue
            pause_s = self._gate.heartbeat_s
            if self._pending:
                pause_s = min(pause_s, RETRY_PAUSE_S)
            try:
                async with asyncio.timeout(pause_s):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _exchange(self, now: float) -> bool:
        epoch = self._gate.heartbeat_epoch()
        if epoch is None:
            self._pending.clear()
            return True
        if not self._gate.may_order(epoch):
            self._pending.clear()
        batch = [
            self._pending.popleft()
            for _ in range(min(MAX_ORDERS_PER_CALL, len(self._pending)))
        ]
        is_silent = now - self._answered_at > self._gate.suspect_after_s
        lease_s = 0.0 if is_silent else self._gate.lease_s
        if not is_silent:
            self._renewed_at = now
        req = OrdersRequest(
            epoch=epoch,
            holder=self._gate.holder,
            lease_s=lease_s,
            orders=tuple(pending.order for pending in batch),
        )
        answer = await self._call(req)
        now = asyncio.get_running_loop().time()
        if epoch != self._epoch:
            return True
        if isinstance(answer, Ok):
            self._handle_answer(batch, answer.ok_value, now)
            return True
        self._handle_failure(batch, answer.err_value, now)
        return False

    async def _call(
        self, req: OrdersRequest
    ) -> Result[OrdersAnswer, WorkerError]:
        answer = await self._gate.client.post(self.address, req)
        if isinstance(answer, Ok):
            results = len(answer.ok_value.results)
            if results != len(req.orders):
                message = f"{results} results for {len(req.orders)} orders"
                return Err(WorkerError(WorkerFailure.UNKNOWN, message))
        return answer

    def _handle_answer(
        self, batch: Sequence[_PendingOrder], answer: OrdersAnswer, now: float
    ) -> None:
        self._answered_at = now
        self._is_unreachable = False
        for pending, result in zip(batch, answer.results, strict=True):
            outcome = result.outcome
            if outcome is OrderOutcome.REFUSED and pending.may_have_run:
                # The refusal says nothing about the calls without an answer.
                outcome = OrderOutcome.UNKNOWN
            self._gate.emit(
                OrderAnswered(pending.order, outcome, result.detail)
            )
        if answer.tasks == self._report and not batch:
            self._repeated_reports += 1
        else:
            self._repeated_reports = 0
        self._report = answer.tasks
        if self._repeated_reports <= _MAX_REPEATED_REPORTS:
            self._gate.emit(WorkerReported(self.worker_id, answer.tasks))

    def _handle_failure(
        self, batch: Sequence[_PendingOrder], error: WorkerError, now: float
    ) -> None:
        if error.failure is WorkerFailure.FENCED:
            self._gate.supersede(f"a worker has seen epoch {error.epoch}")
            return
        retried = []
        for pending in batch:
            pending.attempts += 1
            if error.failure is WorkerFailure.UNKNOWN:
                pending.may_have_run = True
            if pending.attempts < MAX_ORDER_ATTEMPTS:
                retried.append(pending)
            else:
                self._give_up(pending, error.message)
        self._pending.extendleft(reversed(retried))
        self._report_if_unreachable(now)

    def _give_up(self, pending: _PendingOrder, message: str) -> None:
        outcome = OrderOutcome.REFUSED
        if pending.may_have_run:
            outcome = OrderOutcome.UNKNOWN
        self._gate.emit(OrderAnswered(pending.order, outcome, message))

    def _report_if_unreachable(self, now: float) -> None:
        """Emits once that the leases of the worker's tasks have expired."""
        if self._is_unreachable:
            return
        if now - self._renewed_at > self._gate.leases_expire_after_s:
            self._is_unreachable = True
            self._report = None
            self._gate.emit(WorkerUnreachable(self.worker_id))
