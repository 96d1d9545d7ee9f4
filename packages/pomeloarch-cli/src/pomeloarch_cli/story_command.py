"""`pomelo story`: what happened to a job or a worker, from nodes' logs."""

from __future__ import annotations

import argparse
import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.session import add_command, output_of, output_options

# Fields that are printed in front of a line, in this order.
_LEADING = ("time", "node", "event")
# Events that touch every job: who leads, and what the nodes could reach.
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
    """Adds the command to a parser."""
    parser = add_command(
        commands,
        "story",
        "Print what nodes' logs say of a job, a task or a worker, in order of "
        "time over all nodes. Lines that can't be read are counted.",
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
        help="log files; standard input when none is given",
    )
    parser.add_argument(
        "--context",
        action="store_true",
        help="also print starts, stops, lost dependencies and who led",
    )
    parser.set_defaults(run=_story)


async def _story(args: argparse.Namespace) -> ExitCode:
    out = output_of(args)
    try:
        lines = list(_read(args.paths))
    except OSError as exc:
        return out.usage(str(exc))
    events, unreadable = parse(lines)
    found = select(events, args.id, args.context)
    out.result(
        [*map(format_event, found), *_summary(found, unreadable)],
        {"events": found, "unreadable": unreadable},
    )
    return ExitCode.OK if found else ExitCode.REFUSED


def _read(paths: list[pathlib.Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            yield from lines


def parse(lines: Iterable[str]) -> tuple[list[dict[str, Any]], int]:
    """Returns the events of log lines and how many could not be read.

    What stands before the first brace of a line is skipped, since collectors
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


def select(
    events: list[dict[str, Any]], wanted: str, context: bool
) -> list[dict[str, Any]]:
    """Returns the events that touch an id, in order of time.

    Args:
      events: all events.
      wanted: a job's id, which its tasks' names begin with, or a worker's.
      context: whether events that touch everything are returned as well.
    """
    found = [
        each
        for each in events
        if any(_touches(value, wanted) for value in each.values())
    ]
    if context and found:
        first, last = found[0]["time"], found[-1]["time"]
        found += [
            each
            for each in events
            if each["event"] in _COMMON_EVENTS
            and min(first, last) - 5 <= each["time"] <= max(first, last) + 5
        ]
    return sorted(found, key=lambda each: each["time"])


def _touches(value: object, wanted: str) -> bool:
    if isinstance(value, list):
        return any(_touches(each, wanted) for each in value)
    if not isinstance(value, str):
        return False
    return value == wanted or value.startswith(wanted + ".")


def format_event(event: dict[str, Any]) -> str:
    """Returns an event as a line for people."""
    rest = " ".join(
        f"{name}={_text(value)}"
        for name, value in event.items()
        if name not in _LEADING
    )
    node = event.get("node", "-")
    return f"{event['time']:.3f} {node} {event['event']}: {rest}"


def _text(value: object) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def _summary(found: list[dict[str, Any]], unreadable: int) -> list[str]:
    lines = []
    left_out = sum(each.get("left_out", 0) for each in found)
    if left_out:
        lines.append(f"{left_out} lines of these kinds were left out by nodes")
    if unreadable:
        lines.append(f"{unreadable} lines could not be read")
    if not found:
        lines.append("no line names this id")
    return lines
