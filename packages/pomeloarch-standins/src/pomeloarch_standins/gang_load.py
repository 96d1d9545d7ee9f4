"""The simulated jobs of two firms for the measurements of gang scheduling."""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from pomeloarch_core.gang.messages import JobSpec
from pomeloarch_core.ids import (
    CallerName,
    Generation,
    JobClassName,
    JobId,
    OrganisationName,
    PoolName,
    PublicationId,
    ShapeName,
    ZoneName,
)
from pomeloarch_core.objects.model import (
    Adjacency,
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Urgency,
    WorkerPool,
)

# Time during which jobs arrive, in seconds.
ARRIVALS_S = 900.0


class Arrival(msgspec.Struct, frozen=True):
    """One job with its arrival time and its actual run time.

    Attributes:
      at: the time of the arrival, in seconds.
      spec: the job's specification.
      run_s: the actual run time, in seconds.
      flood: whether the job belongs to a flood.
    """

    at: float
    spec: JobSpec
    run_s: float
    flood: bool = False


class Firm(msgspec.Struct, frozen=True):
    """A firm's zone and its mix of jobs.

    Attributes:
      name: the name of the firm.
      zone: the measured zone.
      memory_gb: the memory of each worker, in GB.
      shape: the guaranteed shape, as hosts and accelerators of each host.
      counter_per_s: the rate of urgent jobs with one accelerator.
      standard_per_s: the rate of standard jobs with one or two accelerators.
      gang_every_s: the mean time between large gangs, in seconds.
      gang_sizes: the sizes of the gangs, as members and accelerators of each.
    """

    name: str
    zone: str
    memory_gb: int
    shape: tuple[int, int]
    counter_per_s: float
    standard_per_s: float
    gang_every_s: float
    gang_sizes: tuple[tuple[int, int], ...]


FIRMS = (
    Firm(
        name="shrestha",
        zone="patan",
        memory_gb=512,
        shape=(2, 4),
        counter_per_s=0.5,
        standard_per_s=0.35,
        gang_every_s=150.0,
        gang_sizes=((4, 8), (8, 4), (2, 8), (6, 4)),
    ),
    Firm(
        name="qasr",
        zone="amman-a",
        memory_gb=256,
        shape=(1, 8),
        counter_per_s=0.8,
        standard_per_s=0.25,
        gang_every_s=90.0,
        gang_sizes=((2, 8), (4, 4), (3, 8), (8, 2)),
    ),
)


def make_pool(firm: Firm) -> WorkerPool:
    """Returns the pool of a firm's zone, a rack of eight hosts."""
    return WorkerPool(
        name=PoolName("gpu"),
        availability_zone=ZoneName(firm.zone),
        racks=1,
        hosts_per_rack=8,
        accelerators_per_host=8,
        cores_per_host=128,
        memory_gb_per_host=firm.memory_gb,
    )


def make_snapshot(firm: Firm) -> Snapshot:
    """Returns a firm's objects."""
    names = ("owner", "large", "middle", "small")
    organisations = tuple(
        Organisation(name=OrganisationName(name)) for name in names
    )
    hosts, accelerators = firm.shape
    shape = GuaranteedShape(
        name=ShapeName("desk"),
        organisation=OrganisationName("owner"),
        worker_pool=PoolName("gpu"),
        hosts=hosts,
        accelerators_per_host=accelerators,
    )
    objects = ObjectSet(
        availability_zone=(
            AvailabilityZone(name=ZoneName(firm.zone), region="r"),
        ),
        worker_pool=(make_pool(firm),),
        organisation=organisations,
        guaranteed_shape=(shape,),
        job_class=_classes(),
    )
    return Snapshot(Generation(1), PublicationId("p"), objects)


def _classes() -> tuple[JobClass, ...]:
    return (
        JobClass(
            name=JobClassName("counter"),
            urgency=Urgency.URGENT,
            preemptible=False,
        ),
        JobClass(
            name=JobClassName("certificate"),
            urgency=Urgency.STANDARD,
            floor_share=0.05,
            preemptible=False,
            max_gang=2,
        ),
        JobClass(
            name=JobClassName("standard"),
            urgency=Urgency.STANDARD,
            floor_share=0.2,
            grace_s=1.0,
        ),
        JobClass(
            name=JobClassName("batch"),
            urgency=Urgency.BATCH,
            floor_share=0.2,
            max_gang=8,
            grace_s=3.0,
            adjacency=Adjacency.RACK,
        ),
    )


