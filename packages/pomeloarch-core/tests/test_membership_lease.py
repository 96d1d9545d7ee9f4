"""Tests of leases with delays, lost answers, clock drift and pauses."""

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership import (
    LeaseConfig,
    LeaseMachine,
    LeaseRow,
    ReadRow,
    WriteRow,
)

CFG = LeaseConfig()
# The drift bound covers clocks that run fast or slow by this share.
DRIFT = 0.04
INDEX = strategies.sampled_from([0, 1])
PERIODS = strategies.sampled_from([0.5, 2.0, 2.6, 2.8, 2.95, 3.1, 4.0, 7.0])


class Call:
    """A call to the table, which is first performed and then answered."""

    def __init__(self, candidate, action):
        self.candidate = candidate
        self.action = action
        self.report = None


class Candidate:
    """A process with its own clock and at most one pending call."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.machine = LeaseMachine(NodeId(name), name, CFG)
        self.pending = None

    def clock(self, now):
        return 100.0 + now * self.rate


class LeaseFleet(RuleBasedStateMachine):
    """Two candidates and the row, with calls delayed arbitrarily."""

    @initialize(rates=strategies.permutations([1 - DRIFT, 1 + DRIFT]))
    def begin(self, rates):
        self.now = 0.0
        self.row = (0, None)
        self.calls = []
        self.restarts = 0
        self.owner_of = {}
        self.highest_order = 0
        self.candidates = [
            Candidate(f"n{index}", rate) for index, rate in enumerate(rates)
        ]

    @rule(seconds=strategies.sampled_from([0.05, 0.3, 0.5, 0.8, 2.5, 2.9, 3.2]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(index=INDEX)
    def act(self, index):
        """Lets a candidate do what is due, unless a call is pending."""
        candidate = self.candidates[index]
        if candidate.pending is not None:
            return
        action = candidate.machine.action(candidate.clock(self.now))
        if action is not None:
            candidate.pending = Call(candidate, action)
            self.calls.append(candidate.pending)

    @rule(index=INDEX)
    def act_at_once(self, index):
        """Lets a candidate act while the platform answers at once."""
        self.act(index)
        pending = self.candidates[index].pending
        if pending is not None and pending.report is None:
            self.serve(pending)
            self.answer(pending)

    @rule(index=INDEX, seconds=PERIODS)
    def pause_while_other_continues(self, index, seconds):
        """Cuts a candidate off from the platform, or stops its process."""
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            self.act_at_once(1 - index)
            self.one_holder_acts()

    @rule(index=INDEX, seconds=PERIODS)
    def answer_late(self, index, seconds):
        """Performs a call whose answer arrives after a delay."""
        self.act(index)
        pending = self.candidates[index].pending
        if pending is not None and pending.report is None:
            self.serve(pending)
        self.pause_while_other_continues(index, seconds)
        if pending is not None:
            self.answer(pending)

    @rule(index=INDEX, seconds=PERIODS)
    def lose_answer(self, index, seconds):
        """Performs a call that loses its answer and is sent again later."""
        self.act(index)
        pending = self.candidates[index].pending
        if pending is not None and pending.report is None:
            self.serve(pending)
        self.time_out(index)
        self.pause_while_other_continues(index, seconds)
        self.act_at_once(index)

    @precondition(lambda self: any(not c.report for c in self.calls))
    @rule(data=strategies.data())
    def serve_one(self, data):
        waiting = [call for call in self.calls if not call.report]
        self.serve(data.draw(strategies.sampled_from(waiting)))

    @precondition(lambda self: any(c.report for c in self.calls))
    @rule(data=strategies.data())
    def answer_one(self, data):
        served = [call for call in self.calls if call.report]
        self.answer(data.draw(strategies.sampled_from(served)))

    @rule(index=INDEX)
    def time_out(self, index):
        """Gives up on a call, which may still be performed much later."""
        candidate = self.candidates[index]
        call, candidate.pending = candidate.pending, None
        if call is not None:
            candidate.machine.unanswered(candidate.clock(self.now))

    @rule(index=INDEX)
    def release_role(self, index):
        self.candidates[index].machine.release()

    @rule(index=INDEX)
    def abandon_epoch(self, index):
        candidate = self.candidates[index]
        epoch = candidate.machine.epoch(candidate.clock(self.now))
        if epoch is not None:
            candidate.machine.abandon(epoch)

    @rule(index=INDEX)
    def restart(self, index):
        """Starts another process under the same node's name."""
        self.restarts += 1
        old = self.candidates[index]
        new = Candidate(f"{old.name}.{self.restarts}", old.rate)
        self.candidates[index] = new

    @rule(index=INDEX)
    def give_order(self, index):
        """Gives an order, which a worker takes unless it saw a higher epoch."""
        candidate = self.candidates[index]
        epoch = candidate.machine.epoch(candidate.clock(self.now))
        if epoch is not None:
            assert epoch >= self.highest_order
            self.highest_order = epoch

    def serve(self, call):
        version, row = self.row
        if isinstance(call.action, ReadRow):
            call.report = "observed", (version, row)
        elif call.action.version != version:
            call.report = "refused", (version, row)
        else:
            self.row = version + 1, call.action.value
            call.report = "confirmed", (version + 1,)

    def answer(self, call):
        self.calls.remove(call)
        if call.candidate.pending is not call:
            return
        call.candidate.pending = None
        name, args = call.report
        report = getattr(call.candidate.machine, name)
        report(*args, call.candidate.clock(self.now))

    @invariant()
    def one_holder_acts(self):
        acting = [
            candidate
            for candidate in getattr(self, "candidates", [])
            if candidate.machine.epoch(candidate.clock(self.now)) is not None
        ]
        assert len(acting) <= 1
        for candidate in acting:
            epoch = candidate.machine.epoch(candidate.clock(self.now))
            owner = self.owner_of.setdefault(epoch, candidate.name)
            assert owner == candidate.name


