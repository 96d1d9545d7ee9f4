"""Tests of jobs whose rows reach the limits of the store."""

import asyncio
import random

import pytest
from result import Err, Ok

from pomeloarch_core.batch.messages import RosterEntry, WriteRow
from pomeloarch_core.batch.model import BatchJob, Resources, Step
from pomeloarch_core.batch.rows import JobRow, JobStatus, StepRow
from pomeloarch_core.ids import JobId, WorkerId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.intake import Outcome
from pomeloarch_node.batch.leader import BYTES_PER_OPEN_NAME
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    decode_job,
    decode_row,
    encode,
    encode_row,
    find_excess,
    pack,
    shard_of,
    unpack,
    value_bytes,
)
from pomeloarch_node.batch.roster import Roster
from pomeloarch_node.batch.row_writer import REFUSED_RETRY_S, RowWriter
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    PlatformError,
    PlatformFailure,
    StoreLimits,
)
from pomeloarch_standins.batch_world import (
    BATCH,
    CATALOGUE,
    ORGANISATION,
    URGENT,
    BatchWorld,
)
from pomeloarch_standins.virtual_time import run_virtual

LIMITS = StoreLimits()
TINY = Resources(50, 16, 0)
SMALL = Step(count=2, need=Resources(2_000, 1_000, 0), estimate_s=1.0)


def make_job(number, *steps, payload="work", queue=BATCH, **fields):
    return BatchJob(
        job_id=JobId(f"{number:016x}"),
        queue=queue,
        organisation=ORGANISATION,
        accepted_under=CATALOGUE.queues[queue],
        payload=payload,
        steps=steps,
        **fields,
    )


def run_in_world(scenario, **size):
    async def run():
        world = BatchWorld(1, **size)
        world.start()
        await asyncio.sleep(3.0)
        try:
            return await scenario(world)
        finally:
            await world.stop()
            assert world.ledger.find_violations(world.submitted) == []

    return run_virtual(run())


WIDE_JOBS = {
    "tasks": make_job(1, Step(count=1500, need=TINY, estimate_s=1.0)),
    "urgent tasks": make_job(
        1, Step(count=900, need=TINY, estimate_s=1.0), queue=URGENT
    ),
    "occurrences": make_job(
        1,
        Step(count=2, need=TINY, estimate_s=0.5),
        occurrences=400,
        interval_s=0.002,
    ),
    "steps": make_job(
        1, *(Step(count=1, need=TINY, estimate_s=0.2) for _ in range(500))
    ),
    "a gang": make_job(
        1,
        Step(
            count=32,
            need=Resources(8_000, 16_000, 1),
            estimate_s=1.0,
            gang=True,
        ),
    ),
}


@pytest.mark.parametrize("job", WIDE_JOBS.values(), ids=WIDE_JOBS)
def test_wide_job_is_served_and_holds_up_no_other(job):
    """Guards against a row that outgrows the store and blocks its shard."""
    others = [make_job(number, SMALL) for number in range(100, 112)]

    async def scenario(world):
        assert await world.submit(job, world.nodes[0]) is Outcome.DONE
        await asyncio.sleep(0.3)
        for other in others:
            await world.submit(other, world.nodes[1])
        left = await world.wait_for_jobs(40.0)
        return left, world.tables.refusals

    assert {shard_of(other.job_id) for other in others} == {0, 1, 2, 3}
    assert run_in_world(scenario, row_bytes=8_192) == ([], [])


