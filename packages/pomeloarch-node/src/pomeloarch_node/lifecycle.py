"""Starts the components of a node and stops them in a planned way."""

from __future__ import annotations

import asyncio
import enum
import signal
from collections.abc import Mapping

import uvicorn
from absl import logging
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from pomeloarch_node.app import Readiness
from pomeloarch_node.component import Component
from pomeloarch_node.logs import log_event, log_failure
from pomeloarch_node.metrics import Metrics

_RESTART_DELAY_S = 0.5
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ExitCode(enum.IntEnum):
    """Exit codes of `pomelod`."""

    OK = 0
    BAD_SETTINGS = 1
    USAGE = 2
    STOPPED_IMMEDIATELY = 3


class ConnectionCloseMiddleware:
    """ASGI middleware that closes callers' connections during a stop.

    Args:
      app: the application.
      readiness: whether a planned stop has begun.
    """

    def __init__(self, app: ASGIApp, readiness: Readiness) -> None:
        """Wraps the application."""
        self._app = app
        self._readiness = readiness

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles a request; adds `Connection: close` during a stop."""
        if not self._readiness.stopping or scope["type"] != "http":
            await self._app(scope, receive, send)
            return

        async def send_closing(message: Message) -> None:
            if message["type"] == "http.response.start":
                message["headers"] = [
                    *message.get("headers", []),
                    (b"connection", b"close"),
                ]
            await send(message)

        await self._app(scope, receive, send_closing)


class Lifecycle:
    """Runs the components of a node and stops them in a planned way.

    A planned stop first makes `/readyz` fail and accepts requests until the
    load balancer has had time to notice. Then each component finishes its work
    in progress and hands over its roles, and the server ends. A second signal
    ends the process immediately.

    Args:
      server: the HTTP server.
      readiness: set to stopping when a stop begins.
      components: the components by name, drained in this order.
      drain_s: the time that the load balancer is given, in seconds.
      metrics: the node's metrics, in which restarts of components are
        counted.
    """

    def __init__(
        self,
        server: uvicorn.Server,
        readiness: Readiness,
        components: Mapping[str, Component],
        drain_s: float,
        metrics: Metrics,
    ) -> None:
        """Creates the lifecycle; `run` starts the components."""
        self._server = server
        self._readiness = readiness
        self._components = components
        self._drain_s = drain_s
        self._metrics = metrics
        self._stop = asyncio.Event()
        self._immediate_stop = asyncio.Event()

    async def run(self) -> ExitCode:
        """Runs until a planned stop is complete or a second signal arrives."""
        self._install_signal_handlers()
        tasks = [
            asyncio.create_task(self._supervise(name, component), name=name)
            for name, component in self._components.items()
        ]
        serving = asyncio.create_task(self._server.serve(), name="http")
        stopping = asyncio.create_task(self._stop_as_planned(), name="stop")
        stopped_immediately = asyncio.create_task(self._immediate_stop.wait())
        await asyncio.wait(
            {serving, stopping, stopped_immediately},
            return_when=asyncio.FIRST_COMPLETED,
        )
        server_ended_early = serving.done() and not self._readiness.stopping
        if not self._immediate_stop.is_set() and not server_ended_early:
            await asyncio.wait(
                {serving, stopped_immediately},
                return_when=asyncio.FIRST_COMPLETED,
            )
        await _cancel_all([*tasks, serving, stopping, stopped_immediately])
        if self._immediate_stop.is_set() or server_ended_early:
            return ExitCode.STOPPED_IMMEDIATELY
        return ExitCode.OK

    async def _stop_as_planned(self) -> None:
        await self._stop.wait()
        log_event("planned stop begins", drain_s=self._drain_s)
        self._readiness.stopping = True
        await asyncio.sleep(self._drain_s)
        for name, component in self._components.items():
            try:
                await component.drain()
            except Exception as exc:
                log_failure("a component failed to drain", exc, part=name)
        self._server.should_exit = True

    async def _supervise(self, name: str, component: Component) -> None:
        """Runs a component and restarts it when it fails."""
        while True:
            try:
                await component.run()
                return
            except Exception as exc:
                log_failure(
                    "a component failed and is restarted", exc, part=name
                )
                self._metrics.count("component_restarts", part=name)
            await asyncio.sleep(_RESTART_DELAY_S)

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        if self._stop.is_set():
            logging.warning("second stop signal, stopping immediately")
            self._immediate_stop.set()
        self._stop.set()


async def _cancel_all(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
