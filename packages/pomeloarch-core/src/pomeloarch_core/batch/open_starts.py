"""Copies of orders to start that had no answer and may still be carried out.

An order without an answer may be carried out seconds later, by the worker's
next incarnation too, which knows neither its fence nor what was stopped. As
long as that is possible, the task must not run on another worker, and no end
of it may be acknowledged: a run that ended for good forbids every later start.
"""

from __future__ import annotations

import itertools
from typing import NewType

import msgspec

from pomeloarch_core.batch.messages import TaskId
from pomeloarch_core.ids import WorkerId

CopyId = NewType("CopyId", int)

# Longest time after which an order without an answer may still be carried out,
# in seconds.
MAX_ORDER_DELAY_S = 13.0


class OpenCopy(msgspec.Struct, frozen=True):
    """A copy of an order to start that has no answer.

    Attributes:
      worker_id: the worker that it was sent to.
      acts_until: the last moment at which it may be carried out.
    """

    worker_id: WorkerId
    acts_until: float


class OpenStarts:
    """The open copies of a scheduler's orders to start, by task.

    Attributes:
      earlier_until: the last moment at which an order of an earlier scheduler
        may be carried out; which of them had no answer isn't known.
    """

    def __init__(self) -> None:
        """Creates a record without copies."""
        self.earlier_until = 0.0
        self._copies: dict[TaskId, dict[CopyId, OpenCopy]] = {}
        self._tasks: dict[CopyId, TaskId] = {}
        self._ids = itertools.count(1)

    def add(self, task: TaskId, worker_id: WorkerId, now: float) -> CopyId:
        """Adds a copy that is sent now; returns its id."""
        copy_id = CopyId(next(self._ids))
        copies = self._copies.setdefault(task, {})
        copies[copy_id] = OpenCopy(worker_id, now + MAX_ORDER_DELAY_S)
        self._tasks[copy_id] = task
        return copy_id

    def settle(self, copy_id: CopyId) -> None:
        """Removes a copy that was answered or that never left."""
        task = self._tasks.pop(copy_id, None)
        if task is None:
            return
        del self._copies[task][copy_id]
        if not self._copies[task]:
            del self._copies[task]

    def tasks(self, now: float) -> set[TaskId]:
        """Returns the tasks of which a copy may still be carried out."""
        expired = [
            copy_id
            for copies in self._copies.values()
            for copy_id, copy in copies.items()
            if copy.acts_until <= now
        ]
        for copy_id in expired:
            self.settle(copy_id)
        return set(self._copies)

    def is_open(self, task: TaskId, now: float) -> bool:
        """Returns whether a copy of a task's start may still be carried out."""
        return any(
            copy.acts_until > now
            for copy in self._copies.get(task, {}).values()
        )

    def workers(self, task: TaskId, now: float) -> set[WorkerId]:
        """Returns the workers that may still carry out a task's start."""
        return {
            copy.worker_id
            for copy in self._copies.get(task, {}).values()
            if copy.acts_until > now
        }

    def has_open_copies_on(self, worker_id: WorkerId, now: float) -> bool:
        """Returns whether a worker may still carry out any of the copies."""
        return any(
            copy.worker_id == worker_id and copy.acts_until > now
            for copies in self._copies.values()
            for copy in copies.values()
        )