class _ArrivalFactory:
    """Creates jobs whose declared run times are far from the actual ones."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._count = 0

    def make(
        self,
        at: float,
        job_class: str,
        owner: str,
        shape: tuple[int, int],
        run_s: float,
        *,
        flood: bool = False,
        idempotent: bool = True,
    ) -> Arrival:
        self._count += 1
        callers = 30 if owner == "small" else 3
        spec = JobSpec(
            job_id=JobId(f"j{self._count}"),
            organisation=OrganisationName(owner),
            job_class=JobClassName(job_class),
            members=shape[0],
            accelerators=shape[1],
            declared_run_s=run_s * self._rng.lognormvariate(0.0, 1.5),
            idempotent=idempotent,
            caller=CallerName(f"{owner}-{self._rng.randrange(callers)}"),
        )
        return Arrival(at, spec, run_s, flood)


def arrivals(firm: Firm, rng: random.Random) -> list[Arrival]:
    """Returns a firm's jobs in the order of their arrival.

    Args:
      firm: the firm.
      rng: draws the times and sizes.
    """
    factory = _ArrivalFactory(rng)
    made = [
        *_singles(factory, rng, firm),
        *_gangs(factory, rng, firm),
        *_floods(factory, rng),
        *_reclaims(factory, firm),
    ]
    return sorted(made, key=lambda arrival: arrival.at)


def _draw_times(rng: random.Random, per_s: float) -> Iterator[float]:
    at = rng.expovariate(per_s)
    while at < ARRIVALS_S:
        yield at
        at += rng.expovariate(per_s)


def _draw_owner(rng: random.Random) -> str:
    return rng.choices(("large", "middle", "small"), (6, 3, 1))[0]


def _singles(
    factory: _ArrivalFactory, rng: random.Random, firm: Firm
) -> Iterator[Arrival]:
    for at in _draw_times(rng, firm.counter_per_s):
        run_s = rng.uniform(2.0, 8.0)
        yield factory.make(at, "counter", _draw_owner(rng), (1, 1), run_s)
    for at in _draw_times(rng, firm.standard_per_s):
        run_s = min(300.0, rng.lognormvariate(3.2, 0.7))
        shape = (1, rng.choice((1, 1, 2)))
        yield factory.make(at, "standard", _draw_owner(rng), shape, run_s)
    for at in _draw_times(rng, 0.1):
        yield factory.make(
            at, "certificate", _draw_owner(rng), (1, 1), 5.0, idempotent=False
        )


def _gangs(
    factory: _ArrivalFactory, rng: random.Random, firm: Firm
) -> Iterator[Arrival]:
    for at in _draw_times(rng, 1.0 / firm.gang_every_s):
        shape = rng.choice(firm.gang_sizes)
        run_s = rng.uniform(60.0, 200.0)
        yield factory.make(at, "batch", _draw_owner(rng), shape, run_s)


def _floods(factory: _ArrivalFactory, rng: random.Random) -> Iterator[Arrival]:
    """Yields a flood of the least urgent jobs, then one of the most urgent."""
    for number in range(400):
        at = 250.0 + number * 0.1
        run_s = rng.uniform(5.0, 30.0)
        yield factory.make(at, "batch", "large", (1, 1), run_s, flood=True)
    for number in range(600):
        at = 550.0 + number * 0.08
        run_s = rng.uniform(3.0, 8.0)
        yield factory.make(at, "counter", "large", (1, 1), run_s, flood=True)


def _reclaims(factory: _ArrivalFactory, firm: Firm) -> Iterator[Arrival]:
    """Yields the owner's jobs for its guaranteed shape, also during floods."""
    for at in (120.0, 265.0, 420.0, 565.0, 700.0, 820.0):
        yield factory.make(at, "certificate", "owner", firm.shape, 30.0)
