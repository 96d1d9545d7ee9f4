"""In-memory models of workers with leases, fences, gangs and delayed orders.

Each model keeps the state that the platform's workers keep: the highest fence
seen, runs with leases on the worker's own clock, and the ends of runs until
they are acknowledged. A ledger outside of the workers records every start and
end for the checks of tests.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable, Container
from typing import TypeVar

from result import Err, Ok, Result

from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    RunEnd,
    RunningTask,
    RunNumber,
    StartOutcome,
    StartTask,
    StepId,
    TaskId,
    WorkerInfo,
)
from pomeloarch_core.batch.model import NO_RESOURCES, BatchJob, Resources, Step
from pomeloarch_core.ids import Epoch, JobId, WorkerId
from pomeloarch_node.batch.ports import (
    OrderFailure,
    StartAnswer,
    WorkerState,
)
from pomeloarch_standins.batch_gates import ProcessGate
from pomeloarch_standins.batch_ledger import Ledger, LedgerEntry

_Answer = TypeVar("_Answer")

# Time that a member of a gang waits for the other members, in seconds.
GANG_TIMEOUT_S = 3.0
# Time between the order to stop a run and its end, in seconds.
STOP_DURATION_S = 0.2
# Maximum number of ends in one report.
MAX_REPORTED_ENDS = 500
# Longest lease that a worker grants, in seconds.
MAX_LEASE_S = 6.0
# Time until a call reaches the worker, in seconds.
CALL_LATENCY_S = 0.003
# Time after which a caller gives up a call, in seconds.
TIMEOUT_S = 0.7
# Interval at which a worker checks for runs that are due to end, in seconds.
ADVANCE_INTERVAL_S = 0.02
# Range of the delay of an order that is carried out late, in seconds.
LATE_RANGE_S = (2.0, 12.0)

# Job, occurrence, step and run.
GangKey = tuple[JobId, int, int, int]


def make_ticket(
    step: StepId, worker_id: WorkerId, incarnation: Incarnation
) -> str:
    """Returns the ticket of a step for one life of a worker."""
    return f"{step} {worker_id} {incarnation}"


class _Run:
    """A run on a worker."""

    def __init__(self, order: StartTask, entry: LedgerEntry) -> None:
        self.task = order.task
        self.number = order.run
        self.entry = entry
        self.started_at = entry.started_at
        self.working_since: float | None = None
        self.stops_at: float | None = None


class WorkerModel:
    """A model of one worker.

    Attributes:
      info: the worker's entry in the platform's list.
      is_cut_off: whether no call reaches the worker.
      is_down: whether no process of the worker runs, so that nothing listens at
        its address; it has no runs then.
      crashes_silently: whether calls in progress at a crash get no answer until
        their time-out; otherwise their connections are closed at once.
      lose_share: the share of orders that are not answered.
      late_share: the share of those that are carried out seconds later.
      refuse_share: the share of orders to start that it refuses as unhealthy,
        without any effect.
      kept_start_s: time after which the next order to start is carried out, in
        seconds, None to carry it out at once. The order gets no answer.
      max_answer_delay_s: limit on the additional delay of each answer, in
        seconds; answers may overtake each other.
      fails_all: whether all of its tasks fail.
      checks_room: whether it refuses a task that doesn't fit.
      answers_listed_ends: whether it answers a renewal at once while it lists
        an end; otherwise only another end cuts the wait for an end short.
      incarnation: how often the worker has started.

    Args:
      info: the worker's entry in the platform's list.
      jobs: jobs by id, from which the resources of a task are read.
      duration_s: how long a task runs, in seconds.
      gangs: the present members of each gang, shared by all workers.
      ledger: records the runs.
      rng: draws faults and delays.
      failing_jobs: jobs of which all runs fail.
      failing_once: how long the next run of a task works before it fails, in
        seconds, for the tasks that fail once; shared by all workers.
    """

    def __init__(
        self,
        info: WorkerInfo,
        jobs: dict[JobId, BatchJob],
        duration_s: Callable[[TaskId], float],
        gangs: dict[GangKey, dict[int, WorkerModel]],
        ledger: Ledger,
        rng: random.Random,
        failing_jobs: Container[JobId] = (),
        failing_once: dict[TaskId, float] | None = None,
    ) -> None:
        """Creates a worker without runs."""
        self._failing_once = {} if failing_once is None else failing_once
        self.info = info
        self.is_cut_off = False
        self.is_down = False
        self.crashes_silently = True
        self.lose_share = 0.0
        self.late_share = 0.0
        self.refuse_share = 0.0
        self.kept_start_s: float | None = None
        self.max_answer_delay_s = 0.0
        self.fails_all = False
        self.checks_room = True
        self.answers_listed_ends = False
        self._jobs = jobs
        self._duration_s = duration_s
        self._gangs = gangs
        self._ledger = ledger
        self._rng = rng
        self._failing_jobs = failing_jobs
        self._late: set[asyncio.Task[None]] = set()
        self._clock_rate = 1.0
        self.incarnation = 0
        self._reset()

    def _reset(self) -> None:
        self.incarnation += 1
        self._fence = 0
        self._runs: dict[TaskId, _Run] = {}
        self._highest: dict[TaskId, int] = {}
        self._ends: list[tuple[EndedTask, LedgerEntry]] = []
        self._end_count = 0
        self._deadline = 0.0
        # The worker's clock at one time of the loop, both in seconds.
        self._clock_reading = (0.0, self._now())

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def clock_rate(self) -> float:
        """The speed of the worker's clock; 0.98 is 2% slow."""
        return self._clock_rate

    @clock_rate.setter
    def clock_rate(self, rate: float) -> None:
        self._clock_reading = self._clock_s(), self._now()
        self._clock_rate = rate

    def _clock_s(self) -> float:
        reading_s, read_at = self._clock_reading
        return reading_s + (self._now() - read_at) * self._clock_rate

    def clock_ms(self) -> int:
        """Returns the worker's own clock, in milliseconds since its start."""
        return int(self._clock_s() * 1000)

    def crash(self) -> None:
        """Loses all state and starts as a new incarnation."""
        now = self._now()
        lost, self._runs = list(self._runs.values()), {}
        for run in lost:
            run.entry.ended_at = now
            self._leave_gang(run)
        for run in lost:
            self._break_other_members(run)
        self._reset()

    def advance(self) -> None:
        """Ends the runs that are due by now."""
        now = self._now()
        if self.clock_ms() / 1000 > self._deadline:
            # Ends from before the lease ran out no longer count as
            # acknowledged.
            for _, entry in self._ends:
                entry.expired = True
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
        if run.working_since is None:
            self._wait_for_gang(run, step, now)
            return
        worked_s = now - run.working_since
        if worked_s >= self._failing_once.get(run.task, float("inf")):
            del self._failing_once[run.task]
            self._end(run, RunEnd.FAILED)
            return
        if worked_s < self._duration_s(run.task):
            return
        fails = self.fails_all or run.task.job_id in self._failing_jobs
        if step.long_running and not fails:
            return
        if fails:
            self._end(run, RunEnd.FAILED)
        elif step.gang:
            for worker in list(self._members(run).values()):
                worker.finish_gang(self._gang_key(run))
        else:
            self._end(run, RunEnd.DONE)

    def _wait_for_gang(self, run: _Run, step: Step, now: float) -> None:
        if len(self._members(run)) >= step.count:
            run.working_since = now
        elif now - run.started_at > GANG_TIMEOUT_S:
            self._end(run, RunEnd.ALONE)

    def finish_gang(self, gang: GangKey) -> None:
        """Ends this worker's members of a gang whose work is done."""
        for run in list(self._runs.values()):
            if self._gang_key(run) == gang:
                self._end(run, RunEnd.DONE)

    def break_gang(self, gang: GangKey) -> None:
        """Ends this worker's working members of a gang that lost a member."""
        for run in list(self._runs.values()):
            working = run.task in self._runs and run.working_since is not None
            if working and self._gang_key(run) == gang:
                self._end(run, RunEnd.BROKEN)

    def _end(self, run: _Run, outcome: RunEnd) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(
            self._highest.get(run.task, 0), run.number
        )
        run.entry.ended_at, run.entry.outcome = self._now(), outcome
        self._end_count += 1
        end = EndedTask(self._end_count, run.task, run.number, outcome)
        self._ends.append((end, run.entry))
        self._leave_gang(run)
        if outcome is not RunEnd.DONE:
            self._break_other_members(run)

    def _break_other_members(self, run: _Run) -> None:
        """Ends the other workers' members of the gang that lost this run."""
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

    def accepts_ticket(self, order: StartTask) -> bool:
        """Returns whether an order carries the ticket that its queue needs."""
        if not self._jobs[order.task.job_id].accepted_under.advised:
            return True
        step = StepId(order.task.job_id, order.task.occurrence, order.task.step)
        life = Incarnation(self.incarnation)
        return order.ticket == make_ticket(step, self.info.worker_id, life)

    def has_room(self, task: TaskId) -> bool:
        """Returns whether a task fits beside the tasks that run."""
        used = NO_RESOURCES
        for run in self._runs.values():
            used += self._step(run.task).allocation
        room: Resources = self.info.capacity - used
        return self._step(task).allocation.fits_in(room)

    def renew(
        self, fence: int, acknowledged: int, deadline_ms: int | None
    ) -> bool:
        """Extends the leases of all runs and drops acknowledged ends.

        Returns:
          False when the fence is lower than the highest one seen.
        """
        self.advance()
        if fence < self._fence:
            return False
        self._fence = fence
        if deadline_ms is not None:
            self._extend(deadline_ms)
        kept = []
        for end, entry in self._ends:
            if end.number <= acknowledged:
                entry.acknowledged = not entry.expired
            else:
                kept.append((end, entry))
        self._ends = kept
        return True

    def _extend(self, deadline_ms: int) -> None:
        latest = self.clock_ms() / 1000 + MAX_LEASE_S
        self._deadline = max(self._deadline, min(deadline_ms / 1000, latest))

    def state(self) -> WorkerState:
        """Returns the present runs and the ends not acknowledged yet."""
        self.advance()
        running = tuple(
            RunningTask(run.task, run.number, percent=self._percent(run))
            for run in self._runs.values()
        )
        ended = tuple(end for end, _ in self._ends[:MAX_REPORTED_ENDS])
        return WorkerState(
            Incarnation(self.incarnation),
            self.clock_ms(),
            running,
            ended,
            complete=len(ended) < MAX_REPORTED_ENDS,
        )

    def _percent(self, run: _Run) -> float:
        """Returns how much of a run's work is done, in whole percents.

        It is 100 for a run that serves.
        """
        if run.working_since is None:
            return 0.0
        if self._step(run.task).long_running:
            return 100.0
        worked_s = self._now() - run.working_since
        return min(100.0, worked_s * 100 // self._duration_s(run.task))

    @property
    def end_count(self) -> int:
        """The number of runs that ended in this incarnation."""
        return self._end_count

    async def wait_for_end(self, wait_s: float) -> None:
        """Waits up to `wait_s` seconds for the end of a run."""
        if self.answers_listed_ends and self._ends:
            return
        until = self._now() + wait_s
        initial = self.incarnation, self._end_count
        while (
            self._now() < until
            and (self.incarnation, self._end_count) == initial
        ):
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            self.advance()

    def start(
        self, order: StartTask, fence: int, deadline_ms: int, late: bool
    ) -> StartOutcome | None:
        """Starts a task.

        Returns:
          The outcome, None when the fence is lower than the highest one seen.
        """
        self.advance()
        if fence < self._fence:
            return None
        self._fence = fence
        if deadline_ms < self.clock_ms():
            return StartOutcome.TOO_LATE
        if not self.accepts_ticket(order):
            return StartOutcome.BAD_TICKET
        self._extend(deadline_ms)
        present = self._runs.get(order.task)
        if present is not None:
            same = present.number == order.run
            return StartOutcome.STARTED if same else StartOutcome.OLD_RUN
        if order.run <= self._highest.get(order.task, 0):
            return StartOutcome.OLD_RUN
        if self.checks_room and not self.has_room(order.task):
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
            run.working_since = run.started_at
        return StartOutcome.STARTED

    def stop(self, task: TaskId, run: int, fence: int) -> bool:
        """Stops a run, or keeps it from starting later.

        Returns:
          False when the fence is lower than the highest one seen.
        """
        self.advance()
        if fence < self._fence:
            return False
        self._fence = fence
        self._highest[task] = max(self._highest.get(task, 0), run)
        present = self._runs.get(task)
        if present is not None and present.number <= run:
            present.stops_at = present.stops_at or self._now() + STOP_DURATION_S
        return True

    def pace(self, fence: int) -> bool:
        """Takes note of the fence; tasks have no speed in this model.

        Returns:
          False when the fence is lower than the highest one seen.
        """
        self.advance()
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def run_later(self, wait_s: float, act: Callable[[], object]) -> None:
        """Carries out an order after its caller has given up.

        Args:
          wait_s: time until then, in seconds.
          act: carries out the order.
        """
        task = asyncio.create_task(_act_after(wait_s, act))
        self._late.add(task)
        task.add_done_callback(self._late.discard)


async def _act_after(wait_s: float, act: Callable[[], object]) -> None:
    await asyncio.sleep(wait_s)
    act()


class Path(enum.Enum):
    """The state of the network between a node and a worker.

    OPEN: orders arrive and their answers do.
    DEAF: orders arrive and are carried out, but their answers are lost.
    CUT: nothing arrives.
    """

    OPEN = "open"
    DEAF = "deaf"
    CUT = "cut"


class ModelLink:
    """One node's connection to the model of a worker.

    Args:
      worker: the worker.
      worker_id: the id that the node knows the worker by; under another id, the
        worker refuses all orders.
      path: returns the present state of the network between the two.
      rng: draws faults and delays.
      gate: the node's gate.
      unanswered_starts: receives when an order to start a task was sent that
        the network or the worker left without an answer.
    """

    def __init__(
        self,
        worker: WorkerModel,
        worker_id: WorkerId,
        path: Callable[[], Path],
        rng: random.Random,
        gate: ProcessGate,
        unanswered_starts: dict[TaskId, float] | None = None,
    ) -> None:
        """Creates a link to a worker and all its incarnations of this id."""
        self._worker = worker
        self._worker_id = worker_id
        self._path = path
        self._rng = rng
        self._gate = gate
        self._unanswered_starts = (
            {} if unanswered_starts is None else unanswered_starts
        )

    async def reset(self) -> None:
        """Does nothing, because there are no connections."""

    async def close(self) -> None:
        """Does nothing, because there are no connections."""

    async def _call(
        self,
        act: Callable[[bool], Result[_Answer, OrderFailure]],
        wait_s: float = 0.0,
        look_again: Callable[[], _Answer] | None = None,
    ) -> Result[_Answer, OrderFailure]:
        """Sends an order, which may get lost or be carried out late.

        Args:
          act: carries out the order; its argument says whether late.
          wait_s: how long the worker holds back its answer until a run ends,
            in seconds.
          look_again: returns the answer after that wait.
        """
        return await self._gate.call(
            lambda: self._transmit(act, wait_s, look_again),
            TIMEOUT_S + wait_s,
            Err(OrderFailure.NO_ANSWER),
        )

    def _current_path(self) -> Path:
        return Path.CUT if self._worker.is_cut_off else self._path()

    async def _transmit(
        self,
        act: Callable[[bool], Result[_Answer, OrderFailure]],
        wait_s: float,
        look_again: Callable[[], _Answer] | None,
    ) -> Result[_Answer, OrderFailure]:
        worker, loop = self._worker, asyncio.get_running_loop()
        give_up_at = loop.time() + TIMEOUT_S + wait_s
        if self._current_path() is Path.CUT:
            await asyncio.sleep(TIMEOUT_S)
            return Err(OrderFailure.NO_ANSWER)
        await asyncio.sleep(CALL_LATENCY_S)
        if self._rng.random() < worker.lose_share:
            if self._rng.random() < worker.late_share:
                worker.run_later(
                    self._rng.uniform(*LATE_RANGE_S),
                    lambda: self._carry_out(act, True),
                )
            await asyncio.sleep(TIMEOUT_S)
            return Err(OrderFailure.NO_ANSWER)
        incarnation = worker.incarnation
        answer = self._carry_out(act, False)
        if look_again is not None and isinstance(answer, Ok):
            await worker.wait_for_end(wait_s)
            answer = Ok(look_again())
        if worker.max_answer_delay_s:
            await asyncio.sleep(
                self._rng.uniform(0.0, worker.max_answer_delay_s)
            )
        is_open = self._current_path() is Path.OPEN
        has_crashed = worker.incarnation != incarnation
        if has_crashed and is_open and not worker.crashes_silently:
            return Err(OrderFailure.NO_ANSWER)
        if not has_crashed and is_open and loop.time() <= give_up_at:
            return answer
        await asyncio.sleep(max(0.0, give_up_at - loop.time()))
        return Err(OrderFailure.NO_ANSWER)

    def _carry_out(
        self, act: Callable[[bool], Result[_Answer, OrderFailure]], late: bool
    ) -> Result[_Answer, OrderFailure]:
        if self._worker.is_down:
            return Err(OrderFailure.NO_LISTENER)
        if self._worker.info.worker_id != self._worker_id:
            return Err(OrderFailure.OTHER_WORKER)
        return act(late)

    async def renew(
        self,
        fence: Epoch,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[WorkerState, OrderFailure]:
        """Extends the leases of all runs and returns the worker's state.

        It waits up to `wait_s` seconds for the end of a run.
        """
        worker = self._worker

        def act(_late: bool) -> Result[WorkerState, OrderFailure]:
            if not worker.renew(fence, acknowledged, deadline_ms):
                return Err(OrderFailure.SUPERSEDED)
            return Ok(worker.state())

        return await self._call(act, wait_s, worker.state)

    async def start(
        self, order: StartTask, fence: Epoch, deadline_ms: int
    ) -> Result[StartAnswer, OrderFailure]:
        """Starts a task; a repeated order has no further effect."""
        worker = self._worker

        def act(late: bool) -> Result[StartAnswer, OrderFailure]:
            share = worker.refuse_share
            if share and self._rng.random() < share:
                return Ok(StartAnswer(StartOutcome.UNHEALTHY, None))
            outcome = worker.start(order, fence, deadline_ms, late)
            if outcome is None:
                return Err(OrderFailure.SUPERSEDED)
            return Ok(StartAnswer(outcome, worker.clock_ms()))

        sent_at = asyncio.get_running_loop().time()
        answer = await self._send_start(act)
        if answer == Err(OrderFailure.NO_ANSWER):
            self._unanswered_starts[order.task] = sent_at
        return answer

    async def _send_start(
        self, act: Callable[[bool], Result[StartAnswer, OrderFailure]]
    ) -> Result[StartAnswer, OrderFailure]:
        """Sends an order to start, which the worker may keep for later."""
        if self._worker.kept_start_s is None or (
            self._current_path() is not Path.OPEN
        ):
            return await self._call(act)
        kept_s, self._worker.kept_start_s = self._worker.kept_start_s, None

        async def keep() -> Result[StartAnswer, OrderFailure]:
            self._worker.run_later(kept_s, lambda: self._carry_out(act, True))
            await asyncio.sleep(TIMEOUT_S)
            return Err(OrderFailure.NO_ANSWER)

        return await self._gate.call(
            keep, TIMEOUT_S, Err(OrderFailure.NO_ANSWER)
        )

    async def stop(
        self, task_name: str, run: RunNumber, fence: Epoch
    ) -> Result[None, OrderFailure]:
        """Stops a run, or keeps one that has not started from starting."""
        task = TaskId.parse(task_name)
        assert task is not None

        def act(_late: bool) -> Result[None, OrderFailure]:
            accepted = self._worker.stop(task, run, fence)
            return Ok(None) if accepted else Err(OrderFailure.SUPERSEDED)

        return await self._call(act)

    async def pace(
        self, task_name: str, run: RunNumber, percent: int, fence: Epoch
    ) -> Result[None, OrderFailure]:
        """Passes on the fence; the model has no task speeds."""

        def act(_late: bool) -> Result[None, OrderFailure]:
            accepted = self._worker.pace(fence)
            return Ok(None) if accepted else Err(OrderFailure.SUPERSEDED)

        return await self._call(act)
