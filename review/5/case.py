"""After the leader was killed twice, an accepted gang stands still for long."""

from __future__ import annotations

import asyncio
import base64
import json
import pathlib
import signal
import sys

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parents[1] / "standins")
)

import rig as r  # noqa: E402

JOB = "5c0e7a21d94b36f8"
GANG = {
    "spec": "gang",
    "steps": [
        {"count": 4, "cpu": 15000, "memMb": 39000, "gpu": 8, "gang": True,
         "estimateMs": 2500}
    ],
}
SMALL = {
    "spec": "small",
    "steps": [{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 1000}],
}
FINISH_S = 14
STILL_S = 3
SECOND_KILL_S = 2.5


class Killer:
    """Kills the process that has just written to the store under a condition.

    The first time, that is when the write says where the gang will start; the
    second time, it is the first such write 2.5 s later.
    """

    def __init__(self, rig: r.Rig) -> None:
        self._rig = rig
        self._first_at: float | None = None
        self.kills = 0

    async def fault(self, node, method, path, query, body):
        if path != "/api/rows-tx" or self.kills == 2:
            return None
        order = json.loads(body)
        if not order.get("expectedRev") or not self._is_due(order):
            return None
        answer = await self._rig.store.transact(order)
        if answer[0] != 200:
            return answer
        self.kills += 1
        self._first_at = self._first_at or self._rig.record.now()
        target = next(n for n in self._rig.nodes if n.name == node)
        self._rig.record(
            f"platform: SIGKILL to {node}, which has just written "
            + ", ".join(f"{e['table']}/{e['key']}" for e in order["setKeys"])
        )
        target.send(signal.SIGKILL)
        return r.RESET

    def _is_due(self, order) -> bool:
        if self._first_at is not None:
            return (
                self._rig.record.now() > self._first_at + SECOND_KILL_S
                and any(e["table"] == "roles" for e in order["setKeys"])
            )
        return any(
            e["key"] == JOB and e["table"] == "batch_jobs"
            and json.loads(base64.b64decode(e["value"])).get("open_starts")
            for e in order["setKeys"]
        )


async def case(rig: r.Rig) -> list[str]:
    await rig.start(executors=6)
    for n in range(1, 5):
        await rig.submit(f"{n:016x}", SMALL)
    await asyncio.sleep(3)
    killer = Killer(rig)
    if r.TROUBLE:
        rig.store.fault = killer.fault
    if not await rig.submit(JOB, GANG, "urgent"):
        raise RuntimeError("the job was not accepted")
    accepted = rig.record.now()
    rig.record("end of the traffic")
    while rig.record.now() < accepted + FINISH_S + STILL_S:
        await asyncio.sleep(0.1)
    if r.TROUBLE and killer.kills != 2:
        raise RuntimeError(f"{killer.kills} processes were killed, not two")
    now = rig.record.now()
    runs = [x for x in rig.jobs.runs if x.task.startswith(JOB)]
    status, body = await rig.ask("GET", JOB, "urgent")
    rig.record(f"client: GET {JOB}: {status} {body}; {len(runs)} runs")
    still = all(x.ended and x.ended < now - STILL_S for x in runs)
    if r.TROUBLE:
        # For information: when it goes on.
        while rig.record.now() < accepted + 40:
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
