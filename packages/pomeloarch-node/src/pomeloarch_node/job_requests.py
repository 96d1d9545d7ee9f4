"""Parses the body of `POST /v1/jobs` and reports all findings at once."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.gang.messages import JobSpec
from pomeloarch_core.ids import (
    CallerName,
    JobClassName,
    JobId,
    OrganisationName,
    TeamName,
    ZoneName,
)

MAX_BODY_BYTES = 65_536

_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
_MemberCount = Annotated[int, msgspec.Meta(ge=1, le=128)]
_AcceleratorCount = Annotated[int, msgspec.Meta(ge=1, le=1024)]
_MemoryGigabytes = Annotated[float, msgspec.Meta(gt=0.0, le=100_000.0)]
_Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=31_536_000.0)]
_Caller = Annotated[str, msgspec.Meta(max_length=256)]
_Command = Annotated[str, msgspec.Meta(max_length=8192)]


class JobRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A requested job; headers provide fields that the body doesn't have."""

    organisation: _Text
    job_class: _Text
    members: _MemberCount = 1
    accelerators: _AcceleratorCount = 1
    memory_gb: _MemoryGigabytes = 1.0
    declared_run_s: _Seconds = 60.0
    idempotent: bool = True
    team: _Text | None = None
    caller: _Caller = ""
    command: _Command = ""
    availability_zone: _Text | None = None

    def to_spec(self, job_id: JobId, submitted_at: float) -> JobSpec:
        """Returns the specification of the requested job.

        Args:
          job_id: the job's new id.
          submitted_at: time of the submission, in seconds of the wall clock.
        """
        return JobSpec(
            job_id=job_id,
            organisation=OrganisationName(self.organisation),
            job_class=JobClassName(self.job_class),
            members=self.members,
            accelerators=self.accelerators,
            memory_gb=self.memory_gb,
            declared_run_s=self.declared_run_s,
            idempotent=self.idempotent,
            team=None if self.team is None else TeamName(self.team),
            caller=CallerName(self.caller),
            submitted_at=submitted_at,
            command=self.command,
        )

    @property
    def zone(self) -> ZoneName | None:
        """The zone in which the job has to run, None for any."""
        if self.availability_zone is None:
            return None
        return ZoneName(self.availability_zone)

    def fingerprint(self) -> str:
        """Returns a digest by which a repeated request is recognised."""
        return hashlib.sha256(msgspec.json.encode(self)).hexdigest()


class RequestFinding(msgspec.Struct, frozen=True):
    """A fault in a request.

    Attributes:
      field: the field at fault.
      message: description of the fault.
    """

    field: str
    message: str

    def __str__(self) -> str:
        """Returns the finding as one line of text."""
        return f"{self.field}: {self.message}"


def parse_request(
    body: bytes, headers: Mapping[str, str]
) -> Result[JobRequest, list[RequestFinding]]:
    """Parses a request, or returns all findings about it."""
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Err([RequestFinding("body", str(exc))])
    if not isinstance(fields, dict):
        return Err([RequestFinding("body", "must be a JSON object")])
    fields = _fields_from_headers(headers) | fields
    findings = _check_fields(fields)
    if findings:
        return Err(findings)
    return Ok(msgspec.convert(fields, JobRequest))


def _fields_from_headers(headers: Mapping[str, str]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    if "pomelo-organisation" in headers:
        fields["organisation"] = headers["pomelo-organisation"]
    if "pomelo-caller" in headers:
        fields["caller"] = headers["pomelo-caller"]
    if headers.get("pomelo-non-idempotent") == "1":
        fields["idempotent"] = False
    return fields


def _check_fields(fields: dict[str, Any]) -> list[RequestFinding]:
    known = {field.name: field for field in msgspec.structs.fields(JobRequest)}
    findings = [
        RequestFinding(name, "this field does not exist")
        for name in fields
        if name not in known
    ]
    for name, field in known.items():
        if name not in fields:
            if field.required:
                findings.append(RequestFinding(name, "must be given"))
            continue
        try:
            msgspec.convert(fields[name], field.type)
        except msgspec.ValidationError as exc:
            findings.append(RequestFinding(name, str(exc)))
    return findings
