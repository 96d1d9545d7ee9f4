"""Tests the status pages, direct mounts and the configuration holder."""

import asyncio

import httpx2
import pytest
from starlette.responses import Response
from starlette.routing import Mount

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.generation_messages import (
    Have,
    encode_message,
)
from pomeloarch_core.objects.model import ObjectSet, Snapshot
from pomeloarch_node.app import (
    DirectMounts,
    Readiness,
    StatusPages,
    build_app,
)
from pomeloarch_node.component import BackgroundComponent
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage
from pomeloarch_node.platform import Host, HostKind


class FakePeers:
    def __init__(self, payloads):
        self.payloads = payloads

    def digests(self, topic):
        return {
            name: PeerMessage(NodeId(name), ZoneName("boudha"), topic, payload)
            for name, payload in self.payloads.items()
        }


async def _get(holder, payloads, path):
    directory = HostDirectory()
    silent = Host("patan-2", HostKind.NODE, "patan", "127.0.0.1:1")
    directory.replace((silent,))
    component = BackgroundComponent(lambda: None, status=lambda: {"held": True})
    pages = StatusPages(
        NodeId("patan-1"),
        ZoneName("patan"),
        Readiness(holder),
        holder,
        FakePeers(payloads),
        directory,
        Metrics(),
        {"role": component},
    )
    transport = httpx2.ASGITransport(app=build_app(pages, [component]))
    async with httpx2.AsyncClient(
        transport=transport, base_url="http://node"
    ) as client:
        return await client.get(path)


def _get_sync(holder, payloads, path):
    return asyncio.run(_get(holder, payloads, path))


def _holder(generation):
    holder = ConfigurationHolder()
    if generation:
        holder.offer(Snapshot(generation, "p", ObjectSet()))
    return holder


def test_status_shows_generation_of_each_node():
    payloads = {"boudha-1": encode_message(Have(2)), "boudha-2": b"garbage"}
    status = _get_sync(_holder(3), payloads, "/v1/status").json()
    generations = {
        each["node"]: each["generation"] for each in status["generations"]
    }
    assert generations == {
        "patan-1": 3,
        "patan-2": 0,
        "boudha-1": 2,
        "boudha-2": 0,
    }
    assert status["role"] == {"held": True}


@pytest.mark.parametrize(("generation", "code"), [(0, 503), (1, 200)])
def test_node_without_configuration_is_not_ready(generation, code):
    answer = _get_sync(_holder(generation), {}, "/readyz")
    assert answer.status_code == code


def test_mount_handles_only_paths_below_it():
    async def mounted(scope, receive, send):
        await Response(scope["path"])(scope, receive, send)

    app = DirectMounts(Response("other"), [Mount("/v1/services", mounted)])

    async def get(path):
        transport = httpx2.ASGITransport(app=app)
        async with httpx2.AsyncClient(
            transport=transport, base_url="http://node"
        ) as client:
            return (await client.get(path)).text

    assert asyncio.run(get("/v1/services/desk/a")) == "/v1/services/desk/a"
    assert asyncio.run(get("/v1/servicesx")) == "other"


def test_lower_generation_is_rejected():
    holder = _holder(3)
    assert not holder.offer(Snapshot(2, "old", ObjectSet()))
    assert holder.generation == 3
