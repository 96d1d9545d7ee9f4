"""The rows that hold the number of the newest term, one in each shard.

Each time a node begins to lead, it takes the next number, even if it has
regained the role under an epoch that it held before: what it ordered then may
still be under way. The number is the fence that workers compare, and every
write of the scheduler is conditional on its shard's row.

A node whose role another node has claimed still acts until its lease ends. It
must not end the term of its successor, so the row also contains the epoch of
the role, and no term begins above one of a higher epoch.

The numbers between two terms are fences as well: the fence of a worker rises by
one with each of its restarts in a term. The row holds the last of them, so that
a node of an earlier version, which takes the next number, begins above all.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping

import msgspec
from result import Err, Ok

from pomeloarch_core.ids import Epoch
from pomeloarch_node.batch.records import (
    SHARDS,
    TERMS_TABLE,
    encode,
    term_key,
)
from pomeloarch_node.platform import Check, PlatformClient, Row, Write
from pomeloarch_node.scheduler_tenure import Tenure

# Distance between the numbers of successive terms: the number of fences that a
# term has for each worker.
FENCES_PER_TERM = 256
RETRY_PAUSE_S = 0.2
_NONCE_BITS = 64


class TermRow(msgspec.Struct, frozen=True):
    """The value of the row.

    Attributes:
      number: the last fence of the newest term.
      nonce: identifies the writer of the row, in case the answer to its write
        is lost.
      role_epoch: the epoch of the role under which the term began; 0 in a row
        that an earlier version wrote.
    """

    number: Epoch
    nonce: str
    role_epoch: Epoch = Epoch(0)


class Term(msgspec.Struct, frozen=True):
    """A term that has begun.

    Attributes:
      number: its number, which is the fence of its orders.
      checks: the condition that each write of the term carries, by shard.
    """

    number: Epoch
    checks: Mapping[int, Check]


async def begin_term(
    store: PlatformClient, tenure: Tenure, rng: random.Random
) -> Term | None:
    """Begins a term under the next number; returns None if the role is lost.

    The role is also lost if a term has begun under a higher epoch of it. The
    first shard decides the number. Once this returns, no older term can
    write in any shard.

    Args:
      store: the store.
      tenure: the right to act.
      rng: source of the nonce.
    """
    nonce = f"{rng.getrandbits(_NONCE_BITS):016x}"
    first = await _claim_number(store, tenure, 0, None, nonce)
    if first is None:
        return None
    number, check = first
    others = await asyncio.gather(
        *(
            _claim_number(store, tenure, shard, number, nonce)
            for shard in range(1, SHARDS)
        )
    )
    checks = {0: check}
    for shard, other in enumerate(others, start=1):
        if other is None:
            return None
        checks[shard] = other[1]
    return Term(number, checks)


async def _claim_number(
    store: PlatformClient,
    tenure: Tenure,
    shard: int,
    number: Epoch | None,
    nonce: str,
) -> tuple[Epoch, Check] | None:
    """Writes a term's number into a shard's row, by default the next number."""
    key = term_key(shard)
    while tenure.is_held():
        answer = await store.read([(TERMS_TABLE, key)])
        if isinstance(answer, Ok):
            row = answer.ok_value[0]
            found = _decode(row)
            if found is not None and found.nonce == nonce:
                check = Check(TERMS_TABLE, key, row.version)
                return _first_fence(found.number), check
            last = 0 if found is None else found.number
            wanted = _next_number(last) if number is None else number
            last_epoch = 0 if found is None else found.role_epoch
            if wanted <= last or last_epoch > tenure.epoch:
                tenure.supersede(f"term {_first_fence(last)} has begun")
                return None
            last_fence = Epoch(wanted + FENCES_PER_TERM - 1)
            written = await _write(
                store, row, TermRow(last_fence, nonce, tenure.epoch)
            )
            if written is not None:
                return wanted, written
        await asyncio.sleep(RETRY_PAUSE_S)
    return None


def _next_number(last: int) -> Epoch:
    """Returns the next multiple of the distance between terms."""
    return Epoch((last // FENCES_PER_TERM + 1) * FENCES_PER_TERM)


def _first_fence(number: int) -> Epoch:
    """Returns the number of the term that a fence belongs to."""
    return Epoch(number // FENCES_PER_TERM * FENCES_PER_TERM)


def _decode(row: Row) -> TermRow | None:
    if row.value is None:
        return None
    return msgspec.convert(row.value, TermRow)


async def _write(
    store: PlatformClient, row: Row, value: TermRow
) -> Check | None:
    answer = await store.transact(
        [Check(row.table, row.key, row.version)],
        [Write(row.table, row.key, encode(value))],
    )
    if isinstance(answer, Err):
        return None
    return Check(row.table, row.key, answer.ok_value[0])
