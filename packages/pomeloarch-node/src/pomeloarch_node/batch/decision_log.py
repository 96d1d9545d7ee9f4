"""A log of decisions as JSON lines on standard output that never blocks.

Each kind of event has a budget of lines, which is larger for the kinds that
tell where each run of a task was. Lines over the budget, and lines that a full
pipe does not accept, are dropped and counted. The next line of that kind
reports the count.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

import msgspec

from pomeloarch_node.metrics import Metrics

# Budget of lines for one kind of event: the size of a burst, and the rate
# afterwards in lines per second. A node takes some tens of decisions per second
# on a busy day; only a flood of one kind is cut.
BURST_LINES = 100.0
LINES_PER_S = 20.0
# The same for each kind of event about the runs of tasks. A leader of a hundred
# workers starts some hundred tasks at once, and one missing line leaves it open
# why a task was free to be started again.
RUN_BURST_LINES = 1000.0
RUN_LINES_PER_S = 200.0
RUN_EVENTS = frozenset(
    {
        "former run ended",
        "group done",
        "group running",
        "group started",
        "group stopped",
        "run adopted",
        "start refused",
        "task released",
        "unaccounted run released",
        "unaccounted run stopped",
    }
)


class _LineBudget:
    """A token bucket that limits the lines of one kind of event."""

    def __init__(self, event: str, now: float) -> None:
        about_run = event in RUN_EVENTS
        self._burst = RUN_BURST_LINES if about_run else BURST_LINES
        self._per_s = RUN_LINES_PER_S if about_run else LINES_PER_S
        self.tokens = self._burst
        self.refilled_at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        gained = (now - self.refilled_at) * self._per_s
        self.tokens = min(self._burst, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class DecisionLog:
    """Writes each event as one JSON object on a line of its own.

    Args:
      node: the name of this node, which is part of each line.
      metrics: counts each kind of event, whether its line is written or not.
      fd: the file descriptor to write to, which is set to non-blocking.
      wall: returns wall-clock time, in seconds.
    """

    def __init__(
        self,
        node: str,
        metrics: Metrics,
        fd: int = 1,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Sets the file descriptor to non-blocking."""
        self._node = node
        self._metrics = metrics
        self._fd = fd
        self._wall = wall
        self._budgets: dict[str, _LineBudget] = {}
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        os.set_blocking(fd, False)

    def write(self, event: str, **fields: object) -> None:
        """Writes a decision together with the inputs that led to it.

        Args:
          event: a short constant text that names the event.
          fields: ids, inputs with their age or version, and the outcome.
        """
        now = self._wall()
        self._metrics.count("events_total", event=event)
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _LineBudget(event, now)
        if not budget.take(now):
            return
        line: dict[str, object] = {
            "time": round(now, 3),
            "node": self._node,
            "event": event,
        }
        line.update(fields)
        if budget.dropped:
            line["left_out"] = budget.dropped
        try:
            os.write(self._fd, self._encoder.encode(line) + b"\n")
        except OSError:
            # The reader is too slow or has gone; the next line reports the
            # loss.
            budget.dropped += 1
            self._metrics.count("log_lines_dropped_total")
        else:
            budget.dropped = 0
