"""Times and limits of the membership protocol."""

from __future__ import annotations

import msgspec


class MembershipConfig(msgspec.Struct, frozen=True):
    """Times and limits of the protocol.

    Attributes:
      period_s: time between probes, in seconds.
      ack_timeout_s: time without an answer after which other nodes are asked to
        probe, in seconds.
      probe_timeout_s: time without an answer after which a node is suspected,
        in seconds.
      suspicion_s: time that a suspected node has to refute, in seconds.
      rejoin_s: time between attempts to reach a seed or a dead node, in
        seconds.
      indirect_probes: how many other nodes are asked to probe.
      bytes_per_s: average rate of control traffic that this node may send.
      data_bytes_per_s: average rate of traffic for callers, in addition.
      burst_bytes: maximum burst of control traffic.
      message_reserve_bytes: part of a burst that digests leave to messages.
      max_digest_bytes_per_frame: maximum bytes of digests in one frame.
      max_marks: maximum number of marks in one probe.
      max_rumours: maximum number of rumours in one frame.
    """

    period_s: float = 1.0
    ack_timeout_s: float = 0.3
    probe_timeout_s: float = 1.0
    suspicion_s: float = 2.0
    rejoin_s: float = 5.0
    indirect_probes: int = 2
    bytes_per_s: float = 3_400.0
    data_bytes_per_s: float = 65_536.0
    burst_bytes: float = 10_000.0
    message_reserve_bytes: float = 5_000.0
    max_digest_bytes_per_frame: int = 2_048
    max_marks: int = 12
    max_rumours: int = 6
