"""Compares the fair queue with a naive one that scans everything."""

import itertools
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.routing import FairQueue, Flow, Ticket

_CLASS_WEIGHTS = {"urgent": 0.5, "standard": 0.3, "batch": 0.2}
_ORGANISATION_WEIGHTS = {"firm": 2.0}


class NaiveFairQueue:
    """Start-time fair queueing by exhaustive scans of all waiting tickets."""

    def __init__(self):
        self.waiting = []
        self.tags = {}
        self.virtual_times = {}
        self.entries = {}
        self.numbers = itertools.count()

    def push(self, ticket):
        path = [ticket.flow[:depth] for depth in (1, 2, 3)]
        for node in path:
            if not any(self._below(node)):
                start = self.virtual_times.get(node[:-1], 0.0)
                self.tags[node] = max(self.tags.get(node, 0.0), start)
                self.entries[node] = next(self.numbers)
        self.waiting.append(ticket)

    def pop(self):
        if not self.waiting:
            return None
        node = ()
        for depth in (1, 2, 3):
            nodes = {each.flow[:depth] for each in self._below(node)}
            node = min(
                nodes, key=lambda each: (self.tags[each], self.entries[each])
            )
        ticket = next(self._below(node))
        self.waiting.remove(ticket)
        for depth in (1, 2, 3):
            node = ticket.flow[:depth]
            parent = node[:-1]
            self.virtual_times[parent] = max(
                self.virtual_times.get(parent, 0.0), self.tags[node]
            )
            self.tags[node] += ticket.cost / self._weight(node)
            if any(self._below(node)):
                self.entries[node] = next(self.numbers)
        if not self.waiting:
            self.__init__()
        return ticket

    def _below(self, node):
        return (each for each in self.waiting if each.flow[: len(node)] == node)

    def _weight(self, node):
        if len(node) == 1:
            return _CLASS_WEIGHTS.get(node[0], 1.0)
        if len(node) == 2:
            return _ORGANISATION_WEIGHTS.get(node[1], 1.0)
        return 1.0


def _ticket(job_class, organisation, caller, cost):
    ticket = Ticket(Flow(job_class, organisation, caller), deadline=1e9)
    ticket.cost = cost
    return ticket


_pushes = st.tuples(
    st.sampled_from(sorted(_CLASS_WEIGHTS)),
    st.sampled_from(["firm", "widow"]),
    st.sampled_from(["a", "b", "c"]),
    st.sampled_from([0.125, 0.5, 1.0]),
)


@given(st.lists(st.none() | _pushes, max_size=80))
def test_tickets_leave_in_the_order_of_the_naive_queue(steps):
    queue = FairQueue(_CLASS_WEIGHTS, _ORGANISATION_WEIGHTS)
    naive = NaiveFairQueue()
    for step in steps:
        if step is None:
            assert queue.pop() is naive.pop()
        else:
            ticket = _ticket(*step)
            queue.push(ticket)
            naive.push(ticket)
    while naive.waiting:
        assert queue.pop() is naive.pop()
    assert queue.pop() is None
    assert queue.backlog_s == 0.0


@given(st.lists(_pushes, min_size=1, max_size=40), st.randoms())
def test_removed_tickets_never_come_out(pushes, rng):
    queue = FairQueue(_CLASS_WEIGHTS, _ORGANISATION_WEIGHTS)
    tickets = [_ticket(*push) for push in pushes]
    for ticket in tickets:
        queue.push(ticket)
    removed = set(rng.sample(tickets, len(tickets) // 2))
    for ticket in removed:
        assert queue.remove(ticket)
        assert not queue.remove(ticket)
    left = []
    while (ticket := queue.pop()) is not None:
        left.append(ticket)
    assert set(left) == set(tickets) - removed
    assert len(left) == len(tickets) - len(removed)


@pytest.mark.parametrize("flooding", ["urgent", "standard", "batch"])
def test_a_flood_of_any_class_leaves_the_others_their_weight(flooding):
    queue = FairQueue(_CLASS_WEIGHTS, {})
    for job_class in _CLASS_WEIGHTS:
        count = 5_000 if job_class == flooding else 500
        for _ in range(count):
            queue.push(_ticket(job_class, "firm", "a", 1.0))
    served = Counter(queue.pop().flow.job_class for _ in range(600))
    for job_class, weight in _CLASS_WEIGHTS.items():
        assert served[job_class] >= int(600 * weight) - 1


def test_caller_with_a_hundred_times_the_requests_delays_only_itself():
    queue = FairQueue({}, {})
    for _ in range(1_000):
        queue.push(_ticket("urgent", "firm", "heavy", 1.0))
    for index in range(10):
        queue.push(_ticket("urgent", "firm", f"small-{index}", 1.0))
    first = [queue.pop().flow.caller for _ in range(12)]
    assert sum(caller.startswith("small") for caller in first) == 10


def test_many_callers_of_an_organisation_count_as_one_organisation():
    queue = FairQueue({}, {})
    for index in range(1_000):
        queue.push(_ticket("urgent", "crowd", f"identity-{index}", 1.0))
    for _ in range(100):
        queue.push(_ticket("urgent", "widow", "one", 1.0))
    served = Counter(queue.pop().flow.organisation for _ in range(100))
    assert served["widow"] >= 49


def test_idle_share_is_lent_and_taken_back():
    queue = FairQueue(_CLASS_WEIGHTS, {})
    for _ in range(300):
        queue.push(_ticket("batch", "firm", "a", 1.0))
    lent = [queue.pop().flow.job_class for _ in range(100)]
    assert set(lent) == {"batch"}
    for _ in range(100):
        queue.push(_ticket("urgent", "firm", "a", 1.0))
    after = Counter(queue.pop().flow.job_class for _ in range(70))
    assert after["urgent"] >= 49


def test_underestimated_costs_are_charged_afterwards():
    queue = FairQueue({}, {})
    for _ in range(100):
        queue.push(_ticket("short", "firm", "a", 1.0))
        queue.push(_ticket("underestimated", "firm", "a", 1.0))
    served = Counter()
    for _ in range(50):
        ticket = queue.pop()
        served[ticket.flow.job_class] += 1
        if ticket.flow.job_class == "underestimated":
            queue.correct_charge(ticket, 4.0)
    assert served["short"] >= 3 * served["underestimated"]


def test_number_of_idle_callers_in_memory_is_bounded():
    rng = random.Random(1)
    queue = FairQueue({}, {})
    queue.push(_ticket("urgent", "firm", "stays", 1.0))
    for _ in range(20_000):
        queue.push(_ticket("urgent", "firm", f"name-{rng.random()}", 1.0))
        queue.pop()
    assert queue.known_callers() < 5_000


def test_overestimated_costs_give_no_credit_over_new_flows():
    queue = FairQueue({}, {})
    for _ in range(200):
        queue.push(_ticket("urgent", "firm", "heavy", 1.0))
    for ticket in [queue.pop() for _ in range(100)]:
        queue.correct_charge(ticket, 0.1)
    for index in range(10):
        queue.push(_ticket("urgent", "firm", f"small-{index}", 1.0))
    first = [queue.pop().flow.caller for _ in range(12)]
    assert sum(caller.startswith("small") for caller in first) == 10
