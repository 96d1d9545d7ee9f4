"""A node that serves batch jobs: its parts, its start and its planned stop."""

from __future__ import annotations

import asyncio
import functools
import random
import signal
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import uvicorn
from result import Err, Result
from starlette.responses import PlainTextResponse

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.estimates import DispatchTimes
from pomeloarch_core.batch.upkeep import Wave
from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership import LeaseConfig
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.intake import Intake
from pomeloarch_node.batch.leader import (
    ExternalServices,
    Leader,
    LeaderTimes,
    ReadWorkers,
)
from pomeloarch_node.batch.mirror import TableMirror
from pomeloarch_node.batch.peer_forwarding import (
    FORWARDED_HEADER,
    ForwardedRequestsApp,
    ForwardingApp,
    HttpPeerTransport,
    PeerClient,
    PeerRow,
    make_nodes_mirror,
    register_node,
)
from pomeloarch_node.batch.ports import (
    AdviceService,
    FeedStore,
    MachineService,
    TableChanges,
    WorkerLinks,
)
from pomeloarch_node.batch.records import JOBS_TABLE, ROLE_NAME
from pomeloarch_node.batch.repeating_store import RepeatingStore
from pomeloarch_node.batch.store_monitor import StoreMonitor
from pomeloarch_node.batch.upkeep_task import WaveSource
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.node_server import NodeServer
from pomeloarch_node.platform import StoreLimits, Write
from pomeloarch_node.role_lease import LeasedRole

# How long the feeds wait for a change, in seconds. Each answer confirms that
# the table is current and that the store can be reached.
FEED_WAIT_S = 0.5
CONFIGURATION_INTERVAL_S = 0.05
JOBS_INTERVAL_S = 0.25
# Keys are no longer trusted this much earlier than the limit for a revocation,
# in seconds: a request may have been under way before it is read.
KEYS_MARGIN_S = 0.6
RENEW_WAIT_S = 1.0
# Workers and the store reject a former holder, so that the lease may be short:
# a premature change of holder costs half a second, and nothing is done twice.
# Two renewals of 0.8 s each, as in a store that has just become a hundred times
# slower, fit into the lease. When the store is quick, a holder that missed two
# renewals has ended or is cut off, and others claim the role before its lease
# ends.
ROLE_LEASE = LeaseConfig(
    lease_s=2.4,
    drift_bound_s=0.2,
    renew_s=0.3,
    poll_s=0.25,
    retry_s=0.1,
    overdue_s=0.7,
)
# The scheduler uses up to 0.7 of a core with 176 workers. Hosts with less than
# one core let other hosts, which poll every 0.3 s, claim the role first.
MIN_LEADER_CORES = 1.0
SMALL_HOST_DELAY_S = 1.5
# How long the balancer may still send callers here after a planned stop has
# begun, in seconds. It checks every second and stops after two failed checks.
BALANCER_DRAIN_S = 2.4
# Time for the answers in progress once the listeners are closed, in seconds.
LAST_ANSWERS_TIMEOUT_S = 2.5
# How long after a handover the former holder's last upkeep order may still
# arrive, in seconds: a holder that gives the role up acts until its lease ends,
# and its last order may be under way a little longer.
UPKEEP_HANDOVER_MARGIN_S = 0.7 + ROLE_LEASE.max_lease_s
# Pause before a part that failed is started again, in seconds. Several such
# pauses fit into the time within which a configuration has to be in force.
RESTART_PAUSE_S = 0.2
_KEEPALIVE_S = 75
_BACKLOG = 512


class BatchSettings(msgspec.Struct, frozen=True):
    """The settings of a node.

    Attributes:
      node_id: the node's name.
      availability_zone: the zone that it runs in.
      callers_address: where callers are served, `ip:port`.
      readiness_address: where the balancer asks whether the node is ready,
        `ip:port`.
      metrics_address: where metrics are served and peers forward requests to,
        `ip:port`; empty for nowhere.
      cores: processor time of the host, in cores.
      grace_s: time between the signal for a planned stop and the kill, in
        seconds.
      revoke_s: a revoked key is refused within this time, in seconds.
      max_lease_s: the longest lease that workers grant, in seconds.
      keep_finished_s: how long the state of an ended job is kept, in seconds.
      dispatch: time limits for placing and preempting groups.
      upkeep_s: how long a machine is down for its upkeep, in seconds.
      upkeep_lease_s: minimum time between the orders of two holders to the same
        machine, in seconds.
      store_limits: what the store takes.
    """

    node_id: NodeId
    availability_zone: ZoneName
    callers_address: str
    readiness_address: str
    metrics_address: str = ""
    cores: float = MIN_LEADER_CORES
    grace_s: float = 6.0
    revoke_s: float = 5.0
    max_lease_s: float = 6.0
    keep_finished_s: float = 120.0
    dispatch: DispatchTimes = DispatchTimes()
    upkeep_s: float = 2.0
    upkeep_lease_s: float = 3.0
    store_limits: StoreLimits = StoreLimits()


