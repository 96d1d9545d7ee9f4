"""What goes into the scheduler of batch jobs and what comes out of it."""

from __future__ import annotations

import enum
from typing import NewType

import msgspec

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.model import BatchJob, Resources
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import JobId, ServiceName, WorkerId, ZoneName

RunNumber = NewType("RunNumber", int)
Incarnation = NewType("Incarnation", int)


class TaskId(msgspec.Struct, frozen=True, order=True):
    """One task: a job's occurrence, step and index."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Returns the name that workers know the task by."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskId | None:
        """Returns the task of a name, None when it names no task."""
        parts = text.split(".")
        if len(parts) != 4 or not all(each.isdecimal() for each in parts[1:]):
            return None
        return cls(JobId(parts[0]), *(int(each) for each in parts[1:]))


class StepId(msgspec.Struct, frozen=True, order=True):
    """One step of one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Returns the name that the step is known by outside."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


class WorkerInfo(msgspec.Struct, frozen=True):
    """A worker as the platform lists it.

    Attributes:
      worker_id: its id, new with most restarts.
      service: the service that it works for.
      address: where it takes orders, `ip:port`.
      availability_zone: where it is.
      capacity: what it has room for.
      labels: its kind and its rack.
      rack: its rack.
      draining: whether it is about to leave.
      remaining_s: the least time until it leaves, in seconds.
      incarnation: when this life of it began; 0 when not said.
    """

    worker_id: WorkerId
    service: ServiceName
    address: str
    availability_zone: ZoneName
    capacity: Resources
    labels: frozenset[str] = frozenset()
    rack: str = ""
    draining: bool = False
    remaining_s: float | None = None
    incarnation: Incarnation = Incarnation(0)


