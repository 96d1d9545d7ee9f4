"""Admission against a naive one that works everything out anew."""

import random

import pytest

from pomeloarch_core.routing import (
    Flow,
    RefusalReason,
    ServiceAdmission,
    Ticket,
    TicketState,
)

# Exact in binary, so that both ways of adding up agree to the last bit.
_CLASS_WEIGHTS = {"urgent": 0.75, "batch": 0.25}
_WAIT_S = 2.0
_BURST_S = 2.0
# What a request is taken to cost before any was measured.
_COST_S = 1.0
_LIMIT = 4


def _weight(name, depth):
    return _CLASS_WEIGHTS[name] if depth == 0 else 1.0


def naive_decision(waiting, in_progress, flow, deadline, now, standing_s):
    """Decides by scanning all waiting tickets.

    Args:
      waiting: the tickets that wait.
      in_progress: how many requests run.
      flow: whose request it is.
      deadline: when its caller stops waiting.
      now: the present time.
      standing_s: for how long somebody has been waiting.
    """
    if deadline <= now:
        return RefusalReason.DEADLINE_PASSED
    if not waiting and in_progress < _LIMIT:
        return TicketState.ADMITTED
    rate = float(_LIMIT)
    beside = float("inf")
    group = waiting
    for depth in range(3):
        inside = [each for each in group if each.flow[depth] == flow[depth]]
        if not inside:
            beside = min(beside, len(group) * _COST_S / rate or beside)
        names = {each.flow[depth] for each in group} | {flow[depth]}
        total = sum(_weight(name, depth) for name in names)
        rate *= _weight(flow[depth], depth) / total
        group = inside
    wait = min(beside, (len(group) + 1) * _COST_S / rate)
    if wait > _WAIT_S and standing_s > _BURST_S:
        return RefusalReason.OVERLOADED
    if now + wait + _COST_S > deadline:
        return RefusalReason.DEADLINE_TOO_NEAR
    return TicketState.QUEUED


_FLOWS = [
    Flow(job_class, organisation, caller)
    for job_class in ("urgent", "batch")
    for organisation in ("firm", "widow")
    for caller in ("a", "b")
]
_DEADLINES_S = [-1.0, 1.5, 4.0, 100.0]


class Walk:
    """Drives admission and the naive decision side by side.

    Attributes:
      seen: every decision that both made.
    """

    def __init__(self, rng):
        self.rng = rng
        self.seen = set()
        self.admission = ServiceAdmission(
            float(_LIMIT), _CLASS_WEIGHTS, {}, random.Random(1)
        )
        self.now = 0.0
        self.waiting = []
        self.running = []
        self.waiting_since = 0.0

    def step(self, submit_share):
        self.now += self.rng.choice([0.0, 0.0, 0.1, 0.7])
        if self.rng.random() < submit_share:
            self.submit()
        elif self.running:
            self.release()

    def release(self):
        self.admission.release(self.running.pop(0), self.now, answered=False)
        while (following := self.admission.admit_next(self.now)) is not None:
            ticket, refusal = following
            self.waiting.remove(ticket)
            late = self.now + _COST_S > ticket.deadline
            assert (refusal is not None) is late
            if refusal is None:
                self.running.append(ticket)

    def submit(self):
        flow = self.rng.choice(_FLOWS)
        ticket = Ticket(flow, self.now + self.rng.choice(_DEADLINES_S))
        expected = naive_decision(
            self.waiting,
            len(self.running),
            flow,
            ticket.deadline,
            self.now,
            self.now - self.waiting_since if self.waiting else 0.0,
        )
        refusal = self.admission.submit(ticket, self.now)
        got = ticket.state if refusal is None else refusal.reason
        assert got is expected
        self.seen.add(got)
        if got is TicketState.QUEUED:
            if not self.waiting:
                self.waiting_since = self.now
            self.waiting.append(ticket)
        elif got is TicketState.ADMITTED:
            self.running.append(ticket)


@pytest.mark.parametrize("submit_share", [0.55, 0.8])
@pytest.mark.parametrize("seed", range(10))
def test_requests_are_decided_as_by_scanning_all(seed, submit_share):
    walk = Walk(random.Random(seed))
    for _ in range(300):
        walk.step(submit_share)
    assert {TicketState.ADMITTED, TicketState.QUEUED} <= walk.seen
    assert RefusalReason.DEADLINE_PASSED in walk.seen


def test_the_walks_meet_every_decision():
    walk = Walk(random.Random(1))
    for _ in range(300):
        walk.step(0.8)
    assert walk.seen == {
        TicketState.ADMITTED,
        TicketState.QUEUED,
        RefusalReason.DEADLINE_PASSED,
        RefusalReason.DEADLINE_TOO_NEAR,
        RefusalReason.OVERLOADED,
    }


def test_a_burst_may_wait_until_its_deadlines_and_a_standing_queue_not():
    admission = ServiceAdmission(1.0, _CLASS_WEIGHTS, {}, random.Random(1))
    flow = _FLOWS[0]
    burst = [admission.submit(Ticket(flow, 8.0), 0.0) for _ in range(12)]
    assert [each.reason for each in burst if each] == [
        RefusalReason.DEADLINE_TOO_NEAR
    ] * len([each for each in burst if each])
    assert sum(each is None for each in burst) > 3
    later = admission.submit(Ticket(flow, 100.0), 2.1)
    assert later.reason is RefusalReason.OVERLOADED
