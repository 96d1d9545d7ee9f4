"""The HTTP client that sends one attempt of a request to an executor."""

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
_MAX_ANSWER_BYTES = 16_000_000
# Answers from this HTTP status on are failures of the executor.
_MIN_FAILURE_STATUS = 500
_STATUS_UNAVAILABLE = 503
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


# Reserves an amount of memory in bytes; returns whether there was enough.
ReserveMemory = Callable[[int], bool]


class UpstreamRequest(msgspec.Struct, frozen=True):
    """A request in the form in which it is sent to an executor."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """The outcome of one attempt, with the answer if it is complete.

    Attributes:
      result: the result of the attempt.
      detail: a description of the failure.
      status: the HTTP status of the answer, 0 without a complete answer.
      headers: the headers of the answer.
      body: the body of the answer.
      load: the load that the executor reported, None if it reported none.
      draining: whether the executor reported that it is leaving.
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
    """An answer is incomplete, too long or of unknown length.

    Without a length, the end of an answer cannot be distinguished from the loss
    of the connection.
    """


class UpstreamClient:
    """Sends requests to executors and accepts only complete answers.

    Args:
      clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates the client; it needs a running event loop."""
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
        reserve: ReserveMemory,
    ) -> UpstreamAnswer:
        """Sends a request once.

        Args:
          address: the executor's `ip:port`.
          req: the request.
          use: filled in with the attempt's use of connections.
          reserve: reserves memory for the answer, in bytes, and returns
            whether there was enough.

        Returns:
          The complete answer, or the failure of the attempt.
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
                body = await _read_whole(resp, req.method, reserve)
        except (aiohttp.ClientError, OSError, IncompleteAnswerError) as exc:
            result = (
                AttemptResult.BROKEN
                if use.handed_out
                else AttemptResult.NOT_SENT
            )
            return UpstreamAnswer(result, detail=str(exc) or repr(exc))
        use.record_answer(self._clock())
        return _make_answer(resp, body)

    async def probe(self, address: str) -> float | None:
        """Checks on a new connection whether an executor answers.

        Returns:
          The time until its answer in seconds, None if it gave none.
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
    resp: aiohttp.ClientResponse, method: str, reserve: ReserveMemory
) -> bytes:
    length = resp.content_length
    if method == "HEAD" or resp.status in _STATUSES_WITHOUT_BODY:
        return b""
    if length is None:
        coding = resp.headers.get("Transfer-Encoding", "")
        if "chunked" not in coding.lower():
            raise IncompleteAnswerError("the answer doesn't tell its length")
        return await _read_chunks(resp, reserve)
    if length > _MAX_ANSWER_BYTES or not reserve(length):
        raise IncompleteAnswerError("there is no memory for the answer")
    body = await resp.read()
    if len(body) != length:
        raise IncompleteAnswerError(
            f"{len(body)} of {length} bytes of the answer came"
        )
    return body


async def _read_chunks(
    resp: aiohttp.ClientResponse, reserve: ReserveMemory
) -> bytes:
    chunks: list[bytes] = []
    size = 0
    async for chunk in resp.content.iter_any():
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES or not reserve(len(chunk)):
            raise IncompleteAnswerError("there is no memory for the answer")
        chunks.append(chunk)
    return b"".join(chunks)


def _make_answer(resp: aiohttp.ClientResponse, body: bytes) -> UpstreamAnswer:
    headers = resp.headers
    load = headers.get("Pomelo-Load", "")
    result = AttemptResult.ANSWERED
    if (
        resp.status == _STATUS_UNAVAILABLE
        and headers.get("Pomelo-Not-Run") == "1"
    ):
        result = AttemptResult.REFUSED
    elif resp.status >= _MIN_FAILURE_STATUS:
        result = AttemptResult.FAILED
    return UpstreamAnswer(
        result,
        status=resp.status,
        headers=headers,
        body=body,
        load=int(load) if load.isascii() and load.isdigit() else None,
        draining=headers.get("Pomelo-Draining") == "1",
    )
