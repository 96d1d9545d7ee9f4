"""The scheduler of one availability zone: takes events, returns decisions.

The scheduler does no I/O and reads no clock: the caller passes the time with
each event and carries out the decisions that `ZoneScheduler.handle` returns.
"""

from __future__ import annotations

import random
from functools import singledispatchmethod

from pomeloarch_core.gang.admission import Admission
from pomeloarch_core.gang.alerts import Alerts, Explanations
from pomeloarch_core.gang.allocations import Allocations
from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.dispatcher import Dispatcher
from pomeloarch_core.gang.estimates import RunTimeEstimator
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.health import WorkerHealth
from pomeloarch_core.gang.jobs import AttemptOutcome, Job, Phase
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
from pomeloarch_core.gang.orphans import OrphanedTasks
from pomeloarch_core.gang.placer import Placer
from pomeloarch_core.gang.protection import OveruseMonitor
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

# The shortest time from a worker's removal from the platform's list until its
# tasks count as ended. An unlisted worker is sent nothing, so its tasks' leases
# expire meanwhile. If they last longer, this time is longer, too.
UNLISTED_WORKER_GRACE_S = 30.0


class ZoneScheduler:
    """Schedules the jobs of one availability zone under one epoch.

    Args:
      availability_zone: the zone.
      epoch: the epoch of the scheduler role's holder.
      rng: source of randomness, seeded by the caller.
    """

    def __init__(
        self,
        availability_zone: ZoneName,
        epoch: Epoch,
        rng: random.Random,
    ) -> None:
        """Creates a scheduler without jobs or workers."""
        self._zone = availability_zone
        self._epoch = epoch
        self._decisions: list[Decision] = []
        self._jobs: dict[JobId, Job] = {}
        # When the tasks of each unlisted worker count as ended.
        self._give_up_at: dict[WorkerId, float] = {}
        # How long the tasks of a worker that isn't listed may run, in seconds.
        self._unlisted_grace_s = UNLISTED_WORKER_GRACE_S
        # Records of placed jobs that arrived before the first list of workers;
        # None once that list has been handled.
        self._early_records: list[JobRecord] | None = []
        self._superseded = False
        self._fleet = Fleet()
        self._witness = Witness(self._fleet)
        self._shares = Shares(self._fleet)
        self._queue = JobQueue(self._shares)
        self._timers = Timers()
        self._records = Records(epoch, self._decisions)
        self._orphans = OrphanedTasks(epoch, self._decisions)
        self._alerts = Alerts(self._decisions)
        self._attempts = Attempts(
            epoch, self._records, self._timers, self._decisions
        )
        self._health = WorkerHealth(self._fleet)
        self._overuse_monitor = OveruseMonitor(self._attempts)
        self._run_times = RunTimeEstimator()
        self._pools: dict[PoolName, WorkerPool] = {}
        self._allocations = Allocations(
            self._fleet, self._witness, self._shares, self._jobs
        )
        self._dispatcher = Dispatcher(
            self._fleet,
            self._witness,
            self._shares,
            self._queue,
            Placer(self._fleet, self._witness, self._shares, self._jobs),
            self._allocations,
            self._attempts,
            self._records,
            self._jobs,
            Reservations(self._fleet, self._jobs, self._run_times),
        )
        self._lifecycle = Lifecycle(
            self._jobs,
            self._queue,
            self._allocations,
            self._attempts,
            self._records,
            self._timers,
            Explanations(self._decisions),
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
        """Creates the scheduler of a zone under a generation.

        Args:
          snapshot: the generation in force.
          availability_zone: the zone.
          epoch: the epoch of the scheduler role's holder.
          now: the current time, in seconds.
          rng: source of randomness, seeded by the caller.

        Returns:
          A scheduler that still has to receive the zone's workers and jobs
          as events.
        """
        scheduler = cls(availability_zone, epoch, rng)
        scheduler._on(ConfigurationChanged(snapshot), now)
        return scheduler

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Handles one event.

        Args:
          event: what happened.
          now: the current time, in seconds.

        Returns:
          The decisions to carry out, in this order. A scheduler that has
          seen a record of a higher epoch decides nothing any more.
        """
        if self._superseded:
            return []
        self._on(event, now)
        self._process_ended_attempts(now)
        self._probe_quarantined(now)
        self._dispatcher.run(now)
        self._process_ended_attempts(now)
        self._update_alerts()
        decisions = list(self._decisions)
        self._decisions.clear()
        return decisions

    def next_wakeup(self, now: float) -> float | None:
        """Returns when the next `Tick` is due, in seconds; None if never."""
        return now if self._dispatcher.dirty else self._timers.next_at()

    @singledispatchmethod
    def _on(self, event: object, now: float) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _on_submitted(self, event: JobSubmitted, now: float) -> None:
        if self._early_records is not None and event.record.placement:
            self._early_records.append(event.record)
        else:
            self._submit(event.record, now)

    def _submit(self, record: JobRecord, now: float) -> None:
        self._lifecycle.submit(record, now)
        for member in record.placement:
            worker = self._fleet.workers.get(member.worker_id)
            if worker is not None and not worker.listed:
                self._give_up_at.setdefault(
                    worker.worker_id, now + self._unlisted_grace_s
                )

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
        self._allocations.reclassify_displaced()
        self._dispatcher.reset()
        self._lifecycle.configure(objects, Admission(objects, self._zone))

    @_on.register
    def _on_fleet(self, event: FleetChanged, now: float) -> None:
        self._unlisted_grace_s = max(
            UNLISTED_WORKER_GRACE_S, event.leases_end_in_s
        )
        for worker in self._fleet.update_listing(event.workers):
            if not worker.can_hold_guarantees:
                self._witness.handle_worker_loss(worker)
            if worker.listed:
                self._give_up_at.pop(worker.worker_id, None)
            else:
                self._orphans.forget_worker(worker.worker_id)
                self._give_up_at[worker.worker_id] = (
                    now + self._unlisted_grace_s
                )
        self._allocations.reclassify_displaced()
        early_records, self._early_records = self._early_records or [], None
        for record in early_records:
            self._submit(record, now)

    @_on.register
    def _on_reported(self, event: WorkerReported, now: float) -> None:
        worker = self._fleet.get_or_add(event.worker_id)
        if worker.unreachable or not worker.reported:
            worker.unreachable, worker.reported = False, True
            self._fleet.reindex(worker)
        pool = self._pools.get(worker.info.pool)
        protected = pool is not None and pool.protections
        tasks = {(task.attempt, task.member): task for task in event.tasks}
        for job_id in list(worker.accelerators_by_job):
            job = self._jobs[job_id]
            if job.attempt is None or not job.is_known_to_workers:
                continue
            for member in job.members_on(event.worker_id):
                task = tasks.pop((job.attempt, member), None)
                self._attempts.handle_report(job, member, task, now)
                if protected and task is not None:
                    self._overuse_monitor.observe(job, member, task.usage, now)
        self._orphans.stop_unaccounted(event.worker_id, tasks.values(), now)

    @_on.register
    def _on_unreachable(self, event: WorkerUnreachable, now: float) -> None:
        worker = self._fleet.get_or_add(event.worker_id)
        worker.unreachable = True
        worker.reported = False
        self._fleet.reindex(worker)
        self._give_up_tasks(event.worker_id, now)
        self._witness.handle_worker_loss(worker)
        self._allocations.reclassify_displaced()

    @_on.register
    def _on_answered(self, event: OrderAnswered, now: float) -> None:
        job = self._jobs.get(event.order.job_id)
        if job is not None:
            self._attempts.handle_answer(job, event.order, event.outcome, now)

    @_on.register
    def _on_written(self, event: RecordWritten, now: float) -> None:
        job = self._jobs.get(event.record.spec.job_id)
        if job is None:
            return
        self._records.handle_written(job, event.record)
        if event.record.state.is_final:
            self._lifecycle.handle_written(job, event.record.state)
        elif event.record.state is JobState.STARTING:
            self._attempts.handle_intent_written(job, now)
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
        elif found is None or found.state.is_final:
            self._lifecycle.forget(job, now)
        else:
            self._records.handle_conflict(job, found)
            if found.cancel_requested:
                self._lifecycle.cancel(job, now)

    @_on.register
    def _on_tick(self, event: Tick, now: float) -> None:
        for worker_id in [w for w, at in self._give_up_at.items() if at <= now]:
            del self._give_up_at[worker_id]
            self._give_up_tasks(worker_id, now)
        for job_id in self._timers.pop_due(now):
            job = self._jobs.get(job_id)
            if job is None:
                continue
            if job.phase is Phase.QUEUED:
                self._lifecycle.handle_timer(job, now)
                self._dispatcher.dirty = True
            else:
                self._attempts.handle_timer(job, now)

    def _probe_quarantined(self, now: float) -> None:
        for worker in self._health.due_for_probe(now):
            job = self._dispatcher.probe(worker, now)
            if job is not None:
                self._health.probe_started(worker.worker_id, job)

    def _process_ended_attempts(self, now: float) -> None:
        self._learn_from_ended(now)
        self._lifecycle.process_ended_attempts(now)
        self._witness.repair()
        self._allocations.reclassify_displaced()

    def _learn_from_ended(self, now: float) -> None:
        """Updates worker health and run times from attempts that ended."""
        for failure in self._attempts.failures:
            if self._health.record_failure(failure.job, failure.worker_id, now):
                worker = self._fleet.get_or_add(failure.worker_id)
                self._witness.handle_worker_loss(worker)
        self._attempts.failures.clear()
        for job in self._attempts.finished:
            self._overuse_monitor.forget(job)
            if job.has_run:
                job.ran_s += now - job.started_at
            if job.outcome is AttemptOutcome.SUCCEEDED:
                if not job.adopted:
                    self._run_times.record(job.spec, job.ran_s)
                for member in job.placement:
                    self._health.record_success(job, member.worker_id)
            else:
                self._health.probe_inconclusive(job, now)

    def _give_up_tasks(self, worker_id: WorkerId, now: float) -> None:
        for job_id in list(
            self._fleet.get_or_add(worker_id).accelerators_by_job
        ):
            job = self._jobs[job_id]
            if job.is_known_to_workers:
                self._attempts.handle_worker_loss(job, worker_id, now)

    def _update_alerts(self) -> None:
        if self._early_records is not None:
            return
        unplaced = {i.name: i.unplaced_reason for i in self._witness.unplaced()}
        self._alerts.update(AlertKind.GUARANTEE_SHORT, unplaced)
        self._alerts.update(
            AlertKind.WORKER_QUARANTINED, self._health.reasons()
        )

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
        """Returns the workers that hold each guaranteed shape, if any do."""
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
        """Returns a human-readable reason for a job's current state."""
        return self._lifecycle.explain(job_id)
