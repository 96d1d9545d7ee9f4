"""Formats answers of nodes as lines of text."""

from __future__ import annotations

import datetime
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from pomeloarch_core.ids import Generation
from pomeloarch_core.objects import Change, Finding, by_key


class ZoneProgress(msgspec.Struct, frozen=True):
    """The number of nodes of a zone that have a generation in force.

    Attributes:
      availability_zone: the zone.
      nodes: the number of nodes of the zone.
      in_force: the number of them that have the generation in force.
    """

    availability_zone: str
    nodes: int
    in_force: int


def finding_lines(findings: Iterable[Finding]) -> list[str]:
    """Returns one line for each finding."""
    return [str(finding) for finding in findings]


def change_lines(change: Change) -> list[str]:
    """Returns one line for each object that differs.

    >>> change_lines(Change())
    ['no object differs']
    """
    lines = [f"  set {key}" for key in by_key(change.changed)]
    lines += [f"  remove {key}" for key in change.removed]
    return lines or ["no object differs"]


def published_lines(answer: Mapping[str, Any]) -> list[str]:
    """Returns the lines on the result of a publication."""
    changed, removed = answer.get("changed", ()), answer.get("removed", ())
    generation = answer.get("generation")
    if not changed and not removed:
        return [f"no object differs from generation {generation}"]
    headline = f"published generation {generation}"
    if answer.get("repeated"):
        headline += " (by an earlier attempt)"
    lines = [headline]
    lines += [f"  set {key}" for key in changed]
    lines += [f"  remove {key}" for key in removed]
    return lines


def zone_progress(
    nodes: Sequence[Mapping[str, Any]], generation: Generation
) -> list[ZoneProgress]:
    """Counts the nodes of each zone that have a generation in force.

    >>> nodes = [{"availability_zone": "patan", "generation": 3}]
    >>> zone_progress(nodes, Generation(4))[0].in_force
    0
    """
    nodes_by_zone: Counter[str] = Counter()
    in_force_by_zone: Counter[str] = Counter()
    for node in nodes:
        zone = str(node.get("availability_zone"))
        nodes_by_zone[zone] += 1
        in_force_by_zone[zone] += int(node.get("generation", 0) >= generation)
    return [
        ZoneProgress(zone, nodes_by_zone[zone], in_force_by_zone[zone])
        for zone in sorted(nodes_by_zone)
    ]


def progress_line(zones: Sequence[ZoneProgress]) -> str:
    """Returns one line on the zones where a generation is in force.

    >>> progress_line([ZoneProgress("patan", 2, 1)])
    'in force: patan 1 of 2 nodes'
    """
    parts = [
        f"{zone.availability_zone} {zone.in_force} of {zone.nodes} nodes"
        for zone in zones
    ]
    return "in force: " + (", ".join(parts) or "no node is known")


def history_lines(answer: Mapping[str, Any]) -> list[str]:
    """Returns one line for each generation, the newest first."""
    lines = [_history_line(entry) for entry in answer.get("generations", ())]
    return lines or ["nothing has been published yet"]


def _history_line(entry: Mapping[str, Any]) -> str:
    changed, removed = entry.get("changed", ()), entry.get("removed", ())
    line = (
        f"{entry.get('generation')}  {wall_time(entry.get('at'))}  "
        f"{entry.get('who')}  {len(changed)} set, {len(removed)} removed  "
        f"{entry.get('why')}"
    )
    rolled_back_to = entry.get("rolled_back_to")
    return (
        line
        if rolled_back_to is None
        else f"{line} (rolled back to {rolled_back_to})"
    )


def audit_lines(answer: Mapping[str, Any]) -> list[str]:
    """Returns one line for each entry of the audit trail."""
    lines = [_audit_line(entry) for entry in answer.get("entries", ())]
    return lines or ["the audit trail has no such entry"]


def _audit_line(entry: Mapping[str, Any]) -> str:
    generation = entry.get("generation")
    suffix = f"  generation {generation}" if generation is not None else ""
    return (
        f"{wall_time(entry.get('at'))}  {entry.get('subject')}{suffix}  "
        f"by {entry.get('who')} from {entry.get('origin') or '-'}: "
        f"{entry.get('why')}"
    )


def diff_lines(entries: Iterable[Mapping[str, Any]]) -> list[str]:
    """Returns the lines on each object that differs, and on its fields."""
    lines: list[str] = []
    for entry in entries:
        lines += _entry_lines(entry)
    return lines or ["no object differs"]


def _entry_lines(entry: Mapping[str, Any]) -> list[str]:
    name, before, after = entry["object"], entry["before"], entry["after"]
    if before is None:
        return [f"+ {name}", *_field_lines("+", after)]
    if after is None:
        return [f"- {name}"]
    lines = [f"~ {name}"]
    for field in sorted(before.keys() | after.keys()):
        old, new = before.get(field), after.get(field)
        if old != new:
            lines += [
                f"  - {field} = {_json(old)}",
                f"  + {field} = {_json(new)}",
            ]
    return lines


def _field_lines(marker: str, item: Mapping[str, Any]) -> list[str]:
    return [
        f"  {marker} {field} = {_json(value)}"
        for field, value in item.items()
        if field != "name"
    ]


def problem_lines(status: int, body: Any) -> list[str]:
    """Returns the lines on a problem document, or on any other refusal."""
    if not isinstance(body, Mapping):
        return [f"refused with status {status}"]
    lines = [f"{body.get('title', 'refused')} ({body.get('reason', status)})"]
    if body.get("detail"):
        lines.append(str(body["detail"]))
    for finding in body.get("findings", ()):
        place = f"{finding.get('path')}:{finding.get('line')}"
        lines.append(
            f"{place}: {finding.get('subject')}: {finding.get('message')}"
        )
    for conflict in body.get("conflicts", ()):
        lines.append(
            f"  {conflict.get('object')}: changed by {conflict.get('who')} at "
            f"{wall_time(conflict.get('at'))} in generation "
            f"{conflict.get('generation')}: {conflict.get('why')}"
        )
    return lines


def job_lines(body: Mapping[str, Any]) -> list[str]:
    """Returns the line on the state of a job.

    >>> job_lines({"job_id": "patan-1", "state": "queued", "reason": ""})
    ['patan-1: queued']
    """
    line = f"{body.get('job_id')}: {body.get('state')}"
    reason = body.get("reason")
    return [f"{line} ({reason})" if reason else line]


def explain_lines(body: Mapping[str, Any]) -> list[str]:
    """Returns the lines on the state of a job and the reasons for it."""
    lines = job_lines(body) if body.get("state") else []
    lines += [f"  {reason}" for reason in body.get("reasons", ())]
    return lines or ["nothing is known about this job"]


def object_lines(body: Any) -> list[str]:
    """Returns a value as lines of indented JSON."""
    return msgspec.json.format(msgspec.json.encode(body)).decode().splitlines()


def wall_time(seconds: Any) -> str:
    """Formats a wall-clock time as UTC.

    Args:
      seconds: the time, in seconds since the epoch.

    >>> wall_time(0)
    '1970-01-01T00:00:00Z'
    """
    try:
        utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return "-"
    return utc_time.strftime("%Y-%m-%dT%H:%M:%SZ")


def _json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
