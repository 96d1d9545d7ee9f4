"""What the scheduler of a zone tells the other nodes about its zone."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import Epoch, ZoneName
from pomeloarch_node.peers import PeerMessage

DIGEST_TOPIC = "scheduler"
JOB_TOPIC = "job"
EXPLAIN_TOPIC = "explain"


class ZoneDigest(msgspec.Struct, frozen=True, array_like=True):
    """A zone's load as its scheduler sees it.

    Attributes:
      availability_zone: the zone.
      epoch: the epoch of its scheduler.
      accelerators: accelerators of its workers.
      wanted: accelerators that its unfinished jobs hold or wait for.
    """

    availability_zone: ZoneName
    epoch: Epoch
    accelerators: int
    wanted: int

    @property
    def load(self) -> float:
        """What is wanted of the zone over what it has."""
        return self.wanted / max(1, self.accelerators)


def encode_digest(digest: ZoneDigest) -> bytes:
    """Returns a digest as a payload; an empty one says "not the holder"."""
    return msgspec.msgpack.encode(digest)


def decode_digests(
    messages: Iterable[PeerMessage],
) -> dict[ZoneName, tuple[PeerMessage, ZoneDigest]]:
    """Returns the digest with the highest epoch of each zone."""
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
