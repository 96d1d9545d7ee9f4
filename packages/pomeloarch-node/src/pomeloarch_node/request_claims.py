"""Claims idempotency keys in the platform's table and settles the claims."""

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

# Limit on the claims that are being written at a time.
_MAX_CLAIMS_IN_PROGRESS = 256
# Limit on the background tasks that settle or withdraw claims.
_MAX_SETTLE_TASKS = 1024
# Limits on the attempts to write a claim, and to write its final state.
_MAX_CLAIM_WRITES = 4
_MAX_SETTLE_WRITES = 8
# Pause after the first failed attempt to write a final state, in seconds; it
# doubles with each further failure.
_INITIAL_PAUSE_S = 0.2


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim that a request holds on a key.

    Attributes:
      key: the key of the claim's row.
      version: the version of the row with this claim.
      claim: the claim in the row.
    """

    key: str
    version: int
    claim: Claim


class ClaimDenied(msgspec.Struct, frozen=True):
    """The reason why a request could not claim its key.

    Attributes:
      key_status: the status of the key according to its row, None if no row
        could be read or written, or if the node claims too many keys.
      reason: why the request is refused if `key_status` is None.
      answer: the first request's answer, for a repeat.
    """

    key_status: KeyStatus | None
    reason: RefusalReason | None = None
    answer: StoredAnswer | None = None


class ClaimStore:
    """Writes claims before requests are sent and settles them afterwards.

    Args:
      platform: the client of the platform's tables.
      node: this node's name.
      clock: returns the present time in seconds, monotonic.
      wall_clock: returns the present time in seconds, of the wall clock.
      rng: generates the claims' tokens.
    """

    def __init__(
        self,
        platform: PlatformClient,
        node: NodeId,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates a store without claims in progress."""
        self._platform = platform
        self._node = node
        self._clock = clock
        self._wall_clock = wall_clock
        self._rng = rng
        self._budget = ClaimBudget()
        self._claiming = 0
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def claim(
        self, key: str, fingerprint: str, time_left_s: float
    ) -> Result[HeldClaim, ClaimDenied]:
        """Claims a key for one request.

        Args:
          key: the key of the claim's row.
          fingerprint: a digest of the request; different requests with the
            same key have different ones.
          time_left_s: the time until the caller stops waiting, in seconds.
        """
        if (
            self._claiming >= _MAX_CLAIMS_IN_PROGRESS
            or not self._budget.try_spend(self._clock())
        ):
            return Err(ClaimDenied(None, RefusalReason.CLAIMS_OVER_BUDGET))
        own = Claim(
            token=f"{self._node}/{self._rng.getrandbits(96):024x}",
            node=self._node,
            fingerprint=fingerprint,
            state=ClaimState.CLAIMED,
            deadline=self._wall_clock() + time_left_s,
        )
        self._claiming += 1
        write_state = _WriteState()
        try:
            async with asyncio.timeout(time_left_s):
                return await self._claim(key, own, write_state)
        except TimeoutError:
            return Err(ClaimDenied(None, RefusalReason.CLAIMS_UNAVAILABLE))
        finally:
            self._claiming -= 1
            if write_state.is_uncertain:
                self._spawn(self._withdraw(key, own))

    def settle(
        self,
        held: HeldClaim,
        state: ClaimState,
        answer: StoredAnswer | None = None,
    ) -> None:
        """Writes a claim's final state into its row, in the background."""
        self._spawn(self._settle(held, settle(held.claim, state, answer)))

    async def drain(self) -> None:
        """Waits until all final states are written or given up."""
        while self._background_tasks:
            await asyncio.wait(self._background_tasks)

    async def _claim(
        self, key: str, own: Claim, write_state: _WriteState
    ) -> Result[HeldClaim, ClaimDenied]:
        version = 0
        for _ in range(_MAX_CLAIM_WRITES):
            was_uncertain, write_state.is_uncertain = (
                write_state.is_uncertain,
                True,
            )
            row = await self._write(key, version, own)
            if isinstance(row, Err):
                if row.err_value is PlatformFailure.NOT_DONE:
                    write_state.is_uncertain = was_uncertain
                    break
                row = await self._read(key)
                if isinstance(row, Err):
                    continue
            found = row.ok_value
            claim = _decode(found, own)
            key_status = classify_claim(claim, own, self._wall_clock())
            if key_status is KeyStatus.HELD:
                write_state.is_uncertain = False
                return Ok(HeldClaim(key, found.version, own))
            if key_status is not KeyStatus.FREE:
                # The row holds another claim, so the conditional write of
                # this claim can no longer succeed.
                write_state.is_uncertain = False
                if key_status is KeyStatus.REPEAT and claim is not None:
                    return Err(ClaimDenied(key_status, answer=claim.answer))
                return Err(ClaimDenied(key_status))
            version = found.version
        return Err(ClaimDenied(None, RefusalReason.CLAIMS_UNAVAILABLE))

    async def _write(
        self, key: str, version: int, claim: Claim
    ) -> Result[Row, PlatformFailure]:
        """Writes a claim if the version matches; returns the current row."""
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

    async def _settle(self, held: HeldClaim, final: Claim) -> None:
        pause_s = _INITIAL_PAUSE_S
        for _ in range(_MAX_SETTLE_WRITES):
            row = await self._write(held.key, held.version, final)
            if isinstance(row, Ok):
                found = _decode(row.ok_value, final)
                if found is None or found.state is not final.state:
                    logging.error(
                        "claim %s was changed before it was settled",
                        held.key,
                    )
                return
            await asyncio.sleep(pause_s)
            pause_s *= 2.0
        logging.warning(
            "giving up writing the final state of claim %s", held.key
        )

    async def _withdraw(self, key: str, own: Claim) -> None:
        """Sets a claim to `NOT_RUN` whose write may have succeeded."""
        pause_s = _INITIAL_PAUSE_S
        withdrawn = settle(own, ClaimState.NOT_RUN, None)
        for _ in range(_MAX_SETTLE_WRITES):
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
        if len(self._background_tasks) >= _MAX_SETTLE_TASKS:
            work.close()
            logging.warning("a claim is not settled: too many are waiting")
            return
        task = asyncio.create_task(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)


class _WriteState:
    """Tracks whether the row may hold a claim that its request doesn't use."""

    __slots__ = ("is_uncertain",)

    def __init__(self) -> None:
        self.is_uncertain = False


def _decode(row: Row, own: Claim) -> Claim | None:
    """Returns a row's claim; one that can't be decoded counts as unsettled."""
    if row.value is None:
        return None
    try:
        return msgspec.convert(row.value, Claim)
    except msgspec.ValidationError as exc:
        logging.error("cannot decode claim %s: %s", row.key, exc)
        return Claim(
            token="",
            node=own.node,
            fingerprint=own.fingerprint,
            state=ClaimState.UNKNOWN,
            deadline=0.0,
        )
