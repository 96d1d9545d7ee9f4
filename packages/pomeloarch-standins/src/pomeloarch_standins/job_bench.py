"""The job plane of one zone in one process, with fakes of other components."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from typing import Any

import msgspec
from starlette.applications import Starlette

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.job_records import jobs_table
from pomeloarch_node.jobs_api import JobsApi
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.scheduler_loop import MakeScheduler
from pomeloarch_node.scheduler_task import SchedulerTask
from pomeloarch_standins.fake_platform import FakePlatform
from pomeloarch_standins.job_fakes import (
    AsgiAnswer,
    FakeNetwork,
    FakePeers,
    FakeRole,
    FakeWorkerClient,
    asgi_call,
)
from pomeloarch_standins.worker_fleet import WorkerFleet, worker_hosts

# Wall-clock time at the loop's time 0, in seconds since the epoch.
WALL_CLOCK_S = 1_700_000_000.0
# Time between two updates of the workers, in seconds.
_ADVANCE_INTERVAL_S = 0.1
# Time between two checks of the states of jobs, in seconds.
POLL_INTERVAL_S = 0.05


class BenchNode:
    """The job plane of one node.

    Args:
      bench: the zone of the node.
      name: the id of the node.
    """

    def __init__(self, bench: ZoneBench, name: str) -> None:
        """Creates a node that does not run yet."""
        self.name = name
        self.role = FakeRole()
        self.metrics = Metrics()
        self.client = FakeWorkerClient(bench.fleet)
        self.peers = FakePeers(bench.network, NodeId(name), bench.zone)
        self.hosts = HostDirectory()
        self.hosts.replace(bench.platform.hosts)
        self.configuration = ConfigurationHolder()
        self.configuration.offer(bench.snapshot)
        self.scheduler = SchedulerTask(
            zone=bench.zone,
            node_id=NodeId(name),
            platform=bench.platform,
            role=self.role,
            configuration=self.configuration,
            hosts=self.hosts,
            peers=self.peers,
            worker_client=self.client,
            metrics=self.metrics,
            rng=random.Random(name),
            make_scheduler=bench.make_scheduler,
            wall_clock=bench.wall_clock,
        )
        self.api = JobsApi(
            zone=bench.zone,
            platform=bench.platform,
            configuration=self.configuration,
            peers=self.peers,
            explainer=self.scheduler,
            metrics=self.metrics,
            rng=random.Random(f"{name} api"),
            wall_clock=bench.wall_clock,
        )
        self.app = Starlette(routes=self.api.routes())
        self._task: asyncio.Task[None] | None = None

    def start(self, epoch: int | None = None) -> None:
        """Starts the node, as the role's holder when an epoch is given."""
        self.role.set(epoch)
        self._task = asyncio.create_task(self._run())

    def kill(self) -> None:
        """Stops the node at once, without a planned stop."""
        if self._task is not None:
            self._task.cancel()

    async def submit(self, key: str | None = None, **job: Any) -> AsgiAnswer:
        """Submits a job."""
        headers = {} if key is None else {"Idempotency-Key": key}
        body = msgspec.json.encode(job)
        return await asgi_call(self.app, "POST", "/v1/jobs", body, headers)

    async def cancel(self, job_id: str) -> AsgiAnswer:
        """Cancels a job."""
        return await asgi_call(self.app, "DELETE", f"/v1/jobs/{job_id}")

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self.scheduler.run())
            group.create_task(self.api.run())


class ZoneBench:
    """A zone with workers, a platform and nodes that start and stop.

    Args:
      snapshot: the objects in force; all workers belong to one pool.
      make_scheduler: creates the core's scheduler.
      zone: the name of the zone.
      pool: the name of the workers' pool.
      racks: the number of racks of the zone.
      hosts_per_rack: the number of workers in each rack.
      run_s: run time of a task whose command names none, in seconds.
      writes_per_s: the limit on rows written per second, None for no limit.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        make_scheduler: MakeScheduler,
        zone: str = "patan",
        pool: str = "patan",
        racks: int = 1,
        hosts_per_rack: int = 8,
        run_s: float = 2.0,
        writes_per_s: int | None = None,
    ) -> None:
        """Creates a zone without nodes."""
        self.zone = ZoneName(zone)
        self.snapshot = snapshot
        self.make_scheduler = make_scheduler
        self.platform = FakePlatform(writes_per_s)
        self.network = FakeNetwork()
        hosts = worker_hosts(
            "127.0.0.1:1",
            [zone],
            racks=racks,
            hosts_per_rack=hosts_per_rack,
            pool=pool,
        )
        self.platform.hosts = hosts
        self.fleet = WorkerFleet.from_hosts(hosts, run_s)
        self._ticker: asyncio.Task[None] | None = None

    def wall_clock(self) -> float:
        """Returns the wall-clock time, which advances with the loop's time."""
        return WALL_CLOCK_S + self.now()

    def now(self) -> float:
        """Returns the loop's time, in seconds."""
        return asyncio.get_running_loop().time()

    def node(self, name: str, epoch: int | None = None) -> BenchNode:
        """Starts a node, as the role's holder when an epoch is given."""
        if self._ticker is None:
            self._ticker = asyncio.create_task(self._advance())
        node = BenchNode(self, name)
        node.start(epoch)
        return node

    def records(self) -> dict[str, Any]:
        """Returns the rows of all jobs."""
        return self.platform.table(f"jobs/{self.zone}")

    def states(self, job_ids: Sequence[str] | None = None) -> list[str]:
        """Returns the states of some jobs, or of all, from their rows."""
        if job_ids is None:
            return [record["state"] for record in self.records().values()]
        table = jobs_table(self.zone)
        return [self.platform.value(table, job)["state"] for job in job_ids]

    async def wait_for(
        self,
        *states: str,
        job_ids: Sequence[str] | None = None,
        timeout_s: float = 120.0,
        poll_interval_s: float = POLL_INTERVAL_S,
    ) -> float:
        """Waits until some jobs are all in one of the given states.

        Args:
          states: the states.
          job_ids: the jobs, None for all jobs of the zone.
          timeout_s: the longest wait, in seconds.
          poll_interval_s: the time between two checks, in seconds.

        Returns:
          The time waited, in seconds; `timeout_s` when it ran out.
        """
        started_at = self.now()
        while self.now() - started_at < timeout_s:
            found = self.states(job_ids)
            if found and set(found) <= set(states):
                return self.now() - started_at
            await asyncio.sleep(poll_interval_s)
        return timeout_s

    async def _advance(self) -> None:
        while True:
            self.fleet.advance(self.now())
            await asyncio.sleep(_ADVANCE_INTERVAL_S)
