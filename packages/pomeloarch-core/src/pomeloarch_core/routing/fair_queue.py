"""A fair queue over job class, organisation and caller.

Start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) at each of the
three levels: every child has a start tag that grows with the slot time it
was given, divided by its weight, and the backlogged child with the lowest
tag goes next. A child that comes back from idleness starts at its parent's
virtual time, so idle share is lent to the others and taken back at once, and
nobody saves credit up. Identities below one organisation share its part.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping

from pomeloarch_core.ids import JobClassName, OrganisationName
from pomeloarch_core.routing.messages import Flow, Ticket

_IDLE_KEPT = 1024


class _Child:
    """A class, organisation or caller: a weight, a tag and what it holds."""

    __slots__ = (
        "active_weight",
        "backlog_s",
        "children",
        "count",
        "entry",
        "heap",
        "tag",
        "tickets",
        "virtual_time",
        "weight",
    )

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.tag = 0.0
        self.count = 0
        self.backlog_s = 0.0
        self.entry = -1
        self.virtual_time = 0.0
        self.active_weight = 0.0
        self.children: dict[str, _Child] = {}
        self.heap: list[tuple[float, int, _Child]] = []
        self.tickets: OrderedDict[Ticket, None] = OrderedDict()


class FairQueue:
    """Tickets waiting for a slot, in the order of fair shares.

    Args:
      class_weights: weights of the job classes; absent ones have 1.
      organisation_weights: weights of organisations; absent ones have 1.
    """

    def __init__(
        self,
        class_weights: Mapping[JobClassName, float],
        organisation_weights: Mapping[OrganisationName, float],
    ) -> None:
        """Starts without tickets."""
        self._class_weights = class_weights
        self._organisation_weights = organisation_weights
        self._entries = itertools.count()
        self._root = _Child(1.0)

    def __len__(self) -> int:
        """Returns how many tickets wait."""
        return self._root.count

    @property
    def backlog_s(self) -> float:
        """Slot time that all waiting tickets will take, in seconds."""
        return self._root.backlog_s

    def remembered(self) -> int:
        """Returns how many callers are remembered, waiting or idle."""
        return sum(
            len(organisation.children)
            for job_class in self._root.children.values()
            for organisation in job_class.children.values()
        )

    def tickets(self) -> Iterator[Ticket]:
        """Yields all waiting tickets, in no particular order."""
        for job_class in self._root.children.values():
            for organisation in job_class.children.values():
                for caller in organisation.children.values():
                    yield from caller.tickets

    def push(self, ticket: Ticket) -> None:
        """Lets a ticket wait; its `cost` has to be set."""
        path = self._path(ticket.flow)
        path[-1].tickets[ticket] = None
        for parent, child in itertools.pairwise(path):
            if child.count == 0:
                child.tag = max(child.tag, parent.virtual_time)
                parent.active_weight += child.weight
                self._enter(parent, child)
        for child in path:
            child.count += 1
            child.backlog_s += ticket.cost

    def pop(self) -> Ticket | None:
        """Takes the ticket out that goes next, and charges its flow."""
        if self._root.count == 0:
            return None
        path = [self._root]
        while path[-1].children:
            path.append(self._lowest(path[-1]))
        ticket, _ = path[-1].tickets.popitem(last=False)
        for parent, child in itertools.pairwise(path):
            parent.virtual_time = max(parent.virtual_time, child.tag)
            child.tag += ticket.cost / child.weight
        self._leave(path, ticket)
        for parent, child in itertools.pairwise(path):
            if child.count:
                self._enter(parent, child)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Takes a ticket out without charging it; False if it isn't here."""
        path = self._known_path(ticket.flow)
        if path is None or ticket not in path[-1].tickets:
            return False
        del path[-1].tickets[ticket]
        self._leave(path, ticket)
        return True

    def correct(self, ticket: Ticket, taken_s: float) -> None:
        """Charges what a request really took in place of its estimate.

        Args:
          ticket: a ticket that was popped.
          taken_s: slot time that it took, in seconds.
        """
        path = self._known_path(ticket.flow)
        if path is None or taken_s == ticket.cost:
            return
        for parent, child in itertools.pairwise(path):
            corrected = child.tag + (taken_s - ticket.cost) / child.weight
            # No credit beyond the present: it would hold newcomers back.
            least = min(child.tag, parent.virtual_time)
            child.tag = max(corrected, least)
            if child.count:
                self._enter(parent, child)

    def wait_s(self, flow: Flow, cost: float, slots: float) -> float:
        """Estimates how long a new ticket of a flow would wait.

        The flow is served at its share of the slots, as long as those who
        are backlogged now stay so. A flow that has nothing waiting waits for
        one round of the others at most, or for all that waits beside it.

        Args:
          flow: whose ticket it would be.
          cost: slot time that the ticket takes, in seconds.
          slots: requests that run at once.

        Returns:
          The time, in seconds.
        """
        rate = max(slots, 1e-9)
        parent: _Child | None = self._root
        beside = float("inf")
        backlog = 0.0
        for key, weight in zip(flow, self._weights(flow), strict=True):
            child = parent.children.get(key) if parent is not None else None
            if child is not None and child.count == 0:
                child = None
            if parent is not None:
                if child is None:
                    beside = parent.backlog_s / rate
                active = parent.active_weight + (0.0 if child else weight)
                rate *= weight / active
            backlog = child.backlog_s if child is not None else 0.0
            parent = child
        return min(beside, (backlog + cost) / rate)

    def _weights(self, flow: Flow) -> tuple[float, float, float]:
        return (
            self._class_weights.get(flow.job_class, 1.0),
            self._organisation_weights.get(flow.organisation, 1.0),
            1.0,
        )

    def _path(self, flow: Flow) -> list[_Child]:
        path = [self._root]
        for key, weight in zip(flow, self._weights(flow), strict=True):
            parent = path[-1]
            child = parent.children.get(key)
            if child is None:
                _forget_idle(parent)
                child = parent.children[key] = _Child(weight)
            path.append(child)
        return path

    def _known_path(self, flow: Flow) -> list[_Child] | None:
        path = [self._root]
        for key in flow:
            child = path[-1].children.get(key)
            if child is None:
                return None
            path.append(child)
        return path

    def _enter(self, parent: _Child, child: _Child) -> None:
        child.entry = next(self._entries)
        heapq.heappush(parent.heap, (child.tag, child.entry, child))
        if len(parent.heap) > 2 * len(parent.children) + _IDLE_KEPT:
            parent.heap = [
                entry for entry in parent.heap if entry[1] == entry[2].entry
            ]
            heapq.heapify(parent.heap)

    def _lowest(self, parent: _Child) -> _Child:
        while True:
            _, entry, child = parent.heap[0]
            if entry == child.entry and child.count:
                return child
            heapq.heappop(parent.heap)

    def _leave(self, path: list[_Child], ticket: Ticket) -> None:
        for child in path:
            child.count -= 1
            child.backlog_s = max(0.0, child.backlog_s - ticket.cost)
            if child.count == 0:
                child.backlog_s = 0.0
        for parent, child in itertools.pairwise(path):
            if child.count:
                continue
            child.entry = -1
            parent.active_weight -= child.weight
            if parent.count == 0:
                parent.active_weight = 0.0
        if self._root.count == 0:
            self._root = _Child(1.0)


def _forget_idle(parent: _Child) -> None:
    """Bounds how many idle children are remembered for their tags."""
    active = len(parent.heap)
    if len(parent.children) < 2 * active + _IDLE_KEPT:
        return
    parent.children = {
        key: child for key, child in parent.children.items() if child.count
    }
