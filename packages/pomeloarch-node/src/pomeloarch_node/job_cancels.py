"""Cancellations, gathered so that a wave of them costs few writes.

Callers' wishes that come within a short window are kept as one row, which
the zone's scheduler takes up. The jobs' own rows stay the scheduler's alone.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable, Sequence

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.gang.messages import JobRecord
from pomeloarch_core.ids import JobId, ZoneName
from pomeloarch_node.job_records import (
    CancelBatch,
    cancels_table,
    decode_record,
    encode,
    jobs_table,
    ordered_id,
    zone_of,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Write,
)

WINDOW_S = 0.02
MAX_BATCH = 500
_TRIES = 3
_RETRY_PAUSE_S = 0.1

CancelAnswer = Result[JobRecord | None, PlatformError]


class _Wish(msgspec.Struct):
    job_id: JobId
    answer: asyncio.Future[CancelAnswer]


class CancelGatherer:
    """Collects cancellations and writes each zone's as one row.

    Args:
      platform: the platform.
      rng: the chance in row keys.
      wall_clock: seconds of the wall clock.
    """

    def __init__(
        self,
        platform: PlatformClient,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Starts with nothing to cancel."""
        self._platform = platform
        self._rng = rng
        self._wall_clock = wall_clock
        self._wishes: asyncio.Queue[_Wish] = asyncio.Queue()

    async def cancel(self, job_id: JobId) -> CancelAnswer:
        """Asks for a job's end; returns its record, None if it is unknown.

        The wish is durable when this returns a record that isn't final.
        """
        loop = asyncio.get_running_loop()
        wish = _Wish(job_id, loop.create_future())
        self._wishes.put_nowait(wish)
        return await wish.answer

    async def run(self) -> None:
        """Writes what was gathered, window by window."""
        while True:
            wishes = [await self._wishes.get()]
            await asyncio.sleep(WINDOW_S)
            while len(wishes) < MAX_BATCH and not self._wishes.empty():
                wishes.append(self._wishes.get_nowait())
            try:
                await self._settle(wishes)
            finally:
                for wish in wishes:
                    if not wish.answer.done():
                        wish.answer.cancel()

    async def _settle(self, wishes: Sequence[_Wish]) -> None:
        found = await self._read([wish.job_id for wish in wishes])
        if isinstance(found, Err):
            _answer_all(wishes, found)
            return
        by_zone: dict[ZoneName, list[_Wish]] = defaultdict(list)
        for wish in wishes:
            record = found.ok_value.get(wish.job_id)
            zone = zone_of(wish.job_id)
            if record is None or zone is None or record.state.is_final:
                _answer(wish, Ok(record))
            else:
                by_zone[zone].append(wish)
        for zone, open_wishes in by_zone.items():
            written = await self._write(
                zone, [wish.job_id for wish in open_wishes]
            )
            if isinstance(written, Err):
                _answer_all(open_wishes, written)
                continue
            for wish in open_wishes:
                record = found.ok_value[wish.job_id]
                changed = msgspec.structs.replace(record, cancel_requested=True)
                _answer(wish, Ok(changed))

    async def _read(
        self, job_ids: Sequence[JobId]
    ) -> Result[dict[JobId, JobRecord], PlatformError]:
        keys = [
            (jobs_table(zone), str(job_id))
            for job_id in dict.fromkeys(job_ids)
            if (zone := zone_of(job_id)) is not None
        ]
        if not keys:
            return Ok({})
        answer = await self._platform.read(keys)
        if isinstance(answer, Err):
            return answer
        records = {}
        for row in answer.ok_value:
            record = decode_record(row.value)
            if record is not None:
                records[JobId(row.key)] = record
        return Ok(records)

    async def _write(
        self, zone: ZoneName, job_ids: Sequence[JobId]
    ) -> Result[None, PlatformError]:
        key = ordered_id(self._wall_clock(), self._rng)
        table = cancels_table(zone)
        batch = CancelBatch(tuple(dict.fromkeys(job_ids)))
        checks = [Check(table, key, 0)]
        writes = [Write(table, key, encode(batch))]
        failure = PlatformFailure.NOT_DONE
        message = ""
        for attempt in range(_TRIES):
            if attempt:
                await asyncio.sleep(_RETRY_PAUSE_S * attempt)
            answer = await self._platform.transact(checks, writes)
            if isinstance(answer, Ok):
                return Ok(None)
            if isinstance(answer.err_value, Conflict):
                # The row is there: it is ours, from a lost answer.
                return Ok(None)
            message = answer.err_value.message
            if answer.err_value.failure is PlatformFailure.UNKNOWN:
                failure = PlatformFailure.UNKNOWN
        return Err(PlatformError(failure, message))


def _answer(wish: _Wish, answer: CancelAnswer) -> None:
    if not wish.answer.done():
        wish.answer.set_result(answer)


def _answer_all(wishes: Sequence[_Wish], answer: Err[PlatformError]) -> None:
    for wish in wishes:
        _answer(wish, answer)
