"""What every command that asks a node shares."""

from __future__ import annotations

import argparse
import contextlib
import os
import textwrap
from collections.abc import AsyncIterator

import aiohttp

from pomeloarch_cli.arguments import node_url, timeout
from pomeloarch_cli.client import NodeClient
from pomeloarch_cli.exit_codes import EXIT_CODES_HELP
from pomeloarch_cli.output import Output

NODES_VARIABLE = "POMELO_NODES"
DEFAULT_NODE = "http://127.0.0.1:8080"
_HELP_WIDTH = 78


def add_command(
    commands: argparse._SubParsersAction,
    name: str,
    text: str,
    parents: list[argparse.ArgumentParser],
) -> argparse.ArgumentParser:
    """Adds a command whose help ends with the exit codes.

    Args:
      commands: where to add it.
      name: what is typed.
      text: what it does; its first sentence is the summary.
      parents: parsers with the options that it shares with others.
    """
    summary = text.partition(". ")[0].rstrip(".")
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=summary[0].lower() + summary[1:],
        description=textwrap.fill(text, _HELP_WIDTH),
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=parents,
    )
    return parser


def output_options() -> argparse.ArgumentParser:
    """Returns the options of every command, as a parent parser."""
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        "--format",
        choices=("text", "json"),
        default="text",
        help="text for people, or one JSON object for programs",
    )
    parser.add_argument(
        "--verbose",
        action="store_true",
        help="log what each node answers to stderr",
    )
    return parser


def node_options() -> argparse.ArgumentParser:
    """Returns the options of commands that ask nodes, as a parent parser."""
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        "--node",
        action="append",
        type=node_url,
        metavar="URL",
        help="a node's URL; may be given more than once, and the next one is "
        f"asked when one does not answer (default: ${NODES_VARIABLE}, with "
        f"commas between, or {DEFAULT_NODE})",
    )
    parser.add_argument(
        "--timeout-s",
        type=timeout,
        default=30.0,
        metavar="SECONDS",
        help="time that one node is given to answer (default: %(default)s)",
    )
    return parser


def output_of(args: argparse.Namespace) -> Output:
    """Returns the output in the format that was asked for."""
    return Output(as_json=args.format == "json")


def nodes_of(args: argparse.Namespace) -> list[str]:
    """Returns the nodes to ask, in their order.

    Raises:
      argparse.ArgumentTypeError: the environment names something else.
    """
    if args.node:
        return list(args.node)
    listed = os.environ.get(NODES_VARIABLE, "").split(",")
    urls = [node_url(url.strip()) for url in listed if url.strip()]
    return urls or [DEFAULT_NODE]


@contextlib.asynccontextmanager
async def connect(args: argparse.Namespace) -> AsyncIterator[NodeClient]:
    """Opens a client for the nodes of a command line."""
    async with aiohttp.ClientSession() as session:
        yield NodeClient(session, nodes_of(args), args.timeout_s)


def add_node_command(
    commands: argparse._SubParsersAction, name: str, text: str
) -> argparse.ArgumentParser:
    """Adds a command that asks a node; see `add_command`."""
    return add_command(commands, name, text, [node_options(), output_options()])
