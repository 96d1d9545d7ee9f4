"""Hedges idempotent calls: sends another copy when the answer is late."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from pomeloarch_core.response_times import ResponseTimeEstimator

_Answer = TypeVar("_Answer")

CopyCheck = Callable[[], Awaitable[bool]]


async def _always_send() -> bool:
    return True


async def first_answer(
    send: Callable[[], Awaitable[_Answer]],
    is_conclusive: Callable[[_Answer], bool],
    estimator: ResponseTimeEstimator,
    clock: Callable[[], float],
    max_copies: int,
    should_send_copy: CopyCheck = _always_send,
    max_hold_s: float = 0.0,
) -> _Answer:
    """Sends copies of a call and returns the first conclusive answer.

    Another copy is sent, while the earlier ones are pending, when no answer
    arrives within the estimated time; that time doubles with each wait.
    `max_copies` and the estimator's budget limit the copies. A copy is sent
    only while there is no answer: one that fails is not replaced.

    Args:
      send: sends one copy and waits for its answer, with a time-out.
      is_conclusive: returns whether an answer ends the call.
      estimator: the estimator of response times, which is updated with the
        time that this answer takes.
      clock: returns the present time in seconds, monotonic.
      max_copies: the maximum number of copies, the first one included.
      should_send_copy: called before each further copy; returns whether to
        send it.
      max_hold_s: how long the peer may delay its answer to the first copy, in
        seconds. If it may, the estimate of response times is not updated.

    Returns:
      The first conclusive answer, or the last answer if none is conclusive.
    """
    pending = {asyncio.ensure_future(send()): clock()}
    timeout_s = estimator.timeout_s()
    hold_s = max_hold_s
    remaining_copies = max_copies - 1
    try:
        while True:
            done, _ = await asyncio.wait(
                pending,
                timeout=hold_s + timeout_s if remaining_copies else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                timeout_s, hold_s = 2 * timeout_s, 0.0
                if estimator.try_acquire_copy() and await should_send_copy():
                    pending[asyncio.ensure_future(send())] = clock()
                    remaining_copies -= 1
            for call in done:
                sent_at = pending.pop(call)
                took_s = clock() - sent_at
                answer = call.result()
                if is_conclusive(answer):
                    has_spurious_copy = any(
                        at > sent_at for at in pending.values()
                    )
                    if not has_spurious_copy:
                        estimator.replenish(
                            repeated=remaining_copies < max_copies - 1
                        )
                    if not max_hold_s:
                        _update_estimator(estimator, took_s, has_spurious_copy)
                    return answer
            if done and not pending:
                return answer
    finally:
        for call in pending:
            call.cancel()


def _update_estimator(
    estimator: ResponseTimeEstimator, took_s: float, has_spurious_copy: bool
) -> None:
    """Updates the estimator with the time that an answer took, in seconds."""
    if has_spurious_copy:
        estimator.observe_spurious_copy(took_s)
    else:
        estimator.observe(took_s)
