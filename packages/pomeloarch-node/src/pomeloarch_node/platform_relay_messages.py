"""What nodes tell each other when one calls the platform for another."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from pomeloarch_node.platform import (
    Check,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)


class TransactCall(msgspec.Struct, frozen=True, tag=True):
    """Write all rows if all checks hold."""

    number: int
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class ReadCall(msgspec.Struct, frozen=True, tag=True):
    """Read rows by table and key."""

    number: int
    keys: tuple[tuple[str, str], ...]


class ScanCall(msgspec.Struct, frozen=True, tag=True):
    """Read rows in the order of keys."""

    number: int
    table: str
    prefix: str
    after: str
    limit: int


class Transacted(msgspec.Struct, frozen=True, tag=True):
    """The rows' new versions, or the rows that stood in the way."""

    number: int
    versions: tuple[int, ...] = ()
    conflicts: tuple[Row, ...] | None = None


class RowsRead(msgspec.Struct, frozen=True, tag=True):
    """The rows that were asked for."""

    number: int
    rows: tuple[Row, ...]


class Failed(msgspec.Struct, frozen=True, tag=True):
    """The call failed at the helper.

    Attributes:
      number: the call's number.
      failure: whether it may have taken effect.
      message: why, for people.
      reached: whether the platform itself answered.
    """

    number: int
    failure: PlatformFailure
    message: str
    reached: bool = False

    def error(self) -> PlatformError:
        """Returns the failure as the caller's own client would."""
        return PlatformError(self.failure, self.message, self.reached)


RelayedCall = TransactCall | ReadCall | ScanCall
RelayedAnswer = Transacted | RowsRead | Failed

_decoder = msgspec.msgpack.Decoder(RelayedCall | RelayedAnswer)


def encode_message(message: RelayedCall | RelayedAnswer) -> bytes:
    """Returns a message as bytes."""
    return msgspec.msgpack.encode(message)


def decode_message(
    payload: bytes,
) -> Result[RelayedCall | RelayedAnswer, str]:
    """Returns a peer's message, or what is wrong with its bytes."""
    try:
        return Ok(_decoder.decode(payload))
    except msgspec.DecodeError as exc:
        return Err(str(exc))
