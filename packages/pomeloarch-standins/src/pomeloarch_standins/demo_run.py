"""Runs a driver against the demo's processes and reports broken promises."""

from __future__ import annotations

import argparse
import asyncio
import pathlib
from collections.abc import Callable
from typing import Protocol

import aiohttp

from pomeloarch_standins.demo_layout import Layout, add_arguments
from pomeloarch_standins.demo_promises import Promises


class Driver(Protocol):
    """A program that drives the processes; it notes broken promises."""

    promises: Promises

    async def run(self) -> None:
        """Does everything in order."""


MakeDriver = Callable[[Layout, pathlib.Path, aiohttp.ClientSession], Driver]


def run_driver(
    make_driver: MakeDriver,
    prog: str,
    description: str,
    argv: list[str] | None = None,
) -> int:
    """Runs a driver as the command line says.

    Args:
      make_driver: builds the driver.
      prog: its name in the help.
      description: what it does, for the help.
      argv: the arguments; those of the process when None.

    Returns:
      0, or 1 when a promise was broken.
    """
    parser = argparse.ArgumentParser(prog=prog, description=description)
    add_arguments(parser)
    parser.add_argument("--work", type=pathlib.Path, required=True)
    args = parser.parse_args(argv)
    layout = Layout.from_name(args.example, args.block)
    broken = asyncio.run(_run(make_driver, layout, args.work))
    for line in broken:
        print(f"BROKEN: {line}")
    if not broken:
        print("all promises kept")
    return 1 if broken else 0


async def _run(
    make_driver: MakeDriver, layout: Layout, work: pathlib.Path
) -> list[str]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        driver = make_driver(layout, work, session)
        await driver.run()
        return driver.promises.broken