class RunEnd(enum.Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(msgspec.Struct, frozen=True):
    """A run that a worker has.

    Attributes:
      task: the task.
      run: which of its runs.
      checkpoint: its last checkpoint; empty for none.
      percent: share of its work that is done, or at work when 100.
      load: tail latency in ms of a serving task, else processor use.
    """

    task: TaskId
    run: RunNumber
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


class EndedTask(msgspec.Struct, frozen=True):
    """A run's end that a worker keeps until it is acknowledged.

    Attributes:
      number: counts the worker's ends from 1.
      task: the task, None when its name can't be read.
      run: which of its runs.
      how: how it ended.
      checkpoint: its last checkpoint; empty for none.
    """

    number: int
    task: TaskId | None
    run: RunNumber
    how: RunEnd
    checkpoint: str = ""


# ---- events


class JobAccepted(msgspec.Struct, frozen=True):
    """A job's rows were found that this scheduler didn't know.

    Attributes:
      job: the job.
      row: its state.
      older: whether an earlier scheduler may have started tasks of it.
    """

    job: BatchJob
    row: JobRow
    older: bool = False


class CancelRequested(msgspec.Struct, frozen=True):
    """A caller asked for the end of a job, durably."""

    job_id: JobId


class CatalogueChanged(msgspec.Struct, frozen=True):
    """A newer version of the configuration is in force."""

    catalogue: Catalogue


class WorkersListed(msgspec.Struct, frozen=True):
    """The platform's list of all workers; absent ones have left or lapsed."""

    workers: tuple[WorkerInfo, ...]


class RosterEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a successor has to know of a worker that may run something.

    Attributes:
      address: where it takes orders, `ip:port`.
      may_run: the only tasks that it may run, by name, when it fell silent
        and was given nothing since; None when it may run any.
      slow: whether it takes clearly longer than others for the same work.
    """

    address: str
    may_run: tuple[str, ...] | None = None
    slow: bool = False


class RosterLoaded(msgspec.Struct, frozen=True):
    """Workers that may run something, as an earlier scheduler knew them."""

    entries: dict[WorkerId, RosterEntry]


class RosterWritten(msgspec.Struct, frozen=True):
    """A successor will take it that these workers may run any task."""

    worker_ids: frozenset[WorkerId]


class WorkerReported(msgspec.Struct, frozen=True):
    """A worker answered with what it runs and what has ended.

    Attributes:
      worker_id: the worker.
      incarnation: the life of it that answered.
      asked_at: when the question was sent, by the scheduler's clock.
      running: all that it runs.
      ended: ends that were not acknowledged yet.
    """

    worker_id: WorkerId
    incarnation: Incarnation
    asked_at: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class WorkerSilent(msgspec.Struct, frozen=True):
    """A worker doesn't answer, and its leases are no longer extended.

    Attributes:
      worker_id: the worker.
      lapses_at: when all that it may run has certainly been killed.
      gone: whether it is known to have ended.
    """

    worker_id: WorkerId
    lapses_at: float
    gone: bool = False


class WorkerLate(msgspec.Struct, frozen=True):
    """A worker's answer is late; it may be cut off, or slow this once.

    Attributes:
      worker_id: the worker.
    """

    worker_id: WorkerId


class StartOutcome(enum.Enum):
    """What became of an order to start a task."""

    STARTED = "started"
    NO_ROOM = "no_room"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    UNHEALTHY = "unhealthy"
    BAD_TICKET = "bad_ticket"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class StartAnswered(msgspec.Struct, frozen=True):
    """An order to start a task was answered, or given up on.

    Attributes:
      worker_id: the worker.
      task: the task.
      run: which of its runs.
      outcome: what the worker said.
      settled: whether that holds for good. It doesn't for a refusal while
        another copy of the order may still be carried out.
    """

    worker_id: WorkerId
    task: TaskId
    run: RunNumber
    outcome: StartOutcome
    settled: bool


class StopAnswered(msgspec.Struct, frozen=True):
    """An order to stop a run took effect on its worker."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber


class AdviceGiven(msgspec.Struct, frozen=True):
    """The service said which workers may run a step.

    Attributes:
      step: the step.
      asked: the workers that were asked about.
      tickets: a ticket for each of them that may run it.
      valid_until: when the tickets end.
    """

    step: StepId
    asked: tuple[WorkerId, ...]
    tickets: dict[WorkerId, str]
    valid_until: float


class AdviceMissing(msgspec.Struct, frozen=True):
    """A question about a step got no answer."""

    step: StepId


class WorkersShuttingDown(msgspec.Struct, frozen=True):
    """Workers whose machines are about to go down; they get nothing new."""

    worker_ids: frozenset[WorkerId]


class RowWritten(msgspec.Struct, frozen=True):
    """A job's row is durable up to a change of it."""

    job_id: JobId
    change: int


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; `wall` is the wall clock, in seconds."""

    wall: float


Event = (
    JobAccepted
    | CancelRequested
    | CatalogueChanged
    | WorkersListed
    | RosterLoaded
    | RosterWritten
    | WorkerReported
    | WorkerSilent
    | WorkerLate
    | StartAnswered
    | StopAnswered
    | AdviceGiven
    | AdviceMissing
    | WorkersShuttingDown
    | RowWritten
    | Tick
)


# ---- decisions


class StartTask(msgspec.Struct, frozen=True):
    """Order a worker to start a task; repeated until it is answered."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber
    payload: str
    checkpoint: str
    ticket: str = ""


class StopTask(msgspec.Struct, frozen=True):
    """Order a worker to stop a run; repeated until it is answered."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber


class PaceTask(msgspec.Struct, frozen=True):
    """Order a worker to let a run work at a share of its pace."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber
    percent: int


class RequestAdvice(msgspec.Struct, frozen=True):
    """Ask which of these workers may run a step."""

    step: StepId
    worker_ids: tuple[WorkerId, ...]


class WriteRow(msgspec.Struct, frozen=True):
    """Write a job's row.

    Attributes:
      job_id: the job.
      row: its state.
      change: counts the changes of this row.
      urgent: whether a caller waits for it.
    """

    job_id: JobId
    row: JobRow
    change: int
    urgent: bool


class LogEntry(msgspec.Struct, frozen=True):
    """Something decided, for the log.

    Attributes:
      event: what was decided.
      fields: the inputs that decided it and the outcome.
    """

    event: str
    fields: dict[str, object]


Decision = StartTask | StopTask | PaceTask | RequestAdvice | WriteRow | LogEntry
