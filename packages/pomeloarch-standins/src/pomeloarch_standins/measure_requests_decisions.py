"""Measures the processor time of the decisions for one request."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable, Iterator

from pomeloarch_core.ids import ServiceName, ZoneName
from pomeloarch_core.routing import (
    AttemptResult,
    Flow,
    ServiceRouter,
    Ticket,
    TicketState,
    ZoneCosts,
)
from pomeloarch_standins.executor_bench import flow
from pomeloarch_standins.executor_timeline import make_upstreams
from pomeloarch_standins.measure import MeasureRow

_ZONES = [ZoneName(name) for name in ("patan", "bhaktapur", "boudha")]
# Numbers of executors and of callers.
_SIZES = ((24, 10), (24, 10_000), (2400, 10), (2400, 10_000))
_REQUESTS = 20_000
# Number of waiting requests above which each new one lets another be admitted.
_MAX_WAITING = 2_000
# Virtual time between two requests, in seconds.
_STEP_S = 0.0005
_MICROSECONDS = 1e6


def decision_rows() -> Iterator[MeasureRow]:
    """Yields the total time of the decisions for one request."""
    for executors, callers in _SIZES:
        flows = [
            flow("standard", f"firm-{index % 4}", f"caller-{index}")
            for index in range(callers)
        ]
        case = f"{executors} executors, {callers} callers"
        product = _ProductDecisions(executors)
        for name, run in (
            ("decision time", product.run_idle),
            ("decision time, queue full", product.run_queued),
        ):
            yield MeasureRow(
                name, case, "product", 1, _time_per_call(run, flows), "us"
            )
        yield MeasureRow(
            "decision time",
            case,
            "naive",
            1,
            _time_per_call(_NaiveDecisions(executors).run, flows),
            "us",
        )


def _time_per_call(
    run: Callable[[list[Flow], int], None], flows: list[Flow]
) -> float:
    run(flows, _REQUESTS // 10)
    started = time.process_time()
    run(flows, _REQUESTS)
    spent = time.process_time() - started
    return spent / _REQUESTS * _MICROSECONDS


class _ProductDecisions:
    def __init__(self, executors: int) -> None:
        self._rng = random.Random(1)
        self._now = 0.0
        self._router = ServiceRouter(
            ServiceName("service"), {}, {}, ZoneCosts(_ZONES[0]), self._rng
        )
        self._router.replace_upstreams(
            make_upstreams(_ZONES, executors // len(_ZONES))
        )

    def run_idle(self, flows: list[Flow], count: int) -> None:
        """Admits, places and completes one request after another."""
        for index in range(count):
            self._now += _STEP_S
            ticket = Ticket(flows[index % len(flows)], self._now + 10.0)
            self._router.admission.submit(ticket, self._now)
            self._place(ticket)

    def run_queued(self, flows: list[Flow], count: int) -> None:
        """Queues one request and admits another while the queue is full."""
        admission = self._router.admission
        running: deque[Ticket] = deque()
        submitted = 0
        while submitted < count:
            self._now += _STEP_S
            ticket = Ticket(flows[submitted % len(flows)], self._now + 1e4)
            admission.submit(ticket, self._now)
            submitted += 1
            if ticket.state is TicketState.ADMITTED:
                running.append(ticket)
            if admission.waiting >= min(_MAX_WAITING, count // 2) or (
                ticket.state is TicketState.DONE
            ):
                self._place(running.popleft())
                following = admission.admit_next(self._now)
                if following is not None:
                    running.append(following[0])
        while running:
            self._place(running.popleft())
            following = admission.admit_next(self._now)
            if following is not None:
                running.append(following[0])

    def _place(self, ticket: Ticket) -> None:
        router = self._router
        router.budget.record_request(self._now)
        state = router.choose(self._now)
        if state is None:
            raise AssertionError("no executor can be given a request")
        router.pool.begin(state, self._now)
        router.pool.end(state, AttemptResult.ANSWERED, 1.0, self._now)
        state.record_report(3, self._now)
        router.admission.release(ticket, self._now)


class _NaiveDecisions:
    def __init__(self, executors: int) -> None:
        self._executors = list(range(executors))
        self._queue: deque[Flow] = deque()
        self._next = 0

    def run(self, flows: list[Flow], count: int) -> None:
        """Queues each request and selects the next executor for it."""
        for index in range(count):
            self._queue.append(flows[index % len(flows)])
            self._queue.popleft()
            self._next = (self._next + 1) % len(self._executors)
