"""Table tests of the rules on runs, on ledgers that break them or don't."""

import msgspec
import pytest

from pomeloarch_core.batch.messages import RunEnd, TaskId
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.ids import JobId, OrganisationName, ServiceName
from pomeloarch_standins.batch_ledger import (
    Ledger,
    LedgerEntry,
    Violation,
    ViolationKind,
)
from pomeloarch_standins.batch_rules import (
    Disturbance,
    find_early_starts,
    find_excess_attempts,
    find_lonely_members,
    find_overfull_workers,
    find_starts_after_completion,
    find_starts_after_job,
    find_starts_of_rejected_jobs,
    find_tasks_not_done,
    has_cause_to_fail,
)

JOB = JobId("00000000000000a1")
QUEUE = Queue(QueueName("batch"), ServiceName("scorer"), max_attempts=2)
DONE, FAILED, ALONE = RunEnd.DONE, RunEnd.FAILED, RunEnd.ALONE
BROKEN, LAPSED = RunEnd.BROKEN, RunEnd.LAPSED
UNIT = Resources(1_000, 1_000, 1)


def jobs(*steps):
    job = BatchJob(
        JOB, QUEUE.name, OrganisationName("qasr"), QUEUE, "work", steps
    )
    return {JOB: job}


def run(
    started_at,
    ended_at=None,
    outcome=None,
    acknowledged=False,
    late=False,
    worker="w0",
    step=0,
    index=0,
    occurrence=0,
    number=1,
):
    return LedgerEntry(
        TaskId(JOB, occurrence, step, index),
        number,
        worker,
        started_at,
        ended_at,
        outcome,
        acknowledged,
        late,
    )


def pairs(violations, entries):
    """Returns each violation's kind and the indexes of its runs."""
    return [
        (
            each.kind.name,
            None if each.earlier is None else entries.index(each.earlier),
            entries.index(each.run),
        )
        for each in violations
    ]


REPEATED = {
    "one after the other": (
        [run(0.0, 1.0, LAPSED), run(1.0, 2.0, DONE, True)],
        [],
    ),
    "other tasks at the same time": ([run(0.0, 5.0), run(1.0, index=1)], []),
    "other occurrences at the same time": (
        [run(0.0, 5.0), run(1.0, occurrence=1)],
        [],
    ),
    "overlap": ([run(0.0, 2.0), run(1.0, 3.0)], [("OVERLAP", 0, 1)]),
    "overlap with a run without an end": (
        [run(0.0), run(9.0)],
        [("OVERLAP", 0, 1)],
    ),
    "overlap with a run that was started late": (
        [run(0.0, 5.0), run(1.0, 2.0, late=True)],
        [("OVERLAP", 0, 1)],
    ),
    "overlap that begins with a late run": (
        [run(0.0, 5.0, late=True), run(1.0, 2.0)],
        [("OVERLAP", 0, 1)],
    ),
    "overlap with a run before the last one": (
        [run(0.0, 9.0), run(1.0, 2.0), run(3.0, 4.0)],
        [("OVERLAP", 0, 1), ("OVERLAP", 0, 2)],
    ),
    "entries in another order than their starts": (
        [run(3.0, 4.0), run(0.0, 9.0)],
        [("OVERLAP", 1, 0)],
    ),
    "end at the time of the next start": (
        [run(0.0, 1.0, FAILED, True), run(1.0, 2.0)],
        [],
    ),
    "start after an acknowledged end": (
        [run(0.0, 1.0, DONE, True), run(3.0, 4.0)],
        [("START_AFTER_DONE", 0, 1)],
    ),
    "late start after an acknowledged end": (
        [run(0.0, 1.0, DONE, True), run(3.0, 4.0, late=True)],
        [("START_AFTER_DONE", 0, 1)],
    ),
    "acknowledged end of a run that was started late": (
        [run(0.0, 1.0, DONE, True, late=True), run(3.0, 4.0)],
        [("START_AFTER_DONE", 0, 1)],
    ),
    "start at the time of an acknowledged end": (
        [run(0.0, 1.0, DONE, True), run(1.0, 4.0)],
        [("START_AFTER_DONE", 0, 1)],
    ),
    "start two runs after an acknowledged end": (
        [run(0.0, 1.0, DONE, True), run(1.5, 2.0), run(3.0, 4.0)],
        [("START_AFTER_DONE", 0, 1), ("START_AFTER_DONE", 0, 2)],
    ),
    "end that was never acknowledged": (
        [run(0.0, 1.0, DONE), run(3.0, 4.0)],
        [],
    ),
    "acknowledged end that was not done": (
        [run(0.0, 1.0, FAILED, True), run(3.0, 4.0)],
        [],
    ),
}


