"""`pomelo status`, `history`, `diff` and `audit`: what is and what was."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from result import Err

from pomeloarch_cli.arguments import positive_number, whole_number
from pomeloarch_cli.client import NodeClient
from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import (
    audit_lines,
    diff_lines,
    finding_lines,
    history_lines,
    object_lines,
)
from pomeloarch_cli.output import Output
from pomeloarch_cli.session import (
    add_node_command,
    connect,
    output_of,
)
from pomeloarch_cli.sources import read_sources
from pomeloarch_core.objects import (
    ObjectSet,
    by_key,
    check_documents,
    difference,
)

Formatter = Callable[[Mapping[str, Any]], list[str]]


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the commands to a parser."""
    _add_status(commands)
    _add_history(commands)
    _add_diff(commands)
    _add_audit(commands)


def _add_status(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(commands, "status", "Print the status of a node.")
    parser.set_defaults(run=_status)


def _add_history(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands, "history", "Print the newest generations."
    )
    parser.add_argument(
        "--limit", type=positive_number, default=20, help="how many"
    )
    parser.add_argument(
        "--upto",
        type=whole_number,
        metavar="GENERATION",
        help="the newest to print",
    )
    parser.set_defaults(run=_history)


def _add_diff(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands,
        "diff",
        "Print what differs between files or generations.",
    )
    parser.add_argument(
        "paths",
        nargs="*",
        metavar="PATH",
        help="files of objects, compared with the generation in force or with "
        "--from",
    )
    parser.add_argument(
        "--from",
        dest="old",
        type=whole_number,
        metavar="GENERATION",
        help="the older",
    )
    parser.add_argument(
        "--to",
        dest="new",
        type=whole_number,
        metavar="GENERATION",
        help="the newer",
    )
    parser.set_defaults(run=_diff)


def _add_audit(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands,
        "audit",
        "Print who changed what, when, why and from where.",
    )
    parser.add_argument(
        "subject",
        nargs="?",
        default="",
        help="print entries whose subject begins so, such as service/scorer",
    )
    parser.add_argument(
        "--limit", type=positive_number, default=20, help="how many"
    )
    parser.set_defaults(run=_audit)


async def _status(args: argparse.Namespace) -> ExitCode:
    return await _show(args, "/v1/status", {}, object_lines)


async def _history(args: argparse.Namespace) -> ExitCode:
    params = {"limit": str(args.limit)}
    if args.upto is not None:
        params["upto"] = str(args.upto)
    return await _show(args, "/v1/generations", params, history_lines)


async def _audit(args: argparse.Namespace) -> ExitCode:
    params = {"limit": str(args.limit), "subject": args.subject}
    return await _show(args, "/v1/audit", params, audit_lines)


async def _diff(args: argparse.Namespace) -> ExitCode:
    out = output_of(args)
    if args.paths and args.new is None:
        return await _diff_files(args, out)
    if args.paths or args.old is None or args.new is None:
        return out.usage("diff: give PATH..., or both --from and --to")
    return await _show(
        args,
        f"/v1/generations/{args.old}/diff/{args.new}",
        {},
        lambda body: diff_lines(body["entries"]),
    )


async def _diff_files(args: argparse.Namespace, out: Output) -> ExitCode:
    sources = read_sources(args.paths)
    if isinstance(sources, Err):
        return out.usage("; ".join(sources.err_value))
    checked = check_documents(sources.ok_value)
    if isinstance(checked, Err):
        findings = checked.err_value
        out.result(finding_lines(findings), {"findings": findings})
        return ExitCode.REFUSED
    async with connect(args) as client:
        found = await _objects_of(client, out, args.old)
    if isinstance(found, ExitCode):
        return found
    entries = _entries(found, checked.ok_value.objects)
    out.result(diff_lines(entries), {"entries": entries})
    return ExitCode.OK


async def _objects_of(
    client: NodeClient, out: Output, generation: int | None
) -> ObjectSet | ExitCode:
    """Reads the objects of a generation, of the one in force for None."""
    if generation is None:
        answer = await client.get("/v1/generations", {"limit": "1"})
        if isinstance(answer, Err):
            return out.no_answer(answer.err_value)
        if not answer.ok_value.ok:
            return out.refused(answer.ok_value)
        generation = answer.ok_value.field("head", 0)
    answer = await client.get(f"/v1/generations/{generation}")
    if isinstance(answer, Err):
        return out.no_answer(answer.err_value)
    if not answer.ok_value.ok:
        return out.refused(answer.ok_value)
    return msgspec.convert(answer.ok_value.field("objects", {}), ObjectSet)


def _entries(old: ObjectSet, new: ObjectSet) -> list[dict[str, Any]]:
    before, after = by_key(old), by_key(new)
    return [
        {
            "object": str(key),
            "before": msgspec.to_builtins(before.get(key)),
            "after": msgspec.to_builtins(after.get(key)),
        }
        for key in sorted(difference(old, new).keys())
    ]


async def _show(
    args: argparse.Namespace,
    path: str,
    params: Mapping[str, str],
    formatter: Formatter,
) -> ExitCode:
    """Reads something from a node and prints it."""
    out = output_of(args)
    async with connect(args) as client:
        answer = await client.get(path, params)
    if isinstance(answer, Err):
        return out.no_answer(answer.err_value)
    reply = answer.ok_value
    if not reply.ok:
        return out.refused(reply)
    out.result(formatter(reply.body), reply.body)
    return ExitCode.OK
