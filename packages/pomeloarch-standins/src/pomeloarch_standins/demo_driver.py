"""What every driver of the demo's processes has at hand."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable

import aiohttp

from pomeloarch_standins.demo_client import Balancer, Callers, CallResult
from pomeloarch_standins.demo_control import DemoControl
from pomeloarch_standins.demo_hosts import DemoHosts
from pomeloarch_standins.demo_jobs import JobCallers
from pomeloarch_standins.demo_layout import Layout
from pomeloarch_standins.demo_load import describe_endings, say
from pomeloarch_standins.demo_promises import Promises
from pomeloarch_standins.demo_scenario import SCENARIOS, Scenario


class DemoDriver:
    """Callers, operators and faults of a run whose processes are started.

    Args:
      layout: where everything listens.
      work: the folder with the files of the run.
      session: the HTTP session of callers and operators.

    Attributes:
      promises: those that were broken so far.
    """

    def __init__(
        self,
        layout: Layout,
        work: pathlib.Path,
        session: aiohttp.ClientSession,
    ) -> None:
        """Prepares callers; nothing is sent yet."""
        self._layout = layout
        self._work = work
        self._session = session
        self._scenario: Scenario = SCENARIOS[layout.example.name]
        self._hosts = DemoHosts(work)
        self._nodes = layout.nodes()
        self._balancer = Balancer(self._nodes, session)
        self._callers = Callers(self._balancer, session, layout.example.service)
        self._jobs = JobCallers(self._balancer, session)
        self._control = DemoControl(layout, session)
        self._results: list[CallResult] = []
        self._once_jobs: list[str] = []
        self.promises = Promises()

    def _take(self, results: Iterable[CallResult], phase: str) -> None:
        """Keeps results of a phase, checks their answers and prints them."""
        results = list(results)
        self._results += results
        self.promises.check_answers(results)
        say(f"{phase}: {describe_endings(results)}")

    async def _check_runs(self) -> None:
        """Checks what executors and workers counted against the results."""
        self.promises.check_runs(self._results, await self._control.runs())
        counts = await self._control.worker_counts()
        self.promises.check_workers(counts, self._once_jobs)
