import asyncio
import itertools

import pytest

from pomeloarch_core.gang.messages import JobRecord, JobSpec, JobState
from pomeloarch_core.ids import Epoch
from pomeloarch_node.job_records import CancelBatch, encode
from pomeloarch_node.platform import Check
from pomeloarch_node.scheduler_cancels import CancelReader
from pomeloarch_node.scheduler_job_reader import JobReader
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_standins.fake_platform import FakePlatform, Fault
from pomeloarch_standins.job_fakes import FakeRole
from pomeloarch_standins.virtual_time import run_virtual

TABLE = "job_cancels/patan"


class FakeWriter:
    """A writer with a given backlog and given known jobs."""

    def __init__(self):
        self.backlog = 0
        self.known = set()

    def is_known(self, job_id):
        return job_id in self.known


class ReaderBench:
    """A running `CancelReader` and the cancellations that it passed on."""

    def __init__(self, platform):
        self.platform = platform
        self.role = FakeRole()
        self.role.set(1)
        self.writer = FakeWriter()
        self.cancelled = []
        self.job_reader = JobReader(
            platform,
            "patan",
            lambda record, _: self.writer.known.add(record.spec.job_id),
            lambda: 1_700_000_000.0,
        )
        self.reader = CancelReader(
            platform,
            "patan",
            Tenure(self.role, Epoch(1)),
            Check("scheduler_fences", "patan", 0),
            self.job_reader,
            self.writer,
            self.cancelled.append,
        )
        self.task = asyncio.create_task(self.reader.run())


def put_cancellations(platform, *job_ids, key="0"):
    platform.put(TABLE, key, encode(CancelBatch(tuple(job_ids))))


def put_job(platform, number, state=JobState.QUEUED):
    job_id = f"patan-{number:032x}"
    record = JobRecord(JobSpec(job_id, "desk", "scan", 1, 1), state)
    platform.put("jobs/patan", job_id, encode(record))
    return job_id


def test_a_wave_of_cancellations_is_passed_on_at_a_limited_rate():
    async def main():
        platform = FakePlatform()
        reader = ReaderBench(platform)
        ids = [f"patan-{number}" for number in range(1000)]
        reader.writer.known = set(ids)
        put_cancellations(platform, *ids)
        counts = [0]
        for _ in range(100):
            await asyncio.sleep(0.1)
            counts.append(len(reader.cancelled))
        return counts

    counts = run_virtual(main())
    steps = [b - a for a, b in itertools.pairwise(counts)]
    assert max(steps) <= 50
    assert counts[-1] == 1000


def test_a_backlog_of_writes_delays_cancellations():
    async def main():
        platform = FakePlatform()
        reader = ReaderBench(platform)
        reader.writer.known = {"patan-1"}
        reader.writer.backlog = 100
        put_cancellations(platform, "patan-1")
        await asyncio.sleep(5.0)
        before = list(reader.cancelled)
        reader.writer.backlog = 0
        await asyncio.sleep(1.0)
        return before, reader.cancelled

    assert run_virtual(main()) == ([], ["patan-1"])


def test_an_unknown_job_is_read_before_its_cancellation():
    async def main():
        platform = FakePlatform()
        reader = ReaderBench(platform)
        job_id = put_job(platform, 1)
        put_cancellations(platform, job_id)
        await asyncio.sleep(1.0)
        return reader.cancelled == [job_id], reader.writer.known == {job_id}

    assert run_virtual(main()) == (True, True)


@pytest.mark.parametrize("faults", [[], [Fault.LOSE_ANSWER], [Fault.REFUSE]])
def test_a_row_is_deleted_when_all_its_jobs_have_ended(faults):
    async def main():
        platform = FakePlatform()
        reader = ReaderBench(platform)
        ids = [
            put_job(platform, 1),
            put_job(platform, 2, JobState.SUCCEEDED),
            "patan-unheard-of",
        ]
        put_cancellations(platform, *ids)
        await asyncio.sleep(2.0)
        before = len(platform.table(TABLE))
        platform.inject(*faults)
        reader.reader.mark_ended(ids[0])
        await asyncio.sleep(5.0)
        put_cancellations(platform, ids[0], key="1")
        put_job(platform, 1, JobState.CANCELLED)
        reader.job_reader.mark_ended(ids[0])
        reader.writer.known.clear()
        await asyncio.sleep(2.0)
        return before, platform.table(TABLE), reader.cancelled == ids[:1]

    assert run_virtual(main()) == (1, {}, True)


def test_nothing_is_deleted_after_the_tenure_is_lost():
    async def main():
        platform = FakePlatform()
        reader = ReaderBench(platform)
        job_id = put_job(platform, 1)
        put_cancellations(platform, job_id)
        await asyncio.sleep(2.0)
        reader.role.lapse()
        reader.reader.mark_ended(job_id)
        await asyncio.sleep(5.0)
        return len(platform.table(TABLE))

    assert run_virtual(main()) == 1
