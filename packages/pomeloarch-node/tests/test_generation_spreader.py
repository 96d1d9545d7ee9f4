"""Generations spread over fakes of the platform and of the peers."""

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
    """The platform's generations, with cuts from single nodes."""

    def __init__(self):
        self.history = {0: Snapshot(0, "", ObjectSet())}
        self.cut = set()
        self.reads = 0

    def publish(self, generation, size=10):
        self.history[generation] = snapshot(generation, size)

    def for_node(self, node):
        return FakeSourceOfNode(self, node)


class FakeSourceOfNode:
    def __init__(self, source, node):
        self._source = source
        self._node = node

    async def _call(self, answer):
        await asyncio.sleep(0.005)
        self._source.reads += 1
        if self._node in self._source.cut:
            return Err(PlatformError(PlatformFailure.NOT_DONE, "cut"))
        return Ok(answer)

    async def load_head(self):
        return await self._call(max(self._source.history))

    async def load_snapshot(self):
        return await self._call(self._source.history[max(self._source.history)])

    async def load_deltas(self, base):
        known = sorted(g for g in self._source.history if g >= base)
        history = self._source.history
        steps = [
            make_delta(history[old], history[new])
            for old, new in itertools.pairwise(known)
        ]
        return await self._call(tuple(steps))


class FakePeers:
    """The plane between nodes without its protocol: digests pass at once."""

    def __init__(self):
        self.nodes = {}
        self.blocked = set()
        self.bytes = 0

    def join(self, node):
        self.nodes[node] = FakePeersOfNode(self, node)
        return self.nodes[node]


class FakePeersOfNode:
    def __init__(self, net, node):
        self._net = net
        self._node = node
        self._queues = []
        self.own = {}

    def set_digest(self, topic, payload):
        self.own[topic] = payload
        for node in self._net.nodes:
            self._deliver(node, topic, payload)

    def live_nodes(self):
        return {NodeId(node): ZoneName(ZONES[node]) for node in self._net.nodes}

    def digests(self, topic):
        return {
            NodeId(node): PeerMessage(node, ZONES[node], topic, digest)
            for node, peers in self._net.nodes.items()
            if node != self._node
            for digest in [peers.own.get(topic)]
            if digest is not None
        }

    async def send(self, node, topic, payload):
        self._net.bytes += len(payload)
        await asyncio.sleep(0.004)
        return self._deliver(node, topic, payload)

    def subscribe(self, topic):
        queue = asyncio.Queue()
        self._queues.append(queue)
        return queue

    def _deliver(self, node, topic, payload):
        if node == self._node or (self._node, node) in self._net.blocked:
            return False
        message = PeerMessage(self._node, ZONES[self._node], topic, payload)
        for queue in self._net.nodes[node]._queues:
            queue.put_nowait(message)
        return True


