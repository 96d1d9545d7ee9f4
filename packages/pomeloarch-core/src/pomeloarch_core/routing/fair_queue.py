"""A fair queue over job class, organisation and caller.

Each of the three levels uses start-time fair queueing (Goyal, Vin and Cheng,
SIGCOMM 1996). Every child has a start tag that grows by the slot time given to
it divided by its weight, and the backlogged child with the lowest start tag is
served next. A child that becomes active after an idle time starts at its
parent's virtual time: unused share is lent to the other children and taken back
at once, and no child accumulates credit. All callers of an organisation
together get the share of that one organisation.
"""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Iterator, Mapping

from pomeloarch_core.ids import JobClassName, OrganisationName
from pomeloarch_core.routing.messages import Flow, Ticket

# Idle children and outdated heap entries that are kept beyond twice the number
# in use.
_IDLE_ALLOWANCE = 1024


class _TreeNode:
    """A job class, organisation or caller in the tree of flows.

    Attributes:
      weight: its weight among its siblings.
      start_tag: its start tag in the parent's virtual time.
      waiting: number of tickets that wait below it.
      backlog_s: slot time of these tickets, in seconds.
      entry_number: number of its valid entry in the parent's heap, -1 if it has
        none.
      virtual_time: highest start tag that was served among its children.
      active_weight: total weight of its children with waiting tickets.
      children: its children by name.
      heap: entries of children as start tag, entry number and child; outdated
        entries are skipped.
      tickets: waiting tickets of a caller, in order of arrival.
    """

    __slots__ = (
        "active_weight",
        "backlog_s",
        "children",
        "entry_number",
        "heap",
        "start_tag",
        "tickets",
        "virtual_time",
        "waiting",
        "weight",
    )

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.start_tag = 0.0
        self.waiting = 0
        self.backlog_s = 0.0
        self.entry_number = -1
        self.virtual_time = 0.0
        self.active_weight = 0.0
        self.children: dict[str, _TreeNode] = {}
        self.heap: list[tuple[float, int, _TreeNode]] = []
        self.tickets: OrderedDict[Ticket, None] = OrderedDict()


