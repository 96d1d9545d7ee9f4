"""The HTTP server of a node, which leaves signal handling to the node."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import uvicorn


class NodeServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Does nothing; the node handles signals itself."""
        yield
