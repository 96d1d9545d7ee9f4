"""Finds workers that delay an urgent run.

An urgent job is late once it takes about half as long again as its work. A
worker that stalls or has become several times slower uses up that reserve
within a second or two. While little work is done, the run ends sooner if it
starts again on other workers.
"""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.batch.groups import Group, GroupState, JobEntry, Member
from pomeloarch_core.ids import WorkerId

# Time between reports without progress, in seconds, after which a run is
# stalled; urgent work takes only a few times as long.
RUN_STALLED_AFTER_S = 1.0
# The reports of a gang's members arrive at different times. Once one member is
# stalled, so are those without progress for this time, in seconds.
MEMBER_STALLED_AFTER_S = 0.45
# A member that is slower than another one of its gang by more than this factor
# is on a worker with a problem. Healthy workers differ by a third.
STRAGGLER_SPEED_RATIO = 3.0
# Minimum run time, in seconds, before the speed of members is compared.
MIN_COMPARED_S = 0.8
# How much longer a stalled worker is expected to stall, in seconds: about as
# long as a suspension after failures.
EXPECTED_STALL_S = 3.0
# How often a group is moved; after that its own work is the likely cause.
MAX_MOVES = 1


def find_movable_groups(jobs: Iterable[JobEntry]) -> Iterable[Group]:
    """Yields the groups that may be moved off stragglers."""
    for entry in jobs:
        if entry.queue.priority != 0:
            continue
        for group in entry.all_groups():
            if (
                group.state is GroupState.STARTED
                and group.is_running
                and group.move_count < MAX_MOVES
                and not group.resumed
                and not group.step.long_running
            ):
                yield group


def find_stragglers(group: Group) -> set[WorkerId]:
    """Returns the workers that delay a group's run."""
    members = list(group.members.values())
    began_at = max(each.started_at or 0.0 for each in members)
    working = [each for each in members if each.percent < 100]
    found: set[WorkerId] = set()
    if any(
        _stalled_s(each, began_at) >= RUN_STALLED_AFTER_S for each in working
    ):
        found |= {
            each.worker_id
            for each in working
            if _stalled_s(each, began_at) >= MEMBER_STALLED_AFTER_S
        }
    fastest = max(_speed(each, began_at) for each in members)
    found |= {
        each.worker_id
        for each in working
        if each.reported_at - began_at >= MIN_COMPARED_S
        and fastest > STRAGGLER_SPEED_RATIO * _speed(each, began_at)
    }
    return found


def is_restart_sooner(
    group: Group,
    stragglers: set[WorkerId],
    run_s: float,
    restart_delay_s: float,
) -> bool:
    """Returns whether a run would end sooner if it was restarted elsewhere.

    Args:
      group: the group.
      stragglers: the workers that delay its run.
      run_s: how long such a run will likely take, in seconds.
      restart_delay_s: how long stopping and starting take, in seconds.
    """
    members = list(group.members.values())
    began_at = max(each.started_at or 0.0 for each in members)
    fastest = max(_speed(each, began_at) for each in members)
    if fastest > 0:
        run_s = 100 / fastest
    remaining_s = 0.0
    for each in members:
        if each.worker_id not in stragglers:
            continue
        remaining_share = (100 - each.percent) / 100
        if _stalled_s(each, began_at) >= MEMBER_STALLED_AFTER_S:
            remaining_s = max(
                remaining_s, EXPECTED_STALL_S + remaining_share * run_s
            )
        else:
            speed = _speed(each, began_at)
            remaining_s = max(
                remaining_s, remaining_share * 100 / speed if speed else run_s
            )
    return run_s + restart_delay_s < remaining_s


def _speed(member: Member, began_at: float) -> float:
    """Returns a member's speed, in percent of its work per second."""
    until = member.reported_at
    if (
        _stalled_s(member, began_at) >= MEMBER_STALLED_AFTER_S
        and member.advanced_at
    ):
        until = member.advanced_at
    return member.percent / (until - began_at) if until > began_at else 0.0


def _stalled_s(member: Member, began_at: float) -> float:
    """Returns how long before its last report a member made no progress."""
    if member.advanced_at is None:
        return 0.0
    return member.reported_at - max(member.advanced_at, began_at)
