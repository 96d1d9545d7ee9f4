"""How much memory and time waiting work takes in a scheduler."""

import tracemalloc

import pytest

from pomeloarch_core.batch.groups import (
    MAX_HELD_FACTOR,
    MAX_OPEN_STEPS,
    MAX_WAITING_GROUPS,
    GroupState,
    JobEntry,
)
from pomeloarch_core.batch.messages import TaskId
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.objectives import RunTimes
from pomeloarch_core.batch.ready import MAX_ALL_WAITING_GROUPS, ready_groups
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import JobId, OrganisationName, ServiceName

QUEUE = Queue(QueueName("q"), ServiceName("s"))
ONE = Step(1, Resources(2_000, 1_024, 1))
NOW = 10.0
# Once a minute for twenty days.
MANY = 28_800
JOBS = 10
# What the waiting work of all jobs may take, in bytes: a tenth of the smallest
# hosts' memory of 200 MB.
MAX_WAITING_BYTES = 20_000_000


def make_entry(number, *steps, inherited=False, row=None, **fields):
    job = BatchJob(
        JobId(f"{number:016x}"),
        QUEUE.name,
        OrganisationName("o"),
        QUEUE,
        "",
        steps,
        **fields,
    )
    row = row or JobRow.from_job(job)
    return JobEntry(job, row, QUEUE, inherited, 0.0)


def in_an_hour(number):
    return make_entry(
        number, ONE, occurrences=MANY, first_due_at=3600.0, interval_s=60.0
    )


def all_due(number):
    return make_entry(number, ONE, occurrences=MANY, first_due_at=1.0)


def wide(number):
    return make_entry(number, Step(MANY, ONE.need))


def wide_and_inherited(number):
    """No worker has been heard from, so that any task may be running."""
    row = JobRow(QUEUE.name, OrganisationName("o"), 0.0, started=True)
    return make_entry(number, Step(MANY, ONE.need), inherited=True, row=row)


def find_ready(entries, wall=NOW):
    return ready_groups(entries, set(), set(), RunTimes(), NOW, wall)


@pytest.mark.parametrize(
    "make", [in_an_hour, all_due, wide, wide_and_inherited]
)
def test_work_that_waits_takes_hardly_any_memory(make):
    """Guards against accepted jobs that end each leader in turn (review/9)."""
    tracemalloc.start()
    try:
        entries = [make(number) for number in range(JOBS)]
        for _ in range(5):
            find_ready(entries)
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken < MAX_WAITING_BYTES


@pytest.mark.parametrize("make", [all_due, wide])
def test_each_waiting_job_has_groups_to_place(make):
    """Guards against jobs that wait for the groups of others."""
    entries = [make(number) for number in range(50)]
    ready = find_ready(entries)
    assert {each.job for each in ready} == set(entries)
    # Each open step has one group in any case.
    most = MAX_ALL_WAITING_GROUPS + 50 * MAX_OPEN_STEPS
    assert len(ready) <= most


def test_all_groups_of_a_wide_step_are_made_in_the_end():
    """Guards against tasks that are left out."""
    entry = make_entry(1, Step(3 * MAX_WAITING_GROUPS + 5, ONE.need))
    seen = []
    while ready := find_ready([entry]):
        assert len(ready) <= MAX_WAITING_GROUPS
        for group in ready:
            seen += group.indices
            group.state = GroupState.ENDED
    assert seen == list(range(3 * MAX_WAITING_GROUPS + 5))
    assert entry.is_done
    assert entry.all_groups() == []


def test_all_occurrences_run_in_the_end():
    """Guards against occurrences that are left out."""
    count = 2 * MAX_OPEN_STEPS + 5
    steps = (ONE, Step(2, ONE.need, after=(0,)))
    entry = make_entry(1, *steps, occurrences=count, first_due_at=1.0)
    seen = []
    while ready := find_ready([entry]):
        for group in ready:
            seen += group.tasks()
            group.state = GroupState.ENDED
    assert len(seen) == len(set(seen)) == 3 * count
    assert entry.is_done


@pytest.mark.parametrize(
    ("wall", "due"), [(0.9, 0), (1.0, 1), (61.0, 2), (1e9, 5)]
)
def test_occurrences_are_opened_when_they_are_due(wall, due):
    entry = make_entry(1, ONE, occurrences=5, first_due_at=1.0, interval_s=60.0)
    assert len(find_ready([entry], wall)) == due


def test_groups_that_may_be_running_leave_room_for_others():
    """Guards against a window full of groups that can't be placed yet."""
    entry = make_entry(1, Step(4 * MAX_WAITING_GROUPS, ONE.need))
    first = find_ready([entry])
    for each in first:
        each.recovery_pending = True
    assert len(find_ready([entry])) == MAX_WAITING_GROUPS
    for each in entry.all_groups():
        each.recovery_pending = True
    for _ in range(5):
        for each in find_ready([entry]):
            each.recovery_pending = True
    assert len(entry.all_groups()) == MAX_HELD_FACTOR * MAX_WAITING_GROUPS


def test_group_that_was_not_made_is_found_by_its_task():
    """Guards against runs of an earlier scheduler that nobody knows."""
    entry = wide_and_inherited(1)
    task = TaskId(entry.job.job_id, 0, 0, MANY - 1)
    group = entry.group_of(task)
    assert group is not None
    assert (group.indices, group.recovery_pending) == ((MANY - 1,), True)
    assert entry.group_of(task) is group


@pytest.mark.parametrize("index", [0, 2])
def test_group_that_is_done_in_the_row_has_ended(index):
    """Guards against a second run of a task that an earlier leader saw done."""
    row = JobRow(QUEUE.name, OrganisationName("o"), 0.0, started=True)
    row.step(0, 0).mark_done([0, 2])
    entry = make_entry(1, Step(3, ONE.need), inherited=True, row=row)
    group = entry.group_of(TaskId(entry.job.job_id, 0, 0, index))
    assert group.state is GroupState.ENDED
    entry.may_be_running = lambda group: False
    ready = find_ready([entry])
    assert [each.indices for each in ready] == [(1,)]
    assert not entry.is_done
    ready[0].state = GroupState.ENDED
    assert entry.is_done


def test_step_that_is_over_is_not_kept_after_a_look():
    """Guards against memory for each late report about a step that is done."""
    entry = make_entry(1, ONE, occurrences=3, first_due_at=1.0)
    for each in find_ready([entry]):
        each.state = GroupState.ENDED
    for occurrence in range(3):
        task = TaskId(entry.job.job_id, occurrence, 0, 0)
        entry.row.step(occurrence, 0).mark_done([0])
        assert entry.group_of(task).state is GroupState.ENDED
    assert not entry.groups
    assert not entry.unplaced


def test_task_of_a_job_that_is_over_has_ended():
    """Guards against a run that goes on after its job was cancelled."""
    entry = wide(1)
    entry.is_over = True
    group = entry.group_of(TaskId(entry.job.job_id, 0, 0, 7))
    assert group.state is GroupState.ENDED


@pytest.mark.parametrize(
    ("occurrence", "step", "index"), [(1, 0, 0), (0, 1, 0), (0, 0, 3)]
)
def test_task_that_a_job_does_not_have_has_no_group(occurrence, step, index):
    entry = make_entry(1, Step(3, ONE.need))
    task = TaskId(entry.job.job_id, occurrence, step, index)
    assert entry.group_of(task) is None
