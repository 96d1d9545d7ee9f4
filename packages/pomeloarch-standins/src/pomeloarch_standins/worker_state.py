"""A test double of a worker with leases, reservations and simulated tasks."""

from __future__ import annotations

import dataclasses
import random

from pomeloarch_core.gang.messages import (
    OrderKind,
    OrderOutcome,
    TaskReport,
    TaskState,
    WorkerInfo,
    WorkerOrder,
)
from pomeloarch_core.ids import AttemptId, Epoch, JobId
from pomeloarch_node.worker_client import (
    OrderResult,
    OrdersAnswer,
    OrdersRequest,
)
from pomeloarch_standins.worker_ledger import GangLedger

# Time after the start of a task from which its real usage is reported, in
# seconds.
USAGE_LAG_S = 3.0
# Time for which ended tasks are remembered, in seconds.
ENDED_RETENTION_S = 3600.0
# Time between two clean-ups of ended tasks, in seconds.
_CLEANUP_INTERVAL_S = 60.0
_LIVE = frozenset(
    {TaskState.RESERVED, TaskState.RUNNING, TaskState.CHECKPOINTED}
)
_DONE = OrderResult(OrderOutcome.DONE)


@dataclasses.dataclass(frozen=True)
class Program:
    """The simulated behaviour of a task, such as `run_s=2.5 fail=0.1 use=1.5`.

    Attributes:
      run_s: its run time, in seconds.
      fail: the probability that it fails at its end.
      use: its usage as a multiple of its declared size.
    """

    run_s: float
    fail: float = 0.0
    use: float = 1.0

    @classmethod
    def from_command(cls, command: str, default_run_s: float) -> Program:
        """Parses a command; words that are not settings are ignored.

        >>> Program.from_command("scan run_s=4 fail=0.5", 2.0)
        Program(run_s=4.0, fail=0.5, use=1.0)
        """
        settings = {"run_s": default_run_s, "fail": 0.0, "use": 1.0}
        for word in command.split():
            name, _, text = word.partition("=")
            if name in settings and text:
                settings[name] = float(text)
        return cls(**settings)


@dataclasses.dataclass
class _Task:
    """One member of an attempt on this worker."""

    job_id: JobId
    attempt: AttemptId
    member: int
    accelerators: tuple[int, ...]
    memory_gb: float
    lease_until: float
    state: TaskState = TaskState.RESERVED
    program: Program = Program(0.0)
    started_at: float | None = None
    resumed_at_s: float = 0.0
    throttled: bool = False
    checkpoint: str | None = None
    ended_at: float = 0.0

    def progress_s(self, now: float) -> float:
        """Returns the part of its run time that is done, in seconds."""
        if self.started_at is None:
            return 0.0
        return self.resumed_at_s + now - self.started_at

    def report(self, now: float) -> TaskReport:
        """Returns the worker's report of the task, with delayed usage."""
        started = self.started_at
        usage = 1.0
        if started is not None and now - started >= USAGE_LAG_S:
            usage = 1.0 if self.throttled else self.program.use
        return TaskReport(
            self.attempt, self.member, self.state, usage, self.checkpoint
        )


