"""The HTTP server of a node, whose signals belong to the node."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import uvicorn


class NodeServer(uvicorn.Server):
    """A uvicorn server that leaves the signals to the node."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handler."""
        yield
