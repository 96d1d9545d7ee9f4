"""Lists what the nodes decided about one task, and its runs, in order."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from pomeloarch_core.batch.messages import TaskId
from pomeloarch_standins.batch_ledger import LedgerEntry

# Fields of a line that name jobs and workers.
_JOB_FIELDS = ("job", "jobs")
_WORKER_FIELDS = ("worker", "workers", "workers_unheard", "awaited_last")


def trace(
    task: TaskId, entries: Iterable[LedgerEntry], log: bytes
) -> Iterator[str]:
    """Yields a line for each decision about a task and each start and end.

    Decisions about the task's job, about the workers that it ran on and about
    the scheduler's role are included.

    Args:
      task: the task.
      entries: the record of all runs.
      log: the nodes' decisions.
    """
    runs = [each for each in entries if each.task == task]
    workers = {each.worker for each in runs}
    timed = [
        (line.pop("time"), f"{line.pop('node')}: {_describe(line)}")
        for line in map(msgspec.json.decode, log.splitlines())
        if _is_about(line, task, workers)
    ]
    for each in runs:
        late = " by a late order" if each.late else ""
        name = f"{each.worker}: run {each.run}"
        timed.append((each.started_at, f"{name} started{late}"))
        if each.ended_at is not None:
            how = each.outcome.value if each.outcome else "lost"
            seen = ", acknowledged" if each.acknowledged else ""
            timed.append((each.ended_at, f"{name} ended: {how}{seen}"))
    for at, text in sorted(timed, key=lambda each: each[0]):
        yield f"{at:8.3f} {text}"


def _is_about(line: dict[str, Any], task: TaskId, workers: set[str]) -> bool:
    if line["event"].startswith("scheduler"):
        return True
    named = TaskId.parse(str(line.get("task", "")))
    if named is not None:
        same_step = (named.occurrence, named.step) == (
            task.occurrence,
            task.step,
        )
        # A line about a gang names its first task.
        return (
            named.job_id == task.job_id
            and same_step
            and named.index in (0, task.index)
        )
    return any(
        _names(line.get(field), wanted)
        for fields, wanted in (
            (_JOB_FIELDS, {str(task.job_id)}),
            (_WORKER_FIELDS, workers),
        )
        for field in fields
    )


def _names(value: object, wanted: set[str]) -> bool:
    if isinstance(value, list):
        return not wanted.isdisjoint(value)
    return value in wanted


def _describe(line: dict[str, Any]) -> str:
    fields = ", ".join(f"{k}={v}" for k, v in line.items() if k != "event")
    return f"{line['event']} ({fields})" if fields else str(line["event"])
