"""The HTTP application of a node: its parts' routes and its own few."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import BaseRoute, Mount, Route
from starlette.types import ASGIApp, Receive, Scope, Send

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.generation_messages import (
    Have,
    decode_message,
)
from pomeloarch_node.component import Component
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.generation_spreader import TOPIC
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage, PeerMessenger
from pomeloarch_node.platform import HostKind, HostState


class Health:
    """Whether the balancer may send work to this node.

    Args:
      holder: a node without configuration is not ready.
    """

    def __init__(self, holder: ConfigurationHolder) -> None:
        """Starts in service."""
        self._holder = holder
        self.stopping = False

    def reason_not_ready(self) -> str | None:
        """Returns why the balancer has to send nothing, None if it may."""
        if self.stopping:
            return "a planned stop has begun"
        if self._holder.snapshot is None:
            return "no configuration is known"
        return None


class NodeGeneration(msgspec.Struct, frozen=True):
    """The generation that a node has in force."""

    node: NodeId
    availability_zone: ZoneName
    generation: int


class StatusPages:
    """`/healthz`, `/readyz`, `/metrics` and `/v1/status`.

    Args:
      node: this node's id.
      zone: this node's availability zone.
      health: whether work may be sent here.
      holder: the configuration in force.
      peers: what other nodes say of theirs.
      directory: the platform's list, with the nodes that say nothing.
      metrics: what `/metrics` renders.
      components: the parts by name, each with a share of the status.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneName,
        health: Health,
        holder: ConfigurationHolder,
        peers: PeerMessenger,
        directory: HostDirectory,
        metrics: Metrics,
        components: dict[str, Component],
    ) -> None:
        """Keeps what the pages show."""
        self._node = node
        self._zone = zone
        self._health = health
        self._holder = holder
        self._peers = peers
        self._directory = directory
        self._metrics = metrics
        self._components = components

    def routes(self) -> list[BaseRoute]:
        """Returns the routes of the pages."""
        return [
            Route("/healthz", self._healthz),
            Route("/readyz", self._readyz),
            Route("/metrics", self._render_metrics),
            Route("/v1/status", self._status),
        ]

    async def _healthz(self, request: Request) -> Response:
        return PlainTextResponse("ok\n")

    async def _readyz(self, request: Request) -> Response:
        reason = self._health.reason_not_ready()
        if reason is None:
            return PlainTextResponse("ready\n")
        return PlainTextResponse(f"{reason}\n", status_code=503)

    async def _render_metrics(self, request: Request) -> Response:
        return PlainTextResponse(self._metrics.render())

    async def _status(self, request: Request) -> Response:
        body: dict[str, Any] = {
            "node": self._node,
            "availability_zone": self._zone,
            "generation": self._holder.generation,
            "stopping": self._health.stopping,
            "generations": self._generations(),
        }
        for name, component in self._components.items():
            body[name] = component.status()
        return Response(
            msgspec.json.encode(body), media_type="application/json"
        )

    def _generations(self) -> list[NodeGeneration]:
        """Returns what each node has; 0 for one that is only on the list."""
        found = {
            NodeId(host.id): NodeGeneration(
                NodeId(host.id), ZoneName(host.availability_zone), 0
            )
            for host in self._directory.hosts(HostKind.NODE)
            if host.state is HostState.LIVE
        }
        for name, digest in self._peers.digests(TOPIC).items():
            found[name] = _node_generation(digest)
        found[self._node] = NodeGeneration(
            self._node, self._zone, self._holder.generation
        )
        return list(found.values())


def _node_generation(digest: PeerMessage) -> NodeGeneration:
    message = decode_message(digest.payload).unwrap_or(None)
    number = message.generation if isinstance(message, Have) else 0
    return NodeGeneration(digest.sender, digest.availability_zone, number)


class DirectMounts:
    """Hands requests below a mount straight to its application.

    Starlette's middleware and router would cost each request of the request
    plane a part of its processor time and add nothing to it.

    Args:
      app: answers whatever is below no mount.
      mounts: applications that answer for themselves, also on errors.
    """

    def __init__(self, app: ASGIApp, mounts: Sequence[Mount]) -> None:
        """Keeps the applications by their prefixes."""
        self._app = app
        self._mounts = [(f"{mount.path}/", mount.app) for mount in mounts]

    @classmethod
    def from_routes(cls, routes: Sequence[BaseRoute]) -> DirectMounts:
        """Returns the application of all routes."""
        mounts = [route for route in routes if isinstance(route, Mount)]
        return cls(Starlette(routes=list(routes)), mounts)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers a request."""
        path = scope.get("path", "")
        for prefix, app in self._mounts:
            if path.startswith(prefix):
                await app(scope, receive, send)
                return
        await self._app(scope, receive, send)


def build_app(pages: StatusPages, components: Sequence[Component]) -> ASGIApp:
    """Returns the application with the routes of all parts."""
    routes = pages.routes()
    for component in components:
        routes += component.routes()
    return DirectMounts.from_routes(routes)
