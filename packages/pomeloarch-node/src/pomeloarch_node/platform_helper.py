"""Makes calls to the platform for nodes that are cut off from it."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatch

from result import Ok, Result

from pomeloarch_core.membership import MAX_MESSAGE_BYTES, TokenBucket
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Conflict,
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Row,
)
from pomeloarch_node.platform_relay_messages import (
    Failed,
    ReadCall,
    RelayedAnswer,
    RelayedCall,
    RowsRead,
    ScanCall,
    TransactCall,
    Transacted,
    encode_message,
)

CALLS_PER_S = 30.0
_BURST_CALLS = 60.0


class PlatformHelper:
    """Makes peers' calls by this node's own client alone.

    Args:
      direct: this node's own client.
      clock: monotonic time, in seconds.
      metrics: counts the calls.
    """

    def __init__(
        self,
        direct: PlatformClient,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        """Starts with a full allowance."""
        self._direct = direct
        self._clock = clock
        self._metrics = metrics
        self._allowance = TokenBucket(CALLS_PER_S, _BURST_CALLS)

    async def answer(
        self, call: RelayedCall, *, may_help: bool
    ) -> RelayedAnswer:
        """Makes a call and returns what to tell the peer.

        Args:
          call: the peer's call.
          may_help: whether this node reaches the platform itself.
        """
        if not may_help or not self._allowance.take(1.0, self._clock()):
            return _not_done(call, "this node can't help at present")
        self._metrics.count("platform_calls_for_peers")
        answer = await _make(call, self._direct)
        if len(encode_message(answer)) <= MAX_MESSAGE_BYTES:
            return answer
        return _too_large(call)


@singledispatch
async def _make(call: RelayedCall, direct: PlatformClient) -> RelayedAnswer:
    raise TypeError(f"not a call: {call!r}")


@_make.register
async def _(call: TransactCall, direct: PlatformClient) -> RelayedAnswer:
    answer = await direct.transact(call.checks, call.writes)
    return _transacted(call, answer)


@_make.register
async def _(call: ReadCall, direct: PlatformClient) -> RelayedAnswer:
    return _rows_read(call, await direct.read(call.keys))


@_make.register
async def _(call: ScanCall, direct: PlatformClient) -> RelayedAnswer:
    rows = await direct.scan(call.table, call.prefix, call.after, call.limit)
    return _rows_read(call, rows)


def _transacted(
    call: RelayedCall, answer: Result[tuple[int, ...], Conflict | PlatformError]
) -> RelayedAnswer:
    if isinstance(answer, Ok):
        return Transacted(call.number, answer.ok_value)
    error = answer.err_value
    if isinstance(error, Conflict):
        return Transacted(call.number, conflicts=error.rows)
    return _failed(call, error)


def _rows_read(
    call: RelayedCall, answer: Result[tuple[Row, ...], PlatformError]
) -> RelayedAnswer:
    if isinstance(answer, Ok):
        return RowsRead(call.number, answer.ok_value)
    return _failed(call, answer.err_value)


def _failed(call: RelayedCall, error: PlatformError) -> Failed:
    return Failed(call.number, error.failure, error.message, error.reached)


def _not_done(call: RelayedCall, message: str) -> Failed:
    return Failed(call.number, PlatformFailure.NOT_DONE, message)


def _too_large(call: RelayedCall) -> Failed:
    # A write has taken effect even if its conflicts are not passed on.
    failure = PlatformFailure.NOT_DONE
    if isinstance(call, TransactCall):
        failure = PlatformFailure.UNKNOWN
    return Failed(
        call.number, failure, "the answer is too large to be passed on", True
    )
