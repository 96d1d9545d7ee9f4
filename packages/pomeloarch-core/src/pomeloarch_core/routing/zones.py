"""Which availability zone a request goes to: the own one first, then cost.

The cost of another zone is its measured round trip, made longer by the
tries that its lossy link breaks. Another zone is used only up to a headroom,
so that its own entry hosts find slots there.
"""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.ids import ZoneName
from pomeloarch_core.routing.latency import DecayingMean

_HALF_LIFE_S = 10.0
_LOSS_PENALTY_S = 0.25
_UNMEASURED_S = 0.005


class ZoneCosts:
    """Measured cost of each availability zone as seen from this node.

    Args:
      own: this node's availability zone.
    """

    def __init__(self, own: ZoneName) -> None:
        """Starts with nothing measured."""
        self.own = own
        self._round_trip: dict[ZoneName, DecayingMean] = {}
        self._loss: dict[ZoneName, DecayingMean] = {}

    def record_round_trip(
        self, zone: ZoneName, seconds: float, now: float
    ) -> None:
        """Takes a measured round trip in, in seconds."""
        mean = self._round_trip.setdefault(zone, DecayingMean(_HALF_LIFE_S))
        mean.add(seconds, now)
        self.record_loss(zone, lost=False, now=now)

    def record_loss(self, zone: ZoneName, *, lost: bool, now: float) -> None:
        """Takes in whether a connection to a zone was made or not."""
        mean = self._loss.setdefault(zone, DecayingMean(_HALF_LIFE_S))
        mean.add(1.0 if lost else 0.0, now)

    def cost_s(self, zone: ZoneName) -> float:
        """Returns a zone's cost in seconds; the own zone costs nothing."""
        if zone == self.own:
            return 0.0
        trip = self._round_trip.get(zone)
        loss = self._loss.get(zone)
        return (trip.value if trip is not None else _UNMEASURED_S) + (
            _LOSS_PENALTY_S * loss.value if loss is not None else 0.0
        )

    def ordered(self, zones: Iterable[ZoneName]) -> list[ZoneName]:
        """Returns zones by their cost, the own one first."""
        return sorted(
            zones, key=lambda zone: (zone != self.own, self.cost_s(zone), zone)
        )
