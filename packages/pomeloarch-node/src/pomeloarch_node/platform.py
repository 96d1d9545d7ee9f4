"""One client for the platform's tables, objects and membership list.

A write whose answer was lost is `UNKNOWN`: the caller settles it by reading
back what it wrote, and never writes again blindly.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Any, Protocol

import aiohttp
import msgspec
from result import Err, Ok, Result


class Row(msgspec.Struct, frozen=True):
    """A row as it stands; version 0 and value None for an absent one."""

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


class HostState(enum.Enum):
    """What the platform's list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostKind(enum.Enum):
    """Which of the platform's lists a host is on."""

    NODE = "node"
    WORKER = "worker"
    EXECUTOR = "executor"


class Host(msgspec.Struct, frozen=True):
    """An entry of the platform's membership list, which lags."""

    id: str
    kind: HostKind
    availability_zone: str
    address: str
    state: HostState = HostState.LIVE
    attributes: dict[str, Any] = {}


class PlatformFailure(enum.Enum):
    """Why the platform gave no answer that counts."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class PlatformError(msgspec.Struct, frozen=True):
    """A call that failed, and whether it may have taken effect."""

    failure: PlatformFailure
    message: str


class Conflict(msgspec.Struct, frozen=True):
    """A transaction's checks did not hold; nothing was written."""

    rows: tuple[Row, ...]


class PlatformClient(Protocol):
    """What the node asks of the platform; tests use a fake of it."""

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
        """Reads the lagging list of hosts."""


class _TxnAnswer(msgspec.Struct):
    versions: tuple[int, ...]


class _ConflictAnswer(msgspec.Struct):
    conflicts: tuple[Row, ...]


class _RowsAnswer(msgspec.Struct):
    rows: tuple[Row, ...]


class _HostsAnswer(msgspec.Struct):
    hosts: tuple[Host, ...]


class HttpPlatformClient:
    """The platform over HTTP.

    Args:
      session: the HTTP session; the caller closes it.
      base_url: where the platform answers.
      timeout_s: time a call may take, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float = 2.0,
    ) -> None:
        """Keeps the session and where to call."""
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        body = {"checks": list(checks), "writes": list(writes)}
        answer = await self._call("POST", "/tables/txn", body)
        if isinstance(answer, Err):
            return answer
        status, payload = answer.ok_value
        if status == 409:
            found = msgspec.json.decode(payload, type=_ConflictAnswer)
            return Err(Conflict(rows=found.conflicts))
        if status != 200:
            return Err(_refused(status))
        return Ok(msgspec.json.decode(payload, type=_TxnAnswer).versions)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        return await self._rows("/tables/read", {"keys": list(keys)})

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        body = {
            "table": table,
            "prefix": prefix,
            "after": after,
            "limit": limit,
        }
        return await self._rows("/tables/scan", body)

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the lagging list of hosts."""
        answer = await self._call("GET", "/membership", None)
        if isinstance(answer, Err):
            return answer
        status, payload = answer.ok_value
        if status != 200:
            return Err(_refused(status))
        return Ok(msgspec.json.decode(payload, type=_HostsAnswer).hosts)

    async def _rows(
        self, path: str, body: Any
    ) -> Result[tuple[Row, ...], PlatformError]:
        answer = await self._call("POST", path, body)
        if isinstance(answer, Err):
            return answer
        status, payload = answer.ok_value
        if status != 200:
            return Err(_refused(status))
        return Ok(msgspec.json.decode(payload, type=_RowsAnswer).rows)

    async def _call(
        self, method: str, path: str, body: Any
    ) -> Result[tuple[int, bytes], PlatformError]:
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=data,
                headers={"Content-Type": "application/json"},
                timeout=self._timeout,
            ) as response:
                return Ok((response.status, await response.read()))
        except aiohttp.ClientConnectorError as exc:
            return Err(PlatformError(PlatformFailure.NOT_DONE, str(exc)))
        except (TimeoutError, aiohttp.ClientError) as exc:
            return Err(PlatformError(PlatformFailure.UNKNOWN, repr(exc)))


def _refused(status: int) -> PlatformError:
    return PlatformError(
        PlatformFailure.NOT_DONE, f"the platform answered {status}"
    )
