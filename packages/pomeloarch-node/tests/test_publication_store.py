import asyncio
import random

import pytest
from result import Ok

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects import (
    ObjectLocations,
    ObjectSet,
    Organisation,
    Snapshot,
    apply_delta,
)
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publication_writer import PublicationWriter
from pomeloarch_node.publications import PublicationRequest
from pomeloarch_standins.memory_platform import MemoryPlatform


class PagedPlatform(MemoryPlatform):
    """Returns pages of two rows, and calls `after_page` after each."""

    def __init__(self):
        super().__init__()
        self.after_page = None
        self.reads = 0

    async def read(self, keys):
        self.reads += 1
        return await super().read(keys)

    async def scan(self, table, prefix="", after="", limit=1000):
        rows = await super().scan(table, prefix, after, min(limit, 2))
        if self.after_page is not None:
            await self.after_page()
        return rows


def organisations(**weights):
    return ObjectSet(
        organisation=tuple(
            Organisation(name, weight) for name, weight in weights.items()
        )
    )


async def run_in_loop(function, *args):
    return function(*args)


async def publish(platform, objects, name):
    store = PublicationStore(platform)
    writer = PublicationWriter(
        platform, store, NodeId("n"), random.Random(1), offload=run_in_loop
    )
    request = PublicationRequest(
        publication=PublicationId(name),
        objects=objects,
        locations=ObjectLocations(),
        base=None,
        who="asha",
        why="a test",
        origin="127.0.0.1",
    )
    outcome = await writer.publish(request)
    return outcome.unwrap().snapshot


OLD = organisations(a=1.0, b=1.0, c=1.0, d=1.0)
# Compared with OLD, an object of the first page is changed, one of a later page
# is changed, one is removed and one is added.
NEW = organisations(a=2.0, c=1.0, d=2.0, e=1.0)


def test_loading_during_a_publication_gives_one_consistent_generation():
    async def run():
        platform = PagedPlatform()
        await publish(platform, OLD, "p1")

        async def publish_once():
            platform.after_page = None
            await publish(platform, NEW, "p2")

        platform.after_page = publish_once
        return (await PublicationStore(platform).load_snapshot()).unwrap()

    loaded = asyncio.run(run())
    assert (loaded.generation, loaded.publication) == (2, "p2")
    assert loaded.objects == NEW


def test_a_plain_scan_during_a_publication_mixes_generations():
    async def run():
        platform = PagedPlatform()
        await publish(platform, OLD, "p1")
        first = (await platform.scan("objects")).unwrap()
        await publish(platform, NEW, "p2")
        after = first[-1].key
        rest = (await platform.scan("objects", after=after)).unwrap()
        return [
            (row.value["name"], row.value["weight"]) for row in first + rest
        ]

    mixed = asyncio.run(run())
    assert mixed == [("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 2.0)]


def test_a_node_that_holds_the_previous_generation_reads_only_the_change():
    async def run():
        platform = PagedPlatform()
        held = await publish(platform, OLD, "p1")
        await publish(platform, NEW, "p2")
        platform.reads = 0
        store = PublicationStore(platform, lambda: held)
        loaded = (await store.load_snapshot()).unwrap()
        reads = platform.reads
        [record] = (
            await store.load_records(Generation(2), Generation(2))
        ).unwrap()
        return held, loaded, reads, record

    held, loaded, reads, record = asyncio.run(run())
    assert (loaded.objects, reads) == (NEW, 2)
    assert apply_delta(held, record.delta()) == Ok(loaded)


def test_tables_with_a_lower_generation_are_rejected():
    async def run():
        platform = PagedPlatform()
        await publish(platform, OLD, "p1")
        held = Snapshot(Generation(5), PublicationId("p5"), NEW)
        answer = await PublicationStore(platform, lambda: held).load_snapshot()
        return answer.unwrap_err().message

    message = asyncio.run(run())
    assert "generation 1, below 5 which is in force here" in message


@pytest.mark.parametrize("number", [0, 1, 2, 3])
def test_each_earlier_generation_can_be_read(number):
    async def run():
        platform = PagedPlatform()
        sets = [ObjectSet(), OLD, NEW, organisations(z=1.0)]
        for index, objects in enumerate(sets[1:]):
            await publish(platform, objects, f"p{index}")
        store = PublicationStore(platform)
        newest = (await store.load_snapshot()).unwrap()
        found = await store.load_objects_at(Generation(number), newest)
        assert found.unwrap() == sets[number]

    asyncio.run(run())
