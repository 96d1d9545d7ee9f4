"""A TCP relay that simulates network partitions, one way or both ways.

Processes between which a test interrupts traffic connect through a link of the
relay. `POST /links/{name}` with a `LinkState` controls a link.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import enum
import pathlib
import sys
from collections.abc import AsyncIterator

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

# Size of the largest read from a connection, in bytes.
_CHUNK_BYTES = 65_536


class Cut(enum.Enum):
    """How a link treats the bytes of connections and new connections.

    Attributes:
      OPEN: the link passes all bytes.
      SILENT: the link drops the bytes of both directions while connections
        stay open.
      FORWARD: the link drops the bytes from the caller to the target.
      BACK: the link drops the bytes from the target to the caller.
      REFUSE: the link closes all connections, and new ones at once.
      SILENT_OLD: the link drops the bytes of the connections that are open
        at the time of the change, while new ones work.
    """

    OPEN = "open"
    SILENT = "silent"
    FORWARD = "forward"
    BACK = "back"
    REFUSE = "refuse"
    SILENT_OLD = "silent_old"


class LinkState(msgspec.Struct, frozen=True):
    """The state of a link.

    Attributes:
      cut: how the link treats bytes and connections.
      delay_s: time added to each chunk of bytes, in seconds.
    """

    cut: Cut = Cut.OPEN
    delay_s: float = 0.0


class LinkAddress(msgspec.Struct, frozen=True):
    """The listening address and the target address of a link."""

    name: str
    listen_host: str
    listen_port: int
    target_host: str
    target_port: int


class Link:
    """One listening socket and the connections through it.

    Args:
      address: the link's addresses.
    """

    def __init__(self, address: LinkAddress) -> None:
        """Creates an open link without connections."""
        self.address = address
        self.state = LinkState()
        self._last_silenced = 0
        self._connection_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> asyncio.Server:
        """Starts accepting connections."""
        return await asyncio.start_server(
            self._accept, self.address.listen_host, self.address.listen_port
        )

    def change(self, state: LinkState) -> None:
        """Changes the state; `REFUSE` also closes the open connections."""
        self.state = state
        self._last_silenced = self._connection_count
        if state.cut is Cut.REFUSE:
            for task in self._tasks:
                task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._connection_count += 1
        try:
            if self.state.cut is not Cut.REFUSE:
                await self._connect(self._connection_count, reader, writer)
        except asyncio.CancelledError:
            # The link was changed to `REFUSE`; nothing awaits this task.
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _connect(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.address.target_host, self.address.target_port
            )
        except OSError:
            return
        try:
            await asyncio.gather(
                self._copy(number, Cut.FORWARD, reader, target_writer),
                self._copy(number, Cut.BACK, target_reader, writer),
            )
        finally:
            target_writer.close()

    async def _copy(
        self,
        number: int,
        direction: Cut,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self.state.delay_s:
                    await asyncio.sleep(self.state.delay_s)
                if not self._drops(number, direction):
                    writer.write(chunk)
                    await writer.drain()
            if not self._drops(number, direction):
                writer.write_eof()

    def _drops(self, number: int, direction: Cut) -> bool:
        cut = self.state.cut
        if cut is Cut.SILENT_OLD:
            return number <= self._last_silenced
        return cut in (Cut.SILENT, direction)


class Relay:
    """All links of one relay process.

    Args:
      addresses: the addresses of the links.
    """

    def __init__(self, addresses: list[LinkAddress]) -> None:
        """Creates the links without listening."""
        self.links = {each.name: Link(each) for each in addresses}

    def app(self) -> Starlette:
        """Returns the control application; its startup opens the links."""
        return Starlette(
            routes=[Route("/links/{name}", self._change, methods=["POST"])],
            lifespan=self._lifespan,
        )

    @contextlib.asynccontextmanager
    async def _lifespan(self, app: Starlette) -> AsyncIterator[None]:
        servers = [await link.listen() for link in self.links.values()]
        yield
        for server in servers:
            server.close()

    async def _change(self, request: Request) -> Response:
        link = self.links.get(request.path_params["name"])
        if link is None:
            return Response(status_code=404)
        state = msgspec.json.decode(await request.body(), type=LinkState)
        link.change(state)
        return Response(status_code=204)


def main(argv: list[str] | None = None) -> int:
    """Runs the links until the process is terminated."""
    parser = argparse.ArgumentParser(
        prog="relay",
        description="Relay TCP connections and simulate partitions.",
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--links", type=pathlib.Path, required=True, help="JSON list of links"
    )
    args = parser.parse_args(argv)
    addresses = msgspec.json.decode(
        args.links.read_bytes(), type=list[LinkAddress]
    )
    uvicorn.run(
        Relay(addresses).app(),
        host=args.address,
        port=args.port,
        loop="asyncio",
        log_level="warning",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
