"""A steady mix of requests and the printing of its results."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable

from pomeloarch_standins.demo_client import (
    Call,
    CallOutcome,
    CallResult,
    RequestClient,
)
from pomeloarch_standins.demo_scenario import Scenario
from pomeloarch_standins.percentiles import percentile

# Rate of the steady load, in requests per second.
_LOAD_PER_S = 120.0
_MILLISECONDS = 1000


def mixed_call(scenario: Scenario, number: int) -> Call:
    """Returns a new request, whose number selects its caller and its path.

    A quarter comes from the small caller, and a fifth may run at most once.
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
    callers: RequestClient, scenario: Scenario
) -> AsyncIterator[list[CallResult]]:
    """Sends a steady load inside the context.

    Yields:
      A list that holds the results after the end of the context.
    """
    results: list[CallResult] = []
    tasks: list[asyncio.Task[CallResult]] = []
    ended = asyncio.Event()

    async def send_until_end() -> None:
        number = 0
        while not ended.is_set():
            sending = callers.send(mixed_call(scenario, number))
            tasks.append(asyncio.create_task(sending))
            number += 1
            await asyncio.sleep(1 / _LOAD_PER_S)

    sender = asyncio.create_task(send_until_end())
    yield results
    ended.set()
    await sender
    results += await asyncio.gather(*tasks)


def count_answered(results: Iterable[CallResult]) -> int:
    """Returns the number of answered requests."""
    return sum(each.ending is CallOutcome.ANSWERED for each in results)


def describe_outcomes(results: Iterable[CallResult]) -> str:
    """Returns the number of requests by outcome, with reasons of failures."""
    results = list(results)
    parts = []
    for ending in CallOutcome:
        ended = [each for each in results if each.ending is ending]
        if not ended:
            continue
        reasons = sorted({each.reason[:40] for each in ended if each.reason})
        suffix = f" ({'; '.join(reasons[:4])})" if reasons else ""
        parts.append(f"{len(ended)} {ending.value}{suffix}")
    return ", ".join(parts)


def describe_times(results: Iterable[CallResult]) -> str:
    """Returns percentiles of the completion times of answered requests."""
    seconds = [
        each.seconds for each in results if each.ending is CallOutcome.ANSWERED
    ]
    p50 = percentile(seconds, 50) * _MILLISECONDS
    p99 = percentile(seconds, 99) * _MILLISECONDS
    return f"p50 {p50:.0f} ms, p99 {p99:.0f} ms"


def print_event(line: str) -> None:
    """Prints a line about an event of the run."""
    print(f"- {line}", flush=True)
