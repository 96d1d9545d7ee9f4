"""The port for other nodes: reads frames and hands them on."""

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
from pomeloarch_node.peer_link import bound_silence

_MAX_CONNECTIONS = 512
# A connection without a frame for this long is closed.
_IDLE_S = 120.0


class PeerListener:
    """Accepts connections of other nodes.

    Args:
      metrics: counts frames, bytes and bad input.
      take: is given each frame.
    """

    def __init__(self, metrics: Metrics, take: Callable[[Frame], None]) -> None:
        """Starts without a socket."""
        self._metrics = metrics
        self._take = take
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, address: str, port: int) -> int:
        """Listens; returns the port, which the system chose for port 0."""
        self._server = await asyncio.start_server(
            self._serve, address, port, limit=2 * MAX_FRAME_BYTES
        )
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    def close(self) -> None:
        """Stops listening and closes all connections."""
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
            bound_silence(writer)
            await self._read_frames(reader, writer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            # The other end went away; it connects again if it lives.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _read_frames(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            async with asyncio.timeout(_IDLE_S):
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
            self._take(frame.ok_value)

    def _reject(self, writer: asyncio.StreamWriter, reason: str) -> None:
        self._metrics.count("peer_bad_frames")
        peer = writer.get_extra_info("peername")
        logging.warning("closed the peer connection of %s: %s", peer, reason)
