"""Measures the job plane: platform use, takeovers and heartbeats.

Platform use and takeovers run the job planes of nodes on fakes in virtual time,
so that all waits are those of the product; processor time is real. Heartbeats
use HTTP on the loopback interface.
"""

from __future__ import annotations

import asyncio
import random
import threading
import time
from collections.abc import Iterable, Iterator

import aiohttp
import uvicorn
from result import Ok

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import (
    JobRecord,
    JobSpec,
    JobState,
    Member,
    OrderKind,
    WorkerOrder,
)
from pomeloarch_core.ids import (
    AttemptId,
    Epoch,
    JobClassName,
    JobId,
    NodeId,
    OrganisationName,
    PoolName,
    WorkerId,
    ZoneName,
)
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Urgency,
    WorkerPool,
)
from pomeloarch_node.job_records import encode
from pomeloarch_node.worker_client import (
    HttpWorkerClient,
    OrdersRequest,
)
from pomeloarch_standins.job_bench import BenchNode, ZoneBench
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.virtual_time import run_virtual
from pomeloarch_standins.worker_fleet import WorkerFleet, worker_hosts
from pomeloarch_standins.workers import WorkersApp

FLEETS = (24, 240, 1456)
TASKS_PER_WORKER = 5
_HOSTS_PER_RACK = 8
_JOBS = 60
# Time over which an idle zone is measured, in seconds.
_IDLE_S = 60.0
_HEARTBEATS = 2_000
# Number of heartbeats before the measurement of time, and of those whose bytes
# are counted.
_WARM_UP = 200
_TAKEOVER_TIMEOUT_S = 120.0
_LEASE_S = 600.0
_SERVER_POLL_S = 0.01
# Time within which the rows are written that a takeover defers, in seconds.
_DEFERRED_WRITES_S = 5.0
_HEARTBEAT = OrdersRequest(Epoch(7), NodeId("patan-1"), 6.0)


