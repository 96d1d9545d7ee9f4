"""Simulated placement in an empty pool that has to keep its guarantees."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.messages import WorkerInfo
from pomeloarch_core.gang.placement import Need
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.ids import RackId, WorkerId
from pomeloarch_core.objects.model import (
    Adjacency,
    GuaranteedShape,
    WorkerPool,
)

# Spreads that are tried; beyond this a gang is taken to fit.
_MAX_SPREADS = 64


def fits_beside_guarantees(
    pool: WorkerPool, shapes: Sequence[GuaranteedShape], need: Need
) -> bool:
    """Returns whether a non-preemptible gang fits beside the guarantees.

    Args:
      pool: the pool, regarded as empty.
      shapes: the pool's guaranteed shapes.
      need: what the gang needs, all of it within one host or rack.

    Returns:
      Whether there is a place, or more spreads than are tried.
    """
    if need.adjacency is Adjacency.HOST:
        spreads: Iterator[tuple[int, ...]] = iter([(need.members,)])
    else:
        per_host = pool.accelerators_per_host // need.size
        spreads = _spreads(need.members, per_host, pool.hosts_per_rack)
    for number, spread in enumerate(spreads):
        if number >= _MAX_SPREADS:
            return True
        if _keeps_guarantees(
            pool, shapes, [count * need.size for count in spread]
        ):
            return True
    return False


def _spreads(
    members: int, per_host: int, hosts: int
) -> Iterator[tuple[int, ...]]:
    """Yields the ways to spread members over hosts, most on the first."""
    if members == 0:
        yield ()
        return
    if hosts == 0 or members > per_host * hosts:
        return
    for first in range(min(members, per_host), 0, -1):
        for rest in _spreads(members - first, first, hosts - 1):
            yield (first, *rest)


def _keeps_guarantees(
    pool: WorkerPool, shapes: Sequence[GuaranteedShape], taken: list[int]
) -> bool:
    fleet = Fleet()
    fleet.update_listing(_workers_of(pool))
    for worker, count in zip(fleet.workers.values(), taken, strict=False):
        worker.fixed += count
        fleet.reindex(worker)
    witness = Witness(fleet)
    witness.replace_shapes(shapes)
    return not witness.unplaced()


def _workers_of(pool: WorkerPool) -> Iterator[WorkerInfo]:
    for rack in range(pool.racks):
        for host in range(pool.hosts_per_rack):
            yield WorkerInfo(
                worker_id=WorkerId(f"{rack}-{host}"),
                availability_zone=pool.availability_zone,
                pool=pool.name,
                rack=RackId(str(rack)),
                accelerators=pool.accelerators_per_host,
                memory_gb=float(pool.memory_gb_per_host),
            )
