"""A zone cut off from the platform reaches it through a peer."""

import asyncio
import random

import pytest
from result import Err

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from pomeloarch_node.platform_relay import TOPIC, PlatformRelay
from pomeloarch_node.platform_relay_messages import (
    Transacted,
    encode_message,
)
from pomeloarch_standins.fake_platform import FakePlatform
from pomeloarch_standins.job_fakes import FakeNetwork, FakePeers
from pomeloarch_standins.virtual_time import run_virtual

WRITE = [Write("t", "k", "mine")]
NEW = [Check("t", "k", 0)]
UNREACHABLE = PlatformError(PlatformFailure.NOT_DONE, "no connection")
SILENT = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")


class Line:
    """One node's way to the platform, which can be cut."""

    def __init__(self, platform):
        self.platform = platform
        self.error = None
        self.lose_answers = False

    async def transact(self, checks, writes):
        return await self._call(self.platform.transact, checks, writes)

    async def read(self, keys):
        return await self._call(self.platform.read, keys)

    async def scan(self, *args):
        return await self._call(self.platform.scan, *args)

    async def _call(self, call, *args):

        if self.error is not None:
            return Err(self.error)
        answer = await call(*args)
        return Err(SILENT) if self.lose_answers else answer


class Pair:
    """Two nodes of different zones, each with its own line."""

    def __init__(self):
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.lines, self.relays, self.peers = [], [], []
        loop = asyncio.get_running_loop()
        for zone in ("patan", "boudha"):
            node = NodeId(f"{zone}-1")
            peers = FakePeers(self.network, node, ZoneName(zone))
            line = Line(self.platform)
            relay = PlatformRelay(
                line,
                peers,
                node,
                ZoneName(zone),
                loop.time,
                Metrics(),
                random.Random(1),
            )
            self.lines.append(line)
            self.relays.append(relay)
            self.peers.append(peers)
        self.tasks = [asyncio.create_task(each.run()) for each in self.relays]

    async def cut(self, error):
        """Cuts the first node off, and lets it find out."""
        self.lines[0].error = error
        for _ in range(2):
            await self.relays[0].read([("t", "other")])


def _run(scenario):
    async def run():
        pair = Pair()
        await asyncio.sleep(0)
        outcome = await scenario(pair)
        for task in pair.tasks:
            task.cancel()
        return outcome

    return run_virtual(run())


@pytest.mark.parametrize("error", [UNREACHABLE, SILENT])
def test_a_cut_off_node_writes_through_a_peer(error):
    async def scenario(pair):
        await pair.cut(error)
        written = await pair.relays[0].transact(NEW, WRITE)
        again = await pair.relays[0].transact(NEW, WRITE)
        return written, again, pair.platform.value("t", "k")

    written, again, value = _run(scenario)
    assert written.is_ok()
    assert value == "mine"
    assert isinstance(again.unwrap_err(), Conflict)


def test_a_write_in_doubt_is_never_made_again_by_a_peer():
    async def scenario(pair):
        pair.lines[0].lose_answers = True
        answer = await pair.relays[0].transact(NEW, WRITE)
        return answer, pair.platform.written

    answer, written = _run(scenario)
    assert answer.unwrap_err().failure is PlatformFailure.UNKNOWN
    assert written == 1


def test_a_helper_without_an_answer_leaves_a_write_in_doubt():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.lines[1].lose_answers = True
        answer = await pair.relays[0].transact(NEW, WRITE)
        return answer, pair.platform.written

    answer, written = _run(scenario)
    assert answer.unwrap_err().failure is PlatformFailure.UNKNOWN
    assert written == 1


def test_a_lost_helper_leaves_a_write_in_doubt_and_a_read_failed():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.tasks[1].cancel()
        written = await pair.relays[0].transact(NEW, WRITE)
        read = await pair.relays[0].read([("t", "k")])
        return written, read

    written, read = _run(scenario)
    assert written.unwrap_err().failure is PlatformFailure.UNKNOWN
    assert read.unwrap_err().failure is PlatformFailure.NOT_DONE


def test_an_answer_to_a_former_process_of_the_node_fits_no_call():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.tasks[1].cancel()
        writing = asyncio.create_task(pair.relays[0].transact(NEW, WRITE))
        await asyncio.sleep(0.1)
        for number in range(1, 50):
            late = encode_message(Transacted(number, (1,)))
            await pair.peers[1].send(NodeId("patan-1"), TOPIC, late)
        return await writing

    assert _run(scenario).unwrap_err().failure is PlatformFailure.UNKNOWN


def test_all_cut_off_is_certainly_not_done():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.lines[1].error = UNREACHABLE
        return await pair.relays[0].transact(NEW, WRITE)

    assert _run(scenario).unwrap_err().failure is PlatformFailure.NOT_DONE


def test_reads_and_scans_pass_through_and_stop_when_the_cut_heals():
    async def scenario(pair):
        await pair.cut(SILENT)
        pair.platform.put("t", "k", "v")
        rows = await pair.relays[0].read([("t", "k")])
        page = await pair.relays[0].scan("t")
        pair.lines[0].error = None
        await asyncio.sleep(3.0)
        return rows.unwrap(), page.unwrap(), pair.relays[0].is_cut_off

    rows, page, cut_off = _run(scenario)
    assert [row.value for row in rows] == ["v"]
    assert [row.key for row in page] == ["k"]
    assert not cut_off


@pytest.mark.parametrize("size", [16_384, 20_000, 100_000])
def test_an_answer_too_large_to_pass_on_is_refused(size):
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.platform.put("t", "k", "v" * size)
        return await pair.relays[0].read([("t", "k")])

    error = _run(scenario).unwrap_err()
    assert error.failure is PlatformFailure.NOT_DONE
    assert "too large" in error.message


def test_garbage_from_a_peer_is_passed_over():
    async def scenario(pair):
        await pair.peers[1].send(NodeId("patan-1"), TOPIC, b"\xff\x00")
        await pair.cut(UNREACHABLE)
        return await pair.relays[0].read([("t", "k")])

    assert _run(scenario).unwrap() == (Row("t", "k", 0),)
