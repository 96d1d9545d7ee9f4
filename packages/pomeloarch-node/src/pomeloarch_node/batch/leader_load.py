"""How busy the leading scheduler's process is, for the log and the metrics.

A leader that falls behind shows it in many ways that look like something else:
leases run out, healthy workers seem silent, the role is lost. One line every
few seconds tells what it did with its time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.metrics import Metrics

# Time between two lines of the log, in seconds.
REPORT_INTERVAL_S = 2.0
# Time between two measurements of the event loop's lag, in seconds.
LAG_INTERVAL_S = 0.05
# A renewal of a worker's lease that is sent this much later than it was due, in
# seconds, counts as late: leases last for several seconds.
LATE_RENEWAL_S = 0.5


class LeaderLoad:
    """Collects what a term's leader spends its time on.

    Args:
      clock: returns monotonic time, in seconds.
      cpu_clock: returns the processor time of the process, in seconds.
      log: receives a line every `REPORT_INTERVAL_S`.
      metrics: receives the same as gauges and histograms.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        log: DecisionLog,
        metrics: Metrics,
        cpu_clock: Callable[[], float] = time.process_time,
    ) -> None:
        """Starts with nothing measured."""
        self._clock = clock
        self._cpu_clock = cpu_clock
        self._log = log
        self._metrics = metrics
        self._began = clock()
        self._cpu_began = cpu_clock()
        self._reset()

    def _reset(self) -> None:
        self._worst_lag_s = 0.0
        self._lag_s = 0.0
        self._lag_count = 0
        self._rounds = 0
        self._placing_s = 0.0
        self._slowest_round_s = 0.0
        self._longest_wait_s = 0.0
        self._events = 0
        self._orders = 0
        self._renewals = 0
        self._late_renewals = 0

    def record_event(self) -> None:
        """Records an event for the scheduler."""
        self._events += 1

    def record_orders(self, count: int) -> None:
        """Records orders to workers."""
        self._orders += count

    def record_round(self, waited_s: float, took_s: float) -> None:
        """Records a round of placing.

        Args:
          waited_s: how long its oldest event had waited for it, in seconds.
          took_s: how long it took, in seconds.
        """
        self._rounds += 1
        self._placing_s += took_s
        self._slowest_round_s = max(self._slowest_round_s, took_s)
        self._longest_wait_s = max(self._longest_wait_s, waited_s)
        self._metrics.observe("batch_placing_round", took_s)

    def record_renewal(self, late_s: float) -> None:
        """Records that a worker's lease is renewed, later than it was due."""
        self._renewals += 1
        self._late_renewals += late_s > LATE_RENEWAL_S

    async def run(self) -> None:
        """Measures the lag of the event loop and reports until cancelled."""
        while True:
            due = self._clock() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            now = self._clock()
            self.record_lag(max(0.0, now - due))
            if now >= self._began + REPORT_INTERVAL_S:
                self.report(now)

    def record_lag(self, lag_s: float) -> None:
        """Records how late the event loop ran a task, in seconds."""
        self._worst_lag_s = max(self._worst_lag_s, lag_s)
        self._lag_s += lag_s
        self._lag_count += 1
        self._metrics.observe("batch_leader_loop_lag", lag_s)

    def report(self, now: float) -> None:
        """Writes a line about the time since the last one."""
        elapsed_s = max(now - self._began, LAG_INTERVAL_S)
        cpu_now = self._cpu_clock()
        cpu_share = (cpu_now - self._cpu_began) / elapsed_s
        self._metrics.set("batch_leader_cpu_share", cpu_share)
        self._log.write(
            "leader load",
            over_s=round(elapsed_s, 2),
            cpu_share=round(cpu_share, 3),
            lag_worst_s=round(self._worst_lag_s, 3),
            lag_mean_s=round(self._lag_s / max(self._lag_count, 1), 4),
            rounds=self._rounds,
            placing_share=round(self._placing_s / elapsed_s, 3),
            round_worst_s=round(self._slowest_round_s, 3),
            event_waited_worst_s=round(self._longest_wait_s, 3),
            events=self._events,
            orders=self._orders,
            renewals=self._renewals,
            renewals_late=self._late_renewals,
        )
        self._began, self._cpu_began = now, cpu_now
        self._reset()
