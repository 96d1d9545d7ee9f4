"""Admission against a naive one that works everything out anew."""

import random

from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.routing import (
    Flow,
    RefusalReason,
    ServiceAdmission,
    Ticket,
    TicketState,
)

_CLASS_WEIGHTS = {"urgent": 0.7, "batch": 0.3}
_WAIT_S = 2.0
_COST_S = 0.1
_LIMIT = 4


def _weight(name, depth):
    return _CLASS_WEIGHTS[name] if depth == 0 else 1.0


def naive_decision(waiting, in_progress, flow, deadline, now):
    """Decides by scanning all waiting tickets."""
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
    if wait > _WAIT_S:
        return RefusalReason.OVERLOADED
    if now + wait + _COST_S > deadline:
        return RefusalReason.DEADLINE
    return TicketState.QUEUED


_submits = st.tuples(
    st.sampled_from(["urgent", "batch"]),
    st.sampled_from(["firm", "widow"]),
    st.sampled_from(["a", "b"]),
    st.sampled_from([-1.0, 0.15, 0.45, 100.0]),
)


@given(st.lists(st.none() | _submits, max_size=150))
def test_requests_are_decided_as_by_scanning_all(steps):
    admission = ServiceAdmission(
        float(_LIMIT), _CLASS_WEIGHTS, {}, random.Random(1)
    )
    now = 0.0
    waiting, running = [], []
    for step in steps:
        if step is None:
            if running:
                admission.release(running.pop(0), now, answered=False)
            following = admission.admit_next(now)
            if following is not None:
                ticket, refusal = following
                waiting.remove(ticket)
                late = now + _COST_S > ticket.deadline
                assert (refusal is not None) is late
                if refusal is None:
                    running.append(ticket)
            continue
        flow = Flow(*step[:3])
        ticket = Ticket(flow, now + step[3])
        expected = naive_decision(
            waiting, len(running), flow, ticket.deadline, now
        )
        refusal = admission.submit(ticket, now)
        got = ticket.state if refusal is None else refusal.reason
        assert got is expected
        if got is TicketState.QUEUED:
            waiting.append(ticket)
        elif got is TicketState.ADMITTED:
            running.append(ticket)
