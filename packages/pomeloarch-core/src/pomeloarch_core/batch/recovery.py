"""What a scheduler can't know yet of runs that earlier ones started."""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Fleet
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.jobs import Jobs
from pomeloarch_core.batch.messages import Decision, LogEntry
from pomeloarch_core.batch.runs import Runs
from pomeloarch_core.ids import WorkerId


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
        self._began = 0.0
        # Groups in doubt, and workers not heard of with what they may run.
        self._uncertain: list[Group] = []
        self._unheard: dict[WorkerId, tuple[str, ...] | None] | None = None
        self._named: set[str] = set()
        self._any_task = True
        self.over = False
        self._fleet = fleet
        self._jobs = jobs
        self._runs = runs

    def update(self, now: float) -> bool:
        """Looks at the workers again; returns whether a doubt ended.

        A worker that this scheduler hasn't heard of may run what was placed
        there, or only those tasks that an earlier scheduler wrote down when
        it fell silent.
        """
        unheard = {
            each.worker_id: each.may_run
            for each in self._fleet
            if not each.reported and not each.lapsed(now)
        }
        if unheard == self._unheard:
            return False
        before, self._unheard = self._unheard, unheard
        if before is None:
            self._began = now
            self._uncertain = [
                group
                for entry in self._jobs
                for group in entry.all_groups()
                if group.uncertain
            ]
        self.over = not unheard
        self._named = {
            task for tasks in unheard.values() for task in tasks or ()
        }
        self._any_task = None in unheard.values()
        left = [each for each in self._uncertain if self._may_run(each)]
        in_doubt = set(left)
        cleared = [each for each in self._uncertain if each not in in_doubt]
        self._uncertain = left
        for group in cleared:
            self._clear(group, now)
        if cleared:
            self._note(cleared, set(before or ()) - unheard.keys(), now)
        return bool(cleared)

    def _may_run(self, group: Group) -> bool:
        """Whether a worker that wasn't heard of may run one of its tasks."""
        unheard = self._unheard or {}
        places = group.job.row.placed_on
        if not places and self._any_task:
            return True
        named = self._named
        if places:
            there = [unheard[each] for each in places if each in unheard]
            if None in there:
                return True
            named = {task for tasks in there for task in tasks or ()}
        return bool(named) and any(
            str(group.task(index)) in named for index in group.indices
        )

    def _note(
        self, cleared: list[Group], awaited: set[WorkerId], now: float
    ) -> None:
        self._out.append(
            LogEntry(
                "doubts cleared",
                {
                    "jobs": sorted({each.job.job.job_id for each in cleared}),
                    "groups_left": len(self._uncertain),
                    "workers_unheard": sorted(self._unheard or ()),
                    "awaited_last": sorted(awaited),
                    "took_s": round(now - self._began, 3),
                },
            )
        )

    def _clear(self, group: Group, now: float) -> None:
        """Ends the doubt about a group."""
        group.uncertain = False
        if group.state is GroupState.STARTED and len(group.members) < len(
            group.indices
        ):
            self._runs.take_down(group, "part of it is missing", now)
