"""Limits on a connection's resources before its request is parsed.

uvicorn limits neither the size of a request's headers nor the time that they
take to arrive. Here a connection is closed when its headers are too large
(431) or too slow (408), and when this host has as many connections as its
settings allow (503). No byte of such a request has reached an executor.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pomeloarch_node.problems import Problem, RequestOutcome

MAX_HEADER_BYTES = 32_768
HEADER_TIMEOUT_S = 10.0

# Time between an error answer and the close of its connection, in seconds, in
# which the caller can read the answer.
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
    """Returns the protocol class for a server with these limits.

    Args:
      max_connections: the limit on open connections.
    """

    class _ConfiguredProtocol(LimitedHttpProtocol):
        connection_limit = max_connections

    return _ConfiguredProtocol


class LimitedHttpProtocol(HttpToolsProtocol):
    """uvicorn's HTTP protocol with limits on headers and connections.

    Attributes:
      connection_limit: the limit on open connections.
    """

    connection_limit = 10_000

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Creates the protocol of a new connection."""
        super().__init__(*args, **kwargs)
        self._header_bytes = 0
        self._header_timer: asyncio.TimerHandle | None = None
        self._refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts a connection, or refuses it when there are too many."""
        super().connection_made(transport)  # type: ignore[arg-type]
        if len(self.connections) > self.connection_limit:
            self._refuse(_TOO_MANY)
            return
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes unless the connection was refused."""
        if not self._refused:
            super().data_received(data)

    def on_message_begin(self) -> None:
        """Starts to count the bytes of a request's headers."""
        self._header_bytes = 0
        if self._header_timer is None:
            self._start_header_timer()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Counts the bytes of a piece of the request target."""
        if self._count_header_bytes(len(url)):
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Counts the bytes of a header."""
        if self._count_header_bytes(len(name) + len(value)):
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Passes the request to the application unless it was refused."""
        self._stop_header_timer()
        if not self._refused:
            super().on_headers_complete()

    def _count_header_bytes(self, size: int) -> bool:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(_TOO_LARGE)
        return not self._refused

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(
            HEADER_TIMEOUT_S, self._refuse, _TOO_SLOW
        )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _refuse(self, problem: Problem) -> None:
        """Answers with a problem document and closes the connection.

        Bytes that arrive later are discarded.
        """
        if self._refused or self.transport.is_closing():
            return
        self._refused = True
        self._stop_header_timer()
        body = msgspec.json.encode(problem)
        head = (
            f"HTTP/1.1 {problem.status} Refused\r\n"
            "content-type: application/problem+json\r\n"
            f"content-length: {len(body)}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        # Closing the socket while bytes are unread would reset the connection,
        # and the answer could be lost.
        self.transport.write_eof()
        self.loop.call_later(_LINGER_S, self.transport.close)
