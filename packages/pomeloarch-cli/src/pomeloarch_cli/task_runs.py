"""The runs of a task, as the logs show them, and what shows that each is over.

A run is followed through all nodes' log events: the order to start it, its
adoption by later leaders, and the evidence on which a leader took it for gone.
Two runs that no evidence orders may have run at once, which is a finding.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Any

import msgspec

Event = dict[str, Any]

# Events from which the runs of tasks are told.
RUN_EVENTS = frozenset(
    {
        "doubts cleared",
        "former run ended",
        "group done",
        "group running",
        "group started",
        "group stopped",
        "run adopted",
        "scheduler term begins",
        "start refused",
        "task released",
        "unaccounted run released",
        "unaccounted run stopped",
    }
)
# Evidence of a leader that has heard from each worker on which a run of an
# earlier leader could be, or has waited until its leases had ended.
_DOUBTS_CLEARED = "doubts_cleared"
_START_REFUSED = "start_refused"
_NOT_REPORTED = "not_reported"
# Evidence of a worker that had neither the run nor an end of it.
_RULES_OUT_AN_END = frozenset({_START_REFUSED, _NOT_REPORTED, "restarted"})


class UnorderedReason(enum.Enum):
    """Why two runs of a task are out of order, or why their order is unknown.

    SEEN_AGAIN: a worker had the earlier run after it was taken for gone, or
      another incarnation than the one ordered had it after its success. The
      later run is the last one that had been started by then, perhaps the same.
    NOT_FREE: the later run was started before the earlier one was free.
    END_LOST: a worker had answered the start of the earlier run, and later the
      same incarnation had neither the run nor its end, which was forgotten
      before it was read. The run may have succeeded.
    NO_EVIDENCE: no line shows that the earlier run was free.
    DONE_BEFORE: the earlier run had succeeded when the later one was started.
    DONE_IN_EARLIER_TERM: the same, but a leader of an earlier term had seen the
      success, and may have ended before it was durable.
    LOWER_NUMBER: the later run has a lower number: a former leader started it.
    UNANSWERED: copies of the order to start the earlier run had no answer when
      it was taken for gone, so they could still be carried out.
    """

    SEEN_AGAIN = "seen_again"
    NOT_FREE = "not_free"
    END_LOST = "end_lost"
    NO_EVIDENCE = "no_evidence"
    DONE_BEFORE = "done_before"
    DONE_IN_EARLIER_TERM = "done_in_earlier_term"
    LOWER_NUMBER = "lower_number"
    UNANSWERED = "unanswered"


class Release(msgspec.Struct, frozen=True):
    """A leader's evidence that a run is on its worker no longer.

    Attributes:
      time: when the leader took the run for gone, in seconds of the wall clock.
      node: the leader.
      evidence: the kind of evidence.
      worker: the worker of which it is evidence; empty when that isn't logged.
      age_s: how old it was at most, in seconds; None when that isn't logged.
      incarnation: the incarnation of the worker that gave it.
      lapsed: workers that the leader didn't hear from before it took the runs
        of earlier leaders for gone, because their leases had ended.
    """

    time: float
    node: str
    evidence: str
    worker: str = ""
    age_s: float | None = None
    incarnation: int | None = None
    lapsed: tuple[str, ...] = ()


class Adoption(msgspec.Struct, frozen=True):
    """A later leader's taking over of a run."""

    time: float
    node: str
    term: int
    worker: str
    incarnation: int


class Sighting(msgspec.Struct, frozen=True):
    """A worker's report of a run that the leader didn't account for.

    Attributes:
      time: when the leader saw it, in seconds of the wall clock.
      node: the leader.
      worker: the worker.
      incarnation: the incarnation that reported it, None when not logged.
      how: how it had ended; empty when it was running.
    """

    time: float
    node: str
    worker: str
    incarnation: int | None
    how: str = ""


