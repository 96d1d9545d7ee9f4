"""Submits jobs durably.

A job counts as accepted only after it is written. If it is not known whether
the write took effect, the caller is told so.
"""

from __future__ import annotations

import asyncio
import enum

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.gang.messages import JobRecord
from pomeloarch_core.ids import JobId
from pomeloarch_node.job_records import (
    KEYS_TABLE,
    KeyClaim,
    decode_record,
    encode,
    jobs_table,
    zone_of,
)
from pomeloarch_node.platform import (
    Check,
    Conflict,
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)

MAX_SUBMIT_ATTEMPTS = 4
# Pause before the second attempt, in seconds; it grows with each attempt.
RETRY_PAUSE_S = 0.1


class SubmitFailure(enum.Enum):
    """Why a submission failed.

    NOT_WRITTEN means that no row was written, UNKNOWN that the job may have
    been accepted, KEY_REUSED that the idempotency key belongs to another
    request.
    """

    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


class Submitted(msgspec.Struct, frozen=True):
    """A job that is durably written.

    Attributes:
      record: the job's record.
      is_new: whether this submission created the job, not an earlier one.
    """

    record: JobRecord
    is_new: bool


class SubmitError(msgspec.Struct, frozen=True):
    """Failure of a submission."""

    failure: SubmitFailure
    message: str

    @classmethod
    def from_read(cls, error: PlatformError) -> SubmitError:
        """Returns the error of a submission whose key could not be looked up.

        The submission wrote nothing, but an earlier one with the same key may
        have been accepted.
        """
        return cls(SubmitFailure.UNKNOWN, error.message)


class JobStore:
    """Reads and submits jobs in the platform's tables.

    Args:
      platform: client of the platform's tables.
    """

    def __init__(self, platform: PlatformClient) -> None:
        """Creates a store that has made no calls."""
        self._platform = platform
        self._is_platform_unresponsive = False

    async def find(
        self, job_id: JobId
    ) -> Result[JobRecord | None, PlatformError]:
        """Returns a job's record, None if there is no such job."""
        zone = zone_of(job_id)
        if zone is None:
            return Ok(None)
        answer = await self._platform.read([(jobs_table(zone), job_id)])
        return answer.map(lambda rows: decode_record(rows[0].value))

    async def find_claim(
        self, claim_key: str
    ) -> Result[KeyClaim | None, PlatformError]:
        """Returns the claim of an idempotency key, None if there is none."""
        answer = await self._platform.read([(KEYS_TABLE, claim_key)])
        return answer.map(lambda rows: _decode_claim(rows[0]))

    async def submit(
        self,
        record: JobRecord,
        claim_key: str | None,
        fingerprint: str,
    ) -> Result[Submitted, SubmitError]:
        """Writes a new job and the claim of its idempotency key.

        The transaction requires that the rows don't exist. Repeating it after a
        lost answer therefore can't create a second job; it conflicts with the
        first one. If the platform didn't answer the previous transaction, a
        read has to succeed before anything is written, so that it is certain
        that a refused job was not written.

        Args:
          record: the job, with an id that was never used.
          claim_key: the key of the claim's row, None if the caller gave no
            idempotency key.
          fingerprint: the digest of the request.
        """
        if self._is_platform_unresponsive:
            probe = await self.find(record.spec.job_id)
            if isinstance(probe, Err):
                message = probe.err_value.message
                return Err(SubmitError(SubmitFailure.NOT_WRITTEN, message))
        writes = _build_writes(record, claim_key, fingerprint)
        checks = [Check(write.table, write.key, 0) for write in writes]
        may_be_written = False
        message = ""
        for attempt in range(MAX_SUBMIT_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_PAUSE_S * attempt)
            answer = await self._platform.transact(checks, writes)
            self._is_platform_unresponsive = isinstance(
                answer, Err
            ) and isinstance(answer.err_value, PlatformError)
            if isinstance(answer, Ok):
                return Ok(Submitted(record, is_new=True))
            if isinstance(answer.err_value, Conflict):
                return await self._handle_conflict(
                    record, fingerprint, answer.err_value.rows
                )
            message = answer.err_value.message
            if answer.err_value.failure is PlatformFailure.UNKNOWN:
                may_be_written = True
        if may_be_written:
            return Err(SubmitError(SubmitFailure.UNKNOWN, message))
        return Err(SubmitError(SubmitFailure.NOT_WRITTEN, message))

    async def _handle_conflict(
        self, record: JobRecord, fingerprint: str, rows: tuple[Row, ...]
    ) -> Result[Submitted, SubmitError]:
        """Returns the result of a submission whose rows exist already."""
        for row in rows:
            claim = _decode_claim(row) if row.table == KEYS_TABLE else None
            if claim is not None and claim.job_id != record.spec.job_id:
                return await self.find_submitted(claim, fingerprint)
        return Ok(Submitted(record, is_new=True))

    async def find_submitted(
        self, claim: KeyClaim, fingerprint: str
    ) -> Result[Submitted, SubmitError]:
        """Returns the job that was submitted earlier with the same key.

        Args:
          claim: the claim of the idempotency key.
          fingerprint: the digest of the present request.
        """
        if claim.fingerprint != fingerprint:
            message = (
                "this Idempotency-Key came with another request before, "
                f"which is job {claim.job_id}"
            )
            return Err(SubmitError(SubmitFailure.KEY_REUSED, message))
        found = await self.find(claim.job_id)
        if isinstance(found, Err):
            message = f"job {claim.job_id}: {found.err_value.message}"
            return Err(SubmitError(SubmitFailure.UNKNOWN, message))
        if found.ok_value is None:
            message = f"job {claim.job_id} is no longer kept"
            return Err(SubmitError(SubmitFailure.UNKNOWN, message))
        return Ok(Submitted(found.ok_value, is_new=False))


def _build_writes(
    record: JobRecord, claim_key: str | None, fingerprint: str
) -> list[Write]:
    job_id = record.spec.job_id
    zone = zone_of(job_id)
    assert zone is not None
    writes = [Write(jobs_table(zone), job_id, encode(record))]
    if claim_key is not None:
        claim = KeyClaim(job_id, fingerprint)
        writes.append(Write(KEYS_TABLE, claim_key, encode(claim)))
    return writes


def _decode_claim(row: Row) -> KeyClaim | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, KeyClaim)