@pytest.mark.parametrize("after_s", [0.1, 0.5, 2.0])
def test_cancelled_wide_job_is_gone_and_holds_up_no_other(after_s):
    """Guards against a cancellation that a refused row keeps from its end."""
    wide = make_job(1, Step(count=2500, need=TINY, estimate_s=60.0))
    same_shard = next(
        job
        for job in (make_job(number, SMALL) for number in range(2, 50))
        if shard_of(job.job_id) == shard_of(wide.job_id)
    )

    async def scenario(world):
        await world.submit(wide, world.nodes[0])
        await asyncio.sleep(after_s)
        assert await world.cancel(wide.job_id, world.nodes[1]) is Outcome.DONE
        await world.submit(same_shard, world.nodes[2])
        assert await world.wait_for_jobs(5.0) == []
        row = decode_row(world.tables.read(JOBS_TABLE, wide.job_id).value)
        running = [
            each
            for each in world.ledger.entries
            if each.task.job_id == wide.job_id and each.ended_at is None
        ]
        return row.status, running

    found = run_in_world(scenario, row_bytes=8_192)
    assert found == (JobStatus.CANCELLED, [])


def test_successor_goes_on_with_a_wide_job():
    """Guards the results of a compressed row over a change of leader."""
    wide = make_job(1, Step(count=1200, need=TINY, estimate_s=1.0))

    async def scenario(world):
        await world.submit(wide, world.nodes[0])
        await asyncio.sleep(1.5)
        leader = next(each for each in world.nodes if each.is_leader)
        await leader.kill()
        assert await world.wait_for_jobs(40.0) == []
        done = [e.task for e in world.ledger.entries if e.acknowledged]
        return len(done), len(set(done))

    assert run_in_world(scenario, row_bytes=8_192) == (1200, 1200)


def full_row(job, failed_runs, rng):
    """Returns a row with as much in it as a job can have."""
    names = [WorkerId(f"i-{rng.getrandbits(40):010x}") for _ in range(270)]
    row = JobRow.from_job(job)
    row.placed_on = names[:48]
    for occurrence in range(job.occurrence_count):
        for number, step in enumerate(job.steps):
            results = row.step(occurrence, number)
            results.mark_done(
                [i for i in range(step.count) if rng.random() < 0.5]
            )
            for index in range(step.count):
                runs = [r for r in failed_runs if rng.random() < 0.5]
                if runs and not results.is_done(index):
                    results.failures[str(index)] = runs
                if step.checkpointing and not results.is_done(index):
                    checkpoint = f"{rng.getrandbits(64):016x}"
                    results.checkpoints[str(index)] = checkpoint
    most = LIMITS.row_bytes // BYTES_PER_OPEN_NAME
    for number, step in enumerate(job.steps):
        if step.gang:
            row.open_starts[f"0.{number}.0"] = rng.choices(names, k=step.count)
        for index in range(0 if step.gang else step.count):
            if len(row.open_starts) < most:
                row.open_starts[f"0.{number}.{index}"] = [rng.choice(names)]
    return row


FAILED_RUNS = [257 * 4096 + 1, 257 * 4096 + 2, 513 * 4096 + 1]


@pytest.mark.parametrize(
    "job",
    [
        pytest.param(make_job(1, Step(count=3_600)), id="tasks"),
        pytest.param(make_job(1, Step(count=30_000)), id="most-tasks"),
        pytest.param(
            make_job(1, Step(count=30_000, checkpointing=True)),
            id="checkpoints",
        ),
        pytest.param(
            make_job(1, Step(count=10), occurrences=3_000), id="occurrences"
        ),
        pytest.param(make_job(1, *[Step(count=1)] * 3_000), id="steps"),
        pytest.param(make_job(1, Step(count=4_096, gang=True)), id="gang"),
    ],
)
def test_fullest_row_of_a_job_that_is_accepted_fits(job):
    """Guards the promise that a job which is accepted can be kept."""
    assert find_excess(job, LIMITS) is None
    assert value_bytes(encode(job)) <= LIMITS.row_bytes
    row = full_row(job, FAILED_RUNS, random.Random(1))
    assert value_bytes(encode_row(row, LIMITS)) <= LIMITS.row_bytes


