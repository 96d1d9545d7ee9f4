"""Gates that hold up all calls of a node whose process stands still."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from result import Err, Result

from pomeloarch_node.batch.ports import (
    HistoryGone,
    ReadStrategy,
    TableChanges,
    read_once,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from pomeloarch_standins.batch_store import (
    FEED_SLACK_S,
    TABLE_TIMEOUT_S,
    TIMEOUT_S,
    StoreLink,
)

_Answer = TypeVar("_Answer")

_LOST = PlatformError(PlatformFailure.UNKNOWN, "no answer in time")


class ProcessGate:
    """Lets the calls of one process pass, or holds them up.

    A call that has left the process takes effect even if its caller gives up or
    the process ends. One that waits for the gate leaves when it opens, even if
    its caller has given up by then, and never if the process ends before.
    """

    def __init__(self) -> None:
        """Creates an open gate."""
        self._opened = asyncio.Event()
        self._opened.set()
        self._has_ended = False
        self._calls: set[asyncio.Task[object]] = set()

    @property
    def is_open(self) -> bool:
        """Whether calls and answers pass."""
        return self._opened.is_set()

    def close(self) -> None:
        """Holds up all calls and answers from now on."""
        if not self._has_ended:
            self._opened.clear()

    def open(self) -> None:
        """Lets the calls and answers pass that have been held up."""
        self._opened.set()

    def end(self) -> None:
        """Drops what has been held up, because the process has ended."""
        self._has_ended = True
        self._opened.set()

    async def wait(self) -> None:
        """Waits while the gate is closed."""
        await self._opened.wait()

    async def call(
        self,
        send: Callable[[], Awaitable[_Answer]],
        timeout_s: float,
        lost: _Answer,
    ) -> _Answer:
        """Makes a call when the gate is open.

        Args:
          send: sends the call and waits for its answer.
          timeout_s: time after which the caller gives up, in seconds; checked
            here only for a call or answer that was held up.
          lost: the result when the caller has given up.
        """
        task = asyncio.create_task(self._pass(send, timeout_s, lost))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)
        return await asyncio.shield(task)

    async def _pass(
        self,
        send: Callable[[], Awaitable[_Answer]],
        timeout_s: float,
        lost: _Answer,
    ) -> _Answer:
        loop = asyncio.get_running_loop()
        called_at, was_held_up = loop.time(), not self.is_open
        await self.wait()
        if self._has_ended:
            return lost
        answer = await send()
        was_held_up |= not self.is_open
        await self.wait()
        # The timer of the time-out is due before the answer is read.
        is_too_late = was_held_up and loop.time() - called_at > timeout_s
        return lost if is_too_late else answer


class GatedStore:
    """A node's view of its store link through its gate, a `FeedStore`.

    Args:
      link: the link to the store.
      gate: the node's gate.
    """

    def __init__(self, link: StoreLink, gate: ProcessGate) -> None:
        """Creates a view without state of its own."""
        self._link = link
        self._gate = gate

    async def reset(self) -> None:
        """Does nothing, because there are no connections."""

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        return await self._gate.call(
            lambda: self._link.transact(checks, writes), TIMEOUT_S, Err(_LOST)
        )

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        return await self._gate.call(
            lambda: self._link.read(keys), TIMEOUT_S, Err(_LOST)
        )

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        return await self._gate.call(
            lambda: self._link.scan(table, prefix, after, limit),
            TIMEOUT_S,
            Err(_LOST),
        )

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Returns an empty list of hosts."""
        return await self._gate.call(
            self._link.membership, TIMEOUT_S, Err(_LOST)
        )

    async def snapshot(
        self, table: str, ask: ReadStrategy = read_once
    ) -> Result[TableChanges, PlatformError]:
        """Reads a whole table in one page."""

        async def ask_through_gate(
            send: Callable[[], Awaitable[Result[_Answer, PlatformError]]],
        ) -> Result[_Answer, PlatformError]:
            return await ask(
                lambda: self._gate.call(send, TABLE_TIMEOUT_S, Err(_LOST))
            )

        return await self._link.snapshot(table, ask_through_gate)

    async def changes(
        self, table: str, after: int, wait_s: float
    ) -> Result[TableChanges, PlatformError | HistoryGone]:
        """Reads the changes after a version, waiting for the first one."""
        return await self._gate.call(
            lambda: self._link.changes(table, after, wait_s),
            wait_s + FEED_SLACK_S,
            Err(_LOST),
        )
