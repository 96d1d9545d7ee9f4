"""Options and helpers that the commands share."""

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
    description: str,
    parents: list[argparse.ArgumentParser],
) -> argparse.ArgumentParser:
    """Adds a command; its help ends with the exit codes.

    Args:
      commands: the subparsers to add it to.
      name: the name of the command.
      description: the help text; its first sentence is the summary.
      parents: parsers with the options that it shares with other commands.
    """
    summary = description.partition(". ")[0].rstrip(".")
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=summary[0].lower() + summary[1:],
        description=textwrap.fill(description, _HELP_WIDTH),
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
        help="output format: text, or one JSON object for programs (default: "
        "%(default)s)",
    )
    parser.add_argument(
        "--verbose",
        action="store_true",
        help="log failed calls to nodes to stderr",
    )
    return parser


def node_options() -> argparse.ArgumentParser:
    """Returns the options of commands that call nodes, as a parent parser."""
    parser = argparse.ArgumentParser(add_help=False)
    parser.add_argument(
        "--node",
        action="append",
        type=node_url,
        metavar="URL",
        help="the URL of a node; repeat it to name further nodes, which are "
        "called when the ones before do not answer (default: the URLs in "
        f"${NODES_VARIABLE}, separated by commas, or {DEFAULT_NODE})",
    )
    parser.add_argument(
        "--timeout-s",
        type=timeout,
        default=30.0,
        metavar="SECONDS",
        help="how long to wait for the answer of one node (default: "
        "%(default)s)",
    )
    return parser


def make_output(args: argparse.Namespace) -> Output:
    """Returns the output in the format that the arguments select."""
    return Output(as_json=args.format == "json")


def node_urls(args: argparse.Namespace) -> list[str]:
    """Returns the URLs of the nodes to call, in order.

    Raises:
      argparse.ArgumentTypeError: the environment variable holds a text that
        is not the URL of a node.
    """
    if args.node:
        return list(args.node)
    listed = os.environ.get(NODES_VARIABLE, "").split(",")
    urls = [node_url(url.strip()) for url in listed if url.strip()]
    return urls or [DEFAULT_NODE]


@contextlib.asynccontextmanager
async def open_client(args: argparse.Namespace) -> AsyncIterator[NodeClient]:
    """Opens a client for the nodes that the arguments select."""
    async with aiohttp.ClientSession() as session:
        yield NodeClient(session, node_urls(args), args.timeout_s)


def add_node_command(
    commands: argparse._SubParsersAction, name: str, description: str
) -> argparse.ArgumentParser:
    """Adds a command that calls a node; see `add_command`."""
    return add_command(
        commands, name, description, [node_options(), output_options()]
    )
