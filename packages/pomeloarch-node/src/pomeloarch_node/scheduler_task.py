"""The part of a node that schedules its zone whenever it holds the role."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Any

from absl import logging
from starlette.routing import BaseRoute

from pomeloarch_core.ids import Epoch, JobId, NodeId, ZoneName
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessenger
from pomeloarch_node.platform import PlatformClient
from pomeloarch_node.roles import Role
from pomeloarch_node.scheduler_digest import (
    DIGEST_TOPIC,
    JOB_TOPIC,
    ZoneDigest,
    decode_digests,
    encode_digest,
)
from pomeloarch_node.scheduler_loop import MakeScheduler
from pomeloarch_node.scheduler_session import (
    SchedulerSession,
)
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_client import WorkerClient
from pomeloarch_node.worker_gate import WorkerGate
from pomeloarch_node.worker_links import WorkerLinks

DIGEST_S = 1.0
HANDOVER_S = 4.0
_RESTART_PAUSE_S = 1.0


class SchedulerTask:
    """Schedules a zone for as long as this node holds its role.

    Args:
      zone: the node's zone.
      node_id: this node.
      platform: the platform.
      role: the leased role of the zone's scheduler.
      configuration: the generation in force.
      hosts: the platform's list of hosts.
      peers: the plane between nodes.
      worker_client: carries calls to workers.
      metrics: the node's metrics.
      rng: the chance in decisions.
      make_scheduler: makes the core's scheduler of a zone.
      wall_clock: seconds of the wall clock.
    """

    def __init__(
        self,
        zone: ZoneName,
        node_id: NodeId,
        platform: PlatformClient,
        role: Role,
        configuration: ConfigurationHolder,
        hosts: HostDirectory,
        peers: PeerMessenger,
        worker_client: WorkerClient,
        metrics: Metrics,
        rng: random.Random,
        make_scheduler: MakeScheduler,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Keeps what it works with."""
        self._zone = zone
        self._platform = platform
        self._role = role
        self._configuration = configuration
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._make_scheduler = make_scheduler
        self._wall_clock = wall_clock
        self._gate = WorkerGate(worker_client, node_id)
        self._links = WorkerLinks(zone, hosts, self._gate)
        self._pokes = peers.subscribe(JOB_TOPIC)
        self._session: SchedulerSession | None = None
        self._epoch = Epoch(0)
        self._draining = False

    def routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes that the part answers: none."""
        return []

    async def run(self) -> None:
        """Schedules whenever the role is held, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._links.run())
            group.create_task(self._follow_pokes())
            group.create_task(self._tell_digest())
            group.create_task(self._hold())

    async def drain(self) -> None:
        """Hands the zone over; leases are kept until the next one is heard.

        The role is given up at once. Heartbeats, which start nothing, go on
        until a worker names the successor's epoch or a few seconds are over.
        """
        self._draining = True
        held = self._session is not None
        await self._role.release()
        if not held:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANDOVER_S):
                await self._gate.wait_superseded()

    def explain(self, job_id: JobId) -> list[str] | None:
        """Returns the reasons about a job, None when not the holder."""
        if self._session is None or not self._session.ready:
            return None
        return self._session.explain(job_id)

    def status(self) -> dict[str, Any]:
        """Returns the part's share of `GET /v1/status`."""
        if self._session is not None:
            return {
                "role": "holder",
                "epoch": self._epoch,
                **self._session.status(),
            }
        role = "caretaker" if self._gate.caretaking else "standby"
        return {"role": role, "epoch": self._epoch}

    async def _hold(self) -> None:
        while True:
            epoch = self._role.epoch()
            if epoch is None or self._draining:
                await self._role.changed()
                continue
            if epoch == self._epoch:
                # Lost for another reason than the lease: take it anew.
                await self._role.release()
                await self._role.changed()
                continue
            self._epoch = epoch
            await self._schedule(Tenure(self._role, epoch))

    async def _schedule(self, tenure: Tenure) -> None:
        logging.info("zone %s: scheduler epoch %s", self._zone, tenure.epoch)
        session = SchedulerSession(
            zone=self._zone,
            tenure=tenure,
            platform=self._platform,
            configuration=self._configuration,
            links=self._links,
            gate=self._gate,
            metrics=self._metrics,
            rng=self._rng,
            make_scheduler=self._make_scheduler,
            wall_clock=self._wall_clock,
        )
        self._session = session
        self._metrics.set("scheduler_held", 1)
        try:
            await session.run()
        except Exception:
            logging.exception("zone %s: the scheduler failed", self._zone)
            tenure.lose("the scheduler failed")
            await asyncio.sleep(_RESTART_PAUSE_S)
        finally:
            self._session = None
            self._metrics.set("scheduler_held", 0)
        logging.info("zone %s: scheduler ended: %s", self._zone, tenure.reason)

    async def _follow_pokes(self) -> None:
        while True:
            message = await self._pokes.get()
            if self._session is not None:
                job_id = message.payload.decode("utf-8", errors="replace")
                self._session.poke(JobId(job_id))

    async def _tell_digest(self) -> None:
        """Tells the zone's load, and stops when a newer holder is heard."""
        while True:
            session = self._session
            payload = b""
            if session is not None and session.ready:
                payload = encode_digest(self._digest(session))
            self._peers.set_digest(DIGEST_TOPIC, payload)
            if session is None:
                self._look_for_successor()
            await asyncio.sleep(DIGEST_S)

    def _digest(self, session: SchedulerSession) -> ZoneDigest:
        workers = self._links.workers
        return ZoneDigest(
            availability_zone=self._zone,
            epoch=self._epoch,
            accelerators=sum(worker.accelerators for worker in workers),
            wanted=session.wanted_accelerators,
        )

    def _look_for_successor(self) -> None:
        digests = decode_digests(self._peers.digests(DIGEST_TOPIC).values())
        newest = digests.get(self._zone)
        if newest is not None and newest[1].epoch > self._epoch:
            epoch = newest[1].epoch
            self._gate.supersede(f"another node has begun epoch {epoch}")
