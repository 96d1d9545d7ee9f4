"""Connections to executors, which are checked before they are reused.

`aiohttp` sends a request of some methods a second time when a pooled
connection turns out to be closed. Here each attempt may request only one
connection, so that a request is sent again only when the core decides so.
"""

from __future__ import annotations

import contextvars
import socket
import weakref
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

# Limit on the age of a connection that is reused.
_MAX_CONNECTION_AGE_S = 60.0
# Time after which an idle connection is closed.
_MAX_IDLE_S = 10.0
# Limit on the age of the last answer on a pooled connection that is used where
# only a new or recently used one will do.
_MAX_LAST_ANSWER_AGE_S = 1.0
# TCP settings with which a lost peer is noticed within 3 s.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
_TCP_USER_TIMEOUT_MS = 2500


class SecondConnectionError(aiohttp.ClientConnectionError):
    """The HTTP library requested a second connection for one attempt."""


class ConnectionUse:
    """The use of connections by one attempt.

    Attributes:
      fresh: whether the attempt needs a connection that is new or has just
        carried an answer.
      handed_out: whether a connection was handed out, so that bytes of the
        request may have been sent.
      connect_s: the time to open a new connection, in seconds; None for a
        pooled one.
      sent_at: when the connection was handed out, in seconds of the clock.
      record: the age and the last answer of the connection; None before it
        is handed out.
    """

    __slots__ = (
        "_requested",
        "connect_s",
        "fresh",
        "handed_out",
        "record",
        "sent_at",
    )

    def __init__(self, *, fresh: bool) -> None:
        """Creates the use of an attempt that has requested no connection."""
        self.fresh = fresh
        self.handed_out = False
        self.connect_s: float | None = None
        self.sent_at = 0.0
        self.record: _ConnectionRecord | None = None
        self._requested = False

    def record_connect(self) -> None:
        """Records that the attempt requests its connection.

        Raises:
          SecondConnectionError: the attempt has already requested one.
        """
        if self._requested:
            raise SecondConnectionError("the connection was lost")
        self._requested = True

    def record_answer(self, now: float) -> None:
        """Records that a complete answer arrived on the connection."""
        if self.record is not None:
            self.record.answered_at = now


class _ConnectionRecord(msgspec.Struct):
    opened_at: float
    answered_at: float


CURRENT_USE: contextvars.ContextVar[ConnectionUse] = contextvars.ContextVar(
    "CURRENT_USE"
)


class ExecutorConnector(aiohttp.TCPConnector):
    """A pool of connections that tracks their age and their last answer.

    Args:
      clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Creates a pool without connections."""
        super().__init__(
            limit=0,
            keepalive_timeout=_MAX_IDLE_S,
            use_dns_cache=False,
            family=socket.AF_UNSPEC,
            happy_eyeballs_delay=None,
            socket_factory=_make_socket,
        )
        self._clock = clock
        self._records: weakref.WeakKeyDictionary[Any, _ConnectionRecord] = (
            weakref.WeakKeyDictionary()
        )
        self._silent_since: dict[str, float] = {}

    def invalidate_idle(self, address: str, since: float) -> None:
        """Stops the reuse of an executor's connections that may be silent.

        Args:
          address: the executor's `ip:port`.
          since: when the silence began, in seconds of the clock; connections
            with a later answer may still be reused.
        """
        self._silent_since[address] = since

    async def connect(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Returns a usable pooled connection, or a new one."""
        use = CURRENT_USE.get()
        use.record_connect()
        started = self._clock()
        while True:
            conn = await super().connect(req, traces, timeout)
            record = self._records.get(conn.transport)
            now = self._clock()
            if record is None:
                record = _ConnectionRecord(opened_at=now, answered_at=now)
                self._records[conn.transport] = record
                use.connect_s = now - started
                break
            if self._is_usable(
                record, f"{req.url.host}:{req.url.port}", use, now
            ):
                break
            conn.close()
        use.sent_at = now
        use.record = record
        use.handed_out = True
        return conn

    def _is_usable(
        self,
        record: _ConnectionRecord,
        address: str,
        use: ConnectionUse,
        now: float,
    ) -> bool:
        if now - record.opened_at > _MAX_CONNECTION_AGE_S:
            return False
        if record.answered_at <= self._silent_since.get(address, float("-inf")):
            return False
        return (
            not use.fresh or now - record.answered_at <= _MAX_LAST_ANSWER_AGE_S
        )


def _make_socket(addr_info: Any) -> socket.socket:
    """Creates a socket that detects the loss of its peer within 3 s."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    return sock
