"""Draws a plan of jobs and faults from a seed."""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec

from pomeloarch_core.ids import OrganisationName
from pomeloarch_standins.batch_fuzz.faults import (
    DOUBTFUL_CALLERS,
    FEW_JOBS,
    KINDS,
    LASTING_JOBS,
    LONG_RUNS,
    MANY_OCCURRENCES,
    SLOW_CLOCKS,
    WHOLE_PLAN,
    WIDE_JOBS,
)
from pomeloarch_standins.batch_fuzz.plan import (
    MAX_ATTEMPTS,
    Plan,
    PlannedCall,
    PlannedFault,
    PlannedJob,
    PlannedStep,
    PlannedWorld,
)
from pomeloarch_standins.batch_world import (
    ADVISED,
    BATCH,
    ORGANISATION,
    RIVAL,
    URGENT,
)

# When the first job is submitted and the last one at the latest, in seconds.
# Before that, the nodes elect their leader.
FIRST_JOB_S = 3.0
LAST_JOB_S = 18.0
# Ranges of the time between two submissions, in seconds; a plan has one of
# them. The shortest fills the workers, so that urgent jobs preempt others.
_JOB_INTERVALS_S = ((0.05, 0.5), (0.1, 0.8), (0.2, 1.2))
# Faults begin between these times, in seconds.
_FAULTS_S = (3.5, 18.0)
# Range of the time between the beginnings of two faults, in seconds. Most last
# longer, so that several hold at once.
_FAULT_INTERVAL_S = (0.2, 1.8)
# A plan has faults of a few kinds only. With all of them, those that matter
# together would seldom hold at the same time.
_MAX_KINDS_PER_PLAN = 5
_CANCELLED_SHARE = 0.1
_FAILING_SHARE = 0.05
_SLOW_CLOCK_SHARE = 0.5
# Share of the plans with long runs and of those with few jobs, where these
# kinds are drawn from, and what share of the jobs they leave as it is.
_SPECIAL_SHARE = 0.5
_LONG_JOBS_SHARE = 0.3
_FEW_JOBS_SHARE = 0.3
# Times that a long run takes, in seconds. It outlasts all leases, so that it is
# still seen to run when it should have ended with one of them.
_LONG_RUNS_S = (9.0, 14.0)
# Share of the jobs that a plan with wide jobs makes wide.
_WIDE_JOBS_SHARE = 0.05
# What share of the workers' accelerators long-running tasks fill in a plan with
# such jobs, how many accelerators each worker has, and how long these tasks go
# on after all is calm, in seconds.
_LASTING_FILL = (0.3, 0.8)
_ACCELERATORS = 8
_LASTING_S = 16.0
# Shares of the jobs that such a plan makes long-running, that fail once, after
# a time in this range in seconds, that have their data on a rack, and that go
# to the queue with advice.
_LASTING_SHARE = 0.25
_FAILS_ONCE_SHARE = 0.3
_FAILS_AFTER_S = (0.3, 3.0)
_NEAR_DATA_SHARE = 0.2
_ADVISED_SHARE = 0.25
# In a plan with such jobs, their number, how often each runs, and the times
# between two occurrences, in seconds.
_MANY_JOBS = 3
_MANY_OCCURRENCES = (10_000, 28_800)
_MANY_INTERVALS_S = (2.0, 60.0, 3600.0)
# Shares of the jobs that are cancelled by callers in doubt and of those under
# whose ids another organisation submits a job, the time of these calls from
# the job's submission on, in seconds, and how often callers in doubt repeat a
# call.
_DOUBTED_SHARE = 0.3
_RIVAL_SHARE = 0.1
_DOUBTS_S = (-2.0, 5.0)
_DOUBTFUL_ATTEMPTS = (1, 2, MAX_ATTEMPTS)
# Organisations that cancel a job of the first one.
_CANCELLERS = (
    *(ORGANISATION,) * 6,
    RIVAL,
    OrganisationName(""),
)
# Numbers of single tasks and of a gang's members in wide jobs, and what each
# single task takes, in thousandths of a core.
_WIDE_TASKS = (150, 1200)
_WIDE_GANG = (8, 24)
_WIDE_CPU_MILLIS = 50
# Sizes of the largest row of a store beside wide jobs, in bytes. The rows of
# hundreds of tasks outgrow these as those of thousands do the usual size.
_SMALL_ROWS = (8_192, 16_384)


