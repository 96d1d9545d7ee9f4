"""The protocol of an attempt, from the durable intent to its end.

A gang is reserved on all of its workers under one attempt id and epoch, then
started. A member is inactive once it certainly does not run and never will.
The accelerators of a job are released only when all its members are inactive.
"""

from __future__ import annotations

import msgspec

from pomeloarch_core.gang import recovery
from pomeloarch_core.gang.jobs import AttemptOutcome, Job, Phase
from pomeloarch_core.gang.messages import (
    Decision,
    JobState,
    OrderKind,
    OrderOutcome,
    TaskReport,
    TaskState,
    WorkerOrder,
)
from pomeloarch_core.gang.orders import ENDED_STATES, OrderSender
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.timers import Timers
from pomeloarch_core.ids import AttemptId, Epoch, WorkerId

# The interval at which orders without an answer are repeated.
ORDER_RETRY_S = 1.0
# How long all workers may take to confirm the reservations, then the starts.
START_TIMEOUT_S = 4.0
# How long the workers of an attempt may take to report after a takeover.
RECOVERY_TIMEOUT_S = 30.0
# Attempts with a failed member after which even an idempotent job fails.
MAX_FAILED_ATTEMPTS = 3
# Number of reports in a row without a member after which it counts as lost.
_MAX_MISSED_REPORTS = 2

_ACTIVE_PHASES = frozenset(
    {Phase.RESERVING, Phase.STARTING, Phase.RUNNING, Phase.CHECKPOINTING}
)


class MemberFailure(msgspec.Struct, frozen=True):
    """A member of a job that failed on a worker or was refused by it."""

    job: Job
    worker_id: WorkerId


