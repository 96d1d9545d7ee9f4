"""Runs the scheduler of a zone during one tenure, from takeover to end."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from absl import logging
from result import Ok

from pomeloarch_core.gang.messages import (
    ConfigurationChanged,
    Event,
    JobCancelled,
    JobRecord,
    JobSubmitted,
)
from pomeloarch_core.ids import JobId, ZoneName
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Check, PlatformClient
from pomeloarch_node.scheduler_alerts import Alerts, Explanations
from pomeloarch_node.scheduler_audit import SchedulerAudit
from pomeloarch_node.scheduler_budget import (
    WriteBudget,
    WritePriority,
    zone_rows_per_s,
)
from pomeloarch_node.scheduler_cancels import CancelReader
from pomeloarch_node.scheduler_fence import raise_fence
from pomeloarch_node.scheduler_job_reader import JobReader
from pomeloarch_node.scheduler_loop import MakeScheduler, SchedulerLoop
from pomeloarch_node.scheduler_records import RecordWriter
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_gate import WorkerGate
from pomeloarch_node.worker_links import WorkerLinks

# Maximum number of rows written at once after a quiet time.
WRITE_BURST_ROWS = 60
# Number of rows that writes of each priority leave to more urgent ones.
RESERVED_ROWS = {WritePriority.CHANGE: 15, WritePriority.CLEAN_UP: 30}
# Pause after a failed read of the jobs, in seconds.
_RETRY_PAUSE_S = 0.5
# How long a takeover waits for the first list of workers, in seconds.
_WORKERS_TIMEOUT_S = 10.0


class SchedulerSession:
    """Schedules a zone for as long as a tenure lasts.

    Args:
      zone: the zone.
      tenure: the right to act.
      platform: client of the platform's tables.
      configuration: the generation in force.
      links: links to the zone's workers.
      gate: the state that these links share.
      metrics: the node's metrics.
      rng: source of the randomness in decisions.
      make_scheduler: creates the core's scheduler.
      wall_clock: returns the time of the wall clock, in seconds.
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
        """Creates a session that has not taken over yet."""
        self._zone = zone
        self._tenure = tenure
        self._platform = platform
        self._snapshots = configuration.subscribe()
        self._links = links
        self._gate = gate
        self._metrics = metrics
        self._rng = rng
        self._make_scheduler = make_scheduler
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._job_reader = JobReader(
            platform, zone, self._on_job_found, wall_clock
        )
        self._writer: RecordWriter | None = None
        self._cancels: CancelReader | None = None
        self._loop: SchedulerLoop | None = None
        self._loaded: list[tuple[JobRecord, int]] = []
        self._accelerators_by_job: dict[JobId, int] = {}
        self._announced: set[JobId] = set()
        self._announcement_event = asyncio.Event()
        self._explanations = Explanations()
        self._audit = SchedulerAudit(
            platform, tenure, gate.holder, metrics, rng, wall_clock
        )
        self._alerts = Alerts(metrics, self._audit.add)
        self._rebuild_s: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the takeover is complete, so that decisions are made."""
        return self._rebuild_s is not None

    @property
    def wanted_accelerators(self) -> int:
        """Number of accelerators that unfinished jobs hold or wait for."""
        return sum(self._accelerators_by_job.values())

    async def run(self) -> None:
        """Takes over and schedules until the tenure has ended."""
        self._gate.begin_tenure(self._tenure, self._events.put_nowait)
        self._links.reset(self._tenure.epoch)
        work = asyncio.create_task(self._take_over_and_run())
        loss = asyncio.create_task(self._tenure.wait_until_lost())
        try:
            await asyncio.wait(
                {work, loss}, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                work.result()
        finally:
            self._gate.end_tenure()
            work.cancel()
            loss.cancel()
            await asyncio.gather(work, loss, return_exceptions=True)
            self._alerts.clear_all()

    def read_soon(self, job_id: JobId) -> None:
        """Makes the session read a new job that another node announced."""
        self._announced.add(job_id)
        self._announcement_event.set()

    def explain(self, job_id: JobId) -> list[str]:
        """Returns the reasons of a job's state, the newest last."""
        reasons = self._explanations.reasons_for(job_id)
        present = self._loop.scheduler.explain(job_id) if self._loop else ""
        if present and present not in reasons:
            reasons.append(present)
        return reasons

    def status(self) -> dict[str, Any]:
        """Returns the session's state for operators."""
        core = self._loop.scheduler.status() if self._loop else {}
        return {
            **msgspec.to_builtins(core),
            "ready": self.is_ready,
            "rebuilt_s": self._rebuild_s,
            "unfinished_jobs": len(self._accelerators_by_job),
            "cancellations_waiting": (
                self._cancels.waiting_count if self._cancels else 0
            ),
            "alerts": msgspec.to_builtins(self._alerts.views()),
        }

    async def _take_over_and_run(self) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        fence = await raise_fence(self._platform, self._zone, self._tenure)
        snapshot = await self._newest_snapshot()
        await self._wait_for_workers()
        await self._load()
        writer = self._make_writer(fence, snapshot)
        cancels = CancelReader(
            self._platform,
            self._zone,
            self._tenure,
            fence,
            self._job_reader,
            writer,
            lambda job_id: self._events.put_nowait(JobCancelled(job_id)),
        )
        self._writer = writer
        self._cancels = cancels
        decisions = self._rebuild(snapshot, writer)
        self._rebuild_s = loop.time() - began
        self._metrics.observe("scheduler_rebuild", self._rebuild_s)
        self._audit.add(
            f"scheduler/{self._zone}",
            f"took over under epoch {self._tenure.epoch}: "
            f"{len(self._accelerators_by_job)} unfinished jobs, "
            f"{len(self._links.workers)} workers, "
            f"after {self._rebuild_s:.1f} s",
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(writer.run())
            group.create_task(cancels.run())
            group.create_task(self._audit.run())
            group.create_task(self._job_reader.run())
            group.create_task(self._follow_announcements())
            group.create_task(self._follow_workers())
            group.create_task(self._follow_configuration())
            group.create_task(decisions.run(self._events))

    def _make_writer(self, fence: Check, snapshot: Snapshot) -> RecordWriter:
        now = asyncio.get_running_loop().time()
        self._budget = WriteBudget(
            zone_rows_per_s(snapshot.objects),
            WRITE_BURST_ROWS,
            RESERVED_ROWS,
            now,
        )
        return RecordWriter(
            self._platform,
            self._zone,
            self._tenure,
            fence,
            self._budget,
            self._events.put_nowait,
            self._metrics,
        )

    def _rebuild(
        self, snapshot: Snapshot, writer: RecordWriter
    ) -> SchedulerLoop:
        """Creates the core's scheduler with the workers and jobs found."""
        now = asyncio.get_running_loop().time()
        scheduler = self._make_scheduler(
            snapshot, self._zone, self._tenure.epoch, now, self._rng
        )
        self._loop = SchedulerLoop(
            scheduler,
            self._tenure,
            writer,
            self._links,
            self._alerts,
            self._explanations,
            self._on_job_ended,
            self._metrics,
        )
        self._loop.handle(self._links.fleet(), now)
        for record, version in self._loaded:
            writer.add_known(record, version)
            self._loop.handle(JobSubmitted(record), now)
        self._loaded = []
        return self._loop

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
                await self._links.wait_for_change()
        except TimeoutError:
            logging.warning("zone %s has no workers yet", self._zone)

    async def _load(self) -> None:
        while True:
            answer = await self._job_reader.load()
            if isinstance(answer, Ok):
                return
            logging.warning("jobs not read: %s", answer.err_value.message)
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _follow_announcements(self) -> None:
        while True:
            await self._announcement_event.wait()
            self._announcement_event.clear()
            announced, self._announced = self._announced, set()
            await self._job_reader.read(announced)

    async def _follow_workers(self) -> None:
        while True:
            await self._links.wait_for_change()
            self._events.put_nowait(self._links.fleet())

    async def _follow_configuration(self) -> None:
        while True:
            snapshot = await self._newest_snapshot()
            now = asyncio.get_running_loop().time()
            self._budget.set_rate(zone_rows_per_s(snapshot.objects), now)
            self._events.put_nowait(ConfigurationChanged(snapshot))

    def _on_job_found(self, record: JobRecord, version: int) -> None:
        spec = record.spec
        self._accelerators_by_job[spec.job_id] = (
            spec.members * spec.accelerators
        )
        if self._writer is None:
            self._loaded.append((record, version))
            return
        self._writer.add_known(record, version)
        self._events.put_nowait(JobSubmitted(record))

    def _on_job_ended(self, job_id: JobId) -> None:
        self._accelerators_by_job.pop(job_id, None)
        self._job_reader.mark_ended(job_id)
        if self._cancels is not None:
            self._cancels.mark_ended(job_id)
