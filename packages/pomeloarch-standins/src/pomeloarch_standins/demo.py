"""Drives the demo: requests, jobs, planned stops, crashes and a flood.

It prints the events and the measurements and exits with status 1 when a check
failed.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from pomeloarch_cli.main import main as pomelo
from pomeloarch_standins.demo_client import (
    Call,
    CallOutcome,
    CallResult,
    wait_until_alive,
)
from pomeloarch_standins.demo_driver import DemoDriver
from pomeloarch_standins.demo_flood import OFF_FILE, ON_FILE, results_path
from pomeloarch_standins.demo_layout import FLOODERS
from pomeloarch_standins.demo_load import (
    count_answered,
    describe_outcomes,
    describe_times,
    mixed_call,
    print_event,
    steady_load,
)
from pomeloarch_standins.demo_run import run_driver

_START_TIMEOUT_S = 20.0
_FIRST_REQUESTS = 200
_FIRST_CONCURRENCY = 16
# Time for which a node's process is suspended, in seconds.
_SUSPENSION_S = 3.0
# Time for which the small callers are measured, in seconds.
_SMALL_CALLERS_S = 4.0
# Time from the start of the flood to the measurement, in seconds.
_FLOOD_WARM_UP_S = 1.0
# Time allowed for the flooding processes to write their results, in seconds.
_FLOOD_RESULTS_TIMEOUT_S = 8.0
# Rate of the small callers, in requests per second.
_SMALL_PER_S = 20.0
# Time allowed for the start of urgent work after the grace of the preempted
# work, in seconds.
_URGENT_START_S = 1.9


class Demo(DemoDriver):
    """One run of the demo against processes that already run."""

    async def run(self) -> None:
        """Runs all steps in order."""
        await wait_until_alive(self._nodes, self._session, _START_TIMEOUT_S)
        print_event("6 nodes live")
        await self._publish()
        prober = asyncio.create_task(self._balancer.run())
        await self._wait_until_ready()
        await self._send_first_requests()
        gang = asyncio.create_task(self._run_gang())
        reclaim = asyncio.create_task(self._reclaim_shape())
        await self._stop_node()
        await self._kill_node()
        await self._suspend_node()
        await gang
        await reclaim
        await self._measure_flood()
        await self._check_runs()
        prober.cancel()

    async def _publish(self) -> None:
        """Publishes the example as an operator would."""
        url = self._nodes[0].url
        example = f"examples/{self._layout.example.name}"
        started_at = time.monotonic()
        code = await asyncio.to_thread(
            pomelo, ["publish", example, "--node", url, "--why", "first set"]
        )
        took_s = time.monotonic() - started_at
        self.checks.expect(code == 0, f"publish ended with {code}")
        print_event(
            f"checked, published and in force in each zone in {took_s:.2f} s"
        )

    async def _wait_until_ready(self) -> None:
        started_at = time.monotonic()
        while len(self._balancer.ready) < len(self._nodes):
            if time.monotonic() - started_at > _START_TIMEOUT_S:
                missing = {n.name for n in self._nodes} - self._balancer.ready
                raise RuntimeError(f"not ready: {sorted(missing)}")
            await asyncio.sleep(0.05)
        print_event(
            f"all nodes ready {time.monotonic() - started_at:.2f} s later"
        )

    async def _send_first_requests(self) -> None:
        semaphore = asyncio.Semaphore(_FIRST_CONCURRENCY)

        async def send(number: int) -> CallResult:
            async with semaphore:
                return await self._callers.send(
                    mixed_call(self._scenario, number)
                )

        results = await asyncio.gather(*map(send, range(_FIRST_REQUESTS)))
        self._record_results(results, "200 requests")
        answered = sum(each.ending is CallOutcome.ANSWERED for each in results)
        self.checks.expect(
            answered == _FIRST_REQUESTS,
            f"only {answered} of {_FIRST_REQUESTS} requests were answered: "
            f"{sorted({each.reason for each in results if each.reason})}",
        )
        print_event(f"completion time of these: {describe_times(results)}")

    async def _run_gang(self) -> None:
        job_id = await self._jobs.submit(self._scenario.gang)
        state, waited_s = await self._jobs.wait(job_id, {"succeeded"}, 40.0)
        self.checks.expect(
            state == "succeeded", f"gang {job_id} ended as {state}"
        )
        print_event(
            f"gang of 4 hosts x 8 accelerators: {state} in {waited_s:.1f} s"
        )

    async def _reclaim_shape(self) -> None:
        scenario = self._scenario
        borrower = await self._jobs.submit(scenario.borrower)
        state, waited_s = await self._jobs.wait(borrower, {"running"}, 15.0)
        self.checks.expect(
            state == "running", f"the borrower is {state}, not running"
        )
        print_event(f"a borrower holds the whole rack after {waited_s:.1f} s")
        owner = await self._jobs.submit(scenario.owner)
        started = {"running", "succeeded"}
        limit_s = scenario.grace_s + _URGENT_START_S
        state, waited_s = await self._jobs.wait(owner, started, limit_s)
        self.checks.expect(
            state in started,
            f"the guaranteed shape was not reclaimed in {limit_s} s: {state}",
        )
        print_event(
            f"its owner reclaimed the guaranteed shape in {waited_s:.2f} s"
        )
        await self._cancel(borrower)

    async def _cancel(self, job_id: str) -> None:
        url = f"{self._balancer.pick().url}/v1/jobs/{job_id}"
        with contextlib.suppress(aiohttp.ClientError, asyncio.TimeoutError):
            async with self._session.delete(url):
                pass

    async def _stop_node(self) -> None:
        node = self._nodes[0].name
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(0.5)
            self._hosts.stop(node)
            await self._wait_until(
                lambda: bool(self._hosts.exit_codes(node)), 12.0
            )
            await asyncio.sleep(0.5)
        self._record_results(results, f"planned stop of {node}")
        self.checks.check_none_interrupted(
            results, f"the planned stop of {node}"
        )
        code = self._hosts.exit_codes(node)[:1]
        self.checks.expect(code == [0], f"{node} exited with {code}")

    async def _kill_node(self) -> None:
        node = self._nodes[2].name
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(0.5)
            self._hosts.kill(node)
            await asyncio.sleep(2.0)
        self._record_results(results, f"kill of {node}")
        others = [each for each in results if each.node != node]
        self.checks.check_none_interrupted(
            others, f"the kill of {node} (on other nodes)"
        )

    async def _suspend_node(self) -> None:
        node = self._nodes[4].name
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(0.5)
            self._hosts.suspend(node)
            await asyncio.sleep(_SUSPENSION_S)
            self._hosts.resume(node)
            await asyncio.sleep(1.0)
        self._record_results(results, f"suspension of {node}")
        others = [each for each in results if each.node != node]
        self.checks.check_none_interrupted(
            others, f"the suspension of {node} (on other nodes)"
        )

    async def _measure_flood(self) -> None:
        """Measures small callers' urgent requests without and with a flood."""
        calm = await self._run_small_callers()
        (self._work / ON_FILE).touch()
        await asyncio.sleep(_FLOOD_WARM_UP_S)
        flooded = await self._run_small_callers()
        (self._work / OFF_FILE).touch()
        flood = await self._read_flood_results()
        self._results += [*calm, *flooded, *flood]
        self.checks.check_answers([*calm, *flooded, *flood])
        print_event(f"flood: {describe_outcomes(flood)}")
        await self._print_measures(calm, flooded, flood)

    async def _read_flood_results(self) -> list[CallResult]:
        paths = [results_path(self._work, n) for n in range(FLOODERS)]
        await self._wait_until(
            lambda: all(path.exists() for path in paths),
            _FLOOD_RESULTS_TIMEOUT_S,
        )
        return [
            result
            for path in paths
            if path.exists()
            for result in msgspec.json.decode(
                path.read_bytes(), type=list[CallResult]
            )
        ]

    async def _run_small_callers(self) -> list[CallResult]:
        organisation, caller = self._scenario.small
        path = self._scenario.urgent_path
        tasks = []
        for _ in range(int(_SMALL_CALLERS_S * _SMALL_PER_S)):
            call = Call(path, organisation, caller)
            tasks.append(asyncio.create_task(self._callers.send(call)))
            await asyncio.sleep(1 / _SMALL_PER_S)
        return list(await asyncio.gather(*tasks))

    async def _print_measures(
        self,
        calm: list[CallResult],
        flooded: list[CallResult],
        flood: list[CallResult],
    ) -> None:
        kept = count_answered(flooded) / max(count_answered(calm), 1)
        fragmentation = await self._read_fragmentation()
        print("measurements:")
        print(f"  completion time, no flood        {describe_times(calm)}")
        print(f"  fragmentation, by zone           {fragmentation}")
        print(f"  service kept in a flood          {kept:.1%}")
        print(f"  small caller in the flood        {describe_times(flooded)}")
        print(f"  large caller in the flood        {describe_times(flood)}")

    async def _read_fragmentation(self) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for node in self._nodes:
            with contextlib.suppress(aiohttp.ClientError):
                async with self._session.get(f"{node.url}/v1/status") as resp:
                    status = await resp.json()
                scheduler = status.get("scheduler", {})
                if scheduler.get("fragmentation") is not None:
                    found[node.availability_zone] = scheduler["fragmentation"]
        return found

    async def _wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> None:
        started_at = time.monotonic()
        while not condition() and time.monotonic() - started_at < timeout_s:
            await asyncio.sleep(0.05)


def main(argv: list[str] | None = None) -> int:
    """Runs the demo and returns its exit status."""
    return run_driver(Demo, "demo", "Run the demo against its processes.", argv)


if __name__ == "__main__":
    sys.exit(main())
