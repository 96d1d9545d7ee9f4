"""Refusal of jobs that can never run under a generation."""

from __future__ import annotations

from collections.abc import Iterator

from pomeloarch_core.gang.feasibility import fits_beside_guarantees
from pomeloarch_core.gang.messages import JobSpec
from pomeloarch_core.gang.placement import Need
from pomeloarch_core.ids import PoolName, ZoneName
from pomeloarch_core.objects.model import (
    Adjacency,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    WorkerPool,
)

# In larger pools only the counts are compared, since a rack for one gang is
# always found there.
_MAX_SEARCHED_POOL_WORKERS = 256


class Admission:
    """Checks jobs against the objects of one generation.

    Args:
      objects: the generation's objects.
      availability_zone: the zone whose worker pools are considered.
    """

    def __init__(self, objects: ObjectSet, availability_zone: ZoneName) -> None:
        """Indexes the objects by name."""
        self._zone = availability_zone
        self._classes = {c.name: c for c in objects.job_class}
        self._organisations = {o.name: o for o in objects.organisation}
        self._pools = [
            pool
            for pool in objects.worker_pool
            if pool.availability_zone == availability_zone
        ]
        names = {pool.name for pool in self._pools}
        self._fit_by_need: dict[tuple[PoolName, Need], bool] = {}
        self._shapes = [
            shape
            for shape in objects.guaranteed_shape
            if shape.worker_pool in names
        ]

    def refusal_reason(self, spec: JobSpec) -> str | None:
        """Returns why a job can never run, or None if it can.

        All reasons that apply are joined into one text.
        """
        job_class = self._classes.get(spec.job_class)
        organisation = self._organisations.get(spec.organisation)
        reasons = []
        if job_class is None:
            reasons.append(f"there is no job class {spec.job_class}")
        if organisation is None:
            reasons.append(f"there is no organisation {spec.organisation}")
        if spec.members < 1 or spec.accelerators < 1:
            reasons.append("a job needs members and accelerators")
        if not reasons and job_class and organisation:
            reasons.extend(_quota_reasons(spec, organisation))
            reasons.extend(self._capacity_reasons(spec, job_class))
        return "; ".join(reasons) or None

    def _capacity_reasons(
        self, spec: JobSpec, job_class: JobClass
    ) -> Iterator[str]:
        if spec.members > job_class.max_gang:
            yield (
                f"class {job_class.name} allows gangs of {job_class.max_gang}"
                f", not {spec.members}"
            )
        memory = max((p.memory_gb_per_host for p in self._pools), default=0)
        if spec.memory_gb > memory:
            yield (
                f"no worker of {self._zone} has {spec.memory_gb:g} GB; "
                f"the largest has {memory}"
            )
        elif not any(_fits_empty_pool(p, spec, job_class) for p in self._pools):
            yield (
                f"no pool of {self._zone} can hold {spec.members} members of "
                f"{spec.accelerators} accelerators, adjacency "
                f"{job_class.adjacency.value}"
            )
        elif not self._fits_beside_guarantees(spec, job_class):
            yield (
                "guarantees of others leave no room for it, and it can't be "
                "preempted"
            )

    def _fits_beside_guarantees(
        self, spec: JobSpec, job_class: JobClass
    ) -> bool:
        """Returns whether a non-preemptible job fits beside all guarantees.

        It may also fit within the guarantees of its owner. Preemptible jobs
        always pass.
        """
        if job_class.preemptible and spec.idempotent:
            return True
        return any(
            _fits_empty_pool(pool, spec, job_class)
            and (
                self._fits_own_guarantees(pool, spec)
                or self._fits_unguaranteed(pool, spec, job_class)
            )
            for pool in self._pools
        )

    def _fits_unguaranteed(
        self, pool: WorkerPool, spec: JobSpec, job_class: JobClass
    ) -> bool:
        """Returns whether a job fits in a pool that only holds guarantees."""
        size = spec.members * spec.accelerators
        if size > _pool_accelerators(pool) - self._guaranteed_accelerators(
            pool
        ):
            return False
        needs_adjacency = (
            job_class.adjacency is not Adjacency.ANY or spec.members == 1
        )
        if (
            not needs_adjacency
            or pool.racks * pool.hosts_per_rack > _MAX_SEARCHED_POOL_WORKERS
        ):
            return True
        shapes = [s for s in self._shapes if s.worker_pool == pool.name]
        need = Need.from_spec(spec, job_class.adjacency)
        key = (pool.name, need)
        if key not in self._fit_by_need:
            self._fit_by_need[key] = fits_beside_guarantees(pool, shapes, need)
        return self._fit_by_need[key]

    def _guaranteed_accelerators(self, pool: WorkerPool) -> int:
        return sum(
            shape.hosts * shape.accelerators_per_host * shape.count
            for shape in self._shapes
            if shape.worker_pool == pool.name
        )

    def _fits_own_guarantees(self, pool: WorkerPool, spec: JobSpec) -> bool:
        """Returns whether the owner's own guarantees could hold a job."""
        return spec.members <= sum(
            _shape_slots(shape, spec.accelerators)
            for shape in self._shapes
            if shape.worker_pool == pool.name
            and shape.organisation == spec.organisation
        )


def _shape_slots(shape: GuaranteedShape, size: int) -> int:
    return shape.count * shape.hosts * (shape.accelerators_per_host // size)


def _pool_accelerators(pool: WorkerPool) -> int:
    return pool.racks * pool.hosts_per_rack * pool.accelerators_per_host


def _quota_reasons(spec: JobSpec, organisation: Organisation) -> Iterator[str]:
    size = spec.members * spec.accelerators
    if size > organisation.quota_accelerators:
        yield (
            f"{size} accelerators are above the quota of "
            f"{organisation.name}, {organisation.quota_accelerators}"
        )
    if spec.team is None:
        return
    quotas = {t.name: t.quota_accelerators for t in organisation.teams}
    if spec.team not in quotas:
        yield f"{organisation.name} has no team {spec.team}"
    elif size > quotas[spec.team]:
        yield (
            f"{size} accelerators are above the quota of team {spec.team}, "
            f"{quotas[spec.team]}"
        )


def _fits_empty_pool(
    pool: WorkerPool, spec: JobSpec, job_class: JobClass
) -> bool:
    """Returns whether an empty pool could hold a job."""
    if spec.accelerators > pool.accelerators_per_host:
        return False
    per_host = pool.accelerators_per_host // spec.accelerators
    if spec.memory_gb > 0:
        in_memory = int(pool.memory_gb_per_host / spec.memory_gb)
        per_host = min(per_host, in_memory)
    per_rack = per_host * pool.hosts_per_rack
    if job_class.adjacency is Adjacency.HOST or spec.members == 1:
        return spec.members <= per_host
    if job_class.adjacency is Adjacency.RACK:
        return spec.members <= per_rack
    return spec.members <= per_rack * pool.racks
