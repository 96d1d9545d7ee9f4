"""Measures decision times and memory of a scheduler by fleet size."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Iterator

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import (
    Decision,
    Event,
    FleetChanged,
    JobCancelled,
    JobRecord,
    JobSpec,
    JobState,
    JobSubmitted,
    Member,
    OrderAnswered,
    OrderKind,
    OrderOutcome,
    RecordWritten,
    TaskReport,
    TaskState,
    WorkerOrder,
    WorkerReported,
    WriteRecord,
)
from pomeloarch_core.ids import (
    AttemptId,
    CallerName,
    Epoch,
    JobClassName,
    JobId,
    OrganisationName,
    ZoneName,
)
from pomeloarch_core.objects.model import WorkerPool
from pomeloarch_standins.gang_load import FIRMS, make_pool, make_snapshot
from pomeloarch_standins.gang_world import worker_infos
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.naive_gang import FifoScheduler

FLEETS = (24, 240, 1_456, 5_000)
_TASKS_PER_WORKER = 5
_EVENTS = 1_500
# The time of the naive search grows with the product of fleet and queue, so it
# gets fewer events and smaller fleets.
_NAIVE_EVENTS = 200
_MAX_NAIVE_WORKERS = 1_456
# Largest fleet that is measured with every seed.
_MAX_REPEATED_WORKERS = 1_456
_MEMORY_SEED = 1


def decision_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields decision times by fleet size, and for one seed the memory.

    The first seed also measures the largest fleet and the naive version.
    """
    first = seed == _MEMORY_SEED
    for workers in FLEETS:
        if not first and workers > _MAX_REPEATED_WORKERS:
            continue
        benchmark = _DecisionBenchmark(
            ZoneScheduler, workers, seed, traced=first
        )
        yield from _rows(benchmark.run(_EVENTS), workers, "product", seed)
        if first:
            used = benchmark.bytes / 1e6
            yield _row("memory", workers, "product", seed, used, "MB")
        if first and workers <= _MAX_NAIVE_WORKERS:
            benchmark = _DecisionBenchmark(
                FifoScheduler, workers, seed, traced=False
            )
            yield from _rows(
                benchmark.run(_NAIVE_EVENTS), workers, "naive", seed
            )


def _rows(
    times: list[float], workers: int, variant: str, seed: int
) -> Iterator[MeasureRow]:
    for name, share in (("p50", 0.5), ("p99", 0.99)):
        value = times[int(share * (len(times) - 1))]
        yield _row(f"decision_{name}", workers, variant, seed, value)


def _row(
    measure: str,
    workers: int,
    variant: str,
    seed: int,
    value: float,
    unit: str = "ms",
) -> MeasureRow:
    return MeasureRow(
        measure=f"gang_{measure}",
        case=f"{workers} workers",
        variant="product" if variant == "product" else "naive",
        seed=seed,
        value=value,
        unit=unit,
    )


