"""Unit tests of the rules of the membership protocol."""

import random

import pytest

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership import (
    MembershipProtocol,
    NodeState,
    Rumour,
    TokenBucket,
)
from pomeloarch_core.membership.digests import DigestStore
from pomeloarch_core.membership.members import MAX_MEMBERS, MemberTable
from pomeloarch_core.membership.messages import (
    Ack,
    Frame,
    Mark,
    Probe,
    ProbeRequest,
    RumoursOnly,
    SendFrame,
)


def rumour(node, zone="a", state=NodeState.ALIVE, incarnation=1):
    return Rumour(
        NodeId(node), ZoneName(zone), f"host-{node}", state, incarnation
    )


def frame(sender, body, rumours=(), incarnation=1, zone="a"):
    return Frame(
        NodeId(sender),
        ZoneName(zone),
        f"host-{sender}",
        incarnation,
        body,
        rumours,
    )


def node(name="me", seeds=()):
    return MembershipProtocol(rumour(name), seeds, random.Random(1))


def sent(effects, kind):
    return [
        effect
        for effect in effects
        if isinstance(effect, SendFrame) and isinstance(effect.frame.body, kind)
    ]


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        ((NodeState.ALIVE, 1), (NodeState.SUSPECT, 1), NodeState.SUSPECT),
        ((NodeState.SUSPECT, 1), (NodeState.ALIVE, 1), NodeState.SUSPECT),
        ((NodeState.SUSPECT, 1), (NodeState.ALIVE, 2), NodeState.ALIVE),
        ((NodeState.ALIVE, 2), (NodeState.DEAD, 1), NodeState.ALIVE),
        ((NodeState.ALIVE, 1), (NodeState.DEAD, 1), NodeState.DEAD),
        ((NodeState.ALIVE, 1), (NodeState.LEFT, 1), NodeState.LEFT),
    ],
)
def test_the_higher_incarnation_wins_then_the_worse_state(
    first, second, expected
):
    table = MemberTable(NodeId("me"), ZoneName("a"))
    table.apply(rumour("n"), 0.0)
    for state, incarnation in (first, second):
        table.apply(rumour("n", "a", state, incarnation), 0.0)
    assert table.get(NodeId("n")).rumour.state is expected


def test_silent_node_is_probed_indirectly_then_suspected_then_dead():
    me = node()
    for name in ("quiet", "relay"):
        me.receive(frame(name, RumoursOnly()), 0.0)
    seen = []
    now = 0.0
    while now < 6.0:
        effects = me.tick(now)
        seen += sent(effects, ProbeRequest)
        for probe in sent(effects, Probe):
            if probe.node == "relay":
                ack = Ack(probe.frame.body.sequence, NodeId("relay"))
                me.receive(frame("relay", ack), now)
        now += 0.1
    assert {effect.node for effect in seen} == {"relay"}
    assert set(me.live_nodes()) == {"me", "relay"}


def test_relayed_answer_keeps_a_node_alive():
    me = node()
    for name in ("cut", "relay"):
        me.receive(frame(name, RumoursOnly()), 0.0)
    now = 0.0
    while now < 10.0:
        effects = me.tick(now)
        for effect in sent(effects, ProbeRequest):
            body = effect.frame.body
            me.receive(frame("relay", Ack(body.sequence, body.target)), now)
        for probe in sent(effects, Probe):
            if probe.node == "relay":
                ack = Ack(probe.frame.body.sequence, NodeId("relay"))
                me.receive(frame("relay", ack), now)
        now += 0.1
    assert "cut" in me.live_nodes()


def test_node_refutes_a_rumour_about_itself_by_a_higher_incarnation():
    me = node()
    bad = rumour("me", state=NodeState.DEAD, incarnation=4)
    me.receive(frame("other", RumoursOnly(), (bad,)), 0.0)
    assert me.local.incarnation == 5


def test_node_listed_as_dead_that_sends_a_frame_is_told_and_refutes():
    me, other = node(), node("other")
    me.receive(frame("other", RumoursOnly()), 0.0)
    dead = rumour("other", state=NodeState.DEAD)
    me.receive(frame("third", RumoursOnly(), (dead,)), 0.0)
    assert "other" not in me.live_nodes()
    for effect in me.receive(frame("other", Ack(1, NodeId("other"))), 0.0):
        if isinstance(effect, SendFrame) and effect.node == "other":
            other.receive(effect.frame, 0.0)
    back = frame("other", RumoursOnly(), incarnation=other.local.incarnation)
    me.receive(back, 0.0)
    assert "other" in me.live_nodes()


