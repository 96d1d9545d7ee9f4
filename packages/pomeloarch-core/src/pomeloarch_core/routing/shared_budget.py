"""A budget that services share, with a floor for each of them."""

from __future__ import annotations

from collections.abc import Mapping

from pomeloarch_core.ids import ServiceName


class SharedBudget:
    """Divides a whole, such as bytes or requests, among services.

    A service may always take its floor. Above it, it takes from what is left
    once the unused floors of the others are set aside.

    Args:
      whole: what there is to divide.

    >>> budget = SharedBudget(100)
    >>> budget.set_floors({"a": 0.2, "b": 0.0})
    >>> budget.try_take("b", 90), budget.try_take("b", 80)
    (False, True)
    >>> budget.try_take("a", 20), budget.try_take("b", 1)
    (True, False)
    """

    def __init__(self, whole: int) -> None:
        """Starts with nothing taken and no floors."""
        self._whole = whole
        self._taken: dict[ServiceName, int] = {}
        self._total = 0
        self._floors: dict[ServiceName, int] = {}
        self._unreserved = whole

    @property
    def taken(self) -> int:
        """What all services have taken."""
        return self._total

    def set_floors(self, shares: Mapping[ServiceName, float]) -> None:
        """Sets the services' floors, as shares of the whole."""
        self._floors = {
            service: int(share * self._whole)
            for service, share in shares.items()
        }
        self._unreserved = self._whole - sum(self._floors.values())

    def try_take(self, service: ServiceName, amount: int) -> bool:
        """Takes an amount for a service, if that leaves others theirs."""
        own = self._taken.get(service, 0)
        if self._total + amount > self._whole:
            return False
        above_floor = own + amount > self._floors.get(service, 0)
        if above_floor and self._total + amount > self._unreserved:
            reserved = sum(
                max(0, floor - self._taken.get(other, 0))
                for other, floor in self._floors.items()
                if other != service
            )
            if self._total + amount + reserved > self._whole:
                return False
        self._taken[service] = own + amount
        self._total += amount
        return True

    def give_back(self, service: ServiceName, amount: int) -> None:
        """Returns an amount that was taken."""
        self._taken[service] = self._taken.get(service, 0) - amount
        self._total -= amount
