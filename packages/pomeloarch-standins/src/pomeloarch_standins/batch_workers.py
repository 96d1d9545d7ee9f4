"""Workers in memory: leases, fences, gangs, and orders carried out late.

Each keeps what the platform's workers keep: the highest fence, runs with
leases on its own clock, and ends until they are acknowledged. A ledger
outside of them sees every start and end, as callers would.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    RunEnd,
    RunningTask,
    RunNumber,
    StartOutcome,
    StartTask,
    TaskId,
    WorkerInfo,
)
from pomeloarch_core.batch.model import NO_RESOURCES, BatchJob, Resources, Step
from pomeloarch_core.ids import Epoch, JobId
from pomeloarch_node.batch.ports import (
    OrderFailure,
    StartAnswer,
    WorkerState,
)

GANG_TIMEOUT_S = 3.0
STOP_S = 0.2
HOLD_MAX_S = 6.0
CALL_S = 0.003
TIMEOUT_S = 0.7
LATE_S = (2.0, 12.0)

GangKey = tuple[JobId, int, int, int]


class LedgerEntry(msgspec.Struct):
    """One run of a task, from its start to its end.

    Attributes:
      task: the task.
      run: which run.
      worker: where.
      began: when it started.
      ended: when it ended, None while it runs.
      how: how it ended, None for a worker that crashed.
      noted: whether that end was acknowledged.
      late: whether the order was carried out late.
      void: whether the worker's lease ran out before it was acknowledged.
    """

    task: TaskId
    run: int
    worker: str
    began: float
    ended: float | None = None
    how: RunEnd | None = None
    noted: bool = False
    late: bool = False
    void: bool = False


class Ledger:
    """All runs that any worker began."""

    def __init__(self) -> None:
        """Starts empty."""
        self.entries: list[LedgerEntry] = []

    def broken_promises(self) -> list[str]:
        """Returns what was done twice, one sentence a case."""
        found = []
        by_task: dict[TaskId, list[LedgerEntry]] = defaultdict(list)
        for each in self.entries:
            by_task[each.task].append(each)
        for task, runs in by_task.items():
            for first, second in itertools.pairwise(runs):
                if second.late:
                    continue
                if first.ended is None or first.ended > second.began:
                    found.append(f"{task}: two runs at {second.began:.3f} s")
            done = [r for r in runs if r.how is RunEnd.DONE and r.noted]
            for each in done:
                later = [
                    r
                    for r in runs
                    if r.began > (each.ended or 0.0) and not r.late
                ]
                if later:
                    found.append(
                        f"{task}: started at {later[0].began:.3f} s after it "
                        f"was done at {each.ended:.3f} s"
                    )
        return found


class _Run:
    """A run on a worker."""

    def __init__(self, order: StartTask, entry: LedgerEntry) -> None:
        self.task = order.task
        self.number = order.run
        self.entry = entry
        self.began = entry.began
        self.works_from: float | None = None
        self.stops_at: float | None = None


class WorkerModel:
    """One worker.

    Attributes:
      info: what the list says of it.
      cut: whether no call arrives.
      lose_share: share of orders that are left unanswered.
      late_share: share of those that are carried out seconds later.
      fails: whether it fails all that it starts.

    Args:
      info: what the list says of it.
      jobs: jobs by id, for what a task takes.
      duration_s: how long a task runs, in seconds.
      gangs: members of gangs that are present, shared by all workers.
      ledger: where runs are written.
      rng: chance.
    """

    def __init__(
        self,
        info: WorkerInfo,
        jobs: dict[JobId, BatchJob],
        duration_s: Callable[[TaskId], float],
        gangs: dict[GangKey, dict[int, WorkerModel]],
        ledger: Ledger,
        rng: random.Random,
    ) -> None:
        """Starts with nothing running."""
        self.info = info
        self.cut = False
        self.lose_share = 0.0
        self.late_share = 0.0
        self.fails = False
        self._jobs = jobs
        self._duration_s = duration_s
        self._gangs = gangs
        self._ledger = ledger
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()
        self.lives = 0
        self._reset()

    def _reset(self) -> None:
        self.lives += 1
        self._fence = 0
        self._runs: dict[TaskId, _Run] = {}
        self._highest: dict[TaskId, int] = {}
        self._ends: list[tuple[EndedTask, LedgerEntry]] = []
        self._counted = 0
        self._deadline = 0.0
        self._started_at = self._now()

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def clock_ms(self) -> int:
        """Returns its own clock, in milliseconds since its start."""
        return int((self._now() - self._started_at) * 1000)

    def crash(self) -> None:
        """Loses everything, and begins a new life."""
        now = self._now()
        lost, self._runs = list(self._runs.values()), {}
        for run in lost:
            run.entry.ended = now
            self._leave_gang(run)
        for run in lost:
            self._break_rest(run)
        for _, entry in self._ends:
            entry.noted = False
        self._reset()

    # ---- what time does

    def advance(self) -> None:
        """Ends what has ended by now."""
        now = self._now()
        if self.clock_ms() / 1000 > self._deadline:
            # What ended before is not taken note of any more.
            for _, entry in self._ends:
                entry.void = True
            for run in list(self._runs.values()):
                if run.task in self._runs:
                    self._end(run, RunEnd.LAPSED)
        for run in list(self._runs.values()):
            if run.task in self._runs:
                self._advance(run, now)

    def _advance(self, run: _Run, now: float) -> None:
        if run.stops_at is not None:
            if run.stops_at <= now:
                self._end(run, RunEnd.STOPPED)
            return
        step = self._step(run.task)
        if run.works_from is None:
            self._wait_for_gang(run, step, now)
            return
        if now - run.works_from < self._duration_s(run.task):
            return
        if self.fails:
            self._end(run, RunEnd.FAILED)
        elif step.gang:
            for worker in list(self._members(run).values()):
                worker.finish(self._gang_key(run))
        else:
            self._end(run, RunEnd.DONE)

    def _wait_for_gang(self, run: _Run, step: Step, now: float) -> None:
        if len(self._members(run)) >= step.count:
            run.works_from = now
        elif now - run.began > GANG_TIMEOUT_S:
            self._end(run, RunEnd.ALONE)

    def finish(self, gang: GangKey) -> None:
        """Ends this worker's members of a gang that is done."""
        for run in list(self._runs.values()):
            if self._gang_key(run) == gang:
                self._end(run, RunEnd.DONE)

    def break_gang(self, gang: GangKey) -> None:
        """Ends this worker's members of a gang that lost one."""
        for run in list(self._runs.values()):
            there = run.task in self._runs and run.works_from is not None
            if there and self._gang_key(run) == gang:
                self._end(run, RunEnd.BROKEN)

    def _end(self, run: _Run, how: RunEnd) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        run.entry.ended, run.entry.how = self._now(), how
        self._counted += 1
        end = EndedTask(self._counted, run.task, run.number, how)
        self._ends.append((end, run.entry))
        self._leave_gang(run)
        if how is not RunEnd.DONE:
            self._break_rest(run)

    def _break_rest(self, run: _Run) -> None:
        """Ends what other workers run of a gang that has lost this run."""
        if self._step(run.task).gang:
            for worker in list(self._members(run).values()):
                worker.break_gang(self._gang_key(run))

    def _step(self, task: TaskId) -> Step:
        return self._jobs[task.job_id].steps[task.step]

    def _gang_key(self, run: _Run) -> GangKey:
        task = run.task
        return task.job_id, task.occurrence, task.step, run.number

    def _members(self, run: _Run) -> dict[int, WorkerModel]:
        return self._gangs.setdefault(self._gang_key(run), {})

    def _leave_gang(self, run: _Run) -> None:
        self._members(run).pop(run.task.index, None)

    # ---- orders

    def has_room(self, task: TaskId) -> bool:
        """Whether a task fits beside what runs."""
        used = NO_RESOURCES
        for run in self._runs.values():
            used += self._step(run.task).allocation
        room: Resources = self.info.capacity - used
        return self._step(task).allocation.fits_in(room)

    def hold(
        self, fence: int, acknowledged: int, deadline_ms: int | None
    ) -> bool:
        """Extends leases; False for an old fence."""
        self.advance()
        if fence < self._fence:
            return False
        self._fence = fence
        if deadline_ms is not None:
            self._extend(deadline_ms)
        kept = []
        for end, entry in self._ends:
            if end.number <= acknowledged:
                entry.noted = not entry.void
            else:
                kept.append((end, entry))
        self._ends = kept
        return True

    def _extend(self, deadline_ms: int) -> None:
        most = self.clock_ms() / 1000 + HOLD_MAX_S
        self._deadline = max(self._deadline, min(deadline_ms / 1000, most))

    def state(self) -> WorkerState:
        """Returns what it runs and what has ended."""
        self.advance()
        running = tuple(
            RunningTask(run.task, run.number) for run in self._runs.values()
        )
        ended = tuple(end for end, _ in self._ends)
        return WorkerState(
            Incarnation(self.lives), self.clock_ms(), running, ended
        )

    @property
    def ends_listed(self) -> int:
        """How many ends it has listed in this life."""
        return self._counted

    def begin(
        self, order: StartTask, fence: int, deadline_ms: int, late: bool
    ) -> StartOutcome | None:
        """Starts a task; None for an old fence."""
        self.advance()
        if fence < self._fence:
            return None
        self._fence = fence
        if deadline_ms < self.clock_ms():
            return StartOutcome.TOO_LATE
        self._extend(deadline_ms)
        there = self._runs.get(order.task)
        if there is not None:
            same = there.number == order.run
            return StartOutcome.STARTED if same else StartOutcome.OLD_RUN
        if order.run <= self._highest.get(order.task, 0):
            return StartOutcome.OLD_RUN
        if not self.has_room(order.task):
            return StartOutcome.NO_ROOM
        entry = LedgerEntry(
            order.task,
            order.run,
            str(self.info.worker_id),
            self._now(),
            late=late,
        )
        self._ledger.entries.append(entry)
        run = self._runs[order.task] = _Run(order, entry)
        if self._step(order.task).gang:
            self._members(run)[order.task.index] = self
        else:
            run.works_from = run.began
        return StartOutcome.STARTED

    def end(self, task: TaskId, run: int, fence: int) -> bool:
        """Stops a run, or bars it; False for an old fence."""
        self.advance()
        if fence < self._fence:
            return False
        self._fence = fence
        self._highest[task] = max(self._highest.get(task, 0), run)
        there = self._runs.get(task)
        if there is not None and there.number <= run:
            there.stops_at = there.stops_at or self._now() + STOP_S
        return True

    def later(self, wait_s: float, act: Callable[[], object]) -> None:
        """Carries an order out after its caller has given up."""
        task = asyncio.create_task(_after(wait_s, act))
        self._late.add(task)
        task.add_done_callback(self._late.discard)


