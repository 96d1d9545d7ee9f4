"""Tests of orders that reach a later incarnation of their worker."""

import asyncio
import random

import msgspec
import pytest
from result import Err

from pomeloarch_core.batch.messages import (
    Incarnation,
    RunNumber,
    StartTask,
    TaskId,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
)
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.open_starts import OpenStarts
from pomeloarch_core.ids import (
    Epoch,
    JobId,
    OrganisationName,
    ServiceName,
    WorkerId,
    ZoneName,
)
from pomeloarch_node.batch.ports import OrderFailure
from pomeloarch_node.batch.worker_session import (
    CALL_TIMEOUT_S,
    RECONNECT_PAUSE_S,
    SessionTimes,
    WorkerSession,
    longest_lease_s,
)
from pomeloarch_standins.batch_gates import ProcessGate
from pomeloarch_standins.batch_ledger import Ledger
from pomeloarch_standins.batch_workers import (
    MAX_LEASE_S,
    ModelLink,
    Path,
    WorkerModel,
)
from pomeloarch_standins.batch_world import BatchWorld
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
ORDER = StartTask(INFO.worker_id, TASK, RunNumber(1), "work", "", "")
QUEUE = Queue(QueueName("q"), INFO.service, 0, 3, 1.5, 0.3)
JOB = BatchJob(
    TASK.job_id,
    QUEUE.name,
    OrganisationName("o"),
    QUEUE,
    "work",
    (Step(count=1, need=Resources(1_000, 1_000, 1), estimate_s=1.0),),
)
TIMES = SessionTimes(lease_s=6.0, wait_s=1.0)
# Time within which a session contacts a worker that has restarted, in seconds:
# the time-out of a renewal in progress, which the restart leaves unanswered,
# and a pause after it.
CONTACT_S = TIMES.wait_s + CALL_TIMEOUT_S + RECONNECT_PAUSE_S + 0.05


class Scheduler:
    """Wants every start; has nothing else for the worker to do."""

    def __init__(self):
        self.busy = False
        self.open_starts = OpenStarts()

    def is_start_wanted(self, task, run):
        return True

    def acknowledged_up_to(self, worker_id):
        return 0

    def needs_polling(self, worker_id):
        return self.busy

    def needs_frequent_reports(self, worker_id):
        return False


class Tenure:
    """A tenure that is lost only by its own doing."""

    def __init__(self):
        self.reason = ""
        self.superseded = False

    def is_held(self):
        return not self.reason

    def is_sole_holder(self):
        return self.is_held()

    def lose(self, reason):
        self.reason = reason

    def supersede(self, reason):
        self.superseded = True
        self.lose(reason)


class DelayingLink(ModelLink):
    """Holds back orders and records how each would be carried out late.

    Attributes:
      holds_back: whether orders get no answer and are not carried out yet.
      held_back: carries out each order that was held back; returns its answer.
    """

    def __init__(self, worker):
        super().__init__(
            worker,
            INFO.worker_id,
            lambda: Path.OPEN,
            random.Random(1),
            ProcessGate(),
        )
        self.holds_back = False
        self.held_back = []

    async def _transmit(self, act, wait_s, look_again):
        if not self.holds_back:
            return await super()._transmit(act, wait_s, look_again)
        self.held_back.append(lambda: self._carry_out(act, True))
        await asyncio.sleep(0.7)
        return Err(OrderFailure.NO_ANSWER)


async def with_session(scenario):
    """Runs a scenario on a session with a model of a worker."""
    clock = asyncio.get_running_loop().time
    worker = WorkerModel(
        INFO, {JOB.job_id: JOB}, lambda _: 1.0, {}, Ledger(), random.Random(1)
    )
    link = DelayingLink(worker)
    scheduler, tenure, events = Scheduler(), Tenure(), []
    session = WorkerSession(
        INFO,
        link,
        tenure,
        Epoch(256),
        scheduler,
        events.append,
        clock,
        TIMES,
        0.0,
    )
    running = asyncio.create_task(session.run())
    await asyncio.sleep(2.0)
    try:
        return await scenario(session, link, worker, scheduler, tenure, events)
    finally:
        running.cancel()
        await session.close()


