"""Injects faults into the test doubles and reads their counters."""

from __future__ import annotations

from typing import Any

import aiohttp
import msgspec

from pomeloarch_standins.demo_layout import (
    EXECUTORS_CONTROL_PORT,
    Layout,
)
from pomeloarch_standins.executor_faults import Fault, FaultOrder
from pomeloarch_standins.platform_server import Faults
from pomeloarch_standins.relay import Cut, LinkState
from pomeloarch_standins.workers import FaultMode
from pomeloarch_standins.workers import FaultOrder as WorkerFault


class DemoControl:
    """A client of the control interfaces of a run's test doubles.

    Args:
      layout: the addresses of the run.
      session: the HTTP session.
    """

    def __init__(self, layout: Layout, session: aiohttp.ClientSession) -> None:
        """Creates a client for the addresses of a layout."""
        self._layout = layout
        self._session = session

    async def set_platform_faults(self, faults: Faults) -> None:
        """Sets the faults of the platform."""
        await self._post(f"{self._layout.platform_url}/faults", faults)

    async def platform_counts(self) -> dict[str, int]:
        """Returns the platform's counters of calls."""
        return await self._get(f"{self._layout.platform_url}/counts")

    async def set_host(self, host: str, state: str) -> None:
        """Sets a host's state in the platform's list."""
        url = f"{self._layout.platform_url}/hosts/{host}"
        await self._post(url, {"state": state})

    async def cut_platform(self, zone: str, cut: Cut) -> None:
        """Sets the partition between a zone's nodes and the platform."""
        for node in self._layout.nodes():
            if node.availability_zone == zone:
                url = f"{self._layout.relay_url}/links/{node.name}"
                await self._post(url, LinkState(cut=cut))

    async def set_worker_fault(self, worker_id: str, mode: FaultMode) -> None:
        """Starts or ends a fault of a worker."""
        await self._post(
            f"{self._layout.workers_url}/faults", WorkerFault(mode, worker_id)
        )

    async def set_executor_fault(
        self, zone: int, number: int, fault: Fault
    ) -> None:
        """Starts or ends a fault of an executor."""
        address = self._layout.executor_address(zone)
        await self._post(
            f"http://{address}:{EXECUTORS_CONTROL_PORT}/faults",
            FaultOrder(executor=number, fault=fault),
        )

    async def runs(self) -> dict[str, int]:
        """Returns how often each request ran on all executors together."""
        totals: dict[str, int] = {}
        for zone in range(len(self._layout.example.zones)):
            counts = await self._executor_counts(zone)
            for key, count in counts["runs"].items():
                totals[key] = totals.get(key, 0) + count
        return totals

    async def runs_of_executor(self, zone: int, number: int) -> int:
        """Returns the number of requests that one executor ran."""
        counts = await self._executor_counts(zone)
        return int(counts["executors"][number]["runs"])

    async def worker_counts(self) -> dict[str, Any]:
        """Returns the workers' counters of starts and gangs."""
        return await self._get(f"{self._layout.workers_url}/counts")

    async def _executor_counts(self, zone: int) -> dict[str, Any]:
        address = self._layout.executor_address(zone)
        return await self._get(
            f"http://{address}:{EXECUTORS_CONTROL_PORT}/counts"
        )

    async def _get(self, url: str) -> dict[str, Any]:
        async with self._session.get(url) as response:
            found: dict[str, Any] = await response.json()
            return found

    async def _post(self, url: str, body: Any) -> None:
        data = msgspec.json.encode(body)
        async with self._session.post(url, data=data) as response:
            response.raise_for_status()
