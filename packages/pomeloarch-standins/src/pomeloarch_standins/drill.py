"""Injects failures into the demo's processes and checks the guarantees.

`make drill` runs it: platform outages, lost answers, concurrent publications, a
zone partitioned from the platform, a leaving executor, restarted workers, a
killed scheduler and the replacement of nodes. Most of them run under a steady
load of requests.
"""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from pomeloarch_cli.main import main as pomelo
from pomeloarch_node.platform import HostKind
from pomeloarch_standins.demo_client import (
    CallOutcome,
    CallResult,
    wait_until_alive,
)
from pomeloarch_standins.demo_driver import DemoDriver
from pomeloarch_standins.demo_jobs import DemoJob
from pomeloarch_standins.demo_layout import NodeAddress
from pomeloarch_standins.demo_load import (
    count_answered,
    describe_outcomes,
    print_event,
    steady_load,
)
from pomeloarch_standins.demo_run import run_driver
from pomeloarch_standins.executor_faults import Fault
from pomeloarch_standins.platform_server import Faults
from pomeloarch_standins.relay import Cut
from pomeloarch_standins.workers import LATE_S, FaultMode

_START_TIMEOUT_S = 25.0
# Duration of an outage, in seconds.
_OUTAGE_S = 5.0
# Time in which nodes stop using an executor that the list shows as leaving, in
# seconds.
_LEAVING_GRACE_S = 2.0
# Delay until the platform's list shows a change, in seconds.
_LIST_LAG_S = 2.0
# Time that a slow platform adds to each call, in seconds.
_SLOW_S = 0.8
# Time allowed for detecting silent connections, in seconds.
_DETECT_SILENT_S = 6.0
# Duration of the fault of an executor, in seconds.
_FAULT_S = 3.0
_EXECUTOR_FAULTS = (
    Fault.SILENT,
    Fault.RESET,
    Fault.TRUNCATE,
    Fault.STALL,
    Fault.DEAD,
    Fault.FAST_FAIL,
)
_FINAL = {"succeeded", "failed", "cancelled", "refused", "unknown"}


