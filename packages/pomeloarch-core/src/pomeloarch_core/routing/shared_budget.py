"""A capacity that services share, with a guaranteed floor for each."""

from __future__ import annotations

from collections.abc import Mapping

from pomeloarch_core.ids import ServiceName


class SharedBudget:
    """Divides a capacity, such as bytes or requests, among services.

    A service can always take up to its floor. Above the floor it can take what
    remains after the unused floors of the other services are reserved.

    Args:
      capacity: the total amount to divide.

    >>> budget = SharedBudget(100)
    >>> budget.set_floors({"a": 0.2, "b": 0.0})
    >>> budget.try_take("b", 90), budget.try_take("b", 80)
    (False, True)
    >>> budget.try_take("a", 20), budget.try_take("b", 1)
    (True, False)
    """

    def __init__(self, capacity: int) -> None:
        """Starts with nothing taken and no floors."""
        self._capacity = capacity
        self._taken: dict[ServiceName, int] = {}
        self._total = 0
        self._floors: dict[ServiceName, int] = {}
        self._unreserved = capacity

    @property
    def taken(self) -> int:
        """The amount taken by all services together."""
        return self._total

    def set_floors(self, shares: Mapping[ServiceName, float]) -> None:
        """Sets the floors of services, as shares of the capacity."""
        self._floors = {
            service: int(share * self._capacity)
            for service, share in shares.items()
        }
        self._unreserved = self._capacity - sum(self._floors.values())

    def try_take(self, service: ServiceName, amount: int) -> bool:
        """Takes an amount if the floors of the other services allow it.

        Args:
          service: the service.
          amount: the amount to take.

        Returns:
          Whether the amount was taken. It is not if the capacity or the
          reserved floors of the other services would be exceeded.
        """
        own = self._taken.get(service, 0)
        if self._total + amount > self._capacity:
            return False
        above_floor = own + amount > self._floors.get(service, 0)
        if above_floor and self._total + amount > self._unreserved:
            reserved = sum(
                max(0, floor - self._taken.get(other, 0))
                for other, floor in self._floors.items()
                if other != service
            )
            if self._total + amount + reserved > self._capacity:
                return False
        self._taken[service] = own + amount
        self._total += amount
        return True

    def give_back(self, service: ServiceName, amount: int) -> None:
        """Returns an amount that a service has taken."""
        self._taken[service] = self._taken.get(service, 0) - amount
        self._total -= amount
