"""One round of placing: results that all groups of the round share."""

from __future__ import annotations

from collections.abc import Callable

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, GroupState
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.placing import Placement, RoomOf
from pomeloarch_core.ids import JobId, ServiceName, WorkerId

# States of groups whose resources will be free again.
_RELEASING_STATES = (GroupState.STARTED, GroupState.STOPPING)


class PlacingRound:
    """The results of one round of placing so far.

    Attributes:
      guaranteed: jobs that their organisations' guarantees cover.
      usable: workers that may be given tasks, by service.
      keys_without_room: placing keys for which there was no room.
      in_use: the share of a service's resources that is in use.
      reserved_until: until when workers are reserved for waiting groups.
      reservation_count: number of groups that workers are reserved for.
      protected: workers that groups of lower priority than a late gang must
        leave alone, although they go first: until when, and the gang's
        priority.
      only_workers: the only worker that a group may be placed on, where there
        is such.
      awaited_workers: workers that are reserved for gangs which are not urgent.

    Args:
      guaranteed: jobs that their organisations' guarantees cover.
      remaining_s: returns how much longer a group's run will likely take, in
        seconds.
      stop_cost: returns what stopping a group costs, in core-seconds.
    """

    def __init__(
        self,
        guaranteed: set[JobId],
        remaining_s: Callable[[Group], float],
        stop_cost: Callable[[Group], float],
    ) -> None:
        """Creates a round without results."""
        self.guaranteed = guaranteed
        self.usable: dict[ServiceName, list[Worker]] = {}
        self.keys_without_room: set[tuple[object, ...]] = set()
        self.in_use: dict[ServiceName, float] = {}
        self._fitting_counts: dict[
            tuple[ServiceName, Resources], dict[Worker, int]
        ] = {}
        self.reserved_until: dict[Worker, float] = {}
        self.reservation_count = 0
        self.protected: dict[Worker, tuple[float, int]] = {}
        self.only_workers: dict[Group, WorkerId] = {}
        self.awaited_workers: set[Worker] = set()
        self._estimate_remaining_s = remaining_s
        self._estimate_stop_cost = stop_cost
        self._stop_cost: dict[Group, float] = {}
        self._remaining_s: dict[Group, float] = {}
        self._room_after: dict[float, dict[Worker, Resources]] = {}

    def may_have_room(self, group: Group) -> bool:
        """Returns whether the usable workers together have enough room."""
        service, need = group.job.queue.service, group.step.allocation
        counts = self._fitting_counts.get((service, need))
        if counts is None:
            counts = self._fitting_counts[service, need] = {
                each: need.count_fitting_in(each.free)
                for each in self.usable[service]
            }
        return sum(counts.values()) >= len(group.indices)

    def is_available(
        self, worker: Worker, group: Group, ends_at: float
    ) -> bool:
        """Returns whether a group may use a worker despite reservations.

        Args:
          worker: the worker.
          group: the group to place.
          ends_at: when the group would likely end.
        """
        if self.reserved_until.get(worker, ends_at) < ends_at:
            return False
        until, priority = self.protected.get(worker, (ends_at, 0))
        return until >= ends_at or group.job.queue.priority <= priority

    def update_claimed(self, places: Placement) -> None:
        """Updates the cached results for workers on which room was claimed."""
        for (_, need), counts in self._fitting_counts.items():
            for worker in places.values():
                if worker in counts:
                    counts[worker] = need.count_fitting_in(worker.free)
        for known in self._room_after.values():
            for worker in places.values():
                known.pop(worker, None)

    def stop_cost(self, group: Group) -> float:
        """Returns what stopping a group costs, in core-seconds."""
        if group not in self._stop_cost:
            self._stop_cost[group] = self._estimate_stop_cost(group)
        return self._stop_cost[group]

    def room_after(self, after_s: float) -> RoomOf:
        """Returns the resources that will be free on workers after a time.

        Nothing is assumed to be started meanwhile.
        """
        known = self._room_after.setdefault(after_s, {})

        def room(worker: Worker) -> Resources:
            if worker not in known:
                room_left = worker.free
                for other, count in worker.groups.items():
                    if other.state not in _RELEASING_STATES:
                        continue
                    if self._remaining_time_s(other) <= after_s:
                        room_left += other.step.allocation * count
                known[worker] = room_left
            return known[worker]

        return room

    def _remaining_time_s(self, group: Group) -> float:
        if group not in self._remaining_s:
            self._remaining_s[group] = self._estimate_remaining_s(group)
        return self._remaining_s[group]
