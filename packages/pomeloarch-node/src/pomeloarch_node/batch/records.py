"""The tables of batch jobs and the encoding of their rows."""

from __future__ import annotations

import base64
import binascii
import zlib
from typing import Any

import msgspec

from pomeloarch_core.batch.model import BatchJob
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.batch.withdrawals import Withdrawal
from pomeloarch_core.ids import JobId
from pomeloarch_node.platform import StoreLimits

# Submitted jobs, each written once; only the leading scheduler reads this
# table.
SPECS_TABLE = "batch_specs"
# The states of jobs, and markers of the jobs whose cancellation was requested;
# every node follows this table.
JOBS_TABLE = "batch_jobs"
# One row for each shard: the number of the leading scheduler's newest term.
TERMS_TABLE = "batch_terms"
# Ids that were cancelled while no job had them. No node follows this table: the
# conditions of writes refer to it, and the leading scheduler clears it.
WITHDRAWN_TABLE = "batch_withdrawn"
ROLE_NAME = "batch_scheduler"
# Workers that may run something, spread over rows by their ids.
ROSTER_TABLE = "batch_roster"

# Rows of jobs are spread over shards, since a transaction is confined to one
# shard and a shard executes one transaction after another. A store that is
# sixty times slower than usual executes three per second in each shard.
SHARDS = 4
SHARDED_TABLES = frozenset(
    {SPECS_TABLE, JOBS_TABLE, ROSTER_TABLE, WITHDRAWN_TABLE}
)

_CANCEL_SUFFIX = "!"
# Values of more bytes than this are compressed. The rows of most jobs are
# smaller, and stay readable.
PACKED_FROM_BYTES = 4_096
_PACKED = "packed"
# Fast, and about as good as the others on repeated names and numbers.
_PACKING_LEVEL = 1


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
    """Returns the value to store in a row, compressed if it is large."""
    return pack(msgspec.to_builtins(value))


def encode_row(row: JobRow, limits: StoreLimits) -> Any:
    """Returns the value to store for the state of a job.

    It fits in a row of the store for every job that `find_excess` lets pass.
    """
    if row.status.is_final:
        row = row.without_results()
    plain = msgspec.to_builtins(row)
    if value_bytes(plain) <= PACKED_FROM_BYTES:
        return plain
    return encode(row.compact(limits.row_bytes // 4))


def value_bytes(value: Any) -> int:
    """Returns how many bytes a value takes in a row."""
    return len(msgspec.json.encode(value))


def find_excess(job: BatchJob, limits: StoreLimits) -> str | None:
    """Returns why the store can't keep a job, None if it can.

    The state of each task takes some bits, and that of a gang's open start the
    name of a worker for each member.
    """
    size = value_bytes(encode(job))
    if size > limits.row_bytes:
        return (
            f"the job takes {size} bytes, even compressed; "
            f"at most {limits.row_bytes} can be stored"
        )
    tasks = job.occurrence_count * sum(step.count for step in job.steps)
    if tasks > limits.row_bytes // 2:
        return f"a job has at most {limits.row_bytes // 2} tasks, not {tasks}"
    widest = max((s.count for s in job.steps if s.gang), default=0)
    if widest > limits.row_bytes // 16:
        return (
            f"a gang has at most {limits.row_bytes // 16} tasks, not {widest}"
        )
    return None


def pack(value: Any) -> Any:
    """Compresses a large value; returns a small one as it is."""
    plain = msgspec.json.encode(value)
    if len(plain) <= PACKED_FROM_BYTES:
        return value
    packed = zlib.compress(plain, _PACKING_LEVEL)
    return {_PACKED: base64.b64encode(packed).decode()}


def unpack(value: Any) -> Any:
    """Returns a value as it was before `pack`.

    Raises:
      msgspec.ValidationError: the compressed value can't be read.
    """
    if not isinstance(value, dict) or value.keys() != {_PACKED}:
        return value
    try:
        plain = zlib.decompress(base64.b64decode(value[_PACKED]))
        return msgspec.json.decode(plain)
    except (TypeError, binascii.Error, zlib.error, msgspec.DecodeError) as exc:
        raise msgspec.ValidationError(f"a packed row: {exc}") from exc


def decode_withdrawal(value: Any) -> Withdrawal:
    """Decodes a withdrawal; an absent one (None) withdraws nothing.

    Raises:
      msgspec.ValidationError: the value can't be read.
    """
    return Withdrawal() if value is None else msgspec.convert(value, Withdrawal)


def decode_job(value: Any) -> BatchJob:
    """Decodes a submitted job; raises `msgspec.ValidationError`."""
    return msgspec.convert(unpack(value), BatchJob)


def decode_row(value: Any) -> JobRow:
    """Decodes the state of a job; raises `msgspec.ValidationError`."""
    return msgspec.convert(unpack(value), JobRow, str_keys=True).expand()
