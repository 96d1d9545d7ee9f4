"""Times and bounds of the membership protocol."""

from __future__ import annotations

import msgspec


class MembershipConfig(msgspec.Struct, frozen=True):
    """Times and bounds of the protocol.

    Attributes:
      period_s: time between probes, in seconds.
      ack_timeout_s: time until others are asked to probe, in seconds.
      probe_timeout_s: time until a silent node is suspected, in seconds.
      suspicion_s: time a suspect has to refute, in seconds.
      rejoin_s: time between tries of a seed or a dead node, in seconds.
      relays: how many others are asked to probe.
      bytes_per_s: what this node may send on the average.
      data_bytes_per_s: what it may send for callers beside that.
      burst_bytes: what it may send at once.
      message_reserve: the part of a burst that digests leave to messages.
      frame_room: most bytes of digests in one frame.
      max_marks: most marks in one probe.
      max_rumours: most rumours in one frame.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.3
    probe_timeout_s: float = 1.0
    suspicion_s: float = 2.0
    rejoin_s: float = 5.0
    relays: int = 2
    bytes_per_s: float = 3_400.0
    data_bytes_per_s: float = 65_536.0
    burst_bytes: float = 10_000.0
    message_reserve: float = 5_000.0
    frame_room: int = 2_048
    max_marks: int = 12
    max_rumours: int = 6
