"""The store, asked again when an answer is late.

A conditional write takes effect once, however many copies of it arrive. The
copy that comes second is refused and shows the rows: if they are as written,
the first had taken effect. A read does no harm when repeated.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.batch.ports import (
    Asking,
    FeedStore,
    HistoryGone,
    TableChanges,
    ask_once,
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

# With a third of the answers lost, one call in a hundred loses all.
COPIES = 4
# Copies of reads in vain. Reads don't wait for each other in the store as
# writes do, so that their copies delay nothing.
MOST_READ_COPIES = 16.0

_Written = Result[tuple[int, ...], Conflict | PlatformError]
_Changes = Result[TableChanges, PlatformError | HistoryGone]
_Found = TypeVar("_Found")


class RepeatingStore:
    """A `FeedStore` whose calls are repeated.

    Rows, pages of tables and feeds take different times to answer.

    Args:
      store: the store.
      clock: monotonic time, in seconds.
    """

    def __init__(self, store: FeedStore, clock: Callable[[], float]) -> None:
        """Starts without any answer."""
        self._store = store
        self._clock = clock
        self._reads = ResponseTimeEstimator(MOST_READ_COPIES)
        self._pages = ResponseTimeEstimator(MOST_READ_COPIES)
        self._feeds = ResponseTimeEstimator(MOST_READ_COPIES)
        self._writes = ResponseTimeEstimator()

    def patience_s(self) -> float:
        """Returns how long a write is usually waited for, in seconds."""
        return self._writes.timeout_s()

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> _Written:
        """Writes all rows if all checks hold; returns the new versions.

        A write without a condition is sent once: a copy of it that is held up
        could undo what was written since.
        """
        repeated = False
        doubt: Err[PlatformError] | None = None

        async def again() -> bool:
            nonlocal repeated
            repeated = True
            await self._store.reset()
            return True

        async def send() -> _Written:
            nonlocal doubt
            answer = await self._store.transact(checks, writes)
            if isinstance(answer, Err):
                error = answer.err_value
                if (
                    isinstance(error, PlatformError)
                    and error.failure is PlatformFailure.UNKNOWN
                ):
                    doubt = Err(error)
            return answer

        answer = await first_answer(
            send,
            is_definite,
            self._writes,
            self._clock,
            COPIES if checks else 1,
            again,
        )
        if not repeated or isinstance(answer, Ok):
            return answer
        settled = _own_effect(answer, checks, writes)
        # A copy that was certainly not carried out says nothing of the others.
        return settled if is_definite(settled) else doubt or settled

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""

        async def send() -> Result[tuple[Row, ...], PlatformError]:
            asked_at = self._clock()
            answer = await self._store.read(keys)
            if isinstance(answer, Ok):
                # A store that has become slow is not written to twice.
                self._writes.observe_other_kind(self._clock() - asked_at)
            return answer

        return await self._ask(send, self._reads)

    async def _ask(
        self,
        send: Callable[[], Awaitable[Result[_Found, PlatformError]]],
        times: ResponseTimeEstimator,
    ) -> Result[_Found, PlatformError]:
        return await first_answer(
            send,
            lambda answer: isinstance(answer, Ok),
            times,
            self._clock,
            COPIES,
            self._reset,
        )

    async def _reset(self) -> bool:
        """Uses new connections: a silent one may be why there is no answer."""
        await self._store.reset()
        return True

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        return await self._store.scan(table, prefix, after, limit)

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts."""
        return await self._store.membership()

    async def snapshot(
        self, table: str, ask: Asking = ask_once
    ) -> Result[TableChanges, PlatformError]:
        """Reads a whole table; a page without an answer is read again."""

        async def ask_again(
            send: Callable[[], Awaitable[Result[_Found, PlatformError]]],
        ) -> Result[_Found, PlatformError]:
            return await self._ask(lambda: ask(send), self._pages)

        return await self._store.snapshot(table, ask_again)

    async def changes(self, table: str, after: int, wait_s: float) -> _Changes:
        """Reads what changed after a version, waiting for a first change.

        Once the wait is over, a further copy has nothing to wait for.
        """
        left_s = wait_s

        async def again() -> bool:
            nonlocal left_s
            left_s = 0.0
            return await self._reset()

        async def send() -> _Changes:
            held_s, sent_at = left_s, self._clock()
            answer = await self._store.changes(table, after, held_s)
            # How long an answer with a change was held is not known.
            if isinstance(answer, Ok) and not (held_s and answer.ok_value.rows):
                took_s = self._clock() - sent_at - held_s
                self._feeds.observe(max(0.0, took_s))
            return answer

        return await first_answer(
            send,
            _is_told,
            self._feeds,
            self._clock,
            COPIES,
            again,
            max_hold_s=wait_s,
        )

    async def reset(self) -> None:
        """Uses new connections from now on."""
        await self._store.reset()


def _is_told(answer: _Changes) -> bool:
    """Whether an answer to a feed says what became of the table."""
    return isinstance(answer, Ok) or isinstance(answer.err_value, HistoryGone)


def _own_effect(
    answer: Err[Conflict | PlatformError],
    checks: Sequence[Check],
    writes: Sequence[Write],
) -> _Written:
    """Returns a conflict with what an earlier copy wrote as its success."""
    conflict = answer.err_value
    if not isinstance(conflict, Conflict):
        return answer
    wanted = {(each.table, each.key): each.value for each in writes}
    before = {(each.table, each.key): each.version for each in checks}
    own = [row for row in conflict.rows if (row.table, row.key) in wanted]
    as_written = all(
        row.version != before.get((row.table, row.key))
        and msgspec.json.encode(row.value)
        == msgspec.json.encode(wanted[row.table, row.key])
        for row in own
    )
    if not own or not as_written:
        return answer
    return Ok((max(row.version for row in own),) * len(writes))
