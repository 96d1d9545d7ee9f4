"""The platform's tables and its list of hosts, as the node uses them.

A write whose answer was lost fails with `PlatformFailure.UNKNOWN`. The caller
reads the rows back to find out whether it took effect, and must not write
again before it knows.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Any, Protocol

import msgspec
from result import Ok, Result


class Row(msgspec.Struct, frozen=True):
    """A stored row; an absent one has version 0 and the value None."""

    table: str
    key: str
    version: int
    value: Any = None


class Check(msgspec.Struct, frozen=True):
    """A condition of a transaction: the row has exactly this version."""

    table: str
    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """A row to write; value None deletes it."""

    table: str
    key: str
    value: Any


class StoreLimits(msgspec.Struct, frozen=True):
    """What the platform takes in one call; it refuses anything larger.

    Attributes:
      row_bytes: the largest value of a row, in bytes of JSON.
      transaction_entries: the most checks and writes of a transaction.
      transaction_bytes: the largest transaction, in bytes.
    """

    row_bytes: int = 65_536
    transaction_entries: int = 100
    transaction_bytes: int = 1_000_000


class HostState(enum.Enum):
    """The state of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostKind(enum.Enum):
    """The kind of a host, which determines the list that it is on."""

    NODE = "node"
    WORKER = "worker"
    EXECUTOR = "executor"


class Host(msgspec.Struct, frozen=True):
    """An entry of the platform's list of hosts, which lags behind changes."""

    id: str
    kind: HostKind
    availability_zone: str
    address: str
    state: HostState = HostState.LIVE
    attributes: dict[str, Any] = {}


class PlatformFailure(enum.Enum):
    """Whether a failed call may have taken effect.

    NOT_DONE: it certainly did not.
    UNKNOWN: it may have.
    """

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class PlatformError(msgspec.Struct, frozen=True):
    """Describes a failed call.

    Attributes:
      failure: whether it may have taken effect.
      message: why it failed, for people.
      reached: whether the platform itself answered.
      permanent: whether the same call will be refused however often it is
        repeated.
    """

    failure: PlatformFailure
    message: str
    reached: bool = False
    permanent: bool = False


class Conflict(msgspec.Struct, frozen=True):
    """Checks of a transaction did not hold; nothing was written."""

    rows: tuple[Row, ...]


def is_definite(
    answer: Result[tuple[int, ...], Conflict | PlatformError],
) -> bool:
    """Returns whether an answer tells if the transaction took effect."""
    return isinstance(answer, Ok) or isinstance(answer.err_value, Conflict)


class PlatformClient(Protocol):
    """The calls that a node makes to the platform; tests use a fake."""

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts, which lags behind changes."""
