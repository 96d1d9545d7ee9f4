"""`pomelo publish` and `pomelo rollback`."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import socket
import time
import uuid
from typing import Any

from result import Err

from pomeloarch_cli.arguments import non_negative_int, object_name, seconds
from pomeloarch_cli.client import NodeClient
from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import (
    ZoneProgress,
    finding_lines,
    progress_line,
    published_lines,
    zone_progress,
)
from pomeloarch_cli.output import Output
from pomeloarch_cli.session import (
    add_command,
    make_output,
    node_options,
    open_client,
    output_options,
)
from pomeloarch_cli.sources import read_sources
from pomeloarch_core.ids import Generation
from pomeloarch_core.objects import SourceText, check_documents, parse_documents

_POLL_INTERVAL_S = 0.1


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the commands to the subparsers."""
    parents = [_publication_options(), node_options(), output_options()]
    publish = add_command(
        commands,
        "publish",
        "Check object files and put them in force. The files together are the "
        "complete set: an object that is in force but in no file is removed. "
        "The set becomes one new generation. The command prints how many nodes "
        "of each availability zone have it in force.",
        parents,
    )
    publish.add_argument(
        "paths",
        nargs="*",
        metavar="PATH",
        help="a TOML file, or a directory, as in `pomelo check`",
    )
    publish.add_argument(
        "--edit",
        action="store_true",
        help="change only the objects in the files, and keep all others",
    )
    publish.add_argument(
        "--remove",
        action="append",
        type=object_name,
        metavar="KIND/NAME",
        help="with --edit: an object to remove; can be repeated",
    )
    publish.set_defaults(run=_publish)
    rollback = add_command(
        commands,
        "rollback",
        "Publish the objects of an earlier generation again. They become a "
        "new generation; generation numbers never decrease.",
        parents,
    )
    rollback.add_argument(
        "generation",
        type=non_negative_int,
        help="the generation whose objects to publish",
    )
    rollback.set_defaults(run=_rollback)


def _publication_options() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        "--why", required=True, help="the reason, for the audit trail"
    )
    parser.add_argument(
        "--who",
        help="the operator, for the audit trail (default: the login name)",
    )
    parser.add_argument(
        "--base",
        type=non_negative_int,
        metavar="GENERATION",
        help="the generation that the edit started from: later edits of other "
        "objects are kept, and one of the same object is a conflict (default: "
        "the generation in force, so that the complete set is replaced)",
    )
    parser.add_argument(
        "--publication-id",
        metavar="ID",
        help="the id of an earlier attempt whose outcome is not known",
    )
    parser.add_argument(
        "--wait-s",
        type=seconds,
        default=10.0,
        metavar="SECONDS",
        help="how long to wait until every known node has the generation in "
        "force (default: %(default)s)",
    )
    return parser


async def _publish(args: argparse.Namespace) -> ExitCode:
    out = make_output(args)
    if args.remove and not args.edit:
        return out.print_usage_error("publish: --remove goes with --edit")
    if not args.paths and not args.remove:
        return out.print_usage_error(
            "publish: give PATH..., or --edit with --remove"
        )
    sources = read_sources(args.paths)
    if isinstance(sources, Err):
        return out.print_usage_error("; ".join(sources.err_value))
    # The rules between edited objects and the rest are checked by the node.
    parse = parse_documents if args.edit else check_documents
    checked = parse(sources.ok_value)
    if isinstance(checked, Err):
        findings = checked.err_value
        out.print_result(finding_lines(findings), {"findings": findings})
        return ExitCode.REFUSED
    body = _publication_body(args, documents=_documents(sources.ok_value))
    if args.edit:
        body["removed"] = args.remove or []
    return await _send_publication(args, out, body)


async def _rollback(args: argparse.Namespace) -> ExitCode:
    body = _publication_body(args, rollback_to=args.generation)
    return await _send_publication(args, make_output(args), body)


def _documents(sources: list[SourceText]) -> list[dict[str, str]]:
    return [
        {"path": source.path, "text": source.content.decode("utf-8")}
        for source in sources
    ]


def _publication_body(
    args: argparse.Namespace, **content: Any
) -> dict[str, Any]:
    return {
        "publication": args.publication_id or uuid.uuid4().hex,
        "who": args.who or _login_name(),
        "why": args.why,
        "origin": socket.gethostname(),
        "base": args.base,
        **content,
    }


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


async def _send_publication(
    args: argparse.Namespace, out: Output, body: dict[str, Any]
) -> ExitCode:
    async with open_client(args) as client:
        answer = await client.call("POST", "/v1/publications", body=body)
        if isinstance(answer, Err):
            option = f"--publication-id {body['publication']}"
            return out.print_no_answer(answer.err_value, option)
        reply = answer.ok_value
        if not reply.ok:
            return out.print_refusal(reply)
        generation = Generation(reply.field("generation", 0))
        zones = await _wait_until_in_force(client, out, generation, args.wait_s)
    lines = [*published_lines(reply.body), progress_line(zones)]
    out.print_result(lines, {**reply.body, "in_force": zones})
    return ExitCode.OK


async def _wait_until_in_force(
    client: NodeClient, out: Output, generation: Generation, wait_s: float
) -> list[ZoneProgress]:
    """Waits until every known node has a generation, or until the timeout.

    Returns:
      The progress of each zone at the end.
    """
    deadline = time.monotonic() + wait_s
    last_line = ""
    while True:
        zones = await _fetch_zone_progress(client, generation)
        done = bool(zones) and all(
            zone.in_force == zone.nodes for zone in zones
        )
        if done or time.monotonic() >= deadline:
            return zones
        line = progress_line(zones)
        if line != last_line:
            out.print_progress(line)
            last_line = line
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _fetch_zone_progress(
    client: NodeClient, generation: Generation
) -> list[ZoneProgress]:
    answer = await client.get("/v1/status")
    if isinstance(answer, Err):
        return []
    return zone_progress(answer.ok_value.field("generations", ()), generation)
