"""Tests of `pomelo story --runs`: what orders the runs of a task."""

import json

import msgspec
import pytest

from pomeloarch_cli.main import main
from pomeloarch_cli.story_command import parse_events
from pomeloarch_cli.task_runs import UnorderedReason, trace_tasks
from pomeloarch_standins.batch_fuzz.drawing import draw_plan
from pomeloarch_standins.batch_fuzz.faults import KINDS
from pomeloarch_standins.batch_fuzz.playing import play

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
FIRST, SECOND = 4097, 8193


def line(time, event, node="a", task=TASK, run=FIRST, **fields):
    return {
        "time": time,
        "node": node,
        "event": event,
        "task": task,
        "run": run,
        **fields,
    }


def started(time, run=FIRST, **fields):
    where = {"term": 1, "tasks": 1, "workers": ["i-1"], "incarnations": [7]}
    return line(time, "group started", run=run, **(where | fields))


def running(time, run=FIRST, unanswered=0):
    return line(time, "group running", run=run, unanswered=unanswered)


def done(time, run=FIRST):
    return line(time, "group done", run=run, unanswered=0)


def released(time, run=FIRST, evidence="end_reported", **fields):
    return line(
        time,
        "task released",
        run=run,
        worker="i-1",
        evidence=evidence,
        evidence_age_s=0.02,
        evidence_incarnation=7,
        **fields,
    )


def unaccounted(time, run=FIRST, evidence="end_reported"):
    return released(time, run, evidence) | {"event": "unaccounted run released"}


def refused(time, unanswered):
    return line(
        time,
        "start refused",
        outcome="no_room",
        settled=not unanswered,
        unanswered=unanswered,
    )


def term_begins(time, term, node="b"):
    return {
        "time": time,
        "node": node,
        "event": "scheduler term begins",
        "term": term,
    }


def adopted(time, term=2, node="b"):
    return line(
        time,
        "run adopted",
        node=node,
        term=term,
        worker="i-1",
        incarnation=7,
    )


def doubts_cleared(time, groups=(TASK,), released_groups=None, node="b"):
    return {
        "time": time,
        "node": node,
        "event": "doubts cleared",
        "jobs": [JOB],
        "groups": list(groups),
        "groups_released": released_groups or len(groups),
        "lapsed": ["i-1"],
    }


def sighted(time, incarnation, how="", worker="i-1"):
    """Returns a report of the first run that a leader didn't account for."""
    event = "former run ended" if how else "unaccounted run stopped"
    fields = {"how": how} if how else {}
    return line(time, event, worker=worker, incarnation=incarnation, **fields)


AGAIN = started(9.0, SECOND, term=2, workers=["i-2"])
ORDERED = {
    "an end that was seen": [running(1.1), released(3.0)],
    "a lease that has run out": [
        running(1.1),
        released(3.0, evidence="lease_lapsed"),
    ],
    "a run that no group accounted for": [unaccounted(8.0)],
    "another incarnation that has neither the run nor its end": (
        [running(1.1), released(3.0, evidence="restarted", start_answered=True)]
    ),
    "a start that was refused": (
        [released(3.0, evidence="start_refused", start_answered=False)]
    ),
    "a later leader that heard from all workers or waited": [
        term_begins(5.0, 2),
        doubts_cleared(7.0),
    ],
    "a later leader that released more groups than it names": [
        term_begins(5.0, 2),
        doubts_cleared(7.0, [f"{JOB}.0.0.9"], released_groups=80),
    ],
    "a later leader that took the run over and saw its end": [
        term_begins(5.0, 2),
        adopted(6.0),
        doubts_cleared(7.0),
        released(8.0) | {"node": "b"},
    ],
}


@pytest.mark.parametrize("between", ORDERED.values(), ids=ORDERED.keys())
def test_runs_that_evidence_orders_have_no_finding(between):
    (story,) = trace_tasks([AGAIN, *between, started(1.0)], TASK)
    assert [each.run for each in story.runs] == [FIRST, SECOND]
    assert story.runs[0].free_at is not None
    assert story.findings == []


