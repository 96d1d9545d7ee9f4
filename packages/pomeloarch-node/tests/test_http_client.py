"""Calls over HTTP: what is answered, what may have been sent, what is reset."""

import asyncio

import pytest
from result import Err, Ok

from pomeloarch_node.http_client import (
    HttpClient,
    call_once,
    encode_request,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Name: v\r\n\r\n{}"


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    return head, await reader.readexactly(length)


class Server:
    """Answers each request with the next of the given byte strings.

    After the last one it repeats that. None ends the connection without an
    answer, and a number waits that many seconds first.
    """

    def __init__(self, *answers, closes=False):
        self.answers = list(answers)
        self.closes = closes
        self.requests = []
        self.connections = 0
        self.ends = []
        self.address = ""

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                self.requests.append(await read_request(reader))
                answer = self.answers[0]
                if len(self.answers) > 1:
                    self.answers.pop(0)
                if isinstance(answer, float):
                    await asyncio.sleep(answer)
                    answer = OK
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
                if self.closes:
                    break
        except asyncio.IncompleteReadError:
            self.ends.append("closed")
        except ConnectionError:
            self.ends.append("reset")
        finally:
            writer.close()


def call(*answers, closes=False, timeout_s=1.0, **more):
    async def scenario():
        async with Server(*answers, closes=closes) as server:
            client = HttpClient(server.address, 4)
            answer = await client.call("POST", "/a", timeout_s, **more)
            await client.close()
            return answer, server

    return asyncio.run(scenario())


WHOLE_ANSWERS = {
    "with a length": (OK, False),
    "in chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
        False,
    ),
    "until the connection ends": (b"HTTP/1.1 200 OK\r\n\r\n{}", True),
    "after a provisional one": (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, False),
}


@pytest.mark.parametrize(
    ("answer", "closes"), WHOLE_ANSWERS.values(), ids=WHOLE_ANSWERS.keys()
)
def test_whole_answer_is_returned(answer, closes):
    found, _ = call(answer, closes=closes)
    assert (found.ok_value.status, found.ok_value.body) == (200, b"{}")


BROKEN_ANSWERS = {
    "none": (None, False),
    "none in time": (2.0, False),
    "no HTTP": (b"\x00\xff nonsense\r\n\r\n", False),
    "a shortened body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
        True,
    ),
    "a shortened chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}",
        True,
    ),
    "a shortened head": (b"HTTP/1.1 200 OK\r\nContent-Le", True),
    "a head without an end": (b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 9, False),
}


@pytest.mark.parametrize(
    ("answer", "closes"), BROKEN_ANSWERS.values(), ids=BROKEN_ANSWERS.keys()
)
def test_call_without_a_whole_answer_may_have_been_carried_out(answer, closes):
    found, _ = call(answer, closes=closes, timeout_s=0.2)
    assert found.err_value.sent
    assert not found.err_value.refused


def test_answer_that_is_too_large_is_not_kept(monkeypatch):
    monkeypatch.setattr("pomeloarch_node.http_client.MAX_ANSWER_BYTES", 100)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
    found, _ = call(head + b"x" * 5000)
    assert "too large" in found.err_value.message


def test_body_parameters_and_headers_are_sent():
    _, server = call(
        OK, body={"a": 1}, params={"k": "a b\0&"}, headers={"X-Id": "i-1"}
    )
    head, body = server.requests[0]
    assert head.startswith(b"POST /a?k=a%20b%00%26 HTTP/1.1\r\n")
    assert b"X-Id: i-1\r\n" in head
    assert b"Content-Type: application/json\r\n" in head
    assert f"Host: {server.address}\r\n".encode() in head
    assert body == b'{"a":1}'


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/a\r\nX-Fence: 9", {}),
        ("/a", {"X-Id": "i\r\nX-Fence: 9"}),
        ("/a", {"X-Id": "\u20ac"}),
    ],
)
def test_request_that_would_break_its_format_is_not_sent(path, headers):
    async def scenario():
        async with Server(OK) as server:
            client = HttpClient(server.address, 1)
            found = await client.call("GET", path, 1.0, headers=headers)
            return found, server.connections

    found, connections = asyncio.run(scenario())
    assert not found.err_value.sent
    assert connections == 0


def test_connection_is_used_again_unless_either_side_ends_it():
    async def scenario(*answers, closes=False, pause_s=0.0):
        async with Server(*answers, closes=closes) as server:
            client = HttpClient(server.address, 4)
            for _ in range(3):
                assert (await client.call("GET", "/", 1.0)).is_ok()
                await asyncio.sleep(pause_s)
            await client.close()
            return server.connections

    last = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    assert asyncio.run(scenario(OK)) == 1
    assert asyncio.run(scenario(last)) == 3
    assert asyncio.run(scenario(OK, closes=True, pause_s=0.05)) == 3


