"""Runs the measurements and prints them as tables or as JSON lines.

`make measure` prints tables, `make measure ARGS=--json` prints JSON lines.

Each suite is a module `measure_{suite}` of this package with a function
`rows(seeds)` that yields `MeasureRow`s. A suite runs alone with `--suite`.
"""

from __future__ import annotations

import argparse
import importlib
import pathlib
import sys
from collections.abc import Iterable, Iterator
from typing import Literal

import msgspec

SEEDS = (1, 2, 3)
SUITES = ("gang", "jobs", "membership", "objects", "requests")


class MeasureRow(msgspec.Struct, frozen=True):
    """One measured value.

    Attributes:
      measure: the name of the measured quantity.
      case: the load or fault and the size.
      variant: the product, or the naive version for comparison.
      seed: the seed of the run.
      value: the measured value.
      unit: the unit of the value.
    """

    measure: str
    case: str
    variant: Literal["product", "naive"]
    seed: int
    value: float
    unit: str


def run_suite(name: str, seeds: Iterable[int]) -> Iterator[MeasureRow]:
    """Runs a suite and yields its rows."""
    module = importlib.import_module(f"{__package__}.measure_{name}")
    yield from module.rows(seeds)


def main(argv: list[str] | None = None) -> int:
    """Runs the selected suites and prints their rows."""
    parser = argparse.ArgumentParser(
        prog="measure", description="Measure the product and naive versions."
    )
    parser.add_argument(
        "--json", action="store_true", help="print one JSON object per line"
    )
    parser.add_argument(
        "--suite",
        choices=SUITES,
        action="append",
        help="run only this suite; may be given more than once",
    )
    parser.add_argument(
        "--read",
        type=pathlib.Path,
        nargs="+",
        metavar="FILE",
        help="print the tables of rows that --json wrote earlier",
    )
    args = parser.parse_args(argv)
    if args.read:
        for title, rows in read_rows(args.read).items():
            print(format_table(title, rows))
        return 0
    for name in args.suite or SUITES:
        if args.json:
            for row in run_suite(name, SEEDS):
                print(msgspec.json.encode(row).decode(), flush=True)
        else:
            print(format_table(name, run_suite(name, SEEDS)), flush=True)
    return 0


def read_rows(paths: Iterable[pathlib.Path]) -> dict[str, list[MeasureRow]]:
    """Reads files that `--json` wrote and returns their rows by file name."""
    return {
        path.stem: [
            msgspec.json.decode(line, type=MeasureRow)
            for line in path.read_bytes().splitlines()
        ]
        for path in paths
    }


def format_table(title: str, rows: Iterable[MeasureRow]) -> str:
    """Returns rows as a Markdown table with the seeds of a case side by side.

    >>> row = MeasureRow("wait", "flood", "product", 1, 0.5, "s")
    >>> print(format_table("demo", [row]).splitlines()[-1])
    | wait | flood | 0.5 |  | s |
    """
    cells: dict[tuple[str, str, str], dict[str, list[str]]] = {}
    for row in rows:
        key = row.measure, row.case, row.unit
        variants = cells.setdefault(key, {"product": [], "naive": []})
        variants[row.variant].append(f"{row.value:.4g}")
    lines = [
        f"## {title}",
        "",
        "| measure | case | product | naive | unit |",
        "| --- | --- | --- | --- | --- |",
    ]
    for (measure, case, unit), variants in cells.items():
        product = ", ".join(variants["product"])
        naive = ", ".join(variants["naive"])
        lines.append(f"| {measure} | {case} | {product} | {naive} | {unit} |")
    return "\n".join([*lines, ""])


if __name__ == "__main__":
    sys.exit(main())
