"""Choice of an executor: power of two choices within the cheapest zone.

Two candidates are drawn and the one with the lower cost is taken, after
"The Power of Two Choices" (Mitzenmacher, 2001), Finagle's balancers and
Prequal (NSDI 2024). The cost is the expected time there: the latency of its
good answers over the usual one of their classes, times what it has in
progress from this node, from the others and by its own report, times a
penalty for failures. Failures answered fast don't lower the latency, so that
they don't attract work. While the best has few free slots, more are drawn.
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
_LEAST_SLOWNESS = 0.25
_FAILURE_PENALTY = 20.0
_LOAD_HALF_LIFE_S = 0.5
_REMOTE_HEADROOM = 1
_ROUNDS = 6
_STALLED_AFTER_S = 3.0
_STALLED_FACTOR = 8.0
_AMPLE_SHARE = 0.25


class ExecutorState:
    """What this node knows of one executor.

    Attributes:
      upstream: its entry in the platform's list.
      in_progress: requests of this node that it works on.
      health: whether it is given work.
      waiting_since: since when it has had work without any answer, in
        seconds of the clock.
    """

    __slots__ = (
        "_others",
        "_reported",
        "_slowness",
        "_told",
        "_unit_cost",
        "health",
        "in_progress",
        "upstream",
        "waiting_since",
    )

    def __init__(self, upstream: Upstream, health: ExecutorHealth) -> None:
        """Starts with nothing in progress."""
        self.upstream = upstream
        self.health = health
        self.in_progress = 0
        self.waiting_since = 0.0
        self._slowness = DecayingMean(_SLOWNESS_HALF_LIFE_S)
        self._others = 0.0
        self._unit_cost = 1.0
        self._told = DecayingMean(_LOAD_HALF_LIFE_S)
        self._reported = DecayingMean(_LOAD_HALF_LIFE_S)

    def load(self) -> float:
        """Returns the requests that it has by the best knowledge.

        This node's own are exact. The others' are means over a moment:
        figures of an instant are old when they arrive, and nodes that all
        follow them crowd the same executor.
        """
        return self.in_progress + self._others

    def free_slots(self) -> float:
        """Returns how many more requests it can run at once."""
        return self.upstream.slots - self.in_progress - self._others

    def cost(self) -> float:
        """Returns the expected time of one more request, in usual times."""
        return self._unit_cost * (self.in_progress + self._others + 1.0)

    def record_end(
        self, result: AttemptResult, slowness: float, now: float
    ) -> None:
        """Takes the end of a try in, once its health has heard of it."""
        if result is AttemptResult.ANSWERED:
            self._slowness.add(slowness, now)
        slow = max(self._slowness.value, _LEAST_SLOWNESS)
        failing = 1.0 + _FAILURE_PENALTY * self.health.failure_share
        self._unit_cost = slow * failing

    def record_report(self, load: int, now: float) -> None:
        """Takes in what the executor says of its own load.

        The request that carried the report has ended, so it isn't counted.
        """
        self._reported.add(max(0.0, load - 1.0 - self.in_progress), now)
        self._others = max(self._told.value, self._reported.value)

    def record_elsewhere(self, requests: float, now: float) -> None:
        """Takes in what the other nodes say that they have there."""
        self._told.add(requests, now)
        self._others = max(self._told.value, self._reported.value)


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
        """All executors in the list."""
        return self._states

    def replace(self, upstreams: Iterable[Upstream]) -> None:
        """Takes a newer list; executors on both keep what is known."""
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
        self.leaving.take_list(
            each.executor_id for each in listed.values() if each.leaving
        )
        self._by_zone = {}
        for state in self._states.values():
            zone = state.upstream.availability_zone
            self._by_zone.setdefault(zone, []).append(state)
        self.order_zones()

    def order_zones(self) -> None:
        """Puts the zones in the order of their present costs."""
        self._zone_order = self.zones.ordered(self._by_zone)

    def take_elsewhere(
        self, counts: Mapping[ExecutorId, int], now: float
    ) -> None:
        """Takes in what the other nodes have in progress."""
        for executor_id, state in self._states.items():
            state.record_elsewhere(counts.get(executor_id, 0), now)

    def slots(self) -> int:
        """Returns the slots of all executors that may be given work."""
        return sum(
            state.upstream.slots
            for executor_id, state in self._states.items()
            if state.health.usable and executor_id not in self.leaving
        )

    def choose(
        self, now: float, exclude: Collection[ExecutorId] = ()
    ) -> ExecutorState | None:
        """Returns the executor for one more request, None if there is none.

        Args:
          now: the present time in seconds of the clock.
          exclude: executors that this request has been tried at.
        """
        fallback: ExecutorState | None = None
        for zone in self._zone_order:
            found = self._draw(zone, now, exclude)
            if found is None:
                continue
            headroom = 0 if zone == self.zones.own else _REMOTE_HEADROOM
            if found.free_slots() >= 1 + headroom:
                return found
            if fallback is None:
                fallback = found
        return fallback

    def begin(self, state: ExecutorState, now: float) -> None:
        """Counts a request that is sent to an executor."""
        if state.in_progress == 0:
            state.waiting_since = now
        state.in_progress += 1

    def eject_stalled(self, longest_s: float, now: float) -> list[ExecutorId]:
        """Ejects executors that have work and have answered none of it.

        A slow executor still answers now and then; a stalled one does not.

        Args:
          longest_s: the usual time of the slowest class, in seconds.
          now: the present time in seconds of the clock.
        """
        patience = max(_STALLED_AFTER_S, _STALLED_FACTOR * longest_s)
        return [
            executor_id
            for executor_id, state in self._states.items()
            if state.in_progress
            and now - state.waiting_since > patience
            and self.ejector.eject(executor_id, now)
        ]

    def end(
        self,
        state: ExecutorState,
        result: AttemptResult,
        slowness: float,
        now: float,
    ) -> bool:
        """Takes a try's end in; returns whether its executor was ejected.

        Args:
          state: the executor.
          result: how the try ended.
          slowness: how long it took, over the usual time of its class.
          now: the present time in seconds of the clock.
        """
        state.in_progress -= 1
        executor_id = state.upstream.executor_id
        if result is AttemptResult.ABANDONED:
            return False
        state.waiting_since = now
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
        for _ in range(_ROUNDS):
            for _ in range(2):
                state = states[int(self._rng.random() * len(states))]
                if state is best or not self._accepts(state, now, exclude):
                    continue
                if best is None or _rank(state) < _rank(best):
                    best = state
            if (
                best is not None
                and best.free_slots() >= _AMPLE_SHARE * best.upstream.slots
            ):
                return best
        if best is None:
            best = self._any(states, exclude)
        return best

    def _any(
        self, states: list[ExecutorState], exclude: Collection[ExecutorId]
    ) -> ExecutorState | None:
        """Returns an executor at random when no acceptable one was drawn."""
        usable = [
            state
            for state in states
            if state.health.usable
            and state.upstream.executor_id not in self.leaving
            and state.upstream.executor_id not in exclude
        ]
        return self._rng.choice(usable) if usable else None

    def _accepts(
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
    """Orders executors: those with a free slot first, then by cost."""
    return state.free_slots() < 1.0, state.cost()
