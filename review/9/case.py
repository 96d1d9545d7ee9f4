"""Timed jobs with many occurrences are handed in at the same time."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

import lab

_STEP = {"count": 1, "cpu": 2000, "memMb": 1024, "gpu": 1, "estimateMs": 15_000}
_TIMED_JOBS = 10
# Once a minute for twenty days.
_OCCURRENCES = 28_800
_ORDINARY_JOBS = 5
# From the last submission, and from the beginning at the latest.
_WATCHED_S = 60.0
_ENDS_AT_S = 100.0


async def run(folder: pathlib.Path) -> bool:
    """Returns whether the ordinary jobs ended and no process was killed."""
    site = lab.Lab(folder)
    executors = [site.new_executor(f"i-{n}", n) for n in range(6)]
    try:
        await site.start(executors)
        jobs = [f"b{number:015x}" for number in range(_ORDINARY_JOBS)]
        for each in jobs:
            if not await site.submit(each, [_STEP], work_s=15.0):
                raise lab.CannotRunError("an ordinary job wasn't accepted")
        if lab.is_trouble():
            start_ms = int((time.time() + 3600) * 1000)
            for number in range(_TIMED_JOBS):
                await site.submit(
                    f"a{number:015x}",
                    [_STEP],
                    repeatCount=_OCCURRENCES,
                    startAtMs=start_ms,
                    intervalMs=60_000,
                )
        watched_s = min(_WATCHED_S, _ENDS_AT_S - site.record.now())
        deadline = time.monotonic() + watched_s
        states: dict[str, str] = {}
        while time.monotonic() < deadline:
            states = {each: await site.state(each) for each in jobs}
            if all(each == "completed" for each in states.values()):
                break
            await asyncio.sleep(1.0)
        site.record.write("states", **states)
        starts = [node.starts for node in site.nodes]
        peaks = [round(node.peak_mb) for node in site.nodes]
        site.record.write("processes", starts=starts, peak_mb=peaks)
        lost = [job for job, state in states.items() if state != "completed"]
        for each in lost:
            site.record.write("LOST", job=each, after_s=round(watched_s))
        return not lost
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(lab.main(run))
