"""Whether work would fit on an empty pool beside all guarantees."""

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

_SPREADS = 64


def fits_beside(
    pool: WorkerPool, shapes: Sequence[GuaranteedShape], need: Need
) -> bool:
    """Returns whether a gang that can't yield has a place in a pool.

    Args:
      pool: the pool, as if nothing ran in it.
      shapes: its guaranteed shapes.
      need: what the gang needs; near to each other, within one rack.
    """
    if need.adjacency is Adjacency.HOST:
        spreads: Iterator[tuple[int, ...]] = iter([(need.members,)])
    else:
        per_host = pool.accelerators_per_host // need.size
        spreads = _spreads(need.members, per_host, pool.hosts_per_rack)
    for number, spread in enumerate(spreads):
        if number >= _SPREADS:
            return True
        if _holds(pool, shapes, [count * need.size for count in spread]):
            return True
    return False


def _spreads(
    members: int, per_host: int, hosts: int
) -> Iterator[tuple[int, ...]]:
    """Yields ways to spread members over a rack, largest part first."""
    if members == 0:
        yield ()
        return
    if hosts == 0 or members > per_host * hosts:
        return
    for first in range(min(members, per_host), 0, -1):
        for rest in _spreads(members - first, first, hosts - 1):
            yield (first, *rest)


def _holds(
    pool: WorkerPool, shapes: Sequence[GuaranteedShape], taken: list[int]
) -> bool:
    fleet = Fleet()
    fleet.replace(_infos(pool))
    for worker, count in zip(fleet.workers.values(), taken, strict=False):
        worker.fixed += count
        fleet.touch(worker)
    witness = Witness(fleet)
    witness.replace_shapes(shapes)
    return not witness.short()


def _infos(pool: WorkerPool) -> Iterator[WorkerInfo]:
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
