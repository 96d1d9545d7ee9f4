"""Random loads of batch jobs, and the records of what became of them.

A load names the pattern of arrivals that it stands for. Its jobs are drawn
from a seed, so that two versions of the scheduler get the same ones.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import msgspec

from pomeloarch_core.batch.catalogue import Catalogue, Tenant
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.ids import (
    Generation,
    JobId,
    OrganisationName,
    ServiceName,
)

SERVICE = ServiceName("appraisals")
CORE = 1_000
GB = 1_000


class JobKind(msgspec.Struct, frozen=True):
    """The jobs of one queue; widths and run times have lognormal spreads.

    Attributes:
      queue: the queue that they are submitted to.
      need: what each task takes, besides accelerators.
      accelerators: the numbers of accelerators of a task, equally likely.
      width: the mean number of tasks.
      max_width: the largest number of tasks.
      width_spread: standard deviation of the logarithm of the width.
      run_s: the mean run time of a task, in seconds.
      max_run_s: the longest run time, in seconds.
      run_spread: standard deviation of the logarithm of the run time.
      declared_spread: the same of the declared run time over the actual one.
      gang: whether the tasks have to run at the same time.
      same_rack_share: share of the gangs that belong in one rack.
      checkpoint_share: share of the jobs that save their progress.
      failing_share: share of the jobs of which the first run fails.
      worth: what a job of mean size is worth to its caller in time.
      late_worth: the same once it is late.
    """

    queue: Queue
    need: Resources
    accelerators: tuple[int, ...]
    width: float
    max_width: int
    width_spread: float
    run_s: float
    max_run_s: float
    run_spread: float
    declared_spread: float
    gang: bool
    same_rack_share: float = 0.0
    checkpoint_share: float = 0.0
    failing_share: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.3


DYE_CHECK = JobKind(
    Queue(QueueName("dye-check"), SERVICE, 0, 3, 1.5, 0.3),
    Resources(15 * CORE, 39 * GB),
    accelerators=(1, 2, 4, 8, 8),
    width=5.3,
    max_width=32,
    width_spread=0.8,
    run_s=2.5,
    max_run_s=8.0,
    run_spread=0.5,
    declared_spread=0.5,
    gang=True,
    same_rack_share=0.8,
    failing_share=0.05,
    worth=4.0,
    late_worth=0.8,
)
KNOT_SCAN = JobKind(
    Queue(QueueName("knot-scan"), SERVICE, 1, 3, 3.0, 1.0),
    Resources(52 * CORE, 110 * GB),
    accelerators=(1, 2, 4, 8, 8),
    width=13.0,
    max_width=76,
    width_spread=0.8,
    run_s=6.8,
    max_run_s=11.0,
    run_spread=0.3,
    declared_spread=0.9,
    gang=True,
    same_rack_share=0.6,
    checkpoint_share=0.45,
    failing_share=0.05,
    worth=3.0,
    late_worth=0.9,
)
MOTIF_MATCH = JobKind(
    Queue(QueueName("motif-match"), SERVICE, 2, 4, 3.0, 3.0),
    Resources(11 * CORE, 16 * GB),
    accelerators=(1,),
    width=38.0,
    max_width=230,
    width_spread=0.8,
    run_s=6.1,
    max_run_s=11.0,
    run_spread=0.3,
    declared_spread=0.2,
    gang=False,
    checkpoint_share=0.45,
    failing_share=0.005,
    worth=1.0,
    late_worth=0.3,
)
KINDS = (DYE_CHECK, KNOT_SCAN, MOTIF_MATCH)


class Burst(msgspec.Struct, frozen=True):
    """A time during which more jobs of one kind arrive.

    Attributes:
      kind: the kind.
      at: when it begins, in seconds.
      for_s: how long it lasts, in seconds.
      factor: multiple of the usual rate.
    """

    kind: JobKind
    at: float
    for_s: float
    factor: float


class Load(msgspec.Struct, frozen=True):
    """A pattern of arrivals.

    Attributes:
      name: the pattern that it stands for.
      per_s: jobs a second of each kind.
      for_s: how long jobs arrive, in seconds.
      bursts: times with more jobs.
      backlog: jobs of each kind that are there at the beginning.
    """

    name: str
    per_s: dict[JobKind, float]
    for_s: float
    bursts: tuple[Burst, ...] = ()
    backlog: dict[JobKind, int] = {}


class Arrival(msgspec.Struct, frozen=True):
    """A job, when it arrives, and what its runs are like.

    Attributes:
      at: when it arrives, in seconds.
      kind: its kind.
      job: the job.
      run_s: how long its tasks run on a usual worker, in seconds.
      fails_at: the share of its work at which its first run fails; 0 for a
        job that doesn't fail.
    """

    at: float
    kind: JobKind
    job: BatchJob
    run_s: float
    fails_at: float = 0.0

    @property
    def objective_s(self) -> float:
        """How long the job may take, in seconds."""
        queue = self.kind.queue
        lost_s = self.run_s * self.fails_at
        return queue.stretch * (self.run_s + lost_s) + queue.target_latency_s

    @property
    def worth(self) -> float:
        """What the job is worth to its caller if it is in time."""
        step = self.job.steps[0]
        kind = self.kind
        mean = kind.width * (sum(kind.accelerators) / len(kind.accelerators))
        own = step.count * step.need.accelerators * self.run_s
        return kind.worth * min(4.0, 0.3 + 0.7 * own / (mean * kind.run_s))


def large_fleet_load(
    name: str,
    workers: int = 270,
    for_s: float = 40.0,
    share: float = 1.0,
    bursts: Sequence[Burst] = (),
) -> Load:
    """Returns a load that scales with the fleet.

    Args:
      name: the pattern.
      workers: number of workers.
      for_s: how long jobs arrive, in seconds.
      share: multiple of a load that the fleet can carry.
      bursts: times with more jobs.
    """
    scale = share * workers / 270
    rates = {DYE_CHECK: 6.84, KNOT_SCAN: 2.14, MOTIF_MATCH: 2.1}
    return Load(
        name,
        {kind: rate * scale for kind, rate in rates.items()},
        for_s,
        tuple(bursts),
        {KNOT_SCAN: round(27 * scale), MOTIF_MATCH: round(31 * scale)},
    )


def draw_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Draws the jobs of a load, in the order of their arrival."""
    rng = random.Random(seed)
    found: list[tuple[float, JobKind]] = []
    for kind in load.per_s:
        found += [(0.0, kind)] * load.backlog.get(kind, 0)
        at = 0.0
        while True:
            at += rng.expovariate(_rate(load, kind, at))
            if at >= load.for_s:
                break
            found.append((at, kind))
    found.sort(key=lambda each: each[0])
    return [
        _draw_job(number, at, kind, rng)
        for number, (at, kind) in enumerate(found)
    ]


