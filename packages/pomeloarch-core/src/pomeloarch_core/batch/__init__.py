"""Batch jobs: steps of tasks that are placed over all availability zones.

A job is a graph of steps, and a step is a number of equal tasks. The unit that
is placed is a group: all tasks of a gang, or a single task. `BatchScheduler`
takes in events together with the present time and returns decisions.
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