LeaseFleet.TestCase.settings = settings(stateful_step_count=30)
TestLeaseMachine = LeaseFleet.TestCase


def holder(now=0.0):
    machine = LeaseMachine(NodeId("n"), "n/1", CFG)
    assert isinstance(machine.action(now), ReadRow)
    machine.observed(0, None, now)
    assert isinstance(machine.action(now), WriteRow)
    machine.confirmed(1, now)
    return machine


def test_lease_starts_when_its_write_is_sent():
    machine = LeaseMachine(NodeId("n"), "n/1", CFG)
    machine.action(0.0)
    machine.observed(0, None, 0.0)
    machine.action(0.0)
    machine.confirmed(1, 2.0)
    assert machine.epoch(2.6) == 1
    assert machine.epoch(2.7) is None


def test_lease_of_a_retried_write_starts_at_its_first_attempt():
    machine = LeaseMachine(NodeId("n"), "n/1", CFG)
    machine.action(0.0)
    machine.observed(0, None, 0.0)
    first = machine.action(0.0)
    machine.unanswered(1.0)
    assert machine.action(1.5) == first
    machine.refused(1, first.value, 1.6)
    assert machine.epoch(2.6) == 1
    assert machine.epoch(2.7) is None


def test_a_candidate_waits_for_the_whole_lease_on_an_unchanged_row():
    other = LeaseRow(NodeId("o"), "o/1", 4, 9)
    machine = LeaseMachine(NodeId("n"), "n/1", CFG)
    machine.action(0.0)
    machine.observed(7, other, 0.1)
    machine.action(1.0)
    machine.observed(7, other, 1.1)
    assert not isinstance(machine.action(3.0), WriteRow)
    claim = machine.action(3.6)
    assert claim == WriteRow(7, LeaseRow(NodeId("n"), "n/1", 5, 0))


def test_renewal_restarts_the_wait_of_candidates():
    other = LeaseRow(NodeId("o"), "o/1", 4, 9)
    machine = LeaseMachine(NodeId("n"), "n/1", CFG)
    machine.action(0.0)
    machine.observed(7, other, 0.0)
    machine.action(2.9)
    machine.observed(8, other, 2.9)
    assert not isinstance(machine.action(4.0), WriteRow)


def test_paused_holder_returns_under_a_new_epoch():
    machine = holder()
    assert machine.epoch(10.0) is None
    claim = machine.action(10.0)
    assert claim.value.epoch == 2
    machine.confirmed(2, 10.0)
    assert machine.epoch(10.0) == 2


OTHER = LeaseRow(NodeId("o"), "o/1", 2)


@pytest.mark.parametrize(
    ("renews", "found", "next_epoch"),
    [
        (False, None, 2),
        (True, None, 2),
        (True, LeaseRow(NodeId("n"), "n/1", 1, 1), 2),
        (False, OTHER, None),
        (True, OTHER, None),
    ],
    ids=[
        "its row is unchanged",
        "a renewal is under way",
        "a renewal has taken effect",
        "another node has claimed the role",
        "another node has claimed the role instead of a renewal",
    ],
)
def test_holder_that_abandons_its_epoch_claims_the_next_one(
    renews, found, next_epoch
):
    """Guards against a role that is renewed while its holder may not act."""
    machine = holder()
    if renews:
        machine.action(1.0)
    machine.abandon(1)
    assert machine.epoch(1.0) is None
    if renews:
        machine.unanswered(1.1)
    claim = machine.action(1.4)
    assert claim.value.epoch == 2
    if found is None:
        machine.confirmed(2, 1.4)
    else:
        machine.refused(2, found, 1.4)
        again = machine.action(1.4)
        if next_epoch is not None:
            assert (again.version, again.value.epoch) == (2, 2)
            machine.confirmed(3, 1.4)
    assert machine.epoch(1.4) == next_epoch


