"""A cancelled job runs: its submission reaches the store after the cancel."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standins import Scene, main  # noqa: E402

JOB = "13d0a6c2b4e8f135"
LOSS_S = 2.0
BUDGET_MS = 2000
LATE_S = 6.0
CANCEL_MS = 3000


async def play(scene: Scene) -> int:
    executor = await scene.add_executor("ex-a", "a", "rack-a")
    scene.add_node("front-a", "a")
    scene.add_node("front-b", "b")
    if not await scene.wait_until_ready():
        return 2
    began = time.monotonic()

    def lose(body: dict[str, object]) -> float | None:
        # A part of the store, that of the job, leaves its writes unanswered.
        lossy = scene.trouble and time.monotonic() < began + LOSS_S
        keys = [each["key"] for each in body["setKeys"]]
        return LATE_S if lossy and JOB in keys else None

    scene.store.lose_write = lose
    node = next(n for n in scene.nodes if n is not scene.leader())
    step = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 8, "estimateMs": 900}
    posted = await scene.client_call(
        node,
        "POST",
        JOB,
        {"spec": "work 1", "steps": [step]},
        budget_ms=BUDGET_MS,
    )
    # The client doesn't know whether the job was accepted, and gives it up.
    cancelled = await scene.client_call(node, "DELETE", JOB)
    while cancelled.status not in (200, 410):
        await asyncio.sleep(0.5)
        cancelled = await scene.client_call(node, "DELETE", JOB)
    cancelled_at = time.monotonic()
    await asyncio.sleep(12)
    state = await scene.client_call(node, "GET", JOB)
    late = [
        run
        for run in executor.runs
        if run.began > cancelled_at + CANCEL_MS / 1000
    ]
    scene.record.write(
        f"POST answered {posted.status}, DELETE {cancelled.status}, "
        f"then GET {state.status} {state.body}"
    )
    for run in late:
        scene.record.write(
            f"UNASKED: {run.task} begins {run.began - cancelled_at:.3f} s "
            "after its job's cancel was acknowledged"
        )
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main(play, FOLDER))