class Drill(DemoDriver):
    """One run of all failure scenarios."""

    async def run(self) -> None:
        """Runs all failure scenarios one after another."""
        prober = asyncio.create_task(self._balancer.run())
        await self._publish()
        failures: list[Callable[[], Awaitable[None]]] = [
            self._publish_concurrently,
            self._platform_loses_answers,
            self._platform_down,
            self._platform_slow,
            self._zone_cut_from_platform,
            self._one_way_cuts,
            self._platform_connections_go_silent,
            self._executor_faults,
            self._executor_leaves,
            self._workers_restart,
            self._scheduler_killed,
            self._nodes_replaced_in_turn,
            self._three_nodes_at_once,
        ]
        for failure in failures:
            await failure()
        await self._check_runs()
        print_event(f"platform used: {await self._control.platform_counts()}")
        prober.cancel()

    async def _publish(self) -> None:
        await wait_until_alive(self._nodes, self._session, _START_TIMEOUT_S)
        example = f"examples/{self._layout.example.name}"
        code = await self._pomelo(["publish", example, "--why", "first set"])
        self.checks.expect(code == 0, f"publish ended with {code}")
        await self._wait_until_all_ready()

    async def _pomelo(
        self, argv: list[str], node: NodeAddress | None = None
    ) -> int:
        target_node = node or self._balancer.pick()
        return await asyncio.to_thread(
            pomelo, [*argv, "--node", target_node.url]
        )

    def _write_edited(self, name: str, old: str, new: str) -> str:
        """Writes a copy of the example with one edit and returns its path."""
        source = pathlib.Path("examples") / self._layout.example.name
        target = self._work / name
        shutil.copytree(source, target, dirs_exist_ok=True)
        for path in target.glob("*.toml"):
            path.write_text(path.read_text().replace(old, new))
        return str(target)

    async def _publish_concurrently(self) -> None:
        """Checks that one of two conflicting publications is refused."""
        base = ["--base", "1", "--why", "race"]
        edits = [
            self._write_edited("race-a", "grace_s = 10.0", "grace_s = 9.0"),
            self._write_edited("race-b", "grace_s = 10.0", "grace_s = 8.0"),
        ]
        codes = await asyncio.gather(
            *(
                self._pomelo(["publish", path, *base], node)
                for path, node in zip(edits, self._nodes[::3], strict=True)
            )
        )
        self.checks.expect(
            sorted(codes) == [0, 1],
            f"concurrent publications ended with {codes}",
        )
        print_event(
            f"two operators published concurrently: exit codes {sorted(codes)}"
        )

    async def _platform_loses_answers(self) -> None:
        await self._control.set_platform_faults(Faults(lose_answers=0.4))
        async with steady_load(self._callers, self._scenario) as results:
            jobs = [await self._submit_non_idempotent() for _ in range(3)]
            await asyncio.sleep(_OUTAGE_S)
        await self._control.set_platform_faults(Faults())
        self._record_results(results, "platform loses 40% of its answers")
        for job_id in jobs:
            state, _ = await self._jobs.wait(job_id, _FINAL, 30.0)
            print_event(f"non-idempotent job under lost answers: {state}")
            self.checks.expect(
                state in {"succeeded", "unknown"}, f"{job_id} is {state}"
            )

    async def _submit_non_idempotent(self) -> str:
        job = DemoJob(
            self._scenario.owner.organisation,
            "standard",
            2,
            4,
            1.0,
            self._scenario.gang.availability_zone,
            idempotent=False,
        )
        job_id = await self._jobs.submit(job)
        self._once_jobs.append(job_id)
        return job_id

    async def _platform_down(self) -> None:
        gang = await self._jobs.submit(self._scenario.gang)
        await self._jobs.wait(gang, {"running"}, 15.0)
        await self._control.set_platform_faults(Faults(down=True))
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(_OUTAGE_S)
        await self._control.set_platform_faults(Faults())
        self._record_results(results, "platform down")
        plain = [each for each in results if not each.call.non_idempotent]
        self.checks.expect(
            all(each.ending is CallOutcome.ANSWERED for each in plain),
            "an idempotent request failed while the platform was down: "
            f"{describe_outcomes(plain)}",
        )
        state, _ = await self._jobs.wait(gang, _FINAL, 30.0)
        self.checks.expect(
            state == "succeeded", f"gang over the outage ended as {state}"
        )
        print_event(f"gang that ran over the outage: {state}")

    async def _platform_slow(self) -> None:
        await self._control.set_platform_faults(Faults(slow_s=_SLOW_S))
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(_OUTAGE_S)
        await self._control.set_platform_faults(Faults())
        self._record_results(results, f"platform slow by {_SLOW_S} s per call")
        self.checks.check_none_interrupted(results, "a slow platform")

    async def _one_way_cuts(self) -> None:
        """Drops one direction of traffic between a zone and the platform."""
        zone = self._layout.example.zones[1]
        for cut in (Cut.FORWARD, Cut.BACK):
            await self._control.cut_platform(zone, cut)
            async with steady_load(self._callers, self._scenario) as results:
                await asyncio.sleep(_OUTAGE_S)
            await self._control.cut_platform(zone, Cut.OPEN)
            self._record_results(
                results, f"{zone} and the platform cut {cut.value}"
            )
            plain = [each for each in results if not each.call.non_idempotent]
            self.checks.expect(
                count_answered(plain) == len(plain),
                f"idempotent requests failed in a one-way cut: "
                f"{describe_outcomes(plain)}",
            )

    async def _zone_cut_from_platform(self) -> None:
        """Checks that a partitioned zone gets a generation from its peers."""
        zone = self._layout.example.zones[0]
        await self._control.cut_platform(zone, Cut.SILENT)
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(1.0)
            started_at = time.monotonic()
            edit = self._write_edited("cut", "grace_s = 5.0", "grace_s = 4.0")
            code = await self._pomelo(
                ["publish", edit, "--why", "during a cut"], self._nodes[2]
            )
            took_s = time.monotonic() - started_at
            await asyncio.sleep(_OUTAGE_S)
        await self._control.cut_platform(zone, Cut.OPEN)
        self._record_results(results, f"{zone} cut off from the platform")
        self.checks.expect(
            code == 0, f"publish during the cut ended with {code}"
        )
        print_event(
            f"published during the cut, in force everywhere in {took_s:.1f} s"
        )

    async def _platform_connections_go_silent(self) -> None:
        """Makes open connections silent for good while new ones work."""
        zones = self._layout.example.zones
        for zone in zones:
            await self._control.cut_platform(zone, Cut.SILENT_OLD)
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(_DETECT_SILENT_S)
        self._record_results(results, "connections to the platform went silent")
        async with steady_load(self._callers, self._scenario) as later:
            await asyncio.sleep(2.0)
        self._record_results(later, f"{_DETECT_SILENT_S:.0f} s later")
        self.checks.expect(
            all(each.ending is CallOutcome.ANSWERED for each in later),
            f"silent connections are still in use: {describe_outcomes(later)}",
        )
        for zone in zones:
            await self._control.cut_platform(zone, Cut.OPEN)

    async def _executor_faults(self) -> None:
        """Gives one executor one fault after another under load."""
        for fault in _EXECUTOR_FAULTS:
            async with steady_load(self._callers, self._scenario) as results:
                await asyncio.sleep(0.5)
                await self._control.set_executor_fault(0, 2, fault)
                await asyncio.sleep(_FAULT_S)
                await self._control.set_executor_fault(0, 2, Fault.NONE)
            self._record_results(
                results, f"an executor with the fault '{fault.value}'"
            )
            plain = [each for each in results if not each.call.non_idempotent]
            answered = count_answered(plain)
            self.checks.expect(
                answered == len(plain),
                f"'{fault.value}' on one executor of 24 failed idempotent "
                f"requests: {describe_outcomes(plain)}",
            )

    async def _executor_leaves(self) -> None:
        """Checks that a leaving executor soon gets no new requests.

        The limit is twice the list's lag plus `_LEAVING_GRACE_S`.
        """
        zone = self._layout.example.zones[1]
        await self._control.set_host(f"{zone}-executor-3", "leaving")
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(2 * _LIST_LAG_S + _LEAVING_GRACE_S)
            before = await self._control.runs_of_executor(1, 3)
            await asyncio.sleep(2.0)
            after = await self._control.runs_of_executor(1, 3)
        self._record_results(results, "an executor leaves")
        self.checks.expect(
            before == after,
            f"a leaving executor got {after - before} new requests",
        )
        self.checks.check_none_interrupted(results, "a leaving executor")

    async def _workers_restart(self) -> None:
        """Restarts workers under their ids while calls to them are late."""
        zone = self._scenario.gang.availability_zone
        workers = [
            host.id
            for host in self._layout.hosts()
            if host.kind is HostKind.WORKER and host.availability_zone == zone
        ]
        jobs = []
        for worker_id in workers[: len(workers) // 2]:
            await self._control.set_worker_fault(worker_id, FaultMode.LATE)
            jobs.append((await self._jobs.submit(self._scenario.gang), False))
            jobs.append((await self._submit_non_idempotent(), True))
            await asyncio.sleep(LATE_S / 2)
            await self._control.set_worker_fault(worker_id, FaultMode.REBOOT)
        ends: Counter[str] = Counter()
        for job_id, may_be_unknown in jobs:
            state, _ = await self._jobs.wait(job_id, _FINAL, 60.0)
            ends[state] += 1
            allowed = (
                {"succeeded", "unknown"} if may_be_unknown else {"succeeded"}
            )
            self.checks.expect(state in allowed, f"{job_id} ended as {state}")
        print_event(f"workers restarted under their ids: jobs {dict(ends)}")

    async def _scheduler_killed(self) -> None:
        zone = self._layout.example.zones[2]
        once_job = await self._submit_non_idempotent()
        gang = await self._jobs.submit(self._scenario.gang)
        await self._jobs.wait(gang, {"running"}, 15.0)
        holder = await self._find_holder(zone)
        self._hosts.kill(holder)
        for job_id, allowed in (
            (gang, {"succeeded"}),
            (once_job, {"succeeded", "unknown"}),
        ):
            state, waited_s = await self._jobs.wait(job_id, _FINAL, 40.0)
            self.checks.expect(state in allowed, f"{job_id} ended as {state}")
            print_event(
                f"{holder} (scheduler) killed: job {state} {waited_s:.1f} s on"
            )
        await self._wait_until_all_ready()

    async def _find_holder(self, zone: str) -> str:
        for node in self._nodes:
            if node.availability_zone != zone:
                continue
            async with self._session.get(f"{node.url}/v1/status") as response:
                status = await response.json()
            if status["scheduler"]["role"] == "holder":
                return node.name
        raise RuntimeError(f"{zone} has no scheduler")

    async def _nodes_replaced_in_turn(self) -> None:
        gang = await self._jobs.submit(self._scenario.gang)
        async with steady_load(self._callers, self._scenario) as results:
            for node in self._nodes:
                await self._replace([node])
        await self._check_replacement(results, gang, "all nodes in turn")

    async def _three_nodes_at_once(self) -> None:
        gang = await self._jobs.submit(self._scenario.gang)
        async with steady_load(self._callers, self._scenario) as results:
            await self._replace(self._nodes[::2])
        await self._check_replacement(results, gang, "three nodes at once")

    async def _replace(self, nodes: list[NodeAddress]) -> None:
        """Stops nodes as planned and waits for their replacements."""
        names = [node.name for node in nodes]
        before = {name: len(self._hosts.exit_codes(name)) for name in names}
        for name in names:
            self._hosts.stop(name)

        def ended() -> bool:
            return all(
                len(self._hosts.exit_codes(name)) > count
                for name, count in before.items()
            )

        await self._wait_until_ready(set(), _START_TIMEOUT_S, ended)
        await self._wait_until_all_ready()
        for name in names:
            code = self._hosts.exit_codes(name)[-1]
            self.checks.expect(code == 0, f"{name} exited with {code}")

    async def _check_replacement(
        self, results: list[CallResult], gang: str, description: str
    ) -> None:
        self._record_results(results, f"replaced {description}")
        self.checks.check_none_interrupted(
            results, f"the replacement of {description}"
        )
        state, _ = await self._jobs.wait(gang, _FINAL, 40.0)
        self.checks.expect(
            state == "succeeded", f"gang over the replacement: {state}"
        )

    async def _wait_until_all_ready(self) -> None:
        await asyncio.sleep(1.0)
        await self._wait_until_ready(
            {node.name for node in self._nodes}, _START_TIMEOUT_S, lambda: True
        )

    async def _wait_until_ready(
        self, names: set[str], timeout_s: float, condition: Callable[[], bool]
    ) -> None:
        started_at = time.monotonic()
        while not (names <= self._balancer.ready and condition()):
            if time.monotonic() - started_at > timeout_s:
                missing = sorted(names - self._balancer.ready)
                self.checks.failures.append(f"not ready in time: {missing}")
                return
            await asyncio.sleep(0.05)


def main(argv: list[str] | None = None) -> int:
    """Runs the drill and returns its exit status."""
    return run_driver(
        Drill, "drill", "Inject failures into the demo's processes.", argv
    )


if __name__ == "__main__":
    sys.exit(main())