class TaskRun(msgspec.Struct):
    """A run of a task.

    Attributes:
      run: its number.
      started_at: when its start was ordered, None when that isn't logged.
      node: the leader that ordered it.
      term: that leader's term.
      workers: the worker, or those of the whole gang when the task's own isn't
        logged.
      incarnations: the incarnations of the workers at the order.
      answered_at: when the starts of all members had been answered, None when
        that isn't logged.
      unanswered: number of copies of the order that had no answer.
      answer_unknown: whether it was taken for gone before any answer.
      end_lost: whether it was gone, without an end, from the incarnation that
        had answered its start.
      outcome: the refusal of the start; empty without one.
      adoptions: later leaders that took it over.
      stopped_at: when it was ordered to stop, None when it wasn't.
      reason: why it was ordered to stop.
      done_at: when its success was seen, None when it wasn't.
      done_term: the term in which it was seen, None when that isn't logged.
      sightings: reports of it when it was not accounted for.
      releases: the evidence of its end, the oldest first.
    """

    run: int
    started_at: float | None = None
    node: str = ""
    term: int | None = None
    workers: tuple[str, ...] = ()
    incarnations: tuple[int, ...] = ()
    answered_at: float | None = None
    unanswered: int = 0
    answer_unknown: bool = False
    end_lost: bool = False
    outcome: str = ""
    adoptions: list[Adoption] = msgspec.field(default_factory=list)
    stopped_at: float | None = None
    reason: str = ""
    done_at: float | None = None
    done_term: int | None = None
    sightings: list[Sighting] = msgspec.field(default_factory=list)
    releases: list[Release] = msgspec.field(default_factory=list)

    @property
    def free_at(self) -> float | None:
        """When it was first taken for gone or done, None when it wasn't."""
        times = [each.time for each in self.releases]
        if self.done_at is not None:
            times.append(self.done_at)
        return min(times, default=None)


class Finding(msgspec.Struct, frozen=True):
    """Two runs of a task that are out of order, or whose order is unknown.

    Attributes:
      reason: why.
      run: the number of the earlier run.
      next_run: the number of the later run.
      by_s: for how long, in seconds: from the later start to the end of the
        earlier run; from the earlier run's success to the later start; from
        the time when a run was taken for gone to that when it was seen again.
    """

    reason: UnorderedReason
    run: int
    next_run: int
    by_s: float | None = None


class TaskStory(msgspec.Struct, frozen=True):
    """The runs of a task, in the order of their starts, and the findings."""

    task: str
    runs: list[TaskRun]
    findings: list[Finding]


def trace_tasks(events: Iterable[Event], subject_id: str) -> list[TaskStory]:
    """Returns the runs of a task, or those of each task of a job.

    Args:
      events: all events, in any order.
      subject_id: the id of a task or a job.
    """
    ordered = sorted(
        (each for each in events if each["event"] in RUN_EVENTS),
        key=lambda event: event["time"],
    )
    job_id = subject_id.partition(".")[0]
    of_job = [each for each in ordered if _is_of_job(each, job_id)]
    names = {subject_id}
    if subject_id == job_id:
        names = {each["task"] for each in of_job if "task" in each}
    stories = [_trace_task(of_job, name) for name in sorted(names, key=_sort)]
    return [each for each in stories if each.runs]


def _is_of_job(event: Event, job_id: str) -> bool:
    task = event.get("task")
    if isinstance(task, str):
        return task.startswith(job_id + ".")
    if event["event"] == "scheduler term begins":
        return True
    return job_id in event.get("jobs", ())


def _sort(name: str) -> list[tuple[int, str]]:
    """Returns a key by which task 10 follows task 9."""
    return [(len(part), part) for part in name.split(".")]


def _trace_task(events: list[Event], task: str) -> TaskStory:
    tracer = _Tracer(task, _group_name(events, task))
    for event in events:
        tracer.add(event)
    runs = sorted(tracer.runs.values(), key=_began_at)
    return TaskStory(task, runs, _find_unordered_runs(runs))


