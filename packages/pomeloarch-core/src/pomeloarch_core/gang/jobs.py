"""A job as the scheduler of its zone holds it in memory."""

from __future__ import annotations

import enum

from pomeloarch_core.gang.messages import (
    JobRecord,
    JobSpec,
    Member,
    TaskState,
)
from pomeloarch_core.gang.workers import Standing
from pomeloarch_core.ids import AttemptId, JobId, WorkerId
from pomeloarch_core.objects.model import JobClass, Urgency


class Phase(enum.Enum):
    """How far the current attempt of a job has come."""

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


_ORDERED = frozenset(
    {
        Phase.RESERVING,
        Phase.STARTING,
        Phase.RUNNING,
        Phase.CHECKPOINTING,
        Phase.ENDING,
        Phase.RECOVERING,
    }
)


class Ending(enum.Enum):
    """What becomes of a job once all its members are quiet."""

    REQUEUED = "requeued"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Job:
    """One job that has not reached its final state.

    Attributes:
      record: what its row should say.
      durable: what its row said last, as far as is known.
      in_flight: the record of which a write is in progress.
      job_class: its class in the generation in force.
      phase: how far its current attempt has come.
      ending: what becomes of it in the phase ENDING.
      standing: what its accelerators are to others.
      share_standing: the standing under which it was counted in shares.
      placement: the places of its members.
      tasks: what is known of each member.
      quiet: the members that certainly don't run and never will.
      awaited: accelerators that its victims still hold.
      starts_sent: whether a START of this attempt may have been sent.
      start_repeated: whether a START was sent more than once.
      retry_at: when orders without an answer are sent again, in seconds.
      attempt: the id of its current attempt.
      attempts: how many attempts were begun.
      failures: how many attempts ended with a failed member.
      failed_on: the workers on which a member failed.
      avoid_until: until when it avoids these, in seconds.
      adopted: whether its attempt was begun by an earlier epoch.
      running: whether all members of its attempt have run.
      ran_s: how long its earlier attempts ran, in seconds.
      retries: attempts in a row that ended without a start.
      not_before: when it may be placed again, in seconds.
      queued_at: since when it has been waiting, in seconds.
      started_at: when its last attempt was running, in seconds.
      missing: reports in a row in which a member was missing.
      deadline: when its grace is over, in seconds.
      cancelled: whether its caller does not want it any more.
      waits_for: what it lacked when it was last tried.
      expected_at: when a reservation has it start, in seconds.
      cells: the names of the cells that its members stand in.
      overuses: how often it was checkpointed for overuse.
    """

    def __init__(
        self, record: JobRecord, job_class: JobClass, now: float
    ) -> None:
        """Makes a queued job from its row."""
        self.record = record
        self.durable = record
        self.in_flight: JobRecord | None = None
        self.job_class = job_class
        self.phase = Phase.QUEUED
        self.ending: Ending | None = None
        self.end_reason = ""
        self.standing = Standing.BORROWED
        self.share_standing = Standing.BORROWED
        self.placement: tuple[Member, ...] = ()
        self.tasks: list[TaskState | None] = []
        self.quiet: set[int] = set()
        self.awaited = 0
        self.starts_sent = False
        self.start_repeated = False
        self.retry_at = now
        self.attempt: AttemptId | None = record.attempt
        self.attempts = record.attempts
        self.failures = 0
        self.failed_on: set[WorkerId] = set()
        self.avoid_until = now
        self.adopted = False
        self.running = False
        self.ran_s = 0.0
        self.retries = 0
        self.not_before = now
        self.queued_at = now
        self.started_at = now
        self.missing: dict[int, int] = {}
        self.deadline = now
        self.overuses = 0
        self.cancelled = False
        self.waits_for = ""
        self.expected_at: float | None = None
        self.cells = record.cells

    @property
    def job_id(self) -> JobId:
        """Its id."""
        return self.record.spec.job_id

    @property
    def spec(self) -> JobSpec:
        """What its caller asked for."""
        return self.record.spec

    @property
    def size(self) -> int:
        """Accelerators of all its members."""
        return self.spec.members * self.spec.accelerators

    @property
    def preemptible(self) -> bool:
        """Whether it may be stopped and started again later."""
        return self.job_class.preemptible and self.spec.idempotent

    @property
    def urgent(self) -> bool:
        """Whether its class is of the most urgent kind."""
        return self.job_class.urgency is Urgency.URGENT

    @property
    def borrowing(self) -> Standing:
        """Its standing outside of a guaranteed shape of its owner."""
        if not self.preemptible:
            return Standing.FIXED
        return Standing.BORROWED_URGENT if self.urgent else Standing.BORROWED

    @property
    def ordered(self) -> bool:
        """Whether workers may know its current attempt."""
        return self.phase in _ORDERED

    @property
    def leaving(self) -> bool:
        """Whether it is on its way out of its accelerators already."""
        return self.standing is Standing.LEAVING

    @property
    def holds(self) -> bool:
        """Whether it holds accelerators or waits for promised ones."""
        return bool(self.placement)

    def members_on(self, worker_id: WorkerId) -> list[int]:
        """Returns the indices of its members on a worker."""
        return [
            index
            for index, member in enumerate(self.placement)
            if member.worker_id == worker_id
        ]
