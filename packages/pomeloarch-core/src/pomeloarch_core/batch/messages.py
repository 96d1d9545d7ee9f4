"""Events that the batch scheduler takes in and decisions that it returns."""

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
    """The id of a task: its job, occurrence, step and index."""

    job_id: JobId
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Returns the name by which workers know the task."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskId | None:
        """Returns the task with a given name, None for an invalid name."""
        parts = text.split(".")
        if len(parts) != 4 or not all(each.isdecimal() for each in parts[1:]):
            return None
        return cls(JobId(parts[0]), *(int(each) for each in parts[1:]))


class StepId(msgspec.Struct, frozen=True, order=True):
    """The id of a step in one occurrence of a job."""

    job_id: JobId
    occurrence: int
    step: int

    def __str__(self) -> str:
        """Returns the name by which the advice service knows the step."""
        return f"{self.job_id}.{self.occurrence}.{self.step}"


class WorkerInfo(msgspec.Struct, frozen=True):
    """A worker as the platform lists it.

    Attributes:
      worker_id: its id; most restarts give it a new one.
      service: the service that it works for.
      address: where it takes orders, as `ip:port`.
      availability_zone: its availability zone.
      capacity: its total resources.
      labels: its labels, which name its kind and its rack.
      rack: its rack.
      draining: whether it is about to leave.
      remaining_s: the minimum time until it leaves, in seconds.
      incarnation: when its process started; 0 when unknown.
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
    """How a run of a task ended; only FAILED counts as an attempt.

    DONE: it completed its work.
    FAILED: it failed.
    STOPPED: it was stopped by an order.
    LAPSED: its lease ran out.
    BROKEN: its gang lost another member while it was working.
    ALONE: the other members of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class RunningTask(msgspec.Struct, frozen=True):
    """A run that a worker reports as running.

    Attributes:
      task: the task.
      run: the number of the run.
      checkpoint: its last checkpoint; empty when it has none.
      percent: share of its work that is done, in percent; for a long-running
        task, 100 means that it serves.
      load: tail latency in milliseconds of a serving task, otherwise processor
        use in thousandths of a core.
    """

    task: TaskId
    run: RunNumber
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


class EndedTask(msgspec.Struct, frozen=True):
    """The end of a run, which a worker reports until it is acknowledged.

    Attributes:
      number: sequence number of the end on this worker, starting at 1.
      task: the task, None when its name can't be parsed.
      run: the number of the run.
      how: how it ended.
      checkpoint: its last checkpoint; empty when it has none.
    """

    number: int
    task: TaskId | None
    run: RunNumber
    how: RunEnd
    checkpoint: str = ""


class JobAccepted(msgspec.Struct, frozen=True):
    """The rows of a job that this scheduler didn't know were found.

    Attributes:
      job: the job.
      row: its durable state.
      inherited: whether an earlier scheduler had the job.
    """

    job: BatchJob
    row: JobRow
    inherited: bool = False


class CancelRequested(msgspec.Struct, frozen=True):
    """A caller's request to cancel a job is durable."""

    job_id: JobId


class CancelForgotten(msgspec.Struct, frozen=True):
    """The record of a request to cancel a job was deleted."""

    job_id: JobId


class CatalogueChanged(msgspec.Struct, frozen=True):
    """A newer version of the configuration is in force."""

    catalogue: Catalogue


class WorkersListed(msgspec.Struct, frozen=True):
    """The platform's list of workers; missing ones have left or lapsed."""

    workers: tuple[WorkerInfo, ...]


