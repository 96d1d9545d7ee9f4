"""Passes events to the core's scheduler and carries out its decisions."""

from __future__ import annotations

import asyncio
import functools
import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from pomeloarch_core.gang.messages import (
    TICK_S,
    ClearAlert,
    Decision,
    Event,
    Explanation,
    JobSubmitted,
    RaiseAlert,
    RecordWritten,
    Tick,
    WorkerOrder,
    WorkerReported,
    WriteRecord,
)
from pomeloarch_core.ids import Epoch, JobId, ZoneName
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.scheduler_alerts import Alerts, Explanations
from pomeloarch_node.scheduler_cleanup import EndedTaskReleaser
from pomeloarch_node.scheduler_records import RecordWriter
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_links import WorkerLinks

# Shortest time between two ticks, in seconds.
_MIN_TICK_INTERVAL_S = 0.01


class Scheduler(Protocol):
    """Interface of the core's scheduler of a zone."""

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Processes an event and returns the decisions that follow from it."""

    def next_wakeup(self, now: float) -> float | None:
        """Returns when the next `Tick` is due, in seconds, None if none is."""

    def status(self) -> Any:
        """Returns the scheduler's state for operators."""

    def explain(self, job_id: JobId) -> str:
        """Returns the reason of a job's present state."""


MakeScheduler = Callable[
    [Snapshot, ZoneName, Epoch, float, random.Random], Scheduler
]


class SchedulerLoop:
    """Runs the core's scheduler, one event at a time.

    Args:
      scheduler: the core's scheduler.
      tenure: the right to act; without it, events are discarded.
      writer: makes records durable.
      links: send orders to workers.
      alerts: receives the scheduler's alerts.
      explanations: receives the reasons of its decisions.
      on_job_ended: called with each job whose final record is durable.
      metrics: the node's metrics.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        tenure: Tenure,
        writer: RecordWriter,
        links: WorkerLinks,
        alerts: Alerts,
        explanations: Explanations,
        on_job_ended: Callable[[JobId], None],
        metrics: Metrics,
    ) -> None:
        """Creates a loop that has handled no events."""
        self.scheduler = scheduler
        self._tenure = tenure
        self._writer = writer
        self._links = links
        self._alerts = alerts
        self._explanations = explanations
        self._on_job_ended = on_job_ended
        self._task_releaser = EndedTaskReleaser(tenure.epoch)
        self._metrics = metrics

    async def run(self, events: asyncio.Queue[Event]) -> None:
        """Handles events, and ticks between them, until cancelled."""
        loop = asyncio.get_running_loop()
        tick_at = loop.time() + TICK_S
        while True:
            if loop.time() >= tick_at:
                self.handle(Tick(), loop.time())
                tick_at = self._next_tick(loop.time())
            try:
                async with asyncio.timeout_at(tick_at):
                    event = await events.get()
            except TimeoutError:
                continue
            self.handle(event, loop.time())
            # Other tasks get a turn even during a flood of events.
            await asyncio.sleep(0)

    def handle(self, event: Event, now: float) -> None:
        """Passes one event to the scheduler and carries out its decisions."""
        if not self._tenure.is_held():
            return
        self._observe(event)
        began = time.perf_counter()
        decisions = self.scheduler.handle(event, now)
        self._metrics.observe(
            "scheduler_decision",
            time.perf_counter() - began,
            event=type(event).__name__,
        )
        for decision in decisions:
            self._apply(decision)

    @functools.singledispatchmethod
    def _observe(self, event: Event) -> None:
        """Processes an event that concerns the node itself; most don't."""

    @_observe.register
    def _observe_submitted(self, event: JobSubmitted) -> None:
        self._task_releaser.track(event.record)

    @_observe.register
    def _observe_written(self, event: RecordWritten) -> None:
        self._task_releaser.track(event.record)
        if event.record.state.is_final:
            self._on_job_ended(event.record.spec.job_id)

    @_observe.register
    def _observe_reported(self, event: WorkerReported) -> None:
        for order in self._task_releaser.release_orders(event):
            self._links.enqueue(order)

    def _next_tick(self, now: float) -> float:
        wakeup = self.scheduler.next_wakeup(now)
        latest = now + TICK_S
        if wakeup is None:
            return latest
        return min(latest, max(wakeup, now + _MIN_TICK_INTERVAL_S))

    @functools.singledispatchmethod
    def _apply(self, decision: Decision) -> None:
        raise TypeError(f"unknown decision {type(decision).__name__}")

    @_apply.register
    def _apply_write(self, decision: WriteRecord) -> None:
        self._writer.put(decision.record)

    @_apply.register
    def _apply_order(self, decision: WorkerOrder) -> None:
        self._links.enqueue(decision)

    @_apply.register
    def _apply_alert(self, decision: RaiseAlert) -> None:
        self._alerts.raise_alert(decision)

    @_apply.register
    def _apply_clear(self, decision: ClearAlert) -> None:
        self._alerts.clear(decision)

    @_apply.register
    def _apply_explanation(self, decision: Explanation) -> None:
        self._explanations.add(decision)
