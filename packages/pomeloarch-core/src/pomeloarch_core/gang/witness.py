"""The witness: where each guaranteed shape can be had, at any moment.

HiveD (OSDI 2020) shows that quotas in counts don't guarantee adjacency: a
guarantee has to be held as cells of adjacent accelerators. The witness
assigns every cell to a worker so that its accelerators carry only work of
its owner that was started in the guarantee, or work that may be preempted.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from itertools import islice

from pomeloarch_core.gang.assignment import Assignment, hosts_in_rack
from pomeloarch_core.gang.cells import Cell, Instance
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.placement import Need
from pomeloarch_core.gang.workers import Worker
from pomeloarch_core.ids import (
    JobId,
    OrganisationName,
    ShapeName,
    WorkerId,
)
from pomeloarch_core.objects.model import Adjacency, GuaranteedShape

_RACK_CANDIDATES = 4


class Witness:
    """The assignment of all guaranteed shapes of a zone to workers.

    Args:
      fleet: the workers; their `reserved` counts belong to the witness.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Makes a witness of no shapes."""
        self._fleet = fleet
        self._instances: dict[tuple[ShapeName, int], Instance] = {}
        self._cells = Assignment(fleet)
        self._of_owner: dict[OrganisationName, list[Instance]] = {}
        self._short: dict[Instance, int] = {}
        self.uncovered: list[JobId] = []

    @property
    def instances(self) -> Iterable[Instance]:
        """All instances, placed or not."""
        return self._instances.values()

    def short(self) -> list[Instance]:
        """Returns the instances that can't be had at this moment."""
        return list(self._short)

    def owners(self) -> list[OrganisationName]:
        """Returns the organisations that have guarantees here."""
        return list(self._of_owner)

    def owned(self, organisation: OrganisationName) -> Sequence[Instance]:
        """Returns the instances of an organisation."""
        return self._of_owner.get(organisation, ())

    def replace_shapes(self, shapes: Iterable[GuaranteedShape]) -> None:
        """Takes the shapes of another generation in.

        Instances that stay as they are keep their places.
        """
        wanted = {
            (shape.name, number): shape
            for shape in shapes
            for number in range(shape.count)
        }
        for key, instance in list(self._instances.items()):
            shape = wanted.get(key)
            if shape is not None and _same_cells(shape, instance.shape):
                instance.shape = shape
                del wanted[key]
                continue
            self._unpin(instance)
            self._cells.unplace(instance)
            self._short.pop(instance, None)
            del self._instances[key]
        for key, shape in wanted.items():
            self._instances[key] = Instance(shape, key[1])
            self._short[self._instances[key]] = -1
        self._of_owner = {}
        for instance in self._instances.values():
            owner = instance.shape.organisation
            self._of_owner.setdefault(owner, []).append(instance)
        self.repair()

    def worker_lost(self, worker: Worker) -> None:
        """Moves the cells off a worker that can't be trusted any more."""
        for instance in self._cells.on_worker(worker.worker_id):
            self._replace_instance(instance, worker)
        self.repair()

    def repair(self) -> None:
        """Places the instances that are short, if room has come up."""
        for instance in list(self._short):
            if self._short[instance] == self._fleet.version:
                continue
            if self._cells.place(instance) or self._cells.search(
                instance, self._instances.values()
            ):
                del self._short[instance]
            else:
                self._short[instance] = self._fleet.version
                instance.reason = self._why_short(instance)

    def _replace_instance(self, instance: Instance, worker: Worker) -> None:
        """Moves one instance that had a cell on a lost worker."""
        lost = [c for c in instance.cells if c.worker_id == worker.worker_id]
        kept = [c for c in instance.cells if c not in lost]
        self._cells.unplace(instance, lost)
        rack = worker.info.rack
        if kept and not any(cell.used for cell in lost):
            taken = {cell.worker_id for cell in kept}
            index = self._cells.index(instance)
            hosts = (
                hosts_in_rack(index, rack, lost[0].size, taken) if index else []
            )
            if len(hosts) >= len(lost):
                self._cells.assign(instance, lost, hosts)
                return
        self._unpin(instance)
        self._cells.unplace(instance)
        if not self._cells.place(instance):
            self._short[instance] = -1

    # ---- covered jobs

    def claim(
        self,
        organisation: OrganisationName,
        need: Need,
        avoid: Collection[WorkerId] = (),
    ) -> list[tuple[Instance, Cell]] | None:
        """Finds spare cells of an organisation for a whole gang.

        Args:
          organisation: the owner.
          need: what the gang needs.
          avoid: workers that it must not be placed on.

        Returns:
          The cell of each member, or None if its spare cells don't take it.
        """
        found: list[tuple[Instance, Cell]] = []
        owned = [i for i in self.owned(organisation) if i.placed]
        owned.sort(key=lambda i: (not i.pinned, i.slots(need.size)))
        for instance in owned:
            offers = self._offers(instance, need, avoid)
            if need.adjacency is Adjacency.HOST:
                offers = [o for o in offers if o[1] >= need.members][:1]
            taken = [
                (instance, cell) for cell, count in offers for _ in range(count)
            ]
            if len(taken) >= need.members:
                return taken[: need.members]
            found.extend(taken)
        if need.adjacency is Adjacency.ANY and len(found) >= need.members:
            return found[: need.members]
        return None

    def _offers(
        self, instance: Instance, need: Need, avoid: Collection[WorkerId]
    ) -> list[tuple[Cell, int]]:
        offers = []
        for cell in instance.cells:
            assert cell.worker_id is not None
            worker = self._fleet.known(cell.worker_id)
            count = cell.spare // need.size
            if count and worker.usable and cell.worker_id not in avoid:
                offers.append((cell, count))
        return sorted(offers, key=lambda offer: offer[1])

    def cover(self, job_id: JobId, cells: Iterable[Cell], size: int) -> None:
        """Counts a job's members against the cells that they stand in."""
        for cell in cells:
            cell.used[job_id] = cell.used.get(job_id, 0) + size

    def uncover(self, organisation: OrganisationName, job_id: JobId) -> None:
        """Gives the cells of a job back to its owner."""
        for instance in self.owned(organisation):
            for cell in instance.cells:
                cell.used.pop(job_id, None)

    def find(
        self, organisation: OrganisationName, name: str
    ) -> tuple[Instance, Cell] | None:
        """Finds an organisation's cell by its name in a job's record."""
        for instance in self.owned(organisation):
            for cell in instance.cells:
                if instance.cell_name(cell) == name:
                    return instance, cell
        return None

    def pin(self, instance: Instance, cell: Cell, worker: Worker) -> bool:
        """Puts a cell on the worker where a job was found running in it.

        Returns:
          Whether the instance can stand there.
        """
        if cell.worker_id == worker.worker_id:
            return True
        if instance.pinned or not worker.trusted:
            return False
        if worker.info.pool != instance.shape.worker_pool:
            return False
        self._cells.unplace(instance)
        self._short.pop(instance, None)
        others = [c for c in instance.cells if c is not cell]
        self._cells.assign(instance, [cell], [worker.worker_id])
        index = self._cells.index(instance)
        taken = {worker.worker_id}
        hosts = (
            hosts_in_rack(index, worker.info.rack, cell.size, taken)
            if index
            else []
        )
        if worker.room < 0:
            self.settle(worker, keep=instance)
        if worker.room >= 0 and len(hosts) >= len(others):
            self._cells.assign(instance, others, hosts)
            return True
        self._cells.unplace(instance)
        if not self._cells.place(instance):
            self._short[instance] = -1
        return False

    # ---- making room

    def settle(self, worker: Worker, keep: Instance | None = None) -> None:
        """Moves cells off a worker that work in progress overcommits."""
        for instance in self._cells.on_worker(worker.worker_id):
            if worker.room >= 0:
                return
            if instance is not keep and not instance.pinned:
                self._cells.unplace(instance)
                if not self._cells.place(instance):
                    self._short[instance] = -1
        for instance in self._cells.on_worker(worker.worker_id):
            if worker.room >= 0:
                return
            if instance is not keep:
                self._unpin(instance)
                self._cells.unplace(instance)
                self._short[instance] = -1

    def make_way(self, worker: Worker, count: int) -> bool:
        """Moves idle instances so that others' work has room on a worker.

        Args:
          worker: the worker.
          count: accelerators that have to be outside the witness.

        Returns:
          Whether there is room now. Every instance has a place either way.
        """
        worker.fixed += count
        self._fleet.touch(worker)
        for instance in self._cells.on_worker(worker.worker_id):
            if worker.room >= 0:
                break
            if not instance.pinned:
                self._move(instance)
        done = worker.room >= 0
        worker.fixed -= count
        self._fleet.touch(worker)
        return done

    def _move(self, instance: Instance) -> None:
        before = [cell.worker_id for cell in instance.cells]
        self._cells.unplace(instance)
        if self._cells.place(instance) or self._cells.search(
            instance, self._instances.values()
        ):
            return
        for cell, worker_id in zip(instance.cells, before, strict=True):
            if worker_id is not None:
                self._cells.assign(instance, [cell], [worker_id])

    def move_to_cheapest(
        self,
        instance: Instance,
        cost: Callable[[Worker, int], float | None],
    ) -> None:
        """Moves an idle instance to where least work has to make way.

        Args:
          instance: an instance that is placed.
          cost: what freeing some accelerators of a worker costs others,
            None if it can't be done.
        """
        if instance.pinned or not instance.placed:
            return
        before = list(instance.worker_ids)
        self._cells.unplace(instance)
        index = self._cells.index(instance)
        assert index is not None
        size, count = instance.cells[0].size, len(instance.cells)
        own = self._fleet.known(before[0]).info.rack
        racks = islice(index.racks_with_hosts(size, count), _RACK_CANDIDATES)
        best, best_cost = before, float("inf")
        for rack in dict.fromkeys([own, *racks]):
            costs = {
                worker_id: found
                for worker_id in hosts_in_rack(index, rack, size, ())
                if (found := cost(self._fleet.known(worker_id), size))
                is not None
            }
            chosen = sorted(costs, key=lambda w: costs[w])[:count]
            total = sum(costs[worker_id] for worker_id in chosen)
            if len(chosen) == count and total < best_cost:
                best, best_cost = chosen, total
        self._cells.assign(instance, instance.cells, best)

    # ---- bookkeeping

    def _unpin(self, instance: Instance) -> None:
        """Lets go of the jobs that stood in an instance."""
        for cell in instance.cells:
            self.uncovered.extend(cell.used)
            cell.used.clear()

    def _why_short(self, instance: Instance) -> str:
        shape = instance.shape
        index = self._cells.index(instance)
        best = 0
        if index is not None:
            for rack in index.racks_with_hosts(shape.accelerators_per_host, 1):
                hosts = hosts_in_rack(
                    index, rack, shape.accelerators_per_host, ()
                )
                best = max(best, len(hosts))
        return (
            f"guarantee {shape.name} of {shape.organisation} needs "
            f"{shape.hosts} workers of one rack in pool {shape.worker_pool} "
            f"with {shape.accelerators_per_host} accelerators each that carry "
            f"no other guarantee and no work that can't be preempted; the "
            f"best rack has {best}"
        )


def _same_cells(one: GuaranteedShape, other: GuaranteedShape) -> bool:
    return (
        one.organisation == other.organisation
        and one.worker_pool == other.worker_pool
        and one.hosts == other.hosts
        and one.accelerators_per_host == other.accelerators_per_host
    )
