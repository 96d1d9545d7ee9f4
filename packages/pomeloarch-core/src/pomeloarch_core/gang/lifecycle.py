"""The lifecycle of jobs: submission, queueing, cancellation and end."""

from __future__ import annotations

import random
from collections.abc import Callable

from pomeloarch_core.gang.admission import Admission
from pomeloarch_core.gang.alerts import Explanations
from pomeloarch_core.gang.allocations import Allocations
from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.jobs import AttemptOutcome, Job, Phase
from pomeloarch_core.gang.messages import JobRecord, JobState
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.timers import Timers
from pomeloarch_core.ids import JobClassName, JobId
from pomeloarch_core.objects.model import JobClass, ObjectSet, Urgency

# Delay before the next attempt, doubled up to the maximum for each attempt in
# a row that ended without a start.
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 30.0
_MAX_DOUBLINGS = 7
# How long a job avoids the workers on which one of its members failed.
_AVOID_FAILED_WORKERS_S = 10.0

_FINAL_STATES = {
    AttemptOutcome.SUCCEEDED: JobState.SUCCEEDED,
    AttemptOutcome.FAILED: JobState.FAILED,
    AttemptOutcome.CANCELLED: JobState.CANCELLED,
    AttemptOutcome.UNKNOWN: JobState.UNKNOWN,
}


