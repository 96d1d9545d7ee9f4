"""Measures the cost of one changed object by the size of the object set."""

from __future__ import annotations

import time
from collections.abc import Iterator

from pomeloarch_core.ids import (
    Generation,
    OrganisationName,
    PublicationId,
    TeamName,
)
from pomeloarch_core.membership.generation_messages import (
    Deltas,
    encode_message,
    pack_snapshot,
)
from pomeloarch_core.objects.delta import apply_delta, make_delta
from pomeloarch_core.objects.model import (
    ObjectSet,
    Organisation,
    Snapshot,
    Team,
)
from pomeloarch_standins.measure import MeasureRow

SET_SIZES = (4, 110, 1_100)
_REPEATS = 20


def apply_rows(seed: int) -> Iterator[MeasureRow]:
    """Yields the processor time and sizes of one changed object."""
    for count in SET_SIZES:
        old, new = _snapshots(count)
        step = make_delta(old, new)
        case = f"{count} organisations"
        begin = time.process_time()
        for _ in range(_REPEATS):
            apply_delta(old, step).unwrap()
        used = (time.process_time() - begin) / _REPEATS
        packed = len(pack_snapshot(new))
        message = len(encode_message(Deltas((step,))))
        for measure, value, unit in (
            ("generation_apply", 1_000 * used, "ms"),
            ("generation_snapshot_packed", packed, "B"),
            ("generation_delta_message", message, "B"),
        ):
            yield MeasureRow(measure, case, "product", seed, value, unit)


def _snapshots(count: int) -> tuple[Snapshot, Snapshot]:
    """Returns two generations that differ in one organisation."""
    organisations = [
        Organisation(
            name=OrganisationName(f"organisation-{number}"),
            weight=1.0 + number % 7,
            teams=(Team(TeamName(f"team-{number}"), 8 + number % 50),),
        )
        for number in range(count)
    ]
    old = ObjectSet(organisation=tuple(organisations))
    organisations[0] = Organisation(name=OrganisationName("organisation-0"))
    new = ObjectSet(organisation=tuple(organisations))
    return (
        Snapshot(Generation(1), PublicationId("p1"), old),
        Snapshot(Generation(2), PublicationId("p2"), new),
    )