def test_paused_node_suspects_no_other_node():
    me = node()
    for name in ("n1", "n2"):
        me.receive(frame(name, RumoursOnly()), 0.0)
    me.tick(0.0)
    me.tick(60.0)
    assert set(me.live_nodes()) == {"me", "n1", "n2"}


def test_a_probe_for_the_former_owner_of_an_address_is_not_answered():
    me = node()
    effects = me.receive(frame("n1", Probe(1, NodeId("old"))), 0.0)
    assert sent(effects, Ack) == []


def test_only_two_nodes_of_another_zone_are_kept():
    me = node()
    for number in range(50):
        me.receive(frame(f"b{number}", RumoursOnly(), zone="b"), 0.0)
        me.receive(frame(f"a{number}", RumoursOnly(), zone="a"), 0.0)
    zones = list(me.live_nodes().values())
    assert (zones.count("a"), zones.count("b")) == (51, 2)


def test_full_table_replaces_the_node_that_has_been_dead_longest():
    table = MemberTable(NodeId("me"), ZoneName("a"))
    for number in range(2 * MAX_MEMBERS):
        table.apply(rumour(f"n{number}"), float(number))
    assert len(table) == MAX_MEMBERS
    table.apply(rumour("n7", state=NodeState.DEAD), 1e6)
    assert table.apply(rumour("late"), 1e6)
    assert table.get(NodeId("n7")) is None


def test_digests_are_applied_in_order_without_gaps():
    writer = DigestStore(NodeId("w"), 1)
    writer.set_own("x", b"1")
    writer.set_own("y", b"1")
    writer.set_own("x", b"2")
    reader = DigestStore(NodeId("r"), 1)
    late = writer.entries_after(Mark(NodeId("w"), 1, 2), 10_000)
    assert not reader.apply(late[0])
    for entry in writer.entries_after(reader.mark(NodeId("w")), 10_000):
        assert reader.apply(entry)
        assert not reader.apply(entry)
    found = {e.topic: e.payload for t in "xy" for e in reader.of_topic(t)}
    assert found == {"x": b"2", "y": b"1"}


def test_digest_of_an_earlier_incarnation_is_ignored():
    old, new = DigestStore(NodeId("w"), 1), DigestStore(NodeId("w"), 2)
    old.set_own("x", b"old")
    new.set_own("x", b"new")
    reader = DigestStore(NodeId("r"), 1)
    nothing = Mark(NodeId("w"), 0, 0)
    assert reader.apply(new.entries_after(nothing, 1_000)[0])
    assert not reader.apply(old.entries_after(nothing, 1_000)[0])


def test_setting_a_digest_above_the_limit_raises():
    with pytest.raises(ValueError, match="more than"):
        node().set_digest("x", b"x" * 1_025)


def test_messages_stop_when_the_byte_budget_is_used_up_but_probes_continue():
    me = node()
    me.receive(frame("n1", RumoursOnly()), 0.0)
    count = 0
    while me.message(NodeId("n1"), "bulk", b"x" * 8_000, 0.0):
        count += 1
    assert count <= 5
    assert sent(me.tick(0.0), Probe)


def test_token_bucket_returns_the_time_to_wait():
    bucket = TokenBucket(rate=8.0, depth=4.0)
    bucket.charge(8.0, now=0.0)
    assert bucket.wait_s(2.0, now=0.0) == 0.75
    assert not bucket.take(2.0, now=0.5)
    assert bucket.take(2.0, now=0.75)


def test_messages_for_callers_do_not_use_the_control_budget():
    me = node()
    me.receive(frame("other", RumoursOnly()), 0.0)
    payload = b"x" * 10_000

    def send_all(data):
        count = 0
        while me.message("other", "t", payload, 0.0, data=data) is not None:
            count += 1
            assert count < 100
        return count

    assert send_all(data=True) > 0
    assert send_all(data=False) > 0
    assert me.message("other", "t", b"", 0.0, data=True) is None
