"""Unit tests of budgets, ejection, slot sharing, outcomes and claims."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.routing import (
    AttemptResult,
    Flow,
    RetryBudget,
    RunStatus,
    ServiceRouter,
    SharedBudget,
    Ticket,
    Upstream,
    ZoneCosts,
    determine_run_status,
    make_refusal,
    may_retry,
)
from pomeloarch_core.routing.claims import (
    Claim,
    ClaimState,
    KeyStatus,
    classify_claim,
)
from pomeloarch_core.routing.ejection import MAX_EJECTED_SHARE, Ejector, Health
from pomeloarch_core.routing.messages import RefusalReason
from pomeloarch_core.routing.sharing import NodeLoad, fair_share


@given(
    st.lists(
        st.tuples(st.booleans(), st.floats(min_value=0.0, max_value=3.0)),
        max_size=300,
    )
)
def test_retries_stay_within_a_tenth_of_the_requests_of_ten_seconds(steps):
    budget = RetryBudget()
    now = 100.0
    requests, retries = [], []
    for is_request, pause in steps:
        now += pause / 10.0
        if is_request:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_spend(now):
            retries.append(now)
        # With buckets of a second, the window is at most ten seconds long.
        recent = [time for time in requests if time > now - 10.0]
        spent = [time for time in retries if time > now - 9.0]
        assert len(spent) <= max(1, 0.1 * len(recent))


@pytest.mark.parametrize("count", [1, 2, 3, 8, 24])
def test_at_most_the_maximum_share_is_ejected(count):
    ejector = Ejector(random.Random(1))
    names = [f"executor-{index}" for index in range(count)]
    for name in names:
        ejector.health(name)
    for _, name in itertools.product(range(50), names):
        ejector.record(name, AttemptResult.FAILED, now=1.0)
    ejected = sum(not ejector.health(name).is_usable for name in names)
    assert ejected == int(MAX_EJECTED_SHARE * count)


def test_ejected_executor_returns_after_a_probe_and_ramps_up():
    ejector = Ejector(random.Random(1))
    for name in ("bad", "good"):
        ejector.health(name)
    while ejector.health("bad").is_usable:
        ejector.record("bad", AttemptResult.BROKEN, now=0.0)
    health = ejector.health("bad")
    assert health.weight(0.5) == 0.0
    assert ejector.due_probes(now=0.5) == []
    assert ejector.due_probes(now=2.0) == ["bad"]
    assert ejector.due_probes(now=2.0) == []
    ejector.end_probe("bad", answered=False, now=2.1)
    assert health.state is Health.EJECTED
    assert ejector.due_probes(now=6.0) == ["bad"]
    ejector.end_probe("bad", answered=True, now=6.1)
    weights = [health.weight(6.1 + step) for step in range(7)]
    assert weights == sorted(weights)
    assert 0.0 < weights[0] < 0.2
    assert weights[-1] == 1.0


@pytest.mark.parametrize(
    ("results", "ran"),
    [
        ([], RunStatus.NOT_RUN),
        (["not_sent"], RunStatus.NOT_RUN),
        (["refused", "not_sent"], RunStatus.NOT_RUN),
        (["broken"], RunStatus.UNKNOWN),
        (["abandoned"], RunStatus.UNKNOWN),
        (["failed"], RunStatus.UNKNOWN),
        (["refused", "broken", "refused"], RunStatus.UNKNOWN),
    ],
)
def test_not_run_is_reported_only_when_certain(results, ran):
    assert determine_run_status(AttemptResult(each) for each in results) is ran


@pytest.mark.parametrize("result", AttemptResult)
def test_request_that_may_have_run_is_retried_only_if_idempotent(result):
    certain = result in (AttemptResult.NOT_SENT, AttemptResult.REFUSED)
    assert may_retry(result, idempotent=False) is certain
    assert may_retry(result, idempotent=True) is (
        result is not AttemptResult.ANSWERED
    )


@given(
    st.lists(
        st.tuples(st.integers(0, 200), st.integers(0, 400)),
        min_size=2,
        max_size=8,
    )
)
def test_shares_of_all_nodes_fit_the_slots_and_include_equal_parts(uses):
    slots = 192.0
    loads = [NodeLoad(*use) for use in uses]
    shares = [
        fair_share(slots, own, [*loads[:index], *loads[index + 1 :]])
        for index, own in enumerate(loads)
    ]
    equal = slots / len(loads)
    used = [
        min(share, own.in_progress + own.waiting)
        for share, own in zip(shares, loads, strict=True)
    ]
    assert all(share >= min(equal, slots) - 1e-6 for share in shares)
    taken_back = sum(max(0.0, own.in_progress - equal) for own in loads)
    assert sum(used) <= slots + taken_back + 1e-6


def test_floors_of_a_shared_budget_hold_against_a_flood():
    budget = SharedBudget(1_000)
    budget.set_floors({"desk": 0.3, "scorer": 0.2})
    flooded = sum(budget.try_take("scorer", 1) for _ in range(5_000))
    assert flooded == 700
    assert sum(budget.try_take("desk", 1) for _ in range(5_000)) == 300
    budget.give_back("scorer", 100)
    assert budget.try_take("desk", 100)


def test_retry_after_is_spread_over_the_refused_callers():
    rng = random.Random(1)
    waits = [
        make_refusal(RefusalReason.OVERLOADED, 4.0, rng).retry_after_s
        for _ in range(200)
    ]
    assert min(waits) >= 4.0
    assert max(waits) <= 8.0
    assert len({round(wait) for wait in waits}) == 5


def _claim(token, state, fingerprint="f", deadline=100.0):
    return Claim(token, "node", fingerprint, state, deadline)


@pytest.mark.parametrize(
    ("found", "wall_now", "status"),
    [
        (None, 0.0, KeyStatus.FREE),
        (_claim("own", ClaimState.CLAIMED), 0.0, KeyStatus.HELD),
        (_claim("other", ClaimState.CLAIMED), 50.0, KeyStatus.IN_PROGRESS),
        (_claim("other", ClaimState.CLAIMED), 200.0, KeyStatus.UNSETTLED),
        (_claim("other", ClaimState.UNKNOWN), 0.0, KeyStatus.UNSETTLED),
        (_claim("other", ClaimState.RAN), 0.0, KeyStatus.REPEAT),
        (_claim("other", ClaimState.NOT_RUN), 0.0, KeyStatus.FREE),
        (_claim("other", ClaimState.RAN, "g"), 0.0, KeyStatus.KEY_REUSED),
    ],
)
def test_claim_is_classified_by_token_fingerprint_and_state(
    found, wall_now, status
):
    own = _claim("own", ClaimState.CLAIMED)
    assert classify_claim(found, own, wall_now) is status


@pytest.mark.parametrize(("answers", "stalled"), [(False, True), (True, False)])
def test_executor_that_answers_no_request_is_ejected_as_stalled(
    answers, stalled
):
    """A slow executor answers one request from time to time."""
    router = ServiceRouter(
        "scorer", {}, {}, ZoneCosts("patan"), random.Random(1)
    )
    router.replace_upstreams(
        Upstream(f"executor-{index}", "patan", f"10.0.0.{index}:80")
        for index in range(4)
    )
    ticket = Ticket(Flow("urgent", "qasr", "truck"), deadline=100.0)
    router.admission.submit(ticket, now=0.0)
    router.admission.release(ticket, now=0.1)
    state = next(iter(router.pool.states.values()))
    ejected = []
    for step in range(20):
        now = 1.0 + 0.5 * step
        router.pool.begin(state, now)
        if answers and step % 4 == 3:
            router.pool.end(state, AttemptResult.ANSWERED, 30.0, now)
        ejected += router.eject_stalled(now)
    assert bool(ejected) is stalled
