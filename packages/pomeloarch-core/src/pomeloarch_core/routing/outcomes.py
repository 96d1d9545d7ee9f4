"""Whether a request ran, concluded from the results of its attempts."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from pomeloarch_core.routing.messages import TryResult


class Ran(enum.Enum):
    """What is certain about a request without a complete answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_CERTAINLY_NOT_RUN = frozenset({TryResult.NOT_SENT, TryResult.REFUSED})
_RETRYABLE_IF_IDEMPOTENT = frozenset(
    {TryResult.FAILED, TryResult.BROKEN, TryResult.ABANDONED}
)


def what_ran(results: Iterable[TryResult]) -> Ran:
    """Returns what is certain after all attempts of a request have ended.

    >>> what_ran([TryResult.NOT_SENT, TryResult.REFUSED])
    <Ran.NOT_RUN: 'not_run'>
    >>> what_ran([TryResult.NOT_SENT, TryResult.BROKEN])
    <Ran.UNKNOWN: 'unknown'>
    """
    if all(result in _CERTAINLY_NOT_RUN for result in results):
        return Ran.NOT_RUN
    return Ran.UNKNOWN


def may_retry(result: TryResult, *, idempotent: bool) -> bool:
    """Returns whether another attempt is safe after one with this result."""
    if result in _CERTAINLY_NOT_RUN:
        return True
    return idempotent and result in _RETRYABLE_IF_IDEMPOTENT
