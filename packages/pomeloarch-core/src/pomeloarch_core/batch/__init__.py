"""Batch jobs: steps of tasks, placed over all availability zones.

A job is a graph of steps, a step is a number of equal tasks, and what is
placed is a group: all tasks of a gang, or one task by itself. Events and the
present time go into `BatchScheduler`, decisions come out of it.
"""

from pomeloarch_core.batch.catalogue import (
    Catalogue,
    Route,
    Tenant,
)
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.model import BatchJob, Queue, Resources, Step
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.batch.scheduler import BatchScheduler

__all__ = [
    "BatchJob",
    "BatchScheduler",
    "Catalogue",
    "DispatchTimes",
    "JobRow",
    "JobStatus",
    "Queue",
    "Resources",
    "Route",
    "Step",
    "Tenant",
]