class FairQueue:
    """Tickets that wait for a slot, served by fair shares.

    Args:
      class_weights: weights of the job classes; 1 for those not given.
      organisation_weights: weights of the organisations; 1 for those not given.
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
        self._root = _TreeNode(1.0)

    def __len__(self) -> int:
        """Returns how many tickets wait."""
        return self._root.waiting

    @property
    def backlog_s(self) -> float:
        """Total slot time of the waiting tickets, in seconds."""
        return self._root.backlog_s

    def known_callers(self) -> int:
        """Returns how many callers are in memory, active or idle."""
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
        """Adds a ticket, whose `cost` must be set."""
        path = self._find_or_create_path(ticket.flow)
        path[-1].tickets[ticket] = None
        for parent, child in itertools.pairwise(path):
            if child.waiting == 0:
                child.start_tag = max(child.start_tag, parent.virtual_time)
                parent.active_weight += child.weight
                self._push_child(parent, child)
        for child in path:
            child.waiting += 1
            child.backlog_s += ticket.cost

    def pop(self) -> Ticket | None:
        """Removes the ticket to serve next and charges its flow."""
        if self._root.waiting == 0:
            return None
        path = [self._root]
        while path[-1].children:
            path.append(self._next_child(path[-1]))
        ticket, _ = path[-1].tickets.popitem(last=False)
        for parent, child in itertools.pairwise(path):
            parent.virtual_time = max(parent.virtual_time, child.start_tag)
            child.start_tag += ticket.cost / child.weight
        self._remove_from_path(path, ticket)
        for parent, child in itertools.pairwise(path):
            if child.waiting:
                self._push_child(parent, child)
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket without a charge; returns False if it is absent."""
        path = self._find_path(ticket.flow)
        if path is None or ticket not in path[-1].tickets:
            return False
        del path[-1].tickets[ticket]
        self._remove_from_path(path, ticket)
        return True

    def correct_charge(self, ticket: Ticket, taken_s: float) -> None:
        """Replaces the estimated cost of a request by its actual cost.

        Args:
          ticket: a ticket that was popped.
          taken_s: slot time that the request took, in seconds.
        """
        path = self._find_path(ticket.flow)
        if path is None or taken_s == ticket.cost:
            return
        for parent, child in itertools.pairwise(path):
            corrected = child.start_tag + (taken_s - ticket.cost) / child.weight
            # A flow gets no credit beyond the virtual time, which would delay
            # flows that become active later.
            lower_bound = min(child.start_tag, parent.virtual_time)
            child.start_tag = max(corrected, lower_bound)
            if child.waiting:
                self._push_child(parent, child)

    def estimate_wait_s(self, flow: Flow, cost: float, slots: float) -> float:
        """Estimates how long a new ticket of a flow would wait.

        The flow is assumed to be served at its share of the slots while the set
        of backlogged flows stays the same. A flow without waiting tickets waits
        for one round of the other flows, or until their whole backlog is served
        if that is sooner.

        Args:
          flow: the flow of the ticket.
          cost: slot time of the ticket, in seconds.
          slots: number of requests that run at once.

        Returns:
          The estimated wait, in seconds.
        """
        rate = max(slots, 1e-9)
        parent: _TreeNode | None = self._root
        upper_bound_s = float("inf")
        backlog = 0.0
        for key, weight in zip(flow, self._weights(flow), strict=True):
            child = parent.children.get(key) if parent is not None else None
            if child is not None and child.waiting == 0:
                child = None
            if parent is not None:
                if child is None:
                    upper_bound_s = parent.backlog_s / rate
                active = parent.active_weight + (0.0 if child else weight)
                rate *= weight / active
            backlog = child.backlog_s if child is not None else 0.0
            parent = child
        return min(upper_bound_s, (backlog + cost) / rate)

    def _weights(self, flow: Flow) -> tuple[float, float, float]:
        return (
            self._class_weights.get(flow.job_class, 1.0),
            self._organisation_weights.get(flow.organisation, 1.0),
            1.0,
        )

    def _find_or_create_path(self, flow: Flow) -> list[_TreeNode]:
        path = [self._root]
        for key, weight in zip(flow, self._weights(flow), strict=True):
            parent = path[-1]
            child = parent.children.get(key)
            if child is None:
                _drop_idle_children(parent)
                child = parent.children[key] = _TreeNode(weight)
            path.append(child)
        return path

    def _find_path(self, flow: Flow) -> list[_TreeNode] | None:
        path = [self._root]
        for key in flow:
            child = path[-1].children.get(key)
            if child is None:
                return None
            path.append(child)
        return path

    def _push_child(self, parent: _TreeNode, child: _TreeNode) -> None:
        child.entry_number = next(self._entries)
        heapq.heappush(
            parent.heap, (child.start_tag, child.entry_number, child)
        )
        if len(parent.heap) > 2 * len(parent.children) + _IDLE_ALLOWANCE:
            parent.heap = [
                entry
                for entry in parent.heap
                if entry[1] == entry[2].entry_number
            ]
            heapq.heapify(parent.heap)

    def _next_child(self, parent: _TreeNode) -> _TreeNode:
        while True:
            _, entry_number, child = parent.heap[0]
            if entry_number == child.entry_number and child.waiting:
                return child
            heapq.heappop(parent.heap)

    def _remove_from_path(self, path: list[_TreeNode], ticket: Ticket) -> None:
        for child in path:
            child.waiting -= 1
            child.backlog_s = max(0.0, child.backlog_s - ticket.cost)
            if child.waiting == 0:
                child.backlog_s = 0.0
        for parent, child in itertools.pairwise(path):
            if child.waiting:
                continue
            child.entry_number = -1
            parent.active_weight -= child.weight
            if parent.waiting == 0:
                parent.active_weight = 0.0
        if self._root.waiting == 0:
            self._root = _TreeNode(1.0)


def _drop_idle_children(parent: _TreeNode) -> None:
    """Drops idle children, kept for their start tags, when there are many."""
    active = len(parent.heap)
    if len(parent.children) < 2 * active + _IDLE_ALLOWANCE:
        return
    parent.children = {
        key: child for key, child in parent.children.items() if child.waiting
    }