def _group_name(events: list[Event], task: str) -> str:
    """Returns the name of a task's group, which is that of its first task."""
    for event in events:
        if event["event"] == "group started" and _has_task(event, task):
            return str(event["task"])
    return task


def _has_task(started: Event, task: str) -> bool:
    """Returns whether a task is of the group that was started."""
    step, _, index = task.rpartition(".")
    first_step, _, first = started["task"].rpartition(".")
    if step != first_step or not (index.isdecimal() and first.isdecimal()):
        return False
    return 0 <= int(index) - int(first) < started.get("tasks", 1)


class _Tracer:
    """Collects what events say about the runs of one task."""

    def __init__(self, task: str, group: str) -> None:
        self.runs: dict[int, TaskRun] = {}
        self._task = task
        self._group = group
        self._terms: dict[str, int] = {}
        self._handlers = {
            "former run ended": self._on_sighted,
            "group started": self._on_started,
            "group running": self._on_running,
            "group stopped": self._on_stopped,
            "group done": self._on_done,
            "start refused": self._on_refused,
            "run adopted": self._on_adopted,
            "task released": self._on_released,
            "unaccounted run released": self._on_released,
            "unaccounted run stopped": self._on_sighted,
        }

    def add(self, event: Event) -> None:
        kind, number = event["event"], event.get("run")
        if kind == "scheduler term begins":
            self._terms[event.get("node", "")] = event.get("term", 0)
        elif kind == "doubts cleared":
            self._on_doubts_cleared(event)
        elif isinstance(number, int):
            is_of_group = kind.startswith("group ")
            if event.get("task") == (
                self._group if is_of_group else self._task
            ):
                run = self.runs.setdefault(number, TaskRun(number))
                self._handlers[kind](event, run)

    def _on_started(self, event: Event, run: TaskRun) -> None:
        run.started_at = event["time"]
        run.node = event.get("node", "")
        run.term = event.get("term")
        run.workers = tuple(event.get("workers", ()))
        run.incarnations = tuple(event.get("incarnations", ()))

    def _on_running(self, event: Event, run: TaskRun) -> None:
        run.answered_at = event["time"]
        run.unanswered = max(run.unanswered, event.get("unanswered", 0))

    def _on_stopped(self, event: Event, run: TaskRun) -> None:
        run.stopped_at = event["time"]
        run.reason = event.get("reason", "")

    def _on_done(self, event: Event, run: TaskRun) -> None:
        if run.done_at is None:
            run.done_at = event["time"]
            run.done_term = self._terms.get(event.get("node", ""), run.term)
        run.unanswered = max(run.unanswered, event.get("unanswered", 0))

    def _on_refused(self, event: Event, run: TaskRun) -> None:
        run.outcome = event.get("outcome", "")
        run.unanswered = max(run.unanswered, event.get("unanswered", 0))

    def _on_adopted(self, event: Event, run: TaskRun) -> None:
        run.adoptions.append(
            Adoption(
                event["time"],
                event.get("node", ""),
                event.get("term", 0),
                event.get("worker", ""),
                event.get("incarnation", 0),
            )
        )

    def _on_sighted(self, event: Event, run: TaskRun) -> None:
        run.sightings.append(
            Sighting(
                event["time"],
                event.get("node", ""),
                event.get("worker", ""),
                event.get("incarnation"),
                event.get("how", ""),
            )
        )

    def _on_released(self, event: Event, run: TaskRun) -> None:
        run.unanswered = max(run.unanswered, event.get("unanswered", 0))
        refused = event.get("evidence") == _START_REFUSED
        if not event.get("start_answered", True) and not refused:
            run.answer_unknown = True
        if (
            event.get("start_answered", False)
            and event.get("evidence") == _NOT_REPORTED
        ):
            run.end_lost = True
        run.releases.append(
            Release(
                event["time"],
                event.get("node", ""),
                event.get("evidence", ""),
                event.get("worker", ""),
                event.get("evidence_age_s"),
                event.get("evidence_incarnation"),
            )
        )

    def _on_doubts_cleared(self, event: Event) -> None:
        """Releases runs of earlier terms that this leader didn't take over."""
        groups = event.get("groups", ())
        names_all = len(groups) >= event.get("groups_released", 1)
        if names_all and self._group not in groups:
            return
        node = event.get("node", "")
        term = self._terms.get(node, 0)
        for run in self.runs.values():
            adopted = any(each.term == term for each in run.adoptions)
            earlier = run.term is None or run.term < term
            if run.free_at is None and earlier and not adopted:
                run.releases.append(
                    Release(
                        event["time"],
                        node,
                        _DOUBTS_CLEARED,
                        lapsed=tuple(event.get("lapsed", ())),
                    )
                )


