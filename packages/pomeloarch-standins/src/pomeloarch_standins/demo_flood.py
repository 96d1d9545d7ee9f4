"""Floods a service from a separate process, so that other callers stay fast.

It waits for a file named `flood-on` in the demo's folder, sends requests as
fast as its callers get answers until the file `flood-off` exists, and writes
the results to `flood-{index}.json`.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import time

import aiohttp
import msgspec

from pomeloarch_standins.demo_client import (
    Balancer,
    Call,
    CallOutcome,
    CallResult,
    RequestClient,
)
from pomeloarch_standins.demo_layout import Layout, add_arguments
from pomeloarch_standins.demo_scenario import SCENARIOS

ON_FILE = "flood-on"
OFF_FILE = "flood-off"
_CALLERS = 300
_DEADLINE_MS = 4000
_POLL_S = 0.1
# Time after which a process gives up waiting for the start, in seconds.
_START_TIMEOUT_S = 90.0
_PAUSE_AFTER_REFUSAL_S = 0.25


def results_path(work: pathlib.Path, index: int) -> pathlib.Path:
    """Returns the path of a flooding process's results."""
    return work / f"flood-{index}.json"


async def _send_until(
    callers: RequestClient, example: str, stop_file: pathlib.Path
) -> list[CallResult]:
    scenario = SCENARIOS[example]
    results = []
    while not stop_file.exists():
        call = Call(
            scenario.flood_path, *scenario.large, deadline_ms=_DEADLINE_MS
        )
        results.append(await callers.send(call))
        if results[-1].ending is not CallOutcome.ANSWERED:
            await asyncio.sleep(_PAUSE_AFTER_REFUSAL_S)
    return results


async def _flood(args: argparse.Namespace) -> None:
    layout = Layout.from_name(args.example, args.block)
    started_at = time.monotonic()
    while not (args.work / ON_FILE).exists():
        if time.monotonic() - started_at > _START_TIMEOUT_S:
            return
        await asyncio.sleep(_POLL_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        balancer = Balancer(layout.nodes(), session)
        prober = asyncio.create_task(balancer.run())
        callers = RequestClient(balancer, session, layout.example.service)
        stop_file = args.work / OFF_FILE
        batches = await asyncio.gather(
            *(
                _send_until(callers, args.example, stop_file)
                for _ in range(_CALLERS)
            )
        )
        prober.cancel()
    results = [each for batch in batches for each in batch]
    partial = results_path(args.work, args.index).with_suffix(".part")
    partial.write_bytes(msgspec.json.encode(results))
    partial.rename(results_path(args.work, args.index))


def main(argv: list[str] | None = None) -> int:
    """Waits for the start file and floods the service."""
    parser = argparse.ArgumentParser(
        prog="demo_flood", description="Flood the demo's service."
    )
    add_arguments(parser)
    parser.add_argument("--work", type=pathlib.Path, required=True)
    parser.add_argument("--index", type=int, required=True)
    asyncio.run(_flood(parser.parse_args(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