@pytest.mark.parametrize(
    ("entries", "expected"), REPEATED.values(), ids=REPEATED
)
def test_repeated_runs(entries, expected):
    ledger = Ledger()
    ledger.entries = entries
    assert pairs(ledger.find_violations(), entries) == expected


@pytest.mark.parametrize("speculative", [False, True])
def test_copies_of_a_speculative_task_may_overlap(speculative):
    ledger = Ledger()
    ledger.entries = [run(0.0, 2.0), run(1.0, 3.0)]
    found = ledger.find_violations(jobs(Step(2, speculative=speculative)))
    assert len(found) == (not speculative)


MEMBERS = {
    "after an acknowledged end of another member": (
        Step(2, gang=True),
        [run(0.0, 1.0, DONE, True), run(0.0, 1.0, index=1), run(3.0, index=1)],
        [("START_AFTER_DONE", 0, 2)],
    ),
    "late, after an acknowledged end of another member": (
        Step(2, gang=True),
        [
            run(0.0, 1.0, DONE, True),
            run(0.0, 1.0, index=1),
            run(3.0, index=1, late=True),
        ],
        [("START_AFTER_DONE", 0, 2)],
    ),
    "named once beside its own acknowledged end": (
        Step(2, gang=True),
        [
            run(0.0, 1.0, DONE, True),
            run(0.0, 1.0, DONE, True, index=1),
            run(3.0, index=1),
        ],
        [("START_AFTER_DONE", 1, 2)],
    ),
    "before that end": (
        Step(2, gang=True),
        [run(0.0, 1.0, DONE, True), run(0.9, index=1)],
        [],
    ),
    "after an end that was never acknowledged": (
        Step(2, gang=True),
        [run(0.0, 1.0, DONE), run(3.0, index=1)],
        [],
    ),
    "another occurrence": (
        Step(2, gang=True),
        [run(0.0, 1.0, DONE, True), run(3.0, index=1, occurrence=1)],
        [],
    ),
    "no gang": (
        Step(2),
        [run(0.0, 1.0, DONE, True), run(3.0, index=1)],
        [],
    ),
}


@pytest.mark.parametrize(
    ("step", "entries", "expected"), MEMBERS.values(), ids=MEMBERS
)
def test_end_of_one_member_stands_for_its_gang(step, entries, expected):
    """Guards against a start of a member whose own end was lost."""
    ledger = Ledger()
    ledger.entries = entries
    assert pairs(ledger.find_violations(jobs(step)), entries) == expected


IN_ORDER = (Step(2), Step(1, after=(0,)))
GANG_FIRST = (Step(2, gang=True), Step(1, after=(0,)))
EARLY = {
    "after all tasks": (
        IN_ORDER,
        [run(0.0, 1.0, DONE), run(0.0, 2.0, DONE, index=1), run(2.0, step=1)],
        [],
    ),
    "before the last task": (
        IN_ORDER,
        [run(0.0, 1.0, DONE), run(0.0, 2.0, DONE, index=1), run(1.9, step=1)],
        [("START_BEFORE_STEP", None, 2)],
    ),
    "late, before the last task": (
        IN_ORDER,
        [run(0.0, 1.0, DONE), run(1.9, step=1, late=True)],
        [("START_BEFORE_STEP", None, 1)],
    ),
    "after a task that failed": (
        IN_ORDER,
        [run(0.0, 1.0, DONE), run(0.0, 1.0, FAILED, index=1), run(2.0, step=1)],
        [("START_BEFORE_STEP", None, 2)],
    ),
    "after the tasks of another occurrence": (
        IN_ORDER,
        [
            run(0.0, 1.0, DONE, occurrence=1),
            run(0.0, 1.0, DONE, index=1, occurrence=1),
            run(2.0, step=1),
        ],
        [("START_BEFORE_STEP", None, 2)],
    ),
    "after a later run of a task was done": (
        IN_ORDER,
        [
            run(0.0, 1.0, DONE),
            run(0.0, 1.0, FAILED, index=1),
            run(1.0, 2.0, DONE, index=1, number=2),
            run(2.5, step=1),
        ],
        [],
    ),
    "after one member of a gang": (
        GANG_FIRST,
        [run(0.0, 1.0, DONE), run(0.0, 1.0, None, index=1), run(2.0, step=1)],
        [],
    ),
    "before any member of a gang": (
        GANG_FIRST,
        [run(0.0, 1.0, DONE), run(0.5, step=1)],
        [("START_BEFORE_STEP", None, 1)],
    ),
}


