"""Orphaned tasks: those that a worker reports without a known job."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.gang.messages import (
    Decision,
    OrderKind,
    TaskReport,
    TaskState,
    WorkerOrder,
)
from pomeloarch_core.ids import AttemptId, Epoch, JobId, WorkerId

# How long a task is reported before it is stopped as orphaned. After a
# takeover, a worker may report an attempt before the job's row has been read.
_STOP_AFTER_S = 15.0

_ENDED_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED}
)

_Key = tuple[AttemptId, int]


class OrphanedTasks:
    """Stops tasks that belong to no attempt known to the scheduler.

    Args:
      epoch: the epoch that the orders carry.
      decisions: the list to which decisions are appended.
    """

    def __init__(self, epoch: Epoch, decisions: list[Decision]) -> None:
        """Creates an empty set of orphaned tasks."""
        self._epoch = epoch
        self._decisions = decisions
        self._first_seen: dict[WorkerId, dict[_Key, float]] = {}

    def stop_unaccounted(
        self, worker_id: WorkerId, tasks: Iterable[TaskReport], now: float
    ) -> None:
        """Notes a worker's unaccounted tasks and stops those that persist."""
        previous = self._first_seen.pop(worker_id, {})
        first_seen: dict[_Key, float] = {}
        for task in tasks:
            if task.state in _ENDED_STATES:
                continue
            key = (task.attempt, task.member)
            first_seen[key] = previous.get(key, now)
            if now - first_seen[key] >= _STOP_AFTER_S:
                self._decisions.append(self._stop(worker_id, task))
        if first_seen:
            self._first_seen[worker_id] = first_seen

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Forgets the tasks of a worker that is no longer listed."""
        self._first_seen.pop(worker_id, None)

    def _stop(self, worker_id: WorkerId, task: TaskReport) -> WorkerOrder:
        reserved = task.state is TaskState.RESERVED
        return WorkerOrder(
            worker_id=worker_id,
            kind=OrderKind.RELEASE if reserved else OrderKind.STOP,
            epoch=self._epoch,
            job_id=JobId(task.attempt.rsplit(".", 2)[0]),
            attempt=task.attempt,
            member=task.member,
        )
