"""The node's component that schedules its zone while it holds the role."""

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

# Time between two digests of the zone's load, in seconds.
DIGEST_INTERVAL_S = 1.0
# How long heartbeats go on at most after the role is given up, in seconds.
MAX_HANDOVER_S = 4.0
# Pause after a failure of the scheduler, in seconds.
_RESTART_PAUSE_S = 1.0


class SchedulerTask:
    """Schedules a zone for as long as this node holds the scheduler's role.

    Args:
      zone: the node's zone.
      node_id: this node.
      platform: client of the platform's tables.
      role: the leased role of the zone's scheduler.
      configuration: the generation in force.
      hosts: the platform's list of hosts.
      peers: connections to the other nodes.
      worker_client: sends calls to workers.
      metrics: the node's metrics.
      rng: source of the randomness in decisions.
      make_scheduler: creates the core's scheduler of a zone.
      wall_clock: returns the time of the wall clock, in seconds.
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
        """Creates a component that does not run yet."""
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
        self._announcements = peers.subscribe(JOB_TOPIC)
        self._session: SchedulerSession | None = None
        self._epoch = Epoch(0)
        self._draining = False

    def routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes of the component: none."""
        return []

    async def run(self) -> None:
        """Schedules whenever the role is held, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._links.run())
            group.create_task(self._follow_announcements())
            group.create_task(self._publish_digest())
            group.create_task(self._run_sessions())

    async def drain(self) -> None:
        """Hands the zone over to another node.

        The role is given up at once. Heartbeats go on until a worker reports
        the successor's epoch or `MAX_HANDOVER_S` has passed; they start nothing
        but keep the leases of running tasks alive.
        """
        self._draining = True
        held = self._session is not None
        await self._role.release()
        if not held:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_HANDOVER_S):
                await self._gate.wait_until_superseded()

    def explain(self, job_id: JobId) -> list[str] | None:
        """Returns the reasons of a job's state.

        The result is None if this node isn't the holder or has not completed
        its takeover.
        """
        if self._session is None or not self._session.is_ready:
            return None
        return self._session.explain(job_id)

    def status(self) -> dict[str, Any]:
        """Returns the component's section of `GET /v1/status`."""
        if self._session is not None:
            return {
                "role": "holder",
                "epoch": self._epoch,
                **self._session.status(),
            }
        role = "caretaker" if self._gate.is_caretaking else "standby"
        return {"role": role, "epoch": self._epoch}

    async def _run_sessions(self) -> None:
        while True:
            epoch = self._role.epoch()
            if epoch is None or self._draining:
                await self._role.wait_for_change()
                continue
            if epoch == self._epoch:
                # The tenure ended although the lease is still valid. The role
                # is released, because only a new epoch allows a new tenure.
                await self._role.release()
                await self._role.wait_for_change()
                continue
            self._epoch = epoch
            await self._schedule(Tenure(self._role, epoch))

    async def _schedule(self, tenure: Tenure) -> None:
        logging.info(
            "zone %s: scheduler starts under epoch %s", self._zone, tenure.epoch
        )
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
            logging.exception("zone %s: scheduler failed", self._zone)
            tenure.lose("the scheduler failed")
            await asyncio.sleep(_RESTART_PAUSE_S)
        finally:
            self._session = None
            self._metrics.set("scheduler_held", 0)
        logging.info("zone %s: scheduler ended: %s", self._zone, tenure.reason)

    async def _follow_announcements(self) -> None:
        while True:
            message = await self._announcements.get()
            if self._session is not None:
                job_id = message.payload.decode("utf-8", errors="replace")
                self._session.read_soon(JobId(job_id))

    async def _publish_digest(self) -> None:
        """Publishes the zone's load while a session runs.

        Between sessions, the node ends its heartbeats when the digest of a
        newer holder arrives.
        """
        while True:
            session = self._session
            payload = b""
            if session is not None and session.is_ready:
                payload = encode_digest(self._make_digest(session))
            self._peers.set_digest(DIGEST_TOPIC, payload)
            if session is None:
                self._check_for_successor()
            await asyncio.sleep(DIGEST_INTERVAL_S)

    def _make_digest(self, session: SchedulerSession) -> ZoneDigest:
        workers = self._links.workers
        return ZoneDigest(
            availability_zone=self._zone,
            epoch=self._epoch,
            accelerators=sum(worker.accelerators for worker in workers),
            wanted=session.wanted_accelerators,
        )

    def _check_for_successor(self) -> None:
        digests = decode_digests(self._peers.digests(DIGEST_TOPIC).values())
        newest = digests.get(self._zone)
        if newest is not None and newest[1].epoch > self._epoch:
            epoch = newest[1].epoch
            self._gate.supersede(f"another node has begun epoch {epoch}")
