"""The workers that batch jobs run on and the resources in use on each."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from pomeloarch_core.batch.messages import (
    Incarnation,
    RosterEntry,
    RunNumber,
    TaskId,
    WorkerInfo,
)
from pomeloarch_core.batch.model import NO_RESOURCES, Resources
from pomeloarch_core.ids import ServiceName, WorkerId, ZoneName

if TYPE_CHECKING:
    from pomeloarch_core.batch.groups import Group


# Slowness that is assumed for a worker that the roster marks as slow; a few
# runs of its own correct the value.
REMEMBERED_SLOWNESS = 1.25
# Time for which a worker has to be off the list to be gone, in seconds, while
# the store confirms the list: a worker that is alive is back within two seconds
# of the store's return.
GONE_AFTER_S = 3.0
# Longest time between two confirmations of the list in which the store was not
# away, in seconds.
MAX_CONFIRMATION_GAP_S = 1.5


class Worker:
    """A worker: its capacity, the groups on it and its condition.

    Attributes:
      info: the worker's entry in the platform's list.
      listed: whether it is on the list.
      unlisted_at: when it was first found off the list, None while it is on it.
      reported: whether it has answered under this scheduler's fence.
      silent: whether it doesn't answer at present.
      late_since: when an answer was first found late, None while it answers.
      lapses_at: while silent, when its runs have been killed at the latest.
      gone: while silent, whether another worker answers at its address.
      incarnation: the incarnation that answered last.
      heard_at: when its last report was processed, None before the first.
      asked_at: when its last report was asked for, None before the first.
      groups: groups with tasks on the worker, and the number of these tasks.
      unaccounted_runs: runs on it that no group accounts for, and when each was
        first reported.
      pending_ends: tasks of the ends that may not be forgotten before the row
        of their job is durable and their open starts are settled, by number of
        the end.
      last_end: the highest number of an end that was processed.
      enrolled: whether the durable roster says that it may run any task.
      may_run: names of the only tasks that it may run or have run, while it is
        silent; None for any task.
      evacuated: whether the runs that would end with it were stopped.
      shutting_down: whether its machine is about to go down.
      suspended_until: until when it is given no task after failures or a stall.
      failures: number of failed runs in a row.
      slow: whether it takes clearly longer than others for the same work.
      slowness: the time that it takes for a task, relative to a usual worker.
      speed_samples: number of runs that `slowness` was learnt from.
      generation: increases whenever its free resources or its entry change.
    """

    def __init__(self, info: WorkerInfo) -> None:
        """Creates a worker that hasn't answered yet."""
        self.info = info
        self.listed = True
        self.unlisted_at: float | None = None
        self.reported = False
        self.silent = False
        self.late_since: float | None = None
        self.lapses_at = 0.0
        self.gone = False
        self.incarnation = Incarnation(0)
        self.heard_at: float | None = None
        self.asked_at: float | None = None
        self.groups: dict[Group, int] = {}
        self.unaccounted_runs: dict[tuple[TaskId, RunNumber], float] = {}
        self.pending_ends: dict[int, TaskId] = {}
        self.last_end = 0
        self.enrolled = False
        self.may_run: tuple[str, ...] | None = None
        self.evacuated = False
        self.shutting_down = False
        self.suspended_until = 0.0
        self.failures = 0
        self.slow = False
        self.slowness = 1.0
        self.speed_samples = 0
        self._used = NO_RESOURCES
        self._claimed = NO_RESOURCES
        self._unaccounted_needs: dict[
            tuple[TaskId, RunNumber], Resources | None
        ] = {}
        self.generation = 0
        self._free: Resources | None = None
        # How many tasks with a need fit into the free resources, by need.
        self._fitting: dict[Resources, int] = {}
        # How many would if the worker ran nothing.
        self._fitting_empty: dict[Resources, int] = {}

    @property
    def worker_id(self) -> WorkerId:
        """The worker's id."""
        return self.info.worker_id

    @property
    def free(self) -> Resources:
        """Resources that are neither used nor claimed."""
        if self._free is None:
            self._free = self.unused - self._claimed
        return self._free

    def count_fitting(self, need: Resources) -> int:
        """Returns how many tasks with a need fit into the free resources."""
        count = self._fitting.get(need)
        if count is None:
            count = self._fitting[need] = need.count_fitting_in(self.free)
        return count

    def count_fitting_empty(self, need: Resources) -> int:
        """Returns how many tasks with a need fit while nothing else runs."""
        count = self._fitting_empty.get(need)
        if count is None:
            count = need.count_fitting_in(self.info.capacity)
            self._fitting_empty[need] = count
        return count

    def _forget_free(self) -> None:
        """Has the free resources worked out again."""
        self.generation += 1
        self._free = None
        self._fitting.clear()

    @property
    def unused(self) -> Resources:
        """Resources that no run uses, claimed or not."""
        room = self.info.capacity - self._used
        for need in self._unaccounted_needs.values():
            room = room - (self.info.capacity if need is None else need)
        return room

    def update_info(self, info: WorkerInfo) -> None:
        """Replaces the worker's entry in the platform's list."""
        if info.address != self.info.address:
            self.enrolled = False
        if info.capacity != self.info.capacity:
            self._fitting_empty.clear()
        self.info = info
        self.listed = True
        self.unlisted_at = None
        self.evacuated = self.evacuated and info.draining
        self._forget_free()

    def is_usable(self, now: float) -> bool:
        """Returns whether it may be given a task and isn't suspended."""
        return self.is_reachable and self.suspended_until <= now

    @property
    def is_reachable(self) -> bool:
        """Whether it may be given a task, if need be while it is suspended."""
        return (
            self.listed
            and self.enrolled
            and self.reported
            and not self.silent
            and self.late_since is None
            and not self.info.draining
            and not self.shutting_down
        )

    def mark_silent(self, lapses_at: float, gone: bool = False) -> None:
        """Records that it doesn't answer; it is given nothing from now on.

        Which tasks it may run is known only if it has answered this scheduler.
        """
        if self.reported and not self.silent:
            self.enrolled = False
            self.may_run = tuple(sorted(set(self._possible_tasks())))
        self.silent = True
        self.lapses_at = lapses_at
        self.gone = gone

    def _possible_tasks(self) -> Iterator[str]:
        """Yields the tasks that it may run or still has the end of."""
        yield from (str(task) for task in self.pending_ends.values())
        yield from (str(task) for task, _ in self.unaccounted_runs)
        for group in self.groups:
            for index, member in group.members.items():
                if member.worker_id == self.worker_id:
                    yield str(group.task(index))

    def mark_answered(self, complete: bool) -> None:
        """Records that it answers again.

        Until it has reported all ends, it may have more runs than are known.
        """
        self.reported = self.reported or complete
        self.silent = False
        self.late_since = None
        if self.may_run is not None:
            self.may_run = None
            self.enrolled = False

    def roster_entry(self) -> RosterEntry:
        """Returns what a successor has to know of it."""
        return RosterEntry(self.info.address, self.may_run, self.slow)

    def has_lapsed(self, now: float) -> bool:
        """Returns whether all its runs were certainly killed."""
        return self.silent and self.lapses_at <= now

    def allocate(self, group: Group, need: Resources, claimed: bool) -> None:
        """Allocates resources for a task of a group."""
        self.groups[group] = self.groups.get(group, 0) + 1
        self._forget_free()
        if claimed:
            self._claimed += need
        else:
            self._used += need

    def add_unaccounted_run(
        self, task: TaskId, run: RunNumber, need: Resources | None, now: float
    ) -> None:
        """Adds a run that no group accounts for, with its resources.

        A run of unknown resources, given as None, may use all of the worker's.
        """
        self.unaccounted_runs[task, run] = now
        self._unaccounted_needs[task, run] = need
        self._forget_free()

    def drop_unaccounted_run(self, task: TaskId, run: RunNumber) -> None:
        """Removes such a run, if there is one, and frees its resources."""
        self.unaccounted_runs.pop((task, run), None)
        self._unaccounted_needs.pop((task, run), None)
        self._forget_free()

    def commit_claim(self, need: Resources) -> None:
        """Turns claimed resources into used ones."""
        self._claimed -= need
        self._used += need

    def release(self, group: Group, need: Resources, claimed: bool) -> None:
        """Frees the resources of a task."""
        self.groups[group] -= 1
        self._forget_free()
        if not self.groups[group]:
            del self.groups[group]
        if claimed:
            self._claimed -= need
        else:
            self._used -= need

    def acknowledged_up_to(self) -> int:
        """Returns the number up to which all ends may be forgotten."""
        return min(self.pending_ends, default=self.last_end + 1) - 1


