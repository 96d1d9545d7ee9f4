"""What keeps a ready group off workers that have room, and until when.

Most holds are preferences: waiting for a better worker is worth some time.
Nothing else may ever end them, as the better workers may be full of tasks that
run until their job is cancelled. Each of them is therefore lifted for a group
that has waited long enough. The others are safeguards, which have ends of their
own.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

from pomeloarch_core.batch.groups import Group

# How long preferences keep a group waiting, in seconds, while much of the fleet
# is idle or no preferred worker will have room in a known time. A job may stand
# still for 3 s beside free workers.
MAX_WAIT_S = 2.0
# The same for a long-running task on a busy fleet, in seconds. It may be away
# for 6 s, and may stand still for 3 s after that.
MAX_LASTING_WAIT_S = 6.0
# The same for other groups on a busy fleet where preferred workers will have
# room, in seconds. Others may go on taking that room.
MAX_SIGHT_WAIT_S = 30.0


class Hold(enum.Enum):
    """A reason not to place a group on a worker that has room for it.

    FAILED: a run of the group failed there or left its start unanswered, or the
      group has failed and runs of others have failed there.
    SUSPENDED: runs have failed or stalled there.
    FAR: it is far from the group's data, or the members of a same-rack gang
      would be on several racks.
    SET_ASIDE: it is set aside for urgent groups.
    RESERVED: it is reserved for a group that waits for more room.
    OPEN_START: an earlier order to start the group may still be carried out on
      another worker.
    TICKET: there is no valid ticket for it.
    """

    FAILED = "failed"
    SUSPENDED = "suspended"
    FAR = "far"
    SET_ASIDE = "set_aside"
    RESERVED = "reserved"
    OPEN_START = "open_start"
    TICKET = "ticket"

    @property
    def is_preference(self) -> bool:
        """Whether it is lifted for a group that has waited long enough.

        An open start ends when its order can't be carried out any more, and a
        missing ticket when the advice service answers, which is asked again
        until it does.
        """
        return self not in (Hold.OPEN_START, Hold.TICKET)


def waiting_since(group: Group) -> float:
    """Returns since when a ready group could have been placed, in seconds."""
    return max(group.ready_at, group.not_before)


def has_waited(group: Group, now: float) -> bool:
    """Returns whether preferences may be lifted for a ready group."""
    return now - waiting_since(group) >= MAX_WAIT_S or is_overdue(group, now)


def is_overdue(group: Group, now: float) -> bool:
    """Returns whether preferences are lifted for a ready group in any case.

    For a long-running task the time counts since it was last at work. Runs that
    were stopped before they began don't start it anew.
    """
    if group.step.long_running:
        away_since = max(group.ready_at, group.away_since)
        return now - away_since >= MAX_LASTING_WAIT_S
    return now - waiting_since(group) >= MAX_SIGHT_WAIT_S


def are_preferences_lifted(
    group: Group,
    idle_since: float | None,
    has_room_in_sight: Callable[[], bool],
    now: float,
) -> bool:
    """Returns whether a group may use every worker that has room for it.

    Args:
      group: a ready group.
      idle_since: since when much of the fleet has been idle, in seconds; None
        while it isn't.
      has_room_in_sight: returns whether workers that the preferences allow will
        have room for it in a known time.
      now: the present time, in seconds.
    """
    if is_overdue(group, now):
        return True
    if not has_waited(group, now):
        return False
    is_idle = idle_since is not None and now - idle_since >= MAX_WAIT_S
    return is_idle or not has_room_in_sight()
