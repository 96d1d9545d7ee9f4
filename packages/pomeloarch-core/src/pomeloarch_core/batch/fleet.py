"""The workers that batch jobs run on, and what stands on each."""

from __future__ import annotations

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


# What a worker's slowness is taken for that an earlier scheduler called slow;
# a few runs of its own correct it.
REMEMBERED_SLOWNESS = 1.25


class Worker:
    """One worker: what it has, what stands on it and how it is doing.

    Attributes:
      info: what the platform's list says.
      listed: whether it is on the list.
      reported: whether it has answered under this scheduler's fence.
      silent: whether it doesn't answer now.
      late_since: when its answer was first found late, None while it answers.
      lapses_at: while silent, when its runs have been killed at the latest.
      incarnation: the life of it that answered last.
      heard_at: when its last report was taken in, None before the first.
      groups: groups with a task here, and how many.
      strangers: runs here that no group accounts for.
      pending_ends: numbers of ends whose job's row isn't durable yet.
      last_end: the highest number of an end taken in.
      enrolled: whether a successor will take it that it may run any task.
      may_run: the only tasks that it may run, by name, while it is silent;
        None for any.
      evacuated: whether what would not end before it leaves was moved.
      closing: whether its machine is about to go down.
      suspended_until: until when it is given no task after failures.
      failures: failed runs in a row.
      slow: whether it takes clearly longer than others for the same work.
      slowness: the time that it takes for a task, in that of a usual worker.
      speed_samples: how many of its runs that figure is from.
    """

    def __init__(self, info: WorkerInfo) -> None:
        """Starts as a worker that hasn't answered yet."""
        self.info = info
        self.listed = True
        self.reported = False
        self.silent = False
        self.late_since: float | None = None
        self.lapses_at = 0.0
        self.incarnation = Incarnation(0)
        self.heard_at: float | None = None
        self.groups: dict[Group, int] = {}
        self.strangers: dict[tuple[TaskId, RunNumber], float] = {}
        self.pending_ends: set[int] = set()
        self.last_end = 0
        self.enrolled = False
        self.may_run: tuple[str, ...] | None = None
        self.evacuated = False
        self.closing = False
        self.suspended_until = 0.0
        self.failures = 0
        self.slow = False
        self.slowness = 1.0
        self.speed_samples = 0
        self._used = NO_RESOURCES
        self._claimed = NO_RESOURCES
        self._strange: dict[tuple[TaskId, RunNumber], Resources] = {}
        self._free: Resources | None = None

    @property
    def worker_id(self) -> WorkerId:
        """The worker's id."""
        return self.info.worker_id

    @property
    def free(self) -> Resources:
        """Room that nothing has or is promised."""
        if self._free is None:
            self._free = self.unused - self._claimed
        return self._free

    @property
    def unused(self) -> Resources:
        """Room that no run has, promised or not."""
        room = self.info.capacity - self._used
        for need in self._strange.values():
            room = room - need
        return room

    def relisted(self, info: WorkerInfo) -> None:
        """Takes what the list says now."""
        self.info = info
        self.listed = True
        self.evacuated = self.evacuated and info.draining
        self._free = None

    def usable(self, now: float) -> bool:
        """Whether it may be given a task."""
        return (
            self.listed
            and self.enrolled
            and self.reported
            and not self.silent
            and self.late_since is None
            and not self.info.draining
            and not self.closing
            and self.suspended_until <= now
        )

    def fell_silent(self, lapses_at: float) -> None:
        """Takes it that it does not answer; it is given nothing from now on.

        What was ordered here before is known if it has answered this
        scheduler.
        """
        if self.reported and not self.silent:
            self.enrolled = False
            self.may_run = tuple(sorted(self._ordered()))
        self.silent = True
        self.lapses_at = lapses_at

    def _ordered(self) -> Iterator[str]:
        yield from (str(task) for task, _ in self.strangers)
        for group in self.groups:
            for index, member in group.members.items():
                if member.worker_id == self.worker_id:
                    yield str(group.task(index))

    def answered(self) -> None:
        """Takes it that it answers again."""
        self.reported = True
        self.silent = False
        self.late_since = None
        if self.may_run is not None:
            self.may_run = None
            self.enrolled = False

    def roster_entry(self) -> RosterEntry:
        """Returns what a successor has to know of it."""
        return RosterEntry(self.info.address, self.may_run, self.slow)

    def lapsed(self, now: float) -> bool:
        """Whether all that it may have run has certainly been killed."""
        return self.silent and self.lapses_at <= now

    def hold(self, group: Group, need: Resources, claimed: bool) -> None:
        """Takes room for a task of a group."""
        self.groups[group] = self.groups.get(group, 0) + 1
        self._free = None
        if claimed:
            self._claimed += need
        else:
            self._used += need

    def take_stranger(
        self, task: TaskId, run: RunNumber, need: Resources, now: float
    ) -> None:
        """Takes a run that no group accounts for; it has its room, too."""
        self.strangers[task, run] = now
        self._strange[task, run] = need
        self._free = None

    def drop_stranger(self, task: TaskId, run: RunNumber) -> None:
        """Gives back the room of such a run, if there is one."""
        self.strangers.pop((task, run), None)
        self._strange.pop((task, run), None)
        self._free = None

    def drop_strangers(self) -> None:
        """Takes it that nothing is there that no group accounts for."""
        for task, run in list(self.strangers):
            self.drop_stranger(task, run)

    def confirm(self, need: Resources) -> None:
        """Turns room that was promised into room that is used."""
        self._claimed -= need
        self._used += need

    def release(self, group: Group, need: Resources, claimed: bool) -> None:
        """Gives back the room of a task."""
        self.groups[group] -= 1
        self._free = None
        if not self.groups[group]:
            del self.groups[group]
        if claimed:
            self._claimed -= need
        else:
            self._used -= need

    def acknowledged(self) -> int:
        """Returns the highest end up to which all is durable."""
        return min(self.pending_ends, default=self.last_end + 1) - 1


