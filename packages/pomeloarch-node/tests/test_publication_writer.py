import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects import (
    ObjectLocations,
    ObjectSet,
    Organisation,
    apply_change,
    by_key,
    difference,
)
from pomeloarch_node.platform import PlatformError, PlatformFailure, Write
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publication_writer import PublicationWriter
from pomeloarch_node.publications import EditsConflict, PublicationRequest
from pomeloarch_standins.memory_platform import Fault, MemoryPlatform


class FakeClock:
    def __init__(self):
        self.now = 0.0

    async def sleep(self, seconds):
        self.now += seconds
        await asyncio.sleep(0)


async def run_in_loop(function, *args):
    return function(*args)


class Operators:
    def __init__(self):
        self.platform = MemoryPlatform()
        self.clock = FakeClock()
        self.store = PublicationStore(self.platform)

    def writer(self, seed=1):
        return PublicationWriter(
            self.platform,
            PublicationStore(self.platform),
            NodeId("patan-1"),
            random.Random(seed),
            wall_clock=lambda: 1_000.0,
            clock=lambda: self.clock.now,
            sleep=self.clock.sleep,
            offload=run_in_loop,
        )

    async def publish(self, objects, *, base=None, name="p", who="asha"):
        request = PublicationRequest(
            publication=PublicationId(name),
            objects=objects,
            locations=ObjectLocations(),
            base=None if base is None else Generation(base),
            who=who,
            why="a test",
            origin="127.0.0.1",
        )
        return await self.writer().publish(request)

    async def head(self):
        return (await self.store.load_snapshot()).unwrap()


def organisations(**weights):
    return ObjectSet(
        organisation=tuple(
            Organisation(name, weight) for name, weight in weights.items()
        )
    )


def test_a_publication_creates_a_record_and_the_highest_generation():
    async def run():
        operators = Operators()
        await operators.publish(organisations(a=1.0, b=1.0), name="p1")
        await operators.publish(organisations(a=2.0), name="p2", who="bina")
        head = await operators.head()
        assert (head.generation, head.publication) == (2, "p2")
        assert head.objects == organisations(a=2.0)
        records = await operators.store.load_records(
            Generation(1), Generation(2)
        )
        last = records.unwrap()[-1]
        assert (last.who, last.why, last.at) == ("bina", "a test", 1_000.0)
        assert last.before == organisations(a=1.0, b=1.0)
        assert last.after == organisations(a=2.0)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("read_faults", "txn_faults"),
    [
        ([], [Fault.LOST_ANSWER]),
        ([], [Fault.LOST_REQUEST, Fault.LOST_ANSWER]),
        ([], [Fault.DOWN, Fault.DOWN]),
        ([], [Fault.LATE]),
        ([], [Fault.LATE, Fault.LATE, Fault.LOST_ANSWER]),
        ([Fault.NONE] * 3 + [Fault.DOWN] * 3, [Fault.LOST_ANSWER]),
    ],
)
def test_a_publication_is_made_once_in_spite_of_lost_answers(
    read_faults, txn_faults
):
    async def run():
        operators = Operators()
        operators.platform.read_faults.extend(read_faults)
        operators.platform.txn_faults.extend(txn_faults)
        answer = await operators.publish(organisations(a=1.0))
        assert answer.unwrap().published.generation == 1
        assert operators.platform.transactions == 1

    asyncio.run(run())


def test_a_retry_on_another_node_returns_the_first_generation():
    async def run():
        operators = Operators()
        first = await operators.publish(organisations(a=1.0))
        await operators.publish(organisations(a=3.0), name="other")
        again = await operators.publish(organisations(a=1.0))
        assert first.unwrap().published.generation == 1
        assert again.unwrap().published.generation == 1
        assert again.unwrap().published.repeated
        assert (await operators.head()).objects == organisations(a=3.0)

    asyncio.run(run())


def test_a_platform_that_stays_down_gives_not_done_or_unknown():
    async def run(txn_faults):
        operators = Operators()
        operators.platform.txn_faults.extend(txn_faults)
        operators.platform.read_faults.extend(
            [Fault.NONE] * 3 + [Fault.DOWN] * 100
        )
        answer = await operators.publish(organisations(a=1.0))
        return answer.unwrap_err().failure

    assert asyncio.run(run([Fault.DOWN])) is PlatformFailure.NOT_DONE
    assert asyncio.run(run([Fault.LOST_ANSWER])) is PlatformFailure.UNKNOWN


def test_edits_of_different_objects_are_both_kept():
    async def run():
        operators = Operators()
        await operators.publish(organisations(a=1.0, b=1.0), name="p0")
        answers = await asyncio.gather(
            operators.publish(organisations(a=2.0, b=1.0), base=1, name="p1"),
            operators.publish(organisations(a=1.0, b=3.0), base=1, name="p2"),
        )
        assert all(isinstance(answer, Ok) for answer in answers)
        head = await operators.head()
        assert head.generation == 3
        assert head.objects == organisations(a=2.0, b=3.0)

    asyncio.run(run())


