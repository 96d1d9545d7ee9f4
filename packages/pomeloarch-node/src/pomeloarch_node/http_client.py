"""A small HTTP/1.1 client for frequent calls to a few known addresses.

A scheduler makes hundreds of short calls a second to its workers and the store,
on hosts that have half a core and 200 MB. This client sends a request in one
write and passes what arrives to the parser of `httptools`; it follows no
redirects, keeps no cookies and repeats nothing by itself.

A call that is given up resets its connection: bytes that wait behind a network
cut are discarded and don't arrive after the caller has drawn its conclusions.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
import struct
import urllib.parse
from collections.abc import Iterable
from typing import Any

import httptools
import msgspec
from result import Err, Ok, Result

# A connection is closed if sent data stays unacknowledged for this long, in
# milliseconds.
_TCP_USER_TIMEOUT_MS = 3000
# Time limit of opening a connection, in seconds.
CONNECT_TIMEOUT_S = 0.6
# Idle connections are closed after this long, in seconds.
_KEEPALIVE_TIMEOUT_S = 60.0
# Limit on the body of an answer, in bytes; pages of the store have up to 1 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Value of SO_LINGER that resets a connection when it is closed: linger is on,
# with no time for bytes that are still unsent.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_FIRST_FINAL_STATUS = 200

Headers = tuple[tuple[bytes, bytes], ...]


class CallFailure(msgspec.Struct, frozen=True):
    """A call that got no complete answer.

    Attributes:
      sent: whether the call may have been carried out.
      refused: whether nothing listens at the address.
      message: the reason, as text for people.
    """

    sent: bool
    refused: bool
    message: str


class HttpAnswer(msgspec.Struct, frozen=True):
    """An answer.

    Attributes:
      status: the HTTP status.
      body: the whole body.
      headers: the headers, with names in lower case.
    """

    status: int
    body: bytes
    headers: Headers = ()

    def header(self, name: bytes) -> bytes:
        """Returns the value of a header, empty where there is none."""
        return next((v for k, v in self.headers if k == name), b"")


_Outcome = Result[HttpAnswer, CallFailure]


class _Connection(asyncio.Protocol):
    """A connection that carries one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._outcome: asyncio.Future[_Outcome] | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._headers_complete = False
        self.is_reusable = False
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.is_reusable = True

    async def call(self, request: bytes, deadline: float) -> _Outcome:
        """Sends a request and returns the answer.

        Args:
          request: the whole request.
          deadline: when to give up, by the clock of the event loop.
        """
        assert self._transport is not None
        loop = asyncio.get_running_loop()
        self._begin_answer()
        self._parser = httptools.HttpResponseParser(self)
        self.is_reusable = False
        outcome = self._outcome = loop.create_future()
        timer = loop.call_at(deadline, self._fail, "no answer in time")
        try:
            self._transport.write(request)
            return await outcome
        except asyncio.CancelledError:
            self._fail("the call was given up")
            raise
        finally:
            timer.cancel()
            self._outcome = None

    def _begin_answer(self) -> None:
        self._headers = []
        self._body = []
        self._body_size = 0
        self._headers_complete = False

    def data_received(self, data: bytes) -> None:
        if self._outcome is None:
            # Nothing was asked.
            self.reset()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"the answer can't be parsed: {exc}")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes in a header of the answer, as the parser calls it."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Notes that the body follows, as the parser calls it."""
        self._headers_complete = True

    def on_body(self, body: bytes) -> None:
        """Takes in a part of the body, as the parser calls it."""
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > MAX_ANSWER_BYTES:
            self._fail("the answer is too large")

    def on_message_complete(self) -> None:
        """Ends the call, as the parser calls it."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            # Another answer follows.
            self._begin_answer()
            return
        self.is_reusable = self._parser.should_keep_alive()
        self._succeed()

    def _succeed(self) -> None:
        if self._outcome is not None and not self._outcome.done():
            answer = HttpAnswer(
                self._parser.get_status_code(),
                b"".join(self._body),
                tuple(self._headers),
            )
            self._outcome.set_result(Ok(answer))

    def _fail(self, reason: str) -> None:
        if self._outcome is not None and not self._outcome.done():
            self._outcome.set_result(Err(CallFailure(True, False, reason)))
        self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_reusable = False
        if self._outcome is None or self._outcome.done():
            return
        if exc is None and self._ends_with_connection():
            self._succeed()
        else:
            reason = f"connection lost: {exc}" if exc else "connection closed"
            self._outcome.set_result(Err(CallFailure(True, False, reason)))

    def _ends_with_connection(self) -> bool:
        """Returns whether the end of the connection is that of the body."""
        framing = (b"content-length", b"transfer-encoding")
        return self._headers_complete and not any(
            name in framing for name, _ in self._headers
        )

    def close(self) -> None:
        """Closes the connection once what was sent has arrived."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Ends the connection at once and discards what has not arrived."""
        self.is_reusable = False
        if self._transport is None or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                # The peer may have reset the connection already.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self._transport.abort()


