"""Tests of the spread of generations, with fakes of platform and peers."""

import asyncio
import contextlib
import itertools
import random

import pytest
from result import Err, Ok

from pomeloarch_core.ids import Generation, NodeId, PublicationId, ZoneName
from pomeloarch_core.objects.delta import apply_delta, make_delta
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    ObjectSet,
    Organisation,
    Snapshot,
)
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.generation_spreader import GenerationSpreader
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage
from pomeloarch_node.platform import PlatformError, PlatformFailure
from pomeloarch_standins.virtual_time import run_virtual

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}


def snapshot(generation, size=10):
    organisations = tuple(
        Organisation(name=f"o{index:04d}", quota_accelerators=generation)
        for index in range(size)
    )
    zones = tuple(
        AvailabilityZone(name=f"z{number}", region="here")
        for number in range(generation)
    )
    return Snapshot(
        Generation(generation),
        PublicationId(f"p{generation}"),
        ObjectSet(availability_zone=zones, organisation=organisations),
    )


class FakeSource:
    """The platform's generations, from which single nodes can be cut off."""

    def __init__(self):
        self.history = {0: Snapshot(0, "", ObjectSet())}
        self.cut_off = set()
        self.reads = 0

    def publish(self, generation, size=10):
        self.history[generation] = snapshot(generation, size)

    def for_node(self, node):
        return FakeNodeSource(self, node)


class FakeNodeSource:
    def __init__(self, source, node):
        self._source = source
        self._node = node

    async def _call(self, answer):
        await asyncio.sleep(0.005)
        self._source.reads += 1
        if self._node in self._source.cut_off:
            return Err(PlatformError(PlatformFailure.NOT_DONE, "cut"))
        return Ok(answer)

    async def load_head(self):
        return await self._call(max(self._source.history))

    async def load_snapshot(self):
        return await self._call(self._source.history[max(self._source.history)])

    async def load_deltas(self, base):
        known = sorted(g for g in self._source.history if g >= base)
        history = self._source.history
        deltas = [
            make_delta(history[old], history[new])
            for old, new in itertools.pairwise(known)
        ]
        return await self._call(tuple(deltas))


class FakePeers:
    """Peers without the membership protocol: digests arrive at once."""

    def __init__(self):
        self.nodes = {}
        self.blocked_links = set()
        self.sent_bytes = 0

    def join(self, node):
        self.nodes[node] = FakeNodePeers(self, node)
        return self.nodes[node]


class FakeNodePeers:
    def __init__(self, network, node):
        self._network = network
        self._node = node
        self._queues = []
        self.own_digests = {}

    def set_digest(self, topic, payload):
        self.own_digests[topic] = payload
        for node in self._network.nodes:
            self._deliver(node, topic, payload)

    def live_nodes(self):
        return {
            NodeId(node): ZoneName(ZONES[node]) for node in self._network.nodes
        }

    def digests(self, topic):
        return {
            NodeId(node): PeerMessage(node, ZONES[node], topic, digest)
            for node, peers in self._network.nodes.items()
            if node != self._node
            for digest in [peers.own_digests.get(topic)]
            if digest is not None
        }

    async def send(self, node, topic, payload):
        self._network.sent_bytes += len(payload)
        await asyncio.sleep(0.004)
        return self._deliver(node, topic, payload)

    def subscribe(self, topic):
        queue = asyncio.Queue()
        self._queues.append(queue)
        return queue

    def _deliver(self, node, topic, payload):
        if (
            node == self._node
            or (self._node, node) in self._network.blocked_links
        ):
            return False
        message = PeerMessage(self._node, ZONES[self._node], topic, payload)
        for queue in self._network.nodes[node]._queues:
            queue.put_nowait(message)
        return True


