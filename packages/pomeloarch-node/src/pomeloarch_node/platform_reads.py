"""Reads of several parts of a node that become one call."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Hashable
from typing import Any, Protocol, TypeVar

from result import Err, Ok, Result

from pomeloarch_node.platform import PlatformError, Row

T = TypeVar("T")
Keys = tuple[tuple[str, str], ...]

_MAX_KEYS = 200


class SharedCalls:
    """Gives equal calls that overlap in time one answer.

    A caller may get an answer that was asked for a little before its own
    call, but not one that had arrived by then.
    """

    def __init__(self) -> None:
        """Starts with no call under way."""
        self._calls: dict[Hashable, asyncio.Task[Any]] = {}

    async def call(self, key: Hashable, make: Callable[[], Awaitable[T]]) -> T:
        """Makes a call, or waits for the equal one that is under way."""
        task = self._calls.get(key)
        if task is None:
            task = asyncio.ensure_future(make())
            self._calls[key] = task
            task.add_done_callback(lambda _: self._calls.pop(key, None))
        # One waiting caller that gives up does not take it from the others.
        result: T = await asyncio.shield(task)
        return result


class BatchCall(Protocol):
    """Reads many rows in one call."""

    def __call__(
        self, keys: Keys, role: str, /
    ) -> Awaitable[Result[tuple[Row, ...], PlatformError]]:
        """Reads the rows of keys, counted for a role."""


class ReadBatcher:
    """Puts reads that are asked for at the same moment into one call.

    Args:
      read: makes the call.
    """

    def __init__(self, read: BatchCall) -> None:
        """Starts with no read waiting."""
        self._read = read
        self._waiting: list[
            tuple[Keys, asyncio.Future[Result[tuple[Row, ...], PlatformError]]]
        ] = []
        self._flushes: set[asyncio.Task[None]] = set()

    async def read(
        self, keys: Keys, role: str
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of keys.

        Args:
          keys: table and key of each row.
          role: counted with the call if it is the batch's first.
        """
        fut: asyncio.Future[Result[tuple[Row, ...], PlatformError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((keys, fut))
        if len(self._waiting) == 1:
            task = asyncio.create_task(self._flush(role))
            self._flushes.add(task)
            task.add_done_callback(self._flushes.discard)
        return await fut

    async def _flush(self, role: str) -> None:
        await asyncio.sleep(0)
        waiting, self._waiting = self._waiting, []
        while waiting:
            batch, waiting = _split(waiting)
            wanted = tuple(
                dict.fromkeys(key for keys, _ in batch for key in keys)
            )
            answer = await self._read(wanted, role)
            for keys, fut in batch:
                if not fut.done():
                    fut.set_result(_part(answer, wanted, keys))


def _split(
    waiting: list[tuple[Keys, Any]],
) -> tuple[list[tuple[Keys, Any]], list[tuple[Keys, Any]]]:
    """Returns the first reads that fit one call, one at least, and the rest."""
    count = 0
    for index, (keys, _) in enumerate(waiting):
        count += len(keys)
        if index and count > _MAX_KEYS:
            return waiting[:index], waiting[index:]
    return waiting, []


def _part(
    answer: Result[tuple[Row, ...], PlatformError], wanted: Keys, keys: Keys
) -> Result[tuple[Row, ...], PlatformError]:
    if isinstance(answer, Err):
        return answer
    rows = dict(zip(wanted, answer.ok_value, strict=True))
    return Ok(tuple(rows[key] for key in keys))
