"""`pomelo check`: all findings on files of objects, without a node."""

from __future__ import annotations

import argparse

from result import Err

from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import finding_lines
from pomeloarch_cli.session import add_command, output_of, output_options
from pomeloarch_cli.sources import read_sources
from pomeloarch_core.objects import check_documents


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the command to a parser."""
    parser = add_command(
        commands,
        "check",
        "Print every finding on files of objects. The files together are the "
        "whole set. Findings are printed one a line as `path:line: kind/name: "
        "message`. No node is asked.",
        [output_options()],
    )
    parser.add_argument(
        "paths",
        nargs="+",
        metavar="PATH",
        help="a TOML file, or a directory whose *.toml files are read",
    )
    parser.set_defaults(run=_check)


async def _check(args: argparse.Namespace) -> ExitCode:
    out = output_of(args)
    sources = read_sources(args.paths)
    if isinstance(sources, Err):
        return out.usage("; ".join(sources.err_value))
    checked = check_documents(sources.ok_value)
    findings = checked.err_value if isinstance(checked, Err) else []
    out.result(finding_lines(findings), {"findings": findings})
    return ExitCode.REFUSED if findings else ExitCode.OK
