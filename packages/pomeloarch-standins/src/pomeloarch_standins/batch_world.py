"""A simulation of nodes that serve batch jobs, with their store and workers.

The production code of the nodes runs in one process on models of the store and
of the workers, in virtual time. Tests check what a caller or a worker sees.
"""

from __future__ import annotations

import asyncio
import os
import random

import msgspec

from pomeloarch_core.batch.catalogue import Catalogue, Route, Tenant
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.messages import Incarnation, TaskId, WorkerInfo
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
from pomeloarch_node.batch.records import JOBS_TABLE, ROLE_NAME
from pomeloarch_node.batch.repeating_store import RepeatingStore
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Write
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.batch_workers import (
    MAX_LEASE_S,
    STOP_DURATION_S,
    GangKey,
    Ledger,
    ModelLink,
    WorkerModel,
)

WORKERS_TABLE = "model_workers"
SERVICE = ServiceName("scorer")
ORGANISATION = OrganisationName("qasr")
BATCH = QueueName("batch")
URGENT = QueueName("urgent")
# Time that a caller allows for the acceptance of a job, in seconds.
ACCEPT_TIMEOUT_S = 2.0
# Time for which a node goes on running after a planned stop, in seconds.
STOP_DELAY_S = 2.4

CATALOGUE = Catalogue(
    generation=Generation(1),
    queues={
        BATCH: Queue(BATCH, SERVICE, priority=2, max_attempts=2, stretch=3.0),
        URGENT: Queue(URGENT, SERVICE, priority=0, max_attempts=3, stretch=1.5),
    },
    routes=(Route("qasr.example", "/batch/", BATCH),),
    tenants={
        ORGANISATION: Tenant(
            ORGANISATION, frozenset(), guaranteed_accelerators=8
        )
    },
)


class WorldNode:
    """One simulated node with its link to the store, its intake and leader."""

    def __init__(self, world: BatchWorld, number: int) -> None:
        """Builds the node without running it."""
        self.name = NodeId(f"node-{number}")
        self._world = world
        self.link = StoreLink(world.tables, random.Random(world.seed + number))
        self._task: asyncio.Task[None] | None = None
        self._build()

    def _build(self) -> None:
        world = self._world
        log = DecisionLog(self.name, Metrics(), world.log_fd, world.clock)
        store = RepeatingStore(self.link, world.clock)
        self.jobs = TableMirror(store, JOBS_TABLE, world.clock, log, 1.0, 0.2)
        self.intake = Intake(
            store, self.jobs, world.clock, log, wall=world.clock
        )
        self.role = LeasedRole(
            ROLE_NAME,
            self.name,
            self.link,
            world.clock,
            Metrics(),
            world.rng,
            LeaseConfig(2.0, 0.25, 0.6, 0.5, 0.2, overdue_s=1.4),
        )
        self.leader = Leader(
            store,
            (WORKERS_TABLE, world.read_workers),
            world,
            lambda: world.catalogue,
            self.jobs,
            ExternalServices(WaveSource(lambda: (), _no_status)),
            self.name,
            self.role,
            world.clock,
            LeaderTimes(MAX_LEASE_S, 0.5, DispatchTimes(STOP_DURATION_S, 2.7)),
            log,
            world.clock,
        )

    def start(self) -> None:
        """Starts the node afresh, without the state of earlier runs."""
        self._build()
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.jobs.run())
            tasks.create_task(self.leader.run())

    async def kill(self) -> None:
        """Ends the node at once."""
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

    Args:
      seed: the seed of all random numbers.
      nodes: the number of nodes.
      workers: the number of workers, half of them in each of two racks.
    """

    def __init__(self, seed: int, nodes: int = 3, workers: int = 4) -> None:
        """Builds the simulation without running it."""
        self.seed = seed
        self.rng = random.Random(seed)
        self.catalogue = CATALOGUE
        self.tables = FeedTables()
        self.ledger = Ledger()
        self.submitted: dict[JobId, BatchJob] = {}
        self.accepted: dict[JobId, float] = {}
        self.cancelled: set[JobId] = set()
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
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
            )
            self._list(info)
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

    def open(self, info: WorkerInfo) -> ModelLink:
        """Opens a link to a worker."""
        return ModelLink(self.workers[info.worker_id], lambda: True, self.rng)

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
        outcome = await node.intake.accept(job, self.clock() + ACCEPT_TIMEOUT_S)
        if outcome is Outcome.DONE:
            self.accepted.setdefault(job.job_id, self.clock())
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
        row = self.tables.read(JOBS_TABLE, job_id)
        status = JobStatus(row.value.get("status", "queued"))
        return status.is_final or job_id in self.cancelled

    def start(self) -> None:
        """Starts all nodes."""
        for node in self.nodes:
            node.start()

    async def stop(self) -> None:
        """Stops all nodes at once."""
        for node in self.nodes:
            await node.kill()
        os.close(self.log_fd)


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
