"""Choice of an executor: power of two choices within the cheapest zone.

Two candidates are drawn and the one with the lower cost is chosen, after "The
Power of Two Choices" (Mitzenmacher, 2001), Finagle's balancers and Prequal
(NSDI 2024). The cost is the expected time of a request at the executor. It is
the product of three factors: the latency of the executor's successful answers
relative to the expected times of their classes; its requests in progress, from
this node and from other nodes as these and the executor report them; and a
penalty for failures. Failures that are answered fast don't lower the latency,
so that they don't attract work. While the best candidate has few free slots,
more are drawn.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

from pomeloarch_core.ids import ExecutorId, ZoneName
from pomeloarch_core.routing.ejection import Ejector, ExecutorHealth
from pomeloarch_core.routing.latency import DecayingMean
from pomeloarch_core.routing.leaving import LeavingExecutors
from pomeloarch_core.routing.messages import AttemptResult, Upstream
from pomeloarch_core.routing.zones import ZoneCosts

_SLOWNESS_HALF_LIFE_S = 2.0
# Lower bound of an executor's latency relative to the expected time.
_MIN_SLOWNESS = 0.25
_FAILURE_PENALTY = 20.0
_REMOTE_LOAD_HALF_LIFE_S = 0.5
# Slots of an executor in another zone that should stay free.
_REMOTE_HEADROOM_SLOTS = 1
_MAX_DRAW_ROUNDS = 6
# An executor is stalled if it gives no answer for this multiple of the baseline
# latency of the slowest class, but at least for this many seconds.
_MIN_STALL_TIMEOUT_S = 3.0
_STALL_TIMEOUT_FACTOR = 8.0
# Share of free slots above which a candidate is chosen without further draws.
_AMPLE_FREE_SHARE = 0.25


class ExecutorState:
    """This node's knowledge of one executor.

    Attributes:
      upstream: its entry in the platform's list.
      in_progress: requests of this node that it is running.
      health: whether it is given work.
      unanswered_since: start of the current period with work but without any
        answer, in seconds of the monotonic clock.
    """

    __slots__ = (
        "_cost_per_request",
        "_peer_load",
        "_remote_load",
        "_reported_load",
        "_slowness",
        "health",
        "in_progress",
        "unanswered_since",
        "upstream",
    )

    def __init__(self, upstream: Upstream, health: ExecutorHealth) -> None:
        """Starts with no requests in progress."""
        self.upstream = upstream
        self.health = health
        self.in_progress = 0
        self.unanswered_since = 0.0
        self._slowness = DecayingMean(_SLOWNESS_HALF_LIFE_S)
        self._remote_load = 0.0
        self._cost_per_request = 1.0
        self._peer_load = DecayingMean(_REMOTE_LOAD_HALF_LIFE_S)
        self._reported_load = DecayingMean(_REMOTE_LOAD_HALF_LIFE_S)

    def load(self) -> float:
        """Returns the best estimate of the requests at the executor.

        This node's own requests are exact. Those of other nodes are averaged
        over a short time: a single figure is outdated when it arrives, and
        nodes that all follow it overload the same executor.
        """
        return self.in_progress + self._remote_load

    def free_slots(self) -> float:
        """Returns how many more requests the executor can run at once."""
        return self.upstream.slots - self.in_progress - self._remote_load

    def cost(self) -> float:
        """Returns the expected time of one more request.

        The time is relative to the expected time of the request's class.
        """
        return self._cost_per_request * (
            self.in_progress + self._remote_load + 1.0
        )

    def record_end(
        self, result: AttemptResult, slowness: float, now: float
    ) -> None:
        """Records the end of an attempt that `health` has already recorded."""
        if result is AttemptResult.ANSWERED:
            self._slowness.add(slowness, now)
        slow = max(self._slowness.value, _MIN_SLOWNESS)
        failing = 1.0 + _FAILURE_PENALTY * self.health.failure_share
        self._cost_per_request = slow * failing

    def record_report(self, load: int, now: float) -> None:
        """Records the load that the executor reports.

        The request whose answer carried the report has ended and is not
        counted.
        """
        self._reported_load.add(max(0.0, load - 1.0 - self.in_progress), now)
        self._remote_load = max(
            self._peer_load.value, self._reported_load.value
        )

    def record_peer_load(self, requests: float, now: float) -> None:
        """Records how many requests the other nodes have at the executor."""
        self._peer_load.add(requests, now)
        self._remote_load = max(
            self._peer_load.value, self._reported_load.value
        )


class ExecutorPool:
    """The executors of one service and the choice among them.

    Args:
      zones: measured costs of the zones.
      rng: draws the candidates.
    """

    def __init__(self, zones: ZoneCosts, rng: random.Random) -> None:
        """Starts without executors."""
        self.zones = zones
        self.leaving = LeavingExecutors()
        self.ejector = Ejector(rng)
        self._rng = rng
        self._states: dict[ExecutorId, ExecutorState] = {}
        self._by_zone: dict[ZoneName, list[ExecutorState]] = {}
        self._zone_order: list[ZoneName] = []

    @property
    def states(self) -> Mapping[ExecutorId, ExecutorState]:
        """The state of each listed executor."""
        return self._states

    def replace(self, upstreams: Iterable[Upstream]) -> None:
        """Replaces the list; executors that stay listed keep their state."""
        listed = {each.executor_id: each for each in upstreams}
        for executor_id in self._states.keys() - listed.keys():
            self._states.pop(executor_id)
            self.ejector.forget(executor_id)
        for executor_id, upstream in listed.items():
            state = self._states.get(executor_id)
            if state is None:
                health = self.ejector.health(executor_id)
                self._states[executor_id] = ExecutorState(upstream, health)
            else:
                state.upstream = upstream
        self.leaving.update_listed(
            each.executor_id for each in listed.values() if each.leaving
        )
        self._by_zone = {}
        for state in self._states.values():
            zone = state.upstream.availability_zone
            self._by_zone.setdefault(zone, []).append(state)
        self.sort_zones()

    def sort_zones(self) -> None:
        """Sorts the zones by their current costs."""
        self._zone_order = self.zones.sorted_by_cost(self._by_zone)

    def update_peer_load(
        self, counts: Mapping[ExecutorId, int], now: float
    ) -> None:
        """Updates the requests in progress that other nodes report."""
        for executor_id, state in self._states.items():
            state.record_peer_load(counts.get(executor_id, 0), now)

    def slots(self) -> int:
        """Returns the total slots of the executors that may be given work."""
        return sum(
            state.upstream.slots
            for executor_id, state in self._states.items()
            if state.health.is_usable and executor_id not in self.leaving
        )

    def choose(
        self, now: float, exclude: Collection[ExecutorId] = ()
    ) -> ExecutorState | None:
        """Returns the executor for one more request, None if there is none.

        Args:
          now: the current time in seconds of the monotonic clock.
          exclude: executors already tried for this request.
        """
        fallback: ExecutorState | None = None
        for zone in self._zone_order:
            candidate = self._draw(zone, now, exclude)
            if candidate is None:
                continue
            headroom = 0 if zone == self.zones.own else _REMOTE_HEADROOM_SLOTS
            if candidate.free_slots() >= 1 + headroom:
                return candidate
            if fallback is None:
                fallback = candidate
        return fallback

    def begin(self, state: ExecutorState, now: float) -> None:
        """Counts a request that is sent to an executor."""
        if state.in_progress == 0:
            state.unanswered_since = now
        state.in_progress += 1

    def eject_stalled(
        self, slowest_baseline_s: float, now: float
    ) -> list[ExecutorId]:
        """Ejects executors that have work but don't answer any of it.

        A slow executor still answers from time to time; a stalled one does not.

        Args:
          slowest_baseline_s: baseline latency of the slowest class, in seconds.
          now: the current time in seconds of the monotonic clock.

        Returns:
          The executors that were ejected.
        """
        stall_timeout_s = max(
            _MIN_STALL_TIMEOUT_S, _STALL_TIMEOUT_FACTOR * slowest_baseline_s
        )
        return [
            executor_id
            for executor_id, state in self._states.items()
            if state.in_progress
            and now - state.unanswered_since > stall_timeout_s
            and self.ejector.eject(executor_id, now)
        ]

    def end(
        self,
        state: ExecutorState,
        result: AttemptResult,
        slowness: float,
        now: float,
    ) -> bool:
        """Records the end of an attempt.

        Args:
          state: the executor.
          result: how the attempt ended.
          slowness: the attempt's duration relative to the expected time of its
            class.
          now: the current time in seconds of the monotonic clock.

        Returns:
          Whether the executor was ejected.
        """
        state.in_progress -= 1
        executor_id = state.upstream.executor_id
        if result is AttemptResult.ABANDONED:
            return False
        state.unanswered_since = now
        if result is AttemptResult.REFUSED:
            return False
        ejected = self.ejector.record(executor_id, result, now)
        state.record_end(result, slowness, now)
        return ejected

    def _draw(
        self, zone: ZoneName, now: float, exclude: Collection[ExecutorId]
    ) -> ExecutorState | None:
        """Draws two candidates, and more while the best has few free slots."""
        states = self._by_zone[zone]
        best: ExecutorState | None = None
        for _ in range(_MAX_DRAW_ROUNDS):
            for _ in range(2):
                state = states[int(self._rng.random() * len(states))]
                if state is best or not self._is_eligible(state, now, exclude):
                    continue
                if best is None or _rank(state) < _rank(best):
                    best = state
            if (
                best is not None
                and best.free_slots() >= _AMPLE_FREE_SHARE * best.upstream.slots
            ):
                return best
        if best is None:
            best = self._choose_any_usable(states, exclude)
        return best

    def _choose_any_usable(
        self, states: list[ExecutorState], exclude: Collection[ExecutorId]
    ) -> ExecutorState | None:
        """Returns a random usable executor when no eligible one was drawn."""
        usable = [
            state
            for state in states
            if state.health.is_usable
            and state.upstream.executor_id not in self.leaving
            and state.upstream.executor_id not in exclude
        ]
        return self._rng.choice(usable) if usable else None

    def _is_eligible(
        self,
        state: ExecutorState,
        now: float,
        exclude: Collection[ExecutorId],
    ) -> bool:
        executor_id = state.upstream.executor_id
        if executor_id in exclude or executor_id in self.leaving:
            return False
        weight = state.health.weight(now)
        return weight >= 1.0 or self._rng.random() < weight


def _rank(state: ExecutorState) -> tuple[bool, float]:
    """Sorts executors with a free slot first, then by cost."""
    return state.free_slots() < 1.0, state.cost()