def draw_plan(seed: int, kinds: Collection[str]) -> Plan:
    """Returns the plan of a seed.

    Args:
      seed: the seed of all random choices.
      kinds: the names of the kinds of faults to draw from.
    """
    rng = random.Random(seed)
    nodes, workers = 3, rng.choice((4, 4, 6))
    slow: tuple[int, ...] = ()
    if SLOW_CLOCKS in kinds:
        slow = tuple(
            w for w in range(workers) if rng.random() < _SLOW_CLOCK_SHARE
        )
    # From random numbers of its own, which leave the rest of the plan as it is.
    answers_listed_ends = random.Random(f"{seed}: ends").random() < 0.5
    world = PlannedWorld(
        seed, nodes, workers, slow, rng.random() < 0.5, answers_listed_ends
    )
    jobs = _draw_jobs(rng, nodes)
    faults = _draw_faults(rng, kinds, world)
    # From random numbers of its own, as above.
    jobs = _change_jobs(random.Random(f"{seed}"), kinds, jobs)
    if WIDE_JOBS in kinds:
        wide_rng = random.Random(f"{seed}: wide")
        jobs = tuple(_widen(wide_rng, each) for each in jobs)
        world = msgspec.structs.replace(
            world, row_bytes=wide_rng.choice(_SMALL_ROWS)
        )
    if LASTING_JOBS in kinds:
        lasting_rng = random.Random(f"{seed}: lasting")
        jobs = _add_lasting(lasting_rng, jobs, workers)
        world = msgspec.structs.replace(world, lasting_s=_LASTING_S)
    if MANY_OCCURRENCES in kinds:
        jobs += _draw_many_occurrences(random.Random(f"{seed}: many"), jobs)
    if DOUBTFUL_CALLERS in kinds:
        doubts_rng = random.Random(f"{seed}: doubts")
        jobs = tuple(_add_doubts(doubts_rng, each, nodes) for each in jobs)
    return Plan(world, jobs, faults)


def _add_doubts(rng: random.Random, job: PlannedJob, nodes: int) -> PlannedJob:
    """Adds calls of callers who don't know whether a job was accepted."""

    def draw_call(organisation: OrganisationName) -> PlannedCall:
        return PlannedCall(
            round(max(FIRST_JOB_S, job.at_s + rng.uniform(*_DOUBTS_S)), 3),
            rng.randrange(nodes),
            organisation,
            rng.choice(_DOUBTFUL_ATTEMPTS),
        )

    if rng.random() < _DOUBTED_SHARE:
        cancels = tuple(
            draw_call(rng.choice(_CANCELLERS)) for _ in range(rng.randint(1, 3))
        )
        job = msgspec.structs.replace(
            job, cancels=cancels, attempts=rng.choice(_DOUBTFUL_ATTEMPTS)
        )
    if rng.random() < _RIVAL_SHARE and not job.occurrences:
        job = msgspec.structs.replace(job, rivals=(draw_call(RIVAL),))
    return job


def _draw_many_occurrences(
    rng: random.Random, jobs: tuple[PlannedJob, ...]
) -> tuple[PlannedJob, ...]:
    """Returns jobs whose occurrences are due in minutes or hours."""
    number = 1 + max((each.number for each in jobs), default=0)
    step = PlannedStep(1, 1, 0.3)
    return tuple(
        PlannedJob(
            number + each,
            round(rng.uniform(FIRST_JOB_S, LAST_JOB_S), 3),
            0,
            BATCH,
            (step,),
            rng.randint(*_MANY_OCCURRENCES),
            rng.choice(_MANY_INTERVALS_S),
        )
        for each in range(_MANY_JOBS)
    )


def _add_lasting(
    rng: random.Random, jobs: tuple[PlannedJob, ...], workers: int
) -> tuple[PlannedJob, ...]:
    """Adds a job that fills most workers, and changes some of the others."""
    count = round(workers * _ACCELERATORS * rng.uniform(*_LASTING_FILL))
    step = PlannedStep(count, 1, 1e6, long_running=True)
    number = 1 + max((each.number for each in jobs), default=0)
    filler = PlannedJob(number, FIRST_JOB_S, 0, BATCH, (step,))
    return (filler, *(_make_lasting(rng, each) for each in jobs))


def _make_lasting(rng: random.Random, job: PlannedJob) -> PlannedJob:
    steps = list(job.steps)
    if len(steps) == 1 and not steps[0].gang and not job.occurrences:
        if rng.random() < _LASTING_SHARE:
            steps[0] = PlannedStep(
                min(2, steps[0].count), 1, 1e6, long_running=True
            )
        if rng.random() < _NEAR_DATA_SHARE:
            steps[0] = msgspec.structs.replace(
                steps[0], data_rack=rng.choice(("r0", "r1"))
            )
    # Gangs may need more workers than the policy allows.
    advised = rng.random() < _ADVISED_SHARE and not any(s.gang for s in steps)
    fails_once = rng.random() < _FAILS_ONCE_SHARE
    after_s = round(rng.uniform(*_FAILS_AFTER_S), 3)
    return msgspec.structs.replace(
        job,
        steps=tuple(steps),
        queue=ADVISED if advised else job.queue,
        fails_once_after_s=after_s if fails_once and not job.fails else 0.0,
    )


def _widen(rng: random.Random, job: PlannedJob) -> PlannedJob:
    """Makes some jobs wide."""
    if job.is_endless or rng.random() >= _WIDE_JOBS_SHARE:
        return job
    run_s = rng.choice((0.3, 1.0, 2.0))
    if rng.random() < 0.5:
        step = PlannedStep(rng.randint(*_WIDE_GANG), 1, run_s, gang=True)
    else:
        count = rng.randint(*_WIDE_TASKS)
        step = PlannedStep(
            count,
            0,
            run_s,
            checkpointing=rng.random() < 0.3,
            cpu_millis=_WIDE_CPU_MILLIS,
        )
    return msgspec.structs.replace(job, steps=(step,), occurrences=0)


