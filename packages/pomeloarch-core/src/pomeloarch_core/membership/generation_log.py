"""The latest steps between generations, to send to those behind."""

from __future__ import annotations

from collections import OrderedDict

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta

_MAX_DELTAS = 256


class GenerationLog:
    """Keeps the latest deltas by the generation that they start from."""

    def __init__(self) -> None:
        """Starts with none."""
        self._deltas: OrderedDict[Generation, Delta] = OrderedDict()

    def add(self, step: Delta) -> None:
        """Keeps a delta; the oldest goes when there are too many."""
        if step.base in self._deltas:
            return
        self._deltas[step.base] = step
        if len(self._deltas) > _MAX_DELTAS:
            self._deltas.popitem(last=False)

    def chain(
        self, base: Generation, upto: Generation
    ) -> tuple[Delta, ...] | None:
        """Returns the deltas from one generation to another, if known."""
        steps = []
        while base < upto:
            step = self._deltas.get(base)
            if step is None:
                return None
            steps.append(step)
            base = step.generation
        return tuple(steps) if base == upto else None