class RosterEntry(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a successor has to know of a worker that may run tasks.

    Attributes:
      address: where it takes orders, as `ip:port`.
      may_run: names of the only tasks that it may run, or whose ends are not
        durable yet, if it fell silent and was given no task since; None when
        it may run any task.
      slow: whether it takes clearly longer than others for the same work.
    """

    address: str
    may_run: tuple[str, ...] | None = None
    slow: bool = False


class RosterLoaded(msgspec.Struct, frozen=True):
    """The roster that an earlier scheduler left: workers that may run tasks."""

    entries: dict[WorkerId, RosterEntry]


class RosterWritten(msgspec.Struct, frozen=True):
    """These workers are durably on the roster and may run any task."""

    worker_ids: frozenset[WorkerId]


class WorkerReported(msgspec.Struct, frozen=True):
    """A worker answered with the runs that it has and those that have ended.

    Attributes:
      worker_id: the worker.
      incarnation: the incarnation that answered.
      asked_at: when the request was sent, by the scheduler's clock.
      running: all runs that it has.
      ended: ends that have not been acknowledged yet.
      complete: whether `ended` holds all of them; the others follow once these
        are acknowledged.
    """

    worker_id: WorkerId
    incarnation: Incarnation
    asked_at: float
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True


class WorkerSilent(msgspec.Struct, frozen=True):
    """A worker doesn't answer, and its leases are no longer extended.

    Attributes:
      worker_id: the worker.
      lapses_at: when all runs that it may have have certainly been killed.
      gone: whether the worker is known to have ended.
    """

    worker_id: WorkerId
    lapses_at: float
    gone: bool = False


class WorkerLate(msgspec.Struct, frozen=True):
    """A worker's answer is late: it may be cut off or only slow this once.

    Attributes:
      worker_id: the worker.
    """

    worker_id: WorkerId


class StartOutcome(enum.Enum):
    """The outcome of an order to start a task.

    STARTED: the worker has started the run.
    NO_ROOM: the worker doesn't have enough resources.
    OLD_RUN: the worker has had this run or a later one of the task.
    TOO_LATE: the order's deadline has passed.
    UNHEALTHY: the worker takes no tasks at present.
    BAD_TICKET: the worker doesn't accept the ticket.
    REFUSED: the worker refused for another reason.
    NO_ANSWER: the worker didn't answer.
    """

    STARTED = "started"
    NO_ROOM = "no_room"
    OLD_RUN = "old_run"
    TOO_LATE = "too_late"
    UNHEALTHY = "unhealthy"
    BAD_TICKET = "bad_ticket"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


class Evidence(enum.Enum):
    """What shows that a run is on its worker no longer.

    END_REPORTED: a report has the run's end.
    NOT_REPORTED: a report doesn't list the run, though its start or its stop
      was answered before.
    RESTARTED: the same from another incarnation than the run was ordered from.
    START_REFUSED: the only copy of the order to start it was refused.
    LEASE_LAPSED: its worker is silent and the last lease has run out.
    WORKER_GONE: another worker answers at the address.
    """

    END_REPORTED = "end_reported"
    NOT_REPORTED = "not_reported"
    RESTARTED = "restarted"
    START_REFUSED = "start_refused"
    LEASE_LAPSED = "lease_lapsed"
    WORKER_GONE = "worker_gone"


class StartAnswered(msgspec.Struct, frozen=True):
    """An order to start a task was answered or given up on.

    Attributes:
      worker_id: the worker.
      task: the task.
      run: the number of the run.
      outcome: the worker's answer.
      settled: whether the answer is final. A refusal isn't while another copy
        of the order may still be carried out.
      unanswered: number of copies of the order that had no answer, for the log.
    """

    worker_id: WorkerId
    task: TaskId
    run: RunNumber
    outcome: StartOutcome
    settled: bool
    unanswered: int = 0


class StopAnswered(msgspec.Struct, frozen=True):
    """A worker carried out an order to stop a run."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber


class RequestAdvice(msgspec.Struct, frozen=True):
    """Ask the advice service which of these workers may run a step.

    Attributes:
      step: the step.
      incarnations: the workers, each with the incarnation that it is known to
        have: a ticket is for this one.
    """

    step: StepId
    incarnations: dict[WorkerId, Incarnation]

    @property
    def worker_ids(self) -> tuple[WorkerId, ...]:
        """The workers to ask about."""
        return tuple(self.incarnations)


class AdviceGiven(msgspec.Struct, frozen=True):
    """The advice service said which workers may run a step.

    Attributes:
      question: what it was asked.
      tickets: a ticket for each of the workers that may run the step.
      valid_until: when the tickets expire.
    """

    question: RequestAdvice
    tickets: dict[WorkerId, str]
    valid_until: float


class AdviceMissing(msgspec.Struct, frozen=True):
    """A question about a step got no answer."""

    step: StepId


class UpkeepOrdered(msgspec.Struct, frozen=True):
    """An order to take a worker's machine down is on its way.

    It may end the worker's runs at any time until it is answered.
    """

    worker_id: WorkerId


class UpkeepRefused(msgspec.Struct, frozen=True):
    """The order was answered: the machine stays up."""

    worker_id: WorkerId


class WorkerTakenDown(msgspec.Struct, frozen=True):
    """A worker's machine may just have been taken down, and its runs ended."""

    worker_id: WorkerId


class WorkersShuttingDown(msgspec.Struct, frozen=True):
    """Workers whose machines are about to go down; they get no new tasks."""

    worker_ids: frozenset[WorkerId]


class RowWritten(msgspec.Struct, frozen=True):
    """A job's row is durable up to one of its changes."""

    job_id: JobId
    change: int


class Tick(msgspec.Struct, frozen=True):
    """Time has passed.

    Attributes:
      wall: the time of the wall clock, in seconds.
      list_confirmed_at: the scheduler's time at which the store last confirmed
        the list of workers, None before it did.
    """

    wall: float
    list_confirmed_at: float | None = None


Event = (
    JobAccepted
    | CancelRequested
    | CancelForgotten
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
    | WorkerTakenDown
    | UpkeepOrdered
    | UpkeepRefused
    | WorkersShuttingDown
    | RowWritten
    | Tick
)


class StartTask(msgspec.Struct, frozen=True):
    """Order a worker to start a task; repeated if the answer is late."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber
    payload: str
    checkpoint: str
    ticket: str = ""


class StopTask(msgspec.Struct, frozen=True):
    """Order a worker to stop a run; sent again until it is answered."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber


class PaceTask(msgspec.Struct, frozen=True):
    """Order a worker to run a task at a share of its full pace."""

    worker_id: WorkerId
    task: TaskId
    run: RunNumber
    percent: int


class WriteRow(msgspec.Struct, frozen=True):
    """Write a job's row.

    Attributes:
      job_id: the job.
      row: its state.
      change: number of the row's last change.
      urgent: whether something waits for the row to be durable.
    """

    job_id: JobId
    row: JobRow
    change: int
    urgent: bool


class LogEntry(msgspec.Struct, frozen=True):
    """A decision, for the log.

    Attributes:
      event: what was decided.
      fields: the inputs of the decision and its outcome.
    """

    event: str
    fields: dict[str, object]


Decision = StartTask | StopTask | PaceTask | RequestAdvice | WriteRow | LogEntry