def _change_jobs(
    rng: random.Random,
    kinds: Collection[str],
    jobs: tuple[PlannedJob, ...],
) -> tuple[PlannedJob, ...]:
    """Leaves out jobs or makes some run for long, in some of the plans."""
    long_runs = rng.random() < _SPECIAL_SHARE and LONG_RUNS in kinds
    few_jobs = rng.random() < _SPECIAL_SHARE and FEW_JOBS in kinds
    changed = []
    for job in jobs:
        if few_jobs and rng.random() >= _FEW_JOBS_SHARE:
            continue
        if long_runs and rng.random() < _LONG_JOBS_SHARE:
            changed.append(_lengthen(job, rng.choice(_LONG_RUNS_S)))
        else:
            changed.append(job)
    return tuple(changed)


def _lengthen(job: PlannedJob, run_s: float) -> PlannedJob:
    steps = [
        step
        if step.long_running
        else msgspec.structs.replace(step, run_s=run_s)
        for step in job.steps
    ]
    return msgspec.structs.replace(job, steps=tuple(steps))


def _draw_jobs(rng: random.Random, nodes: int) -> tuple[PlannedJob, ...]:
    jobs: list[PlannedJob] = []
    at_s = FIRST_JOB_S
    interval_s = rng.choice(_JOB_INTERVALS_S)
    while at_s < LAST_JOB_S:
        jobs.append(_draw_job(rng, len(jobs) + 1, at_s, nodes))
        at_s += rng.uniform(*interval_s)
    return tuple(jobs)


def _draw_job(
    rng: random.Random, number: int, at_s: float, nodes: int
) -> PlannedJob:
    steps = rng.choices(tuple(_SHAPES), tuple(_SHAPES.values()))[0](rng)
    occurrences, interval_s = 0, 0.0
    if not any(step.long_running for step in steps) and rng.random() < 0.1:
        occurrences, interval_s = rng.randint(2, 4), rng.uniform(0.5, 3.0)
    cancelled = rng.random() < _CANCELLED_SHARE
    return PlannedJob(
        number,
        round(at_s, 3),
        rng.randrange(nodes),
        rng.choice((BATCH, URGENT, BATCH)),
        steps,
        occurrences,
        round(interval_s, 3),
        round(rng.uniform(0.0, 4.0), 3) if cancelled else None,
        rng.random() < _FAILING_SHARE,
    )


def _draw_single_tasks(rng: random.Random) -> tuple[PlannedStep, ...]:
    run_s = rng.choice((0.3, 1.0, 2.0, 6.0))
    checkpointing = rng.random() < 0.3
    step = PlannedStep(rng.randint(1, 5), 1, run_s, checkpointing=checkpointing)
    return (step,)


def _draw_gang(rng: random.Random) -> tuple[PlannedStep, ...]:
    run_s = rng.choice((0.5, 1.0, 2.0, 5.0))
    checkpointing = rng.random() < 0.3
    step = PlannedStep(
        rng.randint(2, 4),
        rng.choice((2, 4, 8)),
        run_s,
        gang=True,
        checkpointing=checkpointing,
    )
    return (step,)


def _draw_ordered_steps(rng: random.Random) -> tuple[PlannedStep, ...]:
    return (
        PlannedStep(rng.randint(1, 3), 1, rng.choice((0.3, 1.0))),
        PlannedStep(rng.randint(2, 3), 2, 1.5, gang=True, after=(0,)),
        PlannedStep(rng.randint(1, 2), 1, rng.choice((0.3, 2.0)), after=(0, 1)),
    )


def _draw_endless(rng: random.Random) -> tuple[PlannedStep, ...]:
    # The workers' models end a run only after this time, which no play reaches.
    return (PlannedStep(rng.randint(1, 2), 1, 1e6, long_running=True),)


_SHAPES = {
    _draw_single_tasks: 0.45,
    _draw_gang: 0.3,
    _draw_ordered_steps: 0.2,
    _draw_endless: 0.05,
}


def _draw_faults(
    rng: random.Random, kinds: Collection[str], world: PlannedWorld
) -> tuple[PlannedFault, ...]:
    known = sorted(set(kinds) - WHOLE_PLAN)
    if not known:
        return ()
    count = rng.randint(1, _MAX_KINDS_PER_PLAN)
    wanted = rng.sample(known, min(len(known), count))
    faults: list[PlannedFault] = []
    at_s, last_s = _FAULTS_S
    while at_s < last_s:
        kind = rng.choice(wanted)
        faults.append(KINDS[kind].draw(rng, kind, round(at_s, 3), world))
        at_s += rng.uniform(*_FAULT_INTERVAL_S)
    return tuple(faults)
