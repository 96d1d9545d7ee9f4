"""Tests of encoded frames: round trips, size limits and arbitrary bytes."""

import pytest
from hypothesis import given, strategies

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.messages import (
    Ack,
    Entries,
    Entry,
    Frame,
    Mark,
    NodeState,
    Probe,
    ProbeRequest,
    Rumour,
    RumoursOnly,
    TopicMessage,
)
from pomeloarch_core.membership.sizes import frame_bytes
from pomeloarch_node.peer_codec import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    decode_frame,
    decode_length,
    encode_frame,
)

NAMES = strategies.text("abcdefghij-0123456789", min_size=1, max_size=40)
COUNTS = strategies.integers(0, 2**53)
ADDRESSES = strategies.builds(
    "10.{}.{}.{}:{}".format,
    *[strategies.integers(0, 255)] * 3,
    strategies.integers(1, 65_535),
)
PAYLOADS = strategies.binary(max_size=1_024)
RUMOURS = strategies.builds(
    Rumour, NAMES, NAMES, ADDRESSES, strategies.sampled_from(NodeState), COUNTS
)
MARKS = strategies.builds(Mark, NAMES, COUNTS, COUNTS)
ENTRIES = strategies.builds(
    Entry, NAMES, COUNTS, COUNTS, COUNTS, NAMES, PAYLOADS
)


def tuples(items):
    return strategies.lists(items, max_size=6).map(tuple)


BODIES = strategies.one_of(
    strategies.builds(Probe, COUNTS, NAMES, tuples(MARKS)),
    strategies.builds(Ack, COUNTS, NAMES, tuples(ENTRIES), tuples(MARKS)),
    strategies.builds(ProbeRequest, COUNTS, NAMES),
    strategies.builds(Entries, tuples(ENTRIES)),
    strategies.builds(TopicMessage, NAMES, PAYLOADS),
    strategies.just(RumoursOnly()),
)
FRAMES = strategies.builds(
    Frame, NAMES, NAMES, ADDRESSES, COUNTS, BODIES, tuples(RUMOURS)
)


@given(FRAMES)
def test_a_frame_is_decoded_unchanged_and_is_within_its_computed_size(frame):
    encoded = encode_frame(frame)
    header, packed = encoded[:LENGTH_BYTES], encoded[LENGTH_BYTES:]
    assert decode_length(header).ok_value == len(packed)
    assert decode_frame(packed).ok_value == frame
    assert len(encoded) <= frame_bytes(frame)


@given(strategies.binary(max_size=2_000))
def test_any_bytes_decode_to_a_frame_or_an_error(packed):
    found = decode_frame(packed)
    assert found.is_ok() or found.err_value


@given(FRAMES, strategies.data())
def test_a_damaged_frame_decodes_to_a_frame_or_an_error(frame, data):
    packed = bytearray(encode_frame(frame)[LENGTH_BYTES:])
    for _ in range(data.draw(strategies.integers(1, 4))):
        index = data.draw(strategies.integers(0, len(packed) - 1))
        packed[index] = data.draw(strategies.integers(0, 255))
    found = decode_frame(bytes(packed))
    assert found.is_ok() or found.err_value


@pytest.mark.parametrize("length", [0, MAX_FRAME_BYTES + 1, 2**32 - 1])
def test_a_length_outside_the_limits_is_refused(length):
    assert decode_length(length.to_bytes(4, "big")).is_err()


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"sender": ""}, "name"),
        ({"sender": "x" * 300}, "name"),
        ({"availability_zone": ""}, "zone"),
        ({"address": "example.org:80"}, "address"),
        ({"address": "10.0.0.1"}, "address"),
        ({"address": "10.0.0.1:99999"}, "port"),
        ({"incarnation": 2**63}, "counter"),
    ],
)
def test_values_that_no_node_sends_are_refused(changes, reason):
    values = {
        "sender": NodeId("n"),
        "availability_zone": ZoneName("z"),
        "address": "10.0.0.1:7000",
        "incarnation": 1,
        "body": RumoursOnly(),
    }
    frame = Frame(**values | changes)
    found = decode_frame(encode_frame(frame)[LENGTH_BYTES:])
    assert reason in found.err_value


def test_packed_zeros_that_expand_too_much_are_refused():
    assert decode_frame(b"\x00\xff" * 16_000).is_err()
