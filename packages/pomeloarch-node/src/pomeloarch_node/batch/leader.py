"""The leading scheduler: competes for the role and schedules while it holds it.

For every term, the leader loads the state that earlier schedulers left, feeds
events to the `BatchScheduler` and carries out its decisions.
"""

from __future__ import annotations

import asyncio
import random
import time
import traceback
from collections.abc import Callable, Coroutine
from functools import singledispatch
from typing import Any

import msgspec

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.messages import (
    CancelForgotten,
    CancelRequested,
    CatalogueChanged,
    Decision,
    Event,
    JobAccepted,
    LogEntry,
    PaceTask,
    RequestAdvice,
    RosterEntry,
    RosterLoaded,
    RowWritten,
    StartTask,
    StopTask,
    Tick,
    WorkerInfo,
    WorkersListed,
    WriteRow,
)
from pomeloarch_core.batch.open_starts import MAX_ORDER_DELAY_S
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.batch.scheduler import (
    BatchScheduler,
    worker_from_roster,
)
from pomeloarch_core.ids import Epoch, JobId, NodeId, WorkerId
from pomeloarch_node.batch.advice_task import AdviceTask
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.leader_load import LeaderLoad
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.ports import (
    AdviceService,
    FeedStore,
    MachineService,
    TableChanges,
    WorkerLinks,
)
from pomeloarch_node.batch.records import (
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
    SessionTimes,
    WorkerSession,
    longest_lease_s,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import StoreLimits
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_node.scheduler_tenure import Tenure

TICK_INTERVAL_S = 0.1
# Delay between an event and the placing of groups, in seconds, so that one
# round of placing covers several events. It is a small part of the shortest
# objective of a job.
PLACING_DELAY_S = 0.015
# A round of placing that took longer than this, in seconds, is logged: it
# delays lease renewals and worker reports by a tenth of the role's lease.
SLOW_PLACING_S = 0.1
# Longest time after the beginning of a term for which a former leader may send
# orders to start, in seconds.
EARLIER_STARTS_S = 2.2
LOAD_RETRY_PAUSE_S = 0.3
# Minimum time between two reads of the list of workers, in seconds. Some
# workers leave within two seconds of their notice, and moving what they run
# takes one second.
WORKER_LIST_INTERVAL_S = 0.3
# How long the feed of submitted jobs waits for a change, in seconds. A lost
# answer is noticed only after this time, and an urgent job must still have most
# of its slack left then.
SPECS_WAIT_S = 0.5
SPECS_INTERVAL_S = 0.02
# Bytes of a stored row for each worker that a job's row may name for open
# starts; the rest of the row has room beside them.
BYTES_PER_OPEN_NAME = 32
# Maximum number of unreadable entries that one log line names.
MAX_LOGGED_ENTRIES = 10

ReadWorkers = Callable[[dict[str, object]], tuple[WorkerInfo, ...]]


class LeaderTimes(msgspec.Struct, frozen=True):
    """Timing settings of the deployment, in seconds.

    Attributes:
      max_lease_s: the longest lease that a worker grants.
      renew_wait_s: how long a worker may hold back its answer to a lease
        renewal until a run ends.
      dispatch: time limits for placing and preempting groups.
      upkeep_s: how long a machine is down for its upkeep.
      upkeep_handover_s: time from the beginning of a term to its first upkeep
        order, which keeps the orders of two successive leaders to the same
        machine apart.
      keep_finished_s: how long the state of an ended job is kept.
    """

    max_lease_s: float
    renew_wait_s: float
    dispatch: DispatchTimes = DispatchTimes()
    upkeep_s: float = 2.0
    upkeep_handover_s: float = 3.5
    keep_finished_s: float = 120.0


class ExternalServices(msgspec.Struct, frozen=True):
    """External services that the leader uses besides the store and the workers.

    Attributes:
      waves: the upkeep waves that the operator requested, and the row that
        reports the state of a wave.
      machines: the machine service; None where there is none.
      advice: the advice service; None where there is none.
    """

    waves: WaveSource
    machines: MachineService | None = None
    advice: AdviceService | None = None


class Leader:
    """Competes for the scheduler's role and schedules while it holds the role.

    Attributes:
      times: the deployment's timing settings; a change takes effect with the
        next term.

    Args:
      store: the store.
      workers: the name of the table that lists the workers, and a function that
        decodes its rows.
      links: opens links to workers.
      catalogue: returns the configuration in force, None before the first.
      jobs: the mirror of the jobs' table.
      services: external services.
      node_id: this node.
      role: the leased role.
      clock: returns monotonic time, in seconds.
      times: the deployment's timing settings.
      log: receives the decisions.
      metrics: receives how busy the scheduler is.
      wall: returns wall-clock time, in seconds.
      limits: what the store takes.
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
        metrics: Metrics,
        wall: Callable[[], float] = time.time,
        limits: StoreLimits | None = None,
    ) -> None:
        """Starts as a candidate for the role."""
        self._limits = limits or StoreLimits()
        self._metrics = metrics
        self._store = store
        self._workers_table, self._read_workers = workers
        self._links = links
        self._catalogue = catalogue
        self._jobs = jobs
        # The submitted jobs, as far as this node has read them in its terms.
        self._specs = TableMirror(
            store, SPECS_TABLE, clock, log, SPECS_WAIT_S, SPECS_INTERVAL_S
        )
        self._services = services
        self._node_id = node_id
        self._role = role
        self._clock = clock
        self.times = times
        self._log = log
        self._wall = wall
        self._rng = random.Random()
        self._term: _ActiveTerm | None = None
        self._superseded_epoch = Epoch(0)
        self._stopping = False
        self._has_catalogue = asyncio.Event()
        jobs.subscribe(self._on_job_changes)

    @property
    def group_count(self) -> int:
        """The number of groups that it keeps in memory; 0 without the role."""
        return 0 if self._term is None else self._term.group_count

    def stop_after_term(self) -> None:
        """Finishes the current term, if there is one, and begins no other."""
        self._stopping = True

    def catalogue_changed(self, catalogue: Catalogue) -> None:
        """Passes a newer configuration to the scheduler."""
        self._has_catalogue.set()
        if self._term is not None:
            self._term.emit(CatalogueChanged(catalogue))

    def _on_job_changes(self, changes: TableChanges, is_snapshot: bool) -> None:
        if self._term is not None:
            self._term.on_job_changes(changes, is_snapshot)

    async def run(self) -> None:
        """Runs a term whenever this node holds the role, until cancelled.

        A node that has just started competes only once it has a configuration
        and the jobs' table. Otherwise it could win back the role of its
        previous process and be unable to use it.
        """
        if self._catalogue() is None:
            await self._has_catalogue.wait()
        await self._jobs.loaded.wait()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._role.run())
            while True:
                epoch = self._role.epoch()
                if (
                    epoch is None
                    or epoch <= self._superseded_epoch
                    or self._stopping
                ):
                    await self._wait_for_role()
                    continue
                tenure = Tenure(self._role, epoch)
                await self._hold_role(tenure)
                if tenure.is_superseded:
                    # Another term under this epoch would end the successor's
                    # term.
                    self._superseded_epoch = epoch
                    # A raised fence doesn't prove that a successor holds the
                    # role.
                    self._role.abandon(epoch)

    async def _wait_for_role(self) -> None:
        try:
            async with asyncio.timeout(TICK_INTERVAL_S):
                await self._role.wait_for_change()
        except TimeoutError:
            return

    async def _hold_role(self, tenure: Tenure) -> None:
        self._log.write("scheduler role won", epoch=tenure.epoch)
        running = asyncio.create_task(self._run_term(tenure))
        try:
            await tenure.wait_until_lost()
        finally:
            self._term = None
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
        if not running.cancelled() and running.exception() is not None:
            self._log.write("scheduler failed", error=repr(running.exception()))
        self._log.write(
            "scheduler role lost", epoch=tenure.epoch, reason=tenure.reason
        )

    async def _run_term(self, tenure: Tenure) -> None:
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
            active_term = _ActiveTerm(self, tenure, term, catalogue)
            await active_term.load()
            self._term = active_term
            await active_term.run()
        except Exception as exc:
            self._log.write("scheduler failed", error=repr(exc))
            tenure.lose(f"the scheduler failed: {exc!r}")
            raise


class _ActiveTerm:
    """One term of the leader: a scheduler, its worker sessions and its tasks.

    It lasts for one tenure at most, and all its orders and writes carry the
    term's fence.
    """

    def __init__(
        self,
        leader: Leader,
        tenure: Tenure,
        term: Term,
        catalogue: Catalogue,
    ) -> None:
        self._leader = leader
        self._tenure = tenure
        self._term_number = term.number
        self._checks = term.checks
        self._clock = leader._clock
        now = self._clock()
        self._scheduler = BatchScheduler(
            term.number,
            catalogue,
            leader._wall() - now,
            leader.times.dispatch,
            leader._limits.row_bytes // BYTES_PER_OPEN_NAME,
        )
        self._earlier_leases_end_at = now + longest_lease_s(
            leader.times.max_lease_s
        )
        open_starts = self._scheduler.open_starts
        open_starts.earlier_until = now + EARLIER_STARTS_S + MAX_ORDER_DELAY_S
        open_starts.longest_lease_s = longest_lease_s(leader.times.max_lease_s)
        self._writers = {
            shard: RowWriter(
                leader._store,
                tenure,
                check,
                self._on_row_written,
                leader._log,
                leader._limits,
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
            now + leader.times.upkeep_handover_s,
            leader.times.upkeep_s,
            leader._log,
        )
        self._roster = Roster(
            leader._store, term.checks, self.emit, leader._log, leader._limits
        )
        self._retention = Retention(
            leader._store,
            leader._jobs,
            lambda: leader._specs.rows,
            term.checks,
            leader.times.keep_finished_s,
            leader._wall,
            self._clock,
            leader._log,
        )
        self._sessions: dict[
            WorkerId, tuple[WorkerSession, asyncio.Task[None]]
        ] = {}
        self._specs = leader._specs
        self._worker_list = TableMirror(
            leader._store,
            leader._workers_table,
            self._clock,
            leader._log,
            0.0,
            WORKER_LIST_INTERVAL_S,
        )
        # The first fences of further sessions with the same workers.
        self._fences: dict[WorkerId, Epoch] = {}
        # Jobs that the scheduler already knows. A snapshot of the specs table
        # that is read again also contains jobs that ended long ago.
        self._known_jobs: set[JobId] = set()
        self._cancelled_jobs: set[JobId] = set()
        self._remembered_workers: dict[WorkerId, RosterEntry] = {}
        self._unreadable_entries: list[str] = []
        self._placing_requested = asyncio.Event()
        # When the oldest event came that no round of placing has covered.
        self._placing_wanted_at: float | None = None
        self._load = LeaderLoad(self._clock, leader._log, leader._metrics)
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._job_rows: dict[JobId, JobRow] = {}

    @property
    def group_count(self) -> int:
        """The number of groups that its scheduler keeps in memory."""
        return self._scheduler.group_count

    async def load(self) -> None:
        """Loads the jobs and the roster.

        All include every write of earlier schedulers, since the term's fence
        keeps them from writing any more. Of the tables that this node has read
        before, only what has changed since is read.
        """
        leader = self._leader
        began = self._clock()
        await self._refresh(leader._jobs)
        await self._refresh(leader._specs)
        while self._tenure.is_held():
            remembered = await self._roster.load()
            if remembered is not None:
                self._remembered_workers = remembered
                break
            await asyncio.sleep(LOAD_RETRY_PAUSE_S)
        self._load_job_rows()
        leader._log.write(
            "scheduler tables read",
            term=self._term_number,
            took_s=round(self._clock() - began, 3),
            jobs=len(leader._jobs.rows),
            specs=len(leader._specs.rows),
            workers=len(self._remembered_workers),
        )

    async def _refresh(self, mirror: TableMirror) -> None:
        """Reads what has changed in a table before the term began."""
        began_at = max(check.version for check in self._checks.values())
        while self._tenure.is_held():
            if await mirror.refresh() and mirror.version >= began_at:
                return
            await asyncio.sleep(LOAD_RETRY_PAUSE_S)

    def _contact_remembered_workers(self) -> None:
        """Opens sessions with the workers that an earlier scheduler gave tasks.

        The jobs must be loaded before: a run that a worker reports is stopped
        if its job is unknown.
        """
        self.emit(RosterLoaded(self._remembered_workers))
        for worker_id, entry in self._remembered_workers.items():
            self._open_session(worker_from_roster(worker_id, entry.address))

    def _load_job_rows(self) -> None:
        jobs = self._leader._jobs
        for key, value in jobs.rows.items():
            cancelled = cancelled_job(key)
            if cancelled is not None:
                self._cancelled_jobs.add(cancelled)
            else:
                self._job_rows[JobId(key)] = decode_row(value)
                self._writer_for(key).set_version(
                    JobId(key), jobs.versions[key]
                )

    def _writer_for(self, key: str) -> RowWriter:
        return self._writers[shard_of(key)]

    def _take_known_jobs(self) -> None:
        """Passes the jobs that were read for this term to the scheduler."""
        specs = self._specs
        for key, value in specs.rows.items():
            state = self._job_rows.get(JobId(key))
            if state is None or not state.is_settled:
                self._take_job(value, specs.versions[key])

    def _on_specs(self, changes: TableChanges, is_snapshot: bool) -> None:
        """Passes submitted jobs that the scheduler doesn't know to it."""
        for row in changes.rows:
            if row.value is None:
                self._known_jobs.discard(JobId(row.key))
            else:
                self._take_job(row.value, row.version)

    def _take_job(self, value: Any, version: int) -> None:
        job = decode_job(value)
        if job.job_id in self._known_jobs:
            return
        self._known_jobs.add(job.job_id)
        state = self._job_rows.pop(job.job_id, None)
        older = version < self._checks[shard_of(job.job_id)].version
        if state is None:
            if older:
                return
            self._writer_for(job.job_id).set_version(job.job_id, version)
            state = JobRow.from_job(job)
        self.emit(JobAccepted(job, state, older))
        if job.job_id in self._cancelled_jobs:
            self.emit(CancelRequested(job.job_id))

    def on_job_changes(self, changes: TableChanges, is_snapshot: bool) -> None:
        """Passes new and deleted cancellation markers to the scheduler."""
        marked = {
            cancelled: row.value is not None
            for row in changes.rows
            if (cancelled := cancelled_job(row.key)) is not None
        }
        if is_snapshot:
            # Rows that were deleted before it are not part of it.
            gone = self._cancelled_jobs - marked.keys()
            marked |= dict.fromkeys(gone, False)
        for job_id, is_cancelled in marked.items():
            if is_cancelled:
                self._cancelled_jobs.add(job_id)
                self.emit(CancelRequested(job_id))
            else:
                self._cancelled_jobs.discard(job_id)
                self.emit(CancelForgotten(job_id))

    async def run(self) -> None:
        """Runs the scheduler until cancelled."""
        catalogue = self._leader._catalogue()
        if catalogue is not None:
            # The configuration may have changed while the rows were read.
            self.emit(CatalogueChanged(catalogue))
        self._take_known_jobs()
        self._specs.subscribe(self._on_specs)
        self._worker_list.subscribe(self._on_worker_list)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._specs.run())
                for writer in self._writers.values():
                    tasks.create_task(writer.run())
                for job_id, value in list(self._leader._jobs.rows.items()):
                    cancelled = cancelled_job(job_id)
                    if cancelled is not None and value is not None:
                        self.emit(CancelRequested(cancelled))
                self._contact_remembered_workers()
                tasks.create_task(self._worker_list.run())
                tasks.create_task(self._load.run())
                tasks.create_task(self._send_ticks())
                tasks.create_task(self._place_groups())
                tasks.create_task(self._advice.run())
                tasks.create_task(self._retention.run())
                tasks.create_task(self._roster.run())
                tasks.create_task(self._upkeep.run())
        finally:
            self._specs.unsubscribe(self._on_specs)
            for session, task in self._sessions.values():
                task.cancel()
                await session.close()

    async def _send_ticks(self) -> None:
        while True:
            self.emit(
                Tick(self._leader._wall(), self._worker_list.confirmed_at)
            )
            await asyncio.sleep(TICK_INTERVAL_S)

    def emit(self, event: Event) -> None:
        """Passes an event to the scheduler and executes its decisions."""
        if not self._tenure.is_held():
            return
        self._load.record_event()
        now = self._clock()
        for decision in self._scheduler.handle(event, now):
            self._execute(decision)
        roster = self._scheduler.roster_if_changed()
        if roster is not None:
            self._roster.set_entries(roster)
        if self._scheduler.needs_placing:
            if self._placing_wanted_at is None:
                self._placing_wanted_at = now
            self._placing_requested.set()

    async def _place_groups(self) -> None:
        """Places groups shortly after events, one round for several events.

        Placing takes at most half of the time, so that a host that has too much
        to place still renews its own lease and those of the workers.
        """
        took_s = 0.0
        while True:
            await self._placing_requested.wait()
            await asyncio.sleep(max(PLACING_DELAY_S, took_s))
            self._placing_requested.clear()
            if self._tenure.is_held():
                began = self._clock()
                wanted_at = self._placing_wanted_at or began
                self._placing_wanted_at = None
                for decision in self._scheduler.place(began):
                    self._execute(decision)
                took_s = self._clock() - began
                self._load.record_round(began - wanted_at, took_s)
                if took_s > SLOW_PLACING_S:
                    self._leader._log.write(
                        "placing was slow", took_s=round(took_s, 3)
                    )

    def _execute(self, decision: Decision) -> None:
        if isinstance(decision, LogEntry):
            self._leader._log.write(decision.event, **decision.fields)
        elif isinstance(decision, WriteRow):
            self._writer_for(decision.job_id).put(decision)
        elif isinstance(decision, RequestAdvice):
            self._advice.ask(decision)
        elif decision.worker_id in self._sessions:
            self._load.record_orders(1)
            _send_order(decision, self._sessions[decision.worker_id][0])

    def _on_row_written(self, job_id: JobId, change: int) -> None:
        self.emit(RowWritten(job_id, change))
        for session, _ in self._sessions.values():
            session.wake_to_acknowledge()

    def _on_worker_list(
        self, _changes: TableChanges, _is_snapshot: bool
    ) -> None:
        workers = self._leader._read_workers(self._worker_list.rows)
        self._log_unreadable_entries(workers)
        self.emit(WorkersListed(workers))
        self._roster.set_entries(self._scheduler.roster())
        for info in workers:
            known = self._sessions.get(info.worker_id)
            if known is None:
                self._open_session(info)
            elif known[0].info.address != info.address:
                self._move_session(info)
            else:
                known[0].update_info(info)
        listed = {each.worker_id for each in workers}
        for worker_id in list(self._sessions):
            if worker_id not in listed:
                self._close_if_idle(worker_id)

    def _log_unreadable_entries(self, workers: tuple[WorkerInfo, ...]) -> None:
        """Logs which list entries can't be decoded, whenever that changes."""
        readable = {each.worker_id for each in workers}
        unreadable = sorted(self._worker_list.rows.keys() - readable)
        if unreadable != self._unreadable_entries:
            self._unreadable_entries = unreadable
            self._leader._log.write(
                "entries that name no worker",
                entries=len(unreadable),
                first=unreadable[:MAX_LOGGED_ENTRIES],
            )

    def _close_if_idle(self, worker_id: WorkerId) -> None:
        """Closes the session of an unlisted worker that runs nothing."""
        if not self._scheduler.needs_polling(worker_id):
            self._close_session(worker_id)

    def _close_session(self, worker_id: WorkerId) -> None:
        session, task = self._sessions.pop(worker_id)
        # The worker may restart before another session asks it.
        session.raise_fence()
        self._fences[worker_id] = session.fence
        task.cancel()
        self._run_in_background(session.close())

    def _move_session(self, info: WorkerInfo) -> None:
        """Restarts a session with the worker's new address."""
        session, task = self._sessions[info.worker_id]
        task.cancel()
        # Calls in progress keep their connections until they have ended.
        self._run_in_background(
            session.move_to(info, self._leader._links.open(info)).reset()
        )
        task = asyncio.create_task(self._run_session(session))
        self._sessions[info.worker_id] = (session, task)

    def _run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine that closes connections in the background."""
        closing = asyncio.create_task(work)
        self._background_tasks.add(closing)
        closing.add_done_callback(self._background_tasks.discard)

    async def _run_session(self, session: WorkerSession) -> None:
        """Runs a session; gives up the role if the session fails."""
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

    def _open_session(self, info: WorkerInfo) -> None:
        leader = self._leader
        session = WorkerSession(
            info,
            leader._links.open(info),
            self._tenure,
            self._fences.get(info.worker_id, self._term_number),
            self._scheduler,
            self.emit,
            self._clock,
            SessionTimes(leader.times.max_lease_s, leader.times.renew_wait_s),
            self._earlier_leases_end_at,
            self._load.record_renewal,
        )
        task = asyncio.create_task(self._run_session(session))
        self._sessions[info.worker_id] = (session, task)


@singledispatch
def _send_order(order: object, session: WorkerSession) -> None:
    raise TypeError(f"unknown order {type(order).__name__}")


@_send_order.register
def _(order: StartTask, session: WorkerSession) -> None:
    session.start(order)


@_send_order.register
def _(order: StopTask, session: WorkerSession) -> None:
    session.stop(order)


@_send_order.register
def _(order: PaceTask, session: WorkerSession) -> None:
    session.pace(order)
