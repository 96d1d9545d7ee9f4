"""Tests of the limits that the model of the platform's store keeps."""

import asyncio
import random

import pytest
from result import Ok

from pomeloarch_node.platform import (
    Check,
    PlatformFailure,
    StoreLimits,
    Write,
)
from pomeloarch_standins.batch_store import (
    PAGE_ROWS,
    FeedTables,
    StoreLink,
)

LIMITS = StoreLimits(row_bytes=100, transaction_bytes=12_500)
ROW = "x" * 98


def writes(count, value):
    return [Write("t", f"k{n:03}", value) for n in range(count)]


@pytest.mark.parametrize(
    ("checks", "wanted", "message"),
    [
        pytest.param(0, writes(1, ROW), "", id="largest-row"),
        pytest.param(0, writes(1, ROW + "x"), "t/k000 has 101", id="row"),
        pytest.param(50, writes(50, None), "", id="most-entries"),
        pytest.param(51, writes(50, None), "101 entries", id="entries"),
        pytest.param(0, writes(49, ROW), "", id="largest-transaction"),
        pytest.param(0, writes(50, ROW), "12650 bytes", id="transaction"),
    ],
)
def test_transaction_beyond_a_limit_is_refused_for_good(
    checks, wanted, message
):
    """Guards the model against taking what the platform refuses."""
    tables = FeedTables(LIMITS)
    conditions = [Check("t", f"c{n}", 0) for n in range(checks)]
    answer = tables.transact(conditions, wanted)
    if not message:
        assert isinstance(answer, Ok)
        return
    error = answer.err_value
    assert (error.failure, error.permanent) == (PlatformFailure.NOT_DONE, True)
    assert message in error.message
    assert tables.version == 0


@pytest.mark.parametrize(
    ("limits", "count"),
    [
        pytest.param(StoreLimits(), PAGE_ROWS + 1, id="rows"),
        pytest.param(LIMITS, 94, id="bytes"),
    ],
)
def test_table_is_read_in_pages(limits, count):
    """Guards the model against pages that the platform would cut."""
    tables = FeedTables(limits)
    for each in writes(count, ROW):
        tables.put(each.table, each.key, each.value)
    pages = []

    async def ask(send):
        answer = await send()
        pages.append(len(answer.ok_value[0]))
        return answer

    link = StoreLink(tables, random.Random(1))
    found = asyncio.run(link.snapshot("t", ask)).ok_value
    assert [row.key for row in found.rows] == [f"k{n:03}" for n in range(count)]
    assert len(pages) == 2
    assert found.version == count
