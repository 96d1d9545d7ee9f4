"""The protocol of an attempt, from its written intent to quiet members.

A gang is reserved on all workers under one attempt and epoch, then started;
a member counts as quiet when it certainly does not run and never will. Only
a job whose members are all quiet leaves its accelerators.
"""

from __future__ import annotations

import msgspec

from pomeloarch_core.gang import recovery
from pomeloarch_core.gang.jobs import Ending, Job, Phase
from pomeloarch_core.gang.messages import (
    Decision,
    JobState,
    OrderKind,
    OrderOutcome,
    TaskReport,
    TaskState,
    WorkerOrder,
)
from pomeloarch_core.gang.orders import ENDED, Orders
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.timers import Timers
from pomeloarch_core.ids import AttemptId, Epoch, WorkerId

ORDER_RETRY_S = 1.0
START_PATIENCE_S = 4.0
RECOVERY_PATIENCE_S = 30.0
GONE_WORKER_QUIET_S = 30.0
MAX_FAILED_ATTEMPTS = 3
_MISSING_REPORTS = 2

_ACTIVE = frozenset(
    {Phase.RESERVING, Phase.STARTING, Phase.RUNNING, Phase.CHECKPOINTING}
)


class Failure(msgspec.Struct, frozen=True):
    """A member of a job failed on a worker."""

    job: Job
    worker_id: WorkerId


