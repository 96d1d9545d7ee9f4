"""An event loop in virtual time, in which sleeping takes no real time.

Sockets work as usual. The clock jumps to the next timer only when no socket has
been ready for a short time.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

# Real time for which no socket may be ready before the clock jumps, in seconds.
_SETTLE_S = 0.002


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the clock instead of waiting for a timer."""

    def __init__(self, settle_s: float) -> None:
        super().__init__()
        self.skipped_s = 0.0
        self._settle_s = settle_s

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None and self._settle_s == 0.0:
            ready = super().select(0)
            if not ready:
                raise RuntimeError("all tasks wait and no timer is set")
            return ready
        if timeout is None or timeout <= 0:
            return super().select(timeout)
        events = super().select(min(timeout, self._settle_s))
        if not events:
            self.skipped_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose `time` starts at 0 and jumps to the next timer.

    Args:
      settle_s: real time to wait for sockets before each jump, in seconds; 0
        for code without sockets.
    """

    def __init__(self, settle_s: float = 0.0) -> None:
        """Creates a loop at time 0."""
        self._time_selector = _VirtualTimeSelector(settle_s)
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the virtual time, in seconds."""
        return self._time_selector.skipped_s


def run_virtual(coroutine: Coroutine[Any, Any, T], sockets: bool = False) -> T:
    """Runs a coroutine to completion in virtual time.

    Args:
      coroutine: the coroutine; its clock is `loop.time`.
      sockets: whether the coroutine uses sockets of this machine.

    >>> async def wait():
    ...     await asyncio.sleep(3600.0)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(wait())
    3600.0
    """
    loop = VirtualLoop(_SETTLE_S if sockets else 0.0)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)