@pytest.mark.parametrize(
    ("steps", "entries", "expected"), EARLY.values(), ids=EARLY
)
def test_order_of_steps(steps, entries, expected):
    found = find_early_starts(entries, jobs(*steps))
    assert pairs(found, entries) == expected


def failed(started_at, acknowledged=True):
    return run(started_at, started_at + 1.0, FAILED, acknowledged)


ATTEMPTS = {
    "as many as allowed": (Step(1), [failed(0.0), failed(2.0)], []),
    "one more": (
        Step(1),
        [failed(0.0), failed(2.0), run(4.0)],
        [("EXCESS_ATTEMPT", 1, 2)],
    ),
    "one more, started late": (
        Step(1),
        [failed(0.0), failed(2.0), run(4.0, late=True)],
        [("EXCESS_ATTEMPT", 1, 2)],
    ),
    "an end that was never acknowledged": (
        Step(1),
        [failed(0.0), failed(2.0, acknowledged=False), run(4.0)],
        [],
    ),
    "ends that are no attempts": (
        Step(1),
        [failed(0.0), run(2.0, 3.0, LAPSED, True), run(4.0)],
        [],
    ),
    "long-running": (
        Step(1, long_running=True),
        [failed(0.0), failed(2.0), run(4.0)],
        [],
    ),
    "speculative": (
        Step(1, speculative=True),
        [failed(0.0), failed(2.0), run(4.0)],
        [],
    ),
}


@pytest.mark.parametrize(
    ("step", "entries", "expected"), ATTEMPTS.values(), ids=ATTEMPTS
)
def test_number_of_attempts(step, entries, expected):
    found = find_excess_attempts(entries, jobs(step))
    assert pairs(found, entries) == expected


ROOM = {
    "full": ([run(0.0), run(1.0, index=1)], []),
    "over-full": (
        [run(0.0), run(1.0, index=1), run(2.0, index=2)],
        [("OVERFULL_WORKER", None, 2)],
    ),
    "over-full by a late start": (
        [run(0.0), run(1.0, index=1), run(2.0, index=2, late=True)],
        [("OVERFULL_WORKER", None, 2)],
    ),
    "after an end": (
        [run(0.0, 2.0), run(1.0, index=1), run(2.0, index=2)],
        [],
    ),
    "on several workers": (
        [run(0.0), run(1.0, index=1), run(2.0, index=2, worker="w1")],
        [],
    ),
    "on a worker that guards its room": (
        [run(0.0, index=each, worker="w9") for each in range(3)],
        [],
    ),
}


@pytest.mark.parametrize(("entries", "expected"), ROOM.values(), ids=ROOM)
def test_room_on_workers(entries, expected):
    capacities = {"w0": UNIT + UNIT, "w1": UNIT}
    found = find_overfull_workers(entries, jobs(Step(3, UNIT)), capacities)
    assert pairs(found, entries) == expected


def test_scavenging_task_takes_no_processor_time():
    entries = [run(0.0), run(1.0, step=1)]
    steps = (
        Step(1, Resources(1_000, 0, 0)),
        Step(1, Resources(1_000, 0, 0), scavenging=True),
    )
    capacities = {"w0": Resources(1_000, 0, 0)}
    assert find_overfull_workers(entries, jobs(*steps), capacities) == []


AFTER_JOB = {
    "before": ([run(4.9)], []),
    "within the tolerance": ([run(6.0)], []),
    "after it": ([run(6.1)], [("START_AFTER_JOB", None, 0)]),
    "after it, started late": ([run(6.1, late=True)], []),
}


@pytest.mark.parametrize(
    ("entries", "expected"), AFTER_JOB.values(), ids=AFTER_JOB
)
def test_starts_after_the_end_of_the_job(entries, expected):
    found = find_starts_after_job(entries, {JOB: 5.0}, tolerance_s=1.0)
    assert pairs(found, entries) == expected
    assert find_starts_after_job(entries, {}, tolerance_s=1.0) == []


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        (entries, [("START_AFTER_COMPLETION", *rest) for _, *rest in expected])
        for entries, expected in AFTER_JOB.values()
    ],
    ids=AFTER_JOB,
)
def test_starts_after_the_completion_of_the_job(entries, expected):
    found = find_starts_after_completion(entries, {JOB: 5.0}, tolerance_s=1.0)
    assert pairs(found, entries) == expected
    assert find_starts_after_completion(entries, {}, tolerance_s=1.0) == []


