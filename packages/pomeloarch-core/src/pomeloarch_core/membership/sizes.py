"""Upper bounds of the sizes of encoded frames."""

from __future__ import annotations

import functools

from pomeloarch_core.membership.digests import entry_bytes
from pomeloarch_core.membership.messages import (
    Ack,
    Body,
    Entries,
    Frame,
    Mark,
    Probe,
    ProbeRequest,
    Rumour,
    TopicMessage,
)

# Upper bounds of the encoded parts without their texts, payloads and lists.
_FRAME_BYTES = 72
_RUMOUR_BYTES = 44
_MARK_BYTES = 28
_BODY_BYTES = 32


def frame_bytes(frame: Frame) -> int:
    """Returns an upper bound of the bytes of a frame with its length prefix."""
    names = _text_bytes(frame.sender, frame.availability_zone, frame.address)
    rumours = sum(map(_rumour_bytes, frame.rumours))
    return _FRAME_BYTES + names + rumours + _body_bytes(frame.body)


def _rumour_bytes(rumour: Rumour) -> int:
    return _RUMOUR_BYTES + _text_bytes(
        rumour.node, rumour.availability_zone, rumour.address
    )


def _mark_bytes(mark: Mark) -> int:
    return _MARK_BYTES + _text_bytes(mark.node)


@functools.singledispatch
def _body_bytes(body: Body) -> int:
    del body
    return 0


@_body_bytes.register
def _(body: Probe) -> int:
    marks = sum(map(_mark_bytes, body.marks))
    return _BODY_BYTES + _text_bytes(body.target) + marks


@_body_bytes.register
def _(body: Ack) -> int:
    entries = sum(map(entry_bytes, body.entries))
    wanted = sum(map(_mark_bytes, body.wanted))
    return _BODY_BYTES + _text_bytes(body.target) + entries + wanted


@_body_bytes.register
def _(body: ProbeRequest) -> int:
    return _BODY_BYTES + _text_bytes(body.target)


@_body_bytes.register
def _(body: Entries) -> int:
    return _BODY_BYTES + sum(map(entry_bytes, body.entries))


@_body_bytes.register
def _(body: TopicMessage) -> int:
    # In the packed encoding, eight bytes without a zero take up to nine.
    return _BODY_BYTES + _text_bytes(body.topic) + len(body.payload) * 9 // 8


def _text_bytes(*texts: str) -> int:
    return sum(len(text.encode()) + 2 for text in texts)