class Lifecycle:
    """Accepts, refuses, cancels, requeues and closes jobs.

    Args:
      jobs: all jobs by id.
      queue: the waiting jobs.
      allocations: the accelerators allocated to jobs.
      attempts: begins and ends attempts.
      records: writes the jobs' records.
      timers: the deadlines of jobs.
      explanations: keeps human-readable reasons.
      rng: source of randomness for the jitter of retries.
    """

    def __init__(
        self,
        jobs: dict[JobId, Job],
        queue: JobQueue,
        allocations: Allocations,
        attempts: Attempts,
        records: Records,
        timers: Timers,
        explanations: Explanations,
        rng: random.Random,
    ) -> None:
        """Creates the lifecycle before any configuration is known."""
        self._jobs = jobs
        self._queue = queue
        self._allocations = allocations
        self._attempts = attempts
        self._records = records
        self._timers = timers
        self._explanations = explanations
        self._rng = rng
        self._classes: dict[JobClassName, JobClass] = {}
        self._objects: ObjectSet | None = None
        self._refusal_reason: Callable[[JobRecord], str | None] = lambda _: None

    def configure(self, objects: ObjectSet, admission: Admission) -> None:
        """Applies a generation and refuses waiting jobs that it rules out."""
        previous, self._objects = self._objects, objects
        self._classes = {c.name: c for c in objects.job_class}
        self._refusal_reason = lambda record: admission.refusal_reason(
            record.spec
        )
        if previous is not None and _has_same_rules(previous, objects):
            return
        for job in list(self._jobs.values()):
            self._reconfigure(job)

    def _reconfigure(self, job: Job) -> None:
        current_class = self._classes.get(job.spec.job_class)
        is_waiting = job.phase is Phase.QUEUED
        if is_waiting:
            refusal = self._refusal_reason(job.record)
            self._queue.remove(job)
            if refusal is not None:
                self._refuse(job, refusal)
                return
        if current_class is not None and current_class != job.job_class:
            job.job_class = current_class
            self._allocations.reclassify(job)
        if is_waiting:
            self._queue.add(job)

    def submit(self, record: JobRecord, now: float) -> None:
        """Adds a job whose row was not known before.

        A job that was placed under an earlier epoch is adopted; others are
        queued or refused.
        """
        job_id = record.spec.job_id
        if job_id in self._jobs or record.state.is_final:
            return
        current_class = self._classes.get(record.spec.job_class)
        job = Job(record, current_class or _placeholder_class(record), now)
        self._jobs[job_id] = job
        if record.state is not JobState.QUEUED and record.placement:
            self._allocations.adopt(job)
            self._attempts.adopt(job, now)
        else:
            self._enqueue(job)
        if record.cancel_requested:
            self.cancel(job, now)

    def _enqueue(self, job: Job) -> None:
        refusal = self._refusal_reason(job.record)
        if refusal is not None:
            self._refuse(job, refusal)
        else:
            self._queue.add(job)

    def _refuse(self, job: Job, reason: str) -> None:
        self._close(job, JobState.REFUSED, reason)

    def cancel(self, job: Job, now: float) -> None:
        """Cancels a job at the request of its caller."""
        reason = "cancelled by its caller"
        job.cancelled = True
        if job.phase is Phase.QUEUED:
            self._queue.remove(job)
            self._close(job, JobState.CANCELLED, reason)
        elif job.phase is Phase.ENDING:
            if job.outcome is AttemptOutcome.REQUEUED:
                job.outcome, job.end_reason = AttemptOutcome.CANCELLED, reason
        elif job.phase is not Phase.CLOSED:
            self._attempts.end(job, AttemptOutcome.CANCELLED, reason, now)

    def forget(self, job: Job, now: float) -> None:
        """Drops a job whose row another writer has closed or removed."""
        if job.phase in (Phase.QUEUED, Phase.CLOSED):
            self._queue.remove(job)
            self._allocations.release(job)
            self._jobs.pop(job.job_id, None)
        elif job.phase is not Phase.ENDING:
            reason = "its row was closed by another one"
            self._attempts.end(job, AttemptOutcome.CANCELLED, reason, now)

    def handle_written(self, job: Job, state: JobState) -> None:
        """Drops a job from memory once its final record is durable."""
        if state.is_final:
            self._jobs.pop(job.job_id, None)

    def process_ended_attempts(self, now: float) -> None:
        """Requeues or closes the jobs whose attempts have ended."""
        self._allocations.reclassify_displaced()
        while self._attempts.finished:
            job = self._attempts.finished.pop()
            for ready_job in self._allocations.release(job):
                self._attempts.begin(ready_job, now)
            if job.outcome is AttemptOutcome.REQUEUED and not job.cancelled:
                self._requeue(job, now)
            else:
                self._close_ended(job)

    def _close_ended(self, job: Job) -> None:
        outcome, reason = job.outcome, job.end_reason
        if outcome is AttemptOutcome.REQUEUED or outcome is None:
            outcome, reason = (
                AttemptOutcome.CANCELLED,
                "cancelled by its caller",
            )
        self._close(job, _FINAL_STATES[outcome], reason)

    def _close(self, job: Job, state: JobState, reason: str) -> None:
        job.phase = Phase.CLOSED
        self._explanations.record(job.job_id, f"{state.value}: {reason}")
        self._records.change(job, state=state, reason=reason)

    def _requeue(self, job: Job, now: float) -> None:
        job.phase = Phase.QUEUED
        job.outcome = None
        job.cells = ()
        job.queued_at = now
        if job.failed_workers:
            job.avoid_until = now + _AVOID_FAILED_WORKERS_S
            self._timers.add(job.avoid_until, job.job_id)
        backoff_s = min(
            _MAX_BACKOFF_S,
            _FIRST_BACKOFF_S * 2 ** min(job.retries, _MAX_DOUBLINGS),
        )
        if job.retries or job.failures:
            job.not_before = now + backoff_s * self._rng.uniform(0.5, 1.0)
            self._timers.add(job.not_before, job.job_id)
        self._explanations.record(job.job_id, f"queued: {job.end_reason}")
        if job.record.state is not JobState.QUEUED:
            self._records.change(
                job,
                state=JobState.QUEUED,
                placement=(),
                cells=(),
                reason=job.end_reason,
            )
        self._queue.add_first(job)

    def handle_timer(self, job: Job, now: float) -> None:
        """Lets a waiting job use the workers again on which it failed."""
        if job.failed_workers and now >= job.avoid_until:
            job.failed_workers.clear()

    def explain(self, job_id: JobId) -> str:
        """Returns a human-readable reason for a job's current state."""
        job = self._jobs.get(job_id)
        last_reason = self._explanations.find(job_id)
        if job is None:
            return last_reason or f"job {job_id} is not known in this zone"
        if job.phase is Phase.QUEUED:
            blocker = job.waits_for or "its turn"
            return f"waits for {blocker}" + (
                f"; before, {last_reason}" if last_reason else ""
            )
        if job.phase is Phase.WAITING_FOR_VICTIMS:
            return (
                f"waits for {job.awaited_accelerators} accelerators of "
                "preempted jobs"
            )
        return f"{job.phase.value}: {job.end_reason or job.record.reason}"


def _has_same_rules(one: ObjectSet, other: ObjectSet) -> bool:
    return (
        one.job_class == other.job_class
        and one.organisation == other.organisation
        and one.worker_pool == other.worker_pool
        and one.guaranteed_shape == other.guaranteed_shape
    )


def _placeholder_class(record: JobRecord) -> JobClass:
    """Returns a stand-in for a job class that no longer exists."""
    return JobClass(name=record.spec.job_class, urgency=Urgency.STANDARD)
