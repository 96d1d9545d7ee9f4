"""Brings faults about at the stand-ins, and reads what they counted."""

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


class DemoControl:
    """Orders to the stand-ins of a run.

    Args:
      layout: where they listen.
      session: the HTTP session.
    """

    def __init__(self, layout: Layout, session: aiohttp.ClientSession) -> None:
        """Keeps where to send."""
        self._layout = layout
        self._session = session

    async def platform_faults(self, faults: Faults) -> None:
        """Puts faults of the platform in force."""
        await self._post(f"{self._layout.platform_url}/faults", faults)

    async def platform_counts(self) -> dict[str, int]:
        """Returns how much the platform was used."""
        return await self._get(f"{self._layout.platform_url}/counts")

    async def set_host(self, host: str, state: str) -> None:
        """Changes a host's state on the platform's list."""
        url = f"{self._layout.platform_url}/hosts/{host}"
        await self._post(url, {"state": state})

    async def cut_platform(self, zone: str, cut: Cut) -> None:
        """Cuts the nodes of a zone off from the platform."""
        for node in self._layout.nodes():
            if node.availability_zone == zone:
                url = f"{self._layout.relay_url}/links/{node.name}"
                await self._post(url, LinkState(cut=cut))

    async def executor_fault(
        self, zone: int, number: int, fault: Fault
    ) -> None:
        """Lets an executor show a fault, or end it."""
        address = self._layout.executor_address(zone)
        await self._post(
            f"http://{address}:{EXECUTORS_CONTROL_PORT}/faults",
            FaultOrder(executor=number, fault=fault),
        )

    async def runs(self) -> dict[str, int]:
        """Returns how often each request ran, over all executors."""
        totals: dict[str, int] = {}
        for zone in range(len(self._layout.example.zones)):
            counts = await self._executor_counts(zone)
            for key, count in counts["runs"].items():
                totals[key] = totals.get(key, 0) + count
        return totals

    async def runs_of_executor(self, zone: int, number: int) -> int:
        """Returns how many requests one executor ran."""
        counts = await self._executor_counts(zone)
        return int(counts["executors"][number]["runs"])

    async def worker_counts(self) -> dict[str, Any]:
        """Returns what the workers counted of starts and gangs."""
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