class Fleet:
    def __init__(self):
        self.source = FakeSource()
        self.net = FakePeers()
        self.holders = {}
        self.lowest = {}
        self.tasks = []

    def start(self, node):
        holder = ConfigurationHolder()
        spreader = GenerationSpreader(
            holder,
            self.source.for_node(node),
            self.net.join(node),
            NodeId(node),
            ZoneName(ZONES[node]),
            asyncio.get_running_loop().time,
            Metrics(),
            random.Random(node),
        )
        self.holders[node] = holder
        self.tasks.append(asyncio.create_task(spreader.run()))

    async def all_at(self, generation, within_s):
        """Waits until all have a generation; returns how long that took."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        while any(h.generation < generation for h in self.holders.values()):
            if loop.time() - begin > within_s:
                at = {n: h.generation for n, h in self.holders.items()}
                pytest.fail(f"not all at {generation} in {within_s} s: {at}")
            await asyncio.sleep(0.01)
        return loop.time() - begin


@contextlib.asynccontextmanager
async def fleet_of(nodes):
    fleet = Fleet()
    for node in nodes:
        fleet.start(node)
    try:
        yield fleet
    finally:
        for task in fleet.tasks:
            task.cancel()


def test_a_generation_in_the_tables_is_in_force_everywhere_within_2_s():
    async def scenario():
        async with fleet_of(ZONES) as fleet:
            for generation in range(1, 30):
                fleet.source.publish(generation)
                await fleet.all_at(generation, within_s=2.0)
                await asyncio.sleep(0.37)

    run_virtual(scenario())


def test_a_publishing_node_tells_the_others_before_they_poll():
    async def scenario():
        async with fleet_of(ZONES) as fleet:
            fleet.source.publish(1)
            await fleet.all_at(1, within_s=2.0)
            fleet.source.cut = set(ZONES)
            for generation in range(2, 10):
                fleet.holders["a1"].offer(snapshot(generation))
                assert await fleet.all_at(generation, within_s=1.0) < 1.0

    run_virtual(scenario())


def test_a_zone_cut_off_from_the_platform_follows_by_its_peers():
    async def scenario():
        async with fleet_of(ZONES) as fleet:
            fleet.source.publish(1)
            await fleet.all_at(1, within_s=2.0)
            fleet.source.cut = {"c1", "c2"}
            fleet.source.publish(2)
            await fleet.all_at(2, within_s=2.0)

    run_virtual(scenario())


@pytest.mark.parametrize("size", [10, 3000])
def test_a_new_node_in_a_cut_off_zone_starts_from_its_peers(size):
    async def scenario():
        async with fleet_of(["a1", "a2", "c1"]) as fleet:
            fleet.source.publish(5, size)
            await fleet.all_at(5, within_s=2.0)
            fleet.source.cut = {"c1", "c2"}
            fleet.start("c2")
            await fleet.all_at(5, within_s=5.0)
            assert fleet.holders["c2"].snapshot == snapshot(5, size)

    run_virtual(scenario())


def test_a_node_whose_own_messages_are_lost_is_pushed_to():
    async def scenario():
        async with fleet_of(ZONES) as fleet:
            fleet.source.publish(1)
            await fleet.all_at(1, within_s=2.0)
            fleet.source.cut = set(ZONES)
            fleet.net.blocked = {("c2", node) for node in ZONES}
            fleet.holders["a1"].offer(snapshot(2))
            await fleet.all_at(2, within_s=10.0)

    run_virtual(scenario())


def test_a_lower_generation_of_the_platform_is_not_taken():
    async def scenario():
        async with fleet_of(ZONES) as fleet:
            fleet.source.publish(4)
            await fleet.all_at(4, within_s=2.0)
            del fleet.source.history[4]
            fleet.source.publish(3)
            fleet.start("a1")
            await fleet.all_at(4, within_s=5.0)

    run_virtual(scenario())


def test_a_small_change_of_a_large_set_travels_as_a_delta():
    async def scenario():
        async with fleet_of(ZONES) as fleet:
            large = snapshot(1, size=3000)
            fleet.source.history[1] = large
            await fleet.all_at(1, within_s=2.0)
            fleet.net.bytes = 0
            changed = ObjectSet(
                availability_zone=large.objects.availability_zone,
                organisation=(
                    Organisation(name="o0000", weight=2.0),
                    *large.objects.organisation[1:],
                ),
            )
            fleet.source.cut = set(ZONES)
            fleet.holders["b1"].offer(Snapshot(2, "p2", changed))
            await fleet.all_at(2, within_s=1.0)
            assert fleet.net.bytes < 2_000

    run_virtual(scenario())


@pytest.mark.parametrize(
    "payload", [b"", b"\xff\xff", b"x\x9c\x00", b"\x81\xa4type\xa3Foo"]
)
def test_a_bad_message_is_dropped(payload):
    async def scenario():
        async with fleet_of(["a1", "a2"]) as fleet:
            await fleet.net.nodes["a2"].send("a1", "generation", payload)
            fleet.source.publish(1)
            await fleet.all_at(1, within_s=2.0)

    run_virtual(scenario())


def test_applying_the_steps_one_by_one_gives_the_same_as_the_whole():
    steps = [make_delta(snapshot(n), snapshot(n + 1)) for n in range(1, 6)]
    found = snapshot(1)
    for step in steps:
        found = apply_delta(found, step).ok_value
    assert found == snapshot(6)
