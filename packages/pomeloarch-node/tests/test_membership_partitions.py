"""Every pair of cuts on six nodes with real sockets, in virtual time.

The table in docs/operators/partitions.md names the cases of this module.
"""

import asyncio
import contextlib
import enum
import itertools
import random
import socket

import pytest
from result import Err, Ok

from pomeloarch_core.ids import Generation, NodeId, PublicationId, ZoneName
from pomeloarch_core.membership import NodeState, Rumour
from pomeloarch_core.objects.delta import make_delta
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    ObjectSet,
    Snapshot,
)
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.generation_spreader import GenerationSpreader
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peer_link import PeerLink
from pomeloarch_node.peer_messenger import TcpPeerMessenger
from pomeloarch_node.platform import (
    Conflict,
    PlatformError,
    PlatformFailure,
    Row,
)
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_standins.virtual_time import run_virtual

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
UNKNOWN = Err(PlatformError(PlatformFailure.UNKNOWN, "no answer"))


class Cut(enum.Enum):
    """What is broken; zone c is the one that is cut off."""

    ZONE_FROM_ZONE = "zone from zone"
    ZONE_FROM_PLATFORM = "zone from platform"
    NODE_FROM_NODE = "node from node, one way"
    PLATFORM_SLOW = "platform slow"
    PLATFORM_LOSES_ANSWERS = "platform loses answers"


CASES = [
    *[{cut} for cut in Cut],
    *[set(pair) for pair in itertools.combinations(Cut, 2)],
    set(Cut),
]


def case_id(cuts):
    return " + ".join(cut.value for cut in Cut if cut in cuts)


class Platform:
    """The tables as one node reaches them, with faults for all or one."""

    def __init__(self, world, node):
        self.world = world
        self.node = node

    async def read(self, keys):
        rows = tuple(Row(*key, *self.world.row(key)) for key in keys)
        return await self._answer(lambda: Ok(rows))

    async def transact(self, checks, writes):
        return await self._answer(lambda: self._apply(checks, writes))

    def _apply(self, checks, writes):
        rows = self.world.rows
        found = [
            Row(c.table, c.key, *self.world.row((c.table, c.key)))
            for c in checks
        ]
        if [row.version for row in found] != [c.version for c in checks]:
            return Err(Conflict(tuple(found)))
        for write in writes:
            version, _ = self.world.row((write.table, write.key))
            rows[write.table, write.key] = (version + 1, write.value)
        return Ok(tuple(self.world.row((w.table, w.key))[0] for w in writes))

    async def load_head(self):
        return await self._answer(lambda: Ok(self.world.head))

    async def load_snapshot(self):
        return await self._answer(lambda: Ok(snapshot(self.world.head)))

    async def load_deltas(self, base):
        steps = [
            make_delta(snapshot(number), snapshot(number + 1))
            for number in range(base, self.world.head)
        ]
        return await self._answer(lambda: Ok(tuple(steps)))

    async def _answer(self, carry_out):
        world = self.world
        await asyncio.sleep(0.005)
        if Cut.ZONE_FROM_PLATFORM in world.cuts and ZONES[self.node] == "c":
            return UNKNOWN
        answer = carry_out()
        if Cut.PLATFORM_SLOW in world.cuts:
            await asyncio.sleep(0.4)
        if Cut.PLATFORM_LOSES_ANSWERS in world.cuts:
            return UNKNOWN if world.rng.random() < 0.3 else answer
        return answer


class CuttableLink(PeerLink):
    """Frames vanish silently while the link is cut, as behind a firewall."""

    def __init__(self, address, is_cut):
        super().__init__(address)
        self.is_cut = is_cut

    async def send(self, encoded):
        return True if self.is_cut() else await super().send(encoded)


