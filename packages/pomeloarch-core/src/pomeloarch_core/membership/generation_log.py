"""The latest deltas between generations, kept for nodes that are behind."""

from __future__ import annotations

from collections import OrderedDict

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta

_MAX_DELTAS = 256


class GenerationLog:
    """Keeps the latest deltas by the generation at which they start."""

    def __init__(self) -> None:
        """Starts without deltas."""
        self._deltas: OrderedDict[Generation, Delta] = OrderedDict()

    def add(self, step: Delta) -> None:
        """Adds a delta and drops the oldest one when there are too many."""
        if step.base in self._deltas:
            return
        self._deltas[step.base] = step
        if len(self._deltas) > _MAX_DELTAS:
            self._deltas.popitem(last=False)

    def chain(
        self, base: Generation, target: Generation
    ) -> tuple[Delta, ...] | None:
        """Returns the deltas between two generations, None if incomplete."""
        steps = []
        while base < target:
            step = self._deltas.get(base)
            if step is None:
                return None
            steps.append(step)
            base = step.generation
        return tuple(steps) if base == target else None
