"""Brings failures about on the demo's processes and checks the promises.

`make drill` runs it: platform outages, lost answers, racing operators, a
zone cut off from the platform, a leaving executor, a killed scheduler, and
the replacement of all nodes, each under a steady load.
"""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import sys
import time
from collections.abc import Awaitable, Callable

from pomeloarch_cli.main import main as pomelo
from pomeloarch_standins.demo_client import (
    CallResult,
    Ending,
    wait_until_alive,
)
from pomeloarch_standins.demo_driver import DemoDriver
from pomeloarch_standins.demo_jobs import JobAsk
from pomeloarch_standins.demo_layout import NodePlace
from pomeloarch_standins.demo_load import (
    count_answered,
    describe_endings,
    say,
    steady_load,
)
from pomeloarch_standins.demo_run import run_driver
from pomeloarch_standins.executor_faults import Fault
from pomeloarch_standins.platform_server import Faults
from pomeloarch_standins.relay import Cut

_START_TIMEOUT_S = 25.0
_OUTAGE_S = 5.0
_LEAVING_GRACE_S = 2.0
_LIST_LAG_S = 2.0
_SLOW_S = 0.8
_FIND_SILENT_S = 6.0
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
    """One run of all failures."""

    async def run(self) -> None:
        """Brings all failures about, one after another."""
        prober = asyncio.create_task(self._balancer.run())
        await self._publish()
        failures: list[Callable[[], Awaitable[None]]] = [
            self._operators_race,
            self._platform_loses_answers,
            self._platform_down,
            self._platform_slow,
            self._zone_cut_from_platform,
            self._one_way_cuts,
            self._platform_connections_go_silent,
            self._executors_go_bad,
            self._executor_leaves,
            self._scheduler_killed,
            self._nodes_replaced_in_turn,
            self._three_nodes_at_once,
        ]
        for failure in failures:
            await failure()
        await self._check_runs()
        say(f"platform used: {await self._control.platform_counts()}")
        prober.cancel()

    async def _publish(self) -> None:
        await wait_until_alive(self._nodes, self._session, _START_TIMEOUT_S)
        example = f"examples/{self._layout.example.name}"
        code = await self._pomelo(["publish", example, "--why", "first set"])
        self.promises.expect(code == 0, f"publish ended with {code}")
        await self._until_all_ready()

    async def _pomelo(
        self, argv: list[str], node: NodePlace | None = None
    ) -> int:
        place = node or self._balancer.pick()
        return await asyncio.to_thread(pomelo, [*argv, "--node", place.url])

    def _edited(self, name: str, old: str, new: str) -> str:
        """Returns a copy of the example with one edit in it."""
        source = pathlib.Path("examples") / self._layout.example.name
        target = self._work / name
        shutil.copytree(source, target, dirs_exist_ok=True)
        for path in target.glob("*.toml"):
            path.write_text(path.read_text().replace(old, new))
        return str(target)

    async def _operators_race(self) -> None:
        """Both change the same object: one wins, the other is told."""
        base = ["--base", "1", "--why", "race"]
        edits = [
            self._edited("race-a", "grace_s = 10.0", "grace_s = 9.0"),
            self._edited("race-b", "grace_s = 10.0", "grace_s = 8.0"),
        ]
        codes = await asyncio.gather(
            *(
                self._pomelo(["publish", path, *base], node)
                for path, node in zip(edits, self._nodes[::3], strict=True)
            )
        )
        self.promises.expect(
            sorted(codes) == [0, 1], f"racing operators ended with {codes}"
        )
        say(f"two operators raced: exit codes {sorted(codes)}")

    async def _platform_loses_answers(self) -> None:
        await self._control.platform_faults(Faults(lose_answers=0.4))
        async with steady_load(self._callers, self._scenario) as results:
            jobs = [await self._submit_once() for _ in range(3)]
            await asyncio.sleep(_OUTAGE_S)
        await self._control.platform_faults(Faults())
        self._take(results, "platform loses 40% of its answers")
        for job_id in jobs:
            state, _ = await self._jobs.wait(job_id, _FINAL, 30.0)
            say(f"non-idempotent job under lost answers: {state}")
            self.promises.expect(
                state in {"succeeded", "unknown"}, f"{job_id} is {state}"
            )

    async def _submit_once(self) -> str:
        ask = JobAsk(
            self._scenario.owner.organisation,
            "standard",
            2,
            4,
            1.0,
            self._scenario.gang.availability_zone,
            idempotent=False,
        )
        job_id = await self._jobs.submit(ask)
        self._once_jobs.append(job_id)
        return job_id

    async def _platform_down(self) -> None:
        gang = await self._jobs.submit(self._scenario.gang)
        await self._jobs.wait(gang, {"running"}, 15.0)
        await self._control.platform_faults(Faults(down=True))
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(_OUTAGE_S)
        await self._control.platform_faults(Faults())
        self._take(results, "platform down")
        plain = [each for each in results if not each.call.non_idempotent]
        self.promises.expect(
            all(each.ending is Ending.ANSWERED for each in plain),
            "an idempotent request failed while the platform was down: "
            f"{describe_endings(plain)}",
        )
        state, _ = await self._jobs.wait(gang, _FINAL, 30.0)
        self.promises.expect(
            state == "succeeded", f"gang over the outage ended as {state}"
        )
        say(f"gang that ran over the outage: {state}")

    async def _platform_slow(self) -> None:
        await self._control.platform_faults(Faults(slow_s=_SLOW_S))
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(_OUTAGE_S)
        await self._control.platform_faults(Faults())
        self._take(results, f"platform slow by {_SLOW_S} s a call")
        self.promises.check_uncut(results, "a slow platform")

    async def _one_way_cuts(self) -> None:
        """Only one direction between a zone and the platform is cut."""
        zone = self._layout.example.zones[1]
        for cut in (Cut.FORWARD, Cut.BACK):
            await self._control.cut_platform(zone, cut)
            async with steady_load(self._callers, self._scenario) as results:
                await asyncio.sleep(_OUTAGE_S)
            await self._control.cut_platform(zone, Cut.OPEN)
            self._take(results, f"{zone} and the platform cut {cut.value}")
            plain = [each for each in results if not each.call.non_idempotent]
            self.promises.expect(
                count_answered(plain) == len(plain),
                f"idempotent requests failed in a one-way cut: "
                f"{describe_endings(plain)}",
            )

    async def _zone_cut_from_platform(self) -> None:
        """A generation published meanwhile reaches the zone by its peers."""
        zone = self._layout.example.zones[0]
        await self._control.cut_platform(zone, Cut.SILENT)
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(1.0)
            begun = time.monotonic()
            edit = self._edited("cut", "grace_s = 5.0", "grace_s = 4.0")
            code = await self._pomelo(
                ["publish", edit, "--why", "during a cut"], self._nodes[2]
            )
            took = time.monotonic() - begun
            await asyncio.sleep(_OUTAGE_S)
        await self._control.cut_platform(zone, Cut.OPEN)
        self._take(results, f"{zone} cut off from the platform")
        self.promises.expect(
            code == 0, f"publish during the cut ended with {code}"
        )
        say(f"published during the cut, in force everywhere in {took:.1f} s")

    async def _platform_connections_go_silent(self) -> None:
        """Open connections go silent for good while new ones work."""
        zones = self._layout.example.zones
        for zone in zones:
            await self._control.cut_platform(zone, Cut.SILENT_OLD)
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(_FIND_SILENT_S)
        self._take(results, "connections to the platform went silent")
        async with steady_load(self._callers, self._scenario) as later:
            await asyncio.sleep(2.0)
        self._take(later, f"{_FIND_SILENT_S:.0f} s later")
        self.promises.expect(
            all(each.ending is Ending.ANSWERED for each in later),
            f"silent connections are still in use: {describe_endings(later)}",
        )
        for zone in zones:
            await self._control.cut_platform(zone, Cut.OPEN)

    async def _executors_go_bad(self) -> None:
        """One executor shows one fault after another, under load."""
        for fault in _EXECUTOR_FAULTS:
            async with steady_load(self._callers, self._scenario) as results:
                await asyncio.sleep(0.5)
                await self._control.executor_fault(0, 2, fault)
                await asyncio.sleep(_FAULT_S)
                await self._control.executor_fault(0, 2, Fault.NONE)
            self._take(results, f"an executor shows '{fault.value}'")
            plain = [each for each in results if not each.call.non_idempotent]
            answered = count_answered(plain)
            self.promises.expect(
                answered == len(plain),
                f"'{fault.value}' on one executor of 24 failed idempotent "
                f"requests: {describe_endings(plain)}",
            )

    async def _executor_leaves(self) -> None:
        """No new work after the list's lag and two seconds."""
        zone = self._layout.example.zones[1]
        await self._control.set_host(f"{zone}-executor-3", "leaving")
        async with steady_load(self._callers, self._scenario) as results:
            await asyncio.sleep(2 * _LIST_LAG_S + _LEAVING_GRACE_S)
            before = await self._control.runs_of_executor(1, 3)
            await asyncio.sleep(2.0)
            after = await self._control.runs_of_executor(1, 3)
        self._take(results, "an executor leaves")
        self.promises.expect(
            before == after,
            f"a leaving executor got {after - before} new requests",
        )
        self.promises.check_uncut(results, "a leaving executor")

    async def _scheduler_killed(self) -> None:
        zone = self._layout.example.zones[2]
        once = await self._submit_once()
        gang = await self._jobs.submit(self._scenario.gang)
        await self._jobs.wait(gang, {"running"}, 15.0)
        holder = await self._holder(zone)
        self._hosts.kill(holder)
        for job_id, allowed in (
            (gang, {"succeeded"}),
            (once, {"succeeded", "unknown"}),
        ):
            state, waited = await self._jobs.wait(job_id, _FINAL, 40.0)
            self.promises.expect(state in allowed, f"{job_id} ended as {state}")
            say(f"{holder}, a scheduler, killed: job {state} {waited:.1f} s on")
        await self._until_all_ready()

    async def _holder(self, zone: str) -> str:
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
        await self._after_replacement(results, gang, "all nodes in turn")

    async def _three_nodes_at_once(self) -> None:
        gang = await self._jobs.submit(self._scenario.gang)
        async with steady_load(self._callers, self._scenario) as results:
            await self._replace(self._nodes[::2])
        await self._after_replacement(results, gang, "three nodes at once")

    async def _replace(self, nodes: list[NodePlace]) -> None:
        """Stops nodes in a planned way and waits for those in their place."""
        names = [node.name for node in nodes]
        before = {name: len(self._hosts.exits(name)) for name in names}
        for name in names:
            self._hosts.stop(name)

        def ended() -> bool:
            return all(
                len(self._hosts.exits(name)) > count
                for name, count in before.items()
            )

        await self._until_ready(set(), _START_TIMEOUT_S, ended)
        await self._until_all_ready()
        for name in names:
            code = self._hosts.exits(name)[-1]
            self.promises.expect(code == 0, f"{name} exited with {code}")

    async def _after_replacement(
        self, results: list[CallResult], gang: str, what: str
    ) -> None:
        self._take(results, f"replaced {what}")
        self.promises.check_uncut(results, f"the replacement of {what}")
        state, _ = await self._jobs.wait(gang, _FINAL, 40.0)
        self.promises.expect(
            state == "succeeded", f"gang over the replacement: {state}"
        )

    async def _until_all_ready(self) -> None:
        await asyncio.sleep(1.0)
        await self._until_ready(
            {node.name for node in self._nodes}, _START_TIMEOUT_S, lambda: True
        )

    async def _until_ready(
        self, names: set[str], timeout_s: float, reached: Callable[[], bool]
    ) -> None:
        begun = time.monotonic()
        while not (names <= self._balancer.ready and reached()):
            if time.monotonic() - begun > timeout_s:
                missing = sorted(names - self._balancer.ready)
                self.promises.broken.append(f"not ready in time: {missing}")
                return
            await asyncio.sleep(0.05)


def main(argv: list[str] | None = None) -> int:
    """Runs the driver and returns its exit code."""
    return run_driver(
        Drill, "drill", "Bring failures about on the processes.", argv
    )


if __name__ == "__main__":
    sys.exit(main())