async def start_without_answer(session, link):
    link.holds_back = True
    session.start(ORDER)
    await asyncio.sleep(2.5)
    link.holds_back = False


@pytest.mark.parametrize("restarts", [1, 2, 5])
@pytest.mark.parametrize("busy", [False, True])
def test_start_for_an_earlier_incarnation_is_refused(busy, restarts):
    """Guards against a run of a task that has been started elsewhere."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = busy
        await start_without_answer(session, link)
        for number in range(restarts):
            worker.crash()
            if not busy:
                # An idle worker is contacted once its restart is listed.
                session.update_info(
                    msgspec.structs.replace(
                        INFO, incarnation=Incarnation(number + 2)
                    )
                )
            await asyncio.sleep(CONTACT_S)
        assert link.held_back
        assert tenure.is_held()
        return {str(late()) for late in link.held_back}

    refusal = Err(OrderFailure.SUPERSEDED)
    assert run_virtual(with_session(scenario)) == {str(refusal)}


def test_late_renewal_does_not_acknowledge_ends_of_a_later_incarnation():
    """Guards against ends that are forgotten before anyone has read them."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = True
        await asyncio.sleep(CONTACT_S)
        fence = worker._fence
        worker.crash()
        await asyncio.sleep(CONTACT_S)
        assert worker.renew(fence, 57, None) is False

    run_virtual(with_session(scenario))


def test_restart_is_no_sign_of_a_newer_scheduler():
    """Orders that the new incarnation refuses don't end the term."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = True
        await asyncio.sleep(CONTACT_S)
        worker.crash()
        session.start(ORDER)
        await asyncio.sleep(CONTACT_S)
        worker.crash()
        session.start(ORDER)
        await asyncio.sleep(CONTACT_S)
        return tenure.reason

    assert run_virtual(with_session(scenario)) == ""


def test_report_of_a_new_incarnation_is_used_only_after_its_fence_has_risen():
    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = True
        fences = {}

        def record(event):
            if isinstance(event, WorkerReported):
                fences.setdefault(event.incarnation, worker._fence)

        session._emit = record
        session.wake()
        await asyncio.sleep(2 * CONTACT_S)
        worker.crash()
        await asyncio.sleep(2 * CONTACT_S)
        return fences

    assert run_virtual(with_session(scenario)) == {1: 256, 2: 257}


@pytest.mark.parametrize("fails", [True, False])
def test_fences_of_one_term_are_not_exceeded(fails):
    """Guards against fences of one term that reach into the next one's."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = True
        for _ in range(256 if fails else 255):
            worker.crash()
            await asyncio.sleep(CONTACT_S)
        return tenure.reason, worker._fence

    reason, fence = run_virtual(with_session(scenario))
    assert bool(reason) == fails
    assert fence <= 256 + 255


def test_new_scheduler_is_recognised_after_a_restart():
    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = True
        worker.crash()
        worker.renew(512, 0, None)
        await asyncio.sleep(CONTACT_S)
        return tenure.superseded

    assert run_virtual(with_session(scenario))


