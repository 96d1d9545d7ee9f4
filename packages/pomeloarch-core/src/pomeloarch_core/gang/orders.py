"""Orders to the workers of a job's members."""

from __future__ import annotations

from collections.abc import Collection

from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import (
    Decision,
    OrderKind,
    TaskState,
    WorkerOrder,
)
from pomeloarch_core.ids import Epoch

ENDED_STATES = frozenset(
    {TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED}
)


class OrderSender:
    """Sends the orders of one epoch.

    Args:
      epoch: the epoch that the orders carry.
      decisions: the list to which decisions are appended.
    """

    def __init__(self, epoch: Epoch, decisions: list[Decision]) -> None:
        """Creates a sender of orders."""
        self._epoch = epoch
        self._decisions = decisions

    def send_all(self, job: Job, kind: OrderKind) -> None:
        """Sends an order for each member of a job that has not ended."""
        for member, task in enumerate(job.task_states):
            if task not in ENDED_STATES:
                self.send(job, member, kind)

    def send_to_members_in(
        self, job: Job, states: Collection[TaskState], kind: OrderKind
    ) -> None:
        """Sends an order for each member that is in one of the states."""
        for member, task in enumerate(job.task_states):
            if task in states:
                self.send(job, member, kind)

    def send(self, job: Job, member: int, kind: OrderKind) -> None:
        """Sends an order for one member of a job's current attempt."""
        member_placement = job.placement[member]
        assert job.attempt is not None
        starting = kind is OrderKind.START
        reserving = kind is OrderKind.RESERVE
        self._decisions.append(
            WorkerOrder(
                worker_id=member_placement.worker_id,
                kind=kind,
                epoch=self._epoch,
                job_id=job.job_id,
                attempt=job.attempt,
                member=member,
                accelerators=member_placement.accelerators if reserving else (),
                memory_gb=job.spec.memory_gb if reserving else 0.0,
                checkpoint=job.record.checkpoint if starting else None,
                command=job.spec.command if starting else "",
            )
        )
