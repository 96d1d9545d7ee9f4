"""Keeps some workers of each rack clear for work of priority 0.

Urgent gangs need whole workers side by side within a second or two, and
clearing them takes as long as stopping what stands there. Other work leaves
as much of each rack alone as urgent work has used of late.
"""

from __future__ import annotations

import math
from collections import defaultdict

from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.placing import by_rack, find_places, whole_room
from pomeloarch_core.batch.ready import starves, waits_long
from pomeloarch_core.ids import ServiceName

# Time over which the use by urgent work is averaged, in seconds: some of
# its tasks' lengths.
AVERAGE_S = 10.0
# Below this share in use there is more idle than is ever spared.
IDLE_SHARE = 0.5
# Most of a rack that is left to urgent work.
MOST_SPARED = 0.4


class Sparing:
    """Decides which workers other than urgent work leaves alone."""

    def __init__(self) -> None:
        """Starts with nothing spared."""
        self._share: dict[ServiceName, float] = {}
        self._at: float | None = None

    def observe(self, fleet: Fleet, now: float) -> None:
        """Takes in what urgent work uses now."""
        used: dict[ServiceName, int] = defaultdict(int)
        total: dict[ServiceName, int] = defaultdict(int)
        for worker in fleet:
            service = worker.info.service
            total[service] += worker.info.capacity.accelerators
            for group, count in worker.groups.items():
                if group.job.queue.priority == 0:
                    used[service] += group.step.need.accelerators * count
        elapsed_s = 0.0 if self._at is None else now - self._at
        self._at = now
        weight = 1 - math.exp(-elapsed_s / AVERAGE_S)
        for service, all_ in total.items():
            share = used[service] / all_ if all_ else 0.0
            mean = self._share.get(service, 0.0)
            self._share[service] = mean + weight * (share - mean)

    def open_to(
        self, group: Group, workers: list[Worker], in_use: float, now: float
    ) -> list[Worker]:
        """Returns the workers that a group may use now.

        A gang that starves may use all: it needs several whole workers, and
        seldom finds them among those that small tasks share. So may others
        that wait while much is idle. Urgent work that needs the workers has
        them give way.

        Args:
          group: what is to be placed.
          workers: the workers that it could use otherwise.
          in_use: the share of the service's workers that is in use.
          now: the present time, in seconds.
        """
        idle = in_use < IDLE_SHARE
        if starves(group, now) or (idle and waits_long(group, now)):
            return workers
        if group.job.queue.priority == 0:
            return workers
        share = min(MOST_SPARED, self._share.get(group.job.queue.service, 0))
        left: list[Worker] = []
        for rack in by_rack(workers).values():
            ordered = sorted(rack, key=lambda each: (each.slow, each.worker_id))
            left += ordered[round(share * len(ordered)) :]
        if find_places(group, left, whole_room, False) is None:
            return workers
        return left
