"""Fair shares, quotas and floors of one zone."""

from __future__ import annotations

from collections import Counter

from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job
from pomeloarch_core.gang.workers import AllocationKind
from pomeloarch_core.ids import (
    CallerName,
    JobClassName,
    OrganisationName,
    TeamName,
)
from pomeloarch_core.objects.model import JobClass, ObjectSet, Organisation

_Team = tuple[OrganisationName, TeamName]
_Caller = tuple[OrganisationName, CallerName]


class Shares:
    """Accelerators held by organisation, team, caller and class.

    Args:
      fleet: the workers, for the number of listed accelerators.

    Attributes:
      version: grows with every change.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Creates shares without any accelerators held."""
        self._fleet = fleet
        self._classes: dict[JobClassName, JobClass] = {}
        self._organisations: dict[OrganisationName, Organisation] = {}
        self._quota: dict[_Team, int] = {}
        self._floors = 0.0
        self._of_organisation: Counter[OrganisationName] = Counter()
        self._borrowed: Counter[OrganisationName] = Counter()
        self._of_team: Counter[_Team] = Counter()
        self._of_caller: Counter[_Caller] = Counter()
        self._of_class: Counter[JobClassName] = Counter()
        self._fixed: Counter[JobClassName] = Counter()
        self._leaving: Counter[JobClassName] = Counter()
        self.version = 0

    def configure(self, objects: ObjectSet) -> None:
        """Applies the weights, quotas and floors of a generation."""
        self._classes = {c.name: c for c in objects.job_class}
        self._organisations = {o.name: o for o in objects.organisation}
        self._quota = {
            (organisation.name, team.name): team.quota_accelerators
            for organisation in objects.organisation
            for team in organisation.teams
        }
        self._floors = sum(c.floor_share for c in objects.job_class)

    def add(self, job: Job, sign: int = 1) -> None:
        """Adds a job's accelerators; removes them if `sign` is -1."""
        self.version += 1
        spec, amount = job.spec, sign * job.size
        self._of_organisation[spec.organisation] += amount
        self._of_class[spec.job_class] += amount
        if spec.team is not None:
            self._of_team[spec.organisation, spec.team] += amount
        if job.counted_kind is not AllocationKind.COVERED:
            self._borrowed[spec.organisation] += amount
            self._of_caller[spec.organisation, spec.caller] += amount
        if job.counted_kind is AllocationKind.FIXED:
            self._fixed[spec.job_class] += amount

    def count_leaving(self, job: Job, sign: int = 1) -> None:
        """Counts a job as being evicted; reverts that if `sign` is -1."""
        self.version += 1
        self._leaving[job.spec.job_class] += sign * job.size

    def organisation_load(self, organisation: OrganisationName) -> float:
        """Returns accelerators held outside guarantees, divided by weight."""
        known = self._organisations.get(organisation)
        weight = known.weight if known else 1.0
        return self._borrowed[organisation] / weight

    def caller_load(
        self, organisation: OrganisationName, caller: CallerName
    ) -> int:
        """Returns the accelerators that a caller holds outside guarantees."""
        return self._of_caller[organisation, caller]

    def quota_left(self, job: Job) -> int:
        """Returns the accelerators that a job's quotas leave to it."""
        spec = job.spec
        organisation = self._organisations.get(spec.organisation)
        if organisation is None:
            return 0
        held = self._of_organisation[spec.organisation]
        left = organisation.quota_accelerators - held
        return min(left, self.team_quota_left(job))

    def team_quota_left(self, job: Job) -> int:
        """Returns the accelerators that the team's quota leaves to a job."""
        if job.spec.team is None:
            return job.size
        key = (job.spec.organisation, job.spec.team)
        return self._quota.get(key, 0) - self._of_team[key]

    def floor(self, job_class: JobClassName) -> float:
        """Returns the accelerators that a class keeps under any load."""
        known = self._classes.get(job_class)
        share = known.floor_share if known else 0.0
        return share * self._fleet.listed_accelerators

    def is_below_floor(self, job_class: JobClassName) -> bool:
        """Returns whether a class holds less than its floor."""
        return self.surplus_over_floor(job_class) < 0.0

    def surplus_over_floor(self, job_class: JobClassName) -> float:
        """Returns the accelerators that a class holds beyond its floor.

        The value is negative below the floor. Jobs that are being evicted
        don't count.
        """
        held = self._of_class[job_class] - self._leaving[job_class]
        return held - self.floor(job_class)

    def allows_fixed(self, job: Job) -> bool:
        """Returns whether other classes' floors leave room for a fixed job.

        A non-preemptible job must not use the floors of other classes,
        since they could not get their accelerators back from it.
        """
        name = job.spec.job_class
        others = self._floors * self._fleet.listed_accelerators
        others -= self.floor(name)
        allowed = self._fleet.listed_accelerators - others
        return self._fixed[name] + job.size <= allowed
