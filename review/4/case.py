"""A wide job's row outgrows the store's limit and blocks other jobs for good."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)

import rig as r  # noqa: E402

WIDE = 3600
PARTS = 12
STEP = {"cpu": 250, "memMb": 64, "estimateMs": 1500}
SMALL = {
    "spec": "small",
    "steps": [{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 1000}],
}
FINISH_S = 14
STILL_S = 3


def wide_jobs() -> dict[str, dict]:
    """Returns one job, or the same work in jobs of a twelfth of its width."""
    if r.TROUBLE:
        steps = [{**STEP, "count": WIDE}]
        return {"ffff000000000001": {"spec": "wide", "steps": steps}}
    steps = [{**STEP, "count": WIDE // PARTS}]
    return {
        f"ffff{n:012x}": {"spec": "wide", "steps": steps} for n in range(PARTS)
    }


async def case(rig: r.Rig) -> list[str]:
    await rig.start(executors=8)
    for each in rig.executors:
        each.quiet = True
    first = [f"{n:016x}" for n in range(1, 9)]
    for job in first:
        await rig.submit(job, SMALL)
    await asyncio.sleep(3)
    wide = wide_jobs()
    rig.record(f"{len(wide)} job(s) with {WIDE} work items in all")
    for job, body in wide.items():
        await rig.submit(job, body)
    await asyncio.sleep(2)
    later = [f"{n:016x}" for n in range(101, 117)]
    for job in later:
        await rig.submit(job, SMALL)
    rig.record("end of the traffic")
    await asyncio.sleep(FINISH_S + STILL_S)
    now = rig.record.now()
    found = []
    for job in [*first, *wide, *later]:
        status, body = await rig.ask("GET", job)
        runs = [x for x in rig.jobs.runs if x.task.startswith(job)]
        rig.record(f"client: GET {job}: {status} {body}; {len(runs)} runs")
        still = all(x.ended and x.ended < now - STILL_S for x in runs)
        if body != {"state": "completed"} and still:
            found.append(
                f"LOST: {job} is {body}, {len(runs)} runs, and nothing of it "
                f"has run for {STILL_S} s on empty executors"
            )
    if r.TROUBLE:
        # For information: whether it helps to cancel the wide job.
        job = next(iter(wide))
        status, _ = await rig.ask("DELETE", job)
        rig.record(f"client: DELETE {job}: {status}")
        await asyncio.sleep(10)
        for job in later:
            _, body = await rig.ask("GET", job)
            if body != {"state": "completed"}:
                rig.record(f"client: 10 s later, GET {job}: {body}")
    return found


r.main(case, __file__)
