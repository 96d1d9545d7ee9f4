"""Limits the calls that a node makes to the platform.

All parts of a node share one client. It wraps another client and adds
timeouts, retries with a common budget, a circuit breaker, rate limits for reads
and writes, and reads that are shared or batched.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import msgspec
from result import Err, Result

from pomeloarch_core.membership import TokenBucket
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from pomeloarch_node.platform_breaker import CircuitBreaker, RetryBudget
from pomeloarch_node.platform_reads import ReadBatcher, SharedCalls

# Minimum time between two checks for tokens, in seconds.
_MIN_WAIT_S = 0.001

T = TypeVar("T")
E = TypeVar("E")


class PlatformLimits(msgspec.Struct, frozen=True):
    """Limits on the calls that one node makes to the platform.

    Attributes:
      timeout_s: limit on the time that one attempt takes, in seconds.
      max_attempts: limit on the attempts of a call.
      backoff_s: mean wait before the first retry, in seconds.
      reads_per_s: limit on the read calls per second.
      writes_per_s: limit on the rows written per second.
      burst_s: the reads and writes of this many seconds may be made at once.
      reserve: share of a burst of writes that only urgent calls may use, which
        renew roles.
      max_wait_s: limit on the time that a call waits to be within the rate
        limits, in seconds.
    """

    timeout_s: float = 2.0
    max_attempts: int = 3
    backoff_s: float = 0.1
    reads_per_s: float = 400.0
    writes_per_s: float = 200.0
    burst_s: float = 4.0
    reserve: float = 0.2
    max_wait_s: float = 2.0


class LimitedPlatformClient:
    """Wraps a `PlatformClient`; `for_role` returns the client of one part.

    Args:
      inner: the client that makes the calls.
      clock: monotonic time, in seconds.
      metrics: counts reads and writes by role.
      rng: randomises waits.
      cfg: the limits.
    """

    def __init__(
        self,
        inner: PlatformClient,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
        cfg: PlatformLimits | None = None,
    ) -> None:
        """Creates a client with full budgets."""
        self._inner = inner
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._cfg = cfg or PlatformLimits()
        reads, writes = self._cfg.reads_per_s, self._cfg.writes_per_s
        self._read_tokens = TokenBucket(reads, reads * self._cfg.burst_s)
        self._write_tokens = TokenBucket(writes, writes * self._cfg.burst_s)
        self._write_reserve = writes * self._cfg.burst_s * self._cfg.reserve
        self._breaker = CircuitBreaker(rng)
        self._retry_budget = RetryBudget()
        self._shared_calls = SharedCalls()
        self._batcher = ReadBatcher(self._read_batch)

    def for_role(self, role: str, urgent: bool = False) -> RolePlatformClient:
        """Returns the client of one part of the node.

        Args:
          role: the part's name in the metrics.
          urgent: whether its calls may use the reserved writes and are made
            even if the circuit breaker is open, as for renewals of leases.
        """
        return RolePlatformClient(self, role, urgent)

    async def transact(
        self,
        role: str,
        urgent: bool,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; see `PlatformClient`."""
        reserve = 0.0 if urgent else self._write_reserve
        rows = max(1, len(writes))
        if not await self._acquire_tokens(self._write_tokens, rows, reserve):
            return Err(
                _make_over_budget_error("the budget of writes is used up")
            )

        async def attempt() -> Result[
            tuple[int, ...], Conflict | PlatformError
        ]:
            self._metrics.count("platform_writes", rows, role=role)
            return await self._inner.transact(checks, writes)

        return await self._call(attempt, urgent, _is_not_done)

    async def read(
        self, role: str, urgent: bool, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows; concurrent reads are batched, except for urgent ones."""
        self._metrics.count("platform_reads_asked", role=role)
        if urgent:
            return await self._read_batch(tuple(keys), role, True)
        return await self._batcher.read(tuple(keys), role)

    async def scan(
        self, role: str, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of keys.

        Concurrent scans do not share an answer: one that was requested before
        a write of the caller would lack that write.
        """
        return await self._read_call(
            role, lambda: self._inner.scan(table, prefix, after, limit)
        )

    async def membership(
        self, role: str
    ) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts; concurrent calls share one answer."""
        return await self._shared_calls.call(
            ("membership",),
            lambda: self._read_call(role, self._inner.membership),
        )

    async def _read_batch(
        self, keys: tuple[tuple[str, str], ...], role: str, urgent: bool = False
    ) -> Result[tuple[Row, ...], PlatformError]:
        return await self._read_call(
            role, lambda: self._inner.read(keys), urgent
        )

    async def _read_call(
        self,
        role: str,
        make_call: Callable[[], Awaitable[Result[T, PlatformError]]],
        urgent: bool = False,
    ) -> Result[T, PlatformError]:
        if not urgent and not await self._acquire_tokens(
            self._read_tokens, 1, 0.0
        ):
            return Err(
                _make_over_budget_error("the budget of reads is used up")
            )

        async def attempt() -> Result[T, PlatformError]:
            self._metrics.count("platform_reads", role=role)
            return await make_call()

        return await self._call(attempt, urgent, lambda _: True)

    async def _acquire_tokens(
        self, bucket: TokenBucket, amount: float, reserve: float
    ) -> bool:
        """Takes tokens as soon as that leaves the reserve untouched.

        Returns:
          Whether there were enough tokens within the maximum wait.
        """
        deadline = self._clock() + self._cfg.max_wait_s
        while bucket.available(self._clock()) < amount + reserve:
            wait_s = bucket.wait_s(amount + reserve, self._clock())
            wait_s = max(wait_s, _MIN_WAIT_S)
            if self._clock() + wait_s > deadline:
                self._metrics.count("platform_held_back")
                return False
            await asyncio.sleep(wait_s * self._rng.uniform(1.0, 1.2))
        bucket.charge(amount, self._clock())
        return True

    async def _call(
        self,
        attempt: Callable[[], Awaitable[Result[T, E]]],
        urgent: bool,
        is_retryable: Callable[[PlatformError], bool],
    ) -> Result[T, E | PlatformError]:
        """Makes a call and retries it where that is allowed and may help."""
        self._retry_budget.record_call()
        answer = await self._attempt_once(attempt, urgent)
        for number in range(1, 1 if urgent else self._cfg.max_attempts):
            if not isinstance(answer, Err):
                break
            error = answer.err_value
            if error is _BREAKER_OPEN or not isinstance(error, PlatformError):
                break
            if not is_retryable(error):
                break
            if not self._retry_budget.try_spend():
                self._metrics.count("platform_retries_refused")
                break
            self._metrics.count("platform_retries")
            max_backoff_s = self._cfg.backoff_s * 2**number
            await asyncio.sleep(self._rng.uniform(0.0, max_backoff_s))
            answer = await self._attempt_once(attempt, urgent)
        return answer

    async def _attempt_once(
        self, attempt: Callable[[], Awaitable[Result[T, E]]], urgent: bool
    ) -> Result[T, E | PlatformError]:
        admitted = self._breaker.admit(self._clock())
        if not admitted and not urgent:
            self._metrics.count("platform_breaker_refused")
            return Err(_BREAKER_OPEN)
        answer: Result[T, E | PlatformError]
        try:
            async with asyncio.timeout(self._cfg.timeout_s):
                answer = await attempt()
        except TimeoutError:
            answer = Err(
                PlatformError(
                    PlatformFailure.UNKNOWN,
                    f"no answer within {self._cfg.timeout_s} s",
                )
            )
        except asyncio.CancelledError:
            self._breaker.record_failure(self._clock())
            raise
        self._record_outcome(answer)
        return answer

    def _record_outcome(self, answer: Result[T, E]) -> None:
        failed = isinstance(answer, Err) and isinstance(
            answer.err_value, PlatformError
        )
        if failed:
            self._breaker.record_failure(self._clock())
        else:
            self._breaker.record_success()
        state = self._breaker.state(self._clock())
        self._metrics.set(
            "platform_breaker_closed", float(state.value == "closed")
        )


class RolePlatformClient:
    """The `PlatformClient` of one part of a node.

    Args:
      shared: the client that all parts share.
      role: the part's name in the metrics.
      urgent: whether its calls take precedence over those of the other parts.
    """

    def __init__(
        self, shared: LimitedPlatformClient, role: str, urgent: bool
    ) -> None:
        """Creates a client that makes its calls through the shared one."""
        self._shared = shared
        self._role = role
        self._urgent = urgent

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        return await self._shared.transact(
            self._role, self._urgent, checks, writes
        )

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        return await self._shared.read(self._role, self._urgent, keys)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        return await self._shared.scan(self._role, table, prefix, after, limit)

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts, which lags behind changes."""
        return await self._shared.membership(self._role)


_BREAKER_OPEN = PlatformError(
    PlatformFailure.NOT_DONE, "the platform keeps failing; not called"
)


def _make_over_budget_error(message: str) -> PlatformError:
    return PlatformError(PlatformFailure.NOT_DONE, message)


def _is_not_done(error: PlatformError) -> bool:
    return error.failure is PlatformFailure.NOT_DONE
