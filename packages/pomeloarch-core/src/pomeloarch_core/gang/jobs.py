"""The in-memory state of a job in its zone's scheduler."""

from __future__ import annotations

import enum

from pomeloarch_core.gang.messages import (
    JobRecord,
    JobSpec,
    Member,
    TaskState,
)
from pomeloarch_core.gang.workers import AllocationKind
from pomeloarch_core.ids import AttemptId, JobId, WorkerId
from pomeloarch_core.objects.model import JobClass, Urgency


class Phase(enum.Enum):
    """The phase of a job's current attempt.

    Attributes:
      QUEUED: waiting for a placement.
      WAITING_FOR_VICTIMS: placed, but evicted jobs still hold accelerators.
      WRITING: the intent to start is being written.
      RESERVING: the workers are reserving the members' accelerators.
      STARTING: the workers are starting the members.
      RUNNING: all members have been started.
      CHECKPOINTING: the members are writing checkpoints before they stop.
      ENDING: the members are being stopped or released.
      RECOVERING: after a takeover, the workers have yet to report.
      CLOSED: the attempt has ended, or the job's final record is being
        written.
    """

    QUEUED = "queued"
    WAITING_FOR_VICTIMS = "waiting_for_victims"
    WRITING = "writing"
    RESERVING = "reserving"
    STARTING = "starting"
    RUNNING = "running"
    CHECKPOINTING = "checkpointing"
    ENDING = "ending"
    RECOVERING = "recovering"
    CLOSED = "closed"


_PHASES_KNOWN_TO_WORKERS = frozenset(
    {
        Phase.RESERVING,
        Phase.STARTING,
        Phase.RUNNING,
        Phase.CHECKPOINTING,
        Phase.ENDING,
        Phase.RECOVERING,
    }
)


class AttemptOutcome(enum.Enum):
    """What becomes of a job once all members of its attempt are inactive."""

    REQUEUED = "requeued"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Job:
    """One job that has not reached its final state.

    Attributes:
      record: the record that the job's row should hold.
      durable: the last record that the row is known to hold.
      in_flight: the record that is being written, if any.
      job_class: the job's class in the generation in force.
      phase: the phase of the current attempt.
      outcome: what becomes of the job in the phase ENDING.
      end_reason: human-readable reason for the end of the attempt.
      allocation_kind: the kind under which the accelerators are held.
      counted_kind: the kind under which the job is counted in the shares.
      placement: worker and accelerators of each member.
      task_states: the last known state of each member, None if unknown.
      inactive_members: the members that certainly don't run and never will.
      released_members: the members of an ending attempt that their workers
        don't know, and that are released there.
      awaited_accelerators: accelerators that the victims still hold.
      start_sent: whether a START of this attempt may have been sent.
      start_resent: whether a START was sent more than once.
      retry_at: when unanswered orders are sent again, in seconds.
      attempt: the id of the current attempt.
      attempts: number of attempts that were begun.
      failures: number of attempts that ended with a failed member.
      failed_workers: the workers on which a member failed or that refused
        one.
      avoid_until: until when the job avoids these workers, in seconds.
      adopted: whether the attempt was begun under an earlier epoch.
      has_run: whether all members of the attempt have run.
      ran_s: how long the attempts that have ended ran, in seconds.
      retries: attempts in a row that ended without a start.
      not_before: when the job may be placed again, in seconds.
      queued_at: since when the job has been waiting, in seconds.
      started_at: when the last attempt was fully started, in seconds.
      missed_reports: for each member, reports in a row that lacked it; in
        the phase RECOVERING, a mark set by `recovery`.
      deadline: when the current phase times out or the grace ends, in
        seconds.
      cancelled: whether the job is to be cancelled.
      waits_for: what the job lacked when its placement was last tried.
      expected_start_at: the start that its reservation expects, in seconds.
      cells: the names of the cells that hold the members.
      overuse_count: how often the job was to be checkpointed or stopped for
        overuse.
    """

    def __init__(
        self, record: JobRecord, job_class: JobClass, now: float
    ) -> None:
        """Creates a queued job from its row."""
        self.record = record
        self.durable = record
        self.in_flight: JobRecord | None = None
        self.job_class = job_class
        self.phase = Phase.QUEUED
        self.outcome: AttemptOutcome | None = None
        self.end_reason = ""
        self.allocation_kind = AllocationKind.BORROWED
        self.counted_kind = AllocationKind.BORROWED
        self.placement: tuple[Member, ...] = ()
        self.task_states: list[TaskState | None] = []
        self.inactive_members: set[int] = set()
        self.released_members: set[int] = set()
        self.awaited_accelerators = 0
        self.start_sent = False
        self.start_resent = False
        self.retry_at = now
        self.attempt: AttemptId | None = record.attempt
        self.attempts = record.attempts
        self.failures = 0
        self.failed_workers: set[WorkerId] = set()
        self.avoid_until = now
        self.adopted = False
        self.has_run = False
        self.ran_s = 0.0
        self.retries = 0
        self.not_before = now
        self.queued_at = now
        self.started_at = now
        self.missed_reports: dict[int, int] = {}
        self.deadline = now
        self.overuse_count = 0
        self.cancelled = False
        self.waits_for = ""
        self.expected_start_at: float | None = None
        self.cells = record.cells

    @property
    def job_id(self) -> JobId:
        """The job's id."""
        return self.record.spec.job_id

    @property
    def spec(self) -> JobSpec:
        """The job as its caller requested it."""
        return self.record.spec

    @property
    def size(self) -> int:
        """Accelerators of all members together."""
        return self.spec.members * self.spec.accelerators

    @property
    def preemptible(self) -> bool:
        """Whether the job may be stopped and started again later."""
        return self.job_class.preemptible and self.spec.idempotent

    @property
    def urgent(self) -> bool:
        """Whether the job's class has the highest urgency."""
        return self.job_class.urgency is Urgency.URGENT

    @property
    def uncovered_kind(self) -> AllocationKind:
        """The allocation kind outside of the owner's guaranteed shapes."""
        if not self.preemptible:
            return AllocationKind.FIXED
        return (
            AllocationKind.BORROWED_URGENT
            if self.urgent
            else AllocationKind.BORROWED
        )

    @property
    def is_known_to_workers(self) -> bool:
        """Whether workers may know the job's current attempt."""
        return self.phase in _PHASES_KNOWN_TO_WORKERS

    @property
    def is_leaving(self) -> bool:
        """Whether the job is being evicted already."""
        return self.allocation_kind is AllocationKind.LEAVING

    @property
    def has_placement(self) -> bool:
        """Whether the job holds accelerators or waits for allocated ones."""
        return bool(self.placement)

    def members_on(self, worker_id: WorkerId) -> list[int]:
        """Returns the indices of the job's members on a worker."""
        return [
            index
            for index, member in enumerate(self.placement)
            if member.worker_id == worker_id
        ]