class Fleet:
    """All known workers, by id."""

    def __init__(self) -> None:
        """Creates a fleet without workers."""
        self._workers: dict[WorkerId, Worker] = {}
        # Workers that were marked as late; some may have answered since.
        self._late: set[Worker] = set()
        # When a report of any worker of a zone was last processed.
        self._heard_at: dict[ZoneName, float] = {}
        # Since when and until when the store has confirmed the list without a
        # gap.
        self._list_confirmed: tuple[float, float] | None = None

    def __iter__(self) -> Iterator[Worker]:
        """Iterates over the workers in the order in which they were added."""
        return iter(self._workers.values())

    def get(self, worker_id: WorkerId) -> Worker | None:
        """Returns a worker, None when it isn't known."""
        return self._workers.get(worker_id)

    def update_listed(self, info: WorkerInfo) -> Worker:
        """Adds or updates a worker from the platform's list; returns it."""
        worker = self._workers.get(info.worker_id)
        if worker is None:
            worker = self._workers[info.worker_id] = Worker(info)
        worker.update_info(info)
        return worker

    def add_remembered(self, info: WorkerInfo, entry: RosterEntry) -> None:
        """Adds a worker of the roster; it may not be listed any more."""
        if info.worker_id not in self._workers:
            worker = self._workers[info.worker_id] = Worker(info)
            worker.listed = False
            worker.may_run = entry.may_run
            worker.slow = entry.slow
            worker.slowness = REMEMBERED_SLOWNESS if entry.slow else 1.0

    def confirm_list(self, at: float) -> None:
        """Notes that the store has confirmed the list of workers."""
        since, until = self._list_confirmed or (at, at)
        if at - until > MAX_CONFIRMATION_GAP_S:
            since = at
        self._list_confirmed = since, max(at, until)

    def is_gone(self, worker: Worker, now: float) -> bool:
        """Returns whether a worker has left for good, with all its runs.

        It is off the list although the store is there, it doesn't answer, and
        the leases of all its runs have ended.
        """
        if (
            worker.unlisted_at is None
            or self._list_confirmed is None
            or not worker.has_lapsed(now)
        ):
            return False
        since, until = self._list_confirmed
        return until - max(since, worker.unlisted_at) >= GONE_AFTER_S

    def forget(self, worker_id: WorkerId) -> None:
        """Removes a worker that is gone."""
        self._workers.pop(worker_id, None)

    def unaccounted_tasks(self) -> set[TaskId]:
        """Returns the tasks with a run that no group accounts for."""
        return {
            task
            for each in self._workers.values()
            for task, _ in each.unaccounted_runs
        }

    def usable_workers(self, service: ServiceName, now: float) -> list[Worker]:
        """Returns the workers of a service that aren't suspended either."""
        return [
            each
            for each in self.reachable_workers(service)
            if each.suspended_until <= now
        ]

    def reachable_workers(self, service: ServiceName) -> list[Worker]:
        """Returns the workers of a service that may be given tasks.

        Workers without tasks are not polled, so nothing shows directly that
        they are cut off. The first late answer in an availability zone
        therefore excludes all its workers, until any of them is heard from
        again.
        """
        unresponsive = self.unresponsive_zones()
        return [
            each
            for each in self._workers.values()
            if each.info.service == service
            and each.is_reachable
            and each.info.availability_zone not in unresponsive
        ]

    def mark_late(self, worker: Worker, now: float) -> None:
        """Notes that an answer of a worker is late."""
        worker.late_since = now
        self._late.add(worker)

    def mark_heard(self, worker: Worker, now: float) -> None:
        """Notes that a worker's report has been processed."""
        worker.heard_at = now
        self._heard_at[worker.info.availability_zone] = now

    def unresponsive_zones(self) -> set[ZoneName]:
        """Returns zones with a late answer and no report since."""
        if not self._late:
            return set()
        self._late = {
            each
            for each in self._late
            if each.late_since is not None and each.worker_id in self._workers
        }
        late: dict[ZoneName, float] = {}
        for each in self._late:
            assert each.late_since is not None
            zone = each.info.availability_zone
            late[zone] = max(late.get(zone, 0.0), each.late_since)
        return {
            zone
            for zone, since in late.items()
            if self._heard_at.get(zone, -math.inf) < since
        }

    def share_in_use(self, service: ServiceName) -> float:
        """Returns the highest share in use of any resource, from 0 to 1."""
        cpu = memory = accelerators = 0
        free_cpu = free_memory = free_accelerators = 0
        for each in self._workers.values():
            if each.info.service == service and each.listed:
                capacity, free = each.info.capacity, each.free
                cpu += capacity.cpu_millis
                memory += capacity.memory_mb
                accelerators += capacity.accelerators
                free_cpu += free.cpu_millis
                free_memory += free.memory_mb
                free_accelerators += free.accelerators
        pairs = (
            (cpu, free_cpu),
            (memory, free_memory),
            (accelerators, free_accelerators),
        )
        return max((1 - left / all_ for all_, left in pairs if all_), default=1)
