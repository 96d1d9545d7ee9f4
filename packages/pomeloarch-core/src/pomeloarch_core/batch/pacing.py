"""Slows down scavenging tasks that disturb serving tasks on their worker.

Serving tasks report their tail latency. When it exceeds its target, the
scavenging tasks on the same worker are slowed down at once and sped up again in
small steps: multiplicative decrease and additive increase. They are also sped
up once no serving task is left there.
"""

from __future__ import annotations

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group, Member
from pomeloarch_core.batch.messages import Decision, LogEntry, PaceTask

FULL_PERCENT = 100
# Share of the target at which scavenging tasks are slowed down. The reported
# tail latency is inexact, and what happens between reports is not seen.
CUT_AT_TARGET_SHARE = 0.9
# Share of the target below which they are sped up.
RAISE_BELOW_TARGET_SHARE = 0.7
# Factor on the pace of tasks that are slowed down.
CUT_FACTOR = 0.3
# Pace in percent below which they are paused entirely.
MIN_PERCENT = 10
# Increase of the pace of tasks that are sped up, in percent of the full pace.
RAISE_STEP_PERCENT = 15
# Minimum times since the last change on a worker, in seconds, before tasks are
# slowed down and before they are sped up. An order takes effect within a tenth
# of a second, and a report covers the last half second.
MIN_CUT_INTERVAL_S = 0.7
MIN_RAISE_INTERVAL_S = 2.0


class Pacer:
    """Decides at which pace scavenging tasks run."""

    def __init__(self) -> None:
        """Creates a pacer that has slowed nothing down."""
        self._changed_at: dict[Worker, float] = {}

    def has_paced_tasks(self, worker: Worker) -> bool:
        """Returns whether a worker has both serving and scavenging tasks."""
        serving = any(each.step.latency_target_ms for each in worker.groups)
        return serving and any(each.step.scavenging for each in worker.groups)

    def observe(self, worker: Worker, now: float) -> list[Decision]:
        """Returns the changes of pace for a worker that has just reported."""
        if not any(each.step.scavenging for each in worker.groups):
            return []
        strains = [
            member.load / group.step.latency_target_ms
            for group, member in _tasks_on(worker)
            if group.step.latency_target_ms
        ]
        if not strains and self.has_paced_tasks(worker):
            # The serving tasks have not started yet.
            return []
        strain = max(strains, default=0.0)
        since_s = now - self._changed_at.get(worker, -MIN_RAISE_INTERVAL_S)
        if strain >= CUT_AT_TARGET_SHARE and since_s >= MIN_CUT_INTERVAL_S:
            return self._change(worker, strain, now, cut=True)
        if (
            strain < RAISE_BELOW_TARGET_SHARE
            and since_s >= MIN_RAISE_INTERVAL_S
        ):
            return self._change(worker, strain, now, cut=False)
        return []

    def _change(
        self, worker: Worker, strain: float, now: float, cut: bool
    ) -> list[Decision]:
        out: list[Decision] = []
        for group, member in _tasks_on(worker):
            if not group.step.scavenging:
                continue
            pace = _present_pace(group, member)
            percent = _cut(pace) if cut else _raised(pace)
            if percent == member.pace_percent:
                continue
            member.pace_percent = percent
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


def _present_pace(group: Group, member: Member) -> int:
    """Returns the pace of a task, in percent.

    That of an adopted run is estimated from the processor time that it uses. It
    may use less than its pace allows, so the estimate is rather too low.
    """
    if member.pace_percent is not None:
        return member.pace_percent
    need = group.step.need.cpu_millis
    if need <= 0:
        return FULL_PERCENT
    return min(FULL_PERCENT, int(member.load * FULL_PERCENT / need))


def _cut(percent: int) -> int:
    lower = int(percent * CUT_FACTOR)
    return lower if lower >= MIN_PERCENT else 0


def _raised(percent: int) -> int:
    return min(FULL_PERCENT, percent + RAISE_STEP_PERCENT)
