"""Runs a driver against the demo's processes and reports failed checks."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
from collections.abc import Callable
from typing import Protocol

import aiohttp

from pomeloarch_standins.demo_checks import DemoChecks
from pomeloarch_standins.demo_layout import Layout, add_arguments


class Driver(Protocol):
    """A program that drives the processes and checks the results."""

    checks: DemoChecks

    async def run(self) -> None:
        """Runs all steps in order."""


MakeDriver = Callable[[Layout, pathlib.Path, aiohttp.ClientSession], Driver]


def run_driver(
    make_driver: MakeDriver,
    prog: str,
    description: str,
    argv: list[str] | None = None,
) -> int:
    """Runs a driver with the arguments of the command line.

    Args:
      make_driver: creates the driver.
      prog: the name of the program in its help.
      description: the description of the program in its help.
      argv: the arguments, None for those of the process.

    Returns:
      The exit status: 0, or 1 when a check failed.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    add_arguments(parser)
    parser.add_argument("--work", type=pathlib.Path, required=True)
    args = parser.parse_args(argv)
    layout = Layout.from_name(args.example, args.block)
    failures = asyncio.run(_run(make_driver, layout, args.work))
    for line in failures:
        print(f"FAILED: {line}")
    if not failures:
        print("all checks passed")
    return 1 if failures else 0


async def _run(
    make_driver: MakeDriver, layout: Layout, work: pathlib.Path
) -> list[str]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        driver = make_driver(layout, work, session)
        await driver.run()
        return driver.checks.failures
