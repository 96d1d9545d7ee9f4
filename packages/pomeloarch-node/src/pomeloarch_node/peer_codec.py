"""Encodes frames between nodes as length-prefixed, packed Cap'n Proto.

The schema is loaded when this module is imported, so no code generator is
needed. Only the encoding of the library is used.
"""

from __future__ import annotations

import functools
import ipaddress
import pathlib
import struct
from typing import Any

import capnp
from result import Err, Ok, Result

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.messages import (
    Ack,
    Body,
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

# Limit on the length of an encoded frame, without its prefix. A longer one
# closes its connection.
MAX_FRAME_BYTES = 32_768
# Size of the length prefix.
LENGTH_BYTES = 4
# Limit on the 8-byte words of an unpacked frame: packed zeros expand when they
# are unpacked, so the length of the packed frame does not limit them.
_MAX_UNPACKED_WORDS = 16_384
_MAX_NESTING = 8

_MAX_NAME_LENGTH = 253
_PORT_LIMIT = 65_536
# Largest valid counter. It is far below the limit of a 64-bit integer, so that
# a valid counter can still be incremented.
_MAX_COUNTER = 2**53

_capnp: Any = capnp
_schema: Any = _capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame, with its length prefix."""
    body = _body_fields(frame.body)
    message = _schema.Frame.new_message(
        sender=frame.sender,
        availabilityZone=frame.availability_zone,
        address=frame.address,
        incarnation=frame.incarnation,
        rumours=list(map(_rumour_fields, frame.rumours)),
        body=body,
    )
    packed: bytes = message.to_bytes_packed()
    return struct.pack(">I", len(packed)) + packed


def decode_length(header: bytes) -> Result[int, str]:
    """Decodes a length prefix; an invalid length is an error."""
    length: int = struct.unpack(">I", header)[0]
    if not 0 < length <= MAX_FRAME_BYTES:
        return Err(f"a frame of {length} bytes is outside the limits")
    return Ok(length)


def decode_frame(packed: bytes) -> Result[Frame, str]:
    """Decodes a packed frame, or returns what is wrong with its bytes."""
    try:
        message = _schema.Frame.from_bytes_packed(
            packed,
            traversal_limit_in_words=_MAX_UNPACKED_WORDS,
            nesting_limit=_MAX_NESTING,
        )
        frame = _parse_frame(message)
        _check_frame(frame)
        return Ok(frame)
    except (
        _capnp.KjException,
        ValueError,
        RuntimeError,
        MemoryError,
    ) as exc:
        return Err(f"not a frame: {str(exc).splitlines()[:1]}")


def _check_frame(frame: Frame) -> None:
    """Raises ValueError for values that no correct node sends."""
    _check_node_fields(frame.sender, frame.availability_zone, frame.address)
    counters = [frame.incarnation]
    for rumour in frame.rumours:
        _check_node_fields(
            rumour.node, rumour.availability_zone, rumour.address
        )
        counters.append(rumour.incarnation)
    if isinstance(frame.body, Probe | Ack | Entries):
        counters += _body_counters(frame.body)
    if any(counter > _MAX_COUNTER for counter in counters):
        raise ValueError("a counter is out of range")


def _body_counters(body: Probe | Ack | Entries) -> list[int]:
    items: list[Mark | Entry] = []
    if isinstance(body, Probe):
        items += body.marks
    elif isinstance(body, Ack):
        items += [*body.wanted, *body.entries]
    else:
        items += body.entries
    return [counter for item in items for counter in _item_counters(item)]


def _item_counters(item: Mark | Entry) -> tuple[int, int]:
    return item.incarnation, item.version


@functools.lru_cache(maxsize=4_096)
def _check_node_fields(node: str, availability_zone: str, address: str) -> None:
    if not 0 < len(node) <= _MAX_NAME_LENGTH:
        raise ValueError("a node's name is empty or too long")
    if not 0 < len(availability_zone) <= _MAX_NAME_LENGTH:
        raise ValueError("a zone's name is empty or too long")
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < _PORT_LIMIT:
        raise ValueError("a port is out of range")


@functools.singledispatch
def _body_fields(body: Body) -> dict[str, Any]:
    raise TypeError(f"unknown body type: {type(body).__name__}")


@_body_fields.register
def _(body: RumoursOnly) -> dict[str, Any]:
    del body
    return {"rumoursOnly": None}


@_body_fields.register
def _(body: Probe) -> dict[str, Any]:
    return {
        "probe": {
            "sequence": body.sequence,
            "target": body.target,
            "marks": list(map(_mark_fields, body.marks)),
        }
    }


@_body_fields.register
def _(body: Ack) -> dict[str, Any]:
    return {
        "ack": {
            "sequence": body.sequence,
            "target": body.target,
            "entries": list(map(_entry_fields, body.entries)),
            "wanted": list(map(_mark_fields, body.wanted)),
        }
    }


@_body_fields.register
def _(body: ProbeRequest) -> dict[str, Any]:
    return {"probeRequest": {"sequence": body.sequence, "target": body.target}}


@_body_fields.register
def _(body: Entries) -> dict[str, Any]:
    return {"entries": {"entries": list(map(_entry_fields, body.entries))}}


@_body_fields.register
def _(body: TopicMessage) -> dict[str, Any]:
    return {"message": {"topic": body.topic, "payload": body.payload}}


def _rumour_fields(rumour: Rumour) -> dict[str, Any]:
    return {
        "node": rumour.node,
        "availabilityZone": rumour.availability_zone,
        "address": rumour.address,
        "state": int(rumour.state),
        "incarnation": rumour.incarnation,
    }


def _mark_fields(mark: Mark) -> dict[str, Any]:
    return {
        "node": mark.node,
        "incarnation": mark.incarnation,
        "version": mark.version,
    }


def _entry_fields(entry: Entry) -> dict[str, Any]:
    return {
        "node": entry.node,
        "incarnation": entry.incarnation,
        "version": entry.version,
        "after": entry.after,
        "topic": entry.topic,
        "payload": entry.payload,
    }


def _parse_frame(message: Any) -> Frame:
    return Frame(
        sender=NodeId(message.sender),
        availability_zone=ZoneName(message.availabilityZone),
        address=message.address,
        incarnation=message.incarnation,
        body=_parse_body(message.body),
        rumours=tuple(map(_parse_rumour, message.rumours)),
    )


def _parse_body(body: Any) -> Body:
    kind = body.which()
    value = getattr(body, kind)
    if kind == "probe":
        return Probe(
            value.sequence, NodeId(value.target), _parse_marks(value.marks)
        )
    if kind == "ack":
        return Ack(
            value.sequence,
            NodeId(value.target),
            _parse_entries(value.entries),
            _parse_marks(value.wanted),
        )
    if kind == "probeRequest":
        return ProbeRequest(value.sequence, NodeId(value.target))
    if kind == "entries":
        return Entries(_parse_entries(value.entries))
    if kind == "message":
        return TopicMessage(value.topic, bytes(value.payload))
    return RumoursOnly()


def _parse_rumour(value: Any) -> Rumour:
    return Rumour(
        NodeId(value.node),
        ZoneName(value.availabilityZone),
        value.address,
        NodeState(value.state),
        value.incarnation,
    )


def _parse_marks(values: Any) -> tuple[Mark, ...]:
    return tuple(
        Mark(NodeId(value.node), value.incarnation, value.version)
        for value in values
    )


def _parse_entries(values: Any) -> tuple[Entry, ...]:
    return tuple(
        Entry(
            NodeId(value.node),
            value.incarnation,
            value.version,
            value.after,
            value.topic,
            bytes(value.payload),
        )
        for value in values
    )
