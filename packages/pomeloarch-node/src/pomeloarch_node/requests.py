"""The request plane: callers' requests to the executors of services."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from absl import logging
from result import Err
from starlette.routing import BaseRoute, Mount

from pomeloarch_core.ids import ExecutorId
from pomeloarch_core.routing import ExecutorState, ServiceRouter, SharedBudget
from pomeloarch_core.routing.load_digest import (
    DRAINING_TOPIC,
    LOAD_TOPIC,
    LoadDigest,
    decode_load,
    decode_names,
    encode_load,
    encode_names,
)
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessenger
from pomeloarch_node.platform import PlatformClient
from pomeloarch_node.request_catalogue import Catalogue
from pomeloarch_node.request_claims import ClaimKeeper
from pomeloarch_node.request_dispatch import Dispatcher
from pomeloarch_node.request_handler import RequestHandler
from pomeloarch_node.request_watch import Watchdog
from pomeloarch_node.settings import Settings
from pomeloarch_node.upstream_client import UpstreamClient
from pomeloarch_node.upstream_connector import ConnectionUse

_TICK_S = 0.25


class RequestPlane:
    """The part of a node that forwards requests to executors.

    Args:
      settings: the node's settings.
      holder: the configuration in force.
      directory: the platform's list of hosts.
      peers: digests of the other nodes.
      platform: the platform's tables, for idempotency keys.
      metrics: where requests are counted.
      clock: returns the present time in seconds, monotonic.
      rng: the source of chance.
      wall_clock: returns the present time in seconds of the wall clock, to
        judge other nodes' claims.
    """

    def __init__(
        self,
        settings: Settings,
        holder: ConfigurationHolder,
        directory: HostDirectory,
        peers: PeerMessenger,
        platform: PlatformClient,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Keeps what it works with; `run` does the work."""
        self._holder = holder
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._client: UpstreamClient | None = None
        self._memory = SharedBudget(settings.max_buffered_bytes)
        self._places = SharedBudget(settings.max_connections)
        self._catalogue = Catalogue(settings.availability_zone, rng)
        self._probes: dict[ExecutorId, asyncio.Task[None]] = {}
        self._claims = ClaimKeeper(
            platform, settings.node_id, clock, wall_clock, rng
        )
        self._dispatcher = Dispatcher(
            client=self._open_client,
            claims=self._claims,
            clock=clock,
            rng=rng,
            suspect=self._suspect,
        )
        self._watchdog = Watchdog(clock)
        self._handler = RequestHandler(
            catalogue=self._catalogue,
            dispatcher=self._dispatcher,
            memory=self._memory,
            places=self._places,
            watchdog=self._watchdog,
            metrics=metrics,
            clock=clock,
            rng=rng,
        )

    def routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes that the part answers."""
        return [Mount("/v1/services", app=self._handler)]

    async def run(self) -> None:
        """Follows configuration, hosts and peers until it is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_configuration())
                group.create_task(self._follow_hosts())
                group.create_task(self._tick())
        finally:
            for probe in self._probes.values():
                probe.cancel()
            if self._client is not None:
                await self._client.close()

    async def drain(self) -> None:
        """Waits until every request in progress has its answer."""
        await self._handler.drain()
        await self._claims.drain()

    def status(self) -> dict[str, Any]:
        """Returns the part's share of `GET /v1/status`."""
        return {
            "in_progress": self._handler.in_progress,
            "buffered_bytes": self._memory.taken,
            "services": {
                name: _service_status(router)
                for name, router in self._catalogue.routers.items()
            },
        }

    def _open_client(self) -> UpstreamClient:
        if self._client is None:
            self._client = UpstreamClient(self._clock)
        return self._client

    async def _follow_configuration(self) -> None:
        queue = self._holder.subscribe()
        while True:
            snapshot = await queue.get()
            self._catalogue.take_snapshot(snapshot)
            floors = {
                each.name: each.floor_share for each in snapshot.objects.service
            }
            self._memory.set_floors(floors)
            self._places.set_floors(floors)

    async def _follow_hosts(self) -> None:
        queue = self._directory.subscribe()
        while True:
            self._catalogue.take_hosts(await queue.get())

    async def _tick(self) -> None:
        while True:
            self._take_peers()
            self._tell_peers()
            self._start_probes()
            self._watchdog.sweep()
            for router in self._catalogue.routers.values():
                self._dispatcher.pump(router)
            self._set_gauges()
            await asyncio.sleep(_TICK_S)

    def _take_peers(self) -> None:
        loads: list[LoadDigest] = []
        for message in self._peers.digests(LOAD_TOPIC).values():
            decoded = decode_load(message.payload)
            if isinstance(decoded, Err):
                logging.warning(
                    "the load of %s: %s", message.sender, decoded.err_value
                )
                continue
            loads.append(decoded.ok_value)
        leaving: set[ExecutorId] = set()
        for message in self._peers.digests(DRAINING_TOPIC).values():
            names = decode_names(message.payload)
            leaving.update(names.unwrap_or(()))
        silent = max(0, len(self._peers.live_nodes()) - 1 - len(loads))
        for name, router in self._catalogue.routers.items():
            router.update_from_peers(
                [load[name] for load in loads if name in load],
                leaving,
                self._clock(),
                silent,
            )

    def _tell_peers(self) -> None:
        now = self._clock()
        routers = self._catalogue.routers
        loads = {name: router.load() for name, router in routers.items()}
        self._peers.set_digest(LOAD_TOPIC, encode_load(loads))
        leaving = [
            executor_id
            for router in routers.values()
            for executor_id in router.pool.leaving.own_observations(now)
        ]
        self._peers.set_digest(DRAINING_TOPIC, encode_names(leaving))

    def _start_probes(self) -> None:
        now = self._clock()
        for router in self._catalogue.routers.values():
            for executor_id in router.eject_stalled(now):
                logging.warning("the executor %s has stalled", executor_id)
                self._metrics.count("stalled_executors")
            for executor_id in router.pool.ejector.due_probes(now):
                state = router.pool.states.get(executor_id)
                if state is not None:
                    self._probe(router, state, self._return_probe)

    def _probe(
        self,
        router: ServiceRouter,
        state: ExecutorState,
        then: Callable[[ServiceRouter, ExecutorState, bool], None],
    ) -> None:
        executor_id = state.upstream.executor_id
        if executor_id in self._probes:
            return

        async def _run() -> None:
            try:
                client = self._open_client()
                seconds = await client.probe(state.upstream.address)
                then(router, state, seconds is not None)
            finally:
                self._probes.pop(executor_id, None)

        self._probes[executor_id] = asyncio.create_task(_run())

    def _return_probe(
        self, router: ServiceRouter, state: ExecutorState, answered: bool
    ) -> None:
        executor_id = state.upstream.executor_id
        router.pool.ejector.end_probe(executor_id, answered, self._clock())

    def _suspect(
        self, router: ServiceRouter, state: ExecutorState, use: ConnectionUse
    ) -> None:
        """Tells a silent connection from a stalled executor by a probe."""

        def _judge(
            router: ServiceRouter, state: ExecutorState, answered: bool
        ) -> None:
            if answered:
                address = state.upstream.address
                self._open_client().connector.distrust(address, use.sent_at)
                self._metrics.count("silent_connections")
                return
            if router.pool.ejector.eject(
                state.upstream.executor_id, self._clock()
            ):
                self._metrics.count("stalled_executors")

        self._probe(router, state, _judge)

    def _set_gauges(self) -> None:
        for name, router in self._catalogue.routers.items():
            admission = router.admission
            self._metrics.set(
                "requests_in_progress", admission.in_progress, service=name
            )
            self._metrics.set(
                "requests_waiting", admission.waiting, service=name
            )
            self._metrics.set(
                "concurrency_limit", admission.limit, service=name
            )


def _service_status(router: ServiceRouter) -> dict[str, Any]:
    admission = router.admission
    return {
        "limit": admission.limit,
        "in_progress": admission.in_progress,
        "waiting": admission.waiting,
        "executors": {
            executor_id: {
                "state": state.health.state.value,
                "leaving": executor_id in router.pool.leaving,
                "in_progress": state.in_progress,
                "load": round(state.load(), 2),
            }
            for executor_id, state in router.pool.states.items()
        },
    }
