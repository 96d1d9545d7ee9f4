"""A leased role as a task: renews, watches and takes over its row."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable

import msgspec
from absl import logging
from result import Err, Result

from pomeloarch_core.ids import Epoch, NodeId
from pomeloarch_core.membership import (
    LeaseConfig,
    LeaseMachine,
    LeaseRow,
    ReadRow,
    WriteRow,
)
from pomeloarch_core.response_times import ResponseTimeEstimator
from pomeloarch_node.hedging import first_answer
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformClient,
    PlatformError,
    Row,
    Write,
    is_definite,
)

ROLES_TABLE = "roles"
_CALL_TIMEOUT_S = 1.1
# Copies of a write whose answer is late. With a third of the answers lost, one
# write in a hundred loses all, and is tried again.
_COPIES = 4
# Copies of writes in vain: when the table becomes slow, the next renewal waits
# behind it.
_COPIES_IN_VAIN = 1.0
_LONGEST_SLEEP_S = 0.25
_SPREAD_S = 0.3
_OWNER_BITS = 64


class LeasedRole:
    """Holds or waits for one role; see `pomeloarch_node.roles.Role`.

    One task waits on `changed`. A released role is not taken again.

    Args:
      name: the role's name, the key of its row.
      node_id: this node.
      platform: the tables.
      clock: monotonic time, in seconds.
      metrics: tells whether the role is held.
      rng: for jitter and to tell this process from others.
      cfg: the lease's times.
      handicap_s: how much later than others this node claims, in seconds.
      reset: has the platform's client use new connections; None for nothing.
    """

    def __init__(
        self,
        name: str,
        node_id: NodeId,
        platform: PlatformClient,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
        cfg: LeaseConfig | None = None,
        handicap_s: float = 0.0,
        reset: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Starts as a candidate."""
        self._reset = reset
        self._answers = ResponseTimeEstimator(_COPIES_IN_VAIN)
        self._name = name
        self._node_id = node_id
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        owner = f"{node_id}/{rng.getrandbits(_OWNER_BITS):016x}"
        # Different nodes come first for different roles.
        turn = zlib.crc32(f"{name} {node_id}".encode()) % 1000 / 1000
        self._machine = LeaseMachine(
            node_id,
            owner,
            cfg,
            clock() + turn * _SPREAD_S + handicap_s,
            turn,
            handicap_s,
        )
        self._told: Epoch | None = None
        self._change = asyncio.Event()
        self._wake = asyncio.Event()
        self._finished = asyncio.Event()

    def epoch(self) -> Epoch | None:
        """Returns the epoch to act under right now, None when not held."""
        return self._machine.epoch(self._clock())

    def alone(self) -> bool:
        """Whether it is held here and nobody can have claimed it yet."""
        return self._machine.is_sole_holder(self._clock())

    async def changed(self) -> None:
        """Waits until the role is gained, lost or gained anew."""
        await self._change.wait()
        self._change.clear()

    async def release(self) -> None:
        """Gives the role up; returns when its row says so or it lapsed."""
        self._machine.release()
        self._note_change()
        if self._machine.is_released:
            return
        self._wake.set()
        wait_s = max(0.0, self._machine.lease_end - self._clock())
        try:
            async with asyncio.timeout(wait_s):
                await self._finished.wait()
        except TimeoutError:
            logging.warning("the lease of %s runs out by itself", self._name)

    async def run(self) -> None:
        """Competes for the role and renews it until it is cancelled."""
        while True:
            action = self._machine.action(self._clock())
            if isinstance(action, ReadRow):
                await self._read()
            elif isinstance(action, WriteRow):
                await self._write(action)
            self._note_change()
            await self._pause()

    async def _pause(self) -> None:
        """Sleeps until something is due, with jitter, or `release`."""
        now = self._clock()
        wait_s = min(self._machine.due(now) - now, _LONGEST_SLEEP_S)
        self._wake.clear()
        if wait_s <= 0:
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(wait_s * self._rng.uniform(1.0, 1.1)):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _read(self) -> None:
        asked_at = self._clock()
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                answer = await self._platform.read([(ROLES_TABLE, self._name)])
        except TimeoutError:
            return self._machine.unanswered(self._clock())
        now = self._clock()
        if isinstance(answer, Err):
            return self._machine.unanswered(now)
        self._answers.observe_other_kind(now - asked_at)
        row = answer.ok_value[0]
        return self._machine.observed(row.version, _lease_row(row), now)

    async def _write(self, action: WriteRow) -> None:
        check = Check(ROLES_TABLE, self._name, action.version)
        value = msgspec.to_builtins(action.value)
        write = Write(ROLES_TABLE, self._name, value)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                answer = await self._send(check, write)
        except TimeoutError:
            return self._machine.unanswered(self._clock())
        now = self._clock()
        if not isinstance(answer, Err):
            return self._machine.confirmed(answer.ok_value[0], now)
        error = answer.err_value
        if isinstance(error, Conflict):
            row = error.rows[0]
            return self._machine.refused(row.version, _lease_row(row), now)
        return self._machine.unanswered(now)

    async def _send(
        self, check: Check, write: Write
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Sends a write, and again when its answer is late.

        All copies have the same condition, so that one of them takes effect;
        the others are refused and show the row.
        """
        return await first_answer(
            lambda: self._platform.transact([check], [write]),
            is_definite,
            self._answers,
            self._clock,
            _COPIES,
            self._again,
        )

    async def _again(self) -> bool:
        if self._reset is not None:
            await self._reset()
        return True

    def _note_change(self) -> None:
        if self._machine.is_released:
            self._finished.set()
        epoch = self.epoch()
        if epoch == self._told:
            return
        self._told = epoch
        self._change.set()
        self._metrics.set(
            "role_held", 0 if epoch is None else 1, role=self._name
        )
        self._metrics.set("role_epoch", epoch or 0, role=self._name)
        logging.info("role %s: epoch held is now %s", self._name, epoch)


def _lease_row(row: Row) -> LeaseRow | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, LeaseRow)
