import asyncio

import aiohttp
import pytest
from aiohttp import web

from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformFailure,
    Row,
    Write,
)
from pomeloarch_node.platform_http import HttpPlatformClient

ROW = {"table": "t", "key": "k", "version": 3, "value": "x"}


async def _close_connection(request):
    request.transport.abort()
    await asyncio.sleep(0)
    return web.Response()


async def _never_answer(request):
    await asyncio.sleep(60)
    return web.Response()


def _make_handler(status, body):
    async def handle(request):
        return web.json_response(body, status=status)

    return handle


async def _call_with_handler(handler, call):
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        client = HttpPlatformClient(
            session, f"http://127.0.0.1:{port}", timeout_s=0.2
        )
        outcome = await call(client)
    await runner.cleanup()
    return outcome


def _transact(client):
    return client.transact([Check("t", "k", 0)], [Write("t", "k", "y")])


def test_a_committed_transaction_returns_versions():
    outcome = asyncio.run(
        _call_with_handler(_make_handler(200, {"versions": [4]}), _transact)
    )
    assert outcome.unwrap() == (4,)


def test_a_conflict_returns_the_current_rows():
    outcome = asyncio.run(
        _call_with_handler(_make_handler(409, {"conflicts": [ROW]}), _transact)
    )
    assert outcome.unwrap_err() == Conflict(rows=(Row("t", "k", 3, "x"),))


@pytest.mark.parametrize(
    ("handler", "failure"),
    [
        (_close_connection, PlatformFailure.UNKNOWN),
        (_never_answer, PlatformFailure.UNKNOWN),
        (_make_handler(200, {"versi": []}), PlatformFailure.UNKNOWN),
        (_make_handler(409, []), PlatformFailure.UNKNOWN),
        (_make_handler(500, {}), PlatformFailure.UNKNOWN),
        (_make_handler(503, {}), PlatformFailure.NOT_DONE),
        (_make_handler(429, {}), PlatformFailure.NOT_DONE),
    ],
)
def test_only_a_refusal_means_that_nothing_was_done(handler, failure):
    error = asyncio.run(_call_with_handler(handler, _transact)).unwrap_err()
    assert error.failure is failure


def test_a_refused_connection_means_that_nothing_was_done():
    async def run():
        async with aiohttp.ClientSession() as session:
            client = HttpPlatformClient(session, "http://127.0.0.1:9")
            return await _transact(client)

    assert asyncio.run(run()).unwrap_err().failure is PlatformFailure.NOT_DONE
