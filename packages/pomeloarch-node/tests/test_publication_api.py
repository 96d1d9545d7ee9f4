import asyncio
import contextlib
import json
import pathlib
import random
import socket

import aiohttp
import pytest
import uvicorn
from starlette.applications import Starlette

from pomeloarch_core.ids import NodeId
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.operators_api import OperatorsApi
from pomeloarch_node.operators_audit import audit_write
from pomeloarch_node.operators_body import MAX_BODY_BYTES
from pomeloarch_node.operators_messages import AuditEntry
from pomeloarch_standins.memory_platform import Fault, MemoryPlatform

QASR = pathlib.Path(__file__).parents[3] / "examples" / "qasr"
DOCUMENTS = [
    {"path": path.name, "text": path.read_text()}
    for path in sorted(QASR.glob("*.toml"))
]
GOOD = {"publication": "p1", "who": "asha", "why": "x", "documents": DOCUMENTS}


@contextlib.asynccontextmanager
async def serve(platform, holder, **options):
    api = OperatorsApi(
        platform,
        holder,
        Metrics(),
        NodeId("amman-a-1"),
        random.Random(1),
        wall_clock=lambda: 5_000_000.0,
        **options,
    )
    config = uvicorn.Config(Starlette(routes=api.routes()), log_config=None)
    server = uvicorn.Server(config)
    sock = socket.create_server(("127.0.0.1", 0))
    task = asyncio.create_task(server.serve(sockets=[sock]))
    async with aiohttp.ClientSession() as session:
        yield session, f"http://127.0.0.1:{sock.getsockname()[1]}"
    server.should_exit = True
    await task


def call_api(*calls, platform=None, holder=None):
    """Makes calls of (method, path, body); returns (status, answer) of each."""

    async def run():
        answers = []
        node = serve(
            platform or MemoryPlatform(), holder or ConfigurationHolder()
        )
        async with node as (session, url):
            for method, path, body in calls:
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                async with session.request(
                    method, url + path, data=body
                ) as response:
                    answers.append((response.status, await response.json()))
        return answers

    return asyncio.run(run())


def post(body):
    return "POST", "/v1/publications", body


def get(path):
    return "GET", path, b""


@pytest.mark.parametrize(
    ("body", "status", "reason"),
    [
        (b"", 400, "bad_request"),
        (b"{", 400, "bad_request"),
        (b"\xff\xfe", 400, "bad_request"),
        (b"[" * 100_000, 400, "bad_request"),
        (GOOD | {"who": ""}, 400, "bad_request"),
        (GOOD | {"publication": "a/b"}, 400, "bad_request"),
        (GOOD | {"base": -1}, 400, "bad_request"),
        (GOOD | {"colour": 1}, 400, "bad_request"),
        (GOOD | {"documents": None}, 400, "bad_request"),
        (GOOD | {"rollback_to": 1}, 400, "bad_request"),
        (GOOD | {"documents": [{"path": "f"}]}, 400, "bad_request"),
        (GOOD | {"base": 9}, 400, "base_unknown"),
        (GOOD | {"documents": DOCUMENTS[1:]}, 422, "findings"),
        (b" " * (MAX_BODY_BYTES + 1), 413, "body_too_large"),
    ],
)
def test_a_bad_publication_is_refused_and_a_good_one_still_succeeds(
    body, status, reason
):
    platform = MemoryPlatform()
    bad, good = call_api(post(body), post(GOOD), platform=platform)
    assert bad[0] == status
    assert (bad[1]["reason"], bad[1]["outcome"]) == (reason, "not_run")
    assert (good[0], good[1]["generation"]) == (200, 1)
    assert platform.transactions == 1


def test_a_publication_is_in_force_on_the_node_that_made_it():
    holder = ConfigurationHolder()
    call_api(post(GOOD), holder=holder)
    assert holder.generation == 1
    assert holder.snapshot.objects.service[0].name == "scorer"


