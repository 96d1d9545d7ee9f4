"""The queue of waiting jobs by class, organisation and caller."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import islice

from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.ids import (
    CallerName,
    JobClassName,
    JobId,
    OrganisationName,
)
from pomeloarch_core.objects.model import JobClass, Urgency

# The number of jobs that are yielded from the head of each caller's queue.
_JOBS_PER_CALLER = 3
_URGENCY_ORDER = {Urgency.URGENT: 0, Urgency.STANDARD: 1, Urgency.BATCH: 2}

_ByCaller = dict[CallerName, dict[JobId, Job]]
_ByOrganisation = dict[OrganisationName, _ByCaller]


class JobQueue:
    """The waiting jobs and the order in which they are placed.

    Args:
      shares: accelerators held by organisation, team, caller and class.

    Attributes:
      version: grows whenever a job is added.
    """

    def __init__(self, shares: Shares) -> None:
        """Creates an empty queue."""
        self._shares = shares
        self._jobs: dict[JobClassName, _ByOrganisation] = {}
        self._classes: dict[JobClassName, JobClass] = {}
        self._count = 0
        self.version = 0

    def __len__(self) -> int:
        """Returns the number of waiting jobs."""
        return self._count

    def count_by_class(self) -> dict[JobClassName, int]:
        """Returns the number of waiting jobs of each class."""
        return {
            name: sum(len(q) for c in callers.values() for q in c.values())
            for name, callers in self._jobs.items()
        }

    def add(self, job: Job) -> None:
        """Adds a job after the others of its caller and class."""
        spec = job.spec
        self._classes[spec.job_class] = job.job_class
        by_organisation = self._jobs.setdefault(spec.job_class, {})
        by_caller = by_organisation.setdefault(spec.organisation, {})
        waiting = by_caller.setdefault(spec.caller, {})
        if job.job_id not in waiting:
            waiting[job.job_id] = job
            self._count += 1
            self.version += 1

    def add_first(self, job: Job) -> None:
        """Adds a job ahead of its caller's others, since it had started before.

        If the caller has more than `_MAX_REORDERED_JOBS` jobs waiting, the
        job is added after them.
        """
        self.add(job)
        spec = job.spec
        by_caller = self._jobs[spec.job_class][spec.organisation]
        waiting = by_caller[spec.caller]
        if len(waiting) > 1 and len(waiting) <= _MAX_REORDERED_JOBS:
            del waiting[job.job_id]
            by_caller[spec.caller] = {job.job_id: job, **waiting}

    def remove(self, job: Job) -> bool:
        """Removes a job; returns whether it was in the queue."""
        spec = job.spec
        by_organisation = self._jobs.get(spec.job_class, {})
        by_caller = by_organisation.get(spec.organisation, {})
        waiting = by_caller.get(spec.caller, {})
        if waiting.pop(job.job_id, None) is None:
            return False
        self._count -= 1
        if not waiting:
            del by_caller[spec.caller]
        if not by_caller:
            del by_organisation[spec.organisation]
        if not by_organisation:
            del self._jobs[spec.job_class]
        return True

    def has_jobs_of(self, organisation: OrganisationName) -> bool:
        """Returns whether an organisation has waiting jobs."""
        return any(organisation in by_org for by_org in self._jobs.values())

    def all_jobs(self) -> Iterator[Job]:
        """Yields all waiting jobs."""
        for by_organisation in self._jobs.values():
            for by_caller in by_organisation.values():
                for jobs in by_caller.values():
                    yield from jobs.values()

    def jobs_of(self, organisation: OrganisationName) -> Iterator[Job]:
        """Yields the first jobs of an organisation in the order of service."""
        for name in self._class_names_in_order():
            callers = self._jobs[name].get(organisation)
            if callers:
                yield from self._jobs_of_callers(organisation, callers)

    def in_service_order(self) -> Iterator[Job]:
        """Yields the first jobs of each caller in the order of service.

        Classes below their floor come first, then the others by urgency.
        Within a class, the organisation that holds least for its weight
        comes first, and within an organisation the caller that holds least.
        """
        for name in self._class_names_in_order():
            by_organisation = self._jobs[name]
            heap = [
                (self._shares.organisation_load(organisation), number)
                for number, organisation in enumerate(by_organisation)
            ]
            heapq.heapify(heap)
            names = list(by_organisation)
            while heap:
                organisation = names[heapq.heappop(heap)[1]]
                yield from self._jobs_of_callers(
                    organisation, by_organisation[organisation]
                )

    def _class_names_in_order(self) -> list[JobClassName]:
        return sorted(
            self._jobs,
            key=lambda name: (
                not self._shares.is_below_floor(name),
                _URGENCY_ORDER[self._classes[name].urgency],
            ),
        )

    def _jobs_of_callers(
        self, organisation: OrganisationName, by_caller: _ByCaller
    ) -> Iterator[Job]:
        heap = [
            (self._shares.caller_load(organisation, caller), number)
            for number, caller in enumerate(by_caller)
        ]
        heapq.heapify(heap)
        names = list(by_caller)
        while heap:
            caller = names[heapq.heappop(heap)[1]]
            yield from islice(by_caller[caller].values(), _JOBS_PER_CALLER)


# Waiting jobs of one caller up to which a job can be put first among them.
_MAX_REORDERED_JOBS = 256