def rows(seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Yields the measurements of the job plane."""
    for seed in seeds:
        yield from _platform_use(seed)
        yield from _takeovers(seed)
        yield from _heartbeats(seed)


def _row(
    measure: str, case: str, seed: int, value: float, unit: str
) -> MeasureRow:
    return MeasureRow(measure, case, "product", seed, value, unit)


def _snapshot(workers: int) -> Snapshot:
    pool = WorkerPool(
        name=PoolName("patan"),
        availability_zone=ZoneName("patan"),
        racks=workers // _HOSTS_PER_RACK,
        hosts_per_rack=_HOSTS_PER_RACK,
        accelerators_per_host=8,
        cores_per_host=128,
        memory_gb_per_host=512,
    )
    objects = ObjectSet(
        availability_zone=(AvailabilityZone(ZoneName("patan"), "valley"),),
        worker_pool=(pool,),
        organisation=(Organisation(OrganisationName("desk")),),
        job_class=(JobClass(JobClassName("scan"), Urgency.URGENT),),
    )
    return Snapshot(1, "p1", objects)  # type: ignore[arg-type]


def _bench(workers: int) -> ZoneBench:
    return ZoneBench(
        _snapshot(workers),
        ZoneScheduler.from_config,
        racks=workers // _HOSTS_PER_RACK,
        hosts_per_rack=_HOSTS_PER_RACK,
    )


def _platform_use(seed: int) -> Iterator[MeasureRow]:
    reads_per_s, writes_per_s, writes_per_job, wait_s = run_virtual(
        _run_jobs(seed)
    )
    case = f"24 workers, {_JOBS} jobs"
    yield _row(
        "platform reads, idle zone", "24 workers", seed, reads_per_s, "1/s"
    )
    yield _row(
        "platform writes, idle zone", "24 workers", seed, writes_per_s, "1/s"
    )
    yield _row("platform writes a job", case, seed, writes_per_job, "rows")
    yield _row("accepted to running, p99", case, seed, wait_s, "s")


async def _run_jobs(seed: int) -> tuple[float, float, float, float]:
    rng = random.Random(seed)
    bench = _bench(24)
    node = bench.node("n1", 1)
    await asyncio.sleep(5.0)
    reads, writes = bench.platform.reads, bench.platform.written
    await asyncio.sleep(_IDLE_S)
    idle_reads = (bench.platform.reads - reads) / _IDLE_S
    idle_writes = (bench.platform.written - writes) / _IDLE_S
    writes = bench.platform.written
    waits_s = await asyncio.gather(
        *(
            _submit_and_wait(bench, node, rng.uniform(0.0, 30.0))
            for _ in range(_JOBS)
        )
    )
    await bench.wait_for("succeeded")
    writes_per_job = (bench.platform.written - writes) / _JOBS
    return idle_reads, idle_writes, writes_per_job, sorted(waits_s)[-1]


async def _submit_and_wait(
    bench: ZoneBench, node: BenchNode, after_s: float
) -> float:
    await asyncio.sleep(after_s)
    answer = await node.submit(
        key=str(after_s), organisation="desk", job_class="scan"
    )
    job_id = answer.json()["job_id"]
    return await bench.wait_for(
        "running", job_ids=[job_id], poll_interval_s=0.01
    )


def _takeovers(seed: int) -> Iterator[MeasureRow]:
    for workers in FLEETS:
        took_s, cpu_s, reads, writes = run_virtual(_take_over(workers))
        case = f"{workers} workers, {workers * TASKS_PER_WORKER} jobs"
        yield _row("takeover, waits", case, seed, took_s, "s")
        yield _row("takeover, processor", case, seed, cpu_s, "s")
        yield _row("takeover, platform reads", case, seed, reads, "calls")
        yield _row("takeover, platform writes", case, seed, writes, "rows")


async def _take_over(workers: int) -> tuple[float, float, int, int]:
    bench = _bench(workers)
    for worker_id in bench.fleet.workers:
        _occupy(bench, worker_id)
    jobs = workers * TASKS_PER_WORKER
    node = bench.node("n1")
    await asyncio.sleep(1.0)
    reads, writes = bench.platform.reads, bench.platform.written
    started_at, cpu_started_at = bench.now(), time.process_time()
    node.role.set(2)
    running = 0
    while running < jobs and bench.now() - started_at < _TAKEOVER_TIMEOUT_S:
        await asyncio.sleep(0.1)
        status = node.scheduler.status()
        running = status.get("jobs", {}).get("running", 0)
    took_s = bench.now() - started_at
    cpu_s = time.process_time() - cpu_started_at
    reads = bench.platform.reads - reads
    await asyncio.sleep(_DEFERRED_WRITES_S)
    return took_s, cpu_s, reads, bench.platform.written - writes


def _occupy(bench: ZoneBench, worker_id: str) -> None:
    """Starts one-accelerator jobs on a worker and writes their rows."""
    worker = bench.fleet.workers[worker_id]
    req = _busy_orders(worker_id)
    for order in req.orders[::2]:
        spec = JobSpec(
            order.job_id,
            OrganisationName("desk"),
            JobClassName("scan"),
            1,
            1,
            command=order.command,
        )
        member = Member(worker.info.worker_id, order.accelerators)
        record = JobRecord(
            spec,
            JobState.RUNNING,
            order.attempt,
            1,
            Epoch(1),
            (member,),
            reason="all members run",
        )
        bench.platform.put("jobs/patan", order.job_id, encode(record))
    worker.handle(req, 0.0)


def _busy_orders(worker_id: str) -> OrdersRequest:
    """Returns orders that start tasks that run for hours."""
    orders = []
    for number in range(TASKS_PER_WORKER):
        job_id = JobId(f"patan-{worker_id}{number:020d}")
        for kind in (OrderKind.RESERVE, OrderKind.START):
            order = WorkerOrder(
                worker_id=WorkerId(worker_id),
                kind=kind,
                epoch=Epoch(1),
                job_id=job_id,
                attempt=AttemptId(f"{job_id}.1.1"),
                member=0,
                accelerators=(number,),
                memory_gb=1.0,
                command="run_s=36000",
            )
            orders.append(order)
    return OrdersRequest(Epoch(1), NodeId("n0"), _LEASE_S, tuple(orders))


def _heartbeats(seed: int) -> Iterator[MeasureRow]:
    case = f"{TASKS_PER_WORKER} tasks a worker"
    sent, received, cpu_us = asyncio.run(_heartbeat())
    yield _row("heartbeat sent, HTTP", case, seed, sent, "bytes")
    yield _row("heartbeat received, HTTP", case, seed, received, "bytes")
    yield _row("heartbeat, processor of the node", case, seed, cpu_us, "us")


class _CountingRelay:
    """Relays and counts the bytes between a client and a server."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.sent = 0
        self.received = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until the client closes it."""
        server_reader, server_writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        returning = asyncio.create_task(self._relay_back(server_reader, writer))
        while data := await reader.read(65_536):
            self.sent += len(data)
            server_writer.write(data)
        server_writer.close()
        await returning

    async def _relay_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.received += len(data)
            writer.write(data)
        writer.close()


async def _heartbeat() -> tuple[float, float, float]:
    """Returns the bytes sent and received and the time of one heartbeat.

    The time is the processor time of the node's thread, in microseconds. The
    worker runs on another thread, whose time is not counted.
    """
    hosts = worker_hosts("127.0.0.1:1", ["patan"], hosts_per_rack=1)
    fleet = WorkerFleet.from_hosts(hosts)
    worker = next(iter(fleet.workers.values()))
    worker.handle(_busy_orders(str(worker.info.worker_id)), time.monotonic())
    config = uvicorn.Config(
        WorkersApp(fleet).app(),
        host="127.0.0.1",
        port=0,
        loop="asyncio",
        log_level="warning",
        access_log=False,
    )
    server = uvicorn.Server(config)
    thread = threading.Thread(target=server.run, daemon=True)
    thread.start()
    await asyncio.to_thread(_wait_for_start, server)
    port = server.servers[0].sockets[0].getsockname()[1]
    try:
        sent, received = await _count_bytes(port)
        async with aiohttp.ClientSession() as session:
            client = HttpWorkerClient(session)
            cpu_us = await _time_heartbeats(client, _address(port))
        return sent, received, cpu_us
    finally:
        server.should_exit = True
        await asyncio.to_thread(thread.join)


async def _count_bytes(port: int) -> tuple[float, float]:
    relay = _CountingRelay(port)
    listener = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    address = _address(listener.sockets[0].getsockname()[1])
    async with aiohttp.ClientSession() as session:
        client = HttpWorkerClient(session)
        for _ in range(_WARM_UP):
            answer = await client.post(address, _HEARTBEAT)
            assert isinstance(answer, Ok), answer
    listener.close()
    return relay.sent / _WARM_UP, relay.received / _WARM_UP


def _address(port: int) -> str:
    return f"127.0.0.1:{port}/patan-r1-w1"


async def _time_heartbeats(client: HttpWorkerClient, address: str) -> float:
    started_at = 0.0
    for number in range(_WARM_UP + _HEARTBEATS):
        if number == _WARM_UP:
            started_at = time.thread_time()
        answer = await client.post(address, _HEARTBEAT)
        assert isinstance(answer, Ok), answer
    return (time.thread_time() - started_at) / _HEARTBEATS * 1e6


def _wait_for_start(server: uvicorn.Server) -> None:
    while not server.started:
        time.sleep(_SERVER_POLL_S)
