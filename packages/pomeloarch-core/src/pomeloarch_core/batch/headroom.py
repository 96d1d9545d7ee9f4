"""Sets workers of each rack aside for groups of priority 0.

Urgent gangs need whole workers on one rack within a second or two, and clearing
these takes as long as stopping the tasks on them. Other groups leave as large a
share of each rack unused as urgent groups have used recently.
"""

from __future__ import annotations

import math
from collections import defaultdict

from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.placing import group_by_rack
from pomeloarch_core.batch.ready import has_waited_long, is_starving
from pomeloarch_core.ids import ServiceName

# Time over which the use by urgent groups is averaged, in seconds; a few times
# the length of their tasks.
AVERAGING_TIME_S = 10.0
# Time between two observations of the use, in seconds.
OBSERVING_INTERVAL_S = 0.1
# Share in use below which more workers are idle than are ever set aside.
IDLE_SHARE = 0.5
# Limit on the share of a rack that is set aside for urgent groups.
MAX_HEADROOM_SHARE = 0.4


class UrgentHeadroom:
    """Decides which workers are set aside for urgent groups."""

    def __init__(self) -> None:
        """Sets no workers aside yet."""
        self._mean_share: dict[ServiceName, float] = {}
        self._observed_at: float | None = None

    def observe(self, fleet: Fleet, now: float) -> None:
        """Updates the average use by urgent groups."""
        if (
            self._observed_at is not None
            and now < self._observed_at + OBSERVING_INTERVAL_S
        ):
            return
        used: dict[ServiceName, int] = defaultdict(int)
        total: dict[ServiceName, int] = defaultdict(int)
        for worker in fleet:
            service = worker.info.service
            total[service] += worker.info.capacity.accelerators
            for group, count in worker.groups.items():
                if group.job.queue.priority == 0:
                    used[service] += group.step.need.accelerators * count
        elapsed_s = (
            0.0 if self._observed_at is None else now - self._observed_at
        )
        self._observed_at = now
        weight = 1 - math.exp(-elapsed_s / AVERAGING_TIME_S)
        for service, capacity in total.items():
            share = used[service] / capacity if capacity else 0.0
            mean = self._mean_share.get(service, 0.0)
            self._mean_share[service] = mean + weight * (share - mean)

    def set_aside(
        self, service: ServiceName, workers: list[Worker]
    ) -> set[Worker]:
        """Returns the workers that are kept for urgent groups.

        Args:
          service: the service.
          workers: its workers that may be given tasks.
        """
        share = min(MAX_HEADROOM_SHARE, self._mean_share.get(service, 0.0))
        found: set[Worker] = set()
        for rack in group_by_rack(workers).values():
            count = round(share * len(rack))
            if count:
                ordered = sorted(
                    rack, key=lambda each: (each.slow, each.worker_id)
                )
                found.update(ordered[:count])
        return found


def may_use_headroom(group: Group, in_use: float, now: float) -> bool:
    """Returns whether a group may use the workers that are set aside.

    A starving gang may: it needs several whole workers, and seldom finds them
    among those that small tasks share. So may other groups that have waited
    long while much of the fleet is idle. An urgent group that needs these
    workers preempts them.

    Args:
      group: the group to place.
      in_use: the share of the service's resources that is in use.
      now: the present time, in seconds.
    """
    if group.job.queue.priority == 0 or is_starving(group, now):
        return True
    return in_use < IDLE_SHARE and has_waited_long(group, now)
