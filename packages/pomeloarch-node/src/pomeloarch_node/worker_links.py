"""Maintains the links to all workers of a zone as the list of hosts changes."""

from __future__ import annotations

import asyncio

from pomeloarch_core.gang.messages import (
    FleetChanged,
    OrderAnswered,
    OrderOutcome,
    WorkerInfo,
    WorkerOrder,
)
from pomeloarch_core.ids import Epoch, WorkerId, ZoneName
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.platform import Host
from pomeloarch_node.worker_gate import WorkerGate
from pomeloarch_node.worker_leases import (
    TaskLeases,
    earlier_leases_end_at,
)
from pomeloarch_node.worker_link import WorkerLink
from pomeloarch_node.worker_list import zone_workers


class WorkerLinks:
    """Links to the workers of a zone, each with a task that runs it.

    Args:
      zone: the zone.
      hosts: the platform's list of hosts.
      gate: the state that all links share.
    """

    def __init__(
        self, zone: ZoneName, hosts: HostDirectory, gate: WorkerGate
    ) -> None:
        """Starts without links."""
        self._zone = zone
        self._lists = hosts.subscribe()
        self._gate = gate
        self._links: dict[WorkerId, WorkerLink] = {}
        self._tasks: dict[WorkerId, asyncio.Task[None]] = {}
        # Kept when a link is closed, since the leases that it granted go on.
        self._leases: dict[WorkerId, TaskLeases] = {}
        self._workers: tuple[WorkerInfo, ...] = ()
        self._changed = asyncio.Event()
        self._epoch = Epoch(0)
        self._reset_at = float("-inf")

    @property
    def workers(self) -> tuple[WorkerInfo, ...]:
        """Workers of the zone according to the latest list."""
        return self._workers

    def fleet(self) -> FleetChanged:
        """Returns the latest list and how long tasks on other workers run."""
        now = asyncio.get_running_loop().time()
        ends_at = [
            leases.end_at
            for worker_id, leases in self._leases.items()
            if worker_id not in self._links
        ]
        ends_at.append(
            earlier_leases_end_at(self._reset_at, self._gate.lease_s)
        )
        return FleetChanged(self._workers, max(now, *ends_at) - now)

    async def wait_for_change(self) -> None:
        """Waits for the next list of workers."""
        self._changed.clear()
        await self._changed.wait()

    def reset(self, epoch: Epoch) -> None:
        """Resets all links for a new epoch."""
        self._epoch = epoch
        now = self._reset_at = asyncio.get_running_loop().time()
        for leases in self._leases.values():
            leases.reset(now, self._gate.lease_s)
        for link in self._links.values():
            link.reset(epoch)

    def enqueue(self, order: WorkerOrder) -> None:
        """Queues an order on the link of its worker."""
        link = self._links.get(order.worker_id)
        if link is None:
            detail = "the worker is not on the platform's list"
            self._gate.emit(OrderAnswered(order, OrderOutcome.UNKNOWN, detail))
            return
        link.enqueue(order)

    async def run(self) -> None:
        """Opens and closes links as the list changes, until cancelled."""
        try:
            while True:
                self._apply_list(await self._lists.get())
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _apply_list(self, hosts: tuple[Host, ...]) -> None:
        wanted = zone_workers(hosts, self._zone)
        self._gate.adjust_heartbeats(len(wanted))
        for worker_id in list(self._links):
            entry = wanted.get(worker_id)
            if entry is None or entry[1] != self._links[worker_id].address:
                self._tasks.pop(worker_id).cancel()
                del self._links[worker_id]
        now = asyncio.get_running_loop().time()
        for worker_id in self._leases.keys() - wanted.keys():
            if now >= self._leases[worker_id].end_at:
                del self._leases[worker_id]
        for worker_id, (_, address) in wanted.items():
            if worker_id not in self._links:
                self._open_link(worker_id, address, now)
        self._workers = tuple(info for info, _ in wanted.values())
        self._changed.set()

    def _open_link(self, worker_id: WorkerId, address: str, now: float) -> None:
        leases = self._leases.get(worker_id)
        if leases is None:
            leases = TaskLeases(now, self._gate.lease_s)
            self._leases[worker_id] = leases
        link = WorkerLink(worker_id, address, self._gate, leases)
        link.reset(self._epoch)
        self._links[worker_id] = link
        self._tasks[worker_id] = asyncio.create_task(link.run())
