"""An executor that is lost with a start in progress holds its job up."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)

import rig as r  # noqa: E402

JOB = "5c0e7a21d94b36f8"
BODY = {
    "spec": "job",
    "steps": [{"count": 1, "cpu": 11000, "memMb": 29000, "gpu": 1,
               "estimateMs": 2000}],
}
SMALL = {
    "spec": "small",
    "steps": [{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 1000}],
}
FINISH_S = 14
STILL_S = 3


async def case(rig: r.Rig) -> list[str]:
    await rig.start(executors=6)
    for n in range(1, 5):
        await rig.submit(f"{n:016x}", SMALL)
    await asyncio.sleep(3)
    lost: list[str] = []

    def crash_on_start(executor):
        def late(kind, order):
            if kind == "run-start" and order["task"].startswith(JOB):
                if not lost:
                    lost.append(executor.name)
                    executor.late = None
                    rig.record(
                        f"executor: {executor.name} gets the start of "
                        f"{order['task']} and is lost for good"
                    )
                    asyncio.get_running_loop().call_soon(executor.crash)
                    return 0.0
            return None

        return late

    if r.TROUBLE:
        for each in rig.executors:
            each.late = crash_on_start(each)
    if not await rig.submit(JOB, BODY):
        raise RuntimeError("the job was not accepted")
    accepted = rig.record.now()
    rig.record("end of the traffic")
    while rig.record.now() < accepted + FINISH_S + STILL_S:
        await asyncio.sleep(0.1)
    if r.TROUBLE and not lost:
        raise RuntimeError("no executor was lost")
    now = rig.record.now()
    runs = [x for x in rig.jobs.runs if x.task.startswith(JOB)]
    status, body = await rig.ask("GET", JOB)
    rig.record(f"client: GET {JOB}: {status} {body}; {len(runs)} runs")
    still = all(x.ended and x.ended < now - STILL_S for x in runs)
    if r.TROUBLE:
        # For information: when it goes on.
        while rig.record.now() < accepted + 45:
            await asyncio.sleep(0.2)
            later = [x for x in rig.jobs.runs if x.task.startswith(JOB)]
            if len(later) > len(runs):
                rig.record(f"it starts {later[-1].began - accepted:.1f} s "
                           "after it was accepted")
                break
    if body == {"state": "completed"} or not still:
        return []
    return [
        f"LOST: {FINISH_S} s after the end of the traffic, {JOB} is {body}, "
        f"and nothing of it runs for {STILL_S} s more on empty executors"
    ]


r.main(case, __file__)
