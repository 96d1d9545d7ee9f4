"""The scheduler of one availability zone: events in, decisions out."""

from __future__ import annotations

import random
from functools import singledispatchmethod

from pomeloarch_core.gang.admission import Admission
from pomeloarch_core.gang.alerts import Alerts, Explanations
from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.dispatcher import Dispatcher
from pomeloarch_core.gang.estimates import RunTimes
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.health import WorkerHealth
from pomeloarch_core.gang.holdings import Holdings
from pomeloarch_core.gang.jobs import Ending, Job, Phase
from pomeloarch_core.gang.lifecycle import Lifecycle
from pomeloarch_core.gang.messages import (
    AlertKind,
    ConfigurationChanged,
    Decision,
    Event,
    FleetChanged,
    JobCancelled,
    JobRecord,
    JobState,
    JobSubmitted,
    OrderAnswered,
    RecordNotWritten,
    RecordWritten,
    Tick,
    WorkerReported,
    WorkerUnreachable,
)
from pomeloarch_core.gang.orphans import Orphans
from pomeloarch_core.gang.placer import Placer
from pomeloarch_core.gang.protection import Protections
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.reservations import Reservations
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.status import (
    GuaranteePlace,
    SchedulerStatus,
    summarise,
)
from pomeloarch_core.gang.timers import Timers
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.ids import Epoch, JobId, PoolName, WorkerId, ZoneName
from pomeloarch_core.objects.model import Snapshot, WorkerPool

# A worker that is off the platform's list is sent nothing any more, so that
# its tasks' leases run out.
GONE_WORKER_QUIET_S = 30.0


