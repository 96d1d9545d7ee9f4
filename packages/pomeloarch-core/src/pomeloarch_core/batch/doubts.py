"""What a scheduler can't know yet of runs that earlier ones started."""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Fleet
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.jobs import Jobs
from pomeloarch_core.batch.runs import Runs


class Doubts:
    """Clears groups of which no earlier run can be unknown any more.

    Attributes:
      over: whether nothing is in doubt for good.

    Args:
      fleet: the workers.
      jobs: the jobs.
      runs: stops what is left of groups in part.
    """

    def __init__(self, fleet: Fleet, jobs: Jobs, runs: Runs) -> None:
        """Starts with everything older in doubt."""
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
        in_doubt: set[str] = set()
        for worker in self._fleet:
            if worker.reported or worker.lapsed(now):
                continue
            if worker.may_run is None:
                return False
            in_doubt.update(worker.may_run)
        if in_doubt == self._tasks:
            return False
        self._tasks = in_doubt
        self.over = not in_doubt
        for entry in self._jobs:
            for group in entry.all_groups():
                if group.uncertain:
                    self._clear(group, in_doubt, now)
        return True

    def _clear(self, group: Group, in_doubt: set[str], now: float) -> None:
        """Ends the doubt about a group, unless one of its tasks is in it."""
        if any(str(group.task(index)) in in_doubt for index in group.indices):
            return
        group.uncertain = False
        if group.state is GroupState.STARTED and len(group.members) < len(
            group.indices
        ):
            self._runs.take_down(group, "part of it is missing", now)
