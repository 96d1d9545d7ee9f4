"""The tables of batch jobs and the encoding of their rows."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from pomeloarch_core.batch.model import BatchJob
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import JobId

# Submitted jobs, each written once; only the leading scheduler reads this
# table.
SPECS_TABLE = "batch_specs"
# The states of jobs, and markers of the jobs whose cancellation was requested;
# every node follows this table.
JOBS_TABLE = "batch_jobs"
# One row for each shard: the number of the leading scheduler's newest term.
TERMS_TABLE = "batch_terms"
ROLE_NAME = "batch_scheduler"
# Workers that may run something, spread over rows by their ids.
ROSTER_TABLE = "batch_roster"

# Rows of jobs are spread over shards, since a transaction is confined to one
# shard and a shard executes one transaction after another. A store that is
# sixty times slower than usual executes three per second in each shard.
SHARDS = 4
SHARDED_TABLES = frozenset({SPECS_TABLE, JOBS_TABLE, ROSTER_TABLE})

_CANCEL_SUFFIX = "!"


def shard_of(key: str) -> int:
    """Returns the shard of a job's rows, given its id or its marker's key."""
    return zlib.crc32(key.removesuffix(_CANCEL_SUFFIX).encode()) % SHARDS


def term_key(shard: int) -> str:
    """Returns the key of the row that holds the newest term of a shard."""
    return f"{ROLE_NAME}/{shard}"


def shard_of_row(table: str, key: str) -> int | None:
    """Returns the shard of a row in these tables, None for other tables."""
    if table == ROSTER_TABLE:
        return int(key) % SHARDS
    if table in SHARDED_TABLES:
        return shard_of(key)
    if table == TERMS_TABLE:
        return int(key.rpartition("/")[2])
    return None


def cancel_key(job_id: JobId) -> str:
    """Returns the key of the marker that requests a job's cancellation."""
    return job_id + _CANCEL_SUFFIX


def cancelled_job(key: str) -> JobId | None:
    """Returns the job that a marker belongs to, None for a job's own row."""
    if key.endswith(_CANCEL_SUFFIX):
        return JobId(key.removesuffix(_CANCEL_SUFFIX))
    return None


def encode(value: msgspec.Struct) -> Any:
    """Returns the value to store in a row."""
    return msgspec.to_builtins(value)


def decode_job(value: Any) -> BatchJob:
    """Decodes a submitted job; raises `msgspec.ValidationError`."""
    return msgspec.convert(value, BatchJob)


def decode_row(value: Any) -> JobRow:
    """Decodes the state of a job; raises `msgspec.ValidationError`."""
    return msgspec.convert(value, JobRow)
