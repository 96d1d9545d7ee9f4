"""A request plane with simulated executors in one event loop, for tests."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import uvicorn

from pomeloarch_core.ids import (
    Generation,
    NodeId,
    PublicationId,
    ZoneName,
)
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    JobClass,
    ObjectSet,
    Organisation,
    Route,
    Service,
    Snapshot,
    UpstreamGroup,
    Urgency,
)
from pomeloarch_node.app import DirectMounts
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.http_limits import make_limited_protocol
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Host, HostKind, HostState
from pomeloarch_node.requests import RequestPlane
from pomeloarch_node.settings import Settings
from pomeloarch_standins.executor_fakes import MemoryTables, SingleNodePeers
from pomeloarch_standins.executors import ExecutorFleet

_ZONE = "patan"
_SERVICE = "appraisal-desk"
_MAX_CONNECTIONS = 10_000


class ExecutorHarness:
    """One node's request plane, its HTTP server and simulated executors.

    Args:
      executors: the number of executors.
      service_s: the time that an executor takes for a request, in seconds.
      slots: the number of slots of each executor.
      seed: the seed of the plane's random numbers.
      max_body_bytes: the limit on the size of a request body of the service.
      max_buffered_bytes: the limit on the node's memory for bodies.
      max_connections: the limit on concurrent requests of the node.
      tables: the platform's tables, None for tables of its own.

    Attributes:
      clock_skew_s: the time by which the node's clock runs ahead, in seconds.
    """

    def __init__(
        self,
        executors: int = 3,
        service_s: float = 0.0,
        slots: int = 8,
        seed: int = 1,
        max_body_bytes: int = 1_000_000,
        max_buffered_bytes: int = 64_000_000,
        max_connections: int = 10_000,
        tables: MemoryTables | None = None,
    ) -> None:
        """Creates the components without starting them."""
        self.fleet = ExecutorFleet(
            "127.0.0.1", 0, executors, _SERVICE, service_s, slots
        )
        self.peers = SingleNodePeers()
        self.tables = tables or MemoryTables()
        self.metrics = Metrics()
        self.directory = HostDirectory()
        self.holder = ConfigurationHolder()
        self._max_body_bytes = max_body_bytes
        self._slots = slots
        self.clock_skew_s = 0.0
        settings = Settings(
            node_id=NodeId("node-1"),
            availability_zone=ZoneName(_ZONE),
            address="127.0.0.1",
            http_port=0,
            peer_port=0,
            platform_url="http://127.0.0.1:1",
            max_buffered_bytes=max_buffered_bytes,
            max_connections=max_connections,
        )
        self.plane = RequestPlane(
            settings,
            self.holder,
            self.directory,
            self.peers,
            self.tables,
            self.metrics,
            self._now,
            random.Random(seed),
        )

    async def __aenter__(self) -> ExecutorHarness:
        """Starts the executors, the request plane and the HTTP server."""
        await self.fleet.start()
        self.list_executors()
        self.holder.offer(_snapshot(self._max_body_bytes))
        self._plane_task = asyncio.create_task(self.plane.run())
        sock = socket.create_server(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        cfg = uvicorn.Config(
            DirectMounts.from_routes(self.plane.routes()),
            http=make_limited_protocol(_MAX_CONNECTIONS),
            proxy_headers=False,
            server_header=False,
            log_level="error",
            lifespan="off",
            access_log=False,
            loop="asyncio",
        )
        self._server = uvicorn.Server(cfg)
        self._server_task = asyncio.create_task(
            self._server.serve(sockets=[sock])
        )
        self.session = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the server, the request plane and the executors."""
        await self.session.close()
        self._server.should_exit = True
        self._server.force_exit = True
        await self._server_task
        self._plane_task.cancel()
        await asyncio.gather(self._plane_task, return_exceptions=True)
        await self.fleet.stop()

    def list_executors(self, leaving: Sequence[str] = ()) -> None:
        """Sets the node's list of hosts to the executors' present addresses.

        Args:
          leaving: the ids of the executors that are listed as leaving.
        """
        self.directory.replace(
            tuple(
                Host(
                    id=each.executor_id,
                    kind=HostKind.EXECUTOR,
                    availability_zone=_ZONE,
                    address=each.address,
                    state=(
                        HostState.LEAVING
                        if each.executor_id in leaving
                        else HostState.LIVE
                    ),
                    attributes={"service": _SERVICE, "slots": self._slots},
                )
                for each in self.fleet.executors
            )
        )

    def _now(self) -> float:
        return time.monotonic() + self.clock_skew_s

    def url(self, path: str = "/appraise", service: str = _SERVICE) -> str:
        """Returns the URL of a path of a service."""
        return f"http://127.0.0.1:{self.port}/v1/services/{service}{path}"

    async def post(
        self,
        path: str = "/appraise",
        body: bytes = b"",
        service: str = _SERVICE,
        **headers: str,
    ) -> tuple[int, dict[str, str], Any]:
        """Posts a request and returns the status, headers and decoded body.

        Args:
          path: the path below the service.
          body: the request body.
          service: the name of the service.
          headers: additional headers, with underscores for hyphens.
        """
        sent = {"Pomelo-Organisation": "shrestha", "Pomelo-Caller": "counter"}
        sent |= {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.session.post(
            self.url(path, service), data=body, headers=sent
        ) as resp:
            decoded = await resp.json(content_type=None)
            return resp.status, dict(resp.headers), decoded


def _snapshot(max_body_bytes: int) -> Snapshot:
    urgent = JobClass("dye-check", Urgency.URGENT, floor_share=0.4)  # type: ignore[arg-type]
    batch = JobClass("motif-match", Urgency.BATCH, floor_share=0.1)  # type: ignore[arg-type]
    service = Service(
        name=_SERVICE,  # type: ignore[arg-type]
        upstreams=(UpstreamGroup(ZoneName(_ZONE), 3),),
        routes=(
            Route("/", urgent.name),
            Route("/motifs", batch.name),
        ),
        max_body_bytes=max_body_bytes,
    )
    return Snapshot(
        Generation(1),
        PublicationId("first"),
        ObjectSet(
            availability_zone=(
                AvailabilityZone(name=ZoneName(_ZONE), region="nepal"),
            ),
            organisation=(
                Organisation(name="shrestha"),  # type: ignore[arg-type]
                Organisation(name="auction-house"),  # type: ignore[arg-type]
            ),
            job_class=(urgent, batch),
            service=(service,),
        ),
    )
