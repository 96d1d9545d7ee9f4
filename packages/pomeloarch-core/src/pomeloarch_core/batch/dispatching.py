"""Decides which group is placed where next.

Groups are placed in order of precedence. For a group that finds no room,
workers are reserved until they are free. At priority 0 others are preempted
instead when waiting would cost the group its objective. A reserved worker takes
only groups that will have ended by the time of the reservation (backfill).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence

from pomeloarch_core.batch.advice import AdviceCache
from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.estimates import DispatchTimes, RunEstimator
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.free_places import FreePlacesIndex
from pomeloarch_core.batch.groups import (
    Group,
    GroupState,
    JobEntry,
    WaitReason,
    can_stop,
)
from pomeloarch_core.batch.headroom import (
    IDLE_SHARE,
    UrgentHeadroom,
    may_use_headroom,
)
from pomeloarch_core.batch.health import suspend
from pomeloarch_core.batch.holds import (
    MAX_LASTING_WAIT_S,
    Hold,
    are_preferences_lifted,
    has_waited,
    is_overdue,
    waiting_since,
)
from pomeloarch_core.batch.messages import Decision, TaskId
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.objectives import Standing
from pomeloarch_core.batch.open_starts import OpenCopy, OpenStarts
from pomeloarch_core.batch.placing import (
    FREE_ROOM,
    TOTAL_ROOM,
    CachedRoom,
    Placement,
    exclude_slow,
    filter_allowed,
    filter_suitable,
    find_placement,
)
from pomeloarch_core.batch.placing_round import PlacingRound
from pomeloarch_core.batch.preempting import (
    EvictableRoom,
    find_eviction,
    planned_work,
)
from pomeloarch_core.batch.ready import (
    guaranteed_jobs,
    is_starving,
    placing_key,
    ready_groups,
)
from pomeloarch_core.batch.runs import RunController
from pomeloarch_core.batch.stragglers import (
    find_movable_groups,
    find_stragglers,
    is_restart_sooner,
)
from pomeloarch_core.ids import ServiceName, WorkerId

# Limit on the groups that workers are reserved for at a time, as each
# reservation leaves some workers idle. Urgent groups may exceed it.
MAX_RESERVATIONS = 4
# Limit on the late gangs whose reserved workers are protected at a time; some
# of these workers are idle until all are free.
MAX_PROTECTED_GANGS = 1
# Times from now, in seconds, at which a plan looks for room for a group.
PLAN_TIMES_S = (0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 4.5, 6.0, 9.0, 14.0)
# While much of the fleet is idle, a task that has waited this long, in seconds,
# may run far from its data. On a busy fleet, the additional time that it takes
# there would be taken from other tasks.
MIN_FAR_WAIT_S = 0.5
# Time after which a group that found no room looks again for groups to preempt
# or workers to reserve, in seconds. It is several times shorter than the
# shortest objective, and long enough that a hundred waiting groups don't take
# up a small host's core.
REPLAN_INTERVAL_S = 0.2
# The same for a group that is not urgent, in seconds: it waits for runs that
# take several times as long.
RELAXED_REPLAN_INTERVAL_S = 0.6
# Time for which it is remembered whether a group would fit on empty workers, in
# seconds. The list of workers is read about as often.
FIT_CACHE_S = 0.5
# Time between an order and its effect, in seconds, without the time that
# stopping other tasks takes.
ORDER_LATENCY_S = 0.3
# Worth of an urgent group, as a multiple of the work that it does. It loses
# most of its worth when it is late, while preempted work can be done again.
URGENT_WORTH_FACTOR = 1.5
# Time after a failed run for which a group that may use only the worker of that
# run waits, in seconds. It is half of the time for which a job may stand still
# beside free workers.
FAILED_RETRY_S = 1.5
# Age of a worker's last report, in seconds, up to which it counts as running
# still. Workers are asked about twice a second.
MAX_REPORT_AGE_S = 1.5
# Limit on the workers that a job's row names for starts that may be open. Such
# a row takes a fraction of the usual size of a stored row.
MAX_OPEN_NAMES = 2048


class _FitCache:
    """Whether groups would fit on empty workers, by what decides about it."""

    def __init__(self) -> None:
        self._fits: dict[tuple[object, ...], bool] = {}
        self._valid_until = 0.0

    def get(self, key: tuple[object, ...], now: float) -> bool | None:
        """Returns the result for a key, None where it isn't known."""
        return self._fits.get(key) if now < self._valid_until else None

    def put(self, key: tuple[object, ...], fits: bool, now: float) -> None:
        """Keeps a result; all results are dropped together."""
        if now >= self._valid_until:
            self._fits.clear()
            self._valid_until = now + FIT_CACHE_S
        self._fits[key] = fits


