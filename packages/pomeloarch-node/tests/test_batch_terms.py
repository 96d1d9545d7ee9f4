"""Tests of the order in which nodes begin terms, in virtual time."""

import random

import msgspec
import pytest

from pomeloarch_core.ids import Epoch
from pomeloarch_node.batch.records import SHARDS, TERMS_TABLE, term_key
from pomeloarch_node.batch.term_row import FENCES_PER_TERM, TermRow, begin_term
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.virtual_time import run_virtual


class HeldTenure:
    """A tenure under an epoch that ends only when it is superseded."""

    def __init__(self, epoch):
        self.epoch = Epoch(epoch)
        self.is_superseded = False

    def is_held(self):
        return not self.is_superseded

    def supersede(self, reason):
        self.is_superseded = True


class Terms:
    """The terms' table, and nodes that begin terms in it."""

    def __init__(self):
        self._tables = FeedTables()
        self._link = StoreLink(self._tables, random.Random(1))
        self._rng = random.Random(2)

    async def begin(self, epoch):
        """Begins a term; returns its number and whether it was superseded."""
        tenure = HeldTenure(epoch)
        term = await begin_term(self._link, tenure, self._rng)
        return term and term.number, tenure.is_superseded

    def numbers(self):
        """Returns the number in each shard's row."""
        rows = [
            self._tables.read(TERMS_TABLE, term_key(shard))
            for shard in range(SHARDS)
        ]
        return {msgspec.convert(row.value, TermRow).number for row in rows}

    def put_number(self, number):
        """Writes the rows as a node of an earlier version does."""
        for shard in range(SHARDS):
            value = {"number": number, "nonce": "earlier"}
            self._tables.put(TERMS_TABLE, term_key(shard), value)

    def forget_epochs(self):
        """Leaves in the rows only what earlier versions of a node wrote."""
        for shard in range(SHARDS):
            key = term_key(shard)
            value = self._tables.read(TERMS_TABLE, key).value
            self._tables.put(
                TERMS_TABLE,
                key,
                {name: value[name] for name in ("number", "nonce")},
            )


FIRST, SECOND = FENCES_PER_TERM, 2 * FENCES_PER_TERM


@pytest.mark.parametrize(
    ("epochs", "last_answer", "number"),
    [
        ((5, 6), (SECOND, False), SECOND),
        ((6, 6), (SECOND, False), SECOND),
        ((6, 5), (None, True), FIRST),
    ],
    ids=["a successor", "the same holder", "a former holder"],
)
def test_only_a_holder_under_the_highest_epoch_begins_a_term(
    epochs, last_answer, number
):
    """Guards against a scheduler whose term a former holder ends.

    A holder whose role is claimed by another node acts until its lease ends.
    """

    async def scenario():
        terms = Terms()
        answers = [await terms.begin(epoch) for epoch in epochs]
        return answers[-1], terms.numbers()

    last_fence = number + FENCES_PER_TERM - 1
    assert run_virtual(scenario()) == (last_answer, {last_fence})


def test_term_begins_above_one_whose_row_has_no_epoch():
    """Guards against nodes that can't lead after an upgrade."""

    async def scenario():
        terms = Terms()
        await terms.begin(6)
        terms.forget_epochs()
        return await terms.begin(5), terms.numbers()

    last_fence = SECOND + FENCES_PER_TERM - 1
    assert run_virtual(scenario()) == ((SECOND, False), {last_fence})


@pytest.mark.parametrize(
    ("earlier", "number"), [(1, FIRST), (255, FIRST), (256, SECOND)]
)
def test_term_begins_above_those_of_an_earlier_version(earlier, number):
    async def scenario():
        terms = Terms()
        terms.put_number(earlier)
        return (await terms.begin(1))[0]

    assert run_virtual(scenario()) == number


def test_next_number_is_above_all_fences_of_a_term():
    """A node of an earlier version takes the number after the row's."""

    async def scenario():
        terms = Terms()
        number, _ = await terms.begin(1)
        (stored,) = terms.numbers()
        return stored + 1 - number

    assert run_virtual(scenario()) >= FENCES_PER_TERM
