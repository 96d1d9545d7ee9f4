"""A store whose calls are repeated when their answers are late.

A conditional write takes effect once, however many copies of it arrive. The
copy that arrives second is rejected, and the conflict shows the rows: if they
are as written, the first copy had taken effect. A read does no harm when
repeated.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.batch.ports import (
    FeedStore,
    HistoryGone,
    ReadStrategy,
    TableChanges,
    read_once,
)
from pomeloarch_node.hedging import first_answer
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
    is_definite,
)

# Maximum number of copies of a call. With a third of the answers lost, one call
# in a hundred loses all of its answers.
MAX_COPIES = 4
# Budget for copies of reads that turn out to be unnecessary. Reads don't wait
# for each other in the store as writes do, so that their copies delay nothing.
READ_COPY_BUDGET = 16.0

_Written = Result[tuple[int, ...], Conflict | PlatformError]
_Changes = Result[TableChanges, PlatformError | HistoryGone]
_Value = TypeVar("_Value")


class RepeatingStore:
    """A `FeedStore` that repeats the calls to another one.

    Answer times are measured separately for rows, pages of tables, feeds and
    writes, which take different times to answer.

    Args:
      store: the store that is called.
      clock: returns monotonic time, in seconds.
    """

    def __init__(self, store: FeedStore, clock: Callable[[], float]) -> None:
        """Starts without knowing any answer times."""
        self._store = store
        self._clock = clock
        self._reads = ResponseTimeEstimator(READ_COPY_BUDGET)
        self._pages = ResponseTimeEstimator(READ_COPY_BUDGET)
        self._feeds = ResponseTimeEstimator(READ_COPY_BUDGET)
        self._writes = ResponseTimeEstimator()

    def write_timeout_s(self) -> float:
        """Returns the time after which a write is late, in seconds."""
        return self._writes.timeout_s()

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> _Written:
        """Writes all rows if all checks hold; returns the new versions.

        A write without a condition is sent only once, since a delayed copy of
        it could undo later writes.
        """
        repeated = False
        unknown_outcome: Err[PlatformError] | None = None

        async def prepare_copy() -> bool:
            nonlocal repeated
            repeated = True
            await self._store.reset()
            return True

        async def send() -> _Written:
            nonlocal unknown_outcome
            answer = await self._store.transact(checks, writes)
            if isinstance(answer, Err):
                error = answer.err_value
                if (
                    isinstance(error, PlatformError)
                    and error.failure is PlatformFailure.UNKNOWN
                ):
                    unknown_outcome = Err(error)
            return answer

        answer = await first_answer(
            send,
            is_definite,
            self._writes,
            self._clock,
            MAX_COPIES if checks else 1,
            prepare_copy,
        )
        if not repeated or isinstance(answer, Ok):
            return answer
        settled = _settle_conflict(answer, checks, writes)
        # A copy that was certainly not carried out says nothing about the
        # others.
        return settled if is_definite(settled) else unknown_outcome or settled

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of the keys; absent rows have version 0."""

        async def send() -> Result[tuple[Row, ...], PlatformError]:
            asked_at = self._clock()
            answer = await self._store.read(keys)
            if isinstance(answer, Ok):
                # A slow read shows that the store has become slow, so that a
                # write waits longer before it is sent a second time.
                self._writes.observe_other_kind(self._clock() - asked_at)
            return answer

        return await self._read_repeatedly(send, self._reads)

    async def _read_repeatedly(
        self,
        send: Callable[[], Awaitable[Result[_Value, PlatformError]]],
        times: ResponseTimeEstimator,
    ) -> Result[_Value, PlatformError]:
        return await first_answer(
            send,
            lambda answer: isinstance(answer, Ok),
            times,
            self._clock,
            MAX_COPIES,
            self._reset,
        )

    async def _reset(self) -> bool:
        """Uses new connections, since the present ones may be silent."""
        await self._store.reset()
        return True

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows with keys above `after`, ordered by key."""
        return await self._store.scan(table, prefix, after, limit)

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts."""
        return await self._store.membership()

    async def snapshot(
        self, table: str, ask: ReadStrategy = read_once
    ) -> Result[TableChanges, PlatformError]:
        """Reads a whole table; the read of a page is repeated if it is late."""

        async def read_page(
            send: Callable[[], Awaitable[Result[_Value, PlatformError]]],
        ) -> Result[_Value, PlatformError]:
            return await self._read_repeatedly(lambda: ask(send), self._pages)

        return await self._store.snapshot(table, read_page)

    async def changes(self, table: str, after: int, wait_s: float) -> _Changes:
        """Reads the changes after a version; waits if there are none yet.

        A copy is sent only when the wait is over and therefore does not wait
        again.
        """
        left_s = wait_s

        async def prepare_copy() -> bool:
            nonlocal left_s
            left_s = 0.0
            return await self._reset()

        async def send() -> _Changes:
            held_s, sent_at = left_s, self._clock()
            answer = await self._store.changes(table, after, held_s)
            # The time that an answer with a change was held back is not known.
            if isinstance(answer, Ok) and not (held_s and answer.ok_value.rows):
                took_s = self._clock() - sent_at - held_s
                self._feeds.observe(max(0.0, took_s))
            return answer

        return await first_answer(
            send,
            _is_feed_answer,
            self._feeds,
            self._clock,
            MAX_COPIES,
            prepare_copy,
            max_hold_s=wait_s,
        )

    async def reset(self) -> None:
        """Uses new connections from now on."""
        await self._store.reset()


def _is_feed_answer(answer: _Changes) -> bool:
    """Returns whether an answer to a feed tells the state of the table."""
    return isinstance(answer, Ok) or isinstance(answer.err_value, HistoryGone)


def _settle_conflict(
    answer: Err[Conflict | PlatformError],
    checks: Sequence[Check],
    writes: Sequence[Write],
) -> _Written:
    """Turns a conflict with rows that an earlier copy wrote into a success."""
    conflict = answer.err_value
    if not isinstance(conflict, Conflict):
        return answer
    wanted = {(each.table, each.key): each.value for each in writes}
    before = {(each.table, each.key): each.version for each in checks}
    conflicting = [
        row for row in conflict.rows if (row.table, row.key) in wanted
    ]
    as_written = all(
        row.version != before.get((row.table, row.key))
        and msgspec.json.encode(row.value)
        == msgspec.json.encode(wanted[row.table, row.key])
        for row in conflicting
    )
    if not conflicting or not as_written:
        return answer
    return Ok((max(row.version for row in conflicting),) * len(writes))
