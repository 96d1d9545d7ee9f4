"""Workers that fail everything they start, told by evidence.

Many jobs that fail on one worker speak against the worker; one job, or one
kind of job, that fails on many workers speaks against the job.
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

PROBE_AFTER_S = 30.0
LONGEST_PROBE_AFTER_S = 3_600.0
UNPROBED_RETURN_S = 600.0
_SCORE = 1.2
_JOBS = 3
_LARGEST_SHARE = 0.2
_MEMORY = 64

_Kind = tuple[OrganisationName, JobClassName]


class _Record:
    """What happened on one worker since its last success."""

    def __init__(self) -> None:
        self.failed: dict[JobId, _Tally | None] = {}


class _Tally:
    """How the jobs of one kind fared on all workers, lately."""

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
    def innocence(self) -> float:
        """How likely it is that a failure is not the job's own fault."""
        return (self.succeeded + 1.0) / (self.succeeded + self.failed + 2.0)


class _Quarantine:
    """One worker in quarantine."""

    def __init__(self, reason: str, now: float) -> None:
        self.reason = reason
        self.wait_s = PROBE_AFTER_S
        self.probe_at = now + PROBE_AFTER_S
        self.return_at = now + UNPROBED_RETURN_S
        self.probe: JobId | None = None


class WorkerHealth:
    """Quarantines workers, has them probed and returns them.

    Args:
      fleet: the workers.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Starts without evidence."""
        self._fleet = fleet
        self._records: dict[WorkerId, _Record] = {}
        self._kinds: dict[_Kind, _Tally] = {}
        self._quarantined: dict[WorkerId, _Quarantine] = {}

    def reasons(self) -> dict[str, str]:
        """Returns why each quarantined worker is kept from work."""
        return {str(w): q.reason for w, q in self._quarantined.items()}

    def succeeded(self, job: Job, worker_id: WorkerId) -> None:
        """Takes in that a member of a job succeeded on a worker."""
        self._tally(job).add(failed=False)
        self._records.pop(worker_id, None)
        found = self._quarantined.get(worker_id)
        if found is not None and found.probe == job.job_id:
            self._return(worker_id)

    def failed(self, job: Job, worker_id: WorkerId, now: float) -> bool:
        """Takes in that a member of a job failed on a worker.

        Returns:
          Whether the worker is quarantined because of it.
        """
        kind = self._tally(job)
        kind.add(failed=True)
        found = self._quarantined.get(worker_id)
        if found is not None:
            if found.probe == job.job_id:
                self._put_off(found, now)
            return False
        record = self._records.setdefault(worker_id, _Record())
        # A job that failed elsewhere as well is no evidence against this one.
        elsewhere = job.failed_on - {worker_id}
        record.failed[job.job_id] = None if elsewhere else kind
        while len(record.failed) > _MEMORY:
            del record.failed[next(iter(record.failed))]
        return self._judge(worker_id, record, now)

    def _judge(self, worker_id: WorkerId, record: _Record, now: float) -> bool:
        telling = [kind for kind in record.failed.values() if kind]
        score = sum(kind.innocence for kind in telling)
        if len(telling) < _JOBS or score < _SCORE:
            return False
        most = max(1, int(_LARGEST_SHARE * len(self._fleet.workers)))
        if len(self._quarantined) >= most:
            return False
        worker = self._fleet.known(worker_id)
        reason = (
            f"{len(telling)} different jobs failed on it in a row, "
            f"of kinds that mostly succeed elsewhere"
        )
        self._quarantined[worker_id] = _Quarantine(reason, now)
        worker.quarantined = True
        self._fleet.touch(worker)
        return True

    def to_probe(self, now: float) -> list[Worker]:
        """Returns the workers that are due for a probe with safe work."""
        due = []
        for worker_id, found in list(self._quarantined.items()):
            worker = self._fleet.workers.get(worker_id)
            if worker is None or not worker.listed:
                del self._quarantined[worker_id]
            elif now >= found.return_at and found.probe is None:
                self._return(worker_id)
            elif found.probe is None and now >= found.probe_at:
                due.append(worker)
        return [w for w in due if w.sound and not w.used]

    def probing(self, worker_id: WorkerId, job: Job) -> None:
        """Takes in that a job is placed on a worker as its probe."""
        self._quarantined[worker_id].probe = job.job_id

    def probe_over(self, job: Job, now: float) -> None:
        """Takes in that a job left its workers without a verdict."""
        for found in self._quarantined.values():
            if found.probe == job.job_id:
                self._put_off(found, now)

    def _put_off(self, found: _Quarantine, now: float) -> None:
        found.probe = None
        found.wait_s = min(LONGEST_PROBE_AFTER_S, 2 * found.wait_s)
        found.probe_at = now + found.wait_s
        found.return_at = now + max(UNPROBED_RETURN_S, 2 * found.wait_s)

    def _return(self, worker_id: WorkerId) -> None:
        del self._quarantined[worker_id]
        self._records.pop(worker_id, None)
        worker = self._fleet.known(worker_id)
        worker.quarantined = False
        self._fleet.touch(worker)

    def _tally(self, job: Job) -> _Tally:
        key = (job.spec.organisation, job.spec.job_class)
        return self._kinds.setdefault(key, _Tally())
