"""What a scheduler can't know yet of runs that earlier ones started."""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Fleet
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.jobs import Jobs
from pomeloarch_core.batch.messages import Decision, Note
from pomeloarch_core.batch.runs import Runs
from pomeloarch_core.ids import JobId, WorkerId


class Doubts:
    """Clears groups of which no earlier run can be unknown any more.

    Attributes:
      over: whether nothing is in doubt for good.

    Args:
      fleet: the workers.
      jobs: the jobs.
      runs: stops what is left of groups in part.
      out: where decisions are put.
    """

    def __init__(
        self, fleet: Fleet, jobs: Jobs, runs: Runs, out: list[Decision]
    ) -> None:
        """Starts with everything older in doubt."""
        self._out = out
        self._began: float | None = None
        self._awaited: list[WorkerId] = []
        self.over = False
        self._fleet = fleet
        self._jobs = jobs
        self._runs = runs
        self._tasks: set[str] | None = None

    def update(self, now: float) -> bool:
        """Looks at the workers again; returns whether a doubt ended.

        A worker that this scheduler hasn't heard of may run any task, or only
        those that an earlier scheduler wrote down when it fell silent.
        """
        if self._began is None:
            self._began = now
        in_doubt: set[str] = set()
        unheard = [
            each
            for each in self._fleet
            if not each.reported and not each.lapsed(now)
        ]
        unknown = [each.worker_id for each in unheard if each.may_run is None]
        if unknown:
            self._awaited = unknown
            return False
        for worker in unheard:
            in_doubt.update(worker.may_run or ())
        if in_doubt == self._tasks:
            return False
        self._tasks = in_doubt
        self.over = not in_doubt
        cleared: set[JobId] = set()
        for entry in self._jobs:
            for group in entry.all_groups():
                if group.uncertain and self._clear(group, in_doubt, now):
                    cleared.add(entry.job.job_id)
        self._out.append(
            Note(
                "doubts cleared",
                {
                    "jobs": sorted(cleared),
                    "tasks_left": len(in_doubt),
                    "workers_unheard": [each.worker_id for each in unheard],
                    "awaited_last": self._awaited,
                    "took_s": round(now - self._began, 3),
                },
            )
        )
        return True

    def _clear(self, group: Group, in_doubt: set[str], now: float) -> bool:
        """Ends the doubt about a group, unless one of its tasks is in it."""
        if any(str(group.task(index)) in in_doubt for index in group.indices):
            return False
        group.uncertain = False
        if group.state is GroupState.STARTED and len(group.members) < len(
            group.indices
        ):
            self._runs.take_down(group, "part of it is missing", now)
        return True
