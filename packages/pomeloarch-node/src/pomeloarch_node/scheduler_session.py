"""One tenure of a zone's scheduler: what it hears, decides and has done."""

from __future__ import annotations

import asyncio
import functools
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from absl import logging
from result import Ok

from pomeloarch_core.gang.messages import (
    TICK_S,
    ClearAlert,
    ConfigurationChanged,
    Decision,
    Event,
    Explanation,
    FleetChanged,
    JobCancelled,
    JobRecord,
    JobSubmitted,
    RaiseAlert,
    RecordWritten,
    Tick,
    WorkerOrder,
    WriteRecord,
)
from pomeloarch_core.ids import Epoch, JobId, ZoneName
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import PlatformClient
from pomeloarch_node.scheduler_alerts import Alerts, Explanations
from pomeloarch_node.scheduler_budget import WriteBudget
from pomeloarch_node.scheduler_cancels import CancelReader
from pomeloarch_node.scheduler_fence import raise_fence
from pomeloarch_node.scheduler_inbox import JobInbox
from pomeloarch_node.scheduler_records import RecordWriter
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_gate import WorkerGate
from pomeloarch_node.worker_links import WorkerLinks

WRITES_PER_S = 80.0
WRITES_BURST = 80
WRITES_KEPT = 40
_RETRY_PAUSE_S = 0.5
_WORKERS_TIMEOUT_S = 10.0
_MIN_TICK_S = 0.01


