"""Measures the processor time that the hop through an entry host adds.

One process runs a client, executors that answer immediately, and one of three
paths between them: a direct connection, a proxy whose only policy is round
robin, and the request plane.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
import statistics
import time
from collections.abc import Awaitable, Callable, Iterator

import aiohttp
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pomeloarch_standins.executor_harness import ExecutorHarness
from pomeloarch_standins.measure import MeasureRow

_BODY = b"x" * 512
_ROUNDS = 5
_REQUESTS = 400
_CONCURRENCY = 8
_MICROSECONDS = 1e6
_HEADERS = {"Pomelo-Organisation": "shrestha", "Pomelo-Caller": "counter"}


def hop_rows() -> Iterator[MeasureRow]:
    """Yields the added processor time of both hops and their ratio."""
    naive_us, product_us = asyncio.run(_measure())
    case = "512-byte bodies, 8 at once"
    yield MeasureRow("added CPU of the hop", case, "naive", 1, naive_us, "us")
    yield MeasureRow(
        "added CPU of the hop", case, "product", 1, product_us, "us"
    )
    yield MeasureRow(
        "added CPU over naive hop",
        case,
        "product",
        1,
        product_us / naive_us,
        "ratio",
    )


async def _measure() -> tuple[float, float]:
    async with ExecutorHarness(executors=24) as harness:
        targets = [
            f"http://{each.address}/appraise"
            for each in harness.fleet.executors
        ]
        async with _NaiveProxy(targets) as proxy:
            urls = (targets[0], proxy.url, harness.url())
            spent: tuple[list[float], ...] = ([], [], [])
            for _ in range(_ROUNDS + 1):
                for url, values in zip(urls, spent, strict=True):
                    values.append(await _time_per_request(harness, url))
            direct, naive, product = (
                statistics.median(values[1:]) for values in spent
            )
            return naive - direct, product - direct


async def _time_per_request(harness: ExecutorHarness, url: str) -> float:
    async def _client() -> None:
        for _ in range(_REQUESTS // _CONCURRENCY):
            async with harness.session.post(
                url, data=_BODY, headers=_HEADERS
            ) as resp:
                await resp.read()

    started = time.process_time()
    await asyncio.gather(*(_client() for _ in range(_CONCURRENCY)))
    return (time.process_time() - started) / _REQUESTS * _MICROSECONDS


class _NaiveProxy:
    """A one-hop proxy whose only policy is round robin."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = itertools.cycle(targets)

    async def __aenter__(self) -> _NaiveProxy:
        self._session = aiohttp.ClientSession()
        sock = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{sock.getsockname()[1]}/appraise"
        app = Starlette(
            routes=[Route("/appraise", self._forward, methods=["POST"])]
        )
        cfg = uvicorn.Config(
            app, log_level="error", lifespan="off", access_log=False
        )
        self._server = uvicorn.Server(cfg)
        serve: Callable[..., Awaitable[None]] = self._server.serve
        self._task = asyncio.ensure_future(serve(sockets=[sock]))
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.should_exit = True
        self._server.force_exit = True
        await self._task
        await self._session.close()

    async def _forward(self, req: Request) -> Response:
        body = await req.body()
        headers = {
            name: value
            for name, value in req.headers.items()
            if name not in ("host", "content-length")
        }
        async with self._session.post(
            next(self._targets), data=body, headers=headers
        ) as resp:
            return Response(
                await resp.read(),
                status_code=resp.status,
                media_type=resp.content_type,
            )