def _began_at(run: TaskRun) -> float:
    """Returns the earliest time at which a run is known to have existed."""
    times = [run.started_at, run.free_at, run.stopped_at]
    times += [each.time for each in run.adoptions]
    return min((each for each in times if each is not None), default=0.0)


def format_task_story(story: TaskStory) -> list[str]:
    """Formats the runs of a task and the findings about them as text."""
    lines = [f"task {story.task}"]
    for run in story.runs:
        lines += _run_lines(run)
    return lines + [f"  ! {_format_finding(each)}" for each in story.findings]


def _run_lines(run: TaskRun) -> list[str]:
    lines = [f"  run {run.run}: {_format_start(run)}"]
    lines += [
        f"    {each.time:.3f} adopted by {each.node} in term {each.term} on "
        f"{each.worker} ({each.incarnation})"
        for each in run.adoptions
    ]
    if run.stopped_at is not None:
        lines.append(f"    {run.stopped_at:.3f} stopped: {run.reason}")
    if run.done_at is not None:
        lines.append(f"    {run.done_at:.3f} done")
    lines += [f"    {_format_release(each)}" for each in run.releases]
    lines += [
        f"    {each.time:.3f} {each.how or 'running'} on {each.worker} "
        f"({each.incarnation}), not accounted for, seen by {each.node}"
        for each in run.sightings
    ]
    if run.free_at is None:
        lines.append("    no line shows that it is over")
    return lines


def _format_start(run: TaskRun) -> str:
    if run.started_at is None:
        return "no line shows its start"
    incarnations = run.incarnations or ("?",) * len(run.workers)
    places = ", ".join(
        f"{worker} ({incarnation})"
        for worker, incarnation in zip(run.workers, incarnations, strict=False)
    )
    answer = "no answer to all starts logged"
    if run.outcome:
        answer = f"answered with {run.outcome}"
    elif run.answered_at is not None:
        answer = f"answered after {run.answered_at - run.started_at:.3f} s"
    return (
        f"{run.started_at:.3f} started by {run.node} in term {run.term} on "
        f"{places}, {answer}, copies without an answer: {run.unanswered}"
    )


def _format_release(release: Release) -> str:
    text = f"{release.time:.3f} free: {release.evidence}"
    if release.worker:
        text += f" of {release.worker} ({release.incarnation})"
    if release.age_s is not None:
        text += f", {release.age_s:.3f} s old"
    if release.lapsed:
        text += f", leases ended on {', '.join(release.lapsed)}"
    return f"{text}, seen by {release.node}"


