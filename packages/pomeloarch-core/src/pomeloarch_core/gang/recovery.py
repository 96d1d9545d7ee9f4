"""Assessment of an adopted attempt from its workers' reports.

Once all workers of an attempt have answered after a takeover, all of them
have seen the new epoch, so the former holder of the scheduler role can't
start any member any more.
"""

from __future__ import annotations

import enum

import msgspec

from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.messages import JobState, TaskReport, TaskState

STARTED_STATES = frozenset(
    {TaskState.RUNNING, TaskState.CHECKPOINTED, TaskState.SUCCEEDED}
)
# Marks of members without a report in `Job.missed_reports`: the worker does
# not know the member, or the worker can't be asked.
_UNKNOWN_TO_WORKER = 1
_WORKER_LOST = 1_000


class TakeoverFinding(enum.Enum):
    """What has become of an attempt that an earlier scheduler began.

    Attributes:
      WHOLE: all members are reserved, running, checkpointed or succeeded.
      FAILED: a member failed.
      NOT_STARTED: certainly no member was started.
      DOUBTFUL: members may have run, but the attempt is not whole.
    """

    WHOLE = "whole"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    DOUBTFUL = "doubtful"


def record_report(
    job: Job, member: int, task: TaskReport | None, *, lost: bool = False
) -> bool:
    """Records a worker's report on a member.

    Args:
      job: the job.
      member: the member's index.
      task: the worker's report, None if the worker does not know the member.
      lost: whether the worker can't be asked any more.

    Returns:
      Whether a report on each member has been recorded.
    """
    if task is not None:
        job.task_states[member] = task.state
        job.missed_reports.pop(member, None)
        if task.checkpoint:
            job.record = msgspec.structs.replace(
                job.record, checkpoint=task.checkpoint
            )
    elif job.task_states[member] is None:
        job.missed_reports[member] = (
            _WORKER_LOST if lost else _UNKNOWN_TO_WORKER
        )
    return all(
        state is not None or index in job.missed_reports
        for index, state in enumerate(job.task_states)
    )


def mark_unreported_lost(job: Job) -> None:
    """Marks each member without a report as lost together with its worker."""
    for member, task in enumerate(job.task_states):
        if task is None:
            job.missed_reports[member] = _WORKER_LOST


def assess(job: Job) -> TakeoverFinding:
    """Returns what has become of an attempt, from all members' reports."""
    states = {state for state in job.task_states if state is not None}
    if not job.missed_reports and states <= STARTED_STATES | {
        TaskState.RESERVED
    }:
        return TakeoverFinding.WHOLE
    if TaskState.FAILED in states:
        return TakeoverFinding.FAILED
    had_run = job.record.state is not JobState.STARTING
    lost = _WORKER_LOST in job.missed_reports.values()
    if had_run or lost or states - {TaskState.RESERVED}:
        return TakeoverFinding.DOUBTFUL
    return TakeoverFinding.NOT_STARTED
