"""Attempts that workers know and the scheduler doesn't."""

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

# A successor may hear of an attempt from its worker before it has read the
# job's row.
_PATIENCE_S = 15.0

_ENDED = frozenset({TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED})

_Key = tuple[AttemptId, int]


class Orphans:
    """Stops tasks that no job of this zone accounts for.

    Args:
      epoch: the epoch that the orders carry.
      out: where decisions are collected.
    """

    def __init__(self, epoch: Epoch, out: list[Decision]) -> None:
        """Starts without orphans."""
        self._epoch = epoch
        self._out = out
        self._since: dict[WorkerId, dict[_Key, float]] = {}

    def seen(
        self, worker_id: WorkerId, tasks: Iterable[TaskReport], now: float
    ) -> None:
        """Takes a worker's unaccounted tasks in; stops those that stay."""
        before = self._since.pop(worker_id, {})
        since: dict[_Key, float] = {}
        for task in tasks:
            if task.state in _ENDED:
                continue
            key = (task.attempt, task.member)
            since[key] = before.get(key, now)
            if now - since[key] >= _PATIENCE_S:
                self._out.append(self._stop(worker_id, task))
        if since:
            self._since[worker_id] = since

    def forget(self, worker_id: WorkerId) -> None:
        """Forgets a worker that is gone."""
        self._since.pop(worker_id, None)

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
