"""Interfaces to the store with its feeds, to workers and to other services."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import msgspec
from result import Result

from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    RunningTask,
    RunNumber,
    StartOutcome,
    StartTask,
    StepId,
    WorkerInfo,
)
from pomeloarch_core.batch.upkeep import MachineId, UpkeepOutcome
from pomeloarch_core.ids import Epoch, NodeId, WorkerId
from pomeloarch_node.platform import PlatformClient, PlatformError, Row

_Found = TypeVar("_Found")


class TableChanges(msgspec.Struct, frozen=True):
    """Rows of a table at one version of the store.

    Attributes:
      rows: the rows; a deleted one has the value None.
      version: the version up to which the rows are complete.
    """

    rows: tuple[Row, ...]
    version: int


class HistoryGone(msgspec.Struct, frozen=True):
    """The store no longer keeps the changes since the requested version."""


class ReadStrategy(Protocol):
    """Decides how a read is sent: once, or repeatedly if it is late."""

    async def __call__(
        self, send: Callable[[], Awaitable[Result[_Found, PlatformError]]]
    ) -> Result[_Found, PlatformError]:
        """Returns the answer of one of the calls to `send`."""


async def read_once(
    send: Callable[[], Awaitable[Result[_Found, PlatformError]]],
) -> Result[_Found, PlatformError]:
    """Sends a read once."""
    return await send()


class FeedStore(PlatformClient, Protocol):
    """A store whose tables can be followed for changes."""

    async def snapshot(
        self, table: str, ask: ReadStrategy = read_once
    ) -> Result[TableChanges, PlatformError]:
        """Reads a whole table, using the strategy `ask` for each page."""

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, PlatformError | HistoryGone]:
        """Reads the changes after a version; waits if there are none yet."""

    async def reset(self) -> None:
        """Uses new connections from now on; the old ones may be silent."""


class OrderFailure(enum.Enum):
    """Why an order to a worker has no valid answer.

    NO_ANSWER: it may have been carried out, or may be later.
    NO_CONNECTION: no connection was made, so it was not sent.
    NO_LISTENER: nothing listens at the worker's address, so it was not sent.
    SUPERSEDED: the worker has seen a higher fence.
    OTHER_WORKER: another worker answers at the address, or another
      incarnation of the same worker.
    OUTDATED: the worker has restarted since the order was sent and refuses
      orders to its earlier incarnations.
    """

    NO_ANSWER = "no_answer"
    NO_CONNECTION = "no_connection"
    NO_LISTENER = "no_listener"
    SUPERSEDED = "superseded"
    OTHER_WORKER = "other_worker"
    OUTDATED = "outdated"


class WorkerState(msgspec.Struct, frozen=True):
    """A worker's answer to a renewal of its leases.

    Attributes:
      incarnation: the incarnation of the worker that answered.
      clock_ms: its clock, in milliseconds since its start.
      running: the runs in progress.
      ended: the ends of runs that were not acknowledged yet.
      complete: whether `ended` holds all of them.
    """

    incarnation: Incarnation
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    complete: bool = True


class StartAnswer(msgspec.Struct, frozen=True):
    """A worker's answer to an order to start a task.

    Attributes:
      outcome: what the worker did.
      clock_ms: its clock, in milliseconds; None if the answer did not contain
        it.
    """

    outcome: StartOutcome
    clock_ms: int | None


class WorkerLink(Protocol):
    """Sends orders to one worker."""

    async def renew(
        self,
        fence: Epoch,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[WorkerState, OrderFailure]:
        """Extends the leases of all runs and asks for a report.

        Args:
          fence: the number of the scheduler's term.
          acknowledged: the worker may forget ends up to this number.
          deadline_ms: when the leases end, on the worker's clock; None to only
            ask for the report.
          wait_s: how long the worker may hold back its answer until a run ends,
            in seconds.
        """

    async def start(
        self, order: StartTask, fence: Epoch, deadline_ms: int
    ) -> Result[StartAnswer, OrderFailure]:
        """Starts a task; repeating the order has no further effect."""

    async def stop(
        self, task_name: str, run: RunNumber, fence: Epoch
    ) -> Result[None, OrderFailure]:
        """Stops a run, or prevents its start if it has not arrived yet."""

    async def pace(
        self, task_name: str, run: RunNumber, percent: int, fence: Epoch
    ) -> Result[None, OrderFailure]:
        """Sets the share of its full speed at which a run works; idempotent."""

    async def reset(self) -> None:
        """Drops all connections, since they may have gone silent."""

    async def close(self) -> None:
        """Closes the link."""


class WorkerLinks(Protocol):
    """Opens links to workers."""

    def open(self, info: WorkerInfo) -> WorkerLink:
        """Returns a link to a worker."""


class Advice(msgspec.Struct, frozen=True):
    """Which workers may run a step.

    Attributes:
      tickets: a ticket for each worker that may.
      valid_s: how long the tickets are valid after the question was sent, in
        seconds.
    """

    tickets: dict[WorkerId, str]
    valid_s: float


class AdviceService(Protocol):
    """Decides which workers may run a step."""

    async def ask(
        self, step: StepId, worker_ids: tuple[WorkerId, ...]
    ) -> Result[Advice, str]:
        """Returns the tickets, or the reason why there is no answer."""


class Machine(msgspec.Struct, frozen=True):
    """A machine as the machine service lists it.

    Attributes:
      machine_id: its permanent id.
      worker_id: the worker that it currently runs, None when it is down.
      up: whether it can be ordered down.
      in_upkeep: whether it is down for upkeep.
    """

    machine_id: MachineId
    worker_id: WorkerId | None
    up: bool
    in_upkeep: bool = False


class MachineService(Protocol):
    """Takes machines down for upkeep."""

    async def machines(self) -> Result[tuple[Machine, ...], str]:
        """Returns all machines, or the reason why they can't be listed."""

    async def upkeep(
        self, machine: MachineId, wave: int, holder: NodeId, fence: Epoch
    ) -> UpkeepOutcome:
        """Orders a machine down for a wave; repeating has no further effect."""
