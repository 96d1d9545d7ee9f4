"""One worker's session: what is acknowledged to which life of it."""

import asyncio

import pytest
from result import Err, Ok

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    RunEnd,
    RunNumber,
    TaskId,
    WorkerInfo,
    WorkersEnrolled,
    WorkersListed,
)
from pomeloarch_core.batch.model import Need
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.ids import (
    Epoch,
    Generation,
    JobId,
    ServiceName,
    WorkerId,
    ZoneName,
)
from pomeloarch_node.batch.ports import OrderFailure, WorkerState
from pomeloarch_node.batch.worker_session import SessionTimes, WorkerSession
from pomeloarch_standins.virtual_time import run_virtual

INFO = WorkerInfo(
    WorkerId("w"), ServiceName("s"), "a:1", ZoneName("z"), Need(8_000, 8_000, 8)
)
NO_ANSWER = Err(OrderFailure.NO_ANSWER)


def answer(life, *ends):
    """Returns a report of a life that lists ends of unknown tasks."""
    listed = tuple(
        EndedTask(
            number,
            TaskId(JobId("0" * 16), 0, 0, number),
            RunNumber(1),
            RunEnd.DONE,
        )
        for number in ends
    )
    return Ok(WorkerState(Incarnation(life), 1000, (), listed))


class Link:
    """Gives prepared answers and keeps what was acknowledged."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.acknowledged = []
        self.used_up = asyncio.Event()

    async def renew(self, fence, acknowledged, deadline_ms, wait_s):
        if not self.answers:
            self.used_up.set()
            await asyncio.Event().wait()
        self.acknowledged.append(acknowledged)
        return self.answers.pop(0)

    async def reset(self):
        pass

    async def close(self):
        pass


class Held:
    """A role that is never lost."""

    def held(self):
        return True


async def play(answers):
    loop = asyncio.get_running_loop()
    scheduler = BatchScheduler(
        Epoch(1), Catalogue(Generation(1), {}, (), {}), 0.0
    )
    scheduler.handle(WorkersListed((INFO,)), loop.time())
    scheduler.handle(WorkersEnrolled(frozenset({INFO.worker_id})), loop.time())
    link = Link(answers)
    session = WorkerSession(
        INFO,
        link,
        Held(),
        Epoch(1),
        scheduler,
        lambda event: scheduler.handle(event, loop.time()),
        loop.time,
        SessionTimes(6.0, 1.0),
        0.0,
    )
    running = asyncio.create_task(session.run())
    try:
        async with asyncio.timeout(30.0):
            await link.used_up.wait()
    except TimeoutError:
        pass
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return link.acknowledged


@pytest.mark.parametrize(
    ("case", "answers", "acknowledged"),
    [
        ("in one life", [answer(1, 1, 2), answer(1)], [0, 2]),
        (
            "after a call without an answer, which may mean a restart",
            [answer(1, 1, 2), NO_ANSWER, answer(1, 1, 2), answer(1)],
            [0, 2, 0, 2],
        ),
        (
            "the same id in a new life, whose ends count anew",
            [answer(1, 1, 2), NO_ANSWER, answer(2, 1), answer(2)],
            [0, 2, 0, 1],
        ),
    ],
)
def test_only_a_life_that_has_just_answered_is_acknowledged(
    case, answers, acknowledged
):
    assert run_virtual(play(answers)) == acknowledged
