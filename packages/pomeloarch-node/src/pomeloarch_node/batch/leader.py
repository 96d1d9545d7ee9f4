"""The leading scheduler: holds the role, rebuilds what is known, and acts."""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Callable, Coroutine
from functools import singledispatch

import msgspec
from result import Ok

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.expectations import DispatchTimes
from pomeloarch_core.batch.messages import (
    AskAdvice,
    CancelRequested,
    CatalogueChanged,
    Decision,
    Event,
    JobAccepted,
    Note,
    PaceTask,
    RosterEntry,
    RowWritten,
    StartTask,
    StopTask,
    Tick,
    WorkerInfo,
    WorkersListed,
    WorkersRemembered,
    WriteRow,
)
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.batch.scheduler import (
    BatchScheduler,
    remembered_worker,
)
from pomeloarch_core.ids import Epoch, JobId, NodeId, WorkerId
from pomeloarch_node.batch.advice_task import AdviceTask
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import (
    AdviceService,
    FeedStore,
    MachineService,
    TableChanges,
    WorkerLinks,
)
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    SPECS_TABLE,
    cancelled_job,
    decode_job,
    decode_row,
    shard_of,
)
from pomeloarch_node.batch.retention import Retention
from pomeloarch_node.batch.roster import Roster
from pomeloarch_node.batch.row_writer import RowWriter
from pomeloarch_node.batch.term_row import Term, begin_term
from pomeloarch_node.batch.upkeep_task import UpkeepTask, WaveSource
from pomeloarch_node.batch.worker_session import (
    CLOCK_DRIFT,
    LAPSE_SLACK_S,
    SessionTimes,
    WorkerSession,
)
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_node.scheduler_tenure import Tenure

TICK_S = 0.1
# Time for more events to come before groups are placed, in seconds: a small
# part of the shortest objective.
PLACING_PAUSE_S = 0.015
# A round of placing that took longer than this, in seconds, is logged: it
# delays renewals and reports by a tenth of the role's lease.
SLOW_PLACING_S = 0.1
LOAD_RETRY_S = 0.3
# How often the list of workers is asked for, in seconds: some workers leave
# within two seconds of their notice, and moving what they run takes one.
LIST_PACE_S = 0.3
# How long the feed of submitted jobs waits for one, in seconds: a lost answer
# is seen after that, which is to leave an urgent job most of its slack.
SPECS_WAIT_S = 0.5
SPECS_INTERVAL_S = 0.02
# Most entries that one log line names.
MOST_NAMED = 10

ReadWorkers = Callable[[dict[str, object]], tuple[WorkerInfo, ...]]


class LeaderTimes(msgspec.Struct, frozen=True):
    """Times that the deployment gives, in seconds.

    Attributes:
      hold_max_s: the longest lease that a worker grants.
      renew_wait_s: how long a renewal waits for an end.
      dispatch: times that decide about preemption.
      upkeep_s: how long a machine is down for its upkeep.
      duty_pause_s: time between the orders of two holders to a machine.
      keep_finished_s: how long the state of an ended job is kept.
    """

    hold_max_s: float
    renew_wait_s: float
    dispatch: DispatchTimes = DispatchTimes()
    upkeep_s: float = 2.0
    duty_pause_s: float = 3.5
    keep_finished_s: float = 120.0


class ExternalServices(msgspec.Struct, frozen=True):
    """What the scheduler asks of others beside the store and the workers.

    Attributes:
      waves: waves of upkeep and where their state is written.
      machines: the machine service; None where there is none.
      advice: the advice service; None where there is none.
    """

    waves: WaveSource
    machines: MachineService | None = None
    advice: AdviceService | None = None


