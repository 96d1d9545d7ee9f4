"""Estimates of run times, from past jobs of a class and organisation.

Callers' declared run times are far off.
"""

from __future__ import annotations

from bisect import insort
from collections import deque

from pomeloarch_core.gang.messages import JobSpec
from pomeloarch_core.ids import JobClassName, OrganisationName

# Run times that are kept for each key.
_WINDOW_SIZE = 32
# The least number of run times for an estimate.
_MIN_SAMPLES = 4
# The quantile of the kept run times that is used as the estimate.
_QUANTILE = 0.75

_Key = tuple[JobClassName, OrganisationName | None]


class _RunTimeWindow:
    """The latest run times, also in sorted order."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, seconds: float) -> None:
        if len(self._recent) == _WINDOW_SIZE:
            self._sorted.remove(self._recent.popleft())
        self._recent.append(seconds)
        insort(self._sorted, seconds)

    def estimate(self) -> float | None:
        if len(self._sorted) < _MIN_SAMPLES:
            return None
        return self._sorted[int(_QUANTILE * (len(self._sorted) - 1))]


class RunTimeEstimator:
    """Estimates how long jobs run.

    >>> times = RunTimeEstimator()
    >>> spec = JobSpec("j", "o", "c", 1, 1, declared_run_s=60.0)
    >>> for seconds in (5.0, 6.0, 7.0, 9.0):
    ...     times.record(spec, seconds)
    >>> times.estimate(spec)
    7.0
    """

    def __init__(self) -> None:
        """Creates an estimator without observed run times."""
        self._windows: dict[_Key, _RunTimeWindow] = {}

    def record(self, spec: JobSpec, seconds: float) -> None:
        """Adds an observed run time, in seconds."""
        for key in _keys(spec):
            self._windows.setdefault(key, _RunTimeWindow()).add(seconds)

    def estimate(self, spec: JobSpec) -> float:
        """Returns the expected run time of a job, in seconds.

        This is the 75 % quantile of the latest run times of the job's class
        and organisation; if there are too few, that of its class; if there
        are too few of these as well, the declared run time.
        """
        for key in _keys(spec):
            window = self._windows.get(key)
            found = window.estimate() if window else None
            if found is not None:
                return found
        return spec.declared_run_s


def _keys(spec: JobSpec) -> tuple[_Key, _Key]:
    return (spec.job_class, spec.organisation), (spec.job_class, None)
