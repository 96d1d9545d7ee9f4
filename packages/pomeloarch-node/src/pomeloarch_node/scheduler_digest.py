"""The load of a zone, as its scheduler reports it to the other nodes."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import Epoch, ZoneName
from pomeloarch_node.peers import PeerMessage

DIGEST_TOPIC = "scheduler"
JOB_TOPIC = "job"
EXPLAIN_TOPIC = "explain"


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """Load of a zone as its scheduler sees it.

    Attributes:
      availability_zone: the zone.
      epoch: the epoch of its scheduler.
      accelerators: number of accelerators of its workers.
      wanted: number of accelerators that its unfinished jobs hold or wait for.
    """

    availability_zone: ZoneName
    epoch: Epoch
    accelerators: int
    wanted: int

    @property
    def load(self) -> float:
        """Ratio of the accelerators wanted to those present."""
        return self.wanted / max(1, self.accelerators)


def encode_digest(digest: ZoneDigest) -> bytes:
    """Encodes a digest; an empty payload means that a node isn't the holder."""
    return msgspec.msgpack.encode(digest)


def decode_digests(
    messages: Iterable[PeerMessage],
) -> dict[ZoneName, tuple[PeerMessage, ZoneDigest]]:
    """Decodes digests.

    Args:
      messages: the digests of the nodes; unreadable ones are skipped.

    Returns:
      For each zone, the digest with the highest epoch and its message.
    """
    newest: dict[ZoneName, tuple[PeerMessage, ZoneDigest]] = {}
    for message in messages:
        if not message.payload:
            continue
        try:
            digest = msgspec.msgpack.decode(message.payload, type=ZoneDigest)
        except msgspec.DecodeError:
            continue
        zone = digest.availability_zone
        if zone not in newest or newest[zone][1].epoch < digest.epoch:
            newest[zone] = (message, digest)
    return newest
