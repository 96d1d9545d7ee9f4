"""Measures what control costs a node, and how fast roles pass on.

The nodes run in one process in virtual time, with frames as on the wire but
without sockets; one case has real sockets on the loopback address.
"""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from collections.abc import Iterable, Iterator

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.messages import Entries, Entry, Frame
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peer_codec import encode_frame
from pomeloarch_node.peer_plane import TcpPeerPlane
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_node.settings import Settings
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.measure_membership_fleet import (
    DIGEST_BYTES,
    MeasuredFleet,
)
from pomeloarch_standins.memory_platform import MemoryPlatform
from pomeloarch_standins.virtual_time import run_virtual

# Zones and nodes of each: 6, 48 and 200 nodes.
SIZES = ((3, 2), (12, 4), (20, 10))
ONE_ZONE = (1, 48)
CHANGES_PER_S = 0.8
_SETTLE_S = 8.0
_WINDOW_S = 10.0
_LONGEST_SPREAD_S = 30.0
_TAKEOVERS = 10
_SOCKET_NODES = 6
_SOCKET_WINDOW_S = 20.0


def rows(seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Yields all rows of the suite."""
    for seed in seeds:
        for zones, per_zone in (*SIZES, ONE_ZONE):
            yield from _control_rows(zones, per_zone, seed)
        yield from _takeover_rows(seed)
    yield from _memory_rows(1)
    yield from _socket_rows(1)


def _case(zones: int, per_zone: int) -> str:
    return f"{zones * per_zone} nodes in {zones} zones"


def _control_rows(zones: int, per_zone: int, seed: int) -> Iterator[MeasureRow]:
    """Measures bytes, frames and processor time under steady changes."""
    case = _case(zones, per_zone)
    fleet = MeasuredFleet(zones, per_zone, seed)
    fleet.run(_SETTLE_S)
    fleet.reset_counts()
    delays = []
    for _ in range(int(_WINDOW_S * CHANGES_PER_S)):
        fleet.publish()
        delays.append(_spread_s(fleet))
        fleet.run(max(0.0, 1.0 / CHANGES_PER_S - delays[-1]))
    count = len(fleet.nodes)
    sent = [node.bytes_sent / _WINDOW_S for node in fleet.nodes.values()]
    frames = sum(node.frames_sent for node in fleet.nodes.values())
    values = (
        ("membership_sent_mean", sum(sent) / count, "B/s"),
        ("membership_sent_most", max(sent), "B/s"),
        ("membership_both_ways_mean", 2 * sum(sent) / count, "B/s"),
        ("membership_frames_sent", frames / _WINDOW_S / count, "1/s"),
        ("membership_cpu", 100 * fleet.cpu_s / _WINDOW_S / count, "% core"),
        ("generation_in_force_worst", max(delays), "s"),
    )
    for measure, value, unit in values:
        yield MeasureRow(measure, case, "product", seed, value, unit)
    naive = _full_mesh_bytes(count)
    yield MeasureRow("membership_sent_mean", case, "naive", seed, naive, "B/s")


def _spread_s(fleet: MeasuredFleet) -> float:
    """Runs until all nodes have the generation; returns how long it took."""
    begin = fleet.now
    while fleet.behind() and fleet.now - begin < _LONGEST_SPREAD_S:
        fleet.run(0.005)
    return fleet.now - begin


def _full_mesh_bytes(count: int) -> float:
    """Returns what each node sends if it sends its digest to all others."""
    node, zone = NodeId("n10-10"), ZoneName("zone-10")
    entry = Entry(
        node, 1, 1, 0, "load", random.Random(1).randbytes(DIGEST_BYTES)
    )
    frame = Frame(node, zone, "10.0.10.1:7000", 1, Entries((entry,)))
    return float(len(encode_frame(frame)) * (count - 1))


def _takeover_rows(seed: int) -> Iterator[MeasureRow]:
    """Measures how long a role has no holder, three candidates, 5 ms calls."""
    for case, planned in (("death", False), ("planned stop", True)):
        gaps = run_virtual(_takeovers(seed, planned))
        for measure, value in (
            ("role_takeover_mean", sum(gaps) / len(gaps)),
            ("role_takeover_worst", max(gaps)),
        ):
            yield MeasureRow(measure, case, "product", seed, value, "s")


async def _takeovers(seed: int, planned: bool) -> list[float]:
    rng = random.Random(seed)
    platform = MemoryPlatform()
    clock = asyncio.get_running_loop().time
    running: dict[str, tuple[LeasedRole, asyncio.Task[None]]] = {}

    def start(name: str) -> None:
        role = LeasedRole(
            "scheduler/patan",
            NodeId(name),
            platform,
            clock,
            Metrics(),
            random.Random(f"{seed} {name} {clock()}"),
        )
        running[name] = role, asyncio.create_task(role.run())

    def holder() -> str | None:
        held = [name for name, (role, _) in running.items() if role.epoch()]
        return held[0] if held else None

    for name in ("n0", "n1", "n2"):
        start(name)
    gaps = []
    for _ in range(_TAKEOVERS):
        await asyncio.sleep(5.0 + rng.random())
        last = holder()
        if last is None:
            raise RuntimeError("nobody holds the role long after a takeover")
        role, task = running.pop(last)
        begin = clock()
        if planned:
            await role.release()
        task.cancel()
        while holder() is None:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        gaps.append(clock() - begin)
        start(last)
    for _, task in running.values():
        task.cancel()
    return gaps


def _memory_rows(seed: int) -> Iterator[MeasureRow]:
    """Measures the memory of the machines, with a set of 200 objects."""
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
    """Measures processor time with real sockets, steps of the loop included."""
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
    planes = [
        TcpPeerPlane.from_settings(
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
    tasks = [asyncio.create_task(plane.run()) for plane in planes]
    rng = random.Random(seed)
    await asyncio.sleep(5.0)
    begin = time.process_time()
    for _ in range(int(_SOCKET_WINDOW_S)):
        for plane in planes:
            plane.set_digest("load", rng.randbytes(DIGEST_BYTES))
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
