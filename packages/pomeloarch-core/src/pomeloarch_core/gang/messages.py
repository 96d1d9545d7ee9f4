"""What goes into the scheduler of a zone and what comes out of it.

The node turns what it hears into events, hands each to
`ZoneScheduler.handle(event, now)` and carries the returned decisions out.
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
    """Where a job stands; the last five are final."""

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
    def final(self) -> bool:
        """Whether the job's state can't change any more."""
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
    """What a caller asked for.

    Attributes:
      job_id: the job's id.
      organisation: whose job it is.
      team: the part of the organisation whose quota it counts against.
      caller: who submitted it.
      job_class: its class.
      members: how many tasks its gang has; all run, or none.
      accelerators: accelerators of each member, adjacent in one worker.
      memory_gb: memory of each member, in GB.
      declared_run_s: the caller's guess of its run time, in seconds.
      idempotent: whether it may be started again after a doubt.
      submitted_at: when it was accepted, in seconds of the wall clock.
      command: what its tasks run, opaque to the scheduler.
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
    """One task of a gang at its place."""

    worker_id: WorkerId
    accelerators: tuple[int, ...]


class JobRecord(msgspec.Struct, frozen=True):
    """The durable state of a job: one row of the platform's table.

    Attributes:
      spec: what was asked for.
      state: where it stands.
      attempt: the id of the current or last attempt.
      attempts: how many attempts were written down.
      epoch: the epoch of the scheduler that wrote this record.
      placement: the members' places in the current attempt.
      checkpoint: the last checkpoint's name, from which it goes on.
      cancel_requested: a caller asked for its end.
      reason: why it is in this state, for people.
      cells: the cell of a guaranteed shape that each member stands in, as
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
    """A worker as the platform's membership list names it."""

    worker_id: WorkerId
    availability_zone: ZoneName
    pool: PoolName
    rack: RackId
    accelerators: int
    memory_gb: float
    leaving: bool = False


class TaskState(enum.Enum):
    """What a worker says of one member of an attempt."""

    RESERVED = "reserved"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskReport(msgspec.Struct, frozen=True):
    """One task in a worker's report; usage lags.

    Attributes:
      attempt: the attempt that it belongs to.
      member: its index in the gang.
      state: where it stands.
      usage: used size over declared size.
      checkpoint: the name of its last checkpoint.
    """

    attempt: AttemptId
    member: int
    state: TaskState
    usage: float = 1.0
    checkpoint: str | None = None


# ---- events


class JobSubmitted(msgspec.Struct, frozen=True):
    """A job's row was found that this scheduler did not know."""

    record: JobRecord


class JobCancelled(msgspec.Struct, frozen=True):
    """A caller asked for the end of a job."""

    job_id: JobId


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A higher generation is in force."""

    snapshot: Snapshot


class FleetChanged(msgspec.Struct, frozen=True):
    """The platform's list of this zone's workers; absent ones are gone."""

    workers: tuple[WorkerInfo, ...]


class WorkerReported(msgspec.Struct, frozen=True):
    """A worker answered with all attempts that it knows."""

    worker_id: WorkerId
    tasks: tuple[TaskReport, ...]


class WorkerUnreachable(msgspec.Struct, frozen=True):
    """A worker has not answered for longer than its tasks' leases.

    A worker stops a task whose lease has run out, so that none runs on.
    """

    worker_id: WorkerId


class OrderOutcome(enum.Enum):
    """How an order to a worker ended."""

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderAnswered(msgspec.Struct, frozen=True):
    """The outcome of an order to a worker."""

    order: WorkerOrder
    outcome: OrderOutcome
    detail: str = ""


class RecordWritten(msgspec.Struct, frozen=True):
    """A `WriteRecord` is durable."""

    record: JobRecord


class RecordNotWritten(msgspec.Struct, frozen=True):
    """A `WriteRecord` is certainly not in force: another one won.

    Attributes:
      record: what was to be written.
      found: what stands in the table instead, if anything.
    """

    record: JobRecord
    found: JobRecord | None


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; due every `TICK_S` seconds at the latest."""


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

TICK_S = 0.25


# ---- decisions


class WriteRecord(msgspec.Struct, frozen=True):
    """Write a job's record, conditional on epoch and on its last version.

    Nothing that depends on it happens before `RecordWritten`.
    """

    record: JobRecord


class OrderKind(enum.Enum):
    """What a worker is told to do with one member of an attempt."""

    RESERVE = "reserve"
    START = "start"
    RELEASE = "release"
    CHECKPOINT = "checkpoint"
    STOP = "stop"
    THROTTLE = "throttle"


class WorkerOrder(msgspec.Struct, frozen=True):
    """One order to a worker; workers refuse an epoch below their highest.

    Attributes:
      worker_id: the worker.
      kind: what to do.
      epoch: the epoch of the scheduler that gives the order.
      job_id: the job.
      attempt: the attempt; a worker starts a member of it at most once.
      member: the member's index.
      accelerators: the accelerators to reserve.
      memory_gb: the memory to reserve, in GB.
      checkpoint: where to start from.
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
    """What an operator is told about."""

    GUARANTEE_SHORT = "guarantee_short"
    WORKER_QUARANTINED = "worker_quarantined"
    GANG_WAITS_LONG = "gang_waits_long"


class RaiseAlert(msgspec.Struct, frozen=True):
    """Something that an operator has to know, until it is cleared."""

    kind: AlertKind
    subject: str
    reason: str


class ClearAlert(msgspec.Struct, frozen=True):
    """An alert's cause is gone."""

    kind: AlertKind
    subject: str


class Explanation(msgspec.Struct, frozen=True):
    """Why a decision about a job or worker was made, for `explain`."""

    subject: str
    reason: str


Decision = WriteRecord | WorkerOrder | RaiseAlert | ClearAlert | Explanation
