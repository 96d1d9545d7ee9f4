"""A job's way between its queue, its attempts and its end."""

from __future__ import annotations

import random
from collections.abc import Callable

from pomeloarch_core.gang.admission import Admission
from pomeloarch_core.gang.alerts import Explanations
from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.holdings import Holdings
from pomeloarch_core.gang.jobs import Ending, Job, Phase
from pomeloarch_core.gang.messages import JobRecord, JobState
from pomeloarch_core.gang.queue import JobQueue
from pomeloarch_core.gang.records import Records
from pomeloarch_core.gang.timers import Timers
from pomeloarch_core.ids import JobClassName, JobId
from pomeloarch_core.objects.model import JobClass, ObjectSet, Urgency

_FIRST_BACKOFF_S = 0.25
_LONGEST_BACKOFF_S = 30.0
_DOUBLINGS = 7
_AVOID_S = 10.0

_FINAL_STATES = {
    Ending.SUCCEEDED: JobState.SUCCEEDED,
    Ending.FAILED: JobState.FAILED,
    Ending.CANCELLED: JobState.CANCELLED,
    Ending.UNKNOWN: JobState.UNKNOWN,
}


class Lifecycle:
    """Accepts, refuses, cancels, re-queues and closes jobs.

    Args:
      jobs: all jobs by id.
      queue: the waiting jobs.
      holdings: places of jobs.
      attempts: begins and ends attempts.
      records: writes of jobs' records.
      timers: deadlines of jobs.
      explanations: reasons for people.
      rng: chance, to spread retries.
    """

    def __init__(
        self,
        jobs: dict[JobId, Job],
        queue: JobQueue,
        holdings: Holdings,
        attempts: Attempts,
        records: Records,
        timers: Timers,
        explanations: Explanations,
        rng: random.Random,
    ) -> None:
        """Keeps the parts that a job passes through."""
        self._jobs = jobs
        self._queue = queue
        self._holdings = holdings
        self._attempts = attempts
        self._records = records
        self._timers = timers
        self._explanations = explanations
        self._rng = rng
        self._classes: dict[JobClassName, JobClass] = {}
        self._objects: ObjectSet | None = None
        self._refusal: Callable[[JobRecord], str | None] = lambda _: None

    # ---- the beginning

    def configure(self, objects: ObjectSet, admission: Admission) -> None:
        """Takes the classes of a generation in; refuses what can't run."""
        before, self._objects = self._objects, objects
        self._classes = {c.name: c for c in objects.job_class}
        self._refusal = lambda record: admission.refusal(record.spec)
        if before is not None and _same_rules(before, objects):
            return
        for job in list(self._jobs.values()):
            self._reconfigure(job)

    def _reconfigure(self, job: Job) -> None:
        known = self._classes.get(job.spec.job_class)
        waiting = job.phase is Phase.QUEUED
        if waiting:
            refusal = self._refusal(job.record)
            self._queue.remove(job)
            if refusal is not None:
                self._refuse(job, refusal)
                return
        if known is not None and known != job.job_class:
            job.job_class = known
            self._holdings.reclassify(job)
        if waiting:
            self._queue.add(job)

    def submit(self, record: JobRecord, now: float) -> None:
        """Takes in a job's row that was not known before."""
        job_id = record.spec.job_id
        if job_id in self._jobs or record.state.final:
            return
        known = self._classes.get(record.spec.job_class)
        job = Job(record, known or _gone_class(record), now)
        self._jobs[job_id] = job
        if record.state is not JobState.QUEUED and record.placement:
            self._holdings.adopt(job)
            self._attempts.adopt(job, now)
        else:
            self._enqueue(job)
        if record.cancel_requested:
            self.cancel(job, now)

    def _enqueue(self, job: Job) -> None:
        refusal = self._refusal(job.record)
        if refusal is not None:
            self._refuse(job, refusal)
        else:
            self._queue.add(job)

    def _refuse(self, job: Job, reason: str) -> None:
        self._close(job, JobState.REFUSED, reason)

    # ---- the end

    def cancel(self, job: Job, now: float) -> None:
        """Ends a job that its caller does not want any more."""
        reason = "cancelled by its caller"
        job.cancelled = True
        if job.phase is Phase.QUEUED:
            self._queue.remove(job)
            self._close(job, JobState.CANCELLED, reason)
        elif job.phase is Phase.ENDING:
            if job.ending is Ending.REQUEUED:
                job.ending, job.end_reason = Ending.CANCELLED, reason
        elif job.phase is not Phase.CLOSED:
            self._attempts.end(job, Ending.CANCELLED, reason, now)

    def forget(self, job: Job, now: float) -> None:
        """Drops a job whose row another one has closed."""
        if job.phase in (Phase.QUEUED, Phase.CLOSED):
            self._queue.remove(job)
            self._holdings.release(job)
            self._jobs.pop(job.job_id, None)
        elif job.phase is not Phase.ENDING:
            reason = "its row was closed by another one"
            self._attempts.end(job, Ending.CANCELLED, reason, now)

    def written(self, job: Job, state: JobState) -> None:
        """Takes in that a job's record is durable."""
        if state.final:
            self._jobs.pop(job.job_id, None)

    def settle(self, now: float) -> None:
        """Deals with all attempts that have ended since the last call."""
        self._holdings.uncovered()
        while self._attempts.finished:
            job = self._attempts.finished.pop()
            for heir in self._holdings.release(job):
                self._attempts.begin(heir, now)
            if job.ending is Ending.REQUEUED and not job.cancelled:
                self._requeue(job, now)
            else:
                self._close_ended(job)

    def _close_ended(self, job: Job) -> None:
        ending, reason = job.ending, job.end_reason
        if ending is Ending.REQUEUED or ending is None:
            ending, reason = Ending.CANCELLED, "cancelled by its caller"
        self._close(job, _FINAL_STATES[ending], reason)

    def _close(self, job: Job, state: JobState, reason: str) -> None:
        job.phase = Phase.CLOSED
        self._explanations.note(job.job_id, f"{state.value}: {reason}")
        self._records.change(job, state=state, reason=reason)

    def _requeue(self, job: Job, now: float) -> None:
        job.phase = Phase.QUEUED
        job.ending = None
        job.cells = ()
        job.queued_at = now
        if job.failed_on:
            job.avoid_until = now + _AVOID_S
            self._timers.add(job.avoid_until, job.job_id)
        backoff_s = min(
            _LONGEST_BACKOFF_S,
            _FIRST_BACKOFF_S * 2 ** min(job.retries, _DOUBLINGS),
        )
        if job.retries or job.failures:
            job.not_before = now + backoff_s * self._rng.uniform(0.5, 1.0)
            self._timers.add(job.not_before, job.job_id)
        self._explanations.note(job.job_id, f"queued: {job.end_reason}")
        if job.record.state is not JobState.QUEUED:
            self._records.change(
                job,
                state=JobState.QUEUED,
                placement=(),
                cells=(),
                reason=job.end_reason,
            )
        self._queue.add_first(job)

    def due(self, job: Job, now: float) -> None:
        """Lets a waiting job try workers again on which it failed."""
        if job.failed_on and now >= job.avoid_until:
            job.failed_on.clear()

    # ---- for people

    def explain(self, job_id: JobId) -> str:
        """Returns why a job stands where it does."""
        job = self._jobs.get(job_id)
        last = self._explanations.find(job_id)
        if job is None:
            return last or f"job {job_id} is not known in this zone"
        if job.phase is Phase.QUEUED:
            lack = job.waits_for or "its turn"
            return f"waits for {lack}" + (f"; before, {last}" if last else "")
        if job.phase is Phase.WAITING_FOR_VICTIMS:
            return f"waits for {job.awaited} accelerators of preempted jobs"
        return f"{job.phase.value}: {job.end_reason or job.record.reason}"


def _same_rules(one: ObjectSet, other: ObjectSet) -> bool:
    return (
        one.job_class == other.job_class
        and one.organisation == other.organisation
        and one.worker_pool == other.worker_pool
        and one.guaranteed_shape == other.guaranteed_shape
    )


def _gone_class(record: JobRecord) -> JobClass:
    """Returns a class for a running job whose own one is gone."""
    return JobClass(name=record.spec.job_class, urgency=Urgency.STANDARD)