def test_unasked_bytes_end_an_idle_connection():
    async def scenario():
        async with Server(OK + OK, OK) as server:
            client = HttpClient(server.address, 4)
            first = await client.call("GET", "/1", 1.0)
            await asyncio.sleep(0.05)
            second = await client.call("GET", "/2", 1.0)
            await client.close()
            return first, second, server

    first, second, server = asyncio.run(scenario())
    assert first.is_ok()
    assert second.is_ok()
    assert len(server.requests) == 2


def test_no_more_calls_at_a_time_than_connections():
    async def scenario():
        async with Server(0.1) as server:
            client = HttpClient(server.address, 2)
            answers = await asyncio.gather(
                *(client.call("GET", "/", 2.0) for _ in range(6))
            )
            await client.close()
            return answers, server.connections

    answers, connections = asyncio.run(scenario())
    assert all(each.is_ok() for each in answers)
    assert connections == 2


def test_call_that_gets_no_connection_in_time_was_not_sent():
    async def scenario():
        async with Server(0.5) as server:
            client = HttpClient(server.address, 1)
            long = asyncio.create_task(client.call("GET", "/", 2.0))
            await asyncio.sleep(0.05)
            short = await client.call("GET", "/", 0.1)
            after = await long, await client.call("GET", "/", 2.0)
            await client.close()
            return short, after

    short, after = asyncio.run(scenario())
    assert not short.err_value.sent
    assert all(each.is_ok() for each in after)


def test_call_of_a_port_without_listener_was_refused():
    async def scenario():
        server = await asyncio.start_server(print, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        return await HttpClient(f"127.0.0.1:{port}", 1).call("GET", "/", 1.0)

    failure = asyncio.run(scenario()).err_value
    assert failure.refused
    assert not failure.sent


@pytest.mark.parametrize("address", ["host.example:80", "1.2.3:x", "", ":80"])
def test_call_of_no_address_by_number_was_not_sent(address):
    found = asyncio.run(HttpClient(address, 1).call("GET", "/", 0.5))
    assert not found.err_value.sent


def test_reset_leaves_calls_in_progress_and_uses_new_connections():
    async def scenario():
        async with Server(0.2) as server:
            client = HttpClient(server.address, 4)
            going = asyncio.create_task(client.call("GET", "/", 1.0))
            await asyncio.sleep(0.05)
            await client.reset()
            second = await client.call("GET", "/", 1.0)
            first = await going
            await asyncio.sleep(0.05)
            await client.close()
            return first, second, server

    first, second, server = asyncio.run(scenario())
    assert first.is_ok()
    assert second.is_ok()
    assert server.connections == 2


def test_close_ends_the_calls_in_progress():
    async def scenario():
        async with Server(5.0) as server:
            client = HttpClient(server.address, 4)
            going = asyncio.create_task(client.call("GET", "/", 9.0))
            await asyncio.sleep(0.05)
            await client.close()
            return await asyncio.wait_for(going, 1.0)

    assert asyncio.run(scenario()).err_value.sent


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_call_that_is_given_up_is_discarded(is_cancelled):
    """Bytes behind a cut would otherwise be carried out when it heals."""

    async def scenario():
        given_up = asyncio.Event()
        outcome = asyncio.get_running_loop().create_future()

        async def accept(reader, writer):
            await given_up.wait()
            try:
                outcome.set_result(await reader.read())
            except ConnectionError as exc:
                outcome.set_result(exc)
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", 1)
        timeout_s = 5.0 if is_cancelled else 0.1
        going = asyncio.create_task(
            client.call("POST", "/", timeout_s, body="x" * 4_000_000)
        )
        await asyncio.sleep(0.1)
        if is_cancelled:
            going.cancel()
        await asyncio.gather(going, return_exceptions=True)
        given_up.set()
        found = await outcome
        server.close()
        return found

    assert isinstance(asyncio.run(scenario()), ConnectionResetError)


def test_single_call_has_a_connection_of_its_own():
    async def scenario():
        async with Server(OK) as server:
            request = encode_request("h.example", "GET", "/x", (), b"")
            answers = [
                await call_once(server.address, request.ok_value, 0.5, 1.0)
                for _ in range(2)
            ]
            return answers, server

    answers, server = asyncio.run(scenario())
    assert [each.ok_value.header(b"x-name") for each in answers] == [b"v"] * 2
    assert server.connections == 2
    assert b"Host: h.example\r\n" in server.requests[0][0]


def test_request_is_encoded_with_its_length():
    found = encode_request("h:1", "PUT", "/p", [("A", "b")], b"xyz")
    assert found == Ok(
        b"PUT /p HTTP/1.1\r\nHost: h:1\r\nA: b\r\nContent-Length: 3\r\n\r\nxyz"
    )
    assert isinstance(encode_request("h", "G", "/\n", (), b""), Err)
