"""An event loop whose clock jumps to the next timer instead of waiting.

Tests of tasks and timers run in no time and give the same result each time.
It is for fakes in memory: sockets don't work on it.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

_T = TypeVar("_T")


class _JumpingSelector(selectors.DefaultSelector):
    """Never waits: lets the time pass at once instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that starts at time 0 and never waits."""

    def __init__(self) -> None:
        """Makes a loop at time 0."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._jumping.now


def run(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end in virtual time.

    >>> async def wait():
    ...     await asyncio.sleep(3600.0)
    ...     return asyncio.get_running_loop().time()
    >>> run(wait())
    3600.0
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
