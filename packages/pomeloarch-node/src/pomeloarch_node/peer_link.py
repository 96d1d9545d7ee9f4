"""Sends frames to one other node, over a connection opened on demand."""

from __future__ import annotations

import asyncio
import socket

from absl import logging

# Limit on the time to open a connection, and to send what was written before it
# is closed, in seconds.
_CONNECT_TIMEOUT_S = 1.0
# Limit on the bytes that wait to be sent. Above it, the other end is assumed to
# be stuck: the connection is closed and the frame is dropped.
_MAX_UNSENT_BYTES = 262_144
# The kernel probes a connection that has been idle for this long, in seconds,
# at this interval, and ends it after this many unanswered probes.
_KEEPALIVE_IDLE_S = 10
_KEEPALIVE_INTERVAL_S = 3
_KEEPALIVE_PROBES = 3
# Time after which the kernel ends a connection with unacknowledged data, in
# milliseconds.
_UNACKNOWLEDGED_TIMEOUT_MS = 10_000


class PeerLink:
    """Sends frames to one address, over one connection at a time.

    Args:
      address: the other node's peer address, `ip:port`.
    """

    def __init__(self, address: str) -> None:
        """Creates a link without a connection."""
        self._address = address
        self._writer: asyncio.StreamWriter | None = None
        self._lock = asyncio.Lock()

    async def send(self, encoded: bytes) -> bool:
        """Writes a frame to the connection, which is opened if there is none.

        Returns:
          Whether the frame was written; delivery is not confirmed.
        """
        writer = self._writer
        if writer is None or writer.is_closing():
            writer = await self._connect()
        if writer is None:
            return False
        transport = writer.transport
        if transport.get_write_buffer_size() > _MAX_UNSENT_BYTES:
            self.close()
            return False
        writer.write(encoded)
        return True

    def close(self) -> None:
        """Aborts the connection; the next frame opens another one."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.transport.abort()

    async def flush_and_close(self) -> None:
        """Sends what was written and closes the connection."""
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
            configure_socket(writer)
            self._writer = writer
            return writer


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Sets the options of a peer connection's socket.

    The kernel ends a connection whose other end has become silent, and sends
    small frames without delay.
    """
    sock = writer.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT_MS,
        ),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
