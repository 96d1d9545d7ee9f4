"""The durable state of a job: one row, written after decisions that matter.

What runs where is not in the row. A new scheduler learns it from the workers,
which hold their reports until they are acknowledged.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from pomeloarch_core.batch.model import BatchJob, QueueName
from pomeloarch_core.ids import OrganisationName, WorkerId

# Workers that a row names; a widest gang of today takes 24, and a row of
# twice as many names still takes less than a kilobyte.
MOST_PLACES = 48


class JobStatus(enum.Enum):
    """Where a job stands, as callers are told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether it can't change any more."""
        return self not in (JobStatus.QUEUED, JobStatus.RUNNING)


class StepRow(msgspec.Struct, omit_defaults=True):
    """What is settled of one step of one occurrence.

    Attributes:
      done: tasks that ended well, as bits of a hexadecimal number.
      failures: runs that failed, by the number of the group's first task.
      checkpoints: last checkpoint by the number of the group's first task.
    """

    done: str = "0"
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}

    def is_done(self, index: int) -> bool:
        """Whether a task has ended well."""
        return bool(int(self.done, 16) >> index & 1)

    def mark_done(self, indices: list[int]) -> None:
        """Notes that tasks have ended well."""
        bits = int(self.done, 16)
        for index in indices:
            bits |= 1 << index
        self.done = f"{bits:x}"


class JobRow(msgspec.Struct, omit_defaults=True):
    """The row of a job.

    Attributes:
      queue: the queue that took it.
      organisation: whose job it is.
      accepted_at: when, in seconds of the wall clock.
      status: where it stands.
      started: whether a task of it has started.
      unplaced: whether certainly none of its tasks was ordered to start; this
        is taken back, durably, before the first order.
      placed_on: the only workers on which its tasks were ordered to start,
        durable before each order; empty when it may be any.
      scheduled: whether it runs at given times.
      finished_at: when its status became final, in wall clock seconds.
      steps: what is settled, by `OCCURRENCE.STEP`.
    """

    queue: QueueName
    organisation: OrganisationName
    accepted_at: float
    status: JobStatus = JobStatus.QUEUED
    started: bool = False
    unplaced: bool = False
    placed_on: list[WorkerId] = []
    scheduled: bool = False
    finished_at: float = 0.0
    steps: dict[str, StepRow] = {}

    @classmethod
    def from_job(cls, job: BatchJob) -> JobRow:
        """Returns the row of a job that was just accepted."""
        return cls(
            job.queue,
            job.organisation,
            job.accepted_at,
            unplaced=True,
            scheduled=job.scheduled,
        )

    def add_places(self, workers: Iterable[WorkerId]) -> bool:
        """Notes where tasks will be ordered to start; returns what is new.

        Args:
          workers: the workers.

        Returns:
          Whether the row didn't already say so.
        """
        if not self.unplaced and not self.placed_on:
            return False
        places = sorted({*self.placed_on, *workers})
        if len(places) > MOST_PLACES:
            places = []
        if not self.unplaced and places == self.placed_on:
            return False
        self.unplaced = False
        self.placed_on = places
        return True

    def step(self, occurrence: int, number: int) -> StepRow:
        """Returns the row's part for a step, made when it is missing."""
        return self.steps.setdefault(f"{occurrence}.{number}", StepRow())
