"""What nodes tell each other to spread the highest generation."""

from __future__ import annotations

import zlib

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects.delta import Delta
from pomeloarch_core.objects.model import Snapshot

# What a message may hold after and before it is inflated.
MAX_PACKED_BYTES = 16_000
MAX_PLAIN_BYTES = 1_000_000
MAX_SNAPSHOT_BYTES = 32_000_000


class Have(msgspec.Struct, frozen=True, tag=True):
    """Says which generation is in force at the sender; also the digest."""

    generation: Generation


class Pull(msgspec.Struct, frozen=True, tag=True):
    """Asks for what leads from a generation to the sender's highest."""

    base: Generation


class Deltas(msgspec.Struct, frozen=True, tag=True):
    """Steps that follow on each other, the first from a known base."""

    deltas: tuple[Delta, ...]


class Chunk(msgspec.Struct, frozen=True, tag=True):
    """A part of a whole snapshot.

    Attributes:
      generation: the snapshot's generation.
      index: which part it is, from 0.
      count: how many parts there are.
      data: the part's bytes.
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
    """Returns a message as bytes, deflated where that pays."""
    plain = msgspec.msgpack.encode(message)
    return zlib.compress(plain) if isinstance(message, Deltas) else plain


def decode_message(payload: bytes) -> Result[GenerationMessage, str]:
    """Returns the message of a peer, or what is wrong with its bytes."""
    try:
        if payload[:1] == b"\x78":
            payload = _inflate(payload, MAX_PLAIN_BYTES)
        return Ok(_decoder.decode(payload))
    except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))


def pack_snapshot(snapshot: Snapshot) -> bytes:
    """Returns a snapshot as deflated bytes, to be cut into chunks."""
    return zlib.compress(msgspec.msgpack.encode(snapshot))


def unpack_snapshot(packed: bytes) -> Result[Snapshot, str]:
    """Returns the snapshot in the bytes of all chunks."""
    try:
        plain = _inflate(packed, MAX_SNAPSHOT_BYTES)
        return Ok(msgspec.msgpack.decode(plain, type=Snapshot))
    except (zlib.error, msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))


def _inflate(packed: bytes, limit: int) -> bytes:
    inflate = zlib.decompressobj()
    plain = inflate.decompress(packed, limit)
    if not inflate.eof:
        raise ValueError("the deflated bytes are cut off or too many")
    return plain
