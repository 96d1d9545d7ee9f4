"""All decisions for one service at one node, put together."""

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
    in_progress_elsewhere,
    short_hash,
)
from pomeloarch_core.routing.messages import Upstream
from pomeloarch_core.routing.retry_budget import RetryBudget
from pomeloarch_core.routing.sharing import NodeLoad, fair_share
from pomeloarch_core.routing.zones import ZoneCosts


class ServiceRouter:
    """Admission, choice and retry budget of one service.

    Args:
      name: the service's name.
      class_weights: weights of its job classes.
      organisation_weights: weights of the organisations.
      zones: measured costs of the zones.
      rng: the source of chance.
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
        self._others: tuple[NodeLoad, ...] = ()

    def replace_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Takes a newer list of the service's executors."""
        self.pool.replace(upstreams)
        self.refresh_share()

    def update_from_peers(
        self,
        loads: Sequence[ServiceLoad],
        leaving: Iterable[ExecutorId],
        now: float,
        silent_nodes: int = 0,
    ) -> None:
        """Takes in what the other live nodes tell.

        Args:
          loads: their loads of this service.
          leaving: executors that they know to be leaving.
          now: the present time in seconds of the clock.
          silent_nodes: live nodes that have told nothing yet.
        """
        self.pool.take_elsewhere(
            in_progress_elsewhere(loads, self.pool.states), now
        )
        self.pool.leaving.update_from_peers(leaving)
        self.pool.order_zones()
        self._others = (
            *(_node_load(load) for load in loads),
            *(NodeLoad(0.0, 0.0) for _ in range(silent_nodes)),
        )
        self.refresh_share()

    def refresh_share(self) -> None:
        """Works this node's part of the usable slots out anew."""
        own = NodeLoad(self.admission.in_progress, self.admission.waiting)
        share = fair_share(self.pool.slots(), own, self._others)
        self.admission.set_share(share)

    def eject_stalled(self, now: float) -> list[ExecutorId]:
        """Ejects executors that have work and answer none of it.

        Nothing is judged before an answer has shown what is usual.
        """
        longest_s = self.admission.longest_s()
        if longest_s == 0.0:
            return []
        return self.pool.eject_stalled(longest_s, now)

    def load(self) -> ServiceLoad:
        """Returns what this node tells the others."""
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
        """Returns the executor for a try, None if none may be given work."""
        return self.pool.choose(now, exclude)


def _node_load(load: ServiceLoad) -> NodeLoad:
    in_progress = sum(load.in_progress.values())
    return NodeLoad(in_progress, max(0, load.demand - in_progress))
