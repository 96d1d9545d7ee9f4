"""Acquires a leased role, renews it and takes it over from other nodes.

The lease is a row in the platform's tables. `LeaseMachine` decides what to do;
this module reads and writes the row.
"""

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
# Timeout of a read, and of a write with all its copies, in seconds.
_CALL_TIMEOUT_S = 1.1
# Maximum number of copies of a write whose answer is late, the first one
# included. If a third of the answers is lost, one write in a hundred loses the
# answers to all copies and is tried again.
_MAX_COPIES = 4
# Budget for copies that turn out not to be needed, in copies. It is small
# because, when the table becomes slow, the next renewal has to wait for them.
_COPY_BUDGET = 1.0
# Longest sleep between two checks for a due action, in seconds.
_MAX_SLEEP_S = 0.25
# Time over which the nodes' first attempts are spread, in seconds.
_MAX_START_DELAY_S = 0.3
# Number of random bits that identify this process in the row.
_OWNER_BITS = 64


class LeasedRole:
    """Holder of a role, or candidate for it; implements `roles.Role`.

    Only one task may call `wait_for_change`. After `release`, this node doesn't
    claim the role again.

    Args:
      name: the role's name, which is the key of its row.
      node_id: this node.
      platform: client of the tables that contain the row.
      clock: returns monotonic time, in seconds.
      metrics: receives whether the role is held, and its epoch.
      rng: source of jitter and of a value that identifies this process.
      cfg: the times of the lease.
      claim_delay_s: how much later than other nodes this one claims, in
        seconds.
      reset: makes the platform's client open new connections before a write is
        repeated; None to keep the connections.
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
        claim_delay_s: float = 0.0,
        reset: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Starts as a candidate that has not read the row."""
        self._reset = reset
        self._write_times = ResponseTimeEstimator(_COPY_BUDGET)
        self._name = name
        self._node_id = node_id
        self._platform = platform
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        owner = f"{node_id}/{rng.getrandbits(_OWNER_BITS):016x}"
        # The hash puts a different node first for each role.
        claim_order = zlib.crc32(f"{name} {node_id}".encode()) % 1000 / 1000
        self._machine = LeaseMachine(
            node_id,
            owner,
            cfg,
            clock() + claim_order * _MAX_START_DELAY_S + claim_delay_s,
            claim_order,
            claim_delay_s,
        )
        self._reported_epoch: Epoch | None = None
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._released = asyncio.Event()

    def epoch(self) -> Epoch | None:
        """Returns the epoch to act under now, None if the role isn't held."""
        return self._machine.epoch(self._clock())

    def is_sole_holder(self) -> bool:
        """Returns whether no other node can have claimed the held role yet."""
        return self._machine.is_sole_holder(self._clock())

    async def wait_for_change(self) -> None:
        """Waits until the role is gained, lost or regained."""
        await self._changed.wait()
        self._changed.clear()

    def abandon(self, epoch: Epoch) -> None:
        """Stops acting under an epoch; competes for the role under the next."""
        self._machine.abandon(epoch)
        self._report_change()
        self._wake.set()

    async def release(self) -> None:
        """Gives the role up.

        Returns when the release is written or the lease has expired.
        """
        self._machine.release()
        self._report_change()
        if self._machine.is_released:
            return
        self._wake.set()
        wait_s = max(0.0, self._machine.lease_end - self._clock())
        try:
            async with asyncio.timeout(wait_s):
                await self._released.wait()
        except TimeoutError:
            logging.warning(
                "role %s: release not written, the lease expires", self._name
            )

    async def run(self) -> None:
        """Competes for the role and renews it until it is cancelled."""
        while True:
            action = self._machine.action(self._clock())
            if isinstance(action, ReadRow):
                await self._read()
            elif isinstance(action, WriteRow):
                await self._write(action)
            self._report_change()
            await self._pause()

    async def _pause(self) -> None:
        """Sleeps until an action is due, plus jitter, or until `release`."""
        now = self._clock()
        wait_s = min(self._machine.due(now) - now, _MAX_SLEEP_S)
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
        self._write_times.observe_other_kind(now - asked_at)
        row = answer.ok_value[0]
        return self._machine.observed(row.version, _decode_row(row), now)

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
            return self._machine.refused(row.version, _decode_row(row), now)
        return self._machine.unanswered(now)

    async def _send(
        self, check: Check, write: Write
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Sends a write, and further copies of it if its answer is late.

        All copies carry the same condition, so only one of them takes effect;
        the others are refused, and their conflicts contain the row.
        """
        return await first_answer(
            lambda: self._platform.transact([check], [write]),
            is_definite,
            self._write_times,
            self._clock,
            _MAX_COPIES,
            self._prepare_copy,
        )

    async def _prepare_copy(self) -> bool:
        if self._reset is not None:
            await self._reset()
        return True

    def _report_change(self) -> None:
        if self._machine.is_released:
            self._released.set()
        epoch = self.epoch()
        if epoch == self._reported_epoch:
            return
        self._reported_epoch = epoch
        self._changed.set()
        self._metrics.set(
            "role_held", 0 if epoch is None else 1, role=self._name
        )
        self._metrics.set("role_epoch", epoch or 0, role=self._name)
        logging.info("role %s: epoch held is now %s", self._name, epoch)


def _decode_row(row: Row) -> LeaseRow | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, LeaseRow)
