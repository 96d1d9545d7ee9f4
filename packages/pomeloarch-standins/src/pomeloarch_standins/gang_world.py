"""A simulation of the table and the workers of one zone's gang scheduler.

Time is virtual: `GangWorld.advance` delivers events between the scheduler, the
table and the workers in the order of their times.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from pomeloarch_core.gang.messages import (
    TICK_S,
    ClearAlert,
    Decision,
    Event,
    FleetChanged,
    JobCancelled,
    JobRecord,
    JobSpec,
    JobSubmitted,
    OrderAnswered,
    OrderKind,
    OrderOutcome,
    RaiseAlert,
    RecordNotWritten,
    RecordWritten,
    TaskReport,
    TaskState,
    Tick,
    WorkerInfo,
    WorkerOrder,
    WorkerReported,
    WorkerUnreachable,
    WriteRecord,
)
from pomeloarch_core.ids import (
    AttemptId,
    Epoch,
    JobId,
    PoolName,
    RackId,
    WorkerId,
    ZoneName,
)
from pomeloarch_core.objects.model import WorkerPool

LEASE_S = 5.0
HEARTBEAT_S = 0.5
# Time without a report after which a worker counts as unreachable, in seconds.
UNREACHABLE_S = 6.0
# Delay of a message between the scheduler and a worker, in seconds.
_MESSAGE_DELAY_S = 0.002
# Default duration of a write to the table, in seconds.
_WRITE_S = 0.01
# Time for which a worker remembers ended attempts, in seconds.
_RETENTION_S = 60.0

_Key = tuple[AttemptId, int]


class Scheduler(Protocol):
    """The interface of a scheduler under test."""

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Processes an event and returns decisions."""

    def next_wakeup(self, now: float) -> float | None:
        """Returns the time at which the next tick is due, None for none."""


class FakeTask:
    """One member of an attempt on a worker."""

    def __init__(self, order: WorkerOrder) -> None:
        """Creates a reserved task."""
        self.order = order
        self.state = TaskState.RESERVED
        self.checkpoint: str | None = None
        self.progress = 0.0
        self.usage = 1.0
        self.started_at = 0.0
        self.ended_at = 0.0


class FakeWorker:
    """A simulated worker that checks epochs, leases and accelerators.

    Attributes:
      used: the task that holds each accelerator in use.
      is_up: whether the worker's host runs.
      reachable: whether the scheduler and the worker reach each other.
      fails_all: whether all tasks that start on the worker fail.
    """

    def __init__(self, info: WorkerInfo) -> None:
        """Creates an idle worker."""
        self.info = info
        self.epoch = Epoch(0)
        self.tasks: dict[_Key, FakeTask] = {}
        self.used: dict[int, _Key] = {}
        self.lease_until = 0.0
        self.is_up = True
        self.reachable = True
        self.fails_all = False

    def reports(self) -> tuple[TaskReport, ...]:
        """Returns reports of all tasks that the worker remembers."""
        return tuple(
            TaskReport(
                attempt=attempt,
                member=member,
                state=task.state,
                usage=task.usage,
                checkpoint=task.checkpoint,
            )
            for (attempt, member), task in self.tasks.items()
        )

    def free(self, key: _Key) -> None:
        """Frees the accelerators of a task."""
        for accelerator, holder in list(self.used.items()):
            if holder == key:
                del self.used[accelerator]

    def live(self) -> list[_Key]:
        """Returns the tasks that hold accelerators."""
        return [
            key
            for key, task in self.tasks.items()
            if task.state
            in (
                TaskState.RESERVED,
                TaskState.RUNNING,
                TaskState.CHECKPOINTED,
            )
        ]


