"""Tasks above their declared size: throttled, then checkpointed or stopped.

Usage reports lag, so that only usage which stays above a bound for the
class's patience counts.
"""

from __future__ import annotations

import enum

from pomeloarch_core.gang.attempts import Attempts
from pomeloarch_core.gang.jobs import Ending, Job, Phase
from pomeloarch_core.ids import AttemptId
from pomeloarch_core.objects.model import OveruseAction

_CHECKPOINTS = 2


class OveruseVerdict(enum.Enum):
    """What is to be done about a job."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class OveruseWatch:
    """How long one job's usage has been above its class's bounds."""

    def __init__(self) -> None:
        """Starts with usage as declared."""
        self._usage: dict[int, float] = {}
        self._throttle_since: float | None = None
        self._act_since: float | None = None
        self._throttled = False

    def observe(
        self, job: Job, member: int, usage: float, now: float
    ) -> OveruseVerdict | None:
        """Takes a usage report in.

        Args:
          job: the job.
          member: the member's index.
          usage: used size over declared size.
          now: the present time, in seconds.

        Returns:
          What is to be done now, if anything.
        """
        rules = job.job_class.protection
        self._usage[member] = usage
        highest = max(self._usage.values())
        self._throttle_since = _since(
            self._throttle_since, highest > rules.throttle_above, now
        )
        self._act_since = _since(
            self._act_since, highest > rules.act_above, now
        )
        if _lasted(self._act_since, rules.patience_s, now):
            if rules.then is OveruseAction.STOP:
                return OveruseVerdict.STOP
            if job.preemptible:
                return OveruseVerdict.CHECKPOINT
        lasted = _lasted(self._throttle_since, rules.patience_s, now)
        if lasted and not self._throttled:
            self._throttled = True
            return OveruseVerdict.THROTTLE
        return None


def _since(since: float | None, above: bool, now: float) -> float | None:
    if not above:
        return None
    return now if since is None else since


def _lasted(since: float | None, patience_s: float, now: float) -> bool:
    return since is not None and now - since >= patience_s


class Protections:
    """Watches the usage of running jobs and acts on it.

    Args:
      attempts: throttles, checkpoints and stops jobs.
    """

    def __init__(self, attempts: Attempts) -> None:
        """Starts without watches."""
        self._attempts = attempts
        self._watches: dict[AttemptId, OveruseWatch] = {}

    def observe(self, job: Job, member: int, usage: float, now: float) -> None:
        """Takes the usage of a running job's member in."""
        if job.phase is not Phase.RUNNING or job.attempt is None:
            return
        watch = self._watches.get(job.attempt)
        if watch is None:
            if usage <= job.job_class.protection.throttle_above:
                return
            watch = self._watches[job.attempt] = OveruseWatch()
        verdict = watch.observe(job, member, usage, now)
        if verdict is not None:
            self._act(job, verdict, usage, now)

    def forget(self, job: Job) -> None:
        """Forgets an attempt that is over."""
        if job.attempt is not None:
            self._watches.pop(job.attempt, None)

    def _act(
        self, job: Job, verdict: OveruseVerdict, usage: float, now: float
    ) -> None:
        reason = f"it used {usage:.2f} times its declared size"
        if verdict is OveruseVerdict.THROTTLE:
            self._attempts.throttle(job)
            return
        job.overuses += 1
        again = job.overuses <= _CHECKPOINTS
        if verdict is OveruseVerdict.CHECKPOINT and again:
            self._attempts.checkpoint(job, job.job_class.grace_s, reason, now)
        else:
            self._attempts.end(job, Ending.FAILED, reason, now)
