"""Decides which group goes where next.

Groups are taken in the order of their standing. A group that finds no room
either has workers kept for it until they are free, or, at priority 0, has
others give way when waiting would cost it its objective. On a kept worker,
only what will have ended by then is started (backfill).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from pomeloarch_core.batch.advice import AdviceBook
from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.estimates import DispatchTimes, Expectations
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import (
    Group,
    GroupState,
    JobEntry,
    WaitsFor,
    may_stop,
)
from pomeloarch_core.batch.headroom import IDLE_SHARE, Sparing
from pomeloarch_core.batch.health import suspend
from pomeloarch_core.batch.messages import Decision
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.objectives import Standing
from pomeloarch_core.batch.placing import (
    Places,
    find_places,
    free_room,
    not_slow,
    suitable,
    whole_room,
)
from pomeloarch_core.batch.placing_round import PlacingRound
from pomeloarch_core.batch.preempting import find_eviction, own_work
from pomeloarch_core.batch.ready import (
    guaranteed_jobs,
    placing_key,
    ready_groups,
    starves,
)
from pomeloarch_core.batch.runs import Runs
from pomeloarch_core.batch.stragglers import (
    ends_sooner_elsewhere,
    holding_up,
    movable,
)

# Groups that workers are kept for at a time: each leaves some of them idle.
MOST_KEPT = 4
# Late gangs that workers are reserved for at a time: until all are free, some
# of them idle.
MOST_RESERVED = 1
# Points in time, in seconds from now, at which a group's room is looked for.
PLAN_TIMES_S = (0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 4.5, 6.0, 9.0, 14.0)
# While much is idle, a task that has waited this long, in seconds, runs far
# from its data. Otherwise, what it takes longer there is taken from others.
FAR_WHEN_IDLE_S = 0.5
# A group that found no room looks for others to give way, or for workers to
# keep, again after this time, in seconds: several times within the shortest
# objective, and seldom enough that a hundred waiting groups don't take a
# small host's core.
LOOK_AGAIN_S = 0.2
# Whether a shape fits in a rack is worked out anew after this time, in
# seconds; the list of workers is read about as often.
NEAR_KNOWN_S = 0.5
# Time between an order and its effect, in seconds, beside stopping others.
ORDER_SLACK_S = 0.3
# What an urgent group is worth, in multiples of the work that it does. It loses
# most of its worth when it is late, while work that gives way is done again.
URGENT_WEIGHT = 1.5


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
        runs: Runs,
        expected: Expectations,
        advice: AdviceBook,
        out: list[Decision],
        cfg: DispatchTimes,
    ) -> None:
        """Starts with nothing placed."""
        self._fleet = fleet
        self._runs = runs
        self._expected = expected
        self._advice = advice
        self._out = out
        self._cfg = cfg
        self._sparing = Sparing()
        self._near: dict[tuple[object, ...], bool] = {}
        self._near_until = 0.0

    def run(
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
        for group in movable(jobs):
            self._move_if_held_up(group, now)
        self._sparing.observe(self._fleet, now)
        guaranteed = guaranteed_jobs(jobs, catalogue)
        current = PlacingRound(
            guaranteed,
            lambda group: self._expected.remaining_s(group, now),
            lambda group: self._expected.harm(group, now, wall),
        )
        ready = ready_groups(
            jobs,
            guaranteed,
            self._fleet.unaccounted(),
            self._expected.times,
            now,
            wall,
        )
        self._reserve(ready, current)
        self._promise(ready, current)
        failed: dict[JobEntry, None] = {}
        for group in ready:
            if group.failures >= group.job.queue.max_attempts:
                failed[group.job] = None
            elif group.job not in failed:
                self._offer(group, current, now, wall)
        return list(failed)

    # ---- groups that have a place

    def start_claimed(self, entry: JobEntry, now: float) -> None:
        """Starts groups of a job whose places are free now."""
        for group in entry.all_groups():
            if group.state is GroupState.CLAIMED and self._runs.may_start(
                group
            ):
                self._runs.start(group, now)

    # ---- groups that hardly get on

    def _move_if_held_up(self, group: Group, now: float) -> None:
        """Stops a run that workers hold up, if there is room elsewhere."""
        bad = holding_up(group)
        run_s = self._expected.times.run_s(group)
        if not bad or not ends_sooner_elsewhere(
            group, bad, run_s, self._effect_s()
        ):
            return

        def room(worker: Worker) -> Resources:
            own = group.step.reserved * worker.groups.get(group, 0)
            return worker.free + own

        usable = self._fleet.usable(group.job.queue.service, now)
        others = [each for each in usable if each.worker_id not in bad]
        candidates = not_slow(suitable(group, others, self._siblings(group)))
        if find_places(group, candidates, room, False) is None:
            return
        group.moves += 1
        group.failed_on |= bad
        for worker_id in bad:
            worker = self._fleet.get(worker_id)
            if worker is not None:
                suspend(worker, now)
        where = ", ".join(sorted(bad))
        self._runs.take_down(group, f"it is held up on {where}", now)

    # ---- one group

    def _offer(
        self, group: Group, current: PlacingRound, now: float, wall: float
    ) -> None:
        covered = group.job.job.job_id in current.guaranteed
        alike = placing_key(group, covered)
        if alike in current.without_room:
            return
        self._find_usable(group, current, now)
        if current.may_fit(group):
            candidates = self._candidates(group, current, now)
            if self._place(group, candidates, current, now):
                return
        if not group.failures and not group.failed_on:
            # Others like it are kept off no worker for its failures.
            current.without_room.add(alike)
        self._make_room(group, covered, current, now, wall)

    def _find_usable(
        self, group: Group, current: PlacingRound, now: float
    ) -> None:
        service = group.job.queue.service
        if service not in current.usable:
            current.usable[service] = self._fleet.usable(service, now)

    def _candidates(
        self, group: Group, current: PlacingRound, now: float
    ) -> list[Worker]:
        siblings = self._siblings(group)
        usable = current.usable[group.job.queue.service]
        found = suitable(group, usable, siblings)
        if (group.failures or group.failed_on) and not _may_hold(group, found):
            found = self._in_spite_of_failures(group, usable, siblings) or found
        if group.job.queue.advised:
            return self._advised(group, found, now)
        return found

    def _in_spite_of_failures(
        self,
        group: Group,
        usable: Sequence[Worker],
        siblings: dict[Worker, int],
    ) -> list[Worker]:
        """Returns all that it may use, none if those couldn't hold it."""
        avoided, group.failed_on = group.failed_on, set()
        found = suitable(group, usable, siblings, any_record=True)
        if _may_hold(group, found):
            return found
        group.failed_on = avoided
        return []

    def _advised(
        self, group: Group, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Returns workers with a ticket; asks about others if they are few."""
        ready = self._advice.usable(group, workers, now)
        if find_places(group, ready, free_room, True) is None:
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
        ends_at = now + self._expected.times.run_s(group)
        open_to_it = [
            each for each in candidates if current.is_open(each, group, ends_at)
        ]
        open_to_it = self._open_to(group, open_to_it, current, now)
        far = self._allow_far(group, current, now)
        places = None
        if group.job.queue.priority == 0:
            places = self._place_urgent(group, not_slow(open_to_it), current)
        if places is None:
            places = find_places(group, open_to_it, free_room, far)
        if places is None:
            return False
        self._runs.claim(group, places, now)
        current.claimed(places)
        if self._runs.may_start(group):
            self._runs.start(group, now)
        return True

    def _place_urgent(
        self, group: Group, workers: list[Worker], current: PlacingRound
    ) -> Places | None:
        """Returns free room, where it can on workers that nobody waits for."""
        others = [each for each in workers if each not in current.promised]
        places = find_places(group, others, free_room, False)
        if places is None and len(others) < len(workers):
            places = find_places(group, workers, free_room, False)
        return places

    def _allow_far(
        self, group: Group, current: PlacingRound, now: float
    ) -> bool:
        """Whether a group may run away from its data or spread over racks."""
        step = group.step
        if not step.data_rack and not step.same_rack:
            return True
        if not self._near_is_possible(group, now):
            return True
        idle = self._in_use(group, current) < IDLE_SHARE
        return idle and now - group.ready_at > self._far_after_s(group)

    def _far_after_s(self, group: Group) -> float:
        """Returns how long a group waits for room near before it runs far.

        Urgent work that runs far is late for certain: it waits until it would
        have ended sooner far. Other work has the time.
        """
        if group.job.queue.priority != 0:
            return FAR_WHEN_IDLE_S
        run_s = self._expected.times.run_s(group)
        return max(FAR_WHEN_IDLE_S, (self._cfg.far_factor - 1) * run_s)

    def _open_to(
        self,
        group: Group,
        workers: list[Worker],
        current: PlacingRound,
        now: float,
    ) -> list[Worker]:
        """Returns those workers that are not spared for more urgent groups."""
        in_use = self._in_use(group, current)
        return self._sparing.open_to(group, workers, in_use, now)

    def _in_use(self, group: Group, current: PlacingRound) -> float:
        """Returns the share of the group's service that is in use."""
        service = group.job.queue.service
        if service not in current.in_use:
            current.in_use[service] = self._fleet.share_in_use(service)
        return current.in_use[service]

    def _near_is_possible(self, group: Group, now: float) -> bool:
        """Whether the group would fit near its data if nothing else ran."""
        if group.failed_on:
            return self._fits_near(group)
        if now >= self._near_until:
            self._near.clear()
            self._near_until = now + NEAR_KNOWN_S
        key = placing_key(group, covered=False)
        if key not in self._near:
            self._near[key] = self._fits_near(group)
        return self._near[key]

    def _fits_near(self, group: Group) -> bool:
        """Looks at all workers, as those suspended or silent will be back."""
        workers = [
            each
            for each in self._fleet
            if each.info.service == group.job.queue.service
            and each.listed
            and not each.info.draining
        ]
        fitting = suitable(group, workers, {})
        return find_places(group, fitting, whole_room, False) is not None

    def _siblings(self, group: Group) -> dict[Worker, int]:
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

    # ---- room for a group that has none

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
        if current.kept_for >= MOST_KEPT and not urgent:
            return
        if not urgent and not starves(group, now):
            return
        if now < group.look_again_at:
            self._keep(group, current)
            return
        group.look_again_at = now + LOOK_AGAIN_S
        promised_at = group.kept_until if group.kept else float("inf")
        group.kept = ()
        candidates = self._candidates(group, current, now)
        open_to_it = self._open_to(group, candidates, current, now)
        plan = self._plan(group, open_to_it, current, now)
        waits_for = WaitsFor.ANY_ROOM if plan is None else WaitsFor.ROOM
        if urgent:
            wait_s = self._may_wait_s(group, covered, now, wall)
            too_late = plan is None or plan[0] > wait_s
            if too_late:
                refusal = self._preempt(
                    group, candidates, current, covered, now
                )
                if refusal is None:
                    return
                waits_for = refusal
        self._note_waiting(group, waits_for, plan, covered, now)
        if plan is not None:
            group.kept = tuple({each.worker_id for each in plan[1].values()})
            # What was started there meanwhile must not put it off.
            group.kept_until = min(now + plan[0], promised_at)
            self._keep(group, current)

    def _reserve(self, ready: list[Group], current: PlacingRound) -> None:
        """Has less urgent work leave alone what late gangs wait for.

        Work that can be on time goes first, so that a gang which can't would
        wait for whole workers for as long as small tasks keep coming.
        """
        late = [
            group
            for group in ready
            if group.kept
            and group.step.gang
            and group.job.standing is Standing.LATE
        ]
        for group in late[:MOST_RESERVED]:
            reserved = group.kept_until, group.job.queue.priority
            for worker in self._kept_workers(group):
                current.reserved[worker] = reserved

    def _promise(self, ready: list[Group], current: PlacingRound) -> None:
        """Notes which workers gangs wait for that don't go first.

        Urgent work takes them where there are no others: one worker less puts
        a gang off until as many side by side are free again.
        """
        waiting = [
            group
            for group in ready
            if group.kept and group.job.queue.priority != 0
        ]
        for group in waiting[:MOST_KEPT]:
            current.promised.update(self._kept_workers(group))

    def _note_waiting(
        self,
        group: Group,
        waits_for: WaitsFor,
        plan: tuple[float, Places] | None,
        covered: bool,
        now: float,
    ) -> None:
        """Says in the log why a group waits, whenever the reason changes."""
        if group.waits_for is waits_for:
            return
        group.waits_for = waits_for
        self._runs.note(
            "group waits",
            group,
            waits_for=waits_for.value,
            room_in_s=None if plan is None else plan[0],
            guaranteed=covered,
            standing=group.job.standing,
            waited_s=round(now - group.ready_at, 3),
            age_s=round(now - group.job.accepted_at, 3),
        )

    def _keep(self, group: Group, current: PlacingRound) -> None:
        """Keeps the workers of a group's last plan for it."""
        current.kept_for += bool(group.kept)
        for worker in self._kept_workers(group):
            current.kept_until.setdefault(worker, group.kept_until)

    def _kept_workers(self, group: Group) -> list[Worker]:
        """Returns the workers that are kept for a group and still known."""
        found = (self._fleet.get(each) for each in group.kept)
        return [each for each in found if each is not None]

    def _plan(
        self,
        group: Group,
        candidates: list[Worker],
        current: PlacingRound,
        now: float,
    ) -> tuple[float, Places] | None:
        """Returns when and where there will be room by itself."""
        far = self._allow_far(group, current, now)

        def places_after(after_s: float) -> Places | None:
            room = current.room_after(after_s)
            return find_places(group, candidates, room, far)

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

    def _effect_s(self) -> float:
        """Returns how long it takes until others have given way."""
        return self._cfg.stop_s + ORDER_SLACK_S

    def _may_wait_s(
        self, group: Group, covered: bool, now: float, wall: float
    ) -> float:
        """Returns how long a group of priority 0 may wait for room."""
        effect_s = self._effect_s()
        wait_s = self._expected.slack_s(group.job, wall) - effect_s
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
    ) -> WaitsFor | None:
        """Has others give way to a group of priority 0.

        A guarantee is always made good. Beyond it, others give way only
        where the harm is less than what the group is worth.

        Returns:
          Why nothing gives way; None when something does.
        """
        priority = group.job.queue.priority
        waited_s = now - group.ready_at
        last_chance = waited_s > self._cfg.reclaim_s - self._effect_s() - 0.2
        run_s = self._expected.times.run_s(group)
        worth = URGENT_WEIGHT * own_work(group, run_s)
        eviction, refusal = None, WaitsFor.VICTIMS
        for workers in (not_slow(candidates), candidates):
            found = find_eviction(
                group,
                workers,
                lambda other: (
                    other.job.queue.priority > priority and may_stop(other)
                ),
                (covered and last_chance)
                or not self._near_is_possible(group, now),
                current.harm,
            )
            if found is None:
                continue
            if covered or found.cost <= worth:
                eviction = found
                break
            refusal = WaitsFor.COST
        if eviction is None:
            return refusal
        self._runs.claim(group, eviction.places, now)
        current.claimed(eviction.places)
        for victim in eviction.victims:
            self._runs.take_down(victim, f"it gives way to {group.name}", now)
        if self._runs.may_start(group):
            self._runs.start(group, now)
        return None


def _may_hold(group: Group, workers: Sequence[Worker]) -> bool:
    """Whether a group would fit on workers if nothing else ran there."""
    return find_places(group, workers, whole_room, True) is not None