def _rate(load: Load, kind: JobKind, at: float) -> float:
    factor = 1.0
    for burst in load.bursts:
        if burst.kind is kind and burst.at <= at < burst.at + burst.for_s:
            factor *= burst.factor
    return load.per_s[kind] * factor


def _draw_job(
    number: int, at: float, kind: JobKind, rng: random.Random
) -> Arrival:
    width = round(_lognormal(rng, kind.width, kind.width_spread))
    run_s = _lognormal(rng, kind.run_s, kind.run_spread)
    run_s = min(max(run_s, 0.3), kind.max_run_s)
    off = rng.gauss(0.0, kind.declared_spread)
    step = Step(
        count=min(max(width, 1), kind.max_width),
        need=Resources(
            kind.need.cpu_millis,
            kind.need.memory_mb,
            rng.choice(kind.accelerators),
        ),
        estimate_s=run_s * math.exp(off),
        checkpointing=rng.random() < kind.checkpoint_share,
        gang=kind.gang,
        same_rack=rng.random() < kind.same_rack_share,
    )
    queue = kind.queue
    job = BatchJob(
        JobId(f"{number:016x}"),
        queue.name,
        OrganisationName(f"organisation-{rng.randrange(24)}"),
        queue,
        "",
        (step,),
        accepted_at=at,
    )
    fails = rng.random() < kind.failing_share
    fails_at = rng.uniform(0.1, 0.9) if fails else 0.0
    return Arrival(at, kind, job, run_s, fails_at)


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    """Draws a value of a lognormal distribution with a given mean."""
    return mean * math.exp(rng.gauss(-spread * spread / 2, spread))


def catalogue_of(
    organisations: int = 24, guaranteed_accelerators: int = 0
) -> Catalogue:
    """Returns a configuration with the queues of the load."""
    tenants = (
        Tenant(
            OrganisationName(f"organisation-{number}"),
            frozenset(),
            guaranteed_accelerators,
        )
        for number in range(organisations)
    )
    return Catalogue(
        Generation(1),
        {kind.queue.name: kind.queue for kind in KINDS},
        (),
        {each.name: each for each in tenants},
    )
