"""One host: its accelerators, who holds them and who gets them next."""

from __future__ import annotations

import enum
from collections.abc import Iterator

from pomeloarch_core.gang.messages import WorkerInfo
from pomeloarch_core.ids import JobId, WorkerId


class Standing(enum.Enum):
    """What a job's accelerators are to others."""

    COVERED = "covered"
    FIXED = "fixed"
    BORROWED = "borrowed"
    BORROWED_URGENT = "borrowed_urgent"
    LEAVING = "leaving"


class Worker:
    """One host: its accelerators, who holds them and who gets them next.

    Attributes:
      info: what the platform's list says of it.
      listed: whether it is on the platform's list.
      reported: whether it has answered under this scheduler's epoch.
      unreachable: whether its tasks' leases ran out without an answer.
      quarantined: whether it is kept from all work but probes.
      fenced: whether its free accelerators are kept for a waiting gang.
      used: the holder of each accelerator in use.
      heirs: who gets an accelerator when its holder lets go of it.
      tenants: the accelerators of each job that holds some.
      memory_used_gb: memory of the tenants' members, in GB.
      fixed: accelerators of tenants that can't be preempted and stand in
        no guaranteed shape of theirs.
      reserved: accelerators that the witness assigns to guaranteed shapes.
      borrowed: accelerators of tenants that urgent work may preempt.
      borrowed_urgent: accelerators of urgent tenants that may be preempted
        for the floor of another class.
    """

    def __init__(self, info: WorkerInfo, *, listed: bool = True) -> None:
        """Makes a worker that holds nothing."""
        self.info = info
        self.listed = listed
        self.reported = False
        self.unreachable = False
        self.quarantined = False
        self.fenced = False
        self.used: dict[int, JobId] = {}
        self.heirs: dict[int, JobId] = {}
        self.tenants: dict[JobId, list[int]] = {}
        self.memory_used_gb = 0.0
        self.fixed = 0
        self.reserved = 0
        self.borrowed = 0
        self.borrowed_urgent = 0

    @property
    def worker_id(self) -> WorkerId:
        """Its id."""
        return self.info.worker_id

    @property
    def usable(self) -> bool:
        """Whether new work may be placed on it."""
        return self.sound and not self.quarantined

    @property
    def sound(self) -> bool:
        """Whether it is listed, stays, and answers."""
        return (
            self.listed
            and self.reported
            and not self.unreachable
            and not self.info.leaving
        )

    @property
    def trusted(self) -> bool:
        """Whether a guaranteed shape may stand on it."""
        return (
            self.listed
            and not self.unreachable
            and not self.info.leaving
            and not self.quarantined
        )

    @property
    def total(self) -> int:
        """Its accelerators."""
        return self.info.accelerators

    @property
    def free(self) -> int:
        """Accelerators that nobody holds."""
        return max(0, self.total - len(self.used))

    @property
    def room(self) -> int:
        """Accelerators for more work that can't be preempted, or shapes."""
        return self.total - self.fixed - self.reserved

    @property
    def memory_free_gb(self) -> float:
        """Memory that no tenant was given, in GB."""
        return self.info.memory_gb - self.memory_used_gb

    def count(self, standing: Standing, delta: int) -> None:
        """Adds to what its tenants hold in a standing."""
        if standing is Standing.FIXED:
            self.fixed += delta
        elif standing is Standing.BORROWED:
            self.borrowed += delta
        elif standing is Standing.BORROWED_URGENT:
            self.borrowed_urgent += delta

    def free_accelerators(self) -> Iterator[int]:
        """Yields the accelerators that nobody holds, lowest first."""
        return (i for i in range(self.total) if i not in self.used)
