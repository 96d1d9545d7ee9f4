"""A steady mix of requests, and how their endings are printed."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable

from pomeloarch_standins.demo_client import Call, Callers, CallResult, Ending
from pomeloarch_standins.demo_scenario import Scenario
from pomeloarch_standins.percentiles import percentile

_LOAD_PER_S = 120.0
_MILLISECONDS = 1000


def mixed_call(scenario: Scenario, number: int) -> Call:
    """Returns the numbered request of a mix of callers and kinds.

    A quarter comes from the small caller, a fifth runs at most once.
    """
    organisation, caller = scenario.large
    if number % 4 == 0:
        organisation, caller = scenario.small
    if number % 5 == 0:
        return Call(scenario.once_path, organisation, caller, True)
    path = scenario.urgent_path if number % 2 else scenario.flood_path
    return Call(path, organisation, caller)


@contextlib.asynccontextmanager
async def steady_load(
    callers: Callers, scenario: Scenario
) -> AsyncIterator[list[CallResult]]:
    """Sends a steady load meanwhile; the list is full at the end."""
    results: list[CallResult] = []
    tasks: list[asyncio.Task[CallResult]] = []
    ended = asyncio.Event()

    async def send_on() -> None:
        number = 0
        while not ended.is_set():
            sending = callers.send(mixed_call(scenario, number))
            tasks.append(asyncio.create_task(sending))
            number += 1
            await asyncio.sleep(1 / _LOAD_PER_S)

    sender = asyncio.create_task(send_on())
    yield results
    ended.set()
    await sender
    results += await asyncio.gather(*tasks)


def count_answered(results: Iterable[CallResult]) -> int:
    """Returns how many requests were answered."""
    return sum(each.ending is Ending.ANSWERED for each in results)


def describe_endings(results: Iterable[CallResult]) -> str:
    """Returns how many requests ended in which way, and why they failed."""
    results = list(results)
    parts = []
    for ending in Ending:
        ended = [each for each in results if each.ending is ending]
        if not ended:
            continue
        reasons = sorted({each.reason[:40] for each in ended if each.reason})
        why = f" ({'; '.join(reasons[:4])})" if reasons else ""
        parts.append(f"{len(ended)} {ending.value}{why}")
    return ", ".join(parts)


def describe_times(results: Iterable[CallResult]) -> str:
    """Returns percentiles of the completion times of answered requests."""
    seconds = [
        each.seconds for each in results if each.ending is Ending.ANSWERED
    ]
    p50 = percentile(seconds, 50) * _MILLISECONDS
    p99 = percentile(seconds, 99) * _MILLISECONDS
    return f"p50 {p50:.0f} ms, p99 {p99:.0f} ms"


def say(line: str) -> None:
    """Prints a line of what happened."""
    print(f"- {line}", flush=True)
