import asyncio

import msgspec
import pytest

from pomeloarch_core.gang.messages import (
    JobRecord,
    JobSpec,
    JobState,
    RecordNotWritten,
    RecordWritten,
)
from pomeloarch_core.ids import Epoch
from pomeloarch_node.job_records import decode_record, encode
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.scheduler_budget import WriteBudget, WritePriority
from pomeloarch_node.scheduler_fence import raise_fence
from pomeloarch_node.scheduler_records import RecordWriter
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_standins.fake_platform import FakePlatform, Fault
from pomeloarch_standins.job_fakes import FakeRole
from pomeloarch_standins.virtual_time import run_virtual

RESERVED = {WritePriority.CHANGE: 10, WritePriority.CLEAN_UP: 20}


def record(number=0, state=JobState.STARTING, epoch=1):
    spec = JobSpec(f"patan-{number:04d}", "desk", "scan", 1, 1)
    return JobRecord(spec, state, epoch=Epoch(epoch))


class Holder:
    """A holder of the role with a `RecordWriter`."""

    def __init__(self, platform, epoch=1, per_s=1000.0, burst=100):
        self.platform = platform
        self.role = FakeRole()
        self.role.set(epoch)
        self.tenure = Tenure(self.role, Epoch(epoch))
        self.budget = WriteBudget(per_s, burst, RESERVED, 0.0)
        self.outcomes = []

    async def begin(self):
        fence = await raise_fence(self.platform, "patan", self.tenure)
        self.writer = RecordWriter(
            self.platform,
            "patan",
            self.tenure,
            fence,
            self.budget,
            lambda outcome: self.outcomes.append(
                (asyncio.get_running_loop().time(), outcome)
            ),
            Metrics(),
        )
        self.task = asyncio.create_task(self.writer.run())
        return self

    def kinds(self):
        return [type(outcome) for _, outcome in self.outcomes]


def run(main):
    return run_virtual(main())


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [Fault.LOSE_ANSWER],
        [Fault.LOSE_REQUEST],
        [Fault.LATE],
        [Fault.REFUSE, Fault.REFUSE],
        [Fault.LOSE_ANSWER, Fault.REFUSE, Fault.LATE, Fault.LOSE_ANSWER],
    ],
)
def test_a_record_is_written_exactly_once_despite_faults(faults):
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform).begin()
        platform.inject(*faults)
        holder.writer.put(record())
        await asyncio.sleep(60.0)
        row = (await platform.read([("jobs/patan", "patan-0000")])).unwrap()[0]
        return holder.kinds(), row

    kinds, row = run(main)
    assert kinds == [RecordWritten]
    assert row.version == 1
    assert decode_record(row.value) == record()


def test_no_outcome_is_emitted_before_the_record_is_durable():
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform).begin()
        platform.silent = True
        holder.writer.put(record())
        await asyncio.sleep(300.0)
        before = holder.kinds()
        platform.silent = False
        await asyncio.sleep(5.0)
        return before, holder.kinds()

    assert run(main) == ([], [RecordWritten])


def test_a_conflicting_row_is_reported_and_the_others_are_written():
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform).begin()
        other = record(1, JobState.CANCELLED)
        platform.put("jobs/patan", "patan-0001", encode(other))
        for number in range(3):
            holder.writer.put(record(number))
        await asyncio.sleep(1.0)
        return [o for _, o in holder.outcomes], other

    outcomes, other = run(main)
    assert RecordNotWritten(record(1), other) in outcomes
    assert RecordWritten(record(0)) in outcomes
    assert RecordWritten(record(2)) in outcomes
    assert len(outcomes) == 3


@pytest.mark.parametrize("paused_fault", [None, Fault.LATE])
def test_writes_of_a_paused_holder_are_refused_after_a_takeover(paused_fault):
    async def main():
        platform = FakePlatform()
        queued = record(0, JobState.QUEUED)
        platform.put("jobs/patan", "patan-0000", encode(queued))
        old = await Holder(platform, epoch=1).begin()
        old.writer.add_known(queued, 1)
        if paused_fault is not None:
            platform.inject(paused_fault)
            old.writer.put(record(0, JobState.RUNNING))
            await asyncio.sleep(1.0)
        # The old holder has not noticed anything; its role still seems held.
        new = await Holder(platform, epoch=2).begin()
        old.writer.put(record(0, JobState.RUNNING))
        await asyncio.sleep(10.0)
        late = platform.table("jobs/patan")["patan-0000"]
        new.writer.add_known(queued, 1)
        new.writer.put(record(0, JobState.STARTING, epoch=2))
        await asyncio.sleep(1.0)
        return old, new, late, queued

    old, new, late, queued = run(main)
    assert decode_record(late) == queued
    assert old.kinds() == []
    assert old.tenure.is_superseded
    assert not old.tenure.is_held()
    assert new.kinds() == [RecordWritten]


