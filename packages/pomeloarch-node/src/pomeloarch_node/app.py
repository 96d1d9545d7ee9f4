"""The HTTP application of a node: status pages and component routes."""

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


class Readiness:
    """Whether the load balancer may send requests to this node.

    Args:
      holder: the configuration in force; a node without one is not ready.

    Attributes:
      stopping: whether a planned stop has begun.
    """

    def __init__(self, holder: ConfigurationHolder) -> None:
        """Creates the readiness of a node that is not stopping."""
        self._holder = holder
        self.stopping = False

    def reason_not_ready(self) -> str | None:
        """Returns why the node is not ready, None if it is ready."""
        if self.stopping:
            return "a planned stop has begun"
        if self._holder.snapshot is None:
            return "no configuration is known"
        return None


class NodeGeneration(msgspec.Struct, frozen=True):
    """The configuration generation in force at a node."""

    node: NodeId
    availability_zone: ZoneName
    generation: int


class StatusPages:
    """The pages `/healthz`, `/readyz`, `/metrics` and `/v1/status`.

    Args:
      node: this node's id.
      zone: this node's availability zone.
      readiness: whether requests may be sent to this node.
      holder: the configuration in force.
      peers: the generations that other nodes report.
      directory: the platform's list of hosts, which also has the nodes that
        report nothing.
      metrics: the metrics that `/metrics` renders.
      components: the node's components by name; each has a section of the
        status.
    """

    def __init__(
        self,
        node: NodeId,
        zone: ZoneName,
        readiness: Readiness,
        holder: ConfigurationHolder,
        peers: PeerMessenger,
        directory: HostDirectory,
        metrics: Metrics,
        components: dict[str, Component],
    ) -> None:
        """Creates the pages."""
        self._node = node
        self._zone = zone
        self._readiness = readiness
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
        reason = self._readiness.reason_not_ready()
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
            "stopping": self._readiness.stopping,
            "generations": self._generations(),
        }
        for name, component in self._components.items():
            body[name] = component.status()
        return Response(
            msgspec.json.encode(body), media_type="application/json"
        )

    def _generations(self) -> list[NodeGeneration]:
        """Returns the generation of each node; 0 for one only on the list."""
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
    """Routes requests below a mount directly to its application.

    Starlette's middleware and router would take processor time for each
    request of the request plane and would add nothing.

    Args:
      app: handles the requests that are below no mount.
      mounts: applications that handle their errors themselves.
    """

    def __init__(self, app: ASGIApp, mounts: Sequence[Mount]) -> None:
        """Stores the mounted applications by their path prefixes."""
        self._app = app
        self._mounts = [(f"{mount.path}/", mount.app) for mount in mounts]

    @classmethod
    def from_routes(cls, routes: Sequence[BaseRoute]) -> DirectMounts:
        """Returns an application with all given routes."""
        mounts = [route for route in routes if isinstance(route, Mount)]
        return cls(Starlette(routes=list(routes)), mounts)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles a request."""
        path = scope.get("path", "")
        for prefix, app in self._mounts:
            if path.startswith(prefix):
                await app(scope, receive, send)
                return
        await self._app(scope, receive, send)


def build_app(pages: StatusPages, components: Sequence[Component]) -> ASGIApp:
    """Returns the application with the pages and all components' routes."""
    routes = pages.routes()
    for component in components:
        routes += component.routes()
    return DirectMounts.from_routes(routes)
