"""The rack of a job's data is full of lasting work; other racks have room."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import lab

_FILLER = "80c42aca7e4a6a43"
_FINITE = "5c0e7a21d94b36f8"
_LASTING = "7e300276849043f4"
_STEP = {"count": 1, "cpu": 2000, "memMb": 1024, "gpu": 1, "estimateMs": 3000}
_WATCHED_S = 40.0


async def run(folder: pathlib.Path) -> bool:
    """Returns whether the rule LOST held."""
    site = lab.Lab(folder)
    # Racks r0-1, r1-1 and r2-1 with two executors each.
    executors = [site.new_executor(f"i-{n}", n) for n in range(6)]
    try:
        await site.start(executors)
        count = 36 if lab.is_trouble() else 12
        filler = {**_STEP, "count": count, "longRunning": True}
        if not await site.submit(_FILLER, [filler]):
            raise lab.CannotRunError("the job wasn't accepted")
        await asyncio.sleep(4.0)
        full = [
            r
            for r in range(3)
            if not any(e.free("gpu") for e in executors[r::3])
        ]
        site.record.write(
            "filled", racks=full, free=[e.free("gpu") for e in executors]
        )
        if lab.is_trouble() and not full:
            raise lab.CannotRunError("no rack is full")
        rack = f"r{full[0]}-1" if full else "r0-1"
        near = {**_STEP, "affinity": rack}
        await site.submit(_FINITE, [near], work_s=3.0)
        await site.submit(_LASTING, [{**near, "longRunning": True}])
        ran: set[str] = set()
        until = time.monotonic() + _WATCHED_S
        while time.monotonic() < until:
            ran |= {
                j for j in (_FINITE, _LASTING) if site.running_on(f"{j}.0.0.0")
            }
            if len(ran) == 2:
                break
            await asyncio.sleep(0.1)
        for job in (_FINITE, _LASTING):
            state = await site.state(job)
            site.record.write("watched", job=job, state=state, ran=job in ran)
            if job not in ran:
                site.record.write("LOST", job=job, for_s=_WATCHED_S)
        return len(ran) == 2
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(lab.main(run))
