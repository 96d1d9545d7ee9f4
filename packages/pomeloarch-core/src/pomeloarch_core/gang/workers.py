"""A worker: one host, its accelerators and the jobs that hold them."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from pomeloarch_core.gang.messages import WorkerInfo
from pomeloarch_core.ids import JobId, WorkerId


class AllocationKind(enum.Enum):
    """How a job holds its accelerators, which decides who may evict it.

    Attributes:
      COVERED: within a guaranteed shape of the job's owner.
      FIXED: outside of guarantees, non-preemptible.
      BORROWED: outside of guarantees, preemptible.
      BORROWED_URGENT: outside of guarantees, preemptible and urgent.
      LEAVING: being evicted.
    """

    COVERED = "covered"
    FIXED = "fixed"
    BORROWED = "borrowed"
    BORROWED_URGENT = "borrowed_urgent"
    LEAVING = "leaving"


class Worker:
    """One host, its accelerators and the jobs that hold them.

    Attributes:
      info: the worker's entry on the platform's list.
      listed: whether the worker is on the platform's list.
      reported: whether it has answered under this scheduler's epoch.
      unreachable: whether its tasks' leases expired without an answer.
      quarantined: whether it gets no jobs except probes.
      kept_for_gang: whether its free accelerators are kept for a waiting
        gang.
      holders: the job that holds each accelerator in use.
      next_holders: the job that gets an accelerator once it is released.
      accelerators_by_job: the accelerators that each job holds or waits for.
      memory_used_gb: memory of all members placed on it, in GB.
      fixed: accelerators of allocation kind FIXED.
      reserved: accelerators that the witness assigns to guaranteed shapes;
        those kept for a waiting gang don't count.
      borrowed: accelerators of allocation kind BORROWED, which urgent jobs
        may take.
      borrowed_urgent: accelerators of allocation kind BORROWED_URGENT, which
        may be taken for the floor of another class.
    """

    def __init__(self, info: WorkerInfo, *, listed: bool = True) -> None:
        """Creates a worker without jobs."""
        self.info = info
        self.listed = listed
        self.reported = False
        self.unreachable = False
        self.quarantined = False
        self.kept_for_gang = False
        self.holders: dict[int, JobId] = {}
        self.next_holders: dict[int, JobId] = {}
        self.accelerators_by_job: dict[JobId, list[int]] = {}
        self.memory_used_gb = 0.0
        self.fixed = 0
        self.reserved = 0
        self.borrowed = 0
        self.borrowed_urgent = 0

    @property
    def worker_id(self) -> WorkerId:
        """The worker's id."""
        return self.info.worker_id

    @property
    def is_usable(self) -> bool:
        """Whether jobs may be placed on the worker."""
        return self.is_available and not self.quarantined

    @property
    def is_available(self) -> bool:
        """Whether the worker is listed, answers and is not about to leave."""
        return (
            self.listed
            and self.reported
            and not self.unreachable
            and not self.info.leaving
        )

    @property
    def can_hold_guarantees(self) -> bool:
        """Whether cells of guaranteed shapes may be assigned to the worker."""
        return (
            self.listed
            and not self.unreachable
            and not self.info.leaving
            and not self.quarantined
        )

    @property
    def total(self) -> int:
        """The number of the worker's accelerators."""
        return self.info.accelerators

    @property
    def free(self) -> int:
        """Accelerators that no job holds."""
        return max(0, self.total - len(self.holders))

    @property
    def reservable(self) -> int:
        """Accelerators left for non-preemptible jobs or guaranteed shapes."""
        return self.total - self.fixed - self.reserved

    @property
    def memory_free_gb(self) -> float:
        """Memory that is not allocated to jobs, in GB."""
        return self.info.memory_gb - self.memory_used_gb

    def adjust_count(self, allocation_kind: AllocationKind, delta: int) -> None:
        """Adds to the number of accelerators held under a kind."""
        if allocation_kind is AllocationKind.FIXED:
            self.fixed += delta
        elif allocation_kind is AllocationKind.BORROWED:
            self.borrowed += delta
        elif allocation_kind is AllocationKind.BORROWED_URGENT:
            self.borrowed_urgent += delta

    def free_accelerators(self) -> Iterator[int]:
        """Yields the accelerators that no job holds, lowest first."""
        return (i for i in range(self.total) if i not in self.holders)
