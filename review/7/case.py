"""Executors are replaced while a queue with advice has work items on them."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import lab

# The policy of the queue: these executors may run its steps, the others may
# not.
_GOOD = {"i-old-1", "i-old-2", "i-new-1", "i-new-2"}
_FINITE = "5c0e7a21d94b36f8"
_LASTING = "7e300276849043f4"
_STEP = {"count": 1, "cpu": 2000, "memMb": 1024, "gpu": 1, "estimateMs": 12000}
# From the end of the release: time until the leases of the old executors have
# certainly run out, and how long after that the work items are watched.
_LEASES_S = 12.0
_WATCHED_S = 18.0


async def run(folder: pathlib.Path) -> bool:
    """Returns whether the rule LOST held."""
    site = lab.Lab(folder, advice=lambda step, worker: worker in _GOOD)
    old = [
        site.new_executor(f"i-{name}", number)
        for number, name in enumerate(["old-1", "old-2", "other-1", "other-2"])
    ]
    try:
        await site.start(old)
        accepted = [
            await site.submit(_FINITE, [_STEP], work_s=12.0),
            await site.submit(_LASTING, [{**_STEP, "longRunning": True}]),
        ]
        if not all(accepted):
            raise lab.CannotRunError("the jobs weren't accepted")
        items = [f"{_FINITE}.0.0.0", f"{_LASTING}.0.0.0"]
        deadline = time.monotonic() + 15
        while not all(site.running_on(each) for each in items):
            if time.monotonic() > deadline:
                raise lab.CannotRunError("the work items didn't start")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        if lab.is_trouble():
            await _release(site, old[:2])
        await asyncio.sleep(_LEASES_S)
        return await _watch(site)
    finally:
        await site.stop()


async def _release(site: lab.Lab, old: list[lab.Executor]) -> None:
    """Replaces executors one at a time; the new one starts first."""
    leaving = []
    for number, each in enumerate(old, start=1):
        await site.new_executor(f"i-new-{number}", number - 1).start()
        await asyncio.sleep(1.0)
        # It serves for drainMs after its report and a little longer.
        leaving.append(asyncio.create_task(each.drain(3.0)))
        await asyncio.sleep(1.0)
    await asyncio.gather(*leaving)
    site.record.write("release over")


async def _watch(site: lab.Lab) -> bool:
    """Returns whether each job either ended or had its work item running."""
    ran: set[str] = set()
    until = time.monotonic() + _WATCHED_S
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
        ready = [e for e in site.executors.values() if e.up and e.id in _GOOD]
        free = sum(e.free("gpu") for e in ready)
        site.record.write(
            "watched",
            job=job,
            state=state,
            ran=job in ran,
            executors_that_may_run_it=len(ready),
            free_gpus_there=free,
        )
        if state != "completed" and job not in ran:
            site.record.write("LOST", job=job, for_s=_WATCHED_S)
            held = False
    return held


if __name__ == "__main__":
    sys.exit(lab.main(run))
