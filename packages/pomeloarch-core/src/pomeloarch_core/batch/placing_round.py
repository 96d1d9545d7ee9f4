"""One round of placing: what is worked out once for all groups of it."""

from __future__ import annotations

from collections.abc import Callable

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.placing import Places, Room
from pomeloarch_core.ids import JobId, ServiceName

# States of groups whose room will be free again.
_ENDING = (GroupState.STARTED, GroupState.STOPPING)


class PlacingRound:
    """What one round of placing has found out so far.

    Attributes:
      guaranteed: jobs that their organisations' guarantees cover.
      usable: workers that may be given tasks, by service.
      without_room: keys of groups for which there was no room.
      in_use: the share of a service's workers that is in use.
      kept_until: until when workers are kept for groups that wait.
      kept_for: how many groups workers are kept for.
      reserved: workers that less urgent groups leave alone, though these go
        first: until when, and the priority of the group they are for.
      promised: workers that gangs wait for which don't go first.

    Args:
      guaranteed: jobs that their organisations' guarantees cover.
      remaining_s: returns how much longer a group's run will likely take.
      harm: returns what stopping a group costs, in core-seconds.
    """

    def __init__(
        self,
        guaranteed: set[JobId],
        remaining_s: Callable[[Group], float],
        harm: Callable[[Group], float],
    ) -> None:
        """Starts with nothing found out."""
        self.guaranteed = guaranteed
        self.usable: dict[ServiceName, list[Worker]] = {}
        self.without_room: set[tuple[object, ...]] = set()
        self.in_use: dict[ServiceName, float] = {}
        self._fitting: dict[
            tuple[ServiceName, Resources], dict[Worker, int]
        ] = {}
        self.kept_until: dict[Worker, float] = {}
        self.kept_for = 0
        self.reserved: dict[Worker, tuple[float, int]] = {}
        self.promised: set[Worker] = set()
        self._estimate_s = remaining_s
        self._work_out_harm = harm
        self._harm: dict[Group, float] = {}
        self._remaining_s: dict[Group, float] = {}
        self._room_after: dict[float, dict[Worker, Resources]] = {}

    def may_fit(self, group: Group) -> bool:
        """Whether there is room for a group on the usable workers at all."""
        service, need = group.job.queue.service, group.step.reserved
        counts = self._fitting.get((service, need))
        if counts is None:
            counts = self._fitting[service, need] = {
                each: need.times_in(each.free) for each in self.usable[service]
            }
        return sum(counts.values()) >= len(group.indices)

    def is_open(self, worker: Worker, group: Group, ends_at: float) -> bool:
        """Whether a group may use a worker, which others may wait for.

        Args:
          worker: the worker.
          group: what is to be placed.
          ends_at: when it would likely end.
        """
        if self.kept_until.get(worker, ends_at) < ends_at:
            return False
        until, priority = self.reserved.get(worker, (ends_at, 0))
        return until >= ends_at or group.job.queue.priority <= priority

    def claimed(self, places: Places) -> None:
        """Notes that room was taken on some workers."""
        for (_, need), counts in self._fitting.items():
            for worker in places.values():
                if worker in counts:
                    counts[worker] = need.times_in(worker.free)
        for known in self._room_after.values():
            for worker in places.values():
                known.pop(worker, None)

    def harm(self, group: Group) -> float:
        """Returns what stopping a group costs, in core-seconds."""
        if group not in self._harm:
            self._harm[group] = self._work_out_harm(group)
        return self._harm[group]

    def room_after(self, after_s: float) -> Room:
        """Returns what will be free on workers by then, if nothing is added."""
        known = self._room_after.setdefault(after_s, {})

        def room(worker: Worker) -> Resources:
            if worker not in known:
                have = worker.free
                for other, count in worker.groups.items():
                    if other.state not in _ENDING:
                        continue
                    if self._remaining_in(other) <= after_s:
                        have += other.step.reserved * count
                known[worker] = have
            return known[worker]

        return room

    def _remaining_in(self, group: Group) -> float:
        if group not in self._remaining_s:
            self._remaining_s[group] = self._estimate_s(group)
        return self._remaining_s[group]
