"""From the start of a node's parts to the end of a planned stop."""

from __future__ import annotations

import asyncio
import enum
import signal
from collections.abc import Mapping

import uvicorn
from absl import logging
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from pomeloarch_node.app import Health
from pomeloarch_node.component import Component
from pomeloarch_node.logs import log_event, log_failure
from pomeloarch_node.metrics import Metrics

_RESTART_PAUSE_S = 0.5
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ExitCode(enum.IntEnum):
    """How `pomelod` ends."""

    OK = 0
    BAD_SETTINGS = 1
    USAGE = 2
    STOPPED_AT_ONCE = 3


class CloseWhileStopping:
    """Asks callers to leave their connections once a stop has begun.

    Args:
      app: the application.
      health: says whether a stop has begun.
    """

    def __init__(self, app: ASGIApp, health: Health) -> None:
        """Wraps the application."""
        self._app = app
        self._health = health

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers a request, with `Connection: close` during a stop."""
        if not self._health.stopping or scope["type"] != "http":
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
    """Runs the parts of a node, and ends them in a planned way.

    A planned stop turns `readyz` off, goes on accepting until the balancer
    has had its time, lets each part finish what is in progress and hand over
    its roles, and ends. A second signal ends the process at once.

    Args:
      server: the HTTP server.
      health: turned off when a stop begins.
      components: the parts by name, drained in this order.
      drain_s: time the balancer is given, in seconds.
      metrics: counts restarts of parts.
    """

    def __init__(
        self,
        server: uvicorn.Server,
        health: Health,
        components: Mapping[str, Component],
        drain_s: float,
        metrics: Metrics,
    ) -> None:
        """Keeps the parts; nothing runs yet."""
        self._server = server
        self._health = health
        self._components = components
        self._drain_s = drain_s
        self._metrics = metrics
        self._stop = asyncio.Event()
        self._at_once = asyncio.Event()

    async def run(self) -> ExitCode:
        """Runs until a planned stop is done or a second signal comes."""
        self._install_signals()
        tasks = [
            asyncio.create_task(self._supervise(name, component), name=name)
            for name, component in self._components.items()
        ]
        serving = asyncio.create_task(self._server.serve(), name="http")
        stopping = asyncio.create_task(self._planned_stop(), name="stop")
        at_once = asyncio.create_task(self._at_once.wait())
        await asyncio.wait(
            {serving, stopping, at_once}, return_when=asyncio.FIRST_COMPLETED
        )
        ended_early = serving.done() and not self._health.stopping
        if not self._at_once.is_set() and not ended_early:
            await asyncio.wait(
                {serving, at_once}, return_when=asyncio.FIRST_COMPLETED
            )
        await _cancel([*tasks, serving, stopping, at_once])
        if self._at_once.is_set() or ended_early:
            return ExitCode.STOPPED_AT_ONCE
        return ExitCode.OK

    async def _planned_stop(self) -> None:
        await self._stop.wait()
        log_event("planned stop begins", drain_s=self._drain_s)
        self._health.stopping = True
        await asyncio.sleep(self._drain_s)
        for name, component in self._components.items():
            try:
                await component.drain()
            except Exception as exc:
                log_failure("a part failed to drain", exc, part=name)
        self._server.should_exit = True

    async def _supervise(self, name: str, component: Component) -> None:
        """Runs a part, and starts it again when it fails."""
        while True:
            try:
                await component.run()
                return
            except Exception as exc:
                log_failure(
                    "a part failed and is started again", exc, part=name
                )
                self._metrics.count("component_restarts", part=name)
            await asyncio.sleep(_RESTART_PAUSE_S)

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_signal)

    def _on_signal(self) -> None:
        if self._stop.is_set():
            logging.warning("second signal: stopping at once")
            self._at_once.set()
        self._stop.set()


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
