"""Tests of what a leader takes an order or the lack of an answer for."""

import asyncio
import random

from result import Err, Ok

from pomeloarch_core.batch.messages import (
    Incarnation,
    PaceTask,
    RunNumber,
    TaskId,
    WorkerInfo,
)
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.batch.open_starts import OpenStarts
from pomeloarch_core.ids import (
    Epoch,
    JobId,
    ServiceName,
    WorkerId,
    ZoneName,
)
from pomeloarch_node.batch.ports import OrderFailure, WorkerState
from pomeloarch_node.batch.records import TERMS_TABLE, term_key
from pomeloarch_node.batch.term_row import FENCES_PER_TERM, begin_term
from pomeloarch_node.batch.worker_session import (
    SessionTimes,
    WorkerSession,
)
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.virtual_time import run_virtual

INFO = WorkerInfo(
    WorkerId("w"),
    ServiceName("s"),
    "a:1",
    ZoneName("z"),
    Resources(8_000, 8_000, 8),
    incarnation=Incarnation(1),
)
TASK = TaskId(JobId("1" * 16), 0, 0, 0)
# Time that a call takes at least, in seconds.
CALL_S = 0.001
# Delay of an order without an answer until it is carried out, in seconds.
LATE_S = 4.0


class Tenure:
    """A tenure that is not lost."""

    def is_held(self):
        return True

    def is_sole_holder(self):
        return True

    def supersede(self, reason):
        raise AssertionError(reason)


class Scheduler:
    """Has the worker asked all the time and gives it no task."""

    def __init__(self):
        self.open_starts = OpenStarts()

    def is_start_wanted(self, task, run):
        return True

    def acknowledged_up_to(self, worker_id):
        return 0

    def needs_polling(self, worker_id):
        return True

    def needs_frequent_reports(self, worker_id):
        return True


class Link:
    """A worker whose process ends at will; its pace orders may be late.

    Attributes:
      failure: the answer to renewals, None if the worker answers.
      calls: the number of renewals.
      percent: the pace that was carried out last.
      late_paces: number of orders that get no answer and are carried out late.
    """

    def __init__(self):
        self.failure = None
        self.calls = 0
        self.percent = 100
        self.late_paces = 0

    async def reset(self):
        pass

    async def close(self):
        pass

    async def renew(self, fence, acknowledged, deadline_ms, wait_s):
        self.calls += 1
        await asyncio.sleep(CALL_S)
        if self.failure is not None:
            return Err(self.failure)
        await asyncio.sleep(wait_s)
        clock_ms = int(asyncio.get_running_loop().time() * 1000)
        return Ok(WorkerState(Incarnation(1), clock_ms, (), ()))

    async def pace(self, task_name, run, percent, fence):
        await asyncio.sleep(CALL_S)
        if self.late_paces:
            self.late_paces -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self._set, percent)
            return Err(OrderFailure.NO_ANSWER)
        self._set(percent)
        return Ok(None)

    def _set(self, percent):
        self.percent = percent


async def with_session(scenario):
    """Runs a scenario on a session."""
    link = Link()
    session = WorkerSession(
        INFO,
        link,
        Tenure(),
        Epoch(FENCES_PER_TERM),
        Scheduler(),
        lambda event: None,
        asyncio.get_running_loop().time,
        SessionTimes(lease_s=6.0, wait_s=1.0),
        0.0,
    )
    running = asyncio.create_task(session.run())
    try:
        return await scenario(session, link)
    finally:
        running.cancel()
        await session.close()


class HeldTenure:
    """A tenure that is never lost."""

    epoch = Epoch(1)

    def is_held(self):
        return True

    def supersede(self, reason):
        raise AssertionError(reason)


def test_successor_of_an_earlier_version_has_a_fence_above_all_of_a_term():
    """Guards against orders that outlive a change of leader in an upgrade.

    A node of the version before takes the number in the row and adds one. That
    has to exceed every fence that this term may raise a worker's to.
    """

    async def scenario():
        tables = FeedTables()
        store = StoreLink(tables, random.Random(1))
        term = await begin_term(store, HeldTenure(), random.Random(1))
        row = tables.read(TERMS_TABLE, term_key(0))
        return term.number, row.value["number"] + 1

    number, successor = run_virtual(scenario())
    assert successor > number + FENCES_PER_TERM - 1


def test_late_order_does_not_leave_a_task_at_an_earlier_pace():
    """Guards against a task that stands still for good.

    The order to pause it gets no answer and is carried out after a newer one.
    """

    async def scenario(session, link):
        await asyncio.sleep(2.5)
        link.late_paces = 2
        session.pace(PaceTask(INFO.worker_id, TASK, RunNumber(1), 0))
        await asyncio.sleep(2.0)
        session.pace(PaceTask(INFO.worker_id, TASK, RunNumber(1), 100))
        await asyncio.sleep(1.0)
        assert link.percent == 100
        await asyncio.sleep(20.0)
        return link.percent

    assert run_virtual(with_session(scenario)) == 100
