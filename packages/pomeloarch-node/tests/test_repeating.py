"""Calls that are sent again when their answer is late, in virtual time."""

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

LOST_S = 1.2
# Calls that a caller makes one after another.
CALLS = 10


class Peer:
    """Answers the copies of a call as told, None for one that is lost."""

    def __init__(self, *answers_s):
        self.answers_s = list(answers_s)
        self.sent_at = []

    async def send(self):
        copy = len(self.sent_at)
        self.sent_at.append(asyncio.get_running_loop().time())
        answer_s = self.answers_s[copy]
        await asyncio.sleep(LOST_S if answer_s is None else answer_s)
        return Err("lost") if answer_s is None else Ok(copy)


def usual(*answers_s):
    times = ResponseTimeEstimator()
    for each in answers_s:
        times.observe(each)
    return times


@pytest.mark.parametrize(
    ("case", "answers_s", "answer", "within_s", "copies"),
    [
        ("in time", (0.02,), Ok(0), 0.02, 1),
        ("one lost", (None, 0.02), Ok(1), 0.13, 2),
        ("two lost", (None, None, 0.02), Ok(2), 0.33, 3),
        ("late, not lost", (0.25, 0.25), Ok(0), 0.25, 2),
        ("all lost", (None, None, None), Err("lost"), 1.6, 3),
    ],
)
def test_lost_answer_costs_a_few_usual_answers(
    case, answers_s, answer, within_s, copies
):
    """Guards against orders and writes that wait out a whole time-out."""

    async def scenario():
        loop = asyncio.get_running_loop()
        peer, began = Peer(*answers_s), loop.time()
        found = await first_answer(
            peer.send, is_ok, usual(*[0.01] * 20), loop.time, 3
        )
        return found, loop.time() - began, len(peer.sent_at)

    found, took_s, sent = run_virtual(scenario())
    assert found == answer
    assert took_s <= within_s + 1e-6
    assert sent == copies


def is_ok(answer):
    return isinstance(answer, Ok)


def test_definite_failure_is_not_repeated():
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


def test_no_copy_is_sent_once_the_call_is_not_wanted():
    async def scenario():
        loop = asyncio.get_running_loop()
        peer = Peer(None, 0.01)

        async def unwanted():
            return False

        await first_answer(
            peer.send, is_ok, ResponseTimeEstimator(), loop.time, 3, unwanted
        )
        return len(peer.sent_at)

    assert run_virtual(scenario()) == 1


def test_answer_that_may_be_held_back_is_not_late_before():
    async def scenario():
        loop = asyncio.get_running_loop()
        peer = Peer(0.99, 0.01)
        await first_answer(
            peer.send, is_ok, usual(0.01), loop.time, 2, held_s=1.0
        )
        return len(peer.sent_at)

    assert run_virtual(scenario()) == 1


def test_only_the_first_copy_is_given_the_time_to_be_held_back():
    """Guards against feeds whose third copy comes seconds after the first."""

    async def scenario():
        loop = asyncio.get_running_loop()
        peer, began = Peer(None, None, 0.01), loop.time()
        await first_answer(
            peer.send, is_ok, usual(*[0.01] * 20), loop.time, 3, held_s=0.5
        )
        return [round(each - began, 3) for each in peer.sent_at]

    assert run_virtual(scenario()) == [0.0, 0.6, 0.8]


@pytest.mark.parametrize(
    ("case", "answers_s", "least_s", "most_s"),
    [
        ("nothing known", (), INITIAL_TIMEOUT_S, INITIAL_TIMEOUT_S),
        ("quick", (0.01,) * 20, MIN_TIMEOUT_S, MIN_TIMEOUT_S),
        ("slow since one answer", (0.01,) * 20 + (0.3,), 0.3, 0.5),
        ("slow for long", (0.3,) * 50, 0.3, 0.35),
        ("quick again", (0.3,) * 5 + (0.01,) * 40, 0.1, 0.15),
        ("hardly answering", (9.0,) * 5, MAX_TIMEOUT_S, MAX_TIMEOUT_S),
    ],
)
def test_patience_follows_the_answers(case, answers_s, least_s, most_s):
    assert least_s <= usual(*answers_s).timeout_s() <= most_s


@pytest.mark.parametrize("callers", [1, 4])
@pytest.mark.parametrize("turn_s", [0.15, 0.3])
def test_copies_do_not_make_a_slow_peer_slower(turn_s, callers):
    """Guards against writes that take two seconds in a store that is slow.

    Its parts take one write after another. Copies of late calls waited there
    before the next calls, which were late for them and were sent again.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        turn, sent = asyncio.Lock(), []

        async def carry_out():
            async with turn:
                await asyncio.sleep(turn_s)

        async def send():
            sent.append(loop.time())
            await asyncio.shield(asyncio.create_task(carry_out()))
            return Ok(None)

        times = usual(*[0.01] * 20)

        async def call():
            for _ in range(CALLS):
                await first_answer(send, is_ok, times, loop.time, 4)

        await asyncio.gather(*(call() for _ in range(callers)))
        return loop.time(), len(sent)

    took_s, sent = run_virtual(scenario())
    assert sent <= callers * (CALLS + 3)
    assert took_s <= 1.5 * turn_s * CALLS * callers
