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
MAX_ORDERS = 32

_ENDED = frozenset({TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED})


class EndedTasks:
    """Releases ended tasks whose end is written in their job's record.

    Workers report an ended task until it is released, so that no end is
    missed; without this the reports would grow with each job.

    Args:
      epoch: the epoch that the orders carry.
    """

    def __init__(self, epoch: Epoch) -> None:
        """Starts without any job."""
        self._epoch = epoch
        self._attempts: dict[JobId, AttemptId | None] = {}

    def note(self, record: JobRecord) -> None:
        """Takes a durable record: the ends of its attempt still matter."""
        job_id = record.spec.job_id
        if record.state.is_final:
            self._attempts.pop(job_id, None)
        else:
            self._attempts[job_id] = record.attempt

    def release(self, event: WorkerReported) -> list[WorkerOrder]:
        """Returns orders to forget what a worker need not report again."""
        over = [
            task
            for task in event.tasks
            if task.state in _ENDED and not self._matters(task)
        ]
        return [
            WorkerOrder(
                worker_id=event.worker_id,
                kind=OrderKind.RELEASE,
                epoch=self._epoch,
                job_id=_job_of(task),
                attempt=task.attempt,
                member=task.member,
            )
            for task in over[:MAX_ORDERS]
        ]

    def _matters(self, task: TaskReport) -> bool:
        return self._attempts.get(_job_of(task)) == task.attempt


def _job_of(task: TaskReport) -> JobId:
    """Returns the job of an attempt, whose id begins with the job's."""
    return JobId(task.attempt.rsplit(".", 2)[0])
