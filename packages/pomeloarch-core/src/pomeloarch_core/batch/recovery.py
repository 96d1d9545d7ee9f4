"""Tracks the runs of earlier schedulers that may still be unknown."""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Fleet
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.jobs import JobRegistry
from pomeloarch_core.batch.messages import Decision, LogEntry
from pomeloarch_core.batch.runs import RunController
from pomeloarch_core.ids import WorkerId

# Maximum number of released groups that one log entry names.
MAX_LOGGED_GROUPS = 50


class RecoveryTracker:
    """Releases groups once no run of an earlier scheduler can be unknown.

    Attributes:
      is_complete: whether each worker has been heard from, or all runs that it
        may have had have certainly been killed.

    Args:
      fleet: the workers.
      jobs: the jobs.
      runs: stops groups of which only a part was found.
      out: list to which decisions are added.
    """

    def __init__(
        self,
        fleet: Fleet,
        jobs: JobRegistry,
        runs: RunController,
        out: list[Decision],
    ) -> None:
        """Creates a tracker that has released no group."""
        self._out = out
        self._began_at = 0.0
        # Groups that are not released, and workers that were not heard from,
        # with the only tasks that each may run.
        self._pending: list[Group] = []
        self._unheard: dict[WorkerId, tuple[str, ...] | None] | None = None
        # Groups that were made when no run of them could be unknown any more.
        self._made: list[Group] = []
        self._named_tasks: set[str] = set()
        self._may_be_any_task = True
        self.is_complete = False
        self._fleet = fleet
        self._jobs = jobs
        self._runs = runs

    def update(self, now: float) -> bool:
        """Looks at the workers again; returns whether a group was released.

        A worker that this scheduler hasn't heard from may run the tasks that
        were placed on it, or only those that the roster named when it fell
        silent.
        """
        unheard = {
            each.worker_id: each.may_run
            for each in self._fleet
            if not each.reported and not each.has_lapsed(now)
        }
        if unheard == self._unheard:
            return False
        previous, self._unheard = self._unheard, unheard
        if previous is None:
            self._began_at = now
        pending = [
            group
            for entry in self._jobs
            for group in entry.all_groups()
            if group.recovery_pending
        ]
        self.is_complete = not unheard
        self._named_tasks = {
            task for tasks in unheard.values() for task in tasks or ()
        }
        self._may_be_any_task = None in unheard.values()
        self._pending = [each for each in pending if self.may_be_running(each)]
        still_pending = set(self._pending)
        released = [each for each in pending if each not in still_pending]
        for group in released:
            self._release(group, now)
        if released:
            self._log_released(
                released, set(previous or ()) - unheard.keys(), now
            )
        return bool(released)

    def note_made(self, group: Group) -> bool:
        """Returns whether a run of a group that was made may be unknown."""
        may_be_running = self.may_be_running(group)
        if not may_be_running:
            self._made.append(group)
        return may_be_running

    def log_made(self, now: float) -> None:
        """Logs the groups that were made as released, before any starts."""
        if self._made:
            self._log_released(self._made, set(), now)
            self._made = []

    def may_be_running(self, group: Group) -> bool:
        """Returns whether a run of a group may still be unknown.

        A worker that was not heard from may run one of its tasks.
        """
        if self._unheard is None:
            return True
        unheard = self._unheard
        places = group.job.row.placed_on
        if not places and self._may_be_any_task:
            return True
        named = self._named_tasks
        if places:
            there = [unheard[each] for each in places if each in unheard]
            if None in there:
                return True
            named = {task for tasks in there for task in tasks or ()}
        return bool(named) and any(
            str(group.task(index)) in named for index in group.indices
        )

    def _log_released(
        self, released: list[Group], awaited: set[WorkerId], now: float
    ) -> None:
        self._out.append(
            LogEntry(
                "doubts cleared",
                {
                    "jobs": sorted({each.job.job.job_id for each in released}),
                    "groups": [
                        each.name for each in released[:MAX_LOGGED_GROUPS]
                    ],
                    "groups_released": len(released),
                    "groups_left": len(self._pending),
                    "workers_unheard": sorted(self._unheard or ()),
                    "awaited_last": sorted(awaited),
                    "lapsed": sorted(filter(self._has_lapsed, awaited)),
                    "took_s": round(now - self._began_at, 3),
                },
            )
        )

    def _has_lapsed(self, worker_id: WorkerId) -> bool:
        """Returns whether a worker is not awaited since its leases ended."""
        worker = self._fleet.get(worker_id)
        return worker is None or not worker.reported

    def _release(self, group: Group, now: float) -> None:
        """Releases a group; one of which tasks are missing is stopped."""
        group.recovery_pending = False
        if group.state is GroupState.STARTED and len(group.members) < len(
            group.indices
        ):
            self._runs.stop_run(group, "some of its tasks are missing", now)
