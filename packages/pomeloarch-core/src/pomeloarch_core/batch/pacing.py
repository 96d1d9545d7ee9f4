"""Holds back tasks that fill a worker when they slow serving tasks down.

Tasks that serve users report the tail of their response times. When one is
over its target, the filling tasks beside it are cut back at once, and given
more again little by little: harm is cut multiplicatively, and what is left
over is claimed back additively.
"""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, Member
from pomeloarch_core.batch.messages import Decision, LogEntry, PaceTask

FULL = 100
# Share of the target at which filling tasks are cut back: the reported tail
# is a rough figure, and what comes in between reports is not seen.
CUT_AT = 0.9
# Share of the target below which they are given more.
RAISE_BELOW = 0.7
CUT_FACTOR = 0.3
# Below this they are held entirely, in percent.
LEAST_PERCENT = 10
RAISE_STEP = 15
# Time between two changes on a worker, in seconds: an order takes effect
# within a tenth of a second, and the report covers the last half.
CHANGE_EVERY_S = 0.7
RAISE_EVERY_S = 2.0


class Pacer:
    """Decides at which pace filling tasks work."""

    def __init__(self) -> None:
        """Starts with everything at full pace."""
        self._changed_at: dict[Worker, float] = {}

    def watches(self, worker: Worker) -> bool:
        """Whether a worker has serving and filling tasks side by side."""
        serving = any(each.step.latency_target_ms for each in worker.groups)
        return serving and any(each.step.scavenging for each in worker.groups)

    def observe(self, worker: Worker, now: float) -> list[Decision]:
        """Returns what to change on a worker that has just reported."""
        if not self.watches(worker):
            return []
        strain = max(
            member.load / group.step.latency_target_ms
            for group, member in _tasks_on(worker)
            if group.step.latency_target_ms
        )
        since_s = now - self._changed_at.get(worker, -RAISE_EVERY_S)
        if strain >= CUT_AT and since_s >= CHANGE_EVERY_S:
            return self._change(worker, strain, now, cut=True)
        if strain < RAISE_BELOW and since_s >= RAISE_EVERY_S:
            return self._change(worker, strain, now, cut=False)
        return []

    def _change(
        self, worker: Worker, strain: float, now: float, cut: bool
    ) -> list[Decision]:
        out: list[Decision] = []
        for group, member in _tasks_on(worker):
            if not group.step.scavenging:
                continue
            percent = _cut(member.pace) if cut else _raised(member.pace)
            if percent == member.pace:
                continue
            member.pace = percent
            index = next(i for i, m in group.members.items() if m is member)
            out.append(
                PaceTask(
                    worker.worker_id, group.task(index), group.run, percent
                )
            )
        if out:
            self._changed_at[worker] = now
            fields: dict[str, object] = {
                "worker": worker.worker_id,
                "strain": round(strain, 2),
                "tasks": len(out),
                "cut": cut,
            }
            out.append(LogEntry("filling tasks paced", fields))
        return out


def _tasks_on(worker: Worker) -> list[tuple[Group, Member]]:
    return [
        (group, member)
        for group in worker.groups
        for member in group.members.values()
        if member.worker_id == worker.worker_id
        and member.started_at is not None
    ]


def _cut(percent: int) -> int:
    lower = int(percent * CUT_FACTOR)
    return lower if lower >= LEAST_PERCENT else 0


def _raised(percent: int) -> int:
    return min(FULL, percent + RAISE_STEP)
