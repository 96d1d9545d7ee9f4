"""Tables, ids and encoding of jobs in the platform's tables."""

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
# Number of hexadecimal digits for the time in an id, in milliseconds.
_TIME_DIGITS = 12
# Number of random bits in an id.
_RANDOM_BITS = 80
_MS_PER_S = 1000


class KeyClaim(msgspec.Struct, frozen=True):
    """Row of an idempotency key.

    Attributes:
      job_id: the job that was submitted with the key.
      fingerprint: digest of the request that was submitted with the key.
    """

    job_id: JobId
    fingerprint: str


class CancelBatch(msgspec.Struct, frozen=True):
    """Row of jobs whose cancellations were requested at about the same time."""

    job_ids: tuple[JobId, ...]


class JobView(msgspec.Struct, frozen=True):
    """A job as the API returns it to callers."""

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
        """Returns the view of a record."""
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
    """Returns the table of requested cancellations in a zone."""
    return f"job_cancels/{zone}"


def time_key(wall_s: float) -> str:
    """Returns the beginning of an id, which makes ids sort by time.

    Args:
      wall_s: the time of the wall clock, in seconds.
    """
    return f"{max(0, int(wall_s * _MS_PER_S)):0{_TIME_DIGITS}x}"


def ordered_id(wall_s: float, rng: random.Random) -> str:
    """Returns an id that sorts by time; random digits make it unique."""
    tail = rng.getrandbits(_RANDOM_BITS)
    return f"{time_key(wall_s)}{tail:0{_RANDOM_BITS // 4}x}"


def new_job_id(zone: ZoneName, wall_s: float, rng: random.Random) -> JobId:
    """Returns a job id that contains the zone and sorts by time."""
    return JobId(f"{zone}-{ordered_id(wall_s, rng)}")


def zone_of(job_id: str) -> ZoneName | None:
    """Returns the zone that a job id contains, None if it isn't a job id.

    >>> zone_of("amman-a-0190aa")
    'amman-a'
    """
    zone, _, tail = job_id.rpartition("-")
    if not zone or not tail:
        return None
    return ZoneName(zone)


def encode(value: msgspec.Struct) -> Any:
    """Encodes a struct as the JSON value of a row."""
    return msgspec.to_builtins(value)


def decode_record(value: Any) -> JobRecord | None:
    """Decodes the record in a row's value.

    The result is None if the row doesn't exist or isn't a job record.
    """
    if value is None:
        return None
    try:
        return msgspec.convert(value, JobRecord)
    except msgspec.ValidationError:
        return None