def test_row_is_the_same_after_it_was_compressed():
    """Guards ends and failures that a successor reads from a wide row."""
    job = make_job(
        1, Step(count=700), Step(count=3, checkpointing=True), occurrences=4
    )
    row = full_row(job, FAILED_RUNS, random.Random(2))
    stored = encode_row(row, LIMITS)
    assert stored.keys() == {"packed"}
    assert decode_row(stored) == row


def test_row_of_few_tasks_stays_readable():
    row = JobRow.from_job(make_job(1, SMALL))
    row.step(0, 0).mark_done([1])
    assert encode_row(row, LIMITS)["steps"] == {"0.0": {"done": "2"}}


def test_row_of_an_ended_job_holds_no_results():
    row = JobRow.from_job(make_job(1, Step(count=3_000)))
    row.steps = {"0.0": StepRow("f" * 750, {"1": [1]}, {"2": "c"})}
    row.status = JobStatus.CANCELLED
    assert value_bytes(encode_row(row, LIMITS)) < 300


@pytest.mark.parametrize("size", [10, 4_000, 4_100, 100_000])
def test_value_is_the_same_after_packing(size):
    value = {"text": "x" * size, "numbers": list(range(size))}
    assert unpack(pack(value)) == value
    assert value_bytes(pack(value)) <= max(4_096, value_bytes(value) // 2)


def test_job_with_a_long_description_is_kept():
    job = make_job(1, *[Step(count=3, need=TINY, label="a" * 40)] * 2_000)
    assert decode_job(encode(job)) == job
    assert find_excess(job, LIMITS) is None


UNKEPT = {
    "a description that does not compress": (
        make_job(
            1,
            *(
                Step(count=1, label=f"{random.Random(n).getrandbits(800):x}")
                for n in range(900)
            ),
        ),
        LIMITS,
        "even compressed; at most 65536 can be stored",
    ),
    "more tasks than have room in a row": (
        make_job(1, Step(count=5_000)),
        StoreLimits(8_192),
        "a job has at most 4096 tasks, not 5000",
    ),
    "a gang with more members than have room": (
        make_job(1, Step(count=5_000, gang=True)),
        LIMITS,
        "a gang has at most 4096 tasks, not 5000",
    ),
}


@pytest.mark.parametrize(
    ("job", "limits", "reason"), UNKEPT.values(), ids=UNKEPT
)
def test_job_that_cannot_be_kept_is_refused_at_acceptance(job, limits, reason):
    """Guards against accepting what the store refuses for good."""
    assert reason in find_excess(job, limits)

    async def scenario(world):
        outcome = await world.submit(job, world.nodes[0])
        return outcome, world.tables.refusals

    found = run_in_world(scenario, row_bytes=limits.row_bytes)
    assert found == (Outcome.TOO_LARGE, [])


class ChoosyStore:
    """Refuses some rows for good and records the transactions."""

    def __init__(self, refused=(), lost=0):
        self.refused = set(refused)
        self.lost = lost
        self.sent = []
        self.version = 1

    async def transact(self, checks, writes):
        self.sent.append([each.key for each in writes])
        if self.lost:
            self.lost -= 1
            return Err(PlatformError(PlatformFailure.UNKNOWN, "lost"))
        if self.refused & {each.key for each in writes}:
            return Err(
                PlatformError(PlatformFailure.NOT_DONE, "400", permanent=True)
            )
        self.version += 1
        return Ok((self.version,) * len(writes))


def write_rows(store, orders, for_s=0.5, limits=None, then=None):
    """Has rows written; returns the changes that are durable, in order."""

    async def scenario():
        world = BatchWorld(1)
        log = DecisionLog("n", Metrics(), world.log_fd, world.clock)
        written = []
        fence = Check("batch_terms", "t", 1)

        def note(job_id, change):
            written.append((int(job_id, 16), change))

        writer = RowWriter(store, None, fence, note, log, limits)
        running = asyncio.create_task(writer.run())
        for order in orders:
            writer.put(order)
        await asyncio.sleep(for_s)
        if then is not None:
            then(writer)
            await asyncio.sleep(REFUSED_RETRY_S + 0.5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        return written

    return run_virtual(scenario())


def order(number, change=1, tasks=0):
    row = JobRow.from_job(make_job(number, SMALL))
    for index in range(tasks):
        row.add_open_starts(f"0.0.{index}", [WorkerId(f"w{index}")])
    return WriteRow(
        row=row, job_id=JobId(f"{number:016x}"), change=change, urgent=True
    )


@pytest.mark.parametrize("refused", [0, 3, 6])
def test_row_that_the_store_refuses_holds_up_no_other(refused):
    """Guards against one job's row that keeps all others from being written."""
    store = ChoosyStore([f"{refused:016x}"])
    written = write_rows(store, [order(number) for number in range(7)])
    assert sorted(written) == [(n, 1) for n in range(7) if n != refused]
    alone = [each for each in store.sent if each == [f"{refused:016x}"]]
    assert len(alone) == 1


def test_refused_row_is_written_once_the_store_takes_it():
    store = ChoosyStore([f"{1:016x}"])
    written = write_rows(
        store, [order(1), order(2)], then=lambda _: store.refused.clear()
    )
    assert written == [(2, 1), (1, 1)]


def test_newer_state_replaces_a_refused_one():
    """Guards against a change of a row that is taken back by an older one."""
    store = ChoosyStore([f"{1:016x}"])

    def put_newer(writer):
        store.refused.clear()
        writer.put(order(1, change=2))

    assert write_rows(store, [order(1)], then=put_newer) == [(1, 2)]


def test_transaction_without_an_answer_is_repeated_unchanged():
    store = ChoosyStore(lost=2)
    assert write_rows(store, [order(1), order(2)], 1.0) == [(1, 1), (2, 1)]
    assert store.sent[0] == store.sent[1] == store.sent[2]


@pytest.mark.parametrize(
    ("limits", "tasks", "most"),
    [
        pytest.param(StoreLimits(), 0, 49, id="entries"),
        pytest.param(StoreLimits(transaction_bytes=20_000), 100, 6, id="bytes"),
        pytest.param(
            StoreLimits(transaction_bytes=1_000), 100, 1, id="one-row"
        ),
    ],
)
def test_transaction_holds_no_more_than_the_store_takes(limits, tasks, most):
    """Guards against batches that are refused for their size alone."""
    store = ChoosyStore()
    orders = [order(number, tasks=tasks) for number in range(60)]
    written = write_rows(store, orders, limits=limits)
    assert len(written) == 60
    assert max(map(len, store.sent)) == most


async def load_roster(entries, limits):
    world = BatchWorld(1, row_bytes=limits.row_bytes)
    link = world.nodes[0].link
    log = DecisionLog("n", Metrics(), world.log_fd, world.clock)
    term = {s: Check("batch_terms", f"t{s}", 0) for s in range(4)}
    roster = Roster(link, term, lambda event: None, log, limits)
    running = asyncio.create_task(roster.run())
    roster.set_entries(entries)
    await asyncio.sleep(1.0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    found = await Roster(link, term, lambda event: None, log).load()
    return found, world.tables.refusals


def test_roster_of_silent_workers_with_many_tasks_fits():
    """Guards against a roster that is never written again."""
    rng = random.Random(3)
    entries = {
        WorkerId(f"w{number}"): RosterEntry(
            f"10.0.0.{number}:80",
            tuple(
                f"{rng.getrandbits(64):016x}.0.0.{index}"
                for index in range(400 if number % 2 else 1)
            ),
        )
        for number in range(60)
    }
    limits = StoreLimits(8_192)
    found, refusals = run_virtual(load_roster(entries, limits))
    assert refusals == []
    assert found.keys() == entries.keys()
    for worker_id, entry in entries.items():
        assert found[worker_id].address == entry.address
        assert found[worker_id].may_run in (None, entry.may_run)
    assert any(
        each.may_run == entries[key].may_run for key, each in found.items()
    )
