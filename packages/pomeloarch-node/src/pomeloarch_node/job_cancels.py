"""Writes requests for cancellation in batches, so that many cost few writes.

Requests that arrive within a short time are written as one row per zone, which
the zone's scheduler reads. Only the scheduler changes the rows of the jobs.
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

# How long a request waits for others to join its batch, in seconds.
BATCH_DELAY_S = 0.02
MAX_BATCH_JOBS = 500
_MAX_ATTEMPTS = 3
# Pause before the second attempt, in seconds; it grows with each attempt.
_RETRY_PAUSE_S = 0.1

CancelAnswer = Result[JobRecord | None, PlatformError]


class _CancelRequest(msgspec.Struct):
    job_id: JobId
    answer: asyncio.Future[CancelAnswer]


class CancelBatcher:
    """Collects requests for cancellation and writes one row for each zone.

    Args:
      platform: client of the platform's tables.
      rng: source of the random part of row keys.
      wall_clock: returns the time of the wall clock, in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Starts without requests."""
        self._platform = platform
        self._rng = rng
        self._wall_clock = wall_clock
        self._requests: asyncio.Queue[_CancelRequest] = asyncio.Queue()

    async def cancel(self, job_id: JobId) -> CancelAnswer:
        """Requests the cancellation of a job.

        Returns:
          The job's record, None if there is no such job. If the record isn't
          final, the request is durable.
        """
        loop = asyncio.get_running_loop()
        req = _CancelRequest(job_id, loop.create_future())
        self._requests.put_nowait(req)
        return await req.answer

    async def run(self) -> None:
        """Collects and writes batches of requests until cancelled."""
        while True:
            requests = [await self._requests.get()]
            await asyncio.sleep(BATCH_DELAY_S)
            while len(requests) < MAX_BATCH_JOBS and not self._requests.empty():
                requests.append(self._requests.get_nowait())
            try:
                await self._process(requests)
            finally:
                for req in requests:
                    if not req.answer.done():
                        req.answer.cancel()

    async def _process(self, requests: Sequence[_CancelRequest]) -> None:
        found = await self._read([req.job_id for req in requests])
        if isinstance(found, Err):
            _set_all_answers(requests, found)
            return
        by_zone: dict[ZoneName, list[_CancelRequest]] = defaultdict(list)
        for req in requests:
            record = found.ok_value.get(req.job_id)
            zone = zone_of(req.job_id)
            if record is None or zone is None or record.state.is_final:
                _set_answer(req, Ok(record))
            else:
                by_zone[zone].append(req)
        for zone, open_requests in by_zone.items():
            written = await self._write(
                zone, [req.job_id for req in open_requests]
            )
            if isinstance(written, Err):
                _set_all_answers(open_requests, written)
                continue
            for req in open_requests:
                record = found.ok_value[req.job_id]
                changed = msgspec.structs.replace(record, cancel_requested=True)
                _set_answer(req, Ok(changed))

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
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(_RETRY_PAUSE_S * attempt)
            answer = await self._platform.transact(checks, writes)
            if isinstance(answer, Ok):
                return Ok(None)
            if isinstance(answer.err_value, Conflict):
                # The row exists: an earlier attempt wrote it, and its answer
                # was lost.
                return Ok(None)
            message = answer.err_value.message
            if answer.err_value.failure is PlatformFailure.UNKNOWN:
                failure = PlatformFailure.UNKNOWN
        return Err(PlatformError(failure, message))


def _set_answer(req: _CancelRequest, answer: CancelAnswer) -> None:
    if not req.answer.done():
        req.answer.set_result(answer)


def _set_all_answers(
    requests: Sequence[_CancelRequest], answer: Err[PlatformError]
) -> None:
    for req in requests:
        _set_answer(req, answer)
