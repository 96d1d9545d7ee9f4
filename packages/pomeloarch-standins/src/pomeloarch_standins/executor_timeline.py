"""Executors in virtual time: slots, queues, links and faults, no sockets."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from pomeloarch_core.ids import ExecutorId, ZoneName
from pomeloarch_core.routing import AttemptResult, Upstream
from pomeloarch_standins.executor_faults import Fault

OWN_ZONE_ONE_WAY_S = 0.00025
OTHER_ZONE_ONE_WAY_S = 0.0035
_RETRANSMIT_S = 0.2
_FAST_FAILURE_S = 0.0002
_CONNECT_TIMEOUT_S = 1.0
_SLOW_FACTOR = 10.0


class Timeline:
    """Events in the order of their virtual time.

    Attributes:
      now: the present virtual time in seconds.
    """

    def __init__(self) -> None:
        """Starts at time zero without events."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()

    def at(self, time: float, event: Callable[..., None], *args: Any) -> None:
        """Lets something happen at a time, in seconds."""
        heapq.heappush(
            self._events, (max(time, self.now), next(self._order), event, args)
        )

    def after(
        self, pause: float, event: Callable[..., None], *args: Any
    ) -> None:
        """Lets something happen after a pause, in seconds."""
        self.at(self.now + pause, event, *args)

    def run(self, until: float) -> None:
        """Lets everything happen up to a time, in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event, args = heapq.heappop(self._events)
            event(*args)
        self.now = until


class TryEnd:
    """What a node hears of one try.

    Attributes:
      result: how it ended.
      load: the load that the executor reported, None if it didn't.
      draining: whether the executor said that it is leaving.
    """

    __slots__ = ("draining", "load", "result")

    def __init__(
        self,
        result: AttemptResult,
        load: int | None = None,
        draining: bool = False,
    ) -> None:
        """Keeps how the try ended."""
        self.result = result
        self.load = load
        self.draining = draining


Answered = Callable[[TryEnd], None]


class FakeExecutor:
    """An executor in virtual time.

    Args:
      timeline: the virtual time.
      upstream: its entry in the platform's list.

    Attributes:
      fault: how it goes bad.
      runs: how often each request ran.
      most_load: the most requests that it had at once.
      offered_at: when each request arrived, refused ones too, in seconds.
      overfilled: requests that arrived while all slots were taken.
    """

    def __init__(self, timeline: Timeline, upstream: Upstream) -> None:
        """Starts idle and good."""
        self.upstream = upstream
        self.fault = Fault.NONE
        self.runs: Counter[int] = Counter()
        self.most_load = 0
        self.offered_at: list[float] = []
        self.overfilled = 0
        self._timeline = timeline
        self._running = 0
        self._queue: deque[tuple[int, float, Answered]] = deque()

    @property
    def load(self) -> int:
        """Requests that it runs or keeps waiting."""
        return self._running + len(self._queue)

    def receive(self, number: int, work_s: float, answered: Answered) -> None:
        """Takes a request that arrives now; answers after its work.

        Args:
          number: the request's number.
          work_s: slot time that it takes, in seconds.
          answered: called with the answer as it leaves.
        """
        self.offered_at.append(self._timeline.now)
        self.overfilled += self.load >= self.upstream.slots
        if self.fault is Fault.DRAIN:
            answered(TryEnd(AttemptResult.REFUSED, draining=True))
            return
        if self.fault is Fault.FAST_FAIL:
            self.runs[number] += 1
            self._timeline.after(
                _FAST_FAILURE_S, answered, TryEnd(AttemptResult.FAILED, load=0)
            )
            return
        if self.fault is Fault.SLOW:
            work_s *= _SLOW_FACTOR
        self._queue.append((number, work_s, answered))
        self.most_load = max(self.most_load, self.load)
        self._start()

    def _start(self) -> None:
        while self._queue and self._running < self.upstream.slots:
            number, work_s, answered = self._queue.popleft()
            self._running += 1
            self.runs[number] += 1
            if self.fault is not Fault.STALL:
                self._timeline.after(work_s, self._end, answered)

    def _end(self, answered: Answered) -> None:
        load = 0 if self.fault is Fault.LYING else self.load
        self._running -= 1
        result = AttemptResult.ANSWERED
        if self.fault in (Fault.TRUNCATE, Fault.RESET):
            result = AttemptResult.BROKEN
        answered(TryEnd(result, load=load))
        self._start()


class Links:
    """The ways between zones: delay, loss, and cuts.

    Args:
      timeline: the virtual time.
      rng: draws losses.
      loss: the part of messages between zones that is sent again.
    """

    def __init__(
        self, timeline: Timeline, rng: random.Random, loss: float = 0.01
    ) -> None:
        """Starts with no zone cut off."""
        self.cut: set[ZoneName] = set()
        self.one_way_s: dict[tuple[ZoneName, ZoneName], float] = {}
        self._timeline = timeline
        self._rng = rng
        self._loss = loss

    def delay_s(self, here: ZoneName, there: ZoneName) -> float:
        """Draws the time of one message between zones, in seconds."""
        if here == there:
            return OWN_ZONE_ONE_WAY_S
        delay = self.one_way_s.get((here, there), OTHER_ZONE_ONE_WAY_S)
        delay *= self._rng.uniform(1.0, 1.3)
        if self._rng.random() < self._loss:
            delay += _RETRANSMIT_S
        return delay

    def is_cut(self, here: ZoneName, there: ZoneName) -> bool:
        """Returns whether no message passes between two zones."""
        return here != there and (here in self.cut or there in self.cut)

    def send(
        self,
        here: ZoneName,
        executor: FakeExecutor,
        number: int,
        work_s: float,
        answered: Answered,
    ) -> None:
        """Sends a request to an executor and brings its answer back."""
        there = executor.upstream.availability_zone
        if self.is_cut(here, there):
            self._timeline.after(
                _CONNECT_TIMEOUT_S, answered, TryEnd(AttemptResult.NOT_SENT)
            )
            return
        if executor.fault is Fault.DEAD:
            self._timeline.after(
                2.0 * self.delay_s(here, there),
                answered,
                TryEnd(AttemptResult.NOT_SENT),
            )
            return

        def _back(end: TryEnd) -> None:
            if not self.is_cut(here, there):
                self._timeline.after(self.delay_s(there, here), answered, end)

        self._timeline.after(
            self.delay_s(here, there), executor.receive, number, work_s, _back
        )


def make_upstreams(
    zones: list[ZoneName], per_zone: int, slots: int = 8
) -> list[Upstream]:
    """Returns the executors of a service, as many in each zone."""
    return [
        Upstream(
            executor_id=ExecutorId(f"{zone}-{index}"),
            availability_zone=zone,
            address=f"{zone}-{index}",
            slots=slots,
        )
        for zone in zones
        for index in range(per_zone)
    ]
