"""How many tasks of each size fit on the workers that may be given some.

The numbers are kept from one round of placing to the next and follow the
workers that have changed, so that a group without room costs next to nothing.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.ids import ServiceName

# Limit on the sizes of tasks that are followed for a service; the jobs of a
# service have a few.
MAX_SIZES = 64


class FreePlaces:
    """How many tasks of one size the usable workers of a service can take.

    Attributes:
      counts: the number by worker; workers without room are left out.
    """

    def __init__(self, need: Resources, workers: Iterable[Worker]) -> None:
        """Counts the places on workers that may be given tasks."""
        self._need = need
        self.counts: dict[Worker, int] = {}
        self._total = 0
        self._racks: dict[Worker, str] = {}
        self._by_rack: dict[str, int] = defaultdict(int)
        for each in workers:
            self.update(each)

    def update(self, worker: Worker) -> None:
        """Takes in a worker that is new or has changed."""
        self._set(worker, worker.count_fitting(self._need))

    def remove(self, worker: Worker) -> None:
        """Takes out a worker that may be given no tasks any more."""
        self._set(worker, 0)
        del self._racks[worker]

    def _set(self, worker: Worker, count: int) -> None:
        rack = worker.info.rack
        former_rack = self._racks.setdefault(worker, rack)
        former = self.counts.get(worker, 0)
        if count == former and rack == former_rack:
            return
        self._racks[worker] = rack
        self._by_rack[former_rack] -= former
        self._by_rack[rack] += count
        self._total += count - former
        if count:
            self.counts[worker] = count
        else:
            self.counts.pop(worker, None)

    def may_hold(self, group: Group, allow_far: bool) -> bool:
        """Returns whether there are enough places for a group.

        They may turn out to be too few: which workers the group may use, and
        how many of its tasks one of them may have, is not considered.

        Args:
          group: the group.
          allow_far: whether it may run off its data's rack or on several racks.
        """
        wanted = len(group.indices)
        step = group.step
        if self._total < wanted:
            return False
        if allow_far or not (step.same_rack or step.data_rack):
            return True
        if step.data_rack:
            return self._by_rack.get(step.data_rack, 0) >= wanted
        return max(self._by_rack.values(), default=0) >= wanted


class ServicePlaces:
    """The free places on the usable workers of one service, by size of task.

    Attributes:
      workers: the workers that may be given tasks.
    """

    def __init__(self) -> None:
        """Creates a service without workers."""
        self.workers: list[Worker] = []
        self._generations: dict[Worker, int] = {}
        self._places: dict[Resources, FreePlaces] = {}

    def refresh(self, workers: list[Worker]) -> None:
        """Takes in the workers that may be given tasks now."""
        self.workers = workers
        generations = self._generations
        if len(generations) > len(workers) or any(
            each not in generations for each in workers
        ):
            self._replace_workers(workers)
        for worker in workers:
            if generations[worker] != worker.generation:
                self.update(worker)

    def _replace_workers(self, workers: list[Worker]) -> None:
        present = dict.fromkeys(workers)
        for worker in [w for w in self._generations if w not in present]:
            del self._generations[worker]
            for places in self._places.values():
                places.remove(worker)
        for worker in workers:
            if worker not in self._generations:
                self.update(worker)

    def update_known(self, worker: Worker) -> None:
        """Takes in a change of a worker, if it may be given tasks."""
        if worker in self._generations:
            self.update(worker)

    def update(self, worker: Worker) -> None:
        """Takes in that the free resources of a worker have changed."""
        self._generations[worker] = worker.generation
        for places in self._places.values():
            places.update(worker)

    def places(self, need: Resources) -> FreePlaces:
        """Returns the free places for tasks of one size."""
        found = self._places.pop(need, None)
        if found is None:
            found = FreePlaces(need, self.workers)
            if len(self._places) >= MAX_SIZES:
                del self._places[next(iter(self._places))]
        # The sizes stay in the order of their last use.
        self._places[need] = found
        return found


class FreePlacesIndex:
    """The free places of all services."""

    def __init__(self) -> None:
        """Creates an index that knows no service yet."""
        self._services: dict[ServiceName, ServicePlaces] = {}

    def service(self, name: ServiceName) -> ServicePlaces:
        """Returns a service as it was last refreshed."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = ServicePlaces()
        return found
