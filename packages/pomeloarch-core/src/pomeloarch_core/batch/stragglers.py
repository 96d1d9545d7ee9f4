"""Finds workers on which an urgent run hardly gets on.

An urgent job has half of its work's time to lose. A worker that stands still or
has become several times slower takes that within a second or two. While little
is done, starting again elsewhere is the sooner end.
"""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.batch.groups import Group, GroupState, JobEntry, Member
from pomeloarch_core.ids import WorkerId

# A run whose share of work done has not changed between reports this far
# apart, in seconds, stands still: urgent work is done in a few times that.
STILL_S = 1.0
# Reports of a gang's members come at different moments: once one stands still,
# so do those that have not got on for this long, in seconds.
ALSO_STILL_S = 0.45
# A member that has got this many times less far than another of its gang is
# on a worker with trouble. Sound workers differ by a third.
CRAWLS_BY = 3.0
# Least time, in seconds, after which members are compared.
COMPARED_AFTER_S = 0.8
# How much longer a worker that stands still likely does, in seconds: about as
# long as one that is suspended for failures.
STILL_LEFT_S = 3.0
# How often a group is moved: after that its work is likely the cause.
MOST_MOVES = 1


def movable(jobs: Iterable[JobEntry]) -> Iterable[Group]:
    """Yields the groups that may be moved off workers that hold them up."""
    for entry in jobs:
        if entry.queue.priority != 0:
            continue
        for group in entry.all_groups():
            if (
                group.state is GroupState.STARTED
                and group.running
                and group.moves < MOST_MOVES
                and not group.resumed
                and not group.step.long_running
            ):
                yield group


def holding_up(group: Group) -> set[WorkerId]:
    """Returns the workers that hold a group's run up."""
    members = list(group.members.values())
    began = max(each.started_at or 0.0 for each in members)
    working = [each for each in members if each.percent < 100]
    found: set[WorkerId] = set()
    if any(_still_s(each, began) >= STILL_S for each in working):
        found |= {
            each.worker_id
            for each in working
            if _still_s(each, began) >= ALSO_STILL_S
        }
    best = max(_pace(each, began) for each in members)
    found |= {
        each.worker_id
        for each in working
        if each.reported_at - began >= COMPARED_AFTER_S
        and best > CRAWLS_BY * _pace(each, began)
    }
    return found


def ends_sooner_elsewhere(
    group: Group, bad: set[WorkerId], run_s: float, order_s: float
) -> bool:
    """Whether a run would end sooner if it began again on other workers.

    Args:
      group: the group.
      bad: the workers that hold its run up.
      run_s: how long such a run likely takes, in seconds.
      order_s: how long stopping and starting take, in seconds.
    """
    members = list(group.members.values())
    began = max(each.started_at or 0.0 for each in members)
    best = max(_pace(each, began) for each in members)
    if best > 0:
        run_s = 100 / best
    left_s = 0.0
    for each in members:
        if each.worker_id not in bad:
            continue
        left = (100 - each.percent) / 100
        if _still_s(each, began) >= ALSO_STILL_S:
            left_s = max(left_s, STILL_LEFT_S + left * run_s)
        else:
            pace = _pace(each, began)
            left_s = max(left_s, left * 100 / pace if pace else run_s)
    return run_s + order_s < left_s


def _pace(member: Member, began: float) -> float:
    """Returns the share of work done in a second of work, in percent."""
    until = member.reported_at
    if _still_s(member, began) >= ALSO_STILL_S and member.advanced_at:
        until = member.advanced_at
    return member.percent / (until - began) if until > began else 0.0


def _still_s(member: Member, began: float) -> float:
    """Returns for how long up to its last report a member did nothing."""
    if member.advanced_at is None:
        return 0.0
    return member.reported_at - max(member.advanced_at, began)
