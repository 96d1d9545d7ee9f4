"""`pomelod`: the command that runs a node."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys

from absl import logging

from pomeloarch_node.lifecycle import ExitCode
from pomeloarch_node.logs import LogFormat, log_event, set_up_logs
from pomeloarch_node.node import run_node
from pomeloarch_node.settings import load_settings

_EPILOG = """\
exit codes:
  0  the planned stop was completed, or --check-config found nothing
  1  the settings file has errors; each is printed on a line
  2  the command line is invalid
  3  stopped immediately by a second signal; work in progress was aborted

signals:
  SIGTERM, SIGINT  begin a planned stop: /readyz fails, requests in progress
                   finish, roles are handed over; a second signal ends the
                   process immediately
"""


def build_parser() -> argparse.ArgumentParser:
    """Builds the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="pomelod",
        description="Run one entry host of pomeloarch.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--config",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="the TOML file with this host's addresses and availability zone",
    )
    parser.add_argument(
        "--check-config",
        action="store_true",
        help="print every error in the settings file and exit",
    )
    parser.add_argument(
        "--log-format",
        choices=[each.value for each in LogFormat],
        default=LogFormat.TEXT.value,
        help="plain text, or one JSON object per line (default: text)",
    )
    parser.add_argument(
        "--verbose", action="store_true", help="log at debug level"
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Runs `pomelod` and returns its exit code."""
    args = build_parser().parse_args(argv)
    loaded = load_settings(args.config)
    if loaded.is_err():
        for finding in loaded.unwrap_err():
            print(finding, file=sys.stderr)
        return ExitCode.BAD_SETTINGS
    if args.check_config:
        return ExitCode.OK
    verbosity = logging.DEBUG if args.verbose else logging.INFO
    set_up_logs(LogFormat(args.log_format), verbosity)
    settings = loaded.unwrap()
    log_event(
        "node starts",
        node=settings.node_id,
        availability_zone=settings.availability_zone,
    )
    return asyncio.run(run_node(settings))


if __name__ == "__main__":
    sys.exit(main())
