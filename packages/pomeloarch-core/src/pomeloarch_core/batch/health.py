"""Suspends workers on which runs fail or stall, for a limited time."""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Worker

# A single failure is as often the task's fault as the worker's; two in a row
# are not.
FAILURES_TO_SUSPEND = 2
# Suspensions in seconds; long enough to tell a failing worker from a single
# failing task.
FIRST_SUSPENSION_S = 2.0
MAX_SUSPENSION_S = 8.0


def record_failure(worker: Worker, now: float) -> bool:
    """Records a failed run; returns whether the worker is now suspended."""
    worker.failures += 1
    excess = worker.failures - FAILURES_TO_SUSPEND
    if excess < 0:
        return False
    pause_s = min(FIRST_SUSPENSION_S * 2**excess, MAX_SUSPENSION_S)
    worker.suspended_until = now + pause_s
    return True


def record_success(worker: Worker) -> None:
    """Records a run that ended well, which ends a suspension."""
    worker.failures = 0
    worker.suspended_until = 0.0


# Time without progress after which a run is stalled, in seconds. Even a slow
# worker completes a hundredth of a run's work in less.
STALLED_AFTER_S = 2.0
# How long the worker of a stalled run is suspended, in seconds; each report
# without progress starts this time anew.
STALL_SUSPENSION_S = 1.5


def suspend_stalled(worker: Worker, stalled_s: float, now: float) -> bool:
    """Suspends a worker on which a run has stalled.

    Args:
      worker: the worker.
      stalled_s: how long the run has made no progress, in seconds.
      now: the present time, in seconds.

    Returns:
      Whether the worker was not suspended before.
    """
    if stalled_s < STALLED_AFTER_S:
        return False
    newly_suspended = worker.suspended_until <= now
    suspend(worker, now)
    return newly_suspended


def suspend(worker: Worker, now: float) -> None:
    """Suspends a worker for `STALL_SUSPENSION_S` at least.

    A suspension that lasts longer isn't shortened.
    """
    worker.suspended_until = max(
        worker.suspended_until, now + STALL_SUSPENSION_S
    )