class Fleet:
    """All workers, by id."""

    def __init__(self) -> None:
        """Starts without workers."""
        self._workers: dict[WorkerId, Worker] = {}

    def __iter__(self) -> Iterator[Worker]:
        """Iterates over the workers in the order of their first listing."""
        return iter(self._workers.values())

    def get(self, worker_id: WorkerId) -> Worker | None:
        """Returns a worker, None when it isn't known."""
        return self._workers.get(worker_id)

    def listed(self, info: WorkerInfo) -> Worker:
        """Takes an entry of the platform's list."""
        worker = self._workers.get(info.worker_id)
        if worker is None:
            worker = self._workers[info.worker_id] = Worker(info)
        worker.relisted(info)
        return worker

    def remembered(self, info: WorkerInfo, entry: RosterEntry) -> None:
        """Takes a worker that may be off the list; it gets nothing new."""
        if info.worker_id not in self._workers:
            worker = self._workers[info.worker_id] = Worker(info)
            worker.listed = False
            worker.may_run = entry.may_run
            worker.slow = entry.slow
            worker.slowness = REMEMBERED_SLOWNESS if entry.slow else 1.0

    def forget(self, worker_id: WorkerId) -> None:
        """Drops a worker that is gone."""
        self._workers.pop(worker_id, None)

    def unaccounted(self) -> set[TaskId]:
        """Returns the tasks of runs that no group accounts for."""
        return {
            task
            for each in self._workers.values()
            for task, _ in each.strangers
        }

    def usable(self, service: ServiceName, now: float) -> list[Worker]:
        """Returns the workers of a service that may be given tasks.

        Workers without tasks are not asked for reports. When an availability
        zone is cut off, the first late answer there tells of them as well:
        until any worker of the zone is heard again, none is given a task.
        """
        in_doubt = self.zones_in_doubt()
        return [
            each
            for each in self._workers.values()
            if each.info.service == service
            and each.usable(now)
            and each.info.availability_zone not in in_doubt
        ]

    def zones_in_doubt(self) -> set[ZoneName]:
        """Returns zones where an answer is late and none came since."""
        late: dict[ZoneName, float] = {}
        for each in self._workers.values():
            if each.late_since is not None:
                zone = each.info.availability_zone
                late[zone] = max(late.get(zone, 0.0), each.late_since)
        if not late:
            return set()
        heard = {
            each.info.availability_zone
            for each in self._workers.values()
            if each.heard_at is not None
            and each.heard_at
            >= late.get(each.info.availability_zone, float("inf"))
        }
        return late.keys() - heard

    def share_in_use(self, service: ServiceName) -> float:
        """Returns the largest used share of a resource, from 0 to 1."""
        total, free = NO_RESOURCES, NO_RESOURCES
        for each in self._workers.values():
            if each.info.service == service and each.listed:
                total += each.info.capacity
                free += each.free
        pairs = (
            (total.cpu_millis, free.cpu_millis),
            (total.memory_mb, free.memory_mb),
            (total.accelerators, free.accelerators),
        )
        return max((1 - left / all_ for all_, left in pairs if all_), default=1)
