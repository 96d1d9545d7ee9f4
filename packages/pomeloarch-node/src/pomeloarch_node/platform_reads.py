"""Combines concurrent reads of several parts of a node into one call."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Hashable
from typing import Any, Protocol, TypeVar

from result import Err, Ok, Result

from pomeloarch_node.platform import PlatformError, Row

T = TypeVar("T")
Keys = tuple[tuple[str, str], ...]

# Limit on the keys of one call; a single read may have more.
_MAX_KEYS = 200


class SharedCalls:
    """Lets concurrent equal calls share one answer.

    A caller may get the answer to a request that was sent shortly before its
    own call, but never an answer that had already arrived.
    """

    def __init__(self) -> None:
        """Starts without running calls."""
        self._calls: dict[Hashable, asyncio.Task[Any]] = {}

    async def call(
        self, key: Hashable, make_call: Callable[[], Awaitable[T]]
    ) -> T:
        """Makes a call, or waits for an equal one that is running.

        Args:
          key: identifies equal calls.
          make_call: makes the call.
        """
        task = self._calls.get(key)
        if task is None:
            task = asyncio.ensure_future(make_call())
            self._calls[key] = task
            task.add_done_callback(lambda _: self._calls.pop(key, None))
        # The cancellation of one caller must not cancel the call of the others.
        result: T = await asyncio.shield(task)
        return result


class BatchCall(Protocol):
    """Makes one call for many rows."""

    def __call__(
        self, keys: Keys, role: str, /
    ) -> Awaitable[Result[tuple[Row, ...], PlatformError]]:
        """Reads rows; the call is counted for a role."""


class ReadBatcher:
    """Batches concurrent reads into one call.

    Args:
      read: makes the call.
    """

    def __init__(self, read: BatchCall) -> None:
        """Creates a batcher without waiting reads."""
        self._read = read
        self._waiting: list[
            tuple[Keys, asyncio.Future[Result[tuple[Row, ...], PlatformError]]]
        ] = []
        self._read_tasks: set[asyncio.Task[None]] = set()

    async def read(
        self, keys: Keys, role: str
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of keys.

        Args:
          keys: table and key of each row.
          role: the call is counted for it if this read is the first of a batch.
        """
        future: asyncio.Future[Result[tuple[Row, ...], PlatformError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((keys, future))
        if len(self._waiting) == 1:
            task = asyncio.create_task(self._read_waiting(role))
            self._read_tasks.add(task)
            task.add_done_callback(self._read_tasks.discard)
        return await future

    async def _read_waiting(self, role: str) -> None:
        await asyncio.sleep(0)
        waiting, self._waiting = self._waiting, []
        while waiting:
            batch, waiting = _split_batch(waiting)
            wanted = tuple(
                dict.fromkeys(key for keys, _ in batch for key in keys)
            )
            answer = await self._read(wanted, role)
            for keys, future in batch:
                if not future.done():
                    future.set_result(_select_rows(answer, wanted, keys))


def _split_batch(
    waiting: list[tuple[Keys, Any]],
) -> tuple[list[tuple[Keys, Any]], list[tuple[Keys, Any]]]:
    """Splits off the first reads that fit into one call, at least one."""
    count = 0
    for index, (keys, _) in enumerate(waiting):
        count += len(keys)
        if index and count > _MAX_KEYS:
            return waiting[:index], waiting[index:]
    return waiting, []


def _select_rows(
    answer: Result[tuple[Row, ...], PlatformError], wanted: Keys, keys: Keys
) -> Result[tuple[Row, ...], PlatformError]:
    if isinstance(answer, Err):
        return answer
    rows = dict(zip(wanted, answer.ok_value, strict=True))
    return Ok(tuple(rows[key] for key in keys))
