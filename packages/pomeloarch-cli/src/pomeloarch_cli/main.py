"""Entry point of `pomelo`, the command line for operators and callers."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Sequence

from absl import logging

from pomeloarch_cli import (
    check_command,
    history_commands,
    job_commands,
    publish_commands,
    story_command,
)
from pomeloarch_cli.exit_codes import EXIT_CODES_HELP

_INTERRUPTED_EXIT_CODE = 130


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="pomelo",
        description="Check, publish and explain the objects of pomeloarch, "
        "and submit jobs to it.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(
        title="commands", metavar="COMMAND", required=True
    )
    check_command.add_to(commands)
    publish_commands.add_to(commands)
    history_commands.add_to(commands)
    job_commands.add_to(commands)
    story_command.add_to(commands)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs a command line.

    Args:
      argv: the arguments; None for those of the process.

    Returns:
      The exit code.
    """
    parser = build_parser()
    args = parser.parse_args(argv)
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if args.verbose else logging.WARNING)
    try:
        return int(asyncio.run(args.run(args)))
    except argparse.ArgumentTypeError as exc:
        parser.error(f"environment: {exc}")
    except KeyboardInterrupt:
        print("pomelo: interrupted", file=sys.stderr)
        return _INTERRUPTED_EXIT_CODE


if __name__ == "__main__":
    sys.exit(main())
