"""Plays a load of batch jobs on one scheduler and a model of its workers.

There is no network: orders, reports and writes take fixed times in virtual
time, and nothing is lost. What is measured is what the scheduler decides.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import math
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from functools import singledispatchmethod
from typing import Any

import msgspec

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.messages import (
    Decision,
    EndedTask,
    Incarnation,
    JobAccepted,
    LogEntry,
    PaceTask,
    RequestAdvice,
    RosterWritten,
    RowWritten,
    RunEnd,
    RunningTask,
    RunNumber,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopAnswered,
    StopTask,
    TaskId,
    Tick,
    WorkerInfo,
    WorkerReported,
    WorkersListed,
    WriteRow,
)
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.preempting import CORES_PER_ACCELERATOR
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.ids import Epoch, JobId, WorkerId, ZoneName
from pomeloarch_standins.batch_load import (
    SERVICE,
    Arrival,
    Load,
    catalogue_of,
    draw_arrivals,
)

# One way between the scheduler and a worker, in seconds.
ORDER_S = 0.004
# Time until a row is durable, and until one that nobody waits for is written,
# in seconds.
WRITE_S = 0.025
BATCH_WRITE_S = 0.3
# How long a worker holds back its answer until a run ends, in seconds.
REPORT_WAIT_S = 1.0
URGENT_REPORT_WAIT_S = 0.5
# Pause before a worker is asked again whose ends were not acknowledged, in
# seconds.
KEPT_END_PAUSE_S = 0.05
TICK_S = 0.1
PLACING_DELAY_S = 0.015
# After the last arrival, jobs get this long to end, in seconds.
FINISH_S = 14.0
# A late job earns less up to this multiple of its objective.
LATE_FACTOR = 3.0
_SLOW_SPEED = 1 / 1.3


class Deployment(msgspec.Struct, frozen=True):
    """The workers, and the time limits of the deployment.

    Attributes:
      workers: number of workers.
      per_rack: workers of a rack.
      zones: number of availability zones.
      capacity: the resources of a worker.
      slow_every: one in this many workers is slow.
      stop_s: how long stopping a task takes, in seconds.
      checkpoint_s: work between two checkpoints, in seconds.
      restore_s: how long resuming from a checkpoint takes, in seconds.
      far_factor: how many times as long a same-rack gang takes on several
        racks.
    """

    workers: int = 270
    per_rack: int = 8
    zones: int = 5
    capacity: Resources = Resources(128_000, 262_144, 8)
    slow_every: int = 3
    stop_s: float = 0.9
    checkpoint_s: float = 2.0
    restore_s: float = 0.6
    far_factor: float = 3.0


class Outcome(msgspec.Struct):
    """What became of the jobs of one queue.

    Attributes:
      jobs: number of jobs.
      on_time: jobs that were done in time.
      late: jobs that were done late.
      owed: what all jobs were worth.
      earned: what was earned.
      waits_s: time from each job's arrival to its first start, in seconds.
    """

    jobs: int = 0
    on_time: int = 0
    late: int = 0
    owed: float = 0.0
    earned: float = 0.0
    waits_s: list[float] = []


class LoadResult(msgspec.Struct):
    """What a load led to.

    Attributes:
      outcomes: by queue.
      lost_core_s: core-seconds of work that was thrown away, by reason.
      used_core_s: core-seconds of all runs.
      starts: number of groups that were started.
      stops: number of groups that were stopped, by reason.
      rounds: number of rounds of placing.
      placing_s: processor time of all rounds, in seconds.
      slowest_round_s: processor time of the slowest round, in seconds.
    """

    outcomes: dict[str, Outcome]
    lost_core_s: defaultdict[str, float]
    used_core_s: float = 0.0
    starts: int = 0
    stops: Counter[str] = msgspec.field(default_factory=Counter)
    rounds: int = 0
    placing_s: float = 0.0
    slowest_round_s: float = 0.0

    @property
    def earned_share(self) -> float:
        """What was earned, as a share of what was owed."""
        owed = sum(each.owed for each in self.outcomes.values())
        return sum(each.earned for each in self.outcomes.values()) / owed

    @property
    def lost_share(self) -> float:
        """Work that was thrown away, as a share of all work."""
        return sum(self.lost_core_s.values()) / self.used_core_s


class _Run:
    """A run of one task on a worker."""

    def __init__(self, order: StartTask, arrival: Arrival, now: float) -> None:
        self.task = order.task
        self.number = order.run
        self.arrival = arrival
        self.worker_id = order.worker_id
        self.started_at = now
        self.began_at: float | None = None
        self.saved = float(order.checkpoint or 0.0)
        self.stops_at: float | None = None
        self.restored = bool(order.checkpoint)


class _ModelWorker:
    """What a worker runs, and the ends that it reports."""

    def __init__(self, info: WorkerInfo, speed: float) -> None:
        self.info = info
        self.speed = speed
        self.runs: dict[TaskId, _Run] = {}
        self.ends: list[EndedTask] = []
        self.end_count = 0
        self.asked_at: float | None = None
        self.asked_until = 0.0
        self.is_polled = False


class LoadRun:
    """One scheduler, the model of its workers, and the jobs of a load.

    Args:
      load: the load.
      seed: the seed of its jobs.
      deployment: the workers.
      catalogue: the configuration.
      placing_slowdown: time that a round of placing takes, as a multiple of
        the processor time that it takes here; 0 for rounds that take no time,
        which repeat exactly.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        deployment: Deployment | None = None,
        catalogue: Catalogue | None = None,
        placing_slowdown: float = 0.0,
    ) -> None:
        """Prepares the workers; no job has arrived yet."""
        self._cfg = deployment or Deployment()
        self._load = load
        self._slowdown = placing_slowdown
        self._rng = random.Random(seed)
        self.now = 0.0
        self._times = DispatchTimes(
            self._cfg.stop_s, 3.4, 4.0, self._cfg.far_factor
        )
        self.scheduler = BatchScheduler(
            Epoch(256), catalogue or catalogue_of(24, 56), 0.0, self._times
        )
        self._arrivals = {
            each.job.job_id: each for each in draw_arrivals(load, seed)
        }
        self._workers = self._make_workers()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._gangs: dict[tuple[JobId, int], list[_Run]] = defaultdict(list)
        self._is_placing = False
        self._done_at: dict[JobId, float] = {}
        self._started_at: dict[JobId, float] = {}
        self._failed: set[JobId] = set()
        self._reasons: dict[tuple[str, int], str] = {}
        self.result = LoadResult({}, defaultdict(float))
        self.log: list[tuple[float, LogEntry]] = []

    def _make_workers(self) -> dict[WorkerId, _ModelWorker]:
        cfg = self._cfg
        found = {}
        for number in range(cfg.workers):
            rack = f"r{number // cfg.per_rack}"
            zone = number // cfg.per_rack % cfg.zones
            info = WorkerInfo(
                WorkerId(f"w{number:04}"),
                SERVICE,
                "",
                ZoneName(f"z{zone}"),
                cfg.capacity,
                frozenset({"a", rack}),
                rack,
            )
            slow = self._rng.random() < 1 / cfg.slow_every
            speed = _SLOW_SPEED if slow else 1.0
            found[info.worker_id] = _ModelWorker(info, speed)
        return found

    def play(self) -> LoadResult:
        """Plays the whole load; returns what became of its jobs."""
        infos = tuple(each.info for each in self._workers.values())
        self._emit(WorkersListed(infos))
        self._emit(RosterWritten(frozenset(self._workers)))
        for worker in self._workers.values():
            self._report(worker)
        for arrival in self._arrivals.values():
            self._at(arrival.at, functools.partial(self._accept, arrival))
        self._at(0.0, self._tick)
        until = self._load.for_s + FINISH_S
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self._settle()
        return self.result

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self.now + delay_s, action)

    def _accept(self, arrival: Arrival) -> None:
        self._emit(JobAccepted(arrival.job, JobRow.from_job(arrival.job)))

    def _tick(self) -> None:
        self._emit(Tick(self.now))
        self._after(TICK_S, self._tick)

    def _emit(self, event: Any) -> None:
        self._execute(self.scheduler.handle(event, self.now))
        if self.scheduler.needs_placing and not self._is_placing:
            self._is_placing = True
            self._after(PLACING_DELAY_S, self._place)

    def _place(self) -> None:
        began = time.process_time()
        decisions = self.scheduler.place(self.now)
        took_s = time.process_time() - began
        self.result.rounds += 1
        self.result.placing_s += took_s
        self.result.slowest_round_s = max(self.result.slowest_round_s, took_s)
        self._after(
            took_s * self._slowdown, lambda: self._end_round(decisions, took_s)
        )

    def _end_round(self, decisions: Sequence[Decision], took_s: float) -> None:
        self._execute(decisions)
        # The next round waits as long as this one took.
        pause_s = max(PLACING_DELAY_S, took_s * self._slowdown)
        self._after(pause_s - PLACING_DELAY_S, self._allow_round)

    def _allow_round(self) -> None:
        self._is_placing = False
        if self.scheduler.needs_placing:
            self._is_placing = True
            self._after(PLACING_DELAY_S, self._place)

    def _execute(self, decisions: Sequence[Decision]) -> None:
        for each in decisions:
            self._carry_out(each)

    @singledispatchmethod
    def _carry_out(self, decision: object) -> None:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_carry_out.register
    def _(self, order: StartTask) -> None:
        self._after(ORDER_S, lambda: self._on_start(order))

    @_carry_out.register
    def _(self, order: StopTask) -> None:
        self._after(ORDER_S, lambda: self._on_stop(order))

    @_carry_out.register
    def _(self, order: WriteRow) -> None:
        delay_s = WRITE_S if order.urgent else WRITE_S + BATCH_WRITE_S
        if order.row.status is JobStatus.FAILED:
            self._failed.add(order.job_id)
        written = RowWritten(order.job_id, order.change)
        completed = order.row.status is JobStatus.COMPLETED

        def write() -> None:
            if completed:
                self._done_at.setdefault(written.job_id, self.now)
            self._emit(written)

        self._after(delay_s, write)

    @_carry_out.register
    def _(self, entry: LogEntry) -> None:
        self.log.append((self.now, entry))
        fields = entry.fields
        if entry.event == "group started":
            self.result.starts += 1
            job_id = JobId(str(fields["task"]).split(".")[0])
            self._started_at.setdefault(job_id, self.now)
        elif entry.event == "group stopped":
            reason = _kind_of_reason(str(fields["reason"]))
            self.result.stops[reason] += 1
            key = str(fields["task"]).rsplit(".", 1)[0], int(str(fields["run"]))
            self._reasons[key] = reason

    @_carry_out.register
    def _(self, _decision: PaceTask) -> None:
        return

    @_carry_out.register
    def _(self, _decision: RequestAdvice) -> None:
        return

    def _on_start(self, order: StartTask) -> None:
        worker = self._workers[order.worker_id]
        arrival = self._arrivals[order.task.job_id]
        run = _Run(order, arrival, self.now)
        worker.runs[order.task] = run
        gang = self._gangs[order.task.job_id, order.run]
        if arrival.job.steps[0].gang:
            gang.append(run)
            if len(gang) == arrival.job.steps[0].count:
                self._begin(gang)
        else:
            self._begin([run])
        self._poll(worker)
        answer = StartAnswered(
            order.worker_id,
            order.task,
            order.run,
            StartOutcome.STARTED,
            settled=True,
        )
        self._after(ORDER_S, lambda: self._emit(answer))

    def _begin(self, runs: list[_Run]) -> None:
        """Begins the work of a gang that is whole, or of a single task."""
        arrival = runs[0].arrival
        step = arrival.job.steps[0]
        racks = {self._workers[each.worker_id].info.rack for each in runs}
        far = step.same_rack and len(racks) > 1
        slowest = min(self._workers[each.worker_id].speed for each in runs)
        run_s = arrival.run_s / slowest
        if far:
            run_s *= self._cfg.far_factor
        left_s = run_s * (1 - runs[0].saved)
        if runs[0].restored:
            left_s += self._cfg.restore_s
        fails = arrival.fails_at and runs[0].number == _first_run()
        if fails:
            left_s *= arrival.fails_at
        for each in runs:
            each.began_at = self.now
        how = RunEnd.FAILED if fails else RunEnd.DONE
        self._after(left_s, lambda: self._end_all(runs, how))

    def _end_all(self, runs: list[_Run], how: RunEnd) -> None:
        alive = [
            each
            for each in runs
            if self._workers[each.worker_id].runs.get(each.task) is each
            and each.stops_at is None
        ]
        if len(alive) < len(runs):
            return
        for number, each in enumerate(runs):
            own = RunEnd.BROKEN if how is RunEnd.FAILED and number else how
            self._end(each, own)

    def _end(self, run: _Run, how: RunEnd) -> None:
        worker = self._workers[run.worker_id]
        del worker.runs[run.task]
        worker.end_count += 1
        saved = self._saved(run) if how is not RunEnd.DONE else 0.0
        worker.ends.append(
            EndedTask(
                worker.end_count,
                run.task,
                run.number,
                how,
                str(saved) if saved else "",
            )
        )
        need = run.arrival.job.steps[0].need
        cores = (
            need.cpu_millis / 1000 + need.accelerators * CORES_PER_ACCELERATOR
        )
        took_s = self.now - run.started_at
        self.result.used_core_s += cores * took_s
        if how is not RunEnd.DONE:
            key = str(run.task).rsplit(".", 1)[0], run.number
            reason = self._reasons.get(key, how.value)
            lost_s = took_s - (saved - run.saved) * run.arrival.run_s
            self.result.lost_core_s[reason] += cores * max(0.0, lost_s)
        if worker.asked_at is not None:
            self._answer(worker, worker.asked_at)

    def _progress(self, run: _Run) -> float:
        """Returns the share of its work that a run has done."""
        if run.began_at is None:
            return run.saved
        worked_s = self.now - run.began_at
        if run.restored:
            worked_s = max(0.0, worked_s - self._cfg.restore_s)
        speed = self._workers[run.worker_id].speed
        return min(1.0, run.saved + worked_s * speed / run.arrival.run_s)

    def _saved(self, run: _Run) -> float:
        """Returns the share of its work that a run's checkpoint has."""
        step = run.arrival.job.steps[0]
        if not step.checkpointing:
            return 0.0
        done = self._progress(run)
        if run.stops_at is not None:
            return done
        each = self._cfg.checkpoint_s / run.arrival.run_s
        return run.saved + math.floor((done - run.saved) / each) * each

    def _on_stop(self, order: StopTask) -> None:
        worker = self._workers[order.worker_id]
        run = worker.runs.get(order.task)
        if run is not None and run.number == order.run and not run.stops_at:
            run.stops_at = self.now
            delay_s = self._cfg.stop_s * self._rng.uniform(0.3, 1.0)

            def end() -> None:
                if worker.runs.get(run.task) is run:
                    self._end(run, RunEnd.STOPPED)

            self._after(delay_s, end)
        answer = StopAnswered(order.worker_id, order.task, order.run)
        self._after(ORDER_S, lambda: self._emit(answer))

    def _poll(self, worker: _ModelWorker) -> None:
        """Asks a worker for reports as long as it may have any."""
        if worker.is_polled:
            return
        worker.is_polled = True
        self._ask(worker)

    def _ask(self, worker: _ModelWorker) -> None:
        worker_id = worker.info.worker_id
        if not self.scheduler.needs_polling(worker_id) and not worker.runs:
            worker.is_polled = False
            return
        acknowledged = self.scheduler.acknowledged_up_to(worker_id)
        asked_at = self.now
        wait_s = REPORT_WAIT_S
        if self.scheduler.needs_frequent_reports(worker_id):
            wait_s = URGENT_REPORT_WAIT_S

        def arrive() -> None:
            worker.ends = [e for e in worker.ends if e.number > acknowledged]
            if worker.ends:
                self._answer(worker, asked_at)
                return
            worker.asked_at = asked_at
            self._after(wait_s, give_up)

        def give_up() -> None:
            if worker.asked_at == asked_at:
                self._answer(worker, asked_at)

        self._after(ORDER_S, arrive)

    def _answer(self, worker: _ModelWorker, asked_at: float) -> None:
        worker.asked_at = None
        report = self._make_report(worker, asked_at)

        def receive() -> None:
            self._emit(report)
            pause_s = KEPT_END_PAUSE_S if report.ended else 0.0
            self._after(pause_s, lambda: self._ask(worker))

        self._after(ORDER_S, receive)

    def _report(self, worker: _ModelWorker) -> None:
        self._emit(self._make_report(worker, self.now))

    def _make_report(
        self, worker: _ModelWorker, asked_at: float
    ) -> WorkerReported:
        running = tuple(
            RunningTask(
                each.task,
                each.number,
                str(self._saved(each)) if self._saved(each) else "",
                round(100 * self._progress(each), 1),
            )
            for each in worker.runs.values()
        )
        return WorkerReported(
            worker.info.worker_id,
            Incarnation(1),
            asked_at,
            running,
            tuple(worker.ends),
        )

    def _settle(self) -> None:
        """Works out what each job has earned.

        A job that is not done and could still be in time isn't counted.
        """
        until = self._load.for_s + FINISH_S
        for job_id, arrival in self._arrivals.items():
            ends_at = arrival.at + arrival.objective_s
            if job_id not in self._done_at and ends_at > until:
                continue
            queue = arrival.kind.queue.name
            outcome = self.result.outcomes.setdefault(queue, Outcome())
            outcome.jobs += 1
            outcome.owed += arrival.worth
            if job_id in self._started_at:
                outcome.waits_s.append(self._started_at[job_id] - arrival.at)
            if job_id not in self._done_at:
                continue
            took_s = self._done_at[job_id] - arrival.at
            share = arrival.kind.late_worth / arrival.kind.worth
            if took_s <= arrival.objective_s:
                outcome.on_time += 1
                outcome.earned += arrival.worth
            elif took_s <= arrival.objective_s * LATE_FACTOR:
                outcome.late += 1
                outcome.earned += arrival.worth * share


def _first_run() -> RunNumber:
    return RunNumber(256 * 4096 + 1)


def _kind_of_reason(reason: str) -> str:
    """Returns a reason without the names of tasks and workers."""
    for kind in ("preempted", "delayed", "cancelled", "failed", "broken"):
        if kind in reason:
            return kind
    return reason.split(":")[-1].strip()
