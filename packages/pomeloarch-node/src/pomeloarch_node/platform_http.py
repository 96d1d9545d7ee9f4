"""Client of the platform's tables over HTTP."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)

# HTTP status codes with which the platform refuses a call, which has then
# certainly not taken effect.
_REFUSAL_STATUSES = frozenset({400, 404, 429, 503})

_Answer = TypeVar("_Answer")


class _TxnAnswer(msgspec.Struct):
    versions: tuple[int, ...]


class _ConflictAnswer(msgspec.Struct):
    conflicts: tuple[Row, ...]


class _RowsAnswer(msgspec.Struct):
    rows: tuple[Row, ...]


class _HostsAnswer(msgspec.Struct):
    hosts: tuple[Host, ...]


class HttpPlatformClient:
    """A `PlatformClient` over HTTP.

    Args:
      session: the HTTP session; the caller closes it.
      base_url: the URL of the platform.
      timeout_s: limit on the time that a call takes, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout_s: float = 2.0,
    ) -> None:
        """Creates a client of the platform at a URL."""
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        body = {"checks": list(checks), "writes": list(writes)}
        answer = await self._request("POST", "/tables/txn", body)
        if isinstance(answer, Err):
            return answer
        status, payload = answer.ok_value
        if status == 409:
            found = _decode_answer(payload, _ConflictAnswer)
            if isinstance(found, Err):
                return Err(found.err_value)
            return Err(Conflict(rows=found.ok_value.conflicts))
        if status != 200:
            return Err(_make_status_error(status))
        done = _decode_answer(payload, _TxnAnswer)
        if isinstance(done, Err):
            return Err(done.err_value)
        return Ok(done.ok_value.versions)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        return await self._read_rows("/tables/read", {"keys": list(keys)})

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
        return await self._read_rows("/tables/scan", body)

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts, which lags behind changes."""
        answer = await self._request("GET", "/membership", None)
        if isinstance(answer, Err):
            return answer
        status, payload = answer.ok_value
        if status != 200:
            return Err(_make_status_error(status))
        return _decode_answer(payload, _HostsAnswer).map(
            lambda each: each.hosts
        )

    async def _read_rows(
        self, path: str, body: Any
    ) -> Result[tuple[Row, ...], PlatformError]:
        answer = await self._request("POST", path, body)
        if isinstance(answer, Err):
            return answer
        status, payload = answer.ok_value
        if status != 200:
            return Err(_make_status_error(status))
        return _decode_answer(payload, _RowsAnswer).map(lambda each: each.rows)

    async def _request(
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


def _decode_answer(
    payload: bytes, answer_type: type[_Answer]
) -> Result[_Answer, PlatformError]:
    try:
        return Ok(msgspec.json.decode(payload, type=answer_type))
    except msgspec.DecodeError as exc:
        # A truncated answer does not tell whether the call took effect.
        return Err(PlatformError(PlatformFailure.UNKNOWN, str(exc)))


def _make_status_error(status: int) -> PlatformError:
    failure = PlatformFailure.UNKNOWN
    if status in _REFUSAL_STATUSES:
        failure = PlatformFailure.NOT_DONE
    message = f"the platform answered {status}"
    return PlatformError(failure, message, reached=True)
