"""Tests of what a leader takes an order or the lack of an answer for."""

import asyncio
import itertools
import random

import pytest
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
LATE_S = 4.3
# Time for which a serving task may be disturbed at most, in seconds.
MAX_DISTURBED_S = 4.0


class Tenure:
    """A tenure that is not lost."""

    def is_held(self):
        return True

    def is_sole_holder(self):
        return True

    def supersede(self, reason):
        raise AssertionError(reason)


class Scheduler:
    """Has the worker asked all the time and gives it no task.

    Attributes:
      runs_task: whether the task is still running.
    """

    def __init__(self):
        self.runs_task = True
        self.open_starts = OpenStarts()

    def is_start_wanted(self, task, run):
        return True

    def is_current_run(self, task, run):
        return self.runs_task

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
      paces: the number of orders of pace.
      late_paces: number of orders that get no answer and are carried out late.
      lost_paces: number of orders that get no answer and aren't carried out.
    """

    def __init__(self):
        self.failure = None
        self.calls = 0
        self.percent = 100
        self.paces = 0
        self.late_paces = 0
        self.lost_paces = 0

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
        self.paces += 1
        await asyncio.sleep(CALL_S)
        if self.lost_paces:
            self.lost_paces -= 1
            return Err(OrderFailure.NO_ANSWER)
        if self.late_paces:
            self.late_paces -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, self._set, percent)
            return Err(OrderFailure.NO_ANSWER)
        self._set(percent)
        return Ok(None)

    def _set(self, percent):
        self.percent = percent

    async def percent_after(self, seconds):
        await asyncio.sleep(seconds)
        return self.percent


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


@pytest.mark.parametrize(
    ("earlier", "newest", "late"),
    [(0, 100, 1), (0, 100, 2), (0, 100, 6), (100, 0, 2), (45, 30, 1)],
)
def test_late_order_does_not_leave_a_task_at_an_earlier_pace(
    earlier, newest, late
):
    """Guards against a task that stands still, or disturbs others, for good.

    The earlier order gets no answer and is carried out after the newest one.
    """

    async def scenario(session, link):
        await asyncio.sleep(2.5)
        link.late_paces = late
        session.pace(PaceTask(INFO.worker_id, TASK, RunNumber(1), earlier))
        await asyncio.sleep(2.0)
        session.pace(PaceTask(INFO.worker_id, TASK, RunNumber(1), newest))
        await asyncio.sleep(1.0)
        assert link.percent == newest
        checks = [await link.percent_after(0.1) for _ in range(200)]
        sent = link.paces
        checks += [await link.percent_after(0.1) for _ in range(50)]
        assert link.paces == sent, "it is still repeated"
        return checks

    checks = run_virtual(with_session(scenario))
    wrong_s = [
        sum(0.1 for _ in group)
        for percent, group in itertools.groupby(checks)
        if percent != newest
    ]
    assert wrong_s, "no order was late"
    assert max(wrong_s) < MAX_DISTURBED_S
    assert checks[-1] == newest


@pytest.mark.parametrize(
    ("ends_after_s", "carried_out"), [(9, True), (2, False)]
)
def test_order_of_pace_is_repeated_while_its_run_is_there(
    ends_after_s, carried_out
):
    """Guards against a pace that is believed to be in effect and isn't."""

    async def scenario(session, link):
        await asyncio.sleep(2.5)
        link.lost_paces = 5
        session.pace(PaceTask(INFO.worker_id, TASK, RunNumber(1), 30))
        await asyncio.sleep(ends_after_s)
        session._scheduler.runs_task = False
        await asyncio.sleep(3.0)
        sent = link.paces
        await asyncio.sleep(20.0)
        assert link.paces == sent, "it is still repeated"
        return link.percent == 30

    assert run_virtual(with_session(scenario)) == carried_out
