"""`pomelo status`, `history`, `diff` and `audit`."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from result import Err

from pomeloarch_cli.arguments import non_negative_int, positive_int
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
    make_output,
    open_client,
)
from pomeloarch_cli.sources import read_sources
from pomeloarch_core.objects import (
    ObjectSet,
    by_key,
    check_documents,
    difference,
)

_Formatter = Callable[[Mapping[str, Any]], list[str]]


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the commands to the subparsers."""
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
        "--limit",
        type=positive_int,
        default=20,
        help="how many generations to print (default: %(default)s)",
    )
    parser.add_argument(
        "--upto",
        type=non_negative_int,
        metavar="GENERATION",
        help="the newest generation to print",
    )
    parser.set_defaults(run=_history)


def _add_diff(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands,
        "diff",
        "Print the differences between files or generations.",
    )
    parser.add_argument(
        "paths",
        nargs="*",
        metavar="PATH",
        help="object files to compare with the generation in force, or with "
        "--from",
    )
    parser.add_argument(
        "--from",
        dest="old",
        type=non_negative_int,
        metavar="GENERATION",
        help="the older generation",
    )
    parser.add_argument(
        "--to",
        dest="new",
        type=non_negative_int,
        metavar="GENERATION",
        help="the newer generation",
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
        help="print only entries whose subject starts with this text, such as "
        "service/scorer",
    )
    parser.add_argument(
        "--limit",
        type=positive_int,
        default=20,
        help="how many entries to print (default: %(default)s)",
    )
    parser.set_defaults(run=_audit)


async def _status(args: argparse.Namespace) -> ExitCode:
    return await _fetch_and_print(args, "/v1/status", {}, object_lines)


async def _history(args: argparse.Namespace) -> ExitCode:
    params = {"limit": str(args.limit)}
    if args.upto is not None:
        params["upto"] = str(args.upto)
    return await _fetch_and_print(
        args, "/v1/generations", params, history_lines
    )


async def _audit(args: argparse.Namespace) -> ExitCode:
    params = {"limit": str(args.limit), "subject": args.subject}
    return await _fetch_and_print(args, "/v1/audit", params, audit_lines)


async def _diff(args: argparse.Namespace) -> ExitCode:
    out = make_output(args)
    if args.paths and args.new is None:
        return await _diff_files(args, out)
    if args.paths or args.old is None or args.new is None:
        return out.print_usage_error(
            "diff: give PATH..., or both --from and --to"
        )
    return await _fetch_and_print(
        args,
        f"/v1/generations/{args.old}/diff/{args.new}",
        {},
        lambda body: diff_lines(body["entries"]),
    )


async def _diff_files(args: argparse.Namespace, out: Output) -> ExitCode:
    sources = read_sources(args.paths)
    if isinstance(sources, Err):
        return out.print_usage_error("; ".join(sources.err_value))
    checked = check_documents(sources.ok_value)
    if isinstance(checked, Err):
        findings = checked.err_value
        out.print_result(finding_lines(findings), {"findings": findings})
        return ExitCode.REFUSED
    async with open_client(args) as client:
        old_objects = await _fetch_objects(client, out, args.old)
    if isinstance(old_objects, ExitCode):
        return old_objects
    entries = _diff_entries(old_objects, checked.ok_value.objects)
    out.print_result(diff_lines(entries), {"entries": entries})
    return ExitCode.OK


async def _fetch_objects(
    client: NodeClient, out: Output, generation: int | None
) -> ObjectSet | ExitCode:
    """Reads the objects of a generation; None for the one in force.

    Returns:
      The objects, or the exit code of the error that was printed.
    """
    if generation is None:
        answer = await client.get("/v1/generations", {"limit": "1"})
        if isinstance(answer, Err):
            return out.print_no_answer(answer.err_value)
        if not answer.ok_value.ok:
            return out.print_refusal(answer.ok_value)
        generation = answer.ok_value.field("head", 0)
    answer = await client.get(f"/v1/generations/{generation}")
    if isinstance(answer, Err):
        return out.print_no_answer(answer.err_value)
    if not answer.ok_value.ok:
        return out.print_refusal(answer.ok_value)
    return msgspec.convert(answer.ok_value.field("objects", {}), ObjectSet)


def _diff_entries(old: ObjectSet, new: ObjectSet) -> list[dict[str, Any]]:
    before, after = by_key(old), by_key(new)
    return [
        {
            "object": str(key),
            "before": msgspec.to_builtins(before.get(key)),
            "after": msgspec.to_builtins(after.get(key)),
        }
        for key in sorted(difference(old, new).keys())
    ]


async def _fetch_and_print(
    args: argparse.Namespace,
    path: str,
    params: Mapping[str, str],
    formatter: _Formatter,
) -> ExitCode:
    """Reads a resource from a node and prints it."""
    out = make_output(args)
    async with open_client(args) as client:
        answer = await client.get(path, params)
    if isinstance(answer, Err):
        return out.print_no_answer(answer.err_value)
    reply = answer.ok_value
    if not reply.ok:
        return out.print_refusal(reply)
    out.print_result(formatter(reply.body), reply.body)
    return ExitCode.OK
