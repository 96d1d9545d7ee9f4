"""Plays a plan in virtual time and judges the record of its runs."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence

import msgspec

from pomeloarch_core.batch.model import BatchJob
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_standins.batch_fuzz.faults import KINDS
from pomeloarch_standins.batch_fuzz.judging import Finding, find_violations
from pomeloarch_standins.batch_fuzz.plan import (
    Plan,
    PlannedCall,
    PlannedFault,
    PlannedJob,
)
from pomeloarch_standins.batch_fuzz.stage import Stage
from pomeloarch_standins.batch_ledger import LedgerEntry
from pomeloarch_standins.batch_waiting import WaitingWatch
from pomeloarch_standins.batch_world import may_run
from pomeloarch_standins.virtual_time import run_virtual

# Time after the last start within which the jobs that are left have to be
# started or to end, and time for the long-running ones to run, in seconds. In
# the meantime late orders are carried out, leases run out and the scheduler's
# role changes hands.
_STANDSTILL_S = 30.0
_SETTLE_TIMEOUT_S = 60.0
# Time that follows the last end, for orders that are still under way, and the
# time after a cancellation for its runs to be gone, in seconds.
_REST_S = 15.0
# How often a condition is checked while all is calm, in seconds.
_CHECK_INTERVAL_S = 0.1
# Limit on the groups that a leader keeps in memory. Each takes up to a KB, and
# the smallest hosts have 200 MB.
_MAX_GROUPS = 25_000
# Time for which all has to be calm before a job that stands still counts, in
# seconds (RULES, LOST).
_CALM_S = 4.0


class Result(msgspec.Struct, frozen=True):
    """The result of a play.

    Attributes:
      findings: the violations.
      entries: the record of all runs.
      log: the nodes' decisions, one JSON object a line.
    """

    findings: tuple[Finding, ...]
    entries: tuple[LedgerEntry, ...]
    log: bytes


def play(plan: Plan) -> Result:
    """Plays a plan and judges it."""
    with tempfile.NamedTemporaryFile() as log_file:
        stage_entries, findings = run_virtual(_play(plan, log_file.name))
        log = log_file.read()
    return Result(tuple(findings), tuple(stage_entries), log)


async def _play(
    plan: Plan, log_path: str
) -> tuple[Sequence[LedgerEntry], list[Finding]]:
    stage = Stage(plan, log_path)
    world = stage.world
    world.start()
    watch = WaitingWatch()
    watching = [
        asyncio.create_task(_watch(stage, plan, watch)),
        asyncio.create_task(_weigh(stage)),
    ]
    try:
        await asyncio.gather(
            *(_submit(stage, each) for each in plan.jobs),
            *(
                _call(stage, job, call, cancels)
                for job in plan.jobs
                for calls, cancels in ((job.cancels, True), (job.rivals, False))
                for call in calls
            ),
            *(_strike(stage, each) for each in plan.faults),
        )
        endless = {each.job_id for each in plan.jobs if each.is_endless}
        idle: list[JobId] = []
        if plan.world.lasting_s:
            # There isn't room for all of them; the watch judges those for which
            # there is.
            await asyncio.sleep(plan.world.lasting_s)
        else:
            lasting = {each.job_id for each in plan.jobs if each.is_lasting}
            idle = await _wait_for_endless(stage, lasting)
        # A gang that needs all workers has room only now.
        await asyncio.gather(
            *(stage.cancel(each) for each in plan.jobs if each.is_endless)
        )
        unfinished = await _wait_for_jobs(stage, endless)
        await asyncio.sleep(_REST_S)
    finally:
        for each in watching:
            each.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        await world.stop()
    findings = find_violations(world, plan.calm_at_s, unfinished, idle)
    findings += (
        Finding("stands still beside free workers", str(each))
        for each in watch.found.values()
    )
    if stage.most_groups > _MAX_GROUPS:
        findings.append(
            Finding("takes too much memory", f"{stage.most_groups} groups")
        )
    return world.ledger.entries, findings


async def _watch(stage: Stage, plan: Plan, watch: WaitingWatch) -> None:
    """Looks for jobs that stand still, from when all has been calm."""
    world = stage.world
    await asyncio.sleep(plan.calm_at_s + _CALM_S)
    while True:
        left = world.accepted.keys() - world.cancelled - world.finished.keys()
        watch.look(
            world.submitted,
            sorted(left),
            world.ledger.entries,
            stage.capacities(),
            world.unanswered_starts,
            world.clock(),
            _may_run,
        )
        await asyncio.sleep(_CHECK_INTERVAL_S)


async def _weigh(stage: Stage) -> None:
    """Weighs the leader from the beginning."""
    while True:
        stage.weigh_leader()
        await asyncio.sleep(_CHECK_INTERVAL_S)


def _may_run(job: BatchJob, worker: str) -> bool:
    """Returns whether a job's policy lets a worker run it."""
    if not job.accepted_under.advised:
        return True
    return may_run(job.job_id, WorkerId(worker))


async def _submit(stage: Stage, planned: PlannedJob) -> None:
    await asyncio.sleep(planned.at_s)
    await stage.submit(planned)


async def _call(
    stage: Stage, planned: PlannedJob, call: PlannedCall, cancels: bool
) -> None:
    await asyncio.sleep(call.at_s)
    await stage.make_call(planned, call, cancels)


async def _strike(stage: Stage, fault: PlannedFault) -> None:
    await asyncio.sleep(fault.at_s)
    await KINDS[fault.kind].strike(stage, fault)


async def _wait_for_jobs(stage: Stage, endless: set[JobId]) -> list[JobId]:
    """Waits for all accepted jobs that end.

    Returns:
      The jobs that were left when nothing had been started for some time.
    """
    world = stage.world
    started, changed_at = 0, world.clock()
    while True:
        left = set(await world.wait_for_jobs(0.0)) - endless
        if len(world.ledger.entries) > started:
            started, changed_at = len(world.ledger.entries), world.clock()
        if not left or world.clock() - changed_at > _STANDSTILL_S:
            return sorted(left)
        await asyncio.sleep(_CHECK_INTERVAL_S)


async def _wait_for_endless(stage: Stage, endless: set[JobId]) -> list[JobId]:
    """Waits for the endless jobs to run; returns those that do not."""
    world = stage.world
    until = world.clock() + _SETTLE_TIMEOUT_S
    wanted = (endless & world.accepted.keys()) - world.cancelled
    while True:
        idle = [each for each in sorted(wanted) if not _runs_whole(stage, each)]
        if not idle or world.clock() >= until:
            return idle
        await asyncio.sleep(_CHECK_INTERVAL_S)


def _runs_whole(stage: Stage, job_id: JobId) -> bool:
    running = {
        each.task
        for each in stage.world.ledger.entries
        if each.task.job_id == job_id and each.ended_at is None
    }
    steps = stage.world.submitted[job_id].steps
    return len(running) >= sum(step.count for step in steps)