class Attempts:
    """Runs attempts of jobs through reserve, start and end.

    Args:
      epoch: the epoch that the orders carry.
      records: writes of jobs' records.
      timers: deadlines of jobs.
      out: where decisions are collected.
    """

    def __init__(
        self,
        epoch: Epoch,
        records: Records,
        timers: Timers,
        out: list[Decision],
    ) -> None:
        """Keeps what the orders need."""
        self._epoch = epoch
        self._orders = Orders(epoch, out)
        self._records = records
        self._timers = timers
        self.finished: list[Job] = []
        self.failures: list[Failure] = []

    # ---- from intent to running

    def begin(self, job: Job, now: float) -> None:
        """Writes the intent to start a placed job under a new attempt."""
        job.attempts += 1
        job.attempt = AttemptId(f"{job.job_id}.{self._epoch}.{job.attempts}")
        job.phase = Phase.WRITING
        job.ending = None
        job.adopted = job.running = False
        job.starts_sent = job.start_repeated = False
        job.tasks = [None] * job.spec.members
        job.quiet = set()
        job.missing = {}
        self._records.change(
            job,
            state=JobState.STARTING,
            attempt=job.attempt,
            attempts=job.attempts,
            placement=job.placement,
            cells=job.cells,
            reason="placed; its workers are being reserved",
        )

    def intent_written(self, job: Job, now: float) -> None:
        """Reserves all members once the intent is durable."""
        if job.phase is Phase.WRITING and job.durable.attempt == job.attempt:
            job.phase = Phase.RESERVING
            self._orders.send_all(job, OrderKind.RESERVE)
            self._patience(job, START_PATIENCE_S, now)

    def _patience(self, job: Job, seconds: float, now: float) -> None:
        job.deadline = now + seconds
        self._timers.add(job.deadline, job.job_id)
        self._retry_later(job, now)

    def answered(
        self, job: Job, order: WorkerOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Takes the outcome of an order in."""
        if order.attempt != job.attempt:
            return
        match order.kind, outcome:
            case (OrderKind.RESERVE, OrderOutcome.DONE):
                self._reserved(job, order.member, now)
            case (OrderKind.START, OrderOutcome.DONE):
                self._begun(job, order.member, now)
            case (
                (OrderKind.RESERVE | OrderKind.START),
                OrderOutcome.REFUSED,
            ):
                self._refused(job, order, now)
            case ((OrderKind.RELEASE | OrderKind.STOP), OrderOutcome.DONE):
                if job.phase is Phase.ENDING:
                    self._silence(job, order.member, now)
            case (OrderKind.RESERVE, OrderOutcome.UNKNOWN):
                if job.phase is Phase.RESERVING:
                    self.give_up(job, "a worker's answer was lost", now)

    def _reserved(self, job: Job, member: int, now: float) -> None:
        if job.phase is not Phase.RESERVING:
            return
        if job.tasks[member] is None:
            job.tasks[member] = TaskState.RESERVED
        if all(task is not None for task in job.tasks):
            job.phase = Phase.STARTING
            job.starts_sent = True
            self._orders.send_all(job, OrderKind.START)
            self._patience(job, START_PATIENCE_S, now)

    def _begun(self, job: Job, member: int, now: float) -> None:
        if job.phase is not Phase.STARTING:
            return
        if job.tasks[member] in (None, TaskState.RESERVED):
            job.tasks[member] = TaskState.RUNNING
        self._check_running(job, now)

    def _check_running(self, job: Job, now: float) -> None:
        if job.phase is Phase.STARTING and all(
            task in recovery.BEGUN for task in job.tasks
        ):
            job.phase = Phase.RUNNING
            job.running = True
            job.started_at = now
            job.retries = 0
            self._records.change(
                job, state=JobState.RUNNING, reason="all members run"
            )

    def _refused(self, job: Job, order: WorkerOrder, now: float) -> None:
        if job.phase not in (Phase.RESERVING, Phase.STARTING):
            return
        if job.tasks[order.member] in recovery.BEGUN:
            return
        first = order.kind is OrderKind.START and not job.start_repeated
        if first and job.spec.members == 1:
            job.starts_sent = False
        job.failed_on.add(order.worker_id)
        self.failures.append(Failure(job, order.worker_id))
        self.give_up(job, f"worker {order.worker_id} refused it", now)

    # ---- what workers report

    def reported(
        self, job: Job, member: int, task: TaskReport | None, now: float
    ) -> None:
        """Takes in what a member's worker says of it, None for nothing."""
        if job.phase is Phase.RECOVERING:
            if recovery.hear(job, member, task):
                self._resolve(job, now)
        elif task is None:
            self._missing(job, member, now)
        else:
            job.missing.pop(member, None)
            self._seen(job, member, task, now)

    def _seen(
        self, job: Job, member: int, task: TaskReport, now: float
    ) -> None:
        if task.checkpoint and task.checkpoint != job.record.checkpoint:
            job.record = msgspec.structs.replace(
                job.record, checkpoint=task.checkpoint
            )
        if task.state is TaskState.RESERVED:
            self._reserved(job, member, now)
            return
        if job.phase is Phase.RESERVING:
            return
        job.tasks[member] = task.state
        if job.phase is Phase.ENDING:
            if task.state in ENDED:
                self._silence(job, member, now)
            return
        if job.phase in _ACTIVE:
            self._check_running(job, now)
            self._progress(job, member, task.state, now)

    def _progress(
        self, job: Job, member: int, state: TaskState, now: float
    ) -> None:
        if all(task is TaskState.SUCCEEDED for task in job.tasks):
            self.end(job, Ending.SUCCEEDED, "all members succeeded", now)
        elif state is TaskState.FAILED:
            worker_id = job.placement[member].worker_id
            self.failures.append(Failure(job, worker_id))
            job.failures += 1
            job.failed_on.add(worker_id)
            self._failed(job, f"member {member} failed on {worker_id}", now)
        elif state is TaskState.STOPPED:
            self.give_up(job, f"member {member} was stopped", now)
        elif job.phase is Phase.CHECKPOINTING and all(
            task in (TaskState.CHECKPOINTED, TaskState.SUCCEEDED)
            for task in job.tasks
        ):
            self.end(job, Ending.REQUEUED, job.end_reason, now)

    def _failed(self, job: Job, reason: str, now: float) -> None:
        again = job.spec.idempotent and job.failures < MAX_FAILED_ATTEMPTS
        ending = Ending.REQUEUED if again else Ending.FAILED
        self.end(job, ending, reason, now)

    def _missing(self, job: Job, member: int, now: float) -> None:
        if job.phase is Phase.ENDING:
            self._silence(job, member, now)
        elif job.phase in (Phase.RUNNING, Phase.CHECKPOINTING):
            seen = job.missing.get(member, 0) + 1
            job.missing[member] = seen
            done = job.tasks[member] is TaskState.SUCCEEDED
            if seen >= _MISSING_REPORTS and not done:
                self.give_up(job, f"member {member} is gone", now)

    def lost_worker(self, job: Job, worker_id: WorkerId, now: float) -> None:
        """Takes in that a worker's leases have run out without an answer."""
        members = job.members_on(worker_id)
        if job.phase is Phase.RECOVERING:
            if [m for m in members if recovery.hear(job, m, None, lost=True)]:
                self._resolve(job, now)
            return
        running = [
            m for m in members if job.tasks[m] is not TaskState.SUCCEEDED
        ]
        if job.phase in _ACTIVE and running:
            self.give_up(job, f"worker {worker_id} does not answer", now)
        if job.phase is Phase.ENDING:
            for member in members:
                self._silence(job, member, now)

    # ---- after a takeover

    def adopt(self, job: Job, now: float) -> None:
        """Waits for the workers of an attempt that another one began."""
        job.phase = Phase.RECOVERING
        job.adopted = True
        job.attempt = job.record.attempt
        job.tasks = [None] * len(job.placement)
        job.quiet = set()
        job.missing = {}
        job.starts_sent = job.start_repeated = True
        self._patience(job, RECOVERY_PATIENCE_S, now)

    def _resolve(self, job: Job, now: float) -> None:
        """Decides on an attempt of which all workers have been heard."""
        match recovery.finding(job):
            case recovery.Finding.WHOLE:
                self._go_on(job, now)
            case recovery.Finding.FAILED:
                job.phase = Phase.RUNNING
                self._failed(job, "a member failed during a takeover", now)
            case found:
                job.phase = Phase.RUNNING
                job.starts_sent = found is not recovery.Finding.NOT_STARTED
                self.give_up(job, "found incomplete after a takeover", now)

    def _go_on(self, job: Job, now: float) -> None:
        job.phase = Phase.STARTING
        self._orders.send_in(job, {TaskState.RESERVED}, OrderKind.START)
        self._patience(job, START_PATIENCE_S, now)
        self._check_running(job, now)
        if job.phase is Phase.RUNNING:
            self._progress(job, 0, TaskState.RUNNING, now)

    # ---- towards the end

    def give_up(self, job: Job, reason: str, now: float) -> None:
        """Ends an attempt after a doubt, by what may be done again."""
        if job.spec.idempotent or not job.starts_sent:
            if not job.starts_sent:
                job.retries += 1
            self.end(job, Ending.REQUEUED, reason, now)
        else:
            reason = f"{reason}; it may have run and is not started again"
            self.end(job, Ending.UNKNOWN, reason, now)

    def checkpoint(
        self, job: Job, grace_s: float, reason: str, now: float
    ) -> None:
        """Asks for a checkpoint and stops the job once its grace is over."""
        if job.phase is not Phase.RUNNING:
            self.end(job, Ending.REQUEUED, reason, now)
            return
        job.phase = Phase.CHECKPOINTING
        job.end_reason = reason
        job.deadline = now + grace_s
        self._timers.add(job.deadline, job.job_id)
        self._orders.send_all(job, OrderKind.CHECKPOINT)

    def throttle(self, job: Job) -> None:
        """Has all members of a job throttled."""
        self._orders.send_all(job, OrderKind.THROTTLE)

    def hasten(self, job: Job, grace_s: float, now: float) -> None:
        """Shortens the grace of a job that is being checkpointed."""
        if job.phase is Phase.CHECKPOINTING and job.deadline > now + grace_s:
            job.deadline = now + grace_s
            self._timers.add(job.deadline, job.job_id)

    def end(self, job: Job, ending: Ending, reason: str, now: float) -> None:
        """Stops or releases all members; the ending follows when all are."""
        job.end_reason = reason
        job.ending = ending
        ordered = job.phase not in (Phase.WRITING, Phase.WAITING_FOR_VICTIMS)
        job.phase = Phase.ENDING
        for member, task in enumerate(job.tasks):
            if task in ENDED or not ordered:
                job.quiet.add(member)
            elif member not in job.quiet:
                self._orders.send(job, member, self._end_kind(job))
        if len(job.quiet) < len(job.tasks):
            self._retry_later(job, now)
        else:
            self._finish(job)

    def _end_kind(self, job: Job) -> OrderKind:
        return OrderKind.STOP if job.starts_sent else OrderKind.RELEASE

    def _silence(self, job: Job, member: int, now: float) -> None:
        job.quiet.add(member)
        if len(job.quiet) == len(job.tasks):
            self._finish(job)

    def _finish(self, job: Job) -> None:
        ended_well = job.tasks and all(
            task is TaskState.SUCCEEDED for task in job.tasks
        )
        if ended_well:
            job.ending = Ending.SUCCEEDED
            job.end_reason = "all members succeeded"
        job.phase = Phase.CLOSED
        self.finished.append(job)

    # ---- time

    def due(self, job: Job, now: float) -> None:
        """Looks at a job again whose time may have come."""
        match job.phase:
            case Phase.CHECKPOINTING if now >= job.deadline:
                self.end(job, Ending.REQUEUED, job.end_reason, now)
            case Phase.RESERVING | Phase.STARTING if now >= job.deadline:
                self.give_up(job, "its workers did not answer in time", now)
            case Phase.STARTING if now >= job.retry_at:
                job.start_repeated = True
                self._orders.send_in(job, {TaskState.RESERVED}, OrderKind.START)
                self._retry_later(job, now)
            case Phase.RECOVERING if now >= job.deadline:
                self._stop_listening(job, now)
            case Phase.ENDING if now >= job.retry_at:
                for member in range(len(job.tasks)):
                    if member not in job.quiet:
                        self._orders.send(job, member, self._end_kind(job))
                self._retry_later(job, now)

    def _retry_later(self, job: Job, now: float) -> None:
        job.retry_at = now + ORDER_RETRY_S
        self._timers.add(job.retry_at, job.job_id)

    def _stop_listening(self, job: Job, now: float) -> None:
        recovery.stop_listening(job)
        self._resolve(job, now)
