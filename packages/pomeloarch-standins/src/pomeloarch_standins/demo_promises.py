"""Judges what callers and executors saw against what the system promises."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from pomeloarch_standins.demo_client import CallResult, Ending


class Promises:
    """Collects broken promises, so that all are reported together."""

    def __init__(self) -> None:
        """Starts with none broken."""
        self.broken: list[str] = []

    def expect(self, kept: bool, broken: str) -> None:
        """Notes a broken promise unless it was kept."""
        if not kept:
            self.broken.append(broken)

    def check_answers(self, results: Iterable[CallResult]) -> None:
        """Checks that each answer was the whole one to its own request."""
        for result in results:
            if result.ending is Ending.ANSWERED:
                self.expect(
                    result.own_answer,
                    f"{result.call.key}: the answer is another request's",
                )

    def check_runs(
        self, results: Iterable[CallResult], runs: Mapping[str, int]
    ) -> None:
        """Checks refusals and non-idempotent requests against what ran.

        Args:
          results: what callers were told.
          runs: how often each request ran, by the hash of its body.
        """
        for result in results:
            count = runs.get(result.call.key, 0)
            if result.ending is Ending.NOT_RUN:
                self.expect(
                    count == 0,
                    f"{result.call.key}: refused as not run, but ran",
                )
            if result.call.non_idempotent:
                self.expect(
                    count <= 1,
                    f"{result.call.key}: non-idempotent, but ran {count} times",
                )

    def check_workers(
        self, counts: Mapping[str, Any], once_jobs: Iterable[str] = ()
    ) -> None:
        """Checks that no gang ran in part and nothing started twice.

        Args:
          counts: what the workers counted.
          once_jobs: the non-idempotent jobs.
        """
        for violation in counts["violations"]:
            self.broken.append(f"workers: {violation}")
        for job_id in once_jobs:
            starts = counts["starts"].get(job_id, 0)
            self.expect(
                starts <= 1,
                f"{job_id}: non-idempotent, but started {starts} times",
            )

    def check_uncut(self, results: Iterable[CallResult], cause: str) -> None:
        """Checks that no request was cut or left in doubt."""
        endings = Counter(
            result.reason
            for result in results
            if result.ending in (Ending.CUT, Ending.UNKNOWN)
        )
        for reason, count in endings.items():
            self.broken.append(f"{cause} cut {count} requests: {reason}")
