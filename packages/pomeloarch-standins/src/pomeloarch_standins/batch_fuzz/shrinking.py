"""Reduces a plan that fails to the fewest faults and jobs that still fail."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set

import msgspec

from pomeloarch_standins.batch_fuzz.plan import Plan

# How many seeds of the models' random numbers are tried with each smaller plan.
# Without a fault or a job, the same seed gives other random numbers.
SEEDS_PER_PLAN = 2


def shrink(plan: Plan, kinds_of: Callable[[Plan], Set[str]]) -> Plan:
    """Returns a smaller plan that fails in the same way.

    Args:
      plan: a plan that fails.
      kinds_of: plays a plan and returns the kinds of its violations.
    """
    wanted = kinds_of(plan)

    def fails(candidate: Plan) -> Plan | None:
        return next(
            (p for p in _with_seeds(candidate) if kinds_of(p) & wanted), None
        )

    if not wanted:
        return plan
    while True:
        smaller = _shrink_once(plan, fails)
        if smaller is None:
            return plan
        plan = smaller


def _with_seeds(plan: Plan) -> Iterator[Plan]:
    for step in range(SEEDS_PER_PLAN):
        world = msgspec.structs.replace(plan.world, seed=plan.world.seed + step)
        yield msgspec.structs.replace(plan, world=world)


def _shrink_once(
    plan: Plan, fails: Callable[[Plan], Plan | None]
) -> Plan | None:
    """Drops faults and jobs in turn; returns None if none can be dropped."""
    dropped = False
    for part in ("faults", "jobs"):
        size = len(getattr(plan, part))
        while size >= 1:
            start = 0
            while start < len(getattr(plan, part)):
                parts = getattr(plan, part)
                left = parts[:start] + parts[start + size :]
                candidate = fails(msgspec.structs.replace(plan, **{part: left}))
                if candidate is None:
                    start += size
                else:
                    plan, dropped = candidate, True
            size //= 2
    return plan if dropped else None