class World:
    """Six nodes' planes, generations and roles, and what is cut."""

    def __init__(self):
        self.rng = random.Random(1)
        self.clock = asyncio.get_running_loop().time
        self.cuts = set()
        self.rows = {}
        self.head = Generation(1)
        self.planes, self.holders, self.roles = {}, {}, {}
        self.tasks = []
        self.epochs = {}
        self.lowest = dict.fromkeys(ZONES, 0)
        self.faults = []
        ports = dict(zip(ZONES, free_ports(len(ZONES)), strict=True))
        self.addresses = {n: f"127.0.0.1:{p}" for n, p in ports.items()}
        for node in ZONES:
            self.start(node)
        self.tasks.append(asyncio.create_task(self.watch()))

    def row(self, key):
        return self.rows.get(key, (0, None))

    def start(self, node):
        zone, platform = ZoneName(ZONES[node]), Platform(self, node)
        me = Rumour(
            NodeId(node), zone, self.addresses[node], NodeState.ALIVE, 1
        )
        by_address = {address: n for n, address in self.addresses.items()}
        plane = TcpPeerMessenger(
            me,
            [self.addresses["a1"], self.addresses["b1"]],
            Metrics(),
            self.clock,
            random.Random(f"plane {node}"),
            open_link=lambda address: CuttableLink(
                address, lambda: self.is_cut(node, by_address[address])
            ),
        )
        holder = ConfigurationHolder()
        spreader = GenerationSpreader(
            holder,
            platform,
            plane,
            NodeId(node),
            zone,
            self.clock,
            Metrics(),
            random.Random(f"spread {node}"),
        )
        role = LeasedRole(
            f"scheduler/{zone}",
            NodeId(node),
            platform,
            self.clock,
            Metrics(),
            random.Random(f"role {node}"),
        )
        self.planes[node], self.holders[node] = plane, holder
        self.roles[node] = role
        for part in (plane, spreader, role):
            self.tasks.append(asyncio.create_task(part.run()))

    def is_cut(self, sender, receiver):
        apart = (ZONES[sender] == "c") != (ZONES[receiver] == "c")
        if Cut.ZONE_FROM_ZONE in self.cuts and apart:
            return True
        one_way = (sender, receiver) == ("a1", "c1")
        return Cut.NODE_FROM_NODE in self.cuts and one_way

    async def watch(self):
        """Notes two holders at once, shared epochs, lower generations."""
        while True:
            for zone in "abc":
                acting = [n for n in self.in_zone(zone) if self.epoch(n)]
                if len(acting) > 1:
                    self.faults.append(("two holders", acting))
                for node in acting:
                    key = zone, self.epoch(node)
                    if self.epochs.setdefault(key, node) != node:
                        self.faults.append(("shared epoch", key))
            for node, holder in self.holders.items():
                if holder.generation < self.lowest[node]:
                    self.faults.append(("generation went down", node))
                self.lowest[node] = holder.generation
            await asyncio.sleep(0.02)

    def epoch(self, node):
        return self.roles[node].epoch()

    def in_zone(self, zone):
        return [node for node in ZONES if ZONES[node] == zone]

    async def wait_for(self, holds, within_s, what):
        deadline = self.clock() + within_s
        while not holds():
            if self.clock() > deadline:
                pytest.fail(f"not within {within_s} s: {what}")
            await asyncio.sleep(0.05)

    def all_well(self):
        return (
            all(set(p.live_nodes()) == set(ZONES) for p in self.planes.values())
            and all(h.generation == self.head for h in self.holders.values())
            and all(any(map(self.epoch, self.in_zone(z))) for z in "abc")
        )


def snapshot(generation):
    zones = tuple(
        AvailabilityZone(name=ZoneName(f"z{number}"), region="here")
        for number in range(generation)
    )
    return Snapshot(
        Generation(generation),
        PublicationId(f"p{generation}"),
        ObjectSet(availability_zone=zones),
    )


def free_ports(count):
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


async def check_during(world, cuts):
    """Checks what goes on, and what stops, while the cuts last."""
    apart = Cut.ZONE_FROM_ZONE in cuts
    no_platform = Cut.ZONE_FROM_PLATFORM in cuts
    await world.wait_for(
        lambda: all(world.holders[n].generation == 2 for n in ("a1", "b1")),
        10.0,
        "the generation in the zones that reach the platform",
    )
    if not (apart and no_platform):
        await world.wait_for(
            lambda: all(world.holders[n].generation == 2 for n in ("c1", "c2")),
            10.0,
            "the generation in the zone that is cut off",
        )
    await asyncio.sleep(max(0.0, 10.0 - (world.clock() - world.cut_at)))
    live = set(world.planes["a1"].live_nodes())
    assert live == ({"a1", "a2", "b1", "b2"} if apart else set(ZONES))
    if no_platform:
        assert not any(map(world.epoch, world.in_zone("c")))
    else:
        await world.wait_for(
            lambda: any(map(world.epoch, world.in_zone("c"))),
            6.0,
            "a holder in the zone that is cut off",
        )
    if apart and no_platform:
        assert world.holders["c1"].generation == 1
    await world.wait_for(
        lambda: any(map(world.epoch, world.in_zone("a"))),
        6.0,
        "a holder in a zone that is not cut off",
    )


@pytest.mark.parametrize("cuts", CASES, ids=case_id)
def test_what_goes_on_under_cuts_and_that_healing_converges(cuts):
    async def scenario():
        world = World()
        try:
            await world.wait_for(world.all_well, 20.0, "the start")
            world.cuts = cuts
            world.cut_at = world.clock()
            world.head = Generation(2)
            await check_during(world, cuts)
            world.cuts = set()
            world.head = Generation(3)
            await world.wait_for(world.all_well, 20.0, "the healing")
            assert world.faults == []
        finally:
            for task in world.tasks:
                task.cancel()
            await asyncio.gather(*world.tasks, return_exceptions=True)

    run_virtual(scenario(), sockets=True)
