"""Tells workers which ended tasks they no longer need to report."""

from __future__ import annotations

from pomeloarch_core.gang.messages import (
    JobRecord,
    OrderKind,
    TaskReport,
    TaskState,
    WorkerOrder,
    WorkerReported,
)
from pomeloarch_core.ids import AttemptId, Epoch, JobId

# Maximum number of orders in reply to one report, so that the worker has time
# for its other orders.
MAX_ORDERS_PER_REPORT = 32

_ENDED_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED}
)


class EndedTaskReleaser:
    """Releases ended tasks whose end is recorded in their job's row.

    Workers report an ended task until it is released, so that no end is missed.
    Without releases, the reports would grow with each job.

    Args:
      epoch: the epoch that the orders carry.
    """

    def __init__(self, epoch: Epoch) -> None:
        """Starts without jobs."""
        self._epoch = epoch
        self._current_attempts: dict[JobId, AttemptId | None] = {}

    def track(self, record: JobRecord) -> None:
        """Remembers the current attempt of a job from a durable record.

        Tasks of the current attempt of an unfinished job are not released.
        """
        job_id = record.spec.job_id
        if record.state.is_final:
            self._current_attempts.pop(job_id, None)
        else:
            self._current_attempts[job_id] = record.attempt

    def release_orders(self, event: WorkerReported) -> list[WorkerOrder]:
        """Returns orders to release ended tasks in a report.

        Tasks of the current attempts of unfinished jobs are left out.
        """
        releasable = [
            task
            for task in event.tasks
            if task.state in _ENDED_STATES
            and not self._is_current_attempt(task)
        ]
        return [
            WorkerOrder(
                worker_id=event.worker_id,
                kind=OrderKind.RELEASE,
                epoch=self._epoch,
                job_id=_job_id_of(task),
                attempt=task.attempt,
                member=task.member,
            )
            for task in releasable[:MAX_ORDERS_PER_REPORT]
        ]

    def _is_current_attempt(self, task: TaskReport) -> bool:
        return self._current_attempts.get(_job_id_of(task)) == task.attempt


def _job_id_of(task: TaskReport) -> JobId:
    """Returns the task's job, whose id is the first part of the attempt's."""
    return JobId(task.attempt.rsplit(".", 2)[0])
