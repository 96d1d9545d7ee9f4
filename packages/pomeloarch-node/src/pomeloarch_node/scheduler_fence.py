"""Raises the fence by which a new scheduler of a zone shuts out an older one.

The fence is a row. Every transaction of a scheduler checks its version. A new
holder changes the row before it reads the jobs, so that all later writes of an
older holder are refused, even if that holder was paused until after the end of
its lease.
"""

from __future__ import annotations

import asyncio

import msgspec
from absl import logging
from result import Err, Ok

from pomeloarch_core.ids import Epoch, ZoneName
from pomeloarch_node.job_records import FENCES_TABLE, encode
from pomeloarch_node.platform import Check, PlatformClient, Row, Write
from pomeloarch_node.scheduler_tenure import Tenure

# Pause before the row is read again, in seconds.
_RETRY_PAUSE_S = 0.5


class Fence(msgspec.Struct, frozen=True):
    """Value of the fence row: the highest epoch that has begun."""

    epoch: Epoch


async def raise_fence(
    platform: PlatformClient, zone: ZoneName, tenure: Tenure
) -> Check:
    """Shuts out older holders.

    After a lost answer, the row is read again. Only the holder of an epoch
    writes that epoch, so the row tells whether the write took effect. If the
    row has a newer epoch, the tenure is lost, and the call goes on until it is
    cancelled.

    Args:
      platform: client of the platform's tables.
      zone: the scheduler's zone.
      tenure: the tenure that begins.

    Returns:
      The check for the writes of this tenure.
    """
    while True:
        answer = await platform.read([(FENCES_TABLE, zone)])
        if isinstance(answer, Ok):
            check = await _try_raise(platform, answer.ok_value[0], tenure)
            if check is not None:
                return check
        else:
            logging.warning("fence not read: %s", answer.err_value.message)
        await asyncio.sleep(_RETRY_PAUSE_S)


async def _try_raise(
    platform: PlatformClient, row: Row, tenure: Tenure
) -> Check | None:
    """Writes the tenure's epoch; returns the check if the row has it."""
    epoch = _epoch_of(row)
    if epoch == tenure.epoch:
        return Check(row.table, row.key, row.version)
    if epoch > tenure.epoch:
        tenure.supersede(f"the zone's scheduler has begun epoch {epoch}")
        return None
    if not tenure.is_held():
        return None
    answer = await platform.transact(
        [Check(row.table, row.key, row.version)],
        [Write(row.table, row.key, encode(Fence(tenure.epoch)))],
    )
    if isinstance(answer, Err):
        return None
    return Check(row.table, row.key, answer.ok_value[0])


def _epoch_of(row: Row) -> Epoch:
    if row.value is None:
        return Epoch(0)
    return msgspec.convert(row.value, Fence).epoch
