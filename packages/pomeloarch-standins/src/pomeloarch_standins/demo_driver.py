"""The common base of the programs that drive the demo's processes."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable

import aiohttp

from pomeloarch_standins.demo_checks import DemoChecks
from pomeloarch_standins.demo_client import Balancer, CallResult, RequestClient
from pomeloarch_standins.demo_control import DemoControl
from pomeloarch_standins.demo_hosts import DemoHosts
from pomeloarch_standins.demo_jobs import JobClient
from pomeloarch_standins.demo_layout import Layout
from pomeloarch_standins.demo_load import describe_outcomes, print_event
from pomeloarch_standins.demo_scenario import SCENARIOS, Scenario


class DemoDriver:
    """The callers, control clients and checks of a run.

    Args:
      layout: the addresses of the run.
      work: the folder with the files of the run.
      session: the HTTP session of callers and operators.

    Attributes:
      checks: the checks with their failures so far.
    """

    def __init__(
        self,
        layout: Layout,
        work: pathlib.Path,
        session: aiohttp.ClientSession,
    ) -> None:
        """Creates the clients without sending anything."""
        self._layout = layout
        self._work = work
        self._session = session
        self._scenario: Scenario = SCENARIOS[layout.example.name]
        self._hosts = DemoHosts(work)
        self._nodes = layout.nodes()
        self._balancer = Balancer(self._nodes, session)
        self._callers = RequestClient(
            self._balancer, session, layout.example.service
        )
        self._jobs = JobClient(self._balancer, session)
        self._control = DemoControl(layout, session)
        self._results: list[CallResult] = []
        self._once_jobs: list[str] = []
        self.checks = DemoChecks()

    def _record_results(
        self, results: Iterable[CallResult], phase: str
    ) -> None:
        """Records, checks and prints the results of a phase."""
        results = list(results)
        self._results += results
        self.checks.check_answers(results)
        print_event(f"{phase}: {describe_outcomes(results)}")

    async def _check_runs(self) -> None:
        """Checks the results against the counters of executors and workers."""
        self.checks.check_runs(self._results, await self._control.runs())
        counts = await self._control.worker_counts()
        self.checks.check_workers(counts, self._once_jobs)
