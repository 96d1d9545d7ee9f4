"""Gives places to jobs and takes them back, in all books at once."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from pomeloarch_core.gang.cells import Cell, Instance
from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.jobs import Job, Phase
from pomeloarch_core.gang.placer import Place
from pomeloarch_core.gang.shares import Shares
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.gang.workers import Standing
from pomeloarch_core.ids import JobId, WorkerId

_KEPT_STANDINGS = frozenset({Standing.COVERED, Standing.LEAVING})


class Holdings:
    """Keeps fleet, witness and shares in step.

    Args:
      fleet: the workers.
      witness: where the guarantees stand.
      shares: who holds how much.
      jobs: all jobs by id.
    """

    def __init__(
        self,
        fleet: Fleet,
        witness: Witness,
        shares: Shares,
        jobs: Mapping[JobId, Job],
    ) -> None:
        """Keeps the books."""
        self._fleet = fleet
        self._witness = witness
        self._shares = shares
        self._jobs = jobs

    def take(self, job: Job, place: Place) -> None:
        """Gives a job its place; it may have to wait for its victims."""
        job.standing = job.share_standing = place.standing
        job.placement = place.members
        job.phase = Phase.WAITING_FOR_VICTIMS
        job.tasks = [None] * job.spec.members
        job.quiet = set()
        cells = [cell for _, cell in place.cells]
        self._witness.cover(job.job_id, cells, job.spec.accelerators)
        self._hold(job)

    def adopt(self, job: Job) -> None:
        """Books a job where its record says that it is."""
        record = job.record
        job.placement = record.placement
        cells = self._cells_of(job)
        job.standing = Standing.COVERED if cells else job.borrowing
        job.share_standing = job.standing
        self._witness.cover(job.job_id, cells, job.spec.accelerators)
        self._hold(job)
        for worker_id in self._memory_by_worker(job):
            worker = self._fleet.known(worker_id)
            if worker.room < 0 and worker.listed:
                self._witness.settle(worker)

    def _cells_of(self, job: Job) -> list[Cell]:
        """Returns the cells that a record names, if all still hold it."""
        names, places = job.record.cells, job.placement
        if not names or len(names) != len(places):
            return []
        found: list[tuple[Instance, Cell]] = []
        for name, member in zip(names, places, strict=True):
            known = self._witness.find(job.spec.organisation, name)
            if known is None:
                return []
            worker = self._fleet.known(member.worker_id)
            if not self._witness.pin(*known, worker):
                return []
            found.append(known)
        needed = Counter(cell for _, cell in found)
        size = job.spec.accelerators
        if any(cell.spare < n * size for cell, n in needed.items()):
            return []
        return [cell for _, cell in found]

    def _hold(self, job: Job) -> None:
        job.awaited = sum(
            self._fleet.hold(
                job.job_id, member, job.spec.memory_gb, job.standing
            )
            for member in job.placement
        )
        self._shares.add(job)

    def stand(self, job: Job, standing: Standing) -> None:
        """Changes what a job's accelerators are to others."""
        if job.standing is standing:
            return
        workers = [member.worker_id for member in job.placement]
        self._fleet.restand(job.job_id, workers, job.standing, standing)
        job.standing = standing
        if standing is Standing.LEAVING:
            self._shares.leave(job)

    def reclassify(self, job: Job) -> None:
        """Books a job anew whose class has changed."""
        if not job.placement or job.standing in _KEPT_STANDINGS:
            return
        self._rebook(job, job.borrowing)

    def _rebook(self, job: Job, standing: Standing) -> None:
        self._shares.add(job, -1)
        self.stand(job, standing)
        job.share_standing = standing
        self._shares.add(job)
        for worker_id in self._memory_by_worker(job):
            worker = self._fleet.known(worker_id)
            if worker.room < 0 and worker.listed:
                self._witness.settle(worker)

    def uncovered(self) -> None:
        """Books the jobs anew whose guarantee has moved away from them."""
        lost, self._witness.uncovered = self._witness.uncovered, []
        for job_id in lost:
            job = self._jobs.get(job_id)
            if job is None or job.standing is not Standing.COVERED:
                continue
            self._witness.uncover(job.spec.organisation, job_id)
            self._rebook(job, job.borrowing)

    def release(self, job: Job) -> list[Job]:
        """Takes a job's place back.

        Returns:
          The jobs that now have all that they were waiting for.
        """
        if not job.placement:
            return []
        self._shares.add(job, -1)
        if job.standing is Standing.LEAVING:
            self._shares.leave(job, -1)
        self._witness.uncover(job.spec.organisation, job.job_id)
        ready = []
        for worker_id, memory_gb in self._memory_by_worker(job).items():
            heirs = self._fleet.release(
                job.job_id, worker_id, memory_gb, job.standing
            )
            for heir_id in heirs:
                heir = self._jobs[heir_id]
                heir.awaited -= 1
                if not heir.awaited:
                    ready.append(heir)
        job.placement = ()
        job.awaited = 0
        return [
            heir for heir in ready if heir.phase is Phase.WAITING_FOR_VICTIMS
        ]

    def _memory_by_worker(self, job: Job) -> dict[WorkerId, float]:
        memory: dict[WorkerId, float] = {}
        for member in job.placement:
            used = memory.get(member.worker_id, 0.0)
            memory[member.worker_id] = used + job.spec.memory_gb
        return memory
