"""Availability zones in the order in which requests use them.

The node's own zone comes first, the others follow by cost. The cost of a zone
is the measured round trip to it plus a penalty for connections that fail.
Another zone is used only while some of its slots stay free, so that the entry
hosts of that zone still find slots there.
"""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.ids import ZoneName
from pomeloarch_core.routing.latency import DecayingMean

_HALF_LIFE_S = 10.0
# Cost that is added if all connections to a zone fail, in seconds.
_LOSS_PENALTY_S = 0.25
_DEFAULT_ROUND_TRIP_S = 0.005


class ZoneCosts:
    """Measured costs of the availability zones as seen from this node.

    Args:
      own: this node's availability zone.
    """

    def __init__(self, own: ZoneName) -> None:
        """Starts without measurements."""
        self.own = own
        self._round_trip: dict[ZoneName, DecayingMean] = {}
        self._loss: dict[ZoneName, DecayingMean] = {}

    def record_round_trip(
        self, zone: ZoneName, seconds: float, now: float
    ) -> None:
        """Records a round trip in seconds, which also counts as no loss."""
        mean = self._round_trip.setdefault(zone, DecayingMean(_HALF_LIFE_S))
        mean.add(seconds, now)
        self.record_loss(zone, lost=False, now=now)

    def record_loss(self, zone: ZoneName, *, lost: bool, now: float) -> None:
        """Records whether a connection to a zone failed."""
        mean = self._loss.setdefault(zone, DecayingMean(_HALF_LIFE_S))
        mean.add(1.0 if lost else 0.0, now)

    def cost_s(self, zone: ZoneName) -> float:
        """Returns the cost of a zone in seconds; this node's zone costs 0."""
        if zone == self.own:
            return 0.0
        round_trip = self._round_trip.get(zone)
        loss = self._loss.get(zone)
        return (
            round_trip.value
            if round_trip is not None
            else _DEFAULT_ROUND_TRIP_S
        ) + (_LOSS_PENALTY_S * loss.value if loss is not None else 0.0)

    def sorted_by_cost(self, zones: Iterable[ZoneName]) -> list[ZoneName]:
        """Returns this node's zone first, then the others by cost."""
        return sorted(
            zones, key=lambda zone: (zone != self.own, self.cost_s(zone), zone)
        )
