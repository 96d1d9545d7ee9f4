"""The platform's one client on a node, over a fake, in virtual time."""

import asyncio
import random

import pytest
from result import Err, Ok

from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from pomeloarch_node.platform_breaker import CircuitBreaker, RetryBudget
from pomeloarch_node.platform_limits import (
    LimitedPlatformClient,
    PlatformLimits,
)
from pomeloarch_standins.virtual_time import run_virtual

NOT_DONE = Err(PlatformError(PlatformFailure.NOT_DONE, "429"))
UNKNOWN = Err(PlatformError(PlatformFailure.UNKNOWN, "lost"))


class FakePlatform:
    """Answers from a script, then as a working platform."""

    def __init__(self, script=(), delay=0.01):
        self.script = list(script)
        self.delay = delay
        self.calls = []

    async def _answer(self, call, value):
        loop = asyncio.get_running_loop()
        self.calls.append((round(loop.time(), 3), *call))
        await asyncio.sleep(self.delay)
        return self.script.pop(0) if self.script else Ok(value)

    async def transact(self, checks, writes):
        return await self._answer(("txn",), tuple(1 for _ in writes))

    async def read(self, keys):
        rows = tuple(Row(*key, version=1, value=key[1]) for key in keys)
        return await self._answer(("read", tuple(keys)), rows)

    async def scan(self, table, prefix="", after="", limit=1000):
        return await self._answer(("scan", table), ())

    async def membership(self):
        return await self._answer(("membership",), ())


def gentle(fake, seed=1, **bounds):
    return LimitedPlatformClient(
        fake,
        asyncio.get_running_loop().time,
        Metrics(),
        random.Random(seed),
        PlatformLimits(**bounds),
    )


CHECKS, WRITES = [Check("t", "k", 0)], [Write("t", "k", 1)]


@pytest.mark.parametrize(
    ("script", "calls", "ok"),
    [
        ([NOT_DONE], 2, True),
        ([NOT_DONE] * 3, 3, False),
        ([UNKNOWN], 1, False),
        ([Err(Conflict(()))], 1, False),
        ([NOT_DONE, UNKNOWN], 2, False),
    ],
)
def test_a_write_is_tried_again_only_if_it_was_certainly_not_done(
    script, calls, ok
):
    async def scenario():
        fake = FakePlatform(script)
        answer = await gentle(fake).for_role("jobs").transact(CHECKS, WRITES)
        assert len(fake.calls) == calls
        assert answer.is_ok() is ok

    run_virtual(scenario())


@pytest.mark.parametrize("failure", [NOT_DONE, UNKNOWN])
def test_a_read_is_tried_again_after_any_failure(failure):
    async def scenario():
        fake = FakePlatform([failure])
        answer = await gentle(fake).for_role("jobs").read([("t", "k")])
        assert answer.is_ok()
        assert len(fake.calls) == 2

    run_virtual(scenario())


def test_a_call_without_an_answer_ends_as_unknown():
    async def scenario():
        fake = FakePlatform(delay=1000.0)
        answer = await gentle(fake).for_role("jobs").transact(CHECKS, WRITES)
        assert answer.err_value.failure is PlatformFailure.UNKNOWN
        assert asyncio.get_running_loop().time() < 3.0

    run_virtual(scenario())


def test_retries_are_a_bounded_part_of_calls():
    budget = RetryBudget(ratio=0.1, depth=10.0)
    spent = 0
    for _ in range(1000):
        budget.called()
        spent += budget.spend()
    assert spent <= 110


def test_equal_calls_under_way_share_one_answer():
    async def scenario():
        fake = FakePlatform()
        platform = gentle(fake)
        await asyncio.gather(
            *(platform.for_role(f"r{n}").membership() for n in range(10))
        )
        assert len(fake.calls) == 1
        await platform.for_role("r0").membership()
        assert len(fake.calls) == 2

    run_virtual(scenario())


def test_reads_of_one_moment_become_one_call_with_each_its_own_rows():
    async def scenario():
        fake = FakePlatform()
        platform = gentle(fake)
        answers = await asyncio.gather(
            *(
                platform.for_role("r").read([("t", f"k{n}"), ("t", "all")])
                for n in range(10)
            )
        )
        assert len(fake.calls) == 1
        for number, answer in enumerate(answers):
            assert [row.key for row in answer.ok_value] == [
                f"k{number}",
                "all",
            ]

    run_virtual(scenario())