class GangWorld:
    """The table, the workers and the network of one zone.

    Args:
      scheduler: the scheduler under test; a takeover replaces it.
      epoch: the epoch of the scheduler.
      rng: a source of random numbers for tests.
      now: the initial virtual time, in seconds.

    Attributes:
      run_s: the actual run time of each job, in seconds.
      failing: the jobs whose tasks fail.
      starts: how often each job started.
      started_members: how often each member of a job started.
      first_started_at: the time of each job's first start, in seconds.
      alerts: the reasons of the raised alerts by kind and subject.
      order_fault: returns the fault of an order: "lost", "answer_lost" or
        None.
      write_delay: returns the duration of a write to the table, in seconds.
      log: the events and decisions with their times, None when not recorded.
      on_handled: called with each event and the resulting decisions.
      collisions: the number of reservations of accelerators that were not free.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        epoch: Epoch,
        rng: random.Random,
        now: float = 0.0,
    ) -> None:
        """Creates a zone without workers."""
        self.scheduler = scheduler
        self.epoch = epoch
        self.now = now
        self.rng = rng
        self.workers: dict[WorkerId, FakeWorker] = {}
        self.table: dict[JobId, JobRecord] = {}
        self.role_epoch = epoch
        self.run_s: dict[JobId, float] = {}
        self.failing: set[JobId] = set()
        self.checkpoint_s = 0.3
        self.starts: Counter[JobId] = Counter()
        self.started_members: Counter[tuple[JobId, int]] = Counter()
        self.first_started_at: dict[JobId, float] = {}
        self.ended_at: dict[JobId, float] = {}
        self.submitted_at: dict[JobId, float] = {}
        self.alerts: dict[tuple[str, str], str] = {}
        self.order_fault: Callable[[WorkerOrder], str | None] = lambda _: None
        self.write_delay: Callable[[], float] = lambda: _WRITE_S
        self.log: list[tuple[float, Event | Decision]] | None = None
        self.on_handled: Callable[[Event, list[Decision]], None] | None = None
        self.collisions = 0
        self.heartbeat_s = HEARTBEAT_S
        self.tick_s = TICK_S
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._wake_at: float | None = None
        self._read_records: dict[JobId, JobRecord] = {}
        self._last_heard: dict[WorkerId, float] = {}
        self._reported_unreachable: set[WorkerId] = set()
        self._after(self.heartbeat_s, self._send_heartbeats)
        self._after(self.tick_s, self._tick_periodically)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        entry = (self.now + delay_s, self._sequence, action)
        heapq.heappush(self._heap, entry)

    def advance(self, seconds: float) -> None:
        """Advances the virtual time by some seconds."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until

    def send_event(self, event: Event) -> None:
        """Sends an event to the scheduler and carries out its decisions."""
        if self.log is not None:
            self.log.append((self.now, event))
        decisions = self.scheduler.handle(event, self.now)
        if self.log is not None:
            self.log.extend((self.now, d) for d in decisions)
        if self.on_handled is not None:
            self.on_handled(event, decisions)
        for decision in decisions:
            self._carry_out(decision)
        self._schedule_wakeup()

    def _schedule_wakeup(self) -> None:
        at = self.scheduler.next_wakeup(self.now)
        if at is None:
            return
        at = max(at, self.now + 0.001)
        if self._wake_at is None or at < self._wake_at:
            self._wake_at = at
            self._after(at - self.now, self._wake)

    def _wake(self) -> None:
        if self._wake_at is not None and self.now >= self._wake_at:
            self._wake_at = None
            self.send_event(Tick())

    def _tick_periodically(self) -> None:
        self.send_event(Tick())
        self._after(self.tick_s, self._tick_periodically)

    def _carry_out(self, decision: Decision) -> None:
        match decision:
            case WriteRecord(record):
                self._after(
                    self.write_delay(), _Call(self._write, record, self.epoch)
                )
            case WorkerOrder():
                self._after(
                    _MESSAGE_DELAY_S, _Call(self._deliver_order, decision)
                )
            case RaiseAlert(kind, subject, reason):
                self.alerts[kind.value, subject] = reason
            case ClearAlert(kind, subject):
                self.alerts.pop((kind.value, subject), None)

    def submit(
        self, spec: JobSpec, run_s: float = 10.0, *, fails: bool = False
    ) -> None:
        """Submits a job.

        Args:
          spec: the job's specification.
          run_s: its actual run time, in seconds.
          fails: whether its tasks fail.
        """
        record = JobRecord(spec)
        self.table[spec.job_id] = record
        self.run_s[spec.job_id] = run_s
        self.submitted_at[spec.job_id] = self.now
        if fails:
            self.failing.add(spec.job_id)
        self._read_records[spec.job_id] = record
        self.send_event(JobSubmitted(record))

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job by a write to its row."""
        record = self.table[job_id]
        if record.state.is_final:
            return
        record = msgspec.structs.replace(record, cancel_requested=True)
        self.table[job_id] = record
        self.send_event(JobCancelled(job_id))

    def set_fleet(self, infos: Iterable[WorkerInfo]) -> None:
        """Sets the platform's list of workers."""
        listed = tuple(infos)
        for info in listed:
            known = self.workers.get(info.worker_id)
            if known is None:
                self.workers[info.worker_id] = FakeWorker(info)
                self._last_heard[info.worker_id] = self.now
            else:
                known.info = info
        self.send_event(FleetChanged(listed))

    def take_over(self, scheduler: Scheduler) -> None:
        """Gives the role to another node's scheduler under a new epoch."""
        self.epoch = Epoch(self.epoch + 1)
        self.role_epoch = self.epoch
        self.scheduler = scheduler
        self._wake_at = None
        self.alerts.clear()
        self._read_records = dict(self.table)
        self._reported_unreachable.clear()
        for record in list(self.table.values()):
            if not record.state.is_final:
                self.send_event(JobSubmitted(record))
        self._last_heard = dict.fromkeys(self.workers, self.now)

    def _write(self, record: JobRecord, epoch: Epoch) -> None:
        job_id = record.spec.job_id
        if epoch != self.role_epoch or epoch != self.epoch:
            return
        if self.table.get(job_id) != self._read_records.get(job_id):
            found = self.table.get(job_id)
            if found is not None:
                self._read_records[job_id] = found
            self.send_event(RecordNotWritten(record, found))
            return
        self.table[job_id] = self._read_records[job_id] = record
        if record.state.is_final:
            self.ended_at[job_id] = self.now
        self.send_event(RecordWritten(record))

    def _deliver_order(self, order: WorkerOrder) -> None:
        fault = self.order_fault(order)
        worker = self.workers.get(order.worker_id)
        outcome = OrderOutcome.UNKNOWN
        arrives = worker is not None and worker.is_up and worker.reachable
        if arrives and worker is not None and fault != "lost":
            if order.epoch < worker.epoch:
                return
            worker.epoch = order.epoch
            outcome = self._carry_out_order(worker, order)
            if fault == "answer_lost":
                outcome = OrderOutcome.UNKNOWN
        delay_s = (
            _MESSAGE_DELAY_S if outcome is not OrderOutcome.UNKNOWN else 0.5
        )
        self._after(delay_s, _Call(self._deliver_answer, order, outcome))

    def _deliver_answer(
        self, order: WorkerOrder, outcome: OrderOutcome
    ) -> None:
        if order.epoch == self.epoch:
            self.send_event(OrderAnswered(order, outcome))

    def _carry_out_order(
        self, worker: FakeWorker, order: WorkerOrder
    ) -> OrderOutcome:
        key = (order.attempt, order.member)
        task = worker.tasks.get(key)
        match order.kind:
            case OrderKind.RESERVE:
                return self._reserve(worker, order, task)
            case OrderKind.START:
                return self._start(worker, order, task)
            case OrderKind.RELEASE | OrderKind.STOP:
                if task is None:
                    task = worker.tasks[key] = FakeTask(order)
                if key in worker.live():
                    task.state = TaskState.STOPPED
                task.ended_at = self.now
                worker.free(key)
            case OrderKind.CHECKPOINT:
                self._after(
                    self.checkpoint_s, _Call(self._checkpoint, worker, key)
                )
        return OrderOutcome.DONE

    def _reserve(
        self, worker: FakeWorker, order: WorkerOrder, task: FakeTask | None
    ) -> OrderOutcome:
        key = (order.attempt, order.member)
        if task is not None:
            live = key in worker.live()
            return OrderOutcome.DONE if live else OrderOutcome.REFUSED
        if any(
            a in worker.used or a >= worker.info.accelerators
            for a in order.accelerators
        ):
            self.collisions += 1
            return OrderOutcome.REFUSED
        worker.tasks[key] = FakeTask(order)
        worker.used.update(dict.fromkeys(order.accelerators, key))
        return OrderOutcome.DONE

    def _start(
        self, worker: FakeWorker, order: WorkerOrder, task: FakeTask | None
    ) -> OrderOutcome:
        if task is None:
            return OrderOutcome.REFUSED
        if task.state is not TaskState.RESERVED:
            ended = task.state is TaskState.STOPPED
            return OrderOutcome.REFUSED if ended else OrderOutcome.DONE
        task.state = TaskState.RUNNING
        task.started_at = self.now
        if order.checkpoint:
            task.progress = float(order.checkpoint)
            task.checkpoint = order.checkpoint
        if order.member == 0:
            self.starts[order.job_id] += 1
            self.first_started_at.setdefault(order.job_id, self.now)
        self.started_members[order.job_id, order.member] += 1
        remaining_s = max(
            0.05, self.run_s.get(order.job_id, 1.0) - task.progress
        )
        fails = worker.fails_all or order.job_id in self.failing
        key = (order.attempt, order.member)
        end = TaskState.FAILED if fails else TaskState.SUCCEEDED
        self._after(
            min(remaining_s, 0.2) if fails else remaining_s,
            _Call(self._end_task, worker, key, end),
        )
        return OrderOutcome.DONE

    def _checkpoint(self, worker: FakeWorker, key: _Key) -> None:
        task = worker.tasks.get(key)
        if (
            task is not None
            and task.state is TaskState.RUNNING
            and worker.is_up
        ):
            task.state = TaskState.CHECKPOINTED
            done = task.progress + self.now - task.started_at
            task.checkpoint = f"{done:.3f}"
            self._report_soon(worker)

    def _end_task(
        self, worker: FakeWorker, key: _Key, state: TaskState
    ) -> None:
        task = worker.tasks.get(key)
        if (
            task is not None
            and task.state is TaskState.RUNNING
            and worker.is_up
        ):
            task.state = state
            task.ended_at = self.now
            worker.free(key)
            self._report_soon(worker)

    def _report_soon(self, worker: FakeWorker) -> None:
        if worker.reachable:
            self._after(_MESSAGE_DELAY_S, _Call(self._report, worker))

    def _report(self, worker: FakeWorker) -> None:
        if worker.is_up and worker.reachable and worker.epoch <= self.epoch:
            worker.epoch = self.epoch
            worker.lease_until = self.now + LEASE_S
            self._last_heard[worker.info.worker_id] = self.now
            self._reported_unreachable.discard(worker.info.worker_id)
            reports = worker.reports()
            self.send_event(WorkerReported(worker.info.worker_id, reports))
            self._forget_ended(worker)

    def _forget_ended(self, worker: FakeWorker) -> None:
        """Removes attempts that ended more than `_RETENTION_S` ago."""
        live = set(worker.live())
        for key, task in list(worker.tasks.items()):
            if key not in live and self.now - task.ended_at > _RETENTION_S:
                del worker.tasks[key]

    def _send_heartbeats(self) -> None:
        for worker in list(self.workers.values()):
            if self.now > worker.lease_until:
                self._expire_lease(worker)
            self._report(worker)
            self._check_reachable(worker.info.worker_id)
        self._after(self.heartbeat_s, self._send_heartbeats)

    def _check_reachable(self, worker_id: WorkerId) -> None:
        silent_s = self.now - self._last_heard.get(worker_id, self.now)
        reported = worker_id in self._reported_unreachable
        if silent_s > UNREACHABLE_S and not reported:
            self._reported_unreachable.add(worker_id)
            self.send_event(WorkerUnreachable(worker_id))

    def _expire_lease(self, worker: FakeWorker) -> None:
        for key in worker.live():
            worker.tasks[key].state = TaskState.STOPPED
            worker.tasks[key].ended_at = self.now
            worker.free(key)

    def kill(self, worker_id: WorkerId) -> None:
        """Simulates a failure of a worker's host, which ends all its tasks."""
        worker = self.workers[worker_id]
        worker.is_up = False
        self._expire_lease(worker)

    def revive(self, worker_id: WorkerId) -> None:
        """Simulates the return of a failed host with its ended attempts."""
        self.workers[worker_id].is_up = True


class _Call:
    """A deferred call with its arguments."""

    def __init__(self, action: Callable[..., None], *args: object) -> None:
        self._action = action
        self._args = args

    def __call__(self) -> None:
        self._action(*self._args)


def worker_infos(pool: WorkerPool) -> list[WorkerInfo]:
    """Returns the platform's entries of all workers of a pool."""
    return [
        WorkerInfo(
            worker_id=WorkerId(f"{pool.name}-{rack}-{host}"),
            availability_zone=ZoneName(pool.availability_zone),
            pool=PoolName(pool.name),
            rack=RackId(f"{pool.name}-{rack}"),
            accelerators=pool.accelerators_per_host,
            memory_gb=float(pool.memory_gb_per_host),
        )
        for rack in range(pool.racks)
        for host in range(pool.hosts_per_rack)
    ]
