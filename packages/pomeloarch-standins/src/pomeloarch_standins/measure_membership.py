"""Measures the cost of control traffic and the takeover times of roles.

The nodes run in one process in virtual time, with frames as on the wire but
without sockets. One case uses real sockets on the loopback address.
"""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from collections.abc import Iterable, Iterator

from pomeloarch_core.ids import (
    NodeId,
    ZoneName,
)
from pomeloarch_core.membership.messages import Entries, Entry, Frame
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peer_codec import encode_frame
from pomeloarch_node.peer_messenger import TcpPeerMessenger
from pomeloarch_node.settings import Settings
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.membership_fleet import (
    DIGEST_BYTES,
    MeasuredFleet,
)
from pomeloarch_standins.membership_generations import apply_rows
from pomeloarch_standins.membership_roles import platform_rows, takeover_rows
from pomeloarch_standins.virtual_time import run_virtual

# Numbers of zones and of nodes in each: 6, 48 and 200 nodes.
SIZES = ((3, 2), (12, 4), (20, 10))
ONE_ZONE = (1, 48)
CHANGES_PER_S = 0.8
# Time before the measurement, in seconds.
_SETTLE_S = 8.0
# Time during which generations are published and measured, in seconds.
_WINDOW_S = 10.0
# Longest time for a generation to reach all nodes, in seconds.
_MAX_SPREAD_S = 30.0
# Resolution of the measured spread times, in seconds.
_STEP_S = 0.005
_SOCKET_NODES = 6
_SOCKET_WINDOW_S = 20.0


def rows(seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Yields all rows of the suite."""
    first, *others = seeds
    yield from _control_rows(*SIZES[-1], first)
    yield from _control_rows(*ONE_ZONE, first)
    for seed in (first, *others):
        for zones, per_zone in SIZES[:-1]:
            yield from _control_rows(zones, per_zone, seed)
        yield from takeover_rows(seed)
        yield from apply_rows(seed)
        yield from platform_rows(seed)
    yield from _memory_rows(first)
    yield from _socket_rows(first)


def _case(zones: int, per_zone: int) -> str:
    return f"{zones * per_zone} nodes in {zones} zones"


def _control_rows(zones: int, per_zone: int, seed: int) -> Iterator[MeasureRow]:
    """Yields traffic, processor time and spread times under steady changes."""
    case = _case(zones, per_zone)
    fleet = MeasuredFleet(zones, per_zone, seed)
    fleet.run(_SETTLE_S)
    fleet.reset_counts()
    begin = fleet.now
    delays = _publish_steadily(fleet)
    elapsed_s = fleet.now - begin
    count = len(fleet.nodes)
    sent = [node.bytes_sent / elapsed_s for node in fleet.nodes.values()]
    frames = sum(node.frames_sent for node in fleet.nodes.values())
    values = (
        ("membership_sent_mean", sum(sent) / count, "B/s"),
        ("membership_sent_most", max(sent), "B/s"),
        ("membership_both_ways_mean", 2 * sum(sent) / count, "B/s"),
        ("membership_frames_sent", frames / elapsed_s / count, "1/s"),
        ("membership_cpu", 100 * fleet.cpu_s / elapsed_s / count, "% core"),
        ("generation_in_force_mean", sum(delays) / len(delays), "s"),
        ("generation_in_force_worst", max(delays), "s"),
    )
    for measure, value, unit in values:
        yield MeasureRow(measure, case, "product", seed, value, unit)
    naive = _full_mesh_bytes(count)
    yield MeasureRow("membership_sent_mean", case, "naive", seed, naive, "B/s")


def _publish_steadily(fleet: MeasuredFleet) -> list[float]:
    """Publishes steadily and returns the spread time of each generation."""
    published: dict[int, float] = {}
    in_force: dict[int, float] = {}
    end = fleet.now + _WINDOW_S
    while fleet.now < end or not fleet.lowest_generation() >= fleet.generation:
        due = len(published) / CHANGES_PER_S
        if fleet.now < end and fleet.now - (end - _WINDOW_S) >= due:
            fleet.publish()
            published[fleet.generation] = fleet.now
        fleet.run(_STEP_S)
        for generation in published:
            if fleet.lowest_generation() >= generation:
                in_force.setdefault(generation, fleet.now)
        if fleet.now > end + _MAX_SPREAD_S:
            raise RuntimeError("a generation did not reach all nodes")
    return [in_force[number] - at for number, at in published.items()]


def _full_mesh_bytes(count: int) -> float:
    """Returns the bytes that a node sends for its digest to all others."""
    node, zone = NodeId("n10-10"), ZoneName("zone-10")
    entry = Entry(
        node, 1, 1, 0, "load", random.Random(1).randbytes(DIGEST_BYTES)
    )
    frame = Frame(node, zone, "10.0.10.1:7000", 1, Entries((entry,)))
    return float(len(encode_frame(frame)) * (count - 1))


def _memory_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields the memory of a node's state machines with 200 objects."""
    for zones, per_zone in SIZES[:2]:
        tracemalloc.start()
        fleet = MeasuredFleet(zones, per_zone, seed)
        fleet.run(5.0)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        value = used / len(fleet.nodes) / 1e6
        case = _case(zones, per_zone)
        yield MeasureRow(
            "membership_memory", case, "product", seed, value, "MB"
        )


def _socket_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields the processor time with real sockets, including the event loop."""
    value = run_virtual(_socket_cpu(seed), sockets=True)
    yield MeasureRow(
        "membership_cpu_with_sockets",
        f"{_SOCKET_NODES} nodes on loopback",
        "product",
        seed,
        value,
        "% core",
    )


async def _socket_cpu(seed: int) -> float:
    clock = asyncio.get_running_loop().time
    ports = await _free_ports(_SOCKET_NODES)
    messengers = [
        TcpPeerMessenger.from_settings(
            Settings(
                node_id=NodeId(f"n{index}"),
                availability_zone=ZoneName(f"zone-{index // 2}"),
                address="127.0.0.1",
                http_port=0,
                peer_port=port,
                platform_url="",
                seeds=(f"127.0.0.1:{ports[0]}",),
            ),
            1,
            Metrics(),
            clock,
            random.Random(seed + index),
        )
        for index, port in enumerate(ports)
    ]
    tasks = [asyncio.create_task(messenger.run()) for messenger in messengers]
    rng = random.Random(seed)
    await asyncio.sleep(5.0)
    begin = time.process_time()
    for _ in range(int(_SOCKET_WINDOW_S)):
        for messenger in messengers:
            messenger.set_digest("load", rng.randbytes(DIGEST_BYTES))
        await asyncio.sleep(1.0)
    used = time.process_time() - begin
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return 100 * used / _SOCKET_WINDOW_S / _SOCKET_NODES


async def _free_ports(count: int) -> list[int]:
    servers = [
        await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        for _ in range(count)
    ]
    ports = [server.sockets[0].getsockname()[1] for server in servers]
    for server in servers:
        server.close()
        await server.wait_closed()
    return ports