class _DecisionBenchmark:
    """A scheduler of a busy fleet with jobs that start, end and are cancelled.

    Args:
      kind: the class of the scheduler.
      workers: the size of the fleet.
      seed: the seed of all random numbers.
      traced: whether the scheduler's memory is measured.

    Attributes:
      times: the times of all decisions, in milliseconds.
      bytes: the scheduler's memory, 0 when not measured.
    """

    def __init__(
        self,
        kind: type[ZoneScheduler],
        workers: int,
        seed: int,
        *,
        traced: bool,
    ) -> None:
        firm = FIRMS[0]
        pool = _resize(make_pool(firm), workers)
        snapshot = make_snapshot(firm)
        self._rng = random.Random(seed)
        self._infos = worker_infos(pool)[:workers]
        self._tasks: dict[str, list[TaskReport]] = {}
        self._count = 0
        self.times: list[float] = []
        self.bytes = 0
        gc.collect()
        if traced:
            tracemalloc.start()
        self._scheduler = kind.from_config(
            snapshot, ZoneName(firm.zone), Epoch(2), 0.0, self._rng
        )
        self._fill()
        if traced:
            self.bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()

    def _fill(self) -> None:
        """Lets the scheduler take over a fleet that runs jobs."""
        handle = self._scheduler.handle
        handle(FleetChanged(tuple(self._infos)), 0.0)
        for info in self._infos:
            reports = []
            for number in range(_TASKS_PER_WORKER):
                record = self._running_job(info.worker_id, number)
                handle(JobSubmitted(record), 0.0)
                reports.append(_report(record.attempt))
            self._tasks[info.worker_id] = reports
        for info in self._infos:
            tasks = tuple(self._tasks[info.worker_id])
            handle(WorkerReported(info.worker_id, tasks), 0.1)

    def _running_job(self, worker_id: str, number: int) -> JobRecord:
        spec = self._spec(f"r-{worker_id}-{number}", 1)
        return JobRecord(
            spec,
            state=JobState.RUNNING,
            attempt=AttemptId(f"{spec.job_id}.1.1"),
            attempts=1,
            epoch=Epoch(1),
            placement=(Member(worker_id, (number,)),),  # type: ignore[arg-type]
        )

    def _spec(self, job_id: str, size: int) -> JobSpec:
        return JobSpec(
            job_id=JobId(job_id),
            organisation=OrganisationName(
                self._rng.choice(("large", "middle", "small"))
            ),
            job_class=JobClassName(
                self._rng.choice(("standard", "batch", "counter"))
            ),
            members=1,
            accelerators=size,
            caller=CallerName(f"c{self._rng.randrange(50)}"),
        )

    def run(self, events: int) -> list[float]:
        """Returns the sorted times of all decisions, in milliseconds."""
        gc.collect()
        gc.freeze()
        now = 1.0
        for number in range(events):
            now += 0.01
            choice = number % 5
            if choice in (0, 1):
                size = self._rng.choice((1, 1, 2, 4, 8))
                self._count += 1
                spec = self._spec(f"n{self._count}", size)
                self._measure(JobSubmitted(JobRecord(spec)), now)
            elif choice == 2:
                self._end_task(now)
            elif choice == 3:
                self._heartbeat(now)
            else:
                target = self._rng.randrange(max(1, self._count)) + 1
                self._measure(JobCancelled(JobId(f"n{target}")), now)
        gc.unfreeze()
        return sorted(self.times)

    def _heartbeat(self, now: float) -> None:
        info = self._rng.choice(self._infos)
        tasks = tuple(self._tasks[info.worker_id])
        self._measure(WorkerReported(info.worker_id, tasks), now)

    def _end_task(self, now: float) -> None:
        info = self._rng.choice(self._infos)
        tasks = self._tasks[info.worker_id]
        running = [t for t in tasks if t.state is TaskState.RUNNING]
        if running:
            ended = self._rng.choice(running)
            tasks.remove(ended)
            final_report = _report(ended.attempt, TaskState.SUCCEEDED)
            event = WorkerReported(info.worker_id, (*tasks, final_report))
            self._measure(event, now)

    def _measure(self, event: Event, now: float) -> None:
        """Measures an event and the events that follow from its decisions."""
        pending: list[Event] = [event]
        while pending:
            started_at = time.perf_counter_ns()
            decisions = self._scheduler.handle(pending.pop(), now)
            self.times.append((time.perf_counter_ns() - started_at) / 1e6)
            for decision in decisions:
                pending.extend(self._respond(decision))

    def _respond(self, decision: Decision) -> Iterator[Event]:
        if isinstance(decision, WriteRecord):
            yield RecordWritten(decision.record)
        elif isinstance(decision, WorkerOrder):
            if decision.kind is OrderKind.START:
                tasks = self._tasks[decision.worker_id]
                tasks.append(_report(decision.attempt))
            elif decision.kind in (OrderKind.STOP, OrderKind.RELEASE):
                tasks = self._tasks[decision.worker_id]
                tasks[:] = [t for t in tasks if t.attempt != decision.attempt]
            yield OrderAnswered(decision, OrderOutcome.DONE)


def _report(
    attempt: AttemptId | None, state: TaskState = TaskState.RUNNING
) -> TaskReport:
    assert attempt is not None
    return TaskReport(attempt=attempt, member=0, state=state)


def _resize(pool: WorkerPool, workers: int) -> WorkerPool:
    racks = -(-workers // pool.hosts_per_rack)
    return WorkerPool(
        name=pool.name,
        availability_zone=pool.availability_zone,
        racks=racks,
        hosts_per_rack=pool.hosts_per_rack,
        accelerators_per_host=pool.accelerators_per_host,
        cores_per_host=pool.cores_per_host,
        memory_gb_per_host=pool.memory_gb_per_host,
    )
