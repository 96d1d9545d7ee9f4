"""Prints the measurements: `make measure`, with `ARGS=--json` for machines.

Each suite is a module `measure_{suite}` of this package with a function
`rows(seeds)` that yields `MeasureRow`s. A suite runs alone with `--suite`.
"""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Iterable, Iterator
from typing import Literal

import msgspec

SEEDS = (1, 2, 3)
SUITES = ("gang", "jobs", "membership", "objects", "requests")


class MeasureRow(msgspec.Struct, frozen=True):
    """One measured value.

    Attributes:
      measure: what was measured.
      case: under which load or fault, at which size.
      variant: the product or the naive version beside it.
      seed: the seed of the run.
      value: the value.
      unit: its unit.
    """

    measure: str
    case: str
    variant: Literal["product", "naive"]
    seed: int
    value: float
    unit: str


def run_suite(name: str, seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Runs one suite and yields its rows."""
    module = importlib.import_module(f"{__package__}.measure_{name}")
    yield from module.rows(seeds)


def main(argv: list[str] | None = None) -> int:
    """Runs the suites asked for and prints their rows."""
    parser = argparse.ArgumentParser(
        prog="measure", description="Measure the product beside naive versions."
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object a line"
    )
    parser.add_argument(
        "--suite",
        choices=SUITES,
        action="append",
        help="run only this suite; may be given more than once",
    )
    args = parser.parse_args(argv)
    for name in args.suite or SUITES:
        for row in run_suite(name, SEEDS):
            print(_line(row, as_json=args.json), flush=True)
    return 0


def _line(row: MeasureRow, *, as_json: bool) -> str:
    if as_json:
        return msgspec.json.encode(row).decode()
    return (
        f"{row.measure:32} {row.case:36} {row.variant:8} "
        f"{row.seed:4d} {row.value:14.4f} {row.unit}"
    )


if __name__ == "__main__":
    sys.exit(main())
