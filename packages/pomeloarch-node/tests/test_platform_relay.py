"""Tests of reaching the platform through a peer when a node is cut off."""

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
NO_ANSWER = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")


class PlatformLink:
    """The connection of one node to the platform, which can be cut."""

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
        return Err(NO_ANSWER) if self.lose_answers else answer


class NodePair:
    """Two nodes of different zones, each with its own connection."""

    def __init__(self):
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.links, self.relays, self.peers = [], [], []
        loop = asyncio.get_running_loop()
        for zone in ("patan", "boudha"):
            node = NodeId(f"{zone}-1")
            peers = FakePeers(self.network, node, ZoneName(zone))
            link = PlatformLink(self.platform)
            relay = PlatformRelay(
                link,
                peers,
                node,
                ZoneName(zone),
                loop.time,
                Metrics(),
                random.Random(1),
            )
            self.links.append(link)
            self.relays.append(relay)
            self.peers.append(peers)
        self.tasks = [asyncio.create_task(each.run()) for each in self.relays]

    async def cut(self, error):
        """Cuts off the first node and makes calls until it notices."""
        self.links[0].error = error
        for _ in range(2):
            await self.relays[0].read([("t", "other")])


def run_scenario(scenario):
    async def run():
        pair = NodePair()
        await asyncio.sleep(0)
        outcome = await scenario(pair)
        for task in pair.tasks:
            task.cancel()
        return outcome

    return run_virtual(run())


@pytest.mark.parametrize("error", [UNREACHABLE, NO_ANSWER])
def test_a_cut_off_node_writes_through_a_peer(error):
    async def scenario(pair):
        await pair.cut(error)
        written = await pair.relays[0].transact(NEW, WRITE)
        again = await pair.relays[0].transact(NEW, WRITE)
        return written, again, pair.platform.value("t", "k")

    written, again, value = run_scenario(scenario)
    assert written.is_ok()
    assert value == "mine"
    assert isinstance(again.unwrap_err(), Conflict)


def test_a_write_of_unknown_outcome_is_never_repeated_by_a_peer():
    async def scenario(pair):
        pair.links[0].lose_answers = True
        answer = await pair.relays[0].transact(NEW, WRITE)
        return answer, pair.platform.written

    answer, written = run_scenario(scenario)
    assert answer.unwrap_err().failure is PlatformFailure.UNKNOWN
    assert written == 1


def test_a_write_is_unknown_if_the_peer_gets_no_answer_from_the_platform():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.links[1].lose_answers = True
        answer = await pair.relays[0].transact(NEW, WRITE)
        return answer, pair.platform.written

    answer, written = run_scenario(scenario)
    assert answer.unwrap_err().failure is PlatformFailure.UNKNOWN
    assert written == 1


def test_if_the_peer_does_not_answer_a_write_is_unknown_and_a_read_fails():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.tasks[1].cancel()
        written = await pair.relays[0].transact(NEW, WRITE)
        read = await pair.relays[0].read([("t", "k")])
        return written, read

    written, read = run_scenario(scenario)
    assert written.unwrap_err().failure is PlatformFailure.UNKNOWN
    assert read.unwrap_err().failure is PlatformFailure.NOT_DONE


def test_an_answer_to_a_previous_process_of_the_node_matches_no_call():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.tasks[1].cancel()
        writing = asyncio.create_task(pair.relays[0].transact(NEW, WRITE))
        await asyncio.sleep(0.1)
        for number in range(1, 50):
            late = encode_message(Transacted(number, (1,)))
            await pair.peers[1].send(NodeId("patan-1"), TOPIC, late)
        return await writing

    assert (
        run_scenario(scenario).unwrap_err().failure is PlatformFailure.UNKNOWN
    )


def test_a_write_is_certainly_not_done_if_all_nodes_are_cut_off():
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.links[1].error = UNREACHABLE
        return await pair.relays[0].transact(NEW, WRITE)

    assert (
        run_scenario(scenario).unwrap_err().failure is PlatformFailure.NOT_DONE
    )


def test_reads_and_scans_are_relayed_until_the_platform_is_reachable():
    async def scenario(pair):
        await pair.cut(NO_ANSWER)
        pair.platform.put("t", "k", "v")
        rows = await pair.relays[0].read([("t", "k")])
        page = await pair.relays[0].scan("t")
        pair.links[0].error = None
        await asyncio.sleep(3.0)
        return rows.unwrap(), page.unwrap(), pair.relays[0].is_cut_off

    rows, page, cut_off = run_scenario(scenario)
    assert [row.value for row in rows] == ["v"]
    assert [row.key for row in page] == ["k"]
    assert not cut_off


@pytest.mark.parametrize("size", [16_384, 20_000, 100_000])
def test_an_answer_too_large_to_pass_on_is_refused(size):
    async def scenario(pair):
        await pair.cut(UNREACHABLE)
        pair.platform.put("t", "k", "v" * size)
        return await pair.relays[0].read([("t", "k")])

    error = run_scenario(scenario).unwrap_err()
    assert error.failure is PlatformFailure.NOT_DONE
    assert "too large" in error.message


def test_garbage_from_a_peer_is_ignored():
    async def scenario(pair):
        await pair.peers[1].send(NodeId("patan-1"), TOPIC, b"\xff\x00")
        await pair.cut(UNREACHABLE)
        return await pair.relays[0].read([("t", "k")])

    assert run_scenario(scenario).unwrap() == (Row("t", "k", 0),)
