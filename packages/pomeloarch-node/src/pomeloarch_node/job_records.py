"""Where jobs stand in the platform's tables, and how they are encoded."""

from __future__ import annotations

import random
from typing import Any

import msgspec

from pomeloarch_core.gang.messages import JobRecord, JobState, Member
from pomeloarch_core.ids import (
    CallerName,
    JobClassName,
    JobId,
    OrganisationName,
    TeamName,
    ZoneName,
)

KEYS_TABLE = "job_keys"
FENCES_TABLE = "scheduler_fences"
_TIME_DIGITS = 12
_RANDOM_BITS = 80
_MS_PER_S = 1000


class KeyClaim(msgspec.Struct, frozen=True):
    """The row of an idempotency key.

    Attributes:
      job_id: the job that the key belongs to.
      fingerprint: a digest of the body that it came with.
    """

    job_id: JobId
    fingerprint: str


class CancelBatch(msgspec.Struct, frozen=True):
    """A row with jobs whose end was asked for together."""

    job_ids: tuple[JobId, ...]


class JobView(msgspec.Struct, frozen=True):
    """A job as callers see it."""

    job_id: JobId
    availability_zone: ZoneName
    state: JobState
    reason: str
    organisation: OrganisationName
    team: TeamName | None
    caller: CallerName
    job_class: JobClassName
    members: int
    accelerators: int
    memory_gb: float
    idempotent: bool
    submitted_at: float
    attempts: int
    placement: tuple[Member, ...]
    checkpoint: str | None
    cancel_requested: bool

    @classmethod
    def from_record(cls, record: JobRecord) -> JobView:
        """Returns what a caller may see of a record."""
        spec = record.spec
        return cls(
            job_id=spec.job_id,
            availability_zone=zone_of(spec.job_id) or ZoneName(""),
            state=record.state,
            reason=record.reason,
            organisation=spec.organisation,
            team=spec.team,
            caller=spec.caller,
            job_class=spec.job_class,
            members=spec.members,
            accelerators=spec.accelerators,
            memory_gb=spec.memory_gb,
            idempotent=spec.idempotent,
            submitted_at=spec.submitted_at,
            attempts=record.attempts,
            placement=record.placement,
            checkpoint=record.checkpoint,
            cancel_requested=record.cancel_requested,
        )


def jobs_table(zone: ZoneName) -> str:
    """Returns the table of a zone's jobs.

    >>> jobs_table(ZoneName("patan"))
    'jobs/patan'
    """
    return f"jobs/{zone}"


def cancels_table(zone: ZoneName) -> str:
    """Returns the table of what callers asked to cancel in a zone."""
    return f"job_cancels/{zone}"


def time_key(wall_s: float) -> str:
    """Returns the part of an id that orders ids by time.

    Args:
      wall_s: seconds of the wall clock.
    """
    return f"{max(0, int(wall_s * _MS_PER_S)):0{_TIME_DIGITS}x}"


def ordered_id(wall_s: float, rng: random.Random) -> str:
    """Returns an id that sorts by time and is unique by chance."""
    tail = rng.getrandbits(_RANDOM_BITS)
    return f"{time_key(wall_s)}{tail:0{_RANDOM_BITS // 4}x}"


def new_job_id(zone: ZoneName, wall_s: float, rng: random.Random) -> JobId:
    """Returns an id that names the job's zone and sorts by time."""
    return JobId(f"{zone}-{ordered_id(wall_s, rng)}")


def zone_of(job_id: str) -> ZoneName | None:
    """Returns the zone that a job's id names, None for another kind of id.

    >>> zone_of("amman-a-0190aa")
    'amman-a'
    """
    zone, _, tail = job_id.rpartition("-")
    if not zone or not tail:
        return None
    return ZoneName(zone)


def encode(value: msgspec.Struct) -> Any:
    """Returns a struct as the JSON value of a row."""
    return msgspec.to_builtins(value)


def decode_record(value: Any) -> JobRecord | None:
    """Returns the record of a row, None for an absent or foreign one."""
    if value is None:
        return None
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError:
        return None
