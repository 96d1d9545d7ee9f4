"""Sends a call that does no harm when repeated again if its answer is late."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from pomeloarch_core.response_times import ResponseTimeEstimator

_Answer = TypeVar("_Answer")

Again = Callable[[], Awaitable[bool]]


async def _always() -> bool:
    return True


async def first_answer(
    send: Callable[[], Awaitable[_Answer]],
    settles: Callable[[_Answer], bool],
    times: ResponseTimeEstimator,
    clock: Callable[[], float],
    copies: int,
    again: Again = _always,
    held_s: float = 0.0,
) -> _Answer:
    """Returns the first answer that settles a call, of several copies of it.

    The next copy is sent beside those under way when no answer came in the
    usual time, each time after twice as long, as far as the budget for copies
    goes. A copy that fails is not replaced: only silence is answered with
    another.

    Args:
      send: sends one copy and waits for its answer, with a time-out.
      settles: whether an answer ends the call.
      times: what earlier answers taught; it learns from this one.
      clock: monotonic time, in seconds.
      copies: most copies.
      again: called before each further copy; returns whether to send it.
      held_s: how long the peer may hold back its answer to the first copy, in
        seconds. Where it may, answers teach nothing.

    Returns:
      The answer that settles it, else the one that came last.
    """
    under_way = {asyncio.ensure_future(send()): clock()}
    patience_s = times.timeout_s()
    hold_s = held_s
    left = copies - 1
    try:
        while True:
            done, _ = await asyncio.wait(
                under_way,
                timeout=hold_s + patience_s if left else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                patience_s, hold_s = 2 * patience_s, 0.0
                if times.try_acquire_copy() and await again():
                    under_way[asyncio.ensure_future(send())] = clock()
                    left -= 1
            for call in done:
                sent_at = under_way.pop(call)
                took_s = clock() - sent_at
                answer = call.result()
                if settles(answer):
                    needless = any(at > sent_at for at in under_way.values())
                    if not needless:
                        times.replenish(repeated=left < copies - 1)
                    if not held_s:
                        _learn(times, took_s, needless)
                    return answer
            if done and not under_way:
                return answer
    finally:
        for call in under_way:
            call.cancel()


def _learn(times: ResponseTimeEstimator, took_s: float, needless: bool) -> None:
    """Teaches what one answer took, after a copy that was not needed or not."""
    if needless:
        times.observe_spurious_copy(took_s)
    else:
        times.observe(took_s)
