"""The HTTP client never resends a request by itself."""

import asyncio
import time

from pomeloarch_core.routing import AttemptResult
from pomeloarch_node.upstream_client import UpstreamClient, UpstreamRequest
from pomeloarch_node.upstream_connector import ConnectionUse


def test_a_request_is_not_resent_after_its_pooled_connection_dropped():
    """Covers a server that drops the connection on the second request.

    The HTTP library would retry the method PUT, which it takes for idempotent.
    """
    received = []

    async def serve(reader, writer):
        answered = False
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            received.append(1)
            if answered:
                break
            answered = True
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient(time.monotonic)
        req = UpstreamRequest("PUT", "/lot", [], b"")
        results = []
        for _ in range(2):
            answer = await client.send(
                f"127.0.0.1:{port}",
                req,
                ConnectionUse(fresh=False),
                lambda _: True,
            )
            results.append(answer.result)
        await client.close()
        server.close()
        return results

    results = asyncio.run(scenario())
    assert results == [AttemptResult.ANSWERED, AttemptResult.BROKEN]
    assert len(received) == 2