@pytest.mark.parametrize("listed", [True, False])
def test_idle_worker_is_contacted_once_the_list_shows_its_restart(listed):
    """An order of an earlier scheduler could be carried out there."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        worker.crash()
        if listed:
            session.update_info(
                msgspec.structs.replace(INFO, incarnation=Incarnation(2))
            )
        await asyncio.sleep(CONTACT_S)
        return worker._fence

    assert run_virtual(with_session(scenario)) == (257 if listed else 0)


def test_refused_start_of_an_earlier_incarnation_was_not_carried_out():
    async def scenario(session, link, worker, scheduler, tenure, events):
        assert await session._call_fenced(
            lambda link, fence: _refuse_after_restart(session)
        ) == Err(OrderFailure.OUTDATED)

    run_virtual(with_session(scenario))


async def _refuse_after_restart(session):
    session._on_restart()
    return Err(OrderFailure.SUPERSEDED)


def test_session_that_is_opened_again_goes_on_with_the_last_fence():
    """Guards against a worker's refusal that seems to be a newer scheduler's.

    A worker restarts, leaves the list while it is idle and comes back.
    """

    async def scenario():
        world = BatchWorld(1, nodes=1, workers=1)
        world.start()
        await asyncio.sleep(3.0)
        (worker_id,) = world.workers
        worker = world.workers[worker_id]
        fences = []
        for _ in range(2):
            worker.crash()
            worker.info = msgspec.structs.replace(
                worker.info, incarnation=Incarnation(worker.incarnation)
            )
            world.relist(worker_id)
            await asyncio.sleep(2 * CONTACT_S)
            fences.append(worker._fence)
            world.unlist(worker_id)
            await asyncio.sleep(CONTACT_S)
            world.relist(worker_id)
            await asyncio.sleep(CONTACT_S)
            fences.append(worker._fence)
        is_leader = world.nodes[0].is_leader
        await world.stop()
        return is_leader, [each - fences[0] for each in fences]

    assert run_virtual(scenario()) == (True, [0, 1, 2, 3])


def test_report_that_was_asked_for_before_the_fence_rose_is_not_used():
    """A start's answer shows the restart while a renewal is in progress."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        scheduler.busy = True
        session.wake()
        await asyncio.sleep(2 * CONTACT_S)
        fences = []

        def record(event):
            if isinstance(event, WorkerReported):
                fences.append(worker._fence)

        session._emit = record
        worker.crash()
        session.start(ORDER)
        await asyncio.sleep(3 * CONTACT_S)
        return tenure.reason, min(fences)

    assert run_virtual(with_session(scenario)) == ("", 257)


def test_silent_worker_that_has_restarted_keeps_its_tasks_longer():
    """Guards against a lease that a late order grants to a new incarnation."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        loop = asyncio.get_running_loop()
        scheduler.busy = True
        worker.is_cut_off = True
        await asyncio.sleep(5.0)
        worker.crash()
        worker.is_cut_off = False
        restarted_at = loop.time()
        while worker._fence < 256:
            await asyncio.sleep(0.01)
        worker.is_cut_off = True
        await asyncio.sleep(1.0)
        silent = [e for e in events if isinstance(e, WorkerSilent)]
        return silent[-1].lapses_at - restarted_at

    assert run_virtual(with_session(scenario)) > MAX_LEASE_S


@pytest.mark.parametrize("listed", [1, 2, 9])
def test_listed_restart_that_the_worker_denies_is_asked_about_once(listed):
    async def scenario(session, link, worker, scheduler, tenure, events):
        calls = []
        original = link.renew

        async def renew(*args):
            calls.append(args)
            return await original(*args)

        link.renew = renew
        session.update_info(
            msgspec.structs.replace(INFO, incarnation=Incarnation(listed))
        )
        await asyncio.sleep(10.0)
        return len(calls)

    assert run_virtual(with_session(scenario)) <= (listed > 1)


@pytest.mark.parametrize("late_s", [0.1, 1.0, 2.0, 3.0])
def test_lease_is_reckoned_until_a_new_incarnation_has_seen_its_fence(late_s):
    """Guards against runs that outlast the reported end of all leases.

    The restart is noticed, but the renewal that brings the higher fence is
    lost. A renewal for the earlier incarnation is carried out meanwhile.
    """

    async def scenario(session, link, worker, scheduler, tenure, events):
        clock = asyncio.get_running_loop().time
        scheduler.busy = True
        session.wake()
        await asyncio.sleep(20.0)
        link.holds_back = True
        while not link.held_back:
            await asyncio.sleep(0.01)
        renewal = link.held_back[0]
        worker.crash()
        link.holds_back = False
        notice_restart = session._on_restart

        def lose_next_renewal():
            notice_restart()
            link.holds_back = True

        session._on_restart = lose_next_renewal
        while not link.holds_back:
            await asyncio.sleep(0.01)
        await asyncio.sleep(late_s)
        renewal()
        ends_at = clock() + worker._deadline - worker.clock_ms() / 1000
        assert ends_at > clock()
        await asyncio.sleep(5.0)
        silent = [e for e in events if isinstance(e, WorkerSilent)]
        return silent[-1].lapses_at, ends_at

    reported, actual = run_virtual(with_session(scenario))
    assert reported >= actual


@pytest.mark.parametrize(
    ("carried_out", "after_s"), [(1, 0.0), (1, 1.9), (2, 1.8), (3, 1.6)]
)
def test_lease_of_a_start_is_reckoned_for_a_restart_that_nobody_noticed(
    carried_out, after_s
):
    """Guards against runs that outlast the reported end of all leases.

    A worker restarts, and no answer of its new incarnation arrives. A copy of a
    start is carried out at once. Its deadline is far ahead on the new clock, so
    it gets the longest lease.
    """

    async def scenario(session, link, worker, scheduler, tenure, events):
        clock = asyncio.get_running_loop().time
        copies, ends = [], []

        async def start(order, fence, deadline_ms):
            copies.append(order)
            if len(copies) == carried_out:
                worker.start(order, fence, deadline_ms, False)
                left_s = worker._deadline - worker.clock_ms() / 1000
                ends.append(clock() + left_s)
            await asyncio.sleep(0.7)
            return Err(OrderFailure.NO_ANSWER)

        scheduler.busy = True
        session.wake()
        await asyncio.sleep(20.0)
        link.start = start
        link.holds_back = True
        worker.crash()
        await asyncio.sleep(after_s)
        session.start(ORDER)
        await asyncio.sleep(5.0)
        silent = [e for e in events if isinstance(e, WorkerSilent)]
        return silent[-1].lapses_at - ends[0]

    assert run_virtual(with_session(scenario)) >= 0


@pytest.mark.parametrize(
    ("failure", "counts"),
    [
        (OrderFailure.NO_ANSWER, True),
        (OrderFailure.NO_CONNECTION, False),
        (OrderFailure.NO_LISTENER, False),
    ],
)
def test_only_a_start_that_may_have_arrived_delays_the_end_of_leases(
    failure, counts
):
    """Guards against tasks that wait for a silent worker without need."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        clock = asyncio.get_running_loop().time
        sent_at = []

        async def start(order, fence, deadline_ms):
            sent_at.append(clock())
            await asyncio.sleep(0.01)
            return Err(failure)

        scheduler.busy = True
        session.wake()
        await asyncio.sleep(20.0)
        link.start = start
        link.holds_back = True
        await asyncio.sleep(2.2)
        session.start(ORDER)
        await asyncio.sleep(5.0)
        silent = [e for e in events if isinstance(e, WorkerSilent)]
        return silent[-1].lapses_at - sent_at[-1]

    lease_s = run_virtual(with_session(scenario))
    longest_s = longest_lease_s(TIMES.lease_s)
    assert (round(lease_s - longest_s, 6) >= 0) == counts


