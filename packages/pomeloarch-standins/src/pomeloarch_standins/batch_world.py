"""A simulation of nodes that serve batch jobs, with their store and workers.

The production code of the nodes runs in one process on models of the store and
of the workers, in virtual time. Tests check what a caller or a worker sees.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter
from typing import Any

import msgspec
from result import Ok, Result

from pomeloarch_core.batch.access import NO_ORGANISATION
from pomeloarch_core.batch.catalogue import Catalogue, Route, Tenant
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.messages import (
    Incarnation,
    StepId,
    TaskId,
    WorkerInfo,
)
from pomeloarch_core.batch.model import BatchJob, Queue, QueueName, Resources
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.ids import (
    Generation,
    JobId,
    NodeId,
    OrganisationName,
    ServiceName,
    WorkerId,
    ZoneName,
)
from pomeloarch_core.membership import LeaseConfig
from pomeloarch_node.batch import (
    DecisionLog,
    ExternalServices,
    Intake,
    Leader,
    LeaderTimes,
    WaveSource,
)
from pomeloarch_node.batch.intake import Outcome
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import Advice
from pomeloarch_node.batch.records import JOBS_TABLE, ROLE_NAME, unpack
from pomeloarch_node.batch.repeating_store import RepeatingStore
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import StoreLimits, Write
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_standins.batch_gates import GatedStore, ProcessGate
from pomeloarch_standins.batch_ledger import Ledger
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.batch_workers import (
    ADVANCE_INTERVAL_S,
    MAX_LEASE_S,
    STOP_DURATION_S,
    GangKey,
    ModelLink,
    Path,
    WorkerModel,
    make_ticket,
)

WORKERS_TABLE = "model_workers"
SERVICE = ServiceName("scorer")
ORGANISATION = OrganisationName("qasr")
# Submits jobs under ids of the first organisation.
RIVAL = OrganisationName("rival")
BATCH = QueueName("batch")
URGENT = QueueName("urgent")
ADVISED = QueueName("advised")
# How long the advice service takes for an answer and for each worker that it is
# asked about, and how long its tickets are valid, in seconds.
DECIDE_S = 0.05
EACH_S = 0.005
TICKET_VALID_S = 5.0
# Time that a caller allows for the acceptance of a job, in seconds.
ACCEPT_TIMEOUT_S = 2.0
# Time for which a node goes on running after a planned stop, in seconds.
STOP_DELAY_S = 2.4

CATALOGUE = Catalogue(
    generation=Generation(1),
    queues={
        BATCH: Queue(BATCH, SERVICE, priority=2, max_attempts=2, stretch=3.0),
        URGENT: Queue(URGENT, SERVICE, priority=0, max_attempts=3, stretch=1.5),
        ADVISED: Queue(
            ADVISED,
            SERVICE,
            priority=1,
            max_attempts=3,
            stretch=3.0,
            advised=True,
        ),
    },
    routes=(Route("qasr.example", "/batch/", BATCH),),
    tenants={
        ORGANISATION: Tenant(
            ORGANISATION, frozenset(), guaranteed_accelerators=8
        )
    },
)


def may_run(job_id: JobId, worker_id: WorkerId) -> bool:
    """Returns whether the queue with advice lets a worker run a job's steps.

    It is so for each second worker, by the number that its ids begin with.
    """
    number = int(worker_id.partition("-")[0].removeprefix("w"))
    return (int(job_id, 16) + number) % 2 == 0


class CallerAnswer(msgspec.Struct, frozen=True):
    """What a caller was told about a job.

    Attributes:
      job_id: the job.
      organisation: the caller's organisation.
      is_cancel: whether it asked to cancel the job; otherwise it submitted it.
      outcome: the answer.
      asked_at: when the call was made, in seconds.
      told_at: when it was answered, in seconds.
    """

    job_id: JobId
    organisation: OrganisationName
    is_cancel: bool
    outcome: Outcome
    asked_at: float
    told_at: float


class _Advisor:
    """Gives the tickets of the queue with advice."""

    def __init__(self, world: BatchWorld) -> None:
        self._world = world

    async def ask(
        self, step: StepId, worker_ids: tuple[WorkerId, ...]
    ) -> Result[Advice, str]:
        """Returns the tickets for the present lives of the workers."""
        await asyncio.sleep(DECIDE_S + EACH_S * len(worker_ids))
        workers = self._world.workers
        tickets = {
            each: make_ticket(
                step, each, Incarnation(workers[each].incarnation)
            )
            for each in worker_ids
            if each in workers and may_run(step.job_id, each)
        }
        return Ok(Advice(tickets, TICKET_VALID_S))


class _NodeLinks:
    """Opens one node's links to workers."""

    def __init__(self, world: BatchWorld, node_id: NodeId) -> None:
        self._world = world
        self._node_id = node_id

    def open(self, info: WorkerInfo) -> ModelLink:
        return self._world.open_from(self._node_id, info)


