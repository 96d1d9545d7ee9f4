"""Protection against tasks that use more than their declared size.

Such tasks are throttled, then checkpointed or stopped. Usage reports lag, so
only usage that stays above a limit for the class's `patience_s` counts.
"""

from __future__ import annotations

import enum

from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.jobs import AttemptOutcome, Job, Phase
from pomeloarch_core.ids import AttemptId
from pomeloarch_core.objects.model import OveruseAction

# Checkpoints for overuse after which the job fails instead.
_MAX_OVERUSE_CHECKPOINTS = 2


class OveruseResponse(enum.Enum):
    """What to do about a job that uses too much."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class OveruseWatch:
    """Tracks how long one job's usage has been above its class's limits."""

    def __init__(self) -> None:
        """Creates a watch of a job that has not exceeded its limits yet."""
        self._usage: dict[int, float] = {}
        self._throttle_since: float | None = None
        self._act_since: float | None = None
        self._throttled = False

    def observe(
        self, job: Job, member: int, usage: float, now: float
    ) -> OveruseResponse | None:
        """Records a usage report.

        Args:
          job: the job.
          member: the member's index.
          usage: used size over declared size.
          now: the current time, in seconds.

        Returns:
          What to do about the job now, None for nothing.
        """
        rules = job.job_class.protection
        self._usage[member] = usage
        highest = max(self._usage.values())
        self._throttle_since = _above_since(
            self._throttle_since, highest > rules.throttle_above, now
        )
        self._act_since = _above_since(
            self._act_since, highest > rules.act_above, now
        )
        if _has_lasted(self._act_since, rules.patience_s, now):
            if rules.then is OveruseAction.STOP:
                return OveruseResponse.STOP
            if job.preemptible:
                return OveruseResponse.CHECKPOINT
        lasted = _has_lasted(self._throttle_since, rules.patience_s, now)
        if lasted and not self._throttled:
            self._throttled = True
            return OveruseResponse.THROTTLE
        return None


def _above_since(since: float | None, above: bool, now: float) -> float | None:
    if not above:
        return None
    return now if since is None else since


def _has_lasted(since: float | None, patience_s: float, now: float) -> bool:
    return since is not None and now - since >= patience_s


class OveruseMonitor:
    """Watches the usage of running jobs and acts on overuse.

    Args:
      attempts: throttles, checkpoints and stops jobs.
    """

    def __init__(self, attempts: Attempts) -> None:
        """Creates a monitor without watched jobs."""
        self._attempts = attempts
        self._watches: dict[AttemptId, OveruseWatch] = {}

    def observe(self, job: Job, member: int, usage: float, now: float) -> None:
        """Records the usage of a running job's member and acts on overuse."""
        if job.phase is not Phase.RUNNING or job.attempt is None:
            return
        watch = self._watches.get(job.attempt)
        if watch is None:
            if usage <= job.job_class.protection.throttle_above:
                return
            watch = self._watches[job.attempt] = OveruseWatch()
        response = watch.observe(job, member, usage, now)
        if response is not None:
            self._respond(job, response, usage, now)

    def forget(self, job: Job) -> None:
        """Forgets the attempt of a job, which has ended."""
        if job.attempt is not None:
            self._watches.pop(job.attempt, None)

    def _respond(
        self, job: Job, response: OveruseResponse, usage: float, now: float
    ) -> None:
        reason = f"it used {usage:.2f} times its declared size"
        if response is OveruseResponse.THROTTLE:
            self._attempts.throttle(job)
            return
        job.overuse_count += 1
        may_checkpoint = job.overuse_count <= _MAX_OVERUSE_CHECKPOINTS
        if response is OveruseResponse.CHECKPOINT and may_checkpoint:
            self._attempts.checkpoint(job, job.job_class.grace_s, reason, now)
        else:
            self._attempts.end(job, AttemptOutcome.FAILED, reason, now)
