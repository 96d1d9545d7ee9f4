"""Tests of the list of hosts, from the platform or else from a peer."""

import asyncio
import contextlib
import random

import pytest
from result import Err, Ok

from pomeloarch_node.host_watch import TOPIC, HostDirectoryTask
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage
from pomeloarch_node.platform import (
    Host,
    HostKind,
    PlatformError,
    PlatformFailure,
)
from pomeloarch_standins.virtual_time import run_virtual


def worker(number):
    return Host(f"w{number}", HostKind.WORKER, "patan", f"h:{number}")


class FakePlatform:
    def __init__(self):
        self.hosts = (worker(1),)
        self.cut_off = False
        self.reads = 0

    async def membership(self):
        self.reads += 1
        await asyncio.sleep(0.01)
        if self.cut_off:
            return Err(PlatformError(PlatformFailure.UNKNOWN, "cut"))
        return Ok(self.hosts)


class FakePeers:
    """The messenger of one of two nodes, which exchange messages."""

    def __init__(self, node):
        self.node = node
        self.other = None
        self.queue = asyncio.Queue()

    def live_nodes(self):
        return {self.node: "patan", self.other.node: "patan"}

    async def send(self, node, topic, payload):
        message = PeerMessage(self.node, "patan", topic, payload)
        if node == self.other.node:
            self.other.queue.put_nowait(message)
        return True

    def set_listed(self, addresses):
        self.listed = list(addresses)

    def subscribe(self, topic):
        assert topic == TOPIC
        return self.queue


@contextlib.asynccontextmanager
async def run_two_nodes():
    peers = FakePeers("n0"), FakePeers("n1")
    peers[0].other, peers[1].other = peers[1], peers[0]
    platforms = FakePlatform(), FakePlatform()
    directories = HostDirectory(), HostDirectory()
    tasks = [
        asyncio.create_task(
            HostDirectoryTask(
                directories[index],
                platforms[index],
                peers[index],
                asyncio.get_running_loop().time,
                Metrics(),
                random.Random(index),
            ).run()
        )
        for index in range(2)
    ]
    try:
        yield platforms, directories, peers
    finally:
        for task in tasks:
            task.cancel()


def test_a_change_of_the_list_is_adopted_within_3_s():
    async def scenario():
        async with run_two_nodes() as (platforms, directories, _):
            await asyncio.sleep(1.0)
            assert directories[0].hosts(HostKind.WORKER) == (worker(1),)
            platforms[0].hosts = (worker(1), worker(2))
            await asyncio.sleep(3.0)
            assert directories[0].hosts(HostKind.WORKER) == (
                worker(1),
                worker(2),
            )
            await asyncio.sleep(96.0)
            assert platforms[0].reads <= 70

    run_virtual(scenario())


def test_a_node_cut_off_from_the_platform_gets_the_list_from_a_peer():
    async def scenario():
        async with run_two_nodes() as (platforms, directories, _):
            platforms[1].cut_off = True
            platforms[0].hosts = (worker(7),)
            await asyncio.sleep(20.0)
            assert directories[1].hosts(HostKind.WORKER) == (worker(7),)

    run_virtual(scenario())


def test_the_nodes_of_the_list_become_addresses_to_join():
    async def scenario():
        async with run_two_nodes() as (platforms, _, peers):
            node = Host(
                "n9",
                HostKind.NODE,
                "patan",
                "10.0.0.9:80",
                attributes={"peer_address": "10.0.0.9:7000"},
            )
            platforms[0].hosts = (node, worker(1))
            await asyncio.sleep(5.0)
            assert peers[0].listed == ["10.0.0.9:7000"]

    run_virtual(scenario())


def test_the_last_list_is_kept_if_no_node_has_a_newer_one():
    async def scenario():
        async with run_two_nodes() as (platforms, directories, _):
            await asyncio.sleep(1.0)
            platforms[0].cut_off = platforms[1].cut_off = True
            await asyncio.sleep(600.0)
            assert directories[0].hosts(HostKind.WORKER) == (worker(1),)

    run_virtual(scenario())


@pytest.mark.parametrize("payload", [b"x", b"x\x9c\x03\x00\x00\x00\x00\x01"])
def test_a_bad_list_of_a_peer_is_dropped(payload):
    async def scenario():
        async with run_two_nodes() as (_, directories, peers):
            await peers[0].send("n1", TOPIC, payload)
            await asyncio.sleep(5.0)
            assert directories[1].hosts(HostKind.WORKER) == (worker(1),)

    run_virtual(scenario())
