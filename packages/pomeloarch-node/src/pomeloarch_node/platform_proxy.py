"""Makes calls to the platform on behalf of nodes that cannot reach it."""

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

# Limits on the calls made for other nodes: the rate per second, and the number
# of calls in a burst.
MAX_CALLS_PER_S = 30.0
_MAX_BURST_CALLS = 60.0


class PlatformProxy:
    """Makes calls for peers, only through this node's own client.

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
        """Creates a proxy with a full budget of calls."""
        self._direct = direct
        self._clock = clock
        self._metrics = metrics
        self._call_tokens = TokenBucket(MAX_CALLS_PER_S, _MAX_BURST_CALLS)

    async def make_call(
        self, call: RelayedCall, *, is_platform_reachable: bool
    ) -> RelayedAnswer:
        """Makes a peer's call and returns the answer to send to the peer.

        Args:
          call: the peer's call.
          is_platform_reachable: whether this node itself reaches the platform.
        """
        if not is_platform_reachable or not self._call_tokens.take(
            1.0, self._clock()
        ):
            return _make_not_done(call, "this node can't help at present")
        self._metrics.count("platform_calls_for_peers")
        answer = await _make_call(call, self._direct)
        if len(encode_message(answer)) <= MAX_MESSAGE_BYTES:
            return answer
        return _make_too_large(call)


@singledispatch
async def _make_call(
    call: RelayedCall, direct: PlatformClient
) -> RelayedAnswer:
    raise TypeError(f"not a call: {call!r}")


@_make_call.register
async def _(call: TransactCall, direct: PlatformClient) -> RelayedAnswer:
    answer = await direct.transact(call.checks, call.writes)
    return _make_transacted(call, answer)


@_make_call.register
async def _(call: ReadCall, direct: PlatformClient) -> RelayedAnswer:
    return _make_rows_read(call, await direct.read(call.keys))


@_make_call.register
async def _(call: ScanCall, direct: PlatformClient) -> RelayedAnswer:
    rows = await direct.scan(call.table, call.prefix, call.after, call.limit)
    return _make_rows_read(call, rows)


def _make_transacted(
    call: RelayedCall, answer: Result[tuple[int, ...], Conflict | PlatformError]
) -> RelayedAnswer:
    if isinstance(answer, Ok):
        return Transacted(call.number, answer.ok_value)
    error = answer.err_value
    if isinstance(error, Conflict):
        return Transacted(call.number, conflicts=error.rows)
    return _make_failed(call, error)


def _make_rows_read(
    call: RelayedCall, answer: Result[tuple[Row, ...], PlatformError]
) -> RelayedAnswer:
    if isinstance(answer, Ok):
        return RowsRead(call.number, answer.ok_value)
    return _make_failed(call, answer.err_value)


def _make_failed(call: RelayedCall, error: PlatformError) -> Failed:
    return Failed(call.number, error.failure, error.message, error.reached)


def _make_not_done(call: RelayedCall, message: str) -> Failed:
    return Failed(call.number, PlatformFailure.NOT_DONE, message)


def _make_too_large(call: RelayedCall) -> Failed:
    # A write may have taken effect even if its answer cannot be passed on.
    failure = PlatformFailure.NOT_DONE
    if isinstance(call, TransactCall):
        failure = PlatformFailure.UNKNOWN
    return Failed(
        call.number, failure, "the answer is too large to be passed on", True
    )
