"""When a refused caller may come again."""

from __future__ import annotations

import random

from pomeloarch_core.routing.messages import Refusal, RefusalReason

_LEAST_S = 1.0
_LONGEST_S = 30.0
_JITTER = 1.0


def make_refusal(
    reason: RefusalReason, wait_s: float, rng: random.Random
) -> Refusal:
    """Returns a refusal whose `Retry-After` is spread over its callers.

    Args:
      reason: why the request is refused.
      wait_s: the time until its work could be taken, in seconds.
      rng: draws the jitter, so that refused callers don't return together.
    """
    base = min(_LONGEST_S, max(_LEAST_S, wait_s))
    return Refusal(reason, base * (1.0 + _JITTER * rng.random()))
