"""Builds a node of its parts and runs it."""

from __future__ import annotations

import random
import time

import aiohttp
import uvicorn

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_node.app import Health, StatusPages, build_app
from pomeloarch_node.component import BackgroundPart, Component
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.generation_spreader import GenerationSpreader
from pomeloarch_node.generation_tables import TableSnapshotSource
from pomeloarch_node.host_watch import HostDirectoryTask
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.http_limits import make_limited_protocol
from pomeloarch_node.jobs_api import JobsApi
from pomeloarch_node.lifecycle import (
    CloseWhileStopping,
    ExitCode,
    Lifecycle,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.node_server import NodeServer
from pomeloarch_node.operators_api import OperatorsApi
from pomeloarch_node.peer_messenger import TcpPeerMessenger
from pomeloarch_node.platform import HttpPlatformClient
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

_MILLISECONDS = 1000
_KEEPALIVE_S = 30

# Six hosts at this rate stay near the platform's several hundred a second;
# what each part writes is bounded below it.
_WRITES_PER_S = 70.0


class Node:
    """The parts of one node, wired together.

    Attributes:
      components: the parts by name, in the order in which a planned stop
        drains them.

    Args:
      settings: the node's settings.
      session: HTTP towards platform and workers; the caller closes it.
    """

    def __init__(
        self, settings: Settings, session: aiohttp.ClientSession
    ) -> None:
        """Builds all parts; none runs yet."""
        self._settings = settings
        self._session = session
        self._rng = random.Random()
        self._metrics = Metrics()
        self._holder = ConfigurationHolder()
        self._directory = HostDirectory()
        self._health = Health(self._holder)
        self._peers = TcpPeerMessenger.from_settings(
            settings,
            int(time.time() * _MILLISECONDS),
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
            PlatformLimits(writes_per_s=_WRITES_PER_S),
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
        spreader = self._spreader()
        hosts = self._host_watch()
        scheduler = self._scheduler()
        return {
            "requests": self._requests(),
            "scheduler": scheduler,
            "jobs": self._jobs(scheduler),
            "operators": self._operators(),
            "role": BackgroundPart(self._role.run),
            "generation_spread": BackgroundPart(spreader.run),
            "hosts": BackgroundPart(hosts.run),
            "platform": BackgroundPart(
                self._relay.run,
                status=lambda: {"cut_off": self._relay.is_cut_off},
            ),
            "peers": BackgroundPart(self._peers.run, self._peers.drain),
        }

    def _requests(self) -> RequestPlane:
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

    def _operators(self) -> OperatorsApi:
        return OperatorsApi(
            self._platform.for_role("operators"),
            self._holder,
            self._metrics,
            self._settings.node_id,
            self._rng,
        )

    def _spreader(self) -> GenerationSpreader:
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

    def _host_watch(self) -> HostDirectoryTask:
        return HostDirectoryTask(
            self._directory,
            self._platform.for_role("hosts"),
            self._peers,
            time.monotonic,
            self._metrics,
            self._rng,
        )

    def _scheduler(self) -> SchedulerTask:
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

    def _jobs(self, scheduler: SchedulerTask) -> JobsApi:
        return JobsApi(
            self._settings.availability_zone,
            self._platform.for_role("jobs"),
            self._holder,
            self._peers,
            scheduler,
            self._metrics,
            self._rng,
        )

    def server(self) -> uvicorn.Server:
        """Returns the HTTP server, which does not listen yet."""
        pages = StatusPages(
            self._settings.node_id,
            self._settings.availability_zone,
            self._health,
            self._holder,
            self._peers,
            self._directory,
            self._metrics,
            self.components,
        )
        app = build_app(pages, list(self.components.values()))
        config = uvicorn.Config(
            CloseWhileStopping(app, self._health),
            host=self._settings.address,
            port=self._settings.http_port,
            loop="asyncio",
            http=make_limited_protocol(self._settings.max_connections),
            lifespan="off",
            access_log=False,
            log_config=None,
            server_header=False,
            proxy_headers=False,
            timeout_keep_alive=_KEEPALIVE_S,
        )
        return NodeServer(config)

    async def run(self) -> ExitCode:
        """Runs until a planned stop is done or a second signal comes."""
        lifecycle = Lifecycle(
            self.server(),
            self._health,
            self.components,
            self._settings.drain_s,
            self._metrics,
        )
        return await lifecycle.run()


async def run_node(settings: Settings) -> ExitCode:
    """Runs a node by its settings and returns how it ended."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await Node(settings, session).run()
