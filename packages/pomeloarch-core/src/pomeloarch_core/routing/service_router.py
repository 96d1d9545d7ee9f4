"""All decisions of one node about the requests of one service."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping, Sequence

from pomeloarch_core.ids import (
    ExecutorId,
    JobClassName,
    OrganisationName,
    ServiceName,
)
from pomeloarch_core.routing.admission import ServiceAdmission
from pomeloarch_core.routing.choice import ExecutorPool, ExecutorState
from pomeloarch_core.routing.load_digest import (
    ServiceLoad,
    short_hash,
    sum_in_progress,
)
from pomeloarch_core.routing.messages import Upstream
from pomeloarch_core.routing.retry_budget import RetryBudget
from pomeloarch_core.routing.sharing import NodeLoad, fair_share
from pomeloarch_core.routing.zones import ZoneCosts


class ServiceRouter:
    """Admission, executor choice and retry budget of one service.

    Args:
      name: the service's name.
      class_weights: weights of its job classes.
      organisation_weights: weights of the organisations.
      zones: measured costs of the zones.
      rng: the random number generator for all decisions.
    """

    def __init__(
        self,
        name: ServiceName,
        class_weights: Mapping[JobClassName, float],
        organisation_weights: Mapping[OrganisationName, float],
        zones: ZoneCosts,
        rng: random.Random,
    ) -> None:
        """Starts without executors."""
        self.name = name
        self.pool = ExecutorPool(zones, rng)
        self.budget = RetryBudget()
        self.admission = ServiceAdmission(
            1.0, class_weights, organisation_weights, rng
        )
        self._peer_loads: tuple[NodeLoad, ...] = ()

    def replace_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replaces the list of the service's executors."""
        self.pool.replace(upstreams)
        self.refresh_share()

    def update_from_peers(
        self,
        loads: Sequence[ServiceLoad],
        leaving: Iterable[ExecutorId],
        now: float,
        unreported_nodes: int = 0,
    ) -> None:
        """Updates the state that the other live nodes report.

        Args:
          loads: their loads of this service.
          leaving: executors that they know to be leaving.
          now: the current time in seconds of the monotonic clock.
          unreported_nodes: number of live nodes that have not reported yet.
        """
        self.pool.update_peer_load(
            sum_in_progress(loads, self.pool.states), now
        )
        self.pool.leaving.update_from_peers(leaving)
        self.pool.sort_zones()
        self._peer_loads = (
            *(_node_load(load) for load in loads),
            *(NodeLoad(0.0, 0.0) for _ in range(unreported_nodes)),
        )
        self.refresh_share()

    def refresh_share(self) -> None:
        """Recomputes this node's share of the usable slots."""
        own = NodeLoad(self.admission.in_progress, self.admission.waiting)
        share = fair_share(self.pool.slots(), own, self._peer_loads)
        self.admission.set_share(share)

    def eject_stalled(self, now: float) -> list[ExecutorId]:
        """Ejects executors that have work but don't answer any of it.

        No executor is ejected before a first answer has set a baseline latency.

        Returns:
          The executors that were ejected.
        """
        slowest_baseline_s = self.admission.slowest_baseline_s()
        if slowest_baseline_s == 0.0:
            return []
        return self.pool.eject_stalled(slowest_baseline_s, now)

    def load(self) -> ServiceLoad:
        """Returns this node's load for its digest."""
        return ServiceLoad(
            demand=self.admission.demand,
            in_progress={
                short_hash(executor_id): state.in_progress
                for executor_id, state in self.pool.states.items()
                if state.in_progress
            },
        )

    def choose(
        self, now: float, exclude: Collection[ExecutorId] = ()
    ) -> ExecutorState | None:
        """Returns the executor for an attempt, None if none is available."""
        return self.pool.choose(now, exclude)


def _node_load(load: ServiceLoad) -> NodeLoad:
    in_progress = sum(load.in_progress.values())
    return NodeLoad(in_progress, max(0, load.demand - in_progress))
