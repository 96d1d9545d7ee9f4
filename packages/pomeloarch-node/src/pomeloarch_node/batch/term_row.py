"""The row that numbers the terms of leading schedulers.

Each time a node begins to act it takes the next number, also when it has
regained the role under an epoch that it held before: what it ordered then may
still be under way. The number is the fence that workers compare, and every
write of the scheduler carries a check of this row's version.
"""

from __future__ import annotations

import asyncio
import random

import msgspec
from result import Err, Ok

from pomeloarch_core.ids import Epoch
from pomeloarch_node.batch.records import ROLE_NAME, TERMS_TABLE, encode
from pomeloarch_node.platform import Check, PlatformClient, Row, Write
from pomeloarch_node.scheduler_tenure import Tenure

RETRY_PAUSE_S = 0.2
_NONCE_BITS = 64


class TermRow(msgspec.Struct, frozen=True):
    """The value of the row.

    Attributes:
      number: the newest term.
      nonce: tells whose write it was, when its answer was lost.
    """

    number: Epoch
    nonce: str


class Term(msgspec.Struct, frozen=True):
    """A term that has begun.

    Attributes:
      number: its number, the fence of its orders.
      check: the condition of its writes.
    """

    number: Epoch
    check: Check


async def begin_term(
    store: PlatformClient, tenure: Tenure, rng: random.Random
) -> Term | None:
    """Takes the next number; None when the role was lost meanwhile.

    Args:
      store: the store.
      tenure: the right to act.
      rng: chance, for the nonce.
    """
    nonce = f"{rng.getrandbits(_NONCE_BITS):016x}"
    while tenure.held():
        answer = await store.read([(TERMS_TABLE, ROLE_NAME)])
        if isinstance(answer, Ok):
            term = await _begin_after(store, answer.ok_value[0], nonce)
            if term is not None:
                return term
        await asyncio.sleep(RETRY_PAUSE_S)
    return None


async def _begin_after(
    store: PlatformClient, row: Row, nonce: str
) -> Term | None:
    before = None if row.value is None else msgspec.convert(row.value, TermRow)
    if before is not None and before.nonce == nonce:
        check = Check(TERMS_TABLE, ROLE_NAME, row.version)
        return Term(before.number, check)
    number = Epoch(1 if before is None else before.number + 1)
    answer = await store.transact(
        [Check(TERMS_TABLE, ROLE_NAME, row.version)],
        [Write(TERMS_TABLE, ROLE_NAME, encode(TermRow(number, nonce)))],
    )
    if isinstance(answer, Err):
        return None
    return Term(number, Check(TERMS_TABLE, ROLE_NAME, answer.ok_value[0]))
