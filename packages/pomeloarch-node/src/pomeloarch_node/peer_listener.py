"""Accepts connections of other nodes and reads frames from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging
from result import Err

from pomeloarch_core.membership import Frame
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peer_codec import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    decode_frame,
    decode_length,
)
from pomeloarch_node.peer_link import configure_socket

# Limit on the connections open at a time; others are refused.
_MAX_CONNECTIONS = 512
# Time after which a connection without a frame is closed, in seconds.
_IDLE_TIMEOUT_S = 120.0


class PeerListener:
    """Listens for other nodes and passes on the frames that they send.

    Args:
      metrics: counts frames, bytes, bad frames and refused connections.
      on_frame: called with each frame.
    """

    def __init__(
        self, metrics: Metrics, on_frame: Callable[[Frame], None]
    ) -> None:
        """Creates a listener without a socket."""
        self._metrics = metrics
        self._on_frame = on_frame
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, address: str, port: int) -> int:
        """Starts to listen.

        Args:
          address: the address to listen on.
          port: the port; 0 lets the system choose one.

        Returns:
          The port that it listens on.
        """
        self._server = await asyncio.start_server(
            self._serve, address, port, limit=2 * MAX_FRAME_BYTES
        )
        bound_port: int = self._server.sockets[0].getsockname()[1]
        return bound_port

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= _MAX_CONNECTIONS:
            self._metrics.count("peer_connections_refused")
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            configure_socket(writer)
            await self._read_frames(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The other end is gone or idle; if it is alive, it reconnects.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            async with asyncio.timeout(_IDLE_TIMEOUT_S):
                header = await reader.readexactly(LENGTH_BYTES)
                length = decode_length(header)
                if isinstance(length, Err):
                    return self._reject(writer, length.err_value)
                packed = await reader.readexactly(length.ok_value)
            frame = decode_frame(packed)
            if isinstance(frame, Err):
                return self._reject(writer, frame.err_value)
            self._metrics.count(
                "peer_received_bytes", LENGTH_BYTES + len(packed)
            )
            self._metrics.count("peer_received_frames")
            self._on_frame(frame.ok_value)

    def _reject(self, writer: asyncio.StreamWriter, reason: str) -> None:
        self._metrics.count("peer_bad_frames")
        peer = writer.get_extra_info("peername")
        logging.warning("closed the peer connection of %s: %s", peer, reason)
