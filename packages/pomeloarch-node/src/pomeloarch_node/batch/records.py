"""Tables of batch jobs and how their rows are encoded."""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from pomeloarch_core.batch.model import BatchJob
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import JobId

# What callers submitted, written once; only the leading scheduler reads it.
SPECS_TABLE = "batch_specs"
# Where jobs stand, and marks of those whose end was asked for; every node
# follows this table.
JOBS_TABLE = "batch_jobs"
# One row a shard: the number of the newest term of a leading scheduler.
TERMS_TABLE = "batch_terms"
ROLE_NAME = "batch_scheduler"
# Workers that may run something, spread over rows by their ids.
ROSTER_TABLE = "batch_roster"

# Rows of jobs are spread over shards, since a transaction is of one shard and
# a shard takes one transaction after another. A store that is sixty times
# slower than usual takes three a second in each.
SHARDS = 4
SHARDED_TABLES = frozenset({SPECS_TABLE, JOBS_TABLE, ROSTER_TABLE})

_CANCEL_SUFFIX = "!"


def shard_of(key: str) -> int:
    """Returns the shard of a job's rows, by its id or its mark's key."""
    return zlib.crc32(key.removesuffix(_CANCEL_SUFFIX).encode()) % SHARDS


def term_key(shard: int) -> str:
    """Returns the key of the row that numbers terms in a shard."""
    return f"{ROLE_NAME}/{shard}"


def shard_of_row(table: str, key: str) -> int | None:
    """Returns the shard of a row of these tables, None for other tables."""
    if table == ROSTER_TABLE:
        return int(key) % SHARDS
    if table in SHARDED_TABLES:
        return shard_of(key)
    if table == TERMS_TABLE:
        return int(key.rpartition("/")[2])
    return None


def cancel_key(job_id: JobId) -> str:
    """Returns the key of the mark that a job's end was asked for."""
    return job_id + _CANCEL_SUFFIX


def cancelled_job(key: str) -> JobId | None:
    """Returns the job that a mark is of, None for a job's own row."""
    if key.endswith(_CANCEL_SUFFIX):
        return JobId(key.removesuffix(_CANCEL_SUFFIX))
    return None


def encode(value: msgspec.Struct) -> Any:
    """Returns a row's value."""
    return msgspec.to_builtins(value)


def decode_job(value: Any) -> BatchJob:
    """Returns the job of a row; raises `msgspec.ValidationError`."""
    return msgspec.convert(value, BatchJob)


def decode_row(value: Any) -> JobRow:
    """Returns the state of a row; raises `msgspec.ValidationError`."""
    return msgspec.convert(value, JobRow)
