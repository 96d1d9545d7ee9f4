"""Measures how the requests of a flooded zone spill over into other zones.

Three orders of the other zones are compared: the nearest zone by a static
table, coarse levels of measured distance with the least load first within a
level (after "An Efficient Load Balancing Technology in CDN"), and the product's
measured round trips and losses.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Literal

from pomeloarch_core.ids import ZoneName
from pomeloarch_core.routing import ExecutorPool, ZoneCosts
from pomeloarch_standins.executor_bench import RoutingBench, flow
from pomeloarch_standins.executor_nodes import ProductNode
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.measure_requests_times import (
    completion_times,
    percentile,
)

_ZONES = ("patan", "bhaktapur", "boudha")
_ZONE_SLOTS = 8 * 8
_WORK_S = 0.1
_RUN_S = 4.0
_FLOODED_LOAD = 1.3
_OTHER_LOAD = 0.3
# One-way delay that simulates the lossy link, in seconds.
_LOSSY_ONE_WAY_S = 0.015
# Bounds between the levels of distance, as costs of a zone in seconds.
_LEVELS_S = (0.002, 0.010)
# Distance rank of each zone.
_DISTANCE_RANKS = {"patan": 0, "bhaktapur": 1, "boudha": 2}


class StaticZoneOrder(ZoneCosts):
    """Orders zones by a static table of distances."""

    def sorted_by_cost(self, zones: Iterable[ZoneName]) -> list[ZoneName]:
        """Returns the own zone, then the others in the order of the table."""
        return sorted(
            zones, key=lambda zone: (zone != self.own, _DISTANCE_RANKS[zone])
        )


class LevelledZoneOrder(ZoneCosts):
    """Orders zones by coarse levels of distance, then by load."""

    pool: ExecutorPool | None = None

    def sorted_by_cost(self, zones: Iterable[ZoneName]) -> list[ZoneName]:
        """Returns the own zone, then the others by level and load."""
        return sorted(
            zones,
            key=lambda zone: (
                zone != self.own,
                sum(self.cost_s(zone) > level for level in _LEVELS_S),
                self._load(zone),
            ),
        )

    def _load(self, zone: ZoneName) -> float:
        if self.pool is None:
            return 0.0
        return sum(
            state.load()
            for state in self.pool.states.values()
            if state.upstream.availability_zone == zone
        )


_ZONE_ORDERS: tuple[
    tuple[str, Literal["product", "naive"], Callable[[ZoneName], ZoneCosts]],
    ...,
] = (
    ("nearest zone", "naive", StaticZoneOrder),
    ("distance levels", "naive", LevelledZoneOrder),
    ("measured round trip", "product", ZoneCosts),
)


def spill_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields completion times of the flooded zone's callers."""
    for link in ("good links", "one lossy link"):
        for name, variant, make_costs in _ZONE_ORDERS:
            bench = RoutingBench(seed, zones=_ZONES, make_costs=make_costs)
            if link == "one lossy link":
                _slow_link(bench)
            for node in bench.nodes:
                if isinstance(node, ProductNode):
                    zones = node.router.pool.zones
                    if isinstance(zones, LevelledZoneOrder):
                        zones.pool = node.router.pool
            _offer(bench)
            bench.run(_RUN_S + 2.0)
            taken = completion_times(
                bench.completions, lambda each: each.caller == "patan"
            )
            case = f"{link}, {name}"
            yield MeasureRow(
                "spill mean", case, variant, seed, sum(taken) / len(taken), "s"
            )
            yield MeasureRow(
                "spill p99", case, variant, seed, percentile(taken, 0.99), "s"
            )


def _slow_link(bench: RoutingBench) -> None:
    source, target = ZoneName("patan"), ZoneName("bhaktapur")
    bench.links.one_way_s[source, target] = _LOSSY_ONE_WAY_S
    bench.links.one_way_s[target, source] = _LOSSY_ONE_WAY_S


def _offer(bench: RoutingBench) -> None:
    for index, zone in enumerate(_ZONES):
        load = _FLOODED_LOAD if zone == "patan" else _OTHER_LOAD
        bench.offer(
            flow("standard", "shrestha", zone),
            load * _ZONE_SLOTS / _WORK_S,
            _WORK_S,
            end=_RUN_S,
            nodes=(2 * index, 2 * index + 1),
        )
