"""One try of a request at one executor, and what came of it."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Mapping

import aiohttp
import msgspec
import yarl

from pomeloarch_core.routing import AttemptResult
from pomeloarch_node.upstream_connector import (
    CURRENT_USE,
    ConnectionUse,
    ExecutorConnector,
)

_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 1.0
_LARGEST_ANSWER_BYTES = 16_000_000
_FIRST_FAILURE_STATUS = 500
_UNAVAILABLE = 503
_BODILESS = frozenset({204, 304})


Hold = Callable[[int], bool]


class UpstreamRequest(msgspec.Struct, frozen=True):
    """A request as it goes to an executor."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """What came of one try.

    Attributes:
      result: how the try ended.
      detail: what went wrong, for people.
      status: the answer's HTTP status, 0 without a whole answer.
      headers: the answer's headers.
      body: the whole body.
      load: the load that the executor reported, None if it didn't.
      draining: whether the executor said that it is leaving.
      availability_zone: the executor's zone; empty for a stored answer.
    """

    result: AttemptResult
    detail: str = ""
    status: int = 0
    headers: Mapping[str, str] | None = None
    body: bytes = b""
    load: int | None = None
    draining: bool = False
    availability_zone: str = ""


class IncompleteAnswerError(Exception):
    """An answer whose end can't be told from its loss, or that is too long."""


class UpstreamClient:
    """Sends requests to executors; every answer is whole or an error.

    Args:
      clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Makes the client; it needs a running event loop."""
        self._clock = clock
        self.connector = ExecutorConnector(clock)
        self._session = aiohttp.ClientSession(
            connector=self.connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def send(
        self,
        address: str,
        req: UpstreamRequest,
        use: ConnectionUse,
        hold: Hold,
    ) -> UpstreamAnswer:
        """Sends a request once.

        Args:
          address: the executor's `ip:port`.
          req: the request.
          use: filled in with what the try does with connections.
          hold: takes memory for the answer before it is read.

        Returns:
          The whole answer, or how the try failed.
        """
        CURRENT_USE.set(use)
        try:
            async with self._session.request(
                req.method,
                _url(address, req.target),
                headers=req.headers,
                data=req.body or None,
                allow_redirects=False,
            ) as resp:
                body = await _read_whole(resp, req.method, hold)
        except (aiohttp.ClientError, OSError, IncompleteAnswerError) as exc:
            result = (
                AttemptResult.BROKEN
                if use.handed_out
                else AttemptResult.NOT_SENT
            )
            return UpstreamAnswer(result, detail=str(exc) or repr(exc))
        use.prove(self._clock())
        return _answer(resp, body)

    async def probe(self, address: str) -> float | None:
        """Asks an executor for a sign of life over a new connection.

        Returns:
          The time to its answer in seconds, None if there was none.
        """
        started = self._clock()
        connector = ExecutorConnector(self._clock)
        CURRENT_USE.set(ConnectionUse(fresh=True))
        try:
            async with (
                asyncio.timeout(_PROBE_TIMEOUT_S),
                aiohttp.ClientSession(connector=connector) as session,
                session.options(
                    _url(address, "/"), headers={"Pomelo-Probe": "1"}
                ),
            ):
                return self._clock() - started
        except (aiohttp.ClientError, OSError):
            return None


@functools.lru_cache(maxsize=4096)
def _url(address: str, target: str) -> yarl.URL:
    return yarl.URL(f"http://{address}{target}", encoded=True)


async def _read_whole(
    resp: aiohttp.ClientResponse, method: str, hold: Hold
) -> bytes:
    length = resp.content_length
    if method == "HEAD" or resp.status in _BODILESS:
        return b""
    if length is None:
        coding = resp.headers.get("Transfer-Encoding", "")
        if "chunked" not in coding.lower():
            raise IncompleteAnswerError("the answer doesn't tell its length")
        return await _read_chunks(resp, hold)
    if length > _LARGEST_ANSWER_BYTES or not hold(length):
        raise IncompleteAnswerError("there is no memory for the answer")
    body = await resp.read()
    if len(body) != length:
        raise IncompleteAnswerError(
            f"{len(body)} of {length} bytes of the answer came"
        )
    return body


async def _read_chunks(resp: aiohttp.ClientResponse, hold: Hold) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > _LARGEST_ANSWER_BYTES or not hold(len(chunk)):
            raise IncompleteAnswerError("there is no memory for the answer")
        chunks.append(chunk)
    return b"".join(chunks)


def _answer(resp: aiohttp.ClientResponse, body: bytes) -> UpstreamAnswer:
    headers = resp.headers
    load = headers.get("Pomelo-Load", "")
    result = AttemptResult.ANSWERED
    if resp.status == _UNAVAILABLE and headers.get("Pomelo-Not-Run") == "1":
        result = AttemptResult.REFUSED
    elif resp.status >= _FIRST_FAILURE_STATUS:
        result = AttemptResult.FAILED
    return UpstreamAnswer(
        result,
        status=resp.status,
        headers=headers,
        body=body,
        load=int(load) if load.isascii() and load.isdigit() else None,
        draining=headers.get("Pomelo-Draining") == "1",
    )
