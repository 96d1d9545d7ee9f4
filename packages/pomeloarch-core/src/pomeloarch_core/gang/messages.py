"""Events and decisions of a zone's scheduler, and the types they carry.

The node turns its inputs into events, passes each one to
`ZoneScheduler.handle(event, now)` and carries out the returned decisions.
"""

from __future__ import annotations

import enum

import msgspec

from pomeloarch_core.ids import (
    AttemptId,
    CallerName,
    Epoch,
    JobClassName,
    JobId,
    OrganisationName,
    PoolName,
    RackId,
    TeamName,
    WorkerId,
    ZoneName,
)
from pomeloarch_core.objects.model import Snapshot


class JobState(enum.Enum):
    """The durable state of a job; the last five members are final."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether a job in this state can't change its state any more."""
        return self in _FINAL


_FINAL = frozenset(
    {
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.REFUSED,
        JobState.UNKNOWN,
    }
)


class JobSpec(msgspec.Struct, frozen=True):
    """A job as its caller requested it.

    Attributes:
      job_id: the job's id.
      organisation: the organisation that owns the job.
      team: the part of the organisation whose quota the job counts against.
      caller: who submitted the job.
      job_class: the name of the job's class.
      members: number of tasks in the gang; either all of them run or none.
      accelerators: accelerators of each member, all of them on one worker.
      memory_gb: memory of each member, in GB.
      declared_run_s: the caller's estimate of the run time, in seconds.
      idempotent: whether the job may be started again when it is unknown
        whether it ran.
      submitted_at: when the job was accepted, in seconds of the wall clock.
      command: what the tasks run, opaque to the scheduler.
    """

    job_id: JobId
    organisation: OrganisationName
    job_class: JobClassName
    members: int
    accelerators: int
    memory_gb: float = 1.0
    declared_run_s: float = 60.0
    idempotent: bool = True
    team: TeamName | None = None
    caller: CallerName = CallerName("")
    submitted_at: float = 0.0
    command: str = ""


class Member(msgspec.Struct, frozen=True):
    """The worker and the accelerators of one task of a gang."""

    worker_id: WorkerId
    accelerators: tuple[int, ...]


class JobRecord(msgspec.Struct, frozen=True):
    """The durable state of a job: one row of the platform's table.

    Attributes:
      spec: the job as its caller requested it.
      state: the job's state.
      attempt: the id of the current or last attempt.
      attempts: number of attempts that were written.
      epoch: the epoch of the scheduler that wrote this record.
      placement: worker and accelerators of each member in the current
        attempt.
      checkpoint: the name of the last checkpoint, from which the job
        resumes.
      cancel_requested: whether a caller asked to cancel the job.
      reason: human-readable reason for the state.
      cells: the cell of a guaranteed shape that holds each member, as
        `shape/instance/cell`; empty outside of guarantees.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: AttemptId | None = None
    attempts: int = 0
    epoch: Epoch = Epoch(0)
    placement: tuple[Member, ...] = ()
    checkpoint: str | None = None
    cancel_requested: bool = False
    reason: str = ""
    cells: tuple[str, ...] = ()


class WorkerInfo(msgspec.Struct, frozen=True):
    """A worker as the platform's membership list describes it.

    No jobs are placed on a worker that is `leaving`.
    """

    worker_id: WorkerId
    availability_zone: ZoneName
    pool: PoolName
    rack: RackId
    accelerators: int
    memory_gb: float
    leaving: bool = False


class TaskState(enum.Enum):
    """The state of one member of an attempt, as its worker reports it."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(msgspec.Struct, frozen=True):
    """One task in a worker's report.

    Attributes:
      attempt: the attempt that the task belongs to.
      member: the task's index in the gang.
      state: the task's state.
      usage: used size over declared size; this figure lags.
      checkpoint: the name of the task's last checkpoint.
    """

    attempt: AttemptId
    member: int
    state: TaskState
    usage: float = 1.0
    checkpoint: str | None = None


class JobSubmitted(msgspec.Struct, frozen=True):
    """A job's row was read that this scheduler did not know."""

    record: JobRecord