class Attempts:
    """Runs the attempts of jobs from the reservation to the end.

    Args:
      epoch: the epoch that the orders carry.
      records: writes the jobs' records.
      timers: the deadlines of jobs.
      decisions: the list to which decisions are appended.

    Attributes:
      finished: jobs whose attempt has ended, to be processed by the caller.
      failures: failures of members, to be processed by the caller.
    """

    def __init__(
        self,
        epoch: Epoch,
        records: Records,
        timers: Timers,
        decisions: list[Decision],
    ) -> None:
        """Creates the protocol without attempts in progress."""
        self._epoch = epoch
        self._orders = OrderSender(epoch, decisions)
        self._records = records
        self._timers = timers
        self.finished: list[Job] = []
        self.failures: list[MemberFailure] = []

    def begin(self, job: Job, now: float) -> None:
        """Begins a new attempt of a placed job; writes the intent first."""
        job.attempts += 1
        job.attempt = AttemptId(f"{job.job_id}.{self._epoch}.{job.attempts}")
        job.phase = Phase.WRITING
        job.outcome = None
        job.adopted = job.has_run = False
        job.start_sent = job.start_resent = False
        job.task_states = [None] * job.spec.members
        job.inactive_members = set()
        job.released_members = set()
        job.missed_reports = {}
        self._records.change(
            job,
            state=JobState.STARTING,
            attempt=job.attempt,
            attempts=job.attempts,
            placement=job.placement,
            cells=job.cells,
            reason="placed; its workers are being reserved",
        )

    def handle_intent_written(self, job: Job, now: float) -> None:
        """Reserves all members, now that the intent is durable."""
        if job.phase is Phase.WRITING and job.durable.attempt == job.attempt:
            job.phase = Phase.RESERVING
            self._orders.send_all(job, OrderKind.RESERVE)
            self._set_deadline(job, START_TIMEOUT_S, now)

    def _set_deadline(self, job: Job, seconds: float, now: float) -> None:
        job.deadline = now + seconds
        self._timers.add(job.deadline, job.job_id)
        self._retry_later(job, now)

    def handle_answer(
        self, job: Job, order: WorkerOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Handles the outcome of an order to a worker."""
        if order.attempt != job.attempt:
            return
        match order.kind, outcome:
            case (OrderKind.RESERVE, OrderOutcome.DONE):
                self._mark_reserved(job, order.member, now)
            case (OrderKind.START, OrderOutcome.DONE):
                self._mark_started(job, order.member, now)
            case (
                (OrderKind.RESERVE | OrderKind.START),
                OrderOutcome.REFUSED,
            ):
                self._handle_refusal(job, order, now)
            case ((OrderKind.RELEASE | OrderKind.STOP), OrderOutcome.DONE):
                if job.phase is Phase.ENDING:
                    self._mark_inactive(job, order.member, now)
            case (OrderKind.RESERVE, OrderOutcome.UNKNOWN):
                if job.phase is Phase.RESERVING:
                    self.abort(job, "a worker's answer was lost", now)

    def _mark_reserved(self, job: Job, member: int, now: float) -> None:
        if job.phase is not Phase.RESERVING:
            return
        if job.task_states[member] is None:
            job.task_states[member] = TaskState.RESERVED
        if all(task is not None for task in job.task_states):
            job.phase = Phase.STARTING
            job.start_sent = True
            self._orders.send_all(job, OrderKind.START)
            self._set_deadline(job, START_TIMEOUT_S, now)

    def _mark_started(self, job: Job, member: int, now: float) -> None:
        if job.phase is not Phase.STARTING:
            return
        if job.task_states[member] in (None, TaskState.RESERVED):
            job.task_states[member] = TaskState.RUNNING
        self._check_running(job, now)

    def _check_running(self, job: Job, now: float) -> None:
        if job.phase is Phase.STARTING and all(
            task in recovery.STARTED_STATES for task in job.task_states
        ):
            job.phase = Phase.RUNNING
            job.has_run = True
            job.started_at = now
            job.retries = 0
            self._records.change(
                job, state=JobState.RUNNING, reason="all members run"
            )

    def _handle_refusal(self, job: Job, order: WorkerOrder, now: float) -> None:
        if job.phase not in (Phase.RESERVING, Phase.STARTING):
            return
        if job.task_states[order.member] in recovery.STARTED_STATES:
            return
        # The only member was not started if its only START was refused.
        is_first_start = order.kind is OrderKind.START and not job.start_resent
        if is_first_start and job.spec.members == 1:
            job.start_sent = False
        job.failed_workers.add(order.worker_id)
        self.failures.append(MemberFailure(job, order.worker_id))
        self.abort(job, f"worker {order.worker_id} refused it", now)

    def handle_report(
        self, job: Job, member: int, task: TaskReport | None, now: float
    ) -> None:
        """Handles what a worker's report says of a member.

        Args:
          job: the job.
          member: the member's index.
          task: the member's entry in the report, None if there is none.
          now: the current time, in seconds.
        """
        if job.phase is Phase.RECOVERING:
            if recovery.record_report(job, member, task):
                self._resolve_takeover(job, now)
        elif task is None:
            self._handle_missing(job, member, now)
        else:
            job.missed_reports.pop(member, None)
            self._update_member(job, member, task, now)

    def _update_member(
        self, job: Job, member: int, task: TaskReport, now: float
    ) -> None:
        if task.checkpoint and task.checkpoint != job.record.checkpoint:
            job.record = msgspec.structs.replace(
                job.record, checkpoint=task.checkpoint
            )
        if task.state is TaskState.RESERVED:
            self._mark_reserved(job, member, now)
            return
        if job.phase is Phase.RESERVING:
            return
        job.task_states[member] = task.state
        if job.phase is Phase.ENDING:
            if task.state in ENDED_STATES:
                self._mark_inactive(job, member, now)
            return
        if job.phase in _ACTIVE_PHASES:
            self._check_running(job, now)
            self._check_progress(job, member, task.state, now)

    def _check_progress(
        self, job: Job, member: int, state: TaskState, now: float
    ) -> None:
        if all(task is TaskState.SUCCEEDED for task in job.task_states):
            self.end(
                job, AttemptOutcome.SUCCEEDED, "all members succeeded", now
            )
        elif state is TaskState.FAILED:
            worker_id = job.placement[member].worker_id
            self.failures.append(MemberFailure(job, worker_id))
            job.failures += 1
            job.failed_workers.add(worker_id)
            self._end_failed(job, f"member {member} failed on {worker_id}", now)
        elif state is TaskState.STOPPED:
            self.abort(job, f"member {member} was stopped", now)
        elif job.phase is Phase.CHECKPOINTING and all(
            task in (TaskState.CHECKPOINTED, TaskState.SUCCEEDED)
            for task in job.task_states
        ):
            self.end(job, AttemptOutcome.REQUEUED, job.end_reason, now)

    def _end_failed(self, job: Job, reason: str, now: float) -> None:
        may_repeat = job.spec.idempotent and job.failures < MAX_FAILED_ATTEMPTS
        outcome = (
            AttemptOutcome.REQUEUED if may_repeat else AttemptOutcome.FAILED
        )
        self.end(job, outcome, reason, now)

    def _handle_missing(self, job: Job, member: int, now: float) -> None:
        if job.phase is Phase.ENDING:
            # The worker may have restarted. A release keeps it from carrying
            # out late copies of the orders to start the member.
            if member not in job.inactive_members | job.released_members:
                job.released_members.add(member)
                self._orders.send(job, member, OrderKind.RELEASE)
        elif job.phase in (Phase.RUNNING, Phase.CHECKPOINTING):
            missed = job.missed_reports.get(member, 0) + 1
            job.missed_reports[member] = missed
            done = job.task_states[member] is TaskState.SUCCEEDED
            if missed >= _MAX_MISSED_REPORTS and not done:
                self.abort(job, f"member {member} is gone", now)

    def handle_worker_loss(
        self, job: Job, worker_id: WorkerId, now: float
    ) -> None:
        """Handles a worker whose tasks' leases expired without an answer."""
        members = job.members_on(worker_id)
        if job.phase is Phase.RECOVERING:
            job.inactive_members.update(members)
            for member in members:
                # What it reported before it was lost doesn't hold any more.
                if job.task_states[member] not in ENDED_STATES:
                    job.task_states[member] = None
            if [
                m
                for m in members
                if recovery.record_report(job, m, None, lost=True)
            ]:
                self._resolve_takeover(job, now)
            return
        running = [
            m for m in members if job.task_states[m] is not TaskState.SUCCEEDED
        ]
        if job.phase in _ACTIVE_PHASES and running:
            self.abort(job, f"worker {worker_id} does not answer", now)
        if job.phase is Phase.ENDING:
            for member in members:
                self._mark_inactive(job, member, now)

    def adopt(self, job: Job, now: float) -> None:
        """Takes over an attempt that an earlier scheduler began.

        What becomes of it is decided once its workers have reported.
        """
        job.phase = Phase.RECOVERING
        job.adopted = True
        job.attempt = job.record.attempt
        job.task_states = [None] * len(job.placement)
        job.inactive_members = set()
        job.released_members = set()
        job.missed_reports = {}
        job.start_sent = job.start_resent = True
        self._set_deadline(job, RECOVERY_TIMEOUT_S, now)

    def _resolve_takeover(self, job: Job, now: float) -> None:
        """Decides on an adopted attempt whose workers have all reported."""
        match recovery.assess(job):
            case recovery.TakeoverFinding.WHOLE:
                self._resume(job, now)
            case recovery.TakeoverFinding.FAILED:
                job.phase = Phase.RUNNING
                self._end_failed(job, "a member failed during a takeover", now)
            case finding:
                job.phase = Phase.RUNNING
                job.start_sent = (
                    finding is not recovery.TakeoverFinding.NOT_STARTED
                )
                self.abort(job, "found incomplete after a takeover", now)

    def _resume(self, job: Job, now: float) -> None:
        job.phase = Phase.STARTING
        self._orders.send_to_members_in(
            job, {TaskState.RESERVED}, OrderKind.START
        )
        self._set_deadline(job, START_TIMEOUT_S, now)
        self._check_running(job, now)
        if job.phase is Phase.RUNNING:
            self._check_progress(job, 0, TaskState.RUNNING, now)

    def abort(self, job: Job, reason: str, now: float) -> None:
        """Ends an attempt whose state is in doubt.

        The job is queued again if it is idempotent or certainly was not
        started; otherwise its outcome is unknown.
        """
        if job.spec.idempotent or not job.start_sent:
            if not job.start_sent:
                job.retries += 1
            self.end(job, AttemptOutcome.REQUEUED, reason, now)
        else:
            reason = f"{reason}; it may have run and is not started again"
            self.end(job, AttemptOutcome.UNKNOWN, reason, now)

    def checkpoint(
        self, job: Job, grace_s: float, reason: str, now: float
    ) -> None:
        """Asks for a checkpoint and stops the job.

        The job is stopped once all members have written their checkpoints
        or its grace is over; at once unless all of them run.
        """
        if job.phase is not Phase.RUNNING:
            self.end(job, AttemptOutcome.REQUEUED, reason, now)
            return
        job.phase = Phase.CHECKPOINTING
        job.end_reason = reason
        job.deadline = now + grace_s
        self._timers.add(job.deadline, job.job_id)
        self._orders.send_all(job, OrderKind.CHECKPOINT)

    def throttle(self, job: Job) -> None:
        """Orders the throttling of all members of a job."""
        self._orders.send_all(job, OrderKind.THROTTLE)

    def shorten_grace(self, job: Job, grace_s: float, now: float) -> None:
        """Shortens the remaining grace of a job that is being checkpointed."""
        if job.phase is Phase.CHECKPOINTING and job.deadline > now + grace_s:
            job.deadline = now + grace_s
            self._timers.add(job.deadline, job.job_id)

    def end(
        self, job: Job, outcome: AttemptOutcome, reason: str, now: float
    ) -> None:
        """Ends an attempt by stopping or releasing all its members.

        The outcome takes effect once all members are inactive.
        """
        job.end_reason = reason
        job.outcome = outcome
        ordered = job.phase not in (Phase.WRITING, Phase.WAITING_FOR_VICTIMS)
        job.phase = Phase.ENDING
        for member, task in enumerate(job.task_states):
            if task in ENDED_STATES or not ordered:
                job.inactive_members.add(member)
            elif member not in job.inactive_members:
                self._orders.send(
                    job, member, self._end_order_kind(job, member)
                )
        if len(job.inactive_members) < len(job.task_states):
            self._retry_later(job, now)
        else:
            self._finish(job)

    def _end_order_kind(self, job: Job, member: int) -> OrderKind:
        if member in job.released_members or not job.start_sent:
            return OrderKind.RELEASE
        return OrderKind.STOP

    def _mark_inactive(self, job: Job, member: int, now: float) -> None:
        job.inactive_members.add(member)
        if len(job.inactive_members) == len(job.task_states):
            self._finish(job)

    def _finish(self, job: Job) -> None:
        ended_well = job.task_states and all(
            task is TaskState.SUCCEEDED for task in job.task_states
        )
        if ended_well:
            job.outcome = AttemptOutcome.SUCCEEDED
            job.end_reason = "all members succeeded"
        job.phase = Phase.CLOSED
        self.finished.append(job)

    def handle_timer(self, job: Job, now: float) -> None:
        """Handles a timer of a job: a deadline or a retry may be due."""
        match job.phase:
            case Phase.CHECKPOINTING if now >= job.deadline:
                self.end(job, AttemptOutcome.REQUEUED, job.end_reason, now)
            case Phase.RESERVING | Phase.STARTING if now >= job.deadline:
                self.abort(job, "its workers did not answer in time", now)
            case Phase.STARTING if now >= job.retry_at:
                job.start_resent = True
                self._orders.send_to_members_in(
                    job, {TaskState.RESERVED}, OrderKind.START
                )
                self._retry_later(job, now)
            case Phase.RECOVERING if now >= job.deadline:
                self._end_recovery(job, now)
            case Phase.ENDING if now >= job.retry_at:
                for member in range(len(job.task_states)):
                    if member not in job.inactive_members:
                        self._orders.send(
                            job, member, self._end_order_kind(job, member)
                        )
                self._retry_later(job, now)

    def _retry_later(self, job: Job, now: float) -> None:
        job.retry_at = now + ORDER_RETRY_S
        self._timers.add(job.retry_at, job.job_id)

    def _end_recovery(self, job: Job, now: float) -> None:
        recovery.mark_unreported_lost(job)
        self._resolve_takeover(job, now)
