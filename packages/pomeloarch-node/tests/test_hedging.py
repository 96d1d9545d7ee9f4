"""Tests calls that are hedged when their answer is late, in virtual time."""

import asyncio

import pytest
from result import Err, Ok

from pomeloarch_core.response_times import (
    INITIAL_TIMEOUT_S,
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    ResponseTimeEstimator,
)
from pomeloarch_node.hedging import first_answer
from pomeloarch_standins.virtual_time import run_virtual

# Time after which a lost copy times out, in seconds.
LOST_S = 1.2
# Number of calls that each caller makes one after another.
CALLS = 10


class Peer:
    """A peer that answers each copy of a call after a given time.

    Args:
      answers_s: the response time of each copy in seconds, None for a copy
        that is lost.
    """

    def __init__(self, *answers_s):
        self.answers_s = list(answers_s)
        self.sent_at = []

    async def send(self):
        copy = len(self.sent_at)
        self.sent_at.append(asyncio.get_running_loop().time())
        answer_s = self.answers_s[copy]
        await asyncio.sleep(LOST_S if answer_s is None else answer_s)
        return Err("lost") if answer_s is None else Ok(copy)


def make_estimator(*answers_s):
    estimator = ResponseTimeEstimator()
    for each in answers_s:
        estimator.observe(each)
    return estimator


@pytest.mark.parametrize(
    ("case", "answers_s", "expected", "within_s", "copies"),
    [
        ("in time", (0.02,), Ok(0), 0.02, 1),
        ("one lost", (None, 0.02), Ok(1), 0.13, 2),
        ("two lost", (None, None, 0.02), Ok(2), 0.33, 3),
        ("late, not lost", (0.25, 0.25), Ok(0), 0.25, 2),
        ("all lost", (None, None, None), Err("lost"), 1.6, 3),
    ],
)
def test_lost_answer_delays_call_by_a_few_response_times(
    case, answers_s, expected, within_s, copies
):
    """Guards against orders and writes that wait for the full time-out."""

    async def scenario():
        loop = asyncio.get_running_loop()
        peer, started = Peer(*answers_s), loop.time()
        result = await first_answer(
            peer.send, is_ok, make_estimator(*[0.01] * 20), loop.time, 3
        )
        return result, loop.time() - started, len(peer.sent_at)

    result, took_s, sent = run_virtual(scenario())
    assert result == expected
    assert took_s <= within_s + 1e-6
    assert sent == copies


def is_ok(answer):
    return isinstance(answer, Ok)


def test_definite_failure_is_not_hedged():
    async def scenario():
        loop = asyncio.get_running_loop()
        sent = []

        async def send():
            sent.append(loop.time())
            return Err("refused")

        answer = await first_answer(
            send, is_ok, ResponseTimeEstimator(), loop.time, 3
        )
        return answer, len(sent)

    assert run_virtual(scenario()) == (Err("refused"), 1)


def test_no_copy_is_sent_when_the_check_declines():
    async def scenario():
        loop = asyncio.get_running_loop()
        peer = Peer(None, 0.01)

        async def decline():
            return False

        await first_answer(
            peer.send, is_ok, ResponseTimeEstimator(), loop.time, 3, decline
        )
        return len(peer.sent_at)

    assert run_virtual(scenario()) == 1


def test_no_copy_is_sent_during_the_hold_time():
    async def scenario():
        loop = asyncio.get_running_loop()
        peer = Peer(0.99, 0.01)
        await first_answer(
            peer.send, is_ok, make_estimator(0.01), loop.time, 2, max_hold_s=1.0
        )
        return len(peer.sent_at)

    assert run_virtual(scenario()) == 1


def test_hold_time_applies_only_to_the_first_copy():
    """Guards against feeds whose third copy is sent seconds after the first."""

    async def scenario():
        loop = asyncio.get_running_loop()
        peer, started = Peer(None, None, 0.01), loop.time()
        await first_answer(
            peer.send,
            is_ok,
            make_estimator(*[0.01] * 20),
            loop.time,
            3,
            max_hold_s=0.5,
        )
        return [round(each - started, 3) for each in peer.sent_at]

    assert run_virtual(scenario()) == [0.0, 0.6, 0.8]


@pytest.mark.parametrize(
    ("case", "answers_s", "min_s", "max_s"),
    [
        ("no answers yet", (), INITIAL_TIMEOUT_S, INITIAL_TIMEOUT_S),
        ("quick", (0.01,) * 20, MIN_TIMEOUT_S, MIN_TIMEOUT_S),
        ("slow for one answer", (0.01,) * 20 + (0.3,), 0.3, 0.5),
        ("slow for long", (0.3,) * 50, 0.3, 0.35),
        ("quick again", (0.3,) * 5 + (0.01,) * 40, 0.1, 0.15),
        ("very slow", (9.0,) * 5, MAX_TIMEOUT_S, MAX_TIMEOUT_S),
    ],
)
def test_timeout_follows_response_times(case, answers_s, min_s, max_s):
    assert min_s <= make_estimator(*answers_s).timeout_s() <= max_s


@pytest.mark.parametrize("callers", [1, 4])
@pytest.mark.parametrize("write_s", [0.15, 0.3])
def test_copies_do_not_make_a_slow_peer_slower(write_s, callers):
    """Guards against writes that take two seconds while the store is slow.

    Each part of the store handles one write at a time. Copies of late calls
    were queued there ahead of the next calls, which therefore were late and
    were sent again.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        lock, sent = asyncio.Lock(), []

        async def handle_write():
            async with lock:
                await asyncio.sleep(write_s)

        async def send():
            sent.append(loop.time())
            await asyncio.shield(asyncio.create_task(handle_write()))
            return Ok(None)

        estimator = make_estimator(*[0.01] * 20)

        async def call():
            for _ in range(CALLS):
                await first_answer(send, is_ok, estimator, loop.time, 4)

        await asyncio.gather(*(call() for _ in range(callers)))
        return loop.time(), len(sent)

    took_s, sent = run_virtual(scenario())
    assert sent <= callers * (CALLS + 3)
    assert took_s <= 1.5 * write_s * CALLS * callers
