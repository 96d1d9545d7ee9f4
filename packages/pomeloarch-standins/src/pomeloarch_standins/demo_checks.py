"""Checks the results of callers and executors against the guarantees."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from pomeloarch_standins.demo_client import CallOutcome, CallResult


class DemoChecks:
    """Collects failed checks, so that all are reported together.

    Attributes:
      failures: a sentence for each failed check.
    """

    def __init__(self) -> None:
        """Creates the checks without failures."""
        self.failures: list[str] = []

    def expect(self, holds: bool, failure: str) -> None:
        """Records a failure unless the condition holds."""
        if not holds:
            self.failures.append(failure)

    def check_answers(self, results: Iterable[CallResult]) -> None:
        """Checks that each answer belongs to its own request."""
        for result in results:
            if result.ending is CallOutcome.ANSWERED:
                self.expect(
                    result.own_answer,
                    f"{result.call.key}: the answer is another request's",
                )

    def check_runs(
        self, results: Iterable[CallResult], runs: Mapping[str, int]
    ) -> None:
        """Checks refusals and non-idempotent requests against the runs.

        Args:
          results: the results that callers got.
          runs: how often each request ran, by its request id.
        """
        for result in results:
            count = runs.get(result.call.key, 0)
            if result.ending is CallOutcome.NOT_RUN:
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
        """Checks that no gang ran partially and that nothing started twice.

        This applies to the members of an attempt and to non-idempotent jobs.

        Args:
          counts: the counters of the workers.
          once_jobs: the non-idempotent jobs.
        """
        for violation in counts["violations"]:
            self.failures.append(f"workers: {violation}")
        for job_id in once_jobs:
            starts = counts["starts"].get(job_id, 0)
            self.expect(
                starts <= 1,
                f"{job_id}: non-idempotent, but started {starts} times",
            )

    def check_none_interrupted(
        self, results: Iterable[CallResult], cause: str
    ) -> None:
        """Checks that no request was interrupted or had an unknown outcome."""
        endings = Counter(
            result.reason
            for result in results
            if result.ending in (CallOutcome.CUT, CallOutcome.UNKNOWN)
        )
        for reason, count in endings.items():
            self.failures.append(
                f"{cause} interrupted {count} requests: {reason}"
            )
