"""Ends that are reported late, and orders to start whose answers are lost."""

import pytest

from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.groups import GroupState
from pomeloarch_core.batch.messages import (
    EndedTask,
    Incarnation,
    JobAccepted,
    RosterWritten,
    RowWritten,
    RunEnd,
    RunNumber,
    StartAnswered,
    StartOutcome,
    StartTask,
    StopAnswered,
    TaskId,
    Tick,
    WorkerInfo,
    WorkerReported,
    WorkerSilent,
    WorkersListed,
    WriteRow,
)
from pomeloarch_core.batch.model import (
    NO_RESOURCES,
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.open_starts import MAX_ORDER_DELAY_S, OpenStarts
from pomeloarch_core.batch.rows import JobRow, JobStatus
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.ids import (
    Epoch,
    Generation,
    JobId,
    OrganisationName,
    ServiceName,
    WorkerId,
    ZoneName,
)

SERVICE = ServiceName("scorer")
NORMAL = Queue(QueueName("normal"), SERVICE, 1, 2, 3.0, 1.0)
URGENT = Queue(QueueName("urgent"), SERVICE, 0, 2, 1.5, 0.3)
CATALOGUE = Catalogue(
    Generation(1), {each.name: each for each in (NORMAL, URGENT)}, (), {}
)
WHOLE = Resources(8_000, 8_000, 8)
JOB = JobId("1" * 16)
OTHER_JOB = JobId("2" * 16)
WORKERS = (WorkerId("w0"), WorkerId("w1"))


class Harness:
    """A scheduler with two workers; rows are durable only on request.

    Args:
      inherited: a job that an earlier scheduler left.
      heard: the workers that have answered.
    """

    def __init__(self, inherited=None, heard=WORKERS):
        self.now = 100.0
        self.decisions = []
        self.placing = True
        self.scheduler = BatchScheduler(Epoch(1), CATALOGUE, 0.0)
        if inherited is not None:
            self.scheduler.open_starts.earlier_until = self.now + 5.0
            self.emit(inherited)
        self.label_workers("")
        self.emit(RosterWritten(frozenset(WORKERS)))
        for each in heard:
            self.report(each)

    def label_workers(self, label):
        """Lists the workers with a label."""
        self.list_workers(WORKERS, label)

    def list_workers(self, workers, label="", draining=()):
        """Lists these workers only."""
        listed = tuple(
            WorkerInfo(
                each,
                SERVICE,
                f"{each}:1",
                ZoneName(each),
                WHOLE,
                labels=frozenset({label}),
                draining=each in draining,
            )
            for each in workers
        )
        self.emit(WorkersListed(listed))

    def submit(self, job_id, queue, *steps):
        job = BatchJob(
            job_id,
            queue.name,
            OrganisationName("o"),
            queue,
            "work",
            steps,
            accepted_at=self.now,
        )
        self.emit(JobAccepted(job, JobRow.from_job(job)))

    def started(self, order):
        self.emit(
            StartAnswered(
                order.worker_id,
                order.task,
                order.run,
                StartOutcome.STARTED,
                True,
            )
        )

    def lose(self, worker_id):
        """Lets a worker's lease run out behind a network cut."""
        self.now += 2.5
        self.emit(WorkerSilent(worker_id, self.now + 3.0))
        self.now += 3.1
        self.emit(Tick(self.now))

    def stopped(self, order):
        """Has a worker report that a run was stopped."""
        self.emit(StopAnswered(order.worker_id, order.task, order.run))
        self.now += 0.1
        end = EndedTask(1, order.task, order.run, RunEnd.STOPPED)
        self.report(order.worker_id, end)

    def group(self):
        """Returns the first group; one that is over is made anew."""
        return self.scheduler._jobs.get(JOB).groups[0, 0][0]

    def emit(self, event):
        self.decisions += self.scheduler.handle(event, self.now)
        if self.placing:
            self.decisions += self.scheduler.place(self.now)

    def report(self, worker_id, *ends, incarnation=1):
        life = Incarnation(incarnation)
        self.emit(WorkerReported(worker_id, life, self.now, (), ends))

    def report_for(self, seconds, workers, incarnation=1):
        """Has workers report every half second that they run nothing."""
        for _ in range(round(seconds * 2)):
            self.now += 0.5
            for each in workers:
                self.report(each, incarnation=incarnation)
            self.emit(Tick(self.now))
            self.rows_written()

    def rows_written(self):
        for each in [e for e in self.decisions if isinstance(e, WriteRow)]:
            self.emit(RowWritten(each.job_id, each.change))

    def starts(self):
        return [e for e in self.decisions if isinstance(e, StartTask)]


@pytest.mark.parametrize("how", [RunEnd.DONE, RunEnd.FAILED])
def test_claim_is_released_when_the_previous_run_turns_out_to_have_ended(
    how,
):
    """Guards against room that stays unused, and a job that is kept, all term.

    A worker behind a network cut is heard from again when its task, whose lease
    has run out, has just claimed a place elsewhere: the run had ended before.
    """
    harness = Harness()
    harness.submit(JOB, NORMAL, Step(1, WHOLE, 4.0))
    harness.rows_written()
    (order,) = harness.starts()
    first = order.worker_id
    harness.started(order)
    harness.lose(first)
    # The task has claimed the other worker, but its row doesn't name it yet.
    assert [each.worker_id for each in harness.starts()] == [first]
    harness.now += 0.01
    harness.report(first, EndedTask(1, order.task, order.run, how))
    harness.now += 0.01
    harness.rows_written()
    if how is RunEnd.FAILED:
        again = harness.starts()[-1]
        assert again.run > order.run
        harness.started(again)
        harness.now += 1.0
        done = EndedTask(1, again.task, again.run, RunEnd.DONE)
        harness.report(again.worker_id, done)
        harness.rows_written()
    for _ in range(20):
        harness.now += 0.5
        for each in WORKERS:
            harness.report(each)
        harness.emit(Tick(harness.now))
        harness.rows_written()
    fleet = harness.scheduler._fleet
    assert [fleet.get(each).free for each in WORKERS] == [WHOLE, WHOLE]
    assert harness.scheduler._jobs.get(JOB) is None


@pytest.mark.parametrize(
    ("how", "state"),
    [
        (RunEnd.DONE, GroupState.ENDED),
        (RunEnd.FAILED, GroupState.READY),
        (RunEnd.LAPSED, GroupState.CLAIMED),
    ],
)
def test_end_of_a_previous_run_does_not_count_as_one_of_a_claimed_group(
    how, state
):
    """Guards against freeing resources as used that were only claimed.

    A gang has claimed a place on the worker of its last run again and waits for
    other groups to leave when that worker reports how the run ended. A claimed
    group has the number of its last run until it is started.
    """
    harness = Harness()
    harness.submit(JOB, URGENT, Step(2, WHOLE, 4.0, gang=True))
    harness.rows_written()
    orders = {each.worker_id: each for each in harness.starts()}
    for each in orders.values():
        harness.started(each)
    first, second = WORKERS
    harness.lose(first)
    harness.stopped(orders[second])
    harness.submit(OTHER_JOB, NORMAL, Step(1, WHOLE, 60.0))
    harness.rows_written()
    other = harness.starts()[-1]
    assert (other.worker_id, other.task.job_id) == (second, OTHER_JOB)
    harness.started(other)
    harness.report(first)
    harness.emit(RosterWritten(frozenset(WORKERS)))
    harness.now += 0.3
    harness.emit(Tick(harness.now))
    assert harness.group().state is GroupState.CLAIMED
    began = orders[first]
    harness.placing = False
    harness.report(first, EndedTask(1, began.task, began.run, how))
    group, fleet = harness.group(), harness.scheduler._fleet
    assert group.state is state
    is_claimed = state is GroupState.CLAIMED
    assert len(group.members) == (2 if is_claimed else 0)
    free = (
        [NO_RESOURCES, NO_RESOURCES - WHOLE]
        if is_claimed
        else [WHOLE, NO_RESOURCES]
    )
    assert [fleet.get(each).free for each in WORKERS] == free
    assert [fleet.get(each).unused for each in WORKERS] == [WHOLE, NO_RESOURCES]


def test_claimed_group_is_not_started_once_its_attempts_are_used_up():
    """Guards against one run more than a queue allows.

    Only groups without a place used to be checked for used-up attempts.
    """
    harness = Harness()
    harness.submit(JOB, NORMAL, Step(1, WHOLE, 4.0))
    harness.rows_written()
    (order,) = harness.starts()
    harness.started(order)
    harness.group().failed_runs |= {1}
    harness.lose(order.worker_id)
    assert harness.group().state is GroupState.CLAIMED
    end = EndedTask(1, order.task, order.run, RunEnd.FAILED)
    harness.report(order.worker_id, end)
    harness.now += 0.1
    harness.rows_written()
    harness.emit(Tick(harness.now))
    assert harness.starts() == [order]
    rows = [e.row for e in harness.decisions if isinstance(e, WriteRow)]
    assert rows[-1].status is JobStatus.FAILED


def claimed_again(harness):
    """Has a gang claim the place of a run whose stop has no answer yet.

    The run's end is reported before the order to stop it is answered. The gang
    waits on its claimed place for another group to leave.

    Returns:
      The order that started the stopped run there, and the other group's.
    """
    harness.submit(JOB, URGENT, Step(2, WHOLE, 4.0, gang=True))
    harness.rows_written()
    orders = {each.worker_id: each for each in harness.starts()}
    for each in orders.values():
        harness.started(each)
    first, second = WORKERS
    harness.lose(first)
    stopped = orders[second]
    end = EndedTask(1, stopped.task, stopped.run, RunEnd.STOPPED)
    harness.report(second, end)
    harness.submit(OTHER_JOB, NORMAL, Step(1, WHOLE, 60.0))
    harness.rows_written()
    other = harness.starts()[-1]
    assert (other.worker_id, other.task.job_id) == (second, OTHER_JOB)
    harness.started(other)
    harness.report(first)
    harness.emit(RosterWritten(frozenset(WORKERS)))
    harness.now += 0.3
    harness.emit(Tick(harness.now))
    assert harness.group().state is GroupState.CLAIMED
    return stopped, other


@pytest.mark.parametrize(
    "answer",
    [
        None,
        StopAnswered,
        StartOutcome.STARTED,
        StartOutcome.OLD_RUN,
    ],
)
def test_late_answer_about_a_previous_run_confirms_nothing_of_the_next_one(
    answer,
):
    """Guards against two runs of a task: a start that is taken for ended.

    The answer to an order about the previous run comes when its group has
    claimed the same place again. The order to start the next run is then under
    way, and a report that was asked for before it arrived doesn't list the run.
    """
    harness = Harness()
    stopped, other = claimed_again(harness)
    key = stopped.worker_id, stopped.task, stopped.run
    harness.now += 0.01
    if answer is StopAnswered:
        harness.emit(StopAnswered(*key))
    elif answer is not None:
        harness.emit(StartAnswered(*key, answer, False))
    harness.now += 0.01
    asked_at = harness.now
    harness.now += 0.01
    harness.emit(StopAnswered(other.worker_id, other.task, other.run))
    end = EndedTask(2, other.task, other.run, RunEnd.STOPPED)
    harness.report(other.worker_id, end)
    starts = [e for e in harness.starts() if e.task.job_id == JOB][2:]
    assert len(starts) == 2
    harness.now += 0.01
    harness.emit(
        WorkerReported(stopped.worker_id, Incarnation(1), asked_at, (), ())
    )
    group = harness.group()
    assert (group.state, len(group.members)) == (GroupState.STARTED, 2)


def ordered(harness, **step):
    """Starts a job of one task.

    Returns:
      The order to start it, and the copy of it that has no answer.
    """
    harness.submit(JOB, NORMAL, Step(1, WHOLE, 4.0, **step))
    harness.rows_written()
    (order,) = harness.starts()
    copy = harness.scheduler.open_starts.add(
        order.task, order.worker_id, order.run, harness.now
    )
    harness.started(order)
    return order, copy


# An end that forbids later starts counts once it is acknowledged.
@pytest.mark.parametrize(
    ("how", "held"),
    [
        (RunEnd.DONE, True),
        (RunEnd.FAILED, True),
        (RunEnd.STOPPED, False),
    ],
)
@pytest.mark.parametrize("settled", [True, False])
def test_end_is_acknowledged_only_when_no_start_of_its_task_is_open(
    how, held, settled
):
    """Guards against late orders that start a task after it was done."""
    harness = Harness()
    order, copy = ordered(harness)
    harness.now += 1.0
    end = EndedTask(1, order.task, order.run, how)
    harness.report(order.worker_id, end)
    harness.rows_written()
    numbers = [harness.scheduler.acknowledged_up_to(order.worker_id)]
    if settled:
        harness.scheduler.open_starts.settle(copy)
    else:
        harness.now += MAX_ORDER_DELAY_S - 1.0
    harness.emit(Tick(harness.now))
    numbers.append(harness.scheduler.acknowledged_up_to(order.worker_id))
    assert numbers == ([0, 1] if held else [1, 1])


def successor(row, job, heard=WORKERS):
    """Returns a harness whose earlier scheduler left a job and its row."""
    return Harness(JobAccepted(job, row, inherited=True), heard)


@pytest.mark.parametrize("how", [RunEnd.DONE, RunEnd.FAILED])
@pytest.mark.parametrize("is_open", [True, False])
def test_end_is_kept_while_a_start_of_an_earlier_scheduler_is_open(
    how, is_open
):
    """Guards against orders of an earlier scheduler that come after the end."""
    former = Harness()
    order, copy = ordered(former)
    if not is_open:
        former.scheduler.open_starts.settle(copy)
    former.now += 1.5
    former.emit(Tick(former.now))
    entry = former.scheduler._jobs.get(JOB)
    entry.row.status = JobStatus.COMPLETED
    harness = successor(entry.row, entry.job)
    end = EndedTask(1, order.task, order.run, how)
    harness.report(order.worker_id, end)
    before = harness.scheduler.acknowledged_up_to(order.worker_id)
    harness.now += 5.0
    harness.emit(Tick(harness.now))
    after = harness.scheduler.acknowledged_up_to(order.worker_id)
    assert (before, after) == (0 if is_open else 1, 1)


@pytest.mark.parametrize("step", [{}, {"gang": True}])
@pytest.mark.parametrize("is_open", [True, False])
def test_successor_places_a_task_elsewhere_only_when_no_start_is_open(
    step, is_open
):
    """Guards against orders of an earlier scheduler that act after a restart.

    The worker that was to start the task is cut off from the successor, and
    what it may run has ended.
    """
    former = Harness()
    order, copy = ordered(former, **step)
    if not is_open:
        former.scheduler.open_starts.settle(copy)
    former.now += 1.5
    former.emit(Tick(former.now))
    entry = former.scheduler._jobs.get(JOB)
    harness = successor(entry.row, entry.job, heard=WORKERS[1:])
    assert order.worker_id == WORKERS[0]
    harness.emit(WorkerSilent(order.worker_id, harness.now))
    harness.now += 0.1
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert len(harness.starts()) == (0 if is_open else 1)
    harness.now += 5.0
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert len(harness.starts()) == 1


@pytest.mark.parametrize("is_claimed_only", [True, False])
@pytest.mark.parametrize(
    ("step", "names_members", "starts_at_once"),
    [
        pytest.param(Step(2, WHOLE, 4.0, gang=True), True, True, id="gang"),
        pytest.param(
            Step(2, WHOLE, 4.0, gang=True), False, False, id="earlier-version"
        ),
        pytest.param(Step(1, WHOLE, 4.0), True, True, id="task"),
        pytest.param(Step(1, WHOLE, 4.0), False, True, id="task-earlier"),
    ],
)
def test_successors_start_a_gang_again_where_its_start_may_be_open(
    step, names_members, starts_at_once, is_claimed_only
):
    """Guards against gangs that stand still after changes of leader.

    A row of an earlier version doesn't say which member is on which worker.
    """
    former = Harness()
    former.submit(JOB, URGENT, step)
    if not is_claimed_only:
        former.rows_written()
    entry = former.scheduler._jobs.get(JOB)
    entry.row.names_members = names_members
    for _ in range(3):
        harness = successor(entry.row, entry.job)
        harness.rows_written()
        assert bool(harness.starts()) == starts_at_once
        entry = harness.scheduler._jobs.get(JOB)
        assert entry.row.names_members is names_members
    named = entry.row.open_starts["0.0.0"]
    for each in harness.starts():
        assert each.worker_id == named[each.task.index]
    harness.now += 5.1
    for each in WORKERS:
        harness.report(each)
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert len(harness.starts()) == step.count


@pytest.mark.parametrize(
    ("first", "second", "named", "names_members", "changed"),
    [
        pytest.param("ab", "ab", "ab", True, False, id="same-places"),
        pytest.param("ab", "ba", "ab", False, True, id="exchanged"),
        pytest.param("ab", "cb", "abc", False, True, id="other-place"),
        pytest.param("", "ba", "ba", True, True, id="first-start"),
    ],
)
def test_row_says_on_which_worker_a_member_is_only_where_that_is_certain(
    first, second, named, names_members, changed
):
    """Guards against a member that is taken to be on one worker only."""
    row = JobRow(NORMAL.name, OrganisationName("o"), 0.0, names_members=True)
    if first:
        row.open_starts["0.0.0"] = list(first)
    assert row.add_open_starts("0.0.0", list(second)) is changed
    assert row.open_starts["0.0.0"] == list(named)
    assert row.names_members is names_members
    places = [row.named_workers("0.0.0", position) for position in (0, 1)]
    exact = [[named[0]], [named[-1]]]
    assert places == (exact if names_members else [list(named)] * 2)


@pytest.mark.parametrize(("label", "starts"), [("a", 4), ("b", 2)])
def test_gang_starts_again_only_on_workers_of_its_kind(label, starts):
    """Guards against a worker that has started again as one of another kind."""
    harness = Harness()
    harness.label_workers("a")
    harness.submit(JOB, NORMAL, Step(2, WHOLE, 4.0, gang=True, label="a"))
    harness.rows_written()
    orders = {each.worker_id: each for each in harness.starts()}
    last = orders[WORKERS[1]]
    harness.scheduler.open_starts.add(
        last.task, last.worker_id, last.run, harness.now
    )
    for each in orders.values():
        harness.started(each)
    harness.label_workers(label)
    stop_members(harness, orders)
    pass_time(harness, harness.now + 1.0)
    assert len(harness.starts()) == starts


# Copies of a speculative task may run at the same time.
@pytest.mark.parametrize(
    ("step", "waits"),
    [
        ({}, True),
        ({"gang": True}, True),
        ({"long_running": True}, True),
        ({"speculative": True}, False),
    ],
)
@pytest.mark.parametrize("is_heard", [True, False])
def test_task_runs_elsewhere_only_when_no_earlier_start_of_it_is_open(
    step, waits, is_heard
):
    """Guards against late orders that act on a restarted worker.

    One that isn't heard from runs the task until its lease ends.
    """
    harness = Harness()
    order, _ = ordered(harness, **step)
    harness.scheduler.open_starts.longest_lease_s = 6.5
    until = harness.now + MAX_ORDER_DELAY_S
    if not is_heard:
        until += 6.5
    harness.lose(order.worker_id)
    harness.rows_written()
    assert (len(harness.starts()) == 1) == waits
    harness.now = until - 0.1
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert (len(harness.starts()) == 1) == waits
    harness.now = until
    if is_heard:
        harness.report(order.worker_id)
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert [each.worker_id for each in harness.starts()] == list(WORKERS)


# The worker's entry is gone for 3 s, and its leases have ended.
@pytest.mark.parametrize("step", [{}, {"gang": True}, {"long_running": True}])
@pytest.mark.parametrize(
    ("seconds", "is_list_confirmed", "is_listed", "starts"),
    [
        (4, True, False, 2),
        (2, True, False, 1),
        (4, False, False, 1),
        (4, True, True, 1),
    ],
)
def test_no_task_waits_for_an_order_to_a_gone_worker(
    step, seconds, is_list_confirmed, is_listed, starts
):
    """Guards against a job that stands still for 13 s (review/12).

    A worker that is listed, or of which the list isn't known, isn't gone.
    """
    harness = Harness()
    order, _ = ordered(harness, **step)
    harness.lose(order.worker_id)
    harness.list_workers(WORKERS if is_listed else WORKERS[1:])
    for _ in range(seconds):
        harness.now += 1.0
        confirmed_at = harness.now if is_list_confirmed else None
        harness.emit(Tick(harness.now, confirmed_at))
    harness.rows_written()
    assert len(harness.starts()) == starts


@pytest.mark.parametrize("step", [{}, {"gang": True}, {"long_running": True}])
def test_single_task_may_start_again_where_an_earlier_start_is_open(step):
    """Guards against tasks that wait though they can't run twice."""
    harness = Harness()
    order, _ = ordered(harness, **step)
    harness.now += 0.1
    end = EndedTask(1, order.task, order.run, RunEnd.STOPPED)
    harness.report(order.worker_id, end)
    harness.now += 0.5
    harness.emit(Tick(harness.now))
    harness.rows_written()
    workers = [each.worker_id for each in harness.starts()]
    assert workers == [order.worker_id] * 2


# A worker at the address that has another id refuses the order.
@pytest.mark.parametrize("gone", [True, False])
def test_start_to_a_worker_that_is_gone_is_settled(gone):
    """Guards against tasks that wait for a worker that another one replaced."""
    harness = Harness()
    order, _ = ordered(harness)
    harness.now += 1.0
    harness.emit(WorkerSilent(order.worker_id, harness.now, gone=gone))
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert len(harness.starts()) == 1 + gone


@pytest.mark.parametrize("idle_s", [0.0, MAX_ORDER_DELAY_S])
def test_worker_is_asked_once_after_a_start_of_it_was_open(idle_s):
    """Guards against tasks that wait for a report that nobody asks for."""
    harness = Harness()
    worker_id = WORKERS[1]
    task = TaskId(OTHER_JOB, 0, 0, 0)
    harness.scheduler.open_starts.add(
        task, worker_id, RunNumber(1), harness.now
    )
    harness.now += idle_s
    harness.emit(Tick(harness.now))
    before = harness.scheduler.needs_polling(worker_id)
    harness.report(worker_id)
    harness.emit(Tick(harness.now))
    after = harness.scheduler.needs_polling(worker_id)
    assert (before, after) == (idle_s > 0, False)


def test_start_is_settled_only_when_later_orders_no_longer_extend_its_lease():
    """Guards against late runs that outlast their own start's longest lease.

    A deadline applies to all that runs on a worker. A later order to start
    another task, carried out late as well, extends the lease of the first.
    """
    harness = Harness()
    harness.scheduler.open_starts.longest_lease_s = 6.5
    order, _ = ordered(harness)
    harness.now += 3.0
    other = TaskId(OTHER_JOB, 0, 0, 0)
    harness.scheduler.open_starts.add(
        other, order.worker_id, order.run, harness.now
    )
    until = harness.now + MAX_ORDER_DELAY_S + 6.5
    harness.lose(order.worker_id)
    harness.now = until - 0.1
    harness.emit(Tick(harness.now))
    harness.rows_written()
    assert [each.worker_id for each in harness.starts()] == [order.worker_id]


def test_worker_with_an_open_start_is_not_forgotten():
    """Guards against late runs that nobody asks for.

    A worker off the list that has no session isn't asked, and a successor that
    doesn't find it in the roster doesn't wait for it.
    """
    harness = Harness()
    order, _ = ordered(harness)
    harness.lose(order.worker_id)
    (other,) = set(WORKERS) - {order.worker_id}
    info = WorkerInfo(other, SERVICE, f"{other}:1", ZoneName(other), WHOLE)
    harness.emit(WorkersListed((info,)))
    assert order.worker_id in harness.scheduler.roster()


# A task could spend all its attempts on a worker where its runs fail. It waits
# there first, but for no longer than a job may stand still.
@pytest.mark.parametrize(
    ("cause", "within_s", "starts"),
    [
        ("no answer", 0.6, 2),
        ("a failed run", 1.5, 1),
        ("a failed run", 3.0, 2),
    ],
)
def test_task_starts_again_on_the_only_worker_that_it_may_run_on(
    cause, within_s, starts
):
    """Guards against tasks that wait though their only worker is free.

    A start of the task is open there, so that it may run on no other one; yet
    the worker is avoided because of that start.
    """
    harness = Harness()
    order, _ = ordered(harness)
    key = order.worker_id, order.task, order.run
    harness.now += 0.1
    if cause == "no answer":
        harness.group().members[0].started_at = None
        harness.emit(StartAnswered(*key, StartOutcome.NO_ANSWER, False, 3))
        harness.stopped(order)
    else:
        end = EndedTask(1, order.task, order.run, RunEnd.FAILED)
        harness.report(order.worker_id, end)
    for _ in range(round(within_s / 0.3)):
        harness.now += 0.3
        harness.emit(Tick(harness.now))
        harness.rows_written()
    workers = [each.worker_id for each in harness.starts()]
    assert workers == [order.worker_id] * starts


REFUSALS = [
    ("the worker refuses it", True, WORKERS, 1, 6.5, 2),
    ("it has not waited", True, WORKERS, 1, 5.5, 1),
    ("the worker has restarted", True, WORKERS, 2, 6.5, 1),
    ("the worker doesn't answer", True, WORKERS[1:], 1, 6.5, 1),
    ("it may be away for longer", False, WORKERS, 1, 12.0, 1),
]


@pytest.mark.parametrize(
    ("case", "lasts", "reporting", "incarnation", "seconds", "starts"), REFUSALS
)
def test_lasting_task_leaves_a_full_worker_that_refuses_its_open_start(
    case, lasts, reporting, incarnation, seconds, starts
):
    """Guards against lasting tasks that are idle for 13 s (review/14).

    The worker has listed the end of the run, and takes no more tasks.
    """
    harness = Harness()
    order, _ = ordered(harness, long_running=lasts)
    assert order.worker_id == WORKERS[0]
    harness.now += 0.1
    end = EndedTask(1, order.task, order.run, RunEnd.STOPPED)
    harness.placing = False
    harness.report(order.worker_id, end)
    harness.list_workers(WORKERS, draining=WORKERS[:1])
    harness.placing = True
    harness.report_for(seconds, reporting, incarnation)
    workers = [each.worker_id for each in harness.starts()]
    assert workers == list(WORKERS[:starts])


@pytest.mark.parametrize("has_left", [True, False])
def test_gang_replaces_the_member_whose_worker_has_left_and_no_other(has_left):
    """Guards against a gang that waits for a worker that was lost.

    A gang whose workers are only full would take others before more urgent
    groups do.
    """
    third = WorkerId("w2")
    workers = (*WORKERS, third)
    harness, orders, _ = gang_with_an_open_start()
    harness.placing = False
    stop_members(harness, orders)
    if has_left:
        harness.list_workers(workers[1:])
    else:
        harness.list_workers(workers, draining=WORKERS[:1])
    harness.emit(RosterWritten(frozenset(workers)))
    harness.report(third)
    harness.placing = True
    harness.report_for(1.0, workers)
    if not has_left:
        assert len(harness.starts()) == 2
        return
    again = {e.task.index: e.worker_id for e in harness.starts()[2:]}
    before = {e.task.index: e.worker_id for e in orders.values()}
    bound = orders[WORKERS[1]].task.index
    assert again == {bound: WORKERS[1], 1 - bound: third}
    assert before[1 - bound] == WORKERS[0]
    row = harness.scheduler._jobs.get(JOB).row
    assert row.open_starts == {"0.0.0": [again[0], again[1]]}
    assert row.names_members


@pytest.mark.parametrize(
    ("run", "events", "are_refused"),
    [
        (5, [], False),
        (5, [("end", 5)], True),
        (5, [("end", 6)], True),
        (5, [("end", 4)], False),
        (5, [("report", False)], False),
        (5, [("end", 5), ("report", False)], True),
        (5, [("end", 5), ("report", True)], False),
        (None, [("report", False)], True),
        (None, [("report", True)], True),
        (None, [("end", 5)], False),
    ],
)
def test_worker_refuses_copies_of_runs_that_ended_there_or_are_fenced_off(
    run, events, are_refused
):
    """Guards against copies that the next incarnation would carry out."""
    open_starts, task = OpenStarts(), TaskId(JOB, 0, 0, 0)
    if run is None:
        open_starts.add_earlier(task, WORKERS[0])
    else:
        open_starts.add(task, WORKERS[0], RunNumber(run), 100.0)
    for event, value in events:
        if event == "end":
            open_starts.note_end(task, WORKERS[0], RunNumber(value))
        else:
            open_starts.note_report(WORKERS[0], value)
    assert open_starts.are_refused(task) == are_refused


def gang_with_an_open_start(elsewhere=None):
    """Has a gang stop of which a member's start is open.

    Args:
      elsewhere: another worker on which that start is open as well.

    Returns:
      The harness, the orders to start by worker, and the last moment of that
      start.
    """
    harness = Harness()
    harness.submit(JOB, NORMAL, Step(2, WHOLE, 4.0, gang=True))
    harness.rows_written()
    orders = {each.worker_id: each for each in harness.starts()}
    last = orders[WORKERS[1]]
    for worker_id in filter(None, (last.worker_id, elsewhere)):
        harness.scheduler.open_starts.add(
            last.task, worker_id, last.run, harness.now
        )
    until = harness.now + MAX_ORDER_DELAY_S
    harness.now += 1.0
    for each in orders.values():
        harness.started(each)
    return harness, orders, until


def stop_members(harness, orders):
    for each in orders.values():
        end = EndedTask(1, each.task, each.run, RunEnd.STOPPED)
        harness.report(each.worker_id, end)


def pass_time(harness, now):
    harness.now = now
    for each in WORKERS:
        harness.report(each)
    harness.emit(Tick(harness.now))
    harness.rows_written()


def test_gang_with_an_open_start_starts_again_on_the_same_places_only():
    """Guards against late starts of a member on another worker of the gang.

    It also guards against a gang that stands still beside free workers:
    whatever starts a member on its worker, it has one run there.
    """
    harness, orders, until = gang_with_an_open_start()
    for turn in range(4):
        stop_members(harness, orders)
        pass_time(harness, until - 8 + turn)
        again = harness.starts()[2 * turn + 2 :]
        assert {each.worker_id: each.task for each in again} == {
            each.worker_id: each.task for each in orders.values()
        }
        orders = {each.worker_id: each for each in again}
        assert all(each.run > 4097 for each in again)
        for each in again:
            harness.started(each)


@pytest.mark.parametrize("cause", ["open on both workers", "place is taken"])
def test_gang_with_an_open_start_waits_for_the_same_places(cause):
    """Guards against late starts of a member, on any worker of the gang."""
    is_open_twice = cause == "open on both workers"
    harness, orders, until = gang_with_an_open_start(
        WORKERS[0] if is_open_twice else None
    )
    if not is_open_twice:
        harness.submit(OTHER_JOB, URGENT, Step(1, WHOLE, 60.0))
    stop_members(harness, orders)
    harness.rows_written()
    mine = [e for e in harness.starts() if e.task.job_id == JOB]
    for now in (until - 0.1, until):
        assert [e for e in harness.starts() if e.task.job_id == JOB] == mine
        pass_time(harness, now)
    expected = 4 if is_open_twice else 2
    mine = [e for e in harness.starts() if e.task.job_id == JOB]
    assert len(mine) == expected


def test_end_of_a_member_is_kept_while_a_start_of_another_one_is_open():
    """Guards against an end that stands for a gang while a member may start."""
    harness = Harness()
    harness.submit(JOB, NORMAL, Step(2, WHOLE, 4.0, gang=True))
    harness.rows_written()
    first, second = harness.starts()
    open_starts = harness.scheduler.open_starts
    open_starts.add(second.task, second.worker_id, second.run, harness.now)
    harness.now += 1.0
    for each in (first, second):
        harness.started(each)
    end = EndedTask(1, first.task, first.run, RunEnd.DONE)
    harness.report(first.worker_id, end)
    harness.rows_written()
    assert harness.scheduler.acknowledged_up_to(first.worker_id) == 0


@pytest.mark.parametrize("is_silent", [True, False])
def test_task_does_not_wait_longer_for_a_worker_that_leaves_later(is_silent):
    """Guards against jobs that stand still at the end of a day.

    The worker's last report was asked for just before the last moment of the
    open start; from then on it isn't heard from.
    """
    harness = Harness()
    harness.scheduler.open_starts.longest_lease_s = 6.5
    order, _ = ordered(harness)
    until = harness.now + MAX_ORDER_DELAY_S + 6.5
    harness.now += MAX_ORDER_DELAY_S - 0.5
    end = EndedTask(1, order.task, order.run, RunEnd.STOPPED)
    harness.placing = False
    harness.report(order.worker_id, end)
    (other,) = set(WORKERS) - {order.worker_id}
    info = WorkerInfo(other, SERVICE, f"{other}:1", ZoneName(other), WHOLE)
    harness.emit(WorkersListed((info,)))
    harness.placing = True
    harness.now += 2.5
    if is_silent:
        harness.emit(WorkerSilent(order.worker_id, harness.now + 4.0))
    for now in (until - 0.1, until):
        assert [each.worker_id for each in harness.starts()] == [
            order.worker_id
        ]
        harness.now = now
        harness.emit(Tick(harness.now))
        harness.rows_written()
    assert [each.worker_id for each in harness.starts()][1:] == [other]
