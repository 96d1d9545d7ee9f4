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


class Writer:
    """A writer of which only the backlog and the known jobs matter."""

    def __init__(self):
        self.backlog = 0
        self.known = set()

    def is_known(self, job_id):
        return job_id in self.known


class Reader:
    """A reader of cancellations with all that it hands on."""

    def __init__(self, platform):
        self.platform = platform
        self.role = FakeRole()
        self.role.set(1)
        self.writer = Writer()
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


def keep(platform, *job_ids, key="0"):
    platform.put(TABLE, key, encode(CancelBatch(tuple(job_ids))))


def job(platform, number, state=JobState.QUEUED):
    job_id = f"patan-{number:032x}"
    record = JobRecord(JobSpec(job_id, "desk", "scan", 1, 1), state)
    platform.put("jobs/patan", job_id, encode(record))
    return job_id


def test_a_wave_is_handed_on_at_a_steady_pace():
    async def main():
        platform = FakePlatform()
        reader = Reader(platform)
        ids = [f"patan-{number}" for number in range(1000)]
        reader.writer.known = set(ids)
        keep(platform, *ids)
        counts = [0]
        for _ in range(100):
            await asyncio.sleep(0.1)
            counts.append(len(reader.cancelled))
        return counts

    counts = run_virtual(main())
    steps = [b - a for a, b in itertools.pairwise(counts)]
    assert max(steps) <= 50
    assert counts[-1] == 1000


def test_a_backlog_of_writes_holds_cancellations_back():
    async def main():
        platform = FakePlatform()
        reader = Reader(platform)
        reader.writer.known = {"patan-1"}
        reader.writer.backlog = 100
        keep(platform, "patan-1")
        await asyncio.sleep(5.0)
        before = list(reader.cancelled)
        reader.writer.backlog = 0
        await asyncio.sleep(1.0)
        return before, reader.cancelled

    assert run_virtual(main()) == ([], ["patan-1"])


def test_a_job_that_was_not_seen_yet_is_read_before_its_cancellation():
    async def main():
        platform = FakePlatform()
        reader = Reader(platform)
        job_id = job(platform, 1)
        keep(platform, job_id)
        await asyncio.sleep(1.0)
        return reader.cancelled == [job_id], reader.writer.known == {job_id}

    assert run_virtual(main()) == (True, True)


@pytest.mark.parametrize("faults", [[], [Fault.LOSE_ANSWER], [Fault.REFUSE]])
def test_a_row_goes_when_all_of_its_jobs_are_over(faults):
    async def main():
        platform = FakePlatform()
        reader = Reader(platform)
        ids = [
            job(platform, 1),
            job(platform, 2, JobState.SUCCEEDED),
            "patan-unheard-of",
        ]
        keep(platform, *ids)
        await asyncio.sleep(2.0)
        before = len(platform.table(TABLE))
        platform.inject(*faults)
        reader.reader.mark_ended(ids[0])
        await asyncio.sleep(5.0)
        keep(platform, ids[0], key="1")
        job(platform, 1, JobState.CANCELLED)
        reader.job_reader.mark_ended(ids[0])
        reader.writer.known.clear()
        await asyncio.sleep(2.0)
        return before, platform.table(TABLE), reader.cancelled == ids[:1]

    assert run_virtual(main()) == (1, {}, True)


def test_a_lost_tenure_deletes_nothing():
    async def main():
        platform = FakePlatform()
        reader = Reader(platform)
        job_id = job(platform, 1)
        keep(platform, job_id)
        await asyncio.sleep(2.0)
        reader.role.lapse()
        reader.reader.mark_ended(job_id)
        await asyncio.sleep(5.0)
        return len(platform.table(TABLE))

    assert run_virtual(main()) == 1