class Sources(msgspec.Struct, frozen=True):
    """Tables and services of the deployment, and how to read and write them.

    Attributes:
      configuration_table: the table of the configuration.
      configuration_key: the key of its row.
      read_configuration: decodes the row.
      workers_table: the table of workers.
      read_workers: decodes its rows.
      read_waves: returns the upkeep waves among the configuration's rows.
      wave_status: returns the row that reports the state of a wave.
      machines: the machine service; None where there is none.
      advice: the advice service; None where there is none.
    """

    configuration_table: str
    configuration_key: str
    read_configuration: Callable[[Any], Result[Catalogue, str]]
    workers_table: str
    read_workers: ReadWorkers
    read_waves: Callable[[dict[str, Any]], tuple[Wave, ...]]
    wave_status: Callable[[int, bool], Write]
    machines: MachineService | None = None
    advice: AdviceService | None = None


class BatchNode:
    """One node of a fleet in which all nodes are equal.

    Attributes:
      catalogue: the configuration in force, None before the first.
      is_stopping: whether a planned stop has begun.
      metrics: counters and latencies.

    Args:
      settings: the node's settings.
      store: the store.
      links: opens links to workers.
      sources: tables and services of the deployment.
    """

    def __init__(
        self,
        settings: BatchSettings,
        store: FeedStore,
        links: WorkerLinks,
        sources: Sources,
    ) -> None:
        """Builds all parts without starting them."""
        self._settings = settings
        self._sources = sources
        repeating = self._store = RepeatingStore(store, self.clock)
        self.metrics = Metrics()
        self.log = DecisionLog(settings.node_id, self.metrics)
        self.catalogue: Catalogue | None = None
        self.is_stopping = False
        self._stop_requested = asyncio.Event()
        self._configuration = TableMirror(
            repeating,
            sources.configuration_table,
            self.clock,
            self.log,
            FEED_WAIT_S,
            CONFIGURATION_INTERVAL_S,
        )
        self._configuration.subscribe(self._on_configuration)
        self._nodes = make_nodes_mirror(repeating, self.clock, self.log)
        self._transport = HttpPeerTransport()
        self._peers = PeerClient(
            settings.node_id,
            settings.availability_zone,
            lambda: self._nodes.rows,
            self._transport,
            self.clock,
            random.Random(),
            self.log,
            self._generation,
        )
        self._store_monitor = StoreMonitor(
            repeating,
            self._configuration,
            (sources.configuration_table, sources.configuration_key),
            self._peers.is_any_reachable,
            self.clock,
            self.log,
        )
        self._jobs = TableMirror(
            repeating,
            JOBS_TABLE,
            self.clock,
            self.log,
            FEED_WAIT_S,
            JOBS_INTERVAL_S,
        )
        self.intake = Intake(
            repeating,
            self._jobs,
            self.clock,
            self.log,
            lambda: self._store_monitor.is_reachable(self.clock()),
            limits=settings.store_limits,
            count_nodes=lambda: len(self._nodes.rows),
        )
        self._role = LeasedRole(
            ROLE_NAME,
            settings.node_id,
            store,
            self.clock,
            self.metrics,
            random.Random(),
            ROLE_LEASE,
            SMALL_HOST_DELAY_S if settings.cores < MIN_LEADER_CORES else 0.0,
            repeating.reset,
        )
        self._leader = Leader(
            repeating,
            (sources.workers_table, sources.read_workers),
            links,
            lambda: self.catalogue,
            self._jobs,
            ExternalServices(
                WaveSource(self._waves, sources.wave_status),
                sources.machines,
                sources.advice,
            ),
            settings.node_id,
            self._role,
            self.clock,
            _leader_times(settings),
            self.log,
            self.metrics,
            limits=settings.store_limits,
        )

    @staticmethod
    def clock() -> float:
        """Returns monotonic time that continues while the host is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def keys_are_current(self, now: float) -> bool:
        """Returns whether the configuration is recent enough to trust keys."""
        limit_s = self._settings.revoke_s - KEYS_MARGIN_S
        return self._configuration.age(now) < limit_s

    def configuration_age(self, now: float) -> float:
        """Returns the seconds since the configuration was confirmed."""
        return round(self._configuration.age(now), 3)

    def is_ready(self, now: float) -> bool:
        """Returns whether the balancer may send callers here."""
        return (
            not self.is_stopping
            and self.catalogue is not None
            and self._jobs.loaded.is_set()
            and self._store_monitor.is_reachable(now)
        )

    def _waves(self) -> tuple[Wave, ...]:
        return self._sources.read_waves(self._configuration.rows)

    def _on_configuration(
        self, changes: TableChanges, _is_snapshot: bool
    ) -> None:
        for row in changes.rows:
            if row.key == self._sources.configuration_key and row.value:
                self._apply_configuration(row.value, row.version)

    def _apply_configuration(self, value: Any, version: int) -> None:
        read = self._sources.read_configuration(value)
        if isinstance(read, Err):
            self.log.write(
                "configuration unreadable",
                row_version=version,
                reason=read.err_value,
            )
            return
        newer = read.ok_value
        if (
            self.catalogue is not None
            and newer.generation <= self.catalogue.generation
        ):
            return
        self.catalogue = newer
        self.log.write("configuration in force", generation=newer.generation)
        self._leader.catalogue_changed(newer)

    async def run(self, callers_app: Any) -> None:
        """Serves until a planned stop is complete."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_requested.set)
        self.log.write(
            "node starts",
            availability_zone=self._settings.availability_zone,
        )
        forwarding_app = ForwardingApp(
            callers_app,
            self._peers,
            self._max_body_bytes,
            self.clock,
            self._store.write_timeout_s,
            self._store_monitor.request_check,
        )
        callers = self._server(self._settings.callers_address, forwarding_app)
        readiness = self._server(
            self._settings.readiness_address, self._readiness_app
        )
        running = [
            self._keep_running("configuration", self._configuration.run),
            self._keep_running("store contact", self._store_monitor.run),
            self._keep_running("jobs", self._jobs.run),
            self._keep_running("nodes", self._nodes.run),
            self._keep_running("leader", self._leader.run),
            readiness.serve(),
        ]
        if self._settings.metrics_address:
            internal = self._server(
                self._settings.metrics_address,
                functools.partial(
                    self._internal_app,
                    ForwardedRequestsApp(
                        callers_app, self._generation, lambda: self.is_stopping
                    ),
                ),
            )
            running += [
                internal.serve(),
                self._keep_running("registration", self._register),
            ]
        parts = [asyncio.create_task(each) for each in running]
        serving = asyncio.create_task(callers.serve())
        await self._stop_requested.wait()
        await self._planned_stop(callers)
        await asyncio.wait({serving}, timeout=LAST_ANSWERS_TIMEOUT_S)
        for part in parts:
            part.cancel()
        await asyncio.gather(*parts, return_exceptions=True)
        self.log.write("node stopped")

    async def _keep_running(
        self, part: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a part of the node and restarts it whenever it fails.

        Without the restart, the node would keep working with outdated data.
        """
        while True:
            try:
                return await run()
            except Exception:
                self.log.write(
                    "part failed",
                    part=part,
                    error=traceback.format_exc(limit=-4),
                )
            await asyncio.sleep(RESTART_PAUSE_S)

    def _generation(self) -> int:
        return 0 if self.catalogue is None else self.catalogue.generation

    def _max_body_bytes(self) -> int:
        if self.catalogue is None:
            return 0
        return self.catalogue.limits.max_body_bytes

    async def _register(self) -> None:
        """Stores the address at which the other nodes reach this one."""
        row = PeerRow(
            self._settings.metrics_address, self._settings.availability_zone
        )
        await register_node(self._store, self._settings.node_id, row, self.log)

    def reload(self, settings: BatchSettings) -> None:
        """Applies changed settings.

        Time limits take effect at once, those of the scheduler with its next
        term, and addresses only after a restart.
        """
        self.log.write(
            "settings changed",
            restart_needed=_addresses(settings) != _addresses(self._settings),
        )
        self._settings = settings
        self._leader.times = _leader_times(settings)

    async def _planned_stop(self, callers: uvicorn.Server) -> None:
        self.is_stopping = True
        self.log.write("planned stop begins", grace_s=self._settings.grace_s)
        self._leader.stop_after_term()
        releasing = asyncio.create_task(self._role.release())
        await asyncio.sleep(min(BALANCER_DRAIN_S, self._settings.grace_s * 0.4))
        await asyncio.wait({releasing}, timeout=0.1)
        callers.should_exit = True

    def _server(self, address: str, app: Any) -> uvicorn.Server:
        host, _, port = address.rpartition(":")
        return NodeServer(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                loop="asyncio",
                http="httptools",
                ws="none",
                interface="asgi3",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                proxy_headers=False,
                backlog=_BACKLOG,
                timeout_keep_alive=_KEEPALIVE_S,
            )
        )

    async def _readiness_app(self, scope: Any, receive: Any, send: Any) -> None:
        ready = self.is_ready(self.clock())
        response = PlainTextResponse("", 200 if ready else 503)
        await response(scope, receive, send)

    async def _internal_app(
        self,
        forwarded_app: ForwardedRequestsApp,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        """Serves metrics, and callers' requests that peers forward."""
        if any(
            name == FORWARDED_HEADER for name, _ in scope.get("headers", ())
        ):
            await forwarded_app(scope, receive, send)
            return
        response = PlainTextResponse(self.metrics.render())
        await response(scope, receive, send)


def _addresses(settings: BatchSettings) -> tuple[str, ...]:
    return (
        settings.callers_address,
        settings.readiness_address,
        settings.metrics_address,
    )


def _leader_times(settings: BatchSettings) -> LeaderTimes:
    return LeaderTimes(
        settings.max_lease_s,
        RENEW_WAIT_S,
        settings.dispatch,
        settings.upkeep_s,
        settings.upkeep_lease_s + UPKEEP_HANDOVER_MARGIN_S,
        settings.keep_finished_s,
    )
