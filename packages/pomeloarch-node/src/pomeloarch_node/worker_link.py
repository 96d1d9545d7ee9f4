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
from pomeloarch_node.worker_leases import TaskLeases

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

    After a renewal without an answer, calls carry no lease and no orders until
    one of them is answered, so that the time is known at which the worker's
    tasks have stopped. Otherwise, calls that arrive but whose answers are lost
    would keep the tasks running.

    Args:
      worker_id: the worker.
      address: the worker's address, as `ip:port/worker-id`.
      gate: provides the epoch for calls and receives the events.
      leases: the leases of the worker's tasks.
    """

    def __init__(
        self,
        worker_id: WorkerId,
        address: str,
        gate: WorkerGate,
        leases: TaskLeases,
    ) -> None:
        """Starts without orders to send."""
        self.worker_id = worker_id
        self.address = address
        self._gate = gate
        self._pending: deque[_PendingOrder] = deque()
        self._wake = asyncio.Event()
        self._epoch = Epoch(0)
        self._leases = leases
        self._is_unreachable = False
        self._timer: asyncio.TimerHandle | None = None
        self._report: tuple[TaskReport, ...] | None = None
        self._repeated_reports = 0

    def enqueue(self, order: WorkerOrder) -> None:
        """Queues an order for the next call, which is made at once."""
        self._pending.append(_PendingOrder(order))
        self._wake.set()

    def reset(self, epoch: Epoch) -> None:
        """Discards all orders and reports and starts over under an epoch."""
        self._epoch = epoch
        self._pending.clear()
        self._is_unreachable = False
        self._cancel_timer()
        self._report = None
        self._wake.set()

    async def run(self) -> None:
        """Sends orders as they come, and heartbeats between them."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._wake.clear()
                if not await self._exchange(loop.time()):
                    await self._pause()
        finally:
            self._cancel_timer()

    async def _pause(self) -> None:
        pause_s = self._gate.heartbeat_s
        if self._pending:
            pause_s = min(pause_s, RETRY_PAUSE_S)
        try:
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _exchange(self, now: float) -> bool:
        """Makes one call; returns whether the next one is due at once."""
        epoch = self._gate.heartbeat_epoch()
        if epoch is None:
            self._pending.clear()
            return False
        if not self._gate.may_order(epoch):
            self._pending.clear()
        renews = self._leases.may_renew
        batch = [
            self._pending.popleft()
            for _ in range(min(MAX_ORDERS_PER_CALL, len(self._pending)))
        ]
        lease_s = self._gate.lease_s if renews else 0.0
        if renews:
            self._leases.add_renewal(now, lease_s)
        req = OrdersRequest(
            epoch=epoch,
            holder=self._gate.holder,
            lease_s=lease_s,
            orders=tuple(each.order for each in batch) if renews else (),
        )
        answer = await self._call(req)
        now = asyncio.get_running_loop().time()
        if epoch != self._epoch:
            return bool(self._pending)
        if isinstance(answer, Err):
            self._handle_failure(batch, answer.err_value, renewed=renews)
            return False
        self._leases.handle_answer(now, renewed=renews)
        if not renews:
            self._pending.extendleft(reversed(batch))
            batch = []
        self._handle_answer(batch, answer.ok_value)
        return not renews or bool(self._pending)

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
        self, batch: Sequence[_PendingOrder], answer: OrdersAnswer
    ) -> None:
        self._is_unreachable = False
        self._cancel_timer()
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
        self,
        batch: Sequence[_PendingOrder],
        error: WorkerError,
        *,
        renewed: bool,
    ) -> None:
        """Handles a failed call.

        Args:
          batch: the orders that it carried or, if it renewed no lease, that
            waited for its answer.
          error: the failure.
          renewed: whether the call carried a lease.
        """
        if renewed and error.failure is WorkerFailure.NOT_SENT:
            self._leases.handle_not_sent()
        if error.failure is WorkerFailure.FENCED:
            self._gate.supersede(f"a worker has seen epoch {error.epoch}")
            return
        retried = []
        for pending in batch:
            pending.attempts += 1
            if renewed and error.failure is WorkerFailure.UNKNOWN:
                pending.may_have_run = True
            if pending.attempts < MAX_ORDER_ATTEMPTS:
                retried.append(pending)
            else:
                self._give_up(pending, error.message)
        self._pending.extendleft(reversed(retried))
        self._report_when_unreachable()

    def _give_up(self, pending: _PendingOrder, message: str) -> None:
        outcome = OrderOutcome.REFUSED
        if pending.may_have_run:
            outcome = OrderOutcome.UNKNOWN
        self._gate.emit(OrderAnswered(pending.order, outcome, message))

    def _report_when_unreachable(self) -> None:
        """Emits once that the leases of the worker's tasks have expired."""
        if self._is_unreachable:
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._leases.end_at:
            self._cancel_timer()
            self._timer = loop.call_at(
                self._leases.end_at, self._report_when_unreachable
            )
            return
        self._is_unreachable = True
        self._report = None
        self._gate.emit(WorkerUnreachable(self.worker_id))

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
