"""Planes of several nodes on loopback sockets, in virtual time."""

import asyncio
import contextlib
import random

import pytest

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peer_messenger import TcpPeerMessenger
from pomeloarch_node.settings import Settings
from pomeloarch_standins.virtual_time import run_virtual

ZONES = ("patan", "patan", "bhaktapur", "bhaktapur", "boudha", "boudha")


def free_ports(count):
    import socket

    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


class Fleet:
    """Planes that run in one loop; each can be stopped."""

    def __init__(self):
        self.ports = free_ports(len(ZONES))
        self.planes = {}
        self.tasks = {}
        self.metrics = {}
        self.failures = []

    async def start(self, index, incarnation=1):
        node = NodeId(f"n{index}")
        settings = Settings(
            node_id=node,
            availability_zone=ZoneName(ZONES[index]),
            address="127.0.0.1",
            http_port=0,
            peer_port=self.ports[index],
            platform_url="",
            seeds=tuple(f"127.0.0.1:{port}" for port in self.ports[:2]),
        )
        self.metrics[node] = Metrics()
        clock = asyncio.get_running_loop().time
        plane = TcpPeerMessenger.from_settings(
            settings,
            incarnation,
            self.metrics[node],
            clock,
            random.Random(index),
        )
        self.planes[node] = plane
        self.tasks[node] = asyncio.create_task(plane.run())
        return plane

    async def kill(self, node):
        self.tasks[node].cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.tasks[node]
        del self.planes[node]

    async def agree(self, within_s):
        """Waits until all running planes know exactly the running ones."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        wanted = set(self.planes)
        while loop.time() < deadline:
            if all(
                set(plane.live_nodes()) == wanted
                for plane in self.planes.values()
            ):
                return True
            await asyncio.sleep(0.1)
        return False


@contextlib.asynccontextmanager
async def fleet_of(count):
    fleet = Fleet()
    for index in range(count):
        await fleet.start(index)
    try:
        yield fleet
    finally:
        for task in fleet.tasks.values():
            task.cancel()
        await asyncio.gather(*fleet.tasks.values(), return_exceptions=True)


def test_nodes_find_each_other_through_seeds():
    async def scenario():
        async with fleet_of(6) as fleet:
            assert await fleet.agree(within_s=10.0)

    run_virtual(scenario(), sockets=True)


def test_a_digest_reaches_all_and_the_latest_one_wins():
    async def scenario():
        async with fleet_of(6) as fleet:
            assert await fleet.agree(within_s=10.0)
            writer = fleet.planes["n0"]
            writer.set_digest("load", b"old")
            await asyncio.sleep(1.0)
            writer.set_digest("load", b"new")
            await asyncio.sleep(10.0)
            for node, plane in fleet.planes.items():
                if node != "n0":
                    assert plane.digests("load")["n0"].payload == b"new"

    run_virtual(scenario(), sockets=True)


def test_a_message_arrives_at_the_subscribers_of_its_topic():
    async def scenario():
        async with fleet_of(2) as fleet:
            assert await fleet.agree(within_s=10.0)
            queue = fleet.planes["n1"].subscribe("work")
            assert await fleet.planes["n0"].send("n1", "work", b"x" * 16_000)
            message = await queue.get()
            assert (message.sender, message.payload) == ("n0", b"x" * 16_000)
            assert not await fleet.planes["n0"].send("n9", "work", b"")

    run_virtual(scenario(), sockets=True)


def test_a_killed_node_is_dropped_and_its_restart_is_taken_back():
    async def scenario():
        async with fleet_of(6) as fleet:
            assert await fleet.agree(within_s=10.0)
            await fleet.kill("n3")
            assert await fleet.agree(within_s=8.0)
            await fleet.start(3, incarnation=2)
            assert await fleet.agree(within_s=10.0)

    run_virtual(scenario(), sockets=True)


def test_a_planned_stop_is_known_at_once():
    async def scenario():
        async with fleet_of(6) as fleet:
            assert await fleet.agree(within_s=10.0)
            await fleet.planes["n3"].drain()
            await fleet.kill("n3")
            assert await fleet.agree(within_s=0.5)

    run_virtual(scenario(), sockets=True)


@pytest.mark.parametrize(
    "garbage",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"\x00\x00\x00\x00",
        b"\xff\xff\xff\xff" + b"x" * 100,
        b"\x00\x00\x00\x08" + b"\xff" * 8,
        b"\x00\x00\x00\x10" + b"\x00\xff" * 8,
        b"\x00\x00\x40\x00" + b"\x00\xff" * 8192,
    ],
)
def test_garbage_closes_its_connection_and_the_node_goes_on(garbage):
    async def scenario():
        async with fleet_of(2) as fleet:
            assert await fleet.agree(within_s=10.0)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", fleet.ports[0]
            )
            writer.write(garbage)
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
            assert "peer_bad_frames 1" in fleet.metrics["n0"].render()
            await asyncio.sleep(5.0)
            assert await fleet.agree(within_s=1.0)

    run_virtual(scenario(), sockets=True)