async def _after(wait_s: float, act: Callable[[], object]) -> None:
    await asyncio.sleep(wait_s)
    act()


class ModelLink:
    """One node's link to a model of a worker.

    Args:
      worker: the worker.
      life: the life of the worker that orders are for.
      reachable: whether this node reaches it now.
      rng: chance.
    """

    def __init__(
        self,
        worker: WorkerModel,
        reachable: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Starts as a link to the worker's present life."""
        self._worker = worker
        self._life = worker.lives
        self._reachable = reachable
        self._rng = rng

    async def reset(self) -> None:
        """Has no connections to drop."""

    async def close(self) -> None:
        """Has no connections to end."""

    async def _arrive(self, act: Callable[[bool], object]) -> bool:
        """Returns whether the order arrives and will be answered."""
        worker = self._worker
        if worker.cut or not self._reachable():
            await asyncio.sleep(TIMEOUT_S)
            return False
        await asyncio.sleep(CALL_S)
        if self._rng.random() >= worker.lose_share:
            return True
        if self._rng.random() < worker.late_share:
            worker.later(self._rng.uniform(*LATE_S), lambda: act(True))
        await asyncio.sleep(TIMEOUT_S)
        return False

    async def renew(
        self,
        fence: Epoch,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[WorkerState, OrderFailure]:
        """Extends the leases of all that runs, and asks what does."""

        def act(_late: bool) -> bool:
            return self._worker.hold(fence, acknowledged, deadline_ms)

        if not await self._arrive(act):
            return Err(OrderFailure.NO_ANSWER)
        if not act(False):
            return Err(OrderFailure.SUPERSEDED)
        listed = self._worker.ends_listed
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while loop.time() < until and self._worker.ends_listed == listed:
            await asyncio.sleep(0.02)
            self._worker.advance()
        return Ok(self._worker.state())

    async def start(
        self, order: StartTask, fence: Epoch, deadline_ms: int
    ) -> Result[StartAnswer, OrderFailure]:
        """Starts a task; repeating it does no harm."""

        def act(late: bool) -> StartOutcome | None:
            return self._worker.begin(order, fence, deadline_ms, late)

        if not await self._arrive(act):
            return Err(OrderFailure.NO_ANSWER)
        outcome = act(False)
        if outcome is None:
            return Err(OrderFailure.SUPERSEDED)
        return Ok(StartAnswer(outcome, self._worker.clock_ms()))

    async def stop(
        self, task_name: str, run: RunNumber, fence: Epoch
    ) -> Result[None, OrderFailure]:
        """Stops a run, or keeps one from starting that isn't there yet."""
        task = TaskId.parse(task_name)
        assert task is not None

        def act(_late: bool) -> bool:
            return self._worker.end(task, run, fence)

        if not await self._arrive(act):
            return Err(OrderFailure.NO_ANSWER)
        return Ok(None) if act(False) else Err(OrderFailure.SUPERSEDED)

    async def pace(
        self, task_name: str, run: RunNumber, percent: int, fence: Epoch
    ) -> Result[None, OrderFailure]:
        """Takes the order; tasks of this model have one pace."""
        return Ok(None)