def test_start_of_a_job_that_was_rejected():
    entries = [run(1.0, late=True)]
    found = find_starts_of_rejected_jobs(entries, {JOB})
    assert pairs(found, entries) == [("START_OF_REJECTED_JOB", None, 0)]
    assert find_starts_of_rejected_jobs(entries, set()) == []


NOT_DONE = {
    "all done": (
        Step(2),
        [run(0.0, 1.0, DONE), run(0.0, 5.0, DONE, index=1)],
        [],
    ),
    "done later": (Step(1), [run(0.0, 5.1, DONE)], [0]),
    "ended otherwise": (Step(1), [run(0.0, 1.0, LAPSED)], [0]),
    "never started": (Step(2), [run(0.0, 1.0, DONE)], [1]),
    "one member of a gang": (Step(2, gang=True), [run(0.0, 1.0, DONE)], []),
    "no member of a gang": (Step(2, gang=True), [run(0.0, 1.0)], [0, 1]),
}


@pytest.mark.parametrize(
    ("step", "entries", "expected"), NOT_DONE.values(), ids=NOT_DONE
)
def test_tasks_of_a_completed_job_are_done(step, entries, expected):
    found = find_tasks_not_done(entries, jobs(step)[JOB], 5.0)
    assert [each.index for each in found] == expected


def test_each_occurrence_of_a_completed_job_is_done():
    job = msgspec.structs.replace(jobs(Step(1))[JOB], occurrences=2)
    found = find_tasks_not_done([run(0.0, 1.0, DONE)], job, 5.0)
    assert found == [TaskId(JOB, 1, 0, 0)]


CAUSES = {
    "as many failed runs as allowed": (
        Step(1),
        [failed(0.0, acknowledged=False), failed(2.0)],
        True,
    ),
    "runs that ended otherwise": (
        Step(1),
        [failed(0.0), run(2.0, 3.0, LAPSED), run(4.0, 5.0, BROKEN)],
        False,
    ),
    "failed runs of two tasks": (
        Step(2),
        [failed(0.0), run(0.0, 1.0, FAILED, index=1)],
        False,
    ),
    "failed runs of two members of a gang": (
        Step(2, gang=True),
        [failed(0.0), run(2.0, 3.0, FAILED, index=1, number=2)],
        True,
    ),
    "two members that fail in the same run": (
        Step(2, gang=True),
        [failed(0.0), run(0.0, 1.0, FAILED, index=1)],
        False,
    ),
}


@pytest.mark.parametrize(
    ("step", "entries", "expected"), CAUSES.values(), ids=CAUSES
)
def test_cause_of_a_job_that_failed(step, entries, expected):
    assert has_cause_to_fail(entries, jobs(step)[JOB]) is expected


LONELY = {
    "undisturbed": ([run(1.0, 4.0, ALONE)], [("LONELY_MEMBER", None, 0)]),
    "another end": ([run(1.0, 4.0, DONE)], []),
    "after the job was cancelled": ([run(18.0, 21.0, ALONE)], []),
    "during a fault": ([run(8.0, 11.0, ALONE)], []),
    "around a fault": ([run(9.0, 14.0, ALONE)], []),
    "after a fault": (
        [run(13.0, 16.0, ALONE)],
        [("LONELY_MEMBER", None, 0)],
    ),
}


@pytest.mark.parametrize(("entries", "expected"), LONELY.values(), ids=LONELY)
def test_members_of_gangs_that_wait_in_vain(entries, expected):
    faults = [Disturbance(10.0, 12.0)]
    found = find_lonely_members(entries, {JOB: 20.0}, faults)
    assert pairs(found, entries) == expected


def test_violation_is_described_in_a_sentence():
    first = run(1.0, 2.5, DONE, True)
    second = run(4.0, worker="w1", number=2, late=True)
    violation = Violation(ViolationKind.START_AFTER_DONE, second, first)
    assert str(violation) == (
        "00000000000000a1.0.0.0: started after it was done: "
        "run 2 on w1 (4.000 s to now, started late); before: "
        "run 1 on w0 (1.000 s to 2.500 s, done)"
    )
    assert violation.involves_late_order
