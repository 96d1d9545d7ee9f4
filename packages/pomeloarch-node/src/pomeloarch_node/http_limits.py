"""Bounds on what a connection may cost before a request is understood.

uvicorn bounds neither a request's headers nor the time that they may take.
Here a connection is closed when its headers are too large (431) or too slow
(408), and when this host holds as many connections as its settings allow.
No byte of such a request reached an executor.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pomeloarch_node.problems import Problem, RequestOutcome

MAX_HEADER_BYTES = 32_768
HEADER_TIMEOUT_S = 10.0

# Time in which a refused caller may read its answer, in seconds.
_LINGER_S = 1.0

_TOO_LARGE = Problem(
    title="The headers of the request are too large.",
    status=431,
    outcome=RequestOutcome.NOT_RUN,
    reason="headers_too_large",
    detail=f"At most {MAX_HEADER_BYTES} bytes are taken.",
)
_TOO_SLOW = Problem(
    title="The headers of the request took too long.",
    status=408,
    outcome=RequestOutcome.NOT_RUN,
    reason="headers_too_slow",
    detail=f"They have to be here within {HEADER_TIMEOUT_S:g} s.",
)
_TOO_MANY = Problem(
    title="This host holds as many connections as it may.",
    status=503,
    outcome=RequestOutcome.NOT_RUN,
    reason="too_many_connections",
)


def make_limited_protocol(max_connections: int) -> type[HttpToolsProtocol]:
    """Returns the protocol class of a server that keeps these bounds.

    Args:
      max_connections: connections that the server holds at once.
    """

    class _Limited(LimitedHttpProtocol):
        limit = max_connections

    return _Limited


class LimitedHttpProtocol(HttpToolsProtocol):
    """uvicorn's protocol with bounds on headers and connections.

    Attributes:
      limit: connections that the server holds at once.
    """

    limit = 10_000

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Starts without any byte of a header."""
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes a connection, or refuses it when there are too many."""
        super().connection_made(transport)  # type: ignore[arg-type]
        if len(self.connections) > self.limit:
            self._refuse(_TOO_MANY)
            return
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets a connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses bytes, unless the connection was refused."""
        if not self._refused:
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Begins to count a request's headers."""
        self._header_bytes = 0
        if self._header_timer is None:
            self._start_timer()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Counts a piece of the target."""
        if self._count(len(url)):
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Counts a header."""
        if self._count(len(name) + len(value)):
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Hands the request on unless it was refused."""
        self._stop_timer()
        if not self._refused:
            super().on_headers_complete()

    def _count(self, size: int) -> bool:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(_TOO_LARGE)
        return not self._refused

    def _start_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._refuse, _TOO_SLOW
        )

    def _stop_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse(self, problem: Problem) -> None:
        """Answers with a problem and closes; later bytes are not read."""
        if self._refused or self.transport.is_closing():
            return
        self._refused = True
        self._stop_timer()
        body = msgspec.json.encode(problem)
        head = (
            f"HTTP/1.1 {problem.status} Refused\r\n"
            "content-type: application/problem+json\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        # Closing with unread bytes would reset the connection and lose the
        # answer on its way.
        self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.close)
