"""Entry hosts and executors of one service in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping, Sequence

from pomeloarch_core.ids import (
    CallerName,
    JobClassName,
    OrganisationName,
    ZoneName,
)
from pomeloarch_core.routing import Flow, ZoneCosts
from pomeloarch_standins.executor_nodes import Completion, ProductNode, Work
from pomeloarch_standins.executor_timeline import (
    FakeExecutor,
    Links,
    Timeline,
    make_upstreams,
)
from pomeloarch_standins.naive_routing import NaiveNode

TICK_S = 0.25


class Bench:
    """Six entry hosts and the executors of one service in virtual time.

    Args:
      seed: the seed of all chance.
      product: whether the hosts decide as the product does.
      zones: the availability zones.
      executors_per_zone: executors in each zone.
      nodes_per_zone: entry hosts in each zone.
      weights: weights of the job classes.
      loss: the part of messages between zones that is sent again.
      make_costs: makes what knows the zones' costs, for the product.

    Attributes:
      completions: how the requests ended, in the order of their ends.
    """

    def __init__(
        self,
        seed: int,
        *,
        product: bool = True,
        zones: Sequence[str] = ("patan", "bhaktapur", "boudha"),
        executors_per_zone: int = 8,
        nodes_per_zone: int = 2,
        weights: Mapping[JobClassName, float] | None = None,
        loss: float = 0.01,
        make_costs: Callable[[ZoneName], ZoneCosts] = ZoneCosts,
    ) -> None:
        """Makes hosts and executors."""
        self._seed = seed
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.links = Links(self.timeline, self.rng, loss)
        self.completions: list[Completion] = []
        names = [ZoneName(zone) for zone in zones]
        self.executors = {
            upstream.executor_id: FakeExecutor(self.timeline, upstream)
            for upstream in make_upstreams(names, executors_per_zone)
        }
        places = [zone for zone in names for _ in range(nodes_per_zone)]
        slots = sum(each.upstream.slots for each in self.executors.values())
        self.nodes: list[ProductNode | NaiveNode] = []
        for zone in places:
            if product:
                self.nodes.append(
                    ProductNode(
                        self.timeline,
                        zone,
                        self.executors,
                        self.links,
                        weights or {},
                        self.completions.append,
                        random.Random(self.rng.random()),
                        make_costs,
                    )
                )
            else:
                self.nodes.append(
                    NaiveNode(
                        self.timeline,
                        zone,
                        self.executors,
                        self.links,
                        slots // len(places),
                        self.completions.append,
                    )
                )
        self._numbers = 0
        self.timeline.at(0.0, self._tick)

    def offer(
        self,
        flow: Flow,
        rate: float,
        work_s: float,
        start: float = 0.0,
        end: float = 10.0,
        deadline_s: float = 10.0,
        idempotent: bool = True,
        nodes: Sequence[int] | None = None,
    ) -> None:
        """Lets a caller send requests at random times.

        The times follow from the seed and the caller alone, so that they
        are the same with and without others.

        Args:
          flow: whose requests.
          rate: requests a second.
          work_s: mean slot time of a request, in seconds.
          start: when the first may arrive, in seconds.
          end: when the last may arrive, in seconds.
          deadline_s: how long the caller waits, in seconds.
          idempotent: whether they may be sent again after a doubt.
          nodes: the hosts that they arrive at, None for all.
        """
        chosen = list(range(len(self.nodes))) if nodes is None else list(nodes)
        rng = random.Random(f"{self._seed}/{flow}/{start}")
        time = start + rng.expovariate(rate)
        while time < end:
            self._numbers += 1
            work = Work(
                number=self._numbers,
                flow=flow,
                arrives=time,
                deadline=time + deadline_s,
                work_s=work_s * rng.uniform(0.5, 1.5),
                idempotent=idempotent,
            )
            node = self.nodes[rng.choice(chosen)]
            self.timeline.at(time, node.arrive, work)
            time += rng.expovariate(rate)

    def run(self, until: float) -> None:
        """Lets time pass, in seconds."""
        self.timeline.run(until)

    @property
    def offered(self) -> int:
        """How many requests callers send in all."""
        return self._numbers

    def runs(self) -> dict[int, int]:
        """Returns how often each request ran, over all executors."""
        totals: dict[int, int] = {}
        for executor in self.executors.values():
            for number, count in executor.runs.items():
                totals[number] = totals.get(number, 0) + count
        return totals

    def _tick(self) -> None:
        now = self.timeline.now
        nodes = [node for node in self.nodes if isinstance(node, ProductNode)]
        loads = {id(node): node.router.load() for node in nodes}
        told = {
            id(node): node.router.pool.leaving.own_observations(now)
            for node in nodes
        }
        for node in nodes:
            heard = [
                other
                for other in nodes
                if other is not node
                and not self.links.is_cut(node.zone, other.zone)
            ]
            node.tick(
                [loads[id(other)] for other in heard],
                [name for other in heard for name in told[id(other)]],
                0,
            )
        self.timeline.after(TICK_S, self._tick)


def flow(job_class: str, organisation: str, caller: str = "caller") -> Flow:
    """Returns the flow of a caller's requests of a class."""
    return Flow(
        JobClassName(job_class),
        OrganisationName(organisation),
        CallerName(caller),
    )