def test_edits_of_the_same_object_conflict_and_name_the_other_operator():
    async def run():
        operators = Operators()
        await operators.publish(organisations(a=1.0), name="p0")
        answers = await asyncio.gather(
            operators.publish(
                organisations(a=2.0), base=1, name="p1", who="asha"
            ),
            operators.publish(
                organisations(a=3.0), base=1, name="p2", who="bina"
            ),
        )
        [lost] = [answer for answer in answers if isinstance(answer, Err)]
        [edit] = lost.err_value.edits
        head = await operators.head()
        winner = {"p1": "asha", "p2": "bina"}[head.publication]
        assert (edit.object, edit.who) == ("organisation/a", winner)
        assert head.generation == 2

    asyncio.run(run())


async def publish_naively(platform, objects, name):
    """Reads, then writes without conditions, and retries after any failure."""
    while True:
        [head] = (await platform.read([("config", "head")])).unwrap()
        number = (head.value or {"generation": 0})["generation"] + 1
        writes = [Write("publications", f"{number:012d}", name)]
        writes.append(Write("config", "head", {"generation": number}))
        writes += [
            Write("objects", str(key), item.weight)
            for key, item in by_key(objects).items()
        ]
        if isinstance(await platform.transact([], writes), Ok):
            return


def test_a_naive_publisher_loses_an_edit_and_publishes_twice():
    async def run():
        platform = MemoryPlatform()
        await asyncio.gather(
            publish_naively(platform, organisations(a=2.0, b=1.0), "p1"),
            publish_naively(platform, organisations(a=1.0, b=3.0), "p2"),
        )
        rows = (await platform.scan("objects")).unwrap()
        lost_answer = MemoryPlatform()
        lost_answer.txn_faults.append(Fault.LOST_ANSWER)
        await publish_naively(lost_answer, organisations(a=1.0), "p1")
        doubled = (await lost_answer.scan("publications")).unwrap()
        return [row.value for row in rows], len(doubled)

    assert asyncio.run(run()) == ([1.0, 3.0], 2)


WEIGHTS = st.one_of(st.none(), st.sampled_from([1.0, 2.0, 3.0]))
EDITS = st.dictionaries(st.sampled_from("abc"), WEIGHTS, min_size=1)
ROUNDS = st.lists(
    st.lists(st.tuples(EDITS, st.integers(0, 3)), min_size=1, max_size=3),
    min_size=1,
    max_size=4,
)
FAULTS = st.lists(st.sampled_from(Fault), max_size=8)


def apply_edits(objects, edits):
    weights = {item.name: item.weight for item in objects.organisation}
    kept = {
        name: weight
        for name, weight in (weights | edits).items()
        if weight is not None
    }
    return organisations(**dict(sorted(kept.items())))


async def read_history(operators):
    """Returns the records, and the objects of all generations from them."""
    operators.platform.read_faults.clear()
    operators.platform.txn_faults.clear()
    head = await operators.head()
    records = await operators.store.load_records(Generation(1), head.generation)
    found = [ObjectSet()]
    for record in records.unwrap():
        found.append(apply_change(found[-1], record.change()))
    assert found[-1] == head.objects
    return records.unwrap(), found


@given(ROUNDS, FAULTS, FAULTS)
def test_concurrent_publishers_are_equivalent_to_serial_ones(
    rounds, read_faults, txn_faults
):
    async def run():
        operators = Operators()
        requested, answers = {}, {}
        for number, operations in enumerate(rounds):
            _, before = await read_history(operators)
            operators.platform.read_faults.extend(read_faults)
            operators.platform.txn_faults.extend(txn_faults)
            publications = {}
            for index, (edits, generations_back) in enumerate(operations):
                name = f"p{number}.{index}"
                base = max(0, len(before) - 1 - generations_back)
                target = apply_edits(before[base], edits)
                requested[name] = before[base], target
                publications[name] = operators.publish(
                    target, base=base, name=name
                )
            found = await asyncio.gather(*publications.values())
            answers |= dict(zip(publications, found, strict=True))
        records, after = await read_history(operators)
        assert_serial(requested, answers, records, after)

    asyncio.run(run())


def find_overwritten(base, before, target):
    """Returns the keys that others have meanwhile edited differently."""
    both = difference(base, before).keys() & difference(base, target).keys()
    theirs, ours = by_key(before), by_key(target)
    return {key for key in both if theirs.get(key) != ours.get(key)}


def assert_serial(requested, answers, records, after):
    """Asserts that the answers are those of publishers one after another."""
    names = [record.publication for record in records]
    assert len(set(names)) == len(names)
    for name, (base, target) in requested.items():
        answer, edits = answers[name], difference(base, target)
        if name in names:
            generation = names.index(name) + 1
            serial = apply_change(after[generation - 1], edits)
            assert after[generation] == serial
            assert not find_overwritten(base, after[generation - 1], target)
        if isinstance(answer, Ok):
            generation = answer.ok_value.published.generation
            assert (
                name in names
                or not difference(
                    after[generation], apply_change(after[generation], edits)
                ).keys()
            )
        elif isinstance(answer.err_value, EditsConflict):
            assert name not in names
            others = {edit.object for edit in answer.err_value.edits}
            assert others <= set(map(str, edits.keys()))
            assert others
        else:
            assert isinstance(answer.err_value, PlatformError)
            unknown = answer.err_value.failure is PlatformFailure.UNKNOWN
            assert unknown or name not in names
