"""Detection and quarantine of workers that fail everything they start.

Many jobs that fail on one worker are evidence against the worker; one job, or
one kind of job, that fails on many workers is evidence against the job.
"""

from __future__ import annotations

from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.workers import Worker
from pomeloarch_core.ids import (
    JobClassName,
    JobId,
    OrganisationName,
    WorkerId,
)

# Delay before a quarantined worker's first probe; doubled after each probe
# that does not succeed, up to the maximum.
FIRST_PROBE_DELAY_S = 30.0
MAX_PROBE_DELAY_S = 3_600.0
# A quarantined worker that could not be probed for this long is returned to
# service; after long probe delays, for twice the delay.
UNPROBED_RETURN_DELAY_S = 600.0
# A worker is quarantined when at least `_MIN_FAILED_JOBS` jobs failed on it and
# the likelihoods that each failure is the worker's fault add up to the score.
_QUARANTINE_SCORE = 1.2
_MIN_FAILED_JOBS = 3
# The largest share of the zone's workers that may be in quarantine.
_MAX_QUARANTINED_SHARE = 0.2
# Failed jobs that are remembered for each worker.
_MAX_REMEMBERED_FAILURES = 64

_JobKind = tuple[OrganisationName, JobClassName]


class _FailureHistory:
    """The jobs that failed on one worker since its last success.

    Attributes:
      failed: the recent results of each failed job's kind, None for a job
        that failed on other workers as well.
    """

    def __init__(self) -> None:
        self.failed: dict[JobId, _RecentResults | None] = {}


class _RecentResults:
    """Recent results of the jobs of one kind on all workers, with decay."""

    def __init__(self) -> None:
        self.succeeded = 0.0
        self.failed = 0.0

    def add(self, *, failed: bool) -> None:
        self.succeeded *= 0.95
        self.failed *= 0.95
        if failed:
            self.failed += 1.0
        else:
            self.succeeded += 1.0

    @property
    def worker_fault_likelihood(self) -> float:
        """How likely a failure is the worker's fault rather than the job's."""
        return (self.succeeded + 1.0) / (self.succeeded + self.failed + 2.0)


class _Quarantine:
    """The quarantine of one worker.

    Attributes:
      reason: why the worker was quarantined, for operators.
      wait_s: the delay before the current probe, in seconds.
      probe_at: when the next probe is due, in seconds.
      return_at: when the worker is returned without a probe, in seconds.
      probe: the job that probes the worker now, if any.
    """

    def __init__(self, reason: str, now: float) -> None:
        self.reason = reason
        self.wait_s = FIRST_PROBE_DELAY_S
        self.probe_at = now + FIRST_PROBE_DELAY_S
        self.return_at = now + UNPROBED_RETURN_DELAY_S
        self.probe: JobId | None = None


class WorkerHealth:
    """Quarantines workers and returns them after a successful probe.

    Args:
      fleet: the workers.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Creates a monitor that has seen no results yet."""
        self._fleet = fleet
        self._histories: dict[WorkerId, _FailureHistory] = {}
        self._results_by_kind: dict[_JobKind, _RecentResults] = {}
        self._quarantined: dict[WorkerId, _Quarantine] = {}

    def reasons(self) -> dict[str, str]:
        """Returns the reason for each worker's quarantine."""
        return {str(w): q.reason for w, q in self._quarantined.items()}

    def record_success(self, job: Job, worker_id: WorkerId) -> None:
        """Records that a member of a job succeeded on a worker.

        If the job was a probe of the worker, its quarantine ends.
        """
        self._results_of(job).add(failed=False)
        self._histories.pop(worker_id, None)
        quarantine = self._quarantined.get(worker_id)
        if quarantine is not None and quarantine.probe == job.job_id:
            self._return_to_service(worker_id)

    def record_failure(self, job: Job, worker_id: WorkerId, now: float) -> bool:
        """Records that a member of a job failed on a worker.

        Returns:
          Whether the worker is quarantined because of this failure.
        """
        kind = self._results_of(job)
        kind.add(failed=True)
        quarantine = self._quarantined.get(worker_id)
        if quarantine is not None:
            if quarantine.probe == job.job_id:
                self._postpone_probe(quarantine, now)
            return False
        history = self._histories.setdefault(worker_id, _FailureHistory())
        # A job that failed elsewhere too is no evidence against this worker.
        elsewhere = job.failed_workers - {worker_id}
        history.failed[job.job_id] = None if elsewhere else kind
        while len(history.failed) > _MAX_REMEMBERED_FAILURES:
            del history.failed[next(iter(history.failed))]
        return self._quarantine_if_suspect(worker_id, history, now)

    def _quarantine_if_suspect(
        self, worker_id: WorkerId, history: _FailureHistory, now: float
    ) -> bool:
        evidence = [kind for kind in history.failed.values() if kind]
        score = sum(kind.worker_fault_likelihood for kind in evidence)
        if len(evidence) < _MIN_FAILED_JOBS or score < _QUARANTINE_SCORE:
            return False
        limit = max(1, int(_MAX_QUARANTINED_SHARE * len(self._fleet.workers)))
        if len(self._quarantined) >= limit:
            return False
        worker = self._fleet.get_or_add(worker_id)
        reason = (
            f"{len(evidence)} different jobs failed on it in a row, "
            f"of kinds that mostly succeed elsewhere"
        )
        self._quarantined[worker_id] = _Quarantine(reason, now)
        worker.quarantined = True
        self._fleet.reindex(worker)
        return True

    def due_for_probe(self, now: float) -> list[Worker]:
        """Returns the idle quarantined workers whose probe is due.

        Workers that have been without a probe for too long are returned to
        service, and those off the list are forgotten.
        """
        candidates = []
        for worker_id, quarantine in list(self._quarantined.items()):
            worker = self._fleet.workers.get(worker_id)
            if worker is None or not worker.listed:
                del self._quarantined[worker_id]
            elif now >= quarantine.return_at and quarantine.probe is None:
                self._return_to_service(worker_id)
            elif quarantine.probe is None and now >= quarantine.probe_at:
                candidates.append(worker)
        return [w for w in candidates if w.is_available and not w.holders]

    def probe_started(self, worker_id: WorkerId, job: Job) -> None:
        """Records that a job was placed on a worker as its probe."""
        self._quarantined[worker_id].probe = job.job_id

    def probe_inconclusive(self, job: Job, now: float) -> None:
        """Postpones the next probe of a worker whose probe gave no result."""
        for quarantine in self._quarantined.values():
            if quarantine.probe == job.job_id:
                self._postpone_probe(quarantine, now)

    def _postpone_probe(self, quarantine: _Quarantine, now: float) -> None:
        quarantine.probe = None
        quarantine.wait_s = min(MAX_PROBE_DELAY_S, 2 * quarantine.wait_s)
        quarantine.probe_at = now + quarantine.wait_s
        quarantine.return_at = now + max(
            UNPROBED_RETURN_DELAY_S, 2 * quarantine.wait_s
        )

    def _return_to_service(self, worker_id: WorkerId) -> None:
        del self._quarantined[worker_id]
        self._histories.pop(worker_id, None)
        worker = self._fleet.get_or_add(worker_id)
        worker.quarantined = False
        self._fleet.reindex(worker)

    def _results_of(self, job: Job) -> _RecentResults:
        key = (job.spec.organisation, job.spec.job_class)
        return self._results_by_kind.setdefault(key, _RecentResults())