UNORDERED = {
    "nothing between them": ([], "no_evidence", None),
    "a stop without an end": (
        [line(5.0, "group stopped", reason="preempted by x")],
        "no_evidence",
        None,
    ),
    "evidence of another task": (
        [released(3.0, task=f"{JOB}.0.0.1")],
        "no_evidence",
        None,
    ),
    "evidence of another run": ([released(9.5, SECOND)], "no_evidence", None),
    "evidence after the second start": ([released(9.5)], "not_free", 0.5),
    "success after the second start": ([done(10.0)], "not_free", 1.0),
    "success before the second start": (
        [term_begins(5.0, 2, node="a"), done(8.5)],
        "done_before",
        0.5,
    ),
    "success seen in a former term": (
        [term_begins(5.0, 2), done(8.5)],
        "done_in_earlier_term",
        0.5,
    ),
    "success seen in the term of the first start": (
        [done(8.5)],
        "done_in_earlier_term",
        0.5,
    ),
    "a copy without an answer": (
        [running(1.4, unanswered=1), released(3.0)],
        "unanswered",
        None,
    ),
    "a refused copy and one without an answer": (
        [refused(1.4, 1), released(3.0, unanswered=1)],
        "unanswered",
        None,
    ),
    "a start that was not answered before a stop was": (
        [released(3.0, evidence="not_reported", start_answered=False)],
        "unanswered",
        None,
    ),
    "a worker that has neither the run nor its end": (
        [
            running(1.1),
            released(3.0, evidence="not_reported", start_answered=True),
        ],
        "end_lost",
        None,
    ),
    "doubts cleared about other groups": (
        [term_begins(5.0, 2), doubts_cleared(7.0, [f"{JOB}.0.0.9"])],
        "no_evidence",
        None,
    ),
    "doubts cleared by the leader that took the run over": (
        [term_begins(5.0, 2), adopted(6.0), doubts_cleared(7.0)],
        "no_evidence",
        None,
    ),
    "doubts cleared by the leader that started the run": (
        [term_begins(0.5, 1, node="a"), doubts_cleared(7.0, node="a")],
        "no_evidence",
        None,
    ),
}


@pytest.mark.parametrize(
    ("between", "reason", "by_s"), UNORDERED.values(), ids=UNORDERED.keys()
)
def test_runs_that_no_evidence_orders_are_found(between, reason, by_s):
    (story,) = trace_tasks([started(1.0), *between, AGAIN], TASK)
    (finding,) = [f for f in story.findings if f.run == FIRST]
    assert (finding.reason.value, finding.by_s) == (reason, by_s)
    assert finding.next_run == SECOND


def evidence(kind):
    return [running(1.1), released(3.0, evidence=kind)]


SIGHTINGS = {
    "running after its end": (evidence("end_reported"), (8.0, 7), 5.0),
    "running after its lease": (evidence("lease_lapsed"), (8.0, 7), 5.0),
    "running after it was missing": (evidence("not_reported"), (8.0, 7), 5.0),
    "running before it was free": (evidence("end_reported"), (2.0, 7), None),
    "ended after its lease": (
        evidence("lease_lapsed"),
        (8.0, 7, "lapsed"),
        None,
    ),
    "its end told to a later leader": (
        evidence("end_reported"),
        (8.0, 7, "stopped"),
        None,
    ),
    "ended after it was missing": (
        evidence("not_reported"),
        (8.0, 7, "lapsed"),
        5.0,
    ),
    "ended after a refusal": (
        evidence("start_refused"),
        (8.0, 7, "done"),
        5.0,
    ),
    "ended in another incarnation": (
        evidence("lease_lapsed"),
        (8.0, 8, "done"),
        5.0,
    ),
    "running in another incarnation": (
        evidence("worker_gone"),
        (8.0, 8),
        5.0,
    ),
    "a member of a gang that has succeeded": ([done(3.0)], (3.1, 7), None),
    "running after a success, in another incarnation": (
        [done(3.0)],
        (8.0, 8),
        5.0,
    ),
    "running after a success, in an incarnation that isn't logged": (
        [done(3.0)],
        (8.0, None),
        None,
    ),
    "running in the incarnation of its adoption": (
        [adopted(2.0), done(3.0)],
        (8.0, 7),
        None,
    ),
}


@pytest.mark.parametrize(
    ("before", "seen", "by_s"), SIGHTINGS.values(), ids=SIGHTINGS.keys()
)
def test_run_that_is_seen_after_it_was_taken_for_gone_is_found(
    before, seen, by_s
):
    events = [started(1.0), *before, sighted(*seen)]
    (story,) = trace_tasks(events, TASK)
    found = [(f.reason.value, f.run, f.by_s) for f in story.findings]
    assert found == ([] if by_s is None else [("seen_again", FIRST, by_s)])


def test_run_that_is_seen_again_names_the_last_start_before():
    events = [started(1.0), released(3.0), started(4.0, SECOND)]
    events += [sighted(5.0, 8), released(6.0, SECOND), started(7.0, 9000)]
    (story,) = trace_tasks(events, TASK)
    (finding,) = story.findings
    assert (finding.run, finding.next_run) == (FIRST, SECOND)


def test_run_with_a_lower_number_than_an_earlier_one_is_found():
    events = [started(1.0, SECOND), released(2.0, SECOND), started(3.0)]
    (story,) = trace_tasks(events, TASK)
    (finding,) = story.findings
    assert (finding.reason.value, finding.run) == ("lower_number", SECOND)


def test_overlap_of_runs_that_are_not_neighbours_is_found():
    events = [
        started(1.0),
        started(2.0, FIRST + 1),
        released(3.0, FIRST + 1),
        started(4.0, FIRST + 2),
        released(5.0),
    ]
    (story,) = trace_tasks(events, TASK)
    pairs = [(each.run, each.next_run) for each in story.findings]
    assert pairs == [(FIRST, FIRST + 1), (FIRST, FIRST + 2)]


