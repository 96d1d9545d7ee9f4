"""Uses the platform within its budget: one client for all parts of a node.

It wraps another client with time-outs, retries under one budget, a circuit
breaker, rates for reads and writes, and reads that are shared or batched.
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

_SHORTEST_WAIT_S = 0.001

T = TypeVar("T")
E = TypeVar("E")


class PlatformLimits(msgspec.Struct, frozen=True):
    """Bounds of what one node asks of the platform.

    Attributes:
      timeout_s: time one try may take, in seconds.
      tries: most tries of a call.
      backoff_s: mean wait before the first retry, in seconds.
      reads_per_s: calls of reading, a second.
      writes_per_s: rows written, a second.
      burst_s: how many seconds' worth may be used at once.
      reserve: part of the writes that only role renewals may use.
      longest_wait_s: most that a call waits for its turn, in seconds.
    """

    timeout_s: float = 2.0
    tries: int = 3
    backoff_s: float = 0.1
    reads_per_s: float = 400.0
    writes_per_s: float = 200.0
    burst_s: float = 4.0
    reserve: float = 0.2
    longest_wait_s: float = 2.0


class LimitedPlatformClient:
    """A `PlatformClient` round another one; `for_role` gives each its own.

    Args:
      inner: the client that makes the calls.
      clock: monotonic time, in seconds.
      metrics: counts reads and writes by role.
      rng: for jitter.
      cfg: the bounds.
    """

    def __init__(
        self,
        inner: PlatformClient,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
        cfg: PlatformLimits | None = None,
    ) -> None:
        """Starts with all budgets full."""
        self._inner = inner
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._cfg = cfg or PlatformLimits()
        reads, writes = self._cfg.reads_per_s, self._cfg.writes_per_s
        self._reads = TokenBucket(reads, reads * self._cfg.burst_s)
        self._writes = TokenBucket(writes, writes * self._cfg.burst_s)
        self._write_reserve = writes * self._cfg.burst_s * self._cfg.reserve
        self._breaker = CircuitBreaker(rng)
        self._retries = RetryBudget()
        self._shared = SharedCalls()
        self._batcher = ReadBatcher(self._read_batch)

    def for_role(self, role: str, urgent: bool = False) -> RolePlatform:
        """Returns the client of one part of the node.

        Args:
          role: the part's name in the metrics.
          urgent: whether it may use the writes kept in reserve and isn't
            held back by the breaker, as renewals of leases.
        """
        return RolePlatform(self, role, urgent)

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
        if not await self._turn(self._writes, rows, reserve):
            return Err(_held_back("the budget of writes is used up"))

        async def attempt() -> Result[
            tuple[int, ...], Conflict | PlatformError
        ]:
            self._metrics.count("platform_writes", rows, role=role)
            return await self._inner.transact(checks, writes)

        return await self._call(attempt, urgent, _certainly_not_done)

    async def read(
        self, role: str, urgent: bool, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, together with what other parts read right now."""
        self._metrics.count("platform_reads_asked", role=role)
        if urgent:
            return await self._read_batch(tuple(keys), role, True)
        return await self._batcher.read(tuple(keys), role)

    async def scan(
        self, role: str, table: str, prefix: str, after: str, limit: int
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of keys.

        It shares no answer: one that was asked for before a write of the
        caller would not show it.
        """
        return await self._read_call(
            role, lambda: self._inner.scan(table, prefix, after, limit)
        )

    async def membership(
        self, role: str
    ) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts; calls at the same time share it."""
        return await self._shared.call(
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
        make: Callable[[], Awaitable[Result[T, PlatformError]]],
        urgent: bool = False,
    ) -> Result[T, PlatformError]:
        if not urgent and not await self._turn(self._reads, 1, 0.0):
            return Err(_held_back("the budget of reads is used up"))

        async def attempt() -> Result[T, PlatformError]:
            self._metrics.count("platform_reads", role=role)
            return await make()

        return await self._call(attempt, urgent, lambda _: True)

    async def _turn(
        self, bucket: TokenBucket, amount: float, reserve: float
    ) -> bool:
        """Waits for tokens above a reserve; returns whether they came."""
        deadline = self._clock() + self._cfg.longest_wait_s
        while bucket.available(self._clock()) < amount + reserve:
            wait_s = bucket.wait_s(amount + reserve, self._clock())
            wait_s = max(wait_s, _SHORTEST_WAIT_S)
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
        repeatable: Callable[[PlatformError], bool],
    ) -> Result[T, E | PlatformError]:
        """Makes a call, and again where that is allowed and may help."""
        self._retries.called()
        answer = await self._try(attempt, urgent)
        for number in range(1, 1 if urgent else self._cfg.tries):
            if not isinstance(answer, Err):
                break
            error = answer.err_value
            if error is _BREAKER_OPEN or not isinstance(error, PlatformError):
                break
            if not repeatable(error):
                break
            if not self._retries.spend():
                self._metrics.count("platform_retries_refused")
                break
            self._metrics.count("platform_retries")
            longest = self._cfg.backoff_s * 2**number
            await asyncio.sleep(self._rng.uniform(0.0, longest))
            answer = await self._try(attempt, urgent)
        return answer

    async def _try(
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
            self._breaker.failed(self._clock())
            raise
        self._note(answer)
        return answer

    def _note(self, answer: Result[T, E]) -> None:
        failed = isinstance(answer, Err) and isinstance(
            answer.err_value, PlatformError
        )
        if failed:
            self._breaker.failed(self._clock())
        else:
            self._breaker.succeeded()
        state = self._breaker.state(self._clock())
        self._metrics.set(
            "platform_breaker_closed", float(state.value == "closed")
        )


class RolePlatform:
    """The platform as one part of a node uses it.

    Args:
      shared: the node's one client.
      role: the part's name in the metrics.
      urgent: whether it goes before the others.
    """

    def __init__(
        self, shared: LimitedPlatformClient, role: str, urgent: bool
    ) -> None:
        """Keeps whom to ask."""
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
        """Reads the lagging list of hosts."""
        return await self._shared.membership(self._role)


_BREAKER_OPEN = PlatformError(
    PlatformFailure.NOT_DONE, "the platform keeps failing; not called"
)


def _held_back(message: str) -> PlatformError:
    return PlatformError(PlatformFailure.NOT_DONE, message)


def _certainly_not_done(error: PlatformError) -> bool:
    return error.failure is PlatformFailure.NOT_DONE
