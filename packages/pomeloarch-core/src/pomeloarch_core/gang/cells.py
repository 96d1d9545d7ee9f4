"""Guaranteed shapes as cells of adjacent accelerators."""

from __future__ import annotations

from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_core.objects.model import GuaranteedShape


class Cell:
    """One worker's part of a guaranteed shape.

    Attributes:
      worker_id: the worker that the cell is assigned to, if any.
      size: number of accelerators in the cell.
      used_by_job: accelerators of the cell that each covered job holds.
    """

    def __init__(self, size: int) -> None:
        """Creates a cell that is not assigned to a worker."""
        self.worker_id: WorkerId | None = None
        self.size = size
        self.used_by_job: dict[JobId, int] = {}

    @property
    def spare(self) -> int:
        """Accelerators of the cell that no covered job holds."""
        return self.size - sum(self.used_by_job.values())


class ShapeInstance:
    """One of the `count` instances of a guaranteed shape.

    Attributes:
      shape: the configured shape.
      number: index of the instance, below the shape's `count`.
      cells: the instance's parts, each on its own worker of one rack.
      unplaced_reason: why the instance has no place, for operators.
    """

    def __init__(self, shape: GuaranteedShape, number: int) -> None:
        """Creates an instance that is not placed."""
        self.shape = shape
        self.number = number
        self.cells = [
            Cell(shape.accelerators_per_host) for _ in range(shape.hosts)
        ]
        self.unplaced_reason = ""

    @property
    def name(self) -> str:
        """The instance's name in alerts."""
        return f"{self.shape.name}/{self.number}"

    @property
    def is_placed(self) -> bool:
        """Whether all cells are assigned to workers."""
        return all(cell.worker_id is not None for cell in self.cells)

    @property
    def worker_ids(self) -> tuple[WorkerId, ...]:
        """The workers of the cells; empty while the instance is not placed."""
        workers = [cell.worker_id for cell in self.cells]
        found = tuple(w for w in workers if w is not None)
        return found if len(found) == len(workers) else ()

    @property
    def is_pinned(self) -> bool:
        """Whether a covered job holds accelerators of the instance."""
        return any(cell.used_by_job for cell in self.cells)

    def spare_slots(self, size: int) -> int:
        """Returns how many more members of a size fit into the cells."""
        if not self.is_placed:
            return 0
        return sum(cell.spare // size for cell in self.cells)

    def cell_name(self, cell: Cell) -> str:
        """Returns the name by which a job's record refers to a cell."""
        return f"{self.name}/{self.cells.index(cell)}"
