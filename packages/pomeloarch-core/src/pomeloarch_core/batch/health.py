"""Suspends workers that fail what they start, and tries them again."""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Worker

# One failure is the task's as often as the worker's; two in a row are not.
FAILURES_TO_SUSPEND = 2
# Long enough to tell a bad spell from a single bad task, in seconds.
FIRST_SUSPENSION_S = 2.0
MAX_SUSPENSION_S = 8.0


def record_failure(worker: Worker, now: float) -> bool:
    """Notes a failed run; returns whether the worker is now suspended."""
    worker.failures += 1
    excess = worker.failures - FAILURES_TO_SUSPEND
    if excess < 0:
        return False
    pause_s = min(FIRST_SUSPENSION_S * 2**excess, MAX_SUSPENSION_S)
    worker.suspended_until = now + pause_s
    return True


def record_success(worker: Worker) -> None:
    """Notes a run that ended well: the worker is sound."""
    worker.failures = 0
    worker.suspended_until = 0.0


# A run without progress for this long, in seconds, stands still; a slow
# worker's gets a hundredth of its work done in less.
STALLED_AFTER_S = 2.0
# How long its worker is given nothing more, in seconds; renewed with each
# report that shows no progress.
STALL_SUSPENSION_S = 1.5


def suspend_stalled(worker: Worker, still_s: float, now: float) -> bool:
    """Suspends a worker on which a run stands still.

    Args:
      worker: the worker.
      still_s: how long the run has made no progress, in seconds.
      now: the present time, in seconds.

    Returns:
      Whether the worker has just been suspended for it.
    """
    if still_s < STALLED_AFTER_S:
        return False
    fresh = worker.suspended_until <= now
    suspend(worker, now)
    return fresh


def suspend(worker: Worker, now: float) -> None:
    """Gives a worker nothing more until reports show that it works."""
    worker.suspended_until = max(
        worker.suspended_until, now + STALL_SUSPENSION_S
    )
