"""Decisions as JSON lines on standard output, bounded and never blocking.

Each kind of event has a budget of lines. What is over it, or what a full pipe
doesn't take, is left out and counted; the count goes out with the next line
of that kind.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

import msgspec

from pomeloarch_node.metrics import Metrics

# Lines of one kind: a burst, and how many a second after it. A node decides
# some tens of times a second on a busy day; a flood of one kind is cut.
BURST_LINES = 100.0
LINES_PER_S = 20.0


class _Budget:
    """A token bucket for one kind of event."""

    def __init__(self, now: float) -> None:
        self.tokens = BURST_LINES
        self.at = now
        self.left_out = 0

    def take(self, now: float) -> bool:
        gained = (now - self.at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + gained)
        self.at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True


class DecisionLog:
    """Writes one JSON object a line.

    Args:
      node: the name of this node, in each line.
      metrics: counts each kind of event, written or not.
      fd: the descriptor to write to; it is made non-blocking.
      wall: the wall clock, in seconds.
    """

    def __init__(
        self,
        node: str,
        metrics: Metrics,
        fd: int = 1,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Makes the descriptor non-blocking."""
        self._node = node
        self._metrics = metrics
        self._fd = fd
        self._wall = wall
        self._budgets: dict[str, _Budget] = {}
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: object) -> None:
        """Writes what was decided, with what decided it.

        Args:
          event: what happened, in a few words that stay the same.
          fields: ids, inputs with their age or version, and the outcome.
        """
        now = self._wall()
        self._metrics.count("events_total", event=event)
        budget = self._budgets.setdefault(event, _Budget(now))
        if not budget.take(now):
            return
        line: dict[str, object] = {
            "time": round(now, 3),
            "node": self._node,
            "event": event,
        }
        line.update(fields)
        if budget.left_out:
            line["left_out"] = budget.left_out
        try:
            os.write(self._fd, self._encoder.encode(line) + b"\n")
        except OSError:
            # The reader is too slow or gone; the next line says so.
            budget.left_out += 1
            self._metrics.count("log_lines_dropped_total")
        else:
            budget.left_out = 0