async def _connect(
    address: str, timeout_s: float
) -> Result[_Connection, CallFailure]:
    """Opens a connection."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
        )
        async with asyncio.timeout(timeout_s):
            # An address by number is never looked up.
            await loop.sock_connect(sock, (str(_packed(host)), int(port)))
            _, connection = await loop.create_connection(_Connection, sock=sock)
    except ConnectionRefusedError as exc:
        sock.close()
        return Err(CallFailure(False, True, f"no connection: {exc}"))
    except TimeoutError:
        sock.close()
        return Err(CallFailure(False, False, "no connection in time"))
    except (OSError, ValueError, OverflowError) as exc:
        sock.close()
        return Err(CallFailure(False, False, f"no connection: {exc!r}"))
    except asyncio.CancelledError:
        sock.close()
        raise
    return Ok(connection)


def _packed(host: str) -> str:
    """Returns an IPv4 address by number; raises `OSError` for anything else."""
    return socket.inet_ntoa(socket.inet_aton(host))


class _ConnectionPool:
    """Connections that are replaced together.

    A retired pool closes each connection after its call.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._free_slots = max_connections
        self._idle: list[_Connection] = []
        self._busy: set[_Connection] = set()
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._is_retired = False

    async def acquire(
        self, deadline: float
    ) -> Result[_Connection, CallFailure]:
        """Returns an idle connection, or a new one."""
        loop = asyncio.get_running_loop()
        while not self._free_slots:
            turn = loop.create_future()
            self._waiting.append(turn)
            try:
                async with asyncio.timeout_at(deadline):
                    await turn
            except TimeoutError:
                return Err(CallFailure(False, False, "no free connection"))
            finally:
                if turn in self._waiting:
                    self._waiting.remove(turn)
        self._free_slots -= 1
        connection = self._take_idle(loop.time())
        if connection is not None:
            self._busy.add(connection)
            return Ok(connection)
        try:
            opened = await _connect(
                self._address, min(CONNECT_TIMEOUT_S, deadline - loop.time())
            )
        except asyncio.CancelledError:
            self._free_slot()
            raise
        if isinstance(opened, Err):
            self._free_slot()
            return opened
        self._busy.add(opened.ok_value)
        return opened

    def _take_idle(self, now: float) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_reusable:
                continue
            if now - connection.idle_since < _KEEPALIVE_TIMEOUT_S:
                return connection
            connection.close()
        return None

    def release(self, connection: _Connection) -> None:
        """Takes back a connection after its call."""
        self._busy.discard(connection)
        if connection.is_reusable and not self._is_retired:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()
        self._free_slot()

    def _free_slot(self) -> None:
        self._free_slots += 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def retire(self) -> None:
        """Closes the idle connections; calls in progress keep theirs."""
        self._is_retired = True
        for each in self._idle:
            each.close()
        self._idle.clear()

    def close(self) -> None:
        """Closes all connections; the calls on them fail."""
        self.retire()
        for each in list(self._busy):
            each.reset()


class HttpClient:
    """Calls one address, over connections of its own.

    Args:
      address: the address, as `ip:port`.
      max_connections: limit on the calls at a time.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        """Creates a client that has opened no connection."""
        self._address = address
        self._max_connections = max_connections
        self._pool: _ConnectionPool | None = None

    async def reset(self) -> None:
        """Uses new connections from now on; calls in progress keep theirs."""
        pool, self._pool = self._pool, None
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """Closes the current connections and ends the calls on them."""
        pool, self._pool = self._pool, None
        if pool is not None:
            pool.close()

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: Any = None,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> _Outcome:
        """Makes a call and reads its whole answer.

        Args:
          method: the HTTP method.
          path: the path.
          timeout_s: time limit of the whole call, in seconds.
          body: value that is sent as JSON; None for no body.
          params: the parameters of the query.
          headers: headers to send besides Content-Type.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        all_headers = list((headers or {}).items())
        if body is not None:
            all_headers.append(("Content-Type", "application/json"))
        if params:
            query = urllib.parse.urlencode(params, quote_via=urllib.parse.quote)
            path = f"{path}?{query}"
        request = encode_request(self._address, method, path, all_headers, data)
        if isinstance(request, Err):
            return request
        if self._pool is None:
            self._pool = _ConnectionPool(self._address, self._max_connections)
        pool = self._pool
        deadline = asyncio.get_running_loop().time() + timeout_s
        acquired = await pool.acquire(deadline)
        if isinstance(acquired, Err):
            return acquired
        connection = acquired.ok_value
        try:
            return await connection.call(request.ok_value, deadline)
        finally:
            pool.release(connection)


async def call_once(
    address: str, request: bytes, connect_timeout_s: float, timeout_s: float
) -> _Outcome:
    """Makes a call on a connection of its own.

    Args:
      address: the address, as `ip:port`.
      request: the whole request.
      connect_timeout_s: time limit of opening the connection, in seconds.
      timeout_s: time limit of the whole call, in seconds.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    opened = await _connect(address, connect_timeout_s)
    if isinstance(opened, Err):
        return opened
    try:
        return await opened.ok_value.call(request, deadline)
    finally:
        opened.ok_value.close()


def encode_request(
    address: str,
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> Result[bytes, CallFailure]:
    """Returns a request; a text that would break its format is an error."""
    texts = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    texts += [f"{name}: {value}" for name, value in headers]
    texts.append(f"Content-Length: {len(body)}")
    if not all(each.isprintable() for each in texts):
        return Err(
            CallFailure(False, False, "a header has a control character")
        )
    try:
        head = "\r\n".join(texts).encode("latin-1")
    except UnicodeEncodeError as exc:
        return Err(CallFailure(False, False, f"no valid header: {exc}"))
    return Ok(head + b"\r\n\r\n" + body)