class JobCancelled(msgspec.Struct, frozen=True):
    """A caller asked to cancel a job."""

    job_id: JobId


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A higher generation of the configuration is in force."""

    snapshot: Snapshot


class FleetChanged(msgspec.Struct, frozen=True):
    """The platform's complete list of this zone's workers was read.

    Workers that are not on it any more have left.

    Attributes:
      workers: the workers on the list.
      leases_end_in_s: time until the leases of all tasks on workers that are
        not on the list have ended, in seconds.
    """

    workers: tuple[WorkerInfo, ...]
    leases_end_in_s: float = 0.0


class WorkerReported(msgspec.Struct, frozen=True):
    """A worker reported all tasks that it knows."""

    worker_id: WorkerId
    tasks: tuple[TaskReport, ...]


class WorkerUnreachable(msgspec.Struct, frozen=True):
    """A worker has not answered for longer than its tasks' leases.

    A worker stops a task whose lease has expired, so none of them runs any
    more.
    """

    worker_id: WorkerId


class OrderOutcome(enum.Enum):
    """The result of an order to a worker."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderAnswered(msgspec.Struct, frozen=True):
    """The outcome of an order to a worker is known."""

    order: WorkerOrder
    outcome: OrderOutcome
    detail: str = ""


class RecordWritten(msgspec.Struct, frozen=True):
    """The record of a `WriteRecord` decision is durable."""

    record: JobRecord


class RecordNotWritten(msgspec.Struct, frozen=True):
    """A `WriteRecord` certainly had no effect: another writer was first.

    Attributes:
      record: the record that was to be written.
      found: the record in the table, None if there is none.
    """

    record: JobRecord
    found: JobRecord | None


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; sent every `TICK_S` seconds at the latest."""


Event = (
    JobSubmitted
    | JobCancelled
    | ConfigurationChanged
    | FleetChanged
    | WorkerReported
    | WorkerUnreachable
    | OrderAnswered
    | RecordWritten
    | RecordNotWritten
    | Tick
)

# The longest interval between two ticks.
TICK_S = 0.25


class WriteRecord(msgspec.Struct, frozen=True):
    """Write a job's record if the epoch and the row's version still hold.

    Nothing that depends on the record happens before `RecordWritten`.
    """

    record: JobRecord


class OrderKind(enum.Enum):
    """What a worker shall do with one member of an attempt."""

    RESERVE = "reserve"
    START = "start"
    RELEASE = "release"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    THROTTLE = "throttle"


class WorkerOrder(msgspec.Struct, frozen=True):
    """Send an order to a worker.

    Workers refuse orders of an epoch below the highest that they have seen.

    Attributes:
      worker_id: the worker.
      kind: what to do.
      epoch: the epoch of the scheduler that gives the order.
      job_id: the job.
      attempt: the attempt; a worker starts each of its members at most once.
      member: the member's index.
      accelerators: the accelerators to reserve.
      memory_gb: the memory to reserve, in GB.
      checkpoint: the checkpoint to start from.
      command: what to run.
    """

    worker_id: WorkerId
    kind: OrderKind
    epoch: Epoch
    job_id: JobId
    attempt: AttemptId
    member: int
    accelerators: tuple[int, ...] = ()
    memory_gb: float = 0.0
    checkpoint: str | None = None
    command: str = ""


class AlertKind(enum.Enum):
    """The kinds of conditions that operators are alerted to."""

    GUARANTEE_SHORT = "guarantee_short"
    WORKER_QUARANTINED = "worker_quarantined"
    GANG_WAITS_LONG = "gang_waits_long"


class RaiseAlert(msgspec.Struct, frozen=True):
    """Raise an alert to operators, which stands until it is cleared."""

    kind: AlertKind
    subject: str
    reason: str


class ClearAlert(msgspec.Struct, frozen=True):
    """Clear an alert whose cause is gone."""

    kind: AlertKind
    subject: str


class Explanation(msgspec.Struct, frozen=True):
    """Keep the reason for a decision about a job, for `explain`."""

    subject: str
    reason: str


Decision = WriteRecord | WorkerOrder | RaiseAlert | ClearAlert | Explanation
