"""A fleet of simulated workers and its entries in the membership list."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from pomeloarch_node.platform import Host, HostKind
from pomeloarch_node.worker_list import worker_info
from pomeloarch_standins.worker_ledger import GangLedger
from pomeloarch_standins.worker_state import SimulatedWorker


def worker_hosts(
    address: str,
    zones: Sequence[str],
    *,
    racks: int = 1,
    hosts_per_rack: int = 8,
    accelerators: int = 8,
    memory_gb: float = 512.0,
    pool: str = "{zone}",
) -> tuple[Host, ...]:
    """Returns the platform's membership entries of a fleet.

    Args:
      address: `ip:port` of the process that serves all of them.
      zones: the availability zones.
      racks: the number of racks in each zone.
      hosts_per_rack: the number of workers in each rack.
      accelerators: the number of accelerators of each worker.
      memory_gb: memory of each worker, in GB.
      pool: the name of each zone's pool, with `{zone}` as a placeholder.

    >>> worker_hosts("127.0.0.1:9100", ["patan"])[0].address
    '127.0.0.1:9100/patan-r1-w1'
    """
    return tuple(
        Host(
            id=f"{zone}-r{rack}-w{number}",
            kind=HostKind.WORKER,
            availability_zone=zone,
            address=f"{address}/{zone}-r{rack}-w{number}",
            attributes={
                "pool": pool.format(zone=zone),
                "rack": f"{zone}-r{rack}",
                "accelerators": accelerators,
                "memory_gb": memory_gb,
            },
        )
        for zone in zones
        for rack in range(1, racks + 1)
        for number in range(1, hosts_per_rack + 1)
    )


class WorkerFleet:
    """Simulated workers by their ids, with one ledger of their gangs."""

    def __init__(
        self, workers: Iterable[SimulatedWorker], ledger: GangLedger
    ) -> None:
        """Creates a fleet of workers that record into the ledger."""
        self.workers = {
            str(worker.info.worker_id): worker for worker in workers
        }
        self.ledger = ledger

    @classmethod
    def from_hosts(
        cls, hosts: Iterable[Host], run_s: float = 2.0, seed: int = 1
    ) -> WorkerFleet:
        """Creates a worker for each entry of a membership list."""
        ledger = GangLedger()
        rng = random.Random(seed)
        return cls(
            [
                SimulatedWorker(info, run_s, rng, ledger)
                for info in map(worker_info, hosts)
                if info is not None
            ],
            ledger,
        )

    def advance(self, now: float) -> None:
        """Advances every worker to the given time."""
        for worker in self.workers.values():
            worker.advance(now)
