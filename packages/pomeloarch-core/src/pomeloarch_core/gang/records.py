"""Writes of jobs' records: at most one in progress for each job."""

from __future__ import annotations

from typing import Any

import msgspec

from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import Decision, JobRecord, WriteRecord
from pomeloarch_core.ids import Epoch


class Records:
    """Keeps what each job's row should say and asks for the writes.

    Args:
      epoch: the epoch under which this scheduler writes.
      out: where decisions are collected.
    """

    def __init__(self, epoch: Epoch, out: list[Decision]) -> None:
        """Keeps the epoch and where decisions go."""
        self._epoch = epoch
        self._out = out

    def change(self, job: Job, **changes: Any) -> None:
        """Changes what a job's row should say, and writes it if it can."""
        record = msgspec.structs.replace(
            job.record, epoch=self._epoch, **changes
        )
        job.record = record
        self._flush(job)

    def written(self, job: Job, record: JobRecord) -> None:
        """Takes in that a record is durable; writes the next one, if any."""
        if job.in_flight is not None and job.in_flight == record:
            job.in_flight = None
        job.durable = record
        self._flush(job)

    def conflicted(self, job: Job, found: JobRecord) -> None:
        """Takes in that another one wrote the row first; writes again."""
        job.in_flight = None
        job.durable = found
        job.record = msgspec.structs.replace(
            job.record,
            cancel_requested=found.cancel_requested
            or job.record.cancel_requested,
        )
        self._flush(job)

    def settled(self, job: Job) -> bool:
        """Returns whether the row says what it should."""
        return job.in_flight is None and job.durable == job.record

    def _flush(self, job: Job) -> None:
        if job.in_flight is None and job.durable != job.record:
            job.in_flight = job.record
            self._out.append(WriteRecord(job.record))