class Scheduler(Protocol):
    """The core's scheduler of a zone."""

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Takes an event and returns what is to be done."""

    def next_wakeup(self, now: float) -> float | None:
        """Returns when a `Tick` is due, in seconds; None for no deadline."""

    def status(self) -> Any:
        """Returns what an operator wants to know."""

    def explain(self, job_id: JobId) -> Any:
        """Returns why a job is where it is."""


MakeScheduler = Callable[
    [Snapshot, ZoneName, Epoch, float, random.Random], Scheduler
]


class SchedulerSession:
    """Runs the core's scheduler for as long as a tenure lasts.

    Args:
      zone: the zone.
      tenure: the right to act.
      platform: the platform.
      configuration: the generation in force.
      links: the zone's workers.
      gate: what their links share.
      metrics: the node's metrics.
      rng: the chance in decisions.
      make_scheduler: makes the core's scheduler.
      wall_clock: seconds of the wall clock.
    """

    def __init__(
        self,
        zone: ZoneName,
        tenure: Tenure,
        platform: PlatformClient,
        configuration: ConfigurationHolder,
        links: WorkerLinks,
        gate: WorkerGate,
        metrics: Metrics,
        rng: random.Random,
        make_scheduler: MakeScheduler,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Keeps what it works with."""
        self._zone = zone
        self._tenure = tenure
        self._platform = platform
        self._configuration = configuration
        self._snapshots = configuration.subscribe()
        self._links = links
        self._gate = gate
        self._metrics = metrics
        self._rng = rng
        self._make_scheduler = make_scheduler
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._scheduler: Scheduler | None = None
        self._writer: RecordWriter | None = None
        self._cancels: CancelReader | None = None
        self._inbox = JobInbox(platform, zone, self._found, wall_clock)
        self._poked: set[JobId] = set()
        self._poke = asyncio.Event()
        self._versions: dict[JobId, int] = {}
        self._loaded: list[JobRecord] = []
        self._sizes: dict[JobId, int] = {}
        self._explanations = Explanations()
        self._alerts = Alerts(metrics)
        self.rebuilt_s: float | None = None

    @property
    def ready(self) -> bool:
        """Whether all jobs were read and decisions are made."""
        return self._scheduler is not None

    @property
    def wanted_accelerators(self) -> int:
        """What the zone's unfinished jobs hold or wait for."""
        return sum(self._sizes.values())

    async def run(self) -> None:
        """Takes over and schedules until the tenure is lost."""
        self._gate.begin(self._tenure, self._events.put_nowait)
        self._links.begin(self._tenure.epoch)
        working = asyncio.create_task(self._work())
        lost = asyncio.create_task(self._tenure.lost())
        try:
            await asyncio.wait(
                {working, lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if working.done():
                working.result()
        finally:
            self._gate.end()
            working.cancel()
            lost.cancel()
            await asyncio.gather(working, lost, return_exceptions=True)
            self._alerts.clear_all()

    def poke(self, job_id: JobId) -> None:
        """Reads a job at once that another node says is new."""
        if self._scheduler is not None:
            self._poked.add(job_id)
            self._poke.set()

    def explain(self, job_id: JobId) -> list[str]:
        """Returns why a job is where it is, the newest reason last."""
        reasons = self._explanations.of(job_id)
        if self._scheduler is None:
            return reasons
        present = self._scheduler.explain(job_id)
        return reasons + _as_lines(present)

    def status(self) -> dict[str, Any]:
        """Returns what an operator wants to know."""
        core = None
        if self._scheduler is not None:
            core = msgspec.to_builtins(self._scheduler.status())
        return {
            "ready": self.ready,
            "rebuilt_s": self.rebuilt_s,
            "unfinished_jobs": len(self._sizes),
            "cancellations_waiting": (
                self._cancels.waiting if self._cancels else 0
            ),
            "alerts": msgspec.to_builtins(self._alerts.views()),
            "scheduler": core,
        }

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        fence = await raise_fence(self._platform, self._zone, self._tenure)
        snapshot = await self._newest_snapshot()
        await self._wait_for_workers()
        await self._load()
        now = loop.time()
        budget = WriteBudget(WRITES_PER_S, WRITES_BURST, WRITES_KEPT, now)
        writer = RecordWriter(
            self._platform,
            self._zone,
            self._tenure,
            fence,
            budget,
            self._events.put_nowait,
            self._metrics,
        )
        for job_id, version in self._versions.items():
            writer.learn(job_id, version)
        self._writer = writer
        self._cancels = CancelReader(
            self._platform,
            self._zone,
            self._tenure,
            fence,
            self._inbox,
            writer,
            lambda job_id: self._events.put_nowait(JobCancelled(job_id)),
        )
        self._scheduler = self._make_scheduler(
            snapshot, self._zone, self._tenure.epoch, now, self._rng
        )
        self._handle(FleetChanged(self._links.workers), now)
        for record in self._loaded:
            self._handle(JobSubmitted(record), loop.time())
        self._loaded = []
        self.rebuilt_s = loop.time() - began
        self._metrics.observe("scheduler_rebuild", self.rebuilt_s)
        async with asyncio.TaskGroup() as group:
            group.create_task(writer.run())
            group.create_task(self._cancels.run())
            group.create_task(self._inbox.run())
            group.create_task(self._follow_pokes())
            group.create_task(self._follow_workers())
            group.create_task(self._follow_configuration())
            group.create_task(self._decide())

    async def _newest_snapshot(self) -> Snapshot:
        snapshot = await self._snapshots.get()
        while not self._snapshots.empty():
            snapshot = self._snapshots.get_nowait()
        return snapshot

    async def _wait_for_workers(self) -> None:
        if self._links.workers:
            return
        try:
            async with asyncio.timeout(_WORKERS_TIMEOUT_S):
                await self._links.changed()
        except TimeoutError:
            logging.warning("zone %s has no worker yet", self._zone)

    async def _load(self) -> None:
        while True:
            answer = await self._inbox.load()
            if isinstance(answer, Ok):
                return
            logging.warning("jobs: %s", answer.err_value.message)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _follow_pokes(self) -> None:
        while True:
            await self._poke.wait()
            self._poke.clear()
            poked, self._poked = self._poked, set()
            await self._inbox.read(poked)

    async def _follow_workers(self) -> None:
        while True:
            workers = await self._links.changed()
            self._events.put_nowait(FleetChanged(workers))

    async def _follow_configuration(self) -> None:
        while True:
            snapshot = await self._newest_snapshot()
            self._events.put_nowait(ConfigurationChanged(snapshot))

    async def _decide(self) -> None:
        loop = asyncio.get_running_loop()
        scheduler = self._scheduler
        assert scheduler is not None
        tick_at = loop.time() + TICK_S
        while True:
            now = loop.time()
            if now >= tick_at:
                self._handle(Tick(), now)
                wakeup = scheduler.next_wakeup(now)
                tick_at = now + TICK_S if wakeup is None else wakeup
                tick_at = min(now + TICK_S, max(tick_at, now + _MIN_TICK_S))
            try:
                async with asyncio.timeout_at(tick_at):
                    event = await self._events.get()
            except TimeoutError:
                continue
            self._handle(event, loop.time())
            # Others get their turn, also under a flood of events.
            await asyncio.sleep(0)

    def _handle(self, event: Event, now: float) -> None:
        if not self._tenure.held():
            return
        assert self._scheduler is not None
        if isinstance(event, RecordWritten) and event.record.state.final:
            self._note_end(event.record.spec.job_id)
        began = time.perf_counter()
        decisions = self._scheduler.handle(event, now)
        self._metrics.observe(
            "scheduler_decision",
            time.perf_counter() - began,
            event=type(event).__name__,
        )
        for decision in decisions:
            self._carry_out(decision)

    @functools.singledispatchmethod
    def _carry_out(self, decision: Decision) -> None:
        raise TypeError(f"no such decision: {decision!r}")

    @_carry_out.register
    def _(self, decision: WriteRecord) -> None:
        assert self._writer is not None
        self._writer.put(decision.record)

    @_carry_out.register
    def _(self, decision: WorkerOrder) -> None:
        self._links.give(decision)

    @_carry_out.register
    def _(self, decision: RaiseAlert) -> None:
        self._alerts.raise_alert(decision)

    @_carry_out.register
    def _(self, decision: ClearAlert) -> None:
        self._alerts.clear(decision)

    @_carry_out.register
    def _(self, decision: Explanation) -> None:
        self._explanations.add(decision)

    def _found(self, record: JobRecord, version: int) -> None:
        spec = record.spec
        self._sizes[spec.job_id] = spec.members * spec.accelerators
        if self._writer is None:
            self._versions[spec.job_id] = version
            self._loaded.append(record)
            return
        self._writer.learn(spec.job_id, version)
        self._events.put_nowait(JobSubmitted(record))

    def _note_end(self, job_id: JobId) -> None:
        self._sizes.pop(job_id, None)
        self._inbox.ended(job_id)
        if self._cancels is not None:
            self._cancels.ended(job_id)


def _as_lines(reasons: Any) -> list[str]:
    if reasons is None:
        return []
    if isinstance(reasons, str):
        return [reasons] if reasons else []
    return [str(reason) for reason in reasons]