@pytest.mark.parametrize(
    ("index", "runs"), [(0, 1), (2, 1), (3, 0)], ids=["first", "last", "no"]
)
def test_members_of_a_gang_share_the_lines_of_their_group(index, runs):
    task = f"{JOB}.0.0.{index}"
    events = [started(1.0, tasks=3), running(1.1), released(2.0, task=task)]
    found = trace_tasks(events[: 2 if not runs else 3], task)
    assert sum(len(each.runs) for each in found) == runs
    for story in found:
        assert story.runs[0].answered_at == 1.1
        assert story.runs[0].free_at == 2.0


@pytest.mark.parametrize(
    ("subject_id", "tasks"),
    [
        (JOB, [f"{JOB}.0.0.{index}" for index in (0, 2, 10)]),
        (f"{JOB}.0.0.10", [f"{JOB}.0.0.10"]),
        (f"{JOB}.0.0.1", []),
        ("0" * 16, []),
    ],
)
def test_all_tasks_of_a_job_are_found_in_order(subject_id, tasks):
    events = [started(1.0, task=f"{JOB}.0.0.{index}") for index in (10, 0, 2)]
    assert [each.task for each in trace_tasks(events, subject_id)] == tasks


@pytest.mark.parametrize(
    ("events", "code", "words"),
    [
        (
            [started(1.0), running(1.1), released(3.0), AGAIN],
            0,
            [
                "1.000 started by a in term 1 on i-1 (7), answered after "
                "0.100 s, copies without an answer: 0",
                "3.000 free: end_reported of i-1 (7), 0.020 s old, seen by a",
                "no line shows that it is over",
                "1 tasks, 0 findings",
            ],
        ),
        (
            [started(1.0), AGAIN, released(9.5) | {"left_out": 4}],
            1,
            [
                f"! run {SECOND} began 0.500 s before run {FIRST} was free",
                "1 tasks, 1 findings",
                "4 lines of these kinds were omitted",
            ],
        ),
        (
            [
                started(1.0),
                term_begins(5.0, 2),
                doubts_cleared(7.0),
                AGAIN,
            ],
            0,
            ["7.000 free: doubts_cleared, leases ended on i-1, seen by b"],
        ),
        ([], 1, ["0 tasks, 0 findings"]),
    ],
)
def test_command_prints_runs_and_findings(
    tmp_path, capsys, events, code, words
):
    path = tmp_path / "log"
    path.write_text("\n".join([*map(json.dumps, events), "oops"]))
    assert main(["story", TASK, str(path), "--runs"]) == code
    out = capsys.readouterr().out
    for each in [*words, "1 lines could not be read"]:
        assert each in out


def test_command_prints_runs_as_json(tmp_path, capsys):
    path = tmp_path / "log"
    events = [started(1.0), AGAIN, released(9.5) | {"left_out": 4}]
    path.write_text("\n".join([*map(json.dumps, events), "oops"]))
    main(["story", TASK, str(path), "--runs", "--format", "json"])
    found = json.loads(capsys.readouterr().out)
    assert (found["left_out"], found["unreadable"]) == (4, 1)
    (task,) = found["tasks"]
    assert [each["run"] for each in task["runs"]] == [FIRST, SECOND]
    assert task["runs"][0]["releases"][0]["evidence"] == "end_reported"
    assert task["findings"] == [
        {"reason": "not_free", "run": FIRST, "next_run": SECOND, "by_s": 0.5}
    ]


# With few jobs, there are few runs to order. With some of the others, a leader
# may end before the success that it saw is durable, which is rightly a doubt.
LEFT_OUT = {
    "doubtful-callers",
    "few-jobs",
    "kept-start",
    "lasting-jobs",
    "late-writes",
    "long-runs",
    "many-occurrences",
    "deaf-worker",
    "divide",
    "hand-over",
    "return",
    "stop-apart",
    "store-part",
}


@pytest.mark.parametrize("seed", [1, 2])
def test_log_of_a_random_plan_orders_all_runs(seed):
    """Guards against decisions about runs that leave no line.

    Workers don't restart under their id, so only unanswered copies are left.
    """
    restarts = {"restart", "cut-restart", "deaf-restart"}
    kinds = sorted(set(KINDS) - restarts - LEFT_OUT)
    plan = draw_plan(seed, kinds)
    plan = msgspec.structs.replace(plan, jobs=plan.jobs[:30])
    log = play(plan).log.decode()
    events, unreadable = parse_events(log.splitlines())
    assert unreadable == 0
    stories = [
        story for job in plan.jobs for story in trace_tasks(events, job.job_id)
    ]
    assert len(stories) > 30
    reasons = {each.reason for story in stories for each in story.findings}
    assert reasons <= {UnorderedReason.UNANSWERED}
