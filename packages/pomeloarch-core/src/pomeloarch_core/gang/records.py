"""Writes of jobs' records, at most one in progress for each job."""

from __future__ import annotations

from typing import Any

import msgspec

from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import Decision, JobRecord, WriteRecord
from pomeloarch_core.ids import Epoch


class Records:
    """Tracks the record that each job's row should hold, and its writes.

    Args:
      epoch: the epoch under which this scheduler writes.
      decisions: the list to which decisions are appended.
    """

    def __init__(self, epoch: Epoch, decisions: list[Decision]) -> None:
        """Creates a writer of records."""
        self._epoch = epoch
        self._decisions = decisions

    def change(self, job: Job, **changes: Any) -> None:
        """Changes a job's record; writes it unless a write is in progress."""
        record = msgspec.structs.replace(
            job.record, epoch=self._epoch, **changes
        )
        job.record = record
        self._flush(job)

    def handle_written(self, job: Job, record: JobRecord) -> None:
        """Notes that a record is durable and writes the next one, if any."""
        if job.in_flight is not None and job.in_flight == record:
            job.in_flight = None
        job.durable = record
        self._flush(job)

    def handle_conflict(self, job: Job, found: JobRecord) -> None:
        """Notes that another writer changed the row first and writes again."""
        job.in_flight = None
        job.durable = found
        job.record = msgspec.structs.replace(
            job.record,
            cancel_requested=found.cancel_requested
            or job.record.cancel_requested,
        )
        self._flush(job)

    def is_up_to_date(self, job: Job) -> bool:
        """Returns whether a job's row holds its latest record."""
        return job.in_flight is None and job.durable == job.record

    def _flush(self, job: Job) -> None:
        if job.in_flight is None and job.durable != job.record:
            job.in_flight = job.record
            self._decisions.append(WriteRecord(job.record))