def test_a_holder_with_an_older_epoch_never_begins():
    async def main():
        platform = FakePlatform()
        await Holder(platform, epoch=2).begin()
        old = Holder(platform, epoch=1)
        beginning = asyncio.create_task(old.begin())
        await asyncio.sleep(10.0)
        return beginning.done(), old.tenure.is_held()

    assert run(main) == (False, False)


@pytest.mark.parametrize("fault", list(Fault))
def test_a_fence_is_raised_once_despite_faults(fault):
    async def main():
        platform = FakePlatform()
        platform.inject(fault)
        holder = await Holder(platform, epoch=4).begin()
        await asyncio.sleep(10.0)
        holder.writer.put(record())
        await asyncio.sleep(1.0)
        return platform.table("scheduler_fences"), holder.kinds()

    assert run(main) == ({"patan": {"epoch": 4}}, [RecordWritten])


def test_a_holder_whose_lease_has_expired_writes_nothing():
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform).begin()
        before = platform.written
        holder.role.lapse()
        holder.writer.put(record())
        await asyncio.sleep(10.0)
        return platform.written - before, holder.kinds()

    assert run(main) == (0, [])


@pytest.mark.parametrize(
    "state", [JobState.CANCELLED, JobState.RUNNING, JobState.SUCCEEDED]
)
def test_a_wave_of_writes_leaves_room_for_starts_and_respects_the_budget(state):
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform, per_s=50.0).begin()
        for number in range(2000):
            holder.writer.put(record(number, state))
        await asyncio.sleep(10.0)
        began = asyncio.get_running_loop().time()
        holder.writer.put(record(9000))
        await asyncio.sleep(1.0)
        started = [
            at - began
            for at, outcome in holder.outcomes
            if outcome == RecordWritten(record(9000))
        ]
        written = platform.written
        await asyncio.sleep(60.0)
        return started, written, platform, holder

    started, written, platform, holder = run(main)
    assert started[0] < 0.1
    assert written <= 100 + 50 * 11 + 1
    assert len(holder.outcomes) == 2001
    assert platform.peak_writes_per_s <= 100 + 50


def test_records_of_one_job_are_written_in_order():
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform).begin()
        states = [JobState.STARTING, JobState.RUNNING, JobState.SUCCEEDED]
        for state in states:
            holder.writer.put(record(0, state))
        await asyncio.sleep(1.0)
        return [o.record.state for _, o in holder.outcomes], states

    written, states = run(main)
    assert written == states


def test_a_record_that_differs_only_in_its_epoch_is_not_written():
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform, epoch=2).begin()
        found = record(0, JobState.RUNNING, epoch=1)
        platform.put("jobs/patan", "patan-0000", encode(found))
        holder.writer.add_known(found, 1)
        before = platform.written
        same = record(0, JobState.RUNNING, epoch=2)
        holder.writer.put(same)
        await asyncio.sleep(1.0)
        written = platform.written - before
        holder.writer.put(record(0, JobState.SUCCEEDED, epoch=2))
        await asyncio.sleep(1.0)
        return written, [o for _, o in holder.outcomes], same

    written, outcomes, same = run(main)
    assert written == 0
    assert outcomes == [
        RecordWritten(same),
        RecordWritten(record(0, JobState.SUCCEEDED, epoch=2)),
    ]


def test_a_record_is_written_after_one_whose_write_is_in_progress():
    async def main():
        platform = FakePlatform()
        holder = await Holder(platform).begin()
        found = record(0, JobState.QUEUED)
        platform.put("jobs/patan", "patan-0000", encode(found))
        holder.writer.add_known(found, 1)
        platform.inject(Fault.REFUSE)
        holder.writer.put(record(0, JobState.STARTING))
        await asyncio.sleep(0.05)
        holder.writer.put(found)
        await asyncio.sleep(5.0)
        row = platform.value("jobs/patan", "patan-0000")
        return decode_record(row), holder.kinds()

    assert run(main) == (record(0, JobState.QUEUED), [RecordWritten] * 2)


def test_a_record_is_unchanged_by_encoding_and_decoding():
    full = msgspec.structs.replace(record(), checkpoint="c", attempts=2)
    assert msgspec.convert(encode(full), JobRecord) == full