def test_an_id_cannot_be_used_for_two_publications():
    other = [
        found | {"text": found["text"].replace("= 256", "= 512")}
        for found in DOCUMENTS
    ]
    _, again, third = call_api(
        post(GOOD), post(GOOD), post(GOOD | {"documents": other})
    )
    assert (again[1]["generation"], again[1]["repeated"]) == (1, True)
    assert (third[0], third[1]["reason"]) == (409, "publication_id_used")


def test_too_many_changes_at_once_are_refused():
    text = "".join(f"[[organisation]]\nname = 'o{i}'\n" for i in range(251))
    documents = [{"path": "f", "text": text}]
    [(status, problem)] = call_api(post(GOOD | {"documents": documents}))
    assert (status, problem["reason"]) == (422, "too_many_changes")


def test_reads_return_what_exists_and_refuse_the_rest():
    answers = call_api(
        post(GOOD),
        get("/v1/generations/0"),
        get("/v1/generations/1"),
        get("/v1/generations/2"),
        get("/v1/generations/0/diff/1"),
        get("/v1/generations/1/diff/7"),
        get("/v1/generations?limit=x&upto=99999999999999"),
        holder=ConfigurationHolder(),
    )
    statuses = [status for status, _ in answers]
    assert statuses == [200, 200, 200, 404, 200, 404, 200]
    assert answers[1][1]["objects"]["service"] == []
    assert len(answers[4][1]["entries"]) == 18


def test_the_audit_trail_has_decisions_and_publications_newest_first():
    platform = MemoryPlatform()

    async def write_decisions():
        for index, at in enumerate((1.0, 4_999_999.0)):
            entry = AuditEntry(at, "role/scheduler", "amman-a-1", "expired")
            await platform.transact([], [audit_write(entry, str(index))])

    asyncio.run(write_decisions())
    _, trail, roles = call_api(
        post(GOOD),
        get("/v1/audit?limit=100"),
        get("/v1/audit?subject=role/&limit=2"),
        platform=platform,
    )
    times = [entry["at"] for entry in trail[1]["entries"]]
    assert times == sorted(times, reverse=True)
    assert len(times) == 20
    assert [entry["at"] for entry in roles[1]["entries"]] == [4_999_999.0, 1.0]


def test_reads_report_a_platform_that_is_down():
    platform = MemoryPlatform()
    platform.read_faults.extend([Fault.DOWN] * 100)
    [(status, problem)] = call_api(get("/v1/generations"), platform=platform)
    assert (status, problem["outcome"]) == (503, "not_run")


async def send_head_only(url):
    """Sends a request without its body, and returns the status."""
    host, port = url.removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /v1/publications HTTP/1.1\r\n"
        b"Host: node\r\nContent-Length: 10\r\n\r\n"
    )
    line = await reader.readline()
    writer.close()
    return int(line.split()[1])


def test_a_request_without_its_body_is_refused_and_frees_its_slot():
    async def run():
        node = serve(
            MemoryPlatform(), ConfigurationHolder(), body_timeout_s=0.05
        )
        async with node as (session, url):
            refused = await asyncio.gather(
                *(send_head_only(url) for _ in range(9))
            )
            async with session.post(
                f"{url}/v1/publications", data=json.dumps(GOOD).encode()
            ) as response:
                return set(refused), response.status

    assert asyncio.run(run()) == ({408}, 200)


def test_concurrent_requests_for_one_publication_create_one_generation():
    platform = MemoryPlatform()

    async def run():
        node = serve(platform, ConfigurationHolder())
        async with node as (session, url):

            async def publish_once():
                body = json.dumps(GOOD).encode()
                async with session.post(
                    f"{url}/v1/publications", data=body
                ) as response:
                    return (await response.json())["generation"]

            return await asyncio.gather(*(publish_once() for _ in range(8)))

    assert asyncio.run(run()) == [1] * 8
    assert platform.transactions == 1
