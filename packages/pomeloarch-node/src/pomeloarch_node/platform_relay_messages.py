"""Messages by which one node calls the platform for another one.

Each answer carries the number of its call.
"""

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
    """Requests to write all rows if all checks hold."""

    number: int
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class ReadCall(msgspec.Struct, frozen=True, tag=True):
    """Requests rows by table and key."""

    number: int
    keys: tuple[tuple[str, str], ...]


class ScanCall(msgspec.Struct, frozen=True, tag=True):
    """Requests up to `limit` rows above `after`, in the order of keys."""

    number: int
    table: str
    prefix: str
    after: str
    limit: int


class Transacted(msgspec.Struct, frozen=True, tag=True):
    """Answers a `TransactCall`.

    Attributes:
      number: the number of the call.
      versions: the new versions of the rows, if they were written.
      conflicts: the current rows if a check did not hold, else None.
    """

    number: int
    versions: tuple[int, ...] = ()
    conflicts: tuple[Row, ...] | None = None


class RowsRead(msgspec.Struct, frozen=True, tag=True):
    """Answers a `ReadCall` or a `ScanCall` with the rows."""

    number: int
    rows: tuple[Row, ...]


class Failed(msgspec.Struct, frozen=True, tag=True):
    """Answers a call that failed.

    Attributes:
      number: the number of the call.
      failure: whether it may have taken effect.
      message: why it failed, for people.
      reached: whether the platform itself answered.
    """

    number: int
    failure: PlatformFailure
    message: str
    reached: bool = False

    def to_error(self) -> PlatformError:
        """Returns the error as the caller's own client would return it."""
        return PlatformError(self.failure, self.message, self.reached)


RelayedCall = TransactCall | ReadCall | ScanCall
RelayedAnswer = Transacted | RowsRead | Failed

_decoder = msgspec.msgpack.Decoder(RelayedCall | RelayedAnswer)


def encode_message(message: RelayedCall | RelayedAnswer) -> bytes:
    """Encodes a message."""
    return msgspec.msgpack.encode(message)


def decode_message(
    payload: bytes,
) -> Result[RelayedCall | RelayedAnswer, str]:
    """Decodes a peer's message, or returns what is wrong with its bytes."""
    try:
        return Ok(_decoder.decode(payload))
    except msgspec.DecodeError as exc:
        return Err(str(exc))
