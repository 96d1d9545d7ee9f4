"""Guaranteed shapes as cells of adjacent accelerators."""

from __future__ import annotations

from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_core.objects.model import GuaranteedShape


class Cell:
    """One worker's part of a guaranteed shape.

    Attributes:
      worker_id: where it stands now.
      size: its accelerators.
      used: accelerators in it that each covered job holds.
    """

    def __init__(self, size: int) -> None:
        """Makes a cell that stands nowhere."""
        self.worker_id: WorkerId | None = None
        self.size = size
        self.used: dict[JobId, int] = {}

    @property
    def spare(self) -> int:
        """Accelerators in it that no covered job holds."""
        return self.size - sum(self.used.values())


class Instance:
    """One of the `count` shapes of a guaranteed shape.

    Attributes:
      shape: the object that it belongs to.
      number: which of the `count` it is.
      cells: its parts on workers of one rack.
    """

    def __init__(self, shape: GuaranteedShape, number: int) -> None:
        """Makes an instance that stands nowhere."""
        self.shape = shape
        self.number = number
        self.cells = [
            Cell(shape.accelerators_per_host) for _ in range(shape.hosts)
        ]
        self.reason = ""

    @property
    def name(self) -> str:
        """Its name in alerts."""
        return f"{self.shape.name}/{self.number}"

    @property
    def placed(self) -> bool:
        """Whether all its cells stand on workers."""
        return all(cell.worker_id is not None for cell in self.cells)

    @property
    def worker_ids(self) -> tuple[WorkerId, ...]:
        """The workers that it stands on, none while it is not placed."""
        workers = [cell.worker_id for cell in self.cells]
        found = tuple(w for w in workers if w is not None)
        return found if len(found) == len(workers) else ()

    @property
    def pinned(self) -> bool:
        """Whether a covered job holds some of it."""
        return any(cell.used for cell in self.cells)

    def slots(self, size: int) -> int:
        """Returns how many members of a size it could still take."""
        if not self.placed:
            return 0
        return sum(cell.spare // size for cell in self.cells)

    def cell_name(self, cell: Cell) -> str:
        """Returns the name by which a job's record refers to a cell."""
        return f"{self.name}/{self.cells.index(cell)}"
