"""Tests the start, supervision and planned stop of a node's components."""

import asyncio
import os
import signal

from pomeloarch_node.app import Readiness
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.lifecycle import (
    ConnectionCloseMiddleware,
    ExitCode,
    Lifecycle,
)
from pomeloarch_node.metrics import Metrics


class FakeServer:
    """A server that runs until it is told to exit."""

    def __init__(self, log):
        self.log = log
        self.should_exit = False

    async def serve(self):
        while not self.should_exit:
            await asyncio.sleep(0)
        self.log.append("server closed")


class FakeComponent:
    def __init__(self, log, failures=0, drains=True):
        self.log = log
        self.failures = failures
        self.drains = drains
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.starts <= self.failures:
            raise ValueError("broken")
        await asyncio.Event().wait()

    async def drain(self):
        self.log.append("drained")
        if not self.drains:
            await asyncio.Event().wait()


def _run(component, log, signals):
    async def run():
        readiness = Readiness(ConfigurationHolder())
        metrics = Metrics()
        lifecycle = Lifecycle(
            FakeServer(log), readiness, {"part": component}, 0.0, metrics
        )
        running = asyncio.create_task(lifecycle.run())
        while component.starts <= component.failures:
            await asyncio.sleep(0.01)
        for number in signals:
            os.kill(os.getpid(), number)
            for _ in range(20):
                await asyncio.sleep(0)
        return await running, readiness, metrics

    return asyncio.run(run())


def test_planned_stop_ends_readiness_then_drains_then_closes():
    log = []
    code, readiness, _ = _run(FakeComponent(log), log, [signal.SIGTERM])
    assert code is ExitCode.OK
    assert log == ["drained", "server closed"]
    assert readiness.reason_not_ready() == "a planned stop has begun"


def test_second_signal_stops_immediately():
    log = []
    component = FakeComponent(log, drains=False)
    code, _, _ = _run(component, log, [signal.SIGTERM, signal.SIGTERM])
    assert code is ExitCode.STOPPED_IMMEDIATELY


def test_failed_component_is_restarted_and_counted():
    log = []
    component = FakeComponent(log, failures=1)
    _, _, metrics = _run(component, log, [signal.SIGTERM])
    assert component.starts == 2
    assert 'component_restarts{part="part"} 1' in metrics.render()


def test_answers_during_a_stop_close_their_connections():
    readiness = Readiness(ConfigurationHolder())
    sent = []

    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200})

    async def send(message):
        sent.append(message)

    wrapped = ConnectionCloseMiddleware(app, readiness)
    asyncio.run(wrapped({"type": "http"}, None, send))
    readiness.stopping = True
    asyncio.run(wrapped({"type": "http"}, None, send))
    assert "headers" not in sent[0]
    assert sent[1]["headers"] == [(b"connection", b"close")]
