"""Builds a node from its components and runs it."""

from __future__ import annotations

import random
import time

import aiohttp
import uvicorn

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_node.app import Readiness, StatusPages, build_app
from pomeloarch_node.component import BackgroundComponent, Component
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.generation_spreader import GenerationSpreader
from pomeloarch_node.generation_tables import TableSnapshotSource
from pomeloarch_node.host_watch import HostDirectoryTask
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.http_limits import make_limited_protocol
from pomeloarch_node.jobs_api import JobsApi
from pomeloarch_node.lifecycle import (
    ConnectionCloseMiddleware,
    ExitCode,
    Lifecycle,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.node_server import NodeServer
from pomeloarch_node.operators_api import OperatorsApi
from pomeloarch_node.peer_messenger import TcpPeerMessenger
from pomeloarch_node.platform_http import HttpPlatformClient
from pomeloarch_node.platform_limits import (
    LimitedPlatformClient,
    PlatformLimits,
)
from pomeloarch_node.platform_relay import PlatformRelay
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.requests import RequestPlane
from pomeloarch_node.role_lease import LeasedRole
from pomeloarch_node.scheduler_task import SchedulerTask
from pomeloarch_node.settings import Settings
from pomeloarch_node.worker_client import HttpWorkerClient

_MS_PER_S = 1000
_KEEPALIVE_TIMEOUT_S = 30

# Limit on this node's writes to the platform. Six hosts at this rate stay near
# the several hundred writes per second that the platform accepts; the limit on
# the writes of each component is lower.
_MAX_PLATFORM_WRITES_PER_S = 70.0


class Node:
    """The components of one node, connected to each other.

    Attributes:
      components: the components by name, in the order in which a planned
        stop drains them.

    Args:
      settings: the node's settings.
      session: the HTTP session for platform and workers; the caller closes
        it.
    """

    def __init__(
        self, settings: Settings, session: aiohttp.ClientSession
    ) -> None:
        """Builds all components; `run` starts them."""
        self._settings = settings
        self._session = session
        self._rng = random.Random()
        self._metrics = Metrics()
        self._holder = ConfigurationHolder()
        self._directory = HostDirectory()
        self._readiness = Readiness(self._holder)
        self._peers = TcpPeerMessenger.from_settings(
            settings,
            int(time.time() * _MS_PER_S),
            self._metrics,
            time.monotonic,
            self._rng,
        )
        self._relay = PlatformRelay(
            HttpPlatformClient(session, settings.platform_url),
            self._peers,
            settings.node_id,
            settings.availability_zone,
            time.monotonic,
            self._metrics,
            self._rng,
        )
        self._platform = LimitedPlatformClient(
            self._relay,
            time.monotonic,
            self._metrics,
            self._rng,
            PlatformLimits(writes_per_s=_MAX_PLATFORM_WRITES_PER_S),
        )
        self._role = LeasedRole(
            f"scheduler/{settings.availability_zone}",
            settings.node_id,
            self._platform.for_role("role", urgent=True),
            time.monotonic,
            self._metrics,
            self._rng,
        )
        self.components = self._build_components()

    def _build_components(self) -> dict[str, Component]:
        spreader = self._build_generation_spreader()
        hosts = self._build_host_watch()
        scheduler = self._build_scheduler()
        return {
            "requests": self._build_request_plane(),
            "scheduler": scheduler,
            "jobs": self._build_jobs_api(scheduler),
            "operators": self._build_operators_api(),
            "role": BackgroundComponent(self._role.run),
            "generation_spread": BackgroundComponent(spreader.run),
            "hosts": BackgroundComponent(hosts.run),
            "platform": BackgroundComponent(
                self._relay.run,
                status=lambda: {"cut_off": self._relay.is_cut_off},
            ),
            "peers": BackgroundComponent(self._peers.run, self._peers.drain),
        }

    def _build_request_plane(self) -> RequestPlane:
        return RequestPlane(
            self._settings,
            self._holder,
            self._directory,
            self._peers,
            self._platform.for_role("requests"),
            self._metrics,
            time.monotonic,
            self._rng,
        )

    def _build_operators_api(self) -> OperatorsApi:
        return OperatorsApi(
            self._platform.for_role("operators"),
            self._holder,
            self._metrics,
            self._settings.node_id,
            self._rng,
        )

    def _build_generation_spreader(self) -> GenerationSpreader:
        store = PublicationStore(
            self._platform.for_role("generations"),
            lambda: self._holder.snapshot,
        )
        return GenerationSpreader(
            self._holder,
            TableSnapshotSource(store),
            self._peers,
            self._settings.node_id,
            self._settings.availability_zone,
            time.monotonic,
            self._metrics,
            self._rng,
        )

    def _build_host_watch(self) -> HostDirectoryTask:
        return HostDirectoryTask(
            self._directory,
            self._platform.for_role("hosts"),
            self._peers,
            time.monotonic,
            self._metrics,
            self._rng,
        )

    def _build_scheduler(self) -> SchedulerTask:
        return SchedulerTask(
            self._settings.availability_zone,
            self._settings.node_id,
            self._platform.for_role("scheduler"),
            self._role,
            self._holder,
            self._directory,
            self._peers,
            HttpWorkerClient(self._session),
            self._metrics,
            self._rng,
            ZoneScheduler.from_config,
        )

    def _build_jobs_api(self, scheduler: SchedulerTask) -> JobsApi:
        return JobsApi(
            self._settings.availability_zone,
            self._platform.for_role("jobs"),
            self._holder,
            self._peers,
            scheduler,
            self._metrics,
            self._rng,
        )

    def build_server(self) -> uvicorn.Server:
        """Builds the HTTP server, which does not listen yet."""
        pages = StatusPages(
            self._settings.node_id,
            self._settings.availability_zone,
            self._readiness,
            self._holder,
            self._peers,
            self._directory,
            self._metrics,
            self.components,
        )
        app = build_app(pages, list(self.components.values()))
        config = uvicorn.Config(
            ConnectionCloseMiddleware(app, self._readiness),
            host=self._settings.address,
            port=self._settings.http_port,
            loop="asyncio",
            http=make_limited_protocol(self._settings.max_connections),
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=_KEEPALIVE_TIMEOUT_S,
        )
        return NodeServer(config)

    async def run(self) -> ExitCode:
        """Runs until a planned stop is complete or a second signal arrives."""
        lifecycle = Lifecycle(
            self.build_server(),
            self._readiness,
            self.components,
            self._settings.drain_s,
            self._metrics,
        )
        return await lifecycle.run()


async def run_node(settings: Settings) -> ExitCode:
    """Runs a node with the given settings and returns its exit code."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await Node(settings, session).run()
