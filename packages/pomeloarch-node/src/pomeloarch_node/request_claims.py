"""Claims idempotency keys in the platform's table and settles them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
from absl import logging
from result import Err, Ok, Result

from pomeloarch_core.ids import NodeId
from pomeloarch_core.routing import RefusalReason
from pomeloarch_core.routing.claims import (
    TABLE,
    Claim,
    ClaimBudget,
    ClaimState,
    KeyStatus,
    StoredAnswer,
    classify_claim,
    settle,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformClient,
    PlatformFailure,
    Row,
    Write,
)

_MOST_CLAIMS = 256
_MOST_SETTLING = 1024
_CLAIM_ROUNDS = 4
_SETTLE_ROUNDS = 8
_FIRST_PAUSE_S = 0.2


class Held(msgspec.Struct, frozen=True):
    """A key that this request holds.

    Attributes:
      key: the row's key.
      version: the row's version with this request's claim.
      claim: the claim in the row.
    """

    key: str
    version: int
    claim: Claim


class NotHeld(msgspec.Struct, frozen=True):
    """A key that this request doesn't get.

    Attributes:
      verdict: what the row says, None if no row could be read or written.
      reason: why the request is refused, for a verdict of None.
      answer: the first request's answer, for a repeat.
    """

    verdict: KeyStatus | None
    reason: RefusalReason | None = None
    answer: StoredAnswer | None = None


class ClaimKeeper:
    """Writes claims before requests are sent, and their ends after.

    Args:
      platform: the platform's tables.
      node: this node's name.
      clock: returns the present time in seconds, monotonic.
      wall_clock: returns the present time in seconds, of the wall clock.
      rng: makes tokens.
    """

    def __init__(
        self,
        platform: PlatformClient,
        node: NodeId,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Starts without claims."""
        self._platform = platform
        self._node = node
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._budget = ClaimBudget()
        self._claiming = 0
        self._settling: set[asyncio.Task[None]] = set()

    async def claim(
        self, key: str, fingerprint: str, time_left_s: float
    ) -> Result[Held, NotHeld]:
        """Claims a key for one request.

        Args:
          key: the row's key.
          fingerprint: tells requests with the same key apart.
          time_left_s: time until the caller stops waiting, in seconds.
        """
        if self._claiming >= _MOST_CLAIMS or not self._budget.try_spend(
            self._clock()
        ):
            return Err(NotHeld(None, RefusalReason.CLAIMS_OVER_BUDGET))
        own = Claim(
            token=f"{self._node}/{self._rng.getrandbits(96):024x}",
            node=self._node,
            fingerprint=fingerprint,
            state=ClaimState.CLAIMED,
            deadline=self._wall_clock() + time_left_s,
        )
        self._claiming += 1
        writing = _Writing()
        try:
            async with asyncio.timeout(time_left_s):
                return await self._claim(key, own, writing)
        except TimeoutError:
            return Err(NotHeld(None, RefusalReason.CLAIMS_UNAVAILABLE))
        finally:
            self._claiming -= 1
            if writing.in_doubt:
                self._spawn(self._withdraw(key, own))

    def settle(
        self, held: Held, state: ClaimState, answer: StoredAnswer | None = None
    ) -> None:
        """Writes a request's end into its row, in the background."""
        self._spawn(self._settle(held, settle(held.claim, state, answer)))

    async def drain(self) -> None:
        """Waits until all ends are written or given up."""
        while self._settling:
            await asyncio.wait(self._settling)

    async def _claim(
        self, key: str, own: Claim, writing: _Writing
    ) -> Result[Held, NotHeld]:
        version = 0
        for _ in range(_CLAIM_ROUNDS):
            doubted, writing.in_doubt = writing.in_doubt, True
            row = await self._write(key, version, own)
            if isinstance(row, Err):
                if row.err_value is PlatformFailure.NOT_DONE:
                    writing.in_doubt = doubted
                    break
                row = await self._read(key)
                if isinstance(row, Err):
                    continue
            found = row.ok_value
            claim = _decode(found, own)
            verdict = classify_claim(claim, own, self._wall_clock())
            if verdict is KeyStatus.HELD:
                writing.in_doubt = False
                return Ok(Held(key, found.version, own))
            if verdict is not KeyStatus.FREE:
                # Another claim stands in the row: ours can't land any more.
                writing.in_doubt = False
                if verdict is KeyStatus.REPEAT and claim is not None:
                    return Err(NotHeld(verdict, answer=claim.answer))
                return Err(NotHeld(verdict))
            version = found.version
        return Err(NotHeld(None, RefusalReason.CLAIMS_UNAVAILABLE))

    async def _write(
        self, key: str, version: int, claim: Claim
    ) -> Result[Row, PlatformFailure]:
        """Writes a claim; returns the row as it stands after."""
        value = msgspec.to_builtins(claim)
        answer = await self._platform.transact(
            [Check(TABLE, key, version)], [Write(TABLE, key, value)]
        )
        if isinstance(answer, Ok):
            return Ok(Row(TABLE, key, answer.ok_value[0], value))
        error = answer.err_value
        if isinstance(error, Conflict):
            return Ok(error.rows[0])
        return Err(error.failure)

    async def _read(self, key: str) -> Result[Row, PlatformFailure]:
        rows = await self._platform.read([(TABLE, key)])
        if isinstance(rows, Err):
            return Err(rows.err_value.failure)
        return Ok(rows.ok_value[0])

    async def _settle(self, held: Held, final: Claim) -> None:
        pause_s = _FIRST_PAUSE_S
        for _ in range(_SETTLE_ROUNDS):
            row = await self._write(held.key, held.version, final)
            if isinstance(row, Ok):
                found = _decode(row.ok_value, final)
                if found is None or found.state is not final.state:
                    logging.error("the claim %s was lost", held.key)
                return
            await asyncio.sleep(pause_s)
            pause_s *= 2.0
        logging.warning("the end of the claim %s is not written", held.key)

    async def _withdraw(self, key: str, own: Claim) -> None:
        """Says in the row of a claim that may stand that nothing ran."""
        pause_s = _FIRST_PAUSE_S
        withdrawn = settle(own, ClaimState.NOT_RUN, None)
        for _ in range(_SETTLE_ROUNDS):
            row = await self._read(key)
            if isinstance(row, Ok):
                found = _decode(row.ok_value, own)
                if found is not None and found.token != own.token:
                    return
                if found is not None and found.state is ClaimState.NOT_RUN:
                    return
                version = row.ok_value.version
                await self._write(key, version, withdrawn)
                continue
            await asyncio.sleep(pause_s)
            pause_s *= 2.0

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if len(self._settling) >= _MOST_SETTLING:
            work.close()
            logging.warning("too many claims wait for their ends")
            return
        task = asyncio.create_task(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)


class _Writing:
    """Whether a claim may stand in the table without its holder's use."""

    __slots__ = ("in_doubt",)

    def __init__(self) -> None:
        self.in_doubt = False


def _decode(row: Row, own: Claim) -> Claim | None:
    """Returns a row's claim; one that can't be read counts as unsettled."""
    if row.value is None:
        return None
    try:
        return msgspec.convert(row.value, Claim)
    except msgspec.ValidationError as exc:
        logging.error("the claim %s can't be read: %s", row.key, exc)
        return Claim(
            token="",
            node=own.node,
            fingerprint=own.fingerprint,
            state=ClaimState.UNKNOWN,
            deadline=0.0,
        )
