"""A test server of the platform: tables, objects and the membership list.

`POST /faults` injects faults: `down`, `slow_s`, and the share of writes whose
answer is lost after they took effect.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import sys
import time
from typing import Annotated, Any

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pomeloarch_node.platform import Check, Host, HostState, Write
from pomeloarch_standins.table_store import TableStore

# Length of the window of the read and write budgets, in seconds.
_WINDOW_S = 1.0
# Time for which a lost answer is withheld, in seconds.
_NEVER_ANSWER_S = 60.0


class Faults(msgspec.Struct):
    """The faults that the server simulates at present.

    Attributes:
      down: whether every call is refused.
      slow_s: time added to each call, in seconds.
      lose_answers: the share of writes that take effect but are not answered.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0


class Counts(msgspec.Struct):
    """The numbers of calls since the start of the server.

    Attributes:
      reads: the number of reads.
      writes: the number of rows in writes that were within the budget.
      refused: the number of calls refused because they exceeded a budget.
    """

    reads: int = 0
    writes: int = 0
    refused: int = 0


class _Budget:
    """Limits the units that are used in each window of a second."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._window = 0.0
        self._used = 0

    def try_spend(self, units: int, now: float) -> bool:
        window = now // _WINDOW_S
        if window != self._window:
            self._window = window
            self._used = 0
        if self._used + units > self._limit:
            return False
        self._used += units
        return True


class _Txn(msgspec.Struct):
    checks: list[Check]
    writes: list[Write]


class _Keys(msgspec.Struct):
    keys: list[tuple[str, str]]


class _Scan(msgspec.Struct):
    table: str
    prefix: str = ""
    after: str = ""
    limit: int = 1000


class PlatformServer:
    """The platform's HTTP interface over an in-memory store.

    Args:
      hosts: the membership list at the start.
      write_budget: the limit on rows written a second.
      read_budget: the limit on reads a second.
      lag_s: the delay until a change shows in the membership list, in
        seconds.
      rng: draws which answers are lost.
    """

    def __init__(
        self,
        hosts: list[Host],
        write_budget: int,
        read_budget: int,
        lag_s: float,
        rng: random.Random,
    ) -> None:
        """Creates a server with empty tables and no fault."""
        self._store = TableStore()
        self._objects: dict[str, bytes] = {}
        self._hosts = {host.id: host for host in hosts}
        self._published_hosts = list(hosts)
        self._writes = _Budget(write_budget)
        self._reads = _Budget(read_budget)
        self._lag_s = lag_s
        self._rng = rng
        self.faults = Faults()
        self.counts = Counts()

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/tables/txn", self._txn, methods=["POST"]),
                Route("/tables/read", self._read, methods=["POST"]),
                Route("/tables/scan", self._scan, methods=["POST"]),
                Route("/objects/{name:path}", self._put, methods=["PUT"]),
                Route("/objects/{name:path}", self._get, methods=["GET"]),
                Route("/membership", self._membership, methods=["GET"]),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/hosts/{id}", self._set_host, methods=["POST"]),
                Route("/counts", self._counts, methods=["GET"]),
            ]
        )

    async def _txn(self, request: Request) -> Response:
        txn = msgspec.json.decode(await request.body(), type=_Txn)
        if refusal := await self._check_refusal(self._writes, len(txn.writes)):
            return refusal
        self.counts.writes += len(txn.writes)
        outcome = self._store.transact(txn.checks, txn.writes)
        if self._rng.random() < self.faults.lose_answers:
            await asyncio.sleep(_NEVER_ANSWER_S)
        if outcome.is_err():
            return _json({"conflicts": outcome.unwrap_err().rows}, 409)
        return _json({"versions": outcome.unwrap()})

    async def _read(self, request: Request) -> Response:
        keys = msgspec.json.decode(await request.body(), type=_Keys).keys
        if refusal := await self._check_refusal(self._reads, 1):
            return refusal
        self.counts.reads += 1
        return _json({"rows": [self._store.read(*key) for key in keys]})

    async def _scan(self, request: Request) -> Response:
        scan = msgspec.json.decode(await request.body(), type=_Scan)
        if refusal := await self._check_refusal(self._reads, 1):
            return refusal
        self.counts.reads += 1
        rows = self._store.scan(scan.table, scan.prefix, scan.after, scan.limit)
        return _json({"rows": rows})

    async def _put(self, request: Request) -> Response:
        if refusal := await self._check_refusal(self._writes, 1):
            return refusal
        name = request.path_params["name"]
        if (
            request.headers.get("if-none-match") == "*"
            and name in self._objects
        ):
            return Response(status_code=412)
        self._objects[name] = await request.body()
        return Response(status_code=204)

    async def _get(self, request: Request) -> Response:
        if refusal := await self._check_refusal(self._reads, 1):
            return refusal
        body = self._objects.get(request.path_params["name"])
        return Response(status_code=404) if body is None else Response(body)

    async def _membership(self, request: Request) -> Response:
        if refusal := await self._check_refusal(self._reads, 1):
            return refusal
        self.counts.reads += 1
        return _json({"hosts": self._published_hosts})

    async def _set_faults(self, request: Request) -> Response:
        self.faults = msgspec.json.decode(await request.body(), type=Faults)
        return _json(self.faults)

    async def _set_host(self, request: Request) -> Response:
        """Changes a host's state; the list shows the change after the lag."""
        body = await request.json()
        host = self._hosts[request.path_params["id"]]
        state = HostState(body["state"])
        self._hosts[host.id] = msgspec.structs.replace(host, state=state)
        asyncio.get_running_loop().call_later(self._lag_s, self._publish_hosts)
        return _json(self._hosts[host.id])

    def _publish_hosts(self) -> None:
        self._published_hosts = list(self._hosts.values())

    async def _counts(self, request: Request) -> Response:
        return _json(self.counts)

    async def _check_refusal(
        self, budget: _Budget, units: int
    ) -> Response | None:
        if self.faults.down:
            return _json({"error": "down"}, 503)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if not budget.try_spend(units, time.monotonic()):
            self.counts.refused += 1
            return _json({"error": "over budget"}, 429)
        return None


def _json(value: Any, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        media_type="application/json",
    )


def main(argv: list[str] | None = None) -> int:
    """Runs the server until it is terminated."""
    parser = argparse.ArgumentParser(
        prog="platform_server",
        description="Serve a test double of the platform.",
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--hosts", type=pathlib.Path, help="JSON list of the initial hosts"
    )
    parser.add_argument("--write-budget", type=int, default=400)
    parser.add_argument("--read-budget", type=int, default=2000)
    parser.add_argument("--lag-s", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args(argv)
    hosts = json.loads(args.hosts.read_text()) if args.hosts else []
    server = PlatformServer(
        msgspec.convert(hosts, list[Host]),
        args.write_budget,
        args.read_budget,
        args.lag_s,
        random.Random(args.seed),
    )
    uvicorn.run(
        server.app(),
        host=args.address,
        port=args.port,
        loop="asyncio",
        log_level="warning",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
