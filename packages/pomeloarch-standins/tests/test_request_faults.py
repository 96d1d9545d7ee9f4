"""Faulty executors and misbehaving callers, on real sockets."""

import asyncio

import pytest

from pomeloarch_standins.executor_faults import Fault, FaultOrder
from pomeloarch_standins.executor_harness import ExecutorHarness


async def _until(condition, steps=400):
    """Polls until a condition holds; fails when it does not hold in time."""
    for _ in range(steps):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not hold in time")


@pytest.mark.parametrize(
    "fault",
    [Fault.TRUNCATE, Fault.RESET, Fault.FAST_FAIL, Fault.DEAD, Fault.STALL],
)
def test_idempotent_requests_get_a_complete_answer_elsewhere(fault):
    async def scenario():
        async with ExecutorHarness(executors=6, service_s=0.002) as harness:
            for _ in range(60):
                status, _, _ = await harness.post()
                assert status == 200
            await harness.fleet.apply(FaultOrder(2, fault))
            for index in range(30):
                status, _, answer = await harness.post(
                    Pomelo_Request_Id=f"r-{index}"
                )
                assert status == 200
                assert answer["request_id"] == f"r-{index}"
                assert answer["executor"] != "appraisal-desk-2"

    asyncio.run(scenario())


def test_a_truncated_answer_is_never_taken_for_a_complete_one():
    async def scenario():
        async with ExecutorHarness(executors=1) as harness:
            await harness.fleet.apply(FaultOrder("all", Fault.TRUNCATE))
            status, _, problem = await harness.post(Pomelo_Non_Idempotent="1")
            assert (status, problem["outcome"]) == (502, "unknown")

    asyncio.run(scenario())


def test_a_late_answer_never_reaches_another_request():
    async def scenario():
        async with ExecutorHarness(executors=2) as harness:
            late = FaultOrder("all", Fault.LATE, delay_s=0.3)
            await harness.fleet.apply(late)
            abandoned = await asyncio.gather(
                *(
                    harness.post(
                        Pomelo_Request_Id=f"old-{index}",
                        Pomelo_Deadline_Ms="100",
                        Pomelo_Non_Idempotent="1",
                    )
                    for index in range(10)
                )
            )
            assert {answer["outcome"] for _, _, answer in abandoned} == {
                "unknown"
            }
            await harness.fleet.apply(FaultOrder("all", Fault.NONE))
            for index in range(30):
                status, _, answer = await harness.post(
                    Pomelo_Request_Id=f"new-{index}"
                )
                assert (status, answer["request_id"]) == (200, f"new-{index}")
                await asyncio.sleep(0.02)

    asyncio.run(scenario())


def test_a_silent_connection_is_dropped_and_its_executor_kept():
    async def scenario():
        async with ExecutorHarness(executors=1, service_s=0.001) as harness:
            await asyncio.gather(*(harness.post() for _ in range(6)))
            await harness.fleet.apply(FaultOrder("all", Fault.SILENT))
            status, _, problem = await harness.post(Pomelo_Deadline_Ms="1500")
            assert (status, problem["outcome"]) == (502, "unknown")
            for _ in range(10):
                status, _, _ = await harness.post(Pomelo_Deadline_Ms="1500")
                assert status == 200
            executors = harness.plane.status()["services"]["appraisal-desk"][
                "executors"
            ]
            assert executors["appraisal-desk-0"]["state"] == "healthy"

    asyncio.run(scenario())


def test_a_stalled_executor_is_ejected_and_a_slow_one_is_kept():
    async def scenario():
        async with ExecutorHarness(executors=4, service_s=0.01) as harness:
            await harness.fleet.apply(FaultOrder(0, Fault.STALL))
            await harness.fleet.apply(FaultOrder(1, Fault.SLOW, factor=150.0))
            await asyncio.gather(
                *(
                    harness.post(
                        Pomelo_Non_Idempotent="1", Pomelo_Deadline_Ms="3000"
                    )
                    for _ in range(24)
                )
            )
            executors = harness.plane.status()["services"]["appraisal-desk"][
                "executors"
            ]
            assert executors["appraisal-desk-0"]["state"] != "healthy"
            assert executors["appraisal-desk-1"]["state"] == "healthy"

    asyncio.run(scenario())


def test_a_leaving_executor_gets_no_new_requests_after_its_first_notice():
    async def scenario():
        async with ExecutorHarness(executors=3) as harness:
            await harness.fleet.apply(FaultOrder(0, Fault.DRAIN, drain_s=60.0))
            for _ in range(60):
                status, _, _ = await harness.post()
                assert status == 200
            assert harness.fleet.executors[0].runs.total() == 1
            await _until(
                lambda: b"appraisal-desk-0" in harness.peers.sent["draining"]
            )

    asyncio.run(scenario())


def test_refusals_of_a_leaving_executor_are_sent_elsewhere():
    async def scenario():
        async with ExecutorHarness(executors=3) as harness:
            await harness.fleet.apply(FaultOrder(0, Fault.DRAIN, drain_s=0.0))
            for index in range(40):
                status, _, _ = await harness.post(
                    Pomelo_Request_Id=f"r-{index}", Pomelo_Non_Idempotent="1"
                )
                assert status == 200
            assert set(harness.fleet.runs().values()) == {1}

    asyncio.run(scenario())


