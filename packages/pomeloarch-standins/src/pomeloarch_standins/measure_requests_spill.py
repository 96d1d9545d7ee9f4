"""Measures how a flooded zone's requests spill into the others.

Three ways to order the other zones are compared: the nearest by the
operators' table, coarse levels of measured distance with the least load
within a level (after "An Efficient Load Balancing Technology in CDN"), and
the product's measured round trip and loss.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Literal

from pomeloarch_core.ids import ZoneName
from pomeloarch_core.routing import ExecutorPool, ZoneCosts
from pomeloarch_standins.executor_bench import Bench, flow
from pomeloarch_standins.executor_nodes import ProductNode
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.measure_requests_times import percentile, times

_ZONES = ("patan", "bhaktapur", "boudha")
_ZONE_SLOTS = 8 * 8
_WORK_S = 0.1
_RUN_S = 4.0
_FLOODED_LOAD = 1.3
_OTHER_LOAD = 0.3
_LOSSY_ONE_WAY_S = 0.015
_LEVELS_S = (0.002, 0.010)
_TABLE = {"patan": 0, "bhaktapur": 1, "boudha": 2}


class NearestZones(ZoneCosts):
    """Orders zones by a fixed table of distances."""

    def ordered(self, zones: Iterable[ZoneName]) -> list[ZoneName]:
        """Returns the own zone, then the others as in the table."""
        return sorted(zones, key=lambda zone: (zone != self.own, _TABLE[zone]))


class LevelledZones(ZoneCosts):
    """Orders zones by coarse levels of distance, then by load."""

    pool: ExecutorPool | None = None

    def ordered(self, zones: Iterable[ZoneName]) -> list[ZoneName]:
        """Returns the own zone, then levels with the least load first."""
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


_WAYS: tuple[
    tuple[str, Literal["product", "naive"], Callable[[ZoneName], ZoneCosts]],
    ...,
] = (
    ("nearest zone", "naive", NearestZones),
    ("distance levels", "naive", LevelledZones),
    ("measured round trip", "product", ZoneCosts),
)


def spill_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields completion times of the flooded zone's callers."""
    for link in ("good links", "one lossy link"):
        for name, variant, make_costs in _WAYS:
            bench = Bench(seed, zones=_ZONES, make_costs=make_costs)
            if link == "one lossy link":
                _spoil_link(bench)
            for node in bench.nodes:
                if isinstance(node, ProductNode):
                    zones = node.router.pool.zones
                    if isinstance(zones, LevelledZones):
                        zones.pool = node.router.pool
            _offer(bench)
            bench.run(_RUN_S + 2.0)
            taken = times(
                bench.completions, lambda each: each.caller == "patan"
            )
            case = f"{link}, {name}"
            yield MeasureRow(
                "spill mean", case, variant, seed, sum(taken) / len(taken), "s"
            )
            yield MeasureRow(
                "spill p99", case, variant, seed, percentile(taken, 0.99), "s"
            )


def _spoil_link(bench: Bench) -> None:
    here, there = ZoneName("patan"), ZoneName("bhaktapur")
    bench.links.one_way_s[here, there] = _LOSSY_ONE_WAY_S
    bench.links.one_way_s[there, here] = _LOSSY_ONE_WAY_S


def _offer(bench: Bench) -> None:
    for index, zone in enumerate(_ZONES):
        load = _FLOODED_LOAD if zone == "patan" else _OTHER_LOAD
        bench.offer(
            flow("standard", "shrestha", zone),
            load * _ZONE_SLOTS / _WORK_S,
            _WORK_S,
            end=_RUN_S,
            nodes=(2 * index, 2 * index + 1),
        )
