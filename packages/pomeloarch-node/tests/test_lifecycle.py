import asyncio
import os
import signal

from pomeloarch_node.app import Health
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.lifecycle import (
    CloseWhileStopping,
    ExitCode,
    Lifecycle,
)
from pomeloarch_node.metrics import Metrics


class FakeServer:
    """Serves until it is told to exit."""

    def __init__(self, log):
        self.log = log
        self.should_exit = False

    async def serve(self):
        while not self.should_exit:
            await asyncio.sleep(0)
        self.log.append("server closed")


class FakePart:
    def __init__(self, log, fails=0, drains=True):
        self.log = log
        self.fails = fails
        self.drains = drains
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.starts <= self.fails:
            raise ValueError("broken")
        await asyncio.Event().wait()

    async def drain(self):
        self.log.append("drained")
        if not self.drains:
            await asyncio.Event().wait()


def _run(part, log, signals):
    async def run():
        health = Health(ConfigurationHolder())
        metrics = Metrics()
        lifecycle = Lifecycle(
            FakeServer(log), health, {"part": part}, 0.0, metrics
        )
        running = asyncio.create_task(lifecycle.run())
        while part.starts <= part.fails:
            await asyncio.sleep(0.01)
        for number in signals:
            os.kill(os.getpid(), number)
            for _ in range(20):
                await asyncio.sleep(0)
        return await running, health, metrics

    return asyncio.run(run())


def test_a_planned_stop_turns_ready_off_drains_and_then_closes():
    log = []
    code, health, _ = _run(FakePart(log), log, [signal.SIGTERM])
    assert code is ExitCode.OK
    assert log == ["drained", "server closed"]
    assert health.reason_not_ready() == "a planned stop has begun"


def test_a_second_signal_ends_at_once():
    log = []
    part = FakePart(log, drains=False)
    code, _, _ = _run(part, log, [signal.SIGTERM, signal.SIGTERM])
    assert code is ExitCode.STOPPED_AT_ONCE


def test_a_part_that_fails_is_started_again_and_counted():
    log = []
    part = FakePart(log, fails=1)
    _, _, metrics = _run(part, log, [signal.SIGTERM])
    assert part.starts == 2
    assert 'component_restarts{part="part"} 1' in metrics.render()


def test_answers_during_a_stop_close_their_connections():
    health = Health(ConfigurationHolder())
    sent = []

    async def app(scope, receive, send):
        await send({"type": "http.response.start", "status": 200})

    async def send(message):
        sent.append(message)

    wrapped = CloseWhileStopping(app, health)
    asyncio.run(wrapped({"type": "http"}, None, send))
    health.stopping = True
    asyncio.run(wrapped({"type": "http"}, None, send))
    assert "headers" not in sent[0]
    assert sent[1]["headers"] == [(b"connection", b"close")]
