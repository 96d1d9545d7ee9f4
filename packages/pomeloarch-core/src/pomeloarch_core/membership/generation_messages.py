"""Messages by which nodes spread the highest generation."""

from __future__ import annotations

import zlib

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta
from pomeloarch_core.objects.model import Snapshot

# Maximum sizes of a message before and after inflation, and of an inflated
# snapshot.
MAX_PACKED_BYTES = 16_000
MAX_PLAIN_BYTES = 1_000_000
MAX_SNAPSHOT_BYTES = 32_000_000


class Have(msgspec.Struct, frozen=True, tag=True):
    """Announces the generation in force at the sender; also the digest."""

    generation: Generation


class Pull(msgspec.Struct, frozen=True, tag=True):
    """Requests the changes from a generation to the receiver's highest one."""

    base: Generation


class Deltas(msgspec.Struct, frozen=True, tag=True):
    """Consecutive deltas, the first of which starts at a known base."""

    deltas: tuple[Delta, ...]


class Chunk(msgspec.Struct, frozen=True, tag=True):
    """A chunk of a packed snapshot.

    Attributes:
      generation: the generation of the snapshot.
      index: the number of the chunk, starting at 0.
      count: the number of chunks of the snapshot.
      data: the bytes of the chunk.
    """

    generation: Generation
    index: int
    count: int
    data: bytes


GenerationMessage = Have | Pull | Deltas | Chunk

_decoder: msgspec.msgpack.Decoder[GenerationMessage] = msgspec.msgpack.Decoder(
    GenerationMessage
)


def encode_message(message: GenerationMessage) -> bytes:
    """Returns an encoded message, deflated if it contains deltas."""
    plain = msgspec.msgpack.encode(message)
    return zlib.compress(plain) if isinstance(message, Deltas) else plain


def decode_message(payload: bytes) -> Result[GenerationMessage, str]:
    """Returns a peer's message, or why its bytes can't be decoded."""
    try:
        if payload[:1] == b"\x78":
            payload = _inflate(payload, MAX_PLAIN_BYTES)
        return Ok(_decoder.decode(payload))
    except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Returns a snapshot as deflated bytes, to be split into chunks."""
    return zlib.compress(msgspec.msgpack.encode(snapshot))


def unpack_snapshot(packed: bytes) -> Result[Snapshot, str]:
    """Returns the snapshot from the joined bytes of all its chunks."""
    try:
        plain = _inflate(packed, MAX_SNAPSHOT_BYTES)
        return Ok(msgspec.msgpack.decode(plain, type=Snapshot))
    except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))


def _inflate(packed: bytes, limit: int) -> bytes:
    inflate = zlib.decompressobj()
    plain = inflate.decompress(packed, limit)
    if not inflate.eof:
        raise ValueError("the deflated data is truncated or too large")
    return plain
