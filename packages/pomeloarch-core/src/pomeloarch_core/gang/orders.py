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

ENDED = frozenset({TaskState.SUCCEEDED, TaskState.FAILED, TaskState.STOPPED})


class Orders:
    """Makes the orders of one epoch.

    Args:
      epoch: the epoch that they carry.
      out: where decisions are collected.
    """

    def __init__(self, epoch: Epoch, out: list[Decision]) -> None:
        """Keeps the epoch and where decisions go."""
        self._epoch = epoch
        self._out = out

    def send_all(self, job: Job, kind: OrderKind) -> None:
        """Orders all members of a job that have not ended."""
        for member, task in enumerate(job.tasks):
            if task not in ENDED:
                self.send(job, member, kind)

    def send_in(
        self, job: Job, states: Collection[TaskState], kind: OrderKind
    ) -> None:
        """Orders the members that are in one of some states."""
        for member, task in enumerate(job.tasks):
            if task in states:
                self.send(job, member, kind)

    def send(self, job: Job, member: int, kind: OrderKind) -> None:
        """Orders one member of a job's current attempt."""
        place = job.placement[member]
        assert job.attempt is not None
        starting = kind is OrderKind.START
        reserving = kind is OrderKind.RESERVE
        self._out.append(
            WorkerOrder(
                worker_id=place.worker_id,
                kind=kind,
                epoch=self._epoch,
                job_id=job.job_id,
                attempt=job.attempt,
                member=member,
                accelerators=place.accelerators if reserving else (),
                memory_gb=job.spec.memory_gb if reserving else 0.0,
                checkpoint=job.record.checkpoint if starting else None,
                command=job.spec.command if starting else "",
            )
        )