class SimulatedWorker:
    """An in-memory worker with the interface that docs/INTERFACES.md describes.

    Args:
      info: its location and size.
      run_s: run time of a task whose command names none, in seconds.
      rng: draws the failures of tasks.
      ledger: records the gangs of the whole fleet.
    """

    def __init__(
        self,
        info: WorkerInfo,
        run_s: float,
        rng: random.Random,
        ledger: GangLedger,
    ) -> None:
        """Creates a worker without tasks."""
        self.info = info
        self.fails_all = False
        self._run_s = run_s
        self._rng = rng
        self._ledger = ledger
        self._epoch = Epoch(0)
        self._tasks: dict[tuple[AttemptId, int], _Task] = {}
        self._live_tasks: dict[tuple[AttemptId, int], _Task] = {}
        self._reported: dict[tuple[AttemptId, int], _Task] = {}
        self._next_cleanup_at = 0.0

    @property
    def epoch(self) -> Epoch:
        """The highest epoch seen so far."""
        return self._epoch

    def handle(self, req: OrdersRequest, now: float) -> OrdersAnswer | None:
        """Carries out orders.

        Returns:
          The answer, None when the epoch is lower than the highest one seen.
        """
        self.advance(now)
        if req.epoch < self._epoch:
            return None
        self._epoch = req.epoch
        for task in self._list_live():
            task.lease_until = max(task.lease_until, now + req.lease_s)
        results = tuple(
            self._carry_out(order, req.lease_s, now) for order in req.orders
        )
        self.advance(now)
        tasks = tuple(task.report(now) for task in self._reported.values())
        return OrdersAnswer(results, tasks, self._epoch)

    def advance(self, now: float) -> None:
        """Ends the tasks that are done or whose lease has run out."""
        for task in self._list_live():
            if now >= task.lease_until:
                self._end(task, TaskState.STOPPED, task.lease_until)
            elif task.state is TaskState.RUNNING:
                self._finish_if_done(task, now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + _CLEANUP_INTERVAL_S
            self._forget_ended(now - ENDED_RETENTION_S)

    def restart(self, now: float) -> None:
        """Ends every task, as a restart of the host would."""
        for task in self._list_live():
            self._end(task, TaskState.STOPPED, now)

    def reboot(self, now: float) -> None:
        """Starts anew under the same id, without memory of what it did."""
        self.advance(now)
        self.restart(now)
        self._epoch = Epoch(0)
        self._tasks.clear()
        self._reported.clear()

    def _list_live(self) -> list[_Task]:
        return list(self._live_tasks.values())

    def _forget_ended(self, before: float) -> None:
        for key, task in list(self._tasks.items()):
            if key not in self._live_tasks and task.ended_at < before:
                del self._tasks[key]
                self._reported.pop(key, None)

    def _finish_if_done(self, task: _Task, now: float) -> None:
        if self.fails_all:
            self._end(task, TaskState.FAILED, now)
        elif task.progress_s(now) >= task.program.run_s:
            failed = self._rng.random() < task.program.fail
            state = TaskState.FAILED if failed else TaskState.SUCCEEDED
            self._end(task, state, now)

    def _end(self, task: _Task, state: TaskState, now: float) -> None:
        task.state = state
        task.ended_at = now
        self._live_tasks.pop((task.attempt, task.member), None)
        self._ledger.record_end(task.attempt, task.member, state, now)

    def _pause(self, task: _Task, now: float) -> None:
        """Stops work at a checkpoint; the reservation stays until a stop."""
        task.state = TaskState.CHECKPOINTED
        self._ledger.record_end(task.attempt, task.member, task.state, now)

    def _carry_out(
        self, order: WorkerOrder, lease_s: float, now: float
    ) -> OrderResult:
        task = self._tasks.get((order.attempt, order.member))
        if order.kind is OrderKind.RESERVE:
            return self._reserve(order, task, lease_s, now)
        if order.kind is OrderKind.RELEASE:
            return self._release(order, task, now)
        if task is None:
            return _refused("this attempt is not known here")
        if order.kind is OrderKind.START:
            return self._start(order, task, now)
        return self._change_task(order.kind, task, now)

    def _reserve(
        self,
        order: WorkerOrder,
        task: _Task | None,
        lease_s: float,
        now: float,
    ) -> OrderResult:
        if task is not None:
            if task.state in _LIVE:
                return _DONE
            return _refused("this member of the attempt has ended")
        problem = self._find_shortage(order)
        if problem:
            return _refused(problem)
        task = _Task(
            job_id=order.job_id,
            attempt=order.attempt,
            member=order.member,
            accelerators=order.accelerators,
            memory_gb=order.memory_gb,
            lease_until=now + lease_s,
        )
        key = order.attempt, order.member
        self._tasks[key] = self._live_tasks[key] = self._reported[key] = task
        self._ledger.record_reservation(order.attempt, order.member)
        return _DONE

    def _find_shortage(self, order: WorkerOrder) -> str:
        live = self._list_live()
        taken = {number for task in live for number in task.accelerators}
        unavailable = [
            number
            for number in order.accelerators
            if number in taken or not 0 <= number < self.info.accelerators
        ]
        if unavailable:
            return f"accelerators {unavailable} are not free here"
        memory_gb = sum(task.memory_gb for task in live) + order.memory_gb
        if memory_gb > self.info.memory_gb:
            return "not enough memory is free here"
        return ""

    def _start(
        self, order: WorkerOrder, task: _Task, now: float
    ) -> OrderResult:
        if task.started_at is not None:
            return _DONE
        if task.state is not TaskState.RESERVED:
            return _refused("this member of the attempt has ended")
        task.state = TaskState.RUNNING
        task.started_at = now
        task.program = Program.from_command(order.command, self._run_s)
        task.checkpoint = order.checkpoint
        task.resumed_at_s = self._ledger.progress_s(
            order.checkpoint, order.member
        )
        self._ledger.record_start(task.job_id, task.attempt, task.member, now)
        return _DONE

    def _release(
        self, order: WorkerOrder, task: _Task | None, now: float
    ) -> OrderResult:
        if task is None:
            # The member is remembered as ended, so that a delayed reservation
            # is refused.
            task = _Task(
                order.job_id, order.attempt, order.member, (), 0.0, now
            )
            self._tasks[order.attempt, order.member] = task
        if task.state in _LIVE:
            self._end(task, TaskState.STOPPED, now)
        if task.state is TaskState.SUCCEEDED:
            self._ledger.record_known_success(order.attempt, order.member)
        self._reported.pop((order.attempt, order.member), None)
        return _DONE

    def _change_task(
        self, kind: OrderKind, task: _Task, now: float
    ) -> OrderResult:
        if task.state not in _LIVE:
            return _DONE
        if kind is OrderKind.STOP:
            self._end(task, TaskState.STOPPED, now)
        elif kind is OrderKind.THROTTLE:
            task.throttled = True
        elif task.state is TaskState.RUNNING:
            task.checkpoint = self._ledger.save_checkpoint(
                task.job_id, task.attempt, task.member, task.progress_s(now)
            )
            self._pause(task, now)
        elif task.state is TaskState.RESERVED:
            return _refused("a task that never started has no checkpoint")
        return _DONE


def _refused(detail: str) -> OrderResult:
    return OrderResult(OrderOutcome.REFUSED, detail)
