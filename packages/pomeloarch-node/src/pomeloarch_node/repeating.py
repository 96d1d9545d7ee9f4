"""Sends a call that does no harm when repeated again if its answer is late."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from pomeloarch_core.answer_times import AnswerTimes

_Answer = TypeVar("_Answer")

Again = Callable[[], Awaitable[bool]]


async def _always() -> bool:
    return True


async def first_answer(
    send: Callable[[], Awaitable[_Answer]],
    settles: Callable[[_Answer], bool],
    times: AnswerTimes,
    clock: Callable[[], float],
    copies: int,
    again: Again = _always,
    held_s: float = 0.0,
) -> _Answer:
    """Returns the first answer that settles a call, of several copies of it.

    The next copy is sent beside those under way when no answer came in the
    usual time, each time after twice as long. A copy that fails is not
    replaced: only silence is answered with another.

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
    under_way: dict[asyncio.Future[_Answer], float] = {}
    patience_s = times.patience_s()
    hold_s = held_s
    left = copies
    late = True
    try:
        while True:
            if late and left:
                if left < copies and not await again():
                    left = 0
                else:
                    under_way[asyncio.ensure_future(send())] = clock()
                    left -= 1
            done, _ = await asyncio.wait(
                under_way,
                timeout=hold_s + patience_s if left else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            late = not done
            if late:
                patience_s, hold_s = 2 * patience_s, 0.0
            for call in done:
                took_s = clock() - under_way.pop(call)
                answer = call.result()
                if settles(answer):
                    if not held_s:
                        times.observe(took_s)
                    return answer
            if done and not under_way:
                return answer
    finally:
        for call in under_way:
            call.cancel()