def test_a_planned_stop_waits_for_requests_in_progress():
    async def scenario():
        async with ExecutorHarness(service_s=0.2) as harness:
            requests = [asyncio.create_task(harness.post()) for _ in range(5)]
            await _until(lambda: harness.plane.status()["in_progress"] == 5)
            await harness.plane.drain()
            assert harness.plane.status()["in_progress"] == 0
            answers = await asyncio.gather(*requests)
            assert {status for status, _, _ in answers} == {200}

    asyncio.run(scenario())


def test_work_of_a_disconnected_caller_is_cancelled_only_where_safe():
    async def scenario():
        async with ExecutorHarness(executors=1, slots=1) as harness:
            await harness.fleet.apply(FaultOrder("all", Fault.SLOW))
            stall = FaultOrder("all", Fault.LATE, delay_s=0.5)
            await harness.fleet.apply(stall)
            kept = asyncio.create_task(
                harness.post(Idempotency_Key="bid-1", Pomelo_Request_Id="kept")
            )
            await _until(lambda: "kept" in harness.fleet.runs())
            kept.cancel()
            gone = asyncio.create_task(harness.post(Pomelo_Request_Id="gone"))
            await asyncio.sleep(0.15)
            gone.cancel()
            await _until(lambda: harness.plane.status()["in_progress"] == 0)
            status, headers, answer = await harness.post(
                Idempotency_Key="bid-1"
            )
            assert (status, answer["request_id"]) == (200, "kept")
            assert headers["pomelo-repeated"] == "1"
            assert harness.fleet.runs()["kept"] == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("size", "status", "reason"),
    [(20_001, 413, "body_too_large"), (15_000, 503, "memory")],
)
def test_bodies_are_bounded_in_size_and_memory(size, status, reason):
    async def scenario():
        async with ExecutorHarness(
            max_body_bytes=20_000, max_buffered_bytes=10_000
        ) as harness:
            got, _, problem = await harness.post(body=b"x" * size)
            assert (got, problem["reason"]) == (status, reason)
            assert problem["outcome"] == "not_run"
            assert harness.fleet.runs() == {}
            assert harness.plane.status()["buffered_bytes"] == 0

    asyncio.run(scenario())


def test_a_slow_sender_is_refused_and_its_memory_is_released():
    async def scenario():
        async with ExecutorHarness() as harness:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", harness.port
            )
            writer.write(
                b"POST /v1/services/appraisal-desk/a HTTP/1.1\r\n"
                b"Host: desk\r\nPomelo-Organisation: shrestha\r\n"
                b"Pomelo-Deadline-Ms: 100\r\nContent-Length: 100\r\n\r\nhalf"
            )
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 408")
            assert b'"outcome":"not_run"' in await reader.read(1000)
            writer.close()
            assert harness.fleet.runs() == {}
            assert harness.plane.status()["buffered_bytes"] == 0

    asyncio.run(scenario())


def test_a_slow_reader_is_abandoned_and_its_memory_is_released():
    async def scenario():
        async with ExecutorHarness() as harness:
            blocked = asyncio.Event()
            messages = [{"type": "http.request", "body": b"rug"}]

            async def receive():
                if not messages:
                    await asyncio.Event().wait()
                return messages.pop()

            async def send(message):
                if message["type"] == "http.response.body":
                    blocked.set()
                    await asyncio.Event().wait()

            scope = {
                "type": "http",
                "method": "POST",
                "path": "/v1/services/appraisal-desk/a",
                "headers": [(b"pomelo-organisation", b"shrestha")],
            }
            await harness.post()
            (route,) = harness.plane.routes()
            reading = asyncio.create_task(route.app(scope, receive, send))
            await blocked.wait()
            assert harness.plane.status()["buffered_bytes"] > 0
            harness.clock_skew_s = 31.0
            await reading
            assert harness.plane.status()["buffered_bytes"] == 0
            assert harness.plane.status()["in_progress"] == 0

    asyncio.run(scenario())


def test_concurrent_requests_are_limited_by_the_settings():
    async def scenario():
        async with ExecutorHarness(service_s=0.3, max_connections=5) as harness:
            answers = await asyncio.gather(
                *(harness.post(Pomelo_Non_Idempotent="1") for _ in range(20))
            )
            refused = [answer for status, _, answer in answers if status == 503]
            assert len(refused) == 15
            assert {answer["reason"] for answer in refused} == {"connections"}
            assert sum(harness.fleet.runs().values()) == 5

    asyncio.run(scenario())


def test_an_answer_without_memory_for_it_fails_with_an_unknown_outcome():
    async def scenario():
        async with ExecutorHarness(max_buffered_bytes=100) as harness:
            status, _, problem = await harness.post(Pomelo_Non_Idempotent="1")
            assert (status, problem["outcome"]) == (502, "unknown")
            assert harness.plane.status()["buffered_bytes"] == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("source", ["list", "peers"])
def test_an_executor_reported_as_leaving_gets_no_new_requests(source):
    async def scenario():
        async with ExecutorHarness(executors=3) as harness:
            await harness.post()
            if source == "list":
                harness.list_executors(leaving=["appraisal-desk-1"])
            else:
                harness.peers.receive_names("draining", ["appraisal-desk-1"])
            await _until(
                lambda: harness.plane.status()["services"]["appraisal-desk"][
                    "executors"
                ]["appraisal-desk-1"]["leaving"]
            )
            before = harness.fleet.executors[1].runs.total()
            for _ in range(40):
                status, _, _ = await harness.post()
                assert status == 200
            assert harness.fleet.executors[1].runs.total() == before

    asyncio.run(scenario())
