"""A lasting work item runs twice: a late start after a restart behind a cut."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import sys
import time
from typing import Any

import lab

_JOB = "7e300276849043f4"
_ITEM = f"{_JOB}.0.0.0"
_STEP = {
    "count": 1,
    "cpu": 2000,
    "memMb": 1024,
    "gpu": 1,
    "estimateMs": 8000,
    "longRunning": True,
}
# As in the settings of the other site.
_BOUNDS = {"holdMaxMs": 6000, "stopMs": 200, "reclaimMs": 2700}
_EXECUTORS = 6
# Counted from the order to start: the cut begins, the executor crashes and
# starts again, the order is carried out, the cut ends.
_CUT_AT_S = 0.6
_REBORN_AT_S = 2.6
_LATE_AT_S = 4.0
_HEALED_AT_S = 8.6


async def run(folder: pathlib.Path) -> bool:
    """Returns whether the rule TWICE held."""
    site = lab.Lab(folder, bounds=_BOUNDS)
    executors = [site.new_executor(f"i-{n}", n) for n in range(_EXECUTORS)]
    orders: asyncio.Queue[tuple[lab.Executor, Any]] = asyncio.Queue()
    broken: list[str] = []

    def note(executor: lab.Executor, what: str, name: str, number: int) -> None:
        others = [e.id for e in site.running_on(name) if e is not executor]
        if what == "start" and name == _ITEM and others:
            broken.append(executor.id)
            site.record.write(
                "TWICE", task=name, run=number, on=executor.id, also_on=others
            )

    async def keep_first_start(
        executor: lab.Executor, path: str, body: Any
    ) -> None:
        if lab.is_trouble() and path == "/api/run-start" and not kept:
            kept.append(body)
            orders.put_nowait((executor, body))
            site.record.write("order kept", on=executor.id, run=body["run"])
            await asyncio.Event().wait()

    kept: list[Any] = []
    for each in executors:
        each.on_change = note
        each.hold_back = functools.partial(keep_first_start, each)
    try:
        await site.start(executors)
        await asyncio.sleep(12.0)
        if not await site.submit(_JOB, [_STEP]):
            raise lab.CannotRunError("the job wasn't accepted")
        if lab.is_trouble():
            async with asyncio.timeout(10):
                executor, order = await orders.get()
            await _disturb(site, executor, order)
        await asyncio.sleep(12.0)
        if not site.running_on(_ITEM):
            raise lab.CannotRunError("the work item doesn't run")
        return not broken
    finally:
        await site.stop()


async def _disturb(site: lab.Lab, executor: lab.Executor, order: Any) -> None:
    ordered_at = time.monotonic()

    async def wait_until(after_s: float) -> None:
        await asyncio.sleep(ordered_at + after_s - time.monotonic())

    await wait_until(_CUT_AT_S)
    site.record.write("cut begins", id=executor.id)
    executor.server.cut()
    await wait_until(_REBORN_AT_S)
    executor.begin_new_life()
    await wait_until(_LATE_AT_S)
    status, answer = await executor.carry_out("/api/run-start", order)
    site.record.write("order carried out late", status=status, answer=answer)
    await wait_until(_HEALED_AT_S)
    await executor.server.heal()
    site.record.write("cut ends", id=executor.id)


if __name__ == "__main__":
    sys.exit(lab.main(run))
