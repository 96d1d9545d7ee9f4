"""Measures checks, publications and deltas by the size of the object set."""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from collections.abc import Callable, Iterable, Iterator

import msgspec

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects import (
    ObjectLocations,
    ObjectSet,
    Snapshot,
    SourceText,
    check_documents,
    difference,
    make_delta,
)
from pomeloarch_core.objects.packing import Cell, Fit, fit
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publication_writer import PublicationWriter
from pomeloarch_node.publications import PublicationRequest
from pomeloarch_standins.measure import MeasureRow
from pomeloarch_standins.memory_platform import MemoryPlatform

_ORGANISATIONS = (4, 110, 1_100)
_ORGANISATIONS_PER_PART = 150
_REPEATS = 3
_RANDOM_POOLS = 400
_ZONES = 22
_TEAMS_PER_ORGANISATION = 3
_MILLISECONDS = 1_000.0


def rows(seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Yields the rows of the suite."""
    for seed in seeds:
        for organisations in _ORGANISATIONS:
            yield from _rows_at(organisations, seed)
        yield from _packing_rows(seed)


def _rows_at(organisations: int, seed: int) -> Iterator[MeasureRow]:
    case = f"{organisations} organisations"
    source = SourceText("objects.toml", _toml(organisations, seed).encode())
    check_ms = _median_ms(lambda: check_documents([source]))
    yield _row("check time", case, seed, check_ms, "ms")
    objects = check_documents([source]).unwrap().objects
    publish_ms, written = asyncio.run(_publish_one_edit(objects))
    whole_ms = check_ms + publish_ms
    yield _row("publish time, one edit", case, seed, whole_ms, "ms", "naive")
    yield _row("publish time, one edit", case, seed, publish_ms, "ms")
    yield _row("rows written by one edit", case, seed, written, "rows")
    old = Snapshot(Generation(1), PublicationId("1" * 32), objects)
    new = Snapshot(Generation(2), PublicationId("2" * 32), _edited(objects))
    size = len(msgspec.msgpack.encode(new))
    yield _row("bytes sent for one edit", case, seed, size, "bytes", "naive")
    size = len(msgspec.msgpack.encode(make_delta(old, new)))
    yield _row("bytes sent for one edit", case, seed, size, "bytes")


def _packing_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields how often counting accelerators accepts guarantees that don't fit.

    The random pools guarantee at most nine tenths of their accelerators, so
    that counting accepts all of them.
    """
    rng = random.Random(seed)
    by_count = accepted = unsettled = 0
    for _ in range(_RANDOM_POOLS):
        outcome = fit(_cells(rng), 2, 8, 8)
        by_count += outcome is Fit.DOES_NOT_FIT
        accepted += outcome is Fit.FITS
        unsettled += outcome is Fit.NOT_SETTLED
    case = f"{_RANDOM_POOLS} pools of 2 racks, 90% asked for"
    measure = "guarantees accepted that do not fit"
    yield _row(measure, case, seed, by_count, "pools", "naive")
    yield _row("guarantees accepted", case, seed, accepted, "pools")
    yield _row("guarantees not settled", case, seed, unsettled, "pools")


def _cells(rng: random.Random) -> list[Cell]:
    cells: list[Cell] = []
    free = int(2 * 8 * 8 * 0.9)
    while free > 0:
        cell = Cell(rng.choice((2, 4, 5, 6, 8)), rng.choice((1, 2, 4)))
        if cell.accelerators * cell.hosts > free:
            break
        free -= cell.accelerators * cell.hosts
        cells.append(cell)
    return cells


async def _publish_one_edit(objects: ObjectSet) -> tuple[float, int]:
    """Returns the processor time of one edit, in milliseconds, and its rows."""
    platform = MemoryPlatform()
    snapshots: list[Snapshot] = []
    store = PublicationStore(
        platform, lambda: snapshots[-1] if snapshots else None
    )
    writer = PublicationWriter(
        platform, store, NodeId("node"), random.Random(1)
    )
    for number, part in enumerate(_parts(objects)):
        outcome = await writer.publish(_request(part, f"part-{number}"))
        snapshots.append(outcome.unwrap().snapshot)
    before = platform.rows_written
    started = time.process_time()
    edit = msgspec.structs.replace(
        _request(difference(objects, _edited(objects)).changed, "edit"),
        removed=(),
    )
    outcome = await writer.publish(edit)
    outcome.unwrap()
    elapsed_ms = (time.process_time() - started) * _MILLISECONDS
    return elapsed_ms, platform.rows_written - before


def _parts(objects: ObjectSet) -> Iterator[ObjectSet]:
    """Yields growing sets up to the whole, as publications are size-limited."""
    organisations = objects.organisation
    step = _ORGANISATIONS_PER_PART
    for end in range(step, len(organisations) + step, step):
        kept = {item.name for item in organisations[:end]}
        shapes = objects.guaranteed_shape
        yield msgspec.structs.replace(
            objects,
            organisation=organisations[:end],
            guaranteed_shape=tuple(
                shape for shape in shapes if shape.organisation in kept
            ),
        )


def _request(objects: ObjectSet, name: str) -> PublicationRequest:
    return PublicationRequest(
        publication=PublicationId(name),
        objects=objects,
        locations=ObjectLocations(),
        base=None,
        who="operator",
        why="measure",
        origin="127.0.0.1",
    )


def _edited(objects: ObjectSet) -> ObjectSet:
    first, *rest = objects.organisation
    changed = msgspec.structs.replace(first, weight=3.5)
    return msgspec.structs.replace(objects, organisation=(changed, *rest))


def _toml(organisations: int, seed: int) -> str:
    """Returns a configuration whose zones and pools grow with organisations."""
    rng = random.Random(seed)
    zones = min(_ZONES, max(3, organisations // 5))
    racks = max(1, organisations * 4 // zones)
    lines = []
    for index in range(zones):
        lines.append(
            f'[[availability_zone]]\nname = "z{index}"\nregion = "r"\n'
            f'[[worker_pool]]\nname = "p{index}"\n'
            f'availability_zone = "z{index}"\nracks = {racks}\n'
            "hosts_per_rack = 8\naccelerators_per_host = 8\n"
            "cores_per_host = 128\nmemory_gb_per_host = 512\n"
        )
    lines += [
        _organisation(index, zones, rng) for index in range(organisations)
    ]
    lines.append(
        '[[job_class]]\nname = "urgent"\nurgency = "urgent"\n'
        'floor_share = 0.2\n[[job_class]]\nname = "batch"\n'
        'urgency = "batch"\nmax_gang = 64\n'
    )
    return "".join(lines)


def _organisation(index: int, zones: int, rng: random.Random) -> str:
    teams = ", ".join(
        f'{{name = "t{team}", quota_accelerators = {rng.randint(8, 64)}}}'
        for team in range(_TEAMS_PER_ORGANISATION)
    )
    shape = ""
    if index % 10 == 0:
        shape = (
            f'[[guaranteed_shape]]\nname = "s{index}"\n'
            f'organisation = "o{index}"\nworker_pool = "p{index % zones}"\n'
            f"hosts = {rng.choice((1, 2, 4))}\n"
            f"accelerators_per_host = {rng.choice((4, 8))}\n"
        )
    return (
        f'[[organisation]]\nname = "o{index}"\nweight = 1.0\n'
        f"quota_accelerators = 128\nteams = [{teams}]\n{shape}"
    )


def _median_ms(run: Callable[[], object]) -> float:
    times = []
    for _ in range(_REPEATS):
        started = time.process_time()
        run()
        times.append((time.process_time() - started) * _MILLISECONDS)
    return statistics.median(times)


def _row(
    measure: str,
    case: str,
    seed: int,
    value: float,
    unit: str,
    variant: str = "product",
) -> MeasureRow:
    kind = "naive" if variant == "naive" else "product"
    return MeasureRow(measure, case, kind, seed, value, unit)  # type: ignore[arg-type]
