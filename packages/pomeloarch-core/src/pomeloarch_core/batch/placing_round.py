"""One round of placing: results that all groups of the round share."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.free_places import FreePlaces, ServicePlaces
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.placing import CachedRoom, Placement, Room
from pomeloarch_core.batch.preempting import EvictableRoom
from pomeloarch_core.ids import JobId, ServiceName, WorkerId

# States of groups whose resources will be free again.
_RELEASING_STATES = (GroupState.STARTED, GroupState.STOPPING)


class PlacingRound:
    """The results of one round of placing so far.

    Attributes:
      guaranteed: jobs that their organisations' guarantees cover.
      usable: workers that may be given tasks and their free places, by service.
      reachable: workers that may be given tasks, suspended or not, by service.
      keys_without_room: placing keys for which there was no room.
      keys_without_any_room: those for which there was none even on workers that
        a group would rather not use.
      in_use: the share of a service's resources that is in use.
      set_aside: the workers that are kept for urgent groups, by service.
      reserved_until: until when workers are reserved for waiting groups.
      reservation_count: number of groups that workers are reserved for.
      protected: workers that groups of lower priority than a late gang must
        leave alone, although they go first: until when, and the gang's
        priority.
      only_workers: the only worker that a group may be placed on, where there
        is such.
      only_places: the only workers that the tasks of a gang may be placed on,
        by index, where there are such.
      open_names: number of workers that a job's row names for open starts.
      awaited_workers: workers that are reserved for gangs which are not urgent.
      evictable: the room that groups of priority 0 may make.

    Args:
      guaranteed: jobs that their organisations' guarantees cover.
      remaining_s: returns how much longer a group's run will likely take, in
        seconds.
      evictable: the room that groups of priority 0 may make.
    """

    def __init__(
        self,
        guaranteed: set[JobId],
        remaining_s: Callable[[Group], float],
        evictable: EvictableRoom,
    ) -> None:
        """Creates a round without results."""
        self.guaranteed = guaranteed
        self.usable: dict[ServiceName, ServicePlaces] = {}
        self.reachable: dict[ServiceName, list[Worker]] = {}
        self.keys_without_room: set[tuple[object, ...]] = set()
        self.keys_without_any_room: set[tuple[object, ...]] = set()
        self.in_use: dict[ServiceName, float] = {}
        self.set_aside: dict[ServiceName, set[Worker]] = {}
        self.reserved_until: dict[Worker, float] = {}
        self.reservation_count = 0
        self.protected: dict[Worker, tuple[float, int]] = {}
        self.only_workers: dict[Group, WorkerId] = {}
        self.only_places: dict[Group, dict[int, WorkerId]] = {}
        self.open_names: dict[JobEntry, int] = {}
        self.awaited_workers: set[Worker] = set()
        self._estimate_remaining_s = remaining_s
        self.evictable = evictable
        self._remaining_s: dict[Group, float] = {}
        self._room_after: dict[float, CachedRoom] = {}

    def count_open_names(self, entry: JobEntry) -> int:
        """Returns how many workers a job's row names for open starts."""
        if entry not in self.open_names:
            self.open_names[entry] = entry.row.count_open_names()
        return self.open_names[entry]

    def note_opened(self, group: Group) -> None:
        """Takes in that a group has claimed places."""
        named = self.count_open_names(group.job)
        self.open_names[group.job] = named + len(group.indices)

    def places_for(self, group: Group) -> FreePlaces:
        """Returns the free places for a group's tasks."""
        service = self.usable[group.job.queue.service]
        return service.places(group.step.allocation)

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
        for worker in dict.fromkeys(places.values()):
            self.usable[worker.info.service].update_known(worker)
            for room in self._room_after.values():
                room.forget(worker)
            self.evictable.forget(worker)

    def update_stopped(self, workers: Iterable[Worker]) -> None:
        """Updates the cached results for workers of a group that is stopped."""
        for worker in workers:
            self.evictable.forget(worker)

    def room_after(self, after_s: float) -> Room:
        """Returns the resources that will be free on workers after a time.

        Nothing is assumed to be started meanwhile.
        """
        room = self._room_after.get(after_s)
        if room is None:
            room = self._room_after[after_s] = CachedRoom(
                lambda worker: self._free_after(worker, after_s)
            )
        return room

    def _free_after(self, worker: Worker, after_s: float) -> Resources:
        free = worker.free
        for other, count in worker.groups.items():
            if other.state not in _RELEASING_STATES:
                continue
            if self._remaining_time_s(other) <= after_s:
                free += other.step.allocation * count
        return free

    def _remaining_time_s(self, group: Group) -> float:
        if group not in self._remaining_s:
            self._remaining_s[group] = self._estimate_remaining_s(group)
        return self._remaining_s[group]
