"""The request plane, which forwards callers' requests to executors."""

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
from pomeloarch_node.request_claims import ClaimStore
from pomeloarch_node.request_dispatch import Dispatcher
from pomeloarch_node.request_handler import RequestHandler
from pomeloarch_node.request_watch import Watchdog
from pomeloarch_node.settings import Settings
from pomeloarch_node.upstream_client import UpstreamClient
from pomeloarch_node.upstream_connector import ConnectionUse

# Interval between rounds of the request plane's periodic work, in seconds.
_TICK_INTERVAL_S = 0.25


class RequestPlane:
    """The component of a node that forwards requests to executors.

    Args:
      settings: the node's settings.
      holder: the configuration in force.
      directory: the platform's list of hosts.
      peers: exchanges digests of load with the other nodes.
      platform: the client of the platform's tables, for idempotency keys.
      metrics: the node's metrics, in which requests are counted.
      clock: returns the present time in seconds, monotonic.
      rng: the random number generator of the request plane.
      wall_clock: returns the present time in seconds of the wall clock, with
        which the deadlines of other nodes' claims are compared.
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
        """Creates a request plane; `run` does its work."""
        self._holder = holder
        self._directory = directory
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._client: UpstreamClient | None = None
        self._memory_budget = SharedBudget(settings.max_buffered_bytes)
        self._request_budget = SharedBudget(settings.max_connections)
        self._catalogue = Catalogue(settings.availability_zone, rng)
        self._probes: dict[ExecutorId, asyncio.Task[None]] = {}
        self._claims = ClaimStore(
            platform, settings.node_id, clock, wall_clock, rng
        )
        self._dispatcher = Dispatcher(
            client=self._open_client,
            claims=self._claims,
            clock=clock,
            rng=rng,
            on_silence=self._check_silence,
        )
        self._watchdog = Watchdog(clock)
        self._handler = RequestHandler(
            catalogue=self._catalogue,
            dispatcher=self._dispatcher,
            memory_budget=self._memory_budget,
            request_budget=self._request_budget,
            watchdog=self._watchdog,
            metrics=metrics,
            clock=clock,
            rng=rng,
        )

    def routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes of the request plane."""
        return [Mount("/v1/services", app=self._handler)]

    async def run(self) -> None:
        """Follows configuration, hosts and peers until it is cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_configuration())
                group.create_task(self._follow_hosts())
                group.create_task(self._run_ticks())
        finally:
            for probe in self._probes.values():
                probe.cancel()
            if self._client is not None:
                await self._client.close()

    async def drain(self) -> None:
        """Waits until no request is in progress and no claim being settled."""
        await self._handler.drain()
        await self._claims.drain()

    def status(self) -> dict[str, Any]:
        """Returns the request plane's section of `GET /v1/status`."""
        return {
            "in_progress": self._handler.in_progress,
            "buffered_bytes": self._memory_budget.taken,
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
            self._catalogue.apply_snapshot(snapshot)
            floors = {
                each.name: each.floor_share for each in snapshot.objects.service
            }
            self._memory_budget.set_floors(floors)
            self._request_budget.set_floors(floors)

    async def _follow_hosts(self) -> None:
        queue = self._directory.subscribe()
        while True:
            self._catalogue.update_hosts(await queue.get())

    async def _run_ticks(self) -> None:
        while True:
            self._update_from_peers()
            self._publish_digests()
            self._check_executors()
            self._watchdog.sweep()
            for router in self._catalogue.routers.values():
                self._dispatcher.admit_waiting(router)
            self._set_gauges()
            await asyncio.sleep(_TICK_INTERVAL_S)

    def _update_from_peers(self) -> None:
        loads: list[LoadDigest] = []
        for message in self._peers.digests(LOAD_TOPIC).values():
            decoded = decode_load(message.payload)
            if isinstance(decoded, Err):
                logging.warning(
                    "cannot decode the load digest of node %s: %s",
                    message.sender,
                    decoded.err_value,
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

    def _publish_digests(self) -> None:
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

    def _check_executors(self) -> None:
        now = self._clock()
        for router in self._catalogue.routers.values():
            for executor_id in router.eject_stalled(now):
                logging.warning("executor %s has stalled", executor_id)
                self._metrics.count("stalled_executors")
            for executor_id in router.pool.ejector.due_probes(now):
                state = router.pool.states.get(executor_id)
                if state is not None:
                    self._start_probe(router, state, self._record_probe)

    def _start_probe(
        self,
        router: ServiceRouter,
        state: ExecutorState,
        on_result: Callable[[ServiceRouter, ExecutorState, bool], None],
    ) -> None:
        executor_id = state.upstream.executor_id
        if executor_id in self._probes:
            return

        async def _run() -> None:
            try:
                client = self._open_client()
                seconds = await client.probe(state.upstream.address)
                on_result(router, state, seconds is not None)
            finally:
                self._probes.pop(executor_id, None)

        self._probes[executor_id] = asyncio.create_task(_run())

    def _record_probe(
        self, router: ServiceRouter, state: ExecutorState, answered: bool
    ) -> None:
        executor_id = state.upstream.executor_id
        router.pool.ejector.end_probe(executor_id, answered, self._clock())

    def _check_silence(
        self, router: ServiceRouter, state: ExecutorState, use: ConnectionUse
    ) -> None:
        """Probes an executor that has left an attempt without an answer.

        If it answers the probe, only the attempt's connection is silent;
        otherwise the executor has stalled and is ejected.
        """

        def _handle_result(
            router: ServiceRouter, state: ExecutorState, answered: bool
        ) -> None:
            if answered:
                address = state.upstream.address
                self._open_client().connector.invalidate_idle(
                    address, use.sent_at
                )
                self._metrics.count("silent_connections")
                return
            if router.pool.ejector.eject(
                state.upstream.executor_id, self._clock()
            ):
                self._metrics.count("stalled_executors")

        self._start_probe(router, state, _handle_result)

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
