"""The witness: an assignment of all guaranteed shapes to workers.

HiveD (OSDI 2020) shows that quotas in counts don't guarantee adjacency: a
guarantee has to be held as cells of adjacent accelerators. The witness
assigns every cell to a worker whose accelerators for it run only jobs of the
owner that were placed within the guarantee, or preemptible jobs. It thereby
proves that every guarantee can be honoured at any moment.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence
from itertools import islice

from pomeloarch_core.gang.assignment import CellAssignment, hosts_in_rack
from pomeloarch_core.gang.cells import Cell, ShapeInstance
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

# Racks that are compared when an idle instance is moved to the cheapest one.
_MAX_RACK_CANDIDATES = 4


class Witness:
    """The assignment of all guaranteed shapes of a zone to workers.

    Args:
      fleet: the workers; the witness maintains their `reserved` counts.

    Attributes:
      displaced_jobs: jobs that have lost their cells because their instance
        was moved, removed or left without a place.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Creates a witness without shapes."""
        self._fleet = fleet
        self._instances: dict[tuple[ShapeName, int], ShapeInstance] = {}
        self._assignment = CellAssignment(fleet)
        self._by_owner: dict[OrganisationName, list[ShapeInstance]] = {}
        self._unplaced: dict[ShapeInstance, int] = {}
        self.displaced_jobs: list[JobId] = []

    @property
    def instances(self) -> Iterable[ShapeInstance]:
        """All instances, whether placed or not."""
        return self._instances.values()

    def unplaced(self) -> list[ShapeInstance]:
        """Returns the instances that have no place on workers."""
        return list(self._unplaced)

    def owners(self) -> list[OrganisationName]:
        """Returns the organisations that own guarantees in this zone."""
        return list(self._by_owner)

    def instances_of(
        self, organisation: OrganisationName
    ) -> Sequence[ShapeInstance]:
        """Returns the instances of an organisation."""
        return self._by_owner.get(organisation, ())

    def replace_shapes(self, shapes: Iterable[GuaranteedShape]) -> None:
        """Replaces the guaranteed shapes by those of another generation.

        Instances whose cells don't change keep their places.
        """
        wanted = {
            (shape.name, number): shape
            for shape in shapes
            for number in range(shape.count)
        }
        for key, instance in list(self._instances.items()):
            shape = wanted.get(key)
            if shape is not None and _has_same_cells(shape, instance.shape):
                instance.shape = shape
                del wanted[key]
                continue
            self._release_jobs(instance)
            self._assignment.unassign(instance)
            self._unplaced.pop(instance, None)
            del self._instances[key]
        for key, shape in wanted.items():
            self._instances[key] = ShapeInstance(shape, key[1])
            self._unplaced[self._instances[key]] = -1
        self._by_owner = {}
        for instance in self._instances.values():
            owner = instance.shape.organisation
            self._by_owner.setdefault(owner, []).append(instance)
        self.repair()

    def handle_worker_loss(self, worker: Worker) -> None:
        """Moves cells off a worker that can't hold them any more."""
        for instance in self._assignment.instances_on(worker.worker_id):
            self._move_off_worker(instance, worker)
        self.repair()

    def repair(self) -> None:
        """Tries to place unplaced instances if capacity has grown since."""
        for instance in list(self._unplaced):
            if self._unplaced[instance] == self._fleet.version:
                continue
            if self._assignment.place(
                instance
            ) or self._assignment.place_by_moving_others(
                instance, self._instances.values()
            ):
                del self._unplaced[instance]
            else:
                self._unplaced[instance] = self._fleet.version
                instance.unplaced_reason = self._explain_unplaced(instance)

    def _move_off_worker(self, instance: ShapeInstance, worker: Worker) -> None:
        """Moves an instance off a worker that was lost.

        Only the lost cells move, within the rack, if no job uses them and
        other cells remain; otherwise the whole instance is placed anew.
        """
        lost = [c for c in instance.cells if c.worker_id == worker.worker_id]
        kept = [c for c in instance.cells if c not in lost]
        self._assignment.unassign(instance, lost)
        rack = worker.info.rack
        if kept and not any(cell.used_by_job for cell in lost):
            taken = {cell.worker_id for cell in kept}
            index = self._assignment.pool_index(instance)
            hosts = (
                hosts_in_rack(index, rack, lost[0].size, taken) if index else []
            )
            if len(hosts) >= len(lost):
                self._assignment.assign(instance, lost, hosts)
                return
        self._release_jobs(instance)
        self._assignment.unassign(instance)
        if not self._assignment.place(instance):
            self._unplaced[instance] = -1

    def find_cells(
        self,
        organisation: OrganisationName,
        need: Need,
        avoid: Collection[WorkerId] = (),
    ) -> list[tuple[ShapeInstance, Cell]] | None:
        """Finds spare capacity in an organisation's cells for a whole gang.

        Args:
          organisation: the owner of the guarantees.
          need: what the gang needs.
          avoid: workers that the gang must not be placed on.

        Returns:
          The cell of each member, or None if the gang does not fit.
        """
        found: list[tuple[ShapeInstance, Cell]] = []
        instances = [i for i in self.instances_of(organisation) if i.is_placed]
        instances.sort(
            key=lambda i: (not i.is_pinned, i.spare_slots(need.size))
        )
        for instance in instances:
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
        self, instance: ShapeInstance, need: Need, avoid: Collection[WorkerId]
    ) -> list[tuple[Cell, int]]:
        offers = []
        for cell in instance.cells:
            assert cell.worker_id is not None
            worker = self._fleet.get_or_add(cell.worker_id)
            count = cell.spare // need.size
            if count and worker.is_usable and cell.worker_id not in avoid:
                offers.append((cell, count))
        return sorted(offers, key=lambda offer: offer[1])

    def occupy(self, job_id: JobId, cells: Iterable[Cell], size: int) -> None:
        """Counts a job's members against the cells that hold them.

        Args:
          job_id: the job.
          cells: the cell of each member.
          size: accelerators of each member.
        """
        for cell in cells:
            cell.used_by_job[job_id] = cell.used_by_job.get(job_id, 0) + size

    def vacate(self, organisation: OrganisationName, job_id: JobId) -> None:
        """Frees the accelerators of a job in all cells of its owner."""
        for instance in self.instances_of(organisation):
            for cell in instance.cells:
                cell.used_by_job.pop(job_id, None)

    def find_cell(
        self, organisation: OrganisationName, name: str
    ) -> tuple[ShapeInstance, Cell] | None:
        """Finds an organisation's cell by the name in a job's record."""
        for instance in self.instances_of(organisation):
            for cell in instance.cells:
                if instance.cell_name(cell) == name:
                    return instance, cell
        return None

    def pin(self, instance: ShapeInstance, cell: Cell, worker: Worker) -> bool:
        """Assigns a cell to the worker where its job was found running.

        The instance's other cells are assigned within the same rack.

        Returns:
          Whether the whole instance has a place there.
        """
        if cell.worker_id == worker.worker_id:
            return True
        if instance.is_pinned or not worker.can_hold_guarantees:
            return False
        if worker.info.pool != instance.shape.worker_pool:
            return False
        self._assignment.unassign(instance)
        self._unplaced.pop(instance, None)
        others = [c for c in instance.cells if c is not cell]
        self._assignment.assign(instance, [cell], [worker.worker_id])
        index = self._assignment.pool_index(instance)
        taken = {worker.worker_id}
        hosts = (
            hosts_in_rack(index, worker.info.rack, cell.size, taken)
            if index
            else []
        )
        if worker.reservable < 0:
            self.resolve_overcommitment(worker, keep=instance)
        if worker.reservable >= 0 and len(hosts) >= len(others):
            self._assignment.assign(instance, others, hosts)
            return True
        self._assignment.unassign(instance)
        if not self._assignment.place(instance):
            self._unplaced[instance] = -1
        return False

    def resolve_overcommitment(
        self, worker: Worker, keep: ShapeInstance | None = None
    ) -> None:
        """Moves cells off a worker that non-preemptible work overcommits.

        Idle instances are moved first; if that does not suffice, instances
        with jobs lose their place.

        Args:
          worker: the worker.
          keep: an instance that must not be moved.
        """
        for instance in self._assignment.instances_on(worker.worker_id):
            if worker.reservable >= 0:
                return
            if instance is not keep and not instance.is_pinned:
                self._assignment.unassign(instance)
                if not self._assignment.place(instance):
                    self._unplaced[instance] = -1
        for instance in self._assignment.instances_on(worker.worker_id):
            if worker.reservable >= 0:
                return
            if instance is not keep:
                self._release_jobs(instance)
                self._assignment.unassign(instance)
                self._unplaced[instance] = -1

    def make_room(self, worker: Worker, count: int) -> bool:
        """Moves idle instances off a worker to make room for other work.

        Args:
          worker: the worker.
          count: accelerators that no cell may occupy.

        Returns:
          Whether there is room now. Every instance that had a place still
          has one either way.
        """
        worker.fixed += count
        self._fleet.reindex(worker)
        for instance in self._assignment.instances_on(worker.worker_id):
            if worker.reservable >= 0:
                break
            if not instance.is_pinned:
                self._move_elsewhere(instance)
        done = worker.reservable >= 0
        worker.fixed -= count
        self._fleet.reindex(worker)
        return done

    def _move_elsewhere(self, instance: ShapeInstance) -> None:
        previous = [cell.worker_id for cell in instance.cells]
        self._assignment.unassign(instance)
        if self._assignment.place(
            instance
        ) or self._assignment.place_by_moving_others(
            instance, self._instances.values()
        ):
            return
        for cell, worker_id in zip(instance.cells, previous, strict=True):
            if worker_id is not None:
                self._assignment.assign(instance, [cell], [worker_id])

    def move_to_cheapest(
        self,
        instance: ShapeInstance,
        cost: Callable[[Worker, int], float | None],
    ) -> None:
        """Moves an idle instance to where evictions cost least.

        Args:
          instance: an instance; nothing happens unless it is placed and
            idle.
          cost: returns the cost of the evictions that free a number of
            accelerators on a worker, None if it can't be done.
        """
        if instance.is_pinned or not instance.is_placed:
            return
        previous = list(instance.worker_ids)
        self._assignment.unassign(instance)
        index = self._assignment.pool_index(instance)
        assert index is not None
        size, count = instance.cells[0].size, len(instance.cells)
        own = self._fleet.get_or_add(previous[0]).info.rack
        racks = islice(
            index.racks_with_hosts(size, count), _MAX_RACK_CANDIDATES
        )
        best, best_cost = previous, float("inf")
        for rack in dict.fromkeys([own, *racks]):
            costs = {
                worker_id: found
                for worker_id in hosts_in_rack(index, rack, size, ())
                if (found := cost(self._fleet.get_or_add(worker_id), size))
                is not None
            }
            chosen = sorted(costs, key=lambda w: costs[w])[:count]
            total = sum(costs[worker_id] for worker_id in chosen)
            if len(chosen) == count and total < best_cost:
                best, best_cost = chosen, total
        self._assignment.assign(instance, instance.cells, best)

    def _release_jobs(self, instance: ShapeInstance) -> None:
        """Removes all jobs from an instance and notes them as displaced."""
        for cell in instance.cells:
            self.displaced_jobs.extend(cell.used_by_job)
            cell.used_by_job.clear()

    def _explain_unplaced(self, instance: ShapeInstance) -> str:
        shape = instance.shape
        index = self._assignment.pool_index(instance)
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


def _has_same_cells(one: GuaranteedShape, other: GuaranteedShape) -> bool:
    return (
        one.organisation == other.organisation
        and one.worker_pool == other.worker_pool
        and one.hosts == other.hosts
        and one.accelerators_per_host == other.accelerators_per_host
    )
