"""Lets workers forget tasks that are over and accounted for."""

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

# Orders for one report: a worker is left time for its other ones.
MAX_ORDERS_PER_REPORT = 32

_ENDED_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED}
)


class EndedTaskReleaser:
    """Releases ended tasks whose end is written in their job's record.

    Workers report an ended task until it is released, so that no end is
    missed; without this the reports would grow with each job.

    Args:
      epoch: the epoch that the orders carry.
    """

    def __init__(self, epoch: Epoch) -> None:
        """Starts without any job."""
        self._epoch = epoch
        self._current_attempts: dict[JobId, AttemptId | None] = {}

    def track(self, record: JobRecord) -> None:
        """Takes a durable record: the ends of its attempt still matter."""
        job_id = record.spec.job_id
        if record.state.is_final:
            self._current_attempts.pop(job_id, None)
        else:
            self._current_attempts[job_id] = record.attempt

    def release_orders(self, event: WorkerReported) -> list[WorkerOrder]:
        """Returns orders to forget what a worker need not report again."""
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
    """Returns the job of an attempt, whose id begins with the job's."""
    return JobId(task.attempt.rsplit(".", 2)[0])
