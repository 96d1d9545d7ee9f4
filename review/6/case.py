"""A work item fails once while the other executors are full of lasting ones."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import lab

_FILLER = "80c42aca7e4a6a43"
_FINITE = "5c0e7a21d94b36f8"
_LASTING = "7e300276849043f4"
_STEP = {"count": 1, "cpu": 2000, "memMb": 1024, "gpu": 1, "estimateMs": 8000}
_EXECUTORS = 3
_WATCHED_S = 40.0


async def run(folder: pathlib.Path) -> bool:
    """Returns whether the rule LOST held."""
    site = lab.Lab(folder)
    executors = [site.new_executor(f"i-{n}", n) for n in range(_EXECUTORS)]
    try:
        await site.start(executors)
        # A service that takes all accelerators of all executors but one.
        count = 8 * (_EXECUTORS - 1)
        filler = {**_STEP, "count": count, "longRunning": True}
        accepted = [await site.submit(_FILLER, [filler])]
        names = [f"{_FILLER}.0.0.{index}" for index in range(count)]
        await _until_running(site, names)
        accepted.append(await site.submit(_FINITE, [_STEP], work_s=8.0))
        accepted.append(
            await site.submit(_LASTING, [{**_STEP, "longRunning": True}])
        )
        if not all(accepted):
            raise lab.CannotRunError("the jobs weren't accepted")
        items = [f"{_FINITE}.0.0.0", f"{_LASTING}.0.0.0"]
        await _until_running(site, items)
        await asyncio.sleep(2.0)
        if lab.is_trouble():
            for each in items:
                site.running_on(each)[0].fail(each)
        return await _watch(site)
    finally:
        await site.stop()


async def _until_running(site: lab.Lab, names: list[str]) -> None:
    deadline = time.monotonic() + 15
    while not all(site.running_on(each) for each in names):
        if time.monotonic() > deadline:
            raise lab.CannotRunError("the work items didn't start")
        await asyncio.sleep(0.1)


async def _watch(site: lab.Lab) -> bool:
    """Returns whether each job either ended or had its work item running."""
    until = time.monotonic() + _WATCHED_S
    await asyncio.sleep(1.0)
    ran: set[str] = set()
    while time.monotonic() < until:
        ran |= {
            job
            for job in (_FINITE, _LASTING)
            if site.running_on(f"{job}.0.0.0")
        }
        await asyncio.sleep(0.1)
    held = True
    for job in (_FINITE, _LASTING):
        state = await site.state(job)
        site.record.write(
            "watched",
            job=job,
            state=state,
            ran=job in ran,
            free_gpus=[e.free("gpu") for e in site.executors.values()],
        )
        if state != "completed" and job not in ran:
            site.record.write("LOST", job=job, for_s=_WATCHED_S - 1)
            held = False
    return held


if __name__ == "__main__":
    sys.exit(lab.main(run))
