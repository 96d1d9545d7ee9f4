"""`pomelo story`: the log events of a job, a task or a worker."""

from __future__ import annotations

import argparse
import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.output import Output
from pomeloarch_cli.session import add_command, make_output, output_options
from pomeloarch_cli.task_runs import (
    RUN_EVENTS,
    format_task_story,
    trace_tasks,
)

# Fields that are printed at the start of a line, in this order.
_LEADING_FIELDS = ("time", "node", "event")
# Events that concern every job: starts and stops of nodes, changes of the
# scheduler, and loss and return of the connection to a table of the store.
_COMMON_EVENTS = frozenset(
    {
        "node starts",
        "node stopped",
        "planned stop begins",
        "scheduler role won",
        "scheduler role lost",
        "scheduler term begins",
        "table lost",
        "table followed",
    }
)


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the command to the subparsers."""
    parser = add_command(
        commands,
        "story",
        "Print the log events of a job, a task or a worker, sorted by time "
        "across all nodes. Lines that are not log events are counted.",
        [output_options()],
    )
    parser.add_argument(
        "id", metavar="ID", help="the id of a job, a task, or a worker"
    )
    parser.add_argument(
        "paths",
        nargs="*",
        metavar="FILE",
        type=pathlib.Path,
        help="a log file; repeat it for the logs of several nodes (default: "
        "standard input)",
    )
    parser.add_argument(
        "--context",
        action="store_true",
        help="also print starts and stops of nodes, changes of the scheduler "
        "and lost connections to the tables of the store",
    )
    parser.add_argument(
        "--runs",
        action="store_true",
        help="print the runs of a task, or of each task of a job, instead: "
        "where each was started, on which evidence it was taken to be over, "
        "and which runs that evidence doesn't order; exit code 1 if there are "
        "such runs",
    )
    parser.set_defaults(run=_story)


async def _story(args: argparse.Namespace) -> ExitCode:
    out = make_output(args)
    try:
        lines = list(_read_lines(args.paths))
    except OSError as exc:
        return out.print_usage_error(str(exc))
    events, unreadable = parse_events(lines)
    if args.runs:
        return _print_runs(out, events, unreadable, args.id)
    found = select_events(events, args.id, args.context)
    out.print_result(
        [*map(format_event, found), *_summary_lines(found, unreadable)],
        {"events": found, "unreadable": unreadable},
    )
    return ExitCode.OK if found else ExitCode.REFUSED


def _print_runs(
    out: Output, events: list[dict[str, Any]], unreadable: int, subject_id: str
) -> ExitCode:
    stories = trace_tasks(events, subject_id)
    # A line that a node omitted can't be assigned to a task.
    used = [each for each in events if each["event"] in RUN_EVENTS]
    lines = [line for each in stories for line in format_task_story(each)]
    findings = sum(len(each.findings) for each in stories)
    lines.append(f"{len(stories)} tasks, {findings} findings")
    out.print_result(
        [*lines, *_summary_lines(used, unreadable)],
        {
            "tasks": stories,
            "left_out": _count_left_out(used),
            "unreadable": unreadable,
        },
    )
    return ExitCode.OK if stories and not findings else ExitCode.REFUSED


def _read_lines(paths: list[pathlib.Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def parse_events(lines: Iterable[str]) -> tuple[list[dict[str, Any]], int]:
    """Parses log lines; returns the events and the number of other lines.

    Text before the first brace of a line is skipped, because log collectors
    put their own time and host there.
    """
    events: list[dict[str, Any]] = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        try:
            event = msgspec.json.decode(line[line.find("{") :].strip())
        except msgspec.DecodeError:
            unreadable += 1
            continue
        if isinstance(event, dict) and "event" in event and "time" in event:
            events.append(event)
        else:
            unreadable += 1
    return events, unreadable


def select_events(
    events: list[dict[str, Any]], subject_id: str, context: bool
) -> list[dict[str, Any]]:
    """Returns the events that mention an id, sorted by time.

    Args:
      events: all events.
      subject_id: the id of a job, a task or a worker. The ids of a job's
        tasks start with the job's id and a dot, so they match as well.
      context: whether to include the events that concern every job, between
        the times of the first and the last selected line and up to 5 seconds
        before and after.
    """
    found = [
        event
        for event in events
        if any(_mentions(value, subject_id) for value in event.values())
    ]
    if context and found:
        first, last = found[0]["time"], found[-1]["time"]
        found += [
            event
            for event in events
            if event["event"] in _COMMON_EVENTS
            and min(first, last) - 5 <= event["time"] <= max(first, last) + 5
        ]
    return sorted(found, key=lambda event: event["time"])


def _mentions(value: object, subject_id: str) -> bool:
    if isinstance(value, list):
        return any(_mentions(item, subject_id) for item in value)
    if not isinstance(value, str):
        return False
    return value == subject_id or value.startswith(subject_id + ".")


def format_event(event: dict[str, Any]) -> str:
    """Formats an event as one line of text."""
    rest = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in event.items()
        if name not in _LEADING_FIELDS
    )
    node = event.get("node", "-")
    return f"{event['time']:.3f} {node} {event['event']}: {rest}"


def _format_value(value: object) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def _summary_lines(found: list[dict[str, Any]], unreadable: int) -> list[str]:
    lines = []
    left_out = _count_left_out(found)
    if left_out:
        lines.append(f"{left_out} lines of these kinds were omitted by nodes")
    if unreadable:
        lines.append(f"{unreadable} lines could not be read")
    if not found:
        lines.append("no line mentions this id")
    return lines


def _count_left_out(events: list[dict[str, Any]]) -> int:
    return sum(event.get("left_out", 0) for event in events)
