"""Refusals with the time after which a caller may retry."""

from __future__ import annotations

import random

from pomeloarch_core.routing.messages import Refusal, RefusalReason

_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
# Limit on the jitter, as a share of the time without jitter.
_JITTER_SHARE = 1.0


def make_refusal(
    reason: RefusalReason, wait_s: float, rng: random.Random
) -> Refusal:
    """Returns a refusal with jitter in its `Retry-After`.

    Args:
      reason: why the request is refused.
      wait_s: estimated time until the request could be admitted, in seconds.
      rng: draws the jitter, which keeps refused callers from all retrying at
        the same moment.
    """
    base = min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))
    return Refusal(reason, base * (1.0 + _JITTER_SHARE * rng.random()))
