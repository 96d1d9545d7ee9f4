"""Run times learnt per class and organisation; declared ones are far off."""

from __future__ import annotations

from bisect import insort
from collections import deque

from pomeloarch_core.gang.messages import JobSpec
from pomeloarch_core.ids import JobClassName, OrganisationName

_WINDOW = 32
_ENOUGH = 4
_QUANTILE = 0.75

_Key = tuple[JobClassName, OrganisationName | None]


class _Window:
    """The last run times, also in the order of their lengths."""

    def __init__(self) -> None:
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []

    def add(self, seconds: float) -> None:
        if len(self._recent) == _WINDOW:
            self._sorted.remove(self._recent.popleft())
        self._recent.append(seconds)
        insort(self._sorted, seconds)

    def estimate(self) -> float | None:
        if len(self._sorted) < _ENOUGH:
            return None
        return self._sorted[int(_QUANTILE * (len(self._sorted) - 1))]


class RunTimes:
    """Estimates how long jobs run.

    >>> times = RunTimes()
    >>> spec = JobSpec("j", "o", "c", 1, 1, declared_run_s=60.0)
    >>> for seconds in (5.0, 6.0, 7.0, 9.0):
    ...     times.learn(spec, seconds)
    >>> times.estimate(spec)
    7.0
    """

    def __init__(self) -> None:
        """Knows no run times yet."""
        self._windows: dict[_Key, _Window] = {}

    def learn(self, spec: JobSpec, seconds: float) -> None:
        """Takes in how long a job really ran, in seconds."""
        for key in _keys(spec):
            self._windows.setdefault(key, _Window()).add(seconds)

    def estimate(self, spec: JobSpec) -> float:
        """Returns how long a job will run, in seconds.

        It is what three quarters of the last jobs of its class and
        organisation stayed below, then of its class; the declared time
        counts only while there are too few of both.
        """
        for key in _keys(spec):
            window = self._windows.get(key)
            found = window.estimate() if window else None
            if found is not None:
                return found
        return spec.declared_run_s


def _keys(spec: JobSpec) -> tuple[_Key, _Key]:
    return (spec.job_class, spec.organisation), (spec.job_class, None)
