"""A simulation of the entry hosts and executors of one service."""

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

# Time between two exchanges of state among the hosts, in seconds.
TICK_S = 0.25


class RoutingBench:
    """Entry hosts and executors of one service in virtual time.

    Args:
      seed: the seed of all random numbers.
      product: whether the hosts use the product's routing instead of a naive
        one.
      zones: the availability zones.
      executors_per_zone: the number of executors in each zone.
      nodes_per_zone: the number of entry hosts in each zone.
      weights: the weights of the job classes.
      loss: the share of messages between zones that are retransmitted.
      make_costs: creates the product's table of zone costs for a zone.

    Attributes:
      completions: the outcomes of the requests, in the order of their ends.
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
        """Creates the hosts and executors."""
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
        node_zones = [zone for zone in names for _ in range(nodes_per_zone)]
        slots = sum(each.upstream.slots for each in self.executors.values())
        self.nodes: list[ProductNode | NaiveNode] = []
        for zone in node_zones:
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
                        slots // len(node_zones),
                        self.completions.append,
                    )
                )
        self._offered = 0
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
        """Adds a caller that sends requests at random times.

        The times depend only on the seed, the flow and the start, so that they
        are the same with and without other callers.

        Args:
          flow: the flow of the requests.
          rate: the mean number of requests a second.
          work_s: the mean slot time of a request, in seconds.
          start: the time from which requests arrive, in seconds.
          end: the time until which requests arrive, in seconds.
          deadline_s: how long the caller waits for a response, in seconds.
          idempotent: whether a request may be sent again when its outcome is
            unknown.
          nodes: the indices of the hosts that receive the requests, None for
            all.
        """
        chosen = list(range(len(self.nodes))) if nodes is None else list(nodes)
        rng = random.Random(f"{self._seed}/{flow}/{start}")
        time = start + rng.expovariate(rate)
        while time < end:
            self._offered += 1
            work = Work(
                number=self._offered,
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
        """Runs the simulation until a time, in seconds."""
        self.timeline.run(until)

    @property
    def offered(self) -> int:
        """The number of requests that all callers send."""
        return self._offered

    def runs(self) -> dict[int, int]:
        """Returns how often each request ran on all executors together."""
        totals: dict[int, int] = {}
        for executor in self.executors.values():
            for number, count in executor.runs.items():
                totals[number] = totals.get(number, 0) + count
        return totals

    def _tick(self) -> None:
        now = self.timeline.now
        nodes = [node for node in self.nodes if isinstance(node, ProductNode)]
        loads = {id(node): node.router.load() for node in nodes}
        observations = {
            id(node): node.router.pool.leaving.own_observations(now)
            for node in nodes
        }
        for node in nodes:
            reachable = [
                other
                for other in nodes
                if other is not node
                and not self.links.is_cut(node.zone, other.zone)
            ]
            node.tick(
                [loads[id(other)] for other in reachable],
                [
                    name
                    for other in reachable
                    for name in observations[id(other)]
                ],
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
