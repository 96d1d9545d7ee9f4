"""Measures takeovers of a role and the platform calls of its candidates."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator

from pomeloarch_core.ids import NodeId
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform_limits import LimitedPlatformClient
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.memory_platform import MemoryPlatform
from pomeloarch_standins.virtual_time import run_virtual

_TAKEOVERS = 10
# Time over which the platform calls of a role are counted, in seconds.
_ROLE_WINDOW_S = 100.0


def takeover_rows(seed: int) -> Iterator[MeasureRow]:
    """Measures how long a role has no holder, with three candidates.

    The times have a resolution of 5 ms.
    """
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


def platform_rows(seed: int) -> Iterator[MeasureRow]:
    """Measures the platform's reads and writes a second for one role."""
    for count in (2, 4, 8):
        reads, writes = run_virtual(_role_calls(seed, count))
        case = f"one role, {count} candidates"
        for measure, value in (
            ("role_platform_reads", reads),
            ("role_platform_writes", writes),
        ):
            yield MeasureRow(measure, case, "product", seed, value, "1/s")


async def _role_calls(seed: int, count: int) -> tuple[float, float]:
    clock = asyncio.get_running_loop().time
    metrics, tables = Metrics(), MemoryPlatform()
    tasks = []
    for index in range(count):
        rng = random.Random(seed + index)
        platform = LimitedPlatformClient(tables, clock, metrics, rng)
        role = LeasedRole(
            "scheduler/patan",
            NodeId(f"n{index}"),
            platform.for_role("role", urgent=True),
            clock,
            Metrics(),
            rng,
        )
        tasks.append(asyncio.create_task(role.run()))
    await asyncio.sleep(_ROLE_WINDOW_S)
    for task in tasks:
        task.cancel()
    counts = dict(line.rsplit(" ", 1) for line in metrics.render().splitlines())
    return (
        float(counts['platform_reads{role="role"}']) / _ROLE_WINDOW_S,
        float(counts['platform_writes{role="role"}']) / _ROLE_WINDOW_S,
    )