class Leader:
    """Competes for the scheduler's role and acts while it is held.

    Attributes:
      times: the deployment's times; a change counts from the next term.

    Args:
      store: the store.
      workers: the mirror's table name of workers and how to read its rows.
      links: makes links to workers.
      catalogue: returns the configuration in force, None before the first.
      jobs: the mirror of the jobs' table.
      services: other services.
      node_id: this node.
      role: the leased role.
      clock: monotonic time, in seconds.
      times: the deployment's times.
      log: where decisions are written.
      wall: the wall clock, in seconds.
    """

    def __init__(
        self,
        store: FeedStore,
        workers: tuple[str, ReadWorkers],
        links: WorkerLinks,
        catalogue: Callable[[], Catalogue | None],
        jobs: TableMirror,
        services: ExternalServices,
        node_id: NodeId,
        role: LeasedRole,
        clock: Callable[[], float],
        times: LeaderTimes,
        log: DecisionLog,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Starts as a candidate."""
        self._store = store
        self._workers_table, self._read_workers = workers
        self._links = links
        self._catalogue = catalogue
        self._jobs = jobs
        self._services = services
        self._node_id = node_id
        self._role = role
        self._clock = clock
        self.times = times
        self._log = log
        self._wall = wall
        self._rng = random.Random()
        self._term: _Acting | None = None
        self._superseded = Epoch(0)
        self._stopping = False
        self._configured = asyncio.Event()
        jobs.subscribe(self._on_jobs)

    def stop_after_term(self) -> None:
        """Acts until the present term ends, and in no other."""
        self._stopping = True

    def catalogue_changed(self, catalogue: Catalogue) -> None:
        """Tells the scheduler of a newer configuration."""
        self._configured.set()
        if self._term is not None:
            self._term.emit(CatalogueChanged(catalogue))

    def _on_jobs(self, changes: TableChanges, whole: bool) -> None:
        if self._term is not None:
            self._term.on_jobs(changes, whole)

    async def run(self) -> None:
        """Acts whenever the role is held, until it is cancelled.

        A node that has just started does not compete before it could act: it
        would take the role of its former process back and keep it unused.
        """
        if self._catalogue() is None:
            await self._configured.wait()
        await self._jobs.loaded.wait()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._role.run())
            while True:
                epoch = self._role.epoch()
                if epoch is None or epoch <= self._superseded or self._stopping:
                    await self._wait_for_role()
                    continue
                tenure = Tenure(self._role, epoch)
                await self._serve(tenure)
                if tenure.superseded:
                    # A term under this epoch would end that of its successor.
                    self._superseded = epoch

    async def _wait_for_role(self) -> None:
        try:
            async with asyncio.timeout(TICK_S):
                await self._role.changed()
        except TimeoutError:
            return

    async def _serve(self, tenure: Tenure) -> None:
        self._log.write("scheduler role won", epoch=tenure.epoch)
        acting = asyncio.create_task(self._act(tenure))
        try:
            await tenure.lost()
        finally:
            self._term = None
            acting.cancel()
            await asyncio.gather(acting, return_exceptions=True)
        if not acting.cancelled() and acting.exception() is not None:
            self._log.write("scheduler failed", error=repr(acting.exception()))
        self._log.write(
            "scheduler role lost", epoch=tenure.epoch, reason=tenure.reason
        )

    async def _act(self, tenure: Tenure) -> None:
        try:
            won_at = self._clock()
            term = await begin_term(self._store, tenure, self._rng)
            if term is None:
                return
            self._log.write(
                "scheduler term begins",
                term=term.number,
                took_s=round(self._clock() - won_at, 3),
            )
            catalogue = self._catalogue()
            assert catalogue is not None
            acting = _Acting(self, tenure, term, catalogue)
            await acting.load()
            self._term = acting
            await acting.run()
        except Exception as exc:
            self._log.write("scheduler failed", error=repr(exc))
            tenure.lose(f"the scheduler failed: {exc!r}")
            raise


class _Acting:
    """One unbroken time of acting under one fence."""

    def __init__(
        self,
        leader: Leader,
        tenure: Tenure,
        term: Term,
        catalogue: Catalogue,
    ) -> None:
        self._leader = leader
        self._tenure = tenure
        self._number = term.number
        self._checks = term.checks
        self._clock = leader._clock
        now = self._clock()
        self._scheduler = BatchScheduler(
            term.number,
            catalogue,
            leader._wall() - now,
            leader.times.dispatch,
        )
        self._unknown_until = (
            now + leader.times.hold_max_s / (1 - CLOCK_DRIFT) + LAPSE_SLACK_S
        )
        self._writers = {
            shard: RowWriter(
                leader._store, tenure, check, self._on_written, leader._log
            )
            for shard, check in term.checks.items()
        }
        self._advice = AdviceTask(
            leader._services.advice, self.emit, self._clock, leader._log
        )
        self._upkeep = UpkeepTask(
            leader._services.waves,
            leader._services.machines,
            leader._store,
            self._scheduler,
            self.emit,
            tenure,
            leader._node_id,
            term.number,
            self._clock,
            now + leader.times.duty_pause_s,
            leader.times.upkeep_s,
            leader._log,
        )
        self._roster = Roster(
            leader._store, term.checks, self.emit, leader._log
        )
        self._retention = Retention(
            leader._store,
            lambda: leader._jobs.rows,
            term.checks,
            leader.times.keep_finished_s,
            leader._wall,
            leader._log,
        )
        self._sessions: dict[
            WorkerId, tuple[WorkerSession, asyncio.Task[None]]
        ] = {}
        self._specs = self._mirror(SPECS_TABLE, SPECS_WAIT_S, SPECS_INTERVAL_S)
        self._list = self._mirror(leader._workers_table, 0.0, LIST_PACE_S)
        # A whole table that is read again names jobs that ended long ago.
        self._announced: set[JobId] = set()
        self._cancelled: set[JobId] = set()
        self._remembered: dict[WorkerId, RosterEntry] = {}
        self._unreadable: list[str] = []
        self._changed = asyncio.Event()
        self._closing: set[asyncio.Task[None]] = set()
        self._rows: dict[JobId, JobRow] = {}

    def _mirror(self, table: str, wait_s: float, pace_s: float) -> TableMirror:
        leader = self._leader
        return TableMirror(
            leader._store, table, self._clock, leader._log, wait_s, pace_s
        )

    # ---- state of earlier schedulers

    async def load(self) -> None:
        """Reads all jobs that have not ended; earlier writes are in them."""
        while self._tenure.held():
            rows = await self._leader._store.snapshot(JOBS_TABLE)
            if isinstance(rows, Ok):
                self._load_rows(rows.ok_value)
                break
            await asyncio.sleep(LOAD_RETRY_S)

        while self._tenure.held():
            remembered = await self._roster.load()
            if remembered is not None:
                self._remembered = remembered
                return
            await asyncio.sleep(LOAD_RETRY_S)

    def _ask_remembered(self) -> None:
        """Asks the workers that an earlier scheduler gave tasks.

        Jobs have to be known before: what workers report of others is
        stopped.
        """
        self.emit(WorkersRemembered(self._remembered))
        for worker_id, entry in self._remembered.items():
            self._open(remembered_worker(worker_id, entry.address))

    def _load_rows(self, changes: TableChanges) -> None:
        for row in changes.rows:
            cancelled = cancelled_job(row.key)
            if cancelled is not None:
                self._cancelled.add(cancelled)
            else:
                self._rows[JobId(row.key)] = decode_row(row.value)
                self._writer_of(row.key).version_is(JobId(row.key), row.version)

    def _writer_of(self, key: str) -> RowWriter:
        return self._writers[shard_of(key)]

    def _on_specs(self, changes: TableChanges, whole: bool) -> None:
        for row in changes.rows:
            if row.value is None:
                self._announced.discard(JobId(row.key))
                continue
            job = decode_job(row.value)
            if job.job_id in self._announced:
                continue
            self._announced.add(job.job_id)
            state = self._rows.pop(job.job_id, None)
            older = row.version < self._checks[shard_of(row.key)].version
            if state is None:
                if older:
                    continue
                self._writer_of(row.key).version_is(job.job_id, row.version)
                state = JobRow.from_job(job)
            self.emit(JobAccepted(job, state, older))
            if job.job_id in self._cancelled:
                self.emit(CancelRequested(job.job_id))

    def on_jobs(self, changes: TableChanges, whole: bool) -> None:
        """Takes marks of jobs whose end was asked for."""
        for row in changes.rows:
            cancelled = cancelled_job(row.key)
            if cancelled is not None and row.value is not None:
                self.emit(CancelRequested(cancelled))

    # ---- running

    async def run(self) -> None:
        """Acts until it is cancelled."""
        catalogue = self._leader._catalogue()
        if catalogue is not None:
            # It may have changed while the rows were read.
            self.emit(CatalogueChanged(catalogue))
        self._specs.subscribe(self._on_specs)
        self._list.subscribe(self._on_list)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._specs.run())
                for writer in self._writers.values():
                    tasks.create_task(writer.run())
                await self._specs.loaded.wait()
                for job_id, value in list(self._leader._jobs.rows.items()):
                    cancelled = cancelled_job(job_id)
                    if cancelled is not None and value is not None:
                        self.emit(CancelRequested(cancelled))
                self._ask_remembered()
                tasks.create_task(self._list.run())
                tasks.create_task(self._tick())
                tasks.create_task(self._place())
                tasks.create_task(self._advice.run())
                tasks.create_task(self._retention.run())
                tasks.create_task(self._roster.run())
                tasks.create_task(self._upkeep.run())
        finally:
            for session, task in self._sessions.values():
                task.cancel()
                await session.close()

    async def _tick(self) -> None:
        while True:
            self.emit(Tick(self._leader._wall()))
            await asyncio.sleep(TICK_S)

    def emit(self, event: Event) -> None:
        """Hands an event to the scheduler and carries its decisions out."""
        if not self._tenure.held():
            return
        for decision in self._scheduler.handle(event, self._clock()):
            self._carry_out(decision)
        roster = self._scheduler.roster_if_changed()
        if roster is not None:
            self._roster.want(roster)
        if self._scheduler.wants_placing:
            self._changed.set()

    async def _place(self) -> None:
        """Places groups soon after events, for several events at once.

        It takes at most half of the time, so that a host with too much to
        place still renews its lease and those of the workers.
        """
        took_s = 0.0
        while True:
            await self._changed.wait()
            await asyncio.sleep(max(PLACING_PAUSE_S, took_s))
            self._changed.clear()
            if self._tenure.held():
                began = self._clock()
                for decision in self._scheduler.place(began):
                    self._carry_out(decision)
                took_s = self._clock() - began
                if took_s > SLOW_PLACING_S:
                    self._leader._log.write(
                        "placing was slow", took_s=round(took_s, 3)
                    )

    def _carry_out(self, decision: Decision) -> None:
        if isinstance(decision, Note):
            self._leader._log.write(decision.event, **decision.fields)
        elif isinstance(decision, WriteRow):
            self._writer_of(decision.job_id).put(decision)
        elif isinstance(decision, AskAdvice):
            self._advice.ask(decision)
        elif decision.worker_id in self._sessions:
            _order(decision, self._sessions[decision.worker_id][0])

    def _on_written(self, job_id: JobId, change: int) -> None:
        self.emit(RowWritten(job_id, change))
        for session, _ in self._sessions.values():
            session.wake()

    # ---- workers

    def _on_list(self, _changes: TableChanges, _whole: bool) -> None:
        workers = self._leader._read_workers(self._list.rows)
        self._note_unreadable(workers)
        self.emit(WorkersListed(workers))
        self._roster.want(self._scheduler.roster())
        for info in workers:
            known = self._sessions.get(info.worker_id)
            if known is None:
                self._open(info)
            elif known[0].info.address != info.address:
                self._move(info)
            else:
                known[0].info = info
        listed = {each.worker_id for each in workers}
        for worker_id in list(self._sessions):
            if worker_id not in listed:
                self._close_if_unused(worker_id)

    def _note_unreadable(self, workers: tuple[WorkerInfo, ...]) -> None:
        """Says in the log which entries name no worker, when they change."""
        readable = {each.worker_id for each in workers}
        unreadable = sorted(self._list.rows.keys() - readable)
        if unreadable != self._unreadable:
            self._unreadable = unreadable
            self._leader._log.write(
                "entries that name no worker",
                entries=len(unreadable),
                first=unreadable[:MOST_NAMED],
            )

    def _close_if_unused(self, worker_id: WorkerId) -> None:
        """Ends the session of a worker that has left and runs nothing."""
        if not self._scheduler.occupied(worker_id):
            self._close(worker_id)

    def _close(self, worker_id: WorkerId) -> None:
        session, task = self._sessions.pop(worker_id)
        task.cancel()
        self._end(session.close())

    def _move(self, info: WorkerInfo) -> None:
        """Has a session go on at another address."""
        session, task = self._sessions[info.worker_id]
        task.cancel()
        # Calls under way keep their connections until they have ended.
        self._end(session.move(info, self._leader._links.open(info)).reset())
        task = asyncio.create_task(self._run_session(session))
        self._sessions[info.worker_id] = (session, task)

    def _end(self, work: Coroutine[None, None, None]) -> None:
        """Ends connections in the background."""
        closing = asyncio.create_task(work)
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def _run_session(self, session: WorkerSession) -> None:
        """Runs a session; the term ends with one that fails."""
        try:
            await session.run()
        except Exception as exc:
            worker_id = session.info.worker_id
            self._leader._log.write(
                "session failed",
                worker=worker_id,
                error=traceback.format_exc(limit=-4),
            )
            self._tenure.lose(f"the session of {worker_id} failed: {exc!r}")

    def _open(self, info: WorkerInfo) -> None:
        leader = self._leader
        session = WorkerSession(
            info,
            leader._links.open(info),
            self._tenure,
            self._number,
            self._scheduler,
            self.emit,
            self._clock,
            SessionTimes(leader.times.hold_max_s, leader.times.renew_wait_s),
            self._unknown_until,
        )
        task = asyncio.create_task(self._run_session(session))
        self._sessions[info.worker_id] = (session, task)


@singledispatch
def _order(order: object, session: WorkerSession) -> None:
    raise TypeError(f"unknown order {type(order).__name__}")


@_order.register
def _(order: StartTask, session: WorkerSession) -> None:
    session.start(order)


@_order.register
def _(order: StopTask, session: WorkerSession) -> None:
    session.stop(order)


@_order.register
def _(order: PaceTask, session: WorkerSession) -> None:
    session.pace(order)