def test_many_keys_of_one_moment_are_split_into_bounded_calls():
    async def scenario():
        fake = FakePlatform()
        role = gentle(fake).for_role("r")
        await asyncio.gather(
            *(
                role.read([("t", f"{n}/{key}") for key in range(90)])
                for n in range(5)
            )
        )
        assert [len(call[2]) for call in fake.calls] == [180, 180, 90]

    run_virtual(scenario())


def test_a_caller_that_gives_up_leaves_the_shared_call_to_the_others():
    async def scenario():
        fake = FakePlatform(delay=1.0)
        role = gentle(fake).for_role("r")
        first = asyncio.create_task(role.membership())
        second = asyncio.create_task(role.membership())
        await asyncio.sleep(0.5)
        first.cancel()
        assert (await second).is_ok()

    run_virtual(scenario())


def test_writes_stay_within_their_rate_and_leave_renewals_their_part():
    async def scenario():
        fake = FakePlatform()
        platform = gentle(fake, writes_per_s=10.0, burst_s=2.0)
        jobs, role = platform.for_role("jobs"), platform.for_role("role", True)
        flood = [
            asyncio.create_task(jobs.transact(CHECKS, WRITES))
            for _ in range(500)
        ]
        await asyncio.sleep(0.5)
        begin = asyncio.get_running_loop().time()
        assert (await role.transact(CHECKS, WRITES)).is_ok()
        assert asyncio.get_running_loop().time() - begin < 0.1
        answers = await asyncio.gather(*flood)
        assert asyncio.get_running_loop().time() < 4.0
        done = sum(answer.is_ok() for answer in answers)
        assert done <= 20 + 10 * 4
        refused = [a.err_value.failure for a in answers if a.is_err()]
        assert set(refused) == {PlatformFailure.NOT_DONE}

    run_virtual(scenario())


def test_an_open_breaker_answers_at_once_and_lets_renewals_through():
    async def scenario():
        fake = FakePlatform([UNKNOWN] * 1000)
        platform = gentle(fake)
        jobs, role = platform.for_role("jobs"), platform.for_role("role", True)
        for _ in range(5):
            await jobs.transact(CHECKS, WRITES)
        before = len(fake.calls)
        answer = await jobs.transact(CHECKS, WRITES)
        assert answer.err_value.failure is PlatformFailure.NOT_DONE
        assert len(fake.calls) == before
        await role.transact(CHECKS, WRITES)
        assert len(fake.calls) == before + 1

    run_virtual(scenario())


def test_a_half_open_breaker_lets_one_call_through():
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(5):
        assert breaker.admit(0.0)
        breaker.failed(0.0)
    assert not breaker.admit(0.1)
    assert breaker.admit(10.0)
    assert not breaker.admit(10.0)
    breaker.succeeded()
    assert breaker.admit(10.1)


def test_after_a_long_outage_the_fleet_does_not_come_back_as_one():
    """Counts the calls of 60 nodes before and after the platform is back."""
    nodes, back_at, end = 60, 30.0, 38.0

    async def poll(platform):
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await platform.for_role("r").membership()
            await asyncio.sleep(0.25)

    async def scenario():
        fake = FakePlatform([UNKNOWN] * 1_000_000)
        polls = [
            asyncio.create_task(poll(gentle(fake, seed)))
            for seed in range(nodes)
        ]
        await asyncio.sleep(back_at)
        during = [call for call in fake.calls if call[0] >= back_at - 10.0]
        fake.script.clear()
        fake.calls.clear()
        await asyncio.gather(*polls)
        return len(during) / 10.0, [call[0] for call in fake.calls]

    rate_while_down, moments = run_virtual(scenario())
    steady = nodes / 0.26
    assert rate_while_down < steady / 5
    first = sum(moment < back_at + 0.5 for moment in moments)
    last = sum(moment >= end - 1.0 for moment in moments)
    assert first < steady * 0.5 / 2
    assert last > 0.9 * steady