@pytest.mark.parametrize("incarnation", [4, 6])
def test_restart_is_noticed_although_its_start_seems_to_be_earlier(incarnation):
    """The wall clock of a worker, which gives its incarnation, may step back.

    Without contact, the new incarnation would carry out earlier orders.
    """

    async def scenario(session, link, worker, scheduler, tenure, events):
        known = Incarnation(5)
        worker.incarnation = known
        session.update_info(msgspec.structs.replace(INFO, incarnation=known))
        await asyncio.sleep(CONTACT_S)
        fence = worker._fence
        worker.crash()
        worker.incarnation = incarnation
        session.update_info(
            msgspec.structs.replace(INFO, incarnation=Incarnation(incarnation))
        )
        await asyncio.sleep(CONTACT_S)
        return worker._fence - fence

    assert run_virtual(with_session(scenario)) == 1


@pytest.mark.parametrize("unanswered", [True, False])
def test_worker_with_an_open_order_is_contacted_soon_after_it_is_up(unanswered):
    """Guards against orders that are carried out before the first contact."""

    async def scenario(session, link, worker, scheduler, tenure, events):
        loop = asyncio.get_running_loop()
        scheduler.busy = True
        if unanswered:
            await start_without_answer(session, link)
        worker.is_down = True
        await asyncio.sleep(4.0)
        worker.crash()
        worker.is_down = False
        began = loop.time()
        while not worker._fence:
            await asyncio.sleep(0.001)
        return loop.time() - began

    took_s = run_virtual(with_session(scenario))
    assert took_s < (0.1 if unanswered else 0.6)
