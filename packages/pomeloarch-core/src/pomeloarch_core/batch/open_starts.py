"""Copies of orders to start that had no answer and may still be carried out.

An order without an answer may be carried out seconds later, by the worker's
next incarnation too, which knows neither its fence nor what was stopped. As
long as that is possible, the task must not run on another worker, and no end
of it may be acknowledged: a run that ended for good forbids every later start.

The present incarnation of a worker refuses a copy once it has listed an end of
that run or a later one, or has answered under a higher fence. Only its next
incarnation, before it is first contacted, could still carry the copy out.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import NewType

import msgspec

from pomeloarch_core.batch.messages import RunNumber, TaskId
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
      run: the number of the run; None for an order of an earlier scheduler.
    """

    worker_id: WorkerId
    acts_until: float
    run: RunNumber | None = None


class OpenStarts:
    """The open copies of a scheduler's orders to start, by task.

    Attributes:
      earlier_until: the last moment at which an order of an earlier scheduler
        may be carried out.
      longest_lease_s: the longest lease that a worker grants, in seconds: how
        long a run may go on that a worker which nobody hears from began.
    """

    def __init__(self) -> None:
        """Creates a record without copies."""
        self.earlier_until = 0.0
        self.longest_lease_s = 0.0
        self._copies: dict[TaskId, dict[CopyId, OpenCopy]] = {}
        self._tasks: dict[CopyId, TaskId] = {}
        self._on_worker: dict[WorkerId, set[CopyId]] = {}
        # Copies that the present incarnation of their worker refuses.
        self._refused: set[CopyId] = set()
        self._ids = itertools.count(1)

    def add(
        self, task: TaskId, worker_id: WorkerId, run: RunNumber, now: float
    ) -> CopyId:
        """Adds a copy that is sent now; returns its id."""
        return self._add(
            task, OpenCopy(worker_id, now + MAX_ORDER_DELAY_S, run)
        )

    def add_earlier(self, task: TaskId, worker_id: WorkerId) -> None:
        """Adds an order of an earlier scheduler that may be open."""
        self._add(task, OpenCopy(worker_id, self.earlier_until))

    def _add(self, task: TaskId, copy: OpenCopy) -> CopyId:
        copy_id = CopyId(next(self._ids))
        self._copies.setdefault(task, {})[copy_id] = copy
        self._tasks[copy_id] = task
        self._on_worker.setdefault(copy.worker_id, set()).add(copy_id)
        return copy_id

    def settle(self, copy_id: CopyId) -> None:
        """Removes a copy that was answered or that never left."""
        task = self._tasks.pop(copy_id, None)
        if task is None:
            return
        copy = self._copies[task].pop(copy_id)
        self._refused.discard(copy_id)
        self._on_worker[copy.worker_id].discard(copy_id)
        if not self._on_worker[copy.worker_id]:
            del self._on_worker[copy.worker_id]
        if not self._copies[task]:
            del self._copies[task]

    def settle_where(
        self, is_settled: Callable[[TaskId, OpenCopy], bool]
    ) -> None:
        """Removes the copies of which this is true, with their tasks."""
        found = [
            copy_id
            for task, copies in self._copies.items()
            for copy_id, copy in copies.items()
            if is_settled(task, copy)
        ]
        for copy_id in found:
            self.settle(copy_id)

    def note_report(self, worker_id: WorkerId, has_restarted: bool) -> None:
        """Notes that a worker has answered under this scheduler's fence.

        Args:
          worker_id: the worker.
          has_restarted: whether another incarnation answered before.
        """
        for copy_id in self._on_worker.get(worker_id, ()):
            if self._copy(copy_id).run is None:
                self._refused.add(copy_id)
            elif has_restarted:
                self._refused.discard(copy_id)

    def note_end(
        self, task: TaskId, worker_id: WorkerId, run: RunNumber
    ) -> None:
        """Notes that a worker has listed the end of a run."""
        for copy_id in self._on_worker.get(worker_id, ()):
            copy = self._copy(copy_id)
            if (
                self._tasks[copy_id] == task
                and copy.run is not None
                and copy.run <= run
            ):
                self._refused.add(copy_id)

    def _copy(self, copy_id: CopyId) -> OpenCopy:
        return self._copies[self._tasks[copy_id]][copy_id]

    def are_refused(self, task: TaskId) -> bool:
        """Returns whether each worker refuses the copies of a task for now."""
        return self._copies.get(task, {}).keys() <= self._refused

    def workers(self, task: TaskId) -> set[WorkerId]:
        """Returns the workers that a task's start may still run on."""
        copies = self._copies.get(task, {})
        return {copy.worker_id for copy in copies.values()}

    def tasks(self) -> set[TaskId]:
        """Returns the tasks with an open copy."""
        return set(self._copies)

    def may_act(self, task: TaskId, now: float) -> bool:
        """Returns whether a copy of a task's start may still be carried out."""
        copies = self._copies.get(task, {})
        return any(copy.acts_until > now for copy in copies.values())

    def has_copies_on(self, worker_id: WorkerId) -> bool:
        """Returns whether a start on a worker is open."""
        return worker_id in self._on_worker

    def acts_until(self, worker_id: WorkerId) -> float:
        """Returns when a worker may last carry out a copy, 0 without any."""
        return max(
            (
                self._copy(copy_id).acts_until
                for copy_id in self._on_worker.get(worker_id, ())
            ),
            default=0.0,
        )
