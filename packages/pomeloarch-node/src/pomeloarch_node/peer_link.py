"""One outgoing connection to another node, opened when it is needed."""

from __future__ import annotations

import asyncio
import socket

from absl import logging

_CONNECT_TIMEOUT_S = 1.0
# Unread bytes above which frames are dropped: the other end is stuck.
_MAX_BACKLOG_BYTES = 262_144
_KEEPALIVE_IDLE_S = 10
_KEEPALIVE_INTERVAL_S = 3
_KEEPALIVE_PROBES = 3
_USER_TIMEOUT_MS = 10_000


class PeerLink:
    """Writes frames to one address, over one connection at a time.

    Args:
      address: the other node's peer address, `ip:port`.
    """

    def __init__(self, address: str) -> None:
        """Starts without a connection."""
        self._address = address
        self._writer: asyncio.StreamWriter | None = None
        self._lock = asyncio.Lock()

    async def send(self, encoded: bytes) -> bool:
        """Hands a frame to the socket; returns whether it could."""
        writer = self._writer
        if writer is None or writer.is_closing():
            writer = await self._connect()
        if writer is None:
            return False
        transport = writer.transport
        if transport.get_write_buffer_size() > _MAX_BACKLOG_BYTES:
            self.close()
            return False
        writer.write(encoded)
        return True

    def close(self) -> None:
        """Closes the connection at once; the next frame opens another."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.transport.abort()

    async def finish(self) -> None:
        """Closes the connection after what was written has left."""
        writer, self._writer = self._writer, None
        if writer is None:
            return
        writer.close()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await writer.wait_closed()
        except (OSError, TimeoutError):
            return

    async def _connect(self) -> asyncio.StreamWriter | None:
        async with self._lock:
            if self._writer is not None and not self._writer.is_closing():
                return self._writer
            host, _, port = self._address.rpartition(":")
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    _, writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError, ValueError) as exc:
                logging.debug("no connection to %s: %r", self._address, exc)
                return None
            bound_silence(writer)
            self._writer = writer
            return writer


def bound_silence(writer: asyncio.StreamWriter) -> None:
    """Lets the kernel end a connection whose other end stays silent."""
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
