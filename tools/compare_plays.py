"""Compares two commits by plays of a day with the same seeds, in turns.

    .venv/bin/python tools/compare_plays.py FLEETBENCH SITE DAY \
        --before REV --after REV --plays 16

One play varies by more than many changes are worth. The clones are made beside
the project, where the bench's processes see them, and stay for further plays;
their journal entries are copied into this one. Exit codes: 0 when all was
played, 2 when a play failed.
"""

from __future__ import annotations

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile

from pomeloarch_standins.paired_plays import PairedComparison, read_worth


def main() -> int:
    """Plays the pairs and prints each, and what they tell together."""
    args = _parser().parse_args()
    project = pathlib.Path(__file__).resolve().parent.parent
    clones = [_clone(project, rev) for rev in (args.before, args.after)]
    pairs = []
    for number in range(args.plays):
        seed = args.first_seed + number
        # Each version comes first in half of the pairs, as load may change.
        order = (0, 1) if number % 2 == 0 else (1, 0)
        worth = {}
        for which in order:
            try:
                worth[which] = _play(args, clones[which], seed)
            except (OSError, ValueError, subprocess.CalledProcessError) as exc:
                print(f"seed {seed} in {clones[which]}: {exc}", file=sys.stderr)
                return 2
            finally:
                _keep_journal(clones[which], project)
        pairs.append((worth[0], worth[1]))
        print(f"seed {seed}: {worth[0]:.4f} -> {worth[1]:.4f}", flush=True)
    print(f"{args.site.stem} {args.day}, {args.before} -> {args.after}:")
    print(PairedComparison.from_pairs(pairs))
    return 0


def _clone(project: pathlib.Path, rev: str) -> pathlib.Path:
    """Returns a clone of the project beside it, at a commit."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", f"{rev}^{{commit}}"],
        cwd=project,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    clone = project.parent / f"compare-{commit}"
    if not clone.exists():
        subprocess.run(
            ["git", "clone", "--quiet", str(project), str(clone)], check=True
        )
    subprocess.run(
        ["git", "checkout", "--quiet", commit], cwd=clone, check=True
    )
    return clone


def _play(args: argparse.Namespace, clone: pathlib.Path, seed: int) -> float:
    with tempfile.NamedTemporaryFile() as report:
        subprocess.run(
            [
                *(str(args.bench.resolve()), "run", str(args.site.resolve())),
                *(args.day, "--seed", str(seed), "--report", report.name),
                *("--why", f"paired plays, {args.before} and {args.after}"),
            ],
            cwd=clone,
            check=True,
            capture_output=True,
        )
        return read_worth(report.read())


def _keep_journal(clone: pathlib.Path, project: pathlib.Path) -> None:
    for entry in (clone / "journal").glob("*.json"):
        kept = project / "journal" / entry.name
        if not kept.exists():
            shutil.copy(entry, kept)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench", type=pathlib.Path, help="the bench's program")
    parser.add_argument("site", type=pathlib.Path, help="a site file")
    parser.add_argument("day", help="the name of a day, or a file")
    parser.add_argument("--before", required=True, metavar="REV")
    parser.add_argument("--after", default="HEAD", metavar="REV")
    parser.add_argument("--plays", type=int, default=16, help="pairs of plays")
    parser.add_argument("--first-seed", type=int, default=1)
    return parser


if __name__ == "__main__":
    sys.exit(main())