def _format_finding(finding: Finding) -> str:
    by_s = "" if finding.by_s is None else f"{finding.by_s:.3f} s "
    run, later = finding.run, finding.next_run
    match finding.reason:
        case UnorderedReason.SEEN_AGAIN:
            return (
                f"run {run} was seen again {by_s}after it was taken for gone "
                f"or done; run {later} had been started last"
            )
        case UnorderedReason.NOT_FREE:
            return f"run {later} began {by_s}before run {run} was free"
        case UnorderedReason.DONE_IN_EARLIER_TERM:
            return (
                f"run {later} began {by_s}after the leader of an earlier term "
                f"had seen that run {run} was done"
            )
        case UnorderedReason.END_LOST:
            return (
                f"run {later} began and the end of run {run}, whose start had "
                "been answered, was not seen"
            )
        case UnorderedReason.NO_EVIDENCE:
            return (
                f"run {later} began and no line shows that run {run} was over"
            )
        case UnorderedReason.DONE_BEFORE:
            return f"run {later} began {by_s}after run {run} was done"
        case UnorderedReason.LOWER_NUMBER:
            return (
                f"run {later} began after run {run}, which has a higher number"
            )
        case UnorderedReason.UNANSWERED:
            return (
                f"run {later} began though copies of the order to start run "
                f"{run} had no answer"
            )


def _find_unordered_runs(runs: list[TaskRun]) -> list[Finding]:
    found = []
    for number, run in enumerate(runs):
        seen_again = _first_seen_again(run)
        if seen_again is not None:
            found.append(_finding_seen_again(run, seen_again, runs))
        for later in runs[number + 1 :]:
            finding = _compare_runs(run, later)
            if finding is not None:
                found.append(finding)
        if number + 1 < len(runs) and (run.unanswered or run.answer_unknown):
            following = runs[number + 1].run
            found.append(
                Finding(UnorderedReason.UNANSWERED, run.run, following)
            )
    return found


def _first_seen_again(run: TaskRun) -> Sighting | None:
    """Returns the first report of a run that had been taken for gone.

    The incarnation that was ordered to start the run may still report it for a
    moment after its gang has succeeded, and its end to each new leader.
    """
    incarnations = dict(zip(run.workers, run.incarnations, strict=False))
    incarnations |= {each.worker: each.incarnation for each in run.adoptions}
    for seen in run.sightings:
        expected = incarnations.get(seen.worker, seen.incarnation)
        evidence = {
            each.evidence for each in run.releases if each.time < seen.time
        }
        was_done = run.done_at is not None and run.done_at < seen.time
        if seen.incarnation not in (None, expected):
            again = was_done or bool(evidence)
        elif seen.how:
            again = not evidence.isdisjoint(_RULES_OUT_AN_END)
        else:
            again = bool(evidence)
        if again:
            return seen
    return None


def _finding_seen_again(
    run: TaskRun, seen: Sighting, runs: list[TaskRun]
) -> Finding:
    last = max(
        (each for each in runs if _began_at(each) <= seen.time), key=_began_at
    )
    assert run.free_at is not None
    by_s = round(seen.time - run.free_at, 3)
    return Finding(UnorderedReason.SEEN_AGAIN, run.run, last.run, by_s)


def _compare_runs(run: TaskRun, later: TaskRun) -> Finding | None:
    """Returns the gravest finding on a run and one that began after it."""
    free_at, began_at = run.free_at, _began_at(later)
    numbers = run.run, later.run
    if run.done_at is not None and run.done_at <= began_at:
        by_s = round(began_at - run.done_at, 3)
        terms = run.done_term, later.term
        earlier = None not in terms and run.done_term != later.term
        reason = (
            UnorderedReason.DONE_IN_EARLIER_TERM
            if earlier
            else UnorderedReason.DONE_BEFORE
        )
        return Finding(reason, *numbers, by_s)
    if free_at is None:
        return Finding(UnorderedReason.NO_EVIDENCE, *numbers)
    if free_at > began_at:
        return Finding(
            UnorderedReason.NOT_FREE, *numbers, round(free_at - began_at, 3)
        )
    if later.run < run.run:
        return Finding(UnorderedReason.LOWER_NUMBER, *numbers)
    if run.end_lost:
        return Finding(UnorderedReason.END_LOST, *numbers)
    return None