@pytest.mark.parametrize("epoch", [1, 2])
def test_only_the_held_epoch_is_abandoned(epoch):
    machine = holder()
    machine.abandon(epoch)
    assert (machine.epoch(1.0) is None) == (epoch == 1)


def test_release_during_a_renewal_frees_the_row():
    machine = holder()
    renewal = machine.action(1.0)
    machine.release()
    assert machine.epoch(1.0) is None
    release = machine.action(1.0)
    assert release.value.holder is None
    machine.refused(2, renewal.value, 1.1)
    retried = machine.action(1.1)
    assert (retried.version, retried.value.holder) == (2, None)
    machine.confirmed(3, 1.2)
    assert machine.is_released


@pytest.mark.parametrize(
    ("claim_delay_s", "claims_after_s"),
    [(0.0, 0.0), (1.5, 1.5)],
    ids=["large host", "small host"],
)
def test_candidates_claim_in_order_after_an_outage(
    claim_delay_s, claims_after_s
):
    """Every candidate's wait expires during the outage and starts again."""
    machine = LeaseMachine(NodeId("n"), "n", CFG, claim_delay_s=claim_delay_s)
    now = 0.0
    assert machine.action(now) == ReadRow()
    machine.observed(5, LeaseRow(NodeId("other"), "other", 1), now)
    while now < 20.0:
        now += 0.25
        if machine.action(now) is not None:
            machine.unanswered(now)
    while machine.action(now) is None:
        now += 0.05
    machine.observed(5, LeaseRow(NodeId("other"), "other", 1), now)
    back_at = now
    while not isinstance(machine.action(now), WriteRow):
        machine.observed(5, LeaseRow(NodeId("other"), "other", 1), now)
        now += 0.05
    assert now - back_at == pytest.approx(claims_after_s, abs=0.06)


def test_small_host_that_restarts_lets_others_claim_first():
    machine = LeaseMachine(NodeId("n"), "new", CFG, claim_delay_s=1.5)
    assert machine.action(0.0) == ReadRow()
    machine.observed(5, LeaseRow(NodeId("n"), "former", 1), 0.0)
    assert not isinstance(machine.action(1.4), WriteRow)
    assert isinstance(machine.action(1.5), WriteRow)


@pytest.mark.parametrize(
    ("lease_s", "claimed_s"),
    [(0.0, 0.7), (3.3, 3.3)],
    ids=["quick", "slow for the holder"],
)
def test_overdue_role_is_claimed_early_only_while_its_holder_is_quick(
    lease_s, claimed_s
):
    """Guards against three changes of leader while a slow store recovers.

    A candidate's reads are quick again while the holder's renewal, which was
    sent earlier, is still delayed.
    """
    cfg = LeaseConfig(2.4, 0.2, 0.3, 0.25, 0.1, overdue_s=0.7)
    machine = LeaseMachine(NodeId("n"), "n", cfg)
    row = LeaseRow(NodeId("o"), "o", 1, 1, lease_s)
    assert machine.action(0.0) == ReadRow()
    machine.observed(5, row, 0.0)
    now = 0.0
    while not isinstance(machine.action(now), WriteRow):
        machine.observed(5, row, now)
        now += 0.01
    assert now == pytest.approx(claimed_s, abs=0.02)


@pytest.mark.parametrize(
    ("overdue_s", "row_lease_s", "sole_holder_s"),
    [(0.7, 0.0, 0.5), (0.7, 3.3, 3.1), (None, 0.0, 2.2)],
    ids=["claimed early", "slow for the holder", "claimed after its lease"],
)
@pytest.mark.parametrize("released", [False, True])
def test_holder_knows_how_long_it_is_the_sole_holder(
    overdue_s, row_lease_s, sole_holder_s, released
):
    """Guards against tasks that run on behind a partition and also elsewhere.

    The former leader was cut off together with some workers, and extended their
    leases after its successor had started to wait for the last of them.
    """
    cfg = LeaseConfig(2.4, 0.2, 0.3, 0.25, 0.1, overdue_s=overdue_s)
    machine = LeaseMachine(NodeId("n"), "n", cfg)
    assert machine.action(0.0) == ReadRow()
    machine.observed(0, None, 0.0)
    claim = machine.action(0.0)
    assert isinstance(claim, WriteRow)
    machine.confirmed(1, 0.0)
    assert machine.is_sole_holder(sole_holder_s - 0.01) == (row_lease_s == 0.0)
    if row_lease_s:
        # A renewal took so long that the next one grants a longer lease.
        machine.action(0.3)
        machine.confirmed(2, 0.96)
        now = machine.due(0.96)
        renewal = machine.action(now)
        assert renewal.value.lease_s == row_lease_s
        machine.confirmed(3, now)
        sole_holder_s += now
    if released:
        machine.release()
    assert machine.is_sole_holder(sole_holder_s - 0.01) != released
    assert not machine.is_sole_holder(sole_holder_s + 0.01)
