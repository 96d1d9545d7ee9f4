"""Durable submission of jobs: accepted means written, a doubt is told."""

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
RETRY_PAUSE_S = 0.1


class SubmitFailure(enum.Enum):
    """Why a job was not accepted."""

    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"


class Submitted(msgspec.Struct, frozen=True):
    """A job that is durably written.

    Attributes:
      record: the job as it stands.
      fresh: whether this submission made it, not an earlier one.
    """

    record: JobRecord
    is_new: bool


class SubmitError(msgspec.Struct, frozen=True):
    """A submission that failed, and why."""

    failure: SubmitFailure
    message: str

    @classmethod
    def from_read(cls, error: PlatformError) -> SubmitError:
        """Returns the error of a submission that wrote nothing itself.

        An earlier submission under the same key may have been accepted.
        """
        return cls(SubmitFailure.UNKNOWN, error.message)


class JobStore:
    """Reads and writes jobs in the platform's tables.

    Args:
      platform: the platform.
    """

    def __init__(self, platform: PlatformClient) -> None:
        """Keeps the platform's client."""
        self._platform = platform
        self._is_unresponsive = False

    async def find(
        self, job_id: JobId
    ) -> Result[JobRecord | None, PlatformError]:
        """Returns a job's record, None where there is no such job."""
        zone = zone_of(job_id)
        if zone is None:
            return Ok(None)
        answer = await self._platform.read([(jobs_table(zone), job_id)])
        return answer.map(lambda rows: decode_record(rows[0].value))

    async def find_claim(
        self, claim_key: str
    ) -> Result[KeyClaim | None, PlatformError]:
        """Returns the claim of an idempotency key, None if it has none."""
        answer = await self._platform.read([(KEYS_TABLE, claim_key)])
        return answer.map(lambda rows: _decode_claim(rows[0]))

    async def submit(
        self,
        record: JobRecord,
        claim_key: str | None,
        fingerprint: str,
    ) -> Result[Submitted, SubmitError]:
        """Writes a new job and the claim of its idempotency key.

        The transaction asks for absent rows, so that writing it again after
        a lost answer can't make a second job: it meets the first one.
        While the platform gives no answers, nothing is written before a read
        has come back, so that the refusal is certain.

        Args:
          record: the job, under an id that was never used.
          claim_key: the key's row, None where the caller gave no key.
          fingerprint: the digest of the request.
        """
        if self._is_unresponsive:
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
            self._is_unresponsive = isinstance(answer, Err) and isinstance(
                answer.err_value, PlatformError
            )
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
        """Settles a submission that met rows that stand already."""
        for row in rows:
            claim = _decode_claim(row) if row.table == KEYS_TABLE else None
            if claim is not None and claim.job_id != record.spec.job_id:
                return await self.find_submitted(claim, fingerprint)
        return Ok(Submitted(record, is_new=True))

    async def find_submitted(
        self, claim: KeyClaim, fingerprint: str
    ) -> Result[Submitted, SubmitError]:
        """Returns the job that an idempotency key belongs to already."""
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