class Fleet:
    def __init__(self):
        self.source = FakeSource()
        self.network = FakePeers()
        self.holders = {}
        self.lowest = {}
        self.tasks = []

    def start(self, node):
        holder = ConfigurationHolder()
        spreader = GenerationSpreader(
            holder,
            self.source.for_node(node),
            self.network.join(node),
            NodeId(node),
            ZoneName(ZONES[node]),
            asyncio.get_running_loop().time,
            Metrics(),
            random.Random(node),
        )
        self.holders[node] = holder
        self.tasks.append(asyncio.create_task(spreader.run()))

    async def wait_until_all_at(self, generation, within_s):
        """Waits until all nodes have a generation; returns how long it took."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while any(h.generation < generation for h in self.holders.values()):
            if loop.time() - started_at > within_s:
                at = {n: h.generation for n, h in self.holders.items()}
                pytest.fail(f"not all at {generation} in {within_s} s: {at}")
            await asyncio.sleep(0.01)
        return loop.time() - started_at


@contextlib.asynccontextmanager
async def run_fleet(nodes):
    fleet = Fleet()
    for node in nodes:
        fleet.start(node)
    try:
        yield fleet
    finally:
        for task in fleet.tasks:
            task.cancel()


def test_a_generation_in_the_tables_is_in_force_on_all_nodes_within_2_s():
    async def scenario():
        async with run_fleet(ZONES) as fleet:
            for generation in range(1, 30):
                fleet.source.publish(generation)
                await fleet.wait_until_all_at(generation, within_s=2.0)
                await asyncio.sleep(0.37)

    run_virtual(scenario())


def test_a_publishing_node_informs_the_others_before_they_poll():
    async def scenario():
        async with run_fleet(ZONES) as fleet:
            fleet.source.publish(1)
            await fleet.wait_until_all_at(1, within_s=2.0)
            fleet.source.cut_off = set(ZONES)
            for generation in range(2, 10):
                fleet.holders["a1"].offer(snapshot(generation))
                assert (
                    await fleet.wait_until_all_at(generation, within_s=1.0)
                    < 1.0
                )

    run_virtual(scenario())


def test_a_zone_cut_off_from_the_platform_is_updated_by_peers():
    async def scenario():
        async with run_fleet(ZONES) as fleet:
            fleet.source.publish(1)
            await fleet.wait_until_all_at(1, within_s=2.0)
            fleet.source.cut_off = {"c1", "c2"}
            fleet.source.publish(2)
            await fleet.wait_until_all_at(2, within_s=2.0)

    run_virtual(scenario())


@pytest.mark.parametrize("size", [10, 3000])
def test_a_new_node_in_a_cut_off_zone_gets_the_generation_from_peers(size):
    async def scenario():
        async with run_fleet(["a1", "a2", "c1"]) as fleet:
            fleet.source.publish(5, size)
            await fleet.wait_until_all_at(5, within_s=2.0)
            fleet.source.cut_off = {"c1", "c2"}
            fleet.start("c2")
            await fleet.wait_until_all_at(5, within_s=5.0)
            assert fleet.holders["c2"].snapshot == snapshot(5, size)

    run_virtual(scenario())


def test_peers_push_to_a_node_whose_own_messages_are_lost():
    async def scenario():
        async with run_fleet(ZONES) as fleet:
            fleet.source.publish(1)
            await fleet.wait_until_all_at(1, within_s=2.0)
            fleet.source.cut_off = set(ZONES)
            fleet.network.blocked_links = {("c2", node) for node in ZONES}
            fleet.holders["a1"].offer(snapshot(2))
            await fleet.wait_until_all_at(2, within_s=10.0)

    run_virtual(scenario())


def test_a_lower_generation_of_the_platform_is_ignored():
    async def scenario():
        async with run_fleet(ZONES) as fleet:
            fleet.source.publish(4)
            await fleet.wait_until_all_at(4, within_s=2.0)
            del fleet.source.history[4]
            fleet.source.publish(3)
            fleet.start("a1")
            await fleet.wait_until_all_at(4, within_s=5.0)

    run_virtual(scenario())


def test_a_small_change_of_a_large_set_is_sent_as_a_delta():
    async def scenario():
        async with run_fleet(ZONES) as fleet:
            large = snapshot(1, size=3000)
            fleet.source.history[1] = large
            await fleet.wait_until_all_at(1, within_s=2.0)
            fleet.network.sent_bytes = 0
            changed = ObjectSet(
                availability_zone=large.objects.availability_zone,
                organisation=(
                    Organisation(name="o0000", weight=2.0),
                    *large.objects.organisation[1:],
                ),
            )
            fleet.source.cut_off = set(ZONES)
            fleet.holders["b1"].offer(Snapshot(2, "p2", changed))
            await fleet.wait_until_all_at(2, within_s=1.0)
            assert fleet.network.sent_bytes < 2_000

    run_virtual(scenario())


@pytest.mark.parametrize(
    "payload", [b"", b"\xff\xff", b"x\x9c\x00", b"\x81\xa4type\xa3Foo"]
)
def test_a_bad_message_is_dropped(payload):
    async def scenario():
        async with run_fleet(["a1", "a2"]) as fleet:
            await fleet.network.nodes["a2"].send("a1", "generation", payload)
            fleet.source.publish(1)
            await fleet.wait_until_all_at(1, within_s=2.0)

    run_virtual(scenario())


def test_applying_deltas_one_by_one_gives_the_same_snapshot():
    deltas = [make_delta(snapshot(n), snapshot(n + 1)) for n in range(1, 6)]
    found = snapshot(1)
    for each_delta in deltas:
        found = apply_delta(found, each_delta).ok_value
    assert found == snapshot(6)
