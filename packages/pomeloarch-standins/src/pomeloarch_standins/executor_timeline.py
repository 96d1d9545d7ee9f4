"""Executors in virtual time with slots, queues, links and faults."""

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

# One-way delay of a message within a zone, in seconds.
OWN_ZONE_ONE_WAY_S = 0.00025
# One-way delay of a message between two zones, in seconds.
OTHER_ZONE_ONE_WAY_S = 0.0035
# Additional delay of a message that is lost and retransmitted, in seconds.
_RETRANSMIT_S = 0.2
# Time until an executor with the fault `FAST_FAIL` answers, in seconds.
_FAST_FAILURE_S = 0.0002
# Time after which connecting to an unreachable zone fails, in seconds.
_CONNECT_TIMEOUT_S = 1.0
# How many times as long work takes on an executor with the fault `SLOW`.
_SLOW_FACTOR = 10.0


class Timeline:
    """A queue of events that run in the order of their virtual time.

    Attributes:
      now: the present virtual time, in seconds.
    """

    def __init__(self) -> None:
        """Creates a timeline at time 0 without events."""
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()

    def at(self, time: float, event: Callable[..., None], *args: Any) -> None:
        """Schedules a call for a time, in seconds."""
        heapq.heappush(
            self._events, (max(time, self.now), next(self._order), event, args)
        )

    def after(
        self, delay_s: float, event: Callable[..., None], *args: Any
    ) -> None:
        """Schedules a call after a delay, in seconds."""
        self.at(self.now + delay_s, event, *args)

    def run(self, until: float) -> None:
        """Runs the events up to a time, in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event, args = heapq.heappop(self._events)
            event(*args)
        self.now = until


class AttemptEnd:
    """The end of one attempt as a node observes it.

    Attributes:
      result: the result of the attempt.
      load: the load that the executor reported, None when it reported none.
      draining: whether the executor announced that it is leaving.
    """

    __slots__ = ("draining", "load", "result")

    def __init__(
        self,
        result: AttemptResult,
        load: int | None = None,
        draining: bool = False,
    ) -> None:
        """Stores the result of the attempt."""
        self.result = result
        self.load = load
        self.draining = draining


OnEnd = Callable[[AttemptEnd], None]


class FakeExecutor:
    """A simulated executor in virtual time.

    Args:
      timeline: the virtual time.
      upstream: its entry in the platform's list.

    Attributes:
      fault: its present fault.
      runs: how often each request ran, by number.
      peak_load: the largest number of requests that it had at once.
      arrival_times: the arrival time of each request, including refused ones,
        in seconds.
      overloads: the number of requests that arrived while all slots were
        taken.
    """

    def __init__(self, timeline: Timeline, upstream: Upstream) -> None:
        """Creates an idle executor without faults."""
        self.upstream = upstream
        self.fault = Fault.NONE
        self.runs: Counter[int] = Counter()
        self.peak_load = 0
        self.arrival_times: list[float] = []
        self.overloads = 0
        self._timeline = timeline
        self._running = 0
        self._queue: deque[tuple[int, float, OnEnd]] = deque()

    @property
    def load(self) -> int:
        """The number of requests that run or wait."""
        return self._running + len(self._queue)

    def receive(self, number: int, work_s: float, on_end: OnEnd) -> None:
        """Accepts a request that arrives now and answers after its work.

        Args:
          number: the request's number.
          work_s: the slot time that it takes, in seconds.
          on_end: called with the answer when it is sent.
        """
        self.arrival_times.append(self._timeline.now)
        self.overloads += self.load >= self.upstream.slots
        if self.fault is Fault.DRAIN:
            on_end(AttemptEnd(AttemptResult.REFUSED, draining=True))
            return
        if self.fault is Fault.FAST_FAIL:
            self.runs[number] += 1
            self._timeline.after(
                _FAST_FAILURE_S,
                on_end,
                AttemptEnd(AttemptResult.FAILED, load=0),
            )
            return
        if self.fault is Fault.SLOW:
            work_s *= _SLOW_FACTOR
        self._queue.append((number, work_s, on_end))
        self.peak_load = max(self.peak_load, self.load)
        self._start()

    def _start(self) -> None:
        while self._queue and self._running < self.upstream.slots:
            number, work_s, on_end = self._queue.popleft()
            self._running += 1
            self.runs[number] += 1
            if self.fault is not Fault.STALL:
                self._timeline.after(work_s, self._end, on_end)

    def _end(self, on_end: OnEnd) -> None:
        load = 0 if self.fault is Fault.LYING else self.load
        self._running -= 1
        result = AttemptResult.ANSWERED
        if self.fault in (Fault.TRUNCATE, Fault.RESET):
            result = AttemptResult.BROKEN
        on_end(AttemptEnd(result, load=load))
        self._start()


class Links:
    """The network between zones, with delays, losses and partitions.

    Args:
      timeline: the virtual time.
      rng: draws delays and losses.
      loss: the share of messages between zones that are retransmitted.

    Attributes:
      cut: the zones that are cut off from all others.
      one_way_s: delays of pairs of zones that differ from the default, in
        seconds.
    """

    def __init__(
        self, timeline: Timeline, rng: random.Random, loss: float = 0.01
    ) -> None:
        """Creates a network without partitions."""
        self.cut: set[ZoneName] = set()
        self.one_way_s: dict[tuple[ZoneName, ZoneName], float] = {}
        self._timeline = timeline
        self._rng = rng
        self._loss = loss

    def delay_s(self, source: ZoneName, target: ZoneName) -> float:
        """Draws the delay of one message between zones, in seconds."""
        if source == target:
            return OWN_ZONE_ONE_WAY_S
        delay = self.one_way_s.get((source, target), OTHER_ZONE_ONE_WAY_S)
        delay *= self._rng.uniform(1.0, 1.3)
        if self._rng.random() < self._loss:
            delay += _RETRANSMIT_S
        return delay

    def is_cut(self, source: ZoneName, target: ZoneName) -> bool:
        """Returns whether two zones are partitioned from each other."""
        return source != target and (source in self.cut or target in self.cut)

    def send(
        self,
        source: ZoneName,
        executor: FakeExecutor,
        number: int,
        work_s: float,
        on_end: OnEnd,
    ) -> None:
        """Sends a request to an executor and delivers its answer."""
        target = executor.upstream.availability_zone
        if self.is_cut(source, target):
            self._timeline.after(
                _CONNECT_TIMEOUT_S, on_end, AttemptEnd(AttemptResult.NOT_SENT)
            )
            return
        if executor.fault is Fault.DEAD:
            self._timeline.after(
                2.0 * self.delay_s(source, target),
                on_end,
                AttemptEnd(AttemptResult.NOT_SENT),
            )
            return

        def _return_answer(end: AttemptEnd) -> None:
            if not self.is_cut(source, target):
                self._timeline.after(self.delay_s(target, source), on_end, end)

        self._timeline.after(
            self.delay_s(source, target),
            executor.receive,
            number,
            work_s,
            _return_answer,
        )


def make_upstreams(
    zones: list[ZoneName], per_zone: int, slots: int = 8
) -> list[Upstream]:
    """Returns the executors of a service, `per_zone` in each zone."""
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
