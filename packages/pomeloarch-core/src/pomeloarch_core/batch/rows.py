"""The durable state of a job: one row, written after important decisions.

The row doesn't say what runs where. A new scheduler learns that from the
workers, which keep their reports of ended runs until these are acknowledged.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from pomeloarch_core.batch.model import BatchJob, QueueName
from pomeloarch_core.ids import OrganisationName, WorkerId

# Limit on the workers that a row names. The widest gang at present takes 24,
# and a row with twice as many names still takes less than a kilobyte.
MAX_NAMED_WORKERS = 48


class JobStatus(enum.Enum):
    """The status of a job, as callers are told."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the status can no longer change."""
        return self not in (JobStatus.QUEUED, JobStatus.RUNNING)


class StepRow(msgspec.Struct, omit_defaults=True):
    """The durable results of one step in one occurrence.

    Attributes:
      done: tasks that ended well, as the bits of a hexadecimal number.
      failures: numbers of the runs that failed, by the index of the group's
        first task.
      checkpoints: the last checkpoint, by the index of the group's first task.
    """

    done: str = "0"
    failures: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}

    def is_done(self, index: int) -> bool:
        """Returns whether a task has ended well."""
        return bool(int(self.done, 16) >> index & 1)

    def mark_done(self, indices: list[int]) -> None:
        """Records that tasks have ended well."""
        bits = int(self.done, 16)
        for index in indices:
            bits |= 1 << index
        self.done = f"{bits:x}"


class JobRow(msgspec.Struct, omit_defaults=True):
    """The durable row of a job.

    Attributes:
      queue: the queue that accepted it.
      organisation: the organisation that owns it.
      accepted_at: when it was accepted, in seconds of the wall clock.
      status: its status.
      started: whether any of its tasks has started.
      unplaced: whether certainly none of its tasks was ordered to start; it is
        set to false, durably, before the first order.
      placed_on: the only workers on which its tasks were ordered to start,
        durable before each order; empty when it may be any worker.
      open_starts: the workers that may still carry out an order to start a
        group, by `OCCURRENCE.STEP.INDEX` of its first task; removed once
        it is settled.
      scheduled: whether it runs at scheduled times.
      finished_at: when its status became final, in seconds of the wall clock.
      steps: results by `OCCURRENCE.STEP`.
    """

    queue: QueueName
    organisation: OrganisationName
    accepted_at: float
    status: JobStatus = JobStatus.QUEUED
    started: bool = False
    unplaced: bool = False
    placed_on: list[WorkerId] = []
    open_starts: dict[str, list[WorkerId]] = {}
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

    @property
    def is_settled(self) -> bool:
        """Whether it has ended and no order to start it can be carried out."""
        return self.status.is_final and not self.open_starts

    def add_places(self, workers: Iterable[WorkerId]) -> bool:
        """Adds workers on which tasks will be ordered to start.

        Args:
          workers: the workers.

        Returns:
          Whether the row has changed and has to be written.
        """
        if not self.unplaced and not self.placed_on:
            return False
        places = sorted({*self.placed_on, *workers})
        if len(places) > MAX_NAMED_WORKERS:
            places = []
        if not self.unplaced and places == self.placed_on:
            return False
        self.unplaced = False
        self.placed_on = places
        return True

    def add_open_starts(self, group: str, workers: Iterable[WorkerId]) -> bool:
        """Adds workers that will be ordered to start a group.

        Returns:
          Whether the row has changed and has to be written.
        """
        named = self.open_starts.get(group, [])
        wanted = sorted({*named, *workers})
        if wanted == named:
            return False
        self.open_starts[group] = wanted
        return True

    def step(self, occurrence: int, number: int) -> StepRow:
        """Returns the results of a step; creates them when missing."""
        return self.steps.setdefault(f"{occurrence}.{number}", StepRow())
