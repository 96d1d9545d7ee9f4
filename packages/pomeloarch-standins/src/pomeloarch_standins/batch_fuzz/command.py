"""The command that plays random plans: `python -m ...batch_fuzz --seeds 1-9`.

Exit codes: 0 when no plan fails, 1 when one does, 2 for a wrong argument.
"""

from __future__ import annotations

import argparse
import pathlib
import sys
from collections.abc import Iterator, Sequence

from pomeloarch_core.batch.messages import TaskId
from pomeloarch_standins.batch_fuzz.drawing import draw_plan
from pomeloarch_standins.batch_fuzz.faults import KINDS
from pomeloarch_standins.batch_fuzz.plan import Plan
from pomeloarch_standins.batch_fuzz.playing import Result, play
from pomeloarch_standins.batch_fuzz.shrinking import shrink
from pomeloarch_standins.batch_fuzz.tracing import trace

# Maximum number of violations of one plan that are printed.
_MAX_PRINTED = 5


def main(argv: list[str] | None = None) -> int:
    """Plays the plans that the arguments name and returns the exit code."""
    args = _parser().parse_args(argv)
    if not sys.flags.hash_randomization:
        pass
    elif args.trace is not None or args.shrink:
        print(
            "Set PYTHONHASHSEED=0 to play a seed the same way again.",
            file=sys.stderr,
        )
    failed = played = runs = 0
    for name, plan in _plans(args):
        result = play(plan)
        played, runs = played + 1, runs + len(result.entries)
        if args.trace is not None:
            for line in trace(args.trace, result.entries, result.log):
                print(line)
        if result.findings:
            failed += 1
            _report(name, plan, result, args.shrink)
            if args.until_failure:
                break
    print(f"{played} plans, {runs} runs of tasks, {failed} plans failed")
    return 1 if failed else 0


def _plans(args: argparse.Namespace) -> Iterator[tuple[str, Plan]]:
    if args.plan is not None:
        yield str(args.plan[0]), args.plan[1]
        return
    for position, seed in enumerate(args.seeds):
        if position % args.part[1] == args.part[0] - 1:
            yield f"seed {seed}", draw_plan(seed, args.faults)


def _report(name: str, plan: Plan, result: Result, shrinks: bool) -> None:
    for each in result.findings[:_MAX_PRINTED]:
        print(f"{name}: {each.kind}: {each.text}")
    left = len(result.findings) - _MAX_PRINTED
    if left > 0:
        print(f"{name}: and {left} more")
    if shrinks:
        smaller = shrink(plan, lambda p: {f.kind for f in play(p).findings})
        for each in play(smaller).findings[:_MAX_PRINTED]:
            print(f"{name}, smaller: {each.kind}: {each.text}")
        print(smaller.to_lines(), end="")
    sys.stdout.flush()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m pomeloarch_standins.batch_fuzz",
        description="Play random jobs and faults on models in virtual time.",
    )
    what = parser.add_mutually_exclusive_group()
    what.add_argument(
        "--seeds",
        type=_seeds,
        default=range(1, 11),
        metavar="FIRST-LAST",
        help="a seed or a range of seeds (default: 1-10)",
    )
    what.add_argument(
        "--plan",
        type=_plan,
        metavar="FILE",
        help="play the plan in a file, as printed by --shrink",
    )
    parser.add_argument(
        "--faults",
        type=_kinds,
        default=tuple(KINDS),
        metavar="KIND,...",
        help=f"kinds of faults (default: all): {', '.join(KINDS)}",
    )
    parser.add_argument(
        "--shrink",
        action="store_true",
        help="reduce each plan that fails to a few lines, and print them",
    )
    parser.add_argument(
        "--until-failure",
        action="store_true",
        help="stop at the first plan that fails",
    )
    parser.add_argument(
        "--trace",
        type=_task,
        metavar="TASK",
        help="print all decisions about a task, and its runs, in order",
    )
    parser.add_argument(
        "--part",
        type=_part,
        default=(1, 1),
        metavar="I/N",
        help="play only each Nth seed, from the Ith on (default: 1/1)",
    )
    return parser


def _seeds(text: str) -> Sequence[int]:
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError:
        raise argparse.ArgumentTypeError(
            f"{text!r} is neither a seed nor a range such as 1-200"
        ) from None
    if not seeds:
        raise argparse.ArgumentTypeError(f"the range {text!r} has no seed")
    return seeds


def _kinds(text: str) -> tuple[str, ...]:
    kinds = tuple(each for each in text.split(",") if each)
    unknown = [each for each in kinds if each not in KINDS]
    if unknown:
        raise argparse.ArgumentTypeError(
            f"no fault is named {', '.join(unknown)}; "
            f"choose from {', '.join(KINDS)}"
        )
    return kinds


def _task(text: str) -> TaskId:
    task = TaskId.parse(text)
    if task is None:
        raise argparse.ArgumentTypeError(
            f"{text!r} is no task; it has the form JOB.OCCURRENCE.STEP.INDEX"
        )
    return task


def _part(text: str) -> tuple[int, int]:
    part, _, count = text.partition("/")
    if not (part.isdecimal() and count.isdecimal()):
        raise argparse.ArgumentTypeError(f"{text!r} is no part such as 1/2")
    found = int(part), int(count)
    if not 1 <= found[0] <= found[1]:
        raise argparse.ArgumentTypeError(f"there is no part {text}")
    return found


def _plan(text: str) -> tuple[str, Plan]:
    try:
        plan = Plan.from_lines(pathlib.Path(text).read_text())
    except (OSError, ValueError) as exc:
        raise argparse.ArgumentTypeError(f"{text}: {exc}") from None
    unknown = [f.kind for f in plan.faults if f.kind not in KINDS]
    if unknown:
        raise argparse.ArgumentTypeError(
            f"{text}: no fault is named {', '.join(unknown)}"
        )
    return text, plan
