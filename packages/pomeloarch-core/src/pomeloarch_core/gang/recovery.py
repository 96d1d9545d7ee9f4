"""What the workers of an attempt say of it after a takeover.

All of them have seen the new epoch once they have answered, so that the old
holder can't start any member any more.
"""

from __future__ import annotations

import enum

import msgspec

from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import JobState, TaskReport, TaskState

BEGUN = frozenset(
    {TaskState.RUNNING, TaskState.CHECKPOINTED, TaskState.SUCCEEDED}
)
_UNKNOWN_TO_WORKER = 1
_WORKER_LOST = 1_000


class Finding(enum.Enum):
    """What has become of an attempt that another scheduler began."""

    WHOLE = "whole"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    DOUBTFUL = "doubtful"


def hear(
    job: Job, member: int, task: TaskReport | None, *, lost: bool = False
) -> bool:
    """Takes in what a worker says of a member.

    Args:
      job: the job.
      member: the member's index.
      task: the worker's report, None if it does not know the member.
      lost: whether the worker can't be asked any more.

    Returns:
      Whether all members have been heard of.
    """
    if task is not None:
        job.tasks[member] = task.state
        job.missing.pop(member, None)
        if task.checkpoint:
            job.record = msgspec.structs.replace(
                job.record, checkpoint=task.checkpoint
            )
    elif job.tasks[member] is None:
        job.missing[member] = _WORKER_LOST if lost else _UNKNOWN_TO_WORKER
    return all(
        state is not None or index in job.missing
        for index, state in enumerate(job.tasks)
    )


def stop_listening(job: Job) -> None:
    """Gives the members up that have not been heard of."""
    for member, task in enumerate(job.tasks):
        if task is None:
            job.missing[member] = _WORKER_LOST


def finding(job: Job) -> Finding:
    """Returns what has become of an attempt, all members heard of."""
    states = {state for state in job.tasks if state is not None}
    if not job.missing and states <= BEGUN | {TaskState.RESERVED}:
        return Finding.WHOLE
    if TaskState.FAILED in states:
        return Finding.FAILED
    begun = job.record.state is not JobState.STARTING
    lost = _WORKER_LOST in job.missing.values()
    if begun or lost or states - {TaskState.RESERVED}:
        return Finding.DOUBTFUL
    return Finding.NOT_STARTED
