"""Measures gang scheduling and a naive first come, first served scheduler.

The zones of both firms run in virtual time under the same load. Decision times
and memory are measured on fleets of several sizes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import JobSpec, JobState
from pomeloarch_core.ids import Epoch, RackId, WorkerId, ZoneName
from pomeloarch_core.objects.model import Adjacency
from pomeloarch_standins.gang_decisions import decision_rows
from pomeloarch_standins.gang_load import (
    ARRIVALS_S,
    FIRMS,
    Arrival,
    Firm,
    arrivals,
    make_pool,
    make_snapshot,
)
from pomeloarch_standins.gang_world import GangWorld, worker_infos
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.naive_gang import FifoScheduler, can_place

_VARIANTS = {"product": ZoneScheduler, "naive": FifoScheduler}
# Time between two samples of the use of accelerators, in seconds.
_SAMPLE_INTERVAL_S = 5.0
# Longest time to wait for the remaining jobs, in seconds.
_DRAIN_S = 900.0
# Smallest size of a large gang, in accelerators.
_LARGE_GANG = 16


class _LoadRun:
    """One scheduler under the load of one firm.

    Attributes:
      used: the sampled shares of accelerators in use.
      fragmentation: the sampled shares of free accelerators that the largest
        waiting gang can't use.
    """

    def __init__(self, firm: Firm, variant: str, seed: int) -> None:
        self.firm = firm
        rng = random.Random(seed)
        self.arrivals = arrivals(firm, rng)
        scheduler = _VARIANTS[variant].from_config(
            make_snapshot(firm),
            ZoneName(firm.zone),
            Epoch(1),
            0.0,
            random.Random(seed),
        )
        self.world = GangWorld(scheduler, Epoch(1), rng)
        self.world.heartbeat_s = 2.0
        self.world.tick_s = 0.5
        self.used: list[float] = []
        self.fragmentation: list[float] = []

    def run(self) -> None:
        world = self.world
        world.set_fleet(worker_infos(make_pool(self.firm)))
        world.advance(2.0)
        next_sample = world.now
        for arrival in self.arrivals:
            while next_sample < arrival.at:
                self._advance_to(next_sample)
                self._sample()
                next_sample += _SAMPLE_INTERVAL_S
            self._advance_to(arrival.at)
            world.submit(arrival.spec, arrival.run_s)
        while world.now < ARRIVALS_S + _DRAIN_S and self._unfinished():
            world.advance(_SAMPLE_INTERVAL_S)

    def _advance_to(self, at: float) -> None:
        if at > self.world.now:
            self.world.advance(at - self.world.now)

    def _sample(self) -> None:
        status = self.world.scheduler.status()  # type: ignore[attr-defined]
        workers = self.world.workers.values()
        running = sum(
            len(task.order.accelerators)
            for worker in workers
            for task in worker.tasks.values()
            if task.state.value == "running"
        )
        self.used.append(running / status.accelerators)
        waiting = [
            record.spec
            for record in self.world.table.values()
            if record.state is JobState.QUEUED
        ]
        largest = max(
            waiting, key=lambda s: s.members * s.accelerators, default=None
        )
        if largest and largest.members * largest.accelerators >= _LARGE_GANG:
            self.fragmentation.append(self._unusable_share(largest))

    def _unusable_share(self, spec: JobSpec) -> float:
        """Returns the share of free accelerators that a gang can't use."""
        free = {
            worker_id: worker.info.accelerators - len(worker.used)
            for worker_id, worker in self.world.workers.items()
        }
        racks: dict[RackId, list[WorkerId]] = {}
        for worker_id, worker in self.world.workers.items():
            racks.setdefault(worker.info.rack, []).append(worker_id)
        total = sum(free.values())
        size = spec.accelerators
        fits = can_place(racks, free, spec.members, size, Adjacency.RACK)
        if fits or not total:
            return 0.0
        usable = sum(count // size * size for count in free.values())
        return 1.0 - usable / total

    def _unfinished(self) -> bool:
        return any(not r.state.is_final for r in self.world.table.values())

    def completion_s(self, arrival: Arrival) -> float:
        """Returns a job's completion time, in seconds.

        A job that did not succeed counts until the end of the simulation.
        """
        job_id = arrival.spec.job_id
        ended = self.world.ended_at.get(job_id, self.world.now)
        if self.world.table[job_id].state is not JobState.SUCCEEDED:
            ended = self.world.now
        return ended - self.world.submitted_at[job_id]

    def wait_s(self, arrival: Arrival) -> float:
        job_id = arrival.spec.job_id
        started = self.world.first_started_at.get(job_id, self.world.now)
        return started - self.world.submitted_at[job_id]


def rows(seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Yields all rows of this suite."""
    for seed in seeds:
        for firm in FIRMS:
            for variant in _VARIANTS:
                yield from _load_rows(firm, variant, seed)
        yield from decision_rows(seed)


def _load_rows(firm: Firm, variant: str, seed: int) -> Iterator[MeasureRow]:
    run = _LoadRun(firm, variant, seed)
    run.run()
    for measure, case, value, unit in _figures(run):
        yield MeasureRow(
            measure=f"gang_{measure}",
            case=f"{firm.name} {case}".strip(),
            variant="product" if variant == "product" else "naive",
            seed=seed,
            value=value,
            unit=unit,
        )


_Figure = tuple[str, str, float, str]


def _figures(run: _LoadRun) -> Iterator[_Figure]:
    own = [a for a in run.arrivals if not a.flood]
    reclaims = [a for a in own if a.spec.organisation == "owner"]
    others = [a for a in own if a.spec.organisation != "owner"]
    for name in ("counter", "certificate", "standard", "batch"):
        of_class = [a for a in others if a.spec.job_class == name]
        times = [run.completion_s(a) for a in of_class]
        yield "completion_p50", name, percentile(times, 0.5), "s"
        yield "completion_p99", name, percentile(times, 0.99), "s"
    slowdowns = [run.completion_s(a) / max(1.0, a.run_s) for a in others]
    yield "slowdown_mean", "", mean(slowdowns), "ratio"
    small = [
        run.completion_s(a) / max(1.0, a.run_s)
        for a in others
        if a.spec.organisation == "small"
    ]
    yield "slowdown_mean", "small callers", mean(small), "ratio"
    yield "use", "", mean(run.used), "share"
    yield "fragmentation", "", mean(run.fragmentation), "share"
    gangs = [
        run.wait_s(a)
        for a in others
        if a.spec.members * a.spec.accelerators >= _LARGE_GANG
    ]
    yield "large_gang_wait_mean", "", mean(gangs), "s"
    yield "large_gang_wait_max", "", max(gangs, default=0.0), "s"
    waits = [run.wait_s(a) for a in reclaims]
    yield "reclaim_mean", "", mean(waits), "s"
    yield "reclaim_max", "", max(waits), "s"
    yield from _flood_figures(run, others)


def _flood_figures(run: _LoadRun, others: list[Arrival]) -> Iterator[_Figure]:
    urgent = [a for a in others if a.spec.job_class == "counter"]
    # During the urgent flood and its backlog, urgent jobs wait for each other.
    calm = [run.wait_s(a) for a in urgent if not 550.0 <= a.at < 700.0]
    yield "urgent_start_p50", "", percentile(calm, 0.5), "s"
    yield "urgent_start_p99", "", percentile(calm, 0.99), "s"
    floods = {"batch flood": (250.0, 330.0), "urgent flood": (550.0, 630.0)}
    for name, (since, until) in floods.items():
        waits = [
            run.wait_s(a)
            for a in others
            if since <= a.at < until and a.spec.job_class == "standard"
        ]
        yield "standard_wait_mean", name, mean(waits), "s"


def mean(values: list[float]) -> float:
    """Returns the mean, 0 for no values."""
    return sum(values) / len(values) if values else 0.0


def percentile(values: list[float], share: float) -> float:
    """Returns the value that the given share of the values does not exceed.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, round(share * len(ordered)) - 1)]