class ZoneScheduler:
    """Decides for one availability zone under one epoch.

    Args:
      availability_zone: the zone.
      epoch: the epoch of the role's holder.
      rng: chance, seeded by the caller.
    """

    def __init__(
        self,
        availability_zone: ZoneName,
        epoch: Epoch,
        rng: random.Random,
    ) -> None:
        """Makes a scheduler that knows neither jobs nor workers."""
        self._zone = availability_zone
        self._epoch = epoch
        self._out: list[Decision] = []
        self._jobs: dict[JobId, Job] = {}
        self._gone: dict[WorkerId, float] = {}
        # Records of placed jobs that came before the list of workers.
        self._early: list[JobRecord] | None = []
        self._superseded = False
        self._fleet = Fleet()
        self._witness = Witness(self._fleet)
        self._shares = Shares(self._fleet)
        self._queue = JobQueue(self._shares)
        self._timers = Timers()
        self._records = Records(epoch, self._out)
        self._orphans = Orphans(epoch, self._out)
        self._alerts = Alerts(self._out)
        self._attempts = Attempts(epoch, self._records, self._timers, self._out)
        self._health = WorkerHealth(self._fleet)
        self._protections = Protections(self._attempts)
        self._run_times = RunTimes()
        self._pools: dict[PoolName, WorkerPool] = {}
        self._holdings = Holdings(
            self._fleet, self._witness, self._shares, self._jobs
        )
        self._dispatcher = Dispatcher(
            self._fleet,
            self._witness,
            self._shares,
            self._queue,
            Placer(self._fleet, self._witness, self._shares, self._jobs),
            self._holdings,
            self._attempts,
            self._records,
            self._jobs,
            Reservations(self._fleet, self._jobs, self._run_times),
        )
        self._lifecycle = Lifecycle(
            self._jobs,
            self._queue,
            self._holdings,
            self._attempts,
            self._records,
            self._timers,
            Explanations(self._out),
            rng,
        )

    @classmethod
    def from_config(
        cls,
        snapshot: Snapshot,
        availability_zone: ZoneName,
        epoch: Epoch,
        now: float,
        rng: random.Random,
    ) -> ZoneScheduler:
        """Makes the scheduler of a zone under a generation.

        Args:
          snapshot: the generation in force.
          availability_zone: the zone.
          epoch: the epoch of the role's holder.
          now: the present time, in seconds.
          rng: chance, seeded by the caller.

        Returns:
          A scheduler that has to be told of all workers and jobs.
        """
        scheduler = cls(availability_zone, epoch, rng)
        scheduler._on(ConfigurationChanged(snapshot), now)
        return scheduler

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Takes an event in.

        Args:
          event: what happened.
          now: the present time, in seconds.

        Returns:
          What has to be done, in this order.
        """
        if self._superseded:
            return []
        self._on(event, now)
        self._settle(now)
        self._probe(now)
        self._dispatcher.run(now)
        self._settle(now)
        self._update_alerts()
        decisions = list(self._out)
        self._out.clear()
        return decisions

    def next_wakeup(self, now: float) -> float | None:
        """Returns when `Tick` is due, in seconds; None for no deadline."""
        return now if self._dispatcher.dirty else self._timers.next_at()

    # ---- events

    @singledispatchmethod
    def _on(self, event: object, now: float) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _on_submitted(self, event: JobSubmitted, now: float) -> None:
        if self._early is not None and event.record.placement:
            self._early.append(event.record)
        else:
            self._lifecycle.submit(event.record, now)

    @_on.register
    def _on_cancelled(self, event: JobCancelled, now: float) -> None:
        job = self._jobs.get(event.job_id)
        if job is not None:
            self._lifecycle.cancel(job, now)

    @_on.register
    def _on_configuration(
        self, event: ConfigurationChanged, now: float
    ) -> None:
        objects = event.snapshot.objects
        pools = self._pools = {
            pool.name: pool
            for pool in objects.worker_pool
            if pool.availability_zone == self._zone
        }
        self._shares.configure(objects)
        self._witness.replace_shapes(
            s for s in objects.guaranteed_shape if s.worker_pool in pools
        )
        self._holdings.uncovered()
        self._dispatcher.reset()
        self._lifecycle.configure(objects, Admission(objects, self._zone))

    @_on.register
    def _on_fleet(self, event: FleetChanged, now: float) -> None:
        for worker in self._fleet.replace(event.workers):
            if not worker.trusted:
                self._witness.worker_lost(worker)
            if worker.listed:
                self._gone.pop(worker.worker_id, None)
            else:
                self._orphans.forget(worker.worker_id)
                self._gone[worker.worker_id] = now + GONE_WORKER_QUIET_S
        self._holdings.uncovered()
        early, self._early = self._early or [], None
        for record in early:
            self._lifecycle.submit(record, now)

    @_on.register
    def _on_reported(self, event: WorkerReported, now: float) -> None:
        worker = self._fleet.known(event.worker_id)
        if worker.unreachable or not worker.reported:
            worker.unreachable, worker.reported = False, True
            self._fleet.touch(worker)
        pool = self._pools.get(worker.info.pool)
        protected = pool is not None and pool.protections
        tasks = {(task.attempt, task.member): task for task in event.tasks}
        for job_id in list(worker.tenants):
            job = self._jobs[job_id]
            if job.attempt is None or not job.ordered:
                continue
            for member in job.members_on(event.worker_id):
                task = tasks.pop((job.attempt, member), None)
                self._attempts.reported(job, member, task, now)
                if protected and task is not None:
                    self._protections.observe(job, member, task.usage, now)
        self._orphans.seen(event.worker_id, tasks.values(), now)

    @_on.register
    def _on_unreachable(self, event: WorkerUnreachable, now: float) -> None:
        worker = self._fleet.known(event.worker_id)
        worker.unreachable = True
        worker.reported = False
        self._fleet.touch(worker)
        self._lose(event.worker_id, now)
        self._witness.worker_lost(worker)
        self._holdings.uncovered()

    @_on.register
    def _on_answered(self, event: OrderAnswered, now: float) -> None:
        job = self._jobs.get(event.order.job_id)
        if job is not None:
            self._attempts.answered(job, event.order, event.outcome, now)

    @_on.register
    def _on_written(self, event: RecordWritten, now: float) -> None:
        job = self._jobs.get(event.record.spec.job_id)
        if job is None:
            return
        self._records.written(job, event.record)
        if event.record.state.final:
            self._lifecycle.written(job, event.record.state)
        elif event.record.state is JobState.STARTING:
            self._attempts.intent_written(job, now)
        elif job.phase is Phase.QUEUED:
            self._dispatcher.dirty = True

    @_on.register
    def _on_not_written(self, event: RecordNotWritten, now: float) -> None:
        job = self._jobs.get(event.record.spec.job_id)
        found = event.found
        if job is None:
            return
        if found == event.record:
            self._on_written(RecordWritten(event.record), now)
        elif found is not None and found.epoch > self._epoch:
            self._superseded = True
        elif found is None or found.state.final:
            self._lifecycle.forget(job, now)
        else:
            self._records.conflicted(job, found)
            if found.cancel_requested:
                self._lifecycle.cancel(job, now)

    @_on.register
    def _on_tick(self, event: Tick, now: float) -> None:
        for worker_id in [w for w, at in self._gone.items() if at <= now]:
            del self._gone[worker_id]
            self._lose(worker_id, now)
        for job_id in self._timers.due(now):
            job = self._jobs.get(job_id)
            if job is None:
                continue
            if job.phase is Phase.QUEUED:
                self._lifecycle.due(job, now)
                self._dispatcher.dirty = True
            else:
                self._attempts.due(job, now)

    # ---- after each event

    def _probe(self, now: float) -> None:
        for worker in self._health.to_probe(now):
            job = self._dispatcher.probe(worker, now)
            if job is not None:
                self._health.probing(worker.worker_id, job)

    def _settle(self, now: float) -> None:
        self._observe(now)
        self._lifecycle.settle(now)
        self._witness.repair()
        self._holdings.uncovered()

    def _observe(self, now: float) -> None:
        """Learns from what has ended since the last call."""
        for failure in self._attempts.failures:
            if self._health.failed(failure.job, failure.worker_id, now):
                worker = self._fleet.known(failure.worker_id)
                self._witness.worker_lost(worker)
        self._attempts.failures.clear()
        for job in self._attempts.finished:
            self._protections.forget(job)
            if job.running:
                job.ran_s += now - job.started_at
            if job.ending is Ending.SUCCEEDED:
                if not job.adopted:
                    self._run_times.learn(job.spec, job.ran_s)
                for member in job.placement:
                    self._health.succeeded(job, member.worker_id)
            else:
                self._health.probe_over(job, now)

    def _lose(self, worker_id: WorkerId, now: float) -> None:
        for job_id in list(self._fleet.known(worker_id).tenants):
            job = self._jobs[job_id]
            if job.ordered:
                self._attempts.lost_worker(job, worker_id, now)

    def _update_alerts(self) -> None:
        if self._early is not None:
            return
        short = {i.name: i.reason for i in self._witness.short()}
        self._alerts.update(AlertKind.GUARANTEE_SHORT, short)
        self._alerts.update(
            AlertKind.WORKER_QUARANTINED, self._health.reasons()
        )

    # ---- what people ask for

    def status(self) -> SchedulerStatus:
        """Returns a summary of the zone."""
        return summarise(
            self._zone,
            self._epoch,
            self._fleet,
            self._queue,
            self._alerts,
            self._jobs.values(),
        )

    def guarantees(self) -> list[GuaranteePlace]:
        """Returns where each guaranteed shape can be had, or that it can't."""
        return [
            GuaranteePlace(
                name=instance.name,
                organisation=instance.shape.organisation,
                worker_ids=instance.worker_ids,
                accelerators_per_host=instance.shape.accelerators_per_host,
            )
            for instance in self._witness.instances
        ]

    def explain(self, job_id: JobId) -> str:
        """Returns why a job stands where it does, for people."""
        return self._lifecycle.explain(job_id)
