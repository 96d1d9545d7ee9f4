"""What a connection may cost, on real sockets in one event loop."""

import asyncio
import contextlib

import pytest
import uvicorn
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from pomeloarch_node import http_limits
from pomeloarch_node.http_limits import MAX_HEADER_BYTES, make_limited_protocol
from pomeloarch_node.node_server import NodeServer


async def _hello(request):
    return PlainTextResponse("hello")


@contextlib.asynccontextmanager
async def _server(max_connections=100):
    config = uvicorn.Config(
        Starlette(routes=[Route("/", _hello)]),
        host="127.0.0.1",
        port=0,
        loop="asyncio",
        http=make_limited_protocol(max_connections),
        lifespan="off",
        log_config=None,
    )
    server = NodeServer(config)
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    yield server.servers[0].sockets[0].getsockname()[1]
    server.should_exit = True
    await serving


async def _exchange(port, request):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    with contextlib.suppress(ConnectionError):
        writer.write(request)
        await writer.drain()
    answer = b""
    with contextlib.suppress(ConnectionError):
        answer = await reader.read()
    writer.close()
    return answer


def _request(headers):
    return b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        (b"\r\n", b"200"),
        (b"A: " + b"a" * (MAX_HEADER_BYTES + 1) + b"\r\n\r\n", b"431"),
        (b"A: a\r\n" * MAX_HEADER_BYTES + b"\r\n", b"431"),
    ],
)
def test_headers_are_bounded(headers, expected):
    async def run():
        async with _server() as port:
            return await _exchange(port, _request(headers))

    answer = asyncio.run(run())
    assert answer.split(b" ")[1] == expected


def test_headers_that_never_end_are_given_up(monkeypatch):
    monkeypatch.setattr(http_limits, "HEADER_TIMEOUT_S", 0.05)

    async def run():
        async with _server() as port:
            return await _exchange(port, _request(b"A: a"))

    answer = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 408")
    assert b'"outcome":"not_run"' in answer


def test_a_connection_beyond_the_limit_is_refused_and_others_go_on():
    async def run():
        async with _server(max_connections=1) as port:
            _, first = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.05)
            refused = await _exchange(port, _request(b"\r\n"))
            first.close()
            await asyncio.sleep(0.05)
            return refused, await _exchange(port, _request(b"\r\n"))

    refused, answered = asyncio.run(run())
    assert refused.startswith(b"HTTP/1.1 503")
    assert answered.startswith(b"HTTP/1.1 200")


def test_garbage_closes_the_connection_and_the_process_goes_on():
    async def run():
        async with _server() as port:
            await _exchange(port, b"\x00\xff" * 1000 + b"\r\n\r\n")
            return await _exchange(port, _request(b"\r\n"))

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")
