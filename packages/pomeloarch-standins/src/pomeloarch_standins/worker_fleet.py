"""A fleet of stand-in workers and its entries in the membership list."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from pomeloarch_node.platform import Host, HostKind
from pomeloarch_node.worker_list import worker_info
from pomeloarch_standins.worker_ledger import GangLedger
from pomeloarch_standins.worker_state import StandinWorker


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
      zones: the availability zones, each with as many racks.
      racks: racks in each zone.
      hosts_per_rack: workers in each rack.
      accelerators: accelerators of each worker.
      memory_gb: memory of each worker, in GB.
      pool: the pool's name, by its `{zone}`.

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
    """Stand-in workers by their ids, with one ledger of their gangs."""

    def __init__(
        self, workers: Iterable[StandinWorker], ledger: GangLedger
    ) -> None:
        """Keeps workers that write into the ledger."""
        self.workers = {
            str(worker.info.worker_id): worker for worker in workers
        }
        self.ledger = ledger

    @classmethod
    def from_hosts(
        cls, hosts: Iterable[Host], run_s: float = 2.0, seed: int = 1
    ) -> WorkerFleet:
        """Makes a worker of each entry of a membership list."""
        ledger = GangLedger()
        rng = random.Random(seed)
        return cls(
            [
                StandinWorker(info, run_s, rng, ledger)
                for info in map(worker_info, hosts)
                if info is not None
            ],
            ledger,
        )

    def advance(self, now: float) -> None:
        """Lets time pass at every worker."""
        for worker in self.workers.values():
            worker.advance(now)