class Dispatcher:
    """Places groups on workers.

    Attributes:
      awaited_reports: workers of which a report has to show whether they have
        carried out a start that had no answer.

    Args:
      fleet: the workers.
      runs: starts and stops groups.
      estimator: estimates how long runs and jobs will take.
      advice: which workers may run a step, where an outside service decides.
      open_starts: the orders to start without an answer.
      out: list to which questions for advice are added.
      cfg: time limits of the deployment.
      max_open_names: limit on the workers that a job's row names for starts
        that may be open; a single gang may exceed it.
      on_made: called in each round once the groups to place are made, with the
        present time in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        runs: RunController,
        estimator: RunEstimator,
        advice: AdviceCache,
        open_starts: OpenStarts,
        out: list[Decision],
        cfg: DispatchTimes,
        max_open_names: int = MAX_OPEN_NAMES,
        on_made: Callable[[float], None] = lambda now: None,
    ) -> None:
        """Creates a dispatcher that has placed nothing."""
        self._max_open_names = max_open_names
        self._on_made = on_made
        self._fleet = fleet
        self._runs = runs
        self._estimator = estimator
        self._advice = advice
        self._open_starts = open_starts
        self._out = out
        self._cfg = cfg
        self.awaited_reports: set[WorkerId] = set()
        self._headroom = UrgentHeadroom()
        self._free_places = FreePlacesIndex()
        self._near_cache = _FitCache()
        self._beside_cache = _FitCache()
        self._sight_cache = _FitCache()
        # Since when ready long-running groups have had open starts, in seconds.
        self._bound_since: dict[Group, float] = {}
        # Since when much of a service has been idle, in seconds.
        self._idle_since: dict[ServiceName, float] = {}

    def dispatch(
        self,
        jobs: list[JobEntry],
        catalogue: Catalogue,
        now: float,
        wall: float,
    ) -> list[JobEntry]:
        """Places the groups for which there is room.

        Args:
          jobs: jobs that have not ended.
          catalogue: the configuration in force.
          now: the present time, in seconds.
          wall: the time of the wall clock, in seconds.

        Returns:
          Jobs with a group that has used up its attempts.
        """
        for entry in jobs:
            if entry.claimed:
                self.start_claimed(entry, now)
        for group in find_movable_groups(jobs):
            self._move_straggling_run(group, now)
        self._headroom.observe(self._fleet, now)
        guaranteed = guaranteed_jobs(jobs, catalogue)
        placing_round = PlacingRound(
            guaranteed,
            lambda group: self._estimator.remaining_s(group, now),
            EvictableRoom(
                _may_preempt,
                lambda group: self._estimator.stop_cost(group, now, wall),
            ),
        )
        ready = ready_groups(
            jobs,
            guaranteed,
            self._fleet.unaccounted_tasks(),
            self._estimator.times,
            now,
            wall,
        )
        self._on_made(now)
        self._observe_idle(ready, placing_round, now)
        self._settle_starts(jobs, now)
        ready = self._exclude_open_starts(ready, placing_round, now)
        self._protect_late_gangs(ready, placing_round)
        self._collect_awaited(ready, placing_round)
        failed: dict[JobEntry, None] = {}
        # A group for which there was no room.
        tried: Group | None = None
        for group in ready:
            if tried is not None and self._is_same_for(
                tried, group, placing_round, now
            ):
                continue
            if group.failures >= group.job.queue.max_attempts:
                failed[group.job] = None
            elif group.job not in failed:
                is_like_others = self._is_interchangeable(group, placing_round)
                placed = self._try_to_place(group, placing_round, now, wall)
                if placed:
                    tried = None
                elif is_like_others:
                    tried = group
        return list(failed)

    def _is_same_for(
        self,
        tried: Group,
        group: Group,
        placing_round: PlacingRound,
        now: float,
    ) -> bool:
        """Returns whether there is no room for a group as for another one."""
        return (
            tried.step is group.step
            and tried.occurrence == group.occurrence
            and self._is_interchangeable(group, placing_round)
            and (has_waited(tried, now) or not has_waited(group, now))
            and (is_overdue(tried, now) or not is_overdue(group, now))
        )

    def _try_to_place(
        self, group: Group, placing_round: PlacingRound, now: float, wall: float
    ) -> bool:
        """Places a group or makes room for it, if it may be started at all.

        Returns:
          Whether it has places.
        """
        if group in placing_round.only_places:
            return self._place_again(group, placing_round, now)
        if not self._may_open(group, placing_round):
            self._log_waiting(
                group, WaitReason.OPEN_ORDERS, None, False, placing_round, now
            )
            return False
        placed = self._place_or_make_room(group, placing_round, now, wall)
        if placed and not group.may_overlap:
            placing_round.note_opened(group)
        return placed

    def _is_interchangeable(
        self, group: Group, placing_round: PlacingRound
    ) -> bool:
        """Returns whether a group may use the workers of its step's others."""
        return (
            not group.failed_runs
            and not group.failed_on
            and group not in placing_round.only_workers
            and group not in placing_round.only_places
        )

    def _may_open(self, group: Group, placing_round: PlacingRound) -> bool:
        """Returns whether the job's row may name the workers of a group.

        The row of a wide job would otherwise grow beyond what the store takes.
        The group waits until others of its job have been answered.
        """
        if group.may_overlap or group.key in group.job.row.open_starts:
            return True
        named = placing_round.count_open_names(group.job)
        return not named or named + len(group.indices) <= self._max_open_names

    def _exclude_open_starts(
        self, groups: list[Group], placing_round: PlacingRound, now: float
    ) -> list[Group]:
        """Returns the groups that can't be started twice by earlier orders.

        A task may run on the worker that may still carry out the earlier order:
        whatever starts it there, it has one run. A gang may run where each of
        its tasks with an open start is on that worker. These come first, before
        others take their places.
        """
        open_tasks = self._open_starts.tasks()
        self._bound_since = {
            group: self._bound_since.get(group, now)
            for group in groups
            if group.step.long_running
            and not open_tasks.isdisjoint(group.tasks())
        }
        if not open_tasks:
            return groups
        free, bound = [], []
        for group in groups:
            if (
                group.may_overlap
                or open_tasks.isdisjoint(group.tasks())
                or self._may_leave_open_starts(group, now)
            ):
                free.append(group)
                continue
            places = self._places_of_open_starts(group)
            if places is None:
                self._log_waiting(
                    group,
                    WaitReason.OPEN_START,
                    None,
                    False,
                    placing_round,
                    now,
                )
            elif group.step.gang:
                placing_round.only_places[group] = places
                bound.append(group)
            else:
                placing_round.only_workers[group] = places[group.indices[0]]
                free.append(group)
        return bound + free

    def _may_leave_open_starts(self, group: Group, now: float) -> bool:
        """Returns whether a group may run elsewhere than its open starts.

        A long-running task may be away only for some seconds. It has waited for
        the workers of these starts, which have just answered and refuse them. A
        worker that ends now could still carry one out in its next incarnation,
        before that is contacted.
        """
        bound_since = self._bound_since.get(group, now)
        if now - bound_since < MAX_LASTING_WAIT_S or not all(
            map(self._open_starts.are_refused, group.tasks())
        ):
            return False
        workers = set[WorkerId]().union(
            *map(self._open_starts.workers, group.tasks())
        )
        unheard = {
            each for each in workers if not self._has_just_answered(each, now)
        }
        self.awaited_reports |= unheard
        return not unheard

    def _has_just_answered(self, worker_id: WorkerId, now: float) -> bool:
        """Returns whether a listed worker's last report is recent."""
        worker = self._fleet.get(worker_id)
        return (
            worker is not None
            and worker.listed
            and not worker.silent
            and worker.late_since is None
            and worker.asked_at is not None
            and now - worker.asked_at <= MAX_REPORT_AGE_S
        )

    def _places_of_open_starts(
        self, group: Group
    ) -> dict[int, WorkerId] | None:
        """Returns the worker on which each task's start may be open, by index.

        Those of a gang are the places of its last claim. Its members without an
        open start whose workers are off the list are left out.

        Returns:
          The workers; None where a task has several of them.
        """
        open_at = {
            index: self._open_starts.workers(group.task(index))
            for index in group.indices
        }
        if not group.step.gang:
            (workers,) = open_at.values()
            found = dict.fromkeys(group.indices, next(iter(workers)))
        else:
            row = group.job.row
            named = row.open_starts.get(group.key, [])
            if not row.names_members or len(named) != len(group.indices):
                return None
            found = dict(zip(group.indices, named, strict=True))
        is_open_elsewhere = any(
            workers - {found[index]} for index, workers in open_at.items()
        )
        if is_open_elsewhere:
            return None
        return {
            index: worker_id
            for index, worker_id in found.items()
            if open_at[index] or self._is_listed(worker_id)
        }

    def _is_listed(self, worker_id: WorkerId) -> bool:
        worker = self._fleet.get(worker_id)
        return worker is not None and worker.listed

    def _place_again(
        self, group: Group, placing_round: PlacingRound, now: float
    ) -> bool:
        """Claims places for a gang of which some starts are open.

        They are those of its last claim, if these are free, and any others for
        the members whose workers have left.
        """
        self._load_usable(group, placing_round, now)
        usable = placing_round.usable[group.job.queue.service].workers
        if group.job.queue.advised:
            usable = self._filter_advised(group, list(usable), now)
        # A worker may have started again as one of another kind.
        allowed = filter_allowed(group, usable, {})
        places = _find_places_again(
            group, allowed, placing_round.only_places[group]
        )
        if places is None:
            self._log_waiting(
                group, WaitReason.OPEN_START, None, False, placing_round, now
            )
            return False
        if len(placing_round.only_places[group]) < len(group.indices):
            # The starts that are open are named again with the claim.
            group.job.row.open_starts.pop(group.key, None)
        self._claim(group, places, placing_round, now)
        return True

    def _claim(
        self,
        group: Group,
        places: Placement,
        placing_round: PlacingRound,
        now: float,
    ) -> None:
        """Claims places for a group and starts it if it can start already."""
        self._runs.claim(group, places, now)
        placing_round.update_claimed(places)
        if self._runs.can_start(group):
            self._runs.start(group, now)

    def _settle_starts(self, jobs: list[JobEntry], now: float) -> None:
        """Removes open starts that can't run any more, or would be reported.

        A worker that isn't heard from may have carried one out at the last
        moment, and runs it until its lease ends, unless it is gone. No start
        waits for a worker that is gone.
        """
        self.awaited_reports.clear()

        def is_settled(task: TaskId, copy: OpenCopy) -> bool:
            worker = self._fleet.get(copy.worker_id)
            if worker is not None and self._fleet.is_gone(worker, now):
                return True
            if now < copy.acts_until:
                return False
            asked_at = None if worker is None else worker.asked_at
            if asked_at is not None and asked_at >= copy.acts_until:
                return True
            self.awaited_reports.add(copy.worker_id)
            return now >= copy.acts_until + self._open_starts.longest_lease_s

        self._open_starts.settle_where(is_settled)
        open_tasks = self._open_starts.tasks()
        for entry in jobs:
            self._runs.remove_open_starts(entry, open_tasks)

    def start_claimed(self, entry: JobEntry, now: float) -> None:
        """Starts a job's groups whose claimed places are free now."""
        for group in list(entry.claimed):
            if not self._runs.can_start(group):
                continue
            if entry.queue.advised and not self._has_tickets(group, now):
                self._runs.stop_run(group, "a ticket is no longer valid", now)
            else:
                self._runs.start(group, now)

    def _has_tickets(self, group: Group, now: float) -> bool:
        """Returns whether there is a valid ticket for each claimed place.

        The claim may have waited for room or for its row, while a ticket
        expired or a worker restarted.
        """
        workers = map(
            self._fleet.get, {m.worker_id for m in group.members.values()}
        )
        return all(
            each is not None and self._advice.has_ticket(group, each, now)
            for each in workers
        )

    def _move_straggling_run(self, group: Group, now: float) -> None:
        """Stops a run that stragglers delay, if there is room elsewhere."""
        stragglers = find_stragglers(group)
        run_s = self._estimator.times.run_s(group)
        if not stragglers or not is_restart_sooner(
            group, stragglers, run_s, self._preemption_delay_s()
        ):
            return
        if not self._open_starts.tasks().isdisjoint(group.tasks()):
            return

        def room(worker: Worker) -> Resources:
            own = group.step.allocation * worker.groups.get(group, 0)
            return worker.free + own

        usable = self._fleet.usable_workers(group.job.queue.service, now)
        others = [each for each in usable if each.worker_id not in stragglers]
        candidates = exclude_slow(
            filter_suitable(group, others, self._count_siblings(group))
        )
        if find_placement(group, candidates, CachedRoom(room), False) is None:
            return
        group.move_count += 1
        group.failed_on |= stragglers
        for worker_id in stragglers:
            worker = self._fleet.get(worker_id)
            if worker is not None:
                suspend(worker, now)
        where = ", ".join(sorted(stragglers))
        self._runs.stop_run(group, f"it is delayed by workers {where}", now)

    def _place_or_make_room(
        self, group: Group, placing_round: PlacingRound, now: float, wall: float
    ) -> bool:
        """Places a group, or makes room for it; returns whether it has places.

        One that has no room is tried once a round for all that need the same.
        """
        covered = group.job.job.job_id in placing_round.guaranteed
        key = placing_key(group, covered)
        is_bound = group in placing_round.only_workers
        if key in placing_round.keys_without_room and not is_bound:
            return self._place_despite_holds(group, key, placing_round, now)
        self._load_usable(group, placing_round, now)
        allow_far = self._may_run_far(group, placing_round, now)
        if placing_round.places_for(group).may_hold(
            group, allow_far
        ) and self._place(group, allow_far, placing_round, now):
            return True
        if self._is_interchangeable(group, placing_round):
            # No worker was excluded for failures of this group, so that the
            # result holds for other groups with this key as well.
            placing_round.keys_without_room.add(key)
        if self._place_despite_holds(group, key, placing_round, now):
            return True
        self._make_room(group, covered, placing_round, now, wall)
        return group.state is not GroupState.READY

    def _place_despite_holds(
        self,
        group: Group,
        key: tuple[object, ...],
        placing_round: PlacingRound,
        now: float,
    ) -> bool:
        """Places a group on workers that it would rather not use.

        It has waited for others for long enough.

        Returns:
          Whether there was room for it.
        """
        only = placing_round.only_workers.get(group)
        if not has_waited(group, now) or not self._may_have_room(
            group, key, placing_round
        ):
            return False
        if not self._are_preferences_lifted(group, key, placing_round, now):
            return False
        # Where room near its data is in sight, an urgent group may still end
        # sooner there.
        allow_far = (
            self._may_run_far(group, placing_round, now)
            or is_overdue(group, now)
            or not self._is_room_in_sight(group, key, placing_round, now)
        )
        for workers in self._by_preference(group, placing_round, now):
            if only is not None:
                workers = [each for each in workers if each.worker_id == only]
            if group.job.queue.advised:
                workers = self._filter_advised(group, workers, now)
            places = find_placement(group, workers, FREE_ROOM, allow_far)
            if places is not None:
                self._log_lifted(group, places, placing_round, now)
                self._claim(group, places, placing_round, now)
                return True
        if only is None:
            placing_round.keys_without_any_room.add(key)
        return False

    def _may_have_room(
        self, group: Group, key: tuple[object, ...], placing_round: PlacingRound
    ) -> bool:
        """Returns whether any worker may have room for a group."""
        only = placing_round.only_workers.get(group)
        if only is None:
            return key not in placing_round.keys_without_any_room
        worker = self._fleet.get(only)
        return worker is not None and bool(
            worker.count_fitting(group.step.allocation)
        )

    def _by_preference(
        self, group: Group, placing_round: PlacingRound, now: float
    ) -> Iterable[list[Worker]]:
        """Yields the workers that a group may use, more of them each time."""
        reachable = self._reachable(group.job.queue.service, placing_round)
        allowed = filter_allowed(group, reachable, self._count_siblings(group))
        sound = [each for each in allowed if each.suspended_until <= now]
        yield [each for each in sound if each.worker_id not in group.failed_on]
        yield sound
        yield allowed

    def _reachable(
        self, service: ServiceName, placing_round: PlacingRound
    ) -> list[Worker]:
        found = placing_round.reachable.get(service)
        if found is None:
            found = self._fleet.reachable_workers(service)
            placing_round.reachable[service] = found
        return found

    def _are_preferences_lifted(
        self,
        group: Group,
        key: tuple[object, ...],
        placing_round: PlacingRound,
        now: float,
    ) -> bool:
        """Returns whether a group may use every worker with room for it."""
        service = group.job.queue.service
        return are_preferences_lifted(
            group,
            self._idle_since.get(service),
            lambda: self._is_room_in_sight(group, key, placing_round, now),
            now,
        )

    def _is_room_in_sight(
        self,
        group: Group,
        key: tuple[object, ...],
        placing_round: PlacingRound,
        now: float,
    ) -> bool:
        """Returns the result of `_has_room_in_sight`, kept for a while."""
        sight_key = key, group.failed_on, bool(group.failures)
        known = self._sight_cache.get(sight_key, now)
        if known is None:
            known = self._has_room_in_sight(group, placing_round, now)
            self._sight_cache.put(sight_key, known, now)
        return known

    def _has_room_in_sight(
        self, group: Group, placing_round: PlacingRound, now: float
    ) -> bool:
        """Returns whether workers that a group prefers will have room."""
        self._load_usable(group, placing_round, now)
        usable = placing_round.usable[group.job.queue.service].workers
        found = filter_suitable(group, usable, self._count_siblings(group))
        if group.job.queue.advised:
            found = self._advice.filter_ticketed(group, found, now)
        found = self._exclude_headroom(group, found, placing_round, now)
        room = placing_round.room_after(PLAN_TIMES_S[-1])
        allow_far = self._may_run_far(group, placing_round, now)
        return find_placement(group, found, room, allow_far) is not None

    def _log_lifted(
        self,
        group: Group,
        places: Placement,
        placing_round: PlacingRound,
        now: float,
    ) -> None:
        """Logs which preferences a placement goes against."""
        workers = list(dict.fromkeys(places.values()))
        self._runs.log(
            "holds lifted",
            group,
            holds=self._holds_on(group, workers, placing_round, now),
            workers=sorted(each.worker_id for each in workers),
            waited_s=round(now - waiting_since(group), 3),
        )

    def _holds_on(
        self,
        group: Group,
        workers: Iterable[Worker],
        placing_round: PlacingRound,
        now: float,
    ) -> list[str]:
        """Returns the names of what keeps a group off any of these workers."""
        service = group.job.queue.service
        set_aside = placing_round.set_aside.get(service, set())
        only = placing_round.only_workers.get(group)
        ends_at = now + self._estimator.times.run_s(group)
        found: set[Hold] = set()
        for worker in workers:
            if worker.suspended_until > now:
                found.add(Hold.SUSPENDED)
            if worker.worker_id in group.failed_on or (
                group.failures and worker.failures
            ):
                found.add(Hold.FAILED)
            if worker in set_aside:
                found.add(Hold.SET_ASIDE)
            if not placing_round.is_available(worker, group, ends_at):
                found.add(Hold.RESERVED)
            if only is not None and worker.worker_id != only:
                found.add(Hold.OPEN_START)
            if (
                group.job.queue.advised
                and not self._advice.has_ticket(group, worker, now)
                and not self._advice.is_denied(group, worker)
            ):
                found.add(Hold.TICKET)
            if group.step.data_rack not in ("", worker.info.rack):
                found.add(Hold.FAR)
        if group.step.same_rack and len({w.info.rack for w in workers}) > 1:
            found.add(Hold.FAR)
        return sorted(each.value for each in found)

    def _load_usable(
        self, group: Group, placing_round: PlacingRound, now: float
    ) -> None:
        service = group.job.queue.service
        if service not in placing_round.usable:
            places = self._free_places.service(service)
            places.refresh(self._fleet.usable_workers(service, now))
            placing_round.usable[service] = places

    def _find_candidates(
        self, group: Group, placing_round: PlacingRound, now: float
    ) -> list[Worker]:
        siblings = self._count_siblings(group)
        usable = placing_round.usable[group.job.queue.service].workers
        only = placing_round.only_workers.get(group)
        if only is not None:
            usable = [each for each in usable if each.worker_id == only]
            if _may_retry_on(group, usable, now):
                group.failed_on -= {only}
        found = filter_suitable(
            group, usable, siblings, ignore_failures=only is not None
        )
        avoids_workers = only is None and (group.failures or group.failed_on)
        if avoids_workers and not _would_fit_empty(group, found):
            found = self._ignore_failures(group, usable, siblings) or found
        if group.job.queue.advised:
            return self._filter_advised(group, found, now)
        return found

    def _ignore_failures(
        self,
        group: Group,
        usable: Sequence[Worker],
        siblings: dict[Worker, int],
    ) -> list[Worker]:
        """Lifts the exclusion of workers on which a group has failed.

        Returns:
          All suitable workers; none when even these couldn't hold the group.
        """
        avoided, group.failed_on = group.failed_on, frozenset()
        found = filter_suitable(group, usable, siblings, ignore_failures=True)
        if _would_fit_empty(group, found):
            return found
        group.failed_on = avoided
        return []

    def _filter_advised(
        self, group: Group, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Returns the workers with a valid ticket.

        Where these are too few for the group, a question about the others is
        added to the decisions.
        """
        ready = self._advice.filter_ticketed(group, workers, now)
        if find_placement(group, ready, FREE_ROOM, True) is None:
            question = self._advice.next_question(group, workers, now)
            if question is not None:
                self._out.append(question)
        return ready

    def _place(
        self,
        group: Group,
        allow_far: bool,
        placing_round: PlacingRound,
        now: float,
    ) -> bool:
        """Claims places for a group and starts it if it can start already.

        Returns:
          Whether there was room for it.
        """
        with_room = placing_round.places_for(group).counts
        if group.job.queue.advised or not self._is_interchangeable(
            group, placing_round
        ):
            candidates = [
                each
                for each in self._find_candidates(group, placing_round, now)
                if each in with_room
            ]
        else:
            candidates = filter_suitable(
                group, with_room, self._count_siblings(group)
            )
        ends_at = now + self._estimator.times.run_s(group)
        available = [
            each
            for each in candidates
            if placing_round.is_available(each, group, ends_at)
        ]
        available = self._exclude_headroom(group, available, placing_round, now)
        places = None
        if group.job.queue.priority == 0:
            places = self._find_urgent_placement(
                group, exclude_slow(available), placing_round
            )
        if places is None:
            places = find_placement(group, available, FREE_ROOM, allow_far)
        if places is None:
            return False
        self._claim(group, places, placing_round, now)
        return True

    def _find_urgent_placement(
        self, group: Group, workers: list[Worker], placing_round: PlacingRound
    ) -> Placement | None:
        """Returns free room, if possible on workers that no gang waits for."""
        others = [
            each
            for each in workers
            if each not in placing_round.awaited_workers
        ]
        places = find_placement(group, others, FREE_ROOM, False)
        if places is None and len(others) < len(workers):
            places = find_placement(group, workers, FREE_ROOM, False)
        return places

    def _may_run_far(
        self, group: Group, placing_round: PlacingRound, now: float
    ) -> bool:
        """Returns whether a group may run far.

        It runs far when it is off the rack of its data or, if it is a same-rack
        gang, on several racks.
        """
        step = group.step
        if not step.data_rack and not step.same_rack:
            return True
        if not self._could_fit_near(group, now):
            return True
        idle = self._share_in_use(group, placing_round) < IDLE_SHARE
        return idle and now - group.ready_at > self._far_after_s(group)

    def _far_after_s(self, group: Group) -> float:
        """Returns how long a group waits for room near its data, in seconds.

        An urgent group that runs far is certainly late. It waits for as long as
        it would still end sooner near its data. Other groups have time to run
        far.
        """
        if group.job.queue.priority != 0:
            return MIN_FAR_WAIT_S
        run_s = self._estimator.times.run_s(group)
        return max(MIN_FAR_WAIT_S, (self._cfg.far_factor - 1) * run_s)

    def _exclude_headroom(
        self,
        group: Group,
        workers: list[Worker],
        placing_round: PlacingRound,
        now: float,
    ) -> list[Worker]:
        """Returns the workers that are not set aside for more urgent groups.

        A group for which the others are too few, even if they were empty, may
        use all.
        """
        in_use = self._share_in_use(group, placing_round)
        if may_use_headroom(group, in_use, now):
            return workers
        service = group.job.queue.service
        set_aside = placing_round.set_aside.get(service)
        if set_aside is None:
            usable = placing_round.usable[service].workers
            set_aside = self._headroom.set_aside(service, usable)
            placing_round.set_aside[service] = set_aside
        if not self._could_fit_beside(group, set_aside, placing_round, now):
            return workers
        return [each for each in workers if each not in set_aside]

    def _could_fit_beside(
        self,
        group: Group,
        set_aside: set[Worker],
        placing_round: PlacingRound,
        now: float,
    ) -> bool:
        """Returns whether a group would fit on empty workers but these."""
        key = placing_key(group, covered=False)
        fits = self._beside_cache.get(key, now)
        if fits is None:
            usable = placing_round.usable[group.job.queue.service].workers
            others = [each for each in usable if each not in set_aside]
            fitting = filter_suitable(group, others, {})
            fits = find_placement(group, fitting, TOTAL_ROOM, False) is not None
            self._beside_cache.put(key, fits, now)
        return fits

    def _share_in_use(self, group: Group, placing_round: PlacingRound) -> float:
        """Returns the share of the service's resources that is in use."""
        service = group.job.queue.service
        if service not in placing_round.in_use:
            placing_round.in_use[service] = self._fleet.share_in_use(service)
        return placing_round.in_use[service]

    def _observe_idle(
        self, groups: Iterable[Group], placing_round: PlacingRound, now: float
    ) -> None:
        """Notes since when much of each service has been idle."""
        for group in {each.job.queue.service: each for each in groups}.values():
            service = group.job.queue.service
            if self._share_in_use(group, placing_round) >= IDLE_SHARE:
                self._idle_since.pop(service, None)
            else:
                self._idle_since.setdefault(service, now)

    def _could_fit_near(self, group: Group, now: float) -> bool:
        """Returns the result of `_fits_near`, kept for `FIT_CACHE_S`."""
        key = placing_key(group, covered=False), group.failed_on
        fits = self._near_cache.get(key, now)
        if fits is None:
            fits = self._fits_near(group)
            self._near_cache.put(key, fits, now)
        return fits

    def _fits_near(self, group: Group) -> bool:
        """Returns whether a group would fit near its data on an empty fleet.

        All workers count: those that are suspended or silent will be back.
        """
        workers = [
            each
            for each in self._fleet
            if each.info.service == group.job.queue.service
            and each.listed
            and not each.info.draining
        ]
        fitting = filter_suitable(group, workers, {})
        return find_placement(group, fitting, TOTAL_ROOM, False) is not None

    def _count_siblings(self, group: Group) -> dict[Worker, int]:
        """Returns how many tasks of a group's step each worker has."""
        if not group.step.max_per_worker:
            return {}
        counts: dict[Worker, int] = defaultdict(int)
        for other in group.job.groups[group.occurrence, group.number]:
            for member in other.members.values():
                worker = self._fleet.get(member.worker_id)
                if worker is not None:
                    counts[worker] += 1
        return counts

    def _make_room(
        self,
        group: Group,
        covered: bool,
        placing_round: PlacingRound,
        now: float,
        wall: float,
    ) -> None:
        """Reserves workers for a group or preempts others for it."""
        urgent = group.job.queue.priority == 0
        if placing_round.reservation_count >= MAX_RESERVATIONS and not urgent:
            return
        if not urgent and not is_starving(group, now):
            return
        if now < group.replan_at:
            self._reserve_workers(group, placing_round)
            return
        group.replan_at = now + (
            REPLAN_INTERVAL_S if urgent else RELAXED_REPLAN_INTERVAL_S
        )
        previous_until = (
            group.reserved_until if group.reserved_workers else float("inf")
        )
        group.reserved_workers = ()
        candidates = self._find_candidates(group, placing_round, now)
        available = self._exclude_headroom(
            group, candidates, placing_round, now
        )
        plan = self._plan_placement(group, available, placing_round, now)
        reason = WaitReason.ANY_ROOM if plan is None else WaitReason.ROOM
        if urgent:
            wait_s = self._max_wait_s(group, covered, now, wall)
            too_late = plan is None or plan[0] > wait_s
            if too_late:
                refusal = self._preempt(
                    group, candidates, placing_round, covered, now
                )
                if refusal is None:
                    return
                reason = refusal
        self._log_waiting(group, reason, plan, covered, placing_round, now)
        if plan is not None:
            group.reserved_workers = tuple(
                {each.worker_id for each in plan[1].values()}
            )
            # Groups that were started there meanwhile must not delay it.
            group.reserved_until = min(now + plan[0], previous_until)
            self._reserve_workers(group, placing_round)

    def _protect_late_gangs(
        self, ready: list[Group], placing_round: PlacingRound
    ) -> None:
        """Keeps less urgent groups off the workers reserved for late gangs.

        Groups that can still be on time go first. Without protection, a late
        gang would wait for whole workers for as long as small tasks keep
        arriving.
        """
        late = [
            group
            for group in ready
            if group.reserved_workers
            and group.step.gang
            and group.job.standing is Standing.LATE
        ]
        for group in late[:MAX_PROTECTED_GANGS]:
            protection = group.reserved_until, group.job.queue.priority
            for worker in self._reserved_workers(group):
                placing_round.protected[worker] = protection

    def _collect_awaited(
        self, ready: list[Group], placing_round: PlacingRound
    ) -> None:
        """Collects the workers reserved for gangs that are not urgent.

        Urgent groups take these workers only where there are no others: a gang
        that loses one of them waits until as many are free together again.
        """
        waiting = [
            group
            for group in ready
            if group.reserved_workers and group.job.queue.priority != 0
        ]
        for group in waiting[:MAX_RESERVATIONS]:
            placing_round.awaited_workers.update(self._reserved_workers(group))

    def _log_waiting(
        self,
        group: Group,
        reason: WaitReason,
        plan: tuple[float, Placement] | None,
        covered: bool,
        placing_round: PlacingRound,
        now: float,
    ) -> None:
        """Logs why a group waits, whenever the reason changes.

        The holds are those on workers with room for a task of the group.
        """
        if group.wait_reason is reason:
            return
        group.wait_reason = reason
        reachable = self._reachable(group.job.queue.service, placing_round)
        with_room = [
            each
            for each in filter_allowed(group, reachable, {})
            if each.count_fitting(group.step.allocation)
        ]
        self._runs.log(
            "group waits",
            group,
            waits_for=reason.value,
            holds=self._holds_on(group, with_room, placing_round, now),
            room_in_s=None if plan is None else plan[0],
            guaranteed=covered,
            standing=group.job.standing,
            waited_s=round(now - group.ready_at, 3),
            age_s=round(now - group.job.accepted_at, 3),
        )

    def _reserve_workers(
        self, group: Group, placing_round: PlacingRound
    ) -> None:
        """Reserves the workers of a group's last plan in this round."""
        placing_round.reservation_count += bool(group.reserved_workers)
        for worker in self._reserved_workers(group):
            placing_round.reserved_until.setdefault(
                worker, group.reserved_until
            )

    def _reserved_workers(self, group: Group) -> list[Worker]:
        """Returns the workers reserved for a group that are still known."""
        return self._known(group.reserved_workers)

    def _workers_of(self, group: Group) -> list[Worker]:
        """Returns the workers that have tasks of a group."""
        return self._known(
            dict.fromkeys(each.worker_id for each in group.members.values())
        )

    def _known(self, worker_ids: Iterable[WorkerId]) -> list[Worker]:
        found = (self._fleet.get(each) for each in worker_ids)
        return [each for each in found if each is not None]

    def _plan_placement(
        self,
        group: Group,
        candidates: list[Worker],
        placing_round: PlacingRound,
        now: float,
    ) -> tuple[float, Placement] | None:
        """Returns when and where there will be room without preemption."""
        allow_far = self._may_run_far(group, placing_round, now)

        def places_after(after_s: float) -> Placement | None:
            room = placing_round.room_after(after_s)
            return find_placement(group, candidates, room, allow_far)

        # Room only grows with time, so the first time with enough of it can be
        # found by bisection.
        latest = places_after(PLAN_TIMES_S[-1])
        if latest is None:
            return None
        found = PLAN_TIMES_S[-1], latest
        low, high = 0, len(PLAN_TIMES_S) - 1
        while low < high:
            middle = (low + high) // 2
            places = places_after(PLAN_TIMES_S[middle])
            if places is None:
                low = middle + 1
            else:
                found, high = (PLAN_TIMES_S[middle], places), middle
        return found

    def _preemption_delay_s(self) -> float:
        """Returns how long preempted groups take to leave, in seconds."""
        return self._cfg.stop_s + ORDER_LATENCY_S

    def _max_wait_s(
        self, group: Group, covered: bool, now: float, wall: float
    ) -> float:
        """Returns how long an urgent group may wait for room, in seconds."""
        delay_s = self._preemption_delay_s()
        wait_s = self._estimator.slack_s(group.job, wall) - delay_s
        if covered:
            waited_s = now - group.ready_at
            left_s = self._cfg.reclaim_s - delay_s - waited_s
            wait_s = min(wait_s, left_s) if wait_s > 0 else left_s
        return wait_s

    def _preempt(
        self,
        group: Group,
        candidates: list[Worker],
        placing_round: PlacingRound,
        covered: bool,
        now: float,
    ) -> WaitReason | None:
        """Preempts groups to make room for a group of priority 0.

        A guarantee is always met. Beyond it, groups are preempted only where
        that costs less than the group is worth.

        Returns:
          Why nothing is preempted; None when something is.
        """
        waited_s = now - group.ready_at
        last_chance = (
            waited_s > self._cfg.reclaim_s - self._preemption_delay_s() - 0.2
        )
        run_s = self._estimator.times.run_s(group)
        worth = URGENT_WORTH_FACTOR * planned_work(group, run_s)
        eviction, refusal = None, WaitReason.VICTIMS
        for workers in (exclude_slow(candidates), candidates):
            found = find_eviction(
                group,
                workers,
                placing_round.evictable,
                (covered and last_chance)
                or not self._could_fit_near(group, now),
            )
            if found is None:
                continue
            if covered or found.cost <= worth:
                eviction = found
                break
            refusal = WaitReason.COST
        if eviction is None:
            return refusal
        self._runs.claim(group, eviction.places, now)
        placing_round.update_claimed(eviction.places)
        for victim in eviction.victims:
            placing_round.update_stopped(self._workers_of(victim))
            self._runs.stop_run(victim, f"preempted by {group.name}", now)
        if self._runs.can_start(group):
            self._runs.start(group, now)
        return None


def _find_places_again(
    group: Group,
    workers: Sequence[Worker],
    bound: Mapping[int, WorkerId],
) -> Placement | None:
    """Returns places for a gang of which some members are bound to workers.

    Args:
      group: the gang.
      workers: workers that its step allows.
      bound: the workers of these members, by index.
    """
    known = {each.worker_id: each for each in workers}
    left = {each: each.count_fitting(group.step.allocation) for each in workers}
    most = group.step.max_per_worker
    if most:
        left = {each: min(count, most) for each, count in left.items()}
    places: Placement = {}
    for index in sorted(group.indices, key=lambda each: each not in bound):
        if index in bound:
            worker = known.get(bound[index])
        else:
            worker = next((each for each in workers if left[each]), None)
        if worker is None or not left[worker]:
            return None
        places[index] = worker
        left[worker] -= 1
    return places


def _may_retry_on(group: Group, workers: Sequence[Worker], now: float) -> bool:
    """Returns whether a group may run again on the only workers for it.

    Those may have failed it, or were avoided for a missing answer. A worker
    that keeps failing is suspended, and then not among them.
    """
    return (
        not group.failures
        or not any(each.failures for each in workers)
        or now >= group.not_before + FAILED_RETRY_S
    )


def _may_preempt(group: Group) -> bool:
    """Returns whether a group of priority 0 may preempt another one."""
    return group.job.queue.priority > 0 and can_stop(group)


def _would_fit_empty(group: Group, workers: Sequence[Worker]) -> bool:
    """Returns whether a group would fit on workers that ran nothing else."""
    return find_placement(group, workers, TOTAL_ROOM, True) is not None