class WorldNode:
    """One simulated node with its link to the store, its intake and leader.

    Attributes:
      name: its id.
      link: its link to the store.
      gate: what its process sends and receives passes through it; each process
        has its own.
    """

    def __init__(self, world: BatchWorld, number: int) -> None:
        """Builds the node without running it."""
        self.name = NodeId(f"node-{number}")
        self._world = world
        self.link = StoreLink(world.tables, random.Random(world.seed + number))
        self._task: asyncio.Task[None] | None = None
        self.gate = ProcessGate()
        self._build()

    def _build(self) -> None:
        world = self._world
        log = DecisionLog(self.name, Metrics(), world.log_fd, world.clock)
        gated_link = GatedStore(self.link, self.gate)
        store = RepeatingStore(gated_link, world.clock)
        self.jobs = TableMirror(store, JOBS_TABLE, world.clock, log, 1.0, 0.2)
        self.intake = Intake(
            store,
            self.jobs,
            world.clock,
            log,
            wall=world.clock,
            limits=world.tables.limits,
        )
        self.role = LeasedRole(
            ROLE_NAME,
            self.name,
            gated_link,
            world.clock,
            Metrics(),
            world.rng,
            LeaseConfig(2.0, 0.25, 0.6, 0.5, 0.2, overdue_s=1.4),
        )
        self.leader = Leader(
            store,
            (WORKERS_TABLE, world.read_workers),
            _NodeLinks(world, self.name),
            lambda: world.catalogue,
            self.jobs,
            ExternalServices(
                WaveSource(lambda: (), _no_status), advice=_Advisor(world)
            ),
            self.name,
            self.role,
            world.clock,
            LeaderTimes(MAX_LEASE_S, 0.5, DispatchTimes(STOP_DURATION_S, 2.7)),
            log,
            Metrics(),
            world.clock,
            world.tables.limits,
        )

    def start(self) -> None:
        """Starts the node afresh, without the state of earlier runs."""
        self.gate = ProcessGate()
        self._build()
        self._task = asyncio.create_task(self._run())

    def freeze(self) -> None:
        """Makes the process stand still: it sends and receives nothing.

        What is ready to be sent waits. The clock goes on, and so does the
        node's code until it needs an answer.
        """
        self.gate.close()

    def thaw(self) -> None:
        """Makes the process go on and sends what has waited."""
        self.gate.open()

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.jobs.run())
            tasks.create_task(self.leader.run())

    async def kill(self) -> None:
        """Ends the node at once; calls that have left it take effect."""
        self.gate.end()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def stop(self) -> None:
        """Stops the node as planned: it releases its role and runs a while."""
        self.leader.stop_after_term()
        await self.role.release()
        await asyncio.sleep(STOP_DELAY_S)
        await self.kill()

    @property
    def is_leader(self) -> bool:
        """Whether the node holds the scheduler's role now."""
        return self._task is not None and self.role.epoch() is not None


