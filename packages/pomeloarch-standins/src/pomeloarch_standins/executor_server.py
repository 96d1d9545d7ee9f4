"""A simulated executor with slots, counted runs and injectable faults."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import Any

import msgspec
from aiohttp import web

from pomeloarch_standins.executor_faults import Fault, FaultOrder

_PROBE_HEADER = "Pomelo-Probe"
# Time allowed for the shutdown of the HTTP server, in seconds.
_SHUTDOWN_TIMEOUT_S = 0.2


class ExecutorServer:
    """A simulated executor that listens on a port of its own.

    Args:
      executor_id: the id of the executor.
      address: the IP address to listen on.
      port: the port to listen on; 0 for any free port.
      service_s: the time that a request takes, in seconds.
      slots: the number of requests that run at once; others wait.

    Attributes:
      runs: how often each request ran, by request id.
      port: the port in use, known after `start`.
      peak_running: the largest number of requests that ran at once.
    """

    def __init__(
        self,
        executor_id: str,
        address: str,
        port: int,
        service_s: float,
        slots: int = 8,
    ) -> None:
        """Creates an executor that does not listen yet."""
        self.executor_id = executor_id
        self.port = port
        self.runs: Counter[str] = Counter()
        self.peak_running = 0
        self._address = address
        self._service_s = service_s
        self._slots = asyncio.Semaphore(slots)
        self._order = FaultOrder(executor="all", fault=Fault.NONE)
        self._load = 0
        self._running = 0
        self._drain_from = 0.0
        self._connections: set[asyncio.BaseTransport] = set()
        self._silenced: set[asyncio.BaseTransport] = set()
        self._runner: web.ServerRunner | None = None

    @property
    def address(self) -> str:
        """The listening address, as `ip:port`."""
        return f"{self._address}:{self.port}"

    async def start(self) -> None:
        """Starts listening."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(
            server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._address,
            self.port,
            reuse_address=True,
        )
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening and drops all connections."""
        if self._runner is None:
            return
        runner, self._runner = self._runner, None
        for transport in list(self._connections):
            if isinstance(transport, asyncio.WriteTransport):
                transport.abort()
        self._connections.clear()
        await runner.cleanup()

    async def apply(self, order: FaultOrder) -> None:
        """Starts or ends a fault."""
        self._order = order
        self._silenced = set()
        if order.fault is Fault.DEAD:
            await self.stop()
            return
        if self._runner is None:
            await self.start()
        if order.fault is Fault.SILENT:
            self._silenced = set(self._connections)
        if order.fault is Fault.DRAIN:
            loop = asyncio.get_running_loop()
            self._drain_from = loop.time() + order.drain_s

    def summary(self) -> dict[str, Any]:
        """Returns this executor's part of the control endpoint's counts."""
        return {
            "id": self.executor_id,
            "address": self.address,
            "fault": self._order.fault.value,
            "runs": self.runs.total(),
            "load": self._load,
            "peak_running": self.peak_running,
        }

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self._connections = {
                each for each in self._connections if not each.is_closing()
            }
            self._connections.add(transport)
        body = await request.read()
        if transport in self._silenced:
            await asyncio.Event().wait()
        if _PROBE_HEADER in request.headers:
            if self._order.fault is Fault.STALL:
                await asyncio.Event().wait()
            return web.Response(status=204)
        if self._is_refusing():
            return web.Response(status=503, headers=_REFUSAL_HEADERS)
        self._load += 1
        try:
            return await self._run(request, body)
        finally:
            self._load -= 1

    def _is_refusing(self) -> bool:
        loop = asyncio.get_running_loop()
        return (
            self._order.fault is Fault.DRAIN and loop.time() >= self._drain_from
        )

    async def _run(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        order = self._order
        if order.fault is Fault.FAST_FAIL:
            self._count(request)
            return web.Response(status=500, text="the executor failed")
        async with self._slots:
            self._count(request)
            self._running += 1
            self.peak_running = max(self.peak_running, self._running)
            try:
                await self._work(order)
            finally:
                self._running -= 1
        if order.fault is Fault.LATE:
            await asyncio.sleep(order.delay_s)
        if order.fault is Fault.RESET and request.transport is not None:
            request.transport.abort()
        payload = self._answer(request, body)
        if order.fault is Fault.TRUNCATE:
            return await _respond_truncated(request, payload)
        return web.Response(
            body=payload,
            content_type="application/json",
            headers=self._headers(order),
        )

    async def _work(self, order: FaultOrder) -> None:
        if order.fault is Fault.STALL:
            await asyncio.Event().wait()
        factor = order.factor if order.fault is Fault.SLOW else 1.0
        await asyncio.sleep(self._service_s * factor)

    def _count(self, request: web.BaseRequest) -> None:
        self.runs[request.headers.get("Pomelo-Request-Id", "")] += 1

    def _headers(self, order: FaultOrder) -> dict[str, str]:
        load = 0 if order.fault is Fault.LYING else self._load
        headers = {"Pomelo-Load": str(load)}
        if order.fault is Fault.DRAIN:
            headers["Pomelo-Draining"] = "1"
        return headers

    def _answer(self, request: web.BaseRequest, body: bytes) -> bytes:
        headers = request.headers
        return msgspec.json.encode(
            {
                "executor": self.executor_id,
                "request_id": headers.get("Pomelo-Request-Id", ""),
                "organisation": headers.get("Pomelo-Organisation", ""),
                "caller": headers.get("Pomelo-Caller", ""),
                "class": headers.get("Pomelo-Class", ""),
                "path": request.path,
                "body_bytes": len(body),
                "body_sha256": hashlib.sha256(body).hexdigest(),
            }
        )


_REFUSAL_HEADERS = {"Pomelo-Not-Run": "1", "Pomelo-Draining": "1"}


async def _respond_truncated(
    request: web.BaseRequest, payload: bytes
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_length = len(payload)
    await response.prepare(request)
    await response.write(payload[: len(payload) // 2])
    if request.transport is not None:
        request.transport.close()
    return response
