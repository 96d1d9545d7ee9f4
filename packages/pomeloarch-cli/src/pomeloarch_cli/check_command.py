"""`pomelo check`: checks object files without a node."""

from __future__ import annotations

import argparse

from result import Err

from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import finding_lines
from pomeloarch_cli.session import add_command, make_output, output_options
from pomeloarch_cli.sources import read_sources
from pomeloarch_core.objects import check_documents


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the command to the subparsers."""
    parser = add_command(
        commands,
        "check",
        "Check object files and print every finding. The files together must "
        "be the complete set of objects. Each finding is printed on one line "
        "as `path:line: kind/name: message`. No node is contacted.",
        [output_options()],
    )
    parser.add_argument(
        "paths",
        nargs="+",
        metavar="PATH",
        help="a TOML file, or a directory that is searched for *.toml files",
    )
    parser.set_defaults(run=_check)


async def _check(args: argparse.Namespace) -> ExitCode:
    out = make_output(args)
    sources = read_sources(args.paths)
    if isinstance(sources, Err):
        return out.print_usage_error("; ".join(sources.err_value))
    checked = check_documents(sources.ok_value)
    findings = checked.err_value if isinstance(checked, Err) else []
    out.print_result(finding_lines(findings), {"findings": findings})
    return ExitCode.REFUSED if findings else ExitCode.OK
