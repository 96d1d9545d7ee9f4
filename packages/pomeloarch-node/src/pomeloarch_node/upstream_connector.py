"""Connections to executors: bounded in age, checked, never reused unseen.

`aiohttp` sends a request of some methods a second time when a pooled
connection turns out to be closed. Here each try may ask for a connection
once, so that only the decisions of the core send a request again.
"""

from __future__ import annotations

import contextvars
import socket
import weakref
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

_LONGEST_AGE_S = 60.0
_IDLE_S = 10.0
_PROVEN_S = 1.0
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_COUNT = 2
_USER_TIMEOUT_MS = 2500


class SecondConnectionError(aiohttp.ClientConnectionError):
    """The HTTP library asked for a second connection for one try."""


class ConnectionUse:
    """What one try did with connections.

    Attributes:
      fresh: whether only a new or recently proven connection will do.
      handed_out: whether a connection was handed out, so that bytes of the
        request may have been sent.
      connect_s: how long a new connection took, in seconds; None if pooled.
      sent_at: when the connection was handed out, in seconds of the clock.
    """

    __slots__ = (
        "_asked",
        "connect_s",
        "fresh",
        "handed_out",
        "record",
        "sent_at",
    )

    def __init__(self, *, fresh: bool) -> None:
        """Starts before any connection was asked for."""
        self.fresh = fresh
        self.handed_out = False
        self.connect_s: float | None = None
        self.sent_at = 0.0
        self.record: _Record | None = None
        self._asked = False

    def ask(self) -> None:
        """Notes that a connection is asked for; a second time is refused."""
        if self._asked:
            raise SecondConnectionError("the connection was lost")
        self._asked = True

    def prove(self, now: float) -> None:
        """Notes that a whole answer came over the connection."""
        if self.record is not None:
            self.record.proven_at = now


class _Record(msgspec.Struct):
    born: float
    proven_at: float


CURRENT_USE: contextvars.ContextVar[ConnectionUse] = contextvars.ContextVar(
    "CURRENT_USE"
)


class ExecutorConnector(aiohttp.TCPConnector):
    """A pool of connections whose age and proof of life are known.

    Args:
      clock: returns the present time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without connections."""
        super().__init__(
            limit=0,
            keepalive_timeout=_IDLE_S,
            use_dns_cache=False,
            family=socket.AF_UNSPEC,
            happy_eyeballs_delay=None,
            socket_factory=_make_socket,
        )
        self._clock = clock
        self._records: weakref.WeakKeyDictionary[Any, _Record] = (
            weakref.WeakKeyDictionary()
        )
        self._distrusted: dict[str, float] = {}

    def distrust(self, address: str, since: float) -> None:
        """Leaves the idle connections of an executor that may be silent.

        Args:
          address: the executor's `ip:port`.
          since: when the silence began, in seconds of the clock; a
            connection with an answer later than that is kept.
        """
        self._distrusted[address] = since

    async def connect(
        self, req: Any, traces: Any, timeout: Any
    ) -> aiohttp.connector.Connection:
        """Returns a pooled connection that is fit for use, or a new one."""
        use = CURRENT_USE.get()
        use.ask()
        started = self._clock()
        while True:
            conn = await super().connect(req, traces, timeout)
            record = self._records.get(conn.transport)
            now = self._clock()
            if record is None:
                record = _Record(born=now, proven_at=now)
                self._records[conn.transport] = record
                use.connect_s = now - started
                break
            if self._fit(record, f"{req.url.host}:{req.url.port}", use, now):
                break
            conn.close()
        use.sent_at = now
        use.record = record
        use.handed_out = True
        return conn

    def _fit(
        self, record: _Record, address: str, use: ConnectionUse, now: float
    ) -> bool:
        if now - record.born > _LONGEST_AGE_S:
            return False
        if record.proven_at <= self._distrusted.get(address, float("-inf")):
            return False
        return not use.fresh or now - record.proven_at <= _PROVEN_S


def _make_socket(addr_info: Any) -> socket.socket:
    """Makes a socket that notices within 3 s when the other end is lost."""
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
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS
    )
    return sock
