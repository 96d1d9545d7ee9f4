"""The durable state of a job: one row, written after important decisions.

The row doesn't say what runs where. A new scheduler learns that from the
workers, which keep their reports of ended runs until these are acknowledged.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

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


class TaskBits(NamedTuple):
    """A set of tasks of a step over all occurrences, as bits of one number.

    Attributes:
      width: number of bits for each occurrence.
      bits: the number, in hexadecimal digits.
    """

    width: int
    bits: str

    @classmethod
    def from_occurrences(cls, tasks: Mapping[int, int]) -> TaskBits:
        """Returns the set of the tasks that are bits, by occurrence."""
        width = max(1, *(each.bit_length() for each in tasks.values()))
        digits = ["0" * width] * (max(tasks) + 1)
        for occurrence, bits in tasks.items():
            digits[-1 - occurrence] = f"{bits:0{width}b}"
        return cls(width, f"{int(''.join(digits), 2):x}")

    def to_occurrences(self) -> dict[int, int]:
        """Returns the tasks as bits, by occurrence, where there are any."""
        digits = f"{int(self.bits, 16):b}"
        found = {}
        for occurrence in range(-(-len(digits) // self.width)):
            end = len(digits) - occurrence * self.width
            bits = int(digits[max(0, end - self.width) : end], 2)
            if bits:
                found[occurrence] = bits
        return found


class CompactSteps(msgspec.Struct, omit_defaults=True):
    """The results of all steps of a job, in a form that stays short.

    Attributes:
      done: the tasks that ended well, by step.
      failures: the first tasks of the groups that failed, by step and run.
      checkpoints: the checkpoints of groups, by `OCCURRENCE.STEP`.
    """

    done: dict[str, TaskBits] = {}
    failures: dict[str, dict[int, TaskBits]] = {}
    checkpoints: dict[str, dict[str, str]] = {}

    @classmethod
    def from_steps(
        cls, steps: Mapping[str, StepRow], max_checkpoint_bytes: int
    ) -> CompactSteps:
        """Returns the results by `OCCURRENCE.STEP` in this form.

        Args:
          steps: the results.
          max_checkpoint_bytes: the most bytes of checkpoints to keep.
        """
        done: dict[str, dict[int, int]] = defaultdict(dict)
        failures: dict[str, dict[int, dict[int, int]]] = defaultdict(
            lambda: defaultdict(dict)
        )
        for key, row in steps.items():
            occurrence, _, step = key.partition(".")
            bits = int(row.done, 16)
            if bits:
                done[step][int(occurrence)] = bits
            for run, indices in _by_run(row.failures).items():
                failures[step][run][int(occurrence)] = _to_bits(indices)
        return cls(
            {
                step: TaskBits.from_occurrences(tasks)
                for step, tasks in done.items()
            },
            {
                step: {
                    run: TaskBits.from_occurrences(tasks)
                    for run, tasks in runs.items()
                }
                for step, runs in failures.items()
            },
            _first_checkpoints(steps, max_checkpoint_bytes),
        )

    def to_steps(self) -> dict[str, StepRow]:
        """Returns the results by `OCCURRENCE.STEP`."""
        steps: dict[str, StepRow] = defaultdict(StepRow)
        for step, done in self.done.items():
            for occurrence, bits in done.to_occurrences().items():
                steps[f"{occurrence}.{step}"].done = f"{bits:x}"
        for step, runs in self.failures.items():
            for run, failed in sorted(runs.items()):
                for occurrence, bits in failed.to_occurrences().items():
                    failures = steps[f"{occurrence}.{step}"].failures
                    for index in _from_bits(bits):
                        failures.setdefault(str(index), []).append(run)
        for key, checkpoints in self.checkpoints.items():
            steps[key].checkpoints = checkpoints
        return dict(steps)


def _by_run(failures: Mapping[str, list[int]]) -> dict[int, list[int]]:
    """Returns the indices of failed groups by the numbers of their runs."""
    found: dict[int, list[int]] = defaultdict(list)
    for index, runs in failures.items():
        for run in runs:
            found[run].append(int(index))
    return found


def _first_checkpoints(
    steps: Mapping[str, StepRow], max_bytes: int
) -> dict[str, dict[str, str]]:
    """Returns as many checkpoints as take no more bytes than these."""
    kept: dict[str, dict[str, str]] = {}
    for key, row in steps.items():
        for index, checkpoint in row.checkpoints.items():
            size = len(index) + len(checkpoint.encode())
            if size <= max_bytes:
                kept.setdefault(key, {})[index] = checkpoint
                max_bytes -= size
    return kept


def _to_bits(numbers: Iterable[int]) -> int:
    """Returns a number in which the bits of these numbers are set."""
    bits = bytearray()
    for number in numbers:
        byte, bit = divmod(number, 8)
        if byte >= len(bits):
            bits.extend(bytes(byte + 1 - len(bits)))
        bits[byte] |= 1 << bit
    return int.from_bytes(bits, "little")


def _from_bits(bits: int) -> list[int]:
    """Returns the numbers of the bits that are set."""
    digits = f"{bits:b}"[::-1]
    return [number for number, bit in enumerate(digits) if bit == "1"]


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
      names_members: whether each entry of `open_starts` names one worker for
        each task of its group, in the order of their indices. Otherwise any of
        the tasks may be on any of the workers.
      scheduled: whether it runs at scheduled times.
      finished_at: when its status became final, in seconds of the wall clock.
      steps: results by `OCCURRENCE.STEP`.
      compact_steps: the same in a shorter form, None where they are in `steps`.
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
    compact_steps: CompactSteps | None = None
    names_members: bool = False

    @classmethod
    def from_job(cls, job: BatchJob) -> JobRow:
        """Returns the row of a job that was just accepted."""
        return cls(
            job.queue,
            job.organisation,
            job.accepted_at,
            unplaced=True,
            scheduled=job.scheduled,
            names_members=True,
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

    def add_open_starts(self, group: str, workers: Sequence[WorkerId]) -> bool:
        """Adds the workers that will be ordered to start the tasks of a group.

        Args:
          group: the key of the group.
          workers: a worker for each of its tasks, in the order of their
            indices.

        Returns:
          Whether the row has changed and has to be written.
        """
        named = self.open_starts.get(group, [])
        wanted = list(workers)
        may_be_elsewhere = bool(named) and named != wanted
        if may_be_elsewhere or not self.names_members:
            wanted = sorted({*named, *workers})
        if wanted == named and not (may_be_elsewhere and self.names_members):
            return False
        self.names_members = self.names_members and not may_be_elsewhere
        self.open_starts[group] = wanted
        return True

    def named_workers(self, group: str, position: int) -> list[WorkerId]:
        """Returns where the start of a group's task may be open.

        Args:
          group: the key of the group.
          position: the position of the task among those of the group.
        """
        named = self.open_starts.get(group, [])
        return named[position : position + 1] if self.names_members else named

    def count_open_names(self) -> int:
        """Returns how many workers the row names for open starts."""
        return sum(map(len, self.open_starts.values()))

    def step(self, occurrence: int, number: int) -> StepRow:
        """Returns the results of a step; creates them when missing."""
        return self.steps.setdefault(f"{occurrence}.{number}", StepRow())

    def compact(self, max_checkpoint_bytes: int) -> JobRow:
        """Returns the row in a form that stays short for wide jobs.

        Args:
          max_checkpoint_bytes: the most bytes of checkpoints to keep. A
            successor starts tasks without one from the beginning.
        """
        steps = CompactSteps.from_steps(self.steps, max_checkpoint_bytes)
        return msgspec.structs.replace(self, steps={}, compact_steps=steps)

    def expand(self) -> JobRow:
        """Returns the row with its results in `steps`."""
        if self.compact_steps is None:
            return self
        return msgspec.structs.replace(
            self, steps=self.compact_steps.to_steps(), compact_steps=None
        )

    def without_results(self) -> JobRow:
        """Returns the row of a job that has ended, without its steps."""
        return msgspec.structs.replace(self, steps={}, placed_on=[])
