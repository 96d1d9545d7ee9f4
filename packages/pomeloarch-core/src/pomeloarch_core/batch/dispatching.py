"""Decides which group goes where next.

Groups are taken in the order of their standing. A group that finds no room
either has workers kept for it until they are free, or, at priority 0, has
others give way when waiting would cost it its objective. On a kept worker,
only what will have ended by then is started (backfill).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from pomeloarch_core.batch.advice import AdviceCache
from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.estimates import DispatchTimes, RunEstimator
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import (
    Group,
    GroupState,
    JobEntry,
    WaitReason,
    can_stop,
)
from pomeloarch_core.batch.health import suspend
from pomeloarch_core.batch.stragglers import (
    is_restart_sooner,
    find_stragglers,
    find_movable_groups,
)
from pomeloarch_core.batch.messages import Decision
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.objectives import Standing
from pomeloarch_core.batch.placing import (
    Placement,
    find_placement,
    free_room,
    exclude_slow,
    filter_suitable,
    total_room,
)
from pomeloarch_core.batch.placing_round import PlacingRound
from pomeloarch_core.batch.preempting import find_eviction, planned_work
from pomeloarch_core.batch.ready import (
    guaranteed_jobs,
    placing_key,
    ready_groups,
    is_starving,
)
from pomeloarch_core.batch.runs import RunController
from pomeloarch_core.batch.headroom import IDLE_SHARE, UrgentHeadroom

# Groups that workers are kept for at a time: each leaves some of them idle.
MAX_RESERVATIONS = 4
# Late gangs that workers are reserved for at a time: until all are free, some
# of them idle.
MAX_PROTECTED_GANGS = 1
# Points in time, in seconds from now, at which a group's room is looked for.
PLAN_TIMES_S = (0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 4.5, 6.0, 9.0, 14.0)
# While much is idle, a task that has waited this long, in seconds, runs far
# from its data. Otherwise, what it takes longer there is taken from others.
MIN_FAR_WAIT_S = 0.5
# A group that found no room looks for others to give way, or for workers to
# keep, again after this time, in seconds: several times within the shortest
# objective, and seldom enough that a hundred waiting groups don't take a
# small host's core.
REPLAN_INTERVAL_S = 0.2
# Whether a shape fits in a rack is worked out anew after this time, in
# seconds; the list of workers is read about as often.
NEAR_CACHE_S = 0.5
# Time between an order and its effect, in seconds, beside stopping others.
ORDER_LATENCY_S = 0.3
# What an urgent group is worth, in multiples of the work that it does. It loses
# most of its worth when it is late, while work that gives way is done again.
URGENT_WORTH_FACTOR = 1.5


class Dispatcher:
    """Places groups.

    Args:
      fleet: the workers.
      runs: starts and stops groups.
      expected: how long runs and jobs will likely take.
      advice: which workers may run a step, where that is decided outside.
      out: where questions for advice are put.
      cfg: times of the deployment.
    """

    def __init__(
        self,
        fleet: Fleet,
        runs: RunController,
        estimator: RunEstimator,
        advice: AdviceCache,
        out: list[Decision],
        cfg: DispatchTimes,
    ) -> None:
        """Starts with nothing placed."""
        self._fleet = fleet
        self._runs = runs
        self._estimator = estimator
        self._advice = advice
        self._out = out
        self._cfg = cfg
        self._headroom = UrgentHeadroom()
        self._near_cache: dict[tuple[object, ...], bool] = {}
        self._near_cache_until = 0.0

    def dispatch(
        self,
        jobs: list[JobEntry],
        catalogue: Catalogue,
        now: float,
        wall: float,
    ) -> list[JobEntry]:
        """Places what can be placed.

        Args:
          jobs: jobs that have not ended.
          catalogue: the configuration in force.
          now: the present time, in seconds.
          wall: the wall clock, in seconds.

        Returns:
          Jobs with a group that has no attempt left.
        """
        for entry in jobs:
            self.start_claimed(entry, now)
        for group in find_movable_groups(jobs):
            self._move_straggling_run(group, now)
        self._headroom.observe(self._fleet, now)
        guaranteed = guaranteed_jobs(jobs, catalogue)
        current = PlacingRound(
            guaranteed,
            lambda group: self._estimator.remaining_s(group, now),
            lambda group: self._estimator.stop_cost(group, now, wall),
        )
        ready = ready_groups(
            jobs,
            guaranteed,
            self._fleet.unaccounted_tasks(),
            self._estimator.times,
            now,
            wall,
        )
        self._protect_late_gangs(ready, current)
        self._collect_awaited(ready, current)
        failed: dict[JobEntry, None] = {}
        for group in ready:
            if group.failures >= group.job.queue.max_attempts:
                failed[group.job] = None
            elif group.job not in failed:
                self._place_or_make_room(group, current, now, wall)
        return list(failed)


    def start_claimed(self, entry: JobEntry, now: float) -> None:
        """Starts groups of a job whose places are free now."""
        for group in entry.all_groups():
            if group.state is GroupState.CLAIMED and self._runs.can_start(
                group
            ):
                self._runs.start(group, now)


    def _move_straggling_run(self, group: Group, now: float) -> None:
        """Stops a run that workers hold up, if there is room elsewhere."""
        stragglers = find_stragglers(group)
        run_s = self._estimator.times.run_s(group)
        if not stragglers or not is_restart_sooner(
            group, stragglers, run_s, self._preemption_delay_s()
        ):
            return

        def room(worker: Worker) -> Resources:
            own = group.step.allocation * worker.groups.get(group, 0)
            return worker.free + own

        usable = self._fleet.usable_workers(group.job.queue.service, now)
        others = [each for each in usable if each.worker_id not in stragglers]
        candidates = exclude_slow(filter_suitable(group, others, self._count_siblings(group)))
        if find_placement(group, candidates, room, False) is None:
            return
        group.move_count += 1
        group.failed_on |= stragglers
        for worker_id in stragglers:
            worker = self._fleet.get(worker_id)
            if worker is not None:
                suspend(worker, now)
        where = ", ".join(sorted(stragglers))
        self._runs.stop_run(group, f"it is held up on {where}", now)


    def _place_or_make_room(
        self, group: Group, current: PlacingRound, now: float, wall: float
    ) -> None:
        covered = group.job.job.job_id in current.guaranteed
        alike = placing_key(group, covered)
        if alike in current.keys_without_room:
            return
        self._load_usable(group, current, now)
        if current.may_have_room(group):
            candidates = self._find_candidates(group, current, now)
            if self._place(group, candidates, current, now):
                return
        if not group.failures and not group.failed_on:
            # Others like it are kept off no worker for its failures.
            current.keys_without_room.add(alike)
        self._make_room(group, covered, current, now, wall)

    def _load_usable(
        self, group: Group, current: PlacingRound, now: float
    ) -> None:
        service = group.job.queue.service
        if service not in current.usable:
            current.usable[service] = self._fleet.usable_workers(service, now)

    def _find_candidates(
        self, group: Group, current: PlacingRound, now: float
    ) -> list[Worker]:
        siblings = self._count_siblings(group)
        usable = current.usable[group.job.queue.service]
        found = filter_suitable(group, usable, siblings)
        if (group.failures or group.failed_on) and not _would_fit_empty(group, found):
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
        """Returns all that it may use, none if those couldn't hold it."""
        avoided, group.failed_on = group.failed_on, set()
        found = filter_suitable(group, usable, siblings, any_record=True)
        if _would_fit_empty(group, found):
            return found
        group.failed_on = avoided
        return []

    def _filter_advised(
        self, group: Group, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Returns workers with a ticket; asks about others if they are few."""
        ready = self._advice.filter_ticketed(group, workers, now)
        if find_placement(group, ready, free_room, True) is None:
            question = self._advice.question(group, workers, now)
            if question is not None:
                self._out.append(question)
        return ready

    def _place(
        self,
        group: Group,
        candidates: list[Worker],
        current: PlacingRound,
        now: float,
    ) -> bool:
        ends_at = now + self._estimator.times.run_s(group)
        available = [
            each for each in candidates if current.is_available(each, group, ends_at)
        ]
        available = self._exclude_headroom(group, available, current, now)
        far = self._may_run_far(group, current, now)
        places = None
        if group.job.queue.priority == 0:
            places = self._find_urgent_placement(group, exclude_slow(available), current)
        if places is None:
            places = find_placement(group, available, free_room, far)
        if places is None:
            return False
        self._runs.claim(group, places, now)
        current.update_claimed(places)
        if self._runs.can_start(group):
            self._runs.start(group, now)
        return True

    def _find_urgent_placement(
        self, group: Group, workers: list[Worker], current: PlacingRound
    ) -> Placement | None:
        """Returns free room, where it can on workers that nobody waits for."""
        others = [each for each in workers if each not in current.awaited_workers]
        places = find_placement(group, others, free_room, False)
        if places is None and len(others) < len(workers):
            places = find_placement(group, workers, free_room, False)
        return places

    def _may_run_far(
        self, group: Group, current: PlacingRound, now: float
    ) -> bool:
        """Whether a group may run away from its data or spread over racks."""
        step = group.step
        if not step.data_rack and not step.same_rack:
            return True
        if not self._could_fit_near(group, now):
            return True
        idle = self._share_in_use(group, current) < IDLE_SHARE
        return idle and now - group.ready_at > self._far_after_s(group)

    def _far_after_s(self, group: Group) -> float:
        """Returns how long a group waits for room near before it runs far.

        Urgent work that runs far is late for certain: it waits until it would
        have ended sooner far. Other work has the time.
        """
        if group.job.queue.priority != 0:
            return MIN_FAR_WAIT_S
        run_s = self._estimator.times.run_s(group)
        return max(MIN_FAR_WAIT_S, (self._cfg.far_factor - 1) * run_s)

    def _exclude_headroom(
        self,
        group: Group,
        workers: list[Worker],
        current: PlacingRound,
        now: float,
    ) -> list[Worker]:
        """Returns those workers that are not spared for more urgent groups."""
        in_use = self._share_in_use(group, current)
        return self._headroom.available_workers(group, workers, in_use, now)

    def _share_in_use(self, group: Group, current: PlacingRound) -> float:
        """Returns the share of the group's service that is in use."""
        service = group.job.queue.service
        if service not in current.in_use:
            current.in_use[service] = self._fleet.share_in_use(service)
        return current.in_use[service]

    def _could_fit_near(self, group: Group, now: float) -> bool:
        """Whether the group would fit near its data if nothing else ran."""
        if group.failed_on:
            return self._fits_near(group)
        if now >= self._near_cache_until:
            self._near_cache.clear()
            self._near_cache_until = now + NEAR_CACHE_S
        key = placing_key(group, covered=False)
        if key not in self._near_cache:
            self._near_cache[key] = self._fits_near(group)
        return self._near_cache[key]

    def _fits_near(self, group: Group) -> bool:
        """Looks at all workers, as those suspended or silent will be back."""
        workers = [
            each
            for each in self._fleet
            if each.info.service == group.job.queue.service
            and each.listed
            and not each.info.draining
        ]
        fitting = filter_suitable(group, workers, {})
        return find_placement(group, fitting, total_room, False) is not None

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
        current: PlacingRound,
        now: float,
        wall: float,
    ) -> None:
        """Keeps workers for a group, or has others give way to it."""
        urgent = group.job.queue.priority == 0
        if current.reservation_count >= MAX_RESERVATIONS and not urgent:
            return
        if not urgent and not is_starving(group, now):
            return
        if now < group.replan_at:
            self._reserve_workers(group, current)
            return
        group.replan_at = now + REPLAN_INTERVAL_S
        previous_until = group.reserved_until if group.reserved_workers else float("inf")
        group.reserved_workers = ()
        candidates = self._find_candidates(group, current, now)
        available = self._exclude_headroom(group, candidates, current, now)
        plan = self._plan_placement(group, available, current, now)
        waits_for = WaitReason.ANY_ROOM if plan is None else WaitReason.ROOM
        if urgent:
            wait_s = self._max_wait_s(group, covered, now, wall)
            too_late = plan is None or plan[0] > wait_s
            if too_late:
                refusal = self._preempt(
                    group, candidates, current, covered, now
                )
                if refusal is None:
                    return
                waits_for = refusal
        self._log_waiting(group, waits_for, plan, covered, now)
        if plan is not None:
            group.reserved_workers = tuple({each.worker_id for each in plan[1].values()})
            # What was started there meanwhile must not put it off.
            group.reserved_until = min(now + plan[0], previous_until)
            self._reserve_workers(group, current)

    def _protect_late_gangs(self, ready: list[Group], current: PlacingRound) -> None:
        """Has less urgent work leave alone what late gangs wait for.

        Work that can be on time goes first, so that a gang which can't would
        wait for whole workers for as long as small tasks keep coming.
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
                current.protected[worker] = protection

    def _collect_awaited(self, ready: list[Group], current: PlacingRound) -> None:
        """Notes which workers gangs wait for that don't go first.

        Urgent work takes them where there are no others: one worker less puts
        a gang off until as many side by side are free again.
        """
        waiting = [
            group
            for group in ready
            if group.reserved_workers and group.job.queue.priority != 0
        ]
        for group in waiting[:MAX_RESERVATIONS]:
            current.awaited_workers.update(self._reserved_workers(group))

    def _log_waiting(
        self,
        group: Group,
        waits_for: WaitReason,
        plan: tuple[float, Placement] | None,
        covered: bool,
        now: float,
    ) -> None:
        """Says in the log why a group waits, whenever the reason changes."""
        if group.wait_reason is waits_for:
            return
        group.wait_reason = waits_for
        self._runs.log(
            "group waits",
            group,
            waits_for=waits_for.value,
            room_in_s=None if plan is None else plan[0],
            guaranteed=covered,
            standing=group.job.standing,
            waited_s=round(now - group.ready_at, 3),
            age_s=round(now - group.job.accepted_at, 3),
        )

    def _reserve_workers(self, group: Group, current: PlacingRound) -> None:
        """Keeps the workers of a group's last plan for it."""
        current.reservation_count += bool(group.reserved_workers)
        for worker in self._reserved_workers(group):
            current.reserved_until.setdefault(worker, group.reserved_until)

    def _reserved_workers(self, group: Group) -> list[Worker]:
        """Returns the workers that are kept for a group and still known."""
        found = (self._fleet.get(each) for each in group.reserved_workers)
        return [each for each in found if each is not None]

    def _plan_placement(
        self,
        group: Group,
        candidates: list[Worker],
        current: PlacingRound,
        now: float,
    ) -> tuple[float, Placement] | None:
        """Returns when and where there will be room by itself."""
        far = self._may_run_far(group, current, now)

        def places_after(after_s: float) -> Placement | None:
            room = current.room_after(after_s)
            return find_placement(group, candidates, room, far)

        # Room only grows, so that the first time with enough can be bisected.
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
        """Returns how long it takes until others have given way."""
        return self._cfg.stop_s + ORDER_LATENCY_S

    def _max_wait_s(
        self, group: Group, covered: bool, now: float, wall: float
    ) -> float:
        """Returns how long a group of priority 0 may wait for room."""
        effect_s = self._preemption_delay_s()
        wait_s = self._estimator.slack_s(group.job, wall) - effect_s
        if covered:
            waited_s = now - group.ready_at
            left_s = self._cfg.reclaim_s - effect_s - waited_s
            wait_s = min(wait_s, left_s) if wait_s > 0 else left_s
        return wait_s

    def _preempt(
        self,
        group: Group,
        candidates: list[Worker],
        current: PlacingRound,
        covered: bool,
        now: float,
    ) -> WaitReason | None:
        """Has others give way to a group of priority 0.

        A guarantee is always made good. Beyond it, others give way only
        where the harm is less than what the group is worth.

        Returns:
          Why nothing gives way; None when something does.
        """
        priority = group.job.queue.priority
        waited_s = now - group.ready_at
        last_chance = waited_s > self._cfg.reclaim_s - self._preemption_delay_s() - 0.2
        run_s = self._estimator.times.run_s(group)
        worth = URGENT_WORTH_FACTOR * planned_work(group, run_s)
        eviction, refusal = None, WaitReason.VICTIMS
        for workers in (exclude_slow(candidates), candidates):
            found = find_eviction(
                group,
                workers,
                lambda other: (
                    other.job.queue.priority > priority and can_stop(other)
                ),
                (covered and last_chance)
                or not self._could_fit_near(group, now),
                current.stop_cost,
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
        current.update_claimed(eviction.places)
        for victim in eviction.victims:
            self._runs.stop_run(victim, f"it gives way to {group.name}", now)
        if self._runs.can_start(group):
            self._runs.start(group, now)
        return None


def _would_fit_empty(group: Group, workers: Sequence[Worker]) -> bool:
    """Whether a group would fit on workers if nothing else ran there."""
    return find_placement(group, workers, total_room, True) is not None
