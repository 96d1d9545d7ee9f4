"""Determines which groups are ready to be placed and in which order."""

from __future__ import annotations

from collections import defaultdict

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.groups import Group, GroupState, JobEntry
from pomeloarch_core.batch.messages import TaskId
from pomeloarch_core.batch.objectives import RunTimes, assess_standing
from pomeloarch_core.ids import JobId, OrganisationName

# Time, in seconds, after which a group has waited long. It is then not left to
# wait for others to end: workers are reserved for a gang, and workers that are
# set aside for urgent groups may be used.
LONG_WAIT_S = 1.0
# Limit on the waiting groups of all jobs together. They take some 15 MB. A step
# of which no group waits has one made in any case.
MAX_ALL_WAITING_GROUPS = 20_000


def ready_groups(
    jobs: list[JobEntry],
    guaranteed: set[JobId],
    unaccounted_tasks: set[TaskId],
    times: RunTimes,
    now: float,
    wall: float,
) -> list[Group]:
    """Returns the groups to place, in order of precedence.

    Args:
      jobs: jobs that have not ended.
      guaranteed: those that their organisations' guarantees cover.
      unaccounted_tasks: tasks with a run that is being stopped and that no
        group accounts for; they are not started before it has ended.
      times: estimates of run times.
      now: the present time, in seconds.
      wall: the time of the wall clock, in seconds.
    """
    ready: list[tuple[JobEntry, list[Group]]] = []
    budget = MAX_ALL_WAITING_GROUPS - sum(
        len(groups) for entry in jobs for groups in entry.unplaced.values()
    )
    for entry in jobs:
        found, made = _ready_groups_of(entry, max(0, budget), now, wall)
        budget -= made
        if unaccounted_tasks:
            found = [
                each
                for each in found
                if unaccounted_tasks.isdisjoint(each.tasks())
            ]
        if found:
            entry.standing = assess_standing(entry, times, wall)
            ready.append((entry, found))
    ready.sort(
        key=lambda each: (
            each[0].job.job_id not in guaranteed,
            each[0].standing,
            each[0].queue.priority,
            each[0].job.accepted_at,
        )
    )
    return [group for _, groups in ready for group in groups]


def guaranteed_jobs(jobs: list[JobEntry], catalogue: Catalogue) -> set[JobId]:
    """Returns the jobs of priority 0 that their guarantees cover."""
    covered: set[JobId] = set()
    needed: dict[OrganisationName, int] = defaultdict(int)
    for entry in jobs:
        tenant = catalogue.tenants.get(entry.job.organisation)
        if entry.queue.priority != 0 or tenant is None:
            continue
        wanted = max(
            step.count * step.need.accelerators for step in entry.job.steps
        )
        if needed[tenant.name] + wanted <= tenant.guaranteed_accelerators:
            needed[tenant.name] += wanted
            covered.add(entry.job.job_id)
    return covered


def _ready_groups_of(
    entry: JobEntry, budget: int, now: float, wall: float
) -> tuple[list[Group], int]:
    """Returns the ready groups of a job and how many groups were made."""
    ready: list[Group] = []
    made = 0
    entry.open_due(wall)
    for (occurrence, number), groups in list(entry.unplaced.items()):
        if entry.job.due_at(occurrence) > wall:
            continue
        if not all(
            entry.is_step_done(occurrence, each)
            for each in entry.job.steps[number].after
        ):
            continue
        made += entry.make_waiting(occurrence, number, max(0, budget - made))
        waiting = [g for g in groups if g.state is GroupState.WAITING]
        for group in waiting:
            group.state = GroupState.READY
            group.ready_at = ready_since(group, now)
        ready += [
            group
            for group in groups
            if not group.recovery_pending and group.not_before <= now
        ]
    return ready, made


def has_waited_long(group: Group, now: float) -> bool:
    """Returns whether a group has waited long for its places."""
    return now - group.ready_at > LONG_WAIT_S


def is_starving(group: Group, now: float) -> bool:
    """Returns whether a group is a gang that has waited long for its places.

    Enough room for all members of a gang is seldom free at the same time.
    """
    return group.step.gang and has_waited_long(group, now)


def ready_since(group: Group, now: float) -> float:
    """Returns since when a group that is ready now has been waiting.

    An earlier scheduler may have had the job for some time. When the preceding
    steps ended is not stored, and a time in the future is not trusted.
    """
    entry = group.job
    if not entry.inherited or group.step.after or entry.job.scheduled:
        return now
    return min(now, entry.accepted_at)


def placing_key(group: Group, covered: bool) -> tuple[object, ...]:
    """Returns a key of what decides whether there is room for a group."""
    step = group.step
    return (
        group.job.queue.service,
        group.job.queue.priority,
        covered,
        step.allocation,
        len(group.indices),
        step.same_rack,
        step.data_rack,
        step.label,
        group.step_id
        if step.max_per_worker or group.job.queue.advised
        else None,
    )