class BatchWorld:
    """Simulated nodes, workers and their store.

    Attributes:
      workers: the workers by their present id.
      nodes: the nodes.
      ledger: the record of all runs.
      submitted: all jobs that were submitted.
      accepted: when each accepted job was accepted.
      answers: what callers were told about jobs, in the order of the answers.
      owners: the organisation of each stored job, and when it was stored.
      cancel_acknowledged: when the request to cancel a job was acknowledged.
      finished: the first final status that the store showed of each job, and
        when.
      failing_jobs: jobs of which all runs fail.
      failing_once: how long the next run of a task works before it fails, in
        seconds, for the tasks that fail once.
      cut_paths: between these nodes and workers, nothing arrives.
      unanswered_starts: when an order to start a task was last sent that had
        no answer from its worker.
      deaf_paths: from these nodes to these workers, orders arrive and are
        carried out, but their answers are lost.

    Args:
      seed: the seed of all random numbers.
      nodes: the number of nodes.
      workers: the number of workers, half of them in each of two racks.
      log_path: the file to which the nodes write their decisions.
      row_bytes: the largest value of a row that the store takes, in bytes.
    """

    def __init__(
        self,
        seed: int,
        nodes: int = 3,
        workers: int = 4,
        log_path: str = os.devnull,
        row_bytes: int = StoreLimits().row_bytes,
    ) -> None:
        """Builds the simulation without running it."""
        self.seed = seed
        self.rng = random.Random(seed)
        self.catalogue = CATALOGUE
        self.tables = FeedTables(StoreLimits(row_bytes))
        # When an order to start a task was last sent that had no answer.
        self.unanswered_starts: dict[TaskId, float] = {}
        self.ledger = Ledger()
        self.submitted: dict[JobId, BatchJob] = {}
        self.accepted: dict[JobId, float] = {}
        # Requests to cancel a job that may have taken effect.
        self._perhaps_cancelled: Counter[JobId] = Counter()
        self.answers: list[CallerAnswer] = []
        self.owners: dict[JobId, tuple[OrganisationName, float]] = {}
        self.cancel_acknowledged: dict[JobId, float] = {}
        self.finished: dict[JobId, tuple[JobStatus, float]] = {}
        # Jobs that an attempt to hand in, without a denial, may have started.
        self._perhaps_handed_in: Counter[JobId] = Counter()
        self.tables.on_write = self._note_write
        self.failing_jobs: set[JobId] = set()
        self.failing_once: dict[TaskId, float] = {}
        self.cut_paths: set[tuple[NodeId, WorkerId]] = set()
        self.deaf_paths: set[tuple[NodeId, WorkerId]] = set()
        self.log_fd = os.open(log_path, os.O_WRONLY)
        gangs: dict[GangKey, dict[int, WorkerModel]] = {}
        self.workers: dict[WorkerId, WorkerModel] = {}
        for number in range(workers):
            info = _info(number)
            self.workers[info.worker_id] = WorkerModel(
                info,
                self.submitted,
                self._duration_s,
                gangs,
                self.ledger,
                self.rng,
                self.failing_jobs,
                self.failing_once,
            )
            self._list(info)
        # Workers by all ids that they have had.
        self._by_any_id = dict(self.workers)
        self._advancing: asyncio.Task[None] | None = None
        self.nodes = [WorldNode(self, number) for number in range(nodes)]

    @staticmethod
    def clock() -> float:
        """Returns the loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    def _duration_s(self, task: TaskId) -> float:
        return self.submitted[task.job_id].steps[task.step].estimate_s

    @staticmethod
    def read_workers(rows: dict[str, object]) -> tuple[WorkerInfo, ...]:
        """Decodes the rows of the workers' table."""
        return tuple(
            msgspec.convert(each, WorkerInfo) for each in rows.values()
        )

    def open_from(self, node_id: NodeId, info: WorkerInfo) -> ModelLink:
        """Opens a node's link to a worker, which may have left."""
        worker = self._by_any_id[info.worker_id]
        node = next(each for each in self.nodes if each.name == node_id)

        def path() -> Path:
            ids = {info.worker_id, worker.info.worker_id}
            ends = {(node_id, each) for each in ids}
            if ends & self.cut_paths:
                return Path.CUT
            return Path.DEAF if ends & self.deaf_paths else Path.OPEN

        return ModelLink(
            worker,
            info.worker_id,
            path,
            self.rng,
            node.gate,
            self.unanswered_starts,
        )

    def crash_worker(self, worker_id: WorkerId) -> None:
        """Crashes a worker, which stays down until it comes back.

        It stays on the list, and orders that are due to be carried out late in
        the meantime are lost.
        """
        worker = self.workers[worker_id]
        worker.crash()
        worker.is_down = True

    def restart_worker(
        self, worker_id: WorkerId, updates_list: bool = True
    ) -> None:
        """Crashes a worker, which starts again under the same id.

        Its list entry, if there is one, gets the new incarnation. An order to
        the former incarnation that is carried out late reaches the new one.

        Args:
          worker_id: the worker.
          updates_list: whether the entry shows the new incarnation at once;
            otherwise only after a call of `relist`.
        """
        worker = self.workers[worker_id]
        worker.crash()
        worker.is_down = False
        worker.info = msgspec.structs.replace(
            worker.info, incarnation=Incarnation(worker.incarnation)
        )
        if updates_list and self.tables.read(WORKERS_TABLE, worker_id).version:
            self.relist(worker_id)

    def replace_worker(self, worker_id: WorkerId) -> WorkerId:
        """Crashes a worker, which starts again under a new id.

        It keeps its address and refuses orders to its former id from now on.
        The former list entry goes; `relist` adds the new one.

        Returns:
          The new id.
        """
        worker = self.workers.pop(worker_id)
        worker.crash()
        worker.is_down = False
        new_id = WorkerId(f"{worker_id.partition('-')[0]}-{worker.incarnation}")
        worker.info = msgspec.structs.replace(
            worker.info,
            worker_id=new_id,
            incarnation=Incarnation(worker.incarnation),
        )
        self.workers[new_id] = self._by_any_id[new_id] = worker
        self.unlist(worker_id)
        return new_id

    def _list(self, info: WorkerInfo) -> None:
        self.tables.put(
            WORKERS_TABLE, info.worker_id, msgspec.to_builtins(info)
        )

    def unlist(self, worker_id: WorkerId) -> None:
        """Takes a worker off the list."""
        self.tables.put(WORKERS_TABLE, worker_id, None)

    def relist(self, worker_id: WorkerId) -> None:
        """Puts a worker on the list again."""
        self._list(self.workers[worker_id].info)

    async def submit(self, job: BatchJob, node: WorldNode) -> Outcome:
        """Submits a job through a node."""
        self.submitted[job.job_id] = job
        self._perhaps_handed_in[job.job_id] += 1
        began = self.clock()
        await node.gate.wait()
        outcome = await node.intake.accept(job, began + ACCEPT_TIMEOUT_S)
        await node.gate.wait()
        if outcome is Outcome.DONE:
            self.accepted.setdefault(job.job_id, self.clock())
        elif outcome is not Outcome.UNKNOWN:
            self._perhaps_handed_in[job.job_id] -= 1
        self._note_answer(job.job_id, job.organisation, False, outcome, began)
        return outcome

    def _note_answer(
        self,
        job_id: JobId,
        organisation: OrganisationName,
        is_cancel: bool,
        outcome: Outcome,
        began: float,
    ) -> None:
        self.answers.append(
            CallerAnswer(
                job_id, organisation, is_cancel, outcome, began, self.clock()
            )
        )

    @property
    def cancelled(self) -> set[JobId]:
        """Jobs that a request to cancel may have ended."""
        counts = self._perhaps_cancelled
        return {each for each in counts if counts[each]}

    @property
    def rejected(self) -> set[JobId]:
        """The jobs that every attempt to hand in was denied."""
        handed_in = self._perhaps_handed_in
        return {each for each in self.submitted if not handed_in[each]}

    def _note_write(self, write: Write) -> None:
        if write.table != JOBS_TABLE or not isinstance(write.value, dict):
            return
        job_id = JobId(write.key)
        owner = write.value.get("organisation")
        if owner is not None:
            self.owners.setdefault(
                job_id, (OrganisationName(owner), self.clock())
            )
        status = _status_in(write.value)
        if status.is_final:
            self.finished.setdefault(job_id, (status, self.clock()))

    def worker_infos(self) -> dict[WorkerId, WorkerInfo]:
        """Returns the workers' entries by all ids that they have had."""
        return {each: found.info for each, found in self._by_any_id.items()}

    async def cancel(
        self,
        job_id: JobId,
        node: WorldNode,
        organisation: OrganisationName = NO_ORGANISATION,
    ) -> Outcome:
        """Cancels a job through a node."""
        self._perhaps_cancelled[job_id] += 1
        began = self.clock()
        await node.gate.wait()
        outcome = await node.intake.cancel(
            job_id, began + ACCEPT_TIMEOUT_S, organisation
        )
        await node.gate.wait()
        if outcome is Outcome.DONE:
            self.cancel_acknowledged.setdefault(job_id, self.clock())
        elif outcome is not Outcome.UNKNOWN:
            self._perhaps_cancelled[job_id] -= 1
        self._note_answer(job_id, organisation, True, outcome, began)
        return outcome

    async def status(self, job_id: JobId, node: WorldNode) -> JobStatus | None:
        """Returns a job's status as a node reports it, None when unknown."""
        known = (await node.intake.look_up(job_id)).unwrap_or(None)
        return None if known is None else known.status

    async def wait_for_jobs(self, within_s: float) -> list[JobId]:
        """Waits for all accepted jobs to end.

        Returns:
          The jobs that have not ended after `within_s` seconds.
        """
        until = self.clock() + within_s
        while True:
            open_jobs = [
                each for each in self.accepted if not self._has_ended(each)
            ]
            if not open_jobs or self.clock() > until:
                return open_jobs
            await asyncio.sleep(0.1)

    def _has_ended(self, job_id: JobId) -> bool:
        value = self.tables.read(JOBS_TABLE, job_id).value
        # Rows are deleted only long after the end of their job.
        return (
            value is None
            or job_id in self.cancelled
            or _status_in(value).is_final
        )

    def start(self) -> None:
        """Starts all nodes and workers."""
        self._advancing = asyncio.create_task(self._advance_workers())
        for node in self.nodes:
            node.start()

    async def _advance_workers(self) -> None:
        while True:
            for worker in list(self.workers.values()):
                worker.advance()
            await asyncio.sleep(ADVANCE_INTERVAL_S)

    async def stop(self) -> None:
        """Stops all nodes and workers at once."""
        if self._advancing is not None:
            self._advancing.cancel()
        for node in self.nodes:
            await node.kill()
        os.close(self.log_fd)


def _status_in(value: Any) -> JobStatus:
    """Returns the status in the stored value of a job's row."""
    return JobStatus(unpack(value).get("status", "queued"))


def _info(number: int) -> WorkerInfo:
    return WorkerInfo(
        worker_id=WorkerId(f"w{number}"),
        service=SERVICE,
        address=f"w{number}:1",
        availability_zone=ZoneName(f"zone-{number % 2}"),
        capacity=Resources(64_000, 128_000, 8),
        labels=frozenset({"a", f"r{number % 2}"}),
        rack=f"r{number % 2}",
        incarnation=Incarnation(1),
    )


def _no_status(number: int, completed: bool) -> Write:
    return Write("model_status", str(number), completed)
