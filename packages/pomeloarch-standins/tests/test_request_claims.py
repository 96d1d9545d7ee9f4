"""Idempotency keys: at most one run across hosts, repeats and lost answers."""

import asyncio

import pytest

from pomeloarch_standins.executor_fakes import MemoryTables
from pomeloarch_standins.executor_faults import Fault, FaultOrder
from pomeloarch_standins.executor_harness import ExecutorHarness

_ROW = ("request_keys", "appraisal-desk/shrestha/rug-1")


def _post(harness, body=b"rug", **headers):
    return harness.post(body=body, Idempotency_Key="rug-1", **headers)


def test_a_repeat_gets_the_first_answer():
    async def scenario():
        async with ExecutorHarness() as harness:
            _, _, first = await _post(harness)
            await asyncio.sleep(0)
            status, headers, again = await _post(harness)
            assert (status, again) == (200, first)
            assert headers["pomelo-repeated"] == "1"
            assert list(harness.fleet.runs().values()) == [1]

    asyncio.run(scenario())


def test_concurrent_repeats_on_two_hosts_run_once():
    async def scenario():
        tables = MemoryTables()
        async with (
            ExecutorHarness(service_s=0.05, tables=tables) as harness,
            ExecutorHarness(service_s=0.05, tables=tables, seed=2) as other,
        ):
            answers = await asyncio.gather(
                *(_post(each) for each in (harness, other) * 10)
            )
            statuses = [status for status, _, _ in answers]
            assert statuses.count(200) == 1
            assert statuses.count(409) == 19
            total = sum(harness.fleet.runs().values())
            assert total + sum(other.fleet.runs().values()) == 1
            conflicts = [doc for status, _, doc in answers if status == 409]
            assert {doc["outcome"] for doc in conflicts} == {"unknown"}

    asyncio.run(scenario())


@pytest.mark.parametrize("lost", [1, 2])
def test_a_lost_answer_of_the_table_is_resolved_by_reading_back(lost):
    async def scenario():
        async with ExecutorHarness() as harness:
            harness.tables.lose_answers = lost
            status, _, _ = await _post(harness)
            assert status == 200
            await harness.plane.drain()
            assert harness.tables.rows[_ROW].value["state"] == "ran"
            assert list(harness.fleet.runs().values()) == [1]

    asyncio.run(scenario())


def test_with_the_table_down_nothing_is_sent():
    async def scenario():
        async with ExecutorHarness() as harness:
            harness.tables.down = True
            status, _, problem = await _post(harness)
            assert (status, problem["outcome"]) == (503, "not_run")
            assert harness.fleet.runs() == {}
            harness.tables.down = False
            status, _, _ = await _post(harness)
            assert status == 200

    asyncio.run(scenario())


def test_a_key_of_a_request_that_did_not_run_can_be_used_again():
    async def scenario():
        async with ExecutorHarness(executors=1) as harness:
            await harness.fleet.apply(FaultOrder("all", Fault.DEAD))
            status, _, problem = await _post(harness)
            assert (status, problem["outcome"]) == (503, "not_run")
            await harness.fleet.apply(FaultOrder("all", Fault.NONE))
            await harness.plane.drain()
            status, _, _ = await _post(harness)
            assert status == 200

    asyncio.run(scenario())


def test_a_key_with_an_unknown_outcome_is_never_sent_again():
    async def scenario():
        async with ExecutorHarness(executors=2) as harness:
            await harness.fleet.apply(FaultOrder("all", Fault.RESET))
            status, _, problem = await _post(harness)
            assert (status, problem["outcome"]) == (502, "unknown")
            await harness.fleet.apply(FaultOrder("all", Fault.NONE))
            await harness.plane.drain()
            status, _, problem = await _post(harness)
            assert (status, problem["reason"]) == (409, "key_unsettled")
            assert problem["outcome"] == "unknown"
            assert list(harness.fleet.runs().values()) == [1]

    asyncio.run(scenario())


def test_a_key_used_for_another_request_is_refused():
    async def scenario():
        async with ExecutorHarness() as harness:
            await _post(harness, body=b"one")
            status, _, problem = await _post(harness, body=b"two")
            assert (status, problem["reason"]) == (422, "key_reused")

    asyncio.run(scenario())
