import asyncio
import random

import pytest
from result import Err, Ok

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects import ObjectSet, Organisation, Places
from pomeloarch_node.platform import PlatformFailure
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publication_writer import PublicationWriter
from pomeloarch_node.publications import PublicationRequest
from pomeloarch_standins.memory_platform import Fault, MemoryPlatform


class Clock:
    def __init__(self):
        self.now = 0.0

    async def sleep(self, seconds):
        self.now += seconds
        await asyncio.sleep(0)


class Operators:
    def __init__(self):
        self.platform = MemoryPlatform()
        self.clock = Clock()
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
        )

    async def publish(self, objects, *, base=None, name="p", who="asha"):
        request = PublicationRequest(
            publication=PublicationId(name),
            objects=objects,
            places=Places(),
            base=None if base is None else Generation(base),
            who=who,
            why="a test",
            origin="127.0.0.1",
        )
        return await self.writer().publish(request)

    async def head(self):
        return (await self.store.load()).unwrap()


def organisations(**weights):
    return ObjectSet(
        organisation=tuple(
            Organisation(name, weight) for name, weight in weights.items()
        )
    )


def test_a_publication_is_history_and_the_highest_generation():
    async def run():
        operators = Operators()
        await operators.publish(organisations(a=1.0, b=1.0), name="p1")
        await operators.publish(organisations(a=2.0), name="p2", who="bina")
        head = await operators.head()
        assert (head.generation, head.publication) == (2, "p2")
        assert head.objects == organisations(a=2.0)
        records = await operators.store.records(Generation(1), Generation(2))
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
        ([Fault.NONE] * 3 + [Fault.DOWN] * 3, [Fault.LOST_ANSWER]),
    ],
)
def test_a_lost_answer_is_settled_and_published_once(read_faults, txn_faults):
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


def test_a_platform_that_stays_down_is_told_as_not_done_or_unknown():
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


def test_edits_of_the_same_object_conflict_and_name_the_other():
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
